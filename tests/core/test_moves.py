"""Planned changes break no flow; each test spreads packets over five balancers."""

import unittest

from stoattray_core import InvariantViolated
from stoattray_standin.packets import ACK, tcp_packet
from stoattray_standin.simulated_network import LinkFaults
from tests.builders import aula_core, build_network, lookup, open_flows

DRAINED = ("127.0.0.1", 9000)


class PlannedChangeTest(unittest.TestCase):
    """Single changes, and pairs that overlap."""

    def run_and_check(self, network, allowed=()):
        network.run(25_000)
        self.assertEqual(network.broken_flows, [])
        unfinished = [
            flow
            for flow in network.flows.values()
            if flow.state not in ("done", *allowed)
        ]
        self.assertEqual(unfinished, [])
        self.assertEqual(network.stats["content_at_two_servers"], 0)

    def test_steady(self):
        network = build_network(1, lookup())
        open_flows(network, lookup(), 2_000)
        self.run_and_check(network)
        self.assertEqual(network.stats["relayed"], 0)

    def test_drain_stops_new_flows_within_five_seconds(self):
        network = build_network(2, lookup())
        open_flows(network, lookup(), 1_000)
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        declared_at = network.now
        open_flows(network, lookup(), 12_000)
        opened = network.servers[DRAINED].opening_times
        self.assertLessEqual(max(opened) - declared_at, 5_000)
        self.run_and_check(network)

    def test_drain_and_return(self):
        network = build_network(3, lookup())
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 3_000)
        network.declare_service(lookup())
        open_flows(network, lookup(), 9_000)
        self.assertGreater(
            max(network.servers[DRAINED].opening_times), network.now - 2_000
        )
        self.run_and_check(network)

    def test_two_moves_of_the_same_buckets(self):
        network = build_network(4, lookup())
        for name in ("lookup-1", "lookup-2", "lookup-3"):
            network.declare_service(lookup(draining=frozenset({name})))
            open_flows(network, lookup(), 2_500)
        self.run_and_check(network)

    def test_balancer_joins_during_drain(self):
        network = build_network(5, lookup())
        open_flows(network, lookup(), 500)
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        network.start_balancer("b6")
        open_flows(network, lookup(), 8_000)
        self.assertTrue(network.cores["b6"].is_ready)
        self.run_and_check(network)

    def test_balancer_leaves_during_drain(self):
        network = build_network(6, lookup())
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 2_500)
        network.cores["b2"].leave()
        open_flows(network, lookup(), 3_000)
        self.assertTrue(network.cores["b2"].may_stop)
        network.kill_balancer("b2")
        open_flows(network, lookup(), 4_000)
        self.run_and_check(network)

    def test_balancer_dies_during_drain(self):
        for death_at in (500, 2_050, 2_300, 4_000, 6_200):
            with self.subTest(death_at):
                network = build_network(7, lookup())
                open_flows(network, lookup(), 500)
                network.declare_service(lookup(draining=frozenset({"lookup-1"})))
                open_flows(network, lookup(), death_at)
                network.kill_balancer("b3")
                open_flows(network, lookup(), 6_000)
                self.run_and_check(network)

    def test_paused_balancer_resumes_with_old_buckets(self):
        network = build_network(8, lookup())
        open_flows(network, lookup(), 500)
        network.pause_balancer("b4")
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 7_000)
        network.resume_balancer("b4")
        open_flows(network, lookup(), 5_000)
        self.run_and_check(network)

    def test_one_balancer_receives_changes_late(self):
        network = build_network(9, lookup())
        network.config_delays_millis["b1"] = 10_000
        network.partition("b1", "b2")
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 12_000)
        self.run_and_check(network)

    def test_messages_lost_repeated_and_delayed(self):
        network = build_network(10, lookup())
        network.link_faults = LinkFaults(
            loss=0.1, duplicate=0.2, max_extra_delay_millis=60
        )
        open_flows(network, lookup(), 500)
        network.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(network, lookup(), 8_000)
        network.declare_service(lookup())
        open_flows(network, lookup(), 8_000)
        network.clear_link_faults()
        self.run_and_check(network)

    def test_full_rollout_with_long_flows(self):
        network = build_network(11, lookup())
        long_flows = [
            network.open_flow(lookup(), n_packets=700, interval_millis=100)
            for _ in range(60)
        ]
        for number in range(1, 8):
            network.declare_service(lookup(draining=frozenset({f"lookup-{number}"})))
            open_flows(network, lookup(), 5_000, interval_millis=50)
        for number in range(1, 6):
            network.start_balancer(f"n{number}")
            open_flows(network, lookup(), 2_000, interval_millis=50)
            network.cores[f"b{number}"].leave()
            open_flows(network, lookup(), 3_000, interval_millis=50)
            network.kill_balancer(f"b{number}")
        network.run(30_000)
        self.assertEqual({flow.state for flow in long_flows}, {"done"})
        self.run_and_check(network)

    def test_balance_policy_through_a_drain(self):
        network = build_network(12, aula_core())
        open_flows(network, aula_core(), 2_000)
        network.declare_service(aula_core(draining=frozenset({"aula-core-1"})))
        open_flows(network, aula_core(), 10_000)
        self.run_and_check(network)


class DeadServerTest(unittest.TestCase):
    """Flows of a dead backend server end; none continues at another server."""

    def test_flows_are_reset_and_new_ones_go_elsewhere(self):
        network = build_network(20, lookup())
        open_flows(network, lookup(), 3_000)
        network.kill_server(DRAINED)
        dead = network.servers[DRAINED].server_id
        for core in network.cores.values():
            for _ in range(3):
                core.on_probe_result(dead, False)
        open_flows(network, lookup(), 4_000)
        self.assertEqual(network.stats["content_at_two_servers"], 0)

    def test_content_at_two_servers_is_detected(self):
        network = build_network(21, lookup())
        flow = network.open_flow(lookup(), n_packets=3)
        network.run(100)
        other = next(
            address
            for address, server in network.servers.items()
            if server.server_id != flow.server_id
        )
        data = tcp_packet(
            flow.source, flow.destination, flags=ACK, payload=b"x", sequence=1
        )
        network._deliver_to_server(other, data)
        self.assertEqual(network.stats["content_at_two_servers"], 1)

    def test_packet_of_another_service_is_detected(self):
        network = build_network(22, lookup(), aula_core())
        flow = network.open_flow(lookup(), n_packets=3)
        data = tcp_packet(flow.source, flow.destination, flags=ACK)
        with self.assertRaises(InvariantViolated):
            network._deliver_to_server(("127.0.0.101", 9000), data)


if __name__ == "__main__":
    unittest.main()
