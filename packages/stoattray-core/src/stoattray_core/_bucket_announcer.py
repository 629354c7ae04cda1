"""Announcement of changed buckets to every present balancer."""

from dataclasses import dataclass, field

from stoattray_core._bucket_table import (
    BucketPart,
    known_bucket_keys,
    shard_message,
    split_buckets,
)
from stoattray_core._identifiers import MemberId, ServiceId
from stoattray_core._pending_requests import PendingRequest
from stoattray_core._state import State
from stoattray_core._tables import BucketKey, BucketMove, MemberRow
from stoattray_core.messages import BucketState, BucketUpdate, ShardState

NOT_SENT = 0


@dataclass(slots=True)
class BucketAnnouncer:
    """Batches changed buckets and sends them until all balancers acknowledge."""

    state: State
    _changed_buckets: dict[BucketKey, None] = field(default_factory=dict)
    _claimed_shards: list[int] = field(default_factory=list)

    def queue_bucket(self, key: BucketKey) -> None:
        """Queue a bucket for the next batch."""
        self._changed_buckets[key] = None
        move = self.state.tables.moves.get(key)
        if move is not None:
            move.announcement_group = NOT_SENT

    def queue_claim(self, shard: int) -> None:
        """Queue the ownership of a shard for the next batch."""
        self._claimed_shards.append(shard)

    def is_acknowledged(self, move: BucketMove) -> bool:
        """Return whether every present balancer has the bucket's current state."""
        if move.announcement_group == NOT_SENT:
            return False
        return not self.state.requests.is_group_pending(move.announcement_group)

    def send(self) -> None:
        """Send the queued buckets and claims."""
        if not self._changed_buckets and not self._claimed_shards:
            return
        changed = list(self._changed_buckets)
        claimed = self._claimed_shards
        self.discard_queued()
        group = self.state.requests.next_number()
        for part in split_buckets(changed, self.state.tables.services):
            if part.buckets or claimed:
                self._send_part(group, part, claimed)
                claimed = []
        for key in changed:
            move = self.state.tables.moves.get(key)
            if move is not None:
                move.announcement_group = group

    def reannounce(self, shards: list[int], member: MemberId) -> None:
        """Send one balancer the owners and known buckets of `shards`."""
        row = self.state.tables.members.get(member)
        if row is None or not row.is_present:
            return
        group = self.state.requests.next_number()
        keys = known_bucket_keys(self.state, shards)
        first = True
        for part in split_buckets(keys, self.state.tables.services):
            claimed = shards if first else []
            first = False
            claims = [shard_message(self.state, shard) for shard in claimed]
            self._send_update(group, row, part, claims)

    def _owning_shard(self, bucket: BucketState) -> int:
        key = (ServiceId(bucket.service_name), bucket.shard)
        return self.state.owning_shard(key)

    def discard_queued(self) -> None:
        """Discard buckets and claims that have not been sent."""
        self._changed_buckets = {}
        self._claimed_shards = []

    def _send_part(self, group: int, part: BucketPart, claimed: list[int]) -> None:
        owning_shards = {self._owning_shard(bucket) for bucket in part.buckets}
        shards = sorted(owning_shards.union(claimed))
        claims = [shard_message(self.state, shard) for shard in shards]
        for row in self.state.other_members():
            self._send_update(group, row, part, claims)

    def _send_update(
        self, group: int, row: MemberRow, part: BucketPart, claims: list[ShardState]
    ) -> None:
        number = self.state.requests.next_number()
        update = BucketUpdate(number, claims, part.buckets, part.pins)
        pending = PendingRequest(
            number, group, row.member, row.peer_address, update, self.state.now
        )
        self.state.requests.add(pending)
        self.state.send(row.peer_address, update)
