"""Processor time of tracing per forwarded packet, by sampling rate.

Runs the receiving side of the data path on real sockets; spans are exported to memory.
"""

import argparse
import io
import time

from opentelemetry.sdk.metrics.export import ConsoleMetricExporter
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from benchmarks.datapath import (
    BATCH_SIZE,
    HOST,
    PAYLOAD,
    LoopbackSockets,
    build_core,
    build_packets,
)
from stoattray_balancer._datapath import Datapath, udp_socket
from stoattray_balancer._encryption import Keyring, PeerKey
from stoattray_balancer._telemetry import Telemetry
from stoattray_balancer.settings import TelemetrySettings, TraceExporter
from stoattray_core import CoreSettings, MemberId
from stoattray_standin.packets import ACK, PUSH

ZERO_SECRET = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="


def measure(n_rounds: int, exporter: TraceExporter, sample_one_in: int) -> float:
    """Return microseconds of processor time per packet."""
    sockets = LoopbackSockets()
    core = build_core(sockets.ports, CoreSettings())
    settings = TelemetrySettings(exporter=exporter, sample_one_in=sample_one_in)
    span_exporter = InMemorySpanExporter()
    exporters = (span_exporter, ConsoleMetricExporter(out=io.StringIO()))
    telemetry = Telemetry(settings, "b1", core, exporters=exporters)
    packets = build_packets(ACK | PUSH, PAYLOAD)
    processor_seconds = 0.0
    with udp_socket(HOST, 0) as relay_socket, udp_socket(HOST, 0) as peer_socket:
        datapath = Datapath(
            core,
            fabric_socket=sockets.receiver,
            relay_socket=relay_socket,
            peer_socket=peer_socket,
            fabric_return=(HOST, 9),
            keyring=Keyring([PeerKey(id=1, secret=ZERO_SECRET)]),
            member=MemberId("b1"),
            incarnation=1,
            clock=lambda: 3_000,
            telemetry=telemetry,
            sample_one_in=sample_one_in,
        )
        for number in range(n_rounds):
            start = number * BATCH_SIZE % (len(packets) - BATCH_SIZE)
            sockets.send_batch(packets[start : start + BATCH_SIZE])
            started_at = time.process_time()
            datapath._receive_from_fabric()
            processor_seconds += time.process_time() - started_at
            span_exporter.clear()
        datapath.stop()
    telemetry.stop()
    return processor_seconds / (n_rounds * BATCH_SIZE) * 1e6


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2_000)
    n_rounds = parser.parse_args().rounds
    off_micros = measure(n_rounds, TraceExporter.NONE, 1_000)
    print(f"tracing_off {off_micros:.2f} us/packet")
    for sample_one_in in (1_000, 100, 10):
        traced_micros = measure(n_rounds, TraceExporter.CONSOLE, sample_one_in)
        print(f"tracing_one_in_{sample_one_in} {traced_micros:.2f} us/packet")


if __name__ == "__main__":
    main()
