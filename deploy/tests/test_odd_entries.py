"""Records of other writers beside those of servers: none may stop a balancer."""

import json
import struct
import unittest
from collections.abc import Iterable
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from packet_builders import (
    build_configuration_body,
    build_configuration_record,
    build_packet,
    build_server_body,
)

from stoattray_balancer.steering._peer_codec import (
    decode_difference,
    decode_heartbeat,
    encode_difference,
    encode_heartbeat,
)
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.replica import Difference, Record, Version
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.steering import Steering
from stoattray_platform.header_codec import PlatformHeaderCodec
from stoattray_platform.record_decoder import PlatformRecordDecoder

START_MILLIS = 1_000_000
N_FLOWS = 20

ODD_NUMBERS = (10**400, 2**64, 2**63, 10**18, -1, 1e308, float("inf"), float("nan"))
ODD_TEXTS = ("\ud83d", "x" * 100_000, "\x00\n", "")
ODD_ADDRESSES = (
    "10.128.0.9:0",
    "10.128.0.9:65536",
    "10.128.0.9:" + "9" * 400,
    "10.128.0.9:8_080",
    "10.128.0.9:\uff18\uff10",
    "10.128.0.9: 80",
    "10.128.0.9",
    "10.128:8080",
    "0x0a800009:8080",
    "10.128.0.9 x:8080",
    "localhost:8080",
    "[::1]:8080",
    "0.0.0.0:8080",
    "224.0.0.1:8080",
    "255.255.255.255:8080",
    "\ud83d:8080",
)

ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text(st.characters(exclude_categories=()))
    | st.sampled_from(ODD_NUMBERS + ODD_TEXTS + ODD_ADDRESSES),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def server_value(**changes: Any) -> bytes:
    """Return the value of a backend server's record."""
    return json.dumps(build_server_body(**changes)).encode()


class Events(list):
    """Event sink that keeps names and fields."""

    def __call__(self, name: str, **fields: object) -> None:
        """Receive an event."""
        self.append((name, fields))

    def is_enabled(self, name: str) -> bool:
        """Return that every event is enabled."""
        return True

    def note_suppressed(self, name: str) -> None:
        """Never called, since every event is enabled."""
        raise AssertionError(name)


