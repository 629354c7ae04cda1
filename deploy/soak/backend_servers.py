"""Simulated backend servers: flows, requests, drains, crashes and address reuse."""

import json
import socket as sockets
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import arrivals
import gevent
import packets
from evacuations import Evacuations
from gevent import socket
from losses import REPEAT_SECONDS, Losses
from monitor import InvariantMonitor
from packets import ACK, FIN, LABEL_BYTES, RST, SYN, Packet
from store import SimulatedStore, encode_document
from warm_up import WarmUpCheck

N_SERVERS_BY_SERVICE = {"lookup": 5, "archive": 3}
"""Number of backend servers of each service at the start of a run."""

REGISTRATION_PERIOD_SECONDS = 0.4
MAX_DRAIN_DELAY_SECONDS = 3.0
"""A backend server that has drained for longer must not receive new flows."""

RESPONSE_BYTES = 1_000
LOST_RUN_SECONDS = 8.0


@dataclass
class Flow:
    """A flow that a backend server holds."""

    sequence: int
    caller_sequence: int
    is_open: bool = False
    responses: dict[str, list[bytes]] = field(default_factory=dict)


class BackendServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    name, service, data_centre : str
        Identity, service and location.
    address : tuple of str and int
        Address at which it receives packets.
    caller_port : int
        Port at which callers receive packets.
    shared : SharedState
        State shared by all simulated components.
    warm_up : WarmUpCheck or None
        Checks the openings of a server that starts cold; None if it starts warm.
    started_at_unix_ms : int
        When it started, as in its record.
    """

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        address: tuple[str, int],
        *,
        caller_port: int,
        shared: "SharedState",
        warm_up: WarmUpCheck | None = None,
        started_at_unix_ms: int = 1,
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.draining_since: float | None = None
        self.unlisted_since: float | None = None
        self.processing_seconds = 0.02
        self._warm_up = warm_up
        self._started_at_unix_ms = started_at_unix_ms
        self._caller_port = caller_port
        self._shared = shared
        self._label = struct.pack(">Q", int(name.removeprefix("i-"), 16))
        self._flows: dict[bytes, Flow] = {}
        self._socket: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._lease = 0
        self._sequence = 0
        self._record = b""
        self._is_recorded_cold = False

    def start(self) -> None:
        """Receive packets and register in the store."""
        self._socket = socket.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
        self._socket.bind(self.address)
        arrivals.enable_timestamps(self._socket)
        self._shared.backend_servers[self.name] = self
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._keep_registered)]

    def drain(self) -> None:
        """Report the draining state and continue to serve."""
        self.draining_since = self._shared.monitor.elapsed_seconds
        self._write_record()

    def unlist(self) -> None:
        """Lose the record, as if heartbeats no longer reached the store, and serve."""
        self.unlisted_since = self._shared.monitor.elapsed_seconds
        self._shared.store.delete(f"servers/{self.name}")

    def stop(self, *, keeps_record: bool = False) -> None:
        """Stop without notifying callers.

        Parameters
        ----------
        keeps_record : bool
            Leave the record in the store, as a crash does until the lease ends.
        """
        if self._shared.backend_servers.pop(self.name, None) is None:
            return  # already stopped at the end of the run
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()
        if not keeps_record:
            self._shared.store.delete(f"servers/{self.name}")

    def _keep_registered(self) -> None:
        store = self._shared.store
        while True:
            item = store.items.get(f"servers/{self.name}")
            is_current = item is not None and item.value == self._record
            # A balancer that starts counts the time in the record from then on.
            has_warmed = self._is_recorded_cold and not self.is_cold
            is_due = self.unlisted_since is None and (has_warmed or not is_current)
            if is_due and not store.faults.is_down:
                self._write_record()
            if self._warm_up is not None:
                self._warm_up.note_time(self._shared.monitor.elapsed_seconds)
            gevent.sleep(REGISTRATION_PERIOD_SECONDS)

    @property
    def is_cold(self) -> bool:
        """Return whether the server started recently."""
        return self._warm_up_remaining_millis > 0

    @property
    def _warm_up_remaining_millis(self) -> int:
        if self._warm_up is None:
            return 0
        return self._warm_up.remaining_millis(self._shared.monitor.elapsed_seconds)

    def _write_record(self) -> None:
        self._sequence += 1
        self._is_recorded_cold = self.is_cold
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.data_centre,
            "version": "v1",
            "capacity": 2,
            "state": "ready" if self.draining_since is None else "draining",
            "warmup_remaining_ms": self._warm_up_remaining_millis,
            "sequence": self._sequence,
            "born": self._started_at_unix_ms,
        }
        self._record = encode_document(body)
        self._shared.store.put(f"servers/{self.name}", self._record)
        if self._warm_up is not None:
            self._warm_up.note_record(self._shared.monitor.elapsed_seconds)

    def _receive(self) -> None:
        assert self._socket is not None
        while True:
            data, age_seconds = arrivals.receive(self._socket, 2_048)
            if self.data_centre in self._shared.cut_off_data_centres:
                continue
            label, payload = data[:LABEL_BYTES], data[LABEL_BYTES:]
            if label not in (self._label, bytes(LABEL_BYTES)):
                self._shared.monitor.counts["dropped by label"] += 1
                continue
            packet = packets.decode(payload)
            if not packet.has_valid_checksum:
                self._shared.monitor.record_violation(
                    "packets unchanged", host=self.name
                )
                continue
            if packet.flags & SYN:
                arrived_at = self._shared.monitor.elapsed_seconds - age_seconds
                self._check_opening(arrived_at)
            self._handle_packet(packet)

    def _check_opening(self, arrived_at: float) -> None:
        """Check the bounds that apply to each opening, also a repeated one."""
        if self._shared.evacuations is not None:
            self._shared.evacuations.check_opening(
                self.name, self.data_centre, arrived_at
            )
        if self._warm_up is not None:
            self._warm_up.note_opening(arrived_at)

    def _handle_packet(self, packet: Packet) -> None:
        flow = self._flows.get(packet.flow_key)
        self._shared.check_delivery(packet, self, is_known=flow is not None)
        if packet.flags & SYN:
            if flow is None or flow.caller_sequence != packet.sequence:
                flow = self._accept_flow(packet)
            self._answer_opening(packet, flow)
        elif flow is None:
            self._send(packet, RST, packet.acknowledgement)
        elif packet.flags & RST:
            del self._flows[packet.flow_key]
        elif packet.flags & FIN:
            self._send(packet, FIN | ACK, flow.sequence)
        elif packet.data:
            self._handle_request(packet, flow)
        elif packet.acknowledgement == flow.sequence + 1:
            flow.is_open = True
            self._shared.flow_owners.setdefault(packet.flow_key, self.name)

    def _accept_flow(self, packet: Packet) -> Flow:
        shared = self._shared
        destination = packet.destination + struct.pack(">H", packet.destination_port)
        if self.service not in shared.services_by_destination.get(destination, set()):
            shared.monitor.record_violation(
                "right service", host=self.name, service=self.service
            )
        draining_since = self.draining_since or self.unlisted_since
        if draining_since is not None and shared.monitor.is_settled:
            delay_seconds = shared.monitor.elapsed_seconds - max(
                draining_since, shared.monitor.fault_window_ends_at
            )
            if delay_seconds > MAX_DRAIN_DELAY_SECONDS:
                shared.monitor.record_violation(
                    "drain", host=self.name, late_s=round(delay_seconds, 3)
                )
        flow = Flow(shared.random.randrange(1, 2**31), packet.sequence)
        self._flows[packet.flow_key] = flow
        return flow

    def _answer_opening(self, packet: Packet, flow: Flow) -> None:
        losses = self._shared.losses
        if losses is None or not losses.loses_answer(packet.flow_key, packet.sequence):
            self._send(packet, SYN | ACK, flow.sequence)
        else:
            self._shared.monitor.counts["answers lost"] += 1
        if losses is not None:
            self._tasks.append(gevent.spawn(self._repeat_answer, packet, flow))

    def _repeat_answer(self, packet: Packet, flow: Flow) -> None:
        """Repeat the answer to an opening until the flow is open here."""
        for seconds in REPEAT_SECONDS:
            gevent.sleep(seconds)
            if flow.is_open or self._flows.get(packet.flow_key) is not flow:
                return
            self._shared.monitor.counts["answers repeated"] += 1
            self._send(packet, SYN | ACK, flow.sequence)

    def _handle_request(self, packet: Packet, flow: Flow) -> None:
        if not flow.is_open:
            if packet.acknowledgement != flow.sequence + 1:
                self._send(packet, RST, packet.acknowledgement)
                return
            flow.is_open = True
            self._shared.flow_owners.setdefault(packet.flow_key, self.name)
        request = json.loads(packet.data)
        request_id = request["id"]
        if request_id in flow.responses:
            for part in flow.responses[request_id]:
                self._send(packet, ACK, flow.sequence, part)
            return
        flow.responses[request_id] = []
        self._shared.check_execution(
            request_id, self, is_idempotent=request["idempotent"]
        )
        self._tasks.append(gevent.spawn(self._execute_request, packet, flow, request))

    def _execute_request(self, packet: Packet, flow: Flow, request: dict) -> None:
        gevent.sleep(self.processing_seconds)
        body = {"id": request["id"], "service": self.service, "pad": ""}
        body["pad"] = "x" * (RESPONSE_BYTES - len(json.dumps(body)))
        encoded = json.dumps(body).encode()
        n_first_bytes = len(encoded) // 2
        prefix = request["id"].encode() + b"|"
        flow.responses[request["id"]] = [
            prefix + b"0" + encoded[:n_first_bytes],
            prefix + b"1" + encoded[n_first_bytes:],
        ]
        for part in flow.responses[request["id"]]:
            self._send(packet, ACK, flow.sequence, part)

    def _send(
        self, packet: Packet, flags: int, sequence: int, data: bytes = b""
    ) -> None:
        assert self._socket is not None
        response = Packet(
            packet.echo,
            flags,
            packet.destination,
            packet.source,
            packet.source_port,
            packet.destination_port,
            0,
            sequence,
            packet.sequence + 1,
            data,
        )
        caller = sockets.inet_ntoa(packet.source)
        self._socket.sendto(packets.encode(response), (caller, self._caller_port))


@dataclass
class SharedState:
    """State that all simulated components share, including flow and request history."""

    store: SimulatedStore
    monitor: InvariantMonitor
    random: Random
    backend_servers: dict[str, BackendServer] = field(default_factory=dict)
    services_by_destination: dict[bytes, set[str]] = field(default_factory=dict)
    flow_owners: dict[bytes, str] = field(default_factory=dict)
    n_misdelivered: dict[bytes, int] = field(default_factory=dict)
    n_executions: dict[str, int] = field(default_factory=dict)
    evacuations: Evacuations | None = None
    losses: Losses | None = None
    cut_off_data_centres: set[str] = field(default_factory=set)

    def forget_flows(self, name: str) -> None:
        """Forget the flows of a backend server that stopped and may start again."""
        for key, owner in list(self.flow_owners.items()):
            if owner == name:
                del self.flow_owners[key]

    def check_delivery(
        self, packet: Packet, server: BackendServer, *, is_known: bool
    ) -> None:
        """Check that packets of an open flow reach the backend server that owns it."""
        owner = self.flow_owners.get(packet.flow_key)
        if owner is None or packet.flags & SYN:
            return
        if owner == server.name:
            self.n_misdelivered[packet.flow_key] = 0
            return
        self.monitor.counts["packets astray"] += 1
        if owner not in self.backend_servers:
            return
        self.n_misdelivered[packet.flow_key] = (
            self.n_misdelivered.get(packet.flow_key, 0) + 1
        )
        if self.n_misdelivered[packet.flow_key] >= 3:
            self.monitor.record_violation(
                "one host per flow", owner=owner, host=server.name
            )

    def check_execution(
        self, request_id: str, server: BackendServer, *, is_idempotent: bool
    ) -> None:
        """Check that a non-idempotent request is executed at most once."""
        self.n_executions[request_id] = self.n_executions.get(request_id, 0) + 1
        self.monitor.counts["runs"] += 1
        if not is_idempotent and self.n_executions[request_id] > 1:
            self.monitor.record_violation(
                "at most one run", request=request_id, host=server.name
            )


@contextmanager
def running(servers: list[BackendServer]) -> Iterator[None]:
    """Run backend servers, and stop those still running on exit."""
    for server in servers:
        server.start()
    try:
        yield
    finally:
        for server in (
            list(servers[0]._shared.backend_servers.values()) if servers else []
        ):
            server.stop()
