"""Updates of the bucket table and its encoding in messages."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stoattray_core._errors import InvariantViolated
from stoattray_core._flow_groups import pack_flows, unpack_flows
from stoattray_core._identifiers import (
    N_SHARDS,
    FlowId,
    MemberId,
    ServerId,
    ServiceId,
    server_address,
)
from stoattray_core._server_selection import adjust_open_flows
from stoattray_core._state import State
from stoattray_core._tables import Bucket, BucketKey, ServiceRow
from stoattray_core.messages import BucketState, FlowGroup, ShardState

BUCKET_STATE_BYTES = 12
MAX_PART_BYTES = 16_000


@dataclass(slots=True)
class BucketPart:
    """Buckets with their pins, small enough for one message."""

    buckets: list[BucketState] = field(default_factory=list)
    pins: list[FlowGroup] = field(default_factory=list)


def bucket_message(service: ServiceId, shard: int, bucket: Bucket) -> BucketState:
    """Return the message form of a bucket."""
    return BucketState(
        service, shard, bucket.epoch, bucket.version, bucket.tracked, bucket.base
    )


def split_buckets(
    keys: Iterable[BucketKey], services: dict[ServiceId, ServiceRow]
) -> Iterator[BucketPart]:
    """Yield the buckets, each with all of its pins, in message-sized parts."""
    part = BucketPart()
    size = 0
    for service, shard in keys:
        row = services.get(service)
        bucket = row.buckets[shard] if row is not None else None
        if bucket is None:
            continue
        added = BUCKET_STATE_BYTES + 6 * len(bucket.pins)
        if part.buckets and size + added > MAX_PART_BYTES:
            yield part
            part = BucketPart()
            size = 0
        part.buckets.append(bucket_message(service, shard, bucket))
        part.pins.extend(pack_flows(service, shard, bucket.pins))
        size += added
    yield part


def known_bucket_keys(state: State, shards: Iterable[int]) -> list[BucketKey]:
    """Return the keys of all known buckets whose owning shard is in `shards`."""
    return [
        key
        for shard in shards
        for key in state.bucket_keys(shard)
        if state.tables.services[key[0]].buckets[key[1]] is not None
    ]


def apply_buckets(
    state: State, buckets: list[BucketState], pins: list[FlowGroup]
) -> None:
    """Apply the buckets that are later than those in the table."""
    pins_by_key: dict[BucketKey, dict[FlowId, ServerId]] = {}
    for group in pins:
        key = (ServiceId(group.service_name), group.shard)
        flows = pins_by_key.setdefault(key, {})
        for flow in unpack_flows(group):
            flows[flow] = ServerId(group.server)
    for item in buckets:
        row = state.tables.services.get(ServiceId(item.service_name))
        if row is None or not 0 <= item.shard < N_SHARDS:
            continue
        key = (row.spec.service, item.shard)
        current = row.buckets[item.shard]
        if current is not None and (item.epoch, item.version) <= current.precedence:
            continue
        bucket = Bucket(
            epoch=item.epoch,
            version=item.version,
            tracked=item.tracked,
            base=ServerId(item.base),
            pins=pins_by_key.get(key, {}),
        )
        if current is not None:
            bucket.recent_flows = current.recent_flows
            bucket.previous_flows = current.previous_flows
            bucket.hints = current.hints if current.tracked and bucket.tracked else {}
        install_bucket(state, row, item.shard, bucket)


def install_bucket(state: State, row: ServiceRow, shard: int, bucket: Bucket) -> None:
    """Put a bucket into the table and refresh the fast path."""
    current = row.buckets[shard]
    if current is not None and bucket.precedence < current.precedence:
        raise InvariantViolated("bucket version decreased")
    row.buckets[shard] = bucket
    key = (row.spec.service, shard)
    state.dirty_shards.add(state.owning_shard(key))
    if not bucket.tracked:
        state.tables.record_copies.pop(key, None)
    if bucket.pins:
        state.tables.pinned_buckets.add(key)
    else:
        state.tables.pinned_buckets.discard(key)
    refresh_fast_path_address(state, row, shard)


def refresh_fast_path_address(state: State, row: ServiceRow, shard: int) -> None:
    """Enable the fast path if every flow of the bucket is at one live server.

    The fast path does not distinguish openings, so a service whose openings are
    refused because of an evacuation has none.
    """
    bucket = row.buckets[shard]
    is_plain = bucket is not None and not bucket.tracked and not bucket.pins
    is_moving = (row.spec.service, shard) in state.tables.moves
    is_refusing = row.is_evacuated or (
        bucket is not None and bucket.base in row.failed_servers
    )
    if not is_plain or is_moving or is_refusing:
        row.fast_path_addresses[shard] = None
        return
    row.fast_path_addresses[shard] = server_address(bucket.base)


def apply_claims(state: State, shards: list[ShardState]) -> list[ShardState]:
    """Apply ownership claims; return the later claim for each that is refused."""
    refused: list[ShardState] = []
    for item in shards:
        if not 0 <= item.shard < N_SHARDS:
            continue
        row = state.tables.shards[item.shard]
        if (item.epoch, item.owner) < row.precedence:
            refused.append(shard_message(state, item.shard))
        else:
            _apply_claim(state, item)
    return refused


def _apply_claim(state: State, claim: ShardState) -> None:
    """Apply a claim.

    A later claim in this balancer's own name dates from an ownership that it has
    given up. It is superseded: the shard gets the next epoch and no owner.
    """
    row = state.tables.shards[claim.shard]
    if (claim.epoch, claim.owner) == row.precedence:
        return
    state.mark_shard_changed(claim.shard)
    was_owned = row.owner == state.own_id
    member = state.tables.members.get(MemberId(claim.owner))
    is_own = member is not None and member.member == state.own_id
    is_usable = member is not None and member.is_present and not is_own
    row.epoch = claim.epoch + 1 if is_own else claim.epoch
    row.owner = MemberId(claim.owner) if is_usable else None
    if was_owned:
        convert_records_to_copies(state, claim.shard)


def reset_bucket_epochs(state: State) -> None:
    """Reset the epoch of all buckets, so that any peer's state takes precedence.

    The buckets are kept in case no peer has any state.
    """
    for row in state.tables.services.values():
        for bucket in row.buckets:
            if bucket is not None:
                bucket.epoch = 0
    state.dirty_shards.update(range(N_SHARDS))


def convert_records_to_copies(state: State, shard: int) -> None:
    """Convert the owner's records of a shard into copies."""
    moves = state.tables.moves
    for key in [key for key in moves if state.owning_shard(key) == shard]:
        move = state.tables.moves.pop(key)
        for record in move.records.values():
            if not record.is_ended:
                adjust_open_flows(state.tables.services[key[0]], record.server, -1)
        if move.is_settling:
            refresh_fast_path_address(state, state.tables.services[key[0]], key[1])
            continue
        copies = state.tables.record_copies.setdefault(key, {})
        for flow, record in move.records.items():
            copies[flow] = record.server


def shard_message(state: State, shard: int) -> ShardState:
    """Return the message form of a shard's acting owner."""
    row = state.tables.shards[shard]
    return ShardState(shard, row.epoch, row.owner or "")
