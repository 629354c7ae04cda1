"""Liveness of members, choice of the reader and heartbeat targets, becoming unready."""

import unittest
from random import Random

from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from stoattray_core.steering.members import (
    LIVENESS_TIMEOUT_MILLIS,
    MEMBER_EXPIRY_MILLIS,
    N_LOCAL_TARGETS,
    N_REMOTE_TARGETS,
    READINESS_PROPAGATION_MILLIS,
    MemberTable,
)
from tests.steering_builders import START_MILLIS, heartbeat, member_entry


class MemberTableTest(unittest.TestCase):
    """State of the other balancers."""

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))

    def test_first_by_name_is_the_reader(self):
        self.table.receive_heartbeat(heartbeat("edge-9"), START_MILLIS)
        self.assertTrue(self.table.must_read_store(START_MILLIS, 0))
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        self.assertFalse(self.table.must_read_store(START_MILLIS, 0))

    def test_next_member_reads_when_the_reader_is_silent(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        self.assertTrue(
            self.table.must_read_store(START_MILLIS + LIVENESS_TIMEOUT_MILLIS + 1, 0)
        )

    def test_next_member_reads_when_the_reader_is_unconfirmed(self):
        unconfirmed = heartbeat("edge-1", confirmed_age=MAX_CONFIRMED_AGE_MILLIS + 1)
        self.table.receive_heartbeat(unconfirmed, START_MILLIS)
        self.assertTrue(self.table.must_read_store(START_MILLIS, 0))

    def test_next_member_reads_when_the_reader_reports_a_failure(self):
        self.table.receive_heartbeat(heartbeat("edge-1", is_reader=False), START_MILLIS)
        self.assertTrue(self.table.must_read_store(START_MILLIS, 0))
        self.assertEqual(self.table.n_preceding(START_MILLIS), 1)

    def test_member_with_an_unconfirmed_replica_reads(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        self.assertTrue(
            self.table.must_read_store(START_MILLIS, MAX_CONFIRMED_AGE_MILLIS + 1)
        )

    def test_remote_readers_are_ignored(self):
        remote = heartbeat(member=member_entry("edge-1", data_centre="luzon-b"))
        self.table.receive_heartbeat(remote, START_MILLIS)
        self.assertTrue(self.table.must_read_store(START_MILLIS, 0))

    def test_lower_incarnation_is_ignored(self):
        new = heartbeat(member=member_entry("edge-1", incarnation=2))
        self.table.receive_heartbeat(new, START_MILLIS)
        self.assertFalse(
            self.table.receive_heartbeat(heartbeat("edge-1", revision=9), START_MILLIS)
        )
        [row] = self.table.rows
        self.assertEqual(row.version, (0, 0))

    def test_restart_with_a_clock_set_back_is_accepted_after_the_timeout(self):
        self.table.receive_heartbeat(
            heartbeat(member=member_entry("edge-1", incarnation=9)), START_MILLIS
        )
        later = START_MILLIS + LIVENESS_TIMEOUT_MILLIS + 1
        self.assertTrue(
            self.table.receive_heartbeat(heartbeat("edge-1", revision=4), later)
        )
        [row] = self.table.rows
        self.assertEqual((row.version, row.entry.incarnation), ((0, 4), 1))

    def test_gossip_does_not_replace_the_entry_of_a_live_member(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        old = member_entry("edge-1", incarnation=9, host="10.1.0.99")
        self.table.discover(old, START_MILLIS + 1)
        [row] = self.table.rows
        self.assertEqual(row.entry.host, "10.1.0.10")
        self.assertFalse(
            self.table.receive_heartbeat(
                heartbeat("edge-1", revision=4), START_MILLIS + 2
            )
        )
        self.assertEqual(row.version, (0, 4))

    def test_gossip_replaces_the_entry_of_a_silent_member(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        moved = member_entry("edge-1", incarnation=9, host="10.1.0.99")
        self.table.discover(moved, START_MILLIS + LIVENESS_TIMEOUT_MILLIS + 1)
        [row] = self.table.rows
        self.assertEqual(row.entry.host, "10.1.0.99")

    def test_number_of_heartbeat_targets_is_bounded(self):
        for number in range(200):
            self.table.discover(member_entry(f"local-{number}"), START_MILLIS)
            remote = member_entry(f"remote-{number}", data_centre="luzon-b")
            self.table.discover(remote, START_MILLIS)
        self.assertEqual(
            len(
                self.table.sample_heartbeat_targets(START_MILLIS, include_remote=False)
            ),
            N_LOCAL_TARGETS,
        )
        self.assertEqual(
            len(self.table.sample_heartbeat_targets(START_MILLIS, include_remote=True)),
            N_LOCAL_TARGETS + N_REMOTE_TARGETS,
        )

    def test_expired_members_are_no_heartbeat_targets(self):
        self.table.discover(member_entry("edge-1"), START_MILLIS)
        later = START_MILLIS + MEMBER_EXPIRY_MILLIS + 1
        self.assertEqual(
            self.table.sample_heartbeat_targets(later, include_remote=True), []
        )

    def test_snapshots_come_from_ready_members_or_else_known_ones(self):
        known = member_entry("edge-1")
        self.table.discover(known, START_MILLIS)
        self.assertEqual(self.table.sample_snapshot_sources(START_MILLIS, 3), [known])
        self.table.receive_heartbeat(heartbeat("edge-2"), START_MILLIS)
        self.table.receive_heartbeat(heartbeat("edge-3", is_ready=False), START_MILLIS)
        drawn = self.table.sample_snapshot_sources(START_MILLIS, 3)
        self.assertEqual([entry.name for entry in drawn], ["edge-2"])

    def test_own_heartbeat_is_ignored(self):
        self.assertFalse(
            self.table.receive_heartbeat(heartbeat("edge-5"), START_MILLIS)
        )
        self.assertEqual(list(self.table.rows), [])

    def test_members_are_discovered_by_gossip(self):
        self.table.receive_heartbeat(
            heartbeat("edge-1", live_members=(member_entry("edge-7"),)), START_MILLIS
        )
        self.assertEqual(
            {row.entry.name for row in self.table.rows}, {"edge-1", "edge-7"}
        )


class BecomeUnreadyTest(unittest.TestCase):
    """A rolling stop leaves at least half of a data centre's balancers ready.

    Otherwise routers would send to all of them, including those that are down.
    """

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))
        for name in ("edge-1", "edge-2"):
            self.table.receive_heartbeat(heartbeat(name), START_MILLIS)
        self.now = START_MILLIS + READINESS_PROPAGATION_MILLIS

    def receive(self, name, **changes):
        self.table.receive_heartbeat(heartbeat(name, **changes), self.now)

    def test_allowed_while_the_others_are_ready(self):
        self.receive("edge-1")
        self.receive("edge-2")
        self.assertTrue(self.table.may_become_unready(self.now))

    def test_refused_while_another_is_draining(self):
        self.receive("edge-1")
        self.receive("edge-2", is_ready=False)
        self.assertFalse(self.table.may_become_unready(self.now))

    def test_refused_while_another_is_down(self):
        self.now += LIVENESS_TIMEOUT_MILLIS + 1
        self.receive("edge-1")
        self.assertFalse(self.table.may_become_unready(self.now))

    def test_refused_until_routers_know_of_a_return(self):
        self.receive("edge-1")
        self.receive("edge-2", is_ready=False)
        self.receive("edge-2")
        self.assertFalse(self.table.may_become_unready(self.now))
        self.now += READINESS_PROPAGATION_MILLIS
        self.receive("edge-1")
        self.receive("edge-2")
        self.assertTrue(self.table.may_become_unready(self.now))

    def test_allowed_for_the_only_balancer_of_a_data_centre(self):
        table = MemberTable(member_entry("edge-5"), Random(1))
        self.assertTrue(table.may_become_unready(START_MILLIS))
