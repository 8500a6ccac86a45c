"""Parsing of the log lines that daemons write."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs

_FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
_LINE_START = "time="


@attrs.frozen
class LogLine:
    """One event logged by a daemon.

    :param process: name of the daemon.
    :param time: wall-clock time of the daemon.
    :param event: name of the event.
    :param fields: further fields of the line.
    """

    process: str
    time: datetime
    event: str
    fields: dict[str, str] = attrs.field(factory=dict)

    def get(self, name: str) -> str:
        """Return the value of a field, or an empty string."""
        return self.fields.get(name, "")

    @property
    def request_id(self) -> str:
        """Return the identifier of the request, or an empty string."""
        return self.get("request_id")


def read_lines(texts: Iterable[str], process: str) -> Iterator[LogLine]:
    """Parse the lines that have a time and an event; others are skipped.

    Log collectors often prefix a line with the name of the process. The last word of
    the prefix that is not a number is taken as that name.

    :param process: name of the daemon for lines without such a prefix.
    """
    for text in texts:
        start = text.find(_LINE_START)
        if start < 0:
            continue
        fields = read_fields(text[start:])
        time, event = fields.pop("time"), fields.pop("event", "")
        if event:
            words = [word for word in text[:start].split() if not is_number(word)]
            name = words[-1] if words else process
            yield LogLine(name, datetime.fromisoformat(time), event, fields)


def read_fields(text: str) -> dict[str, str]:
    """Parse the output of :func:`wagtailstep.utils.logging.format_fields`."""
    return {name: unquote_value(value) for name, value in _FIELD.findall(text)}


def unquote_value(value: str) -> str:
    """Remove the quotes and escapes of a value, if it has any."""
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(lambda m: _ESCAPES.get(m[1], m[1]), value[1:-1])


def is_number(word: str) -> bool:
    """Return whether a word is a number."""
    try:
        float(word)
    except ValueError:
        return False
    return True


def format_line(line: LogLine) -> str:
    """Format an event and its fields, except level and logger."""
    hidden = {"level", "logger"}
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden
    )
    return f"{line.event} {fields}"
