"""Metrics of a balancer process, from its parts."""

import unittest
from collections import Counter
from types import SimpleNamespace

from stoattray_balancer.steering.metrics import CallMetrics
from stoattray_balancer.steering.process_metrics import format_metrics
from stoattray_core.steering.entries import Evacuation
from tests.steering_builders import Balancer, configuration, server_entry


class EvacuationMetricsTest(unittest.TestCase):
    """Gauge and counters of evacuations."""

    def setUp(self):
        self.balancer = Balancer()
        self.balancer.declare(configuration(), server_entry())

    def lines(self):
        forwarder = SimpleNamespace(counters=Counter(), refusals=Counter())
        store_reader = SimpleNamespace(calls=CallMetrics(), is_reading=True)
        text = format_metrics(
            self.balancer.steering, forwarder, store_reader, self.balancer.now
        )
        return text.splitlines()

    def test_evacuations_are_counted(self):
        """Guards against an evacuation that no dashboard shows."""
        self.assertIn("stoattray_evacuated_data_centres 0", self.lines())
        self.balancer.declare(Evacuation("luzon-a"))
        self.balancer.open()
        lines = self.lines()
        self.assertIn("stoattray_evacuated_data_centres 1", lines)
        self.assertIn('stoattray_evacuation_changes_total{state="begun"} 1', lines)
        self.assertIn(
            'stoattray_decisions_total{decision="openings_evacuated"} 1', lines
        )
