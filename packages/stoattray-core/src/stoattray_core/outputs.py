"""What the decision core asks its surroundings to do."""

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
    """Hand a packet to another balancer; `hops` counts balancers passed."""

    address: Address
    hops: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the caller of `data` according to the table of error kinds."""

    kind: ErrorKind
    data: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the balancer at `address`."""

    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Event:
    """Something that an operator may want to read in the log."""

    name: str
    fields: dict[str, str | int | float | bool]


Output = Forward | Relay | Reject | Send | Event
