"""Random schedules of faults: the limit of cold servers holds over all balancers.

A store, balancers of two data centres and cold servers run for some seconds while
balancers join, die, leave, pause and lose the store or each other, reports are late,
and servers start again. Each balancer sends each server as many openings as it may.
"""

import heapq
import os
import unittest
from collections.abc import Callable
from random import Random

from stoattray_core.steering.entries import WarmUp
from stoattray_core.steering.replica import Difference, Record
from stoattray_core.steering.warm_up_budget import WarmUpBounds
from tests.steering_builders import (
    START_MILLIS,
    Balancer,
    EntryDecoder,
    configuration,
    heartbeat,
    server_entry,
)

N_SCHEDULES = int(os.environ.get("STOATTRAY_SCHEDULES", "30"))
STEP_MILLIS = 25
FAULTY_MILLIS = 40_000
QUIET_MILLIS = 12_000
WATCH_WAIT_MILLIS = 1_000
BATCH_MILLIS = 700
HEARTBEAT_MILLIS = 200
MAX_OPENING_DELAY_MILLIS = 100
LIMIT = 5
DATA_CENTRES = ("luzon-a", "luzon-b")


class Store:
    """The platform's store: records and their history."""

    def __init__(self, decoder: EntryDecoder) -> None:
        self.revision = 0
        self._decoder = decoder
        self._history: list[Record] = []

    def put(self, key: str, entry: object) -> None:
        """Write a record."""
        self.revision += 1
        self._history.append(self._decoder.record(key, self.revision, entry))

    def delete(self, key: str) -> None:
        """Delete a record."""
        self.revision += 1
        self._history.append(Record(key, self.revision, None))

    def changes_since(self, revision: int) -> Difference:
        """Return the last change of each key after a revision."""
        changed = {r.key: r for r in self._history if r.revision > revision}
        return Difference(self.revision, list(changed.values()), False)

    def snapshot(self) -> Difference:
        """Return all records."""
        last = {record.key: record for record in self._history}
        records = [record for record in last.values() if record.value is not None]
        return Difference(self.revision, records, True)


