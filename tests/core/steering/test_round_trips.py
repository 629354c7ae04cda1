"""Extra round trips measured by follow-up times."""

import unittest

from stoattray_core.steering.round_trips import N_FIRST_SAMPLES, RoundTrips


class RoundTripsTest(unittest.TestCase):
    """Measurement by data centre."""

    def setUp(self):
        self.round_trips = RoundTrips("a")

    def note(self, data_centre, *samples):
        for millis in samples:
            self.round_trips.note_follow_up(data_centre, millis)

    def test_extra_round_trip_is_the_difference_to_the_own_data_centre(self):
        self.note("a", 2, 2, 3)
        self.note("b", 9, 8, 9)
        self.assertEqual(self.round_trips.extra_millis("b"), 7.0)

    def test_few_follow_ups_measure_nothing(self):
        self.note("a", 2, 2, 2)
        self.note("b", *[9] * (N_FIRST_SAMPLES - 1))
        self.assertIsNone(self.round_trips.extra_millis("b"))
        self.assertEqual(self.round_trips.distances(0.0), {})

    def test_single_late_packets_change_nothing(self):
        """Guards against a lost packet that makes a near data centre far."""
        self.note("a", 2, 2, 2, 2, 2)
        self.note("b", 3, 3, 120, 3, 3, 110, 3)
        self.assertEqual(self.round_trips.extra_millis("b"), 1.0)

    def test_changed_distance_is_measured_again(self):
        self.note("a", *[2] * 15)
        self.note("b", *[3] * 15)
        self.assertEqual(self.round_trips.distances(4.0), {})
        self.note("b", *[12] * 15)
        self.assertEqual(self.round_trips.distances(4.0), {"b": 10.0})
