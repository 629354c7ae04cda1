"""Processor time per forwarded packet of one balancer, against a bare loop.

The bare loop receives and sends on the same kind of sockets and decides
nothing. Both run in this process, in turn, on the same packets.
"""

import argparse
import resource
import socket
import time
from random import Random

from stoattray_core import Core, CoreSettings, Identity, MemberId, ServiceId
from stoattray_core.configuration import ConfigEntry
from stoattray_core.outputs import Forward
from stoattray_standin.deployments import service_model
from stoattray_standin.packets import ACK, PUSH, SYN, Endpoint, tcp_packet

N_SERVERS = 7
N_DISTINCT_PACKETS = 20_000
BATCH = 64
HOST = "127.0.0.1"
PAYLOAD = b"x" * 200


def build_core(ports: list[int], settings: CoreSettings) -> Core:
    """Return a live balancer with one service, alone in its group."""
    identity = Identity(MemberId("b1"), HOST, 1, 2, 3, "dc1", 1)
    core = Core(identity, seeds=(), settings=settings, random=Random(1), now=0)
    model = service_model(
        "tanglaw", "lookup", address="192.0.2.10", n_servers=N_SERVERS
    )
    document = model.model_dump(mode="json")
    for server, port in zip(document["spec"]["backend_servers"], ports, strict=True):
        server["address"] = HOST
        server["port"] = port
    model = type(model).model_validate(document)
    entries = [
        ConfigEntry("services/tanglaw/lookup", 1, model.model_dump_json()),
        ConfigEntry(f"addresses/{model.spec.key:x}", 1, model.service),
    ]
    core.on_config(0, 1, entries)
    for now in range(0, 3_000, 20):
        core.tick(now)
        core.take_outputs()
    return core


def packets(flags: int, payload: bytes) -> list[bytes]:
    """Return packets of different flows."""
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


class Rig:
    """Sockets of one measurement."""

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

    def fill(self, batch: list[bytes]) -> None:
        """Put a batch into the receive buffer."""
        address = self.receiver.getsockname()
        for data in batch:
            self.sender.sendto(data, address)


def run_bare(rig: Rig, n_packets: int) -> None:
    """Receive and forward a batch without deciding."""
    receive = rig.receiver.recv
    send = rig.receiver.sendto
    address = rig.sinks[0].getsockname()
    for _ in range(n_packets):
        try:
            data = receive(65_535)
        except BlockingIOError:
            break
        send(data, address)


def run_balancer(rig: Rig, n_packets: int, core: Core) -> None:
    """Receive, decide and forward a batch as the data path does."""
    receive = rig.receiver.recv
    send = rig.receiver.sendto
    fast_address = core.fast_address
    for _ in range(n_packets):
        try:
            data = receive(65_535)
        except BlockingIOError:
            break
        address = fast_address(data)
        if address is None:
            core.on_packet(data)
            continue
        send(data, address)
    core.flush()
    for output in core.take_outputs():
        if isinstance(output, Forward):
            send(output.data, output.address)


def measure(
    rig: Rig, core: Core, sent: list[bytes], rounds: int
) -> tuple[float, float]:
    """Return microseconds of processor time per packet, bare and balancer."""
    bare = balancer = 0.0
    for number in range(rounds):
        start = number * BATCH % (len(sent) - BATCH)
        batch = sent[start : start + BATCH]
        rig.fill(batch)
        began = time.process_time()
        run_bare(rig, BATCH)
        bare += time.process_time() - began
        rig.fill(batch)
        began = time.process_time()
        run_balancer(rig, BATCH, core)
        balancer += time.process_time() - began
    scale = 1e6 / (rounds * BATCH)
    return bare * scale, balancer * scale


def memory_per_flow(core: Core, n_flows: int) -> float:
    """Return bytes of resident memory per flow that opens now."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    destination = Endpoint("192.0.2.10", 443)
    template = bytearray(tcp_packet(Endpoint("127.0.0.1", 1), destination, flags=SYN))
    for number in range(n_flows):
        template[12:16] = (0x0A000000 + number // 60_000).to_bytes(4)
        template[20:22] = (number % 60_000 + 1).to_bytes(2)
        core.on_packet(bytes(template))
        if number % 1_000 == 0:
            core.take_outputs()
    core.take_outputs()
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return (after - before) * 1_024 / n_flows


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3_000)
    parser.add_argument("--open-flows", type=int, default=300_000)
    arguments = parser.parse_args()
    rig = Rig()
    core = build_core(rig.ports, CoreSettings())
    established = packets(ACK | PUSH, PAYLOAD)
    opening = packets(SYN, b"")
    bare, balancer = measure(rig, core, established, arguments.rounds)
    print(f"datapath_bare {bare:.2f} us/packet")
    print(f"datapath_established {balancer:.2f} us/packet")
    print(f"datapath_established_ratio {balancer / bare:.2f} times")
    print(f"datapath_established_rate {1e6 / balancer:.0f} packets/s")
    bare, balancer = measure(rig, core, opening, arguments.rounds)
    print(f"datapath_opening_ratio {balancer / bare:.2f} times")
    settled = memory_per_flow(core, arguments.open_flows)
    print(f"datapath_settled_flow_memory {settled:.1f} bytes/flow")
    core.track(ServiceId("tanglaw/lookup"))
    bytes_per_flow = memory_per_flow(core, arguments.open_flows)
    print(f"datapath_tracked_flow_memory {bytes_per_flow:.0f} bytes/flow")
    bare, balancer = measure(rig, core, opening, arguments.rounds)
    print(f"datapath_tracked_opening_ratio {balancer / bare:.2f} times")
    bare, balancer = measure(rig, core, established, arguments.rounds)
    print(f"datapath_tracked_established {balancer:.2f} us/packet")
    print(f"datapath_tracked_established_ratio {balancer / bare:.2f} times")


if __name__ == "__main__":
    main()
