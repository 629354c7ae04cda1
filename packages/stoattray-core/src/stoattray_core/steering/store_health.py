"""Health of the platform's store, from its answers and from peers."""

from enum import Enum

from stoattray_core._identifiers import Millis

MAX_ANSWER_GAP_MILLIS = 6_000
"""A balancer that neither read the store nor heard of a read for longer was suspended
or disconnected in the meantime; readers get answers at least every 1.8 s."""


class StoreState(Enum):
    """Health of the store."""

    UNKNOWN = "unknown"
    HEALTHY = "well"
    UNHEALTHY = "unwell"


class StoreHealth:
    """Tracks failures and recoveries of the store.

    The state is that of this balancer's own calls. One that no longer calls the store,
    as another reads it, relies on that one's reads instead.

    Parameters
    ----------
    recovery_grace_millis : Millis
        Time after a recovery during which writers may still restore lapsed records.
    """

    def __init__(self, recovery_grace_millis: Millis) -> None:
        self._recovery_grace_millis = recovery_grace_millis
        self._state = StoreState.UNKNOWN
        self._recovered_at: Millis | None = None
        self._read_at: Millis | None = None
        self._failed_at: Millis = 0
        self._read_again_at: Millis | None = None

    @property
    def state(self) -> StoreState:
        """Return the current health."""
        return self._state

    def note_response(self, now: Millis) -> bool:
        """Record a successful call; return whether the store has thereby recovered."""
        if self._state is StoreState.HEALTHY and self._had_gap(now):
            self._state = StoreState.UNHEALTHY
        has_recovered = self._state is StoreState.UNHEALTHY
        self._state = StoreState.HEALTHY
        self._read_at = now
        if has_recovered:
            self._recovered_at = now
        return has_recovered

    def note_failure(self, now: Millis) -> bool:
        """Record a failed call; return whether the store was healthy before."""
        was_healthy = self._state is StoreState.HEALTHY
        self._state = StoreState.UNHEALTHY
        self._failed_at = now
        self._read_again_at = None
        return was_healthy

    def note_read(self, at: Millis) -> None:
        """Record that some balancer read the store at a time."""
        if self._read_at is None or at > self._read_at:
            self._read_at = at
        if self._read_again_at is None and at > self._failed_at:
            self._read_again_at = at

    def note_restored(self, now: Millis) -> None:
        """Record that the store returned from a copy, which may lack records."""
        self._recovered_at = now

    def note_peer_recovery(self, age: Millis, now: Millis) -> None:
        """Record a peer's report that the store recovered `age` ago."""
        recovered_at = now - age
        if self._recovered_at is None or recovered_at > self._recovered_at:
            self._recovered_at = recovered_at

    def recovery_age(self, now: Millis) -> Millis | None:
        """Return the time since the store last recovered, or None if it never did."""
        return None if self._recovered_at is None else now - self._recovered_at

    def is_settled(self, now: Millis) -> bool:
        """Return whether a missing record means that its writer is gone."""
        if self._state is StoreState.UNHEALTHY and not self._is_past(
            self._read_again_at, now
        ):
            return False
        return self._recovered_at is None or self._is_past(self._recovered_at, now)

    def _is_past(self, at: Millis | None, now: Millis) -> bool:
        """Return whether the grace time after a recovery is over."""
        return at is not None and now - at >= self._recovery_grace_millis

    def _had_gap(self, now: Millis) -> bool:
        return self._read_at is not None and now - self._read_at > MAX_ANSWER_GAP_MILLIS
