"""A short soak run on the simulated network."""

import unittest

from stoattray_standin.simulated_network import SimulatedNetwork
from stoattray_standin.soak_run import SoakRun
from tests.builders import build_network, lookup, open_flows


class SoakTest(unittest.TestCase):
    """Invariants hold under random faults, and equal seeds give equal runs."""

    def test_short_run_is_clean(self):
        result = SoakRun(1).run(4_800)
        self.assertEqual(result.broken_flows, [])
        self.assertEqual(result.n_content_at_two_servers, 0)
        self.assertEqual(result.n_config_reverts, 0)
        self.assertGreater(result.n_done, 1_000)

    def test_same_seed_gives_same_outputs(self):
        def trace(seed):
            network = build_network(seed, lookup())
            lines = []
            execute_output = SimulatedNetwork._execute_output

            def record(self, member, output):
                lines.append(f"{self.now} {member} {output}")
                execute_output(self, member, output)

            SimulatedNetwork._execute_output = record
            try:
                network.declare_service(lookup(draining=frozenset({"lookup-1"})))
                open_flows(network, lookup(), 3_000)
            finally:
                SimulatedNetwork._execute_output = execute_output
            return lines

        self.assertEqual(trace(5), trace(5))
        self.assertNotEqual(trace(5), trace(6))
