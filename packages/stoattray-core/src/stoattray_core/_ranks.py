"""Rendezvous order of members for each shard, kept up as members come and go.

Only the first two are kept: the owner and its successor. A member that joins is
compared with them; one that leaves is replaced where it was among them.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from stoattray_core._hashing import member_weight
from stoattray_core._identifiers import N_SHARDS, MemberId

N_KEPT = 2

_Weighted = tuple[int, MemberId]


def _no_ranks() -> list[list[_Weighted]]:
    return [[] for _ in range(N_SHARDS)]


@dataclass(slots=True)
class RankTable:
    """First and second member of each shard."""

    _weights: dict[MemberId, list[int]] = field(default_factory=dict)
    _first: list[list[_Weighted]] = field(default_factory=_no_ranks)

    def update(self, members: Iterable[MemberId]) -> None:
        """Make the table that of exactly these members."""
        wanted = set(members)
        for member in sorted(set(self._weights) - wanted):
            self._remove(member)
        for member in sorted(wanted - set(self._weights)):
            self._add(member)

    def first(self, shard: int) -> list[MemberId]:
        """Return up to two members, the one to own the shard first."""
        return [member for _, member in self._first[shard]]

    def _add(self, member: MemberId) -> None:
        weights = [member_weight(member, shard) for shard in range(N_SHARDS)]
        self._weights[member] = weights
        for kept, weight in zip(self._first, weights, strict=True):
            if len(kept) < N_KEPT or (weight, member) < kept[-1]:
                kept.append((weight, member))
                kept.sort()
                del kept[N_KEPT:]

    def _remove(self, member: MemberId) -> None:
        del self._weights[member]
        for shard, kept in enumerate(self._first):
            if any(name == member for _, name in kept):
                weighted = (
                    (weights[shard], name) for name, weights in self._weights.items()
                )
                self._first[shard] = heapq.nsmallest(N_KEPT, weighted)
