"""Writes the capacity page from measured figures.

``python benchmarks/capacity.py benchmarks/figures/*.txt --update docs/CAPACITY.md``
reads lines of ``name value unit``, as the other benchmarks print them, and replaces the
generated part of the page. The part on cookie placement is written by hand.
"""

import argparse
import re
from dataclasses import dataclass
from pathlib import Path

N_NODES = 2_100
N_HOSTS = 20_000
N_ADDRESSES = 2_200
N_FLOWS = 49_000_000
NEW_FLOWS_PER_SECOND = 120_000
N_DATA_CENTRES = 9
CHANGES_PER_DAY = 2_000
FAILURES_PER_DAY = 91
REPLACEMENTS_PER_DAY = 1_200
SECONDS_PER_DAY = 86_400

N_GROUP_NODES = 233
N_GROUP_SERVICES = 244
N_SHARDS = 251
BUCKET_BYTES = 9
READERS_PER_DATA_CENTRE = 2
PUSH_FAN_OUT = 4
MAX_PLATFORM_READS_PER_SECOND = 2_000
MAX_PLATFORM_WRITES_PER_SECOND = 300
READS_PER_CHANGE = 3
IDLE_LIMIT_SECONDS = 300
IDLE_TICKS_PER_SECOND = 10
N_PROBERS_PER_HOST = 3
PROBE_PERIOD_SECONDS = 2.0

WRITTEN_PART_HEADING = "## Cookie placement on the users' platform"

MAX_PROCESSOR_PERCENT = 1.1
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_SECOND = 14_000.0
MAX_IN_FORCE_SECONDS = 12.0


class Figures:
    """Measured figures by name.

    Parameters
    ----------
    paths : list of Path
        Files with lines of ``name value unit``.
    """

    def __init__(self, paths: list[Path]) -> None:
        self._values: dict[str, float] = {}
        for path in paths:
            for line in path.read_text().splitlines():
                fields = line.split()
                if len(fields) == 3 and not line.startswith("#"):
                    self._values[fields[0]] = float(fields[1])

    def __getitem__(self, name: str) -> float:
        """Return one figure; raise KeyError if it was not measured."""
        return self._values[name]

    def largest_group_size(self) -> int:
        """Return the largest number of balancers that ran as cores in one process."""
        pattern = re.compile(r"cores_(\d+)_members_death_sent")
        matches = (pattern.fullmatch(name) for name in self._values)
        return max(int(match.group(1)) for match in matches if match)

    def slope(self, first: str, last: str, distance: float) -> float:
        """Return the growth per unit of distance between two figures."""
        return (self[last] - self[first]) / distance


@dataclass(frozen=True, slots=True)
class MechanismCost:
    """Cost of one control plane mechanism per node, as a row of the page.

    Parameters
    ----------
    mechanism : str
        Name of the mechanism.
    state : str
        State that a node keeps for it.
    bytes_per_second : float
        Bytes of messages that a node sends.
    processor_percent : float
        Processor time in percent of a core.
    memory_megabytes : float
        Memory of its state.
    source : str
        Benchmark or calculation that gives the figures.
    """

    mechanism: str
    state: str
    bytes_per_second: float
    processor_percent: float
    memory_megabytes: float
    source: str


