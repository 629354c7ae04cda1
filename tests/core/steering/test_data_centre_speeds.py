"""Service times of whole data centres."""

import unittest

from stoattray_core.steering.data_centre_speeds import (
    EXPIRY_MILLIS,
    N_SAMPLES,
    DataCentreSpeeds,
)

NOW = 1_000


class DataCentreSpeedsTest(unittest.TestCase):
    """Recent responses compared with the usual service time of 50 ms."""

    def setUp(self):
        self.speeds = DataCentreSpeeds()

    def note(self, millis, n_samples=N_SAMPLES, data_centre="a", now=NOW):
        for _ in range(n_samples):
            self.speeds.note_response(data_centre, "lookup", millis, now)

    def service_time(self, data_centre="a", now=NOW):
        return self.speeds.service_time(data_centre, "lookup", 50.0, now)

    def test_all_servers_slow(self):
        """Guards against slow servers that become the baseline of their service."""
        self.note(350.0)
        self.assertEqual(self.service_time(), 350.0)
        self.assertEqual(self.service_time("b"), 50.0)

    def test_few_slow_responses_change_nothing(self):
        self.note(350.0, N_SAMPLES - 1)
        self.assertEqual(self.service_time(), 50.0)

    def test_ordinary_variation_changes_nothing(self):
        self.note(75.0)
        self.assertEqual(self.service_time(), 50.0)
        self.note(10.0)
        self.assertEqual(self.service_time(), 50.0)

    def test_fast_responses_end_it(self):
        self.note(350.0)
        self.note(50.0, N_SAMPLES // 2 + 1)
        self.assertEqual(self.service_time(), 50.0)

    def test_slow_data_centre_without_responses_is_tried_again(self):
        """Guards against a data centre that is never used again."""
        self.note(350.0)
        later = NOW + EXPIRY_MILLIS + 1
        self.assertEqual(self.service_time(now=later), 50.0)
        self.note(50.0, 1, now=later)
        self.assertEqual(self.service_time(now=later), 50.0)
