"""What operators, backend servers and balancers have declared, as typed rows."""

from enum import Enum
from typing import NamedTuple

from stoattray_core._identifiers import Address, Millis


class RequestKind(Enum):
    """What the requests of a route may suffer."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class Route(NamedTuple):
    """A destination of callers' packets and the services behind it.

    Parameters
    ----------
    name : str
        Name, for log lines.
    destination : bytes
        Address (4 bytes) and port (2 bytes) that callers send to.
    shares : tuple of (str, int)
        Services and their weights, at least one.
    kind : RequestKind
        What its requests may suffer.
    aim : Millis or None
        Time within which callers want an answer, where operators said so.
    is_urgent : bool
        Whether operators put other routes of its service behind it.
    """

    name: str
    destination: bytes
    shares: tuple[tuple[str, int], ...]
    kind: RequestKind
    aim: Millis | None = None
    is_urgent: bool = False


class Configuration(NamedTuple):
    """One accepted version of what operators declared.

    Parameters
    ----------
    version : int
        Grows with each accepted change.
    routes : dict of bytes to Route
        By destination.
    idle_limit : Millis
        A flow that is silent for longer may be forgotten.
    """

    version: int
    routes: dict[bytes, Route]
    idle_limit: Millis


class BackendServerEntry(NamedTuple):
    """What a backend server says of itself.

    Parameters
    ----------
    name : str
        Unique among all that ever started.
    label : bytes
        Eight bytes that name it in front of a packet.
    service : str
        Service that it belongs to.
    address : Address
        Where it takes packets.
    data_centre : str
        Where it stands.
    capacity : int
        Requests that it works on at once.
    is_draining : bool
        Whether it is about to leave.
    warmup : Millis
        How much longer it is slow after its start.
    born : int
        Unix millisecond of its start; tells two starts under one name apart.
    """

    name: str
    label: bytes
    service: str
    address: Address
    data_centre: str
    capacity: int
    is_draining: bool
    warmup: Millis
    born: int


class MemberEntry(NamedTuple):
    """What a balancer says of itself to the others.

    Parameters
    ----------
    name : str
        Name of its VM.
    host : str
        IP number.
    data_centre : str
        Where it stands.
    incarnation : int
        Grows with each start.
    """

    name: str
    host: str
    data_centre: str
    incarnation: int


Entry = Configuration | BackendServerEntry | MemberEntry
