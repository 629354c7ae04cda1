"""Check of the limit of openings for a backend server that has just started."""

from collections import deque
from math import floor
from typing import NamedTuple

from monitor import InvariantMonitor

OVERAGE = 1.5
SLACK = 2
"""Smaller than on the users' deployments (5): the callers of a run open some 30 flows a
second, and two balancers that share a server must exceed its limit."""

MAX_RECORD_DELAY_SECONDS = 0.9
"""Longest time until all balancers in contact have a record that the store accepted."""


class WarmUp(NamedTuple):
    """Warm-up of a service: its duration and the rate of openings meanwhile."""

    seconds: float
    per_second: float

    @property
    def limit(self) -> int:
        """Return the openings that a cold server may get in any second."""
        return floor(self.per_second * OVERAGE + SLACK)


WARM_UPS = {"lookup": WarmUp(7.0, 1.0), "archive": WarmUp(3.0, 0.0)}
"""Warm-up by service. That of `lookup` exceeds the 4.5 s for which the new owner of a
server that restarted under its id waits, so that it gets openings while it is cold."""

SETTINGS = {"warm_up_overage": OVERAGE, "warm_up_slack": SLACK}


class WarmUpCheck:
    """Counts the openings of one start of a backend server while it is cold.

    Parameters
    ----------
    name : str
        Name of the server.
    warm_up : WarmUp
        Warm-up of its service.
    started_at : float
        When it started, in seconds of the run.
    monitor : InvariantMonitor
        Records violations.
    is_restart : bool
        Whether it started before under the same name. Balancers cannot know of the
        new start before its record, so openings count only from then on.
    """

    def __init__(
        self,
        name: str,
        warm_up: WarmUp,
        started_at: float,
        monitor: InvariantMonitor,
        *,
        is_restart: bool,
    ) -> None:
        self._name = name
        self._warm_up = warm_up
        self._started_at = started_at
        self._monitor = monitor
        self._recorded_at: float | None = None
        self._counts_from = None if is_restart else started_at
        self._openings: deque[float] = deque()

    def remaining_millis(self, at: float) -> int:
        """Return how long the server stays cold."""
        return max(0, round(1_000 * (self._warm_up.seconds - at + self._started_at)))

    def note_record(self, at: float) -> None:
        """Note that the store accepted the server's record."""
        if self._recorded_at is None:
            self._recorded_at = at

    def note_time(self, at: float) -> None:
        """Count openings from now on if all balancers can know the record.

        Those that a fault separates from the store cannot, so this waits for the end
        of a fault window.
        """
        if (
            self._counts_from is None
            and self._recorded_at is not None
            and at >= self._recorded_at + MAX_RECORD_DELAY_SECONDS
            and self._monitor.is_settled
        ):
            self._counts_from = at

    def note_opening(self, at: float) -> None:
        """Check the limit for the second before an opening."""
        if at >= self._started_at + self._warm_up.seconds:
            return
        if self._counts_from is None or at < self._counts_from:
            self._monitor.counts["cold openings not checked"] += 1
            return
        self._monitor.counts["cold openings checked"] += 1
        self._openings.append(at)
        while self._openings[0] <= at - 1.0:
            self._openings.popleft()
        n_openings = len(self._openings)
        counts = self._monitor.counts
        counts["most cold openings"] = max(counts["most cold openings"], n_openings)
        if n_openings > self._warm_up.limit:
            self._monitor.record_violation(
                "warm-up limit",
                host=self._name,
                openings=n_openings,
                limit=self._warm_up.limit,
                cold_for_s=round(at - self._started_at, 3),
                arrived_at=round(at, 3),
            )
