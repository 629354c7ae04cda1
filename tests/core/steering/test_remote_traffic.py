"""Selection of servers where some data centres are far."""

import unittest
from collections import Counter

from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.silence_detector import CUT_OFF_MILLIS
from tests.far_fleet import far_fleet, move_callers, set_even_load
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    Balancer,
    configuration,
    following,
    heartbeat,
    server_entry,
    server_row,
)

ROUTE = Route(
    "lookup", LOOKUP_DESTINATION, (("lookup", 1),), RequestKind.IDEMPOTENT, 553
)
EXTRA_MILLIS = 7
SERVICE_MILLIS = 50
LOCAL, FAR = "i-01", "i-02"


class SelectionTest(unittest.TestCase):
    """One balancer with one local and one far server of two slots each."""

    def setUp(self):
        self.balancer = self.new_balancer(RemoteTrafficSettings(4.0))

    def new_balancer(self, settings):
        balancer = Balancer(remote_traffic=settings)
        balancer.declare(
            configuration(routes={LOOKUP_DESTINATION: ROUTE}),
            server_entry(LOCAL),
            server_entry(FAR, data_centre="luzon-b"),
        )
        self.port = 40_000
        self.measure(balancer, LOCAL, 2)
        self.measure(balancer, FAR, 2 + EXTRA_MILLIS)
        self.learn_service_time(balancer)
        return balancer

    def measure(self, balancer, name, millis):
        """Let the balancer measure the follow-up time of a server."""
        row = balancer.steering.servers.get(name)
        for _ in range(3):
            balancer.steering.remote_traffic.note_follow_up(row, millis)

    def learn_service_time(self, balancer):
        """Let requests at the local server be served in 50 ms each."""
        for _ in range(60):
            server = self.open(balancer)
            balancer.steering.route_packet(
                following(self.port, server.cookie, has_data=True), balancer.now
            )
            balancer.advance(SERVICE_MILLIS)
            for ending in (False, True):
                packet = following(self.port, server.cookie, is_ending=ending)
                balancer.steering.route_packet(packet, balancer.now)

    def open(self, balancer=None):
        balancer = balancer or self.balancer
        self.port += 1
        server = balancer.open(self.port)
        self.assertNotIsInstance(server, Refused)
        return server

    def report(self, load, capacity=2.0, age=0):
        """Receive a remote balancer's report of the far data centre."""
        row = LoadRow("luzon-b", "lookup", load, capacity, age)
        self.balancer.steering.apply_heartbeat(
            heartbeat("edge-9", load_rows=(row,)), self.balancer.now
        )

    def fill_queue(self, n_requests=9):
        """Receive a local peer's report of requests at the local server."""
        cookie = self.balancer.steering.servers.get(LOCAL).cookie
        message = heartbeat("edge-2", pending_requests={cookie: n_requests})
        for _ in range(8):
            self.balancer.advance(100)
            self.balancer.steering.apply_heartbeat(message, self.balancer.now)

    def open_after_random_wait(self):
        """Open a flow after the random time that the first one has to stay."""
        self.open_and_follow()
        return self.open()

    def open_and_follow(self):
        """Open a flow, let its caller follow up, and wait for 200 ms."""
        server = self.open()
        self.balancer.follow(self.port, server)
        self.balancer.advance(200)

    @property
    def n_left(self):
        return self.balancer.steering.remote_traffic.n_left

    def test_waiting_a_little_costs_no_caller_anything(self):
        """Guards against flows that leave although their callers have time."""
        self.fill_queue(4)
        self.report(0.0)
        self.open_and_follow()
        names = Counter(self.open().name for _ in range(2))
        self.assertEqual(names, {LOCAL: 2})

    def test_opening_leaves_when_the_queue_is_about_to_be_full(self):
        self.fill_queue()
        self.report(0.0)
        self.balancer.advance(200)
        self.assertEqual(self.open_after_random_wait().name, FAR)
        self.assertEqual(self.n_left, {("lookup", "queue_full"): 1})

    def test_nothing_leaves_without_spare_capacity(self):
        self.fill_queue()
        self.report(2.0)
        self.balancer.advance(200)
        self.assertEqual(self.open_after_random_wait().name, LOCAL)

    def test_nothing_leaves_without_any_report(self):
        self.fill_queue()
        self.assertEqual(self.open_after_random_wait().name, LOCAL)

    def test_no_more_leave_than_the_share_of_the_spare_capacity(self):
        """Guards against all balancers sending everything at once."""
        self.fill_queue()
        self.report(0.0)
        self.balancer.advance(200)
        self.open_and_follow()
        self.open_and_follow()
        names = Counter(self.open().name for _ in range(4))
        self.assertEqual(names[FAR], 1)

    def test_old_report_leaves_the_own_share_of_its_spare_capacity(self):
        self.report(0.0, age=3_500)
        self.fill_queue()
        self.balancer.advance(400)
        self.assertEqual(self.open_after_random_wait().name, FAR)
        split = [f for n, f in self.balancer.recorder.events if n == "split_changed"]
        self.assertEqual(split[-1]["reason"], "old_report")

    def test_reports_from_before_a_partition_are_not_used_after_it(self):
        """Guards against openings on the basis of a load that has gone."""
        self.fill_queue()
        self.report(0.0)
        detector = self.balancer.steering._silence_detector
        for n in range(3):
            row = server_row(f"i-1{n}", data_centre="luzon-b")
            detector.note_silence(row, self.balancer.now, self.balancer.now)
        self.open_and_follow()
        self.balancer.advance(CUT_OFF_MILLIS - 800)
        self.fill_queue()
        self.report(0.0, age=CUT_OFF_MILLIS + 300)
        self.assertEqual(self.open_after_random_wait().name, LOCAL)
        self.report(0.0)
        self.assertEqual(self.open_after_random_wait().name, FAR)

    def test_service_time_is_kept_during_an_excess(self):
        """Guards against refused requests that make queues look short."""
        traffic = self.balancer.steering.remote_traffic
        self.assertEqual(traffic._calm_service_time("lookup", 47.0), 47.0)
        self.fill_queue()
        self.open()
        self.assertLess(traffic._calm_service_time("lookup", 15.0), 60.0)
        self.assertGreater(traffic._calm_service_time("lookup", 15.0), 40.0)
        self.fill_queue(0)
        self.open()
        self.assertEqual(traffic._calm_service_time("lookup", 15.0), 15.0)

    def test_very_high_price_keeps_openings(self):
        self.balancer = self.new_balancer(RemoteTrafficSettings(4.0, 60_000.0))
        self.fill_queue()
        self.report(0.0)
        self.balancer.advance(200)
        self.assertEqual(self.open_after_random_wait().name, LOCAL)

    def test_opening_without_local_server_leaves_at_any_price(self):
        self.balancer = self.new_balancer(RemoteTrafficSettings(4.0, 60_000.0))
        self.balancer.remove(LOCAL)
        self.assertEqual(self.open().name, FAR)
        self.assertEqual(self.n_left, {("lookup", "no_server"): 1})

    def test_opening_leaves_a_suspect_local_server(self):
        row = self.balancer.steering.servers.get(LOCAL)
        row.suspect_until = self.balancer.now + 1_000
        self.assertEqual(self.open().name, FAR)

    def test_nothing_leaves_to_a_suspect_server(self):
        """Guards against openings into a partition."""
        self.fill_queue()
        self.report(0.0)
        self.balancer.advance(200)
        row = self.balancer.steering.servers.get(FAR)
        row.suspect_until = self.balancer.now + 3_000
        self.assertEqual(self.open_after_random_wait().name, LOCAL)

    def test_split_is_logged_when_it_begins_and_ends(self):
        self.report(0.0)
        self.fill_queue()
        self.report(0.0)
        self.open()
        self.fill_queue(0)
        self.report(0.0)
        self.open()
        changes = [f for n, f in self.balancer.recorder.events if n == "split_changed"]
        self.assertEqual(changes[0]["data_centres"], "luzon-b")
        self.assertGreater(changes[0]["share"], 0.0)
        self.assertEqual(changes[-1]["share"], 0.0)
        self.assertEqual(changes[-1]["reason"], "no_excess")

    def test_heartbeats_have_no_rows_without_the_setting(self):
        balancer = Balancer()
        balancer.declare(server_entry(LOCAL))
        self.assertEqual(balancer.steering.load_rows(balancer.now), ())
        rows = self.balancer.steering.load_rows(self.balancer.now)
        self.assertEqual({row.data_centre for row in rows}, {"luzon-a"})

    def test_bytes_to_far_servers_are_counted(self):
        traffic = self.balancer.steering.remote_traffic
        traffic.note_packet(self.balancer.steering.servers.get(LOCAL), 40)
        traffic.note_packet(self.balancer.steering.servers.get(FAR), 60)
        self.assertEqual(traffic.n_bytes, {"lookup": 60})


