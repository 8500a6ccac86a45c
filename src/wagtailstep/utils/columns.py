"""Lists of objects in which each field name is written only once."""

from typing import Any

import msgspec


class ColumnarList(msgspec.Struct):
    """A list of objects, encoded as field names and rows of values."""

    columns: list[str]
    rows: list[list[Any]]

    def to_dicts(self) -> list[dict[str, Any]]:
        """Return the objects; fields without a value are omitted."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=False)
                if value is not None
            }
            for row in self.rows
        ]
