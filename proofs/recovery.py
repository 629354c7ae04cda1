"""Specification of restarts, pauses and cookie routing with cookie placement.

Two balancers replicate the store, directly or from each other, through four revisions.
Each may be killed, started without a copy, disconnected from the store, or paused, at
any time. Callers open flows and continue them through either balancer.

The revisions are:

=  =====================================================================
1  a route to the first service, whose server X has an address
2  a further route, accepted by the store
3  X has ended
4  Y, of a second service, has the address that X had
=  =====================================================================

Two bounds of the platform are modelled as guards: revision 2 comes into force, and the
address of X may be reused, once each running balancer with a confirmed copy has
revision 2 or 3, respectively.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 2
ROUTE_ADDED = 2
X_ENDED = 3
ADDRESS_REUSED = 4


class Mode(IntEnum):
    """Run state of a balancer's process."""

    DOWN = 0
    RUNNING = 1
    PAUSED = 2


class Server(StrEnum):
    """Backend server of a flow."""

    NONE = "none"
    X = "x"
    Y = "y"


class Defect(StrEnum):
    """Deliberate faults of the protocol that the checks must detect."""

    NONE = "none"
    RESETS_BEFORE_READY = "resets openings before it has a configuration"
    COOKIE_BY_INDEX = "reads a cookie as an index into the current server table"
    SERVER_NOT_IDENTIFIED = (
        "sends to an address without identifying the intended server"
    )
    CONFIRMED_AFTER_PAUSE = "treats a copy from before a pause as confirmed"
    ACCEPTS_OLDER_REVISION = "accepts a peer's copy even if it is older"


FORMULAS = (
    "A(G(not false_reset))",
    "A(G(not misdelivered))",
    "A(G(not moved))",
    "A(G(not reverted))",
    "A(G(E(F(recovered))))",
)


