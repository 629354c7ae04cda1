"""Choice of a backend server for a new flow of a service that weighs balance more.

The owner of such a service's home shard sees every flow open and end, so it
takes the backend server with the fewest open flows for its weight. The bucket's
default is kept unless another one is clearly better, since only a flow away
from the default needs a record on a second balancer.
"""

from stoattray_core._identifiers import ServerId
from stoattray_core._state import State
from stoattray_core._tables import ServiceRow

BALANCE_TOLERANCE = 0.02


def select_server(state: State, row: ServiceRow, default: ServerId) -> ServerId:
    """Return the default or a clearly less loaded backend server.

    Parameters
    ----------
    state : State
        Source of randomness, which decides between equals.
    row : ServiceRow
        The service; `default` accepts flows of it.
    default : ServerId
        Backend server that the placement table names.
    """
    others = sorted(row.accepting - {default})
    if not others:
        return default
    weights = {item.server: item.weight for item in row.spec.servers}

    def load_with_one_more(server: ServerId) -> float:
        return (row.open_flows.get(server, 0) + 1) / weights.get(server, 1)

    state.random.shuffle(others)
    other = min(others, key=load_with_one_more)
    limit = load_with_one_more(other) * (1 + BALANCE_TOLERANCE)
    return default if load_with_one_more(default) <= limit else other


def adjust_open_flows(row: ServiceRow, server: ServerId, step: int) -> None:
    """Add `step` to the count of open flows at `server` that are followed here."""
    row.open_flows[server] = max(0, row.open_flows.get(server, 0) + step)
