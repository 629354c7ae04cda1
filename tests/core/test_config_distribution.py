"""The configuration revision never decreases, and deletions persist."""

import unittest

from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import ConfigDelta, EntryState
from tests.builders import lookup, network, open_flows

SERVICE = "services/tanglaw/lookup"


class DistributionTest(unittest.TestCase):
    """Configuration that balancers apply from the store and from peers."""

    def revisions(self, net):
        return {core.config_revision for core in net.cores.values()}

    def test_all_reach_the_highest_revision(self):
        net = network(1, lookup())
        for _ in range(5):
            net.declare_service(lookup())
        net.run(1_000)
        self.assertEqual(self.revisions(net), {6})

    def test_older_or_gapped_deltas_are_ignored(self):
        net = network(2, lookup())
        core = net.cores["b1"]
        old = ConfigDelta(0, 1, [EntryState(SERVICE, 1, True, "")])
        gapped = ConfigDelta(7, 9, [EntryState(SERVICE, 9, True, "")])
        for delta in (old, gapped):
            core.on_message(delta, "b2", ("b2", 7000))
        self.assertEqual(core.config_revision, 1)
        self.assertIn("tanglaw/lookup", core.tables.services)

    def test_partitioned_peer_does_not_restore_a_deleted_service(self):
        net = network(3, lookup())
        for other in ("b1", "b2", "b3", "b4"):
            net.partition("b5", other)
        deleted = [
            ConfigEntry(SERVICE, 2, None),
            ConfigEntry(f"addresses/{lookup().spec.key:x}", 2, None),
        ]
        net.cores["b1"].on_config(1, 2, deleted)
        net.run(10_000)
        self.assertEqual(net.cores["b5"].config_revision, 1)
        net.clear_link_faults()
        net.run(12_000)
        self.assertEqual(self.revisions(net), {2})
        for core in net.cores.values():
            self.assertNotIn("tanglaw/lookup", core.tables.services)

    def test_service_deleted_during_a_move_can_be_declared_again(self):
        net = network(4, lookup())
        open_flows(net, lookup(), 500)
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 7_000)
        revision = net.revision
        deleted = [ConfigEntry(SERVICE, revision + 1, None)]
        net.cores["b1"].on_config(revision, revision + 1, deleted)
        net.run(2_000)
        net.revision += 1
        net.declare_service(lookup())
        net.run(10_000)
        for core in net.cores.values():
            buckets = core.tables.services["tanglaw/lookup"].buckets
            self.assertTrue(all(bucket is not None for bucket in buckets))

    def test_address_without_claim_is_not_routed(self):
        net = network(5, lookup())
        core = net.cores["b1"]
        claim = ConfigEntry(f"addresses/{lookup().spec.key:x}", 2, "ferreyra/other")
        core.on_config(1, 2, [claim])
        self.assertNotIn(lookup().spec.key, core.tables.services_by_key)

    def test_invalid_entry_keeps_the_previous_service(self):
        net = network(6, lookup())
        core = net.cores["b1"]
        core.on_config(1, 2, [ConfigEntry(SERVICE, 2, "{broken")])
        self.assertIn("tanglaw/lookup", core.tables.services)
        self.assertEqual(core.config_revision, 2)
