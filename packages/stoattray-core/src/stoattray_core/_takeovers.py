"""Takeover of shards whose owner is gone.

The new owner claims the next epoch, requests the state of the shards from every
present balancer and decides once all have answered. A balancer that has answered
refuses the older epoch from then on.
"""

from dataclasses import dataclass, field

from stoattray_core._bucket_table import apply_buckets, apply_claims
from stoattray_core._identifiers import N_SHARDS, Address, MemberId
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._shard_records import (
    ReceivedParts,
    send_request,
    split_shards,
    store_copies,
)
from stoattray_core._state import State
from stoattray_core.messages import Gather, GatherReply, ShardState


@dataclass(slots=True)
class Takeovers:
    """Claims orphaned shards that this balancer should own."""

    state: State
    ownership: ShardOwnership
    _checked_version: tuple[int, int] = (-1, -1)
    _claims: dict[int, list[ShardState]] = field(default_factory=dict)
    _parts: dict[tuple[MemberId, int], ReceivedParts] = field(default_factory=dict)

    def tick(self) -> None:
        """Finish takeovers that all balancers have answered; claim orphaned shards."""
        if not self.state.is_ready:
            self._abandon()
            return
        self._finish()
        version = (self.state.membership_version, self.state.shards_version)
        if version != self._checked_version:
            self._checked_version = version
            self._claim_orphaned()

    def on_gather(self, gather: Gather, address: Address) -> None:
        """Apply a new owner's claims and answer with the state known here."""
        later = apply_claims(self.state, gather.shards)
        shards = [item.shard for item in gather.shards if 0 <= item.shard < N_SHARDS]
        parts = split_shards(self.state, shards)
        for number, part in enumerate(parts):
            reply = GatherReply(
                request=gather.request,
                config_revision=self.state.tables.config_revision,
                part=number,
                n_parts=len(parts),
                buckets=part.buckets.buckets,
                pins=part.buckets.pins,
                records=part.records,
                later=later if number == 0 else [],
            )
            self.state.send(address, reply)

    def on_reply(self, reply: GatherReply, sender: MemberId) -> None:
        """Apply one part of a balancer's state."""
        if reply.config_revision > self.state.tables.config_revision:
            return
        apply_claims(self.state, reply.later)
        apply_buckets(self.state, reply.buckets, reply.pins)
        store_copies(self.state, reply.records)
        parts = self._parts.setdefault((sender, reply.request), ReceivedParts())
        if parts.add(reply.part, reply.n_parts):
            del self._parts[(sender, reply.request)]
            self.state.requests.complete(reply.request, sender)

    def _claim_orphaned(self) -> None:
        own_id = self.state.own_id
        claims = [
            ShardState(shard, row.epoch + 1, own_id)
            for shard, row in enumerate(self.state.tables.shards)
            if row.owner is None and self.ownership.desired_owner(shard) == own_id
        ]
        if not claims:
            return
        group = self.state.requests.next_number()
        self._claims[group] = claims
        for claim in claims:
            row = self.state.tables.shards[claim.shard]
            row.epoch = claim.epoch
            row.owner = own_id
            self.ownership.taking_over.add(claim.shard)
            self.state.mark_shard_changed(claim.shard)
        for member in self.state.other_members():
            send_request(self.state, group, member, Gather(0, claims))
        self.state.log("takeover_started", n_shards=len(claims))

    def _finish(self) -> None:
        for group, claims in list(self._claims.items()):
            if self.state.requests.is_group_pending(group):
                continue
            del self._claims[group]
            for claim in claims:
                row = self.state.tables.shards[claim.shard]
                self.ownership.taking_over.discard(claim.shard)
                if row.epoch == claim.epoch and row.owner == self.state.own_id:
                    self.ownership.become_owner(claim.shard, claim.epoch)
            self.state.log("takeover_finished", n_shards=len(claims))

    def _abandon(self) -> None:
        self.state.requests.drop_groups(list(self._claims))
        self._claims.clear()
        self._checked_version = (-1, -1)
