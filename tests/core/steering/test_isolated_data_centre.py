"""Evacuated data centre that is cut off from everything else."""

import unittest

from stoattray_core.steering.entries import WarmUp
from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from stoattray_core.steering.warm_up_budget import WarmUpBounds
from tests.evacuation_fleet import THREE_DATA_CENTRES, EvacuationFleet
from tests.simulated_fleet import Workload
from tests.steering_builders import configuration

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

    def test_store_and_servers_that_are_unreachable_do_not_isolate_beside_a_peer(self):
        """Guards against openings there from a balancer that hears of others.

        Its link may be choked, so that connections and openings take too long.
        """
        for host in self.fleet.hosts.values():
            host.is_unresponsive = host.data_centre != FIRST
        self.fleet.without_store = {FIRST}
        at = self.fleet.now
        self.fleet.step_for(1_500)
        self.assertEqual(self.fleet.openings_after(at, FIRST), [])

    def test_store_and_servers_elsewhere_that_are_unreachable_isolate(self):
        """Guards against a balancer that waits two seconds for what it can ask."""
        self.fleet.cut_off = {FIRST}
        outcomes = self.fleet.run(UNCONFIRMED_MILLIS)
        late = [o for o in outcomes if o.opened_at >= self.fleet.now - 1_000]
        self.assertGreater(self.share_served(outcomes, FIRST), 0.9)
        self.assertGreater(self.share_served(late, FIRST), 0.98)


class CutOffDuringAnEvacuationTest(unittest.TestCase):
    """Evacuated data centre that is cut off, with cold servers and impatient callers.

    Servers that leave openings unanswered may start again cold, so openings are
    withheld from them. Callers have 1.6 s and two retries.
    """

    def setUp(self):
        workload = Workload(target_millis=276, n_retries=2, deadline_millis=1_638)
        self.fleet = EvacuationFleet(
            seed=5, workload=workload, warm_up_bounds=WarmUpBounds(1.5, 5.0)
        )
        routes = {route.destination: route for route in self.fleet.routes()}
        warm_ups = {"lookup": WarmUp(2_000, 20.0)}
        self.fleet.declare(configuration(2, routes=routes, warm_ups=warm_ups))
        self.fleet.declare(*(balancer.own for balancer in self.fleet.all_balancers))
        self.fleet.set_load(0.3)
        self.fleet.run(1_000)
        self.fleet.evacuate(FIRST)
        self.fleet.run(2_000)
        self.fleet.cut_off = {FIRST}

    def shares(self, outcomes):
        """Return the shares of the first data centre that are served and in time."""
        own = [o for o in outcomes if o.data_centre == FIRST]
        served = [o for o in own if o.is_served]
        in_time = [o for o in served if o.millis <= 276]
        return len(served) / len(own), len(in_time) / len(own)

    def test_callers_are_not_reset_while_nothing_is_known(self):
        """Guards against resets that use up all retries before the cut is known."""
        served, in_time = self.shares(self.fleet.run(3_000))
        self.assertGreater(served, 0.97)
        self.assertGreater(in_time, 0.7)

    def test_load_goes_back_once_the_cut_ends(self):
        """Guards against openings withheld, or kept there, after the cut."""
        self.fleet.run(3_000)
        self.fleet.cut_off = set()
        self.fleet.run(3_500)
        at = self.fleet.now
        served, in_time = self.shares(self.fleet.run(2_000))
        self.assertEqual(self.fleet.openings_after(at, FIRST), [])
        self.assertGreater(served, 0.99)
        self.assertGreater(in_time, 0.97)


if __name__ == "__main__":
    unittest.main()
