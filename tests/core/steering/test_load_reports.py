"""Reports of load: measurement, merging, age and trend."""

import unittest
from random import Random

from stoattray_core.steering.load_reports import (
    MAX_AGE_MILLIS,
    MAX_EXTRAPOLATION_MILLIS,
    MAX_ROWS,
    N_PASSED_ON,
    LoadReports,
    LoadRow,
    offered_loads,
    usable_capacity,
)
from stoattray_core.steering.locality import ServiceLoad
from stoattray_core.steering.servers import Presence
from tests.steering_builders import START_MILLIS, server_row

NOW = START_MILLIS


def row(data_centre="b", load=10.0, capacity=30.0, age=0, service="lookup"):
    """Return a row of another data centre."""
    return LoadRow(data_centre, service, load, capacity, age)


class MergeTest(unittest.TestCase):
    """Rows from several balancers, in any order."""

    def setUp(self):
        self.reports = LoadReports("a")

    def load(self, now=NOW, data_centre="b"):
        return self.reports.loads("lookup", now).get(data_centre)

    def rows(self, now):
        return self.reports.rows(now, Random(1))

    def test_newer_measurement_applies_whatever_the_order_of_arrival(self):
        """Guards against a reordered report that restores an old load."""
        self.reports.merge([row(load=20.0, age=100)], NOW)
        self.reports.merge([row(load=5.0, age=400)], NOW + 50)
        self.assertEqual(self.load(NOW + 50).load, 20.0)

    def test_report_that_others_pass_on_keeps_its_age(self):
        self.reports.merge([row(age=700)], NOW)
        passed_on = [r for r in self.rows(NOW + 300) if r.data_centre == "b"]
        self.assertEqual(passed_on[0].age, 1_000)

    def test_old_report_is_ignored_but_its_spare_capacity_remains_known(self):
        self.reports.merge([row()], NOW)
        later = NOW + MAX_AGE_MILLIS + 1
        self.assertIsNone(self.load(later))
        self.assertEqual(self.reports.last_loads("lookup")["b"], ServiceLoad(10, 30))
        self.assertEqual(self.rows(later), ())

    def test_own_data_centre_is_only_measured_here(self):
        """Guards against own load that comes back from a peer as a newer one."""
        self.reports.measure("lookup", 4.0, 30.0, NOW)
        self.reports.merge([row("a", load=99.0)], NOW + 1)
        self.assertEqual(self.load(NOW + 1, "a").load, 4.0)

    def test_discarded_reports_do_not_return_by_way_of_peers(self):
        """Guards against the use of rows from before a partition."""
        self.reports.merge([row()], NOW)
        self.reports.discard("b", NOW + 100)
        self.reports.merge([row(age=200)], NOW + 200)
        self.assertIsNone(self.load(NOW + 200))
        self.assertNotIn("b", self.reports.last_loads("lookup"))
        self.reports.merge([row(age=50)], NOW + 200)
        self.assertIsNotNone(self.load(NOW + 200))

    def test_heartbeat_gets_a_bounded_number_of_rows(self):
        self.reports.merge([row("b"), row("c"), row("d")], NOW)
        for n in range(MAX_ROWS + 4):
            self.reports.measure(f"s{n}", 1.0, 30.0, NOW)
        sent = self.rows(NOW)
        self.assertEqual(len(sent), MAX_ROWS)
        self.assertEqual(sum(r.data_centre != "a" for r in sent), N_PASSED_ON)

    def test_all_rows_of_others_are_passed_on_in_turn(self):
        """Guards against a data centre that others never hear of."""
        self.reports.merge([row(name) for name in "bcdefghi"], NOW)
        random = Random(1)
        sent = {
            r.data_centre for _ in range(40) for r in self.reports.rows(NOW, random)
        }
        self.assertEqual(sent, set("bcdefghi"))


class TrendTest(unittest.TestCase):
    """Loads between two reports."""

    def setUp(self):
        self.reports = LoadReports("a")

    def load(self, now):
        return self.reports.loads("lookup", now)["b"].load

    def test_growing_load_is_extrapolated_for_a_limited_time(self):
        self.reports.merge([row(load=10.0)], NOW)
        self.reports.merge([row(load=20.0)], NOW + 500)
        self.assertAlmostEqual(self.load(NOW + 600), 22.0)
        limit = 20.0 + MAX_EXTRAPOLATION_MILLIS * 0.02
        self.assertAlmostEqual(self.load(NOW + 2_500), limit)

    def test_falling_load_is_not_extrapolated(self):
        """Guards against spare capacity that one low report seems to promise."""
        self.reports.merge([row(load=20.0)], NOW)
        self.reports.merge([row(load=10.0)], NOW + 500)
        self.assertEqual(self.load(NOW + 900), 10.0)

    def test_gap_between_reports_is_no_trend(self):
        self.reports.merge([row(load=0.0)], NOW)
        self.reports.merge([row(load=30.0)], NOW + MAX_AGE_MILLIS + 1)
        self.assertEqual(self.load(NOW + MAX_AGE_MILLIS + 400), 30.0)

    def test_own_load_is_averaged(self):
        self.reports.measure("lookup", 10.0, 30.0, NOW)
        self.reports.measure("lookup", 30.0, 30.0, NOW + 100)
        load = self.reports.loads("lookup", NOW + 100)["a"].load
        self.assertGreater(load, 15.0)
        self.assertLess(load, 20.0)


class MeasurementTest(unittest.TestCase):
    """Load and capacity of the own data centre."""

    def test_capacity_excludes_draining_and_lapsed_and_reduces_cold_servers(self):
        warm, cold = server_row("i-01"), server_row("i-02")
        draining, lapsed = server_row("i-03", is_draining=True), server_row("i-04")
        cold.warm_at = NOW + 1
        lapsed.presence = Presence.LAPSED
        rows = [warm, cold, draining, lapsed]
        capacity = usable_capacity(rows, NOW, slowdown=lambda _: 1.0)
        self.assertAlmostEqual(capacity, 3.2)
        slow = usable_capacity(rows, NOW, slowdown=lambda _: 4.0)
        self.assertAlmostEqual(slow, 0.8)

    def test_load_counts_requests_of_the_callers_wherever_they_are_served(self):
        """Guards against a split that ends as soon as its openings have left."""
        local, remote = server_row("i-01"), server_row("i-02", data_centre="luzon-b")
        other = server_row("i-03", service="archive")
        local.n_pending_requests, remote.n_pending_requests = 2, 3
        self.assertEqual(
            offered_loads(["archive"], [local, remote, other], {"lookup": 4}),
            {"lookup": 9.0, "archive": 0.0},
        )
