"""Selection of the backend server for a new flow under the balance policy.

The owner of the service's home shard sees every flow open and end, so it can
select the backend server with the fewest open flows relative to its weight. It
keeps the bucket's default unless another server is clearly less loaded, since
only a flow away from the default needs a record on a second balancer.
"""

from stoattray_core._identifiers import ServerId
from stoattray_core._state import State
from stoattray_core._tables import ServiceRow

BALANCE_TOLERANCE = 0.02  # relative difference in load


def select_server(state: State, row: ServiceRow, default: ServerId) -> ServerId:
    """Return the default, or a backend server that is clearly less loaded.

    Parameters
    ----------
    state : State
        Provides the random generator that breaks ties.
    row : ServiceRow
        The service; `default` accepts new flows of it.
    default : ServerId
        Desired backend server of the shard.
    """
    others = sorted(row.accepting_servers - {default})
    if not others:
        return default
    weights = {item.server: item.weight for item in row.spec.servers}

    def load_after_opening(server: ServerId) -> float:
        return (row.open_flows_by_server.get(server, 0) + 1) / weights.get(server, 1)

    state.random.shuffle(others)
    other = min(others, key=load_after_opening)
    limit = load_after_opening(other) * (1 + BALANCE_TOLERANCE)
    return default if load_after_opening(default) <= limit else other


def adjust_open_flows(row: ServiceRow, server: ServerId, step: int) -> None:
    """Add `step` to the number of open flows at `server` that are tracked here."""
    row.open_flows_by_server[server] = max(
        0, row.open_flows_by_server.get(server, 0) + step
    )
