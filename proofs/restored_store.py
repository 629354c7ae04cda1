"""Specification of a store that returns from an older copy in a new era.

An operator writes configurations of rising versions and a backend server keeps its
record. The store is copied once and may return from the copy, which loses later writes
and assigns their revisions again. Operator and server then write again. Two balancers
read the store or each other; one answer of the store may arrive late. The time that
servers have to register again outlasts their writes and the distribution of these.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

N_BALANCERS = 2
MAX_VERSION = 2
MAX_ERA = 1
MAX_REVISION = 2


class Defect(StrEnum):
    """Deliberate faults of the protocol that the checks must detect."""

    NONE = "none"
    REVISION_WITHOUT_ERA = "compares revisions without their eras"
    ACCEPTS_LATE_ANSWER = "applies a late answer of an older era"
    ACCEPTS_OLDER_PEER = "applies the records of a peer in an older era"
    APPLIES_COPIED_CONFIGURATION = "applies a configuration of a lower version"
    DROPS_AT_ONCE = "removes a server at once that the copy lacks"


FORMULAS = (
    "A(G(not reverted))",
    "A(G(not replica_reverted))",
    "A(G(not dropped))",
    "A(G(E(F(converged))))",
)


class Content(NamedTuple):
    """Records of the store or a replica, at a version."""

    era: int = 0
    revision: int = 0
    configuration: int = 0
    has_server: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Return era and revision."""
        return self.era, self.revision


class BalancerState(NamedTuple):
    """Replica, configuration in force, and whether the server is used."""

    replica: Content = Content()
    in_force: int = 0
    uses_server: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    Parameters
    ----------
    store, copy : Content
        The store and its copy.
    newest : int
        Highest version that the operator has written.
    is_registered : bool
        Whether the server has ever written its record.
    is_in_grace : bool
        Whether the server may still have to write its record again.
    balancers : tuple of BalancerState
        Both balancers.
    late_answer : Content or None
        Answer on its way to the first balancer.
    has_late_answer : bool
        Whether the late answer was sent.
    is_reverted, is_replica_reverted, is_dropped : bool
        Whether a configuration or a replica went back, or a live server was removed.
    """

    store: Content = Content()
    copy: Content | None = None
    newest: int = 0
    is_registered: bool = False
    is_in_grace: bool = False
    balancers: tuple[BalancerState, ...] = (BalancerState(),) * N_BALANCERS
    late_answer: Content | None = None
    has_late_answer: bool = False
    is_reverted: bool = False
    is_replica_reverted: bool = False
    is_dropped: bool = False


class RestoredStore:
    """Transition system of the store, its writers and its readers.

    Parameters
    ----------
    defect : Defect
        Deliberate fault, if any.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state before any write."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that are true in a state."""
        is_converged = all(
            balancer.replica == state.store
            and balancer.in_force == state.newest
            and balancer.uses_server == state.is_registered
            for balancer in state.balancers
        )
        propositions = {
            "reverted": state.is_reverted,
            "replica_reverted": state.is_replica_reverted,
            "dropped": state.is_dropped,
            "converged": is_converged,
        }
        return {name for name, is_true in propositions.items() if is_true}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        yield from self._write_steps(state)
        yield from self._store_steps(state)
        for number in range(N_BALANCERS):
            yield self._receive(state, number, state.store)
            peer = state.balancers[1 - number].replica
            yield self._receive(state, number, peer, is_peer=True)
        if not state.has_late_answer:
            yield replace(state, late_answer=state.store, has_late_answer=True)
        elif state.late_answer is not None:
            received = self._receive(state, 0, state.late_answer, is_late=True)
            yield replace(received, late_answer=None)

    def _write_steps(self, state: State) -> Iterator[State]:
        store = state.store
        if store.configuration < state.newest:
            yield self._written(state, configuration=state.newest)
        elif state.newest < MAX_VERSION and store.revision < MAX_REVISION:
            newest = state.newest + 1
            written = self._written(state, configuration=newest)
            yield replace(written, newest=newest)
        if not store.has_server:
            written = self._written(state, has_server=True)
            yield replace(written, is_registered=True)
        elif state.is_in_grace:
            yield replace(state, is_in_grace=False)

    def _written(self, state: State, **changes: object) -> State:
        revision = state.store.revision + 1
        return replace(state, store=state.store._replace(revision=revision, **changes))

    def _store_steps(self, state: State) -> Iterator[State]:
        if state.copy is None:
            yield replace(state, copy=state.store)
        elif state.store.era < MAX_ERA:
            era = state.store.era + 1
            restored = state.copy._replace(era=era)
            yield replace(state, store=restored, is_in_grace=state.is_registered)

    def _receive(
        self,
        state: State,
        number: int,
        content: Content,
        *,
        is_peer: bool = False,
        is_late: bool = False,
    ) -> State:
        """Return the state after a balancer received records from store or peer."""
        balancer = state.balancers[number]
        if not self._is_accepted(balancer.replica, content, is_peer, is_late):
            return state
        in_force = max(balancer.in_force, content.configuration)
        if self._defect is Defect.APPLIES_COPIED_CONFIGURATION:
            in_force = content.configuration
        may_be_lapsed = state.is_in_grace or content != state.store
        keeps_server = may_be_lapsed and self._defect is not Defect.DROPS_AT_ONCE
        uses_server = content.has_server or (balancer.uses_server and keeps_server)
        balancers = list(state.balancers)
        balancers[number] = BalancerState(content, in_force, uses_server)
        is_back = content.version < balancer.replica.version
        return replace(
            state,
            balancers=tuple(balancers),
            is_reverted=state.is_reverted or in_force < balancer.in_force,
            is_replica_reverted=state.is_replica_reverted or is_back,
            is_dropped=state.is_dropped
            or (balancer.uses_server and not uses_server and state.is_registered),
        )

    def _is_accepted(
        self, held: Content, content: Content, is_peer: bool, is_late: bool
    ) -> bool:
        if self._defect is Defect.REVISION_WITHOUT_ERA:
            return content.revision > held.revision
        is_older_era = content.era < held.era
        if self._defect is Defect.ACCEPTS_OLDER_PEER and is_peer and is_older_era:
            return True
        if self._defect is Defect.ACCEPTS_LATE_ANSWER and is_late and is_older_era:
            return True
        return content.version > held.version
