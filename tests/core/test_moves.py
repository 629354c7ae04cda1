"""Planned changes break no flow; each test spreads packets over five balancers."""

import unittest

from stoattray_core import InvariantViolated
from stoattray_standin.packets import ACK, tcp_packet
from stoattray_standin.simulated_network import LinkFaults
from tests.builders import aula_core, lookup, network, open_flows

DRAINED = ("127.0.0.1", 9000)


class PlannedChangeTest(unittest.TestCase):
    """Single changes, and pairs that overlap."""

    def run_and_check(self, net, allowed=()):
        net.run(25_000)
        self.assertEqual(net.broken_flows, [])
        unfinished = [
            flow for flow in net.flows.values() if flow.state not in ("done", *allowed)
        ]
        self.assertEqual(unfinished, [])
        self.assertEqual(net.stats["content_at_two_servers"], 0)

    def test_steady(self):
        net = network(1, lookup())
        open_flows(net, lookup(), 2_000)
        self.run_and_check(net)
        self.assertEqual(net.stats["relayed"], 0)

    def test_drain_stops_new_flows_within_five_seconds(self):
        net = network(2, lookup())
        open_flows(net, lookup(), 1_000)
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        declared_at = net.now
        open_flows(net, lookup(), 12_000)
        opened = net.servers[DRAINED].opening_times
        self.assertLessEqual(max(opened) - declared_at, 5_000)
        self.run_and_check(net)

    def test_drain_and_return(self):
        net = network(3, lookup())
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 3_000)
        net.declare_service(lookup())
        open_flows(net, lookup(), 9_000)
        self.assertGreater(max(net.servers[DRAINED].opening_times), net.now - 2_000)
        self.run_and_check(net)

    def test_two_moves_of_the_same_buckets(self):
        net = network(4, lookup())
        for name in ("lookup-1", "lookup-2", "lookup-3"):
            net.declare_service(lookup(draining=frozenset({name})))
            open_flows(net, lookup(), 2_500)
        self.run_and_check(net)

    def test_balancer_joins_during_drain(self):
        net = network(5, lookup())
        open_flows(net, lookup(), 500)
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        net.start_balancer("b6")
        open_flows(net, lookup(), 8_000)
        self.assertTrue(net.cores["b6"].is_ready)
        self.run_and_check(net)

    def test_balancer_leaves_during_drain(self):
        net = network(6, lookup())
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 2_500)
        net.cores["b2"].leave()
        open_flows(net, lookup(), 3_000)
        self.assertTrue(net.cores["b2"].may_stop)
        net.kill_balancer("b2")
        open_flows(net, lookup(), 4_000)
        self.run_and_check(net)

    def test_balancer_dies_during_drain(self):
        for death_at in (500, 2_050, 2_300, 4_000, 6_200):
            with self.subTest(death_at):
                net = network(7, lookup())
                open_flows(net, lookup(), 500)
                net.declare_service(lookup(draining=frozenset({"lookup-1"})))
                open_flows(net, lookup(), death_at)
                net.kill_balancer("b3")
                open_flows(net, lookup(), 6_000)
                self.run_and_check(net)

    def test_paused_balancer_resumes_with_old_buckets(self):
        net = network(8, lookup())
        open_flows(net, lookup(), 500)
        net.pause_balancer("b4")
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 7_000)
        net.resume_balancer("b4")
        open_flows(net, lookup(), 5_000)
        self.run_and_check(net)

    def test_one_balancer_receives_changes_late(self):
        net = network(9, lookup())
        net.config_delays_millis["b1"] = 10_000
        net.partition("b1", "b2")
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 12_000)
        self.run_and_check(net)

    def test_messages_lost_repeated_and_delayed(self):
        net = network(10, lookup())
        net.link_faults = LinkFaults(loss=0.1, duplicate=0.2, max_extra_delay_millis=60)
        open_flows(net, lookup(), 500)
        net.declare_service(lookup(draining=frozenset({"lookup-1"})))
        open_flows(net, lookup(), 8_000)
        net.declare_service(lookup())
        open_flows(net, lookup(), 8_000)
        net.clear_link_faults()
        self.run_and_check(net)

    def test_full_rollout_with_long_flows(self):
        net = network(11, lookup())
        long_flows = [
            net.open_flow(lookup(), n_packets=700, interval_millis=100)
            for _ in range(60)
        ]
        for number in range(1, 8):
            net.declare_service(lookup(draining=frozenset({f"lookup-{number}"})))
            open_flows(net, lookup(), 5_000, interval_millis=50)
        for number in range(1, 6):
            net.start_balancer(f"n{number}")
            open_flows(net, lookup(), 2_000, interval_millis=50)
            net.cores[f"b{number}"].leave()
            open_flows(net, lookup(), 3_000, interval_millis=50)
            net.kill_balancer(f"b{number}")
        net.run(30_000)
        self.assertEqual({flow.state for flow in long_flows}, {"done"})
        self.run_and_check(net)

    def test_balance_policy_through_a_drain(self):
        net = network(12, aula_core())
        open_flows(net, aula_core(), 2_000)
        net.declare_service(aula_core(draining=frozenset({"aula-core-1"})))
        open_flows(net, aula_core(), 10_000)
        self.run_and_check(net)


class DeadServerTest(unittest.TestCase):
    """Flows of a dead backend server end; none continues at another server."""

    def test_flows_are_reset_and_new_ones_go_elsewhere(self):
        net = network(20, lookup())
        open_flows(net, lookup(), 3_000)
        net.kill_server(DRAINED)
        dead = net.servers[DRAINED].server_id
        for core in net.cores.values():
            for _ in range(3):
                core.on_probe_result(dead, False)
        open_flows(net, lookup(), 4_000)
        self.assertEqual(net.stats["content_at_two_servers"], 0)

    def test_content_at_two_servers_is_detected(self):
        net = network(21, lookup())
        flow = net.open_flow(lookup(), n_packets=3)
        net.run(100)
        other = next(
            address
            for address, server in net.servers.items()
            if server.server_id != flow.server_id
        )
        data = tcp_packet(
            flow.source, flow.destination, flags=ACK, payload=b"x", sequence=1
        )
        net._deliver_to_server(other, data)
        self.assertEqual(net.stats["content_at_two_servers"], 1)

    def test_packet_of_another_service_is_detected(self):
        net = network(22, lookup(), aula_core())
        flow = net.open_flow(lookup(), n_packets=3)
        data = tcp_packet(flow.source, flow.destination, flags=ACK)
        with self.assertRaises(InvariantViolated):
            net._deliver_to_server(("127.0.0.101", 9000), data)


if __name__ == "__main__":
    unittest.main()
