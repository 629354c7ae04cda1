"""Flow records of a shard and their encoding in messages."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stoattray_core._bucket_table import BucketPart, known_bucket_keys, split_buckets
from stoattray_core._flow_groups import pack_flows, unpack_flows
from stoattray_core._identifiers import FlowId, ServerId, ServiceId
from stoattray_core._pending_requests import PendingRequest
from stoattray_core._state import State
from stoattray_core._tables import BucketKey, BucketMove, FlowRecord, MemberRow
from stoattray_core.messages import FlowGroup, Gather, Handover

MAX_GROUPS_PER_PART = 200


@dataclass(slots=True)
class ShardPart:
    """Buckets, pins and records that fit into one message."""

    buckets: BucketPart
    records: list[FlowGroup]


@dataclass(slots=True)
class ReceivedParts:
    """Numbers of the received parts of a multi-part message."""

    numbers: set[int] = field(default_factory=set)

    def add(self, number: int, n_parts: int) -> bool:
        """Add a part; return whether all parts have been received."""
        self.numbers.add(number)
        return len(self.numbers) == n_parts


def split_shards(state: State, shards: Iterable[int]) -> list[ShardPart]:
    """Return all state of some shards in message-sized parts."""
    wanted = list(shards)
    buckets = split_buckets(known_bucket_keys(state, wanted), state.tables.services)
    parts = [ShardPart(part, []) for part in buckets]
    records = list(_known_records(state, set(wanted)))
    for start in range(0, len(records), MAX_GROUPS_PER_PART):
        chunk = records[start : start + MAX_GROUPS_PER_PART]
        parts.append(ShardPart(BucketPart(), chunk))
    return parts


def store_copies(state: State, groups: list[FlowGroup]) -> None:
    """Store copies of another balancer's records."""
    for group in groups:
        key = (ServiceId(group.service_name), group.shard)
        if key[0] not in state.tables.services:
            continue
        copies = state.tables.record_copies.setdefault(key, {})
        for flow in unpack_flows(group):
            copies[flow] = ServerId(group.server)


def promote_copies(state: State, key: BucketKey) -> None:
    """Convert the copies of a tracked bucket into records of its new owner."""
    move = BucketMove(started_at=state.now, is_planned=False)
    for flow, server in state.tables.record_copies.pop(key, {}).items():
        move.records[flow] = FlowRecord(server, state.now)
    state.tables.moves[key] = move


def send_request(
    state: State, group: int, row: MemberRow, message: Gather | Handover
) -> None:
    """Send a message under a new request number until it is answered."""
    message.request = state.requests.next_number()
    pending = PendingRequest(
        message.request, group, row.member, row.peer_address, message, state.now
    )
    state.requests.add(pending)
    state.send(row.peer_address, message)


def _known_records(state: State, shards: set[int]) -> Iterator[FlowGroup]:
    """Yield records, copies and hints of the shards' buckets."""
    flows: dict[BucketKey, dict[FlowId, ServerId]] = {}
    for shard in sorted(shards):
        for key in state.bucket_keys(shard):
            known = _bucket_records(state, key)
            if known:
                flows[key] = known
    for (service, number), known in flows.items():
        yield from pack_flows(service, number, known)


def _bucket_records(state: State, key: BucketKey) -> dict[FlowId, ServerId]:
    known = dict(state.tables.record_copies.get(key, {}))
    move = state.tables.moves.get(key)
    if move is not None:
        for flow, record in move.records.items():
            known[flow] = record.server
    bucket = state.tables.services[key[0]].buckets[key[1]]
    if bucket is not None:
        known.update(bucket.hints)
    return known
