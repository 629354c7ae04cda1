"""Structured logging: one line of key=value pairs per event."""

import json
import logging
import sys
import time
from collections.abc import Mapping

LOGGER = logging.getLogger("stoattray")

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/@->"
)

FieldValue = str | int | float | bool | None


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs, with its time and level first."""

    def format(self, record: logging.LogRecord) -> str:
        when = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        level = record.levelname.lower()
        prefix = f"time={when}.{int(record.msecs):03d}Z level={level}"
        return f"{prefix} {record.getMessage()}"


def set_up_logging(level: str) -> None:
    """Log events of severity `level` or above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False


def log_event(name: str, *, severity: int = logging.INFO, **fields: FieldValue) -> None:
    """Log one event; values that contain special characters are JSON-quoted."""
    if not LOGGER.isEnabledFor(severity):
        return
    LOGGER.log(severity, "%s", format_event(name, fields))


def format_event(name: str, fields: Mapping[str, FieldValue]) -> str:
    """Return an event as key=value pairs; special characters are JSON-quoted."""
    pairs = [f"{key}={_quote(value)}" for key, value in fields.items()]
    return " ".join([f"event={name}", *pairs])


def _quote(value: FieldValue) -> str:
    text = str(value)
    if text and all(character in _UNQUOTED_CHARACTERS for character in text):
        return text
    return json.dumps(text)
