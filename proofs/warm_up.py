"""Specification of the ownership of a cold server's budget.

Two balancers, of which the first by hash owns a cold server while the replica lists it.
Its record may be deleted and written again. Balancers read the store, or reports of
each other that may have been queued for any time. Each step is optional at any time, so
that pauses, partitions and deaths are the schedules in which a balancer's steps are
missing. Time passes in units of 1.1 s.

A confirmation lasts `CONFIRMED_UNITS`, and the gap of a new owner is that and the
window in which openings count. The gap's third part, for reports that arrive late, is
left out: in the model a report's age is known.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

N_BALANCERS = 2
CONFIRMED_UNITS = 1
WINDOW_UNITS = 1
# One more unit, as a step may fall at the end of its unit.
GAP_UNITS = CONFIRMED_UNITS + WINDOW_UNITS + 1
MAX_CHANGES = 2


class Defect(StrEnum):
    """Deliberate faults of the protocol that the checks must detect."""

    NONE = "none"
    TWO_OWNERS = "each balancer owns the server that it knows"
    NO_GAP = "a new owner begins at once"
    NO_CONFIRMATION = "an owner relies on an old list"
    NO_GAP_AFTER_LAPSE = "an owner goes on at once after a time without confirmation"
    QUEUED_REPORTS_CONFIRM = "a report counts as new when it is read"


FORMULAS = (
    "A(G(not two_senders))",
    "A(G(E(F(sending))))",
)


class Report(NamedTuple):
    """Report of a replica: the list that it has, and the age of its confirmation."""

    is_listed: bool
    n_changes: int
    age: int


class BalancerState(NamedTuple):
    """One balancer's replica.

    Parameters
    ----------
    is_listed : bool
        Whether its replica lists the first balancer.
    n_changes : int
        Version of its replica.
    age : int
        Units since its replica was confirmed, as it believes.
    held : int
        Units since it became owner, or was without confirmation.
    queued : Report or None
        Report of the other balancer that waits in its socket.
    """

    is_listed: bool = True
    n_changes: int = 0
    age: int = 0
    held: int = GAP_UNITS
    queued: Report | None = None


@dataclass(frozen=True, slots=True)
class State:
    """One state of the system.

    Parameters
    ----------
    is_listed : bool
        Whether the store lists the first balancer.
    n_changes : int
        Version of the store.
    balancers : tuple of BalancerState
        Both balancers.
    sent_ago : tuple of int
        Units since each balancer sent openings, at most `WINDOW_UNITS + 1`.
    """

    is_listed: bool = True
    n_changes: int = 0
    balancers: tuple[BalancerState, ...] = (BalancerState(),) * N_BALANCERS
    sent_ago: tuple[int, ...] = (WINDOW_UNITS + 1,) * N_BALANCERS


class WarmUp:
    """Transition system of the store's list and two balancers.

    Parameters
    ----------
    defect : Defect
        Deliberate fault, if any.
    """

    def __init__(self, defect: Defect = Defect.NONE) -> None:
        self._defect = defect

    def initial(self) -> State:
        """Return a state in which the first balancer has been owner for long."""
        return State()

    def labels(self, state: State) -> set[str]:
        """Return the propositions that are true in a state."""
        recent = [ago <= WINDOW_UNITS for ago in state.sent_ago]
        propositions = {"two_senders": all(recent), "sending": any(recent)}
        return {name for name, is_true in propositions.items() if is_true}

    def successors(self, state: State) -> Iterator[State]:
        """Yield each state that one step leads to."""
        yield self._advance(state)
        if state.n_changes < MAX_CHANGES:
            yield replace(
                state, is_listed=not state.is_listed, n_changes=state.n_changes + 1
            )
        for number, balancer in enumerate(state.balancers):
            report = Report(state.is_listed, state.n_changes, 0)
            yield self._with(state, number, self._receive(balancer, report))
            yield self._send(state, number)
            if balancer.queued is not None:
                read = self._receive(balancer, balancer.queued)
                yield self._with(state, number, read._replace(queued=None))
            yield self._report(state, number)

    def _advance(self, state: State) -> State:
        """Let one unit of time pass."""
        balancers = tuple(
            balancer._replace(
                age=min(balancer.age + 1, CONFIRMED_UNITS + 1),
                held=min(balancer.held + 1, GAP_UNITS),
                queued=self._aged(balancer.queued),
            )
            for balancer in state.balancers
        )
        sent_ago = tuple(min(ago + 1, WINDOW_UNITS + 1) for ago in state.sent_ago)
        return replace(state, balancers=balancers, sent_ago=sent_ago)

    def _aged(self, report: Report | None) -> Report | None:
        """Return a queued report a unit later; the defect reads it as new."""
        if report is None or self._defect is Defect.QUEUED_REPORTS_CONFIRM:
            return report
        return report._replace(age=min(report.age + 1, CONFIRMED_UNITS + 1))

    def _report(self, state: State, number: int) -> State:
        """Let a balancer report to the other one, if that has no report queued."""
        sender, receiver = state.balancers[number], state.balancers[1 - number]
        if receiver.queued is not None:
            return state
        report = Report(sender.is_listed, sender.n_changes, sender.age)
        return self._with(state, 1 - number, receiver._replace(queued=report))

    def _receive(self, balancer: BalancerState, report: Report) -> BalancerState:
        """Apply a report of the store or of the other balancer."""
        if report.n_changes < balancer.n_changes:
            return balancer
        is_newer = report.n_changes > balancer.n_changes
        # Two changes that arrive together leave the list as it was.
        has_changed = report.is_listed != balancer.is_listed
        is_lapsed = balancer.age > CONFIRMED_UNITS
        if self._defect is Defect.NO_GAP_AFTER_LAPSE:
            is_lapsed = False
        age = report.age if is_newer else min(balancer.age, report.age)
        is_confirmed = age <= CONFIRMED_UNITS
        return balancer._replace(
            is_listed=report.is_listed,
            n_changes=report.n_changes,
            age=age,
            held=0 if has_changed or (is_lapsed and is_confirmed) else balancer.held,
        )

    def _send(self, state: State, number: int) -> State:
        """Let a balancer send openings if it may."""
        balancer = state.balancers[number]
        is_owner = balancer.is_listed == (number == 0)
        if self._defect is Defect.TWO_OWNERS:
            is_owner = True
        if self._defect is not Defect.NO_CONFIRMATION:
            is_owner = is_owner and balancer.age <= CONFIRMED_UNITS
        if self._defect is not Defect.NO_GAP:
            is_owner = is_owner and balancer.held >= GAP_UNITS
        if not is_owner:
            return state
        sent_ago = list(state.sent_ago)
        sent_ago[number] = 0
        return replace(state, sent_ago=tuple(sent_ago))

    def _with(self, state: State, number: int, balancer: BalancerState) -> State:
        balancers = list(state.balancers)
        balancers[number] = balancer
        return replace(state, balancers=tuple(balancers))
