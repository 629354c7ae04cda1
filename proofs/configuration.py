"""Specification of writes, lost answers and distribution of the configuration.

Two writers race to change one entry of the store by compare-and-swap. The answer
to a write may be lost while the write is still in flight. Three balancers read the
store or each other. One of them may be replaced by a new process at any time, and the
store may be unavailable at any time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 3
N_WRITERS = 2


class WriteOutcome(IntEnum):
    """Result of a write as known to its writer."""

    NOT_SENT = 0
    WAITING = 1
    ANSWER_LOST = 2
    APPLIED = 3
    NOT_APPLIED = 4


class Defect(StrEnum):
    """Deliberate faults of the protocol that the checks must detect."""

    NONE = "none"
    NO_COMPARE_AND_SWAP = "writes without comparing the revision"
    PREMATURE_NOT_APPLIED = "reports a write as not applied while it may be in flight"
    ACCEPTS_OLDER_REVISION = "accepts a peer's configuration even if it is older"
    SERVES_BEFORE_SYNC = "serves before it has synchronised with its peers"


FORMULAS = (
    "A(G(not reverted))",
    "A(G(not two_winners))",
    "A(G(not wrong_verdict))",
    "A(G((not accepted) or E(F(everywhere))))",
)


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    Parameters
    ----------
    store_revision : int
        Revision of the store.
    outcomes : tuple of WriteOutcome
        Result of the write as known to each writer.
    in_flight : frozenset of int
        Writers whose write may still reach the store.
    applied : frozenset of int
        Writers whose write the store has applied.
    revisions : tuple of int
        Revision of each balancer's configuration.
    serving : frozenset of int
        Balancers that serve traffic.
    n_replaced : int
        Number of balancers that a new process has replaced.
    is_reverted : bool
        Whether a serving balancer went back to an older revision.
    """

    store_revision: int = 0
    outcomes: tuple[WriteOutcome, ...] = (WriteOutcome.NOT_SENT,) * N_WRITERS
    in_flight: frozenset[int] = frozenset()
    applied: frozenset[int] = frozenset()
    revisions: tuple[int, ...] = (0,) * N_BALANCERS
    serving: frozenset[int] = frozenset(range(N_BALANCERS))
    n_replaced: int = 0
    is_reverted: bool = False


class ConfigurationDistribution:
    """Transition system of writes and their distribution.

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
        n_winners = state.outcomes.count(WriteOutcome.APPLIED)
        is_wrong = any(
            (outcome is WriteOutcome.NOT_APPLIED and writer in state.applied)
            or (outcome is WriteOutcome.APPLIED and writer not in state.applied)
            for writer, outcome in enumerate(state.outcomes)
        )
        propositions = {
            "reverted": state.is_reverted,
            "two_winners": n_winners > 1,
            "wrong_verdict": is_wrong,
            "accepted": n_winners > 0,
            "everywhere": min(state.revisions) == state.store_revision,
        }
        return {name for name, is_true in propositions.items() if is_true}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        for writer in range(N_WRITERS):
            yield from self._writer_steps(state, writer)
        for balancer in range(N_BALANCERS):
            yield from self._balancer_steps(state, balancer)
        if state.n_replaced == 0:
            for balancer in range(N_BALANCERS):
                yield self._replace_balancer(state, balancer)

    def _writer_steps(self, state: State, writer: int) -> Iterator[State]:
        outcome = state.outcomes[writer]
        if outcome is WriteOutcome.NOT_SENT:
            sent = self._with_outcome(state, writer, WriteOutcome.WAITING)
            yield replace(sent, in_flight=state.in_flight | {writer})
        if writer in state.in_flight:
            yield self._arrive_at_store(state, writer)
        if outcome is WriteOutcome.WAITING:
            yield self._with_outcome(state, writer, WriteOutcome.ANSWER_LOST)
            if writer not in state.in_flight:
                is_applied = writer in state.applied
                result = (
                    WriteOutcome.APPLIED if is_applied else WriteOutcome.NOT_APPLIED
                )
                yield self._with_outcome(state, writer, result)
        if outcome is WriteOutcome.ANSWER_LOST:
            yield from self._read_result(state, writer)

    def _arrive_at_store(self, state: State, writer: int) -> State:
        arrived = replace(state, in_flight=state.in_flight - {writer})
        is_unchanged = state.store_revision == 0
        if not is_unchanged and self._defect is not Defect.NO_COMPARE_AND_SWAP:
            return arrived
        applied = state.applied | {writer}
        return replace(
            arrived, store_revision=state.store_revision + 1, applied=applied
        )

    def _read_result(self, state: State, writer: int) -> Iterator[State]:
        """Determine the result once the entry shows this change or another one."""
        if writer in state.applied:
            yield self._with_outcome(state, writer, WriteOutcome.APPLIED)
        elif state.store_revision > 0 or self._defect is Defect.PREMATURE_NOT_APPLIED:
            yield self._with_outcome(state, writer, WriteOutcome.NOT_APPLIED)

    def _with_outcome(self, state: State, writer: int, outcome: WriteOutcome) -> State:
        outcomes = list(state.outcomes)
        outcomes[writer] = outcome
        return replace(state, outcomes=tuple(outcomes))

    def _balancer_steps(self, state: State, balancer: int) -> Iterator[State]:
        yield self._adopt_revision(state, balancer, state.store_revision)
        for peer in range(N_BALANCERS):
            if peer != balancer and peer in state.serving:
                yield self._adopt_revision(state, balancer, state.revisions[peer])
        if balancer not in state.serving:
            peers = [state.revisions[peer] for peer in state.serving]
            if state.revisions[balancer] >= max(peers, default=0):
                yield replace(state, serving=state.serving | {balancer})

    def _adopt_revision(self, state: State, balancer: int, revision: int) -> State:
        current = state.revisions[balancer]
        if revision <= current and self._defect is not Defect.ACCEPTS_OLDER_REVISION:
            return state
        revisions = list(state.revisions)
        revisions[balancer] = revision
        is_reverted = state.is_reverted or (
            balancer in state.serving and revision < current
        )
        return replace(state, revisions=tuple(revisions), is_reverted=is_reverted)

    def _replace_balancer(self, state: State, balancer: int) -> State:
        """Replace a balancer by a new process without a configuration."""
        revisions = list(state.revisions)
        previous = revisions[balancer]
        revisions[balancer] = 0
        serving = state.serving - {balancer}
        is_reverted = state.is_reverted
        if self._defect is Defect.SERVES_BEFORE_SYNC:
            serving = state.serving
            is_reverted = is_reverted or previous > 0
        return replace(
            state,
            revisions=tuple(revisions),
            serving=serving,
            n_replaced=1,
            is_reverted=is_reverted,
        )
