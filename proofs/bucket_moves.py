"""Specification of one bucket's move from backend server X to Y.

Three balancers, of which the first owns the bucket and the second is its
successor; one flow that was open before at X, and one that opens at any time.
The owner may die once, at any point. Messages may be late for any time, which
stands for loss with resending.

Timing enters as two guards: the hold covers the time in which a caller repeats
an opening packet, and the idle limit means that each flow that still lives has
been seen by the owner before the bucket settles.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 3


class View(IntEnum):
    """How a balancer sees the bucket."""

    SETTLED_X = 0
    TRACKED = 1
    SETTLED_Y = 2


class Phase(IntEnum):
    """Where the owner is with the move."""

    IDLE = 0
    ANNOUNCED = 1
    READY = 2
    SETTLING = 3
    DONE = 4


class Server(IntEnum):
    """Backend servers, as bits."""

    NONE = 0
    X = 1
    Y = 2


class Defect(StrEnum):
    """Ways in which the protocol is broken on purpose."""

    NONE = "none"
    NO_ACKNOWLEDGEMENTS = "places before all have acknowledged"
    NO_HOLD = "places before repeated opening packets have come"
    NO_COPY = "forwards before the record is copied"
    NO_PINS = "settles without pinning the flows that live elsewhere"
    NO_WAIT = "opens at the new base before another balancer knows it"


FORMULAS = (
    "A(G(not two_servers))",
    "A(G(not lost))",
    "A(G(not old_flow_moved))",
    "A(G(E(F(done))))",
)


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system."""

    views: tuple[View, ...] = (View.SETTLED_X,) * N_BALANCERS
    is_first_alive: bool = True
    owner: int = 0
    phase: Phase = Phase.IDLE
    acknowledged: frozenset[int] = frozenset()
    record: Server = Server.NONE
    copy: Server = Server.NONE
    pin: Server = Server.NONE
    is_old_pinned: bool = False
    opened_at: int = 0
    connected: Server = Server.NONE
    content_at: int = 0
    is_lost: bool = False
    is_old_flow_moved: bool = False


