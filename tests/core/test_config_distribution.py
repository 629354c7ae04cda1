"""The configuration revision never decreases, and deletions persist."""

import unittest

from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import ConfigDelta, EntryState
from tests.builders import build_network, lookup, open_flows

SERVICE = "services/tanglaw/lookup"


class DistributionTest(unittest.TestCase):
    """Configuration that balancers apply from the store and from peers."""

    def revisions(self, network):
        return {core.config_revision for core in network.cores.values()}

    def test_all_reach_the_highest_revision(self):
        network = build_network(1, lookup())
        for _ in range(5):
            network.declare_service(lookup())
        network.run(1_000)
        self.assertEqual(self.revisions(network), {6})

    def test_older_or_gapped_deltas_are_ignored(self):
        network = build_network(2, lookup())
        core = network.cores["b1"]
        old = ConfigDelta(0, 1, [EntryState(SERVICE, 1, True, "")])
        gapped = ConfigDelta(7, 9, [EntryState(SERVICE, 9, True, "")])
        for delta in (old, gapped):
            core.on_message(delta, "b2", ("b2", 7000))
        self.assertEqual(core.config_revision, 1)
        self.assertIn("tanglaw/lookup", core.tables.services)

    def test_partitioned_peer_does_not_restore_a_deleted_service(self):
        network = build_network(3, lookup())
        for other in ("b1", "b2", "b3", "b4"):
            network.partition("b5", other)
        deleted = [
            ConfigEntry(SERVICE, 2, None),
            ConfigEntry(f"addresses/{lookup().spec.key:x}", 2, None),
        ]
        network.cores["b1"].on_config(1, 2, deleted)
        network.run(10_000)
        self.assertEqual(network.cores["b5"].config_revision, 1)
        network.clear_link_faults()
        network.run(12_000)
        self.assertEqual(self.revisions(network), {2})
        for core in network.cores.values():
            self.assertNotIn("tanglaw/lookup", core.tables.services)

    def test_service_deleted_during_a_move_can_be_declared_again(self):
        network = build_network(4, lookup())
        open_flows(network, lookup(), 500)
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 7_000)
        revision = network.revision
        deleted = [ConfigEntry(SERVICE, revision + 1, None)]
        network.cores["b1"].on_config(revision, revision + 1, deleted)
        network.run(2_000)
        network.revision += 1
        network.declare_service(lookup())
        network.run(10_000)
        for core in network.cores.values():
            buckets = core.tables.services["tanglaw/lookup"].buckets
            self.assertTrue(all(bucket is not None for bucket in buckets))

    def test_address_without_claim_is_not_routed(self):
        network = build_network(5, lookup())
        core = network.cores["b1"]
        claim = ConfigEntry(f"addresses/{lookup().spec.key:x}", 2, "ferreyra/other")
        core.on_config(1, 2, [claim])
        self.assertNotIn(lookup().spec.key, core.tables.services_by_key)

    def test_invalid_entry_keeps_the_previous_service(self):
        network = build_network(6, lookup())
        core = network.cores["b1"]
        core.on_config(1, 2, [ConfigEntry(SERVICE, 2, "{broken")])
        self.assertIn("tanglaw/lookup", core.tables.services)
        self.assertEqual(core.config_revision, 2)
