"""Openings for cold servers: who may send them, how many, and what counts."""

import unittest
from collections import Counter

from stoattray_core._errors import ErrorKind
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import Route, WarmUp
from stoattray_core.steering.ownership import OWNERSHIP_GAP_MILLIS
from stoattray_core.steering.replica import Record
from stoattray_core.steering.servers import N_LOCAL_CANDIDATES, ServerRow
from stoattray_core.steering.silence_detector import FIRST_SUSPECT_MILLIS
from stoattray_core.steering.warm_up_budget import (
    WINDOW_MILLIS,
    WarmUpBounds,
    WithheldReason,
)
from stoattray_core.steering.warm_up_limit import WarmUpLimit
from tests.steering_builders import (
    LOOKUP_DESTINATION,
    Balancer,
    EventRecorder,
    configuration,
    heartbeat,
    member_entry,
    server_entry,
)

BOUNDS = WarmUpBounds(overage=1.5, slack=5.0)
WARM_UPS = {"lookup": WarmUp(2_000, 0.0)}
LIMIT = 5
ROUTE = configuration().routes[LOOKUP_DESTINATION]
PATIENT_ROUTE = ROUTE._replace(target_latency_millis=300, timeout_millis=1_800)
HURRIED_ROUTE = ROUTE._replace(target_latency_millis=300, timeout_millis=1_600)


def limited(version: int = 1, route: Route = PATIENT_ROUTE, **changes: object):
    """Return a configuration with a limit for the lookup service."""
    changes = {"warm_ups": WARM_UPS, **changes}
    return configuration(version, routes={route.destination: route}, **changes)


def new_balancer(name: str = "edge-1", *, route: Route = PATIENT_ROUTE, **changes):
    """Return a balancer that has been listed, with others, for longer than the gap."""
    balancer = Balancer(name, warm_up_bounds=BOUNDS, **changes)
    balancer.declare(limited(route=route))
    balancer.declare(*(member_entry(f"edge-{n}") for n in (1, 2, 3)))
    settle(balancer)
    return balancer


def settle(balancer: Balancer, millis: int = OWNERSHIP_GAP_MILLIS) -> None:
    """Let time pass while the replica is confirmed."""
    for _ in range(0, millis, 100):
        balancer.advance(100, step=50)
        balancer.steering.confirm_by_snapshot(balancer.now)


def owned_name(balancer: Balancer, is_owned: bool = True, **changes: object) -> str:
    """Return the name of a server that a balancer owns, or does not own."""
    owners = balancer.steering.warm_up.owners
    for number in range(1, 200):
        entry = server_entry(f"i-{number:02x}", **changes)
        if (owners.owner(entry) == balancer.own.name) is is_owned:
            return entry.name
    raise AssertionError("no such server")


def declare_cold(balancer: Balancer, name: str, **changes: object) -> ServerRow:
    """Declare a cold server and return its row."""
    changes = {"warmup_remaining_millis": 2_000, **changes}
    balancer.declare(server_entry(name, **changes))
    row = balancer.steering.servers.get(name)
    assert row is not None
    return row


def open_many(balancer: Balancer, n_openings: int, first_port: int = 20_000):
    """Open flows and return the results."""
    return [balancer.open(first_port + n) for n in range(n_openings)]