class UnchangedDecisionsTest(unittest.TestCase):
    """Decisions where the rule does not apply, on seeded traces."""

    def trace(self, **options):
        """Return all outcomes, and the next random number of each balancer."""
        fleet = far_fleet(seed=7, n_hosts=4, n_balancers=3, **options)
        set_even_load(fleet, 0.6)
        fleet.run(1_000)
        move_callers(fleet, 0.6, 0.5)
        fleet.run(1_000)
        self.rows = [b.steering.load_rows(fleet.now) for b in fleet.all_balancers]
        draws = [b.steering._random.random() for b in fleet.all_balancers]
        return fleet.outcomes, draws

    def test_near_data_centres_are_used_as_without_the_setting(self):
        """Guards against other decisions or random draws at deployments of 1 ms."""
        expected = self.trace(price_millis=None, one_way_millis=2)
        self.assertEqual(self.trace(one_way_millis=2), expected)
        self.assertEqual(set(self.rows), {()})

    def test_far_data_centres_below_the_least_round_trip(self):
        expected = self.trace(price_millis=None, one_way_millis=4)
        actual = self.trace(one_way_millis=4, min_round_trip_millis=50.0)
        self.assertEqual(actual, expected)

    def test_traces_differ_where_the_rule_applies(self):
        """Shows that the comparison would notice a difference."""
        expected = self.trace(price_millis=None, one_way_millis=4)
        self.assertNotEqual(self.trace(one_way_millis=4), expected)
