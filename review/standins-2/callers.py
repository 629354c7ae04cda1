"""Stand-ins of the platform's routers and of callers."""

import asyncio
import contextlib
import socket
import zlib
from collections import Counter
from typing import TYPE_CHECKING

import packets
from packets import ACK, FIN, RST, SYN, Packet

if TYPE_CHECKING:
    from fleet import Balancer
    from world import World

PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.45
OPENING_SECONDS = (0.2, 0.4, 0.8)
REQUEST_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6)


class Routers:
    """Forwards callers' packets to balancers that are in rotation."""

    def __init__(self, balancers: "list[Balancer]") -> None:
        self._balancers = balancers
        self._n_misses = {balancer.name: 2 for balancer in balancers}

    async def probe_forever(self, balancer: "Balancer") -> None:
        """Probe a balancer's readiness twice a second."""
        loop = asyncio.get_running_loop()
        while True:
            next_at = loop.time() + PROBE_SECONDS
            is_ready = await self._probe(balancer)
            n_misses = 0 if is_ready else self._n_misses[balancer.name] + 1
            self._n_misses[balancer.name] = n_misses
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    @staticmethod
    async def _probe(balancer: "Balancer") -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*balancer.readiness)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def is_in_rotation(self, balancer: "Balancer") -> bool:
        """Return whether a balancer missed fewer than two probes."""
        return self._n_misses[balancer.name] < 2

    def balancer_for(self, zone: str, flow: tuple) -> "Balancer | None":
        """Return the balancer of a flow's packets now."""
        own = [b for b in self._balancers if b.zone == zone]
        ready = [b for b in own if self.is_in_rotation(b)]
        if not ready:
            rows = [b for b in self._balancers if self.is_in_rotation(b)]
        else:
            rows = own if 2 * len(ready) < len(own) else ready
        text = repr(flow)
        return max(
            rows, key=lambda b: zlib.crc32((b.name + text).encode()), default=None
        )


class Callers:
    """All callers of a zone, behind one address.

    Parameters
    ----------
    world : World
        Everything around.
    zone : str
        Zone of the callers.
    host : str
        Their address.
    """

    def __init__(self, world: "World", zone: str, host: str) -> None:
        self.zone = zone
        self._world = world
        self._host = socket.inet_aton(host)
        self._port = 1_024
        self._flows: dict[tuple[bytes, int, bytes, int], CallerFlow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.setblocking(False)
        self._socket.bind((host, world.ports.datagrams))
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def close(self) -> None:
        """Stop receiving."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def new_flow(self, target: tuple[bytes, int]) -> "CallerFlow":
        """Return a flow from a new port, not yet opened."""
        self._port += 1
        flow = CallerFlow(self._world, self, (self._host, self._port), target)
        self._flows[flow.key] = flow
        return flow

    def send(self, packet: Packet) -> None:
        """Send a packet by way of the balancer that the routers select on its way."""

        def forward() -> None:
            balancer = self._world.routers.balancer_for(self.zone, packet.flow)
            if balancer is not None and self._socket.fileno() >= 0:
                with contextlib.suppress(OSError):
                    self._socket.sendto(packets.encode(packet), balancer.datagrams)
                flow = self._flows.get(packet.flow)
                if flow is not None and balancer.name not in flow.balancers[-1:]:
                    flow.balancers.append(balancer.name)

        seconds = self._world.link_seconds
        asyncio.get_running_loop().call_later(seconds, forward)

    def _receive(self) -> None:
        while True:
            try:
                data = self._socket.recv(2_048)
            except BlockingIOError:
                return
            packet = packets.decode(data)
            flow = self._flows.get(packet.reverse_flow)
            if flow is not None:
                flow.take(packet)


class CallerFlow:
    """A caller's end of one flow."""

    def __init__(
        self,
        world: "World",
        callers: Callers,
        source: tuple[bytes, int],
        target: tuple[bytes, int],
    ) -> None:
        self.key = (*source, *target)
        self.zone = callers.zone
        self.opened_at: float | None = None
        self.sent_at = 0.0
        self.result = ""
        self.reset_at: float | None = None
        self.is_reset_signed = False
        self.counts: Counter[str] = Counter()
        self.balancers: list[str] = []
        self._world, self._callers = world, callers
        self._source, self._target = source, target
        self._sequence = world.random.randrange(1, 2**31)
        self._acknowledgement = 0
        self._host_sequence: int | None = None
        self._echo = 0
        self._answers: set[bytes] = set()
        self._changed = asyncio.Event()

    async def run(self, pauses: list[float]) -> None:
        """Open the flow, send a request before each pause, and end the flow."""
        self.sent_at = self._world.now
        if not await self._open():
            return
        for number, pause in enumerate(pauses):
            name = f"{self._world.next_request()}-{number}".encode()
            if not await self._request(name):
                return
            self.counts["answered"] += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    while self.reset_at is None:
                        await self._wait()
            if self.reset_at is not None:
                self.result = "reset while idle"
                return
        self.result = "done"
        self._send(ACK | FIN)

    async def _open(self) -> bool:
        for n_sent, seconds in enumerate(OPENING_SECONDS):
            opening = Packet(SYN, self._source, self._target, self._sequence, n_sent)
            self._callers.send(opening)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    while self._host_sequence is None and self.reset_at is None:
                        await self._wait()
            if self.reset_at is not None:
                self.result = "refused"
                return False
            if self._host_sequence is not None:
                self.opened_at = self._world.now
                return True
        self.result = "never opened"
        return False

    async def _request(self, name: bytes) -> bool:
        data = name + b" " + b"q" * 60
        self.counts["sent"] += 1
        sequence = self._sequence
        self._sequence += len(data)
        for seconds in REQUEST_SECONDS:
            self._send(ACK, data, sequence)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    while name not in self._answers and self.reset_at is None:
                        await self._wait()
            if name in self._answers:
                return True
            if self.reset_at is not None:
                self.result = "reset"
                return False
        self.result = "no answer"
        return False

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def take(self, packet: Packet) -> None:
        """Take a packet of this flow."""
        if packet.flags & RST:
            if not self.result and self.reset_at is None:
                self.reset_at = self._world.now
                self.is_reset_signed = packet.is_signed
                self._changed.set()
            return
        if not packet.is_signed:
            self.counts["altered"] += 1
            return
        self._echo = packet.echo
        if packet.flags & SYN:
            if self._host_sequence is None:
                self._host_sequence = packet.sequence
                self._sequence += 1
                self._acknowledgement = packet.sequence + 1
                self._send(ACK)
            elif packet.sequence != self._host_sequence:
                self.counts["answers of another host"] += 1
        elif packet.data:
            end = packet.sequence + len(packet.data)
            self._acknowledgement = max(self._acknowledgement, end)
            self._answers.add(packet.data.split(b" ", 1)[0])
            self._send(ACK)
        self._changed.set()

    def _send(self, flags: int, data: bytes = b"", sequence: int | None = None) -> None:
        sequence = self._sequence if sequence is None else sequence
        self._callers.send(
            Packet(
                flags,
                self._source,
                self._target,
                sequence,
                self._acknowledgement,
                self._echo,
                data,
            )
        )
