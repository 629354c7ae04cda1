"""The store returns from an older copy: nothing goes back, and new writes apply."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from stoattray_balancer.steering.store_reader import StoreReader
from stoattray_core._errors import ErrorKind
from stoattray_core.steering.replica import Version
from stoattray_core.steering.servers import REREGISTRATION_MILLIS, Presence
from tests.restorable_store import RestorableStore, exchange
from tests.steering_builders import (
    UNKNOWN_DESTINATION,
    Balancer,
    EntryDecoder,
    configuration,
    heartbeat,
    server_entry,
)

N_BALANCERS = 3
SERVERS = ("i-01", "i-02", "i-03")
ADDRESS = ("10.128.0.7", 8_080)


class Fleet:
    """Balancers that read one store, with the hosts and the operator that write it."""

    def __init__(self, n_balancers=1):
        self.decoder = EntryDecoder()
        self.store = RestorableStore(self.decoder)
        self.balancers = [
            Balancer(f"edge-{number}", decoder=self.decoder)
            for number in range(n_balancers)
        ]
        self.readers = [self.new_reader(balancer) for balancer in self.balancers]
        self.version = 0
        self.entries = {}
        self.n_starts = Counter()

    def new_reader(self, balancer):
        return StoreReader(
            balancer.steering,
            self.store,
            clock=lambda: balancer.now,
            random=Random(1),
            on_event=balancer.recorder,
        )

    def read(self, number=0):
        """Read until the replica is complete."""
        replica = self.balancers[number].steering.replica
        for _ in range(4):
            self.readers[number]._read_once()
            if replica.version == (self.store.era, self.store.revision):
                return
        raise AssertionError(f"{replica.version} after four calls")

    def configure(self, **changes):
        self.version += 1
        self.store.write("configuration", configuration(self.version, **changes))

    def write_server(self, name, **changes):
        before = self.entries.get(name)
        sequence = 1 if before is None else before.sequence + 1
        started_at = 1 + self.n_starts[name]
        entry = server_entry(name, sequence=sequence, started_at=started_at, **changes)
        self.entries[name] = entry
        self.store.write(f"servers/{name}", entry)

    def stop_server(self, name):
        del self.entries[name]
        self.n_starts[name] += 1
        self.store.delete(f"servers/{name}")

    def write_again(self):
        """Let the operator and all hosts write again what the store may have lost."""
        self.store.write("configuration", configuration(self.version))
        for name, entry in list(self.entries.items()):
            self.write_server(name, is_draining=entry.is_draining)


class RestoredStoreTest(unittest.TestCase):
    """One balancer, and a copy that is older than what it knows."""

    def setUp(self):
        self.fleet = Fleet()
        self.store = self.fleet.store
        [self.balancer] = self.fleet.balancers
        self.steering = self.balancer.steering
        self.fleet.configure()
        for name in SERVERS[:2]:
            self.fleet.write_server(name)
        self.fleet.read()
        self.store.take_copy()

    def restore(self):
        self.fleet.read()
        self.store.restore()

    def advance(self, millis):
        self.balancer.now += millis
        list(self.steering.tick(self.balancer.now))
        self.steering.remove_expired(self.balancer.now)

    def names(self):
        return [row.name for row in self.steering.servers]

    def test_later_configuration_at_a_lower_revision_takes_effect(self):
        for _ in range(10):
            self.fleet.write_server("i-01")
        self.restore()
        self.fleet.configure()
        self.assertLess(self.store.revision, self.steering.replica.revision)
        self.fleet.read()
        self.assertEqual(self.steering.configuration.version, 2)

    def test_configuration_never_goes_back_to_that_of_the_copy(self):
        self.fleet.configure()
        self.restore()
        self.fleet.read()
        self.assertEqual(self.steering.configuration.version, 2)
        self.fleet.write_again()
        self.fleet.read()
        self.assertEqual(self.steering.configuration.version, 2)

    def test_change_that_the_operator_takes_back_has_a_higher_version(self):
        self.fleet.configure(idle_timeout_millis=9_000)
        self.restore()
        self.fleet.configure(idle_timeout_millis=15_000)
        self.fleet.read()
        self.assertEqual(self.steering.configuration.idle_timeout_millis, 15_000)

    def test_drained_server_that_the_copy_lists_as_ready_is_not_selected(self):
        self.fleet.write_server("i-01", is_draining=True)
        self.restore()
        self.fleet.read()
        self.assertEqual(
            {self.balancer.open(port).name for port in range(50)}, {"i-02"}
        )

    def test_server_that_the_copy_lacks_is_gone_only_after_a_while(self):
        self.fleet.write_server("i-03")
        self.restore()
        self.fleet.read()
        self.assertEqual(self.steering.servers.get("i-03").presence, Presence.LAPSED)
        self.advance(REREGISTRATION_MILLIS - 100)
        self.assertIn("i-03", self.names())
        self.advance(100)
        self.assertNotIn("i-03", self.names())

    def test_server_that_writes_again_stays(self):
        self.fleet.write_server("i-03")
        self.restore()
        self.fleet.read()
        self.fleet.write_again()
        self.fleet.read()
        self.advance(2 * REREGISTRATION_MILLIS)
        self.assertEqual(self.steering.servers.get("i-03").presence, Presence.LISTED)

    def test_address_that_was_reused_is_not_resolved_to_the_old_server(self):
        self.fleet.write_server("i-01", address=ADDRESS)
        self.fleet.read()
        self.store.take_copy()
        self.fleet.stop_server("i-01")
        self.fleet.write_server("i-03", address=ADDRESS, service="archive")
        self.restore()
        self.fleet.read()
        self.assertEqual(self.names(), ["i-02", "i-03"])
        self.assertEqual(
            {self.balancer.open(port).name for port in range(50)}, {"i-02"}
        )

    def test_cookies_resolve_to_the_same_server_throughout(self):
        self.fleet.write_server("i-03")
        self.fleet.read()
        cookies = {row.cookie: row.name for row in self.steering.servers}
        self.store.restore()
        self.fleet.read()
        self.fleet.write_again()
        self.fleet.read()
        self.assertEqual(
            {
                cookie: self.steering.servers.by_cookie(cookie).name
                for cookie in cookies
            },
            cookies,
        )

    def test_revision_that_was_assigned_again_is_read_in_full(self):
        self.fleet.write_server("i-01")
        self.restore()
        self.fleet.write_server("i-03")
        self.fleet.write_server("i-02", is_draining=True)
        self.fleet.read()
        self.assertIn("i-03", self.names())
        self.assertTrue(self.steering.servers.get("i-02").entry.is_draining)

    def test_late_answer_of_the_older_era_is_dropped(self):
        self.fleet.configure()
        self.fleet.write_server("i-03")
        late = self.store.watch(self.steering.replica.revision, 0)
        self.store.restore()
        self.fleet.read()
        self.store.watch = lambda *_: late
        self.assertGreater(self.fleet.readers[0]._read_once(), 0.0)
        self.assertEqual(self.steering.replica.version, (1, self.store.revision))
        self.assertIn("store_answer_outdated", self.balancer.recorder.names())

    def test_two_returns_in_a_row(self):
        self.fleet.configure()
        self.restore()
        self.fleet.read()
        self.store.restore()
        self.fleet.write_again()
        self.fleet.read()
        self.assertEqual(self.steering.configuration.version, 2)
        self.assertEqual(self.steering.replica.version.era, 2)

    def test_return_is_logged_and_counted(self):
        self.fleet.configure()
        self.restore()
        self.fleet.read()
        events = dict(self.balancer.recorder.events)
        self.assertEqual(
            events["store_restored"],
            {"era_before": 0, "era": 1, "revision_before": 4, "revision": 3},
        )
        self.assertEqual(self.steering.cluster_state.n_restored, 1)

    def test_unknown_destination_is_not_reset_until_writes_are_repeated(self):
        self.restore()
        self.fleet.read()
        destination = {"destination": UNKNOWN_DESTINATION}
        self.assertEqual(
            self.balancer.open(1, **destination).kind, ErrorKind.UNKNOWN_ADDRESS
        )
        self.advance(REREGISTRATION_MILLIS)
        self.steering.confirm_replica(self.balancer.now)
        self.assertEqual(self.balancer.open(2, **destination).kind, ErrorKind.NO_ROUTE)

    def test_start_in_a_later_era_resets_no_unknown_destination_at_first(self):
        self.store.restore()
        starting = Balancer("edge-9", decoder=self.fleet.decoder)
        self.fleet.new_reader(starting)._read_once()
        destination = {"destination": UNKNOWN_DESTINATION}
        self.assertEqual(
            starting.open(1, **destination).kind, ErrorKind.UNKNOWN_ADDRESS
        )

    def test_first_read_in_a_later_era_is_no_return(self):
        self.store.restore()
        starting = Balancer("edge-9", decoder=self.fleet.decoder)
        self.fleet.new_reader(starting)._read_once()
        self.assertEqual(starting.steering.replica.version.era, 1)
        self.assertNotIn("store_restored", starting.recorder.names())


class RestoredPeersTest(unittest.TestCase):
    """Balancers in different eras."""

    def setUp(self):
        self.fleet = Fleet(2)
        self.first, self.second = self.fleet.balancers
        self.fleet.configure()
        self.fleet.write_server("i-01")
        self.fleet.store.take_copy()
        for _ in range(5):
            self.fleet.write_server("i-01")
        self.fleet.read(0)
        self.fleet.read(1)
        self.fleet.store.restore()
        self.fleet.write_server("i-02")
        self.fleet.read(0)

    def test_peer_that_was_cut_off_catches_up_in_one_exchange(self):
        exchange(self.second, self.first)
        self.assertEqual(
            self.second.steering.replica.version, self.first.steering.replica.version
        )
        self.assertIsNotNone(self.second.steering.servers.get("i-02"))

    def test_peer_of_an_older_era_overwrites_nothing(self):
        before = self.first.steering.replica.version
        older = self.second.steering.replica.changes_since(before)
        self.assertEqual(older.records, [])
        snapshot = self.second.steering.replica.changes_since(Version(0, 0))
        self.first.steering.apply_peer_response(heartbeat(), snapshot, self.first.now)
        self.assertEqual(self.first.steering.replica.version, before)
        self.assertIsNotNone(self.first.steering.servers.get("i-02"))

    def test_equal_revisions_of_different_eras_do_not_confirm_a_replica(self):
        revision = self.first.steering.replica.revision
        self.first.now += 5_000
        report = heartbeat(revision=revision, era=0)
        self.first.steering.apply_heartbeat(report, self.first.now)
        self.assertGreaterEqual(
            self.first.steering.confirmed_age(self.first.now), 5_000
        )
        report = heartbeat(revision=revision, era=1)
        self.first.steering.apply_heartbeat(report, self.first.now)
        self.assertEqual(self.first.steering.confirmed_age(self.first.now), 0)

    def test_difference_of_a_newer_era_without_a_snapshot_is_not_applied(self):
        replica = self.first.steering.replica
        difference = replica.changes_since(replica.version)
        self.assertFalse(difference.is_snapshot)
        before = self.second.steering.replica.version
        self.second.steering.apply_changes(difference, self.second.now)
        self.assertEqual(self.second.steering.replica.version, before)


class RandomScheduleTest(unittest.TestCase):
    """Writes, copies, returns and exchanges in any order."""

    STEPS = (
        "configure",
        "write",
        "drain",
        "stop",
        "copy",
        "restore",
        "read",
        "read",
        "exchange",
        "exchange",
    )

    @given(
        st.lists(
            st.tuples(st.sampled_from(STEPS), st.integers(0, 5)),
            min_size=5,
            max_size=60,
        )
    )
    def test_all_replicas_end_with_the_newest_state_and_none_goes_back(self, steps):
        fleet = Fleet(N_BALANCERS)
        fleet.configure()
        versions = [0] * N_BALANCERS
        draining = [set() for _ in range(N_BALANCERS)]
        for step, pick in steps:
            self.run_step(fleet, step, pick)
            self.check_monotonic(fleet, versions, draining)
        fleet.write_again()
        for number in range(N_BALANCERS):
            fleet.read(number)
            self.check_monotonic(fleet, versions, draining)
            steering = fleet.balancers[number].steering
            self.assertEqual(steering.replica._records, fleet.store.records)
            self.assertEqual(steering.configuration.version, fleet.version)
            for name, entry in fleet.entries.items():
                held = steering.servers.get(name).entry
                self.assertEqual(held.is_draining, entry.is_draining)

    def run_step(self, fleet, step, pick):
        name = SERVERS[pick % len(SERVERS)]
        number = pick % N_BALANCERS
        if step == "configure":
            fleet.configure()
        elif step == "write":
            entry = fleet.entries.get(name)
            is_draining = entry is not None and entry.is_draining
            fleet.write_server(name, is_draining=is_draining)
        elif step == "drain":
            fleet.write_server(name, is_draining=True)
        elif step == "stop" and name in fleet.entries:
            fleet.stop_server(name)
        elif step == "copy":
            fleet.store.take_copy()
        elif step == "restore":
            fleet.store.restore()
        elif step == "read":
            fleet.readers[number]._read_once()
        elif step == "exchange":
            peer = fleet.balancers[(number + 1 + pick // N_BALANCERS) % N_BALANCERS]
            exchange(fleet.balancers[number], peer)

    def check_monotonic(self, fleet, versions, draining):
        for number, balancer in enumerate(fleet.balancers):
            configuration_in_force = balancer.steering.configuration
            version = (
                0 if configuration_in_force is None else configuration_in_force.version
            )
            self.assertGreaterEqual(version, versions[number])
            versions[number] = version
            listed = {
                (row.name, row.entry.started_at): row.entry.is_draining
                for row in balancer.steering.servers
            }
            for start in draining[number] & listed.keys():
                self.assertTrue(listed[start], start)
            draining[number] |= {
                start for start, is_draining in listed.items() if is_draining
            }