def mechanism_costs(figures: Figures) -> list[MechanismCost]:
    """Return the cost of each mechanism for a node in a full-size group."""
    megabytes_per_service = figures.slope(
        "cores_4_services_memory", "cores_244_services_memory", 240
    )
    tick_percent = figures["cores_244_services_tick"] * IDLE_TICKS_PER_SECOND / 1e4
    probes_per_second = (
        N_HOSTS
        / N_DATA_CENTRES
        * N_PROBERS_PER_HOST
        / PROBE_PERIOD_SECONDS
        / N_GROUP_NODES
    )
    probe_percent = probes_per_second * figures["probe_processor"] / 10
    n_largest = figures.largest_group_size()
    idle_bytes_per_second = figures[f"cores_{n_largest}_members_rest_sent"]
    percent_per_member = figures.slope(
        "cores_8_members_rest_processor",
        f"cores_{n_largest}_members_rest_processor",
        n_largest - 8,
    )
    entry_bytes = figures["core_entry_size"]
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_percent = figures["core_change_processor"] / 1_000 * changes_per_second * 100
    drain_bytes_per_second = (
        changes_per_second * figures[f"cores_{n_largest}_members_drain_sent"]
    )
    deaths_per_day = FAILURES_PER_DAY / N_DATA_CENTRES
    joins_per_day = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / N_DATA_CENTRES
    join_bytes = N_GROUP_SERVICES * N_SHARDS * BUCKET_BYTES
    join_bytes_per_second = joins_per_day * join_bytes / N_GROUP_NODES / SECONDS_PER_DAY
    member_bytes_per_second = (
        joins_per_day * 4 * figures["message_member"] * 24 / SECONDS_PER_DAY
    )
    return [
        MechanismCost(
            "process, libraries, platform reads; current size without the rows below",
            "none",
            0.0,
            _base_processor_percent(figures),
            figures["control_4_balancers_memory"],
            "control.py processes",
        ),
        MechanismCost(
            f"health: {probes_per_second:.1f} probes per second",
            f"{N_HOSTS // N_DATA_CENTRES} hosts, 3 probers each",
            0.0,
            probe_percent,
            0.1,
            "control.py cores, probe_processor",
        ),
        MechanismCost(
            "bucket tables of 244 services (each tick checks which work is due)",
            f"{N_GROUP_SERVICES} x {N_SHARDS} buckets",
            0.0,
            tick_percent,
            N_GROUP_SERVICES * megabytes_per_service,
            "control.py cores, slope over services",
        ),
        MechanismCost(
            "membership: one ping every 500 ms, gossip",
            f"{N_GROUP_NODES} members",
            idle_bytes_per_second,
            percent_per_member * N_GROUP_NODES,
            N_GROUP_NODES * 0.001,
            f"control.py cores, slope from 8 to {n_largest} members",
        ),
        MechanismCost(
            "configuration: push to 4, deltas",
            f"{N_GROUP_SERVICES} entries of {entry_bytes:.0f} bytes",
            changes_per_second * PUSH_FAN_OUT * (entry_bytes + 130),
            change_percent,
            2 * N_GROUP_SERVICES * entry_bytes / 1e6,
            "control.py cores, change_processor",
        ),
        MechanismCost(
            "moves: each change drains one server of a service",
            "records of flows that open while a bucket moves",
            drain_bytes_per_second,
            0.0,
            _flow_record_megabytes(figures),
            f"control.py cores, drain_sent at {n_largest} members",
        ),
        MechanismCost(
            f"joins: {joins_per_day:.0f} per day and group, owners send their buckets",
            f"{join_bytes / 1e3:.0f} kB per join",
            join_bytes_per_second + member_bytes_per_second,
            0.0,
            0.0,
            "calculation, 9 bytes per bucket",
        ),
        MechanismCost(
            f"takeover: {deaths_per_day:.0f} deaths per day and group",
            f"{N_SHARDS / N_GROUP_NODES:.1f} shards per owner",
            deaths_per_day * N_GROUP_SERVICES * BUCKET_BYTES * 2 / SECONDS_PER_DAY,
            0.0,
            0.0,
            "calculation, gather and announcement",
        ),
    ]


def _base_processor_percent(figures: Figures) -> float:
    """Return the processor use of a process without its tables and probes."""
    process_percent = figures["control_4_balancers_rest_processor"]
    tables_percent = figures["cores_4_services_tick"] * IDLE_TICKS_PER_SECOND / 1e4
    return process_percent - tables_percent


def _flow_record_megabytes(figures: Figures) -> float:
    """Return the memory for records of new flows while buckets move.

    Assumes that one ninth of the buckets move, and counts the flows that open in them
    within one idle limit.
    """
    new_flows_per_second = NEW_FLOWS_PER_SECOND / N_NODES
    n_records = new_flows_per_second * IDLE_LIMIT_SECONDS / 9
    return n_records * figures["datapath_tracked_flow_memory"] / 1e6


def platform_load_rows(figures: Figures) -> list[str]:
    """Return the rows of the load on the platform at full size."""
    n_readers = N_DATA_CENTRES * READERS_PER_DATA_CENTRE
    calls_per_reader = figures["control_4_balancers_rest_platform_calls"] / 4
    calls_per_second = n_readers * calls_per_reader
    writes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    return [
        f"| reads and watches | {n_readers} readers x {calls_per_reader:.2f} calls/s "
        f"= {calls_per_second:.1f} calls/s | {MAX_PLATFORM_READS_PER_SECOND} |",
        f"| reads for changes | {writes_per_second * READS_PER_CHANGE:.3f} calls/s | "
        f"{MAX_PLATFORM_READS_PER_SECOND} |",
        f"| writes | {writes_per_second:.3f} calls/s | "
        f"{MAX_PLATFORM_WRITES_PER_SECOND} |",
    ]


