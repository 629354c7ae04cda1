"""Rule, split and sent work of the traffic between data centres."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from stoattray_core.steering.locality import (
    BEGIN_LOAD,
    NEARLY_FULL_QUEUE,
    Reason,
    SentWork,
    ServiceLoad,
    expected_millis,
    is_queue_nearly_full,
    reason_to_leave,
    split,
)
from tests.steering_builders import START_MILLIS, server_row

DISTANCES = {"b": 7.0, "c": 7.0, "d": 30.0}
LOADS = st.dictionaries(
    st.sampled_from("abcd"),
    st.builds(ServiceLoad, st.floats(0, 200), st.floats(0, 60)),
)


def reason(local, remote, target=553, *, is_nearly_full=False):
    """Return why an opening of a route with a target of 553 ms leaves."""
    return reason_to_leave(local, remote, target, is_nearly_full=is_nearly_full)


class RuleTest(unittest.TestCase):
    """When an opening leaves."""

    def test_short_wait_that_harms_no_caller_stays(self):
        self.assertIsNone(reason(100.0, 54.0))

    def test_wait_above_a_share_of_the_target_leaves(self):
        self.assertIs(reason(300.0, 54.0), Reason.LATE)

    def test_queue_about_to_be_full_leaves(self):
        self.assertIs(reason(200.0, 54.0, is_nearly_full=True), Reason.QUEUE_FULL)

    def test_nothing_leaves_for_a_longer_wait_elsewhere(self):
        self.assertIsNone(reason(300.0, 300.0, is_nearly_full=True))

    def test_without_target_only_the_queue_counts(self):
        self.assertIsNone(reason(9_000.0, 54.0, None))
        self.assertIs(reason(200.0, 54.0, None, is_nearly_full=True), Reason.QUEUE_FULL)

    def test_free_slot_costs_one_service_time(self):
        self.assertEqual(expected_millis(server_row(), 47.0, START_MILLIS), 47.0)

    def test_expected_time_counts_requests_ahead_and_warm_up(self):
        row = server_row()
        row.n_pending_requests, row.n_peer_requests, row.n_half_open = 1, 3, 1
        self.assertEqual(expected_millis(row, 10.0, START_MILLIS), 30.0)
        row.warm_at = START_MILLIS + 1
        self.assertEqual(expected_millis(row, 10.0, START_MILLIS), 50.0)

    def test_queue_is_nearly_full_before_the_server_refuses(self):
        row = server_row()
        row.n_peer_requests = 2 + NEARLY_FULL_QUEUE - 1
        self.assertFalse(is_queue_nearly_full(row))
        row.n_pending_requests = 1
        self.assertTrue(is_queue_nearly_full(row))


class SplitTest(unittest.TestCase):
    """Which slots elsewhere an excess may use."""

    def test_excess_goes_to_spare_capacity_in_proportion(self):
        loads = {
            "a": ServiceLoad(39.0, 30.0),
            "b": ServiceLoad(7.0, 30.0),
            "c": ServiceLoad(17.0, 30.0),
        }
        slots = split(loads, {"a"}, "a", DISTANCES)
        self.assertAlmostEqual(slots["b"], 10.0)
        self.assertAlmostEqual(slots["c"], 5.0)

    def test_nearest_data_centre_is_used_first(self):
        loads = {
            "a": ServiceLoad(34.0, 30.0),
            "b": ServiceLoad(7.0, 30.0),
            "d": ServiceLoad(0.0, 30.0),
        }
        self.assertEqual(set(split(loads, {"a"}, "a", DISTANCES)), {"b"})
        loads["a"] = ServiceLoad(50.0, 30.0)
        slots = split(loads, {"a"}, "a", DISTANCES)
        self.assertAlmostEqual(slots["b"], 20.0)
        self.assertAlmostEqual(slots["d"], 6.0)

    def test_burst_everywhere_moves_nothing(self):
        loads = {name: ServiceLoad(40.0, 30.0) for name in "abcd"}
        self.assertEqual(split(loads, set("abcd"), "a", DISTANCES), {})

    def test_data_centre_without_excess_sends_nothing(self):
        loads = {"a": ServiceLoad(10.0, 30.0), "b": ServiceLoad(0.0, 30.0)}
        self.assertEqual(split(loads, set(), "a", DISTANCES), {})

    def test_data_centre_whose_excess_is_about_to_end_receives_nothing(self):
        """Guards against openings in both directions between two data centres."""
        loads = {"a": ServiceLoad(60.0, 30.0), "b": ServiceLoad(25.5, 30.0)}
        self.assertEqual(split(loads, {"a", "b"}, "a", DISTANCES), {})

    def test_near_data_centre_is_not_part_of_the_split(self):
        loads = {"a": ServiceLoad(60.0, 30.0), "b": ServiceLoad(0.0, 30.0)}
        self.assertEqual(split(loads, {"a"}, "a", {}), {})

    def test_excess_ends_below_the_level_at_which_it_begins(self):
        between = ServiceLoad(25.5, 30.0)
        self.assertFalse(between.has_excess(had_excess=False))
        self.assertTrue(between.has_excess(had_excess=True))
        self.assertFalse(ServiceLoad(23.0, 30.0).has_excess(had_excess=True))

    @given(LOADS, st.booleans())
    def test_no_two_data_centres_send_to_each_other_and_none_gets_too_much(
        self, loads, had_excess
    ):
        """Guards against traffic in circles and against overload moved elsewhere."""
        excess_at = {
            name
            for name, load in loads.items()
            if load.has_excess(had_excess=had_excess)
        }
        received = dict.fromkeys("abcd", 0.0)
        for source in "abcd":
            distances = {n: 7.0 for n in "abcd" if n != source}
            slots = split(loads, excess_at, source, distances)
            if slots:
                self.assertIn(source, excess_at)
                self.assertFalse(slots.keys() & excess_at)
                self.assertLessEqual(sum(slots.values()), loads[source].excess + 1e-6)
            for name, n_slots in slots.items():
                received[name] += n_slots
        for name, load in loads.items():
            limit = max(0.0, BEGIN_LOAD * load.capacity - load.load)
            self.assertLessEqual(received[name], limit + 1e-6)


class SentWorkTest(unittest.TestCase):
    """Work that one balancer sent to its part of the spare slots."""

    def test_part_below_one_slot_gets_openings_at_its_rate(self):
        """Guards against starvation and against one opening for each balancer."""
        sent = SentWork(0.0)
        n_openings = 0
        for now in range(0, 10_000, 10):
            sent.update(0.2, now)
            if sent.has_room(0.2, 50.0):
                sent.add(50.0)
                n_openings += 1
        self.assertAlmostEqual(n_openings, 0.2 * 10_000 / 50, delta=2)

    def test_slots_are_used_at_once_and_no_more(self):
        """Guards against a queue elsewhere in place of one here."""
        sent = SentWork(0.0)
        sent.update(3.0, 0)
        n_openings = 0
        while sent.has_room(3.0, 50.0):
            sent.add(50.0)
            n_openings += 1
        self.assertEqual(n_openings, 3)
        sent.update(3.0, 50)
        self.assertTrue(sent.has_room(3.0, 50.0))

    def test_no_slots_give_no_room(self):
        self.assertFalse(SentWork(0.0).has_room(0.0, 50.0))
