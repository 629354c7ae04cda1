"""Who reads the store, who is told, and who may turn callers away."""

import unittest
from random import Random

from stoattray_core.steering.member_terms import CONFIRMED_MILLIS
from stoattray_core.steering.members import (
    FORGET_MILLIS,
    HEARD_MILLIS,
    N_FAR_TOLD,
    N_NEAR_TOLD,
    SEEN_READY_MILLIS,
    MemberTable,
)
from tests.steering_builders import START, heartbeat, member_entry


class MemberTableTest(unittest.TestCase):
    """Beliefs about the other balancers."""

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))

    def test_first_by_name_reads_for_the_data_centre(self):
        self.table.hear(heartbeat("edge-9"), START)
        self.assertTrue(self.table.is_reader(START, 0))
        self.table.hear(heartbeat("edge-1"), START)
        self.assertFalse(self.table.is_reader(START, 0))

    def test_another_reads_when_the_reader_falls_silent(self):
        self.table.hear(heartbeat("edge-1"), START)
        self.assertTrue(self.table.is_reader(START + HEARD_MILLIS + 1, 0))

    def test_another_reads_when_the_store_turns_the_reader_away(self):
        turned_away = heartbeat("edge-1", confirmed_age=CONFIRMED_MILLIS + 1)
        self.table.hear(turned_away, START)
        self.assertTrue(self.table.is_reader(START, 0))

    def test_another_reads_as_soon_as_the_reader_says_it_is_turned_away(self):
        self.table.hear(heartbeat("edge-1", is_reader=False), START)
        self.assertTrue(self.table.is_reader(START, 0))
        self.assertEqual(self.table.n_before(START), 1)

    def test_unconfirmed_copy_makes_a_reader_of_everyone(self):
        self.table.hear(heartbeat("edge-1"), START)
        self.assertTrue(self.table.is_reader(START, CONFIRMED_MILLIS + 1))

    def test_readers_elsewhere_do_not_count(self):
        far = heartbeat(member=member_entry("edge-1", data_centre="luzon-b"))
        self.table.hear(far, START)
        self.assertTrue(self.table.is_reader(START, 0))

    def test_older_incarnation_is_not_believed(self):
        new = heartbeat(member=member_entry("edge-1", incarnation=2))
        self.table.hear(new, START)
        self.assertFalse(self.table.hear(heartbeat("edge-1", revision=9), START))
        [row] = self.table.rows
        self.assertEqual(row.revision, 0)

    def test_restart_with_a_clock_set_back_is_heard_once_the_old_process_is_silent(
        self,
    ):
        self.table.hear(heartbeat(member=member_entry("edge-1", incarnation=9)), START)
        later = START + HEARD_MILLIS + 1
        self.assertTrue(self.table.hear(heartbeat("edge-1", revision=4), later))
        [row] = self.table.rows
        self.assertEqual((row.revision, row.entry.incarnation), (4, 1))

    def test_what_a_member_says_of_itself_goes_before_what_others_say(self):
        self.table.hear(heartbeat("edge-1"), START)
        old = member_entry("edge-1", incarnation=9, host="10.1.0.99")
        self.table.learn(old, START + 1)
        [row] = self.table.rows
        self.assertEqual(row.entry.host, "10.1.0.10")
        self.assertFalse(self.table.hear(heartbeat("edge-1", revision=4), START + 2))
        self.assertEqual(row.revision, 4)

    def test_member_that_is_silent_is_learned_anew_from_others(self):
        self.table.hear(heartbeat("edge-1"), START)
        moved = member_entry("edge-1", incarnation=9, host="10.1.0.99")
        self.table.learn(moved, START + HEARD_MILLIS + 1)
        [row] = self.table.rows
        self.assertEqual(row.entry.host, "10.1.0.99")

    def test_number_told_is_bounded(self):
        for number in range(200):
            self.table.learn(member_entry(f"near-{number}"), START)
            far = member_entry(f"far-{number}", data_centre="luzon-b")
            self.table.learn(far, START)
        self.assertEqual(len(self.table.draw_told(START, with_far=False)), N_NEAR_TOLD)
        self.assertEqual(
            len(self.table.draw_told(START, with_far=True)), N_NEAR_TOLD + N_FAR_TOLD
        )

    def test_members_that_are_long_gone_are_not_told(self):
        self.table.learn(member_entry("edge-1"), START)
        later = START + FORGET_MILLIS + 1
        self.assertEqual(self.table.draw_told(later, with_far=True), [])

    def test_copies_are_asked_of_ready_members_or_of_those_only_known(self):
        known = member_entry("edge-1")
        self.table.learn(known, START)
        self.assertEqual(self.table.draw_ready(START, 3), [known])
        self.table.hear(heartbeat("edge-2"), START)
        self.table.hear(heartbeat("edge-3", is_ready=False), START)
        drawn = self.table.draw_ready(START, 3)
        self.assertEqual([entry.name for entry in drawn], ["edge-2"])

    def test_itself_is_no_other_member(self):
        self.assertFalse(self.table.hear(heartbeat("edge-5"), START))
        self.assertEqual(list(self.table.rows), [])

    def test_members_are_learned_from_others(self):
        self.table.hear(heartbeat("edge-1", known=(member_entry("edge-7"),)), START)
        self.assertEqual(
            {row.entry.name for row in self.table.rows}, {"edge-1", "edge-7"}
        )


class TurnAwayTest(unittest.TestCase):
    """A stop in turn leaves half of a data centre's balancers ready."""

    def setUp(self):
        self.table = MemberTable(member_entry("edge-5"), Random(1))
        for name in ("edge-1", "edge-2"):
            self.table.hear(heartbeat(name), START)
        self.now = START + SEEN_READY_MILLIS

    def hear(self, name, **changes):
        self.table.hear(heartbeat(name, **changes), self.now)

    def test_may_while_the_others_are_ready(self):
        self.hear("edge-1")
        self.hear("edge-2")
        self.assertTrue(self.table.may_turn_away(self.now))

    def test_waits_while_another_is_leaving(self):
        self.hear("edge-1")
        self.hear("edge-2", is_ready=False)
        self.assertFalse(self.table.may_turn_away(self.now))

    def test_waits_while_another_is_down(self):
        self.now += HEARD_MILLIS + 1
        self.hear("edge-1")
        self.assertFalse(self.table.may_turn_away(self.now))

    def test_waits_until_routers_have_seen_the_return(self):
        self.hear("edge-1")
        self.hear("edge-2", is_ready=False)
        self.hear("edge-2")
        self.assertFalse(self.table.may_turn_away(self.now))
        self.now += SEEN_READY_MILLIS
        self.hear("edge-1")
        self.hear("edge-2")
        self.assertTrue(self.table.may_turn_away(self.now))

    def test_last_of_a_data_centre_may(self):
        table = MemberTable(member_entry("edge-5"), Random(1))
        self.assertTrue(table.may_turn_away(START))
