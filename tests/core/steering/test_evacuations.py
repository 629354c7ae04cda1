"""Evacuations of data centres: begin, end, and openings that must go elsewhere."""

import unittest

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import Evacuation
from stoattray_core.steering.evacuations import (
    EVACUATION_KEPT_MILLIS,
    Evacuations,
    EvacuationState,
)
from stoattray_core.steering.replica import Version
from stoattray_core.steering.servers import ServerRow
from tests.steering_builders import (
    START_MILLIS,
    Balancer,
    configuration,
    following,
    heartbeat,
    server_entry,
)

NEAR, FAR = "luzon-a", "luzon-b"
NEAR_KEY = f"evacuations/{NEAR}"


class EvacuationsTest(unittest.TestCase):
    """The set of evacuated data centres alone."""

    def setUp(self):
        self.evacuations = Evacuations()

    def test_data_centre_is_evacuated_from_begin_to_end(self):
        """Guards against an evacuation that is not applied or never ends."""
        self.assertFalse(self.evacuations.is_evacuated(NEAR))
        change = self.evacuations.begin(NEAR, 3)
        self.assertEqual(change, (NEAR, EvacuationState.BEGUN, 3))
        self.assertTrue(self.evacuations.is_evacuated(NEAR))
        self.assertFalse(self.evacuations.is_evacuated(FAR))
        change = self.evacuations.end(NEAR, 4, START_MILLIS)
        self.assertEqual(change, (NEAR, EvacuationState.ENDED, 4))
        self.assertFalse(self.evacuations.is_evacuated(NEAR))

    def test_end_is_known_to_the_millisecond_and_survives_the_next_begin(self):
        """Guards against cold servers taken for warm after an evacuation."""
        self.assertIsNone(self.evacuations.ended_at(NEAR))
        self.evacuations.begin(NEAR, 3)
        self.assertIsNone(self.evacuations.ended_at(NEAR))
        self.evacuations.end(NEAR, 4, START_MILLIS)
        self.evacuations.begin(NEAR, 5)
        self.assertEqual(self.evacuations.ended_at(NEAR), START_MILLIS)

    def test_record_that_is_written_again_changes_nothing(self):
        """Guards against an event for each repeated write."""
        self.evacuations.begin(NEAR, 3)
        self.assertIsNone(self.evacuations.begin(NEAR, 5))
        self.assertEqual(len(self.evacuations), 1)

    def test_record_known_to_be_superseded_does_not_begin_it_again(self):
        """Guards against a late answer that restores an ended evacuation."""
        self.evacuations.begin(NEAR, 3)
        self.evacuations.end(NEAR, 4, START_MILLIS)
        self.assertIsNone(self.evacuations.begin(NEAR, 3))
        self.assertFalse(self.evacuations.is_evacuated(NEAR))

    def test_removal_without_an_evacuation_is_no_end(self):
        """Guards against ends that were never begun."""
        self.assertIsNone(self.evacuations.end(NEAR, 4, START_MILLIS))
        self.assertIsNone(self.evacuations.ended_at(NEAR))


