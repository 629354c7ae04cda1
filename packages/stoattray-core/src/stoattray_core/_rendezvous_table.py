"""Rendezvous order of members for each shard, kept up as members come and go.

Only the first two are kept: the owner and its successor. A member that joins is
compared with them; one that leaves is replaced where it was among them.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from stoattray_core._hashing import rendezvous_score
from stoattray_core._identifiers import N_SHARDS, MemberId

N_RANKED = 2

_ScoredMember = tuple[int, MemberId]


def _empty_rankings() -> list[list[_ScoredMember]]:
    return [[] for _ in range(N_SHARDS)]


@dataclass(slots=True)
class RendezvousTable:
    """First and second member of each shard."""

    _scores: dict[MemberId, list[int]] = field(default_factory=dict)
    _ranked: list[list[_ScoredMember]] = field(default_factory=_empty_rankings)

    def update(self, members: Iterable[MemberId]) -> None:
        """Make the table that of exactly these members."""
        wanted = set(members)
        for member in sorted(set(self._scores) - wanted):
            self._remove(member)
        for member in sorted(wanted - set(self._scores)):
            self._add(member)

    def owner_and_successor(self, shard: int) -> list[MemberId]:
        """Return up to two members, the one to own the shard first."""
        return [member for _, member in self._ranked[shard]]

    def _add(self, member: MemberId) -> None:
        weights = [rendezvous_score(member, shard) for shard in range(N_SHARDS)]
        self._scores[member] = weights
        for ranked, weight in zip(self._ranked, weights, strict=True):
            if len(ranked) < N_RANKED or (weight, member) < ranked[-1]:
                ranked.append((weight, member))
                ranked.sort()
                del ranked[N_RANKED:]

    def _remove(self, member: MemberId) -> None:
        del self._scores[member]
        for shard, ranked in enumerate(self._ranked):
            if any(name == member for _, name in ranked):
                weighted = (
                    (weights[shard], name) for name, weights in self._scores.items()
                )
                self._ranked[shard] = heapq.nsmallest(N_RANKED, weighted)
