"""Deferral of openings that can wait until there is spare capacity.

A deferred opening is dropped, and its caller retransmits it. It is deferred only if the
cut-off, as it opens now, will admit its level by the next transmission, and if its
response can then still be in time. Otherwise it is refused at once.

A retransmitted opening is normally never reset, as its flow may be open somewhere. If
this balancer itself dropped every earlier transmission, the flow is open nowhere, and
the caller gets its final answer at once.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route

RETRANSMIT_MILLIS = (200, 600)
"""Times after the first transmission at which callers retransmit an opening."""

MIN_FORECAST_SHARE = 0.25
"""Share of a level that the cut-off has to admit by the next transmission. Trials:
docs/design/0010."""

MAX_DEFERRED = 4_096
"""Deferred openings that are remembered; the oldest are forgotten first."""

OPENING_MILLIS = 1_400
"""Time after which callers give up an unanswered opening."""


def next_transmission_millis(
    route: Route, n_retransmissions: int, service_time: float | None
) -> Millis | None:
    """Return the time to the next transmission; None if it would be too late.

    Parameters
    ----------
    route : Route
        Route of the flow, with its target latency.
    n_retransmissions : int
        Earlier transmissions of the opening.
    service_time : float or None
        Service time in ms; None if unknown.
    """
    target = route.target_latency_millis
    if target is None or n_retransmissions >= len(RETRANSMIT_MILLIS):
        return None
    sent_at = (0, *RETRANSMIT_MILLIS)[n_retransmissions]
    next_at = RETRANSMIT_MILLIS[n_retransmissions]
    if next_at + (service_time or 0.0) > target:
        return None
    return next_at - sent_at


class DeferredOpenings:
    """Openings of which this balancer dropped every transmission so far, by flow."""

    def __init__(self) -> None:
        self._rows: dict[bytes, tuple[int, Millis]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def note_deferred(self, key: bytes, n_retransmissions: int, now: Millis) -> None:
        """Note that a transmission was dropped."""
        if not self.has_all_before(key, n_retransmissions, now):
            self._rows.pop(key, None)
            return
        self._rows.pop(key, None)
        self._rows[key] = (n_retransmissions, now)
        if len(self._rows) > MAX_DEFERRED:
            del self._rows[next(iter(self._rows))]

    def has_all_before(self, key: bytes, n_retransmissions: int, now: Millis) -> bool:
        """Return whether every earlier transmission of an opening was dropped here."""
        if n_retransmissions == 0:
            return True
        last, at = self._rows.get(key, (-1, now))
        return last == n_retransmissions - 1 and now - at <= OPENING_MILLIS

    def forget(self, key: bytes) -> None:
        """Forget an opening, since it was forwarded or answered."""
        self._rows.pop(key, None)

    def expire(self, now: Millis) -> None:
        """Remove the openings that their callers gave up."""
        while self._rows:
            key = next(iter(self._rows))
            if now - self._rows[key][1] <= OPENING_MILLIS:
                return
            del self._rows[key]
