"""Evacuations of one balancer whose store returns from an older copy."""

import unittest

from stoattray_core.steering.evacuations import EVACUATION_KEPT_MILLIS
from tests.evacuation_store import Fleet, key_of
from tests.restorable_store import exchange


class RestoredEvacuationTest(unittest.TestCase):
    """One balancer, and a store that returns from an older copy."""

    def setUp(self):
        self.fleet = Fleet(1)
        self.store = self.fleet.store
        [self.balancer] = self.fleet.balancers
        self.evacuations = self.balancer.steering.cluster_state.evacuations
        self.fleet.read(self.balancer)

    def read(self):
        self.fleet.read(self.balancer)

    def advance(self, millis):
        self.balancer.now += millis
        self.balancer.steering.remove_expired(self.balancer.now)

    def states(self):
        return [
            fields["state"]
            for name, fields in self.balancer.recorder.events
            if name == "evacuation"
        ]

    def is_evacuated(self):
        return self.evacuations.is_evacuated("luzon-a")

    def lose_evacuation(self):
        """Let the store return from a copy without an evacuation in force."""
        self.store.take_copy()
        self.fleet.write("luzon-a")
        self.read()
        self.store.restore()
        self.read()

    def test_ended_evacuation_is_not_restored_and_logged(self):
        """Guards against a copy that empties a data centre again."""
        self.fleet.write("luzon-a")
        self.read()
        self.store.take_copy()
        self.fleet.remove("luzon-a")
        self.read()
        self.store.restore()
        self.read()
        self.assertFalse(self.is_evacuated())
        events = [fields for name, fields in self.balancer.recorder.events]
        self.assertIn({"key": key_of("luzon-a")}, events)
        self.fleet.remove("luzon-a")
        self.read()
        self.assertEqual(self.states(), ["begun", "ended"])
        self.fleet.write("luzon-a")
        self.read()
        self.assertTrue(self.is_evacuated())

    def test_record_written_again_beside_an_outdated_one_applies_in_the_next_era(self):
        """Guards against a comparison by value: all records have the same."""
        self.fleet.write("luzon-a")
        self.read()
        self.store.take_copy()
        self.fleet.remove("luzon-a")
        self.read()
        self.store.restore()
        self.read()
        self.assertFalse(self.is_evacuated())
        self.fleet.write("luzon-a")
        self.store.take_copy()
        self.store.restore()
        self.read()
        self.assertTrue(self.is_evacuated())

    def test_lost_evacuation_is_kept_until_it_is_written_and_removed(self):
        """Guards against openings to a data centre whose record was lost."""
        self.lose_evacuation()
        self.assertTrue(self.is_evacuated())
        self.fleet.write("luzon-a")
        self.read()
        self.advance(2 * EVACUATION_KEPT_MILLIS)
        self.assertTrue(self.is_evacuated())
        self.fleet.remove("luzon-a")
        self.read()
        self.assertFalse(self.is_evacuated())
        self.assertEqual(self.states(), ["begun", "kept", "begun", "ended"])

    def test_lost_evacuation_ends_after_the_longest_time(self):
        """Guards against a data centre that is never used again."""
        self.lose_evacuation()
        self.advance(EVACUATION_KEPT_MILLIS - 1)
        self.assertTrue(self.is_evacuated())
        self.advance(1)
        self.assertFalse(self.is_evacuated())
        self.assertEqual(self.evacuations.ended_at("luzon-a"), self.balancer.now)
        self.assertEqual(self.states(), ["begun", "kept", "ended"])

    def test_end_of_a_kept_evacuation_reaches_one_that_learns_from_a_peer(self):
        """Guards against waiting 60 s since the peer sends only the removal."""
        self.lose_evacuation()
        peer = self.fleet.new_balancer(8)
        self.fleet.read(peer)
        self.fleet.write("luzon-a")
        self.fleet.read(peer)
        self.fleet.remove("luzon-a")
        self.fleet.read(peer)
        exchange(self.balancer, peer)
        self.assertFalse(self.is_evacuated())

    def test_removal_in_an_older_era_does_not_end_a_kept_evacuation(self):
        """Guards against a peer that was cut off and sends what the store lost."""
        peer = self.fleet.new_balancer(8)
        self.fleet.read(peer)
        self.store.take_copy()
        self.fleet.write("luzon-a")
        self.fleet.read(peer)
        self.read()
        before = peer.steering.replica.version
        self.fleet.remove("luzon-a")
        self.fleet.read(peer)
        older = peer.steering.replica.changes_since(before)
        self.assertEqual([record.value for record in older.records], [None])
        self.store.restore()
        self.read()
        self.balancer.steering.apply_changes(older, self.balancer.now)
        self.assertTrue(self.is_evacuated())

    def test_lost_history_applies_whether_the_key_exists_or_not(self):
        """Guards against a snapshot of the same era that changes no evacuation."""
        steering = self.balancer.steering
        self.fleet.write("luzon-a")
        steering.apply_changes(self.store.read_all(), self.balancer.now)
        self.assertTrue(self.is_evacuated())
        self.fleet.write("luzon-b")
        self.fleet.remove("luzon-a")
        steering.apply_changes(self.store.read_all(), self.balancer.now)
        self.assertFalse(self.is_evacuated())
        self.assertTrue(self.evacuations.is_evacuated("luzon-b"))

    def test_new_record_at_a_revision_from_before_is_ignored_until_written_again(self):
        """Shows the limit that the design note names."""
        self.fleet.write("luzon-a")
        self.fleet.remove("luzon-a")
        self.read()
        self.store.restore()
        self.fleet.write("luzon-a")
        self.read()
        self.assertFalse(self.is_evacuated())
        self.fleet.write("luzon-a")
        self.read()
        self.assertTrue(self.is_evacuated())

    def test_balancer_that_starts_after_the_return_knows_only_the_copy(self):
        """Shows the limit that the design note names."""
        self.lose_evacuation()
        starting = self.fleet.new_balancer(9)
        self.fleet.read(starting)
        self.assertEqual(len(starting.steering.cluster_state.evacuations), 0)
