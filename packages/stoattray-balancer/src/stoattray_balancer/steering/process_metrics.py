"""What one balancer process counts, as text."""

from collections.abc import Iterator

from stoattray_balancer.steering.datagrams import DatagramPath
from stoattray_balancer.steering.metrics import counter_lines, gauge_line
from stoattray_balancer.steering.store_reader import StoreReader
from stoattray_core._identifiers import Millis
from stoattray_core.steering.steering import Steering


def metrics_text(
    steering: Steering, datagrams: DatagramPath, reader: StoreReader, now: Millis
) -> str:
    """Return all counters, gauges and histograms of a process.

    Parameters
    ----------
    steering : Steering
        Decisions and beliefs.
    datagrams : DatagramPath
        Packets by fate.
    reader : StoreReader
        Calls to the store.
    now : Millis
        Current time, for ages.
    """
    return "\n".join(_lines(steering, datagrams, reader, now)) + "\n"


def _lines(
    steering: Steering, datagrams: DatagramPath, reader: StoreReader, now: Millis
) -> Iterator[str]:
    yield from counter_lines("stoattray_packets", "fate", datagrams.counters)
    yield from counter_lines("stoattray_refused", "kind", datagrams.refusals)
    yield from counter_lines("stoattray_decisions", "decision", steering.counters)
    yield from steering.follow_ups.lines("stoattray_follow_up_ms")
    yield from reader.calls.lines("stoattray_store_calls")
    yield from gauge_line("stoattray_open_flows", steering.n_flows)
    yield from gauge_line(
        "stoattray_malformed_records_total", steering.beliefs.n_malformed
    )
    yield from gauge_line("stoattray_backend_servers", len(steering.servers))
    suspects = sum(steering.is_suspect(row, now) for row in steering.servers)
    yield from gauge_line("stoattray_suspect_backend_servers", suspects)
    live = len(steering.members.live(now))
    yield from gauge_line("stoattray_live_peers", live)
    yield from gauge_line("stoattray_store_revision", steering.replica.revision)
    version = steering.configuration.version if steering.configuration else None
    yield from gauge_line("stoattray_configuration_version", version)
    yield from gauge_line("stoattray_copy_age_ms", steering.confirmed_age(now))
    yield from gauge_line("stoattray_is_reader", int(reader.is_answered))
