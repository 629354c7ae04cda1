"""Choice of a backend server for a new flow.

Among the servers that take new flows, those that answer go before suspects. Then the
one where the flow would be worked on soonest is taken: fewest open flows for its
capacity, times how much slower than the others it answers, plus what a server in
another data centre has to be freer by. Chance decides between equals, so that
balancers that see the same numbers do not choose the same server.
"""

from collections.abc import Sequence
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.suspicion import Suspicion

FAR_COST = 0.75
"""Slots' worth of load that a server in another data centre has to be freer by."""

PEER_WEIGHT = 0.6
"""Share of a request that peers tell of on average: whole ones are a little better
where all callers move, and worse in bursts on few balancers. Trials: design 0005."""


def pick_service(route: Route, random: Random) -> str:
    """Return a service of `route`, drawn by its weights."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0][0]
    drawn = random.random() * sum(weight for _, weight in shares)
    for service, weight in shares:
        drawn -= weight
        if drawn < 0:
            return service
    return shares[-1][0]


class Selection:
    """Chooses by open flows, capacity, distance and suspicion.

    Parameters
    ----------
    data_centre : str
        Where this balancer stands.
    suspicion : Suspicion
        Says which servers wait their turn.
    random : Random
        Decides between equals.
    """

    def __init__(self, data_centre: str, suspicion: Suspicion, random: Random) -> None:
        self._data_centre = data_centre
        self._suspicion = suspicion
        self._random = random

    def choose(
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
            Servers of the service.
        now : Millis
            Current time.
        avoid : sequence of ServerRow
            Servers that this flow has tried without an answer.
        """
        best: ServerRow | None = None
        best_cost = (2, 0.0, 0.0)
        for row in rows:
            if not row.takes_new or row in avoid:
                continue
            cost = (
                int(self._suspicion.is_suspect(row, now)),
                self._load(row, now),
                self._random.random(),
            )
            if best is None or cost < best_cost:
                best, best_cost = row, cost
        if best is None and avoid:
            return self.choose(rows, now)
        return best

    def _load(self, row: ServerRow, now: Millis) -> float:
        n_flows = row.n_open + PEER_WEIGHT * row.peer_load + 1
        load = n_flows * row.slowness / row.capacity(now)
        if row.entry.data_centre != self._data_centre:
            load += FAR_COST
        return load