class RestoredEvacuationsTest(unittest.TestCase):
    """The set after a return of the store from an older copy."""

    def setUp(self):
        self.evacuations = Evacuations()
        self.evacuations.begin(NEAR, 5)

    def restore(self, revisions, copy_revision=6):
        changes = self.evacuations.restore(revisions, copy_revision, START_MILLIS)
        return [(name, str(state)) for name, state, _ in changes]

    def test_ended_evacuation_is_not_restored_by_the_copy(self):
        """Guards against a copy that empties a data centre again."""
        self.evacuations.end(NEAR, 9, START_MILLIS)
        self.assertEqual(self.restore({NEAR: 5}), [])
        self.assertFalse(self.evacuations.is_evacuated(NEAR))

    def test_earlier_record_of_an_ended_evacuation_is_not_restored(self):
        """Guards against a copy from before the last write of the record."""
        self.evacuations.begin(NEAR, 8)
        self.evacuations.end(NEAR, 9, START_MILLIS)
        self.restore({NEAR: 5})
        self.assertFalse(self.evacuations.is_evacuated(NEAR))

    def test_later_record_than_the_ended_one_applies(self):
        """Guards against an evacuation that this balancer missed being ignored."""
        self.evacuations.end(NEAR, 9, START_MILLIS)
        self.assertEqual(self.restore({NEAR: 11}, 12), [(NEAR, "begun")])

    def test_record_that_is_written_after_the_return_applies(self):
        """Guards against comparing a new record with revisions of the era before."""
        self.evacuations.end(NEAR, 9, START_MILLIS)
        self.restore({}, 3)
        self.assertIsNotNone(self.evacuations.begin(NEAR, 4))
        self.assertTrue(self.evacuations.is_evacuated(NEAR))

    def test_record_between_two_returns_applies_after_the_second(self):
        """Guards against a height from two eras ago that hides a new record."""
        self.evacuations.end(NEAR, 9, START_MILLIS)
        self.restore({}, 3)
        self.assertEqual(self.restore({NEAR: 4}, 4), [(NEAR, "begun")])

    def test_record_that_the_copy_contains_stays_in_force(self):
        """Guards against a gap in an evacuation when the store returns."""
        self.assertEqual(self.restore({NEAR: 5}), [])
        self.assertTrue(self.evacuations.is_evacuated(NEAR))
        self.assertFalse(self.evacuations.has_kept)

    def test_kept_evacuation_that_the_next_copy_contains_is_listed_again(self):
        """Guards against an end after 60 s while the store holds the record."""
        self.restore({}, 6)
        self.assertEqual(self.restore({NEAR: 5}, 6), [(NEAR, "begun")])
        self.assertFalse(self.evacuations.has_kept)

    def test_evacuation_that_the_copy_lacks_is_kept(self):
        """Guards against openings to a data centre whose record was lost."""
        self.assertEqual(self.restore({}, 2), [(NEAR, "kept")])
        self.assertTrue(self.evacuations.is_evacuated(NEAR))

    def test_kept_evacuation_ends_after_the_longest_time(self):
        """Guards against a data centre that is never used again."""
        self.restore({}, 2)
        end = START_MILLIS + EVACUATION_KEPT_MILLIS
        self.assertEqual(self.evacuations.expire(end - 1), [])
        [change] = self.evacuations.expire(end)
        self.assertEqual(change.state, EvacuationState.ENDED)
        self.assertEqual(self.evacuations.ended_at(NEAR), end)
        self.assertEqual(self.evacuations.expire(end + 1), [])

    def test_second_return_does_not_prolong_the_longest_time(self):
        """Guards against a store that returns often and keeps it for ever."""
        self.restore({}, 2)
        later = START_MILLIS + EVACUATION_KEPT_MILLIS
        self.assertEqual(self.evacuations.restore({}, 2, later - 1), [])
        self.assertEqual(len(self.evacuations.expire(later)), 1)

    def test_kept_evacuation_stays_once_it_is_written_again(self):
        """Guards against an end after 60 s although the record exists."""
        self.restore({}, 2)
        self.assertIsNotNone(self.evacuations.begin(NEAR, 3))
        self.assertEqual(
            self.evacuations.expire(START_MILLIS + 2 * EVACUATION_KEPT_MILLIS), []
        )
        self.assertTrue(self.evacuations.is_evacuated(NEAR))

    def test_removal_from_before_the_copy_does_not_end_a_kept_evacuation(self):
        """Guards against the end of an earlier evacuation ending this one."""
        self.restore({}, 4)
        self.assertIsNone(self.evacuations.end(NEAR, 4, START_MILLIS))
        self.assertIsNotNone(self.evacuations.end(NEAR, 6, START_MILLIS))


