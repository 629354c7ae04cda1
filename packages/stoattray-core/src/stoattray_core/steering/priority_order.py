"""Interface between admission control and the order of refusal by priority levels."""

from typing import NamedTuple, Protocol

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import Route
from stoattray_core.steering.priority_levels import CutOff
from stoattray_core.steering.servers import ServerRow


class Contender(NamedTuple):
    """Opening that competes for the servers of a service.

    Parameters
    ----------
    server : ServerRow
        Best server for the flow.
    route : Route
        Route of the flow.
    service_time : float or None
        Service time in ms without the round trip; None if unknown.
    n_retransmissions : int
        Earlier transmissions of the opening.
    caller : bytes
        Address of the caller; empty if unknown.
    """

    server: ServerRow
    route: Route
    service_time: float | None = None
    n_retransmissions: int = 0
    caller: bytes = b""


class Refusal(NamedTuple):
    """Why the cut-off refuses an opening.

    Parameters
    ----------
    level : int
        Priority level of the opening.
    cut_off : CutOff
        Cut-off in force.
    n_peers : int
        Number of other balancers that agreed on it; 0 if it is this balancer's own.
    age : Millis or None
        Time since this balancer measured; None if it never did.
    """

    level: int
    cut_off: CutOff
    n_peers: int
    age: Millis | None

    def event_fields(self) -> dict[str, str | int | float | None]:
        """Return the fields of a log line."""
        return {
            "level": self.level,
            "cut_off": f"{self.cut_off.level}:{self.cut_off.share:.2f}",
            "cut_off_from": f"{self.n_peers}_peers" if self.n_peers else "own",
            "cut_off_age_ms": self.age,
        }


class PriorityOrder(Protocol):
    """Order of refusal between the priority levels of a service."""

    def applies(self, service: str) -> bool:
        """Return whether callers of a service use at least two priorities."""

    def note_opening(self, service: str, route: Route, now: Millis) -> None:
        """Note that a level of a service is in use."""

    def note_response(
        self,
        service: str,
        destination: bytes,
        waited_millis: Millis,
        now: Millis,
        *,
        is_refused: bool,
    ) -> None:
        """Note a response; `is_refused` if its server refused it for its queue."""

    def has_queue(self, contender: Contender, now: Millis) -> bool:
        """Return whether the best server for an opening has a queue."""

    def note_offered(self, contender: Contender, now: Millis) -> None:
        """Note an opening before it is decided."""

    def check(self, contender: Contender, now: Millis) -> Refusal | None:
        """Return why an opening is refused, or None if it is admitted."""

    def may_defer(self, contender: Contender, now: Millis) -> bool:
        """Return whether a refused opening may wait for its next transmission."""

    def explain(self, contender: Contender, now: Millis) -> Refusal:
        """Return the level of an opening and the cut-off in force."""

    def note_admitted(self, contender: Contender, now: Millis) -> None:
        """Note that an opening was admitted."""

    def note_refused(self, contender: Contender, *, is_deferred: bool) -> None:
        """Note that an opening was refused or deferred."""
