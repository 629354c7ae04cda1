"""Tables of the decision core: rows by id, with look-up only."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    FlowId,
    MemberId,
    Millis,
    ServerId,
    ServiceId,
)
from stoattray_core.configuration import ConfigEntry, ServiceSpec


class MemberStatus(IntEnum):
    """Status of one incarnation of a balancer; on conflict the higher value wins."""

    JOINING = 0
    LIVE = 1
    LEAVING = 2
    DEAD = 3


@dataclass(slots=True)
class MemberRow:
    """Known state of one balancer."""

    member: MemberId
    host: str
    peer_port: int
    relay_port: int
    api_port: int
    data_centre: str
    incarnation: int
    status: MemberStatus
    config_revision: int = 0
    suspect_since: Millis | None = None
    last_received_at: Millis = 0
    updated_at: Millis = 0

    @property
    def peer_address(self) -> Address:
        """Return the address for messages."""
        return self.host, self.peer_port

    @property
    def relay_address(self) -> Address:
        """Return the address for relayed packets."""
        return self.host, self.relay_port

    @property
    def is_present(self) -> bool:
        """Return whether the balancer may still forward packets."""
        return self.status is not MemberStatus.DEAD


@dataclass(slots=True)
class ShardRow:
    """Acting owner of one shard."""

    epoch: int = 0
    owner: MemberId | None = None

    @property
    def precedence(self) -> tuple[int, str]:
        """Return the key that orders claims; the greatest is the latest."""
        return self.epoch, self.owner or ""


@dataclass(slots=True)
class Bucket:
    """Placement of one shard of one service, replicated to every balancer.

    Flows in ``pins`` stay at the given backend server. All others are at
    ``base``, unless the bucket is tracked: then the owner's records take
    precedence. ``hints``, ``recent_flows`` and ``previous_flows`` are local: flows
    whose backend server the owner has sent, and flows seen in this and the
    previous period.
    """

    epoch: int
    version: int
    tracked: bool
    base: ServerId
    pins: dict[FlowId, ServerId] = field(default_factory=dict)
    hints: dict[FlowId, ServerId] = field(default_factory=dict)
    recent_flows: set[FlowId] = field(default_factory=set)
    previous_flows: set[FlowId] = field(default_factory=set)

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the key that orders states; the greatest is the latest."""
        return self.epoch, self.version


@dataclass(slots=True)
class ServiceRow:
    """A service and the placement of its flows.

    A service with the balance policy has a home shard, whose owner decides for
    all of its buckets and so knows the number of open flows of every backend
    server. ``is_evacuated`` tells that all of its active backend servers are in
    evacuated data centres.
    """

    spec: ServiceSpec
    revision: int
    fast_path_addresses: list[Address | None] = field(
        default_factory=lambda: [None] * N_SHARDS
    )
    buckets: list[Bucket | None] = field(default_factory=lambda: [None] * N_SHARDS)
    desired_servers: list[ServerId] = field(default_factory=list)
    accepting_servers: frozenset[ServerId] = frozenset()
    failed_servers: frozenset[ServerId] = frozenset()
    open_flows_by_server: dict[ServerId, int] = field(default_factory=dict)
    tracking_stopped_at: Millis | None = None
    home_shard: int | None = None
    is_evacuated: bool = False


@dataclass(slots=True)
class FlowRecord:
    """A flow that the owner of its bucket tracks."""

    server: ServerId
    seen_at: Millis
    n_relayed: int = 0
    is_copying: bool = False
    is_ended: bool = False
    is_hinted: bool = False


@dataclass(frozen=True, slots=True)
class HeldOpening:
    """An opening packet queued until the owner can place its flow."""

    data: bytes
    held_at: Millis


@dataclass(slots=True)
class BucketMove:
    """The owner's state of a tracked bucket."""

    started_at: Millis
    is_planned: bool
    ready_at: Millis | None = None
    announcement_group: int = 0
    is_settling: bool = False
    records: dict[FlowId, FlowRecord] = field(default_factory=dict)
    held_packets_by_flow: dict[FlowId, list[bytes]] = field(default_factory=dict)
    held_openings: list[HeldOpening] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class VerdictRow:
    """Backend servers that one prober reports as down."""

    down: frozenset[str]
    last_received_at: Millis


BucketKey = tuple[ServiceId, int]


@dataclass(slots=True)
class Tables:
    """All tables of the core."""

    members: dict[MemberId, MemberRow] = field(default_factory=dict)
    shards: list[ShardRow] = field(
        default_factory=lambda: [ShardRow() for _ in range(N_SHARDS)]
    )
    services: dict[ServiceId, ServiceRow] = field(default_factory=dict)
    services_by_key: dict[int, ServiceRow] = field(default_factory=dict)
    moves: dict[BucketKey, BucketMove] = field(default_factory=dict)
    record_copies: dict[BucketKey, dict[FlowId, ServerId]] = field(default_factory=dict)
    entries: dict[str, ConfigEntry] = field(default_factory=dict)
    evacuated_data_centres: set[str] = field(default_factory=set)
    pinned_buckets: set[BucketKey] = field(default_factory=set)
    recently_used_buckets: set[BucketKey] = field(default_factory=set)
    config_revision: int = 0
    failed_since: dict[ServerId, Millis] = field(default_factory=dict)
    verdicts: dict[MemberId, VerdictRow] = field(default_factory=dict)

    def present_members(self) -> Iterator[MemberRow]:
        """Yield each balancer that may still forward packets."""
        return (row for row in self.members.values() if row.is_present)

    def live_members(self) -> Iterator[MemberRow]:
        """Yield each balancer that may own shards."""
        return (row for row in self.members.values() if row.status is MemberStatus.LIVE)
