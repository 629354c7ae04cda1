"""Processor time per forwarded packet of one balancer, compared with a bare loop.

The bare loop receives and sends on the same kind of sockets without selecting a
server. Both run alternately in this process, on the same packets.
"""

import argparse
import resource
import socket
import time
from random import Random

from stoattray_core import Core, CoreSettings, Identity, MemberId, ServiceId
from stoattray_core.configuration import ConfigEntry
from stoattray_core.outputs import Forward
from stoattray_standin.packets import ACK, PUSH, SYN, Endpoint, tcp_packet
from stoattray_standin.services import build_service

N_SERVERS = 7
N_DISTINCT_PACKETS = 20_000
BATCH_SIZE = 64
HOST = "127.0.0.1"
PAYLOAD = b"x" * 200


def build_core(ports: list[int], settings: CoreSettings) -> Core:
    """Return a live balancer with one service, alone in its group."""
    identity = Identity(MemberId("b1"), HOST, 1, 2, 3, "dc1", 1)
    core = Core(identity, seeds=(), settings=settings, random=Random(1), now=0)
    service = build_service(
        "tanglaw", "lookup", address="192.0.2.10", n_servers=N_SERVERS
    )
    service_document = service.model_dump(mode="json")
    for server, port in zip(
        service_document["spec"]["backend_servers"], ports, strict=True
    ):
        server["address"] = HOST
        server["port"] = port
    service = type(service).model_validate(service_document)
    entries = [
        ConfigEntry("services/tanglaw/lookup", 1, service.model_dump_json()),
        ConfigEntry(f"addresses/{service.spec.key:x}", 1, service.service),
    ]
    core.on_config(0, 1, entries)
    for now in range(0, 3_000, 20):
        core.tick(now)
        core.take_outputs()
    return core


def build_packets(flags: int, payload: bytes) -> list[bytes]:
    """Return packets of ``N_DISTINCT_PACKETS`` different flows."""
    destination = Endpoint("192.0.2.10", 443)
    return [
        tcp_packet(
            Endpoint(f"198.51.100.{number % 250 + 1}", 1_024 + number // 250),
            destination,
            flags=flags,
            payload=payload,
        )
        for number in range(N_DISTINCT_PACKETS)
    ]


class LoopbackSockets:
    """Loopback sockets of one measurement.

    Attributes
    ----------
    receiver : socket
        Receives the packets to forward, and sends them on.
    sender : socket
        Sends packets to the receiver.
    sinks : list of socket
        Sockets of the backend servers, which are never read.
    """

    def __init__(self) -> None:
        self.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 23)
        self.receiver.bind((HOST, 0))
        self.receiver.setblocking(False)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sinks = []
        for _ in range(N_SERVERS):
            sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sink.bind((HOST, 0))
            self.sinks.append(sink)

    @property
    def ports(self) -> list[int]:
        """Return the ports of the backend servers."""
        return [sink.getsockname()[1] for sink in self.sinks]

    def send_batch(self, batch: list[bytes]) -> None:
        """Send a batch of packets to the receiver."""
        address = self.receiver.getsockname()
        for data in batch:
            self.sender.sendto(data, address)


def run_bare_loop(sockets: LoopbackSockets, n_packets: int) -> None:
    """Receive and forward packets without selecting a server."""
    receive = sockets.receiver.recv
    send = sockets.receiver.sendto
    address = sockets.sinks[0].getsockname()
    for _ in range(n_packets):
        try:
            data = receive(65_535)
        except BlockingIOError:
            break
        send(data, address)


def run_balancer(sockets: LoopbackSockets, n_packets: int, core: Core) -> None:
    """Receive, route and forward packets as the data path does."""
    receive = sockets.receiver.recv
    send = sockets.receiver.sendto
    fast_path_address = core.fast_path_address
    for _ in range(n_packets):
        try:
            data = receive(65_535)
        except BlockingIOError:
            break
        address = fast_path_address(data)
        if address is None:
            core.on_packet(data)
            continue
        send(data, address)
    core.flush()
    for output in core.take_outputs():
        if isinstance(output, Forward):
            send(output.data, output.address)


def measure(
    sockets: LoopbackSockets, core: Core, packets: list[bytes], n_rounds: int
) -> tuple[float, float]:
    """Return microseconds of processor time per packet: bare loop and balancer."""
    bare_seconds = balancer_seconds = 0.0
    for number in range(n_rounds):
        start = number * BATCH_SIZE % (len(packets) - BATCH_SIZE)
        batch = packets[start : start + BATCH_SIZE]
        sockets.send_batch(batch)
        started_at = time.process_time()
        run_bare_loop(sockets, BATCH_SIZE)
        bare_seconds += time.process_time() - started_at
        sockets.send_batch(batch)
        started_at = time.process_time()
        run_balancer(sockets, BATCH_SIZE, core)
        balancer_seconds += time.process_time() - started_at
    micros_per_packet = 1e6 / (n_rounds * BATCH_SIZE)
    return bare_seconds * micros_per_packet, balancer_seconds * micros_per_packet


def memory_per_flow(core: Core, n_flows: int) -> float:
    """Open flows and return the growth of peak resident memory, in bytes per flow."""
    rss_before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    destination = Endpoint("192.0.2.10", 443)
    template = bytearray(tcp_packet(Endpoint("127.0.0.1", 1), destination, flags=SYN))
    for number in range(n_flows):
        template[12:16] = (0x0A000000 + number // 60_000).to_bytes(4)
        template[20:22] = (number % 60_000 + 1).to_bytes(2)
        core.on_packet(bytes(template))
        if number % 1_000 == 0:
            core.take_outputs()
    core.take_outputs()
    rss_after_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return (rss_after_kib - rss_before_kib) * 1_024 / n_flows


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3_000)
    parser.add_argument("--open-flows", type=int, default=300_000)
    arguments = parser.parse_args()
    sockets = LoopbackSockets()
    core = build_core(sockets.ports, CoreSettings())
    established = build_packets(ACK | PUSH, PAYLOAD)
    opening = build_packets(SYN, b"")
    bare_micros, balancer_micros = measure(sockets, core, established, arguments.rounds)
    print(f"datapath_bare {bare_micros:.2f} us/packet")
    print(f"datapath_established {balancer_micros:.2f} us/packet")
    print(f"datapath_established_ratio {balancer_micros / bare_micros:.2f} times")
    print(f"datapath_established_rate {1e6 / balancer_micros:.0f} packets/s")
    bare_micros, balancer_micros = measure(sockets, core, opening, arguments.rounds)
    print(f"datapath_opening_ratio {balancer_micros / bare_micros:.2f} times")
    settled_bytes_per_flow = memory_per_flow(core, arguments.open_flows)
    print(f"datapath_settled_flow_memory {settled_bytes_per_flow:.1f} bytes/flow")
    core.track_service(ServiceId("tanglaw/lookup"))
    tracked_bytes_per_flow = memory_per_flow(core, arguments.open_flows)
    print(f"datapath_tracked_flow_memory {tracked_bytes_per_flow:.0f} bytes/flow")
    bare_micros, balancer_micros = measure(sockets, core, opening, arguments.rounds)
    print(f"datapath_tracked_opening_ratio {balancer_micros / bare_micros:.2f} times")
    bare_micros, balancer_micros = measure(sockets, core, established, arguments.rounds)
    print(f"datapath_tracked_established {balancer_micros:.2f} us/packet")
    print(
        f"datapath_tracked_established_ratio {balancer_micros / bare_micros:.2f} times"
    )


if __name__ == "__main__":
    main()
