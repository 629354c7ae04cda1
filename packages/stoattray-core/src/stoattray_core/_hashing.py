"""Deterministic hashing, with the same results on every balancer."""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from stoattray_core._identifiers import N_SHARDS, FlowId, MemberId, ServerId


def shard_of(flow: FlowId) -> int:
    """Return the shard of a flow, from 0 to ``N_SHARDS - 1``."""
    return xxh3_64_intdigest(flow) % N_SHARDS


def rendezvous_order(seed: int, members: Iterable[MemberId]) -> list[MemberId]:
    """Order members by rendezvous score.

    Parameters
    ----------
    seed : int
        Shard number, or hash of another item to assign.
    members : iterable of MemberId
        Candidates.

    Returns
    -------
    list of MemberId
        For a shard, the first is the owner and the second keeps copies of its
        records.
    """
    return sorted(members, key=lambda member: (rendezvous_score(member, seed), member))


def rendezvous_score(member: MemberId, seed: int) -> int:
    """Return a member's rendezvous score for a seed; the lowest ranks first."""
    return xxh3_64_intdigest(member.encode(), seed)


def maglev_table(
    servers: Sequence[ServerId], weights: Sequence[int] | None = None
) -> list[ServerId]:
    """Distribute shards over servers by weight, reassigning few on a change.

    Parameters
    ----------
    servers : sequence of ServerId
        Servers that accept new flows.
    weights : sequence of int, optional
        Relative share of each server, at least 1; equal shares if None.

    Returns
    -------
    list of ServerId
        One server per shard; empty if there are no servers.

    Notes
    -----
    This is the table population of Maglev (Eisenbud et al., NSDI 2016): each
    server in turn takes the next free shard of its own permutation.
    """
    if not servers:
        return []
    ordered = sorted(set(servers))
    weight_of = _weights_by_server(servers, weights)
    permutations = [_permutation(server) for server in ordered]
    table: list[ServerId | None] = [None] * N_SHARDS
    n_free = N_SHARDS
    while n_free:
        for server, permutation in zip(ordered, permutations, strict=True):
            for _ in range(weight_of[server]):
                if not n_free:
                    break
                shard = next(
                    position for position in permutation if table[position] is None
                )
                table[shard] = server
                n_free -= 1
    return [server for server in table if server is not None]


def _weights_by_server(
    servers: Sequence[ServerId], weights: Sequence[int] | None
) -> dict[ServerId, int]:
    if weights is None:
        return dict.fromkeys(servers, 1)
    return dict(zip(servers, weights, strict=True))


def _permutation(server: ServerId) -> Iterable[int]:
    offset = xxh3_64_intdigest(server.encode(), 1) % N_SHARDS
    skip = xxh3_64_intdigest(server.encode(), 2) % (N_SHARDS - 1) + 1
    return iter([(offset + step * skip) % N_SHARDS for step in range(N_SHARDS)])
