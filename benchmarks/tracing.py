"""Cost of tracing per forwarded packet: off, and on at several samplings.

The whole receiving side of the data path runs, on real sockets; spans go to
memory.
"""

import argparse
import io
import time

from opentelemetry.sdk.metrics.export import ConsoleMetricExporter
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from benchmarks.datapath import BATCH, HOST, PAYLOAD, Rig, build_core, packets
from stoattray_balancer._datapath import DataPath, udp_socket
from stoattray_balancer._sealing import Keyring, PeerKey
from stoattray_balancer._telemetry import Telemetry
from stoattray_balancer.settings import TelemetrySettings, TraceExporter
from stoattray_core import CoreSettings, MemberId
from stoattray_standin.packets import ACK, PUSH

NO_SECRET = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="


def measure(rounds: int, exporter: TraceExporter, sample_one_in: int) -> float:
    """Return microseconds of processor time per packet."""
    rig = Rig()
    core = build_core(rig.ports, CoreSettings())
    settings = TelemetrySettings(exporter=exporter, sample_one_in=sample_one_in)
    memory = InMemorySpanExporter()
    exporters = (memory, ConsoleMetricExporter(out=io.StringIO()))
    telemetry = Telemetry(settings, "b1", core, exporters=exporters)
    sent = packets(ACK | PUSH, PAYLOAD)
    spent = 0.0
    with udp_socket(HOST, 0) as relays, udp_socket(HOST, 0) as peers:
        path = DataPath(
            core,
            fabric=rig.receiver,
            relays=relays,
            peers=peers,
            fabric_return=(HOST, 9),
            keyring=Keyring([PeerKey(id=1, secret=NO_SECRET)]),
            member=MemberId("b1"),
            incarnation=1,
            clock=lambda: 3_000,
            telemetry=telemetry,
            sample_one_in=sample_one_in,
        )
        for number in range(rounds):
            start = number * BATCH % (len(sent) - BATCH)
            rig.fill(sent[start : start + BATCH])
            began = time.process_time()
            path._on_fabric()
            spent += time.process_time() - began
            memory.clear()
        path.stop()
    telemetry.stop()
    return spent / (rounds * BATCH) * 1e6


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2_000)
    rounds = parser.parse_args().rounds
    off = measure(rounds, TraceExporter.NONE, 1_000)
    print(f"tracing_off {off:.2f} us/packet")
    for sample_one_in in (1_000, 100, 10):
        spent = measure(rounds, TraceExporter.CONSOLE, sample_one_in)
        print(f"tracing_one_in_{sample_one_in} {spent:.2f} us/packet")


if __name__ == "__main__":
    main()
