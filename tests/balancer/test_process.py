"""Balancer processes on loopback: API, command line, signals and outages."""

import contextlib
import hashlib
import io
import json
import os
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

import requests

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator.client import Client, ConnectionSettings
from stoattray_operator.main import main as stoattrayctl
from stoattray_standin.local_system import local_system
from tests.builders import aula_core, lookup
from tests.certificates import write_certificate


def declare(client, model, revision=0):
    """Declare a service and return its revision."""
    document = model.model_dump(mode="json")
    return int(client.put_service(document, revision)["revision"])


class BalancerProcessTest(unittest.TestCase):
    """Up to three balancers and the platform stand-in."""

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

    def wait_revision(self, name, revision):
        deadline = time.monotonic() + 15
        while self.client(name).get_status()["revision"] < revision:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)

    def test_declare_conflict_and_in_force(self):
        self.start("b1", "b2")
        client = self.client()
        revision = declare(client, lookup())
        report = self.client("b2").get_status(revision, 10.0)
        self.assertTrue(report["in_force"])
        self.assertEqual(report["have"], ["b1", "b2"])
        with self.assertRaises(StoattrayError) as caught:
            declare(client, lookup())
        self.assertEqual(caught.exception.kind, ErrorKind.CONFLICT)
        self.assertIn(f"the current one is {revision}", caught.exception.reason)

    def test_address_of_another_service_is_refused(self):
        self.start("b1")
        declare(self.client(), lookup())
        with self.assertRaises(StoattrayError) as caught:
            declare(self.client(), aula_core(address=lookup().spec.address))
        self.assertEqual(caught.exception.kind, ErrorKind.CONFLICT)

    def test_policy_change_is_refused(self):
        self.start("b1")
        revision = declare(self.client(), lookup())
        with self.assertRaises(StoattrayError) as caught:
            declare(self.client(), lookup(policy="balance"), revision)
        self.assertEqual(caught.exception.kind, ErrorKind.INVALID_ARGUMENT)

    def test_invalid_requests(self):
        self.start("b1")
        url = self.system.balancers["b1"].api_url
        path = url + "/v1/organisations/tanglaw/services/lookup"
        cases = (
            ("PUT", path, b"{", 400),
            ("PUT", path, b" " * 2_000_000, 413),
            ("GET", path, b"", 404),
            ("GET", url + "/v1/nothing", b"", 404),
            ("DELETE", path, b"", 400),
            ("GET", url + "/v1/status?revision=x", b"", 400),
        )
        for method, target, body, status in cases:
            with self.subTest(method=method, target=target):
                response = requests.request(method, target, data=body, timeout=10)
                self.assertEqual(response.status_code, status)
                self.assertIn("reason", response.json()["error"])

    def test_command_line(self):
        self.start("b1")
        server = ["--server", self.system.balancers["b1"].api_url]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "services.json"
            models = [lookup(), aula_core()]
            path.write_text(json.dumps([m.model_dump(mode="json") for m in models]))
            apply = [*server, "apply", "-f", str(path)]
            self.assertIn("would change", self.run_command([*apply, "--dry-run"]))
            self.assertIn("created", self.run_command(apply))
            self.assertIn("unchanged", self.run_command(apply))
        self.assertIn("tanglaw/lookup", self.run_command([*server, "get", "tanglaw"]))
        self.assertIn("ferreyra", self.run_command([*server, "get"]))
        drain = [*server, "drain", "tanglaw/lookup", "lookup-1"]
        self.assertIn("draining", self.run_command(drain))
        describe = [*server, "describe", "tanglaw/lookup"]
        described = self.run_command(describe)
        self.assertIn("draining", described)
        self.assertIn("in force", described)
        status = [*server, "status", "-o", "json"]
        self.assertIn('"in_force": true', self.run_command(status))
        self.run_command([*server, "delete", "tanglaw/lookup"])
        self.run_command([*server, "get", "tanglaw/lookup"], status=3)
        wait = [*server, *server, "wait", "--for", "in-force", "--revision"]
        self.run_command([*wait, "1"])
        wait.append("99")
        self.run_command([*wait, "--timeout", "0.3"], status=8)
        self.run_command([*server, "apply", "-f", "/nowhere"], status=2)

    def run_command(self, arguments, status=0):
        output = io.StringIO()
        errors = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            exit_status = stoattrayctl(arguments)
        self.assertEqual(exit_status, status, errors.getvalue())
        return output.getvalue()

    def test_platform_outage(self):
        self.start("b1", "b2")
        revision = declare(self.client(), lookup())
        self.wait_revision("b2", revision)
        self.system.set_faults(down=True)
        with self.assertRaises(StoattrayError) as caught:
            declare(self.client(), aula_core())
        self.assertEqual(caught.exception.kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.system.add_balancer("b3")
        self.system.start_balancer("b3")
        self.system.wait_until_ready(["b3"])
        self.wait_revision("b3", revision)
        self.system.set_faults()
        new_revision = declare(self.client("b3"), aula_core())
        self.assertTrue(self.client("b3").get_status(new_revision, 20.0)["in_force"])

    def test_signals(self):
        self.start("b1", "b2")
        self.system.signal_balancer("b2", signal.SIGTERM)
        self.assertEqual(self.system.wait_for_exit("b2"), 0)
        self.assertIn("event=stopped", self.system.read_log("b2"))
        self.system.signal_balancer("b1", signal.SIGTERM)
        time.sleep(0.1)
        self.system.signal_balancer("b1", signal.SIGTERM)
        self.assertEqual(self.system.wait_for_exit("b1"), 143)

    def test_random_datagrams_are_counted(self):
        self.start("b1")
        balancer = self.system.balancers["b1"]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with sender:
            for port in (
                balancer.fabric_port,
                balancer.relay_port,
                balancer.peer_port,
            ):
                for size in (0, 1, 19, 40, 1_400, 60_000):
                    sender.sendto(os.urandom(size), ("127.0.0.1", port))
        time.sleep(0.5)
        counters = balancer.get_counters()
        self.assertGreater(counters["packet_truncated"], 0)
        self.assertGreater(counters["message_malformed"], 0)
        self.assertTrue(balancer.is_ready())
        self.assertNotIn("Traceback", self.system.read_log("b1"))

    def test_mutual_tls(self):
        folder = self.system.directory
        server_files = write_certificate(folder, "server")
        client_files = write_certificate(folder, "client")
        self.system.api_settings = {
            "plain_http": False,
            "tls": {
                "certificate_file": str(server_files[0]),
                "key_file": str(server_files[1]),
                "client_ca_file": str(client_files[0]),
            },
        }
        balancer = self.system.add_balancer("b1")
        self.system.start_balancer("b1")
        url = f"https://127.0.0.1:{balancer.api_port}"
        connection = ConnectionSettings(
            url,
            ca_file=str(server_files[0]),
            client_certificate_files=(str(client_files[0]), str(client_files[1])),
        )
        deadline = time.monotonic() + 15
        while True:
            try:
                revision = declare(Client(connection), lookup())
                break
            except StoattrayError as error:
                self.assertLess(time.monotonic(), deadline, error)
                time.sleep(0.2)
        self.assertGreater(revision, 0)
        with self.assertRaises(StoattrayError):
            Client(ConnectionSettings(url, ca_file=str(server_files[0]))).get_status()
        with self.assertRaises(StoattrayError):
            Client(ConnectionSettings(url)).get_status()

    def test_tokens_and_reload(self):
        balancer = self.system.add_balancer("b1")
        tokens = self.system.directory / "tokens.json"
        self.write_tokens(tokens, tanglaw="t-secret", ferreyra="f-secret")
        self.system.api_settings = {"tokens_file": str(tokens)}
        self.system.start_balancer("b1")
        self.system.wait_until_ready(["b1"])
        revision = declare(self.client(token="t-secret"), lookup())
        for token, kind in (
            (None, ErrorKind.UNAUTHENTICATED),
            ("wrong", ErrorKind.UNAUTHENTICATED),
            ("f-secret", ErrorKind.NOT_FOUND),
        ):
            with self.subTest(token), self.assertRaises(StoattrayError) as caught:
                self.client(token=token).get_service("tanglaw", "lookup")
            self.assertEqual(caught.exception.kind, kind)
        self.assertEqual(
            self.client(token="f-secret").list_organisations()["items"], []
        )
        with self.assertRaises(StoattrayError):
            declare(self.client(token="f-secret"), lookup(), revision)
        self.write_tokens(tokens, tanglaw="new-secret")
        balancer.process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        self.client(token="new-secret").get_service("tanglaw", "lookup")

    def write_tokens(self, path, **secrets):
        rows = [
            {
                "organisation": organisation,
                "token_sha256": hashlib.sha256(secret.encode()).hexdigest(),
            }
            for organisation, secret in secrets.items()
        ]
        path.write_text(json.dumps(rows))
