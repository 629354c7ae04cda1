"""After a change, every shard has one owner that all balancers agree on."""

import unittest
from collections import Counter

from stoattray_core._bucket_table import apply_claims
from stoattray_core.messages import ShardState
from tests.builders import BALANCERS, aula_core, lookup, network, open_flows


def owners(net):
    """Return the set of owner tables over all cores."""
    return {
        tuple((row.epoch, row.owner) for row in core.tables.shards)
        for core in net.cores.values()
    }


class OwnershipTest(unittest.TestCase):
    """All balancers have the same owner table after each change."""

    def test_all_agree_and_each_owns_shards(self):
        net = network(1, lookup())
        self.assertEqual(len(owners(net)), 1)
        shares = Counter(row.owner for row in net.cores["b1"].tables.shards)
        self.assertEqual(set(shares), set(BALANCERS))

    def test_stale_claim_of_this_balancer_is_superseded(self):
        net = network(2, lookup())
        core = net.cores["b1"]
        shard = next(
            index for index, row in enumerate(core.tables.shards) if row.owner != "b1"
        )
        apply_claims(core._state, [ShardState(shard, 40, "b1")])
        self.assertEqual(core.tables.shards[shard].epoch, 41)
        self.assertIsNone(core.tables.shards[shard].owner)
        net.run(10_000)
        self.assertEqual(len(owners(net)), 1)
        self.assertGreater(core.tables.shards[shard].epoch, 41)

    def test_receiver_that_rejoins_during_a_handover(self):
        for pause_at in range(0, 400, 40):
            with self.subTest(pause_at):
                net = network(3, lookup(), balancers=BALANCERS[:4])
                net.start_balancer("b5")
                net.run(200 + pause_at)
                net.pause_balancer("b5")
                net.run(1_400)
                net.resume_balancer("b5")
                net.run(9_000)
                self.assertEqual(len(owners(net)), 1)

    def test_cut_off_balancer_rejoins_the_larger_side(self):
        net = network(4, lookup())
        for other in BALANCERS[1:]:
            net.partition("b1", other)
        net.run(8_000)
        before = {
            name: net.cores[name].tables.members[name].incarnation for name in BALANCERS
        }
        net.clear_link_faults()
        net.run(12_000)
        self.assertEqual(len(owners(net)), 1)
        for name in BALANCERS:
            core = net.cores[name]
            changed = core.tables.members[name].incarnation != before[name]
            self.assertEqual(changed, name == "b1", name)

    def test_home_shard_decides_for_a_whole_balance_service(self):
        net = network(5, aula_core())
        open_flows(net, aula_core(), 1_000)
        deciders = [name for name, core in net.cores.items() if any(core.tables.moves)]
        self.assertEqual(len(deciders), 1)


class BalanceTest(unittest.TestCase):
    """The balance policy spreads few flows evenly."""

    def test_open_flows_differ_by_little(self):
        net = network(6, aula_core())
        for _ in range(70):
            net.open_flow(aula_core(), n_packets=200, interval_millis=100)
            net.run(20)
        net.run(2_000)
        counts = net.count_open_flows(aula_core()).values()
        self.assertEqual(sum(counts), 70)
        self.assertLessEqual(max(counts) - min(counts), 2)


class PartitionTest(unittest.TestCase):
    """A balancer that continued alone adopts the others' state after healing."""

    def test_balancer_that_rejoined_while_partitioned(self):
        net = network(7, lookup())
        for other in BALANCERS[1:]:
            net.partition("b1", other)
        net.run(5_000)
        net.pause_balancer("b1")
        net.run(3_000)
        net.resume_balancer("b1")
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        net.run(8_000)
        self.assertTrue(net.cores["b1"].is_ready)
        net.clear_link_faults()
        net.run(12_000)
        self.assertEqual(len(owners(net)), 1)
        buckets = [
            [
                (bucket.precedence, bucket.base)
                for bucket in core.tables.services["tanglaw/lookup"].buckets
            ]
            for core in net.cores.values()
        ]
        self.assertTrue(all(row == buckets[0] for row in buckets))
