"""Non-blocking event log with a rate limit for each kind of event.

Lines are buffered and written ten times a second to a non-blocking descriptor, so that
logging never delays packets. Lines beyond the buffer are dropped; dropped and
rate-limited lines are counted, and the counts logged.
"""

import logging
import os
from collections import Counter
from collections.abc import Callable

import gevent

from stoattray_balancer._logs import LOGGER, KeyValueFormatter, log_event
from stoattray_core._identifiers import Millis

FLUSH_SECONDS = 0.1
"""Time between writes; each system call then writes many lines."""

MAX_BUFFERED_BYTES = 262_144
"""Bound of the buffer while nothing can be written; about a second at the peak rate."""

MAX_ROUTINE_LINES_PER_SECOND = 5
"""Rate limit for each kind of event in `ROUTINE_EVENTS`."""

MAX_OTHER_LINES_PER_SECOND = 100
"""Rate limit for each other kind: failures and state changes."""

SUPPRESSED_REPORT_SECONDS = 5.0
"""Time between reports of how many lines were not written."""

ROUTINE_EVENTS = frozenset(
    {"flow_opened", "flow_ended", "opening_left", "warm_up_limited"}
)


class EventLog:
    """Writes events as lines of key=value pairs, rate-limited for each kind.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to; set to non-blocking mode.
    clock : callable
        Returns the time in milliseconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], Millis]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._second = 0
        self._n_logged: Counter[str] = Counter()
        self._n_suppressed: Counter[str] = Counter()
        self._handler = _BufferHandler()
        self.n_bytes_written = 0
        os.set_blocking(descriptor, False)

    def __call__(self, name: str, **fields: str | int | float | bool | None) -> None:
        """Write one event unless its kind has reached its rate limit."""
        if not self.is_enabled(name):
            self.note_suppressed(name)
            return
        self._n_logged[name] += 1
        log_event(name, **fields)

    def is_enabled(self, name: str) -> bool:
        """Return whether an event of this kind would be written now."""
        if not LOGGER.isEnabledFor(logging.INFO):
            return False
        second = self._clock() // 1_000
        if second != self._second:
            self._second = second
            self._n_logged.clear()
        limit = (
            MAX_ROUTINE_LINES_PER_SECOND
            if name in ROUTINE_EVENTS
            else MAX_OTHER_LINES_PER_SECOND
        )
        return self._n_logged[name] < limit

    def note_suppressed(self, name: str) -> None:
        """Count a rate-limited event, but not one below the log level."""
        if LOGGER.isEnabledFor(logging.INFO):
            self._n_suppressed[name] += 1

    def configure(self, level: str) -> None:
        """Send all events of this process to this log, from `level` on."""
        self._handler.setFormatter(KeyValueFormatter())
        LOGGER.handlers[:] = [self._handler]
        LOGGER.setLevel(level.upper())
        LOGGER.propagate = False

    def run(self) -> None:
        """Write buffered lines periodically, forever."""
        reported_at = self._clock()
        while True:
            gevent.sleep(FLUSH_SECONDS)
            now = self._clock()
            if now - reported_at >= SUPPRESSED_REPORT_SECONDS * 1_000:
                reported_at = now
                self._log_suppressed()
            self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        buffered = self._handler.take_all()
        if not buffered:
            return
        try:
            n_bytes = os.write(self._descriptor, buffered)
        except BlockingIOError:
            n_bytes = 0
        except OSError:
            self._n_suppressed["unwritable"] += buffered.count(b"\n")
            return
        self.n_bytes_written += n_bytes
        n_dropped = self._handler.put_back(buffered[n_bytes:])
        if n_dropped:
            self._n_suppressed["unread"] += n_dropped

    def _log_suppressed(self) -> None:
        counted, self._n_suppressed = self._n_suppressed, Counter()
        for name, n_events in counted.items():
            log_event("events_left_out", kind=name, n_events=n_events)


class _BufferHandler(logging.Handler):
    """Buffers formatted lines until they are written."""

    def __init__(self) -> None:
        super().__init__()
        self._lines = bytearray()
        self._n_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
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
