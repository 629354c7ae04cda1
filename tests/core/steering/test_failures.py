"""Grey hosts that answer fast and wrong are found from callers' packets."""

import unittest

from stoattray_core.steering.failures import FAILING_MILLIS, Failures
from tests.steering_builders import (
    START,
    Balancer,
    configuration,
    following,
    heartbeat,
    server_entry,
    server_row,
)


class FailuresTest(unittest.TestCase):
    """Judgement of one server."""

    def setUp(self):
        self.failures = Failures()
        self.row = server_row()

    def answer(self, is_fast, n_times=1, n_servers=10):
        for _ in range(n_times):
            self.failures.note_response(
                self.row,
                START,
                is_fast=is_fast,
                is_saturated=False,
                n_servers=n_servers,
            )

    def test_three_fast_answers_in_a_row(self):
        self.answer(True, n_times=2)
        self.assertFalse(self.row.is_suspect(START))
        self.answer(True)
        self.assertTrue(self.row.is_suspect(START))

    def test_single_fast_answers_are_chance(self):
        for _ in range(50):
            self.answer(True)
            self.answer(False, n_times=20)
        self.assertFalse(self.row.is_suspect(START))

    def test_busy_server_that_sheds_is_not_failing(self):
        self.row.n_open = 6
        self.answer(True, n_times=20)
        self.assertFalse(self.row.is_suspect(START))

    def test_answers_of_a_pressed_service_are_not_judged(self):
        for _ in range(20):
            self.failures.note_response(
                self.row, START, is_fast=True, is_saturated=True, n_servers=10
            )
        self.assertFalse(self.row.is_suspect(START))

    def test_balancers_do_not_keep_each_others_opinions_alive(self):
        self.answer(True, n_times=3)
        cookies = []
        for now in range(START, START + 10_000, 200):
            self.failures.note_opinions(self.row, 2, now, n_servers=10)
            self.failures.expire(now)
            cookies.append(self.failures.failing_cookies(now))
        self.assertEqual(cookies[0], (self.row.cookie,))
        self.assertEqual(cookies[-1], ())

    def test_is_tried_again_and_found_again_by_one_answer_or_two(self):
        self.answer(True, n_times=3)
        later = START + FAILING_MILLIS
        self.failures.expire(later)
        self.assertFalse(self.row.is_suspect(later))
        self.answer(True, n_times=2)
        self.assertTrue(self.row.is_suspect(START))

    def test_at_most_half_of_a_service_waits(self):
        self.answer(True, n_times=9, n_servers=1)
        self.assertFalse(self.row.is_suspect(START))

    def test_two_peers_count_like_the_own_opinion_and_are_not_passed_on(self):
        self.failures.note_opinions(self.row, 2, START, n_servers=10)
        self.assertTrue(self.row.is_suspect(START))
        self.assertEqual(self.failures.failing_cookies(START), ())

    def test_one_peer_makes_the_own_judgement_quicker(self):
        self.failures.note_opinions(self.row, 1, START, n_servers=10)
        self.assertFalse(self.row.is_suspect(START))
        self.answer(True)
        self.assertTrue(self.row.is_suspect(START))


class GreyHostTest(unittest.TestCase):
    """A balancer under load with hosts that fail all or part of their requests."""

    def play(self, fails, n_flows=600):
        balancer = self.balancer = Balancer()
        names = [f"i-0{number}" for number in range(1, 9)]
        balancer.declare(configuration(), *(server_entry(name) for name in names))
        random = balancer.steering._random
        ends = []
        n_failed = 0
        for port in range(40_000, 40_000 + n_flows):
            server = balancer.open(port)
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
            is_failed = port > 40_100 and random.random() < fails.get(server.name, 0.0)
            n_failed += is_failed
            work = 2 if is_failed else random.randint(12, 40)
            ends.append((balancer.now + work, port, server.cookie))
            for _ in range(5):
                balancer.wait(2, step=1)
                for end in [end for end in ends if end[0] <= balancer.now]:
                    ends.remove(end)
                    last = following(end[1], end[2], is_ending=True)
                    balancer.steering.route_packet(last, balancer.now)
            if port % 100 == 0:
                balancer.steering.clean_up(balancer.now)
        return n_failed

    def test_host_that_fails_everything_gets_hardly_a_flow(self):
        self.assertLess(self.play({"i-01": 1.0}), 25)

    def test_host_that_fails_a_third_gets_few(self):
        self.assertLess(self.play({"i-01": 0.35}, n_flows=1_200), 40)

    def test_hosts_that_do_not_fail_are_not_suspected(self):
        self.play({})
        names = self.balancer.recorder.names()
        self.assertNotIn("backend_server_failing", names)
        self.assertIn("flow_opened", names)

    def test_peers_opinions_end_with_the_peers(self):
        balancer = Balancer()
        balancer.declare(
            configuration(), *(server_entry(f"i-0{number}") for number in range(1, 5))
        )
        [server, *_] = balancer.steering.servers
        for name in ("edge-2", "edge-3"):
            told = heartbeat(name, failing=(server.cookie,))
            balancer.steering.take_heartbeat(told, balancer.now)
        self.assertTrue(server.is_suspect(balancer.now))
        balancer.now += 10_000
        balancer.steering.clean_up(balancer.now)
        self.assertFalse(server.is_suspect(balancer.now))
