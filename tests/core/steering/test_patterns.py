"""Patterns of load and trouble, each played on a small fleet without network.

Two data centres with two balancers and six hosts each; callers open a flow for each
request. The share that has to be served in time is the users' aim for the worth of days
with trouble, 0.92 to 0.94 of all; on these loads nothing else costs worth.
"""

import unittest

from stoattray_core.steering.admission import AIM_SHARE
from tests.load_builders import AIM, DATA_CENTRES, WORK, Load

MIN_SHARE = 0.94
USUAL_LOAD = 0.6


def share_in_time(outcomes):
    """Return the share of flows that were served within the aim."""
    return sum(o.is_served and o.millis <= AIM for o in outcomes) / len(outcomes)


def share_at(outcomes, hosts):
    """Return the share of flows that went to some hosts."""
    names = {host.name for host in hosts}
    return sum(o.host in names for o in outcomes) / len(outcomes)


class PatternTest(unittest.TestCase):
    """Who waits, who is refused, and where work goes."""

    def setUp(self):
        self.load = Load()
        self.load.set_load(USUAL_LOAD)

    def assert_served(self, outcomes, share=MIN_SHARE):
        self.assertGreater(len(outcomes), 500)
        self.assertGreaterEqual(share_in_time(outcomes), share, self.load.refusals)

    def test_usual_load(self):
        outcomes = self.load.play(3_000)
        self.assert_served(outcomes)
        self.assertEqual(self.load.refusals.total(), 0)

    def test_market_morning_burst(self):
        self.load.play(1_000)
        self.load.set_load(1.6)
        outcomes = self.load.play(2_000)
        self.assert_slots_busy(outcomes, 2_000)
        self.load.set_load(USUAL_LOAD)
        self.load.play(1_000)
        self.assert_served(self.load.play(2_000))

    def test_market_morning_burst_on_many_balancers(self):
        self.load = Load(n_hosts=18, n_balancers=6)
        self.load.set_load(USUAL_LOAD)
        self.load.play(1_000)
        self.load.set_load(1.3)
        self.assert_slots_busy(self.load.play(2_000), 2_000)

    def test_many_balancers_near_the_limit_refuse_next_to_nothing(self):
        self.load = Load(n_hosts=18, n_balancers=6)
        self.load.set_load(0.85)
        self.load.play(1_000)
        outcomes = self.load.play(2_000)
        self.assert_served(outcomes)
        self.assertLess(self.load.refusals.total(), 0.01 * len(outcomes))

    def assert_slots_busy(self, outcomes, millis):
        """Check that hosts work all the time, and on what is not late in vain."""
        served = [o for o in outcomes if o.is_served]
        possible = millis * self.load.capacity
        self.assertGreaterEqual(len(served), MIN_SHARE * possible)
        in_time = sum(o.millis <= AIM_SHARE * AIM for o in served)
        self.assertGreaterEqual(in_time, MIN_SHARE * len(served))

    def test_all_clients_of_one_data_centre_moved_to_another(self):
        self.load.play(1_000)
        self.load.set_load(USUAL_LOAD, only=DATA_CENTRES[0])
        self.assert_served(self.load.play(3_000))

    def test_quarter_of_the_hosts_dark_at_once(self):
        self.load.play(1_000)
        dark = self.load.some_hosts(0.25)
        for host in dark:
            host.is_dark = True
        outcomes = self.load.play(4_000)
        self.assert_served(outcomes)
        self.assertEqual(sum(not o.is_served for o in outcomes if o.host is None), 0)

    def test_rolling_release_with_cold_starts(self):
        self.load.play(1_000)
        outcomes = []
        for host in list(self.load.hosts.values()):
            self.load.declare(self.load.entry(host, is_draining=True))
            fresh = self.load.add_host(host.data_centre, warmup=2_000)
            fresh.pace = 1.6
            self.load.after(2_000, lambda fresh=fresh: setattr(fresh, "pace", 1.0))
            outcomes += self.load.play(500)
            for balancer in self.load.everyone:
                balancer.remove(host.name)
        self.assert_served(outcomes)
        old = list(self.load.hosts.values())[:12]
        self.assertEqual(share_at(self.load.play(500), old), 0.0)

    def test_flapping_hosts(self):
        self.load.play(1_000)
        outcomes = []
        for number in range(8):
            for host in self.load.some_hosts(0.25):
                host.is_dark = number % 2 == 0
            outcomes += self.load.play(500)
        self.assert_served(outcomes)

    def test_grey_hosts_that_answer_fast_and_wrong(self):
        self.load.play(1_000)
        grey = self.load.some_hosts(0.25)
        for host in grey:
            host.fail_share = 0.7
        self.load.play(1_000)
        outcomes = self.load.play(4_000)
        self.assert_served(outcomes)
        self.assertLess(share_at(outcomes, grey), 0.1)

    def test_hosts_whose_health_lies_either_way(self):
        self.load.play(1_000)
        dark, lapsed = self.load.some_hosts(0.5)[:2]
        dark.is_dark = True
        for balancer in self.load.everyone:
            balancer.steering.store_health.note_failure()
            balancer.remove(lapsed.name)
        outcomes = self.load.play(3_000)
        self.assert_served(outcomes)
        self.assertGreater(share_at(outcomes, [lapsed]), 0.5 / len(self.load.hosts))
        self.assertLess(share_at(outcomes[len(outcomes) // 2 :], [dark]), 0.01)

    def test_slow_hosts(self):
        self.load.play(1_000)
        slow = self.load.some_hosts(0.25)
        for host in slow:
            host.pace = 4.0
        self.load.play(1_000)
        outcomes = self.load.play(4_000)
        self.assert_served(outcomes)
        self.assertLess(share_at(outcomes, slow), 0.25 / 2)

    def test_slow_balancer_condemns_no_host(self):
        slow = self.load.everyone[0]
        self.load.delays = {slow.own.name: 40}
        outcomes = self.load.play(4_000)
        suspects = [
            row.name
            for balancer in self.load.everyone[1:]
            for row in balancer.steering.servers
            if balancer.steering.is_suspect(row, self.load.now)
        ]
        self.assertEqual(suspects, [])
        self.assert_served(outcomes)

    def test_balancer_behind_a_thin_link_hears_nobody(self):
        self.load.unheard = {self.load.everyone[0].own.name}
        self.load.set_load(0.75)
        self.assert_served(self.load.play(4_000))

    def test_data_centre_cut_off_with_half_of_its_hosts_draining(self):
        self.load.set_load(0.3)
        self.load.play(1_000)
        far = [h for h in self.load.hosts.values() if h.data_centre == DATA_CENTRES[1]]
        leaving = far[::2]
        for host in leaving:
            self.load.declare(self.load.entry(host, is_draining=True))
        self.load.cut_off = {DATA_CENTRES[1]}
        self.load.set_load(0.3, only=DATA_CENTRES[0])
        outcomes = self.load.play(3_000)
        self.assert_served(outcomes)
        self.assertEqual(share_at(outcomes, leaving), 0.0)

    def test_callers_of_a_data_centre_without_hosts(self):
        self.load = Load(n_hosts=18, n_balancers=6)
        for host in list(self.load.hosts.values()):
            if host.data_centre == DATA_CENTRES[0]:
                for balancer in self.load.everyone:
                    balancer.remove(host.name)
        self.load.set_load(0.3, only=DATA_CENTRES[0])
        self.load.play(1_000)
        self.assert_served(self.load.play(2_000))
        self.assertEqual(self.load.refusals.total(), 0)

    def test_hosts_of_both_data_centres_are_used_evenly(self):
        outcomes = self.load.play(4_000)
        shares = [share_at(outcomes, [host]) for host in self.load.hosts.values()]
        self.assertLess(max(shares), 1.5 / len(shares))
        self.assertGreater(min(shares), 0.5 / len(shares))

    def test_mean_wait_at_the_usual_load_is_short(self):
        outcomes = self.load.play(4_000)
        mean = sum(o.millis for o in outcomes) / len(outcomes)
        self.assertLess(mean, 2 * WORK)
