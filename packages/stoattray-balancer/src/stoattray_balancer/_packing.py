"""Packed binary encoding of bucket and shard lists.

A bucket takes nine bytes (shard, epoch, version) and a shard claim five (shard,
epoch); the names that a group shares are sent once. Integers are big-endian.
"""

import struct
from collections.abc import Iterable, Iterator

from stoattray_core.messages import BucketState, ShardState

_BUCKET = struct.Struct("!BII")
_CLAIM = struct.Struct("!BI")

BucketGroupKey = tuple[str, str, bool]


def pack_buckets(
    buckets: Iterable[BucketState],
) -> Iterator[tuple[BucketGroupKey, bytes]]:
    """Yield each key (service, base, tracked) with its packed buckets."""
    groups: dict[BucketGroupKey, list[bytes]] = {}
    for item in buckets:
        key = (item.service_name, item.base, item.tracked)
        packed = _BUCKET.pack(item.shard, item.epoch, item.version)
        groups.setdefault(key, []).append(packed)
    for key, parts in groups.items():
        yield key, b"".join(parts)


def unpack_buckets(key: BucketGroupKey, packed: bytes) -> Iterator[BucketState]:
    """Yield the unpacked buckets of one group.

    Raises
    ------
    ValueError
        If the length is not a whole number of buckets.
    """
    service, base, tracked = key
    for shard, epoch, version in _unpack_items(_BUCKET, packed):
        yield BucketState(service, shard, epoch, version, tracked, base)


def pack_claims(claims: Iterable[ShardState]) -> Iterator[tuple[str, bytes]]:
    """Yield each owner with its packed claims."""
    groups: dict[str, list[bytes]] = {}
    for item in claims:
        packed = _CLAIM.pack(item.shard, item.epoch)
        groups.setdefault(item.owner, []).append(packed)
    for owner, parts in groups.items():
        yield owner, b"".join(parts)


def unpack_claims(owner: str, packed: bytes) -> Iterator[ShardState]:
    """Yield the unpacked claims of one owner.

    Raises
    ------
    ValueError
        If the length is not a whole number of claims.
    """
    for shard, epoch in _unpack_items(_CLAIM, packed):
        yield ShardState(shard, epoch, owner)


def _unpack_items(layout: struct.Struct, packed: bytes) -> Iterator[tuple[int, ...]]:
    if len(packed) % layout.size:
        raise ValueError(f"{len(packed)} bytes, expected a multiple of {layout.size}")
    return layout.iter_unpack(packed)
