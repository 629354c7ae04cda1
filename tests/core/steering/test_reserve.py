"""Size of the reserve for the highest level."""

import unittest

from stoattray_core.steering.reserve import ArrivalRate, reserved_places
from tests.steering_builders import START_MILLIS


class ReserveTest(unittest.TestCase):
    """Measured arrivals and reserved places."""

    def places(self, rate, service_time=30.0, n_servers=10):
        return reserved_places(
            rate, service_time, n_balancers=5, n_servers=n_servers, queue_places=8
        )

    def test_arrivals_are_measured(self):
        rate = ArrivalRate()
        for millis in range(0, 5_000, 40):
            rate.note_arrival(START_MILLIS + millis)
        self.assertAlmostEqual(
            rate.per_millis(START_MILLIS + 5_000), 0.025, delta=0.003
        )

    def test_reserve_is_released_within_two_seconds(self):
        """Guards against places that stay empty."""
        rate = ArrivalRate()
        for millis in range(0, 5_000, 40):
            rate.note_arrival(START_MILLIS + millis)
        self.assertGreater(self.places(rate.per_millis(START_MILLIS + 5_000)), 0)
        self.assertEqual(self.places(rate.per_millis(START_MILLIS + 7_000)), 0)

    def test_reserve_grows_with_arrivals_up_to_half_of_the_queue(self):
        self.assertEqual(self.places(0.0), 0)
        self.assertEqual(self.places(0.02), 2)
        self.assertEqual(self.places(10.0), 4)

    def test_nothing_is_reserved_without_a_known_service_time(self):
        self.assertEqual(self.places(1.0, service_time=None), 0)

    def test_service_without_servers(self):
        """Guards against a division by zero."""
        self.assertEqual(self.places(10.0, n_servers=0), 4)
