"""Evacuations with a store that returns from older copies, with peers and late answers.

The random schedules judge each change of a balancer by the order in which operators
wrote and removed the keys, which no balancer knows.
"""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_balancer.steering.store_reader import StoreReader
from stoattray_core.steering.entries import Evacuation
from stoattray_core.steering.evacuations import EVACUATION_KEPT_MILLIS
from stoattray_core.steering.replica import Version
from tests.restorable_store import RestorableStore, exchange
from tests.steering_builders import (
    Balancer,
    EntryDecoder,
    configuration,
    heartbeat,
    server_entry,
)

N_BALANCERS = 3
DATA_CENTRES = ("luzon-a", "luzon-b", "luzon-c")


def key_of(data_centre):
    """Return the key that evacuates a data centre."""
    return f"evacuations/{data_centre}"


class Fleet:
    """Balancers, their store, and operators who evacuate data centres."""

    def __init__(self, n_balancers=N_BALANCERS):
        self.store = RestorableStore(EntryDecoder())
        self.balancers = [self.new_balancer(n) for n in range(n_balancers)]
        self.wanted = set()
        self.n_writes = 0
        self.write_numbers = {}
        self.store.write("configuration", configuration())
        for number, data_centre in enumerate(DATA_CENTRES):
            entry = server_entry(f"i-0{number}", data_centre=data_centre)
            self.store.write(f"servers/{entry.name}", entry)

    def new_balancer(self, number):
        return Balancer(f"edge-{number}", decoder=self.store._decoder)

    def write(self, data_centre):
        self.wanted.add(data_centre)
        self.store.write(key_of(data_centre), Evacuation(data_centre))
        self.n_writes += 1
        record = self.store.records[key_of(data_centre)]
        self.write_numbers[id(record)] = (self.n_writes, record)

    def remove(self, data_centre):
        self.wanted.discard(data_centre)
        self.store.delete(key_of(data_centre))

    def write_again(self):
        """Let operators repeat what the store may have lost."""
        for data_centre in DATA_CENTRES:
            if data_centre in self.wanted:
                self.write(data_centre)
            else:
                self.remove(data_centre)

    def write_number(self, record):
        """Return the number of the write that a record is from."""
        return self.write_numbers[id(record)][0]

    def read(self, balancer):
        """Read until the replica is complete."""
        reader = StoreReader(
            balancer.steering,
            self.store,
            clock=lambda: balancer.now,
            random=Random(1),
            on_event=balancer.recorder,
        )
        for _ in range(4):
            reader._read_once()
            if balancer.steering.replica.version == self.version:
                return
        raise AssertionError(balancer.steering.replica.version)

    @property
    def version(self):
        return Version(self.store.era, self.store.revision)


