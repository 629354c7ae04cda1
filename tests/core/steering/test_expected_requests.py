"""Requests that open flows count as, for the placement of new ones."""

import unittest

from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.expected_requests import ExpectedRequests
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    Balancer,
    configuration,
    following,
    server_entry,
    server_row,
)


class ExpectedRequestsTest(unittest.TestCase):
    """Measured pauses of a service."""

    def setUp(self):
        self.expected = ExpectedRequests()
        self.row = server_row()
        self.row.n_open = 10
        self.row.n_idle = 9

    def measure(self, n_requests):
        for _ in range(n_requests):
            self.expected.note_response("lookup", 20)
            self.expected.note_idle_end("lookup", 180, has_request=True)
            self.expected.note_idle_end("lookup", 0, has_request=False)

    def test_idle_flows_count_by_their_pauses(self):
        """Guards against servers that look busy by flows that need no slot."""
        self.measure(500)
        self.assertAlmostEqual(self.expected.of_server(self.row), 1.9, places=1)

    def test_flows_count_whole_until_pauses_are_known(self):
        self.measure(5)
        self.assertEqual(self.expected.of_server(self.row), 10)

    def test_flows_with_one_request_count_whole(self):
        """Guards against a changed placement where flows are short."""
        for _ in range(500):
            self.expected.note_response("lookup", 20)
            self.expected.note_idle_end("lookup", 0, has_request=False)
        self.assertEqual(self.expected.of_server(self.row), 10)


class PlacementTest(unittest.TestCase):
    """Placement beside long flows with pauses."""

    def balancer(self, priorities):
        routes = {
            destination: Route(
                "boards",
                destination,
                (("lookup", 1),),
                RequestKind.IDEMPOTENT,
                priority=priority,
            )
            for priority, destination in zip(
                priorities,
                (b"\xc6\x12\x00\x01\x00\x50", LOOKUP_DESTINATION),
                strict=True,
            )
        }
        balancer = Balancer()
        balancer.declare(
            configuration(routes=routes), server_entry("i-01"), server_entry("i-02")
        )
        return balancer

    def send(self, balancer, port, server, **fields):
        packet = following(port, server.cookie, **fields)
        balancer.steering.route_packet(packet, balancer.now)

    def request(self, balancer, port, server):
        """Send a request on an open flow and acknowledge its response."""
        self.send(balancer, port, server, has_data=True)
        balancer.now += 20
        self.send(balancer, port, server)
        balancer.now += 180

    def place_beside_idle_flows(self, priorities=(0, 1)):
        """Return the server with a pending request, and the one of a new flow.

        The other server has three flows, which send a request now and then.
        """
        balancer = self.balancer(priorities)
        busy = balancer.steering.servers.get("i-01")
        idle = balancer.steering.servers.get("i-02")
        for port in range(40_000, 40_003):
            busy.n_open += 10
            self.assertIs(balancer.open(port), idle)
            busy.n_open -= 10
            balancer.follow(port, idle)
        for _ in range(40):
            for port in range(40_000, 40_003):
                self.request(balancer, port, idle)
        idle.n_open += 10
        self.assertIs(balancer.open(40_010), busy)
        idle.n_open -= 10
        balancer.follow(40_010, busy)
        self.send(balancer, 40_010, busy, has_data=True)
        return busy, balancer.open(40_011), idle, balancer

    def test_flow_goes_to_the_server_with_idle_flows(self):
        busy, placed, _, _ = self.place_beside_idle_flows()
        self.assertIsNot(placed, busy)

    def test_flows_of_a_service_with_one_priority_are_counted(self):
        busy, placed, _, _ = self.place_beside_idle_flows((1, 1))
        self.assertIs(placed, busy)

    def test_ended_flows_leave_no_count(self):
        """Guards against counts that drift, by which a server looks idle forever."""
        _, _, idle, balancer = self.place_beside_idle_flows()
        self.assertEqual(idle.n_idle, 3)
        for port in range(40_000, 40_003):
            self.send(balancer, port, idle, is_ending=True)
        self.assertEqual(idle.n_idle, 0)
