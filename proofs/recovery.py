"""Specification of starts, pauses and cookies with cookie placement.

Two balancers follow the store, or each other, through a short history. Each may be
killed, started with nothing, cut off from the store, or paused, at any time. Callers
open flows and go on with them through either balancer.

The history is one revision after the other:

=  =====================================================================
1  a route to the first service, whose server X stands at an address
2  a further route, accepted by the store
3  X has ended
4  Y, of a second service, stands at the address that X had
=  =====================================================================

Two bounds of the platform enter as guards: revision 2 is in force, and the address of X
may be used again, once each running balancer with a confirmed copy knows of it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 2
ROUTE_ADDED = 2
X_ENDED = 3
ADDRESS_REUSED = 4


class Mode(IntEnum):
    """What a balancer's process does."""

    DOWN = 0
    RUNNING = 1
    PAUSED = 2


class Server(StrEnum):
    """Who serves a flow."""

    NONE = "none"
    X = "x"
    Y = "y"


class Defect(StrEnum):
    """Ways in which the rules are broken on purpose."""

    NONE = "none"
    RESETS_UNREADY = "resets openings before a configuration is known"
    COOKIE_BY_POSITION = "reads a cookie as a position in the table of the day"
    SERVER_NOT_NAMED = "sends to an address without naming the intended server"
    TRUSTS_AFTER_PAUSE = "takes a copy from before a pause to be confirmed"
    TAKES_ANY_REVISION = "takes a peer's copy even if it is older"


FORMULAS = (
    "A(G(not false_reset))",
    "A(G(not misdelivered))",
    "A(G(not moved))",
    "A(G(not reverted))",
    "A(G(E(F(recovered))))",
)


@dataclass(frozen=True, slots=True)
class Balancer:
    """One balancer: its process, its copy's revision, whether that is confirmed.

    ``knows_x`` says whether cookies of X are still read, also after its end.
    """

    mode: Mode = Mode.RUNNING
    held: int = 1
    is_confirmed: bool = True
    knows_x: bool = True


@dataclass(frozen=True, slots=True)
class State:
    """The store's revision, both balancers, the open flow, and what went wrong."""

    store: int = 1
    is_in_force: bool = False
    balancers: tuple[Balancer, ...] = (Balancer(),) * N_BALANCERS
    flow: Server = Server.NONE
    violation: str = ""


class Recovery:
    """Starts, pauses and packets as a transition system.

    Parameters
    ----------
    defect : Defect
        What is broken on purpose.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state in which both balancers know the first revision."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that hold in a state."""
        found = {state.violation} if state.violation else set()
        if all(row == _current(state, row) for row in state.balancers):
            found.add("recovered")
        return found

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to; none follows a violation."""
        if state.violation:
            return
        yield from self._store_steps(state)
        for place, row in enumerate(state.balancers):
            if row.mode is Mode.DOWN:
                fresh = Balancer(held=0, is_confirmed=False, knows_x=False)
                yield _put(state, place, fresh)
                continue
            yield _put(state, place, Balancer(Mode.DOWN, 0, False, False))
            if row.mode is Mode.PAUSED:
                yield _put(state, place, replace(row, mode=Mode.RUNNING))
                continue
            yield _put(state, place, self._paused(row))
            yield _put(state, place, replace(row, is_confirmed=False))
            yield _put(state, place, _current(state, row))
            yield from self._peer_steps(state, place, row)
            yield from self._packet_steps(state, row)

    def _store_steps(self, state: State) -> Iterator[State]:
        """Let the operator or a server write, once the bounds before it are over."""
        known = [
            row.held
            for row in state.balancers
            if row.mode is Mode.RUNNING and row.is_confirmed
        ]
        if state.store >= ROUTE_ADDED and min(known, default=ROUTE_ADDED) >= 2:
            yield replace(state, is_in_force=True)
        if state.store == X_ENDED:
            if min(known, default=X_ENDED) >= X_ENDED:
                yield replace(state, store=ADDRESS_REUSED)
        elif state.store == ROUTE_ADDED:
            flow = Server.NONE if state.flow is Server.X else state.flow
            yield replace(state, store=X_ENDED, flow=flow)
        elif state.store < ROUTE_ADDED:
            yield replace(state, store=ROUTE_ADDED)

    def _paused(self, row: Balancer) -> Balancer:
        """Return a balancer that stands still; its clock counts the pause."""
        trusts = self._defect is Defect.TRUSTS_AFTER_PAUSE and row.is_confirmed
        return replace(row, mode=Mode.PAUSED, is_confirmed=trusts)

    def _peer_steps(self, state: State, place: int, row: Balancer) -> Iterator[State]:
        """Take a running peer's copy, with its confirmation."""
        for other, peer in enumerate(state.balancers):
            if other == place or peer.mode is not Mode.RUNNING or peer.held == 0:
                continue
            is_older = peer.held < row.held
            if is_older and self._defect is not Defect.TAKES_ANY_REVISION:
                continue
            if is_older:
                yield replace(state, violation="reverted")
            knows_x = row.knows_x or peer.held < X_ENDED
            confirmed = peer.is_confirmed
            taken = Balancer(Mode.RUNNING, peer.held, confirmed, knows_x)
            yield _put(state, place, taken)

    def _packet_steps(self, state: State, row: Balancer) -> Iterator[State]:
        """Take an opening of each destination, and a further packet of the flow."""
        if self._resets_added_route(row) and (state.is_in_force or row.held == 0):
            yield replace(state, violation="false_reset")
        if row.held in (1, ROUTE_ADDED):
            yield from self._open_x(state)
        if row.held == ADDRESS_REUSED and state.flow is Server.NONE:
            yield replace(state, flow=Server.Y)
        named = self._read_cookie(state.flow, row)
        if named not in (Server.NONE, state.flow):
            yield replace(state, violation="moved")

    def _resets_added_route(self, row: Balancer) -> bool:
        """Return whether an opening of the route of revision 2 is reset here."""
        if row.held == 0:
            return self._defect is Defect.RESETS_UNREADY
        return row.held < ROUTE_ADDED and row.is_confirmed

    def _open_x(self, state: State) -> Iterator[State]:
        """Send an opening to the address of X, naming X."""
        if state.store < X_ENDED:
            if state.flow is Server.NONE:
                yield replace(state, flow=Server.X)
        elif state.store == ADDRESS_REUSED and (
            self._defect is Defect.SERVER_NOT_NAMED
        ):
            yield replace(state, violation="misdelivered")

    def _read_cookie(self, flow: Server, row: Balancer) -> Server:
        """Return the server that a packet of the flow is sent to, if any."""
        if flow is Server.NONE or row.held == 0:
            return Server.NONE
        if self._defect is Defect.COOKIE_BY_POSITION:
            table = {1: Server.X, 2: Server.X, ADDRESS_REUSED: Server.Y}
            return table.get(row.held, Server.NONE)
        knows = row.knows_x if flow is Server.X else row.held == ADDRESS_REUSED
        return flow if knows else Server.NONE


def _put(state: State, place: int, row: Balancer) -> State:
    rows = list(state.balancers)
    rows[place] = row
    return replace(state, balancers=tuple(rows))


def _current(state: State, row: Balancer) -> Balancer:
    """Return a balancer that has just read the store."""
    knows_x = row.knows_x or state.store < X_ENDED
    return Balancer(Mode.RUNNING, state.store, True, knows_x)
