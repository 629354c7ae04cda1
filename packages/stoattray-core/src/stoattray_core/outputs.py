"""Actions that the decision core requests from the process that runs it."""

from dataclasses import dataclass

from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Address
from stoattray_core.messages import Message


@dataclass(frozen=True, slots=True)
class Forward:
    """Send a packet to a backend server."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Relay:
    """Relay a packet to another balancer; `hops` counts the balancers passed."""

    address: Address
    hops: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the packet `data` and answer its caller according to `kind`."""

    kind: ErrorKind
    data: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the balancer at `address`."""

    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log."""

    name: str
    fields: dict[str, str | int | float | bool]


Output = Forward | Relay | Reject | Send | LogEvent
