"""Errors about invalid settings are one line, name the key and give status 2."""

import contextlib
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from stoattray_balancer.settings import load_settings
from stoattray_balancer.settings_page import build_page
from stoattray_core import StoattrayError
from stoattray_core.resources import parse_service
from tests.builders import lookup, settings

ROOT = Path(__file__).parents[2]


@contextlib.contextmanager
def settings_file(content):
    """Provide a temporary settings file with the given content."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text)
        yield path


class LoadSettingsTest(unittest.TestCase):
    """Validation of settings files."""

    def error_text(self, content):
        raises = self.assertRaises(StoattrayError)
        with settings_file(content) as path, raises as caught:
            load_settings(path)
        self.assertEqual(caught.exception.response.exit_status, 2)
        self.assertNotIn("\n", str(caught.exception))
        return str(caught.exception)

    def test_valid_settings(self):
        with settings_file(settings()) as path:
            self.assertEqual(load_settings(path).member, "b1")

    def test_invalid_settings(self):
        cases = {
            "colour": settings(colour="red"),
            "fabric_port": settings(fabric_port="many"),
            "host": settings(host="here"),
            "must differ": settings(peer_port=7001),
            "seeds.0": settings(seeds=["nowhere"]),
            "api.tls": settings(api={"port": 7005}),
            "only on loopback": settings(host="192.0.2.1"),
            "member": {**settings(), "member": None},
        }
        for expected, content in cases.items():
            with self.subTest(expected):
                self.assertIn(expected, self.error_text(content))

    def test_not_json_and_too_large(self):
        self.assertIn("JSON", self.error_text("{"))
        self.assertIn("smaller", self.error_text(" " * 2_000_000))

    def test_command_line(self):
        for content, status in ((settings(), 0), (settings(colour="red"), 2)):
            with settings_file(content) as path:
                command = ["-m", "stoattray_balancer.main", "check-config", str(path)]
                completed = subprocess.run(
                    [sys.executable, *command], capture_output=True, text=True
                )
            self.assertEqual(completed.returncode, status, completed.stderr)
            self.assertNotIn("Traceback", completed.stderr)

    def test_example_is_valid(self):
        load_settings(ROOT / "examples" / "settings.json")

    def test_page_is_up_to_date(self):
        page = ROOT / "docs" / "operators" / "settings.md"
        self.assertEqual(page.read_text(), build_page())


class ParseServiceTest(unittest.TestCase):
    """Validation of declared services."""

    def error_text(self, document):
        with self.assertRaises(StoattrayError) as caught:
            parse_service(json.dumps(document))
        return str(caught.exception)

    def test_invalid_services(self):
        valid = lookup().model_dump(mode="json")
        spec = valid["spec"]
        first = spec["backend_servers"][0]
        no_address = {key: value for key, value in spec.items() if key != "address"}
        twice = {**spec, "backend_servers": [first, {**first, "name": "other"}]}
        cases = {
            "spec.address": {**valid, "spec": no_address},
            "given twice": {**valid, "spec": twice},
            "spec.port": {**valid, "spec": {**spec, "port": 0}},
            "name": {**valid, "name": "Not A Name"},
        }
        for expected, document in cases.items():
            with self.subTest(expected):
                self.assertIn(expected, self.error_text(document))

    def test_too_large(self):
        with self.assertRaises(StoattrayError) as caught:
            parse_service(io.StringIO(" " * 2_000_000).read())
        self.assertIn("expected 32768 at most", str(caught.exception))
