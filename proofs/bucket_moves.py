"""Specification of one bucket's move from backend server X to Y.

There are three balancers: the first owns the bucket and the second is its successor.
One flow was open at X before the move, and another one opens at any time. The owner may
crash once, at any point. Messages may be delayed for any time, which also models loss
with retransmission.

Timing is modelled by two guards: the hold covers the time in which a caller repeats
an opening packet, and the idle limit guarantees that the owner has seen each flow that
is still alive before the bucket settles.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 3


class BucketView(IntEnum):
    """Local state of the bucket at a balancer."""

    SETTLED_X = 0
    TRACKED = 1
    SETTLED_Y = 2


class Phase(IntEnum):
    """Progress of the owner with the move."""

    IDLE = 0
    ANNOUNCED = 1
    PLACING = 2
    SETTLING = 3
    DONE = 4


class Server(IntEnum):
    """Backend servers, as bit flags."""

    NONE = 0
    X = 1
    Y = 2


class Defect(StrEnum):
    """Deliberate faults of the protocol that the checks must detect."""

    NONE = "none"
    NO_ACKNOWLEDGEMENTS = "places new flows before all balancers have acknowledged"
    NO_HOLD = "places new flows before repeated opening packets have arrived"
    NO_REPLICATION = "forwards before the record is replicated"
    NO_PINS = "settles without pinning flows at the previous server"
    NO_SETTLING_WAIT = "opens flows at the new server before settling is acknowledged"


FORMULAS = (
    "A(G(not two_servers))",
    "A(G(not lost))",
    "A(G(not old_flow_moved))",
    "A(G(E(F(done))))",
)


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    Parameters
    ----------
    views : tuple of BucketView
        Local state of the bucket at each balancer.
    is_first_owner_alive : bool
        Whether the initial owner has not crashed.
    owner : int
        Index of the current owner.
    phase : Phase
        Progress of the owner.
    acknowledged_by : frozenset of int
        Balancers that have acknowledged the owner's last announcement.
    record : Server
        Server that the owner has recorded for the new flow.
    replicated_record : Server
        Replica of that record at the successor.
    pin : Server
        Server to which the new flow is pinned once the bucket settles.
    is_old_flow_pinned : bool
        Whether the old flow is pinned to X.
    opened_servers : int
        Servers that have received an opening packet, as bit flags.
    connected_server : Server
        Server whose answer the caller of the new flow has accepted.
    data_servers : int
        Servers that have received data of the new flow, as bit flags.
    is_new_flow_lost : bool
        Whether data of the new flow reached a server that it is not connected to.
    is_old_flow_moved : bool
        Whether data of the old flow reached Y.
    """

    views: tuple[BucketView, ...] = (BucketView.SETTLED_X,) * N_BALANCERS
    is_first_owner_alive: bool = True
    owner: int = 0
    phase: Phase = Phase.IDLE
    acknowledged_by: frozenset[int] = frozenset()
    record: Server = Server.NONE
    replicated_record: Server = Server.NONE
    pin: Server = Server.NONE
    is_old_flow_pinned: bool = False
    opened_servers: int = 0
    connected_server: Server = Server.NONE
    data_servers: int = 0
    is_new_flow_lost: bool = False
    is_old_flow_moved: bool = False


