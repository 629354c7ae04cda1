"""Bursts beyond what the hosts can do: who waits, and who is refused."""

import unittest

from stoattray_core._errors import ANSWERS, ErrorKind, PacketAnswer
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
AIM = 120
WORK = 25
N_SLOTS = 2
N_HOSTS = 4


class Burst:
    """Openings at a rate on hosts that work on two requests at once, in order."""

    def __init__(self, seed=1):
        self.balancer = Balancer(seed=seed)
        routes = (
            Route(
                "check",
                LOOKUP_DESTINATION,
                (("lookup", 1),),
                RequestKind.IDEMPOTENT,
                aim=AIM,
            ),
            Route(
                "submit",
                SUBMIT_DESTINATION,
                (("lookup", 1),),
                RequestKind.NON_IDEMPOTENT,
                aim=AIM,
                is_urgent=True,
            ),
        )
        self.balancer.declare(
            configuration(routes={route.destination: route for route in routes}),
            *(server_entry(f"i-0{number}") for number in range(1, N_HOSTS + 1)),
        )
        self.port = 20_000
        self.free_at = {}
        self.ends = []
        self.took = {LOOKUP_DESTINATION: [], SUBMIT_DESTINATION: []}
        self.refused = {LOOKUP_DESTINATION: 0, SUBMIT_DESTINATION: 0}

    def play(self, millis, per_slot):
        """Open flows at `per_slot` times what the slots can do."""
        balancer = self.balancer
        random = balancer.steering._random
        rate = per_slot * N_HOSTS * N_SLOTS / WORK
        for _ in range(millis):
            balancer.now += 1
            for _ in range(int(rate) + (random.random() < rate % 1)):
                urgent = random.random() < 0.2
                self.open(SUBMIT_DESTINATION if urgent else LOOKUP_DESTINATION)
            self.end_flows()
            list(balancer.steering.tick(balancer.now))

    def open(self, destination):
        balancer = self.balancer
        self.port += 1
        names = {"destination": destination}
        server = balancer.open(self.port, **names)
        if isinstance(server, Refused):
            assert server.kind is ErrorKind.OVERLOADED
            self.refused[destination] += 1
            return
        for has_data in (False, True):
            packet = following(self.port, server.cookie, has_data=has_data, **names)
            balancer.steering.route_packet(packet, balancer.now)
        slots = self.free_at.setdefault(server.name, [0] * N_SLOTS)
        slot = slots.index(min(slots))
        slots[slot] = max(slots[slot], balancer.now) + WORK
        self.took[destination].append(slots[slot] - balancer.now)
        self.ends.append((slots[slot], self.port, server.cookie, names))

    def end_flows(self):
        due = [end for end in self.ends if end[0] <= self.balancer.now]
        self.ends = [end for end in self.ends if end[0] > self.balancer.now]
        for _, port, cookie, names in due:
            last = following(port, cookie, is_ending=True, **names)
            self.balancer.steering.route_packet(last, self.balancer.now)


class OverloadTest(unittest.TestCase):
    """Market-morning bursts."""

    def test_usual_load_is_never_refused(self):
        burst = Burst()
        burst.play(4_000, 0.8)
        self.assertEqual(sum(burst.refused.values()), 0)

    def test_burst_of_twice_the_capacity_is_served_in_time_and_the_rest_refused(self):
        burst = Burst()
        burst.play(1_000, 0.5)
        burst.play(3_000, 2.0)
        took = burst.took[LOOKUP_DESTINATION]
        in_time = sum(waited <= AIM * 1.2 for waited in took)
        self.assertGreater(in_time, 0.95 * len(took))
        self.assertGreater(burst.refused[LOOKUP_DESTINATION], 100)

    def test_urgent_requests_are_refused_last(self):
        burst = Burst()
        burst.play(1_000, 0.5)
        burst.play(3_000, 1.8)
        self.assertEqual(burst.refused[SUBMIT_DESTINATION], 0)

    def test_hosts_are_kept_busy_while_some_are_refused(self):
        burst = Burst()
        burst.play(1_000, 0.5)
        n_before = sum(len(took) for took in burst.took.values())
        burst.play(3_000, 2.0)
        n_served = sum(len(took) for took in burst.took.values()) - n_before
        self.assertGreater(n_served, 0.95 * 3_000 * N_HOSTS * N_SLOTS / WORK)

    def test_flows_whose_callers_left_are_no_load(self):
        burst = Burst()
        burst.play(1_000, 0.5)
        balancer = burst.balancer
        for port in range(40_000, 40_200):
            balancer.open(port)
        self.assertNotIsInstance(balancer.open(41_000), Refused)

    def test_requests_whose_callers_left_are_no_load_for_long(self):
        burst = Burst()
        burst.play(1_000, 0.5)
        balancer = burst.balancer
        for port in range(40_000, 40_200):
            server = balancer.open(port)
            if isinstance(server, Refused):
                break
            balancer.follow(port, server)
            request = following(port, server.cookie, has_data=True)
            balancer.steering.route_packet(request, balancer.now)
        self.assertIsInstance(balancer.open(41_000), Refused)
        balancer.wait(2_000)
        balancer.steering.clean_up(balancer.now)
        self.assertNotIsInstance(balancer.open(41_001), Refused)

    def test_refusal_is_told_at_once(self):
        self.assertIs(ANSWERS[ErrorKind.OVERLOADED].packet, PacketAnswer.RESET)
