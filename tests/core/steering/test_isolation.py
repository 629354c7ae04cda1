"""When a balancer takes itself to be cut off."""

import unittest
from collections import Counter

from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS
from stoattray_core.steering.isolation import (
    CHECK_TIMEOUT_MILLIS,
    FAILED_CHECK_MILLIS,
    MAX_CHECK_DELAY_MILLIS,
    WANTED_MILLIS,
    Isolation,
)
from tests.steering_builders import EventRecorder


class IsolationTest(unittest.TestCase):
    """Checks of the path to the store, and the age of the replica."""

    def setUp(self):
        self.now = 10_000
        self.confirmed_at = self.now
        self.counters = Counter()
        self.recorder = EventRecorder()
        self.isolation = Isolation(
            lambda now: now - self.confirmed_at,
            counters=self.counters,
            on_event=self.recorder,
        )

    def check(self, *, is_reached=False, millis=CHECK_TIMEOUT_MILLIS):
        started_at = self.now
        self.now += millis
        self.isolation.note_check(
            is_reached=is_reached, started_at=started_at, now=self.now
        )
        return self.isolation.is_isolated(self.now)

    def test_two_failed_checks_isolate(self):
        """Guards against one lost packet that ends an evacuation."""
        self.assertFalse(self.check())
        self.assertTrue(self.check())
        self.assertEqual(self.recorder.names(), ["isolated"])
        self.assertEqual(self.counters["isolation_checks_failed"], 2)

    def test_answered_check_ends_it_at_once(self):
        """Guards against openings to evacuated servers after a cut."""
        self.check()
        self.check()
        self.assertFalse(self.check(is_reached=True, millis=4))
        self.assertFalse(self.check())

    def test_heartbeat_from_another_data_centre_ends_it(self):
        """Guards against a choked link, which delays connections and openings alike."""
        self.check()
        self.isolation.note_contact()
        self.assertFalse(self.check())
        self.assertTrue(self.check())
        self.isolation.note_contact()
        self.assertFalse(self.isolation.is_isolated(self.now))

    def test_failed_checks_hold_for_a_time(self):
        self.check()
        self.check()
        self.now += FAILED_CHECK_MILLIS
        self.assertTrue(self.isolation.is_isolated(self.now))
        self.now += 1
        self.assertFalse(self.isolation.is_isolated(self.now))

    def test_failed_checks_far_apart_do_not_add_up(self):
        self.check()
        self.now += FAILED_CHECK_MILLIS
        self.assertFalse(self.check())

    def test_check_during_a_pause_says_nothing(self):
        """Guards against a paused process that takes its own pause for a cut."""
        late = CHECK_TIMEOUT_MILLIS + MAX_CHECK_DELAY_MILLIS + 1
        for _ in range(4):
            self.assertFalse(self.check(millis=late))

    def test_replica_that_nobody_confirms_isolates(self):
        self.now = self.confirmed_at + MAX_CONFIRMED_AGE_MILLIS
        self.assertFalse(self.isolation.is_isolated(self.now))
        self.assertTrue(self.isolation.is_isolated(self.now + 1))

    def test_checks_are_wanted_only_while_openings_find_no_server(self):
        """Guards against connections to the store in steady state."""
        self.assertFalse(self.isolation.wants_check(self.now))
        self.isolation.note_no_server(self.now)
        self.assertTrue(self.isolation.wants_check(self.now + WANTED_MILLIS))
        self.assertFalse(self.isolation.wants_check(self.now + WANTED_MILLIS + 1))


if __name__ == "__main__":
    unittest.main()
