"""Which balancer may forward openings to a cold server."""

import unittest

from stoattray_core.steering.ownership import OWNERSHIP_GAP_MILLIS, OwnerTable
from tests.steering_builders import member_entry, server_entry

NAMES = ("edge-1", "edge-2", "edge-3")
LATER = OWNERSHIP_GAP_MILLIS


class OwnerTableTest(unittest.TestCase):
    """Owners by the list of balancers, and the gap after it changes."""

    def setUp(self):
        self.tables = {name: OwnerTable(name) for name in NAMES}

    def put(self, name, now=0, **changes):
        for table in self.tables.values():
            table.put_member(f"members/{name}", member_entry(name, **changes), now)

    def remove(self, name, now):
        for table in self.tables.values():
            table.remove_member(f"members/{name}", now)

    def holders(self, server, now):
        return [n for n, table in self.tables.items() if table.is_held(server, now)]

    def owner(self, server):
        return self.tables["edge-1"].owner(server)

    def test_balancers_with_the_same_list_agree_on_one_holder(self):
        """Guards against two owners, and against none, of one server."""
        for name in NAMES:
            self.put(name)
        for number in range(200):
            server = server_entry(f"i-{number:02x}")
            holders = self.holders(server, LATER)
            self.assertEqual(holders, [self.owner(server)])

    def test_owners_are_spread(self):
        """Guards against one balancer that owns most servers."""
        for name in NAMES:
            self.put(name)
        owners = [self.owner(server_entry(f"i-{n:02x}")) for n in range(300)]
        for name in NAMES:
            self.assertGreater(owners.count(name), 70)

    def test_a_restarted_server_has_another_owner_by_its_start(self):
        """Guards against a hash that leaves out the start time."""
        for name in NAMES:
            self.put(name)
        owners = {self.owner(server_entry(started_at=n)) for n in range(40)}
        self.assertEqual(owners, set(NAMES))

    def test_a_started_balancer_waits_for_the_gap(self):
        """Guards against a process that forgets what it sent before its restart."""
        self.put("edge-1", now=100)
        server = server_entry()
        self.assertEqual(self.holders(server, 99 + LATER), [])
        self.assertEqual(self.holders(server, 100 + LATER), ["edge-1"])

    def test_a_new_owner_after_a_removal_waits_for_the_gap(self):
        """Guards against a handover while the previous owner may still send."""
        for name in NAMES:
            self.put(name)
        server = server_entry()
        self.remove(self.owner(server), now=10_000)
        self.assertEqual(self.holders(server, 10_000), [])
        self.assertEqual(self.holders(server, 9_999 + LATER), [])
        for table in self.tables.values():
            table.expire(10_000 + LATER)
        self.assertEqual(self.holders(server, 10_000 + LATER), [self.owner(server)])

    def test_a_join_takes_the_server_from_its_owner_at_once(self):
        """Guards against a previous owner that goes on beside the new one."""
        self.put("edge-1")
        self.put("edge-2")
        servers = [server_entry(f"i-{number:02x}") for number in range(60)]
        before = {server.name: self.owner(server) for server in servers}
        self.put("edge-3", now=10_000)
        for server in servers:
            owner = self.owner(server)
            expected = [owner] if owner == before[server.name] else []
            self.assertEqual(self.holders(server, 10_001), expected)

    def test_a_record_that_is_written_again_starts_the_gap(self):
        """Guards against an absence that this balancer never saw."""
        self.put("edge-1")
        self.put("edge-1", now=10_000)
        self.assertEqual(self.holders(server_entry(), 9_999 + LATER), [])

    def test_without_balancers_in_its_data_centre_all_may_own_a_server(self):
        """Guards against a server that nobody owns."""
        for name in NAMES:
            self.put(name)
        servers = [server_entry(f"i-{n:02x}", data_centre="luzon-b") for n in range(40)]
        owners = set()
        for server in servers:
            self.assertEqual(self.holders(server, LATER), [self.owner(server)])
            owners.add(self.owner(server))
        self.assertEqual(owners, set(NAMES))

    def test_after_the_last_balancer_of_a_data_centre_others_wait(self):
        """Guards against a remote owner while the last local one may still send."""
        self.put("edge-1")
        self.put("edge-2", data_centre="luzon-b")
        servers = [server_entry(f"i-{n:02x}", data_centre="luzon-b") for n in range(20)]
        for server in servers:
            self.assertEqual(self.holders(server, LATER), ["edge-2"])
        self.remove("edge-2", now=10_000)
        for server in servers:
            self.assertEqual(self.owner(server), "edge-1")
            self.assertEqual(self.holders(server, 9_999 + LATER), [])

    def test_the_owner_by_the_earlier_start_counts_for_the_gap(self):
        """Guards against two owners while some balancers lack the new record."""
        for name in NAMES:
            self.put(name)
        later = server_entry(started_at=2)
        earlier_owner, owner = self.owner(server_entry()), self.owner(later)
        self.assertNotEqual(earlier_owner, owner)
        for table in self.tables.values():
            table.note_restart("i-01", 1, 10_000)
        self.assertEqual(self.holders(later, 9_999 + LATER), [])
        for table in self.tables.values():
            table.expire(10_000 + LATER)
        self.assertEqual(self.holders(later, 10_000 + LATER), [owner])

    def test_without_any_listed_balancer_nobody_holds_a_server(self):
        """Guards against a balancer that owns everything before it is listed."""
        self.assertEqual(self.holders(server_entry(), LATER), [])
        self.assertIsNone(self.owner(server_entry()))
