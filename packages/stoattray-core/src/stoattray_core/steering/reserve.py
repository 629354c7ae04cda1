"""Queue places on servers that are reserved for the highest level of a service.

The reserve is sized by the slots that the highest level keeps busy, from its measured
arrivals and the service time, plus a margin for their variation. It is released within
two seconds after the arrivals end.
"""

import math

from stoattray_core._identifiers import Millis

SMOOTHING_MILLIS = 500
"""Time constant of the measured arrivals."""

DEVIATIONS = 2.0
"""Margin, in standard deviations of a Poisson number of requests at a server."""

MAX_QUEUE_SHARE = 0.5
"""Share of a server's queue places that may be reserved."""

MIN_RATE = 0.0005
"""Arrivals in each ms below which nothing is reserved: one opening in two seconds."""


class ArrivalRate:
    """Arrivals of one level at this balancer, smoothed exponentially."""

    def __init__(self) -> None:
        self._per_millis = 0.0
        self._noted_at: Millis | None = None

    def note_arrival(self, now: Millis) -> None:
        """Note an opening."""
        self._per_millis = self.per_millis(now) + 1.0 / SMOOTHING_MILLIS
        self._noted_at = now

    def per_millis(self, now: Millis) -> float:
        """Return the arrivals in each ms."""
        if self._noted_at is None:
            return 0.0
        return self._per_millis * math.exp((self._noted_at - now) / SMOOTHING_MILLIS)


def reserved_places(
    rate: float,
    service_time: float | None,
    *,
    n_balancers: int,
    n_servers: int,
    queue_places: int,
) -> int:
    """Return the queue places that are reserved on each server.

    Parameters
    ----------
    rate : float
        Arrivals of the highest level at this balancer in each ms.
    service_time : float or None
        Service time in ms; nothing is reserved while it is unknown.
    n_balancers : int
        Live balancers; routers spread callers evenly over them.
    n_servers : int
        Servers of the service.
    queue_places : int
        Queue places of a server.
    """
    if service_time is None or rate < MIN_RATE:
        return 0
    n_busy = rate * n_balancers * service_time / max(1, n_servers)
    needed = math.ceil(n_busy + DEVIATIONS * math.sqrt(n_busy))
    return min(needed, int(MAX_QUEUE_SHARE * queue_places))
