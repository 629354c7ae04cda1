"""When to forward openings to another data centre, and how many.

Two conditions hold for each opening that leaves:

1. The rule: the expected response time at the best local server is above the one
   elsewhere, and the difference matters to the caller.
2. The split: data centres whose callers ask for more than their servers' capacity have
   an excess, others have spare capacity. An excess is spread over the spare capacity,
   and each balancer may use its share of the result.
"""

from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

LATE_SHARE = 0.5
"""Share of the target latency that the expected local response time must exceed.
Trials: docs/design/0009."""

MAX_QUEUE = 8
"""Requests that wait at a backend server when it refuses further ones."""

NEARLY_FULL_QUEUE = 5
"""Waiting requests from which a queue is about to be full; queues of servers differ by
some requests. Trials: docs/design/0009."""

BEGIN_LOAD = 0.9
END_LOAD = 0.8
"""Offered load per slot from which a data centre has an excess, and below which it no
longer has one. Data centres without an excess receive openings up to the first."""

MIN_SLOTS = 0.01
"""Parts of slots below this are not used."""

SAME_DISTANCE_MILLIS = 2.0
"""Data centres whose extra round trips differ by less count as equally near: the
follow-up times that they are measured by are whole milliseconds."""


class RemoteTrafficSettings(NamedTuple):
    """Settings of the traffic between data centres.

    Parameters
    ----------
    min_round_trip_millis : float
        The rule applies to data centres whose extra round trip is at least this.
    price_millis : float
        Expected waiting time that a caller accepts for a flow that stays.
    """

    min_round_trip_millis: float
    price_millis: float = 0.0


class Reason(StrEnum):
    """Why an opening leaves its data centre."""

    LATE = "late"
    QUEUE_FULL = "queue_full"
    NO_SERVER = "no_server"


class ServiceLoad(NamedTuple):
    """Load of one service in one data centre.

    Parameters
    ----------
    load : float
        Pending requests of the data centre's callers, wherever they are served.
    capacity : float
        Slots of its usable servers.
    """

    load: float
    capacity: float

    @property
    def spare(self) -> float:
        """Return how many more requests its servers can process at once."""
        return max(0.0, BEGIN_LOAD * self.capacity - self.load)

    @property
    def excess(self) -> float:
        """Return by how much the load exceeds the level at which an excess ends."""
        return max(0.0, self.load - END_LOAD * self.capacity)

    def has_excess(self, *, had_excess: bool) -> bool:
        """Return whether there is an excess, given whether there was one."""
        level = END_LOAD if had_excess else BEGIN_LOAD
        return self.load > level * self.capacity


def n_ahead(row: ServerRow) -> int:
    """Return the requests at a server, by the latest reports, half-open flows included.

    Averaged reports lag by more than a second, in which time a queue fills.
    """
    return row.n_pending_requests + row.n_half_open + row.n_peer_requests


def is_queue_nearly_full(row: ServerRow) -> bool:
    """Return whether a server is about to refuse requests, by the latest reports."""
    return n_ahead(row) - row.entry.capacity >= NEARLY_FULL_QUEUE


def expected_millis(row: ServerRow, service_time: float, now: Millis) -> float:
    """Return the expected response time of a server in ms, without the round trip."""
    per_slot = (n_ahead(row) + 1) / row.capacity(now)
    return max(1.0, per_slot) * service_time


def reason_to_leave(
    local_millis: float,
    remote_millis: float,
    target_millis: Millis | None,
    *,
    is_nearly_full: bool,
) -> Reason | None:
    """Return why an opening should leave its data centre, or None.

    Parameters
    ----------
    local_millis : float
        Expected response time at the best local server.
    remote_millis : float
        Expected response time at the best remote server, with the extra round trip and
        the price.
    target_millis : Millis or None
        Target latency of the route; None if there is none.
    is_nearly_full : bool
        Whether the queue of the best local server is about to be full.
    """
    if local_millis <= remote_millis:
        return None
    if target_millis and local_millis > LATE_SHARE * target_millis:
        return Reason.LATE
    return Reason.QUEUE_FULL if is_nearly_full else None


def split(
    loads: Mapping[str, ServiceLoad],
    excess_at: Collection[str],
    source: str,
    distances: Mapping[str, float],
) -> dict[str, float]:
    """Return the slots of other data centres that a data centre's excess may use.

    Several data centres with an excess share all spare capacity in proportion, so that
    they need not know each other's distances. Within its part, each uses the nearest
    data centres first, and equally near ones in proportion.

    Parameters
    ----------
    loads : mapping of str to ServiceLoad
        Loads of one service by data centre.
    excess_at : collection of str
        Data centres with an excess.
    source : str
        Data centre whose excess is spread.
    distances : mapping of str to float
        Extra round trips in ms from there; the data centres that may be used.

    Returns
    -------
    dict of str to float
        Slots by data centre; without those that get none.
    """
    if source not in excess_at or source not in loads:
        return {}
    total = sum(loads[name].excess for name in excess_at if name in loads)
    if total <= 0.0:
        return {}
    remaining = loads[source].excess
    part = remaining / total
    available = {
        name: part * loads[name].spare
        for name in distances
        if name in loads and name not in excess_at
    }
    available = {n: s for n, s in available.items() if s >= MIN_SLOTS}
    slots: dict[str, float] = {}
    while available and remaining > 0.0:
        limit = min(distances[name] for name in available) + SAME_DISTANCE_MILLIS
        group = {n: s for n, s in available.items() if distances[n] < limit}
        group_slots = sum(group.values())
        share = min(1.0, remaining / group_slots)
        slots |= {name: share * n_slots for name, n_slots in group.items()}
        remaining -= share * group_slots
        available = {n: s for n, s in available.items() if n not in group}
    return slots


class SentWork:
    """Work that one balancer has sent to slots elsewhere that it may use.

    The work grows by the service time with each opening, and shrinks by the slots as
    time passes. Shares of less than one slot thus still get openings, at a lower rate.

    Parameters
    ----------
    work_millis : float
        Work at the start, in ms of one slot.
    """

    def __init__(self, work_millis: float) -> None:
        self._work_millis = work_millis
        self._updated_at: Millis | None = None

    def update(self, slots: float, now: Millis) -> None:
        """Let the work shrink by what `slots` have done since the last update."""
        elapsed = now - self._updated_at if self._updated_at is not None else 0
        self._work_millis = max(0.0, self._work_millis - slots * elapsed)
        self._updated_at = now

    def add(self, service_time: float) -> None:
        """Add the work of one opening."""
        self._work_millis += service_time

    def has_room(self, slots: float, service_time: float) -> bool:
        """Return whether one more opening fits without a queue."""
        limit = max(1.0, slots) * service_time
        return slots > 0.0 and self._work_millis + service_time <= limit