class OwnedServerTest(unittest.TestCase):
    """The budget of a cold server at its owner."""

    def setUp(self):
        self.balancer = new_balancer()
        self.name = owned_name(self.balancer)
        self.row = declare_cold(self.balancer, self.name)

    def withheld(self):
        budgets = self.balancer.steering.warm_up.budgets
        withheld = budgets.check(self.row, self.balancer.now)
        return None if withheld is None else withheld.reason

    def test_owner_opens_up_to_the_limit(self):
        """Guards against more openings than the limit in one window."""
        results = open_many(self.balancer, 20)
        self.assertEqual(results[:LIMIT], [self.row] * LIMIT)
        self.assertEqual(results[LIMIT:], [Refused(ErrorKind.DEFERRED)] * 15)
        self.assertIs(self.withheld(), WithheldReason.USED_UP)

    def test_budget_returns_with_the_window(self):
        """Guards against a budget that is never, or too early, given back."""
        open_many(self.balancer, LIMIT)
        self.balancer.now += WINDOW_MILLIS - 1
        self.assertIs(self.withheld(), WithheldReason.USED_UP)
        self.balancer.now += 1
        self.assertIsNone(self.withheld())

    def test_limit_follows_rate_overage_and_slack(self):
        """Guards against a limit that is rounded up."""
        declared = {"lookup": WarmUp(2_000, 1.7)}
        self.balancer.declare(limited(2, warm_ups=declared))
        self.assertEqual(self.balancer.steering.warm_up.budgets.limit("lookup"), 7)

    def test_server_is_unlimited_when_it_is_warm(self):
        """Guards against a limit that outlasts the warm-up."""
        self.balancer.now += 2_000
        self.balancer.steering.confirm_by_snapshot(self.balancer.now)
        self.assertEqual(open_many(self.balancer, 20), [self.row] * 20)

    def test_retransmissions_and_retries_count(self):
        """Guards against openings that reach the server uncounted."""
        port = 30_000
        for n_retransmissions in range(LIMIT):
            sent = self.balancer.open(port, n_retransmissions=n_retransmissions)
            self.assertIs(sent, self.row)
        refused = self.balancer.open(port, n_retransmissions=1)
        self.assertEqual(refused, Refused(ErrorKind.NO_OWNER))

    def test_a_retry_by_the_tick_counts(self):
        """Guards against retries at another server that bypass the budget."""
        self.balancer.declare(server_entry("i-f0"))
        budgets = self.balancer.steering.warm_up.budgets
        for _ in range(LIMIT):
            budgets.note_opening(self.row, self.balancer.now + 20 - WINDOW_MILLIS)
        for result in open_many(self.balancer, 20):
            self.assertEqual(result.name, "i-f0")
        resent = self.balancer.advance(100)
        self.assertEqual([server for server, _ in resent], [self.row] * LIMIT)

    def test_a_repeated_opening_of_an_established_flow_counts(self):
        """Guards against old openings that a server that started again takes."""
        self.balancer.open(30_000)
        self.balancer.follow(30_000, self.row)
        for _ in range(LIMIT - 1):
            self.assertIs(self.balancer.open(30_000, n_retransmissions=1), self.row)
        refused = self.balancer.open(30_000, n_retransmissions=1)
        self.assertEqual(refused, Refused(ErrorKind.NO_OWNER))

    def test_unconfirmed_owner_opens_nothing(self):
        """Guards against an owner in a partition that goes on."""
        self.row.warm_at += 60_000
        self.balancer.advance(2_200, step=50)
        self.assertIsNone(self.withheld())
        self.balancer.advance(1, step=1)
        self.assertIs(self.withheld(), WithheldReason.UNCONFIRMED)

    def test_owner_waits_after_a_time_without_confirmation(self):
        """Guards against an owner that missed that another one came and went."""
        self.row.warm_at += 60_000
        self.balancer.advance(2_300, step=50)
        settle(self.balancer, OWNERSHIP_GAP_MILLIS)
        self.assertIs(self.withheld(), WithheldReason.GAP)
        settle(self.balancer, 100)
        self.assertIsNone(self.withheld())

    def test_new_owner_waits_for_the_gap(self):
        """Guards against a handover while the previous owner may still send."""
        name = owned_name(self.balancer, is_owned=False)
        self.row = declare_cold(self.balancer, name, warmup_remaining_millis=60_000)
        self.assertIs(self.withheld(), WithheldReason.NOT_OWNER)
        for other in ("edge-2", "edge-3"):
            removal = Record(f"members/{other}", self.balancer.next_revision(), None)
            self.balancer.apply_record(removal)
        self.assertIs(self.withheld(), WithheldReason.GAP)
        settle(self.balancer, OWNERSHIP_GAP_MILLIS + 1_000)
        self.balancer.steering.remove_expired(self.balancer.now)
        self.assertIsNone(self.withheld())

    def test_gap_after_a_restart_counts_from_the_removal_of_the_record(self):
        """Guards against servers that nobody may use after a long stop."""
        for stopped_millis, reason in ((4_400, WithheldReason.GAP), (4_500, None)):
            with self.subTest(stopped_millis):
                balancer = self.balancer = new_balancer()
                owner = balancer.steering.warm_up.owners.owner
                name = next(
                    f"i-{number:02x}"
                    for number in range(1, 200)
                    if owner(server_entry(f"i-{number:02x}", started_at=1)) != "edge-1"
                    and owner(server_entry(f"i-{number:02x}", started_at=2)) == "edge-1"
                )
                balancer.declare(server_entry(name, started_at=1))
                balancer.remove(name)
                settle(balancer, stopped_millis)
                self.row = declare_cold(balancer, name, started_at=2)
                self.assertIs(self.withheld(), reason)

    def test_heartbeats_queued_during_a_pause_confirm_nothing(self):
        """Guards against a paused owner that wakes up and sends at once."""
        self.row.warm_at += 60_000
        steering = self.balancer.steering
        self.balancer.now += 5_000
        steering.detect_pause(self.balancer.now)
        queued = heartbeat(revision=steering.replica.revision)
        steering.apply_heartbeat(queued, self.balancer.now)
        self.assertEqual(steering.confirmed_age(self.balancer.now), 0)
        self.assertIs(self.withheld(), WithheldReason.UNCONFIRMED)
        self.assertEqual(steering.reported_age(self.balancer.now), 5_000)

    def test_a_peer_response_confirms_as_of_the_request(self):
        """Guards against a slow response that counts as new."""
        steering = self.balancer.steering
        self.balancer.advance(1_000, step=50)
        now = self.balancer.now
        difference = steering.replica.changes_since(steering.replica.version)
        report = heartbeat(revision=steering.replica.revision, confirmed_age=50)
        steering.apply_peer_response(report, difference, now)
        self.assertEqual(steering.warm_up.confirmation.age(now), 1_000)
        steering.apply_peer_response(report, difference, now, requested_at=now - 300)
        self.assertEqual(steering.warm_up.confirmation.age(now), 350)


