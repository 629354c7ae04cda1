"""Handover of shards by a live owner to the member that should own them."""

from dataclasses import dataclass, field

from stoattray_core._bucket_table import apply_buckets, apply_claims, shard_message
from stoattray_core._identifiers import N_SHARDS, Address, MemberId
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._shard_records import (
    ReceivedParts,
    send_request,
    split_shards,
    store_copies,
)
from stoattray_core._state import State
from stoattray_core.messages import Done, Handover, ShardState

MAX_HANDOVERS_PER_TICK = 16


@dataclass(frozen=True, slots=True)
class _Offer:
    shard: int
    member: MemberId
    incarnation: int


@dataclass(slots=True)
class Handovers:
    """Hands over shards to other members and receives shards from them."""

    state: State
    ownership: ShardOwnership
    _checked_version: tuple[int, int] = (-1, -1)
    _offers: dict[int, _Offer] = field(default_factory=dict)
    _parts: dict[tuple[MemberId, int, int], ReceivedParts] = field(default_factory=dict)

    def tick(self) -> None:
        """Finish answered handovers and start those to other desired owners."""
        if not self.state.is_ready:
            self._abandon()
            return
        self._finish()
        version = (self.state.membership_version, self.state.shards_version)
        if version != self._checked_version:
            self._checked_version = version
            self._start_due()

    def on_handover(
        self, handover: Handover, sender: MemberId, address: Address
    ) -> None:
        """Apply one part of a shard's state; become its owner after the last one."""
        shard = handover.shard
        if not 0 <= shard < N_SHARDS or not self.state.is_ready:
            return
        if handover.config_revision > self.state.tables.config_revision:
            return
        row = self.state.tables.shards[shard]
        is_complete = row.epoch == handover.epoch and row.owner == self.state.own_id
        if handover.epoch <= row.epoch and not is_complete:
            shards = [shard_message(self.state, shard)]
            self.state.send(address, Done(handover.request, False, shards))
            return
        if not is_complete:
            self._apply_part(handover, sender)
        self.state.send(address, Done(handover.request, True, []))

    def _apply_part(self, handover: Handover, sender: MemberId) -> None:
        apply_buckets(self.state, handover.buckets, handover.pins)
        store_copies(self.state, handover.records)
        key = (sender, handover.shard, handover.epoch)
        parts = self._parts.setdefault(key, ReceivedParts())
        if parts.add(handover.part, handover.n_parts):
            del self._parts[key]
            self.ownership.become_owner(handover.shard, handover.epoch)

    def _start_due(self) -> None:
        n_started = 0
        for shard, row in enumerate(self.state.tables.shards):
            if not self.ownership.is_owner(shard):
                continue
            desired = self.ownership.desired_owner(shard)
            if desired is None or desired == self.state.own_id:
                continue
            if n_started >= MAX_HANDOVERS_PER_TICK:
                self._checked_version = (-1, -1)
                return
            self._start(shard, row.epoch + 1, desired)
            n_started += 1

    def _start(self, shard: int, epoch: int, member: MemberId) -> None:
        group = self.state.requests.next_number()
        receiver = self.state.tables.members[member]
        self._offers[group] = _Offer(shard, member, receiver.incarnation)
        self.ownership.handing_over.add(shard)
        parts = split_shards(self.state, [shard])
        for number, part in enumerate(parts):
            handover = Handover(
                request=0,
                shard=shard,
                epoch=epoch,
                config_revision=self.state.tables.config_revision,
                part=number,
                n_parts=len(parts),
                buckets=part.buckets.buckets,
                pins=part.buckets.pins,
                records=part.records,
            )
            send_request(self.state, group, receiver, handover)

    def _finish(self) -> None:
        for group, offer in list(self._offers.items()):
            if self.state.requests.is_group_pending(group):
                continue
            del self._offers[group]
            self.ownership.handing_over.discard(offer.shard)
            row = self.state.tables.shards[offer.shard]
            if row.owner != self.state.own_id:
                continue
            next_owner = offer.member if self._has_received(offer) else ""
            claim = ShardState(offer.shard, row.epoch + 1, next_owner)
            apply_claims(self.state, [claim])

    def _has_received(self, offer: _Offer) -> bool:
        """Return whether a single incarnation of the receiver got every part."""
        receiver = self.state.tables.members.get(offer.member)
        if receiver is None or not receiver.is_present:
            return False
        return receiver.incarnation == offer.incarnation

    def _abandon(self) -> None:
        self.state.requests.drop_groups(list(self._offers))
        self._offers.clear()
        self._checked_version = (-1, -1)
        self.ownership.cancel_changes()
