"""Metrics of a balancer process in the Prometheus text format."""

from collections.abc import Iterator

from stoattray_balancer.steering.metrics import (
    format_counter,
    format_gauge,
    format_pairs,
)
from stoattray_balancer.steering.packet_forwarder import PacketForwarder
from stoattray_balancer.steering.store_reader import StoreReader
from stoattray_core._identifiers import Millis
from stoattray_core.steering.steering import Steering


def format_metrics(
    steering: Steering,
    forwarder: PacketForwarder,
    store_reader: StoreReader,
    now: Millis,
) -> str:
    """Return all counters, gauges and histograms of the process.

    Parameters
    ----------
    steering : Steering
        Provides counters of decisions, and the number of flows, servers and peers.
    forwarder : PacketForwarder
        Provides counters of packets.
    store_reader : StoreReader
        Provides metrics of calls to the store.
    now : Millis
        Current time, for ages.
    """
    return "\n".join(_metric_lines(steering, forwarder, store_reader, now)) + "\n"


def _metric_lines(
    steering: Steering,
    forwarder: PacketForwarder,
    store_reader: StoreReader,
    now: Millis,
) -> Iterator[str]:
    yield from format_counter("stoattray_packets", "fate", forwarder.counters)
    yield from format_counter("stoattray_refused", "kind", forwarder.refusals)
    yield from format_counter("stoattray_decisions", "decision", steering.counters)
    remote_traffic = steering.remote_traffic
    if remote_traffic is not None:
        yield from format_pairs(
            "stoattray_openings_left", ("service", "reason"), remote_traffic.n_left
        )
        yield from format_counter(
            "stoattray_remote_bytes", "service", remote_traffic.n_bytes
        )
    yield from steering.follow_up_times.prometheus_lines("stoattray_follow_up_ms")
    yield from store_reader.calls.format_lines("stoattray_store_calls")
    yield from format_gauge("stoattray_open_flows", steering.n_flows)
    yield from format_gauge(
        "stoattray_malformed_records_total", steering.cluster_state.n_malformed
    )
    yield from format_gauge(
        "stoattray_failed_records_total", steering.cluster_state.n_failed
    )
    yield from format_gauge("stoattray_pinned_flows", len(steering.pinning.pins))
    yield from format_gauge("stoattray_backend_servers", len(steering.servers))
    n_suspects = sum(steering.is_suspect(row, now) for row in steering.servers)
    yield from format_gauge("stoattray_suspect_backend_servers", n_suspects)
    n_live = len(steering.members.live(now))
    yield from format_gauge("stoattray_live_peers", n_live)
    yield from format_gauge("stoattray_store_revision", steering.replica.revision)
    yield from format_gauge("stoattray_store_era", steering.replica.version.era)
    yield from format_gauge(
        "stoattray_store_restored_total", steering.cluster_state.n_restored
    )
    yield from format_gauge(
        "stoattray_evacuated_data_centres", len(steering.cluster_state.evacuations)
    )
    yield from format_counter(
        "stoattray_evacuation_changes",
        "state",
        steering.cluster_state.evacuation_changes,
    )
    version = steering.configuration.version if steering.configuration else None
    yield from format_gauge("stoattray_configuration_version", version)
    yield from format_gauge("stoattray_copy_age_ms", steering.confirmed_age(now))
    for service, (level, share) in sorted(steering.cut_offs().items()):
        labels = f'service="{service}",level="{level}"'
        yield f"stoattray_cut_off_share{{{labels}}} {share:.3f}"
    yield from format_gauge("stoattray_is_reader", int(store_reader.is_reading))
