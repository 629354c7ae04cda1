"""Resets answer refused packets as RFC 9293 has it."""

import unittest

import dpkt

from stoattray_balancer._resets import build_answer
from stoattray_core import ErrorKind
from stoattray_standin.packets import ACK, RST, tcp_packet, udp_packet
from tests.builders import CALLER, LOOKUP, opening_packet


class BuildAnswerTest(unittest.TestCase):
    """Which packets get a reset, and which none."""

    def test_opening(self):
        answer = build_answer(ErrorKind.NO_BACKEND_SERVER, opening_packet())
        packet = dpkt.ip.IP(answer)
        self.assertEqual(packet.dst, CALLER.packed)
        self.assertEqual((packet.data.sport, packet.data.dport), (443, CALLER.port))
        self.assertEqual(packet.data.flags, RST | ACK)
        self.assertEqual(packet.data.ack, 1)

    def test_established(self):
        data = tcp_packet(CALLER, LOOKUP, flags=ACK, acknowledgement=77, payload=b"x")
        packet = dpkt.ip.IP(build_answer(ErrorKind.BACKEND_SERVER_DEAD, data))
        self.assertEqual((packet.data.flags, packet.data.seq), (RST, 77))

    def test_no_answer(self):
        reset = tcp_packet(CALLER, LOOKUP, flags=RST)
        datagram = udp_packet(CALLER, LOOKUP, b"x")
        self.assertIsNone(build_answer(ErrorKind.NO_BACKEND_SERVER, reset))
        self.assertIsNone(build_answer(ErrorKind.NO_BACKEND_SERVER, datagram))
        self.assertIsNone(build_answer(ErrorKind.UNKNOWN_ADDRESS, opening_packet()))
        self.assertIsNone(build_answer(ErrorKind.NO_BACKEND_SERVER, b"noise"))
