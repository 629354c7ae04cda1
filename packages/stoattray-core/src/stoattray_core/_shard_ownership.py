"""Ownership of shards.

A shard has one acting owner per epoch: the first live member in the shard's
rendezvous order, once it has received its predecessor's state through a handover
or a takeover.
"""

from dataclasses import dataclass, field

from stoattray_core._errors import ErrorKind, InvariantViolated
from stoattray_core._identifiers import MemberId, Millis
from stoattray_core._rendezvous_table import RendezvousTable
from stoattray_core._shard_records import promote_copies
from stoattray_core._state import State
from stoattray_core._tables import MemberRow


@dataclass(frozen=True, slots=True)
class HeldPacket:
    """A packet that is held until its shard has its next owner."""

    data: bytes
    hops: int
    ingress: MemberId | None
    is_opening: bool
    held_at: Millis


@dataclass(slots=True)
class ShardOwnership:
    """Determines the acting owner, desired owner and successor of each shard.

    ``newly_owned`` are shards that this balancer owns but has not announced yet.
    """

    state: State
    taking_over: set[int] = field(default_factory=set)
    handing_over: set[int] = field(default_factory=set)
    newly_owned: list[int] = field(default_factory=list)
    _rendezvous_version: int = -1
    _rendezvous: RendezvousTable = field(default_factory=RendezvousTable)
    _held_packets: dict[int, list[HeldPacket]] = field(default_factory=dict)

    def is_owner(self, shard: int) -> bool:
        """Return whether this balancer currently decides for the shard."""
        return self.has_records(shard) and shard not in self.handing_over

    def has_records(self, shard: int) -> bool:
        """Return whether this balancer has the records of the shard's open flows."""
        is_owned = self.state.tables.shards[shard].owner == self.state.own_id
        return is_owned and shard not in self.taking_over

    def is_changing(self, shard: int) -> bool:
        """Return whether this balancer is taking over or handing over the shard."""
        return shard in self.taking_over or shard in self.handing_over

    def hold_packet(self, shard: int, packet: HeldPacket) -> None:
        """Hold a packet until the shard has its next owner."""
        held = self._held_packets.setdefault(shard, [])
        if len(held) < self.state.settings.max_held_packets:
            held.append(packet)
        else:
            self.state.refuse(ErrorKind.QUEUE_FULL, packet.data)

    def take_released_packets(self) -> list[HeldPacket]:
        """Return and remove the held packets whose shards have an owner again.

        An opening packet held for longer than ``max_hold_millis`` is dropped: its
        caller may have opened the flow with a retransmission in the meantime.
        """
        shards = [shard for shard in self._held_packets if not self.is_changing(shard)]
        held = [packet for shard in shards for packet in self._held_packets.pop(shard)]
        oldest = self.state.now - self.state.settings.max_hold_millis
        released: list[HeldPacket] = []
        for packet in held:
            if packet.is_opening and packet.held_at < oldest:
                self.state.refuse(ErrorKind.HELD_TOO_LONG, packet.data)
            else:
                released.append(packet)
        return released

    def desired_owner(self, shard: int) -> MemberId | None:
        """Return the live member that should own the shard."""
        ranked = self._owner_and_successor(shard)
        return ranked[0] if ranked else None

    def relay_target(self, shard: int) -> MemberRow | None:
        """Return the balancer to which packets of the shard are relayed."""
        members = self.state.tables.members
        owner = self.state.tables.shards[shard].owner
        if owner is not None and owner != self.state.own_id:
            row = members.get(owner)
            if row is not None and row.is_present:
                return row
        other = self.successor(shard)
        return members.get(other) if other is not None else None

    def successor(self, shard: int) -> MemberId | None:
        """Return the balancer that keeps copies of the owner's records."""
        for member in self._owner_and_successor(shard):
            if member != self.state.own_id:
                return member
        return None

    def become_owner(self, shard: int, epoch: int) -> None:
        """Become the owner of a shard, with the records that are known here.

        Raises
        ------
        InvariantViolated
            If a later epoch is known.
        """
        row = self.state.tables.shards[shard]
        if epoch < row.epoch:
            raise InvariantViolated("shard epoch decreased")
        row.epoch = epoch
        row.owner = self.state.own_id
        self.state.mark_shard_changed(shard)
        for key in self.state.bucket_keys(shard):
            bucket = self.state.tables.services[key[0]].buckets[key[1]]
            if bucket is not None and bucket.tracked:
                promote_copies(self.state, key)
        self.newly_owned.append(shard)

    def cancel_changes(self) -> None:
        """Cancel unfinished changes of owner while this balancer rejoins."""
        self.taking_over.clear()
        self.handing_over.clear()

    def _owner_and_successor(self, shard: int) -> list[MemberId]:
        if self._rendezvous_version != self.state.membership_version:
            self._rendezvous_version = self.state.membership_version
            self._rendezvous.update(
                row.member for row in self.state.tables.live_members()
            )
        return self._rendezvous.owner_and_successor(shard)
