"""Non-blocking event log with a rate limit for each kind of event.

Lines are buffered and written ten times a second to a non-blocking descriptor, so that
logging never delays packets. Lines beyond the buffer are dropped; dropped and
rate-limited lines are counted, and the counts logged.

The module `logging` and what formats lines are imported when lines are first written.
At the start that is after the first packet: their import takes a tenth of the start.
"""

import os
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from stoattray_core._identifiers import Millis

if TYPE_CHECKING:
    from stoattray_balancer.steering._line_buffer import LineBuffer

FLUSH_SECONDS = 0.1
"""Time between writes; each system call then writes many lines."""

MAX_ROUTINE_LINES_PER_SECOND = 5
"""Rate limit for each kind of event in `ROUTINE_EVENTS`."""

MAX_OTHER_LINES_PER_SECOND = 100
"""Rate limit for each other kind: failures and state changes."""

SUPPRESSED_REPORT_SECONDS = 5.0
"""Time between reports of how many lines were not written."""

ROUTINE_EVENTS = frozenset(
    {"flow_opened", "flow_ended", "opening_left", "warm_up_limited"}
)

INFO = "info"
"""Level at which events are written."""

FieldValue = str | int | float | bool | None
_EarlyEvent = tuple[str, dict[str, FieldValue], float]


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
        self._level = INFO
        self._lines: LineBuffer | None = None
        self._early_events: list[_EarlyEvent] = []
        self.n_bytes_written = 0
        os.set_blocking(descriptor, False)

    def __call__(self, name: str, **fields: FieldValue) -> None:
        """Write one event unless its kind has reached its rate limit."""
        if not self.is_enabled(name):
            self.note_suppressed(name)
            return
        self._n_logged[name] += 1
        if self._lines is None:
            self._early_events.append((name, fields, time.time()))
            return
        self._write(self._lines, name, fields)

    def is_enabled(self, name: str) -> bool:
        """Return whether an event of this kind would be written now."""
        if self._level != INFO:
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
        if self._level == INFO:
            self._n_suppressed[name] += 1

    def configure(self, level: str) -> None:
        """Write the events of this process from `level` on: ``info`` or ``error``."""
        self._level = level
        if self._lines is not None:
            self._lines.set_level(level)

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
        lines = self._open()
        buffered = lines.take_all()
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
        n_dropped = lines.put_back(buffered[n_bytes:])
        if n_dropped:
            self._n_suppressed["unread"] += n_dropped

    def _open(self) -> "LineBuffer":
        """Return the buffer of lines; the first call writes the early events to it."""
        if self._lines is None:
            from stoattray_balancer.steering._line_buffer import LineBuffer

            self._lines = LineBuffer(self._level)
            early_events, self._early_events = self._early_events, []
            for name, fields, created in early_events:
                self._write(self._lines, name, fields, created=created)
        return self._lines

    def _write(
        self,
        lines: "LineBuffer",
        name: str,
        fields: dict[str, FieldValue],
        *,
        created: float | None = None,
    ) -> None:
        """Write one event; one that can't be formatted must not end its caller."""
        try:
            lines.write(name, fields, created=created)
        except Exception:  # noqa: BLE001
            self._n_suppressed["unformatted"] += 1

    def _log_suppressed(self) -> None:
        counted, self._n_suppressed = self._n_suppressed, Counter()
        for name, n_events in counted.items():
            fields = {"kind": name, "n_events": n_events}
            self._open().write("events_left_out", fields)
