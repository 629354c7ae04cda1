"""Detection of servers that fail requests fast, from callers' packets."""

import unittest

from stoattray_core.steering.fast_failure_detector import (
    FAILING_MILLIS,
    FastFailureDetector,
)
from tests.steering_builders import (
    START_MILLIS,
    Balancer,
    configuration,
    following,
    heartbeat,
    server_entry,
    server_row,
)


class FastFailureDetectorTest(unittest.TestCase):
    """Verdicts on one server."""

    def setUp(self):
        self.detector = FastFailureDetector()
        self.row = server_row()

    def respond(self, is_fast, n_times=1, n_servers=10):
        for _ in range(n_times):
            self.detector.note_response(
                self.row,
                START_MILLIS,
                is_fast=is_fast,
                is_saturated=False,
                n_servers=n_servers,
            )

    def test_three_fast_responses_in_a_row_make_a_server_suspect(self):
        self.respond(True, n_times=2)
        self.assertFalse(self.row.is_suspect(START_MILLIS))
        self.respond(True)
        self.assertTrue(self.row.is_suspect(START_MILLIS))

    def test_single_fast_responses_are_ignored(self):
        for _ in range(50):
            self.respond(True)
            self.respond(False, n_times=20)
        self.assertFalse(self.row.is_suspect(START_MILLIS))

    def test_busy_server_that_refuses_requests_is_not_failing(self):
        self.row.n_open = 6
        self.respond(True, n_times=20)
        self.assertFalse(self.row.is_suspect(START_MILLIS))

    def test_fast_responses_of_a_saturated_service_are_ignored(self):
        for _ in range(20):
            self.detector.note_response(
                self.row, START_MILLIS, is_fast=True, is_saturated=True, n_servers=10
            )
        self.assertFalse(self.row.is_suspect(START_MILLIS))

    def test_verdicts_of_peers_do_not_prolong_that_of_this_balancer(self):
        self.respond(True, n_times=3)
        cookies = []
        for now in range(START_MILLIS, START_MILLIS + 10_000, 200):
            self.detector.note_peer_verdicts(self.row, 2, now, n_servers=10)
            self.detector.expire(now)
            cookies.append(self.detector.failing_cookies(now))
        self.assertEqual(cookies[0], (self.row.cookie,))
        self.assertEqual(cookies[-1], ())

    def test_retried_server_is_suspect_again_after_at_most_two_fast_responses(self):
        self.respond(True, n_times=3)
        later = START_MILLIS + FAILING_MILLIS
        self.detector.expire(later)
        self.assertFalse(self.row.is_suspect(later))
        self.respond(True, n_times=2)
        self.assertTrue(self.row.is_suspect(START_MILLIS))

    def test_at_most_half_of_a_service_is_suspect(self):
        self.respond(True, n_times=9, n_servers=1)
        self.assertFalse(self.row.is_suspect(START_MILLIS))

    def test_verdicts_of_two_peers_suffice_and_are_not_passed_on(self):
        self.detector.note_peer_verdicts(self.row, 2, START_MILLIS, n_servers=10)
        self.assertTrue(self.row.is_suspect(START_MILLIS))
        self.assertEqual(self.detector.failing_cookies(START_MILLIS), ())

    def test_verdict_of_one_peer_is_confirmed_by_one_fast_response(self):
        self.detector.note_peer_verdicts(self.row, 1, START_MILLIS, n_servers=10)
        self.assertFalse(self.row.is_suspect(START_MILLIS))
        self.respond(True)
        self.assertTrue(self.row.is_suspect(START_MILLIS))


class GreyFailureTest(unittest.TestCase):
    """A balancer under load with servers that fail all or part of their requests."""

    def run_flows(self, failure_rates, n_flows=600):
        balancer = self.balancer = Balancer()
        names = [f"i-0{number}" for number in range(1, 9)]
        balancer.declare(configuration(), *(server_entry(name) for name in names))
        random = balancer.steering._random
        responses = []
        n_failed = 0
        for port in range(40_000, 40_000 + n_flows):
            server = balancer.open(port)
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
            is_failed = port > 40_100 and random.random() < failure_rates.get(
                server.name, 0.0
            )
            n_failed += is_failed
            service_millis = 2 if is_failed else random.randint(12, 40)
            responses.append((balancer.now + service_millis, port, server.cookie))
            for _ in range(5):
                balancer.advance(2, step=1)
                for response in [
                    response for response in responses if response[0] <= balancer.now
                ]:
                    responses.remove(response)
                    ending = following(response[1], response[2], is_ending=True)
                    balancer.steering.route_packet(ending, balancer.now)
            if port % 100 == 0:
                balancer.steering.remove_expired(balancer.now)
        return n_failed

    def test_server_that_fails_all_requests_gets_few_flows(self):
        self.assertLess(self.run_flows({"i-01": 1.0}), 25)

    def test_server_that_fails_a_third_of_its_requests_gets_few_flows(self):
        self.assertLess(self.run_flows({"i-01": 0.35}, n_flows=1_200), 40)

    def test_healthy_servers_are_not_suspected(self):
        self.run_flows({})
        names = self.balancer.recorder.names()
        self.assertNotIn("backend_server_failing", names)
        self.assertIn("flow_opened", names)

    def test_verdicts_of_peers_end_when_the_peers_are_silent(self):
        balancer = Balancer()
        balancer.declare(
            configuration(), *(server_entry(f"i-0{number}") for number in range(1, 5))
        )
        [server, *_] = balancer.steering.servers
        for name in ("edge-2", "edge-3"):
            report = heartbeat(name, failing_cookies=(server.cookie,))
            balancer.steering.apply_heartbeat(report, balancer.now)
        self.assertTrue(server.is_suspect(balancer.now))
        balancer.now += 10_000
        balancer.steering.remove_expired(balancer.now)
        self.assertFalse(server.is_suspect(balancer.now))
