"""Slow hosts are told from callers' packets, and get fewer flows."""

import unittest

from stoattray_core.steering.pace import MAX_SLOWDOWN, RETRY_SLOW_MILLIS, ResponseTimes
from tests.steering_builders import (
    START,
    Balancer,
    configuration,
    following,
    server_entry,
    server_row,
)


class PaceTest(unittest.TestCase):
    """Answer times against the service's usual time."""

    def setUp(self):
        self.response_times = ResponseTimes()
        self.rows = [server_row(f"i-0{number}") for number in range(1, 5)]

    def answer(self, row, waited, n_times=1):
        for _ in range(n_times):
            self.response_times.note_response(row, waited, START)

    def test_equal_servers_are_not_slow(self):
        for number in range(40):
            self.answer(self.rows[number % 4], 20 + number % 7)
        self.assertEqual({row.slowdown for row in self.rows}, {1.0})

    def test_slow_server_shows_within_a_few_requests(self):
        for row in self.rows:
            self.answer(row, 25, n_times=20)
        self.answer(self.rows[0], 125, n_times=6)
        self.assertGreater(self.rows[0].slowdown, 2.0)
        self.assertEqual(self.rows[1].slowdown, 1.0)

    def test_one_long_request_makes_no_slow_server(self):
        for row in self.rows:
            self.answer(row, 25, n_times=20)
        self.answer(self.rows[0], 90)
        self.assertEqual(self.rows[0].slowdown, 1.0)

    def test_slowness_is_bounded_and_forgotten(self):
        for row in self.rows:
            self.answer(row, 25, n_times=20)
        self.answer(self.rows[0], 10_000, n_times=20)
        self.assertLessEqual(self.rows[0].slowdown, MAX_SLOWDOWN)
        self.response_times.reset_idle(self.rows[0], START + RETRY_SLOW_MILLIS)
        self.assertEqual(self.rows[0].slowdown, 1.0)

    def test_free_server_during_a_burst_does_not_look_failed(self):
        for _ in range(100):
            self.assertFalse(self.response_times.note_response(self.rows[0], 25, START))
        self.rows[0].n_pending_requests = 9
        for _ in range(300):
            self.response_times.note_response(self.rows[0], 100, START)
        self.assertFalse(self.response_times.note_response(self.rows[1], 22, START))
        self.assertTrue(self.response_times.note_response(self.rows[1], 4, START))

    def test_first_answer_of_a_service_that_failed_is_not_the_rule(self):
        self.response_times.note_response(self.rows[0], 1, START)
        for _ in range(40):
            self.response_times.note_response(self.rows[1], 25, START)
        self.assertTrue(self.response_times.note_response(self.rows[0], 1, START))


class SlowHostTest(unittest.TestCase):
    """A balancer under load with one host five times slower."""

    def test_slow_host_gets_a_small_share(self):
        balancer = Balancer()
        names = [f"i-0{number}" for number in range(1, 5)]
        balancer.declare(configuration(), *(server_entry(name) for name in names))
        ends = []
        counts = dict.fromkeys(names, 0)
        for port in range(40_000, 40_600):
            server = balancer.open(port)
            counts[server.name] += 1
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
            work = 125 if server.name == "i-01" else 25
            ends.append((balancer.now + work, port, server.cookie))
            balancer.wait(10)
            for end in [end for end in ends if end[0] <= balancer.now]:
                ends.remove(end)
                last = following(end[1], end[2], is_ending=True)
                balancer.steering.route_packet(last, balancer.now)
            if port % 100 == 0:
                balancer.steering.clean_up(balancer.now)
        self.assertLess(counts["i-01"], 0.1 * sum(counts.values()))
