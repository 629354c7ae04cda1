"""Loads and faults on data centres that are far from each other.

Four data centres with eight hosts and four balancers each; the extra round trip
is 6 ms. Each balancer sends heartbeats to a sample of the others.
"""

import unittest
from collections import Counter

from tests.far_fleet import far_fleet, figures, move_callers, set_even_load, set_loads

FIRST, LAST = "luzon-a", "luzon-d"
VERY_HIGH_PRICE_MILLIS = 60_000.0


class FarLoadTest(unittest.TestCase):
    """Share in time, and share that leaves, by pattern of load."""

    def start(self, load=0.4, **options):
        self.fleet = far_fleet(**options)
        set_even_load(self.fleet, load)
        self.fleet.run(1_500)
        return self.fleet

    def run_figures(self, millis=2_000, only=None):
        return figures(self.fleet, self.fleet.run(millis), only=only)

    def test_usual_load_stays(self):
        """Guards against the cost of flows that leave for nothing."""
        self.start(0.6)
        result = self.run_figures()
        self.assertEqual(result.in_time, 1.0)
        self.assertLess(result.left, 0.01)

    def test_waves_out_of_phase_below_the_capacity_stay(self):
        self.start()
        loads = [0.2, 0.3, 0.6, 0.8]
        outcomes = []
        for turn in range(4):
            shifted = loads[turn:] + loads[:turn]
            set_loads(self.fleet, dict(zip(self.fleet.rates, shifted, strict=True)))
            outcomes += self.fleet.run(700)
        result = figures(self.fleet, outcomes)
        self.assertGreater(result.in_time, 0.995)
        self.assertLess(result.left, 0.02)

    def test_half_of_the_callers_move(self):
        """Guards against refusals while other data centres have free slots."""
        self.start()
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(500)
        result = self.run_figures()
        self.assertGreater(result.in_time, 0.98)
        self.assertGreater(result.left, 0.05)

    def test_callers_that_moved_back_stay_again(self):
        """Guards against a split that remains after the excess has gone."""
        self.start()
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(1_500)
        set_even_load(self.fleet, 0.5)
        self.fleet.run(1_000)
        result = self.run_figures()
        self.assertEqual(result.in_time, 1.0)
        self.assertLess(result.left, 0.005)

    def test_burst_everywhere_moves_nothing(self):
        """Guards against overload that is only exchanged between data centres."""
        self.start()
        set_even_load(self.fleet, 1.3)
        self.fleet.run(1_000)
        before = self.fleet.n_left
        result = self.run_figures()
        self.assertLess(self.fleet.n_left - before, 0.02 * result.n_requests)

    def test_servers_of_one_data_centre_slower_by_a_factor_of_seven(self):
        self.start(0.3)
        for host in self.fleet.hosts.values():
            host.slowdown = 7.0 if host.data_centre == FIRST else 1.0
        self.fleet.run(1_500)
        result = self.run_figures(only=FIRST)
        self.assertGreater(result.in_time, 0.9)
        self.assertGreater(result.left, 0.4)

    def test_third_of_the_servers_released_cold(self):
        self.start(0.6)
        for host in list(self.fleet.hosts.values())[::3]:
            host.slowdown = 1.6
            entry = self.fleet.entry(host, warmup_remaining_millis=3_000)
            self.fleet.declare(entry)
        result = self.run_figures()
        self.assertGreater(result.in_time, 0.99)
        self.assertLess(result.left, 0.05)

    def test_very_high_price_keeps_all_openings_that_servers_can_take(self):
        self.start(price_millis=VERY_HIGH_PRICE_MILLIS)
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(2_000)
        self.assertEqual(self.fleet.n_left, 0)

    def test_data_centre_without_servers(self):
        """Guards against refusals at a data centre whose servers are all gone."""
        self.start()
        for host in self.fleet.hosts.values():
            if host.data_centre == FIRST:
                for balancer in self.fleet.all_balancers:
                    balancer.remove(host.name)
        self.fleet.run(500)
        result = self.run_figures(only=FIRST)
        self.assertGreater(result.in_time, 0.99)
        self.assertEqual(result.left, 1.0)

    def test_many_balancers_with_few_flows_each_do_not_herd(self):
        """Guards against all balancers sending to the same few servers at once."""
        self.start(n_hosts=15, n_balancers=17)
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(500)
        outcomes = self.fleet.run(1_500)
        result = figures(self.fleet, outcomes)
        self.assertGreater(result.in_time, 0.98)
        remote = Counter(
            outcome.host
            for outcome in outcomes
            if outcome.data_centre == FIRST
            and outcome.host is not None
            and self.fleet.hosts[outcome.host].data_centre != FIRST
        )
        self.assertGreater(remote.total(), 100)
        self.assertLess(max(remote.values()), 4.0 * remote.total() / 45)


