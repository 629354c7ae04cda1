"""Text format of counters and histograms, with a bounded number of lines."""

import unittest

from stoattray_balancer.steering.metrics import (
    MAX_LABEL_VALUES,
    CallMetrics,
    format_counter,
    format_gauge,
    format_pairs,
)
from stoattray_core.steering.histogram import Histogram


class MetricsTest(unittest.TestCase):
    """Lines in the Prometheus text format."""

    def test_histogram_counts_are_cumulative(self):
        histogram = Histogram()
        for millis in (1, 7, 7, 9_999):
            histogram.observe(millis)
        lines = list(histogram.prometheus_lines("x"))
        self.assertIn('x_bucket{le="1"} 1', lines)
        self.assertIn('x_bucket{le="10"} 3', lines)
        self.assertIn('x_bucket{le="+Inf"} 4', lines)
        self.assertIn("x_count 4", lines)

    def test_calls_by_operation_and_result(self):
        calls = CallMetrics()
        calls.record("watch", "ok", 900)
        calls.record("watch", "platform_unavailable", 3)
        lines = list(calls.format_lines("calls"))
        self.assertIn('calls_total{operation="watch",answer="ok"} 1', lines)
        self.assertIn('calls_ms_count{operation="watch"} 2', lines)

    def test_number_of_label_values_is_bounded(self):
        counts = {f"v{number}": number + 1 for number in range(500)}
        lines = list(format_counter("x", "kind", counts))
        self.assertEqual(len(lines), MAX_LABEL_VALUES + 1)
        total = sum(int(line.rsplit(" ", 1)[1]) for line in lines)
        self.assertEqual(total, sum(counts.values()))

    def test_counter_with_two_labels(self):
        lines = list(format_pairs("x", ("service", "reason"), {("lookup", "late"): 3}))
        self.assertEqual(lines, ['x_total{service="lookup",reason="late"} 3'])

    def test_missing_gauge_has_no_line(self):
        self.assertEqual(list(format_gauge("x", None)), [])
