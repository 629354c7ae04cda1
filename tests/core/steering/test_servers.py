"""Table of backend servers whose records appear, change and are removed."""

import unittest
from random import Random

from stoattray_core.steering.evacuations import Evacuations
from stoattray_core.steering.servers import (
    N_LOCAL_CANDIDATES,
    N_REMOTE_CANDIDATES,
    Presence,
    ServerTable,
    has_free_slots,
)
from tests.steering_builders import (
    FLOW_LIFE_MILLIS,
    START_MILLIS,
    server_entry,
    server_row,
)


class ServerTableTest(unittest.TestCase):
    """Removed, lapsed, returning and restarted servers."""

    def setUp(self):
        self.table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a")
        self.row = self.table.put(server_entry("i-01"), START_MILLIS)

    def test_server_whose_record_is_removed_is_gone_at_once(self):
        self.assertIs(
            self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=False),
            Presence.GONE,
        )
        self.assertEqual(self.table.of_service("lookup"), [])
        self.assertFalse(self.row.accepts_flows)

    def test_cookie_of_a_gone_server_is_valid_for_a_flow_life(self):
        self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=False)
        self.assertIs(self.table.by_cookie(self.row.cookie), self.row)
        self.table.expire(START_MILLIS + FLOW_LIFE_MILLIS)
        self.assertIsNone(self.table.by_cookie(self.row.cookie))

    def test_lapsed_server_stays_usable_until_lapsed_ones_are_removed(self):
        presence = self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=True)
        self.assertIs(presence, Presence.LAPSED)
        self.assertTrue(self.row.accepts_flows)
        self.assertEqual(self.table.remove_lapsed(START_MILLIS + 3_000), ["i-01"])
        self.assertEqual(self.table.of_service("lookup"), [])

    def test_lapsed_server_that_returns_is_listed_again(self):
        self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=True)
        updated = self.table.put(server_entry("i-01"), START_MILLIS + 1_000)
        self.assertIs(updated, self.row)
        self.assertEqual(self.table.remove_lapsed(START_MILLIS + 3_000), [])
        self.assertIs(updated.presence, Presence.LISTED)

    def test_draining_server_is_gone_at_once_even_if_its_lease_may_have_lapsed(self):
        self.table.put(server_entry("i-01", is_draining=True), START_MILLIS)
        presence = self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=True)
        self.assertIs(presence, Presence.GONE)

    def test_restarted_server_starts_with_fresh_counts(self):
        self.row.n_open = 5
        self.row.suspect_until = START_MILLIS + 1_000
        updated = self.table.put(server_entry("i-01", started_at=2), START_MILLIS)
        self.assertIsNot(updated, self.row)
        self.assertEqual(updated.n_open, 0)
        self.assertFalse(updated.is_suspect(START_MILLIS))
        self.assertEqual(self.table.of_service("lookup"), [updated])
        self.assertEqual(updated.cookie, self.row.cookie)

    def test_server_can_change_its_service(self):
        self.table.put(server_entry("i-01", service="archive"), START_MILLIS)
        self.assertEqual(self.table.of_service("lookup"), [])
        self.assertEqual(len(self.table.of_service("archive")), 1)

    def test_cookie_of_a_gone_server_stays_valid_when_its_address_is_reused(self):
        self.table.mark_removed("i-01", START_MILLIS, may_be_lapsed=False)
        other = self.table.put(
            server_entry("i-02", service="archive"), START_MILLIS + 2_000
        )
        self.assertEqual(other.address, self.row.address)
        self.assertIs(self.table.by_cookie(self.row.cookie), self.row)
        self.assertNotEqual(self.row.entry.label, other.entry.label)

    def test_capacity_is_reduced_during_warm_up(self):
        cold = self.table.put(
            server_entry("i-02", warmup_remaining_millis=2_000), START_MILLIS
        )
        self.assertLess(cold.capacity(START_MILLIS), self.row.capacity(START_MILLIS))
        self.assertEqual(
            cold.capacity(START_MILLIS + 2_000), self.row.capacity(START_MILLIS)
        )

    def test_candidates_are_bounded_in_number_and_cover_all_servers(self):
        for number in range(2, 60):
            data_centre = "luzon-a" if number % 2 else "luzon-b"
            entry = server_entry(f"i-{number:02x}", data_centre=data_centre)
            self.table.put(entry, START_MILLIS)
        random = Random(1)
        seen = set()
        for _ in range(300):
            candidates = self.table.candidates("lookup", random)
            self.assertEqual(len(candidates), N_LOCAL_CANDIDATES + N_REMOTE_CANDIDATES)
            self.assertEqual(len(set(candidates)), len(candidates))
            seen.update(candidates)
        self.assertEqual(len(seen), 59)

    def test_window_of_candidates_is_taken_after_evacuated_servers_are_excluded(self):
        """Guards against windows of evacuated servers only, while others exist."""
        evacuations = Evacuations()
        table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a", evacuations)
        for number in range(1, 61):
            data_centre = "luzon-b" if number < 55 else "luzon-c"
            entry = server_entry(f"i-{number:02x}", data_centre=data_centre)
            table.put(entry, START_MILLIS)
        evacuations.begin("luzon-b", 1)
        random = Random(1)
        for _ in range(100):
            candidates = table.candidates("lookup", random)
            self.assertEqual({row.entry.data_centre for row in candidates}, {"luzon-c"})
            self.assertEqual(len(candidates), N_REMOTE_CANDIDATES)

    def test_saturation_is_judged_without_evacuated_servers(self):
        """Guards against verdicts on remote servers that are full, not failing.

        The idle local servers of an evacuation would hide that the others are full.
        """
        evacuations = Evacuations()
        table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a", evacuations)
        table.put(server_entry("i-01"), START_MILLIS)
        remote = table.put(server_entry("i-02", data_centre="luzon-b"), START_MILLIS)
        remote.n_open = 5
        self.assertFalse(table.is_saturated("lookup", START_MILLIS))
        evacuations.begin("luzon-a", 1)
        self.assertTrue(table.is_saturated("lookup", START_MILLIS))

    def test_number_of_servers_leaves_out_evacuated_ones(self):
        """Guards against too many verdicts on the servers that remain.

        At most half of the servers of a service may be deprioritised as failing.
        """
        evacuations = Evacuations()
        table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a", evacuations)
        table.put(server_entry("i-01"), START_MILLIS)
        table.put(server_entry("i-02", data_centre="luzon-b"), START_MILLIS)
        evacuations.begin("luzon-a", 1)
        self.assertEqual(table.n_of_service("lookup"), 1)

    def test_number_of_servers_leaves_out_excluded_ones(self):
        """Guards against an evacuated server that is left out twice."""
        evacuations = Evacuations()
        table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a", evacuations)
        for name, data_centre in (
            ("i-01", "luzon-a"),
            ("i-02", "luzon-a"),
            ("i-03", "luzon-b"),
        ):
            table.put(server_entry(name, data_centre=data_centre), START_MILLIS)
        evacuations.begin("luzon-b", 1)
        n_left = table.n_of_service("lookup", lambda row: row.name in ("i-02", "i-03"))
        self.assertEqual(n_left, 1)

    def test_candidates_follow_each_change_during_an_evacuation(self):
        """Guards against a kept list that misses a server, a removal or an end."""
        evacuations = Evacuations()
        table = ServerTable(FLOW_LIFE_MILLIS, "luzon-a", evacuations)
        random = Random(1)

        def names():
            return sorted(row.name for row in table.candidates("lookup", random))

        table.put(server_entry("i-01"), START_MILLIS)
        evacuations.begin("luzon-a", 1)
        self.assertEqual(names(), [])
        table.put(server_entry("i-02", data_centre="luzon-b"), START_MILLIS)
        self.assertEqual(names(), ["i-02"])
        table.put(server_entry("i-01", data_centre="luzon-b"), START_MILLIS)
        self.assertEqual(names(), ["i-01", "i-02"])
        table.put(server_entry("i-02", service="archive"), START_MILLIS)
        self.assertEqual(names(), ["i-01"])
        evacuations.begin("luzon-b", 2)
        self.assertEqual(names(), [])
        evacuations.end("luzon-b", 3, START_MILLIS)
        self.assertEqual(names(), ["i-01"])
        table.mark_removed("i-01", START_MILLIS, may_be_lapsed=False)
        self.assertEqual(names(), [])

    def test_removal_of_an_unknown_server_is_ignored(self):
        self.assertIsNone(
            self.table.mark_removed("i-09", START_MILLIS, may_be_lapsed=False)
        )


class FreeSlotsTest(unittest.TestCase):
    """Slots that are free in a whole service."""

    def setUp(self):
        self.rows = [server_row("i-01"), server_row("i-02")]

    def test_requests_of_all_servers_count_together(self):
        """Guards against late openings at the one server whose load is unknown."""
        self.rows[0].n_pending_requests = 3
        self.assertTrue(has_free_slots(self.rows, START_MILLIS))
        self.rows[0].n_peer_requests = 1
        self.assertFalse(has_free_slots(self.rows, START_MILLIS))

    def test_suspect_and_draining_servers_have_none(self):
        self.rows[0].suspect_until = START_MILLIS + 1
        self.rows[1].entry = self.rows[1].entry._replace(is_draining=True)
        self.assertFalse(has_free_slots(self.rows, START_MILLIS))