class OtherServerTest(unittest.TestCase):
    """Cold servers that this balancer does not own."""

    def test_is_not_opened(self):
        """Guards against balancers that each send their share."""
        balancer = new_balancer()
        name = owned_name(balancer, is_owned=False)
        declare_cold(balancer, name)
        warm = server_entry("i-f0")
        balancer.declare(warm)
        for result in open_many(balancer, 100):
            self.assertEqual(result.name, "i-f0")
        counted = balancer.steering.counters["openings_withheld_not_owner"]
        self.assertEqual(counted, 100)

    def test_deferred_if_the_caller_has_time_and_reset_otherwise(self):
        """Guards against callers that wait in vain, or are refused too early."""
        cases = (
            (PATIENT_ROUTE, ErrorKind.DEFERRED),
            (HURRIED_ROUTE, ErrorKind.OVERLOADED),
            (ROUTE, ErrorKind.OVERLOADED),
        )
        for route, kind in cases:
            with self.subTest(kind):
                balancer = new_balancer(route=route)
                declare_cold(balancer, owned_name(balancer, is_owned=False))
                self.assertEqual(balancer.open(), Refused(kind))
                self.assertEqual(balancer.steering.counters["openings_all_cold"], 1)

    def test_a_retransmission_is_never_reset(self):
        """Guards against a reset of a flow that may be open elsewhere."""
        balancer = new_balancer(route=HURRIED_ROUTE)
        declare_cold(balancer, owned_name(balancer, is_owned=False))
        refused = balancer.open(n_retransmissions=1)
        self.assertEqual(refused, Refused(ErrorKind.NO_OWNER))

    def test_a_draining_cold_server_is_no_candidate_that_will_return(self):
        """Guards against callers that are deferred for a server that stops."""
        balancer = new_balancer()
        name = owned_name(balancer, is_owned=False)
        declare_cold(balancer, name, is_draining=True)
        self.assertEqual(balancer.open(), Refused(ErrorKind.NO_BACKEND_SERVER))

    def test_excluded_before_the_window_is_taken(self):
        """Guards against a window of cold servers that hides the warm one."""
        balancer = new_balancer()
        owners = balancer.steering.warm_up.owners
        n_cold = 0
        for number in range(1, 250):
            entry = server_entry(f"i-{number:02x}", warmup_remaining_millis=2_000)
            if owners.owner(entry) != balancer.own.name:
                balancer.declare(entry)
                n_cold += 1
        self.assertGreater(n_cold, 5 * N_LOCAL_CANDIDATES)
        balancer.declare(server_entry("i-f0f0"))
        names = {result.name for result in open_many(balancer, 50)}
        self.assertEqual(names, {"i-f0f0"})

    def test_the_reason_is_logged_once_a_second(self):
        """Guards against a line for each opening of a burst."""
        balancer = new_balancer()
        name = owned_name(balancer, is_owned=False)
        declare_cold(balancer, name)
        open_many(balancer, 50)
        lines = [f for n, f in balancer.recorder.events if n == "warm_up_limited"]
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]["server"], name)
        self.assertEqual(lines[0]["reason"], "not_owner")
        self.assertEqual(lines[0]["n_left"], 0)
        self.assertNotIn(lines[0]["owner"], (None, "edge-1"))


