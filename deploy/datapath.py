"""Processor time per packet of the cookie path, against a bare loop in the same run.

Prints lines of ``name value unit``. Run as ``python deploy/datapath.py``; it stands
here since it builds packets of the platform.
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
from no_events import NoEvents  # noqa: E402
from packets import ACK, FIN, SYN, Head  # noqa: E402

from stoattray_balancer.steering.datagrams import DatagramPath  # noqa: E402
from stoattray_core.steering.entries import (  # noqa: E402
    BackendServerEntry,
    Configuration,
    MemberEntry,
    RequestKind,
    Route,
)
from stoattray_core.steering.replica import Difference, Record  # noqa: E402
from stoattray_core.steering.steering import Steering  # noqa: E402
from stoattray_platform.header import PlatformHeader  # noqa: E402

N_PACKETS = 40_000
BATCH = 64
N_SERVERS = 75
N_ROUTES = 600
SERVICE = socket.inet_aton("198.18.0.1")


class _Entries:
    """Decodes records by their place in a list."""

    def __init__(self, entries: list) -> None:
        self._entries = entries

    def decode(self, record: Record) -> object:
        return self._entries[int(record.value)]

    def backend_server_name(self, key: str) -> None:
        return None


def main() -> None:
    """Measure and print."""
    sink = _bound()
    steering = _steering(sink.getsockname())
    path_socket = _bound()
    path = DatagramPath(
        steering,
        PlatformHeader(),
        path_socket,
        clock=lambda: time.monotonic_ns() // 1_000_000,
        relay=lambda data: None,
        on_event=NoEvents(),
    )
    cookie = next(iter(steering.servers)).cookie
    loads = {
        "following": lambda n: _packet(ACK, n % 50, cookie, b"x" * 200),
        "opening": lambda n: _packet(SYN, n, 0, b""),
        "ending": lambda n: _packet(FIN | ACK, n, cookie, b""),
    }
    bare = _measure(path_socket, sink, loads["following"], _bare(path_socket, sink))
    print(f"bare_loop {bare:.2f} us/packet")
    for name, build in loads.items():
        cost = _measure(path_socket, sink, build, path._receive)
        print(f"{name} {cost:.2f} us/packet")


def _bare(source: socket.socket, sink: socket.socket) -> Callable[[], None]:
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
    path: socket.socket,
    sink: socket.socket,
    build: Callable[[int], bytes],
    receive: Callable[[], None],
) -> float:
    sender = _bound()
    address = path.getsockname()
    spent = 0.0
    for start in range(0, N_PACKETS, BATCH):
        for number in range(start, start + BATCH):
            sender.sendto(build(number), address)
        before = time.process_time()
        receive()
        spent += time.process_time() - before
        _drain(sink)
    return spent / N_PACKETS * 1_000_000


def _drain(sink: socket.socket) -> None:
    while True:
        try:
            sink.recv(2_048)
        except BlockingIOError:
            return


def _bound() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


def _packet(flags: int, number: int, cookie: int, data: bytes) -> bytes:
    caller = struct.pack(">BBH", 100, 64, number >> 16)
    head = Head(cookie, flags, caller, SERVICE, 443, number & 0xFFFF, 0, 1, 0, data)
    return packets.write(head)


def _steering(server_address: tuple[str, int]) -> Steering:
    servers = [
        BackendServerEntry(
            name=f"i-{number:08x}",
            label=struct.pack(">Q", number),
            service="lookup",
            address=server_address,
            data_centre="luzon-a" if number % 3 else "luzon-b",
            capacity=2,
            is_draining=False,
            warmup=0,
            born=1,
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
        decoder=_Entries(entries),
        flow_life=60_000,
        random=Random(1),
        on_event=NoEvents(),
    )
    records = [
        Record(f"k{index}", index + 1, str(index).encode())
        for index in range(len(entries))
    ]
    steering.take(Difference(len(records), records, True), 1)
    return steering


if __name__ == "__main__":
    main()
