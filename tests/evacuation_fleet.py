"""Simulated fleet whose data centres are evacuated through a store and through peers.

One balancer of each data centre reads the store; the others learn from heartbeats and
request differences, as in a real fleet. Every opening that reaches a host is recorded.
"""

from typing import NamedTuple

from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.isolation import CHECK_TIMEOUT_MILLIS
from stoattray_core.steering.replica import Difference, Record
from tests.simulated_fleet import Host, Layout, SimulatedFleet
from tests.steering_builders import Balancer, heartbeat

THREE_DATA_CENTRES = ("luzon-a", "luzon-b", "luzon-c")

READ_INTERVAL_MILLIS = 900
"""Time between two reads of a reader; batches and calls take up to this long."""

BOUND_MILLIS = 5_000
"""The users' limit from the acknowledgement of an evacuation to the last opening."""

CONNECT_MILLIS = 4
"""Time until the store answers a new connection."""

LEARNED_MILLIS = 1_300
"""Time after which every balancer in contact knows of a change here: one read, and two
rounds of heartbeats."""


class Opening(NamedTuple):
    """An opening that a balancer forwarded to a host."""

    at: int
    balancer: str
    host: str
    data_centre: str


class EvacuationFleet(SimulatedFleet):
    """Fleet with a store that operators write to.

    Parameters
    ----------
    data_centres : tuple of str
        Names of the data centres.
    options : dict
        Further options of `SimulatedFleet`.

    Attributes
    ----------
    without_store : set of str
        Data centres that do not reach the store.
    """

    def __init__(
        self,
        data_centres: tuple[str, ...] = THREE_DATA_CENTRES,
        **options: object,
    ) -> None:
        self.openings: list[Opening] = []
        self.without_store: set[str] = set()
        self._checking: set[str] = set()
        super().__init__(layout=Layout(data_centres), **options)
        self._store_revision = self.all_balancers[0].steering.replica.revision
        self._history: list[Record] = []

    def evacuate(self, data_centre: str) -> int:
        """Write the key that evacuates a data centre; return the time."""
        return self._write(data_centre, b"{}")

    def end_evacuation(self, data_centre: str) -> int:
        """Remove the key that evacuates a data centre; return the time."""
        return self._write(data_centre, None)

    def openings_after(self, at: int, data_centre: str) -> list[Opening]:
        """Return the openings that a data centre got from `at` on."""
        return [
            opening
            for opening in self.openings
            if opening.at >= at and opening.data_centre == data_centre
        ]

    def step_for(self, millis: int) -> None:
        """Advance the clock by `millis`, with flows left open."""
        end = self.now + millis
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Advance the clock by 1 ms; readers read when it is time."""
        super().step()
        if self.now % READ_INTERVAL_MILLIS == 0:
            for data_centre in self.layout.data_centres:
                if data_centre not in self.without_store | self.cut_off:
                    self._read(data_centre)
        for balancer in self.running_balancers:
            if balancer.steering.isolation.wants_check(self.now):
                self._check_isolation(balancer)

    def is_reachable(self, balancer: Balancer, host: Host) -> bool:
        """Return whether an opening reaches a host, and record it if it does."""
        is_reached = super().is_reachable(balancer, host)
        if is_reached:
            self.openings.append(
                Opening(self.now, balancer.own.name, host.name, host.data_centre)
            )
        return is_reached

    def _check_isolation(self, balancer: Balancer) -> None:
        """Let a balancer try a connection to the store, unless it does already."""
        name, started_at = balancer.own.name, self.now
        if name in self._checking:
            return
        unreachable = self.without_store | self.cut_off
        is_reached = balancer.own.data_centre not in unreachable
        self._checking.add(name)

        def finish() -> None:
            self._checking.discard(name)
            balancer.steering.isolation.note_check(
                is_reached=is_reached, started_at=started_at, now=self.now
            )

        self.schedule(CONNECT_MILLIS if is_reached else CHECK_TIMEOUT_MILLIS, finish)

    def _write(self, data_centre: str, value: bytes | None) -> int:
        declared = self.all_balancers[0].steering.replica.revision
        self._store_revision = max(self._store_revision, declared) + 1
        key = f"evacuations/{data_centre}"
        self._history.append(Record(key, self._store_revision, value))
        return self.now

    def _read(self, data_centre: str) -> None:
        """Let the first running balancer of a data centre read the store."""
        running = [
            b for b in self.running_balancers if b.own.data_centre == data_centre
        ]
        if not running:
            return
        steering = running[0].steering
        revision = steering.replica.revision
        records = [record for record in self._history if record.revision > revision]
        steering.store_health.note_response(self.now)
        steering.apply_changes(
            Difference(self._store_revision, records, False), self.now
        )
        steering.confirm_replica(self.now)

    def _exchange_heartbeats(self) -> None:
        """Exchange heartbeats, and differences between those that hear each other."""
        for sender in self.running_balancers:
            message = self._heartbeat(sender)
            for receiver in self.running_balancers:
                if receiver is not sender and self._hears(receiver, sender):
                    self._receive(receiver, sender, message)

    def _heartbeat(self, balancer: Balancer) -> Heartbeat:
        steering = balancer.steering
        return heartbeat(
            member=balancer.own,
            revision=steering.replica.revision,
            confirmed_age=steering.confirmed_age(self.now),
            pending_requests=steering.pending_requests(),
            failing_cookies=steering.failing_cookies(self.now),
        )

    def _hears(self, receiver: Balancer, sender: Balancer) -> bool:
        if {receiver.own.name, sender.own.name} & self.isolated:
            return False
        data_centres = {receiver.own.data_centre, sender.own.data_centre}
        return len(data_centres) == 1 or not data_centres & self.cut_off

    def _receive(
        self, receiver: Balancer, sender: Balancer, message: Heartbeat
    ) -> None:
        receiver.steering.apply_heartbeat(message, self.now)
        version = receiver.steering.replica.version
        if message.version > version:
            difference = sender.steering.replica.changes_since(version)
            receiver.steering.apply_peer_response(message, difference, self.now)
