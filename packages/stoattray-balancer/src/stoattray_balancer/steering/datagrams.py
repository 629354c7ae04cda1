"""The packet path: callers' packets in, to backend servers or a reset back."""

import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import gevent

from stoattray_core._errors import ANSWERS, ErrorKind, PacketAnswer
from stoattray_core._identifiers import Address, Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.interfaces import EventSink
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.steering import Steering

RECEIVE_BYTES = 2_048
"""Packets are at most 1,232 bytes; a longer one is cut, and refused by its length."""

BATCH_PACKETS = 64
"""Packets taken before other work gets its turn."""

TICK_SECONDS = 0.005
IDLE_TICK_SECONDS = 0.05
"""Pause between ticks while openings wait for a follow-up, and while none do."""

READ_EVENT = 1

RELAYED_REFUSALS = frozenset({ErrorKind.UNKNOWN_COOKIE, ErrorKind.UNKNOWN_ADDRESS})
"""Refusals that another balancer may not share: its copy may be newer."""


class HeaderCodec(Protocol):
    """Reads and writes the head of packets."""

    def read(self, data: bytes) -> Packet | Refused:
        """Return a caller's packet, or why it is refused."""

    def for_server(self, data: bytes, label: bytes, cookie: int) -> bytes:
        """Return a packet with its server's label and cookie."""

    def reset(self, data: bytes) -> bytes:
        """Return the reset that answers an opening packet."""

    def caller_host(self, data: bytes) -> str:
        """Return the IP number of the caller of a packet."""


class DatagramPath:
    """Moves packets between one socket and the decisions.

    Parameters
    ----------
    steering : Steering
        Decides.
    header : Header
        Reads and writes packets.
    bound : socket.socket
        Where callers' packets come in; callers take packets at the same port.
    clock : callable
        Returns the time.
    relay : callable
        Hands a packet to another balancer and returns its name, or None.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        steering: Steering,
        header: HeaderCodec,
        udp_socket: socket.socket,
        *,
        clock: Callable[[], Millis],
        relay: Callable[[bytes], str | None],
        on_event: EventSink,
    ) -> None:
        self._steering = steering
        self._header = header
        self._port = udp_socket.getsockname()[1]
        self._clock = clock
        self._relay = relay
        self._on_event = on_event
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.last_packet_at: Millis = 0
        self._socket = udp_socket
        self._read_watcher = gevent.get_hub().loop.io(self._socket.fileno(), READ_EVENT)

    def start(self) -> None:
        """Forward packets from now on, first those that wait in the socket."""
        self._steering.start_forwarding(self._clock())
        self._read_watcher.start(self._receive)

    def stop(self) -> None:
        """Forward no more."""
        self._read_watcher.stop()
        self._read_watcher.close()
        self._socket.close()

    def run_ticks(self) -> None:
        """Judge openings without follow-up for ever."""
        cleaned_at = self._clock()
        while True:
            if self._read_watcher.active:
                self._receive()
            now = self._clock()
            for server, data in self._steering.tick(now):
                self._forward(server, data)
            if now - cleaned_at >= 1_000:
                cleaned_at = now
                self._steering.clean_up(now)
            has_pending_openings = self._steering.n_waiting > 0
            gevent.sleep(TICK_SECONDS if has_pending_openings else IDLE_TICK_SECONDS)

    def _receive(self) -> None:
        self._steering.check_pause(self._clock())
        for _ in range(BATCH_PACKETS):
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._on_event("datagram_unread", error=repr(error))
                return
            self._handle_packet(data)

    def _handle_packet(self, data: bytes) -> None:
        if self.last_packet_at == 0:
            self._on_event("first_packet")
        self.last_packet_at = self._clock()
        refused = self._route(data)
        if refused is None:
            return
        if refused.kind in RELAYED_REFUSALS:
            peer = self._relay(data)
            if peer is not None:
                self.counters["relayed"] += 1
                self._log_refusal(refused, data, helper=peer)
                return
        self._refuse(refused, data)

    def handle_relayed(self, data: bytes) -> None:
        """Take a packet that another balancer does not know; it goes no further."""
        self.counters["taken_from_peers"] += 1
        refused = self._route(data)
        if refused is not None:
            self._refuse(refused, data)

    def _route(self, data: bytes) -> Refused | None:
        """Forward a packet, or return why it is refused."""
        packet = self._header.read(data)
        if isinstance(packet, Refused):
            return packet
        server = self._steering.route_packet(packet, self._clock())
        if isinstance(server, Refused):
            return server
        self._forward(server, data)
        return None

    def _forward(self, server: ServerRow, data: bytes) -> None:
        self.counters["forwarded"] += 1
        packet = self._header.for_server(data, server.entry.label, server.cookie)
        self._send(packet, server.address)

    def _refuse(self, refused: Refused, data: bytes) -> None:
        is_reset = ANSWERS[refused.kind].packet is PacketAnswer.RESET
        self.refusals[refused.kind] += 1
        self._log_refusal(refused, data, is_reset=is_reset)
        if is_reset:
            self._send(
                self._header.reset(data), (self._header.caller_host(data), self._port)
            )

    def _log_refusal(
        self, refused: Refused, data: bytes, **result_fields: object
    ) -> None:
        if not self._on_event.wants("packet_refused"):
            self._on_event.left_out("packet_refused")
            return
        packet = self._header.read(data)
        flow = None if isinstance(packet, Refused) else flow_name(packet.key)
        configuration = self._steering.configuration
        self._on_event(
            "packet_refused",
            kind=refused.kind,
            flow=flow,
            n_bytes=len(data),
            version=None if configuration is None else configuration.version,
            confirmed_age_ms=self._steering.confirmed_age(self._clock()),
            **result_fields,
        )

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.counters["unsent"] += 1
            self._on_event("datagram_unsent", to=address[0], error=repr(error))