class RestoredEvacuationTest(unittest.TestCase):
    """One balancer, and a store that returns from an older copy."""

    def setUp(self):
        self.fleet = Fleet(1)
        self.store = self.fleet.store
        [self.balancer] = self.fleet.balancers
        self.evacuations = self.balancer.steering.cluster_state.evacuations
        self.fleet.read(self.balancer)

    def read(self):
        self.fleet.read(self.balancer)

    def advance(self, millis):
        self.balancer.now += millis
        self.balancer.steering.remove_expired(self.balancer.now)

    def states(self):
        return [
            fields["state"]
            for name, fields in self.balancer.recorder.events
            if name == "evacuation"
        ]

    def is_evacuated(self):
        return self.evacuations.is_evacuated("luzon-a")

    def lose_evacuation(self):
        """Let the store return from a copy without an evacuation in force."""
        self.store.take_copy()
        self.fleet.write("luzon-a")
        self.read()
        self.store.restore()
        self.read()

    def test_ended_evacuation_is_not_restored_and_logged(self):
        """Guards against a copy that empties a data centre again."""
        self.fleet.write("luzon-a")
        self.read()
        self.store.take_copy()
        self.fleet.remove("luzon-a")
        self.read()
        self.store.restore()
        self.read()
        self.assertFalse(self.is_evacuated())
        events = [fields for name, fields in self.balancer.recorder.events]
        self.assertIn({"key": key_of("luzon-a")}, events)
        self.fleet.remove("luzon-a")
        self.read()
        self.assertEqual(self.states(), ["begun", "ended"])
        self.fleet.write("luzon-a")
        self.read()
        self.assertTrue(self.is_evacuated())

    def test_record_written_again_beside_an_outdated_one_applies_in_the_next_era(self):
        """Guards against a comparison by value: all records have the same."""
        self.fleet.write("luzon-a")
        self.read()
        self.store.take_copy()
        self.fleet.remove("luzon-a")
        self.read()
        self.store.restore()
        self.read()
        self.assertFalse(self.is_evacuated())
        self.fleet.write("luzon-a")
        self.store.take_copy()
        self.store.restore()
        self.read()
        self.assertTrue(self.is_evacuated())

    def test_lost_evacuation_is_kept_until_it_is_written_and_removed(self):
        """Guards against openings to a data centre whose record was lost."""
        self.lose_evacuation()
        self.assertTrue(self.is_evacuated())
        self.fleet.write("luzon-a")
        self.read()
        self.advance(2 * EVACUATION_KEPT_MILLIS)
        self.assertTrue(self.is_evacuated())
        self.fleet.remove("luzon-a")
        self.read()
        self.assertFalse(self.is_evacuated())
        self.assertEqual(self.states(), ["begun", "kept", "begun", "ended"])

    def test_lost_evacuation_ends_after_the_longest_time(self):
        """Guards against a data centre that is never used again."""
        self.lose_evacuation()
        self.advance(EVACUATION_KEPT_MILLIS - 1)
        self.assertTrue(self.is_evacuated())
        self.advance(1)
        self.assertFalse(self.is_evacuated())
        self.assertEqual(self.evacuations.ended_at("luzon-a"), self.balancer.now)
        self.assertEqual(self.states(), ["begun", "kept", "ended"])

    def test_end_of_a_kept_evacuation_reaches_one_that_learns_from_a_peer(self):
        """Guards against waiting 60 s since the peer sends only the removal."""
        self.lose_evacuation()
        peer = self.fleet.new_balancer(8)
        self.fleet.read(peer)
        self.fleet.write("luzon-a")
        self.fleet.read(peer)
        self.fleet.remove("luzon-a")
        self.fleet.read(peer)
        exchange(self.balancer, peer)
        self.assertFalse(self.is_evacuated())

    def test_removal_in_an_older_era_does_not_end_a_kept_evacuation(self):
        """Guards against a peer that was cut off and sends what the store lost."""
        peer = self.fleet.new_balancer(8)
        self.fleet.read(peer)
        self.store.take_copy()
        self.fleet.write("luzon-a")
        self.fleet.read(peer)
        self.read()
        before = peer.steering.replica.version
        self.fleet.remove("luzon-a")
        self.fleet.read(peer)
        older = peer.steering.replica.changes_since(before)
        self.assertEqual([record.value for record in older.records], [None])
        self.store.restore()
        self.read()
        self.balancer.steering.apply_changes(older, self.balancer.now)
        self.assertTrue(self.is_evacuated())

    def test_lost_history_applies_whether_the_key_exists_or_not(self):
        """Guards against a snapshot of the same era that changes no evacuation."""
        steering = self.balancer.steering
        self.fleet.write("luzon-a")
        steering.apply_changes(self.store.read_all(), self.balancer.now)
        self.assertTrue(self.is_evacuated())
        self.fleet.write("luzon-b")
        self.fleet.remove("luzon-a")
        steering.apply_changes(self.store.read_all(), self.balancer.now)
        self.assertFalse(self.is_evacuated())
        self.assertTrue(self.evacuations.is_evacuated("luzon-b"))

    def test_balancer_that_starts_after_the_return_knows_only_the_copy(self):
        """Shows the limit that the design note names."""
        self.lose_evacuation()
        starting = self.fleet.new_balancer(9)
        self.fleet.read(starting)
        self.assertEqual(len(starting.steering.cluster_state.evacuations), 0)


