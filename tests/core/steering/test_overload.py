"""Bursts beyond the capacity of the servers: latencies and refusals."""

import unittest

from stoattray_core._errors import ERROR_RESPONSES, ErrorKind, PacketResponse
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import RequestKind, Route
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    Balancer,
    configuration,
    following,
    server_entry,
)

SUBMIT_DESTINATION = LOOKUP_DESTINATION[:4] + b"\x1f\x90"
TARGET_LATENCY_MILLIS = 120
SERVICE_MILLIS = 25
N_SLOTS = 2
N_SERVERS = 4


class Burst:
    """Openings at a fixed rate; servers serve two requests at once, in order."""

    def __init__(self, seed=1):
        self.balancer = Balancer(seed=seed)
        routes = (
            Route(
                "check",
                LOOKUP_DESTINATION,
                (("lookup", 1),),
                RequestKind.IDEMPOTENT,
                target_latency_millis=TARGET_LATENCY_MILLIS,
            ),
            Route(
                "submit",
                SUBMIT_DESTINATION,
                (("lookup", 1),),
                RequestKind.NON_IDEMPOTENT,
                target_latency_millis=TARGET_LATENCY_MILLIS,
                has_priority=True,
            ),
        )
        self.balancer.declare(
            configuration(routes={route.destination: route for route in routes}),
            *(server_entry(f"i-0{number}") for number in range(1, N_SERVERS + 1)),
        )
        self.port = 20_000
        self.free_at = {}
        self.responses = []
        self.latencies = {LOOKUP_DESTINATION: [], SUBMIT_DESTINATION: []}
        self.refused = {LOOKUP_DESTINATION: 0, SUBMIT_DESTINATION: 0}

    def run(self, millis, load):
        """Open flows at `load` times the capacity of all slots."""
        balancer = self.balancer
        random = balancer.steering._random
        rate = load * N_SERVERS * N_SLOTS / SERVICE_MILLIS
        for _ in range(millis):
            balancer.now += 1
            for _ in range(int(rate) + (random.random() < rate % 1)):
                has_priority = random.random() < 0.2
                self.open(SUBMIT_DESTINATION if has_priority else LOOKUP_DESTINATION)
            self.end_due_flows()
            list(balancer.steering.tick(balancer.now))

    def open(self, destination):
        balancer = self.balancer
        self.port += 1
        options = {"destination": destination}
        server = balancer.open(self.port, **options)
        if isinstance(server, Refused):
            assert server.kind is ErrorKind.OVERLOADED
            self.refused[destination] += 1
            return
        for has_data in (False, True):
            packet = following(self.port, server.cookie, has_data=has_data, **options)
            balancer.steering.route_packet(packet, balancer.now)
        slots = self.free_at.setdefault(server.name, [0] * N_SLOTS)
        slot = slots.index(min(slots))
        slots[slot] = max(slots[slot], balancer.now) + SERVICE_MILLIS
        self.latencies[destination].append(slots[slot] - balancer.now)
        self.responses.append((slots[slot], self.port, server.cookie, options))

    def end_due_flows(self):
        due = [
            response for response in self.responses if response[0] <= self.balancer.now
        ]
        self.responses = [
            response for response in self.responses if response[0] > self.balancer.now
        ]
        for _, port, cookie, options in due:
            ending = following(port, cookie, is_ending=True, **options)
            self.balancer.steering.route_packet(ending, self.balancer.now)


class OverloadTest(unittest.TestCase):
    """Refusals under normal load and in bursts."""

    def test_normal_load_is_never_refused(self):
        burst = Burst()
        burst.run(4_000, 0.8)
        self.assertEqual(sum(burst.refused.values()), 0)

    def test_burst_of_twice_the_capacity_is_served_in_time_or_refused(self):
        burst = Burst()
        burst.run(1_000, 0.5)
        burst.run(3_000, 2.0)
        latencies = burst.latencies[LOOKUP_DESTINATION]
        in_time = sum(latency <= TARGET_LATENCY_MILLIS * 1.2 for latency in latencies)
        self.assertGreater(in_time, 0.95 * len(latencies))
        self.assertGreater(burst.refused[LOOKUP_DESTINATION], 100)

    def test_requests_with_priority_are_refused_last(self):
        burst = Burst()
        burst.run(1_000, 0.5)
        burst.run(3_000, 1.8)
        self.assertEqual(burst.refused[SUBMIT_DESTINATION], 0)

    def test_servers_stay_busy_while_openings_are_refused(self):
        burst = Burst()
        burst.run(1_000, 0.5)
        n_accepted_before = sum(
            len(latencies) for latencies in burst.latencies.values()
        )
        burst.run(3_000, 2.0)
        n_accepted = (
            sum(len(latencies) for latencies in burst.latencies.values())
            - n_accepted_before
        )
        self.assertGreater(
            n_accepted, 0.95 * 3_000 * N_SERVERS * N_SLOTS / SERVICE_MILLIS
        )

    def test_flows_whose_callers_left_do_not_count_as_load(self):
        burst = Burst()
        burst.run(1_000, 0.5)
        balancer = burst.balancer
        for port in range(40_000, 40_200):
            balancer.open(port)
        self.assertNotIsInstance(balancer.open(41_000), Refused)

    def test_requests_whose_callers_left_stop_counting_as_load(self):
        burst = Burst()
        burst.run(1_000, 0.5)
        balancer = burst.balancer
        for port in range(40_000, 40_200):
            server = balancer.open(port)
            if isinstance(server, Refused):
                break
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
        self.assertIsInstance(balancer.open(41_000), Refused)
        balancer.advance(2_000)
        balancer.steering.remove_expired(balancer.now)
        self.assertNotIsInstance(balancer.open(41_001), Refused)

    def test_overload_is_answered_by_a_reset(self):
        self.assertIs(
            ERROR_RESPONSES[ErrorKind.OVERLOADED].packet, PacketResponse.RESET
        )
