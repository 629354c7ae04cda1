"""Many balancers in one data centre: few read the store, and one always does."""

import unittest
from random import Random

from stoattray_core.steering.member_terms import CONFIRMED_MILLIS
from stoattray_core.steering.members import HEARD_MILLIS, SILENT_FACTOR, MemberTable
from tests.steering_builders import START, heartbeat, member_entry

N_BALANCERS = 100
HEARTBEAT_MILLIS = 200
WATCH_MILLIS = 1_800
"""A reader confirms its copy this often at least."""

MAX_READERS = 3
"""Readers in a data centre at rest: the first, and one or two that just lost sight."""


class DataCentre:
    """Balancers that hear a few heartbeats each, and a store that answers readers."""

    def __init__(self, n_balancers, *, passes_on=True):
        random = Random(7)
        self.now = START
        self.random = random
        self.passes_on = passes_on
        entries = [member_entry(f"edge-{n:03d}") for n in range(n_balancers)]
        self.tables = {entry.name: MemberTable(entry, random) for entry in entries}
        self.confirmed = dict.fromkeys(self.tables, START)
        for table in self.tables.values():
            for entry in entries:
                table.learn(entry, START)

    def readers(self):
        return [
            name
            for name, table in self.tables.items()
            if table.is_reader(self.now, self.now - self.confirmed[name])
        ]

    def step(self):
        """Let one heartbeat period go by."""
        self.now += HEARTBEAT_MILLIS
        for name in self.readers():
            if self.now - self.confirmed[name] >= WATCH_MILLIS:
                self.confirmed[name] = self.now
        for name, table in self.tables.items():
            table.forget(self.now)
            self._tell(name, table)

    def _tell(self, name, table):
        age = self.now - self.confirmed[name]
        is_reader = table.is_reader(self.now, age)
        beat = heartbeat(
            name,
            is_reader=is_reader,
            confirmed_age=age,
            reader=table.first_reader(self.now, age if is_reader else None)
            if self.passes_on
            else None,
        )
        for entry in table.draw_told(self.now, with_far=False):
            if entry.name in self.tables:
                self.tables[entry.name].hear(beat, self.now)
                at = self.now - age
                self.confirmed[entry.name] = max(self.confirmed[entry.name], at)

    def kill(self, name):
        del self.tables[name]

    def run(self, millis):
        """Return the mean number of readers, and the longest age of any copy."""
        counts, ages = [], []
        for _ in range(millis // HEARTBEAT_MILLIS):
            self.step()
            counts.append(len(self.readers()))
            ages.append(max(self.now - self.confirmed[name] for name in self.tables))
        return sum(counts) / len(counts), max(ages)


class ManyBalancersTest(unittest.TestCase):
    """A hundred balancers, of whom each tells eight at a time."""

    def test_few_read_at_rest_and_every_copy_is_confirmed(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        n_readers, age = data_centre.run(20_000)
        self.assertLessEqual(n_readers, MAX_READERS)
        self.assertLessEqual(age, CONFIRMED_MILLIS + HEARTBEAT_MILLIS)

    def test_death_of_the_reader_leaves_copies_confirmed_soon(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        data_centre.kill("edge-000")
        _, age = data_centre.run(5_000)
        self.assertLessEqual(age, CONFIRMED_MILLIS + WATCH_MILLIS)
        n_readers, age = data_centre.run(10_000)
        self.assertLessEqual(n_readers, MAX_READERS)
        self.assertLessEqual(age, CONFIRMED_MILLIS + HEARTBEAT_MILLIS)

    def test_few_balancers_have_one_reader(self):
        data_centre = DataCentre(4)
        data_centre.run(3_000)
        n_readers, _ = data_centre.run(10_000)
        self.assertEqual(n_readers, 1.0)

    def test_live_members_are_not_said_to_be_silent(self):
        data_centre = DataCentre(N_BALANCERS)
        data_centre.run(5_000)
        n_silent = 0
        for _ in range(50):
            data_centre.step()
            table = data_centre.tables["edge-050"]
            n_silent += len(table.forget(data_centre.now))
        self.assertLessEqual(n_silent, 0.05 * N_BALANCERS)


class ReaderTest(unittest.TestCase):
    """What counts as a reader."""

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))

    def test_reader_that_is_passed_on_counts(self):
        self.table.hear(heartbeat("edge-9", is_reader=False), START)
        self.assertTrue(self.table.is_reader(START, 0))
        told = heartbeat("edge-9", is_reader=False, reader=("edge-1", 300))
        self.table.hear(told, START)
        self.assertFalse(self.table.is_reader(START, 0))
        later = START + CONFIRMED_MILLIS - 299
        self.assertTrue(self.table.is_reader(later, 0))

    def test_what_a_reader_denies_itself_is_not_taken_from_others(self):
        self.table.hear(heartbeat("edge-1", is_reader=False), START)
        told = heartbeat("edge-9", is_reader=False, reader=("edge-1", 300))
        self.table.hear(told, START + 100)
        self.assertTrue(self.table.is_reader(START + 100, 0))

    def test_reader_that_fell_silent_counts_no_longer(self):
        self.table.hear(heartbeat("edge-1"), START)
        later = START + HEARD_MILLIS + 1
        told = heartbeat("edge-9", is_reader=False, reader=("edge-1", 1_100))
        self.table.hear(told, later)
        self.assertTrue(self.table.is_reader(later, 0))

    def test_own_name_is_passed_on_while_confirmed(self):
        self.assertEqual(self.table.first_reader(START, 40), ("edge-5", 40))
        self.assertIsNone(self.table.first_reader(START, None))
        self.assertIsNone(self.table.first_reader(START, CONFIRMED_MILLIS + 1))
        self.table.hear(heartbeat("edge-1", confirmed_age=70), START)
        self.assertEqual(self.table.first_reader(START, 40), ("edge-1", 70))

    def test_silence_and_return_are_news_once(self):
        self.assertTrue(self.table.hear(heartbeat("edge-1"), START))
        self.assertFalse(self.table.hear(heartbeat("edge-1"), START + 100))
        later = START + 100 + SILENT_FACTOR * HEARD_MILLIS + 1
        self.assertEqual(self.table.forget(later), ["edge-1"])
        self.assertEqual(self.table.forget(later + 1_000), [])
        self.assertTrue(self.table.hear(heartbeat("edge-1"), later + 2_000))

    def test_far_member_is_told_silent_only_when_it_is_forgotten(self):
        far = heartbeat(member=member_entry("edge-8", data_centre="luzon-b"))
        self.assertTrue(self.table.hear(far, START))
        self.assertEqual(self.table.forget(START + 10_000), [])
        self.assertFalse(self.table.hear(far, START + 10_000))
        self.assertEqual(self.table.forget(START + 70_001), ["edge-8"])

    def test_new_process_of_a_member_is_news(self):
        self.table.hear(heartbeat("edge-1"), START)
        again = heartbeat(member=member_entry("edge-1", incarnation=2))
        self.assertTrue(self.table.hear(again, START + 100))

    def test_members_long_gone_are_forgotten(self):
        self.table.hear(heartbeat("edge-1"), START)
        self.table.forget(START + 60_001)
        self.assertEqual(list(self.table.rows), [])
