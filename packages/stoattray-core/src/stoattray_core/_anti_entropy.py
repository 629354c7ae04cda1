"""Anti-entropy: repair of differences that remain after lost announcements.

Pings carry one digest of all shards. While it differs between two balancers,
one sends a digest per shard. For each digest that differs, the other announces
the shard again if it owns it or if the shard has no owner.
"""

import struct
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from stoattray_core._bucket_announcer import BucketAnnouncer
from stoattray_core._identifiers import N_SHARDS, Address, MemberId, Millis
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._state import State
from stoattray_core.messages import Compare

STABLE_PERIOD_MILLIS = 1_000
COMPARE_PERIOD_MILLIS = 1_000
DIGEST_BITS = 63  # fits a signed 64-bit integer of Thrift
_DIGESTS = struct.Struct(f"!{N_SHARDS}Q")


@dataclass(slots=True)
class AntiEntropy:
    """Compares shard digests with peers and repairs shards that this balancer owns."""

    state: State
    ownership: ShardOwnership
    announcer: BucketAnnouncer
    _digests: list[int] = field(default_factory=lambda: [0] * N_SHARDS)
    _combined_digest: int = 0
    _changed_at: Millis = 0
    _compared_at: Millis = -COMPARE_PERIOD_MILLIS

    def digest(self) -> int:
        """Return a digest of the owners and buckets of all shards."""
        dirty = self.state.dirty_shards
        if dirty:
            self._changed_at = self.state.now
            for shard in dirty:
                self._digests[shard] = self._shard_digest(shard)
            dirty.clear()
            packed = _DIGESTS.pack(*self._digests)
            self._combined_digest = xxh3_64_intdigest(packed) >> (64 - DIGEST_BITS)
        return self._combined_digest

    def on_digest(self, digest: int, address: Address) -> None:
        """Request a repair if a peer's digest differs and the local one is stable."""
        if digest == self.digest() or not self.state.is_ready:
            return
        now = self.state.now
        is_stable = now - self._changed_at >= STABLE_PERIOD_MILLIS
        if is_stable and now - self._compared_at >= COMPARE_PERIOD_MILLIS:
            self._compared_at = now
            self.state.send(address, Compare(_DIGESTS.pack(*self._digests)))

    def on_compare(self, compare: Compare, sender: MemberId) -> None:
        """Reannounce the differing shards that this balancer can repair."""
        if len(compare.digests) != _DIGESTS.size or not self.state.is_ready:
            return
        self.digest()
        theirs = _DIGESTS.unpack(compare.digests)
        shards = [
            shard
            for shard in range(N_SHARDS)
            if theirs[shard] != self._digests[shard] and self._can_repair(shard)
        ]
        if shards:
            self.state.log("repair", member=sender, n_shards=len(shards))
            self.announcer.reannounce(shards, sender)

    def _can_repair(self, shard: int) -> bool:
        """Return whether this balancer owns a shard or the shard has no owner."""
        has_owner = self.state.tables.shards[shard].owner is not None
        return not has_owner or self.ownership.is_owner(shard)

    def _shard_digest(self, shard: int) -> int:
        row = self.state.tables.shards[shard]
        parts = [f"{row.epoch} {row.owner}"]
        for service, number in sorted(self.state.bucket_keys(shard)):
            bucket = self.state.tables.services[service].buckets[number]
            if bucket is not None:
                parts.append(
                    f"{service} {number} {bucket.precedence} "
                    f"{bucket.tracked} {bucket.base}"
                )
        return xxh3_64_intdigest("\n".join(parts).encode())
