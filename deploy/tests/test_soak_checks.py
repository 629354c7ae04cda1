"""The soak's schedule and checks of evacuations and of servers that start cold."""

import json
import os
import sys
import time
import unittest
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parents[1] / "soak"))

import gevent
from backend_servers import BackendServer, SharedState
from evacuations import Evacuations
from losses import MIN_FREE_PORTS, MIN_UNUSED_SECONDS, Losses, Ports
from monitor import InvariantMonitor
from packets import SYN, Packet
from schedule import (
    EVACUATION_RECOVERY_SECONDS,
    UNLISTED_SECONDS,
    generate_evacuations,
    generate_unlistings,
)
from store import SimulatedStore
from warm_up import WarmUp, WarmUpCheck


def monitor_at(seconds, fault_window_ends_at=0.0):
    """Return a monitor of a run that has lasted for some seconds."""
    return InvariantMonitor(
        time.monotonic() - seconds, fault_window_ends_at=fault_window_ends_at
    )


class LossesTest(unittest.TestCase):
    """What a run with losses adds."""

    def test_only_the_first_answer_to_an_opening_is_ever_lost(self):
        """Guards against flows that never open."""
        losses = Losses(1)
        lost = [losses.loses_answer(b"flow", number) for number in range(1_000)]
        again = [losses.loses_answer(b"flow", number) for number in range(1_000)]
        self.assertTrue(10 < sum(lost) < 60, sum(lost))
        self.assertFalse(any(again))

    def test_ports_are_used_again_after_a_while(self):
        """Guards against callers that never use a port twice."""
        for reuses, n_ports in ((True, MIN_FREE_PORTS + 5), (False, 100)):
            ports = Ports(reuses=reuses)
            taken = []
            for number in range(100):
                now = number * MIN_UNUSED_SECONDS
                taken.append(ports.take(now))
                ports.release(bytes(10) + taken[-1], now)
            self.assertLessEqual(len(set(taken)), n_ports)
            self.assertEqual(len(set(taken)) < 100, reuses)

    def test_records_are_lost_in_phases_of_planned_changes_only(self):
        """Guards against a check that a fault window always suspends."""
        entries = generate_unlistings(7, 200.0)
        self.assertEqual(len(entries), 8)
        for entry in entries:
            seconds_into_cycle = (entry.at - 2.0) % 24.0
            self.assertGreaterEqual(seconds_into_cycle, 8.0)
            self.assertLess(seconds_into_cycle + UNLISTED_SECONDS, 24.0)

    def test_opening_at_a_server_that_lost_its_record_is_reported(self):
        """Guards against a check that passes whatever arrives."""
        monitor = monitor_at(12)
        shared = SharedState(SimulatedStore(Random(1)), monitor, Random(1))
        server = BackendServer(
            "i-1", "lookup", "luzon-a", ("127.0.0.1", 0), caller_port=1, shared=shared
        )
        shared.services_by_destination[bytes(6)] = {"lookup"}
        packet = Packet(0, SYN, bytes(4), bytes(4), 0, 1, 0, 1, 0, b"")
        for seconds, n_violations in ((2.9, 0), (3.1, 1)):
            server.unlisted_since = monitor.elapsed_seconds - seconds
            server._accept_flow(packet)
            self.assertEqual(len(monitor.violations), n_violations)


class WarmUpCheckTest(unittest.TestCase):
    """The check of the limit, here of three openings a second for six seconds."""

    WARM_UP = WarmUp(6.0, 1.0)

    def check(self, monitor, *, is_restart=False):
        return WarmUpCheck("i-1", self.WARM_UP, 10.0, monitor, is_restart=is_restart)

    def test_more_openings_than_the_limit_in_a_second_are_reported(self):
        """Guards against a check that passes whatever arrives."""
        monitor = monitor_at(12)
        check = self.check(monitor)
        for at in (11.0, 11.4, 11.8, 12.05):
            check.note_opening(at)
        self.assertEqual(monitor.violations, [])
        check.note_opening(12.3)
        self.assertEqual([v["promise"] for v in monitor.violations], ["warm-up limit"])

    def test_the_limit_holds_during_faults(self):
        """Guards against a fault window that exempts new servers."""
        monitor = monitor_at(12, fault_window_ends_at=20.0)
        check = self.check(monitor)
        for _ in range(4):
            check.note_opening(11.0)
        self.assertEqual(len(monitor.violations), 1)

    def test_a_warm_server_has_no_limit(self):
        """Guards against false reports after the warm-up."""
        monitor = monitor_at(17)
        check = self.check(monitor)
        for _ in range(10):
            check.note_opening(16.0)
        self.assertEqual(monitor.violations, [])

    def test_a_restart_is_exempt_until_its_record_can_be_known(self):
        """Guards against an exception that lasts longer than stated, or less long."""
        monitor = monitor_at(12, fault_window_ends_at=11.5)
        check = self.check(monitor, is_restart=True)
        check.note_record(10.0)
        check.note_time(10.8)
        for _ in range(10):
            check.note_opening(10.85)
        self.assertEqual(monitor.violations, [])
        check.note_time(10.95)
        for _ in range(4):
            check.note_opening(11.0)
        self.assertEqual(len(monitor.violations), 1)

    def test_a_restart_is_exempt_while_faults_may_withhold_its_record(self):
        """Guards against reports of openings that no balancer can prevent."""
        monitor = monitor_at(12, fault_window_ends_at=20.0)
        check = self.check(monitor, is_restart=True)
        check.note_record(10.0)
        check.note_time(11.5)
        for _ in range(10):
            check.note_opening(11.6)
        self.assertEqual(monitor.violations, [])


