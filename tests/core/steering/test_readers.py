"""A large data centre: few balancers read the store, and at least one always does."""

import unittest
from random import Random

from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from stoattray_core.steering.members import (
    LIVENESS_TIMEOUT_MILLIS,
    SILENT_TIMEOUT_FACTOR,
    MemberTable,
)
from tests.steering_builders import START_MILLIS, heartbeat, member_entry

N_BALANCERS = 100
HEARTBEAT_INTERVAL_MILLIS = 200
MAX_CONFIRM_INTERVAL_MILLIS = 1_800
"""Longest time between two confirmations of a reader's replica."""

MAX_READERS = 3
"""Limit in steady state: the first reader, and one or two that lost track of it."""


class DataCentre:
    """Simulated balancers that exchange heartbeats, and a store that answers readers.

    Parameters
    ----------
    n_balancers : int
        Number of balancers.
    shares_reader : bool
        Whether heartbeats carry the first reader that their sender knows.
    """

    def __init__(self, n_balancers, *, shares_reader=True):
        random = Random(7)
        self.now = START_MILLIS
        self.random = random
        self.shares_reader = shares_reader
        entries = [member_entry(f"edge-{n:03d}") for n in range(n_balancers)]
        self.tables = {entry.name: MemberTable(entry, random) for entry in entries}
        self.confirmed = dict.fromkeys(self.tables, START_MILLIS)
        for table in self.tables.values():
            for entry in entries:
                table.discover(entry, START_MILLIS)

    def readers(self):
        return [
            name
            for name, table in self.tables.items()
            if table.must_read_store(self.now, self.now - self.confirmed[name])
        ]

    def step(self):
        """Advance by one heartbeat interval."""
        self.now += HEARTBEAT_INTERVAL_MILLIS
        for name in self.readers():
            if self.now - self.confirmed[name] >= MAX_CONFIRM_INTERVAL_MILLIS:
                self.confirmed[name] = self.now
        for name, table in self.tables.items():
            table.expire(self.now)
            self._send_heartbeats(name, table)

    def _send_heartbeats(self, name, table):
        age = self.now - self.confirmed[name]
        is_reader = table.must_read_store(self.now, age)
        message = heartbeat(
            name,
            is_reader=is_reader,
            confirmed_age=age,
            first_reader=table.first_reader(self.now, age if is_reader else None)
            if self.shares_reader
            else None,
        )
        for entry in table.sample_heartbeat_targets(self.now, include_remote=False):
            if entry.name in self.tables:
                self.tables[entry.name].receive_heartbeat(message, self.now)
                at = self.now - age
                self.confirmed[entry.name] = max(self.confirmed[entry.name], at)

    def crash(self, name):
        del self.tables[name]

    def run(self, millis):
        """Return the mean number of readers and the maximum age of any replica."""
        counts, ages = [], []
        for _ in range(millis // HEARTBEAT_INTERVAL_MILLIS):
            self.step()
            counts.append(len(self.readers()))
            ages.append(max(self.now - self.confirmed[name] for name in self.tables))
        return sum(counts) / len(counts), max(ages)


class ManyBalancersTest(unittest.TestCase):
    """A hundred balancers that each send a heartbeat to eight others at a time."""

    def test_few_read_in_steady_state_and_every_replica_is_confirmed(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        n_readers, age = data_centre.run(20_000)
        self.assertLessEqual(n_readers, MAX_READERS)
        self.assertLessEqual(age, MAX_CONFIRMED_AGE_MILLIS + HEARTBEAT_INTERVAL_MILLIS)

    def test_replicas_stay_confirmed_after_a_crash_of_the_reader(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        data_centre.crash("edge-000")
        _, age = data_centre.run(5_000)
        self.assertLessEqual(
            age, MAX_CONFIRMED_AGE_MILLIS + MAX_CONFIRM_INTERVAL_MILLIS
        )
        n_readers, age = data_centre.run(10_000)
        self.assertLessEqual(n_readers, MAX_READERS)
        self.assertLessEqual(age, MAX_CONFIRMED_AGE_MILLIS + HEARTBEAT_INTERVAL_MILLIS)

    def test_small_data_centre_has_one_reader(self):
        data_centre = DataCentre(4)
        data_centre.run(3_000)
        n_readers, _ = data_centre.run(10_000)
        self.assertEqual(n_readers, 1.0)

    def test_live_members_are_not_reported_silent(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        n_silent = 0
        for _ in range(50):
            data_centre.step()
            table = data_centre.tables["edge-050"]
            n_silent += len(table.expire(data_centre.now))
        self.assertLessEqual(n_silent, 0.05 * N_BALANCERS)


class ReaderTest(unittest.TestCase):
    """Conditions under which a member counts as reader, and silence of members."""

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))

    def test_reader_in_another_heartbeat_counts(self):
        self.table.receive_heartbeat(heartbeat("edge-9", is_reader=False), START_MILLIS)
        self.assertTrue(self.table.must_read_store(START_MILLIS, 0))
        gossip = heartbeat("edge-9", is_reader=False, first_reader=("edge-1", 300))
        self.table.receive_heartbeat(gossip, START_MILLIS)
        self.assertFalse(self.table.must_read_store(START_MILLIS, 0))
        later = START_MILLIS + MAX_CONFIRMED_AGE_MILLIS - 299
        self.assertTrue(self.table.must_read_store(later, 0))

    def test_own_report_of_a_member_overrides_older_gossip(self):
        self.table.receive_heartbeat(heartbeat("edge-1", is_reader=False), START_MILLIS)
        gossip = heartbeat("edge-9", is_reader=False, first_reader=("edge-1", 300))
        self.table.receive_heartbeat(gossip, START_MILLIS + 100)
        self.assertTrue(self.table.must_read_store(START_MILLIS + 100, 0))

    def test_silent_reader_does_not_count(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        later = START_MILLIS + LIVENESS_TIMEOUT_MILLIS + 1
        gossip = heartbeat("edge-9", is_reader=False, first_reader=("edge-1", 1_100))
        self.table.receive_heartbeat(gossip, later)
        self.assertTrue(self.table.must_read_store(later, 0))

    def test_first_reader_is_the_balancer_itself_while_confirmed(self):
        self.assertEqual(self.table.first_reader(START_MILLIS, 40), ("edge-5", 40))
        self.assertIsNone(self.table.first_reader(START_MILLIS, None))
        self.assertIsNone(
            self.table.first_reader(START_MILLIS, MAX_CONFIRMED_AGE_MILLIS + 1)
        )
        self.table.receive_heartbeat(
            heartbeat("edge-1", confirmed_age=70), START_MILLIS
        )
        self.assertEqual(self.table.first_reader(START_MILLIS, 40), ("edge-1", 70))

    def test_silence_and_return_are_reported_once(self):
        self.assertTrue(self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS))
        self.assertFalse(
            self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS + 100)
        )
        later = START_MILLIS + 100 + SILENT_TIMEOUT_FACTOR * LIVENESS_TIMEOUT_MILLIS + 1
        self.assertEqual(self.table.expire(later), ["edge-1"])
        self.assertEqual(self.table.expire(later + 1_000), [])
        self.assertTrue(
            self.table.receive_heartbeat(heartbeat("edge-1"), later + 2_000)
        )

    def test_remote_member_is_reported_silent_on_expiry(self):
        remote = heartbeat(member=member_entry("edge-8", data_centre="luzon-b"))
        self.assertTrue(self.table.receive_heartbeat(remote, START_MILLIS))
        self.assertEqual(self.table.expire(START_MILLIS + 10_000), [])
        self.assertFalse(self.table.receive_heartbeat(remote, START_MILLIS + 10_000))
        self.assertEqual(self.table.expire(START_MILLIS + 70_001), ["edge-8"])

    def test_restart_of_a_member_is_reported(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        restarted = heartbeat(member=member_entry("edge-1", incarnation=2))
        self.assertTrue(self.table.receive_heartbeat(restarted, START_MILLIS + 100))

    def test_expired_members_are_removed(self):
        self.table.receive_heartbeat(heartbeat("edge-1"), START_MILLIS)
        self.table.expire(START_MILLIS + 60_001)
        self.assertEqual(list(self.table.rows), [])
