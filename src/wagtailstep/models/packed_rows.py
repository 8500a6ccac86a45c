"""A compact mapping for the many table rows that hold a single number."""

import array
import bisect
from collections.abc import Callable, Iterable, Iterator, MutableMapping
from typing import Generic, TypeVar

MIN_CHANGES_TO_MERGE = 512
MERGE_RATIO = 1 / 32

_Row = TypeVar("_Row")


class _KeyView:
    """Read-only view of the sorted, packed keys that :mod:`bisect` can search."""

    def __init__(self, blob: bytes, ends: "array.array[int]") -> None:
        self.blob = blob
        self.ends = ends

    def __len__(self) -> int:
        return len(self.ends)

    def __iter__(self) -> Iterator[bytes]:
        start = 0
        for end in self.ends:
            yield self.blob[start:end]
            start = end

    def __getitem__(self, index: int) -> bytes:
        start = self.ends[index - 1] if index else 0
        return self.blob[start : self.ends[index]]


def _check_sorted(
    pairs: Iterable[tuple[bytes, float]],
) -> Iterator[tuple[bytes, float]]:
    last: bytes | None = None
    for key, number in pairs:
        if last is not None and key <= last:
            raise ValueError(f"key {key!r} does not come after {last!r}")
        last = key
        yield key, number


class PackedRows(MutableMapping[str, _Row], Generic[_Row]):
    """Rows of a key and a number that need little more memory than their keys.

    Iteration follows the UTF-8 order of the keys. Changes are collected in a
    dictionary and merged into the packed form once there are more of them than
    ``MIN_CHANGES_TO_MERGE`` and ``MERGE_RATIO`` of the packed rows.

    :param make_row: builds a row from its key and its number.
    :param get_number: returns the number of a row.
    :param rows: keys and numbers of the initial rows.
    """

    def __init__(
        self,
        make_row: Callable[[str, float], _Row],
        get_number: Callable[[_Row], float],
        rows: Iterable[tuple[str, float]] = (),
    ) -> None:
        self.make_row = make_row
        self.get_number = get_number
        self.changes: dict[str, float | None] = {}
        self.count = 0
        self._pack(sorted((key.encode(), number) for key, number in rows))

    def __copy__(self) -> "PackedRows[_Row]":
        """Return a copy that shares the packed form, which is never changed."""
        other = PackedRows(self.make_row, self.get_number)
        other.numbers = self.numbers
        other.packed_keys = self.packed_keys
        other.changes = dict(self.changes)
        other.count = self.count
        return other

    def _pack(self, pairs: Iterable[tuple[bytes, float]]) -> None:
        """Replace the packed form by pairs of key and number, sorted by key."""
        blob = bytearray()
        ends = array.array("I")
        numbers = array.array("d")
        for key, number in pairs:
            blob += key
            ends.append(len(blob))
            numbers.append(number)
        self.numbers = numbers
        self.packed_keys = _KeyView(bytes(blob), ends)
        self.changes.clear()
        self.count = len(numbers)

    def load_sorted(self, rows: Iterable[tuple[str, float]]) -> None:
        """Replace all rows, with no more than one of them in memory as an object.

        :param rows: keys and numbers, in the order of this mapping's iteration.
        :raises ValueError: if they are in a different order.
        """
        self._pack(_check_sorted((key.encode(), number) for key, number in rows))

    def _find_packed(self, key: str) -> float | None:
        encoded = key.encode()
        index = bisect.bisect_left(self.packed_keys, encoded)
        if index < len(self.packed_keys) and self.packed_keys[index] == encoded:
            return self.numbers[index]
        return None

    def find_number(self, key: str) -> float | None:
        """Return the number of a row, or ``None`` if there is no such row."""
        if key in self.changes:
            return self.changes[key]
        return self._find_packed(key)

    def _change(self, key: str, number: float | None) -> None:
        self.changes[key] = number
        if len(self.changes) > max(
            MIN_CHANGES_TO_MERGE, MERGE_RATIO * len(self.numbers)
        ):
            self._merge_changes()

    def _merge_changes(self) -> None:
        merged = dict(zip(self.packed_keys, self.numbers, strict=True))
        for key, number in self.changes.items():
            if number is None:
                merged.pop(key.encode(), None)
            else:
                merged[key.encode()] = number
        self._pack(sorted(merged.items()))

    def numbers_with_prefix(self, prefix: str = "") -> Iterator[tuple[str, float]]:
        """Yield the keys that begin with a prefix, with their numbers, in order."""
        start = prefix.encode()
        if not self.changes:
            yield from self._packed_with_prefix(start)
            return
        changed = sorted(key for key in self.changes if key.startswith(prefix))
        changed_at = 0
        index = bisect.bisect_left(self.packed_keys, start)
        while index < len(self.packed_keys):
            raw = self.packed_keys[index]
            if not raw.startswith(start):
                break
            key = raw.decode()
            while changed_at < len(changed) and changed[changed_at].encode() < raw:
                yield from self._yield_change(changed[changed_at])
                changed_at += 1
            if key not in self.changes:
                yield key, self.numbers[index]
            index += 1
        for key in changed[changed_at:]:
            yield from self._yield_change(key)

    def _packed_with_prefix(self, start: bytes) -> Iterator[tuple[str, float]]:
        keys, numbers = self.packed_keys, self.numbers
        if not start:
            yield from zip(map(bytes.decode, keys), numbers, strict=True)
            return
        for index in range(bisect.bisect_left(keys, start), len(numbers)):
            raw = keys[index]
            if not raw.startswith(start):
                return
            yield raw.decode(), numbers[index]

    def _yield_change(self, key: str) -> Iterator[tuple[str, float]]:
        number = self.changes[key]
        if number is not None:
            yield key, number

    def __getitem__(self, key: str) -> _Row:
        """Return a row.

        :raises KeyError: if there is none.
        """
        number = self.find_number(key)
        if number is None:
            raise KeyError(key)
        return self.make_row(key, number)

    def __setitem__(self, key: str, row: _Row) -> None:
        """Set a row."""
        self.count += self.find_number(key) is None
        self._change(key, self.get_number(row))

    def __delitem__(self, key: str) -> None:
        """Remove a row.

        :raises KeyError: if there is none.
        """
        if self.find_number(key) is None:
            raise KeyError(key)
        self.count -= 1
        self._change(key, None)

    def __iter__(self) -> Iterator[str]:
        """Yield the keys in order."""
        return (key for key, _ in self.numbers_with_prefix())

    def __len__(self) -> int:
        """Return the number of rows."""
        return self.count
