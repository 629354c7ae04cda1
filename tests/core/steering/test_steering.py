"""Packet routing of one balancer: flow affinity, refusals, retries and updates."""

import unittest
from unittest.mock import patch

from stoattray_core._errors import ERROR_RESPONSES, ErrorKind, PacketResponse
from stoattray_core._sentinel import Refused
from stoattray_core.steering import cookies
from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.openings import MAX_SERVERS_TRIED
from stoattray_core.steering.replica import Difference, Record
from stoattray_core.steering.servers import REREGISTRATION_MILLIS
from tests.steering_builders import (
    FIRST_ACKNOWLEDGEMENT,
    LOOKUP_DESTINATION,
    OPENING_SEQUENCE,
    UNKNOWN_DESTINATION,
    Balancer,
    configuration,
    following,
    heartbeat,
    member_entry,
    opening,
    server_entry,
)


def balancer_with(*names, **options):
    """Return a balancer with a configuration and backend servers."""
    balancer = Balancer(**options)
    balancer.declare(configuration(), *(server_entry(name) for name in names))
    return balancer


class FlowTest(unittest.TestCase):
    """Each flow has one backend server."""

    def test_other_balancer_forwards_the_flow_to_the_same_server(self):
        first = balancer_with("i-01", "i-02", "i-03")
        second = balancer_with("i-03", "i-02", "i-01", name="edge-2", seed=2)
        for port in range(40_000, 40_050):
            server = first.open(port)
            other = second.steering.route_packet(
                following(port, server.cookie), second.now
            )
            self.assertEqual(other.name, server.name)

    def test_flow_keeps_its_server_when_it_drains_and_is_removed(self):
        balancer = balancer_with("i-01")
        server = balancer.open()
        balancer.follow(40_000, server)
        balancer.declare(server_entry("i-01", is_draining=True), server_entry("i-02"))
        self.assertEqual(balancer.follow(40_000, server).name, "i-01")
        balancer.remove("i-01")
        self.assertEqual(balancer.follow(40_000, server).name, "i-01")
        self.assertEqual(balancer.open(40_001).name, "i-02")

    def test_unknown_cookie_is_never_reset(self):
        balancer = balancer_with("i-01")
        refused = balancer.steering.route_packet(following(1, 12_345), balancer.now)
        self.assertEqual(refused.kind, ErrorKind.UNKNOWN_COOKIE)
        self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.NONE)

    def test_first_acknowledged_of_two_answering_servers_keeps_the_flow(self):
        balancer = balancer_with("i-01", "i-02")
        first = balancer.open()
        [(second, _)] = balancer.advance(balancer.steering.follow_up_timeout_millis + 5)
        self.assertIsNot(first, second)
        self.assertIs(balancer.follow(40_000, first), first)
        self.assertIs(balancer.follow(40_000, second), first)

    def test_later_flow_from_the_same_port_is_placed_anew(self):
        """Guards against the route and servers of an earlier configuration."""
        balancer = balancer_with("i-01", "i-02")
        earlier = balancer.open()
        balancer.follow(40_000, earlier)
        later = OPENING_SEQUENCE + 2**30
        balancer.declare(server_entry(earlier.name, is_draining=True))
        server = balancer.open(sequence=later)
        self.assertNotEqual(server.name, earlier.name)
        self.assertEqual((earlier.n_open, server.n_open), (0, 1))
        packet = following(40_000, server.cookie, sequence=later + 1)
        routed = balancer.steering.route_packet(packet, balancer.now)
        self.assertIs(routed, server)

    def test_repeated_opening_of_an_established_flow_keeps_its_server(self):
        balancer = balancer_with("i-01", "i-02")
        server = balancer.open()
        balancer.follow(40_000, server)
        for _ in range(10):
            self.assertIs(balancer.open(n_retransmissions=1), server)

    def test_later_flow_that_opened_by_way_of_another_balancer(self):
        """Guards against packets that follow the row of an earlier flow's port."""
        balancer = balancer_with("i-01", "i-02")
        earlier = balancer.open()
        balancer.follow(40_000, earlier)
        name = "i-02" if earlier.name == "i-01" else "i-01"
        server = balancer.steering.servers.get(name)
        for numbers in (
            {"sequence": OPENING_SEQUENCE + 2**30},
            {"acknowledgement": FIRST_ACKNOWLEDGEMENT + 2**30},
        ):
            packet = following(40_000, server.cookie, **numbers)
            routed = balancer.steering.route_packet(packet, balancer.now)
            self.assertIs(routed, server)
            self.assertEqual(balancer.steering.n_flows, 0)
            self.assertEqual(len(balancer.steering.pinning.pins), 0)
            balancer.open()
            balancer.follow(40_000, earlier)

    def test_counts_move_with_the_flow(self):
        balancer = balancer_with("i-01", "i-02")
        first = balancer.open()
        [(second, _)] = balancer.advance(balancer.steering.follow_up_timeout_millis + 5)
        self.assertEqual((first.n_open, second.n_open), (0, 1))
        balancer.follow(40_000, first)
        self.assertEqual((first.n_open, second.n_open), (1, 0))
        ending = following(40_000, first.cookie, is_ending=True)
        balancer.steering.route_packet(ending, balancer.now)
        self.assertEqual((first.n_open, first.n_half_open), (0, 0))
        self.assertEqual(balancer.steering.n_flows, 0)

    def test_expired_flows_no_longer_count(self):
        balancer = balancer_with("i-01")
        server = balancer.open()
        balancer.advance(3_000)
        balancer.steering.remove_expired(balancer.now)
        self.assertEqual(server.n_open, 0)


