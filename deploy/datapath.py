"""Processor time per packet on the cookie path, compared with a bare forwarding loop.

Measures both in the same run and prints lines of ``name value unit``. Run as
``python deploy/datapath.py``. It is in deploy/ because it builds packets in the
platform's format.
"""

import socket
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

sys.path[:0] = [str(Path(__file__).parent / "soak"), str(Path(__file__).parents[1])]

import packets  # noqa: E402
from null_event_sink import NullEventSink  # noqa: E402
from packets import ACK, FIN, SYN, Packet  # noqa: E402

from stoattray_balancer.steering.packet_forwarder import PacketForwarder  # noqa: E402
from stoattray_core.steering.entries import (  # noqa: E402
    BackendServerEntry,
    Configuration,
    MemberEntry,
    RequestKind,
    Route,
)
from stoattray_core.steering.replica import Difference, Record  # noqa: E402
from stoattray_core.steering.steering import Steering  # noqa: E402
from stoattray_platform.header_codec import PlatformHeaderCodec  # noqa: E402

N_PACKETS = 40_000
N_PACKETS_PER_BATCH = 64
N_SERVERS = 75
N_ROUTES = 600
SERVICE = socket.inet_aton("198.18.0.1")


class _IndexDecoder:
    """Decodes a record whose value is an index into a list of entries."""

    def __init__(self, entries: list) -> None:
        self._entries = entries

    def decode(self, record: Record) -> object:
        return self._entries[int(record.value)]

    def backend_server_name(self, key: str) -> None:
        return None

    def evacuated_data_centre(self, key: str) -> None:
        return None


def main() -> None:
    """Measure each kind of packet and print the results."""
    sink = _bind_socket()
    steering = _build_steering(sink.getsockname())
    forwarder_socket = _bind_socket()
    forwarder = PacketForwarder(
        steering,
        PlatformHeaderCodec(),
        forwarder_socket,
        clock=lambda: time.monotonic_ns() // 1_000_000,
        relay=lambda data: None,
        on_event=NullEventSink(),
    )
    cookie = next(iter(steering.servers)).cookie
    packet_builders = {
        "following": lambda n: _build_packet(ACK, n % 50, cookie, b"x" * 200),
        "opening": lambda n: _build_packet(SYN, n, 0, b""),
        "ending": lambda n: _build_packet(FIN | ACK, n, cookie, b""),
    }
    bare = _measure(
        forwarder_socket,
        sink,
        packet_builders["following"],
        _bare_loop(forwarder_socket, sink),
    )
    print(f"bare_loop {bare:.2f} us/packet")
    for name, build in packet_builders.items():
        cost = _measure(forwarder_socket, sink, build, forwarder._receive_batch)
        print(f"{name} {cost:.2f} us/packet")


def _bare_loop(source: socket.socket, sink: socket.socket) -> Callable[[], None]:
    address = sink.getsockname()

    def receive() -> None:
        while True:
            try:
                data = source.recv(2_048)
            except BlockingIOError:
                return
            source.sendto(data, address)

    return receive


def _measure(
    forwarder_socket: socket.socket,
    sink: socket.socket,
    build: Callable[[int], bytes],
    receive: Callable[[], None],
) -> float:
    sender = _bind_socket()
    address = forwarder_socket.getsockname()
    total_seconds = 0.0
    for start in range(0, N_PACKETS, N_PACKETS_PER_BATCH):
        for number in range(start, start + N_PACKETS_PER_BATCH):
            sender.sendto(build(number), address)
        started = time.process_time()
        receive()
        total_seconds += time.process_time() - started
        _drain(sink)
    return total_seconds / N_PACKETS * 1_000_000


def _drain(sink: socket.socket) -> None:
    while True:
        try:
            sink.recv(2_048)
        except BlockingIOError:
            return


def _bind_socket() -> socket.socket:
    datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagram_socket.setblocking(False)
    datagram_socket.bind(("127.0.0.1", 0))
    return datagram_socket


def _build_packet(flags: int, number: int, cookie: int, data: bytes) -> bytes:
    caller = struct.pack(">BBH", 100, 64, number >> 16)
    packet = Packet(cookie, flags, caller, SERVICE, 443, number & 0xFFFF, 0, 1, 0, data)
    return packets.encode(packet)


def _build_steering(server_address: tuple[str, int]) -> Steering:
    servers = [
        BackendServerEntry(
            name=f"i-{number:08x}",
            label=struct.pack(">Q", number),
            service="lookup",
            address=server_address,
            data_centre="luzon-a" if number % 3 else "luzon-b",
            capacity=2,
            is_draining=False,
            warmup_remaining_millis=0,
            started_at=1,
        )
        for number in range(N_SERVERS)
    ]
    routes = [
        Route(
            f"r{port}",
            SERVICE + struct.pack(">H", port),
            (("lookup", 1),),
            RequestKind.IDEMPOTENT,
        )
        for port in range(443, 443 + N_ROUTES)
    ]
    by_destination = {route.destination: route for route in routes}
    entries = [Configuration(1, by_destination, 15_000), *servers]
    steering = Steering(
        MemberEntry("edge-1", "127.0.0.1", "luzon-a", 1),
        decoder=_IndexDecoder(entries),
        flow_life_millis=60_000,
        random=Random(1),
        on_event=NullEventSink(),
    )
    records = [
        Record(f"k{index}", index + 1, str(index).encode())
        for index in range(len(entries))
    ]
    steering.apply_changes(Difference(len(records), records, True), 1)
    return steering


if __name__ == "__main__":
    main()