class WarmServerTest(unittest.TestCase):
    """The record of a simulated backend server that started cold."""

    def test_a_server_that_is_warm_writes_its_record_again(self):
        """Guards against balancers that take it for cold whenever they start."""
        monitor = monitor_at(0)
        store = SimulatedStore(Random(1))
        shared = SharedState(store, monitor, Random(1))
        check = WarmUpCheck("i-1", WarmUp(0.3, 1.0), 0.0, monitor, is_restart=False)
        host = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.2"
        server = BackendServer(
            "i-1",
            "lookup",
            "a",
            (host, 7_107),
            caller_port=7_101,
            shared=shared,
            warm_up=check,
        )
        server.start()
        self.addCleanup(server.stop)
        gevent.sleep(0.05)
        record = json.loads(store.items["servers/i-1"].value)
        self.assertGreater(record["warmup_remaining_ms"], 0)
        gevent.sleep(1.0)
        record = json.loads(store.items["servers/i-1"].value)
        self.assertEqual(record["warmup_remaining_ms"], 0)


class EvacuationsTest(unittest.TestCase):
    """The check that an evacuated data centre gets no openings."""

    def setUp(self):
        self.monitor = monitor_at(10)
        self.store = SimulatedStore(Random(1))
        self.evacuations = Evacuations(self.store, self.monitor)

    def test_openings_are_reported_from_five_seconds_until_the_removal(self):
        """Guards against a check that is too strict, too late or never ends."""
        self.evacuations.begin("a")
        self.assertIn("op/evacuate/a", self.store.items)
        self.evacuations.check_opening("i-1", "a", 14.9)
        self.evacuations.check_opening("i-1", "b", 15.1)
        self.assertEqual(self.monitor.violations, [])
        self.evacuations.check_opening("i-1", "a", 15.1)
        self.assertEqual(len(self.monitor.violations), 1)
        self.evacuations.end("a")
        self.assertNotIn("op/evacuate/a", self.store.items)
        self.evacuations.check_opening("i-1", "a", 15.2)
        self.assertEqual(len(self.monitor.violations), 1)

    def test_openings_in_a_fault_window_are_not_reported(self):
        """Guards against reports of balancers that are out of contact."""
        self.evacuations.begin("a")
        self.monitor.fault_window_ends_at = 20.0
        self.evacuations.check_opening("i-1", "a", 16.0)
        self.assertEqual(self.monitor.violations, [])

    def test_the_next_evacuation_begins_after_a_late_end(self):
        """Guards against an end that waited for the store and ends the next one."""
        self.evacuations.begin("a")
        self.store.faults.is_down = True
        begin = gevent.spawn(self.evacuations.begin, "a")
        end = gevent.spawn(self.evacuations.end, "a")
        gevent.sleep(0.05)
        self.store.faults.is_down = False
        gevent.joinall([begin, end], timeout=2.0, raise_error=True)
        self.assertTrue(self.evacuations.is_requested("a"))
        self.assertIn("op/evacuate/a", self.store.items)

    def test_what_a_copy_of_the_store_lacks_or_restores_is_corrected(self):
        """Guards against a check that relies on a request which the store has lost."""
        self.evacuations.begin("a")
        self.store.delete("op/evacuate/a")
        self.store.put("op/evacuate/b", b"{}")
        self.evacuations.write_again(("a", "b"))
        self.assertEqual(list(self.store.items), ["op/evacuate/a"])


class ScheduleTest(unittest.TestCase):
    """The schedule of evacuations."""

    def test_all_seeds_evacuate_and_leave_time_for_recovery(self):
        """Guards against runs that check nothing, or end before servers are warm."""
        n_together = 0
        for seed in range(300):
            entries = generate_evacuations(seed, 34.0)
            evacuations = [entry for entry in entries if entry.kind == "evacuation"]
            self.assertTrue(evacuations)
            self.assertTrue(any(entry.kind == "servers_restart" for entry in entries))
            for entry in evacuations:
                self.assertGreater(entry.seconds, 5.0)
                self.assertLessEqual(
                    entry.at + entry.seconds, 34.02 - EVACUATION_RECOVERY_SECONDS
                )
            n_together += len({entry.at for entry in evacuations}) < len(evacuations)
        self.assertGreater(n_together, 100)


if __name__ == "__main__":
    unittest.main()