@dataclass(frozen=True, slots=True)
class Balancer:
    """One balancer and its copy of the store.

    Parameters
    ----------
    mode : Mode
        Run state of the process.
    revision : int
        Revision of the copy, or 0 without one.
    is_confirmed : bool
        Whether the copy is confirmed to be current.
    resolves_x : bool
        Whether cookies of X are resolved, which continues after X has ended.
    """

    mode: Mode = Mode.RUNNING
    revision: int = 1
    is_confirmed: bool = True
    resolves_x: bool = True


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    Parameters
    ----------
    store_revision : int
        Revision of the store.
    is_in_force : bool
        Whether the route of revision 2 is in force.
    balancers : tuple of Balancer
        Both balancers.
    flow : Server
        Server of the open flow.
    violation : str
        Proposition of the rule that was violated, or empty.
    """

    store_revision: int = 1
    is_in_force: bool = False
    balancers: tuple[Balancer, ...] = (Balancer(),) * N_BALANCERS
    flow: Server = Server.NONE
    violation: str = ""


class Recovery:
    """Transition system of restarts, pauses and packets.

    Parameters
    ----------
    defect : Defect
        Deliberate fault, if any.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state in which both balancers have the first revision."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that are true in a state."""
        propositions = {state.violation} if state.violation else set()
        if all(
            balancer == _synchronised(state, balancer) for balancer in state.balancers
        ):
            propositions.add("recovered")
        return propositions

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to; a violation has no successors."""
        if state.violation:
            return
        yield from self._store_steps(state)
        for index, balancer in enumerate(state.balancers):
            if balancer.mode is Mode.DOWN:
                restarted = Balancer(revision=0, is_confirmed=False, resolves_x=False)
                yield _with_balancer(state, index, restarted)
                continue
            yield _with_balancer(state, index, Balancer(Mode.DOWN, 0, False, False))
            if balancer.mode is Mode.PAUSED:
                yield _with_balancer(state, index, replace(balancer, mode=Mode.RUNNING))
                continue
            yield _with_balancer(state, index, self._paused(balancer))
            yield _with_balancer(state, index, replace(balancer, is_confirmed=False))
            yield _with_balancer(state, index, _synchronised(state, balancer))
            yield from self._peer_steps(state, index, balancer)
            yield from self._packet_steps(state, balancer)

    def _store_steps(self, state: State) -> Iterator[State]:
        """Advance the store by one write, where the guards allow it."""
        confirmed_revisions = [
            balancer.revision
            for balancer in state.balancers
            if balancer.mode is Mode.RUNNING and balancer.is_confirmed
        ]
        if (
            state.store_revision >= ROUTE_ADDED
            and min(confirmed_revisions, default=ROUTE_ADDED) >= 2
        ):
            yield replace(state, is_in_force=True)
        if state.store_revision == X_ENDED:
            if min(confirmed_revisions, default=X_ENDED) >= X_ENDED:
                yield replace(state, store_revision=ADDRESS_REUSED)
        elif state.store_revision == ROUTE_ADDED:
            flow = Server.NONE if state.flow is Server.X else state.flow
            yield replace(state, store_revision=X_ENDED, flow=flow)
        elif state.store_revision < ROUTE_ADDED:
            yield replace(state, store_revision=ROUTE_ADDED)

    def _paused(self, balancer: Balancer) -> Balancer:
        """Return a paused balancer; its clock includes the pause."""
        is_confirmed = (
            self._defect is Defect.CONFIRMED_AFTER_PAUSE and balancer.is_confirmed
        )
        return replace(balancer, mode=Mode.PAUSED, is_confirmed=is_confirmed)

    def _peer_steps(
        self, state: State, index: int, balancer: Balancer
    ) -> Iterator[State]:
        """Copy a running peer's configuration, together with its confirmation."""
        for peer_index, peer in enumerate(state.balancers):
            if (
                peer_index == index
                or peer.mode is not Mode.RUNNING
                or peer.revision == 0
            ):
                continue
            is_older = peer.revision < balancer.revision
            if is_older and self._defect is not Defect.ACCEPTS_OLDER_REVISION:
                continue
            if is_older:
                yield replace(state, violation="reverted")
            resolves_x = balancer.resolves_x or peer.revision < X_ENDED
            is_confirmed = peer.is_confirmed
            updated = Balancer(Mode.RUNNING, peer.revision, is_confirmed, resolves_x)
            yield _with_balancer(state, index, updated)

    def _packet_steps(self, state: State, balancer: Balancer) -> Iterator[State]:
        """Handle an opening of each destination, and a further packet of the flow."""
        if self._resets_added_route(balancer) and (
            state.is_in_force or balancer.revision == 0
        ):
            yield replace(state, violation="false_reset")
        if balancer.revision in (1, ROUTE_ADDED):
            yield from self._x_opening_steps(state)
        if balancer.revision == ADDRESS_REUSED and state.flow is Server.NONE:
            yield replace(state, flow=Server.Y)
        server = self._resolve_cookie(state.flow, balancer)
        if server not in (Server.NONE, state.flow):
            yield replace(state, violation="moved")

    def _resets_added_route(self, balancer: Balancer) -> bool:
        """Return whether a balancer resets an opening of the route of revision 2."""
        if balancer.revision == 0:
            return self._defect is Defect.RESETS_BEFORE_READY
        return balancer.revision < ROUTE_ADDED and balancer.is_confirmed

    def _x_opening_steps(self, state: State) -> Iterator[State]:
        """Send an opening to the address of X, with X as its intended server."""
        if state.store_revision < X_ENDED:
            if state.flow is Server.NONE:
                yield replace(state, flow=Server.X)
        elif state.store_revision == ADDRESS_REUSED and (
            self._defect is Defect.SERVER_NOT_IDENTIFIED
        ):
            yield replace(state, violation="misdelivered")

    def _resolve_cookie(self, flow: Server, balancer: Balancer) -> Server:
        """Return the server that the cookie of a flow resolves to, if any."""
        if flow is Server.NONE or balancer.revision == 0:
            return Server.NONE
        if self._defect is Defect.COOKIE_BY_INDEX:
            servers_by_revision = {1: Server.X, 2: Server.X, ADDRESS_REUSED: Server.Y}
            return servers_by_revision.get(balancer.revision, Server.NONE)
        is_resolved = (
            balancer.resolves_x
            if flow is Server.X
            else balancer.revision == ADDRESS_REUSED
        )
        return flow if is_resolved else Server.NONE


def _with_balancer(state: State, index: int, balancer: Balancer) -> State:
    balancers = list(state.balancers)
    balancers[index] = balancer
    return replace(state, balancers=tuple(balancers))


def _synchronised(state: State, balancer: Balancer) -> Balancer:
    """Return a balancer as it is after it has read the store."""
    resolves_x = balancer.resolves_x or state.store_revision < X_ENDED
    return Balancer(Mode.RUNNING, state.store_revision, True, resolves_x)
