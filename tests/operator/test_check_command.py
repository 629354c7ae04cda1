"""Output and exit statuses of ``stoattrayctl check``."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from stoattray_core import ErrorKind, StoattrayError
from stoattray_operator._check_in_force import (
    InForce,
    find_changed_policies,
    find_differences,
    find_evacuated_services,
    find_taken_addresses,
)
from stoattray_operator.main import main
from stoattray_standin.local_system import local_system
from tests.operator.check_builders import check, server, service

UNREACHABLE = ("--server", "http://127.0.0.1:9")


class CommandTestCase(unittest.TestCase):
    """Base that writes a declaration to a file and runs the command on it."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "services.json"

    def run_command(self, *documents, before=(), options=("--offline",)):
        self.path.write_text(json.dumps(documents, indent=1))
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            status = main([*before, "check", str(self.path), *options])
        return status, output.getvalue(), errors.getvalue()


class OfflineTest(CommandTestCase):
    """The command without a balancer's API."""

    def test_exit_statuses(self):
        """Guards against jobs that pass or fail on the wrong severity."""
        warned = service(server(state="draining"))
        for documents, expected in (
            ((service(),), 0),
            ((warned,), 1),
            ((service(port=0),), 2),
            ((warned, service(port=0, name="b")), 2),
        ):
            with self.subTest(expected):
                self.assertEqual(self.run_command(*documents)[0], expected)

    def test_text_names_file_line_and_place(self):
        """Guards against lines that editors can't follow to the file."""
        _, output, _ = self.run_command(service(port=0))
        lines = self.path.read_text().splitlines()
        number = next(n for n, line in enumerate(lines, 1) if '"port": 0' in line)
        self.assertIn(f"{self.path}:{number}: error: $[0].spec.port: value 0", output)
        self.assertIn("errors: 1, warnings: 0", output)
        self.assertIn("not compared", output)

    def test_json_has_every_field(self):
        """Guards against output that programs can't read."""
        status, output, _ = self.run_command(
            service(port=0), options=("--offline", "-o", "json")
        )
        self.assertEqual(status, 2)
        document = json.loads(output)
        self.assertIsNone(document["in_force"])
        (finding,) = document["findings"]
        keys = {"severity", "rule", "path", "line", "problem", "expected"}
        self.assertEqual(set(finding), keys)
        self.assertEqual(finding["severity"], "error")

    def test_standard_input(self):
        """Guards against a check that can't stand in a pipe before apply."""
        text = io.StringIO(json.dumps(service()))
        output = io.StringIO()
        with mock.patch.object(sys, "stdin", text), contextlib.redirect_stdout(output):
            self.assertEqual(main(["check", "-", "--offline"]), 0)

    def test_missing_file(self):
        """Guards against a traceback, and against status 0 or 1."""
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            self.assertEqual(main(["check", "/nowhere", "--offline"]), 2)
        self.assertIn("expected a readable JSON file", errors.getvalue())

    def test_unreachable_api(self):
        """Guards against a status that tells nothing of the missing comparison.

        What the check found is printed nevertheless, and errors take precedence.
        """
        status, output, errors = self.run_command(
            service(server(state="draining")), before=UNREACHABLE, options=()
        )
        self.assertEqual(status, 5)
        self.assertIn("no_active_server", output)
        self.assertIn("unreachable", errors)
        status, output, errors = self.run_command(
            service(port=0), before=UNREACHABLE, options=()
        )
        self.assertEqual(status, 2)
        self.assertIn("unreachable", errors)