class History:
    """What one balancer has seen, checked against the operators' writes."""

    def __init__(self, fleet, balancer):
        self.fleet = fleet
        self.balancer = balancer
        self.relied_on = dict.fromkeys(DATA_CENTRES, 0)
        self.ended = dict.fromkeys(DATA_CENTRES, 0)
        self.unlisted_since = {}
        self.before = set()
        self.era = -1
        self.first_revision = 0

    @property
    def evacuated(self):
        """Return the data centres that the balancer excludes."""
        evacuations = self.balancer.steering.cluster_state.evacuations
        return {name for name in DATA_CENTRES if evacuations.is_evacuated(name)}

    def record(self, data_centre):
        """Return the record that the balancer holds."""
        return self.balancer.steering.replica.get(key_of(data_centre))

    def check(self, test):
        """Check what a step has changed."""
        version = self.balancer.steering.replica.version
        if version.revision > 0 and version.era != self.era:
            self.era, self.first_revision = version
        after = self.evacuated
        for data_centre in DATA_CENTRES:
            self._check(test, data_centre, data_centre in after)
        self.before = after

    def _check(self, test, data_centre, is_evacuated):
        record = self.record(data_centre)
        number = 0 if record is None else self.fleet.write_number(record)
        if is_evacuated and data_centre not in self.before:
            test.assertIsNotNone(record, "began without a record")
            test.assertGreater(number, self.ended[data_centre], "was restored")
        if not is_evacuated and data_centre in self.before:
            self.ended[data_centre] = self.relied_on[data_centre]
        if is_evacuated:
            self.relied_on[data_centre] = max(self.relied_on[data_centre], number)
        if record is not None and record.revision > self.first_revision:
            test.assertTrue(is_evacuated, "a new record was ignored")
        if record is not None and not is_evacuated:
            test.assertGreater(self.ended[data_centre], 0, "ignored, but never ended")
        now = self.balancer.now
        if is_evacuated and record is None:
            since = self.unlisted_since.setdefault(data_centre, now)
            test.assertLess(now - since, EVACUATION_KEPT_MILLIS, "kept for too long")
        else:
            self.unlisted_since.pop(data_centre, None)


STEPS = (
    "write",
    "write",
    "remove",
    "copy",
    "restore",
    "read",
    "read",
    "exchange",
    "exchange",
    "hold",
    "late",
    "start",
    "wait",
)


class RandomScheduleTest(unittest.TestCase):
    """Writes, removals, returns, late answers and peers in any order."""

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(STEPS), st.integers(0, 8)),
            min_size=5,
            max_size=60,
        )
    )
    def test_nothing_ended_is_restored_and_nothing_in_force_is_lost(self, steps):
        """Guards against orders of events that no other test names."""
        fleet = Fleet()
        histories = [History(fleet, balancer) for balancer in fleet.balancers]
        held = []
        for step, pick in steps:
            self.run_step(fleet, histories, held, step, pick)
            for history in histories:
                history.check(self)
        self.check_end(fleet, histories)

    def run_step(self, fleet, histories, held, step, pick):
        data_centre = DATA_CENTRES[pick % 3]
        number = pick // 3
        balancer = fleet.balancers[number]
        if step == "write":
            fleet.write(data_centre)
        elif step == "remove":
            fleet.remove(data_centre)
        elif step == "copy":
            fleet.store.take_copy()
        elif step == "restore":
            fleet.store.restore()
        elif step == "read":
            fleet.read(balancer)
        elif step == "exchange":
            exchange(balancer, fleet.balancers[(number + 1 + pick % 2) % N_BALANCERS])
        elif step == "hold":
            held.append(balancer.steering.replica.changes_since(Version(0, 0)))
        elif step == "late" and held:
            late = held[pick % len(held)]
            balancer.steering.apply_peer_response(heartbeat(), late, balancer.now)
        elif step == "start":
            now = balancer.now
            fleet.balancers[number] = fleet.new_balancer(number)
            fleet.balancers[number].now = now
            histories[number] = History(fleet, fleet.balancers[number])
        elif step == "wait":
            for other in fleet.balancers:
                other.now += 15_000
                other.steering.remove_expired(other.now)

    def check_end(self, fleet, histories):
        """Check that balancers agree once operators have repeated their writes."""
        for balancer in fleet.balancers:
            fleet.read(balancer)
        fleet.write_again()
        for history in histories:
            fleet.read(history.balancer)
            history.check(self)
        for history in histories:
            history.balancer.now += EVACUATION_KEPT_MILLIS
            history.balancer.steering.remove_expired(history.balancer.now)
            history.unlisted_since.clear()
            self.assertEqual(history.evacuated, fleet.wanted)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("write", "remove", "read", "exchange", "late")),
                st.integers(0, 8),
            ),
            max_size=60,
        )
    )
    def test_same_version_means_same_data_centres_without_a_return(self, steps):
        """Guards against balancers that disagree although their replicas are equal."""
        fleet = Fleet()
        histories = [History(fleet, balancer) for balancer in fleet.balancers]
        held = []
        for step, pick in steps:
            self.run_step(fleet, histories, held, "hold", pick)
            self.run_step(fleet, histories, held, step, pick)
            for history in histories:
                listed = {name for name in DATA_CENTRES if history.record(name)}
                self.assertEqual(history.evacuated, listed)
