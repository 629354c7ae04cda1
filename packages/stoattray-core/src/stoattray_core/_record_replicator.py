"""Replication of flow records to a second balancer.

Invariant: a flow that is not at its bucket's base is forwarded only after its
record is stored on the owner and on the owner's successor.
"""

from dataclasses import dataclass, field

from stoattray_core._bucket_table import shard_message
from stoattray_core._flow_groups import MAX_GROUP_FLOWS, pack_flows, unpack_flows
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    FlowId,
    MemberId,
    ServerId,
    ServiceId,
    server_address,
)
from stoattray_core._pending_requests import PendingRequest
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._state import State
from stoattray_core._tables import BucketKey, BucketMove
from stoattray_core.messages import CopyRecords, Done
from stoattray_core.outputs import Forward


@dataclass(slots=True)
class _InFlightCopy:
    key: BucketKey
    member: MemberId
    flows: list[FlowId]


@dataclass(slots=True)
class RecordReplicator:
    """Sends records to successors and stores those of other owners."""

    state: State
    ownership: ShardOwnership
    _queued: dict[BucketKey, list[FlowId]] = field(default_factory=dict)
    _in_flight: dict[int, _InFlightCopy] = field(default_factory=dict)
    _successors: dict[int, tuple[MemberId, int] | None] = field(default_factory=dict)
    _checked_version: int = -1

    def queue(self, key: BucketKey, flows: list[FlowId]) -> None:
        """Queue records for the next batch."""
        if flows:
            self._queued.setdefault(key, []).extend(flows)

    def queue_all(self, key: BucketKey) -> None:
        """Queue the records of all flows that are not at the bucket's base."""
        move = self.state.tables.moves[key]
        bucket = self.state.tables.services[key[0]].buckets[key[1]]
        flows = [
            flow
            for flow, record in move.records.items()
            if record.server != bucket.base and not record.is_copying
        ]
        self.queue(key, flows)

    def send(self) -> None:
        """Send the queued records."""
        if not self._queued:
            return
        waiting = self._queued
        self._queued = {}
        for key, flows in waiting.items():
            for start in range(0, len(flows), MAX_GROUP_FLOWS):
                self._send_batch(key, flows[start : start + MAX_GROUP_FLOWS])

    def discard_unfinished(self) -> None:
        """Discard queued and unacknowledged records."""
        self._queued = {}
        self._in_flight = {}
        self._successors = {}

    def update_successors(self) -> None:
        """Queue again the records whose successor is gone or was replaced."""
        if self._checked_version == self.state.membership_version:
            return
        self._checked_version = self.state.membership_version
        for number, in_flight in list(self._in_flight.items()):
            is_lost = not self.state.requests.is_group_pending(number)
            if is_lost or self._successor_id(in_flight.key) != in_flight.member:
                del self._in_flight[number]
                self.state.requests.drop_groups([number])
                self.queue(in_flight.key, in_flight.flows)
        moves = self.state.tables.moves
        shards = {key: self.state.owning_shard(key) for key in moves}
        changed = {
            shard
            for shard in set(shards.values())
            if self._successors.get(shard) != self._successor_incarnation(shard)
        }
        for key, shard in shards.items():
            if shard in changed:
                self.queue_all(key)
        for shard in changed:
            self._successors[shard] = self._successor_incarnation(shard)

    def on_copy(self, copy: CopyRecords, address: Address) -> None:
        """Store copies for an owner, unless a later epoch is known."""
        if not 0 <= copy.shard < N_SHARDS:
            return
        row = self.state.tables.shards[copy.shard]
        if copy.epoch < row.epoch or not self.state.is_ready:
            shards = [shard_message(self.state, copy.shard)]
            self.state.send(address, Done(copy.request, False, shards))
            return
        for group in copy.groups:
            key = (ServiceId(group.service_name), group.shard)
            copies = self.state.tables.record_copies.setdefault(key, {})
            for flow in unpack_flows(group):
                copies[flow] = ServerId(group.server)
        self.state.send(address, Done(copy.request, True, []))

    def on_answer(self, done: Done) -> None:
        """Release the packets of copied records, or queue refused records again."""
        in_flight = self._in_flight.pop(done.request, None)
        if in_flight is None:
            return
        move = self.state.tables.moves.get(in_flight.key)
        if move is None:
            return
        if done.accepted:
            self._release(move, in_flight.flows)
        else:
            self.queue(in_flight.key, in_flight.flows)

    def _send_batch(self, key: BucketKey, flows: list[FlowId]) -> None:
        service, shard = key
        move = self.state.tables.moves.get(key)
        if move is None:
            return
        member = self._successor_id(key)
        if member is None:
            self._release(move, flows)
            return
        known = {
            flow: move.records[flow].server for flow in flows if flow in move.records
        }
        number = self.state.requests.next_number()
        owning_shard = self.state.owning_shard(key)
        epoch = self.state.tables.shards[owning_shard].epoch
        groups = list(pack_flows(service, shard, known))
        message = CopyRecords(number, epoch, owning_shard, groups)
        address = self.state.tables.members[member].peer_address
        pending = PendingRequest(
            number, number, member, address, message, self.state.now
        )
        self.state.requests.add(pending)
        self._in_flight[number] = _InFlightCopy(key, member, list(known))
        self.state.send(address, message)

    def _release(self, move: BucketMove, flows: list[FlowId]) -> None:
        for flow in flows:
            record = move.records.get(flow)
            if record is None:
                continue
            record.is_copying = False
            for data in move.held_packets_by_flow.pop(flow, ()):
                self.state.queue_output(Forward(server_address(record.server), data))

    def _successor_id(self, key: BucketKey) -> MemberId | None:
        return self.ownership.successor(self.state.owning_shard(key))

    def _successor_incarnation(self, shard: int) -> tuple[MemberId, int] | None:
        member = self.ownership.successor(shard)
        if member is None:
            return None
        return member, self.state.tables.members[member].incarnation
