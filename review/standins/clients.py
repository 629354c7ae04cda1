"""Routers and clients: flows with one request or with many.

A client sends its SYN three times, gives up after 1.4 s, takes the first SYN+ACK, puts
the last echo that it received on a flow into its own packets, and repeats a request
that is not answered.
"""

import asyncio
import random
import socket
import time
import zlib

from standins.fleet import Balancer
from standins.packets import ACK, FIN, RST, SYN, Packet, decode, encode, flow_name
from standins.record import Record

PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.45
MISSES = 2
SYN_PAUSES = (0.2, 0.4, 0.8)
FIRST_REPEAT_SECONDS = 0.2
MAX_REPEAT_SECONDS = 1.6

Flow = tuple[bytes, int, bytes, int]


class Routers:
    """Choose a balancer for each packet by a steady hash over those in rotation."""

    def __init__(self, balancers: list[Balancer], record: Record) -> None:
        self._balancers = balancers
        self._misses = {balancer.name: MISSES for balancer in balancers}
        self._record = record
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Probe all balancers twice a second."""
        self._tasks = [asyncio.create_task(self._probe(b)) for b in self._balancers]

    def stop(self) -> None:
        """Stop probing."""
        for task in self._tasks:
            task.cancel()

    def is_in_rotation(self, balancer: Balancer) -> bool:
        """Return whether a balancer passed one of its last two checks."""
        return self._misses[balancer.name] < MISSES

    def choose(self, flow: Flow) -> Balancer:
        """Return the balancer that gets a flow's packets now."""
        rows = [b for b in self._balancers if self.is_in_rotation(b)]
        if 2 * len(rows) < len(self._balancers):
            rows = self._balancers
        key = repr(flow).encode()
        return max(rows, key=lambda b: zlib.crc32(key + b.name.encode()))

    async def _probe(self, balancer: Balancer) -> None:
        while True:
            asked_at = time.monotonic()
            is_ready = await _is_ready(balancer.readiness)
            before = self.is_in_rotation(balancer)
            self._misses[balancer.name] = (
                0 if is_ready else self._misses[balancer.name] + 1
            )
            if before != self.is_in_rotation(balancer):
                where = "out of" if before else "into"
                self._record(f"routers take {balancer.name} {where} rotation")
            left = PROBE_SECONDS - (time.monotonic() - asked_at)
            await asyncio.sleep(max(0.0, left))


async def _is_ready(address: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


class Client(asyncio.DatagramProtocol):
    """One client address with its flows."""

    def __init__(self, host: str, port: int, routers: Routers, record: Record) -> None:
        self.record = record
        self.routers = routers
        self._address = (host, port)
        self._host = socket.inet_aton(host)
        self._flows: dict[Flow, ClientFlow] = {}
        self._next_port = 20_000
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Receive packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def flow(self, route: tuple[str, int], port: int | None = None) -> "ClientFlow":
        """Return a flow, not yet open, from a new port unless one is given."""
        if port is None:
            self._next_port += 1
            port = self._next_port
        key = (self._host, port, socket.inet_aton(route[0]), route[1])
        self._flows[key] = ClientFlow(self, key)
        return self._flows[key]

    def send(self, packet: Packet) -> str:
        """Send a packet by way of the routers; return the balancer's name."""
        balancer = self.routers.choose(packet.flow)
        assert self._transport is not None
        self._transport.sendto(encode(packet), balancer.datagrams)
        return balancer.name

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handle one packet for this address."""
        packet = decode(data)
        flow = self._flows.get(packet.reverse_flow)
        if flow is not None:
            flow.receive(packet)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: a balancer is down."""


class ClientFlow:
    """The client's end of one flow.

    Attributes
    ----------
    state : str
        "new", "open", "closed", "reset" (by a host), "refused" (by the system) or
        "unanswered".
    """

    def __init__(self, client: Client, key: Flow) -> None:
        self.state = "new"
        self.name = flow_name(key)
        self.key = key
        self.via = ""
        self.opened_via = ""
        self.opened_at: float | None = None
        self.reset_at = 0.0
        self._client = client
        self._seq = random.randrange(1, 2**31)
        self._ack = 0
        self._echo = 0
        self._answer: bytes | None = None
        self._event = asyncio.Event()

    async def open(self) -> bool:
        """Open the flow; return whether it is open."""
        for n_copies, pause in enumerate(SYN_PAUSES):
            self.via = self._send(SYN, ack=n_copies)
            self.opened_via = self.opened_via or self.via
            await self._wait(pause)
            if self.state != "new":
                return self.state == "open"
        self.state = "unanswered"
        return False

    async def request(self, request_id: str, *, deadline: float) -> str | None:
        """Send one request; return the body of its response, or None."""
        self._answer = None
        head = f"POST /work HTTP/1.1\r\nHost: a\r\nRequest-Id: {request_id}\r\n\r\n"
        data = head.encode()
        until, pause = time.monotonic() + deadline, FIRST_REPEAT_SECONDS
        self._client.record(f"client sends {request_id} on {self.name}")
        while time.monotonic() < until and self.state == "open":
            self.via = self._send(ACK, data=data)
            await self._wait(min(pause, max(0.0, until - time.monotonic())))
            if self._answer is not None:
                self._seq += len(data)
                self._send(ACK)
                body = self._answer.partition(b"\r\n\r\n")[2].decode()
                self._client.record(f"client gets the answer to {request_id}: {body}")
                return body
            pause = min(MAX_REPEAT_SECONDS, 2 * pause)
        self._client.record(
            f"client gets no answer to {request_id}; its flow is {self.state}"
        )
        return None

    def close(self) -> None:
        """Send a FIN."""
        if self.state == "open":
            self.state = "closed"
            self._send(FIN | ACK)

    def receive(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.is_intact:
            self._echo = packet.echo
        if packet.flags & RST:
            self._receive_reset(packet)
        elif packet.flags & SYN:
            if self.state == "new":
                self.state = "open"
                self.opened_at = self._client.record.elapsed
                self._ack = packet.seq + 1
                self._seq += 1
                self._send(ACK)
                self._event.set()
        elif packet.flags & FIN:
            self.close()
        elif packet.data and self.state == "open" and packet.seq == self._ack:
            self._ack += len(packet.data)
            self._answer = packet.data
            self._event.set()

    def _receive_reset(self, packet: Packet) -> None:
        if self.state not in ("new", "open"):
            return
        if not packet.is_intact and self.state == "open":
            return  # a reset of the system promises nothing on an open flow
        was, self.state = self.state, "reset" if packet.is_intact else "refused"
        self.reset_at = self._client.record.elapsed
        by = "a host" if packet.is_intact else "the system"
        self._client.record(
            f"client gets a reset of {by} on the {was} flow {self.name}"
        )
        self._event.set()

    async def _wait(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._event.wait(), seconds)
        except TimeoutError:
            return
        finally:
            self._event.clear()

    def _send(self, flags: int, *, ack: int | None = None, data: bytes = b"") -> str:
        src, sport, dst, dport = self.key
        echo = 0 if flags & SYN else self._echo
        ack = self._ack if ack is None else ack
        packet = Packet(flags, src, sport, dst, dport, self._seq, ack, echo, data)
        return self._client.send(packet)
