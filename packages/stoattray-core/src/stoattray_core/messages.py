"""Typed messages between balancers.

Each class corresponds to the struct of the same name in ``peer.thrift``, with
the same field names.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MemberState:
    """Membership state of one balancer as another one reports it."""

    member: str
    host: str
    peer_port: int
    relay_port: int
    api_port: int
    data_centre: str
    incarnation: int
    status: int
    config_revision: int


@dataclass(slots=True)
class Ping:
    """Probes a balancer and carries membership updates."""

    sequence: int
    config_revision: int
    digest: int
    updates: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class Ack:
    """Answers a ping and carries membership updates."""

    sequence: int
    config_revision: int
    digest: int
    updates: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class PingRequest:
    """Asks a balancer to ping another on the sender's behalf."""

    sequence: int
    target: str


@dataclass(slots=True)
class ConfigPull:
    """Requests every entry that changed after a revision."""

    after: int


@dataclass(slots=True)
class EntryState:
    """One entry of the configuration."""

    key: str
    revision: int
    deleted: bool
    value: str


@dataclass(slots=True)
class ConfigDelta:
    """Every entry with a revision above ``after`` and at most ``upto``."""

    after: int
    upto: int
    entries: list[EntryState] = field(default_factory=list)


@dataclass(slots=True)
class FlowGroup:
    """Flows of one shard at one backend server.

    ``flows`` is a concatenation of 6-byte flow ids.
    """

    service_name: str
    shard: int
    server: str
    flows: bytes


@dataclass(slots=True)
class BucketState:
    """Placement of one shard of one service."""

    service_name: str
    shard: int
    epoch: int
    version: int
    tracked: bool
    base: str


@dataclass(slots=True)
class ShardState:
    """Acting owner of one shard."""

    shard: int
    epoch: int
    owner: str


@dataclass(slots=True)
class Join:
    """Announces the sender as a member and requests the receiver's state.

    ``shards`` lists the epochs that a rejoining sender has seen, so that no
    owner continues under an older one.
    """

    request: int
    sender: MemberState
    shards: list[ShardState] = field(default_factory=list)


@dataclass(slots=True)
class JoinReply:
    """One part of the answer to a join."""

    request: int
    part: int
    n_parts: int
    sender: MemberState
    members: list[MemberState] = field(default_factory=list)
    shards: list[ShardState] = field(default_factory=list)
    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class BucketUpdate:
    """Announces buckets of the sending owner; the receiver acknowledges."""

    request: int
    shards: list[ShardState] = field(default_factory=list)
    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class CopyRecords:
    """Copies flow records from their owner to a second balancer."""

    request: int
    epoch: int
    shard: int
    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Handover:
    """Transfers a shard with its state from the acting owner to the next one."""

    request: int
    shard: int
    epoch: int
    config_revision: int
    part: int
    n_parts: int
    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)
    records: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Gather:
    """Claims shards whose owner is dead and requests the known state of them."""

    request: int
    shards: list[ShardState] = field(default_factory=list)


@dataclass(slots=True)
class GatherReply:
    """One part of a balancer's state of the claimed shards.

    ``later`` lists claims later than those of the request.
    """

    request: int
    config_revision: int
    part: int
    n_parts: int
    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)
    records: list[FlowGroup] = field(default_factory=list)
    later: list[ShardState] = field(default_factory=list)


@dataclass(slots=True)
class Done:
    """Acknowledges a request; ``accepted`` is false when the sender is fenced.

    ``shards`` lists claims later than those of the request. ``used`` lists recent
    flows of newly tracked buckets, for services without opening packets.
    """

    request: int
    accepted: bool
    shards: list[ShardState] = field(default_factory=list)
    used: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Hint:
    """Gives a balancer the backend servers of flows that it would otherwise relay."""

    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Seen:
    """Reports to the owner which hinted or pinned flows are in use."""

    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Evicted:
    """Notifies the receiver that the sender has declared it dead.

    ``n_present`` is the number of balancers on the sender's side of a partition.
    """

    incarnation: int
    n_present: int


@dataclass(slots=True)
class Compare:
    """Carries a 64-bit big-endian digest of each shard, in order of shards."""

    digests: bytes


@dataclass(slots=True)
class Health:
    """Carries a prober's verdicts; ``down`` lists the failed backend servers."""

    down: list[str] = field(default_factory=list)


Message = (
    Ping
    | Ack
    | PingRequest
    | ConfigPull
    | ConfigDelta
    | Join
    | JoinReply
    | BucketUpdate
    | CopyRecords
    | Handover
    | Gather
    | GatherReply
    | Done
    | Hint
    | Seen
    | Health
    | Compare
    | Evicted
)
