"""Splits computed from reports, and their log lines."""

import unittest

from stoattray_core.steering.load_reports import MAX_AGE_MILLIS, LoadRow
from stoattray_core.steering.split_table import SplitTable
from tests.steering_builders import EventRecorder

NOW = 1_000_000
DISTANCES = {"b": 7.0, "c": 7.0}
CAPACITY = 30.0


class SplitTableTest(unittest.TestCase):
    """A balancer in one of three data centres of 30 slots each."""

    def setUp(self):
        self.recorder = EventRecorder()
        self.table = SplitTable("a", self.recorder)

    def update(self, now=NOW, n_local=1, **loads):
        """Measure and receive the loads given, and compute the split."""
        for data_centre, load in loads.items():
            if data_centre == "a":
                self.table.reports.measure("lookup", load, CAPACITY, now)
            else:
                row = LoadRow(data_centre, "lookup", load, CAPACITY, 0)
                self.table.reports.merge([row], now)
        self.table.update(DISTANCES, n_local, now)
        return self.table.slots("lookup")

    @property
    def changes(self):
        return [fields for _, fields in self.recorder.events]

    def test_balancers_of_a_data_centre_share_the_split(self):
        """Guards against each balancer sending the whole excess."""
        whole = self.update(a=44.0, b=17.0, c=7.0)
        self.assertAlmostEqual(whole["b"], 20.0 / 3)
        self.assertAlmostEqual(whole["c"], 40.0 / 3)
        part = self.update(NOW + 1, n_local=4)
        self.assertAlmostEqual(part["c"], 10.0 / 3)

    def test_split_ends_below_the_level_at_which_it_began(self):
        self.assertEqual(self.update(a=26.0, b=5.0), {})
        self.assertNotEqual(self.update(NOW + 5_000, a=28.0, b=5.0), {})
        self.assertNotEqual(self.update(NOW + 10_000, a=25.0, b=5.0), {})
        self.assertEqual(self.update(NOW + 15_000, a=23.0, b=5.0), {})
        self.assertEqual(self.changes[-1]["reason"], "no_excess")

    def test_data_centre_without_recent_report_gets_the_last_spare_capacity(self):
        self.update(b=7.0)
        later = NOW + MAX_AGE_MILLIS + 1
        slots = self.update(later, n_local=4, a=60.0)
        self.assertEqual(slots, {"b": 5.0})
        self.assertEqual(self.changes[-1]["reason"], "old_report")

    def test_discarded_report_gives_nothing(self):
        self.update(b=7.0)
        self.table.reports.discard("b", NOW + 10)
        self.assertEqual(self.update(NOW + 20, a=60.0), {})

    def test_unchanged_split_is_logged_once(self):
        """Guards against a log line ten times a second."""
        for n in range(20):
            self.update(NOW + 100 * n, a=44.0, b=7.0)
        self.assertEqual(len(self.changes), 1)
        self.assertEqual(self.changes[0]["data_centres"], "b")
        self.assertEqual(self.changes[0]["share"], 0.45)
