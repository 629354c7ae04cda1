"""Adaptation of cut-offs, and agreement between balancers."""

import unittest

from stoattray_core.steering.cut_offs import (
    INTERVAL_MILLIS,
    VALID_MILLIS,
    CutOffReport,
    PeerCutOffs,
    ServiceCutOff,
)
from stoattray_core.steering.priority_levels import BAND_GAP, CutOff, ServiceLevels
from tests.core.steering.test_priority_levels import route
from tests.steering_builders import START_MILLIS


def levels():
    """Return three levels with target latencies."""
    return ServiceLevels(
        [route(level, target_latency_millis=200) for level in (0, 1, 2)]
    )


class ServiceCutOffTest(unittest.TestCase):
    """One balancer."""

    def setUp(self):
        self.now = START_MILLIS
        self.cut_off = ServiceCutOff(levels(), self.now)

    def run_for(self, millis, *, queue=None, ratios=None, peers=()):
        for _ in range(millis // INTERVAL_MILLIS):
            self.now += INTERVAL_MILLIS
            if queue is not None:
                self.cut_off.note_queue(queue, self.now)
            for level, ratio in (ratios or {}).items():
                self.cut_off.note_response(level, ratio, self.now)
            self.cut_off.update(list(peers), self.now)

    def test_open_at_first_and_with_short_queues(self):
        self.run_for(2_000, queue=0.2, ratios={0: 0.3})
        self.assertTrue(self.cut_off.is_open)

    def test_slow_responses_close_the_lowest_level_first(self):
        self.run_for(150, queue=0.3, ratios={0: 1.5})
        level, share = self.cut_off.cut_off
        self.assertGreaterEqual(level, 1)
        self.run_for(5_000, queue=0.3, ratios={0: 1.5})
        self.assertEqual(self.cut_off.cut_off.level, 0)
        self.assertLess(self.cut_off.cut_off.share, 0.1)

    def test_full_queue_closes_although_responses_are_fast(self):
        """Guards against short queues that refuse before responses are late."""
        self.run_for(1_000, queue=1.0, ratios={0: 0.2})
        self.assertFalse(self.cut_off.is_open)

    def test_requests_that_servers_refuse_close(self):
        """Guards against old reports, by which the best server looks free."""
        for _ in range(100):
            self.now += 10
            self.cut_off.note_queue(-0.1, self.now)
            self.cut_off.note_served(is_refused=self.now % 100 == 0, now=self.now)
            self.cut_off.update([], self.now)
        self.assertFalse(self.cut_off.is_open)

    def test_slow_responses_of_lower_levels_do_not_count_beside_higher_ones(self):
        """Guards against a cut-off that follows a level with long requests."""
        self.run_for(2_000, queue=0.3, ratios={0: 0.3, 2: 5.0})
        self.assertTrue(self.cut_off.is_open)

    def test_responses_of_lower_levels_count_without_others(self):
        self.run_for(1_000, queue=0.3, ratios={2: 2.0})
        self.assertFalse(self.cut_off.is_open)

    def test_open_again_within_a_second_of_free_servers(self):
        self.run_for(3_000, queue=1.5, ratios={0: 2.0})
        self.run_for(1_000, queue=-0.2)
        self.assertTrue(self.cut_off.is_open)

    def test_open_again_within_a_second_without_any_opening(self):
        """Guards against a cut-off that outlives the load that caused it."""
        self.run_for(3_000, queue=1.5, ratios={0: 2.0})
        self.run_for(1_200)
        self.assertTrue(self.cut_off.is_open)

    def test_balancer_without_samples_follows_the_others(self):
        self.run_for(300, peers=(0.4, 0.6))
        self.assertAlmostEqual(self.cut_off.position, 0.5)
        self.assertEqual(self.cut_off.n_peers, 2)

    def test_balancer_without_others_uses_its_own(self):
        self.run_for(1_000, queue=1.0)
        self.assertEqual(self.cut_off.n_peers, 0)
        self.assertFalse(self.cut_off.is_open)

    def test_highest_level_is_never_closed_completely(self):
        """Guards against a service without any response to recover by."""
        self.run_for(60_000, queue=3.0, ratios={0: 9.0})
        position = self.cut_off.position
        self.assertGreater(self.cut_off.levels.admitted_share(position, 0), 0.0)


class AgreementTest(unittest.TestCase):
    """Several balancers that report to each other every 0.2 s."""

    def positions(self, pressures, *, millis, is_partitioned):
        now = START_MILLIS
        cut_offs = [ServiceCutOff(levels(), now) for _ in pressures]
        reported = [[] for _ in pressures]
        spreads = []
        for step in range(millis // INTERVAL_MILLIS):
            now += INTERVAL_MILLIS
            if step % 4 == 0 and not is_partitioned:
                reported = [
                    [other.position for other in cut_offs if other is not cut_off]
                    for cut_off in cut_offs
                ]
            for index, cut_off in enumerate(cut_offs):
                cut_off.note_queue(pressures[index], now)
                cut_off.update(reported[index], now)
            positions = [cut_off.position for cut_off in cut_offs]
            spreads.append(max(positions) - min(positions))
        return positions, spreads

    def test_balancers_with_different_pressures_agree_up_to_the_gap(self):
        """Guards against a higher level refused here and a lower admitted there."""
        _, spreads = self.positions((0.6, 0.8, 0.9), millis=2_000, is_partitioned=False)
        self.assertLess(max(spreads), BAND_GAP)

    def test_partitioned_balancers_have_different_cut_offs(self):
        positions, _ = self.positions((0.6, 0.9), millis=1_000, is_partitioned=True)
        self.assertGreater(positions[0] - positions[1], BAND_GAP)

    def test_partition_that_heals_restores_the_agreement(self):
        _, spreads = self.positions((0.6, 0.9), millis=1_500, is_partitioned=False)
        self.assertLess(spreads[-1], BAND_GAP)


class PeerCutOffsTest(unittest.TestCase):
    """Reports of other balancers."""

    def setUp(self):
        self.peers = PeerCutOffs()

    def apply(self, name, now, *, age=0, share=500, service="lookup"):
        self.peers.apply(name, [CutOffReport(service, 1, share, age)], now)

    def test_report_of_a_dead_balancer_ends_after_a_second(self):
        self.apply("edge-2", START_MILLIS, age=200)
        until = START_MILLIS + VALID_MILLIS - 200
        self.assertEqual(self.peers.valid("lookup", until), [CutOff(1, 0.5)])
        self.assertEqual(self.peers.valid("lookup", until + 1), [])

    def test_stale_report_is_not_used(self):
        self.apply("edge-2", START_MILLIS, age=VALID_MILLIS + 1)
        self.assertEqual(self.peers.valid("lookup", START_MILLIS), [])

    def test_older_measurement_that_arrives_late_is_ignored(self):
        self.apply("edge-2", START_MILLIS, age=10, share=200)
        self.apply("edge-2", START_MILLIS, age=300, share=900)
        self.assertEqual(self.peers.valid("lookup", START_MILLIS), [CutOff(1, 0.2)])

    def test_balancer_that_stops_reporting_a_service_is_dropped(self):
        self.apply("edge-2", START_MILLIS)
        self.peers.apply("edge-2", [], START_MILLIS + 1)
        self.assertEqual(self.peers.valid("lookup", START_MILLIS + 1), [])

    def test_expired_services_take_no_memory(self):
        for number in range(50):
            self.apply("edge-2", START_MILLIS, service=f"service-{number}")
            self.apply("edge-3", START_MILLIS, service=f"service-{number}")
        self.peers.expire(START_MILLIS + VALID_MILLIS + 1)
        self.assertEqual(self.peers._measurements, {})
