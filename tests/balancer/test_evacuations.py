"""Evacuations through the API and the command line of real processes."""

import contextlib
import hashlib
import io
import json
import time
import unittest
from unittest import mock

import requests

from stoattray_balancer._config_store import ConfigStore
from stoattray_balancer._evacuations import Evacuations
from stoattray_balancer._store import Store
from stoattray_core import Core, ErrorKind, Refused, StoattrayError
from stoattray_core.resources import EvacuationModel
from stoattray_operator.client import Client, ConnectionSettings
from stoattray_operator.main import main as stoattrayctl
from stoattray_standin.local_system import local_system
from tests.builders import lookup


class EvacuationProcessTest(unittest.TestCase):
    """Up to two balancers and the platform stand-in."""

    def setUp(self):
        self.system = self.enterContext(local_system(drain_seconds=0.5))
        self.system.start_platform()

    def start(self, *names):
        for name in names:
            self.system.add_balancer(name)
        for name in names:
            self.system.start_balancer(name)
        self.system.wait_until_ready(list(names))

    def client(self, name="b1", token=None):
        return Client(ConnectionSettings(self.system.balancers[name].api_url, token))

    def declare(self, client):
        document = lookup(data_centres=("dc1", "dc2")).model_dump(mode="json")
        return int(client.put_service(document, 0)["revision"])

    def run_command(self, *arguments, status=0):
        server = ["--server", self.system.balancers["b1"].api_url]
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            exit_status = stoattrayctl([*server, *arguments])
        self.assertEqual(exit_status, status, errors.getvalue())
        return output.getvalue(), errors.getvalue()

    def test_evacuation_reaches_all_balancers_and_ends(self):
        """Guards against evacuations that only the asked balancer applies."""
        self.start("b1", "b2")
        client = self.client()
        self.declare(client)
        response = client.put_evacuation("dc2", 0)
        self.assertEqual((response["n_servers"], response["warnings"]), (3, []))
        revision = response["revision"]
        status = self.client("b2").get_status(revision, 10.0)
        self.assertTrue(status["in_force"])
        expected = {"data_centre": "dc2", "revision": revision, "n_servers": 3}
        self.assertEqual(status["evacuations"], [expected])
        self.assertEqual(client.get_evacuation("dc2"), expected)
        self.assertIn("event=evacuation data_centre=dc2", self.system.read_log("b2"))
        ended = client.delete_evacuation("dc2", revision)["revision"]
        status = self.client("b2").get_status(ended, 10.0)
        self.assertEqual(status["evacuations"], [])

    def test_conflicts_and_missing_evacuations(self):
        """Guards against changes that are not based on the current revision."""
        self.start("b1")
        client = self.client()
        first = client.put_evacuation("dc9", 0)["revision"]
        for change, kind in (
            (lambda: client.put_evacuation("dc9", 0), ErrorKind.CONFLICT),
            (lambda: client.delete_evacuation("dc9", first + 1), ErrorKind.CONFLICT),
            (lambda: client.delete_evacuation("dc8", 1), ErrorKind.NOT_FOUND),
            (lambda: client.get_evacuation("dc8"), ErrorKind.NOT_FOUND),
            (lambda: client.put_evacuation("No DC", 0), ErrorKind.INVALID_ARGUMENT),
            (lambda: client.get_evacuation("a/b"), ErrorKind.NOT_FOUND),
            (lambda: client.put_evacuation("dc7", -1), ErrorKind.INVALID_ARGUMENT),
        ):
            with self.subTest(kind=kind), self.assertRaises(StoattrayError) as caught:
                change()
            self.assertEqual(caught.exception.kind, kind)
        self.assertGreater(client.put_evacuation("dc9", first)["revision"], first)

    def test_platform_outage_changes_nothing(self):
        """Guards against evacuations that are reported but not stored."""
        self.start("b1")
        self.system.set_faults(down=True)
        with self.assertRaises(StoattrayError) as caught:
            self.client().put_evacuation("dc2", 0)
        self.assertEqual(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.system.set_faults()
        self.assertEqual(self.client().get_status()["evacuations"], [])

    def test_tokens(self):
        """Guards against one organisation evacuating the servers of the others."""
        tokens = self.system.directory / "tokens.json"
        rows = [
            {
                "organisation": organisation,
                "token_sha256": hashlib.sha256(secret.encode()).hexdigest(),
            }
            for organisation, secret in (
                ("tanglaw", "t"),
                ("ferreyra", "f"),
                ("*", "all"),
            )
        ]
        tokens.write_text(json.dumps(rows))
        self.system.api_settings = {"tokens_file": str(tokens)}
        self.start("b1")
        self.declare(self.client(token="t"))
        for token, kind in (
            (None, ErrorKind.UNAUTHENTICATED),
            ("wrong", ErrorKind.UNAUTHENTICATED),
            ("t", ErrorKind.FORBIDDEN),
        ):
            client = self.client(token=token)
            for change in (client.put_evacuation, client.delete_evacuation):
                with self.subTest(token), self.assertRaises(StoattrayError) as caught:
                    change("dc2", 1)
                self.assertEqual(caught.exception.kind, kind)
        self.client(token="all").put_evacuation("dc2", 0)
        for token, n_servers in (("t", 3), ("f", 0), ("all", 3)):
            with self.subTest(token):
                item = self.client(token=token).get_evacuation("dc2")
                self.assertEqual(item["n_servers"], n_servers)
        url = self.system.balancers["b1"].api_url + "/v1/evacuations"
        self.assertEqual(requests.get(url, timeout=5).status_code, 401)

    def test_command_line(self):
        """Guards against a command that ends with the wrong status or no warning."""
        self.start("b1")
        self.declare(self.client())
        output, errors = self.run_command("evacuate", "dc2")
        self.assertIn("3 backend servers", output)
        self.assertEqual(errors, "")
        self.assertIn("unchanged", self.run_command("evacuate", "dc2")[0])
        self.run_command("evacuate", "dc2", "--revision", "0", status=6)
        self.assertIn("dc2", self.run_command("describe", "tanglaw/lookup")[0])
        status, _ = self.run_command("status")
        self.assertIn("EVACUATED DATA CENTRE", status)
        status, _ = self.run_command("status", "-o", "json")
        self.assertEqual(json.loads(status)["evacuations"][0]["data_centre"], "dc2")
        self.assertIn("ended", self.run_command("evacuate", "--end", "dc2")[0])
        self.run_command("evacuate", "--end", "dc2", status=3)
        output, errors = self.run_command("evacuate", "nowhere")
        self.assertIn("no backend server in force", errors)
        self.assertIn("0 backend servers", output)
        status, _ = self.run_command("status")
        self.assertNotIn("dc2", status)

    def test_evacuation_is_known_after_a_restart(self):
        """Guards against balancers that start during an evacuation and ignore it."""
        self.start("b1")
        revision = self.client().put_evacuation("dc2", 0)["revision"]
        self.start("b2")
        deadline = time.monotonic() + 15
        while True:
            status = self.client("b2").get_status()
            if status["revision"] >= revision:
                break
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)
        self.assertEqual(status["evacuations"][0]["data_centre"], "dc2")


class LostAnswerTest(unittest.TestCase):
    """The reason of an error whose outcome is unknown."""

    def test_reason_names_the_command_that_shows_the_outcome(self):
        """Guards against a hint to a command that does not show evacuations."""
        store = mock.Mock(spec=Store)
        store.get.return_value = None
        store.write.return_value = Refused(ErrorKind.OUTCOME_UNKNOWN, "change c")
        core = mock.Mock(spec=Core)
        evacuations = Evacuations(core, ConfigStore(core, store))
        with self.assertRaises(StoattrayError) as caught:
            evacuations.put(EvacuationModel(data_centre="dc2"), 0)
        self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertIn("check with: stoattrayctl status", caught.exception.reason)
        core.on_config.assert_not_called()
