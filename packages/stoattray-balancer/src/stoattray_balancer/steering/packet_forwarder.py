"""Forwards callers' packets to backend servers, or answers them with resets."""

import socket
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import gevent

from stoattray_balancer.steering.forwarding_health import ForwardingHealth
from stoattray_core._errors import ERROR_RESPONSES, ErrorKind, PacketResponse
from stoattray_core._identifiers import Address, Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.packet import Packet, flow_name
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.steering import Steering

RECEIVE_BYTES = 2_048
"""Packets are at most 1,232 bytes; a longer one is truncated and refused for its
length."""

BATCH_PACKETS = 64
"""Most packets handled before other greenlets run."""

TICK_SECONDS = 0.005
IDLE_TICK_SECONDS = 0.05
"""Pause between ticks while opening packets await a follow-up, and while none do."""

READ_EVENT = 1

RELAYED_REFUSALS = frozenset({ErrorKind.UNKNOWN_COOKIE, ErrorKind.UNKNOWN_ADDRESS})
"""Refusals after which a packet is relayed: another balancer's replica may be newer."""


class HeaderCodec(Protocol):
    """Reads and writes packet headers."""

    def parse(self, data: bytes) -> Packet | Refused:
        """Return a caller's packet, or why it is refused."""

    def rewrite_for_server(self, data: bytes, label: bytes, cookie: int) -> bytes:
        """Return the packet with the label and cookie of its server."""

    def build_reset(self, data: bytes) -> bytes:
        """Return the reset that answers an opening packet."""

    def caller_host(self, data: bytes) -> str:
        """Return the caller's IP address in dotted notation."""


class PacketForwarder:
    """Forwards the packets of one UDP socket as `steering` decides.

    Parameters
    ----------
    steering : Steering
        Chooses the server of a packet, or refuses it.
    header_codec : HeaderCodec
        Reads and writes packet headers.
    udp_socket : socket.socket
        Receives callers' packets, and sends packets and resets. Resets go to the
        port number that it is bound to, on the caller's host.
    clock : callable
        Returns the time in milliseconds.
    relay : callable
        Sends a packet to another balancer and returns its name, or None.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        steering: Steering,
        header_codec: HeaderCodec,
        udp_socket: socket.socket,
        *,
        clock: Callable[[], Millis],
        relay: Callable[[bytes], str | None],
        on_event: EventSink,
    ) -> None:
        self._steering = steering
        self._header_codec = header_codec
        self._port = udp_socket.getsockname()[1]
        self._clock = clock
        self._relay = relay
        self._on_event = on_event
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.last_packet_at: Millis = 0
        self.health = ForwardingHealth()
        self._socket = udp_socket
        self._read_watcher = gevent.get_hub().loop.io(self._socket.fileno(), READ_EVENT)

    def start(self) -> None:
        """Start forwarding, beginning with packets queued in the socket."""
        self._steering.exclude_backlog(self._clock())
        self._read_watcher.start(self._receive_batch)

    def stop(self) -> None:
        """Stop forwarding and close the socket."""
        self._read_watcher.stop()
        self._read_watcher.close()
        self._socket.close()

    def run_ticks(self) -> None:
        """Receive, resend openings without a follow-up and clean up, forever."""
        cleaned_at = self._clock()
        while True:
            if self._read_watcher.active:
                self._receive_batch()
            now = self._clock()
            for server, data in self._steering.tick(now):
                self._forward(server, data)
            if now - cleaned_at >= 1_000:
                cleaned_at = now
                self._steering.remove_expired(now)
            has_pending_openings = self._steering.n_awaiting_follow_up > 0
            gevent.sleep(TICK_SECONDS if has_pending_openings else IDLE_TICK_SECONDS)

    def _receive_batch(self) -> None:
        self._guard(self._steering.detect_pause, self._clock())
        for _ in range(BATCH_PACKETS):
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._on_event("datagram_unread", error=repr(error))
                return
            self._guard(self._handle_packet, data)
        self._guard(self._steering.note_queued_packets, self._clock())

    def _guard(self, action: Callable[[Any], None], argument: Millis | bytes) -> None:
        """Call `action`; an unexpected error is logged and ends only this call.

        An error that leaves the callback of a watcher would end the watcher.
        """
        try:
            action(argument)
        except Exception as error:  # noqa: BLE001 - the other packets are forwarded
            self.counters["failed"] += 1
            self._on_event("packet_failed", step=action.__name__, error=repr(error))

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
        """Handle a packet relayed by another balancer; it is not relayed again."""
        self._guard(self._handle_relayed, data)

    def _handle_relayed(self, data: bytes) -> None:
        self.counters["taken_from_peers"] += 1
        refused = self._route(data)
        if refused is not None:
            self._refuse(refused, data)

    def _route(self, data: bytes) -> Refused | None:
        """Forward a packet; return a refusal if there is no server for it."""
        packet = self._header_codec.parse(data)
        if isinstance(packet, Refused):
            return packet
        now = self._clock()
        try:
            server = self._steering.route_packet(packet, now)
            if isinstance(server, ServerRow):
                self._forward(server, data)
        except Exception:
            self.health.note_error(now, is_opening=packet.is_opening)
            raise
        self.health.note_handled(is_opening=packet.is_opening)
        return server if isinstance(server, Refused) else None

    def _forward(self, server: ServerRow, data: bytes) -> None:
        self.counters["forwarded"] += 1
        packet = self._header_codec.rewrite_for_server(
            data, server.entry.label, server.cookie
        )
        if self._steering.remote_traffic is not None:
            self._steering.remote_traffic.note_packet(server, len(packet))
        self._send(packet, server.address)

    def _refuse(self, refused: Refused, data: bytes) -> None:
        is_reset = ERROR_RESPONSES[refused.kind].packet is PacketResponse.RESET
        self.refusals[refused.kind] += 1
        self._log_refusal(refused, data, is_reset=is_reset)
        if is_reset:
            self._send(
                self._header_codec.build_reset(data),
                (self._header_codec.caller_host(data), self._port),
            )

    def _log_refusal(
        self, refused: Refused, data: bytes, **result_fields: object
    ) -> None:
        if not self._on_event.is_enabled("packet_refused"):
            self._on_event.note_suppressed("packet_refused")
            return
        packet = self._header_codec.parse(data)
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
