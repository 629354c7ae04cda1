"""Detection of slow servers from callers' packets."""

import unittest

from stoattray_core.steering.response_times import (
    MAX_SLOWDOWN,
    RETRY_SLOW_MILLIS,
    ResponseTimes,
)
from tests.steering_builders import (
    START_MILLIS,
    Balancer,
    configuration,
    following,
    server_entry,
    server_row,
)


class ResponseTimesTest(unittest.TestCase):
    """Response times compared with the service's baseline."""

    def setUp(self):
        self.response_times = ResponseTimes()
        self.rows = [server_row(f"i-0{number}") for number in range(1, 5)]

    def respond(self, row, waited_millis, n_times=1):
        for _ in range(n_times):
            self.response_times.note_response(row, waited_millis, START_MILLIS)

    def test_equal_servers_are_not_slow(self):
        for number in range(40):
            self.respond(self.rows[number % 4], 20 + number % 7)
        self.assertEqual({row.slowdown for row in self.rows}, {1.0})

    def test_slow_server_is_detected_within_a_few_requests(self):
        for row in self.rows:
            self.respond(row, 25, n_times=20)
        self.respond(self.rows[0], 125, n_times=6)
        self.assertGreater(self.rows[0].slowdown, 2.0)
        self.assertEqual(self.rows[1].slowdown, 1.0)

    def test_one_long_request_does_not_make_a_server_slow(self):
        for row in self.rows:
            self.respond(row, 25, n_times=20)
        self.respond(self.rows[0], 90)
        self.assertEqual(self.rows[0].slowdown, 1.0)

    def test_slowdown_is_bounded_and_reset(self):
        for row in self.rows:
            self.respond(row, 25, n_times=20)
        self.respond(self.rows[0], 10_000, n_times=20)
        self.assertLessEqual(self.rows[0].slowdown, MAX_SLOWDOWN)
        self.response_times.reset_idle(self.rows[0], START_MILLIS + RETRY_SLOW_MILLIS)
        self.assertEqual(self.rows[0].slowdown, 1.0)

    def test_free_server_during_a_burst_does_not_look_failed(self):
        for _ in range(100):
            self.assertFalse(
                self.response_times.note_response(self.rows[0], 25, START_MILLIS)
            )
        self.rows[0].n_pending_requests = 9
        for _ in range(300):
            self.response_times.note_response(self.rows[0], 100, START_MILLIS)
        self.assertFalse(
            self.response_times.note_response(self.rows[1], 22, START_MILLIS)
        )
        self.assertTrue(
            self.response_times.note_response(self.rows[1], 4, START_MILLIS)
        )

    def test_failed_first_response_of_a_service_does_not_set_the_baseline(self):
        self.response_times.note_response(self.rows[0], 1, START_MILLIS)
        for _ in range(40):
            self.response_times.note_response(self.rows[1], 25, START_MILLIS)
        self.assertTrue(
            self.response_times.note_response(self.rows[0], 1, START_MILLIS)
        )


class SlowServerTest(unittest.TestCase):
    """A balancer under load, with one server five times slower than the others."""

    def test_slow_server_gets_a_small_share(self):
        balancer = Balancer()
        names = [f"i-0{number}" for number in range(1, 5)]
        balancer.declare(configuration(), *(server_entry(name) for name in names))
        responses = []
        counts = dict.fromkeys(names, 0)
        for port in range(40_000, 40_600):
            server = balancer.open(port)
            counts[server.name] += 1
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
            service_millis = 125 if server.name == "i-01" else 25
            responses.append((balancer.now + service_millis, port, server.cookie))
            balancer.advance(10)
            for response in [
                response for response in responses if response[0] <= balancer.now
            ]:
                responses.remove(response)
                ending = following(response[1], response[2], is_ending=True)
                balancer.steering.route_packet(ending, balancer.now)
            if port % 100 == 0:
                balancer.steering.remove_expired(balancer.now)
        self.assertLess(counts["i-01"], 0.1 * sum(counts.values()))