class OddEntriesTest(unittest.TestCase):
    """A balancer with one good server, beside one in a far data centre."""

    def setUp(self):
        self.events = Events()
        self.now = START_MILLIS
        self.revision = 10
        self.codec = PlatformHeaderCodec()
        self.steering = Steering(
            MemberEntry("edge-1", "10.1.0.10", "luzon-a", 1),
            decoder=PlatformRecordDecoder(),
            flow_life_millis=60_000,
            random=Random(1),
            on_event=self.events,
            remote_traffic=RemoteTrafficSettings(4.0),
        )
        self.apply(
            build_configuration_record(routes=build_configuration_body()["routes"][1:]),
            Record("servers/i-01", 7, server_value()),
            Record("servers/i-02", 8, server_value(zone="luzon-b")),
        )

    def apply(self, *records: Record) -> None:
        """Apply records as one answer of the store."""
        self.revision += len(records)
        self.steering.store_health.note_response(self.now)
        difference = Difference(self.revision, list(records), False)
        self.steering.apply_changes(difference, self.now)
        self.steering.confirm_by_snapshot(self.now)

    def write(self, value: bytes, key: str = "servers/i-0f") -> None:
        """Apply a record of another writer, with one of a good server after it."""
        self.apply(
            Record(key, self.revision + 1, value),
            Record("servers/i-03", self.revision + 2, server_value()),
        )

    def open_flows(self) -> Iterable[ServerRow | Refused]:
        """Open flows, let some of them wait for an answer, and tick."""
        for number in range(N_FLOWS):
            self.now += 7
            data = bytearray(build_packet())
            struct.pack_into(">HH", data, 16, 8_080, 30_000 + number)
            routed = self.steering.route_packet(self.codec.parse(bytes(data)), self.now)
            yield routed
            list(self.steering.tick(self.now))
        self.steering.remove_expired(self.now)

    def exchange_state(self) -> None:
        """Encode and decode what the balancer sends to others."""
        report = Heartbeat(
            member=MemberEntry("edge-1", "10.1.0.10", "luzon-a", 1),
            is_ready=True,
            is_reader=True,
            revision=self.steering.replica.revision,
            confirmed_age=0,
            recovery_age=None,
            pending_requests=self.steering.pending_requests(),
            load_rows=self.steering.load_rows(self.now),
            cut_offs=self.steering.cut_off_reports(self.now),
        )
        data = encode_heartbeat(report)
        self.assertLess(len(data), 10_000)
        self.assertNotIsInstance(decode_heartbeat(data), Refused)
        changes = self.steering.replica.changes_since(Version(0, 0))
        data = encode_difference(report, changes, may_compress=True)
        self.assertNotIsInstance(decode_difference(data), Refused)

    def assert_serves(self, *, only_good: bool = True) -> None:
        """Check that flows open, at the good servers if `only_good`."""
        servers = list(self.open_flows())
        for server in servers:
            self.assertIsInstance(server, ServerRow)
        names = {server.name for server in servers}
        if only_good:
            self.assertLessEqual(names, {"i-01", "i-02", "i-03"})
        self.assertIsNotNone(self.steering.servers.get("i-03"))
        self.assertNotIn("record_failed", [name for name, _ in self.events])
        self.exchange_state()

    def assert_refused(self, value: bytes, key: str = "servers/i-0f") -> None:
        """Check that a record is refused, with a short reason, and the rest serves."""
        self.setUp()
        self.write(value, key)
        self.assertIsNone(self.steering.servers.get(key.removeprefix("servers/")))
        reasons = [
            fields["reason"]
            for name, fields in self.events
            if name == "record_malformed"
        ]
        self.assertEqual(len(reasons), 1)
        self.assertLess(len(reasons[0]), 300)
        self.assert_serves()

    def test_numbers_too_large(self):
        """Guards against a number that ends the forwarding of all balancers."""
        for name in ("capacity", "warmup_remaining_ms", "sequence", "born"):
            for number in ODD_NUMBERS:
                with self.subTest(name, number=number):
                    self.assert_refused(server_value(**{name: number}))

    def test_texts_that_cannot_be_sent(self):
        """Guards against names that make heartbeats fail, or too long to send."""
        for name in ("service", "zone", "state", "address"):
            for text in ODD_TEXTS:
                with self.subTest(name, text=text[:9]):
                    self.assert_refused(server_value(**{name: text}))

    def test_addresses_that_are_none_of_a_server(self):
        """Guards against ports out of range, host names, and packets to all hosts."""
        for address in ODD_ADDRESSES:
            with self.subTest(address[:40]):
                self.assert_refused(server_value(address=address))

    def test_deep_nesting(self):
        """Guards against a record that exhausts the parser's stack."""
        for value in (b"[" * 50_000, b'{"a":' * 20_000, b"[" * 2_000 + b"]" * 2_000):
            with self.subTest(value[:9]):
                self.assert_refused(value)
        nested: Any = 1
        for _ in range(500):
            nested = {"a": nested}
        for name in build_server_body().keys() - {"version"}:
            with self.subTest(name):
                self.assert_refused(server_value(**{name: nested}))

    def test_large_record(self):
        """Guards against a record whose parsing delays packets."""
        self.assert_refused(server_value(notes="x" * 1_000_000))

    def test_names_without_a_label(self):
        for name in ("xyz", "i-" + "f" * 17, ""):
            with self.subTest(name):
                self.assert_refused(server_value(), f"servers/{name}")

    def test_record_that_raises_does_not_drop_the_others(self):
        """Guards against changes that are lost with one record of their answer."""
        decode = self.steering.cluster_state._decoder.decode

        def fail_once(record: Record) -> object:
            if record.key == "servers/i-0f":
                raise ZeroDivisionError(record.key)
            return decode(record)

        self.steering.cluster_state._decoder.decode = fail_once
        self.write(server_value())
        self.assertIsNotNone(self.steering.servers.get("i-03"))
        [fields] = [fields for name, fields in self.events if name == "record_failed"]
        self.assertEqual(fields["key"], "servers/i-0f")

    @settings(max_examples=300, deadline=None)
    @given(
        ANY_JSON,
        st.sampled_from(sorted(build_server_body())),
    )
    def test_any_value_in_a_field(self, value, name):
        """Guards against whatever else another writer leaves in a field."""
        self.setUp()
        self.write(server_value(**{name: value}))
        self.assert_serves(only_good=False)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200) | ANY_JSON.map(lambda v: json.dumps(v).encode()))
    def test_any_bytes(self, value):
        self.setUp()
        self.write(value)
        self.assert_serves()
