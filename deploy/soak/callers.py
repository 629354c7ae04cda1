"""Stand-in routers and callers: flows with one request and with many."""

import json
import socket as sockets
import struct
import zlib
from collections.abc import Callable

import gevent
import packets
from fleet import Balancer, Fleet
from gevent import socket
from gevent.queue import Empty, Queue
from hosts import World
from packets import ACK, FIN, RST, SYN, Head

COPY_SECONDS = (0.2, 0.4, 0.8)
RESEND_SECONDS = (0.2, 0.4, 0.8, 1.6)
PROBE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.45
MISSES = 2


class Routers:
    """Spread packets over the balancers that answer readiness checks."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._misses: dict[str, int] = {}

    def run(self) -> None:
        """Check readiness for ever."""
        while True:
            for balancer in self._fleet.balancers:
                gevent.spawn(self._check, balancer)
            gevent.sleep(PROBE_SECONDS)

    @property
    def ready(self) -> list[Balancer]:
        """Return the balancers in rotation, or all if fewer than half are."""
        all_ = self._fleet.balancers
        ready = [b for b in all_ if self._misses.get(b.name, MISSES) < MISSES]
        return ready if 2 * len(ready) >= len(all_) else list(all_)

    def balancer_for(self, flow: bytes) -> Balancer:
        """Return the balancer that gets a flow's packets now."""
        return max(self.ready, key=lambda b: zlib.crc32(flow + b.name.encode()))

    def _check(self, balancer: Balancer) -> None:
        is_ready = False
        try:
            if balancer.is_cut_off:
                raise TimeoutError
            with gevent.Timeout(PROBE_TIMEOUT_SECONDS, TimeoutError()):
                connection = socket.create_connection(balancer.readiness)
                try:
                    connection.sendall(
                        b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
                    )
                    is_ready = b" 200 " in connection.recv(1_024)
                finally:
                    connection.close()
        except (OSError, TimeoutError):
            is_ready = False
        misses = 0 if is_ready else self._misses.get(balancer.name, MISSES) + 1
        self._misses[balancer.name] = misses


class Caller:
    """One caller's address, with its flows.

    Parameters
    ----------
    host : str
        Its IP number.
    port : int
        Where it takes packets.
    world : World
        What all stand-ins share.
    routers : Routers
        Where packets go.
    """

    def __init__(self, host: str, port: int, world: World, routers: Routers) -> None:
        self._source = sockets.inet_aton(host)
        self._world = world
        self._routers = routers
        self._next_port = 20_000
        self._queues: dict[bytes, Queue] = {}
        self._socket = socket.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._receiver = gevent.spawn(self._receive)

    def close(self) -> None:
        """Take no more packets."""
        self._receiver.kill()
        self._socket.close()

    def open_flow(self, destination: bytes) -> "CallerFlow":
        """Return a new flow from a new port; not yet opened."""
        self._next_port += 1
        port = struct.pack(">H", self._next_port)
        key = self._source + destination + port
        self._queues[key] = Queue()
        return CallerFlow(key, self._queues[key], self._send, self._world)

    def _send(self, key: bytes, packet: bytes) -> None:
        balancer = self._routers.balancer_for(key)
        if balancer.is_cut_off:
            return
        try:
            self._socket.sendto(packet, balancer.datagrams)
        except OSError:
            self._world.promises.counts["packets to a dead balancer"] += 1

    def _receive(self) -> None:
        while True:
            try:
                head = packets.read(self._socket.recv(2_048))
            except OSError:
                continue
            queue = self._queues.get(head.answer_flow)
            if queue is not None:
                queue.put(head)


class CallerFlow:
    """One flow from the caller's side."""

    def __init__(
        self,
        key: bytes,
        queue: Queue,
        send: Callable[[bytes, bytes], None],
        world: World,
    ) -> None:
        self._key = key
        self._queue = queue
        self._send_packet = send
        self._world = world
        self._echo = 0
        self._acknowledgement = 0
        self._sequence = world.random.randrange(1, 2**31)

    @property
    def key(self) -> bytes:
        """Return the flow's key."""
        return self._key

    def open(self) -> str:
        """Open the flow; return "open", "reset" or "unanswered"."""
        for n_copy, seconds in enumerate(COPY_SECONDS):
            self._send(SYN, acknowledgement=n_copy)
            head = self._wait(seconds, lambda head: head.flags & (SYN | RST))
            if head is not None and head.flags & RST:
                return "reset"
            if head is not None:
                self._acknowledgement = head.sequence + 1
                self._send(ACK)
                return "open"
        return "unanswered"

    def ask(self, name: str, *, is_idempotent: bool) -> str:
        """Send a request; return "answered", "reset" or "unanswered"."""
        body = json.dumps({"id": name, "idempotent": is_idempotent}).encode()
        parts: dict[bytes, bytes] = {}
        for seconds in RESEND_SECONDS:
            self._send(ACK, data=body)
            while True:
                head = self._wait(seconds, lambda h: h.flags & RST or h.data)
                if head is None:
                    break
                if head.flags & RST:
                    return self._judge_reset(head)
                answered, _, part = head.data.partition(b"|")
                if answered != name.encode():
                    continue  # sent again for an earlier request of this flow
                parts[part[:1]] = part[1:]
                if len(parts) == 2:
                    self._send(ACK)
                    return self._judge_answer(name, parts)
        return "unanswered"

    def close(self) -> None:
        """End the flow."""
        self._send(FIN | ACK)

    def _judge_reset(self, head: Head) -> str:
        if not head.is_genuine:
            self._world.promises.break_("no reset of an open flow", flow=str(self._key))
        return "reset"

    def _judge_answer(self, name: str, parts: dict[bytes, bytes]) -> str:
        body = json.loads(parts[b"0"] + parts[b"1"])
        destination = self._key[4:10]
        is_right = body["service"] in self._world.allowed.get(destination, set())
        if body["id"] != name or not is_right:
            self._world.promises.break_("own whole answer", asked=name, got=body["id"])
        return "answered"

    def _wait(self, seconds: float, matches: Callable[[Head], object]) -> Head | None:
        ends = gevent.get_hub().loop.now() + seconds
        while True:
            rest = ends - gevent.get_hub().loop.now()
            try:
                head = self._queue.get(timeout=max(0.0, rest))
            except Empty:
                return None
            if head.is_genuine:
                self._echo = head.echo
            if matches(head):
                return head

    def _send(
        self, flags: int, *, acknowledgement: int | None = None, data: bytes = b""
    ) -> None:
        destination_port, source_port = struct.unpack(">HH", self._key[8:12])
        head = Head(
            0 if flags & SYN else self._echo,
            flags,
            self._key[:4],
            self._key[4:8],
            destination_port,
            source_port,
            0,
            self._sequence,
            self._acknowledgement if acknowledgement is None else acknowledgement,
            data,
        )
        self._send_packet(self._key, packets.write(head))
