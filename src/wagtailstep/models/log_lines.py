"""Lines of a daemon's log, read back."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs

_FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
_STARTS = "time="


@attrs.frozen
class LogLine:
    """One event that a daemon logged.

    :param process: name of the daemon.
    :param time: wall-clock time of the daemon.
    :param event: name of the event.
    :param fields: the fields that belong to it.
    """

    process: str
    time: datetime
    event: str
    fields: dict[str, str] = attrs.field(factory=dict)

    def get(self, name: str) -> str:
        """Return a field, or an empty text."""
        return self.fields.get(name, "")

    @property
    def request_id(self) -> str:
        """Return the request that the event belongs to, if any."""
        return self.get("request_id")


def read_lines(texts: Iterable[str], process: str) -> Iterator[LogLine]:
    """Read the lines that have a time and an event; others are passed over.

    Collectors often put the name of the process before a line; the last word there
    that is no number is taken for it.

    :param process: name of the daemon where a line doesn't say it.
    """
    for text in texts:
        start = text.find(_STARTS)
        if start < 0:
            continue
        fields = read_fields(text[start:])
        time, event = fields.pop("time"), fields.pop("event", "")
        if event:
            words = [word for word in text[:start].split() if not is_number(word)]
            name = words[-1] if words else process
            yield LogLine(name, datetime.fromisoformat(time), event, fields)


def read_fields(text: str) -> dict[str, str]:
    """Read what :func:`wagtailstep.utils.logging.format_fields` writes."""
    return {name: unquote_value(value) for name, value in _FIELD.findall(text)}


def unquote_value(value: str) -> str:
    """Return a value as it was before it was quoted."""
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(lambda m: _ESCAPES.get(m[1], m[1]), value[1:-1])


def is_number(word: str) -> bool:
    """Tell whether a word is a number."""
    try:
        float(word)
    except ValueError:
        return False
    return True


def format_line(line: LogLine) -> str:
    """Write an event and its fields."""
    hidden = {"level", "logger"}
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden
    )
    return f"{line.event} {fields}"
