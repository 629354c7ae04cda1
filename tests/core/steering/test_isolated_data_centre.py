"""Evacuated data centre that is cut off from everything else."""

import unittest

from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from tests.evacuation_fleet import THREE_DATA_CENTRES, EvacuationFleet

FIRST, SECOND, THIRD = THREE_DATA_CENTRES

UNCONFIRMED_MILLIS = MAX_CONFIRMED_AGE_MILLIS + 300
"""Time after the begin of a cut until every balancer knows that it is unconfirmed."""


class IsolatedDataCentreTest(unittest.TestCase):
    """Its callers can be served by its own servers only."""

    def setUp(self):
        self.fleet = EvacuationFleet(seed=3)
        self.fleet.set_load(0.3)
        self.fleet.run(1_000)
        self.fleet.evacuate(FIRST)
        self.fleet.run(2_000)

    def share_served(self, outcomes, data_centre):
        """Return the share of a data centre's requests that were served."""
        served = [o.is_served for o in outcomes if o.data_centre == data_centre]
        self.assertGreater(len(served), 50)
        return sum(served) / len(served)

    def test_its_callers_are_served_there_while_it_is_cut_off(self):
        """Guards against callers that nobody serves although their servers work."""
        self.fleet.cut_off = {FIRST}
        self.fleet.run(UNCONFIRMED_MILLIS)
        outcomes = self.fleet.run(2_000)
        self.assertGreater(self.share_served(outcomes, FIRST), 0.98)
        self.assertGreater(self.share_served(outcomes, SECOND), 0.98)
        senders = {o.balancer[:6] for o in self.fleet.openings_after(0, FIRST)[-50:]}
        self.assertEqual(senders, {"edge-a"})

    def test_evacuation_holds_again_once_it_is_reachable(self):
        """Guards against an isolation that outlasts the cut."""
        self.fleet.cut_off = {FIRST}
        self.fleet.run(UNCONFIRMED_MILLIS + 1_000)
        self.fleet.cut_off = set()
        self.fleet.run(1_000)
        at = self.fleet.now
        outcomes = self.fleet.run(2_000)
        self.assertEqual(self.fleet.openings_after(at, FIRST), [])
        self.assertGreater(self.share_served(outcomes, FIRST), 0.98)

    def test_store_that_is_down_does_not_end_the_evacuation(self):
        """Guards against openings there while servers elsewhere are reachable."""
        at = self.fleet.now
        self.fleet.without_store = set(THREE_DATA_CENTRES)
        outcomes = self.fleet.run(2 * UNCONFIRMED_MILLIS)
        self.assertEqual(self.fleet.openings_after(at, FIRST), [])
        self.assertGreater(self.share_served(outcomes, FIRST), 0.98)

    def test_unreachable_servers_alone_do_not_end_the_evacuation(self):
        """Guards against openings there from a balancer that reaches the store."""
        for host in self.fleet.hosts.values():
            host.is_unresponsive = host.data_centre != FIRST
        at = self.fleet.now
        self.fleet.step_for(1_500)
        self.assertEqual(self.fleet.openings_after(at, FIRST), [])


if __name__ == "__main__":
    unittest.main()
