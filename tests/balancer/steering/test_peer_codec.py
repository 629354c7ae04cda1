"""Messages between balancers: there and back, and any bytes are refused quietly."""

import unittest
import zlib

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from stoattray_balancer.steering._frames import MAX_FRAME_BYTES
from stoattray_balancer.steering._peer_codec import (
    MIN_COMPRESSED_BYTES,
    ZLIB_PREFIX,
    SyncRequest,
    decode_difference,
    decode_heartbeat,
    decode_member,
    decode_sync_request,
    encode_difference,
    encode_heartbeat,
    encode_member,
    encode_sync_request,
)
from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.member_terms import Heartbeat
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
            reader=("edge-1", 300),
        )
        self.assertEqual(decode_heartbeat(encode_heartbeat(told)), told)

    def test_difference(self):
        told = Difference(7, [Record("a", 7, b"x"), Record("b", 6, None)], True)
        data = encode_difference(heartbeat(), told, may_compress=False)
        self.assertEqual(decode_difference(data), (heartbeat(), told))

    def test_request_and_member(self):
        self.assertEqual(
            decode_sync_request(encode_sync_request(12)), SyncRequest(12, True)
        )
        member = member_entry()
        self.assertEqual(decode_member(encode_member(member)), member)

    def test_large_difference_is_compressed_for_those_that_read_it(self):
        value = b"x" * MIN_COMPRESSED_BYTES
        told = Difference(7, [Record("a", 7, value)], True)
        plain = encode_difference(heartbeat(), told, may_compress=False)
        small = encode_difference(heartbeat(), told, may_compress=True)
        self.assertLess(len(small), len(plain) / 4)
        for data in (plain, small):
            self.assertEqual(decode_difference(data), (heartbeat(), told))

    def test_compressed_difference_that_is_cut_off_or_too_large_is_refused(self):
        told = Difference(7, [Record("a", 7, b"x" * MIN_COMPRESSED_BYTES)], True)
        data = encode_difference(heartbeat(), told, may_compress=True)
        bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1), 9)
        for refused in (data[:-5], ZLIB_PREFIX, bomb):
            self.assertIsInstance(decode_difference(refused), Refused)

    def test_request_of_an_older_version_gets_plain_answers(self):
        data = msgpack.packb([1, 12])
        self.assertEqual(decode_sync_request(data), SyncRequest(12, may_compress=False))

    def test_field_of_a_later_version_is_passed_over(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        self.assertEqual(decode_heartbeat(msgpack.packb([*row, "new"])), heartbeat())

    def test_other_format_is_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        refused = decode_heartbeat(msgpack.packb([99, *row[1:]]))
        self.assertEqual(refused.kind, ErrorKind.MESSAGE_BAD_VERSION)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        for decode in (decode_difference, decode_member, decode_sync_request):
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
        difference = Difference(1, [], True)
        data = encode_difference(heartbeat(), difference, may_compress=False)
        row = msgpack.unpackb(data)
        row[place] = value
        try:
            data = msgpack.packb(row)
        except (OverflowError, ValueError):
            return
        self.assertIsInstance(decode_difference(data), tuple)
