"""Service times learned from responses, with and without queueing."""

import unittest

from stoattray_core.steering.service_times import (
    MIN_AGE_MILLIS,
    N_FIRST_SAMPLES,
    ServiceTimes,
)
from tests.steering_builders import START_MILLIS

SERVICE = "lookup"


class ServiceTimesTest(unittest.TestCase):
    """One service, with a response every 10 ms."""

    def setUp(self):
        self.service_times = ServiceTimes()
        self.now = START_MILLIS

    def respond(self, n_times, waited_millis, queueing_factor=1.0):
        for _ in range(n_times):
            self.now += 10
            self.service_times.note_response(
                SERVICE, waited_millis, self.now, queueing_factor=queueing_factor
            )

    def learn(self):
        self.respond(MIN_AGE_MILLIS // 10 + N_FIRST_SAMPLES, 50)

    def test_unknown_before_enough_responses(self):
        self.respond(MIN_AGE_MILLIS // 10 + N_FIRST_SAMPLES - 1, 50)
        self.assertIsNone(self.service_times.get(SERVICE))

    def test_first_responses_after_the_start_do_not_count(self):
        self.respond(MIN_AGE_MILLIS // 10, 900)
        self.respond(N_FIRST_SAMPLES + 1, 50)
        self.assertEqual(self.service_times.get(SERVICE), 50)

    def test_refused_requests_among_the_first_do_not_count(self):
        self.respond(MIN_AGE_MILLIS // 10, 50)
        self.respond(8, 1)
        self.respond(12, 50)
        self.assertEqual(self.service_times.get(SERVICE), 50)

    def test_queueing_in_a_burst_does_not_raise_it(self):
        self.learn()
        self.respond(500, 250, queueing_factor=5.0)
        self.assertAlmostEqual(self.service_times.get(SERVICE), 50, delta=2)

    def test_start_in_a_burst_learns_the_time_without_queueing(self):
        self.respond(200, 250, queueing_factor=5.0)
        self.assertAlmostEqual(self.service_times.get(SERVICE), 50, delta=2)

    def test_slower_service_is_followed(self):
        self.learn()
        self.respond(300, 100)
        self.assertAlmostEqual(self.service_times.get(SERVICE), 100, delta=3)