def build_page(figures: Figures) -> str:
    """Return the page in Markdown."""
    costs = mechanism_costs(figures)
    total_bytes_per_second = sum(cost.bytes_per_second for cost in costs)
    total_processor_percent = sum(cost.processor_percent for cost in costs)
    total_megabytes = sum(cost.memory_megabytes for cost in costs)
    n_largest = figures.largest_group_size()
    lines = [
        "# Capacity",
        "",
        "Generated by `python benchmarks/capacity.py benchmarks/figures/*.txt` from",
        "figures that the other benchmarks measured on one machine. To update it, run",
        "the benchmarks and this command. Nothing below was measured at full size.",
        "",
        "## Full size",
        "",
        f"{N_NODES} nodes in front of {N_HOSTS} hosts behind {N_ADDRESSES} addresses,",
        f"{N_FLOWS / 1e6:.0f} million open flows, {NEW_FLOWS_PER_SECOND} new flows per",
        f"second, {N_DATA_CENTRES} data centres in 3 regions,",
        f"{CHANGES_PER_DAY} changes, {FAILURES_PER_DAY} failures and",
        f"{REPLACEMENTS_PER_DAY} replacements per day.",
        "",
        "The mechanisms below work within a group of balancers, which exchange",
        "messages, receive packets of the same flows and share the shards. Currently,",
        "the 4 to 5 balancers of an organisation form one group. At full size there is",
        f"one per data centre: {N_GROUP_NODES} nodes, {N_GROUP_SERVICES} services",
        f"of 9 hosts, {N_FLOWS / N_NODES:.0f} flows and",
        f"{NEW_FLOWS_PER_SECOND / N_NODES:.0f} new flows per second and node. Groups",
        "share only the platform, so a partition between regions affects nothing",
        "else.",
        "",
        "## Control plane, per node",
        "",
        "| mechanism | state | messages, bytes/s sent | processor, % of a core | "
        "memory, MB | source |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {cost.mechanism} | {cost.state} | {cost.bytes_per_second:.1f} | "
        f"{cost.processor_percent:.3f} | {cost.memory_megabytes:.1f} | {cost.source} |"
        for cost in costs
    ]
    lines += [
        f"| **sum** | | **{total_bytes_per_second:.0f}** | "
        f"**{total_processor_percent:.2f}** | "
        f"**{total_megabytes:.0f}** | |",
        f"| **limit** | | {MAX_BYTES_PER_SECOND:.0f} | {MAX_PROCESSOR_PERCENT} | "
        f"{MAX_MEMORY_MB:.0f} | |",
        "",
        _limit_summary(
            total_bytes_per_second, total_processor_percent, total_megabytes
        ),
        "",
        "## Data plane, per node",
        "",
        "| metric | value |",
        "| --- | --- |",
        f"| state per open flow of a settled bucket | "
        f"{figures['datapath_settled_flow_memory']:.0f} bytes |",
        f"| state per flow of a moving bucket, at its owner | "
        f"{figures['datapath_tracked_flow_memory']:.0f} bytes |",
        f"| processor time per packet of a settled bucket | "
        f"{figures['datapath_established']:.2f} us |",
        f"| processor time per packet of a tracked bucket, at its owner | "
        f"{figures['datapath_tracked_established']:.2f} us |",
        f"| packets per second that one process forwards | "
        f"{figures['datapath_established_rate']:.0f} |",
        "",
        "## Delays",
        "",
        "| event | current size (4 processes) | largest size measured | limit |",
        "| --- | --- | --- | --- |",
        f"| change in force on all balancers, after its acceptance | "
        f"{figures['control_4_balancers_in_force_max']:.2f} s, maximum of 20 | "
        f"{figures[f'cores_{n_largest}_members_in_force']:.2f} s with {n_largest} "
        "cores in memory, "
        f"{figures['control_32_balancers_in_force_max']:.2f} s with 32 processes | "
        f"{MAX_IN_FORCE_SECONDS:.0f} s |",
        "| death of a balancer detected by all others | "
        f"{figures['control_4_balancers_death_known']:.1f} s | "
        f"{figures[f'cores_{n_largest}_members_death_known']:.1f} s with {n_largest} "
        "cores in memory, "
        f"{figures['control_32_balancers_death_known']:.1f} s with 32 processes | "
        f"{MAX_IN_FORCE_SECONDS:.0f} s |",
        "",
        "## Platform, all nodes together",
        "",
        "| calls | load | limit, calls/s |",
        "| --- | --- | --- |",
        *platform_load_rows(figures),
        "",
        "## Bottlenecks",
        "",
        *_bottleneck_lines(figures),
        "",
    ]
    return "\n".join(lines)


