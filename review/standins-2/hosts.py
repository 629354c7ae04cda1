"""Stand-ins of hosts (backend servers): flows, requests and records in the store."""

import asyncio
import json
import socket
import time
from collections import Counter
from typing import TYPE_CHECKING

import packets
from packets import ACK, FIN, RST, SYN, Packet

if TYPE_CHECKING:
    from world import World

REPEAT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
"""Pauses before the eight retransmissions of a packet that is not acknowledged."""

HEARTBEAT_SECONDS = 1.2


class HostFlow:
    """One flow that a host holds, half-open at first."""

    def __init__(self, opening: Packet, sequence: int) -> None:
        self.opening = opening
        self.sequence = sequence
        self.first_sequence = sequence + 1
        self.next_sequence = sequence + 1
        self.is_open = False
        self.is_ended = False
        self.answers: dict[bytes, Packet | None] = {}
        self.acknowledged = sequence


class Host:
    """One start of a host."""

    def __init__(
        self,
        world: "World",
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        *,
        warm_up_seconds: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.state = "ready"
        self.is_listed = True
        self.arrivals: list[tuple[float, tuple]] = []
        self.counts: Counter[str] = Counter()
        self.flows: dict[tuple[bytes, int, bytes, int], HostFlow] = {}
        self.resets: dict[tuple[bytes, int, bytes, int], float] = {}
        self.work_seconds = 0.02
        self.born = int(time.time() * 1_000)
        self.cold_until = time.monotonic() + warm_up_seconds
        self._sequence = 0
        self._world = world
        self._label = packets.label_of(name)
        self._beat: asyncio.TimerHandle | None = None
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._receive)

    @property
    def key(self) -> str:
        """Return the key of the host's record."""
        return f"servers/{self.name}"

    def register(self) -> None:
        """Write the record now, and again each heartbeat interval."""
        self.write_record()
        self._beat = self._loop.call_later(HEARTBEAT_SECONDS, self.register)

    def record(self) -> bytes:
        """Return the record with the next sequence."""
        self._sequence += 1
        remaining = max(0, round(1_000 * (self.cold_until - time.monotonic())))
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "capacity": 2,
                "state": self.state,
                "warmup_remaining_ms": remaining,
                "sequence": self._sequence,
                "born": self.born,
            }
        ).encode()

    def write_record(self) -> None:
        """Write the record, unless the host does not reach the store.

        The entry changes when more than `sequence` changes.
        """
        record = self.record()
        held = self._world.store.value(self.key)
        if self.is_listed and (held is None or _content(held) != _content(record)):
            self._world.store.put(self.key, record)

    def stop_writing(self) -> None:
        """Write no more records."""
        if self._beat is not None:
            self._beat.cancel()

    def stop(self) -> None:
        """End the host without a word."""
        self.stop_writing()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _receive(self) -> None:
        while True:
            try:
                data = self._socket.recv(2_048)
            except BlockingIOError:
                return
            label, packet = data[:8], packets.decode(data[8:])
            if label not in (self._label, bytes(8)):
                self.counts["for another host"] += 1
            elif not packet.is_signed:
                self.counts["altered"] += 1
            else:
                self._take(packet)

    def _take(self, packet: Packet) -> None:
        flow = self.flows.get(packet.flow)
        if packet.flags & SYN:
            self._take_opening(packet, flow)
        elif packet.flags & RST:
            self.flows.pop(packet.flow, None)
        elif flow is None or not self._is_held(flow, packet):
            self.resets[packet.flow] = self._world.now
            self._send(packet, RST, packet.acknowledgement, 0)
        else:
            self._take_packet(packet, flow)

    def _take_opening(self, packet: Packet, flow: HostFlow | None) -> None:
        self.arrivals.append((self._world.now, packet.flow))
        if flow is None or flow.opening.sequence != packet.sequence:
            flow = HostFlow(packet, self._world.random.randrange(1, 2**31))
            self.flows[packet.flow] = flow
            self._world.note_opening(self, packet)
            self._answer_opening(flow)
            self._repeat_answer(flow, 0)
        elif not flow.is_open:
            self._answer_opening(flow)

    def _answer_opening(self, flow: HostFlow) -> None:
        self._send(flow.opening, SYN | ACK, flow.sequence, flow.opening.sequence + 1)

    def _repeat_answer(self, flow: HostFlow, n_repeats: int) -> None:
        def repeat() -> None:
            if flow.is_open or self.flows.get(flow.opening.flow) is not flow:
                return
            self._answer_opening(flow)
            self._repeat_answer(flow, n_repeats + 1)

        if n_repeats < len(REPEAT_SECONDS):
            self._loop.call_later(REPEAT_SECONDS[n_repeats], repeat)

    def _is_held(self, flow: HostFlow, packet: Packet) -> bool:
        """Return whether a packet acknowledges what this host sent on the flow."""
        return 0 <= packet.acknowledgement - flow.first_sequence <= 2**20

    def _take_packet(self, packet: Packet, flow: HostFlow) -> None:
        if not flow.is_open:
            flow.is_open = True
            self._world.note_open(self, packet.flow)
        # A later answer takes the echo of the last packet received.
        flow.opening = flow.opening._replace(echo=packet.echo)
        flow.acknowledged = max(flow.acknowledged, packet.acknowledgement)
        if packet.flags & FIN:
            flow.is_ended = True
            self._send(packet, FIN | ACK, flow.next_sequence, packet.sequence + 1)
        elif packet.data and flow.is_ended:
            self.resets[packet.flow] = self._world.now
            self._send(packet, RST, packet.acknowledgement, 0)
        elif packet.data:
            self._take_request(packet, flow)

    def _take_request(self, packet: Packet, flow: HostFlow) -> None:
        request = packet.data.split(b" ", 1)[0]
        if request in flow.answers:
            answer = flow.answers[request]
            if answer is not None:
                self._send_answer(flow, answer)
            return
        flow.answers[request] = None
        self._world.note_run(self, packet.flow, request)

        def finish() -> None:
            data = request + b" done by " + self.name.encode() + b" " + b"." * 500
            answer = Packet(
                ACK,
                packet.target,
                packet.source,
                flow.next_sequence,
                packet.sequence + len(packet.data),
                data=data,
            )
            flow.next_sequence += len(data)
            flow.answers[request] = answer
            self._send_answer(flow, answer)
            self._repeat_request_answer(flow, answer, 0)

        self._loop.call_later(self.work_seconds, finish)

    def _repeat_request_answer(
        self, flow: HostFlow, answer: Packet, n_repeats: int
    ) -> None:
        def repeat() -> None:
            is_done = flow.acknowledged >= answer.sequence + len(answer.data)
            if is_done or flow.is_ended or self.flows.get(answer.reverse_flow) is None:
                return
            self._send_answer(flow, answer)
            self._repeat_request_answer(flow, answer, n_repeats + 1)

        if n_repeats < len(REPEAT_SECONDS):
            self._loop.call_later(REPEAT_SECONDS[n_repeats], repeat)

    def _send_answer(self, flow: HostFlow, answer: Packet) -> None:
        self._world.to_caller(self, answer._replace(echo=flow.opening.echo))

    def _send(self, packet: Packet, flags: int, sequence: int, ack: int) -> None:
        answer = Packet(flags, packet.target, packet.source, sequence, ack, packet.echo)
        self._world.to_caller(self, answer)

    def send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from the host's own socket."""
        if self._socket.fileno() >= 0:
            self._socket.sendto(data, address)


def _content(record: bytes) -> dict[str, object]:
    """Return what a record says, without its sequence."""
    return {**json.loads(record), "sequence": None}
