"""Typed messages between balancers.

Each class stands for the struct of the same name in ``peer.thrift``; field
names are the same on both sides.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MemberState:
    """What one balancer knows of another."""

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
    """Asks a balancer whether it is alive, and carries gossip."""

    sequence: int
    config_revision: int
    digest: int
    updates: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class Ack:
    """Answers a ping, and carries gossip."""

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
    """Asks for every entry that changed after a revision."""

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
    """Flows of one shard that stay at one backend server.

    ``flows`` holds flow ids of six bytes each, one after the other.
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
    """Announces the sender as a member and asks for the receiver's state.

    ``shards`` lists the epochs that a rejoining sender has seen, so that no
    owner goes on under an older one.
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
    """The owner announces buckets; the receiver acknowledges."""

    request: int
    shards: list[ShardState] = field(default_factory=list)
    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class CopyRecords:
    """The owner copies flow records to a second balancer."""

    request: int
    epoch: int
    shard: int
    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Handover:
    """The acting owner gives a shard with all its state to another."""

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
    """A new owner claims shards whose owner is gone and asks for what is known."""

    request: int
    shards: list[ShardState] = field(default_factory=list)


@dataclass(slots=True)
class GatherReply:
    """One part of what a balancer knows of the claimed shards."""

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

    ``shards`` lists later claims than the request's. ``used`` lists recent flows
    of buckets that have become tracked, for services without opening packets.
    """

    request: int
    accepted: bool
    shards: list[ShardState] = field(default_factory=list)
    used: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Hint:
    """The owner tells a balancer where flows are, so that it need not relay."""

    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Seen:
    """A balancer tells the owner which hinted or pinned flows are in use."""

    groups: list[FlowGroup] = field(default_factory=list)


@dataclass(slots=True)
class Evicted:
    """Tells the receiver that the sender counts it as dead.

    ``n_present`` is the number of balancers on the sender's side of a cut.
    """

    incarnation: int
    n_present: int


@dataclass(slots=True)
class Compare:
    """A digest of 64 bits for each shard, big-endian, in order of shards."""

    digests: bytes


@dataclass(slots=True)
class Health:
    """Verdicts of a prober; ``down`` lists backend servers that fail."""

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
