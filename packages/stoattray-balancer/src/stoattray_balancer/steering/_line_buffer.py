"""Buffer of formatted log lines, filled by a handler of the module `logging`."""

import logging

from stoattray_balancer._logs import (
    LOGGER,
    FieldValue,
    KeyValueFormatter,
    format_event,
)

MAX_BUFFERED_BYTES = 262_144
"""Bound of the buffer while nothing can be written; about a second at the peak rate."""


class LineBuffer(logging.Handler):
    """Buffers formatted lines until they are written; handles all of the process.

    Parameters
    ----------
    level : str
        Lowest level that is buffered.
    """

    def __init__(self, level: str) -> None:
        super().__init__()
        self._lines = bytearray()
        self._n_dropped = 0
        self.setFormatter(KeyValueFormatter())
        LOGGER.handlers[:] = [self]
        LOGGER.propagate = False
        self.set_level(level)

    def __len__(self) -> int:
        return len(self._lines)

    def set_level(self, level: str) -> None:
        """Set the lowest level that is buffered."""
        LOGGER.setLevel(level.upper())

    def write(
        self,
        name: str,
        fields: dict[str, FieldValue],
        *,
        created: float | None = None,
    ) -> None:
        """Buffer one event.

        Parameters
        ----------
        name : str
            Kind of the event.
        fields : dict of str to value
            Its fields.
        created : float or None
            Unix time of the event in seconds; now by default.
        """
        if not LOGGER.isEnabledFor(logging.INFO):
            return
        text = format_event(name, fields)
        record = LOGGER.makeRecord(
            LOGGER.name, logging.INFO, "", 0, "%s", (text,), None
        )
        if created is not None:
            record.created = created
            record.msecs = created % 1.0 * 1_000.0
        LOGGER.handle(record)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one record, unless the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_BYTES:
            self._n_dropped += 1
            return
        self._lines += self.format(record).encode("utf-8", "replace") + b"\n"

    def take_all(self) -> bytes:
        """Return all buffered lines and empty the buffer."""
        lines = bytes(self._lines)
        self._lines.clear()
        return lines

    def put_back(self, unwritten: bytes) -> int:
        """Buffer unwritten bytes again; return the number of lines dropped so far."""
        self._lines[:0] = unwritten
        n_dropped, self._n_dropped = self._n_dropped, 0
        return n_dropped