class WithoutLimitTest(unittest.TestCase):
    """Services and deployments that have no limit."""

    def check_unlimited(self, balancer):
        balancer.declare(server_entry("i-01", warmup_remaining_millis=2_000))
        row = balancer.steering.servers.get("i-01")
        self.assertEqual(open_many(balancer, 30), [row] * 30)
        self.assertIsNone(balancer.steering.warm_up.exclusion("lookup", balancer.now))

    def test_without_bounds(self):
        """Guards against a change for deployments without the two figures."""
        balancer = Balancer()
        balancer.declare(limited())
        self.check_unlimited(balancer)

    def test_without_warm_up_of_the_service(self):
        """Guards against a change for services without a declared rate."""
        balancer = Balancer(warm_up_bounds=BOUNDS)
        balancer.declare(limited(warm_ups={"other": WarmUp(2_000, 0.0)}))
        self.check_unlimited(balancer)

    def test_without_cold_servers_nothing_is_checked(self):
        """Guards against a cost for services whose servers are warm."""
        balancer = new_balancer()
        balancer.declare(server_entry("i-01"))
        self.assertIsNone(balancer.steering.warm_up.exclusion("lookup", balancer.now))

    def test_reports_are_as_before_without_any_limit(self):
        """Guards against a stricter confirmation where no limit is declared."""
        balancer = Balancer(warm_up_bounds=BOUNDS)
        balancer.declare(configuration())
        steering = balancer.steering
        steering.detect_pause(balancer.now)
        balancer.now += 5_000
        steering.detect_pause(balancer.now)
        queued = heartbeat(revision=steering.replica.revision)
        steering.apply_heartbeat(queued, balancer.now)
        self.assertEqual(steering.reported_age(balancer.now), 0)


class PossiblyColdServerTest(unittest.TestCase):
    """Servers that may have started again although no record says so."""

    def setUp(self):
        self.balancer = new_balancer()
        self.name = owned_name(self.balancer, is_owned=False)
        self.balancer.declare(server_entry(self.name))
        self.row = self.balancer.steering.servers.get(self.name)

    def may_open(self):
        warm_up = self.balancer.steering.warm_up
        exclusion = warm_up.exclusion("lookup", self.balancer.now)
        return exclusion is None or not exclusion(self.row)

    def fall_silent(self):
        self.balancer.open(30_000)
        self.balancer.advance(130)

    def test_a_silent_server_is_treated_as_cold(self):
        """Guards against all balancers probing a server that starts again."""
        self.fall_silent()
        self.assertFalse(self.may_open())

    def test_an_answer_after_silence_starts_the_warm_up(self):
        """Guards against a burst while the new record is on its way."""
        self.fall_silent()
        self.balancer.now += FIRST_SUSPECT_MILLIS
        self.balancer.open(30_001)
        self.balancer.follow(30_001, self.row)
        self.balancer.now += 1_999
        self.assertFalse(self.may_open())
        self.balancer.now += 1
        self.assertTrue(self.may_open())

    def test_a_late_answer_shows_no_restart(self):
        """Guards against healthy servers that a busy balancer treats as cold.

        A balancer found three servers silent after 30 ms, heard them within 0.12 s, and
        refused the openings of their service for the whole warm-up.
        """
        self.fall_silent()
        self.balancer.follow(30_000, self.row)
        self.assertTrue(self.may_open())

    def test_an_answer_without_silence_changes_nothing(self):
        """Guards against a limit for servers that always answer."""
        self.balancer.open(30_000)
        self.balancer.advance(10)
        self.balancer.follow(30_000, self.row)
        self.assertTrue(self.may_open())

    def test_a_data_centre_that_was_cut_off_is_cold_after_its_first_answer(self):
        """Guards against a burst at servers that started during a partition."""
        now = self.balancer.now
        cold_servers = self.balancer.steering.warm_up.cold_servers
        cold_servers.note_silence(self.row, now, now + 1_500, now)
        self.assertFalse(self.may_open())
        self.balancer.now += 1_000
        cold_servers.note_answer(self.row, now, self.balancer.now)
        self.balancer.now += 100
        cold_servers.note_answer(self.row, now, self.balancer.now)
        self.balancer.now += 1_899
        self.assertFalse(self.may_open())
        self.balancer.now += 1
        self.assertTrue(self.may_open())


class EvacuationTest(unittest.TestCase):
    """Servers of a data centre whose evacuation has ended."""

    def test_servers_are_cold_for_the_warm_up(self):
        """Guards against a burst at servers that started during the evacuation."""
        ended_at: dict[str, int] = {}
        limit = WarmUpLimit(
            "edge-1",
            BOUNDS,
            configuration=limited,
            evacuation_ended_at=ended_at.get,
            counters=Counter(),
            on_event=EventRecorder(),
        )
        row = ServerRow(server_entry(), cookie=1)
        limit.note_server(row, None)
        self.assertIsNone(limit.exclusion("lookup", 5_000))
        ended_at["luzon-a"] = 5_000
        self.assertTrue(limit.exclusion("lookup", 6_999)(row))
        self.assertIsNone(limit.exclusion("lookup", 7_000))
