"""Structured logging: one line of key=value pairs for each event."""

import logging
import os
import select
import time
from collections.abc import Callable
from typing import Any

# A sample of the successes is enough; failures are never rate-limited.
ROUTINE_LINES_PER_S = 10
# PIPE_BUF: by POSIX, a pipe reported as writable accepts this much without blocking.
MAX_LINE_BYTES = 4_096
STDOUT_FD = 1
_QUOTED_CHARACTERS = set(' "=\n\r\t')


def format_fields(fields: dict[str, Any]) -> str:
    """Format fields as ``key=value`` pairs, quoting values where needed."""
    return " ".join(f"{key}={quote_value(value)}" for key, value in fields.items())


def quote_value(value: Any) -> str:
    """Format one value on a single line; a value with spaces is quoted."""
    text = str(value)
    if text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class LazyEventText:
    """Log message that is formatted only when its line is written.

    :param fields: the fields of the line.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields

    def __str__(self) -> str:
        """Return the fields as text."""
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
    :param routine: whether it is a frequent report of success, which may be omitted.
    :param fields: values to log; the name of a field ends in its unit, if any.
    """
    if logger.isEnabledFor(level):
        text = LazyEventText({"event": event, **fields})
        logger.log(level, text, extra={"routine": routine})


class BoundedHandler(logging.Handler):
    """Write log lines without ever blocking on a slow reader.

    Routine lines beyond ``routine_per_s`` are omitted. Any line is dropped if the
    descriptor can't accept it at once. Both are counted, and the counts are written
    as a separate line before the next line.

    :param fd: file descriptor to write to.
    :param read_seconds: returns the monotonic time in seconds.
    :param routine_per_s: highest number of routine lines per second.
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
        self.current_second = -1
        self.routine_lines = 0
        self.omitted = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as omitted or dropped."""
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
        """Count a routine line; return whether it is within this second's limit."""
        second = int(self.read_seconds())
        if second != self.current_second:
            self.current_second = second
            self.routine_lines = 0
        self.routine_lines += 1
        return self.routine_lines <= self.routine_per_s

    def report_missing_lines(self, record: logging.LogRecord) -> None:
        """Log how many lines were omitted or dropped before this one."""
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
        """Write a line if the descriptor accepts it without blocking.

        A line longer than ``MAX_LINE_BYTES`` is cut, as only so much is guaranteed.

        :return: whether it was written.
        """
        data = line.encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            ready = self.poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT:
                os.write(self.fd, data)
                return True
        except OSError:
            # The reader has closed its end, so there is nowhere left to report this.
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
