"""Stand-in backend servers: flows, work, drains, crashes and addresses used again."""

import json
import socket as sockets
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import gevent
import packets
from gevent import socket
from packets import ACK, FIN, LABEL_BYTES, RST, SYN, Head
from promises import Promises
from store import StandinStore, document

SERVICES = {"lookup": 5, "archive": 3}
"""Services and their hosts at the start of a run."""

HEARTBEAT_SECONDS = 0.4
DRAIN_BOUND_SECONDS = 3.0
ANSWER_BYTES = 1_000
LOST_RUN_SECONDS = 8.0


@dataclass
class Flow:
    """A flow that this host holds."""

    sequence: int
    is_open: bool = False
    answers: dict[str, list[bytes]] = field(default_factory=dict)


class Host:
    """One incarnation of a backend server.

    Parameters
    ----------
    name, service, data_centre : str
        Who it is.
    address : tuple of str and int
        Where it takes packets.
    caller_port : int
        Port at which callers take packets.
    world : World
        What all stand-ins share.
    """

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        address: tuple[str, int],
        *,
        caller_port: int,
        world: "World",
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.draining_since: float | None = None
        self.work_seconds = 0.02
        self._data_centre = data_centre
        self._caller_port = caller_port
        self._world = world
        self._label = struct.pack(">Q", int(name.removeprefix("i-"), 16))
        self._flows: dict[bytes, Flow] = {}
        self._socket: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._lease = 0

    def start(self) -> None:
        """Take packets and register."""
        self._socket = socket.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
        self._socket.bind(self.address)
        self._world.hosts[self.name] = self
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._register)]

    def drain(self) -> None:
        """Report to be leaving; keep serving."""
        self.draining_since = self._world.promises.now
        self._write()

    def stop(self, *, is_registered_on: bool = False) -> None:
        """End without a word to callers; a crash leaves the record to its lease."""
        if self._world.hosts.pop(self.name, None) is None:
            return  # ended already, by the end of the run
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()
        if not is_registered_on:
            self._world.store.delete(f"servers/{self.name}")

    def _register(self) -> None:
        store = self._world.store
        while True:
            key = f"servers/{self.name}"
            if not store.faults.is_down and key not in store.items:
                self._write()
            gevent.sleep(HEARTBEAT_SECONDS)

    def _write(self) -> None:
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self._data_centre,
            "version": "v1",
            "capacity": 2,
            "state": "ready" if self.draining_since is None else "draining",
            "warmup_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self._world.store.put(f"servers/{self.name}", document(body))

    def _receive(self) -> None:
        assert self._socket is not None
        while True:
            data = self._socket.recv(2_048)
            label, packet = data[:LABEL_BYTES], data[LABEL_BYTES:]
            if label not in (self._label, bytes(LABEL_BYTES)):
                self._world.promises.counts["dropped by label"] += 1
                continue
            head = packets.read(packet)
            if not head.is_genuine:
                self._world.promises.break_("packets unchanged", host=self.name)
                continue
            self._take(head)

    def _take(self, head: Head) -> None:
        flow = self._flows.get(head.flow)
        self._world.note_packet(head, self, is_known=flow is not None)
        if head.flags & SYN:
            if flow is None:
                flow = self._accept(head)
            self._send(head, SYN | ACK, flow.sequence)
        elif flow is None:
            self._send(head, RST, head.acknowledgement)
        elif head.flags & RST:
            del self._flows[head.flow]
        elif head.flags & FIN:
            self._send(head, FIN | ACK, flow.sequence)
        elif head.data:
            self._answer(head, flow)
        elif head.acknowledgement == flow.sequence + 1:
            flow.is_open = True
            self._world.owners.setdefault(head.flow, self.name)

    def _accept(self, head: Head) -> Flow:
        world = self._world
        destination = head.destination + struct.pack(">H", head.destination_port)
        if self.service not in world.allowed.get(destination, set()):
            world.promises.break_("right service", host=self.name, service=self.service)
        since = self.draining_since
        if since is not None and world.promises.is_calm:
            late = world.promises.now - max(since, world.promises.disturbed_until)
            if late > DRAIN_BOUND_SECONDS:
                world.promises.break_("drain", host=self.name, late_s=round(late, 3))
        flow = Flow(world.random.randrange(1, 2**31))
        self._flows[head.flow] = flow
        return flow

    def _answer(self, head: Head, flow: Flow) -> None:
        if not flow.is_open:
            if head.acknowledgement != flow.sequence + 1:
                self._send(head, RST, head.acknowledgement)
                return
            flow.is_open = True
            self._world.owners.setdefault(head.flow, self.name)
        request = json.loads(head.data)
        name = request["id"]
        if name in flow.answers:
            for part in flow.answers[name]:
                self._send(head, ACK, flow.sequence, part)
            return
        flow.answers[name] = []
        self._world.note_run(name, self, is_idempotent=request["idempotent"])
        self._tasks.append(gevent.spawn(self._work, head, flow, request))

    def _work(self, head: Head, flow: Flow, request: dict) -> None:
        gevent.sleep(self.work_seconds)
        body = {"id": request["id"], "service": self.service, "pad": ""}
        body["pad"] = "x" * (ANSWER_BYTES - len(json.dumps(body)))
        text = json.dumps(body).encode()
        half = len(text) // 2
        mark = request["id"].encode() + b"|"
        flow.answers[request["id"]] = [
            mark + b"0" + text[:half],
            mark + b"1" + text[half:],
        ]
        for part in flow.answers[request["id"]]:
            self._send(head, ACK, flow.sequence, part)

    def _send(self, head: Head, flags: int, sequence: int, data: bytes = b"") -> None:
        assert self._socket is not None
        answer = Head(
            head.echo,
            flags,
            head.destination,
            head.source,
            head.source_port,
            head.destination_port,
            0,
            sequence,
            head.sequence + 1,
            data,
        )
        caller = sockets.inet_ntoa(head.source)
        self._socket.sendto(packets.write(answer), (caller, self._caller_port))


@dataclass
class World:
    """What all stand-ins share, and what is known of flows and runs."""

    store: StandinStore
    promises: Promises
    random: Random
    hosts: dict[str, Host] = field(default_factory=dict)
    allowed: dict[bytes, set[str]] = field(default_factory=dict)
    owners: dict[bytes, str] = field(default_factory=dict)
    astray: dict[bytes, int] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)

    def note_packet(self, head: Head, host: Host, *, is_known: bool) -> None:
        """Check that an open flow's packets reach its host."""
        owner = self.owners.get(head.flow)
        if owner is None or head.flags & SYN:
            return
        if owner == host.name:
            self.astray[head.flow] = 0
            return
        self.promises.counts["packets astray"] += 1
        if owner not in self.hosts:
            return
        self.astray[head.flow] = self.astray.get(head.flow, 0) + 1
        if self.astray[head.flow] >= 3:
            self.promises.break_("one host per flow", owner=owner, host=host.name)

    def note_run(self, name: str, host: Host, *, is_idempotent: bool) -> None:
        """Check that a request that can't be repeated runs once."""
        self.runs[name] = self.runs.get(name, 0) + 1
        self.promises.counts["runs"] += 1
        if not is_idempotent and self.runs[name] > 1:
            self.promises.break_("at most one run", request=name, host=host.name)


@contextmanager
def running(hosts: list[Host]) -> Iterator[None]:
    """Run hosts, and stop those that still run at the end."""
    for host in hosts:
        host.start()
    try:
        yield
    finally:
        for host in list(hosts[0]._world.hosts.values()) if hosts else []:
            host.stop()
