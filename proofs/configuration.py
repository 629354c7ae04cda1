"""Specification of writes, lost answers and the spread of the configuration.

Two operators race to change one entry of the store by compare-and-swap; the
answer to a write may be lost, and the write may still be under way then. Three
balancers read the store or each other; one may be replaced by a fresh process
at any time, and the store may be down at any time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

N_BALANCERS = 3
N_WRITERS = 2


class Outcome(IntEnum):
    """What an operator knows of the write."""

    NOT_SENT = 0
    WAITING = 1
    ANSWER_LOST = 2
    APPLIED = 3
    NOT_APPLIED = 4


class Defect(StrEnum):
    """Ways in which the protocol is broken on purpose."""

    NONE = "none"
    NO_COMPARISON = "writes without comparing the revision"
    EARLY_VERDICT = "calls a write not applied while it may be under way"
    TAKES_ANY_REVISION = "takes a peer's state even if it is older"
    SERVES_AT_ONCE = "serves before it has learned from peers"


FORMULAS = (
    "A(G(not reverted))",
    "A(G(not two_winners))",
    "A(G(not wrong_verdict))",
    "A(G((not accepted) or E(F(everywhere))))",
)


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    ``store`` is the store's revision, ``writers`` what each operator knows,
    ``under_way`` the writes that may still arrive, ``applied`` those that the
    store has taken, ``held`` each balancer's revision, ``serving`` which of
    them decide, ``served`` the highest revision ever served by a balancer
    of that place.
    """

    store: int = 0
    writers: tuple[Outcome, ...] = (Outcome.NOT_SENT,) * N_WRITERS
    under_way: frozenset[int] = frozenset()
    applied: frozenset[int] = frozenset()
    held: tuple[int, ...] = (0,) * N_BALANCERS
    serving: frozenset[int] = frozenset(range(N_BALANCERS))
    n_replaced: int = 0
    is_reverted: bool = False


class Distribution:
    """Writes and spread as a transition system.

    Parameters
    ----------
    defect : Defect
        What is broken on purpose.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return the state before any write."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that hold in a state."""
        n_winners = state.writers.count(Outcome.APPLIED)
        wrong = any(
            (outcome is Outcome.NOT_APPLIED and writer in state.applied)
            or (outcome is Outcome.APPLIED and writer not in state.applied)
            for writer, outcome in enumerate(state.writers)
        )
        found = {
            "reverted": state.is_reverted,
            "two_winners": n_winners > 1,
            "wrong_verdict": wrong,
            "accepted": n_winners > 0,
            "everywhere": min(state.held) == state.store,
        }
        return {name for name, holds in found.items() if holds}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        for writer in range(N_WRITERS):
            yield from self._writer_steps(state, writer)
        for balancer in range(N_BALANCERS):
            yield from self._balancer_steps(state, balancer)
        if state.n_replaced == 0:
            for balancer in range(N_BALANCERS):
                yield self._replace(state, balancer)

    def _writer_steps(self, state: State, writer: int) -> Iterator[State]:
        outcome = state.writers[writer]
        if outcome is Outcome.NOT_SENT:
            sent = self._know(state, writer, Outcome.WAITING)
            yield replace(sent, under_way=state.under_way | {writer})
        if writer in state.under_way:
            yield self._arrive(state, writer)
        if outcome is Outcome.WAITING:
            yield self._know(state, writer, Outcome.ANSWER_LOST)
            if writer not in state.under_way:
                is_applied = writer in state.applied
                verdict = Outcome.APPLIED if is_applied else Outcome.NOT_APPLIED
                yield self._know(state, writer, verdict)
        if outcome is Outcome.ANSWER_LOST:
            yield from self._read_back(state, writer)

    def _arrive(self, state: State, writer: int) -> State:
        arrived = replace(state, under_way=state.under_way - {writer})
        is_first = state.store == 0
        if not is_first and self._defect is not Defect.NO_COMPARISON:
            return arrived
        applied = state.applied | {writer}
        return replace(arrived, store=state.store + 1, applied=applied)

    def _read_back(self, state: State, writer: int) -> Iterator[State]:
        """Decide only if the entry shows this change or another one."""
        if writer in state.applied:
            yield self._know(state, writer, Outcome.APPLIED)
        elif state.store > 0 or self._defect is Defect.EARLY_VERDICT:
            yield self._know(state, writer, Outcome.NOT_APPLIED)

    def _know(self, state: State, writer: int, outcome: Outcome) -> State:
        writers = list(state.writers)
        writers[writer] = outcome
        return replace(state, writers=tuple(writers))

    def _balancer_steps(self, state: State, balancer: int) -> Iterator[State]:
        yield self._hold(state, balancer, state.store)
        for peer in range(N_BALANCERS):
            if peer != balancer and peer in state.serving:
                yield self._hold(state, balancer, state.held[peer])
        if balancer not in state.serving:
            peers = [state.held[peer] for peer in state.serving]
            if state.held[balancer] >= max(peers, default=0):
                yield replace(state, serving=state.serving | {balancer})

    def _hold(self, state: State, balancer: int, revision: int) -> State:
        held = state.held[balancer]
        if revision <= held and self._defect is not Defect.TAKES_ANY_REVISION:
            return state
        everyone = list(state.held)
        everyone[balancer] = revision
        is_reverted = state.is_reverted or (
            balancer in state.serving and revision < held
        )
        return replace(state, held=tuple(everyone), is_reverted=is_reverted)

    def _replace(self, state: State, balancer: int) -> State:
        """Let a fresh process take a balancer's place; it holds nothing."""
        everyone = list(state.held)
        before = everyone[balancer]
        everyone[balancer] = 0
        serving = state.serving - {balancer}
        is_reverted = state.is_reverted
        if self._defect is Defect.SERVES_AT_ONCE:
            serving = state.serving
            is_reverted = is_reverted or before > 0
        return replace(
            state,
            held=tuple(everyone),
            serving=serving,
            n_replaced=1,
            is_reverted=is_reverted,
        )