class InForceTest(unittest.TestCase):
    """Comparison with a version in force."""

    def in_force(self, *documents, evacuated=()):
        services = {
            item.service.service: item.service.model_dump(mode="json")
            for item in check(*documents).services
        }
        return InForce(7, services, frozenset(evacuated))

    def find(self, rule, in_force, *documents):
        return [fault.path for fault in rule(check(*documents).services, in_force)]

    def test_differences(self):
        """Guards against changes that the operator does not see before apply."""
        in_force = self.in_force(
            service(server(), server("s2", 2)),
            service(name="same", host=11),
            service(name="other", host=12),
        )
        changed = service(server(weight=3), server("s3", 3), idle_limit_seconds=60)
        documents = (
            changed,
            service(name="same", host=11),
            service(name="new", host=13),
        )
        differences = find_differences(check(*documents).services, in_force)
        results = [(item.service, item.result) for item in differences]
        expected = [
            ("acme/web", "changed"),
            ("acme/same", "unchanged"),
            ("acme/new", "created"),
            ("acme/other", "not declared"),
        ]
        self.assertEqual(results, expected)
        changes = {item.path: item for item in differences[0].changes}
        path = "spec.backend_servers"
        names = {
            "spec.idle_limit_seconds",
            f"{path}[s1].weight",
            f"{path}[s2]",
            f"{path}[s3]",
        }
        self.assertEqual(set(changes), names)
        weight = changes[f"{path}[s1].weight"]
        self.assertEqual((weight.before, weight.after), (1, 3))
        self.assertIsNone(changes[f"{path}[s2]"].after)
        self.assertIsNone(changes[f"{path}[s3]"].before)

    def test_order_of_servers_is_no_difference(self):
        """Guards against differences that change nothing."""
        in_force = self.in_force(service(server(), server("s2", 2)))
        services = check(service(server("s2", 2), server())).services
        (difference,) = find_differences(services, in_force)
        self.assertEqual(difference.result, "unchanged")

    def test_changed_policy(self):
        """Guards against a change that the API refuses."""
        in_force = self.in_force(service())
        path = (0, "spec", "policy")
        changed = service(policy="balance")
        self.assertEqual(self.find(find_changed_policies, in_force, changed), [path])
        self.assertEqual(self.find(find_changed_policies, in_force, service()), [])

    def test_taken_address(self):
        """Guards against conflicts with services in force, in the order of apply."""
        in_force = self.in_force(service())
        taker = service(name="b")
        path = (0, "spec", "address")
        self.assertEqual(self.find(find_taken_addresses, in_force, taker), [path])
        moved = service(host=11)
        self.assertEqual(self.find(find_taken_addresses, in_force, moved, taker), [])
        found = self.find(find_taken_addresses, in_force, taker, moved)
        self.assertEqual(found, [path])
        # Two new services at one address are a fault of the file alone.
        twice = (service(name="c", host=12), service(name="d", host=12))
        self.assertEqual(self.find(find_taken_addresses, in_force, *twice), [])

    def test_evacuated_service(self):
        """Guards against a declaration that is refused until an evacuation ends."""
        in_force = self.in_force(evacuated=["dc1"])
        placed = server(data_centre="dc1")
        path = (0, "spec", "backend_servers")
        found = self.find(find_evacuated_services, in_force, service(placed))
        self.assertEqual(found, [path])
        elsewhere = service(placed, server("s2", 2, data_centre="dc2"))
        self.assertEqual(self.find(find_evacuated_services, in_force, elsewhere), [])


class ProcessTest(CommandTestCase):
    """The command against a real balancer."""

    def test_comparison_with_a_balancer(self):
        """Guards against differences and refusals that the API does not confirm."""
        system = self.enterContext(local_system(drain_seconds=0.5))
        system.start_platform()
        balancer = system.add_balancer("b1")
        system.start_balancer("b1")
        system.wait_until_ready(["b1"])
        at_balancer = {"before": ("--server", balancer.api_url), "options": ()}
        status, output, _ = self.run_command(service(), **at_balancer)
        self.assertEqual(status, 0)
        self.assertIn("acme/web: created", output)
        client = balancer.create_client()
        client.put_service(service(), 0)
        status, output, _ = self.run_command(service(), **at_balancer)
        self.assertEqual(status, 0)
        self.assertIn("none", output)
        status, output, _ = self.run_command(service(server(weight=2)), **at_balancer)
        self.assertEqual(status, 0)
        self.assertIn("spec.backend_servers[s1].weight: 1 -> 2", output)
        for document, rule, kind in (
            (service(policy="balance"), "changed_policy", ErrorKind.INVALID_ARGUMENT),
            (service(name="b"), "taken_address", ErrorKind.CONFLICT),
        ):
            with self.subTest(rule):
                status, output, _ = self.run_command(document, **at_balancer)
                self.assertEqual(status, 2)
                self.assertIn(f"[{rule}]", output)
                revision = client.get_revision("acme", document["name"])
                with self.assertRaises(StoattrayError) as caught:
                    client.put_service(document, revision)
                self.assertEqual(caught.exception.kind, kind)
        client.put_evacuation("dc1", 0)
        evacuated = service(server(data_centre="dc1"))
        status, output, _ = self.run_command(evacuated, **at_balancer)
        self.assertEqual(status, 1)
        self.assertIn("[evacuated_service]", output)
