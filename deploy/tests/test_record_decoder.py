"""Valid, malformed and unrelated records of the store."""

import json
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st
from packet_builders import (
    build_configuration_body,
    build_configuration_record,
    build_server_body,
    build_server_record,
)

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import (
    BackendServerEntry,
    Configuration,
    Evacuation,
    RequestKind,
    WarmUp,
)
from stoattray_core.steering.replica import Record
from stoattray_platform.record_decoder import (
    MAX_TIME_MILLIS,
    MAX_WEIGHT,
    PlatformRecordDecoder,
)

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


class ServerRecordTest(unittest.TestCase):
    """Records that backend servers write."""

    def setUp(self):
        self.decoder = PlatformRecordDecoder()

    def test_valid_entry(self):
        entry = self.decoder.decode(build_server_record(state="draining"))
        self.assertEqual(
            entry,
            BackendServerEntry(
                name="i-7f3a91c2",
                label=b"\x00\x00\x00\x00\x7f\x3a\x91\xc2",
                service="huvo11a",
                address=("10.128.0.9", 8_080),
                data_centre="luzon-a",
                capacity=2,
                is_draining=True,
                warmup_remaining_millis=0,
                started_at=1_770_000_000_000,
                sequence=4,
            ),
        )

    def test_malformed_entries(self):
        changes = (
            {"capacity": "2"},
            {"capacity": True},
            {"capacity": -1},
            {"sequence": "1"},
            {"sequence": -1},
            {"state": "resting"},
            {"state": None},
            {"service": 5},
            {"address": "10.128.0.9"},
            {"address": "10.128.0.999:80"},
            {"address": "10.128.0.9:http"},
            {"warmup_remaining_ms": None},
            {"born": 1.5},
        )
        for change in changes:
            with self.subTest(change):
                refused = self.decoder.decode(build_server_record(**change))
                self.assertEqual(refused.kind, ErrorKind.ENTRY_MALFORMED)

    def test_missing_fields(self):
        for name in set(build_server_body()) - {"version", "sequence", "born"}:
            body = build_server_body()
            del body[name]
            record = Record("servers/i-1", 5, json.dumps(body).encode())
            with self.subTest(name):
                self.assertIsInstance(self.decoder.decode(record), Refused)

    def test_unreadable_bytes(self):
        for value in (b"", b"\xff\xfe", b"[]", b"null", b"[" * 100_000):
            record = Record("servers/i-1", 5, value)
            self.assertIsInstance(self.decoder.decode(record), Refused)

    def test_key_without_hex_digits(self):
        self.assertIsInstance(self.decoder.decode(build_server_record("xyz")), Refused)

    def test_backend_server_name_of_a_key(self):
        self.assertEqual(self.decoder.backend_server_name("servers/i-1"), "i-1")
        self.assertIsNone(self.decoder.backend_server_name("op/config"))

    def test_records_of_other_systems_are_ignored(self):
        self.assertIsNone(self.decoder.decode(Record("my/leader", 1, b"x")))

    @given(ANY_JSON, st.sampled_from(sorted(build_server_body())))
    def test_arbitrary_value_in_a_field_is_decoded_or_refused(self, value, name):
        entry = self.decoder.decode(build_server_record(**{name: value}))
        self.assertIsInstance(entry, BackendServerEntry | Refused)

    @given(st.sampled_from(["op/config", "servers/i-1", "stoattray/members/a"]))
    def test_incomplete_documents_are_refused(self, key):
        for value in (b"{}", b'{"a":1}', b"\x93\x01", b'"x"', b"\x00"):
            self.assertIsInstance(self.decoder.decode(Record(key, 1, value)), Refused)


