"""A host: accepts flows, runs requests, and keeps its entry in the store.

It follows the pages: it answers each SYN with its own sequence number, repeats packets
that are not acknowledged after 0.2 s, at most 8 times, resets flows that it does not
hold, puts the last echo that it received on a flow into its own packets, and drops
datagrams that are for another host.
"""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.packets import (
    ACK,
    FIN,
    LABEL_BYTES,
    RST,
    SYN,
    Packet,
    decode,
    encode,
    flow_name,
)
from standins.record import Record
from standins.store import Store

SLOTS = 2
QUEUE = 8
BEAT_SECONDS = 1.2
MISSED_BEATS = 3
MAX_REPEATS = 8
FIRST_REPEAT_SECONDS = 0.2
MAX_REPEAT_SECONDS = 1.6

Flow = tuple[bytes, int, bytes, int]


@dataclass
class HostFlow:
    """One flow at a host; `answers` holds the responses by sequence number."""

    seq: int
    peer_seq: int
    echo: int
    is_open: bool = False
    is_ended: bool = False
    next_seq: int = 0
    acked: int = 0
    answers: dict[int, bytes] = field(default_factory=dict)
    running: set[int] = field(default_factory=set)
    last: Packet | None = None


class Host(asyncio.DatagramProtocol):
    """One incarnation of a host.

    Attributes
    ----------
    reaches_store : bool
        Whether its beats reach the store; its entry is removed after three missed ones.
    lose_syn_ack : callable
        Returns whether the network loses the first SYN+ACK of a flow.
    work_seconds : callable
        Returns how long a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        store: Store,
        record: Record,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.state = "ready"
        self.reaches_store = True
        self.lose_syn_ack: Callable[[Flow], bool] = lambda _: False
        self.work_seconds: Callable[[], float] = lambda: 0.02
        self.openings: list[tuple[float, Flow, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.removed_at: float | None = None
        self.born = int(time.time() * 1_000)
        self._label = int(name.removeprefix("i-"), 16).to_bytes(LABEL_BYTES, "big")
        self._flows: dict[Flow, HostFlow] = {}
        self._lost: set[Flow] = set()
        self._store = store
        self._record = record
        self._slots = asyncio.Semaphore(SLOTS)
        self._n_waiting = 0
        self._sequence = 0
        self._beat_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Receive packets and write the entry."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.write_entry()
        self._spawn(self._beat())

    def stop(self) -> None:
        """End, as in a crash: flows and knowledge are gone."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        self._flows.clear()

    def close_idle_flows(self) -> None:
        """Send a FIN on each open flow without a request."""
        for flow in self._flows.values():
            if flow.is_open and not flow.is_ended and not flow.running and flow.last:
                acknowledged = flow.last.seq + len(flow.last.data)
                self._send(flow.last, FIN | ACK, flow.next_seq, acknowledged, flow.echo)

    def write_entry(self) -> int:
        """Write the entry in the store."""
        self._sequence += 1
        self._beat_at = self._record.elapsed
        return self._store.put_json(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": "{}:{}".format(*self.address),
                "zone": self.zone,
                "version": "v1",
                "capacity": SLOTS,
                "state": self.state,
                "warmup_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def _spawn(self, coroutine) -> None:  # noqa: ANN001
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        key = f"servers/{self.name}"
        while True:
            await asyncio.sleep(0.1)
            now = self._record.elapsed
            is_due = now - self._beat_at >= BEAT_SECONDS
            if is_due and self.reaches_store and not self._store.is_down:
                self._beat_at = now
                if key not in self._store.items:
                    self.write_entry()
            elif now - self._beat_at > MISSED_BEATS * BEAT_SECONDS:
                revision = self._store.remove(key)
                if revision is not None:
                    self.removed_at = now
                    self._record(
                        f"store removes the entry of {self.name} after three missed "
                        f"beats, revision {revision}"
                    )

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle one datagram of a balancer."""
        label, body = data[:LABEL_BYTES], data[LABEL_BYTES:]
        if label not in (self._label, bytes(LABEL_BYTES)):
            return
        packet = decode(body)
        if not packet.is_intact:
            self._record(f"{self.name} gets a packet that its sender didn't write")
            return
        flow = self._flows.get(packet.flow)
        if flow is not None:
            flow.echo, flow.last = packet.echo, packet
        if packet.flags & SYN:
            self._handle_syn(packet, flow, sender[0])
        elif flow is None:
            if not packet.flags & RST:
                self._reset(packet, "it does not hold the flow")
        elif packet.flags & RST:
            del self._flows[packet.flow]
        else:
            self._handle_segment(packet, flow)

    def _handle_syn(self, packet: Packet, flow: HostFlow | None, via: str) -> None:
        self.openings.append((self._record.elapsed, packet.flow, via))
        if flow is None or (flow.is_ended and flow.peer_seq != packet.seq + 1):
            seq = random.randrange(1, 2**31)
            flow = HostFlow(seq, packet.seq + 1, packet.echo, next_seq=seq + 1)
            flow.acked = seq + 1
            self._flows[packet.flow] = flow
            self._spawn(self._repeat_syn_ack(packet, flow))
        elif not flow.is_open:
            self._send_syn_ack(packet, flow)

    def _send_syn_ack(self, packet: Packet, flow: HostFlow) -> None:
        if packet.flow not in self._lost and self.lose_syn_ack(packet.flow):
            self._lost.add(packet.flow)
            name = flow_name(packet.flow)
            self._record(f"the network loses a SYN+ACK of {self.name} on {name}")
            return
        self._send(packet, SYN | ACK, flow.seq, flow.peer_seq, flow.echo)

    async def _repeat_syn_ack(self, packet: Packet, flow: HostFlow) -> None:
        self._send_syn_ack(packet, flow)
        pause = FIRST_REPEAT_SECONDS
        for _ in range(MAX_REPEATS):
            await asyncio.sleep(pause)
            if flow.is_open or self._flows.get(packet.flow) is not flow:
                return
            self._send_syn_ack(packet, flow)
            pause = min(MAX_REPEAT_SECONDS, 2 * pause)
        self._flows.pop(packet.flow, None)

    def _handle_segment(self, packet: Packet, flow: HostFlow) -> None:
        if not flow.is_open:
            if packet.ack != flow.seq + 1:
                self._reset(packet, "it acknowledges another host's SYN+ACK")
                return
            flow.is_open = True
        flow.acked = max(flow.acked, packet.ack)
        if packet.data and packet.seq in flow.answers:
            self._spawn(self._answer(packet, flow, packet.seq))
        elif packet.data and packet.seq not in flow.running:
            flow.running.add(packet.seq)
            self._spawn(self._run(packet, flow))
        elif packet.flags & FIN and not flow.is_ended:
            flow.is_ended = True
            self._send(packet, FIN | ACK, flow.next_seq, packet.seq + 1, flow.echo)

    async def _run(self, packet: Packet, flow: HostFlow) -> None:
        head = packet.data.split(b"\r\n")
        request_id = next(
            line.split(b": ")[1] for line in head if line.startswith(b"Request-Id: ")
        ).decode()
        if self._n_waiting >= QUEUE:
            head = "HTTP/1.1 503 Full\r\nNot-Executed: 1"
            body = f"{request_id} not run"
        else:
            self._n_waiting += 1
            async with self._slots:
                self._n_waiting -= 1
                self.runs.append((self._record.elapsed, request_id))
                self._record(f"{self.name} ({self.service}) runs {request_id}")
                await asyncio.sleep(self.work_seconds())
            head = f"HTTP/1.1 200 OK\r\nServer-Signature: {self.name}"
            body = f"{request_id} {self.name} {self.service}"
        flow.answers[packet.seq] = (
            f"{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        await self._answer(packet, flow, packet.seq)

    async def _answer(self, packet: Packet, flow: HostFlow, number: int) -> None:
        """Send a response until it is acknowledged."""
        data, seq = flow.answers[number], flow.next_seq
        if number in flow.running:
            flow.running.discard(number)
            flow.next_seq += len(data)
        else:
            seq -= len(data)
        pause = FIRST_REPEAT_SECONDS
        for _ in range(MAX_REPEATS + 1):
            acknowledged = packet.seq + len(packet.data)
            self._send(packet, ACK, seq, acknowledged, flow.echo, data)
            await asyncio.sleep(pause)
            if flow.acked >= seq + len(data):
                return
            pause = min(MAX_REPEAT_SECONDS, 2 * pause)

    def _reset(self, packet: Packet, why: str) -> None:
        self._record(f"{self.name} resets {flow_name(packet.flow)}: {why}")
        self._send(packet, RST, packet.ack, 0, packet.echo)

    def _send(
        self,
        packet: Packet,
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b"",
    ) -> None:
        """Send a packet to the client whose packet is given."""
        answer = Packet(
            flags,
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            seq,
            ack,
            echo,
            data,
        )
        assert self._transport is not None
        client = (socket.inet_ntoa(packet.src), self.client_port)
        if not self._transport.is_closing():
            self._transport.sendto(encode(answer), client)

    client_port = 0
    """Port of the clients' addresses, the same on all machines."""
