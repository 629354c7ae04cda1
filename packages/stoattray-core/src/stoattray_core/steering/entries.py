"""Entries of operators, backend servers and balancers, decoded from store records."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from stoattray_core._identifiers import Address, Millis


class RequestKind(Enum):
    """Kind of a route's requests, as operators declare it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class Route(NamedTuple):
    """Destination of callers' packets and the services behind it.

    Parameters
    ----------
    name : str
        Name for log lines.
    destination : bytes
        IPv4 address (4 bytes) and port (2 bytes) that callers send to.
    service_weights : tuple of (str, int)
        Services and their weights, at least one.
    kind : RequestKind
        Kind of its requests.
    target_latency_millis : Millis or None
        Target latency of its requests; None if operators set none.
    timeout_millis : Millis or None
        Time after which a caller no longer waits; None if operators set none.
    has_priority : bool
        Whether another route of its service has a lower priority.
    priority : int
        Priority level as configured; 0 is the highest.
    """

    name: str
    destination: bytes
    service_weights: tuple[tuple[str, int], ...]
    kind: RequestKind
    target_latency_millis: Millis | None = None
    has_priority: bool = False
    timeout_millis: Millis | None = None
    priority: int = 0


class WarmUp(NamedTuple):
    """Warm-up of a service's backend servers, as operators declare it.

    Parameters
    ----------
    millis : Millis
        How long a server is cold after it starts.
    openings_per_second : float
        Openings that a cold server may get a second, before the allowance of the
        settings.
    """

    millis: Millis
    openings_per_second: float


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration.

    Parameters
    ----------
    version : int
        Increases with each accepted change.
    routes : dict of bytes to Route
        Routes by destination.
    idle_timeout_millis : Millis
        Idle time after which a flow may be removed.
    warm_ups : mapping of str to WarmUp
        Warm-up by service; services without one have no limit.
    """

    version: int
    routes: dict[bytes, Route]
    idle_timeout_millis: Millis
    warm_ups: Mapping[str, WarmUp] = MappingProxyType({})


class BackendServerEntry(NamedTuple):
    """Entry that a backend server keeps in the store.

    Parameters
    ----------
    name : str
        Name, unique among all servers that ever started.
    label : bytes
        Eight bytes that identify it in the header in front of a packet.
    service : str
        Service that it belongs to.
    address : Address
        Address that it receives packets at.
    data_centre : str
        Its data centre.
    capacity : int
        Number of requests that it can serve at once.
    is_draining : bool
        Whether it is draining before its stop.
    warmup_remaining_millis : Millis
        Remaining warm-up time.
    started_at : int
        Start time as Unix time in milliseconds; distinguishes restarts under one name.
    sequence : int
        Number of the entry among those of one start; increases with each write.
    """

    name: str
    label: bytes
    service: str
    address: Address
    data_centre: str
    capacity: int
    is_draining: bool
    warmup_remaining_millis: Millis
    started_at: int
    sequence: int = 0


class MemberEntry(NamedTuple):
    """Identity and address of a balancer.

    Parameters
    ----------
    name : str
        Name of its VM.
    host : str
        IP address.
    data_centre : str
        Its data centre.
    incarnation : int
        Distinguishes its starts; increases with each unless the clock is set back.
    """

    name: str
    host: str
    data_centre: str
    incarnation: int


class Evacuation(NamedTuple):
    """Request of operators that servers of a data centre get no new flows.

    Parameters
    ----------
    data_centre : str
        The data centre.
    """

    data_centre: str


Entry = Configuration | BackendServerEntry | MemberEntry | Evacuation
