"""Which balancer decides for a shard, and how that changes hands.

A shard has one acting owner per epoch. A living owner hands over what it
knows; a new owner of an orphaned shard first asks every present balancer,
each of which then refuses the older epoch.
"""

from dataclasses import dataclass, field

from stoattray_core._buckets import (
    BucketPart,
    apply_buckets,
    apply_shards,
    describe_shard,
    known_buckets,
    split_buckets,
)
from stoattray_core._errors import ErrorKind, InvariantViolated
from stoattray_core._groups import pack_groups, unpack_group
from stoattray_core._hashing import rank_members
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    FlowId,
    MemberId,
    ServerId,
    ServiceId,
)
from stoattray_core._requests import PendingRequest
from stoattray_core._state import State
from stoattray_core._tables import BucketKey, FlowRecord, MemberRow, Move
from stoattray_core.messages import (
    Done,
    FlowGroup,
    Gather,
    GatherReply,
    Handover,
    ShardState,
)

MAX_RECORD_GROUPS_PER_PART = 200
MAX_HANDOVERS_PER_TICK = 16


@dataclass(slots=True)
class _Parts:
    seen: set[int] = field(default_factory=set)

    def add(self, number: int, n_parts: int) -> bool:
        """Note a part; return whether all parts have come."""
        self.seen.add(number)
        return len(self.seen) == n_parts


@dataclass(frozen=True, slots=True)
class HeldPacket:
    """A packet that waits for a change of owner."""

    data: bytes
    hops: int
    ingress: MemberId | None


@dataclass(slots=True)
class _Takeover:
    claims: list[ShardState]


@dataclass(frozen=True, slots=True)
class _Offer:
    shard: int
    member: MemberId
    incarnation: int


