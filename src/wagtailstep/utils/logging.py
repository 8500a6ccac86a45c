"""Structured logging: one line of key=value pairs for each event."""

import logging
import sys
import time
from typing import Any

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


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event.

    :param event: name of the event, in kebab case.
    :param fields: what belongs to it; units go into the names of the fields.
    """
    if logger.isEnabledFor(level):
        logger.log(level, format_fields({"event": event, **fields}))


def configure_logging(level: str) -> None:
    """Send all log lines to standard output.

    :param level: name of a level of the :mod:`logging` module.
    """
    handler = logging.StreamHandler(sys.stdout)
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
