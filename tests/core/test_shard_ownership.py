"""After a change, every shard has one owner that all balancers agree on."""

import unittest
from collections import Counter

from stoattray_core._bucket_table import apply_claims
from stoattray_core.messages import ShardState
from tests.builders import BALANCERS, aula_core, build_network, lookup, open_flows


def owners(network):
    """Return the set of owner tables over all cores."""
    return {
        tuple((row.epoch, row.owner) for row in core.tables.shards)
        for core in network.cores.values()
    }


class OwnershipTest(unittest.TestCase):
    """All balancers have the same owner table after each change."""

    def test_all_agree_and_each_owns_shards(self):
        network = build_network(1, lookup())
        self.assertEqual(len(owners(network)), 1)
        shares = Counter(row.owner for row in network.cores["b1"].tables.shards)
        self.assertEqual(set(shares), set(BALANCERS))

    def test_stale_claim_of_this_balancer_is_superseded(self):
        network = build_network(2, lookup())
        core = network.cores["b1"]
        shard = next(
            index for index, row in enumerate(core.tables.shards) if row.owner != "b1"
        )
        apply_claims(core._state, [ShardState(shard, 40, "b1")])
        self.assertEqual(core.tables.shards[shard].epoch, 41)
        self.assertIsNone(core.tables.shards[shard].owner)
        network.run(10_000)
        self.assertEqual(len(owners(network)), 1)
        self.assertGreater(core.tables.shards[shard].epoch, 41)

    def test_receiver_that_rejoins_during_a_handover(self):
        for pause_at in range(0, 400, 40):
            with self.subTest(pause_at):
                network = build_network(3, lookup(), balancers=BALANCERS[:4])
                network.start_balancer("b5")
                network.run(200 + pause_at)
                network.pause_balancer("b5")
                network.run(1_400)
                network.resume_balancer("b5")
                network.run(9_000)
                self.assertEqual(len(owners(network)), 1)

    def test_cut_off_balancer_rejoins_the_larger_side(self):
        network = build_network(4, lookup())
        for other in BALANCERS[1:]:
            network.partition("b1", other)
        network.run(8_000)
        before = {
            name: network.cores[name].tables.members[name].incarnation
            for name in BALANCERS
        }
        network.clear_link_faults()
        network.run(12_000)
        self.assertEqual(len(owners(network)), 1)
        for name in BALANCERS:
            core = network.cores[name]
            changed = core.tables.members[name].incarnation != before[name]
            self.assertEqual(changed, name == "b1", name)

    def test_home_shard_decides_for_a_whole_balance_service(self):
        network = build_network(5, aula_core())
        open_flows(network, aula_core(), 1_000)
        deciders = [
            name for name, core in network.cores.items() if any(core.tables.moves)
        ]
        self.assertEqual(len(deciders), 1)


class BalanceTest(unittest.TestCase):
    """The balance policy spreads few flows evenly."""

    def test_open_flows_differ_by_little(self):
        network = build_network(6, aula_core())
        for _ in range(70):
            network.open_flow(aula_core(), n_packets=200, interval_millis=100)
            network.run(20)
        network.run(2_000)
        counts = network.count_open_flows(aula_core()).values()
        self.assertEqual(sum(counts), 70)
        self.assertLessEqual(max(counts) - min(counts), 2)


class PartitionTest(unittest.TestCase):
    """A balancer that continued alone adopts the others' state after healing."""

    def test_balancer_that_rejoined_while_partitioned(self):
        network = build_network(7, lookup())
        for other in BALANCERS[1:]:
            network.partition("b1", other)
        network.run(5_000)
        network.pause_balancer("b1")
        network.run(3_000)
        network.resume_balancer("b1")
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        network.run(8_000)
        self.assertTrue(network.cores["b1"].is_ready)
        network.clear_link_faults()
        network.run(12_000)
        self.assertEqual(len(owners(network)), 1)
        buckets = [
            [
                (bucket.precedence, bucket.base)
                for bucket in core.tables.services["tanglaw/lookup"].buckets
            ]
            for core in network.cores.values()
        ]
        self.assertTrue(all(row == buckets[0] for row in buckets))
