"""Verdicts on backend servers need a majority and expire without their prober."""

import unittest

from stoattray_core.messages import Health
from tests.builders import build_network, lookup, open_flows

DEAD_SERVER = "lookup-1@127.0.0.1:9000"


class VerdictTest(unittest.TestCase):
    """Verdicts take effect by majority and expire if they are not repeated."""

    def failed(self, core):
        return core.tables.services["tanglaw/lookup"].failed_servers

    def test_one_prober_is_outvoted(self):
        network = build_network(1, lookup())
        core = network.cores["b1"]
        core.on_message(Health([DEAD_SERVER]), "b2", ("b2", 7000))
        network.run(200)
        self.assertEqual(self.failed(core), frozenset())

    def test_verdict_of_two_probers_applies_until_it_expires(self):
        network = build_network(2, lookup())
        core = network.cores["b1"]
        for prober in ("b2", "b3"):
            core.on_message(Health([DEAD_SERVER]), prober, (prober, 7000))
        network.run(200)
        self.assertEqual(self.failed(core), frozenset({DEAD_SERVER}))
        network.run(8_000)
        self.assertEqual(self.failed(core), frozenset())

    def test_all_servers_down_keeps_all_accepting(self):
        network = build_network(3, lookup())
        core = network.cores["b1"]
        servers = [f"lookup-{number}@127.0.0.{number}:9000" for number in range(1, 8)]
        for prober in ("b2", "b3"):
            core.on_message(Health(servers), prober, (prober, 7000))
        network.run(200)
        row = core.tables.services["tanglaw/lookup"]
        self.assertEqual(len(row.accepting_servers), 7)

    def test_flows_of_a_dead_server_are_reset_and_new_ones_use_others(self):
        network = build_network(4, lookup())
        open_flows(network, lookup(), 2_000)
        network.kill_server(("127.0.0.1", 9000))
        died_at = network.now
        for _ in range(8):
            network.probe_servers()
            open_flows(network, lookup(), 1_000)
        network.run(20_000)
        self.assertEqual(network.stats["content_at_two_servers"], 0)
        late = [
            flow
            for flow in network.flows.values()
            if flow.opened_at > died_at + 6_000 and flow.state != "done"
        ]
        self.assertEqual(late, [])


class ProberChangeTest(unittest.TestCase):
    """A verdict is dropped when another balancer becomes the prober."""

    def test_verdict_of_a_former_prober_is_dropped(self):
        network = build_network(5, lookup())
        core = network.cores["b1"]
        target = core.probe_targets()[0][0]
        for _ in range(3):
            core.on_probe_result(target, False)
        network.run(200)
        self.assertIn(target, core.tables.verdicts["b1"].down)
        core._health._targets = []
        core._health._targets_version = (
            core._state.membership_version,
            core.config_revision,
        )
        network.run(200)
        self.assertEqual(core.tables.verdicts["b1"].down, frozenset())
