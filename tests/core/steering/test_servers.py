"""What a balancer believes of backend servers whose records come and go."""

import unittest
from random import Random

from stoattray_core.steering.servers import (
    N_FAR_CANDIDATES,
    N_NEAR_CANDIDATES,
    Presence,
    ServerTable,
)
from tests.steering_builders import FLOW_LIFE, START, server_entry


class ServerTableTest(unittest.TestCase):
    """Records that mark_removed, lapse, return and start again."""

    def setUp(self):
        self.table = ServerTable(FLOW_LIFE, "luzon-a")
        self.row = self.table.put(server_entry("i-01"), START)

    def test_vanished_server_is_gone_at_once(self):
        self.assertIs(
            self.table.mark_removed("i-01", START, may_be_lapsed=False), Presence.GONE
        )
        self.assertEqual(self.table.of_service("lookup"), [])
        self.assertFalse(self.row.accepts_flows)

    def test_gone_server_still_gets_its_flows(self):
        self.table.mark_removed("i-01", START, may_be_lapsed=False)
        self.assertIs(self.table.by_cookie(self.row.cookie), self.row)
        self.table.expire(START + FLOW_LIFE)
        self.assertIsNone(self.table.by_cookie(self.row.cookie))

    def test_lapsed_server_stays_usable_until_lapses_end(self):
        presence = self.table.mark_removed("i-01", START, may_be_lapsed=True)
        self.assertIs(presence, Presence.LAPSED)
        self.assertTrue(self.row.accepts_flows)
        self.assertEqual(self.table.remove_lapsed(START + 3_000), ["i-01"])
        self.assertEqual(self.table.of_service("lookup"), [])

    def test_lapsed_server_that_returns_is_listed_again(self):
        self.table.mark_removed("i-01", START, may_be_lapsed=True)
        again = self.table.put(server_entry("i-01"), START + 1_000)
        self.assertIs(again, self.row)
        self.assertEqual(self.table.remove_lapsed(START + 3_000), [])
        self.assertIs(again.presence, Presence.LISTED)

    def test_draining_server_that_vanishes_is_gone_also_while_unwell(self):
        self.table.put(server_entry("i-01", is_draining=True), START)
        presence = self.table.mark_removed("i-01", START, may_be_lapsed=True)
        self.assertIs(presence, Presence.GONE)

    def test_same_name_started_again_counts_anew(self):
        self.row.n_open = 5
        self.row.suspect_until = START + 1_000
        again = self.table.put(server_entry("i-01", born=2), START)
        self.assertIsNot(again, self.row)
        self.assertEqual(again.n_open, 0)
        self.assertFalse(again.is_suspect(START))
        self.assertEqual(self.table.of_service("lookup"), [again])
        self.assertEqual(again.cookie, self.row.cookie)

    def test_server_that_changes_service_moves(self):
        self.table.put(server_entry("i-01", service="archive"), START)
        self.assertEqual(self.table.of_service("lookup"), [])
        self.assertEqual(len(self.table.of_service("archive")), 1)

    def test_address_that_is_used_again_keeps_both_cookies(self):
        self.table.mark_removed("i-01", START, may_be_lapsed=False)
        other = self.table.put(server_entry("i-02", service="archive"), START + 2_000)
        self.assertEqual(other.address, self.row.address)
        self.assertIs(self.table.by_cookie(self.row.cookie), self.row)
        self.assertNotEqual(self.row.entry.label, other.entry.label)

    def test_capacity_is_less_while_cold(self):
        cold = self.table.put(server_entry("i-02", warmup=2_000), START)
        self.assertLess(cold.capacity(START), self.row.capacity(START))
        self.assertEqual(cold.capacity(START + 2_000), self.row.capacity(START))

    def test_number_of_candidates_is_bounded_and_all_get_their_turn(self):
        for number in range(2, 60):
            data_centre = "luzon-a" if number % 2 else "luzon-b"
            entry = server_entry(f"i-{number:02x}", data_centre=data_centre)
            self.table.put(entry, START)
        random = Random(1)
        seen = set()
        for _ in range(300):
            candidates = self.table.candidates("lookup", random)
            self.assertEqual(len(candidates), N_NEAR_CANDIDATES + N_FAR_CANDIDATES)
            self.assertEqual(len(set(candidates)), len(candidates))
            seen.update(candidates)
        self.assertEqual(len(seen), 59)

    def test_unknown_server_that_vanishes(self):
        self.assertIsNone(self.table.mark_removed("i-09", START, may_be_lapsed=False))