class Process:
    """One balancer process, its watch of the store and its socket."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.steering = balancer.steering
        self.name = balancer.own.name
        self.paused_until = 0
        self.is_dead = False
        self.reaches_store = True
        self.reaches_peers = True
        self.next_watch_at = 0
        self.queued: list[Callable[[], None]] = []

    def is_running(self, now: int) -> bool:
        """Return whether the process runs."""
        return not self.is_dead and now >= self.paused_until

    def receive(self, action: Callable[[], None], now: int) -> None:
        """Run an action, or queue it until the process runs again."""
        if self.is_running(now):
            action()
        elif not self.is_dead:
            self.queued.append(action)


class World:
    """Store, balancers and cold servers under a random schedule."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = START_MILLIS
        self.decoder = EntryDecoder()
        self.store = Store(self.decoder)
        self.processes: dict[str, Process] = {}
        self.arrivals: dict[str, list[int]] = {}
        self._starts: dict[str, int] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._n_events = 0
        self._n_names = 0
        warm_ups = {"lookup": WarmUp(600_000, 0.0)}
        self.store.put("configuration", configuration(warm_ups=warm_ups))
        for data_centre in DATA_CENTRES:
            for _ in range(3):
                self.start_server(data_centre)
            for _ in range(2):
                self.start_balancer(data_centre)

    def start_server(self, data_centre: str, name: str | None = None) -> None:
        """Start a server that stays cold, or start one again."""
        name = name or f"i-{len(self._starts) + 1:02x}"
        self._starts[name] = self._starts.get(name, 0) + 1
        self.arrivals.setdefault(name, [])
        entry = server_entry(
            name,
            data_centre=data_centre,
            started_at=self._starts[name],
            warmup_remaining_millis=600_000,
        )
        self.store.put(f"servers/{name}", entry)

    def start_balancer(self, data_centre: str, name: str | None = None) -> None:
        """Start a process that reads a snapshot and writes its record."""
        if name is None:
            self._n_names += 1
            name = f"edge-{self._n_names}"
        balancer = Balancer(
            name,
            data_centre,
            self.random.random(),
            self.decoder,
            WarmUpBounds(1.5, float(LIMIT)),
        )
        process = self.processes[name] = Process(balancer)
        balancer.now = self.now
        process.steering.apply_changes(self.store.snapshot(), self.now)
        process.steering.confirm_by_snapshot(self.now)
        self.later(self.random.randrange(500), lambda: self.register(process))

    def register(self, process: Process) -> None:
        """Write the record of a process, which otherwise never has one."""
        if not process.is_dead:
            self.store.put(f"members/{process.name}", process.balancer.own)

    def later(self, millis: int, action: Callable[[], None]) -> None:
        """Run an action after some time."""
        self._n_events += 1
        heapq.heappush(self._events, (self.now + millis, self._n_events, action))

    def delay(self) -> int:
        """Return the delay of a message; one in twenty is late."""
        is_late = self.random.random() < 0.05
        return self.random.randrange(150 if is_late else 20)

    def run(self, millis: int, *, is_faulty: bool) -> None:
        """Run for some time, with or without new faults."""
        end = self.now + millis
        while self.now < end:
            self.now += STEP_MILLIS
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            if is_faulty and self.random.random() < 0.02:
                self.cause_fault()
            for process in list(self.processes.values()):
                process.balancer.now = self.now
                if process.is_running(self.now):
                    self.step(process)

    def step(self, process: Process) -> None:
        """Let a process run: read what is queued, tick, watch, report and open."""
        tick_first = self.random.random() < 0.5
        if tick_first:
            list(process.steering.tick(self.now))
        queued, process.queued = process.queued, []
        for action in queued:
            action()
        if not tick_first:
            list(process.steering.tick(self.now))
        if self.now >= process.next_watch_at and process.reaches_store:
            self.watch(process)
        if self.now % HEARTBEAT_MILLIS == 0:
            self.send_heartbeats(process)
        if self.now % 1_000 == 0:
            process.steering.remove_expired(self.now)
        self.open_all(process)

    def watch(self, process: Process) -> None:
        """Watch the store, which answers after a change or the wait time."""
        started_at, revision = self.now, process.steering.replica.revision
        process.next_watch_at = self.now + 10_000
        wait = WATCH_WAIT_MILLIS if self.store.revision == revision else 0
        wait = self.random.choice((wait, self.random.randrange(wait + 1)))

        def answer() -> None:
            difference = self.store.changes_since(revision)
            action = lambda: self.take_answer(process, difference, started_at)  # noqa: E731
            is_slow = self.random.random() < 0.05
            delay = self.random.randrange(1_500) if is_slow else self.delay()
            self.later(delay, lambda: process.receive(action, self.now))

        self.later(wait, answer)

    def take_answer(
        self, process: Process, difference: Difference, started_at: int
    ) -> None:
        """Apply the answer to a watch as `StoreReader` does."""
        if not process.reaches_store:
            process.next_watch_at = self.now
            return
        process.steering.warm_up.confirmation.note_running(self.now)
        process.steering.apply_changes(difference, self.now)
        process.steering.confirm_by_watch(started_at, self.now, WATCH_WAIT_MILLIS)
        pause = BATCH_MILLIS if difference.records else 0
        process.next_watch_at = self.now + pause

    def send_heartbeats(self, sender: Process) -> None:
        """Report to all reachable peers as `Peers` does."""
        report = heartbeat(
            member=sender.balancer.own,
            revision=sender.steering.replica.revision,
            confirmed_age=sender.steering.reported_age(self.now),
        )
        for receiver in self.processes.values():
            is_reachable = sender.reaches_peers and receiver.reaches_peers
            if receiver is sender or not is_reachable:
                continue

            def take(receiver: Process = receiver) -> None:
                self.take_heartbeat(receiver, sender, report)

            self.later(
                self.delay(),
                lambda receiver=receiver, take=take: receiver.receive(take, self.now),
            )

    def take_heartbeat(self, receiver: Process, sender: Process, report) -> None:
        """Apply a heartbeat; request the changes of a newer replica."""
        receiver.steering.warm_up.confirmation.note_running(self.now)
        receiver.steering.apply_heartbeat(report, self.now)
        if report.version <= receiver.steering.replica.version:
            return
        requested_at, after = self.now, receiver.steering.replica.version

        def answer() -> None:
            if not (sender.is_running(self.now) and sender.reaches_peers):
                return
            difference = sender.steering.replica.changes_since(after)
            response = report._replace(
                revision=difference.revision,
                confirmed_age=sender.steering.reported_age(self.now),
            )

            def take() -> None:
                receiver.steering.apply_peer_response(
                    response, difference, self.now, requested_at=requested_at
                )

            self.later(self.delay(), lambda: receiver.receive(take, self.now))

        self.later(self.delay(), answer)

    def open_all(self, process: Process) -> None:
        """Send each server as many openings as the process may."""
        budgets = process.steering.warm_up.budgets
        for row in process.steering.servers:
            while budgets.may_open(row, self.now):
                budgets.note_opening(row, self.now)
                delay = self.random.randrange(MAX_OPENING_DELAY_MILLIS + 1)
                self.arrivals[row.name].append(self.now + delay)

    def cause_fault(self) -> None:
        """Cause one random fault, or end some."""
        random = self.random
        fault = random.choice(
            ("join", "die", "restart", "leave", "pause", "evict", "lose", "server")
        )
        process = random.choice(list(self.processes.values()))
        if fault == "server":
            row = random.choice(list(process.steering.servers))
            self.start_server(row.entry.data_centre, row.name)
        elif fault == "join" and len(self.processes) < 6:
            self.start_balancer(random.choice(DATA_CENTRES))
        elif fault == "pause":
            process.paused_until = self.now + random.randrange(100, 9_000)
        elif fault == "evict":
            self.evict(process)
        elif fault == "lose":
            self.lose(process)
        elif fault in ("die", "leave", "restart"):
            self.stop(process, fault)

    def evict(self, process: Process) -> None:
        """Pause a process for so long that its record ends and others take over."""
        pause = self.random.randrange(5_000, 10_000)
        process.paused_until = self.now + pause
        key = f"members/{process.name}"
        self.later(self.random.randrange(2_000), lambda: self.store.delete(key))
        self.later(pause + 500, lambda: self.register(process))

    def lose(self, process: Process) -> None:
        """Cut a process off from the store, from its peers, or from both."""
        cuts = self.random.choice((("store",), ("peers",), ("store", "peers")))
        for cut in cuts:
            setattr(process, f"reaches_{cut}", False)
            self.later(
                self.random.randrange(500, 12_000),
                lambda cut=cut: self.restore(process, cut),
            )

    def restore(self, process: Process, cut: str) -> None:
        """End a partition."""
        setattr(process, f"reaches_{cut}", True)
        if cut == "store":
            process.next_watch_at = self.now

    def stop(self, process: Process, fault: str) -> None:
        """End a process: its record is deleted at once, later, or written again."""
        if len(self.processes) <= 2:
            return
        process.is_dead = True
        del self.processes[process.name]
        key = f"members/{process.name}"
        if fault == "leave":
            self.store.delete(key)
        elif fault == "die":
            self.later(
                self.random.randrange(1_000, 8_000), lambda: self.store.delete(key)
            )
        else:
            own = process.balancer.own
            self.later(
                self.random.randrange(50, 1_500),
                lambda: self.start_balancer(own.data_centre, own.name),
            )

    def excess(self) -> dict[str, int]:
        """Return the most openings within a second, by server above the limit."""
        excess = {}
        for name, arrivals in self.arrivals.items():
            arrivals.sort()
            first = most = 0
            for last, at in enumerate(arrivals):
                while at - arrivals[first] >= 1_000:
                    first += 1
                most = max(most, last - first + 1)
            if most > LIMIT:
                excess[name] = most
        return excess


class WarmUpScheduleTest(unittest.TestCase):
    """The bound over all balancers, in every sliding second."""

    def test_limit_holds_and_budgets_are_used_again(self):
        """Guards against two owners at once, and against servers left without one."""
        for seed in range(N_SCHEDULES):
            with self.subTest(seed=seed):
                world = World(seed)
                world.run(FAULTY_MILLIS, is_faulty=True)
                n_before = sum(map(len, world.arrivals.values()))
                world.run(2 * QUIET_MILLIS, is_faulty=False)
                self.assertEqual(world.excess(), {})
                self.assertGreater(n_before, 0)
                recent = world.now - QUIET_MILLIS // 2
                for name, arrivals in world.arrivals.items():
                    self.assertTrue(
                        any(at > recent for at in arrivals), f"{name} has no owner"
                    )


if __name__ == "__main__":
    unittest.main()
