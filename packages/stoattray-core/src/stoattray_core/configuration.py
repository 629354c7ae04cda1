"""The declared configuration as the decision core stores it."""

from dataclasses import dataclass, field
from enum import StrEnum

from stoattray_core._identifiers import Millis, ServerId, ServiceId


class Policy(StrEnum):
    """Which goal a service prefers when it can't reach both."""

    CONTINUITY = "continuity"
    BALANCE = "balance"


class ServerState(StrEnum):
    """Declared state of a backend server."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """One entry of the platform's store.

    Parameters
    ----------
    key : str
        ``services/<organisation>/<service>``, ``addresses/<key in hex>`` or
        ``evacuations/<data centre>``.
    revision : int
        Revision of the store at which the entry was last written.
    value : str or None
        JSON text, or None when the entry was deleted.
    """

    key: str
    revision: int
    value: str | None


@dataclass(frozen=True, slots=True)
class BackendServerSpec:
    """A declared backend server.

    Parameters
    ----------
    server : ServerId
        Name and data address.
    state : ServerState
        Whether it accepts new flows.
    weight : int
        Relative share of new flows, from 1 to 100.
    health_port : int or None
        TCP port of the health probes; None disables them.
    max_connections : int
        Maximum number of open flows on the host.
    data_centre : str or None
        Data centre of the server; None if it is not declared, in which case no
        evacuation applies to it.
    """

    server: ServerId
    state: ServerState = ServerState.ACTIVE
    weight: int = 1
    health_port: int | None = None
    max_connections: int = 2_000
    data_centre: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A declared service.

    Parameters
    ----------
    service : ServiceId
        ``organisation/service``.
    key : int
        Address, port and protocol, see :func:`stoattray_core._packet.service_key`.
    protocol : int
        IP protocol number, TCP or UDP.
    policy : Policy
        Goal that takes precedence.
    idle_limit_millis : Millis
        Idle time after which a flow may be assigned to another backend server.
    servers : tuple of BackendServerSpec
        All declared backend servers.
    """

    service: ServiceId
    key: int
    protocol: int
    policy: Policy = Policy.CONTINUITY
    idle_limit_millis: Millis = 300_000
    servers: tuple[BackendServerSpec, ...] = field(default=())