class EvacuatedOpeningsTest(unittest.TestCase):
    """Where one balancer sends openings during an evacuation."""

    def setUp(self):
        self.balancer = Balancer()
        self.steering = self.balancer.steering
        self.balancer.declare(
            configuration(),
            server_entry("i-01"),
            server_entry("i-02"),
            server_entry("i-11", data_centre=FAR),
            server_entry("i-12", data_centre=FAR),
        )

    def events(self):
        return [
            fields
            for name, fields in self.balancer.recorder.events
            if name == "evacuation"
        ]

    def opened(self, n=50):
        return {self.balancer.open(port).entry.data_centre for port in range(n)}

    def test_openings_go_elsewhere_and_come_back(self):
        """Guards against openings to evacuated servers, and against a lasting one."""
        self.balancer.declare(Evacuation(NEAR))
        self.assertEqual(self.opened(), {FAR})
        self.balancer.remove_key(NEAR_KEY)
        self.assertIn(NEAR, self.opened(100))

    def test_open_flow_stays_to_its_end(self):
        """Guards against interrupting flows of an evacuated data centre."""
        server = self.balancer.open(1)
        self.assertEqual(server.entry.data_centre, NEAR)
        self.balancer.follow(1, server)
        self.balancer.declare(Evacuation(NEAR))
        self.assertIs(self.balancer.follow(1, server), server)
        unknown_here = following(2, server.cookie)
        routed = self.steering.route_packet(unknown_here, self.balancer.now)
        self.assertIs(routed, server)

    def test_retransmission_of_an_earlier_opening_goes_elsewhere(self):
        """Guards against retransmissions that repeat the choice from before."""
        servers = {port: self.balancer.open(port) for port in range(20)}
        ports = [port for port, row in servers.items() if row.entry.data_centre == NEAR]
        self.assertGreater(len(ports), 5)
        self.balancer.declare(Evacuation(NEAR))
        again = {
            self.balancer.open(port, n_retransmissions=1).entry.data_centre
            for port in ports
        }
        self.assertEqual(again, {FAR})

    def test_retry_of_an_unanswered_opening_goes_elsewhere(self):
        """Guards against retries at another server of the evacuated data centre."""
        for port in range(20):
            self.balancer.open(port)
        self.balancer.declare(Evacuation(NEAR))
        resent = self.balancer.advance(400)
        self.assertGreater(len(resent), 0)
        self.assertEqual({row.entry.data_centre for row, _ in resent}, {FAR})

    def test_opening_of_an_open_flow_is_not_repeated_there(self):
        """Guards against late or repeated openings that reach an evacuated server.

        It is not reset either: the flow may be open.
        """
        server = self.balancer.open(1)
        self.balancer.follow(1, server)
        self.assertIs(self.balancer.open(1, n_retransmissions=1), server)
        self.balancer.declare(Evacuation(NEAR))
        self.assertEqual(
            self.balancer.open(1, n_retransmissions=1).kind, ErrorKind.NO_OWNER
        )
        self.assertIs(self.balancer.follow(1, server), server)
        self.assertEqual(self.steering.counters["openings_of_evacuated_flows"], 1)

    def test_service_without_other_servers_is_refused_at_once_and_counted(self):
        """Guards against openings that wait for an evacuation to end."""
        self.balancer.declare(Evacuation(NEAR), Evacuation(FAR))
        self.assertEqual(self.balancer.open(1).kind, ErrorKind.NO_BACKEND_SERVER)
        self.assertEqual(self.steering.counters["openings_evacuated"], 1)
        self.balancer.remove_key(NEAR_KEY)
        self.assertIsInstance(self.balancer.open(2), ServerRow)

    def test_service_without_servers_is_not_counted_as_evacuated(self):
        """Guards against a counter that blames the evacuation of another service."""
        for name in ("i-11", "i-12"):
            self.balancer.remove(name)
        self.balancer.declare(
            server_entry("i-01", is_draining=True),
            server_entry("i-02", is_draining=True),
            Evacuation(NEAR),
        )
        self.assertEqual(self.balancer.open(1).kind, ErrorKind.NO_BACKEND_SERVER)
        self.assertEqual(self.steering.counters["openings_evacuated"], 0)

    def test_server_that_registers_during_the_evacuation_is_excluded(self):
        """Guards against an exclusion that only covers the servers of its begin."""
        self.balancer.declare(
            Evacuation(NEAR), server_entry("i-03"), server_entry("i-01", started_at=9)
        )
        self.assertEqual(self.opened(), {FAR})

    def test_suspect_servers_elsewhere_come_before_evacuated_ones(self):
        """Guards against suspicion that outweighs an evacuation."""
        self.balancer.declare(Evacuation(NEAR))
        for row in self.steering.servers:
            if row.entry.data_centre == FAR:
                row.suspect_until = self.balancer.now + 5_000
        self.assertEqual(self.opened(), {FAR})

    def test_begin_and_end_are_logged_and_counted(self):
        """Guards against a shift of traffic that nobody can explain."""
        self.balancer.now += 70
        self.steering.confirm_replica(self.balancer.now - 30)
        self.balancer.declare(Evacuation(NEAR))
        self.balancer.remove_key(NEAR_KEY)
        common = {"data_centre": NEAR, "era": 0, "n_servers": 2, "age_ms": 0}
        self.assertEqual(
            self.events(),
            [
                {**common, "state": "begun", "revision": 6},
                {**common, "state": "ended", "revision": 7},
            ],
        )
        self.assertEqual(
            self.steering.cluster_state.evacuation_changes, {"begun": 1, "ended": 1}
        )

    def test_evacuation_in_the_first_snapshot_counts_all_its_servers(self):
        """Guards against events that are skipped, or too early, at the start."""
        self.balancer.declare(Evacuation(NEAR))
        starting = Balancer("edge-2", decoder=self.balancer.decoder)
        snapshot = self.steering.replica.changes_since(Version(0, 0))
        records = sorted(snapshot.records)
        starting.steering.apply_changes(
            snapshot._replace(records=records), starting.now
        )
        [(_, fields)] = [
            event for event in starting.recorder.events if event[0] == "evacuation"
        ]
        self.assertEqual((fields["state"], fields["n_servers"]), ("begun", 2))
        self.assertEqual(starting.open(1).entry.data_centre, FAR)

    def test_late_answer_and_older_peer_change_nothing(self):
        """Guards against older states that end or restore an evacuation."""
        before = self.steering.replica.changes_since(Version(0, 0))
        self.balancer.declare(Evacuation(NEAR))
        self.steering.apply_peer_response(heartbeat(), before, self.balancer.now)
        self.assertEqual(self.opened(), {FAR})
        during = self.steering.replica.changes_since(Version(0, 0))
        self.balancer.remove_key(NEAR_KEY)
        self.steering.apply_peer_response(heartbeat(), during, self.balancer.now)
        for port in range(100, 120):
            self.assertEqual(self.balancer.open(port).entry.data_centre, NEAR)

    def test_record_without_a_data_centre_is_logged_as_malformed(self):
        """Guards against a request of operators that is ignored in silence."""
        refused = Refused(ErrorKind.ENTRY_MALFORMED, "no data centre")
        self.balancer.declare(refused, key="evacuations/")
        self.assertEqual(len(self.steering.cluster_state.evacuations), 0)
        self.assertIn("record_malformed", self.balancer.recorder.names())

    def test_openings_queued_during_a_pause_are_not_sent_there(self):
        """Guards against a balancer that wakes up with knowledge from before."""
        peer = Balancer("edge-2", decoder=self.balancer.decoder)
        peer.steering.apply_changes(
            self.steering.replica.changes_since(Version(0, 0)), peer.now
        )
        version = self.steering.replica.version
        self.balancer.advance(10)
        peer._revision = version.revision
        peer.declare(Evacuation(NEAR))
        self.balancer.now += 8_000
        list(self.steering.tick(self.balancer.now))
        for port in range(20):
            self.assertEqual(self.balancer.open(port).kind, ErrorKind.HELD_TOO_LONG)
        difference = peer.steering.replica.changes_since(version)
        report = heartbeat(revision=difference.revision)
        self.steering.apply_peer_response(report, difference, self.balancer.now)
        self.balancer.advance(60)
        self.assertEqual(self.opened(), {FAR})
