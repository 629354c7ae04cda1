"""TCP resets for refused packets follow RFC 9293."""

import unittest

import dpkt

from stoattray_balancer._resets import build_reset
from stoattray_core import ErrorKind
from stoattray_standin.packets import ACK, RST, tcp_packet, udp_packet
from tests.builders import CALLER, LOOKUP, opening_packet


class BuildResetTest(unittest.TestCase):
    """Which packets are answered with a reset, and its fields."""

    def test_opening_packet(self):
        reset = build_reset(ErrorKind.NO_BACKEND_SERVER, opening_packet())
        packet = dpkt.ip.IP(reset)
        self.assertEqual(packet.dst, CALLER.packed)
        self.assertEqual((packet.data.sport, packet.data.dport), (443, CALLER.port))
        self.assertEqual(packet.data.flags, RST | ACK)
        self.assertEqual(packet.data.ack, 1)

    def test_established_flow(self):
        data = tcp_packet(CALLER, LOOKUP, flags=ACK, acknowledgement=77, payload=b"x")
        packet = dpkt.ip.IP(build_reset(ErrorKind.BACKEND_SERVER_DEAD, data))
        self.assertEqual((packet.data.flags, packet.data.seq), (RST, 77))

    def test_no_reset(self):
        reset = tcp_packet(CALLER, LOOKUP, flags=RST)
        datagram = udp_packet(CALLER, LOOKUP, b"x")
        self.assertIsNone(build_reset(ErrorKind.NO_BACKEND_SERVER, reset))
        self.assertIsNone(build_reset(ErrorKind.NO_BACKEND_SERVER, datagram))
        self.assertIsNone(build_reset(ErrorKind.UNKNOWN_ADDRESS, opening_packet()))
        self.assertIsNone(build_reset(ErrorKind.NO_BACKEND_SERVER, b"noise"))
