"""Forwarding goes on after unexpected errors, or the balancer is not ready."""

import socket
import unittest
from unittest.mock import Mock

import gevent

from stoattray_balancer.steering.forwarding_health import (
    MIN_FAILING_MILLIS,
    RETRY_MILLIS,
    ForwardingHealth,
)
from stoattray_balancer.steering.packet_forwarder import PacketForwarder
from stoattray_core._sentinel import Refused
from stoattray_core.steering.packet import Packet
from tests.steering_builders import (
    START_MILLIS,
    Balancer,
    configuration,
    following,
    opening,
    server_entry,
)

WAIT_SECONDS = 0.05


class PortCodec:
    """Codec of packets that hold a kind and a port: `b"o 40000"` opens a flow."""

    def parse(self, data: bytes) -> Packet | Refused:
        """Return the packet, an opening or one without a known cookie."""
        kind, port = data.split()
        return opening(int(port)) if kind == b"o" else following(int(port), cookie=9)

    def rewrite_for_server(self, data: bytes, label: bytes, cookie: int) -> bytes:
        """Return the packet as it was received."""
        return data

    def build_reset(self, data: bytes) -> bytes:
        """Return a reset."""
        return b"reset"

    def caller_host(self, data: bytes) -> str:
        """Return the caller's address."""
        return "127.0.0.1"


class PacketForwarderTest(unittest.TestCase):
    """A forwarder with one server, on sockets of this machine."""

    def setUp(self):
        self.server_socket = self.bound_socket()
        self.balancer = Balancer()
        self.balancer.declare(
            configuration(), server_entry(address=self.server_socket.getsockname())
        )
        self.steering = self.balancer.steering
        own = self.bound_socket()
        self.address = own.getsockname()
        self.forwarder = PacketForwarder(
            self.steering,
            PortCodec(),
            own,
            clock=lambda: self.balancer.now,
            relay=lambda data: None,
            on_event=self.balancer.recorder,
        )
        self.forwarder.start()
        self.addCleanup(self.forwarder.stop)
        self.caller = self.bound_socket()

    def bound_socket(self) -> socket.socket:
        """Return a non-blocking UDP socket with a port of its own."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        self.addCleanup(sock.close)
        return sock

    def send(self, *packets: bytes) -> None:
        """Send packets, and let the forwarder read them."""
        for data in packets:
            self.caller.sendto(data, self.address)
        gevent.sleep(WAIT_SECONDS)

    def received(self) -> list[bytes]:
        """Return the packets that have reached the server."""
        packets = []
        while True:
            try:
                packets.append(self.server_socket.recv(100))
            except BlockingIOError:
                return packets

    def fail_openings_from(self, port: int) -> None:
        """Make the choice of a server fail for the openings from one port."""
        route_packet = self.steering.route_packet

        def fail(packet: Packet, now: int) -> object:
            if packet.is_opening and packet.key == opening(port).key:
                raise OverflowError("integer division result too large for a float")
            return route_packet(packet, now)

        self.steering.route_packet = fail

    def test_packets_after_one_that_raised_are_forwarded(self):
        """Guards against one error that ends the forwarding of a ready balancer."""
        self.fail_openings_from(1)
        self.send(b"o 1", b"o 2")
        self.send(b"o 3")
        self.assertEqual(self.received(), [b"o 2", b"o 3"])
        self.assertEqual(self.forwarder.counters["failed"], 1)
        self.assertIn("packet_failed", self.balancer.recorder.names())
        self.assertFalse(self.forwarder.health.is_failing(self.balancer.now))

    def test_packets_are_read_though_the_detection_of_pauses_fails(self):
        self.steering.detect_pause = Mock(__name__="detect_pause", side_effect=KeyError)
        self.send(b"o 1", b"o 2")
        self.assertEqual(self.received(), [b"o 1", b"o 2"])

    def test_relayed_packet_that_raises_ends_nothing(self):
        self.fail_openings_from(1)
        self.forwarder.handle_relayed(b"o 1")
        self.forwarder.handle_relayed(b"o 2")
        self.assertEqual(self.received(), [b"o 2"])

    def test_balancer_whose_openings_all_fail_is_not_ready(self):
        """Guards against a balancer that is ready and opens no flows."""
        self.fail_openings_from(1)
        for _ in range(3):
            self.send(b"o 1", b"f 2")
            self.balancer.now += MIN_FAILING_MILLIS // 2
        self.assertTrue(self.forwarder.health.is_failing(self.balancer.now))
        self.send(b"o 3")
        self.assertFalse(self.forwarder.health.is_failing(self.balancer.now))


class ForwardingHealthTest(unittest.TestCase):
    """Conditions under which a balancer does not count as forwarding."""

    def setUp(self):
        self.health = ForwardingHealth()

    def fail(self, *, at: int, is_opening: bool = True) -> None:
        """Note an error."""
        self.health.note_error(START_MILLIS + at, is_opening=is_opening)

    def is_failing(self, at: int) -> bool:
        """Return whether the balancer counts as failing."""
        return self.health.is_failing(START_MILLIS + at)

    def test_single_error_is_no_failure(self):
        self.fail(at=0)
        self.assertFalse(self.is_failing(0))
        self.assertFalse(self.is_failing(RETRY_MILLIS - 1))

    def test_errors_for_a_while_are(self):
        self.fail(at=0)
        self.fail(at=MIN_FAILING_MILLIS - 1)
        self.assertFalse(self.is_failing(MIN_FAILING_MILLIS - 1))
        self.fail(at=MIN_FAILING_MILLIS)
        self.assertTrue(self.is_failing(MIN_FAILING_MILLIS))

    def test_handled_packet_of_the_same_kind_ends_it(self):
        self.fail(at=0)
        self.fail(at=MIN_FAILING_MILLIS)
        self.health.note_handled(is_opening=False)
        self.assertTrue(self.is_failing(MIN_FAILING_MILLIS))
        self.health.note_handled(is_opening=True)
        self.assertFalse(self.is_failing(MIN_FAILING_MILLIS))

    def test_balancer_is_tried_again(self):
        """Guards against a balancer that stays out, as it gets no packets."""
        self.fail(at=0)
        self.fail(at=MIN_FAILING_MILLIS)
        self.assertTrue(self.is_failing(MIN_FAILING_MILLIS + RETRY_MILLIS - 1))
        self.assertFalse(self.is_failing(MIN_FAILING_MILLIS + RETRY_MILLIS))
