"""Selection of a backend server for a new flow.

Servers that accept new flows are ordered by suspicion, then by load: open flows per
slot, times the server's slowdown, plus a penalty for servers in another data centre.
Ties are broken at random, so that balancers with the same view do not all select the
same server.
"""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.silence_detector import SilenceDetector

REMOTE_PENALTY = 0.75
"""Load, in flows per slot, that is added for a server in another data centre."""

PEER_LOAD_WEIGHT = 0.6
"""Weight of a request in the averaged load that peers report, relative to a flow opened
here. Equal weight is slightly better when all callers move to one data centre, and
worse in bursts on few balancers. Trials: docs/design/0005."""


def draw_service(route: Route, random: Random) -> str:
    """Return a service of `route`, drawn at random by weight."""
    service_weights = route.service_weights
    if len(service_weights) == 1:
        return service_weights[0][0]
    drawn = random.random() * sum(weight for _, weight in service_weights)
    for service, weight in service_weights:
        drawn -= weight
        if drawn < 0:
            return service
    return service_weights[-1][0]


class OpenFlows(Protocol):
    """Says how many requests the open flows of a server count as."""

    def open_requests(self, row: ServerRow) -> float:
        """Return the requests that the open flows of a server count as."""


class ServerSelector:
    """Selects servers by suspicion, load and data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer.
    silence_detector : SilenceDetector
        Says which servers are deprioritised.
    random : Random
        Breaks ties.
    open_flows : OpenFlows or None
        Says what the open flows of a server count as; by default each counts as 1.
    """

    def __init__(
        self,
        data_centre: str,
        silence_detector: SilenceDetector,
        random: Random,
        open_flows: OpenFlows | None = None,
    ) -> None:
        self._open_flows = open_flows
        self._data_centre = data_centre
        self._silence_detector = silence_detector
        self._random = random

    def is_suspect(self, row: ServerRow, now: Millis) -> bool:
        """Return whether a server or its whole data centre is deprioritised."""
        return self._silence_detector.is_suspect(row, now)

    def has_usable(self, rows: Sequence[ServerRow], now: Millis) -> bool:
        """Return whether any of `rows` accepts flows and is not suspect."""
        return any(
            row.accepts_flows and not self._silence_detector.is_suspect(row, now)
            for row in rows
        )

    def select(
        self,
        rows: Sequence[ServerRow],
        now: Millis,
        *,
        avoid: Sequence[ServerRow] = (),
    ) -> ServerRow | None:
        """Return the best server for a new flow, or None if there is none.

        Parameters
        ----------
        rows : sequence of ServerRow
            Candidates of one service.
        now : Millis
            Current time.
        avoid : sequence of ServerRow
            Servers that left this flow unanswered; selected only if there are no
            others.
        """
        best: ServerRow | None = None
        best_cost = (2, 0.0, 0.0)
        for row in rows:
            if not row.accepts_flows or row in avoid:
                continue
            cost = (
                int(self._silence_detector.is_suspect(row, now)),
                self._load(row, now),
                self._random.random(),
            )
            if best is None or cost < best_cost:
                best, best_cost = row, cost
        if best is None and avoid:
            return self.select(rows, now)
        return best

    def _load(self, row: ServerRow, now: Millis) -> float:
        n_open: float = row.n_open
        if self._open_flows is not None:
            n_open = self._open_flows.open_requests(row)
        n_flows = n_open + PEER_LOAD_WEIGHT * row.peer_load + 1
        load = n_flows * row.slowdown / row.capacity(now)
        if row.entry.data_centre != self._data_centre:
            load += REMOTE_PENALTY
        return load
