"""Reading, writing and refusing packet headers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from packet_builders import ACK, CALLER, FIN, RST, SYN, build_packet

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.packet import Packet
from stoattray_platform.header_codec import (
    HEADER_BYTES,
    MAX_DATA_BYTES,
    PlatformHeaderCodec,
)

LABEL = b"\x00\x00\x00\x00\x7f\x3a\x91\xc2"


class HeaderTest(unittest.TestCase):
    """Headers of single packets."""

    def setUp(self):
        self.codec = PlatformHeaderCodec()

    def test_example_of_the_protocol(self):
        example = bytes.fromhex(
            "00000000000008006440 0007c6120001 01bb9c41 a1b2c3d5 11223344 00000000"
        )
        self.assertEqual(build_packet(), example)
        parsed = self.codec.parse(example)
        self.assertTrue(parsed.is_opening)
        self.assertEqual(parsed.destination, bytes.fromhex("c612000101bb"))
        self.assertEqual(self.codec.caller_host(example), CALLER)
        reset = bytes.fromhex(
            "0000000000000200c612000164400007 9c4101bb 000000000000000000000000"
        )
        self.assertEqual(self.codec.build_reset(example), reset)

    def test_retransmissions_of_an_opening_packet_are_counted(self):
        self.assertEqual(
            self.codec.parse(build_packet(acknowledgement=2)).n_retransmissions, 2
        )

    def test_packet_of_an_open_flow(self):
        parsed = self.codec.parse(
            build_packet(ACK, echo=77, acknowledgement=9, data=b"abc")
        )
        self.assertEqual(
            (parsed.cookie, parsed.is_opening, parsed.n_retransmissions), (77, False, 0)
        )
        self.assertFalse(parsed.is_ending)

    def test_fin_and_rst_end_a_flow(self):
        self.assertTrue(self.codec.parse(build_packet(FIN | ACK)).is_ending)
        self.assertTrue(self.codec.parse(build_packet(RST)).is_ending)

    def test_packets_of_a_flow_have_the_same_key(self):
        first = self.codec.parse(build_packet())
        self.assertEqual(self.codec.parse(build_packet(ACK, data=b"x")).key, first.key)

    def test_only_the_cookie_changes_on_the_way_to_a_server(self):
        data = build_packet(ACK, echo=5, data=b"payload")
        sent = self.codec.rewrite_for_server(data, LABEL, 0xDEADBEEF)
        self.assertEqual(sent[:8], LABEL)
        self.assertEqual(sent[8:10] + sent[14:], data[:2] + data[6:])
        self.assertEqual(sent[10:14], b"\xde\xad\xbe\xef")

    def test_refusals(self):
        cases = {
            ErrorKind.PACKET_TRUNCATED: build_packet()[:-1],
            ErrorKind.PACKET_BAD_LENGTH: build_packet(data=b"abc", n_data=2),
            ErrorKind.PACKET_OVERSIZED: build_packet(data=b"x" * (MAX_DATA_BYTES + 1)),
            ErrorKind.PACKET_NOT_FROM_CALLER: build_packet(SYN | ACK),
        }
        for kind, data in cases.items():
            self.assertEqual(self.codec.parse(data).kind, kind)

    def test_length_beyond_the_packet_is_refused(self):
        refused = self.codec.parse(build_packet(data=b"abc", n_data=4))
        self.assertEqual(refused.kind, ErrorKind.PACKET_BAD_LENGTH)

    @given(st.binary(max_size=HEADER_BYTES + MAX_DATA_BYTES + 8))
    def test_arbitrary_bytes_are_parsed_or_refused(self, data):
        parsed = self.codec.parse(data)
        self.assertIsInstance(parsed, Packet | Refused)
        if isinstance(parsed, Packet):
            self.assertEqual(
                len(self.codec.rewrite_for_server(data, LABEL, 1)), len(data) + 8
            )
            self.assertEqual(len(self.codec.build_reset(data)), HEADER_BYTES)
