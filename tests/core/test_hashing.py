"""Tests of Maglev tables and rendezvous orders."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_core._hashing import maglev_table, rendezvous_order
from stoattray_core._identifiers import N_SHARDS, server_id
from stoattray_core._rendezvous_table import RendezvousTable


def servers(n_servers):
    """Return server ids."""
    return [
        server_id(f"s{number}", "127.0.0.1", number + 1) for number in range(n_servers)
    ]


class MaglevTableTest(unittest.TestCase):
    """Shares are even and a change moves little."""

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(st.integers(1, 40))
    def test_shares_differ_by_one(self, n_servers):
        shares = Counter(maglev_table(servers(n_servers)))
        self.assertEqual(sum(shares.values()), N_SHARDS)
        self.assertLessEqual(max(shares.values()) - min(shares.values()), 1)

    def test_removal_moves_little_beyond_its_share(self):
        before = maglev_table(servers(7))
        after = maglev_table(servers(7)[1:])
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        self.assertLess(moved, 2.5 * N_SHARDS / 7)

    def test_weights(self):
        two = servers(2)
        shares = Counter(maglev_table(two, [3, 1]))
        self.assertAlmostEqual(shares[two[0]] / shares[two[1]], 3, delta=0.1)

    def test_order_of_servers_does_not_matter(self):
        self.assertEqual(maglev_table(servers(5)), maglev_table(servers(5)[::-1]))

    def test_no_servers(self):
        self.assertEqual(maglev_table([]), [])


class RendezvousOrderTest(unittest.TestCase):
    """Ownership is spread, and the successor becomes the next owner."""

    def test_successor_is_next_owner(self):
        members = ["b1", "b2", "b3", "b4", "b5"]
        for shard in range(N_SHARDS):
            ranked = rendezvous_order(shard, members)
            remaining = [member for member in members if member != ranked[0]]
            self.assertEqual(rendezvous_order(shard, remaining)[0], ranked[1])

    def test_spread(self):
        members = ["b1", "b2", "b3", "b4", "b5"]
        shares = Counter(
            rendezvous_order(shard, members)[0] for shard in range(N_SHARDS)
        )
        self.assertGreater(min(shares.values()), N_SHARDS / 5 * 0.6)


class RendezvousTableTest(unittest.TestCase):
    """The table holds the first two members of the full rendezvous order."""

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(st.lists(st.sets(st.sampled_from("abcdefgh")), min_size=1, max_size=5))
    def test_follows_members(self, changes):
        table = RendezvousTable()
        for members in changes:
            table.update(members)
        for shard in range(N_SHARDS):
            self.assertEqual(
                table.owner_and_successor(shard),
                rendezvous_order(shard, changes[-1])[:2],
            )
