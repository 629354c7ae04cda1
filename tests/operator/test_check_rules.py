"""Each rule of the check finds its fault and nothing in declarations without it."""

import json
import unittest
from pathlib import Path

from stoattray_core.configuration import ServerState
from stoattray_core.declaration_limits import (
    MIN_REPORTED_IDLE_MILLIS,
    RESET_DELAY_MILLIS,
    shards_by_server,
)
from stoattray_core.resources import ServiceModel
from stoattray_operator._check import check_text
from stoattray_operator._check_rules import RULES
from stoattray_operator._findings import Severity
from tests.operator.check_builders import check, found, server, service

EXAMPLE = Path(__file__).parents[2] / "examples/services.json"
SERVERS = "$[0].spec.backend_servers"


class ValidityTest(unittest.TestCase):
    """Errors that the API's validation reports too, with place and expectation."""

    def test_example_has_no_findings(self):
        """Guards against rules that find faults in what the documents recommend."""
        self.assertEqual(check_text(EXAMPLE.read_text()).findings, [])

    def test_errors_have_path_line_problem_and_expectation(self):
        """Guards against findings that don't lead to the place in the file."""
        text = json.dumps(
            [service(server(port=0)), service(name="B", host=11)], indent=1
        )
        first, second = check_text(text).findings
        self.assertEqual(first.path, "$[0].spec.backend_servers[0].port")
        self.assertIn('"port": 0', text.splitlines()[first.line - 1])
        self.assertEqual(first.problem, "value 0")
        self.assertEqual(first.expected, "greater than or equal to 1")
        self.assertEqual(second.path, "$[1].name")
        self.assertIn('"name": "B"', text.splitlines()[second.line - 1])

    def test_kinds_of_errors(self):
        """Guards against errors of the validation that the check does not name."""
        document = service()
        del document["spec"]["port"]
        cases = (
            (document, "invalid_value", "$[0].spec.port", "missing"),
            (service(colour=1), "invalid_value", "$[0].spec.colour", "unknown"),
            (service(address="300"), "invalid_value", "$[0].spec.address", "'300'"),
            (5, "invalid_value", "$[0]", "value 5"),
            ("\ud800", "invalid_value", "$[0]", "can't read"),
            (service(server(), server("s2")), "invalid_value", "$[0].spec", "twice"),
            (
                service(server(name="x" * 40_000)),
                "service_too_large",
                "$[0]",
                "bytes",
            ),
        )
        for document, rule, path, problem in cases:
            with self.subTest(problem):
                finding = check(document).findings[0]
                self.assertEqual((finding.rule, finding.path), (rule, path))
                self.assertIs(finding.severity, Severity.ERROR)
                self.assertIn(problem, finding.problem)

    def test_text_that_is_not_json(self):
        """Guards against a traceback instead of a finding."""
        for text, line in (
            ("", 1),
            ('{\n"a": }', 2),
            ("[" * 100_000, 1),
            ("[" * 5_000 + "]" * 5_000, 1),
            ("9" * 5_000, 1),
        ):
            with self.subTest(text[:10]):
                (finding,) = check_text(text).findings
                self.assertEqual((finding.rule, finding.line), ("not_json", line))

    def test_repeated_key(self):
        """Guards against a value that a later one of the same key hides."""
        text = json.dumps(service()).replace('"port": 443', '"port": 80,\n"port": 443')
        (finding,) = check_text(text).findings
        self.assertEqual((finding.rule, finding.path), ("repeated_key", "$.spec.port"))
        self.assertEqual(finding.line, 2)
        self.assertIs(finding.severity, Severity.WARNING)


