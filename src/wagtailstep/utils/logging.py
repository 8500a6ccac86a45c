"""Structured logging: one line of key=value pairs for each event."""

import logging
import os
import select
import time
from collections.abc import Callable
from typing import Any

# Enough to sample what goes well; failures are never left out.
ROUTINE_LINES_PER_S = 10
# POSIX promises that a pipe which is ready takes as much without waiting.
MAX_LINE_BYTES = 4_096
STDOUT_FD = 1
_QUOTED_CHARACTERS = set(' "=\n\r\t')


def format_fields(fields: dict[str, Any]) -> str:
    """Write fields as ``key=value`` pairs, quoting values where needed."""
    return " ".join(f"{key}={quote_value(value)}" for key, value in fields.items())


def quote_value(value: Any) -> str:
    """Write one value so that it stays on one line and has no bare space."""
    text = str(value)
    if text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class LazyEventText:
    """Text of an event that is only written if its line is.

    :param fields: the fields of the line.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields

    def __str__(self) -> str:
        """Return the line."""
        return format_fields(self.fields)


def log_event(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    routine: bool = False,
    **fields: Any,
) -> None:
    """Log one event.

    :param event: name of the event, in kebab case.
    :param routine: whether it is one of many that went well, and may be left out.
    :param fields: what belongs to it; units go into the names of the fields.
    """
    if logger.isEnabledFor(level):
        text = LazyEventText({"event": event, **fields})
        logger.log(level, text, extra={"routine": routine})


class BoundedHandler(logging.Handler):
    """Write log lines without ever waiting for their reader.

    Of routine lines as many are written each second as ``routine_per_s`` says. Lines
    that the reader has no room for are dropped. Both are counted, and told in a line
    of their own with the next line that is written.

    :param fd: file descriptor to write to.
    :param read_seconds: returns monotonic seconds.
    :param routine_per_s: routine lines to write each second.
    """

    def __init__(
        self,
        fd: int,
        read_seconds: Callable[[], float] = time.monotonic,
        routine_per_s: int = ROUTINE_LINES_PER_S,
    ) -> None:
        super().__init__()
        self.fd = fd
        self.read_seconds = read_seconds
        self.routine_per_s = routine_per_s
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)
        self.second = -1
        self.routine_lines = 0
        self.omitted = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it."""
        if getattr(record, "routine", False) and not self.try_acquire_routine_line():
            self.omitted += 1
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self.omitted or self.dropped:
            self.report_missing_lines(record)
        if not self.write(line):
            self.dropped += 1

    def try_acquire_routine_line(self) -> bool:
        """Tell whether one more routine line may be written in this second."""
        second = int(self.read_seconds())
        if second != self.second:
            self.second = second
            self.routine_lines = 0
        self.routine_lines += 1
        return self.routine_lines <= self.routine_per_s

    def report_missing_lines(self, record: logging.LogRecord) -> None:
        """Write how many lines are missing before this one."""
        fields = {
            "event": "lines-left-out",
            "routine": self.omitted,
            "dropped": self.dropped,
        }
        missing = logging.LogRecord(
            __name__, logging.INFO, "", 0, format_fields(fields), (), None
        )
        missing.created, missing.msecs = record.created, record.msecs
        if self.write(self.format(missing)):
            self.omitted = self.dropped = 0

    def write(self, line: str) -> bool:
        """Write a line if the reader has room for it.

        A descriptor that is ready takes at least this many bytes at once.

        :return: whether it was written.
        """
        data = line.encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            ready = self.poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT:
                os.write(self.fd, data)
                return True
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            pass
        return False


def configure_logging(level: str) -> None:
    """Send all log lines to standard output.

    :param level: name of a level of the :mod:`logging` module.
    """
    handler = BoundedHandler(STDOUT_FD)
    handler.setFormatter(
        logging.Formatter(
            "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s "
            "logger=%(name)s %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    logging.Formatter.converter = time.gmtime
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