@dataclass(slots=True)
class Ownership:
    """Keeps the acting owner of each shard in line with the live members."""

    state: State
    _ranks_version: int = -1
    _scanned_version: tuple[int, int] = (-1, -1)
    _ranks: list[list[MemberId]] = field(default_factory=list)
    _takeovers: dict[int, _Takeover] = field(default_factory=dict)
    _handovers: dict[int, _Offer] = field(default_factory=dict)
    _claimed: set[int] = field(default_factory=set)
    _offered: set[int] = field(default_factory=set)
    _parts: dict[tuple[MemberId, int], _Parts] = field(default_factory=dict)
    _held: dict[int, list[HeldPacket]] = field(default_factory=dict)
    newly_owned: list[int] = field(default_factory=list)

    def tick(self) -> None:
        """Start and finish take-overs and hand-overs."""
        self._refresh_ranks()
        if not self.state.is_ready:
            self._abandon()
            return
        self._finish_takeovers()
        self._finish_handovers()
        version = (self.state.membership_version, self.state.shards_version)
        if version != self._scanned_version:
            self._scanned_version = version
            self._start_takeover()
            self._start_handovers()

    def is_owner(self, shard: int) -> bool:
        """Return whether this balancer decides for the shard now."""
        return self.knows_flows(shard) and shard not in self._offered

    def knows_flows(self, shard: int) -> bool:
        """Return whether this balancer can tell where open flows are."""
        is_mine = self.state.tables.shards[shard].owner == self.state.me
        return is_mine and shard not in self._claimed

    def is_changing(self, shard: int) -> bool:
        """Return whether this balancer is about to get or give the shard."""
        return shard in self._claimed or shard in self._offered

    def hold(self, shard: int, packet: HeldPacket) -> None:
        """Keep a packet until the shard has its next owner."""
        held = self._held.setdefault(shard, [])
        if len(held) < self.state.settings.max_held_packets:
            held.append(packet)
        else:
            self.state.refuse(ErrorKind.QUEUE_FULL, packet.data)

    def take_released(self) -> list[HeldPacket]:
        """Return and forget the packets whose shards have an owner again."""
        shards = [shard for shard in self._held if not self.is_changing(shard)]
        return [packet for shard in shards for packet in self._held.pop(shard)]

    def owner_row(self, shard: int) -> MemberRow | None:
        """Return the balancer to which packets of the shard are relayed."""
        members = self.state.tables.members
        owner = self.state.tables.shards[shard].owner
        if owner is not None and owner != self.state.me:
            row = members.get(owner)
            if row is not None and row.is_present:
                return row
        for member in self._ranked(shard):
            if member != self.state.me:
                return members.get(member)
        return None

    def successor(self, shard: int) -> MemberId | None:
        """Return the balancer that keeps copies of the owner's records."""
        for member in self._ranked(shard):
            if member != self.state.me:
                return member
        return None

    def _ranked(self, shard: int) -> list[MemberId]:
        self._refresh_ranks()
        return self._ranks[shard]

    def _refresh_ranks(self) -> None:
        if self._ranks_version == self.state.membership_version:
            return
        self._ranks_version = self.state.membership_version
        live = [row.member for row in self.state.tables.live_members()]
        self._ranks = [rank_members(shard, live) for shard in range(N_SHARDS)]

    def _wanted(self, shard: int) -> MemberId | None:
        ranked = self._ranks[shard]
        return ranked[0] if ranked else None

    # Take-over of orphaned shards.

    def _start_takeover(self) -> None:
        me = self.state.me
        claims = [
            ShardState(shard, row.epoch + 1, me)
            for shard, row in enumerate(self.state.tables.shards)
            if row.owner is None and self._wanted(shard) == me
        ]
        if not claims:
            return
        group = self.state.requests.next_number()
        self._takeovers[group] = _Takeover(claims)
        for claim in claims:
            row = self.state.tables.shards[claim.shard]
            row.epoch = claim.epoch
            row.owner = me
            self._claimed.add(claim.shard)
            self.state.note_owner_change(claim.shard)
        for row in self.state.others():
            self._request(group, row, Gather(0, claims))
        self.state.log("takeover_started", n_shards=len(claims))

    def on_gather(self, gather: Gather, sender: MemberId, address: Address) -> None:
        """Accept a new owner's claims and tell it what is known here."""
        later = apply_shards(self.state, gather.shards)
        claimed = [item.shard for item in gather.shards if 0 <= item.shard < N_SHARDS]
        keys = known_buckets(self.state, claimed)
        bucket_parts = list(split_buckets(keys, self.state.tables.services))
        records = self._known_records(set(claimed))
        n_record_parts = -(-len(records) // MAX_RECORD_GROUPS_PER_PART)
        n_parts = len(bucket_parts) + n_record_parts
        for number in range(n_parts):
            part = bucket_parts[number] if number < len(bucket_parts) else BucketPart()
            start = (number - len(bucket_parts)) * MAX_RECORD_GROUPS_PER_PART
            chunk = records[start : start + MAX_RECORD_GROUPS_PER_PART]
            reply = GatherReply(
                request=gather.request,
                config_revision=self.state.tables.config_revision,
                part=number,
                n_parts=n_parts,
                buckets=part.buckets,
                pins=part.pins,
                records=chunk if start >= 0 else [],
                later=later if number == 0 else [],
            )
            self.state.send(address, reply)

    def on_gather_reply(self, reply: GatherReply, sender: MemberId) -> None:
        """Take in one part of what a balancer knows."""
        if reply.config_revision > self.state.tables.config_revision:
            return
        apply_shards(self.state, reply.later)
        apply_buckets(self.state, reply.buckets, reply.pins)
        self._store_copies(reply.records)
        parts = self._parts.setdefault((sender, reply.request), _Parts())
        if parts.add(reply.part, reply.n_parts):
            del self._parts[(sender, reply.request)]
            self.state.requests.finish(reply.request, sender)

    def _finish_takeovers(self) -> None:
        for group, takeover in list(self._takeovers.items()):
            if self.state.requests.is_open(group):
                continue
            del self._takeovers[group]
            for claim in takeover.claims:
                row = self.state.tables.shards[claim.shard]
                self._claimed.discard(claim.shard)
                if row.epoch == claim.epoch and row.owner == self.state.me:
                    self._become_owner(claim.shard, claim.epoch)
            self.state.log("takeover_finished", n_shards=len(takeover.claims))

    # Hand-over by a living owner.

    def _start_handovers(self) -> None:
        me = self.state.me
        n_started = 0
        for shard, row in enumerate(self.state.tables.shards):
            if not self.is_owner(shard):
                continue
            if n_started >= MAX_HANDOVERS_PER_TICK:
                self._scanned_version = (-1, -1)
                return
            wanted = self._wanted(shard)
            if wanted is not None and wanted != me:
                self._start_handover(shard, row.epoch + 1, wanted)
                n_started += 1

    def _start_handover(self, shard: int, epoch: int, member: MemberId) -> None:
        group = self.state.requests.next_number()
        receiver = self.state.tables.members[member]
        self._handovers[group] = _Offer(shard, member, receiver.incarnation)
        self._offered.add(shard)
        keys = known_buckets(self.state, [shard])
        parts = list(split_buckets(keys, self.state.tables.services))
        records = self._known_records({shard})
        starts = range(0, len(records), MAX_RECORD_GROUPS_PER_PART)
        chunks = [
            records[start : start + MAX_RECORD_GROUPS_PER_PART] for start in starts
        ]
        n_parts = max(len(parts), len(chunks))
        for number in range(n_parts):
            part = parts[number] if number < len(parts) else BucketPart()
            chunk = chunks[number] if number < len(chunks) else []
            handover = Handover(
                request=0,
                shard=shard,
                epoch=epoch,
                config_revision=self.state.tables.config_revision,
                part=number,
                n_parts=n_parts,
                buckets=part.buckets,
                pins=part.pins,
                records=chunk,
            )
            self._request(group, receiver, handover)

    def on_handover(
        self, handover: Handover, sender: MemberId, address: Address
    ) -> None:
        """Take in one part of a shard and become its owner with the last."""
        shard = handover.shard
        if not 0 <= shard < N_SHARDS or not self.state.is_ready:
            return
        if handover.config_revision > self.state.tables.config_revision:
            return
        row = self.state.tables.shards[shard]
        if handover.epoch < row.epoch:
            shards = [describe_shard(self.state, shard)]
            self.state.send(address, Done(handover.request, False, shards))
            return
        if handover.epoch > row.epoch:
            apply_buckets(self.state, handover.buckets, handover.pins)
            self._store_copies(handover.records)
            key = (sender, shard)
            parts = self._parts.setdefault(key, _Parts())
            if parts.add(handover.part, handover.n_parts):
                del self._parts[key]
                self._become_owner(shard, handover.epoch)
        self.state.send(address, Done(handover.request, True, []))

    def _finish_handovers(self) -> None:
        for group, offer in list(self._handovers.items()):
            if self.state.requests.is_open(group):
                continue
            del self._handovers[group]
            self._offered.discard(offer.shard)
            row = self.state.tables.shards[offer.shard]
            if row.owner != self.state.me:
                continue
            epoch = row.epoch + 1
            if self._has_taken(offer):
                claim = ShardState(offer.shard, epoch, offer.member)
                apply_shards(self.state, [claim])
            else:
                self._orphan(offer.shard, epoch)

    def _has_taken(self, offer: _Offer) -> bool:
        """Return whether one incarnation of the receiver got every part."""
        receiver = self.state.tables.members.get(offer.member)
        if receiver is None or not receiver.is_present:
            return False
        return receiver.incarnation == offer.incarnation

    def _orphan(self, shard: int, epoch: int) -> None:
        """Give up a shard whose receiver died, so that it is gathered anew."""
        apply_shards(self.state, [ShardState(shard, epoch, "")])

    # Shared by both ways.

    def _abandon(self) -> None:
        """Forget unfinished changes of owner while this balancer rejoins."""
        self.state.requests.drop_groups([*self._takeovers, *self._handovers])
        self._takeovers.clear()
        self._handovers.clear()
        self._scanned_version = (-1, -1)
        self._claimed.clear()
        self._offered.clear()

    def _become_owner(self, shard: int, epoch: int) -> None:
        row = self.state.tables.shards[shard]
        if epoch < row.epoch:
            raise InvariantViolated("shard epoch went down")
        row.epoch = epoch
        row.owner = self.state.me
        self.state.note_owner_change(shard)
        for key in self.state.owned_keys(shard):
            bucket = self.state.tables.services[key[0]].buckets[key[1]]
            if bucket is not None and bucket.tracked:
                self._adopt_records(key)
        self.newly_owned.append(shard)

    def _adopt_records(self, key: BucketKey) -> None:
        now = self.state.now
        move = Move(started_at=now, is_planned=False)
        for flow, server in self.state.tables.copies.pop(key, {}).items():
            move.records[flow] = FlowRecord(server, now)
        self.state.tables.moves[key] = move

    def _known_records(self, shards: set[int]) -> list[FlowGroup]:
        flows: dict[BucketKey, dict[FlowId, ServerId]] = {}
        for key, copies in self.state.tables.copies.items():
            if self.state.owning_shard(key) in shards:
                flows.setdefault(key, {}).update(copies)
        for key, move in self.state.tables.moves.items():
            if self.state.owning_shard(key) in shards:
                known = flows.setdefault(key, {})
                for flow, record in move.records.items():
                    known[flow] = record.server
        for shard in shards:
            for key in self.state.owned_keys(shard):
                bucket = self.state.tables.services[key[0]].buckets[key[1]]
                if bucket is not None and bucket.hints:
                    flows.setdefault(key, {}).update(bucket.hints)
        groups: list[FlowGroup] = []
        for (service, shard), known in flows.items():
            groups.extend(pack_groups(service, shard, known))
        return groups

    def _store_copies(self, groups: list[FlowGroup]) -> None:
        for group in groups:
            key = (ServiceId(group.service_name), group.shard)
            if key[0] not in self.state.tables.services:
                continue
            copies = self.state.tables.copies.setdefault(key, {})
            for flow in unpack_group(group):
                copies[flow] = ServerId(group.server)

    def _request(self, group: int, row: MemberRow, message: Gather | Handover) -> None:
        number = self.state.requests.next_number()
        message = replace_request(message, number)
        pending = PendingRequest(
            number, group, row.member, row.peer_address, message, self.state.now
        )
        self.state.requests.add(pending)
        self.state.send(row.peer_address, message)


def replace_request(message: Gather | Handover, number: int) -> Gather | Handover:
    """Return the message with its request number."""
    if isinstance(message, Gather):
        return Gather(number, message.shards)
    message.request = number
    return message
