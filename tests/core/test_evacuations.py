"""New flows avoid evacuated data centres, and open flows stay to their end."""

import json
import unittest

from stoattray_core import ErrorKind
from stoattray_core.configuration import ConfigEntry
from stoattray_core.resources import BackendServerModel
from stoattray_standin.simulated_network import LinkFaults
from tests.builders import (
    aula_core,
    build_network,
    lookup,
    open_flows,
    opening_packet,
)

TWO_DATA_CENTRES = ("dc1", "dc2")
SERVICE = "tanglaw/lookup"
# New flows stop within the time of a drain, see test_moves.
MAX_MILLIS_TO_STOP = 5_000


class EvacuationTest(unittest.TestCase):
    """Evacuations in bucket placement."""

    def opening_times(self, network, service, data_centre):
        return [
            time
            for item in service.spec.backend_servers
            if item.data_centre == data_centre
            for time in network.servers[item.address, item.port].opening_times
        ]

    def check_flows(self, network):
        network.run(25_000)
        self.assertEqual(network.broken_flows, [])
        unfinished = [f for f in network.flows.values() if f.state != "done"]
        self.assertEqual(unfinished, [])
        self.assertEqual(network.stats["content_at_two_servers"], 0)

    def test_new_flows_leave_the_data_centre_and_return(self):
        """Guards against flows at an evacuated data centre, and against broken ones."""
        for number, build in enumerate((lookup, aula_core)):
            with self.subTest(build.__name__):
                service = build(data_centres=TWO_DATA_CENTRES)
                network = build_network(31 + number, service)
                open_flows(network, service, 1_000)
                network.evacuate("dc2")
                begun_at = network.now
                open_flows(network, service, 9_000)
                times = self.opening_times(network, service, "dc2")
                self.assertLessEqual(max(times) - begun_at, MAX_MILLIS_TO_STOP)
                network.end_evacuation("dc2")
                open_flows(network, service, 9_000)
                times = self.opening_times(network, service, "dc2")
                self.assertGreater(max(times), network.now - 2_000)
                self.check_flows(network)

    def test_balancer_that_starts_during_the_evacuation_knows_it(self):
        """Guards against an evacuation that reaches only those that saw it begin."""
        service = lookup(data_centres=TWO_DATA_CENTRES)
        network = build_network(33, service)
        network.evacuate("dc2")
        network.run(1_000)
        core = network.start_balancer("b6")
        network.run(6_000)
        self.assertTrue(core.is_ready)
        self.assertEqual(core.tables.evacuated_data_centres, {"dc2"})

    def test_all_data_centres_evacuated_refuses_openings_at_once(self):
        """Guards against openings at the base of settled buckets, which have no move.

        Without the check in the router these went to the evacuated servers, as
        the fast path does not look at the declared state.
        """
        service = lookup(data_centres=("dc1",))
        network = build_network(34, service)
        long_flow = network.open_flow(service, n_packets=100, interval_millis=100)
        network.run(500)
        network.evacuate("dc1")
        network.run(500)
        core = network.cores["b1"]
        packet = opening_packet()
        self.assertIsNone(core.fast_path_address(packet))
        core.on_packet(packet)
        self.assertEqual(core.counters[ErrorKind.NO_BACKEND_SERVER], 1)
        self.assertEqual(core.counters["opening_without_server_by_evacuation"], 1)
        network.end_evacuation("dc1")
        network.run(500)
        self.assertIsNotNone(core.fast_path_address(packet))
        network.run(12_000)
        self.assertEqual(long_flow.state, "done")

    def test_failed_servers_elsewhere_do_not_bring_back_evacuated_ones(self):
        """Guards against "if all have failed, use all" ending an evacuation."""
        service = lookup(data_centres=TWO_DATA_CENTRES)
        network = build_network(35, service)
        network.evacuate("dc2")
        network.run(500)
        for item in service.spec.backend_servers:
            if item.data_centre == "dc1":
                network.kill_server((item.address, item.port))
        for _ in range(3):
            network.probe_servers()
            network.run(300)
        row = network.cores["b1"].tables.services[SERVICE]
        kept = {item.split("@")[0] for item in row.accepting_servers}
        self.assertEqual(kept, {"lookup-1", "lookup-3", "lookup-5", "lookup-7"})

    def test_servers_without_a_data_centre_are_not_concerned(self):
        """Guards against an effect on declarations that do not use the key."""
        network = build_network(36, lookup())
        network.evacuate("dc1")
        network.run(500)
        row = network.cores["b1"].tables.services[SERVICE]
        self.assertEqual(len(row.accepting_servers), 7)

    def test_begin_and_end_are_logged_once(self):
        """Guards against evacuations without a line that tells when they applied."""
        network = build_network(37, lookup(data_centres=TWO_DATA_CENTRES))
        network.evacuate("dc2")
        network.evacuate("dc2")
        network.run(500)
        network.end_evacuation("dc2")
        network.run(500)
        states = [
            (event.fields["state"], event.fields["n_servers"])
            for _, member, event in network.events
            if member == "b4" and event.name == "evacuation"
        ]
        self.assertEqual(states, [("begun", 3), ("ended", 3)])

    def test_unreadable_entries_are_logged_and_change_nothing(self):
        """Guards against evacuations by entries that no version has written."""
        network = build_network(38, lookup(data_centres=TWO_DATA_CENTRES))
        core = network.cores["b1"]
        other = json.dumps({"kind": "evacuation", "data_centre": "dc1"})
        for revision, value in ((2, "{broken"), (3, other)):
            entry = ConfigEntry("evacuations/dc2", revision, value)
            core.on_config(revision - 1, revision, [entry])
        self.assertEqual(core.tables.evacuated_data_centres, set())
        network.run(100)
        unreadable = [
            event
            for _, member, event in network.events
            if member == "b1" and event.name == "config_unreadable"
        ]
        self.assertEqual(len(unreadable), 2)