def _limit_summary(
    bytes_per_second: float, processor_percent: float, memory_megabytes: float
) -> str:
    """Return a sentence that compares the sums with their limits."""
    comparisons = []
    for name, value, limit in (
        ("messages", bytes_per_second, MAX_BYTES_PER_SECOND),
        ("processor", processor_percent, MAX_PROCESSOR_PERCENT),
        ("memory", memory_megabytes, MAX_MEMORY_MB),
    ):
        state = "within" if value <= limit else "**over**"
        comparisons.append(f"{name} {state} the limit ({value / limit:.2f} of it)")
    return "; ".join(comparisons).capitalize() + "."


def _bottleneck_lines(figures: Figures) -> list[str]:
    """Return the list of bottlenecks at full size."""
    nodes_per_shard = N_GROUP_NODES / N_SHARDS
    join_seconds = N_GROUP_SERVICES * N_SHARDS * BUCKET_BYTES / MAX_BYTES_PER_SECOND
    n_largest = figures.largest_group_size()
    burst_bytes_per_second = figures[f"cores_{n_largest}_members_drain_sent"] * 100 / 60
    small_group_percent = figures["control_4_balancers_rest_processor"]
    large_group_percent = figures["control_32_balancers_rest_processor"]
    return [
        "* **Control plane processor time.** The sum exceeds its limit. The row for",
        "  membership is an upper bound: its slope includes the in-memory network and",
        "  100 ticks per second, while an idle process has 10. Real processes used",
        f"  {small_group_percent:.2f} % with 4 balancers and "
        f"{large_group_percent:.2f} % with 32. The process itself",
        "  is the other large row: interpreter, event loop, encryption and platform",
        "  reads. Next: measure groups of over 32 processes on more machines.",
        f"* **Joins.** A joining node receives all buckets, "
        f"{N_GROUP_SERVICES * N_SHARDS * BUCKET_BYTES / 1e3:.0f} kB; at the limit of "
        f"{MAX_BYTES_PER_SECOND:.0f} bytes/s that takes {join_seconds:.0f} s.",
        "  Currently all owners send at once, without rate limit. Planned: send only",
        "  buckets that differ from the placement table of their revision.",
        f"* **Bursts.** 100 changes within a minute that each drain a server cost "
        f"{burst_bytes_per_second:.0f} bytes/s per node, averaged over that minute.",
        f"* **Shards.** {N_SHARDS} shards over {N_GROUP_NODES} nodes are "
        f"{1 / nodes_per_shard:.2f} per node; some own several and many own none.",
        "  Larger groups need more shards.",
        "* **Busy services with the balance policy.** One node places all new flows of",
        "  a service while its flows are counted; counting stops above 200 openings/s.",
        "* **Rack or switch failures** affect several owners at once. Records whose",
        "  owner and successor both die are lost, and flows that opened in moving",
        "  buckets since the move began then break. Successors are not yet placed in",
        "  another rack.",
        "* **Groups** are defined by settings alone (seeds). `stoattrayctl wait` asks",
        "  a balancer of each group if `--server` is given once for each.",
    ]


def keep_written_part(page: str, generated: str) -> str:
    """Return the generated part followed by the written part of an earlier page."""
    start = page.find(WRITTEN_PART_HEADING)
    return generated + ("\n" + page[start:] if start >= 0 else "")


def main() -> None:
    """Print the generated part of the capacity page, or replace it in a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("figures", nargs="+", type=Path)
    parser.add_argument(
        "--update", type=Path, help="page whose generated part is replaced"
    )
    arguments = parser.parse_args()
    generated = build_page(Figures(arguments.figures))
    if arguments.update is None:
        print(generated, end="")
        return
    page = arguments.update.read_text()
    arguments.update.write_text(keep_written_part(page, generated))


if __name__ == "__main__":
    main()