class BucketMove:
    """The move as a transition system.

    Parameters
    ----------
    defect : Defect
        What is broken on purpose.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state at rest."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that hold in a state."""
        found = {
            "two_servers": state.content_at == Server.X | Server.Y,
            "lost": state.is_lost,
            "old_flow_moved": state.is_old_flow_moved,
            "done": state.phase is Phase.DONE,
        }
        return {name for name, holds in found.items() if holds}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        yield from self._owner_steps(state)
        yield from self._deliveries(state)
        yield from self._death(state)
        for balancer in self._alive(state):
            yield from self._opening(state, balancer)
            yield from self._content(state, balancer)
            yield from self._old_content(state, balancer)
        yield from self._connect(state)

    def _alive(self, state: State) -> list[int]:
        return list(range(0 if state.is_first_alive else 1, N_BALANCERS))

    def _has_owner(self, state: State) -> bool:
        return state.owner in self._alive(state)

    def _all_acknowledged(self, state: State) -> bool:
        return set(self._alive(state)) <= state.acknowledged

    def _owner_steps(self, state: State) -> Iterator[State]:
        if not self._has_owner(state):
            return
        if state.phase is Phase.IDLE:
            yield self._announce(state, View.TRACKED, Phase.ANNOUNCED)
        elif state.phase is Phase.ANNOUNCED and self._may_place(state):
            yield replace(state, phase=Phase.READY)
        elif state.phase is Phase.READY and self._may_settle(state):
            yield self._settle(state)
        elif state.phase is Phase.SETTLING and self._all_acknowledged(state):
            yield replace(state, phase=Phase.DONE)
        if state.record is Server.Y and state.copy is not Server.Y:
            opened_at = state.opened_at | Server.Y
            yield replace(state, copy=Server.Y, opened_at=opened_at)

    def _may_place(self, state: State) -> bool:
        if self._defect is not Defect.NO_ACKNOWLEDGEMENTS and (
            not self._all_acknowledged(state)
        ):
            return False
        is_half_open = state.opened_at != 0 and state.connected is Server.NONE
        is_covered = state.record is Server.X or not is_half_open
        return is_covered or self._defect is Defect.NO_HOLD

    def _may_settle(self, state: State) -> bool:
        is_copying = state.record is Server.Y and state.copy is not Server.Y
        is_half_open = state.opened_at != 0 and state.connected is Server.NONE
        return not is_copying and not is_half_open

    def _announce(self, state: State, view: View, phase: Phase) -> State:
        views = list(state.views)
        views[state.owner] = view
        return replace(
            state,
            views=tuple(views),
            phase=phase,
            acknowledged=frozenset({state.owner}),
        )

    def _settle(self, state: State) -> State:
        settled = self._announce(state, View.SETTLED_Y, Phase.SETTLING)
        if self._defect is Defect.NO_PINS:
            return settled
        pin = Server.X if state.connected is Server.X else Server.NONE
        return replace(settled, pin=pin, is_old_pinned=True)

    def _deliveries(self, state: State) -> Iterator[State]:
        """Let an announcement of the owner arrive at one more balancer."""
        if not self._has_owner(state):
            return
        if state.phase not in (Phase.ANNOUNCED, Phase.READY, Phase.SETTLING):
            return
        view = View.SETTLED_Y if state.phase is Phase.SETTLING else View.TRACKED
        for balancer in self._alive(state):
            if balancer not in state.acknowledged:
                views = list(state.views)
                views[balancer] = view
                acknowledged = state.acknowledged | {balancer}
                yield replace(state, views=tuple(views), acknowledged=acknowledged)

    def _death(self, state: State) -> Iterator[State]:
        """Let the owner die, or its successor take over with what is known."""
        if state.is_first_alive:
            yield replace(state, is_first_alive=False)
        elif state.owner == 0:
            yield self._take_over(state)

    def _take_over(self, state: State) -> State:
        latest = max(state.views[1:])
        taken = replace(state, owner=1, record=state.copy)
        if latest is View.SETTLED_X:
            return replace(taken, phase=Phase.IDLE, acknowledged=frozenset())
        phase = Phase.SETTLING if latest is View.SETTLED_Y else Phase.ANNOUNCED
        return self._announce(taken, latest, phase)

    def _opening(self, state: State, balancer: int) -> Iterator[State]:
        """Let an opening packet arrive, first or repeated."""
        if state.connected is not Server.NONE:
            return
        view = state.views[balancer]
        is_settling = balancer == state.owner and state.phase is Phase.SETTLING
        if is_settling and self._defect is not Defect.NO_WAIT:
            return
        if view is View.SETTLED_X:
            yield replace(state, opened_at=state.opened_at | Server.X)
        elif view is View.SETTLED_Y:
            server = state.pin or Server.Y
            yield replace(state, opened_at=state.opened_at | server)
        elif self._has_owner(state):
            yield from self._opening_at_owner(state)

    def _opening_at_owner(self, state: State) -> Iterator[State]:
        if state.phase in (Phase.SETTLING, Phase.DONE):
            return
        if state.record is Server.X:
            yield replace(state, opened_at=state.opened_at | Server.X)
        elif state.record is Server.Y:
            if state.copy is Server.Y or self._defect is Defect.NO_COPY:
                yield replace(state, opened_at=state.opened_at | Server.Y)
        elif state.phase is Phase.READY:
            yield replace(state, record=Server.Y)
        elif state.owner == 0:
            opened_at = state.opened_at | Server.X
            yield replace(state, record=Server.X, opened_at=opened_at)

    def _connect(self, state: State) -> Iterator[State]:
        """Let the caller take the first answer to an opening packet."""
        if state.connected is Server.NONE:
            for server in (Server.X, Server.Y):
                if state.opened_at & server:
                    yield replace(state, connected=server)

    def _content(self, state: State, balancer: int) -> Iterator[State]:
        if state.connected is Server.NONE:
            return
        server = self._server_of_open_flow(state, balancer, state.record, state.pin)
        if server is Server.NONE:
            return
        yield replace(
            state,
            content_at=state.content_at | server,
            is_lost=state.is_lost or server is not state.connected,
        )

    def _old_content(self, state: State, balancer: int) -> Iterator[State]:
        pin = Server.X if state.is_old_pinned else Server.NONE
        server = self._server_of_open_flow(state, balancer, Server.NONE, pin)
        if server is Server.Y:
            yield replace(state, is_old_flow_moved=True)

    def _server_of_open_flow(
        self, state: State, balancer: int, record: Server, pin: Server
    ) -> Server:
        view = state.views[balancer]
        if view is View.SETTLED_X:
            return Server.X
        if view is View.SETTLED_Y:
            return pin or Server.Y
        if not self._has_owner(state):
            return Server.NONE
        if state.phase in (Phase.SETTLING, Phase.DONE):
            return pin or record or Server.Y
        return record or Server.X
