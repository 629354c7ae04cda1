"""When a missing record means that its writer has gone."""

import unittest

from stoattray_core.steering.store_health import (
    SILENT_MILLIS,
    StoreHealth,
    StoreState,
)
from tests.steering_builders import START

SETTLE = 2_600


class StoreHealthTest(unittest.TestCase):
    """Failures, returns, and what peers tell."""

    def setUp(self):
        self.health = StoreHealth(SETTLE)
        self.health.note_answer(START)

    def test_well_from_the_first_answer(self):
        self.assertTrue(self.health.is_settled(START))
        self.assertIs(self.health.state, StoreState.WELL)

    def test_unwell_while_calls_fail(self):
        self.assertTrue(self.health.note_failure())
        self.assertFalse(self.health.note_failure())
        self.assertFalse(self.health.is_settled(START + 60_000))

    def test_settled_only_some_time_after_the_return(self):
        self.health.note_failure()
        self.assertTrue(self.health.note_answer(START + 1_000))
        self.assertFalse(self.health.is_settled(START + 1_000 + SETTLE - 1))
        self.assertTrue(self.health.is_settled(START + 1_000 + SETTLE))

    def test_long_silence_without_a_failed_call_counts_as_outage(self):
        later = START + SILENT_MILLIS + 1
        self.assertTrue(self.health.note_answer(later))
        self.assertFalse(self.health.is_settled(later))

    def test_return_told_by_a_peer(self):
        self.health.note_peer_return(500, START)
        self.assertFalse(self.health.is_settled(START))
        self.assertEqual(self.health.return_age(START + 100), 600)
        self.health.note_peer_return(5_000, START)
        self.assertEqual(self.health.return_age(START + 100), 600)