class EvacuationUnderFaultsTest(unittest.TestCase):
    """Evacuations that overlap with faults break no flow."""

    def check_flows(self, network):
        network.run(25_000)
        self.assertEqual(network.broken_flows, [])
        unfinished = [f for f in network.flows.values() if f.state != "done"]
        self.assertEqual(unfinished, [])
        self.assertEqual(network.stats["content_at_two_servers"], 0)

    def evacuated(self, network):
        return [core.tables.evacuated_data_centres for core in network.cores.values()]

    def test_balancer_dies_during_the_evacuation(self):
        """Guards against flows that only a dead owner knew of."""
        for death_at in (500, 2_300, 6_200):
            with self.subTest(death_at):
                service = lookup(data_centres=TWO_DATA_CENTRES)
                network = build_network(41, service)
                open_flows(network, service, 500)
                network.evacuate("dc2")
                open_flows(network, service, death_at)
                network.kill_balancer("b3")
                open_flows(network, service, 6_000)
                self.check_flows(network)

    def test_messages_lost_repeated_and_delayed(self):
        """Guards against an end that overtakes the begin, or is lost."""
        service = lookup(data_centres=TWO_DATA_CENTRES)
        network = build_network(42, service)
        network.link_faults = LinkFaults(
            loss=0.1, duplicate=0.2, max_extra_delay_millis=60
        )
        open_flows(network, service, 500)
        for _ in range(2):
            network.evacuate("dc2")
            open_flows(network, service, 4_000)
            network.end_evacuation("dc2")
            open_flows(network, service, 4_000)
        network.clear_link_faults()
        self.check_flows(network)
        self.assertEqual(self.evacuated(network), [set()] * 5)

    def test_partitioned_peer_does_not_restore_an_ended_evacuation(self):
        """Guards against a configuration that goes back when a partition ends."""
        service = lookup(data_centres=TWO_DATA_CENTRES)
        network = build_network(43, service)
        network.evacuate("dc2")
        network.run(1_000)
        for other in ("b1", "b2", "b3", "b4"):
            network.partition("b5", other)
        network.end_evacuation("dc2")
        network.run(5_000)
        self.assertEqual(self.evacuated(network), [set()] * 4 + [{"dc2"}])
        network.clear_link_faults()
        network.run(12_000)
        self.assertEqual(self.evacuated(network), [set()] * 5)

    def test_evacuation_and_drain_overlap(self):
        """Guards against the end of one of the two that undoes the other."""
        service = lookup(data_centres=TWO_DATA_CENTRES)
        network = build_network(44, service)
        open_flows(network, service, 500)
        network.evacuate("dc2")
        open_flows(network, service, 1_000)
        draining = frozenset({"lookup-1", "lookup-2"})
        network.declare_service(
            lookup(data_centres=TWO_DATA_CENTRES, draining=draining)
        )
        open_flows(network, service, 3_000)
        network.end_evacuation("dc2")
        open_flows(network, service, 6_000)
        row = network.cores["b1"].tables.services[SERVICE]
        kept = {item.split("@")[0] for item in row.accepting_servers}
        self.assertEqual(kept, {f"lookup-{number}" for number in range(3, 8)})
        self.check_flows(network)


class DataCentreOfServerTest(unittest.TestCase):
    """The optional key in declarations."""

    def test_absent_key_is_not_written(self):
        """Guards against services that balancers without this key can't read."""
        server = {"name": "a", "address": "192.0.2.1", "port": 80}
        for item in (server, {**server, "data_centre": None}):
            document = BackendServerModel.model_validate(item).model_dump(mode="json")
            self.assertNotIn("data_centre", document)
        with_key = {**server, "data_centre": "dc1"}
        document = BackendServerModel.model_validate(with_key).model_dump(mode="json")
        self.assertEqual(document["data_centre"], "dc1")
