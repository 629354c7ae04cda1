"""Desired owner and successor of each shard, updated incrementally.

They are the first two members in the shard's rendezvous order. A member that joins
is compared with them; a member that leaves is replaced where it was one of them.
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
    """Desired owner and successor of each shard."""

    _scores: dict[MemberId, list[int]] = field(default_factory=dict)
    _ranked: list[list[_ScoredMember]] = field(default_factory=_empty_rankings)

    def update(self, members: Iterable[MemberId]) -> None:
        """Update the table for exactly these members."""
        current = set(members)
        for member in sorted(set(self._scores) - current):
            self._remove(member)
        for member in sorted(current - set(self._scores)):
            self._add(member)

    def owner_and_successor(self, shard: int) -> list[MemberId]:
        """Return up to two members: the desired owner, then its successor."""
        return [member for _, member in self._ranked[shard]]

    def _add(self, member: MemberId) -> None:
        scores = [rendezvous_score(member, shard) for shard in range(N_SHARDS)]
        self._scores[member] = scores
        for ranked, score in zip(self._ranked, scores, strict=True):
            if len(ranked) < N_RANKED or (score, member) < ranked[-1]:
                ranked.append((score, member))
                ranked.sort()
                del ranked[N_RANKED:]

    def _remove(self, member: MemberId) -> None:
        del self._scores[member]
        for shard, ranked in enumerate(self._ranked):
            if any(name == member for _, name in ranked):
                scored = (
                    (scores[shard], name) for name, scores in self._scores.items()
                )
                self._ranked[shard] = heapq.nsmallest(N_RANKED, scored)