class RefusalTest(unittest.TestCase):
    """Refusal of packets that can't be served; resets only if no flow can be open."""

    def test_nothing_is_reset_before_a_configuration_is_known(self):
        balancer = Balancer()
        balancer.declare(server_entry("i-01"))
        self.assertIs(ERROR_RESPONSES[balancer.open().kind].packet, PacketResponse.NONE)

    def test_nothing_is_reset_before_a_server_is_known(self):
        balancer = Balancer()
        balancer.declare(configuration())
        self.assertIs(ERROR_RESPONSES[balancer.open().kind].packet, PacketResponse.NONE)

    def test_unknown_destination_is_reset(self):
        refused = balancer_with("i-01").open(destination=UNKNOWN_DESTINATION)
        self.assertEqual(refused.kind, ErrorKind.NO_ROUTE)
        self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.RESET)

    def test_unknown_destination_is_not_reset_if_the_replica_is_stale(self):
        balancer = balancer_with("i-01")
        balancer.advance(5_000, step=50)
        refused = balancer.open(destination=UNKNOWN_DESTINATION)
        self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.NONE)

    def test_service_without_server_is_reset(self):
        balancer = balancer_with("i-01")
        balancer.declare(server_entry("i-01", is_draining=True))
        self.assertEqual(balancer.open().kind, ErrorKind.NO_BACKEND_SERVER)

    def test_retransmitted_opening_is_not_reset_since_its_flow_may_be_open(self):
        balancer = balancer_with("i-01")
        balancer.open()
        balancer.declare(server_entry("i-01", is_draining=True))
        for refused in (
            balancer.open(n_retransmissions=1),
            balancer.open(40_001, n_retransmissions=1),
        ):
            self.assertIsInstance(refused, Refused)
            self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.NONE)


