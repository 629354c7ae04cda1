"""Confirmation of the replica that the ownership of cold servers relies on."""

import unittest

from stoattray_core.steering.owner_confirmation import (
    MAX_RUN_GAP_MILLIS,
    OWNER_CONFIRMED_MILLIS,
    QUEUED_REPORT_MILLIS,
    REPORT_DELAY_MILLIS,
    OwnerConfirmation,
)


class OwnerConfirmationTest(unittest.TestCase):
    """Which reports and answers confirm the replica, and as of when."""

    def setUp(self):
        self.confirmation = OwnerConfirmation()

    def run_until(self, end):
        for now in range(end - 1_000, end + 1, 50):
            self.confirmation.note_running(now)

    def test_is_recent_for_the_limit(self):
        """Guards against an owner that goes on after its replica is too old."""
        self.assertFalse(self.confirmation.is_recent(100))
        self.confirmation.confirm(100)
        self.assertTrue(self.confirmation.is_recent(100 + OWNER_CONFIRMED_MILLIS))
        self.assertFalse(self.confirmation.is_recent(101 + OWNER_CONFIRMED_MILLIS))

    def test_an_older_time_changes_nothing(self):
        """Guards against reports that arrive in another order."""
        self.confirmation.confirm(500)
        self.confirmation.confirm(300)
        self.assertEqual(self.confirmation.age(500), 0)

    def test_reports_queued_during_a_pause_confirm_nothing(self):
        """Guards against an owner that wakes up and trusts reports from before."""
        self.run_until(10_000)
        self.confirmation.confirm_by_report(9_990, 10_000)
        self.confirmation.note_running(15_000)
        self.confirmation.confirm_by_report(14_990, 15_000)
        self.assertEqual(self.confirmation.age(15_000), 5_010 + REPORT_DELAY_MILLIS)
        now = 15_000 + QUEUED_REPORT_MILLIS
        self.confirmation.note_running(now - 100)
        self.confirmation.note_running(now)
        self.confirmation.confirm_by_report(now - 10, now)
        self.assertEqual(self.confirmation.age(now), 10 + REPORT_DELAY_MILLIS)

    def test_balancers_without_the_store_do_not_confirm_each_other(self):
        """Guards against an age that shrinks by the delay of each report."""
        both = OwnerConfirmation(), OwnerConfirmation()
        both[0].confirm(10_000)
        now = 10_000
        for number in range(400):
            sender, receiver = both[number % 2], both[1 - number % 2]
            age = sender.age(now)
            now += REPORT_DELAY_MILLIS
            receiver.confirm_by_report(now - age, now)
        self.assertFalse(both[0].is_recent(now))
        self.assertFalse(both[1].is_recent(now))

    def test_without_a_pause_reports_confirm(self):
        """Guards against a rule that takes every late tick for a pause."""
        self.run_until(10_000)
        now = 10_000 + MAX_RUN_GAP_MILLIS
        self.confirmation.note_running(now)
        self.confirmation.confirm_by_report(now - 10, now)
        self.assertEqual(self.confirmation.age(now), 10 + REPORT_DELAY_MILLIS)

    def test_the_answer_to_a_watch_confirms_as_of_its_arrival(self):
        """Guards against readers whose confirmation is always a second old."""
        self.run_until(10_000)
        self.confirmation.confirm_by_watch(8_995, 10_000, 1_000)
        self.assertEqual(self.confirmation.age(10_000), 0)

    def test_a_late_answer_to_a_watch_confirms_as_of_its_start(self):
        """Guards against an answer that waited in a slow connection."""
        self.run_until(10_000)
        self.confirmation.confirm_by_watch(8_700, 10_000, 1_000)
        self.assertEqual(self.confirmation.age(10_000), 1_300)

    def test_a_pause_within_a_watch_makes_it_confirm_as_of_its_start(self):
        """Guards against an answer that waited while the process was paused."""
        self.run_until(10_000)
        self.confirmation.note_running(10_900)
        self.confirmation.confirm_by_watch(9_990, 10_900, 1_000)
        self.assertEqual(self.confirmation.age(10_900), 910)

    def test_a_time_without_confirmation_starts_the_gap_again(self):
        """Guards against an owner that missed that another one came and went."""
        self.confirmation.confirm(1_000)
        self.confirmation.confirm(1_000 + OWNER_CONFIRMED_MILLIS)
        self.assertEqual(self.confirmation.unbroken_since, 1_000)
        self.confirmation.confirm(1_001 + 2 * OWNER_CONFIRMED_MILLIS)
        self.assertEqual(
            self.confirmation.unbroken_since, 1_001 + 2 * OWNER_CONFIRMED_MILLIS
        )
