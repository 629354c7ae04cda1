"""Choice of a backend server for a new flow.

The default is the bucket's own backend server. A service that weighs balance
more takes the less loaded of the default and one other (power of two choices,
Mitzenmacher 2001), but only where the difference is worth a flow record.
"""

from stoattray_core._identifiers import MemberId, ServerId
from stoattray_core._state import State
from stoattray_core._tables import ServiceRow

BALANCE_MARGIN = 0.02


def open_flows(state: State, row: ServiceRow) -> dict[ServerId, int]:
    """Return the open flows per backend server that the owners count."""
    totals: dict[ServerId, int] = {}
    for member, counts in row.loads.items():
        if not _is_present(state, member):
            continue
        for server, count in counts.items():
            totals[server] = totals.get(server, 0) + count
    return totals


def choose_server(state: State, row: ServiceRow, default: ServerId) -> ServerId:
    """Return the default or a clearly less loaded backend server.

    Parameters
    ----------
    state : State
        Source of randomness.
    row : ServiceRow
        The service; `default` accepts flows of it.
    default : ServerId
        Backend server that the placement table names.
    """
    others = sorted(row.accepting - {default})
    if not others:
        return default
    totals = open_flows(state, row)
    weights = {item.server: item.weight for item in row.spec.servers}
    other = state.random.choice(others)
    default_load = totals.get(default, 0) / weights.get(default, 1)
    other_load = (totals.get(other, 0) + 1) / weights.get(other, 1)
    if default_load <= other_load * (1 + BALANCE_MARGIN):
        return default
    return other


def count_opened(state: State, row: ServiceRow, server: ServerId, step: int) -> None:
    """Add `step` to this owner's own count of open flows at `server`."""
    counts = row.loads.setdefault(state.me, {})
    counts[server] = max(0, counts.get(server, 0) + step)


def _is_present(state: State, member: MemberId) -> bool:
    row = state.tables.members.get(member)
    return row is not None and row.is_present
