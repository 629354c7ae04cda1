"""Whether a balancer forwards what it receives."""

from stoattray_core._identifiers import Millis

MIN_FAILING_MILLIS = 1_000
"""Errors for this time, without a handled packet, make a balancer not ready."""

RETRY_MILLIS = 5_000
"""Time after the last error until the balancer is ready again. Without packets from
routers it cannot find out that the cause is gone."""


class ForwardingHealth:
    """Tells whether unexpected errors keep packets from being handled.

    Openings and other packets count separately: what fails for all openings leaves the
    packets of open flows alone.
    """

    def __init__(self) -> None:
        self._failing_since: dict[bool, Millis] = {}
        self._failed_at: dict[bool, Millis] = {}

    def note_handled(self, *, is_opening: bool) -> None:
        """Note that a packet was forwarded or refused."""
        if self._failing_since:
            self._failing_since.pop(is_opening, None)

    def note_error(self, now: Millis, *, is_opening: bool) -> None:
        """Note that handling a packet ended with an unexpected error."""
        self._failing_since.setdefault(is_opening, now)
        self._failed_at[is_opening] = now

    def is_failing(self, now: Millis) -> bool:
        """Return whether all packets of a kind have failed for a while."""
        return any(
            self._failed_at[kind] - since >= MIN_FAILING_MILLIS
            and now - self._failed_at[kind] < RETRY_MILLIS
            for kind, since in self._failing_since.items()
        )
