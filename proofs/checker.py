"""Builds the state graph of a specification and checks CTL formulas on it."""

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Protocol

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck


class Specification(Protocol):
    """A transition system whose states are labelled with propositions."""

    def initial(self) -> Hashable:
        """Return the initial state."""

    def successors(self, state: Hashable) -> Iterator[Hashable]:
        """Yield each state that one step leads to."""

    def labels(self, state: Hashable) -> set[str]:
        """Return the propositions that are true in a state."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a model check.

    Parameters
    ----------
    n_states : int
        Number of reachable states.
    failed : tuple of str
        Formulas that are false in the initial state.
    """

    n_states: int
    failed: tuple[str, ...]


def check(specification: Specification, formulas: tuple[str, ...]) -> CheckResult:
    """Check CTL formulas in the initial state.

    Parameters
    ----------
    specification : Specification
        Transition system to check. A state without successors gets a self-loop.
    formulas : tuple of str
        Formulas in the syntax of pyModelChecking.

    Returns
    -------
    CheckResult
        Number of reachable states and the formulas that failed.
    """
    state_numbers: dict[Hashable, int] = {specification.initial(): 0}
    transitions: list[tuple[int, int]] = []
    queue = deque(state_numbers)
    while queue:
        state = queue.popleft()
        number = state_numbers[state]
        n_transitions = len(transitions)
        for successor in specification.successors(state):
            if successor not in state_numbers:
                state_numbers[successor] = len(state_numbers)
                queue.append(successor)
            transitions.append((number, state_numbers[successor]))
        if len(transitions) == n_transitions:
            transitions.append((number, number))
    labels = {
        number: specification.labels(state) for state, number in state_numbers.items()
    }
    kripke = Kripke(S=list(state_numbers.values()), S0=[0], R=transitions, L=labels)
    failed = tuple(
        formula for formula in formulas if 0 not in modelcheck(kripke, formula)
    )
    return CheckResult(len(state_numbers), failed)