class BucketMove:
    """Transition system of a bucket move.

    Parameters
    ----------
    defect : Defect
        Deliberate fault, if any.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state before the move."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that are true in a state."""
        propositions = {
            "two_servers": state.data_servers == Server.X | Server.Y,
            "lost": state.is_new_flow_lost,
            "old_flow_moved": state.is_old_flow_moved,
            "done": state.phase is Phase.DONE,
        }
        return {name for name, is_true in propositions.items() if is_true}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        yield from self._owner_steps(state)
        yield from self._delivery_steps(state)
        yield from self._crash_steps(state)
        for balancer in self._alive_balancers(state):
            yield from self._opening_steps(state, balancer)
            yield from self._data_steps(state, balancer)
            yield from self._old_flow_data_steps(state, balancer)
        yield from self._connect_steps(state)

    def _alive_balancers(self, state: State) -> list[int]:
        return list(range(0 if state.is_first_owner_alive else 1, N_BALANCERS))

    def _is_owner_alive(self, state: State) -> bool:
        return state.owner in self._alive_balancers(state)

    def _all_acknowledged(self, state: State) -> bool:
        return set(self._alive_balancers(state)) <= state.acknowledged_by

    def _owner_steps(self, state: State) -> Iterator[State]:
        if not self._is_owner_alive(state):
            return
        if state.phase is Phase.IDLE:
            yield self._announce(state, BucketView.TRACKED, Phase.ANNOUNCED)
        elif state.phase is Phase.ANNOUNCED and self._can_place(state):
            yield replace(state, phase=Phase.PLACING)
        elif state.phase is Phase.PLACING and self._can_settle(state):
            yield self._settle(state)
        elif state.phase is Phase.SETTLING and self._all_acknowledged(state):
            yield replace(state, phase=Phase.DONE)
        if state.record is Server.Y and state.replicated_record is not Server.Y:
            opened_servers = state.opened_servers | Server.Y
            yield replace(
                state, replicated_record=Server.Y, opened_servers=opened_servers
            )

    def _can_place(self, state: State) -> bool:
        """Return whether the owner may place new flows at Y."""
        if self._defect is not Defect.NO_ACKNOWLEDGEMENTS and (
            not self._all_acknowledged(state)
        ):
            return False
        is_half_open = (
            state.opened_servers != 0 and state.connected_server is Server.NONE
        )
        is_covered = state.record is Server.X or not is_half_open
        return is_covered or self._defect is Defect.NO_HOLD

    def _can_settle(self, state: State) -> bool:
        """Return whether no record is being replicated and no flow is half open."""
        is_copying = (
            state.record is Server.Y and state.replicated_record is not Server.Y
        )
        is_half_open = (
            state.opened_servers != 0 and state.connected_server is Server.NONE
        )
        return not is_copying and not is_half_open

    def _announce(self, state: State, view: BucketView, phase: Phase) -> State:
        views = list(state.views)
        views[state.owner] = view
        return replace(
            state,
            views=tuple(views),
            phase=phase,
            acknowledged_by=frozenset({state.owner}),
        )

    def _settle(self, state: State) -> State:
        settled = self._announce(state, BucketView.SETTLED_Y, Phase.SETTLING)
        if self._defect is Defect.NO_PINS:
            return settled
        pin = Server.X if state.connected_server is Server.X else Server.NONE
        return replace(settled, pin=pin, is_old_flow_pinned=True)

    def _delivery_steps(self, state: State) -> Iterator[State]:
        """Deliver the owner's announcement to one more balancer."""
        if not self._is_owner_alive(state):
            return
        if state.phase not in (Phase.ANNOUNCED, Phase.PLACING, Phase.SETTLING):
            return
        view = (
            BucketView.SETTLED_Y
            if state.phase is Phase.SETTLING
            else BucketView.TRACKED
        )
        for balancer in self._alive_balancers(state):
            if balancer not in state.acknowledged_by:
                views = list(state.views)
                views[balancer] = view
                acknowledged_by = state.acknowledged_by | {balancer}
                yield replace(
                    state, views=tuple(views), acknowledged_by=acknowledged_by
                )

    def _crash_steps(self, state: State) -> Iterator[State]:
        """Crash the owner, or let its successor take over with its own records."""
        if state.is_first_owner_alive:
            yield replace(state, is_first_owner_alive=False)
        elif state.owner == 0:
            yield self._take_over(state)

    def _take_over(self, state: State) -> State:
        latest_view = max(state.views[1:])
        taken_over = replace(state, owner=1, record=state.replicated_record)
        if latest_view is BucketView.SETTLED_X:
            return replace(taken_over, phase=Phase.IDLE, acknowledged_by=frozenset())
        phase = (
            Phase.SETTLING if latest_view is BucketView.SETTLED_Y else Phase.ANNOUNCED
        )
        return self._announce(taken_over, latest_view, phase)

    def _opening_steps(self, state: State, balancer: int) -> Iterator[State]:
        """Deliver an opening packet, first or repeated, to a balancer."""
        if state.connected_server is not Server.NONE:
            return
        view = state.views[balancer]
        is_settling = balancer == state.owner and state.phase is Phase.SETTLING
        if is_settling and self._defect is not Defect.NO_SETTLING_WAIT:
            return
        if view is BucketView.SETTLED_X:
            yield replace(state, opened_servers=state.opened_servers | Server.X)
        elif view is BucketView.SETTLED_Y:
            server = state.pin or Server.Y
            yield replace(state, opened_servers=state.opened_servers | server)
        elif self._is_owner_alive(state):
            yield from self._owner_opening_steps(state)

    def _owner_opening_steps(self, state: State) -> Iterator[State]:
        if state.phase in (Phase.SETTLING, Phase.DONE):
            return
        if state.record is Server.X:
            yield replace(state, opened_servers=state.opened_servers | Server.X)
        elif state.record is Server.Y:
            if (
                state.replicated_record is Server.Y
                or self._defect is Defect.NO_REPLICATION
            ):
                yield replace(state, opened_servers=state.opened_servers | Server.Y)
        elif state.phase is Phase.PLACING:
            yield replace(state, record=Server.Y)
        elif state.owner == 0:
            opened_servers = state.opened_servers | Server.X
            yield replace(state, record=Server.X, opened_servers=opened_servers)

    def _connect_steps(self, state: State) -> Iterator[State]:
        """Let the caller accept the first answer to an opening packet."""
        if state.connected_server is Server.NONE:
            for server in (Server.X, Server.Y):
                if state.opened_servers & server:
                    yield replace(state, connected_server=server)

    def _data_steps(self, state: State, balancer: int) -> Iterator[State]:
        if state.connected_server is Server.NONE:
            return
        server = self._server_of_open_flow(state, balancer, state.record, state.pin)
        if server is Server.NONE:
            return
        yield replace(
            state,
            data_servers=state.data_servers | server,
            is_new_flow_lost=state.is_new_flow_lost
            or server is not state.connected_server,
        )

    def _old_flow_data_steps(self, state: State, balancer: int) -> Iterator[State]:
        pin = Server.X if state.is_old_flow_pinned else Server.NONE
        server = self._server_of_open_flow(state, balancer, Server.NONE, pin)
        if server is Server.Y:
            yield replace(state, is_old_flow_moved=True)

    def _server_of_open_flow(
        self, state: State, balancer: int, record: Server, pin: Server
    ) -> Server:
        view = state.views[balancer]
        if view is BucketView.SETTLED_X:
            return Server.X
        if view is BucketView.SETTLED_Y:
            return pin or Server.Y
        if not self._is_owner_alive(state):
            return Server.NONE
        if state.phase in (Phase.SETTLING, Phase.DONE):
            return pin or record or Server.Y
        return record or Server.X
