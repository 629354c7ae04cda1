"""Builds the state graph of a specification and checks CTL formulas on it."""

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Protocol

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck


class Specification(Protocol):
    """A transition system with named properties of states."""

    def initial(self) -> Hashable:
        """Return the first state."""

    def successors(self, state: Hashable) -> Iterator[Hashable]:
        """Yield each state that one step leads to."""

    def labels(self, state: Hashable) -> set[str]:
        """Return the propositions that hold in a state."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a check found.

    Parameters
    ----------
    n_states : int
        Reachable states.
    failed : tuple of str
        Formulas that do not hold in the first state.
    """

    n_states: int
    failed: tuple[str, ...]


def check(specification: Specification, formulas: tuple[str, ...]) -> CheckResult:
    """Check CTL formulas in the first state.

    Parameters
    ----------
    specification : Specification
        A state without successors is taken to stay as it is.
    formulas : tuple of str
        In the syntax of pyModelChecking.
    """
    numbers: dict[Hashable, int] = {specification.initial(): 0}
    edges: list[tuple[int, int]] = []
    queue = deque(numbers)
    while queue:
        state = queue.popleft()
        number = numbers[state]
        n_edges = len(edges)
        for successor in specification.successors(state):
            if successor not in numbers:
                numbers[successor] = len(numbers)
                queue.append(successor)
            edges.append((number, numbers[successor]))
        if len(edges) == n_edges:
            edges.append((number, number))
    labels = {number: specification.labels(state) for state, number in numbers.items()}
    kripke = Kripke(S=list(numbers.values()), S0=[0], R=edges, L=labels)
    failed = tuple(
        formula for formula in formulas if 0 not in modelcheck(kripke, formula)
    )
    return CheckResult(len(numbers), failed)
