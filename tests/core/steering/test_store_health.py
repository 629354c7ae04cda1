"""Conditions under which a missing record means that its writer is gone."""

import unittest

from stoattray_core.steering.store_health import (
    MAX_ANSWER_GAP_MILLIS,
    StoreHealth,
    StoreState,
)
from tests.steering_builders import START_MILLIS

RECOVERY_GRACE_MILLIS = 2_600


class StoreHealthTest(unittest.TestCase):
    """Failures and recoveries, of this balancer's calls and reported by peers."""

    def setUp(self):
        self.health = StoreHealth(RECOVERY_GRACE_MILLIS)
        self.health.note_response(START_MILLIS)

    def test_healthy_from_the_first_answer(self):
        self.assertTrue(self.health.is_settled(START_MILLIS))
        self.assertIs(self.health.state, StoreState.HEALTHY)

    def test_unhealthy_while_calls_fail(self):
        self.assertTrue(self.health.note_failure(START_MILLIS))
        self.assertFalse(self.health.note_failure(START_MILLIS))
        self.assertFalse(self.health.is_settled(START_MILLIS + 60_000))

    def test_settled_after_the_recovery_grace(self):
        self.health.note_failure(START_MILLIS)
        self.assertTrue(self.health.note_response(START_MILLIS + 1_000))
        self.assertFalse(
            self.health.is_settled(START_MILLIS + 1_000 + RECOVERY_GRACE_MILLIS - 1)
        )
        self.assertTrue(
            self.health.is_settled(START_MILLIS + 1_000 + RECOVERY_GRACE_MILLIS)
        )

    def test_settled_after_another_balancer_has_read_the_store(self):
        """Guards against an outage that never ends for a balancer without calls."""
        self.health.note_failure(START_MILLIS)
        self.health.note_read(START_MILLIS)
        self.assertFalse(self.health.is_settled(START_MILLIS + 60_000))
        read_at = START_MILLIS + 1_000
        self.health.note_read(read_at)
        self.health.note_read(read_at + 500)
        self.assertFalse(self.health.is_settled(read_at + RECOVERY_GRACE_MILLIS - 1))
        self.assertTrue(self.health.is_settled(read_at + RECOVERY_GRACE_MILLIS))

    def test_reads_of_others_do_not_make_the_own_calls_healthy(self):
        """Guards against a reader that others rely on while its calls are refused."""
        self.health.note_failure(START_MILLIS)
        self.health.note_read(START_MILLIS + 1_000)
        self.assertIs(self.health.state, StoreState.UNHEALTHY)
        self.assertIsNone(self.health.recovery_age(START_MILLIS + 1_000))

    def test_unsettled_again_after_another_failure(self):
        self.health.note_failure(START_MILLIS)
        self.health.note_read(START_MILLIS + 1_000)
        self.health.note_failure(START_MILLIS + 5_000)
        self.assertFalse(self.health.is_settled(START_MILLIS + 5_000))

    def test_gap_in_own_calls_is_no_outage_while_others_read(self):
        """Guards against a planned stop of the reader that counts as an outage."""
        later = START_MILLIS + 10 * MAX_ANSWER_GAP_MILLIS
        self.health.note_read(later - MAX_ANSWER_GAP_MILLIS)
        self.assertFalse(self.health.note_response(later))
        self.assertTrue(self.health.is_settled(later))

    def test_long_gap_between_answers_counts_as_outage(self):
        later = START_MILLIS + MAX_ANSWER_GAP_MILLIS + 1
        self.assertTrue(self.health.note_response(later))
        self.assertFalse(self.health.is_settled(later))

    def test_latest_recovery_reported_by_a_peer_counts(self):
        self.health.note_peer_recovery(500, START_MILLIS)
        self.assertFalse(self.health.is_settled(START_MILLIS))
        self.assertEqual(self.health.recovery_age(START_MILLIS + 100), 600)
        self.health.note_peer_recovery(5_000, START_MILLIS)
        self.assertEqual(self.health.recovery_age(START_MILLIS + 100), 600)
