"""Priority levels that have callers."""

import unittest

from stoattray_core.steering.entries import RequestKind, Route
from stoattray_core.steering.used_levels import USED_MILLIS, UsedLevels
from tests.steering_builders import START_MILLIS, configuration


def declared(*levels):
    """Return a configuration with a route to the lookup service for each level."""
    routes = [
        Route(
            f"r{level}",
            bytes([0, 0, 0, 0, 0, level]),
            (("lookup", 1),),
            RequestKind.IDEMPOTENT,
            priority=level,
        )
        for level in levels
    ]
    return configuration(routes={route.destination: route for route in routes})


class UsedLevelsTest(unittest.TestCase):
    """Levels count while callers use them."""

    def setUp(self):
        self.levels = UsedLevels()
        self.levels.declare(declared(0, 1, 2))

    def open(self, *levels, now=START_MILLIS):
        for level in levels:
            self.levels.note_opening("lookup", level, now)

    def used(self):
        found = self.levels.get("lookup")
        return None if found is None else found.levels

    def test_declared_levels_without_callers_do_not_count(self):
        """Guards against an unused route that ranks above all callers."""
        self.assertEqual(self.used(), (0, 1, 2))
        self.open(1, 2)
        self.assertEqual(self.used(), (0, 1, 2))
        self.open(1, 2, now=START_MILLIS + USED_MILLIS)
        self.levels.expire(START_MILLIS + USED_MILLIS)
        self.assertEqual(self.used(), (1, 2))
        self.open(0, now=START_MILLIS + USED_MILLIS)
        self.assertEqual(self.used(), (0, 1, 2))

    def test_one_level_in_use_is_no_order(self):
        self.open(2)
        self.open(2, now=START_MILLIS + USED_MILLIS)
        self.levels.expire(START_MILLIS + USED_MILLIS)
        self.assertIsNone(self.used())
        self.assertEqual(self.levels.services, ())

    def test_level_counts_until_its_callers_have_left(self):
        self.open(0, 1, 2)
        self.open(1, 2, now=START_MILLIS + USED_MILLIS - 1)
        self.levels.expire(START_MILLIS + USED_MILLIS - 1)
        self.assertEqual(self.used(), (0, 1, 2))
        self.levels.expire(START_MILLIS + USED_MILLIS)
        self.assertEqual(self.used(), (1, 2))

    def test_levels_in_use_outlast_a_new_configuration(self):
        """Guards against an order that is lost with each change."""
        self.open(1, 2)
        self.open(1, 2, now=START_MILLIS + USED_MILLIS)
        self.levels.expire(START_MILLIS + USED_MILLIS)
        self.levels.declare(declared(0, 1, 2, 3))
        self.assertEqual(self.used(), (1, 2))
        self.levels.declare(declared(2))
        self.assertIsNone(self.used())

    def test_unknown_services_are_ignored(self):
        self.levels.note_opening("archive", 1, START_MILLIS)
        self.assertIsNone(self.levels.get("archive"))


if __name__ == "__main__":
    unittest.main()
