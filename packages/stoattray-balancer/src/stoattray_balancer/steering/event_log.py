"""Log lines of a balancer: bounded for each kind, and never in the way of packets.

Lines are gathered and written a few times a second to a descriptor that does not
block. What does not fit is dropped, and what was left out is counted and said.
"""

import logging
import os
from collections import Counter
from collections.abc import Callable

import gevent

from stoattray_balancer._logs import LOGGER, LineFormatter, log_event
from stoattray_core._identifiers import Millis

FLUSH_SECONDS = 0.1
"""How often lines are written; one system call then carries many."""

MAX_BUFFERED_BYTES = 262_144
"""Lines that wait for a reader that does not read; about a second of the most lines."""

MAX_ROUTINE_LINES_PER_SECOND = 5
"""Lines a second of one kind that tells of a routine decision."""

MAX_OTHER_LINES_PER_SECOND = 100
"""Lines a second of one kind that tells of a failure or a changed belief."""

SUPPRESSED_REPORT_SECONDS = 5.0
"""How often it is said what was left out."""

ROUTINE_EVENTS = frozenset({"flow_opened", "flow_ended"})


class EventLog:
    """Writes events as lines of key=value pairs, within a budget for each kind.

    Parameters
    ----------
    descriptor : int
        Where lines go; is made not to block.
    clock : callable
        Returns the time.
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
        """Write one event unless its kind has used up its budget."""
        if not self.wants(name):
            self.left_out(name)
            return
        self._n_logged[name] += 1
        log_event(name, **fields)

    def wants(self, name: str) -> bool:
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

    def left_out(self, name: str) -> None:
        """Count an event that the budget leaves out, not one that nobody asked for."""
        if LOGGER.isEnabledFor(logging.INFO):
            self._n_suppressed[name] += 1

    def configure(self, level: str) -> None:
        """Let all of this process's events go this way."""
        self._handler.setFormatter(LineFormatter())
        LOGGER.handlers[:] = [self._handler]
        LOGGER.setLevel(level.upper())
        LOGGER.propagate = False

    def run(self) -> None:
        """Write what waits, for ever."""
        reported_at = self._clock()
        while True:
            gevent.sleep(FLUSH_SECONDS)
            now = self._clock()
            if now - reported_at >= SUPPRESSED_REPORT_SECONDS * 1_000:
                reported_at = now
                self._log_suppressed()
            self.flush()

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
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
    """Keeps formatted lines until they are written."""

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
        """Return all lines that wait."""
        lines = bytes(self._lines)
        self._lines.clear()
        return lines

    def put_back(self, unwritten: bytes) -> int:
        """Keep what was not written; return how many lines were dropped before."""
        self._lines[:0] = unwritten
        n_dropped, self._n_dropped = self._n_dropped, 0
        return n_dropped
