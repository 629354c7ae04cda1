"""Evacuations in random schedules, with returns of the store, peers and late answers.

Each change of a balancer is judged by the order in which operators wrote and removed
the keys, which no balancer knows.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_core.steering.evacuations import EVACUATION_KEPT_MILLIS
from stoattray_core.steering.replica import Version
from tests.evacuation_store import DATA_CENTRES, N_BALANCERS, Fleet, key_of
from tests.restorable_store import exchange
from tests.steering_builders import heartbeat


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

    def has_seen_end(self, data_centre):
        """Return whether an end was logged; one read may hold a begin and its end."""
        return any(
            name == "evacuation"
            and (fields["data_centre"], fields["state"]) == (data_centre, "ended")
            for name, fields in self.balancer.recorder.events
        )

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
            test.assertTrue(self.has_seen_end(data_centre), "ignored, but never ended")
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
