"""Expected requests of open flows, for the placement of new ones.

A long flow carries many requests with pauses, so that most open flows need no slot at
a time. Placement then counts an idle flow as the share of its time for which it has a
request pending, measured for each service, and not as a whole request.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.servers import ServerRow

SMOOTHING_SAMPLES = 50.0
"""Responses and idle times over which the means are taken."""

MIN_REQUESTS = 20.0
"""Requests on open flows, in the means, before idle flows count as less than one."""


class _Activity:
    """Means of one service; older samples lose weight with each new one."""

    __slots__ = ("busy_millis", "idle_millis", "n_requests")

    def __init__(self) -> None:
        self.busy_millis = 0.0
        self.idle_millis = 0.0
        self.n_requests = 0.0


class ExpectedRequests:
    """Measures by service for which share of their time idle flows become busy."""

    def __init__(self) -> None:
        self._activities: dict[str, _Activity] = {}

    def note_response(self, service: str, waited_millis: Millis) -> None:
        """Note a response of a service, `waited_millis` after its request."""
        activity = self._activities.setdefault(service, _Activity())
        change = (waited_millis - activity.busy_millis) / SMOOTHING_SAMPLES
        activity.busy_millis += change

    def note_idle_end(
        self, service: str, idle_millis: Millis, *, has_request: bool
    ) -> None:
        """Note the end of a flow's idle time, by another request or with the flow."""
        activity = self._activities.setdefault(service, _Activity())
        decay = 1.0 - 1.0 / SMOOTHING_SAMPLES
        activity.idle_millis = activity.idle_millis * decay + idle_millis
        activity.n_requests = activity.n_requests * decay + has_request

    def idle_flow_requests(self, service: str) -> float:
        """Return the requests that an idle flow counts as, from 0 to 1."""
        activity = self._activities.get(service)
        if activity is None or activity.n_requests < MIN_REQUESTS:
            return 1.0
        pause = activity.idle_millis / activity.n_requests
        return activity.busy_millis / max(1.0, activity.busy_millis + pause)

    def of_server(self, row: ServerRow) -> float:
        """Return the requests that are expected of the open flows of a server."""
        share = self.idle_flow_requests(row.entry.service)
        return row.n_open - row.n_idle * (1.0 - share)
