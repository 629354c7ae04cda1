"""Messages between balancers: there and back, and any bytes are refused quietly."""

import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from stoattray_balancer.steering._peer_codec import (
    decode_difference,
    decode_heartbeat,
    decode_member,
    decode_request,
    encode_difference,
    encode_heartbeat,
    encode_member,
    encode_request,
)
from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.members import Heartbeat
from stoattray_core.steering.replica import Difference, Record
from tests.steering_builders import heartbeat, member_entry

ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class PeerCodecTest(unittest.TestCase):
    """What is told arrives as it was, and nothing else is believed."""

    def test_heartbeat(self):
        told = heartbeat(
            revision=9,
            return_age=12,
            n_asked={4_000_000_000: 3},
            known=(member_entry("edge-3"),),
            failing=(7, 4_000_000_001),
        )
        self.assertEqual(decode_heartbeat(encode_heartbeat(told)), told)

    def test_difference(self):
        told = Difference(7, [Record("a", 7, b"x"), Record("b", 6, None)], True)
        data = encode_difference(heartbeat(), told)
        self.assertEqual(decode_difference(data), (heartbeat(), told))

    def test_request_and_member(self):
        self.assertEqual(decode_request(encode_request(12)), 12)
        member = member_entry()
        self.assertEqual(decode_member(encode_member(member)), member)

    def test_field_of_a_later_version_is_passed_over(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        self.assertEqual(decode_heartbeat(msgpack.packb([*row, "new"])), heartbeat())

    def test_other_format_is_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        refused = decode_heartbeat(msgpack.packb([99, *row[1:]]))
        self.assertEqual(refused.kind, ErrorKind.MESSAGE_BAD_VERSION)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        for decode in (decode_difference, decode_member, decode_request):
            decode(data)
        self.assertIsInstance(decode_heartbeat(data), Heartbeat | Refused)

    @given(ANY_VALUE, st.integers(0, 9))
    def test_any_value_in_any_place(self, value, place):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        row[place] = value
        try:
            data = msgpack.packb(row)
        except (OverflowError, ValueError):
            return
        self.assertIsInstance(decode_heartbeat(data), Heartbeat | Refused)

    @given(ANY_VALUE, st.integers(0, 4))
    def test_any_value_in_a_difference(self, value, place):
        data = encode_difference(heartbeat(), Difference(1, [], True))
        row = msgpack.unpackb(data)
        row[place] = value
        try:
            data = msgpack.packb(row)
        except (OverflowError, ValueError):
            return
        self.assertIsInstance(decode_difference(data), tuple)
