"""Repair of differences between balancers that no announcement has closed.

Pings carry one digest of all shards. While it differs between two balancers,
one sends its digest of each shard, and the other announces again what it owns
of those that differ.
"""

import struct
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from stoattray_core._announcer import Announcer
from stoattray_core._identifiers import N_SHARDS, Address, MemberId, Millis
from stoattray_core._ownership import Ownership
from stoattray_core._state import State
from stoattray_core.messages import Compare

QUIET_TIME = 1_000
COMPARE_PERIOD = 1_000
DIGEST_BITS = 63
_DIGESTS = struct.Struct(f"!{N_SHARDS}Q")


@dataclass(slots=True)
class AntiEntropy:
    """Compares shards with peers and repairs what this balancer owns."""

    state: State
    ownership: Ownership
    announcer: Announcer
    _digests: list[int] = field(default_factory=lambda: [0] * N_SHARDS)
    _whole: int = 0
    _changed_at: Millis = 0
    _compared_at: Millis = -COMPARE_PERIOD

    def digest(self) -> int:
        """Return one number for owners and buckets of all shards."""
        dirty = self.state.dirty_shards
        if dirty:
            self._changed_at = self.state.now
            for shard in dirty:
                self._digests[shard] = self._shard_digest(shard)
            dirty.clear()
            packed = _DIGESTS.pack(*self._digests)
            self._whole = xxh3_64_intdigest(packed) >> (64 - DIGEST_BITS)
        return self._whole

    def on_digest(self, digest: int, address: Address) -> None:
        """Ask for repair if a peer differs although nothing changes here."""
        if digest == self.digest() or not self.state.is_ready:
            return
        now = self.state.now
        is_quiet = now - self._changed_at >= QUIET_TIME
        if is_quiet and now - self._compared_at >= COMPARE_PERIOD:
            self._compared_at = now
            self.state.send(address, Compare(_DIGESTS.pack(*self._digests)))

    def on_compare(self, compare: Compare, sender: MemberId) -> None:
        """Announce again what this balancer owns of the shards that differ."""
        if len(compare.digests) != _DIGESTS.size or not self.state.is_ready:
            return
        self.digest()
        theirs = _DIGESTS.unpack(compare.digests)
        shards = [
            shard
            for shard in range(N_SHARDS)
            if theirs[shard] != self._digests[shard] and self._may_repair(shard)
        ]
        if shards:
            self.state.log("repair", member=sender, n_shards=len(shards))
            self.announcer.announce_again(shards, sender)

    def _may_repair(self, shard: int) -> bool:
        """Return whether this balancer owns a shard, or knows that nobody does."""
        has_owner = self.state.tables.shards[shard].owner is not None
        return not has_owner or self.ownership.is_owner(shard)

    def _shard_digest(self, shard: int) -> int:
        row = self.state.tables.shards[shard]
        parts = [f"{row.epoch} {row.owner}"]
        for service, number in sorted(self.state.owned_keys(shard)):
            bucket = self.state.tables.services[service].buckets[number]
            if bucket is not None:
                parts.append(
                    f"{service} {number} {bucket.order} {bucket.tracked} {bucket.base}"
                )
        return xxh3_64_intdigest("\n".join(parts).encode())