class FarFailureTest(unittest.TestCase):
    """Reports that are lost, old or reordered, and data centres that are cut off."""

    def start(self, **options):
        self.fleet = far_fleet(**options)
        set_even_load(self.fleet, 0.4)
        self.fleet.run(1_500)
        return self.fleet

    def overload_first(self, millis=2_000):
        """Return the figures of the first data centre half a second after a move."""
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(500)
        return figures(self.fleet, self.fleet.run(millis), only=FIRST)

    def test_reporting_balancer_dies(self):
        self.start()
        for balancers in self.fleet.balancers.values():
            balancers.pop(0)
        self.assertGreater(self.overload_first().in_time, 0.97)

    def test_heartbeats_reordered(self):
        self.start()
        self.fleet.max_delay_millis = 250
        self.assertGreater(self.overload_first().in_time, 0.97)

    def test_half_of_the_reports_old(self):
        """Guards against old rows that replace new ones."""
        self.start()
        self.fleet.withheld_at = self.fleet.now
        for balancers in self.fleet.balancers.values():
            self.fleet.withheld_rows |= {b.own.name for b in balancers[::2]}
        self.assertGreater(self.overload_first().in_time, 0.97)

    def test_partition_with_half_of_the_reports_old(self):
        """Guards against openings that all try the data centre that is cut off."""
        self.start()
        self.fleet.withheld_at = self.fleet.now
        for balancers in self.fleet.balancers.values():
            self.fleet.withheld_rows |= {b.own.name for b in balancers[::2]}
        self.fleet.cut_off = {LAST}
        result = self.overload_first()
        self.assertGreater(result.in_time, 0.95)
        self.assertGreater(result.left, 0.05)

    def test_no_reports_leave_each_balancer_its_share_of_the_last_spare_capacity(self):
        self.start()
        self.fleet.withheld_at = self.fleet.now
        self.fleet.withheld_rows = {b.own.name for b in self.fleet.all_balancers}
        self.fleet.run(3_500)
        self.assertGreater(self.overload_first().in_time, 0.95)

    def test_data_centre_cut_off_serves_or_refuses_everything_itself(self):
        """Guards against openings that vanish in a partition, and old rows after it."""
        self.start()
        move_callers(self.fleet, 0.5, 0.5)
        self.fleet.run(1_000)
        self.fleet.cut_off = {FIRST}
        self.fleet.run(1_000)
        before = self.fleet.n_left
        outcomes = self.fleet.run(2_000)
        n_tried = self.fleet.n_left - before
        self.assertLess(n_tried, 0.05 * len(outcomes))
        self.assertEqual(figures(self.fleet, outcomes, only=FIRST).left, 0.0)
        self.fleet.cut_off = set()
        self.fleet.run(2_500)
        result = figures(self.fleet, self.fleet.run(1_500), only=FIRST)
        self.assertGreater(result.in_time, 0.97)
        self.assertGreater(result.left, 0.05)