class RuleTest(unittest.TestCase):
    """One test for each rule."""

    def test_repeated_service(self):
        """Guards against a declaration that replaces one of the same file."""
        documents = [service(), service(host=11)]
        self.assertEqual(found(*documents), [("repeated_service", "$[1].name")])
        self.assertEqual(found(service(), service(name="b", host=11)), [])

    def test_shadowed_service(self):
        """Guards against services that get no flow."""
        expected = [("shadowed_service", "$[1].spec.address")]
        self.assertEqual(found(service(), service(name="b")), expected)
        for changes in ({"protocol": "udp"}, {"port": 80}, {"host": 11}):
            with self.subTest(changes):
                self.assertEqual(found(service(), service(name="b", **changes)), [])

    def test_no_active_server(self):
        """Guards against services whose openings are all refused."""
        draining = server(state="draining")
        expected = [("no_active_server", SERVERS)]
        self.assertEqual(found(service(draining)), expected)
        self.assertEqual(found(service(backend_servers=[])), expected)
        self.assertEqual(found(service(draining, server("s2", 2))), [])

    def test_weight_without_shards(self):
        """Guards against servers that the placement table has no room for.

        The expectation is recomputed from the table that the balancers use.
        """
        servers = [server(f"s{n}", n, weight=100) for n in range(1, 6)]
        document = service(*servers)
        spec = ServiceModel.model_validate(document).to_spec()
        counts = shards_by_server(spec)
        self.assertIn(0, counts.values())
        expected = [
            ("weight_without_shards", f"{SERVERS}[{number}].weight")
            for number, item in enumerate(spec.servers)
            if counts[item.server] < 100
        ]
        self.assertEqual(len(expected), 3)
        self.assertEqual(found(document), expected)
        self.assertEqual(found(service(*servers[:2])), [])
        drained = [{**item, "state": "draining"} for item in servers[2:]]
        self.assertEqual(found(service(*servers[:2], *drained)), [])

    def test_shared_health_port(self):
        """Guards against dead servers whose health check still passes."""
        probed = server(health_port=9001)
        other = server("s2", port=9001)
        expected = [("shared_health_port", f"{SERVERS}[0].health_port")]
        self.assertEqual(found(service(probed, other)), expected)
        elsewhere = service(other, name="b", host=11)
        self.assertEqual(found(service(probed), elsewhere), expected)
        both = (server(health_port=9100), server("s2", port=9001, health_port=9100))
        expected = [("shared_health_port", f"{SERVERS}[1].health_port")]
        self.assertEqual(found(service(*both)), expected)

    def test_health_port_without_other_use(self):
        """Guards against findings on health ports that are used as intended."""
        udp = service(server("s2", port=9001), name="b", host=11, protocol="udp")
        again = service(server(health_port=9100), name="b", host=11)
        for documents in (
            (service(server(health_port=9000)),),
            (service(server(health_port=9001), server("s2", 2, port=9001)),),
            (service(server(health_port=9001)), udp),
            (service(server(health_port=9100)), again),
        ):
            with self.subTest(documents):
                self.assertEqual(found(*documents), [])

    def test_different_health_port(self):
        """Guards against results of two ports in one verdict."""
        first = service(server(health_port=9000))
        path = "$[1].spec.backend_servers[0].health_port"
        second = service(server(health_port=9100), name="b", host=11)
        self.assertEqual(found(first, second), [("different_health_port", path)])
        unprobed = service(server(), name="b", host=11)
        self.assertEqual(found(first, unprobed), [])

    def test_different_max_connections(self):
        """Guards against two limits of one host."""
        second = service(server(max_connections=10), name="b", host=11)
        path = "$[1].spec.backend_servers[0].max_connections"
        expected = [("different_max_connections", path)]
        self.assertEqual(found(service(), second), expected)
        self.assertEqual(found(service(), service(name="b", host=11)), [])

    def test_max_connections_below_weight(self):
        """Guards against limits that end the balance before it begins."""
        low = server(weight=20, max_connections=19)
        path = f"{SERVERS}[0].max_connections"
        expected = [("max_connections_below_weight", path)]
        self.assertEqual(found(service(low, policy="balance")), expected)
        self.assertEqual(found(service(low)), [])
        enough = {**low, "max_connections": 20}
        self.assertEqual(found(service(enough, policy="balance")), [])

    def test_idle_limit_below_reset_delay(self):
        """Guards against flows of a failed server that continue at another one."""
        delay = RESET_DELAY_MILLIS / 1_000
        probed = server(health_port=9000)
        path = "$[0].spec.idle_limit_seconds"
        expected = [("idle_limit_below_reset_delay", path)]
        below = service(probed, idle_limit_seconds=delay - 0.5)
        self.assertEqual(found(below), expected)
        self.assertEqual(found(service(probed, idle_limit_seconds=delay)), [])
        self.assertEqual(found(service(idle_limit_seconds=delay - 0.5)), [])

    def test_idle_limit_below_reports(self):
        """Guards against flows in use that expire between two reports."""
        limit = MIN_REPORTED_IDLE_MILLIS / 1_000
        path = "$[0].spec.idle_limit_seconds"
        expected = [("idle_limit_below_reports", path)]
        self.assertEqual(found(service(idle_limit_seconds=limit - 0.1)), expected)
        self.assertEqual(found(service(idle_limit_seconds=limit)), [])

    def test_unusable_address(self):
        """Guards against addresses that no host has."""
        for address in ("0.0.0.0", "224.0.0.1", "255.255.255.255"):
            with self.subTest(address):
                expected = [("unusable_address", "$[0].spec.address")]
                self.assertEqual(found(service(address=address)), expected)
                expected = [("unusable_address", f"{SERVERS}[0].address")]
                self.assertEqual(found(service(server(address=address))), expected)

    def test_server_at_service_address(self):
        """Guards against packets that go in circles."""
        loop = service(server(address="192.0.2.10"), name="b", host=11)
        path = "$[1].spec.backend_servers[0].address"
        expected = [("server_at_service_address", path)]
        self.assertEqual(found(service(), loop), expected)

    def test_missing_data_centre(self):
        """Guards against evacuations that leave a server behind."""
        placed = server(data_centre="dc1")
        expected = [("missing_data_centre", f"{SERVERS}[1]")]
        self.assertEqual(found(service(placed, server("s2", 2))), expected)
        self.assertEqual(found(service(server(), server("s2", 2))), [])

    def test_each_rule_is_tested(self):
        """Guards against a rule in the table without a test of its own."""
        for rule in RULES:
            self.assertTrue(hasattr(self, f"test_{rule.name}"), rule.name)


class ShardsTest(unittest.TestCase):
    """Shards by server, as the check counts them."""

    def test_draining_servers_have_no_entry(self):
        """Guards against counting servers that accept no flows."""
        document = service(server(state="draining"), server("s2", 2))
        spec = ServiceModel.model_validate(document).to_spec()
        active = [item for item in spec.servers if item.state is ServerState.ACTIVE]
        self.assertEqual(shards_by_server(spec), {active[0].server: 251})