class SilenceTest(unittest.TestCase):
    """Backend servers that leave openings unanswered."""

    def test_opening_is_retried_at_another_server_before_the_caller_retransmits(self):
        balancer = balancer_with("i-01", "i-02")
        first = balancer.open()
        retries = balancer.advance(130)
        self.assertEqual(len(retries), 1)
        server, data = retries[0]
        self.assertIsNot(server, first)
        self.assertEqual(data, opening().data)
        self.assertTrue(first.is_suspect(balancer.now))

    def test_opening_is_sent_to_a_bounded_number_of_servers(self):
        balancer = balancer_with(*(f"i-0{number}" for number in range(1, 9)))
        balancer.open()
        self.assertLess(len(balancer.advance(1_400)), MAX_SERVERS_TRIED)

    def test_caller_that_left_makes_at_most_one_server_suspect(self):
        balancer = balancer_with(*(f"i-0{number}" for number in range(1, 9)))
        balancer.open()
        balancer.advance(400)
        rows = balancer.steering.servers
        self.assertEqual(sum(row.is_suspect(balancer.now) for row in rows), 1)

    def test_answered_opening_is_not_retried(self):
        balancer = balancer_with("i-01", "i-02")
        balancer.follow(40_000, balancer.open())
        self.assertEqual(balancer.advance(1_000), [])

    def test_quarter_of_servers_silent_at_once_delays_few_flows(self):
        balancer = balancer_with(*(f"i-0{number}" for number in range(1, 9)))
        dead = {"i-01", "i-02"}
        n_delayed = 0
        for port in range(40_000, 40_400):
            server = balancer.open(port)
            tried = [server.name]
            while server.name in dead:
                [(server, _)] = balancer.advance(
                    balancer.steering.follow_up_timeout_millis + 5
                )[-1:]
                tried.append(server.name)
            n_delayed += len(tried) > 1
            balancer.follow(port, server)
            ending = following(port, server.cookie, is_ending=True)
            balancer.steering.route_packet(ending, balancer.now)
            balancer.advance(10)
        self.assertLess(n_delayed, 20)

    def test_data_centre_that_is_cut_off_is_avoided_after_a_few_silent_servers(self):
        balancer = Balancer()
        remote = [f"i-{number:02x}" for number in range(20, 40)]
        balancer.declare(
            configuration(),
            server_entry("i-01"),
            *(server_entry(name, data_centre="luzon-b") for name in remote),
        )
        n_silent = 0
        for port in range(40_000, 40_100):
            server = balancer.open(port)
            while server.name != "i-01":
                n_silent += 1
                retries = balancer.advance(
                    balancer.steering.follow_up_timeout_millis + 5
                )
                if not retries:
                    break
                server = retries[-1][0]
            if server.name == "i-01":
                balancer.follow(port, server)
            balancer.advance(10)
        self.assertLess(n_silent, 10)

    def test_follow_up_clears_suspicion_of_its_data_centre(self):
        balancer = Balancer()
        remote = [f"i-{number:02x}" for number in range(20, 40)]
        balancer.declare(
            configuration(),
            *(server_entry(name, data_centre="luzon-b") for name in remote),
        )
        for port in range(40_000, 40_010):
            server = balancer.open(port)
        balancer.advance(200)
        balancer.follow(40_009, server)
        rows = balancer.steering.servers
        now = balancer.now
        suspects = [row for row in rows if balancer.steering.is_suspect(row, now)]
        self.assertLess(len(suspects), len(remote))

    def test_follow_up_clears_suspicion(self):
        balancer = balancer_with("i-01")
        server = balancer.open()
        balancer.advance(100)
        self.assertTrue(server.is_suspect(balancer.now))
        balancer.follow(40_000, server)
        self.assertFalse(server.is_suspect(balancer.now))

    def test_paused_balancer_suspects_no_server_when_it_resumes(self):
        balancer = balancer_with("i-01", "i-02")
        balancer.advance(10)
        server = balancer.open()
        balancer.now += 4_000
        self.assertEqual(list(balancer.steering.tick(balancer.now)), [])
        self.assertFalse(server.is_suspect(balancer.now))
        self.assertIn("woke", balancer.recorder.names())

    def test_openings_queued_during_a_long_pause_are_dropped(self):
        balancer = balancer_with("i-01", "i-02")
        balancer.advance(10)
        balancer.now += 3_000
        balancer.steering.detect_pause(balancer.now)
        self.assertEqual(balancer.open().kind, ErrorKind.HELD_TOO_LONG)
        balancer.advance(60)
        self.assertIn(balancer.open().name, ("i-01", "i-02"))

    def test_openings_queued_during_a_short_pause_make_no_server_suspect(self):
        for pause_millis, n_retransmissions in ((400, 0), (1_000, 2)):
            balancer = balancer_with("i-01", "i-02")
            balancer.advance(10)
            balancer.now += pause_millis
            balancer.steering.detect_pause(balancer.now)
            server = balancer.open(n_retransmissions=n_retransmissions)
            self.assertEqual(balancer.advance(1_000), [])
            self.assertFalse(server.is_suspect(balancer.now))

    def test_opening_that_other_balancers_may_have_got_is_not_forwarded_late(self):
        """Guards against a second server for a flow that opened during a pause."""
        for n_retransmissions in (0, 1):
            balancer = balancer_with("i-01", "i-02")
            balancer.advance(10)
            balancer.now += 1_000
            balancer.steering.detect_pause(balancer.now)
            refused = balancer.open(n_retransmissions=n_retransmissions)
            self.assertEqual(refused.kind, ErrorKind.HELD_TOO_LONG)
            self.assertIs(ERROR_RESPONSES[refused.kind].packet, PacketResponse.NONE)

    def test_opening_late_in_a_long_backlog_is_not_forwarded(self):
        """Guards against a backlog that takes longer to read than expected."""
        balancer = balancer_with("i-01", "i-02")
        balancer.advance(10)
        balancer.now += 1_000
        for _ in range(20):
            balancer.steering.detect_pause(balancer.now)
            self.assertEqual(balancer.open().kind, ErrorKind.HELD_TOO_LONG)
            balancer.steering.note_queued_packets(balancer.now)
            balancer.now += 20
        balancer.advance(60)
        self.assertIn(balancer.open().name, ("i-01", "i-02"))

    def test_opening_sent_before_a_pause_is_not_retried_after_it(self):
        """Guards against a second server for a flow whose caller went elsewhere."""
        balancer = balancer_with("i-01", "i-02")
        balancer.advance(10)
        balancer.open()
        balancer.now += 1_000
        self.assertEqual(balancer.advance(1_000), [])

    def test_packets_queued_before_the_start_make_no_server_suspect(self):
        balancer = balancer_with("i-01", "i-02")
        balancer.steering.exclude_backlog(balancer.now)
        server = balancer.open()
        self.assertEqual(balancer.advance(1_000), [])
        self.assertFalse(server.is_suspect(balancer.now))


