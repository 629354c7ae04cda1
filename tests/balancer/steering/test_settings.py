"""Valid settings are read; errors name the setting and its value."""

import json
import tempfile
import unittest
from pathlib import Path

from stoattray_balancer.steering.settings import load_steering_settings
from stoattray_core._errors import ErrorKind, StoattrayError
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.warm_up_budget import WarmUpBounds

VALID_SETTINGS = {
    "member": "edge-1",
    "data_centre": "luzon-a",
    "host": "10.1.0.10",
    "seed_server": "10.1.0.10:8166",
    "metrics_port": 9464,
    "peer_port": 7720,
    "seeds": ["10.1.0.10:8166"],
    "store": "10.200.1.7:8169",
    "store_reads_per_second": 2000,
    "min_lease_ms": 1000,
    "flow_life_seconds": 60,
    "grace_seconds": 6,
}


class SteeringSettingsTest(unittest.TestCase):
    """Reading a settings file."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_text(text)
            return load_steering_settings(str(path))

    def test_valid_settings(self):
        settings = self.load(json.dumps(VALID_SETTINGS))
        self.assertEqual(settings.store, ("10.200.1.7", 8_169))
        self.assertEqual(settings.grace_ms, 6_000)
        self.assertEqual(settings.seed_server, ("10.1.0.10", 8_166))

    def load_remote_traffic(self, value):
        return self.load(json.dumps({**VALID_SETTINGS, "remote_traffic": value}))

    def test_traffic_between_data_centres_is_unlimited_by_default(self):
        self.assertIsNone(self.load(json.dumps(VALID_SETTINGS)).remote_traffic)

    def test_limits_of_traffic_between_data_centres(self):
        limits = self.load_remote_traffic({"min_round_trip_ms": 4}).remote_traffic
        self.assertEqual(limits, RemoteTrafficSettings(4, 0.0))
        limits = self.load_remote_traffic({"min_round_trip_ms": 4, "price_ms": 50.5})
        self.assertEqual(limits.remote_traffic, RemoteTrafficSettings(4, 50.5))

    def test_limits_of_traffic_out_of_range(self):
        """Guards against settings that are taken over without their meaning."""
        for value, name in [
            ({}, "remote_traffic.min_round_trip_ms"),
            ({"min_round_trip_ms": -1}, "remote_traffic.min_round_trip_ms"),
            ({"min_round_trip_ms": 1_001}, "remote_traffic.min_round_trip_ms"),
            ({"min_round_trip_ms": True}, "remote_traffic.min_round_trip_ms"),
            ({"min_round_trip_ms": 4, "price_ms": "0"}, "remote_traffic.price_ms"),
            ({"min_round_trip_ms": 4, "price_ms": -1}, "remote_traffic.price_ms"),
            ([], "remote_traffic"),
            (4, "remote_traffic"),
        ]:
            with self.subTest(value=value), self.assertRaises(StoattrayError) as caught:
                self.load_remote_traffic(value)
            self.assertIn(f"{name}:", caught.exception.reason)

    def test_without_seed_server(self):
        settings = self.load(
            json.dumps({**VALID_SETTINGS, "seed_server": "", "seeds": []})
        )
        self.assertIsNone(settings.seed_server)

    def test_advertised_host_defaults_to_host(self):
        self.assertEqual(
            self.load(json.dumps(VALID_SETTINGS)).advertised_host,
            VALID_SETTINGS["host"],
        )
        settings = self.load(
            json.dumps({**VALID_SETTINGS, "advertised_host": "10.9.0.1"})
        )
        self.assertEqual(settings.advertised_host, "10.9.0.1")

    def test_switch_of_earlier_versions_is_ignored(self):
        """Guards against a process that a settings file of an older build stops."""
        settings = self.load(json.dumps(VALID_SETTINGS))
        for values in ({}, {"queue_places": 5}):
            changed = self.load(json.dumps({**VALID_SETTINGS, "contention": values}))
            self.assertEqual(changed, settings)

    def test_warm_up_bounds_are_optional(self):
        """Guards against a limit that nobody asked for, and a lost one."""
        settings = self.load(json.dumps(VALID_SETTINGS))
        self.assertIsNone(settings.warm_up_bounds)
        figures = {"warm_up_overage": 1.5, "warm_up_slack": 5}
        settings = self.load(json.dumps({**VALID_SETTINGS, **figures}))
        self.assertEqual(settings.warm_up_bounds, WarmUpBounds(1.5, 5.0))

    def test_warm_up_bounds_are_both_valid_or_refused(self):
        """Guards against a limit from half of the figures, or out of range."""
        cases = (
            {"warm_up_overage": 1.5},
            {"warm_up_slack": 5},
            {"warm_up_overage": -0.1, "warm_up_slack": 5},
            {"warm_up_overage": "1.5", "warm_up_slack": 5},
            {"warm_up_overage": 1.5, "warm_up_slack": True},
            {"warm_up_overage": 1.5, "warm_up_slack": 1e7},
            {"warm_up_overage": 1.5, "warm_up_slack": float("nan")},
            {"warm_up_overage": 1.5, "warm_up_slack": None},
        )
        for figures in cases:
            with self.subTest(figures), self.assertRaises(StoattrayError) as raised:
                self.load(json.dumps({**VALID_SETTINGS, **figures}))
            self.assertIn("warm_up_", raised.exception.reason)

    def test_error_of_an_invalid_value_names_the_setting(self):
        changes = (
            {"peer_port": 0},
            {"peer_port": "7720"},
            {"grace_seconds": True},
            {"store": "10.200.1.7"},
            {"store": "10.200.1.7:99999"},
            {"seeds": "10.1.0.10:8166"},
            {"seeds": [5]},
            {"member": 7},
            {"flow_life_seconds": 0},
            {"log_level": "debug"},
        )
        for change in changes:
            with self.subTest(change), self.assertRaises(StoattrayError) as caught:
                self.load(json.dumps({**VALID_SETTINGS, **change}))
            self.assertEqual(caught.exception.kind, ErrorKind.INVALID_ARGUMENT)
            self.assertIn(next(iter(change)), caught.exception.reason)

    def test_missing_values_and_unreadable_files(self):
        for name in set(VALID_SETTINGS) - {"seed_server", "log_level"}:
            values = {
                key: value for key, value in VALID_SETTINGS.items() if key != name
            }
            with self.subTest(name), self.assertRaises(StoattrayError):
                self.load(json.dumps(values))
        for text in ("", "[]", "{"):
            with self.subTest(text), self.assertRaises(StoattrayError):
                self.load(text)
        with self.assertRaises(StoattrayError):
            load_steering_settings("/nowhere/settings.json")
