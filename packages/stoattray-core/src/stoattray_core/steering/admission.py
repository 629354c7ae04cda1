"""Admission control: refuses openings whose response would come too late.

Serving a late request delays all requests behind it. An opening that even the best
server would serve too late is therefore refused at once, while its caller can still
react.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.servers import ServerRow

MAX_LATENCY_RATIO = 1.2
PRIORITY_MAX_LATENCY_RATIO = 1.8
"""Expected response time, in multiples of a route's target latency, above which
openings are refused. Peers' load reports are old and raise the estimate by 0.2 of the
target. The second applies to routes with priority. Trials: docs/design/0004."""


def is_overloaded(
    server: ServerRow, route: Route, service_time: float | None, now: Millis
) -> bool:
    """Return whether a flow's response would come too late at the best server.

    Parameters
    ----------
    server : ServerRow
        Best server for the flow.
    route : Route
        Route of the flow, with its target latency.
    service_time : float or None
        Baseline response time in ms without the round trip; None if unknown.
    now : Millis
        Current time.
    """
    if service_time is None or route.target_latency_millis is None:
        return False
    n_requests = server.n_pending_requests + server.peer_load + 1
    expected = (
        n_requests * max(1.0, service_time) * server.slowdown / server.capacity(now)
    )
    max_ratio = PRIORITY_MAX_LATENCY_RATIO if route.has_priority else MAX_LATENCY_RATIO
    return expected > max_ratio * route.target_latency_millis
