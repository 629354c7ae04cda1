"""Messages between balancers: round trips, and refusal of malformed bytes."""

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
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.load_reports import MAX_ROWS, LoadRow
from stoattray_core.steering.pinned_flows import PinnedFlow
from stoattray_core.steering.replica import Difference, Record, Version
from tests.steering_builders import heartbeat, member_entry

N_FIELDS_BEFORE_CUT_OFFS = 13
N_FIELDS_BEFORE_PINNED_FLOWS = 14

PINS = (
    PinnedFlow(bytes(12), 2**32 - 1, 2**32 - 1, 0, 59_999),
    PinnedFlow(b"\xff" * 12, 1, 0, 2**32 - 1, 0),
)

ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class PeerCodecTest(unittest.TestCase):
    """Round trips preserve messages; malformed ones raise nothing."""

    def test_heartbeat(self):
        sent = heartbeat(
            revision=9,
            recovery_age=12,
            pending_requests={4_000_000_000: 3},
            live_members=(member_entry("edge-3"),),
            failing_cookies=(7, 4_000_000_001),
            first_reader=("edge-1", 300),
            cut_offs=(CutOffReport("lookup", 2, 250, 40),),
        )
        self.assertEqual(decode_heartbeat(encode_heartbeat(sent)), sent)

    def test_heartbeat_without_cut_offs_is_that_of_an_older_release(self):
        rows = (LoadRow("luzon-a", "lookup", 1.0, 2.0, 3),)
        row = msgpack.unpackb(encode_heartbeat(heartbeat(load_rows=rows)))
        self.assertEqual(len(row), N_FIELDS_BEFORE_CUT_OFFS)

    def test_heartbeat_with_cut_offs_is_read_by_earlier_releases(self):
        """Guards against cut-offs that take the place of loads, or move fields."""
        cut_offs = (CutOffReport("lookup", 2, 250, 40),)
        for rows in ((), (LoadRow("luzon-a", "lookup", 1.0, 2.0, 3),)):
            with self.subTest(rows):
                sent = heartbeat(load_rows=rows, cut_offs=cut_offs)
                row = msgpack.unpackb(encode_heartbeat(sent))
                self.assertEqual(decode_heartbeat(encode_heartbeat(sent)), sent)
                older = decode_heartbeat(msgpack.packb(row[:N_FIELDS_BEFORE_CUT_OFFS]))
                self.assertEqual(older, heartbeat(load_rows=rows))
                self.assertEqual(
                    row[:12], msgpack.unpackb(encode_heartbeat(heartbeat()))
                )
                self.assertEqual(row[12] == [], not rows)

    def test_cut_offs_take_few_bytes(self):
        sent = heartbeat(cut_offs=(CutOffReport("partida", 2, 1_000, 1_000),))
        n_bytes = len(encode_heartbeat(sent)) - len(encode_heartbeat(heartbeat()))
        self.assertLessEqual(n_bytes, 20)

    def test_malformed_cut_offs_are_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        for cut_off in (["lookup"], [5, 1, 1, 1], ["lookup", -1, 1, 1], 7):
            with self.subTest(cut_off):
                refused = decode_heartbeat(msgpack.packb([*row, [], [cut_off]]))
                self.assertEqual(refused.kind, ErrorKind.MESSAGE_MALFORMED)

    def test_heartbeat_with_loads(self):
        sent = heartbeat(
            load_rows=(
                LoadRow("luzon-a", "lookup", 12.3, 29.2, 250),
                LoadRow("luzon-a", "archive", 0.0, 10.0, 0),
                LoadRow("luzon-b", "lookup", 40.0, 30.0, 900),
            )
        )
        self.assertEqual(decode_heartbeat(encode_heartbeat(sent)), sent)

    def test_heartbeat_without_loads_is_that_of_earlier_releases(self):
        """Guards against traffic and fields where the settings do not ask for them."""
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        self.assertEqual(len(row), 12)

    def test_heartbeat_with_loads_is_read_by_earlier_releases(self):
        """Guards against a field that moves the ones in front of it."""
        rows = (LoadRow("luzon-a", "lookup", 1.0, 2.0, 3),)
        with_loads = msgpack.unpackb(encode_heartbeat(heartbeat(load_rows=rows)))
        self.assertEqual(
            with_loads[:12], msgpack.unpackb(encode_heartbeat(heartbeat()))
        )

    def test_malformed_loads_are_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()))
        for loads in (
            5,
            [["luzon-a", ["lookup", -1, 2, 3]]],
            [["luzon-a", ["lookup", 1.5, 2, 3]]],
            [["luzon-a", [7, 1, 2, 3]]],
            [[7, ["lookup", 1, 2, 3]]],
            [["luzon-a", ["lookup", 1]]],
        ):
            with self.subTest(loads=loads):
                decoded = decode_heartbeat(msgpack.packb([*row, loads]))
                self.assertIsInstance(decoded, Refused)

    def test_sixteen_rows_of_load_stay_small(self):
        """Guards against control traffic that grows: 17 of them are sent a second."""
        rows = tuple(
            LoadRow(f"data-centre-{n // 2}", f"service{n % 2}a", 123.4, 60.0, 2_900)
            for n in range(MAX_ROWS)
        )
        n_bytes = len(encode_heartbeat(heartbeat(load_rows=rows)))
        n_added = n_bytes - len(encode_heartbeat(heartbeat()))
        self.assertLess(n_added, 450)

    def test_difference(self):
        sent = Difference(7, [Record("a", 7, b"x"), Record("b", 6, None)], True)
        data = encode_difference(heartbeat(), sent, may_compress=False)
        self.assertEqual(decode_difference(data), (heartbeat(), sent))

    def test_request_and_member(self):
        self.assertEqual(
            decode_sync_request(encode_sync_request(Version(2, 12))),
            SyncRequest(Version(2, 12), True),
        )
        member = member_entry()
        self.assertEqual(decode_member(encode_member(member)), member)

    def test_large_difference_is_compressed_if_the_peer_supports_it(self):
        value = b"x" * MIN_COMPRESSED_BYTES
        sent = Difference(7, [Record("a", 7, value)], True)
        uncompressed = encode_difference(heartbeat(), sent, may_compress=False)
        compressed = encode_difference(heartbeat(), sent, may_compress=True)
        self.assertLess(len(compressed), len(uncompressed) / 4)
        for data in (uncompressed, compressed):
            self.assertEqual(decode_difference(data), (heartbeat(), sent))

    def test_truncated_or_oversized_compressed_difference_is_refused(self):
        sent = Difference(7, [Record("a", 7, b"x" * MIN_COMPRESSED_BYTES)], True)
        data = encode_difference(heartbeat(), sent, may_compress=True)
        bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1), 9)
        for refused in (data[:-5], ZLIB_PREFIX, bomb):
            self.assertIsInstance(decode_difference(refused), Refused)

    def test_request_of_an_older_version_gets_uncompressed_responses(self):
        data = msgpack.packb([1, 12])
        request = SyncRequest(Version(0, 12), may_compress=False)
        self.assertEqual(decode_sync_request(data), request)

    def test_request_of_a_starting_balancer_is_read_by_earlier_releases(self):
        """Guards against a start that earlier releases refuse to help."""
        data = encode_sync_request(Version(2, 12), wants_pins=True)
        self.assertEqual(
            decode_sync_request(data),
            SyncRequest(Version(2, 12), may_compress=True, wants_pins=True),
        )
        row = msgpack.unpackb(data)
        self.assertEqual(msgpack.packb(row[:4]), encode_sync_request(Version(2, 12)))

    def test_field_of_a_later_version_is_ignored(self):
        cut_offs = (CutOffReport("lookup", 2, 250, 40),)
        for rows in ((), (LoadRow("luzon-a", "lookup", 1.0, 2.0, 3),)):
            with self.subTest(rows):
                sent = heartbeat(load_rows=rows, cut_offs=cut_offs, pinned_flows=PINS)
                row = msgpack.unpackb(encode_heartbeat(sent), strict_map_key=False)
                self.assertEqual(decode_heartbeat(msgpack.packb([*row, "new"])), sent)

    def test_pinned_flows(self):
        for changes in ({}, {"cut_offs": (CutOffReport("lookup", 2, 250, 40),)}):
            sent = heartbeat(pinned_flows=PINS, **changes)
            self.assertEqual(decode_heartbeat(encode_heartbeat(sent)), sent)
            difference = Difference(7, [Record("a", 7, b"x")], True)
            data = encode_difference(sent, difference, may_compress=True)
            self.assertEqual(decode_difference(data), (sent, difference))

    def test_heartbeat_with_pinned_flows_is_read_by_earlier_releases(self):
        """Guards against pins that take the place of an older field, or move one."""
        row = msgpack.unpackb(encode_heartbeat(heartbeat(pinned_flows=PINS)))
        self.assertEqual(len(row), N_FIELDS_BEFORE_PINNED_FLOWS + 1)
        older = decode_heartbeat(msgpack.packb(row[:N_FIELDS_BEFORE_PINNED_FLOWS]))
        self.assertEqual(older, heartbeat())

    def test_heartbeat_without_pinned_flows_is_that_of_an_older_release(self):
        sent = heartbeat(cut_offs=(CutOffReport("lookup", 2, 250, 40),))
        row = msgpack.unpackb(encode_heartbeat(sent))
        self.assertEqual(len(row), N_FIELDS_BEFORE_PINNED_FLOWS)

    def test_malformed_pinned_flow_is_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat(pinned_flows=PINS)))
        for pin in (["key", 1, 2, 3, 4], [b"key", -1, 2, 3, 4], [b"key", 1, 2], 7):
            refused = decode_heartbeat(msgpack.packb([*row[:-1], [pin]]))
            self.assertEqual(refused.kind, ErrorKind.MESSAGE_MALFORMED)

    def test_other_format_version_is_refused(self):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        refused = decode_heartbeat(msgpack.packb([99, *row[1:]]))
        self.assertEqual(refused.kind, ErrorKind.MESSAGE_BAD_VERSION)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_refused(self, data):
        for decode in (decode_difference, decode_member, decode_sync_request):
            decode(data)
        self.assertIsInstance(decode_heartbeat(data), Heartbeat | Refused)

    @given(ANY_VALUE, st.integers(0, 9))
    def test_arbitrary_value_in_a_heartbeat(self, value, index):
        row = msgpack.unpackb(encode_heartbeat(heartbeat()), strict_map_key=False)
        row[index] = value
        try:
            data = msgpack.packb(row)
        except (OverflowError, ValueError):
            return
        self.assertIsInstance(decode_heartbeat(data), Heartbeat | Refused)

    @given(ANY_VALUE, st.integers(0, 4))
    def test_arbitrary_value_in_a_difference(self, value, index):
        difference = Difference(1, [], True)
        data = encode_difference(heartbeat(), difference, may_compress=False)
        row = msgpack.unpackb(data)
        row[index] = value
        try:
            data = msgpack.packb(row)
        except (OverflowError, ValueError):
            return
        self.assertIsInstance(decode_difference(data), tuple)
