"""Tests of header parsing, with dpkt as the reference."""

import unittest

import dpkt
from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_core import ErrorKind, Refused
from stoattray_core._packet import Packet, read_packet
from stoattray_standin.packets import ACK, FIN, SYN, Endpoint, tcp_packet, udp_packet
from tests.builders import CALLER, LOOKUP, opening_packet

ports = st.integers(1, 65_535)
hosts = st.ip_addresses(v=4).map(str)
endpoints = st.builds(Endpoint, hosts, ports)


class ReadPacketTest(unittest.TestCase):
    """Valid packets parse as in dpkt; invalid ones are refused with their kind."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(endpoints, endpoints, st.integers(0, 63), st.binary(max_size=64))
    def test_parses_tcp(self, source, destination, flags, payload):
        data = tcp_packet(source, destination, flags=flags, payload=payload)
        packet = read_packet(data)
        self.assertIsInstance(packet, Packet)
        self.assertEqual(packet.flow, source.packed + source.port.to_bytes(2))
        expected = int.from_bytes(destination.packed) << 24 | destination.port << 8 | 6
        self.assertEqual(packet.service_key, expected)
        self.assertEqual(packet.is_opening, bool(flags & SYN) and not flags & ACK)
        self.assertEqual(packet.has_payload, bool(payload))

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.binary(max_size=200))
    def test_never_raises_on_random_bytes(self, data):
        self.assertIsInstance(read_packet(data), (Packet, Refused))

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.integers(0, 39), st.integers(0, 255))
    def test_never_raises_on_changed_headers(self, position, value):
        data = bytearray(tcp_packet(CALLER, LOOKUP, flags=ACK, payload=b"12345"))
        data[position] = value
        result = read_packet(bytes(data))
        if isinstance(result, Packet):
            self.assertEqual(dpkt.ip.IP(bytes(data)).len, len(data))

    def test_kinds_of_refusal(self):
        good = opening_packet()
        cases = {
            ErrorKind.PACKET_TRUNCATED: good[:-1],
            ErrorKind.PACKET_BAD_LENGTH: good + b"x",
            ErrorKind.PACKET_OVERSIZED: bytes(10_000),
            ErrorKind.PACKET_NOT_IPV4: b"\x65" + good[1:],
            ErrorKind.PACKET_HAS_OPTIONS: b"\x46" + good[1:],
            ErrorKind.PACKET_FRAGMENT: good[:6] + b"\x20\x00" + good[8:],
            ErrorKind.PACKET_BAD_PROTOCOL: good[:9] + b"\x01" + good[10:],
        }
        for kind, data in cases.items():
            with self.subTest(kind):
                self.assertEqual(read_packet(data).kind, kind)

    def test_tcp_header_length_mismatch(self):
        good = opening_packet()
        too_long = good[:32] + b"\xf0" + good[33:]
        self.assertEqual(read_packet(too_long).kind, ErrorKind.PACKET_BAD_LENGTH)
        too_short = good[:32] + b"\x40" + good[33:]
        self.assertEqual(read_packet(too_short).kind, ErrorKind.PACKET_BAD_LENGTH)

    def test_udp_length_mismatch(self):
        good = udp_packet(CALLER, LOOKUP, b"abc")
        self.assertIsInstance(read_packet(good), Packet)
        bad = good[:24] + b"\x00\x09" + good[26:]
        self.assertEqual(read_packet(bad).kind, ErrorKind.PACKET_BAD_LENGTH)

    def test_fin_ends_a_flow(self):
        packet = read_packet(tcp_packet(CALLER, LOOKUP, flags=FIN | ACK))
        self.assertTrue(packet.is_ending)
