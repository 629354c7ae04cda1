"""Cookies are the same on all balancers, also on collisions, and outlive servers."""

import unittest
from unittest.mock import patch

from stoattray_core.steering import cookies
from stoattray_core.steering.cookies import CookieTable, candidate_cookies

RETENTION_MILLIS = 60_000


class CookieTableTest(unittest.TestCase):
    """Assignment, collisions and removal."""

    def setUp(self):
        self.table = CookieTable(RETENTION_MILLIS)

    def test_assignment_does_not_depend_on_the_order(self):
        names = [f"i-{number:x}" for number in range(500)]
        other = CookieTable(RETENTION_MILLIS)
        for name in names:
            self.table.add(name, 1)
        for name in reversed(names):
            other.add(name, 1)
        for name in names:
            self.assertEqual(self.table.cookie(name), other.cookie(name))
            self.assertEqual(self.table.resolve(other.cookie(name)), name)

    def test_never_zero(self):
        with patch.object(cookies, "xxh32_intdigest", return_value=0):
            self.assertEqual(set(candidate_cookies("i-1")), {1})

    def test_earlier_start_keeps_the_cookie_on_a_collision_in_any_order(self):
        def colliding_digest(name, seed):
            return 7 if seed == 0 else hash((name, seed)) & 0xFFFFFFFF

        with patch.object(cookies, "xxh32_intdigest", colliding_digest):
            other = CookieTable(RETENTION_MILLIS)
            for name, started_at in (("young", 2), ("old", 1)):
                self.table.add(name, started_at)
            for name, started_at in (("old", 1), ("young", 2)):
                other.add(name, started_at)
            for table in (self.table, other):
                self.assertEqual(table.cookie("old"), 7)
                self.assertEqual(table.resolve(7), "old")
                self.assertEqual(table.resolve(table.cookie("young")), "young")
            self.assertEqual(self.table.cookie("young"), other.cookie("young"))

    def test_cookie_of_a_removed_server_resolves_for_a_flow_life(self):
        self.table.add("i-1", 1)
        cookie = self.table.cookie("i-1")
        self.table.remove("i-1", now=0)
        self.assertEqual(self.table.resolve(cookie), "i-1")
        self.assertEqual(self.table.expire(RETENTION_MILLIS - 1), [])
        self.assertEqual(self.table.expire(RETENTION_MILLIS), ["i-1"])
        self.assertIsNone(self.table.resolve(cookie))

    def test_live_server_takes_precedence_over_a_removed_one(self):
        with patch.object(cookies, "xxh32_intdigest", lambda name, seed: seed + 5):
            self.table.add("old", 1)
            self.table.remove("old", now=0)
            self.table.add("young", 2)
            self.assertEqual(self.table.resolve(self.table.cookie("young")), "young")

    def test_live_server_takes_precedence_over_a_removed_one_with_an_earlier_start(
        self,
    ):
        with patch.object(cookies, "xxh32_intdigest", lambda name, seed: seed + 5):
            self.table.add("young", 2)
            self.table.add("old", 1)
            self.table.remove("old", now=0)
            self.assertEqual(self.table.cookie("young"), 5)
            self.assertEqual(self.table.resolve(5), "young")

    def test_servers_whose_cookies_may_change_are_returned(self):
        with patch.object(cookies, "xxh32_intdigest", lambda name, seed: seed + 5):
            self.assertEqual(self.table.add("young", 2), [])
            self.assertEqual(set(self.table.add("old", 1)), {"young"})
            self.assertEqual(set(self.table.remove("old", now=0)), {"young"})

    def test_history_does_not_matter(self):
        """Balancers that did or did not know a removed server agree on the others."""

        def colliding_digest(name, seed):
            return 7 if seed == 0 else hash((name, seed)) & 0xFFFFFFFF

        with patch.object(cookies, "xxh32_intdigest", colliding_digest):
            starting = CookieTable(RETENTION_MILLIS)
            self.table.add("old", 1)
            self.table.add("young", 2)
            second = self.table.cookie("young")
            self.table.remove("old", now=0)
            starting.add("young", 2)
            for now in (0, 2 * RETENTION_MILLIS):
                self.table.expire(now)
                self.assertEqual(self.table.cookie("young"), starting.cookie("young"))
                for cookie in (7, second):
                    self.assertEqual(self.table.resolve(cookie), "young")
                    self.assertEqual(starting.resolve(cookie), "young")

    def test_unknown_cookie(self):
        self.assertIsNone(self.table.resolve(99))

    def test_removing_an_unknown_server_changes_nothing(self):
        self.table.remove("i-9", now=0)
        self.assertEqual(self.table.expire(RETENTION_MILLIS), [])