class ConfigurationRecordTest(unittest.TestCase):
    """Configurations that operators write."""

    def setUp(self):
        self.decoder = PlatformRecordDecoder()

    def test_target_latency_and_timeout_of_routes(self):
        decoded = self.decoder.decode(build_configuration_record())
        times = [
            (route.target_latency_millis, route.timeout_millis)
            for route in decoded.routes.values()
        ]
        self.assertEqual(times, [(120, 800), (None, 1_000)])

    def test_priorities_are_taken_as_configured(self):
        decoded = self.decoder.decode(build_configuration_record())
        priorities = [route.priority for route in decoded.routes.values()]
        self.assertEqual(priorities, [2, 1])

    def test_unusual_priority_does_not_refuse_the_configuration(self):
        body = build_configuration_body()
        for value, expected in ((-1, 0), (1.0, 1), (math.inf, 1_000_000)):
            body["routes"][0]["priority"] = value
            record = build_configuration_record(routes=body["routes"])
            with self.subTest(value):
                route = next(iter(self.decoder.decode(record).routes.values()))
                self.assertEqual(route.priority, expected)

    def test_routes_and_shares(self):
        read = self.decoder.decode(build_configuration_record())
        self.assertIsInstance(read, Configuration)
        split = read.routes[bytes.fromhex("c612000101bb")]
        self.assertEqual(split.service_weights, (("huvo11a", 90), ("wuno96b", 10)))
        plain = read.routes[bytes.fromhex("c61200011f90")]
        self.assertEqual(plain.service_weights, (("huvo11a", 1),))
        self.assertIs(plain.kind, RequestKind.NON_IDEMPOTENT)
        self.assertEqual((read.version, read.idle_timeout_millis), (7, 15_000))

    def warm_ups(self, services):
        decoded = self.decoder.decode(build_configuration_record(services=services))
        self.assertIsInstance(decoded, Configuration)
        return decoded.warm_ups

    def test_warm_ups_of_services(self):
        """Guards against a limit that is lost, also a rate of 0."""
        services = [
            {"name": "huvo11a", "warmup_s": 2.0, "warmup_per_s": 0.0},
            {"name": "wuno96b", "warmup_s": 0.5, "warmup_per_s": 3},
        ]
        expected = {"huvo11a": WarmUp(2_000, 0.0), "wuno96b": WarmUp(500, 3.0)}
        self.assertEqual(self.warm_ups(services), expected)

    def test_missing_or_malformed_warm_ups_mean_no_limit(self):
        """Guards against a configuration that one service's value refuses."""
        valid = {"name": "wuno96b", "warmup_s": 1, "warmup_per_s": 2.5}
        malformed = (
            {"name": "huvo11a"},
            {"name": "huvo11a", "warmup_s": 2.0},
            {"name": "huvo11a", "warmup_per_s": 2.0},
            {"name": "huvo11a", "warmup_s": "2", "warmup_per_s": 1.0},
            {"name": "huvo11a", "warmup_s": True, "warmup_per_s": 1.0},
            {"name": "huvo11a", "warmup_s": -1, "warmup_per_s": 1.0},
            {"name": "huvo11a", "warmup_s": 2.0, "warmup_per_s": None},
            {"name": "huvo11a", "warmup_s": 2.0, "warmup_per_s": float("nan")},
            {"name": "huvo11a", "warmup_s": float("inf"), "warmup_per_s": 1.0},
            {"name": "huvo11a", "warmup_s": 1e300, "warmup_per_s": 1.0},
            {"name": ["huvo11a"], "warmup_s": 2.0, "warmup_per_s": 1.0},
            {"warmup_s": 2.0, "warmup_per_s": 1.0},
            ["huvo11a"],
            None,
        )
        for item in malformed:
            with self.subTest(item):
                self.assertEqual(
                    self.warm_ups([item, valid]), {"wuno96b": WarmUp(1_000, 2.5)}
                )
        for services in (None, {}, "huvo11a", 3):
            with self.subTest(services):
                self.assertEqual(self.warm_ups(services), {})

    def test_long_times_and_large_weights_are_clipped(self):
        """Guards against a number that no calculation with floats can take."""
        body = build_configuration_body(limits={"idle_timeout_ms": 10**400})
        for name in ("target_latency_ms", "timeout_ms"):
            body["routes"][0][name] = 10**400
        body["routes"][0]["backends"][0]["weight"] = 10**400
        decoded = self.decoder.decode(build_configuration_record(**body))
        route = next(iter(decoded.routes.values()))
        self.assertEqual(
            (route.target_latency_millis, route.timeout_millis),
            (MAX_TIME_MILLIS, MAX_TIME_MILLIS),
        )
        self.assertEqual(decoded.idle_timeout_millis, MAX_TIME_MILLIS)
        self.assertEqual(route.service_weights[0], ("huvo11a", MAX_WEIGHT))

    def test_port_out_of_range_is_malformed(self):
        """Guards against an error that no decoder expects."""
        for prefix in ("/0/", "/65536/", "/-1/", "/4_43/", "//", "/x/"):
            body = build_configuration_body()
            body["routes"][0]["prefix"] = prefix
            refused = self.decoder.decode(build_configuration_record(**body))
            with self.subTest(prefix):
                self.assertEqual(refused.kind, ErrorKind.ENTRY_MALFORMED)

    def test_unknown_kind_is_treated_as_non_idempotent(self):
        body = build_configuration_body()
        body["routes"][0]["type"] = "new-kind"
        read = self.decoder.decode(build_configuration_record(routes=body["routes"]))
        kinds = {route.kind for route in read.routes.values()}
        self.assertEqual(kinds, {RequestKind.NON_IDEMPOTENT})

    @given(ANY_JSON, st.sampled_from(sorted(build_configuration_body())))
    def test_arbitrary_value_in_a_field_is_decoded_or_refused(self, value, name):
        entry = self.decoder.decode(build_configuration_record(**{name: value}))
        self.assertIsInstance(entry, Configuration | Refused)


class EvacuationRecordTest(unittest.TestCase):
    """Keys by which operators evacuate a data centre."""

    def setUp(self):
        self.decoder = PlatformRecordDecoder()

    @given(st.binary())
    def test_value_is_not_read(self, value):
        """Guards against an evacuation that is ignored because of its value."""
        record = Record("op/evacuate/luzon-a", 3, value)
        self.assertEqual(self.decoder.decode(record), Evacuation("luzon-a"))

    def test_key_without_a_data_centre_is_malformed(self):
        """Guards against an evacuation that is ignored without a log line."""
        entry = self.decoder.decode(Record("op/evacuate/", 3, b"{}"))
        self.assertEqual(entry.kind, ErrorKind.ENTRY_MALFORMED)
        self.assertIsNone(self.decoder.evacuated_data_centre("op/evacuate/"))

    def test_data_centre_of_a_key(self):
        """Guards against removals that do not end the evacuation."""
        names = {
            key: self.decoder.evacuated_data_centre(key)
            for key in ("op/evacuate/luzon-a", "op/config", "servers/i-1", "op/evacuat")
        }
        self.assertEqual(names.pop("op/evacuate/luzon-a"), "luzon-a")
        self.assertEqual(set(names.values()), {None})
        self.assertIsNone(self.decoder.backend_server_name("op/evacuate/luzon-a"))

    def test_configuration_and_other_operator_keys_are_no_evacuation(self):
        """Guards against a prefix that takes further keys of operators."""
        self.assertIsNone(self.decoder.decode(Record("op/evacuated", 1, b"{}")))