class ClusterStateTest(unittest.TestCase):
    """Updates of configuration and backend servers from the store and peers."""

    def test_configuration_version_never_decreases(self):
        balancer = Balancer()
        balancer.declare(configuration(version=5), configuration(version=3))
        self.assertEqual(balancer.steering.configuration.version, 5)
        self.assertIn("configuration_refused", balancer.recorder.names())

    def test_first_snapshot_is_logged_as_one_event_and_later_changes_one_by_one(self):
        balancer = Balancer()
        entries = [configuration(), server_entry("i-01"), server_entry("i-02")]
        records = [
            balancer.decoder.record(f"servers/{number}", 7, entry)
            for number, entry in enumerate(entries)
        ]
        balancer.steering.apply_changes(Difference(7, records, True), balancer.now)
        names = balancer.recorder.names()
        self.assertEqual(names, ["configuration_in_force", "copy_taken"])
        fields = balancer.recorder.events[-1][1]
        self.assertEqual(
            fields, {"era": 0, "revision": 7, "n_records": 3, "n_servers": 2}
        )
        later = balancer.decoder.record("servers/9", 8, server_entry("i-03"))
        balancer.steering.apply_changes(Difference(8, [later], False), balancer.now)
        self.assertEqual(balancer.recorder.names()[2:], ["backend_server"])

    def test_stale_peer_changes_nothing(self):
        balancer = balancer_with("i-01", "i-02")
        record = balancer.decoder.record("configuration", 1, configuration(version=9))
        stale = Difference(1, [record], True)
        peer = heartbeat(revision=1)
        balancer.steering.apply_peer_response(peer, stale, balancer.now)
        self.assertEqual(balancer.steering.configuration.version, 1)
        self.assertEqual(len(balancer.steering.servers), 2)

    def test_reply_of_a_busy_peer_without_changes_confirms_nothing(self):
        balancer = Balancer()
        peer = heartbeat(live_members=(member_entry("edge-7"),))
        no_changes = Difference(0, [], False)
        balancer.steering.apply_peer_response(peer, no_changes, balancer.now)
        self.assertGreater(balancer.steering.confirmed_age(balancer.now), 10_000)
        ready = balancer.steering.members.sample_snapshot_sources(balancer.now, 3)
        self.assertEqual([entry.name for entry in ready], ["edge-2"])

    def test_server_removed_while_the_store_is_unhealthy_is_kept_for_a_while(self):
        balancer = balancer_with("i-01")
        balancer.steering.store_health.note_failure(balancer.now)
        balancer.remove("i-01")
        self.assertEqual(balancer.open().name, "i-01")
        balancer.advance(2_000)
        balancer.steering.remove_expired(balancer.now)
        self.assertEqual(len(balancer.steering.servers), 1)
        balancer.advance(1_000)
        balancer.steering.remove_expired(balancer.now)
        self.assertEqual(len(balancer.steering.servers), 0)

    def test_removed_server_gets_nothing_though_another_balancer_reads_the_store(self):
        """Guards against openings to a removed server after an outage of the store."""
        balancer = balancer_with("i-01", "i-02")
        balancer.steering.store_health.note_failure(balancer.now)
        for step in range(100):
            balancer.advance(200)
            report = heartbeat(
                revision=balancer.steering.replica.revision,
                recovery_age=200 * step,
                confirmed_age=100,
            )
            balancer.steering.apply_heartbeat(report, balancer.now)
        revision = balancer.next_revision()
        difference = Difference(
            revision, [Record("servers/i-01", revision, None)], False
        )
        balancer.steering.apply_peer_response(
            heartbeat(revision=revision), difference, balancer.now
        )
        self.assertEqual({balancer.open(port).name for port in range(50)}, {"i-02"})

    def test_server_removed_just_after_an_outage_is_gone_within_the_drain_limit(self):
        """Guards against a lapsed server that stays for another second."""
        balancer = balancer_with("i-01", "i-02")
        balancer.steering.store_health.note_failure(balancer.now)
        balancer.steering.store_health.note_response(balancer.now)
        balancer.steering.apply_changes(
            Difference(9, [Record("servers/i-01", 9, None)], False), balancer.now
        )
        balancer.advance(REREGISTRATION_MILLIS - 5)
        self.assertIn("i-01", {balancer.open(port).name for port in range(50)})
        balancer.advance(5)
        self.assertEqual({balancer.open(port).name for port in range(99)}, {"i-02"})

    def test_malformed_record_removes_only_its_own_server(self):
        balancer = balancer_with("i-01", "i-02")
        malformed = Refused(ErrorKind.ENTRY_MALFORMED, "capacity is text")
        balancer.declare(malformed, key="servers/i-03")
        balancer.declare(malformed, key="servers/i-02")
        self.assertEqual([row.name for row in balancer.steering.servers], ["i-01"])
        self.assertEqual(balancer.steering.cluster_state.n_malformed, 2)

    def test_load_reported_by_a_peer_counts_until_the_peer_is_silent(self):
        balancer = balancer_with("i-01")
        [server] = balancer.steering.servers
        report = heartbeat(pending_requests={server.cookie: 3, 999: 1})
        balancer.steering.apply_heartbeat(report, balancer.now)
        balancer.steering.apply_heartbeat(report, balancer.now)
        self.assertEqual(server.peer_load, 3)
        balancer.now += 5_000
        balancer.steering.remove_expired(balancer.now)
        self.assertEqual(server.peer_load, 0)

    def test_refused_opening_is_logged_with_what_decided_it(self):
        balancer = balancer_with("i-01")
        route = Route(
            "lookup",
            LOOKUP_DESTINATION,
            (("lookup", 1),),
            RequestKind.IDEMPOTENT,
            target_latency_millis=100,
            timeout_millis=2_000,
        )
        balancer.declare(configuration(2, routes={LOOKUP_DESTINATION: route}))
        balancer.steering.exclude_backlog(balancer.now)
        [server] = balancer.steering.servers
        report = heartbeat(pending_requests={server.cookie: 9})
        balancer.steering.apply_heartbeat(report, balancer.now)
        balancer.now += 150
        self.assertEqual(balancer.open().kind, ErrorKind.DEFERRED)
        name, fields = balancer.recorder.events[-1]
        self.assertEqual(name, "opening_refused")
        self.assertEqual(
            fields,
            {
                "flow": "100.64.0.7:40000>198.18.0.1:8443",
                "server": "i-01",
                "service": "lookup",
                "n_pending": 0,
                "peer_load": 9.0,
                "peer_load_age_ms": 150,
                "expected_ms": None,
                "max_ms": 100,
                "response_ms": 0,
                "probability": 0.0,
                "is_deferred": True,
            },
        )
        self.assertEqual(balancer.steering.counters["openings_deferred"], 1)

    def test_request_without_a_seen_response_is_pending_for_its_target_latency(self):
        balancer = balancer_with("i-01")
        route = configuration().routes[LOOKUP_DESTINATION]
        route = route._replace(target_latency_millis=100)
        balancer.declare(configuration(2, routes={LOOKUP_DESTINATION: route}))
        server = balancer.open()
        request = following(40_000, server.cookie, has_data=True)
        balancer.steering.route_packet(request, balancer.now)
        balancer.advance(95)
        self.assertEqual(balancer.steering.pending_requests(), {server.cookie: 1})
        balancer.advance(5)
        self.assertEqual(balancer.steering.pending_requests(), {})
        balancer.follow(40_000, server)
        self.assertEqual(server.n_pending_requests, 0)

    def test_server_that_shares_a_cookie_gets_it_once_the_other_is_removed(self):
        with patch.object(cookies, "xxh32_intdigest", lambda name, seed: seed + 5):
            balancer = balancer_with("i-01", "i-02")
            rows = {row.name: row for row in balancer.steering.servers}
            self.assertEqual([rows["i-01"].cookie, rows["i-02"].cookie], [5, 6])
            balancer.remove("i-01")
            self.assertEqual(rows["i-02"].cookie, 5)

    def test_server_that_only_counts_as_failing_is_not_reported_to_answer(self):
        balancer = balancer_with("i-01")
        [server] = balancer.steering.servers
        server.failing_until = balancer.now + 10_000
        for port in range(10):
            balancer.follow(port, balancer.open(port))
        self.assertNotIn("backend_server_answers", balancer.recorder.names())
