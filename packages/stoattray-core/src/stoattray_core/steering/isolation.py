"""Whether this balancer is cut off from everything outside its data centre.

Only then may an evacuated data centre use its own servers, as nothing else can serve
its callers. A replica that nobody confirms shows it after two seconds. Openings find no
usable server elsewhere sooner; new connections to the store then tell whether servers
are silent or the path is cut. A balancer with a path to the store is not isolated, nor
is one that hears from another data centre: a choked link delays connections and
openings alike.
"""

from collections import Counter
from collections.abc import Callable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from stoattray_core.steering.protocols import EventSink

CHECK_TIMEOUT_MILLIS = 250
"""Limit for a connection to the store, which takes a few milliseconds."""

MAX_CHECK_DELAY_MILLIS = 100
"""A check that took longer than its limit by this time says nothing: this process was
paused, and the answer may have come meanwhile."""

N_FAILED_CHECKS = 2
"""Failed checks in a row that are too many for a lost packet."""

FAILED_CHECK_MILLIS = 1_000
"""How long failed checks hold. More follow while openings find no usable server."""

WANTED_MILLIS = 300
"""How long after an opening without a usable server checks are made."""


class Isolation:
    """Tells whether this balancer is cut off.

    Parameters
    ----------
    confirmed_age : callable
        Returns how long ago the replica was confirmed complete at a time.
    counters : Counter
        Counts the checks by result.
    on_event : EventSink
        Receives an event once checks show that this balancer is isolated.
    """

    def __init__(
        self,
        confirmed_age: Callable[[Millis], Millis],
        *,
        counters: Counter[str],
        on_event: EventSink,
    ) -> None:
        self._confirmed_age = confirmed_age
        self._counters = counters
        self._on_event = on_event
        self._no_server_at: Millis | None = None
        self._failed_at: Millis | None = None
        self._n_failed = 0

    def note_no_server(self, now: Millis) -> None:
        """Note that an opening found no usable server elsewhere."""
        self._no_server_at = now

    def wants_check(self, now: Millis) -> bool:
        """Return whether a connection to the store should be tried now."""
        at = self._no_server_at
        return at is not None and now - at <= WANTED_MILLIS

    def note_check(self, *, is_reached: bool, started_at: Millis, now: Millis) -> None:
        """Note whether a connection to the store was answered."""
        if is_reached:
            self._counters["isolation_checks_reached"] += 1
            self._n_failed = 0
        elif now - started_at <= CHECK_TIMEOUT_MILLIS + MAX_CHECK_DELAY_MILLIS:
            self._counters["isolation_checks_failed"] += 1
            self._n_failed = 1 if not self._is_recent(now) else self._n_failed + 1
            self._failed_at = now
            if self._n_failed == N_FAILED_CHECKS:
                self._on_event("isolated", confirmed_age_ms=self._confirmed_age(now))

    def note_contact(self) -> None:
        """Note a heartbeat from another data centre."""
        self._n_failed = 0

    def is_isolated(self, now: Millis) -> bool:
        """Return whether this balancer is cut off from the store and its readers."""
        if self._confirmed_age(now) > MAX_CONFIRMED_AGE_MILLIS:
            return True
        return self._n_failed >= N_FAILED_CHECKS and self._is_recent(now)

    def _is_recent(self, now: Millis) -> bool:
        at = self._failed_at
        return at is not None and now - at <= FAILED_CHECK_MILLIS
