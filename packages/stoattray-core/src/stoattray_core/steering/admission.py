"""Whether an opening is refused since it would be answered too late.

Late work makes all that comes after it late too, so that an opening which even the best
server would work on too late is refused at once, while its caller can still go on.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.servers import ServerRow

AIM_SHARE = 1.2
URGENT_AIM_SHARE = 1.8
"""Waiting and work in multiples of a route's aim from which on openings are refused;
what others told of their flows is old and makes them look 0.2 more. Routes that others
are put behind are refused later. Trials: docs/design/0004."""


def is_overloaded(
    server: ServerRow, route: Route, work: float | None, now: Millis
) -> bool:
    """Return whether a flow would wait too long at the best server.

    Parameters
    ----------
    server : ServerRow
        Best server for the flow.
    route : Route
        Says what callers want.
    work : float or None
        Usual time of a request at a server in ms, without the way; None if unknown.
    now : Millis
        Current time.
    """
    if work is None or route.aim is None:
        return False
    n_requests = server.n_asked + server.peer_load + 1
    expected = n_requests * max(1.0, work) * server.slowness / server.capacity(now)
    share = URGENT_AIM_SHARE if route.is_urgent else AIM_SHARE
    return expected > share * route.aim
