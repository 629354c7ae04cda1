"""UDP sockets for packets from the fabric, relayed packets and peer messages."""

import socket
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent import monkey

from stoattray_balancer._codec import Envelope, decode, encode
from stoattray_balancer._encryption import Keyring, ReplayFilter
from stoattray_balancer._logs import log_event
from stoattray_balancer._resets import build_reset
from stoattray_balancer._telemetry import TRACE_CONTEXT_BYTES, Telemetry, TraceContext
from stoattray_core import (
    Address,
    Core,
    MemberId,
    Millis,
    Refused,
)
from stoattray_core.messages import Message
from stoattray_core.outputs import Forward, LogEvent, Output, Reject, Relay, Send

BATCH_PACKETS = 64
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 8_388_608

# First byte of a relayed packet: the number of hops, and whether a trace context
# follows.
TRACED_FLAG = 0x80
HOPS_MASK = 0x0F

READ_EVENT = 1

_native_socket: type[socket.socket] = monkey.get_original("socket", "socket")


@contextmanager
def udp_socket(host: str, port: int) -> Iterator[socket.socket]:
    """Open a bound, non-blocking UDP socket that gevent does not wrap."""
    sock = _native_socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind((host, port))
        yield sock
    finally:
        sock.close()


class Datapath:
    """Moves packets and messages between sockets and the core.

    Parameters
    ----------
    core : Core
        Makes the forwarding decisions.
    fabric_socket, relay_socket, peer_socket : socket.socket
        Bound, non-blocking UDP sockets.
    fabric_return : Address
        Endpoint of the fabric for packets to callers.
    keyring : Keyring
        Encrypts and decrypts peer messages.
    member, incarnation : MemberId, int
        This balancer's name and incarnation, written into each envelope.
    clock : callable
        Returns monotonic milliseconds.
    telemetry : Telemetry
        Records spans of sampled packets.
    sample_one_in : int
        Trace one packet in this many.
    """

    def __init__(
        self,
        core: Core,
        *,
        fabric_socket: socket.socket,
        relay_socket: socket.socket,
        peer_socket: socket.socket,
        fabric_return: Address,
        keyring: Keyring,
        member: MemberId,
        incarnation: int,
        clock: Callable[[], Millis],
        telemetry: Telemetry,
        sample_one_in: int,
    ) -> None:
        self._core = core
        self._fabric_socket = fabric_socket
        self._relay_socket = relay_socket
        self._peer_socket = peer_socket
        self._fabric_return = fabric_return
        self._keyring = keyring
        self._member = member
        self._incarnation = incarnation
        self._clock = clock
        self._telemetry = telemetry
        self._sample_one_in = sample_one_in
        self._packets_until_sample = sample_one_in
        self._trace_context: TraceContext | None = None
        self._sequence = 0
        self._replay_filters: dict[str, ReplayFilter] = {}
        self.counters: Counter[str] = Counter()
        loop = gevent.get_hub().loop
        self._watchers = [
            (loop.io(fabric_socket.fileno(), READ_EVENT), self._receive_from_fabric),
            (loop.io(relay_socket.fileno(), READ_EVENT), self._receive_relayed),
            (loop.io(peer_socket.fileno(), READ_EVENT), self._receive_messages),
        ]

    def start(self) -> None:
        """Start receiving."""
        for watcher, callback in self._watchers:
            watcher.start(self._run_callback, callback)

    def _run_callback(self, callback: Callable[[], None]) -> None:
        """Run a watcher's callback; an error that left it would end the watcher."""
        try:
            callback()
        except Exception as error:  # noqa: BLE001 - the process must keep running
            self.counters["callbacks_failed"] += 1
            log_event("callback_failed", name=callback.__name__, error=repr(error))

    def stop(self) -> None:
        """Stop receiving and release the watchers."""
        for watcher, _ in self._watchers:
            watcher.stop()
            watcher.close()

    def tick(self) -> None:
        """Run the core's periodic tick and execute its outputs."""
        self._call_core(self._core.tick)
        self.execute_outputs()

    def _call_core(self, method: Callable[[Millis], None]) -> None:
        """Call the core; if it raises, make it rejoin and rebuild its state."""
        try:
            method(self._clock())
        except Exception as error:  # noqa: BLE001 - the process must keep running
            self.counters["systems_failed"] += 1
            self._core.rejoin_after_violation(repr(error))

    def execute_outputs(self) -> None:
        """Execute every output that the core has queued."""
        self._core.flush()
        for output in self._core.take_outputs():
            self._execute(output)

    def _receive_from_fabric(self) -> None:
        self._call_core(self._core.tick_after_pause)
        receive = self._fabric_socket.recv
        send = self._fabric_socket.sendto
        fast_path_address = self._core.fast_path_address
        if not self._core.is_ready:
            fast_path_address = _no_fast_path_address
        n_forwarded = 0
        for _ in range(BATCH_PACKETS):
            try:
                data = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                self.counters["receive_errors"] += 1
                continue
            address = fast_path_address(data)
            if address is None:
                self._on_slow_packet(data)
                continue
            try:
                send(data, address)
            except OSError:
                self.counters["send_errors"] += 1
                continue
            n_forwarded += 1
            if self._telemetry.is_tracing:
                self._sample_fast_packet(address)
        self.counters["packets_forwarded_fast"] += n_forwarded
        self.execute_outputs()

    def _on_slow_packet(self, data: bytes) -> None:
        if self._telemetry.is_tracing:
            self._packets_until_sample -= 1
            if self._packets_until_sample <= 0:
                self._packets_until_sample = self._sample_one_in
                self._trace_context = self._telemetry.record_span("fabric to balancer")
        self._core.on_packet(data)
        if self._trace_context is not None:
            self.execute_outputs()
            self._trace_context = None

    def _sample_fast_packet(self, address: Address) -> None:
        self._packets_until_sample -= 1
        if self._packets_until_sample > 0:
            return
        self._packets_until_sample = self._sample_one_in
        parent = self._telemetry.record_span("fabric to balancer")
        self._telemetry.record_span(
            "balancer to backend server", parent, address=f"{address[0]}:{address[1]}"
        )

    def _receive_relayed(self) -> None:
        self._call_core(self._core.tick_after_pause)
        for _ in range(BATCH_PACKETS):
            try:
                data, sender = self._relay_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                self.counters["receive_errors"] += 1
                continue
            self._on_relay_datagram(data, sender)
        self.execute_outputs()

    def _on_relay_datagram(self, data: bytes, sender: Address) -> None:
        if len(data) < 1 + TRACE_CONTEXT_BYTES:
            self.counters["relayed_truncated"] += 1
            return
        hops = data[0] & HOPS_MASK
        if not data[0] & TRACED_FLAG:
            self._core.on_relayed(data[1:], hops, sender)
            return
        if self._telemetry.is_tracing:
            parent = TraceContext.from_bytes(data[1 : 1 + TRACE_CONTEXT_BYTES])
            self._trace_context = self._telemetry.record_span(
                "balancer to peer", parent, hops=hops
            )
        self._core.on_relayed(data[1 + TRACE_CONTEXT_BYTES :], hops, sender)
        self.execute_outputs()
        self._trace_context = None

    def _receive_messages(self) -> None:
        self._call_core(self._core.tick_after_pause)
        for _ in range(BATCH_PACKETS):
            try:
                data, address = self._peer_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                self.counters["receive_errors"] += 1
                continue
            self._on_peer_datagram(data, address)
        self.execute_outputs()

    def _on_peer_datagram(self, data: bytes, address: Address) -> None:
        self.counters["peer_bytes_received"] += len(data)
        plaintext = self._keyring.decrypt(data)
        envelope = plaintext if isinstance(plaintext, Refused) else decode(plaintext)
        if isinstance(envelope, Refused):
            self.counters[envelope.kind] += 1
            return
        replay_filter = self._replay_filters.setdefault(envelope.sender, ReplayFilter())
        if not replay_filter.accept(envelope.incarnation, envelope.sequence):
            self.counters["message_replayed"] += 1
            return
        self._core.on_message(envelope.message, MemberId(envelope.sender), address)

    def _execute(self, output: Output) -> None:
        match output:
            case Forward(address, data):
                self._send(self._fabric_socket, data, address)
                self.counters["packets_forwarded_decided"] += 1
                if self._trace_context is not None:
                    self._telemetry.record_span(
                        "balancer to backend server",
                        self._trace_context,
                        address=f"{address[0]}:{address[1]}",
                    )
            case Relay(address, hops, data):
                self._send(self._relay_socket, self._relay_header(hops) + data, address)
            case Send(address, message):
                self._send_message(address, message)
            case Reject(kind, data):
                reset = build_reset(kind, data)
                if reset is not None:
                    self._send(self._fabric_socket, reset, self._fabric_return)
            case LogEvent(name, fields):
                log_event(name, **fields)

    def _relay_header(self, hops: int) -> bytes:
        if self._trace_context is None:
            return bytes((hops & HOPS_MASK,))
        return bytes((hops & HOPS_MASK | TRACED_FLAG,)) + self._trace_context.to_bytes()

    def _send_message(self, address: Address, message: Message) -> None:
        self._sequence += 1
        envelope = Envelope(self._member, self._incarnation, self._sequence, message)
        datagram = self._keyring.encrypt(encode(envelope))
        self.counters["peer_bytes_sent"] += len(datagram)
        self.counters["peer_messages_sent"] += 1
        self._send(self._peer_socket, datagram, address)

    def _send(self, sock: socket.socket, data: bytes, address: Address) -> None:
        try:
            sock.sendto(data, address)
        except OSError:
            self.counters["send_errors"] += 1


def _no_fast_path_address(_: bytes) -> None:
    return None
