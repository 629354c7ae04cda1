"""Writes docs/CAPACITY.md from figures that were measured.

``python benchmarks/capacity.py benchmarks/figures/*.txt > docs/CAPACITY.md``
reads lines of ``name value unit`` as the other benchmarks print them.
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

GROUP_NODES = 233
GROUP_SERVICES = 244
N_SHARDS = 251
BUCKET_BYTES = 9
READERS_PER_DATA_CENTRE = 2
PUSH_FAN_OUT = 4
PLATFORM_READS = 2_000
PLATFORM_WRITES = 300
CALLS_PER_CHANGE = 3
IDLE_LIMIT_SECONDS = 300
REST_TICKS_PER_SECOND = 10
N_PROBERS = 3
PROBE_SECONDS = 2.0

LIMIT_PROCESSOR = 1.1
LIMIT_MEMORY = 256.0
LIMIT_BYTES = 14_000.0
LIMIT_IN_FORCE = 12.0


class Figures:
    """Measured values by name."""

    def __init__(self, paths: list[Path]) -> None:
        self._values: dict[str, float] = {}
        for path in paths:
            for line in path.read_text().splitlines():
                parts = line.split()
                if len(parts) == 3 and not line.startswith("#"):
                    self._values[parts[0]] = float(parts[1])

    def __getitem__(self, name: str) -> float:
        """Return one figure; a missing one is an error, never a guess."""
        return self._values[name]

    def largest_members(self) -> int:
        """Return the most balancers that ran as cores in one process."""
        pattern = re.compile(r"cores_(\d+)_members_death_sent")
        matches = (pattern.fullmatch(name) for name in self._values)
        return max(int(match.group(1)) for match in matches if match)

    def slope(self, first: str, last: str, distance: float) -> float:
        """Return the growth per unit between two figures."""
        return (self[last] - self[first]) / distance


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the page."""

    mechanism: str
    state: str
    messages: float
    processor: float
    memory: float
    source: str


def control_rows(figures: Figures) -> list[Row]:
    """Return what each mechanism costs a node of a group at full size."""
    per_service = figures.slope(
        "cores_4_services_memory", "cores_244_services_memory", 240
    )
    tick_share = figures["cores_244_services_tick"] * REST_TICKS_PER_SECOND / 1e4
    probes = N_HOSTS / N_DATA_CENTRES * N_PROBERS / PROBE_SECONDS / GROUP_NODES
    probe_share = probes * figures["probe_processor"] / 10
    largest = figures.largest_members()
    rest_bytes = figures[f"cores_{largest}_members_rest_sent"]
    member_share = figures.slope(
        "cores_8_members_rest_processor",
        f"cores_{largest}_members_rest_processor",
        largest - 8,
    )
    entry = figures["core_entry_size"]
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_processor = figures["core_change_processor"] / 1_000 * changes * 100
    drains = changes * figures[f"cores_{largest}_members_drain_sent"]
    deaths = FAILURES_PER_DAY / N_DATA_CENTRES
    joins = (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / N_DATA_CENTRES
    join_bytes = GROUP_SERVICES * N_SHARDS * BUCKET_BYTES
    join_share = joins * join_bytes / GROUP_NODES / SECONDS_PER_DAY
    member_bytes = joins * 4 * figures["message_member"] * 24 / SECONDS_PER_DAY
    return [
        Row(
            "process, libraries, platform reads; today's size less the lines below",
            "none",
            0.0,
            _process_share(figures),
            figures["control_4_balancers_memory"],
            "control.py processes",
        ),
        Row(
            f"health: {probes:.1f} probes a second",
            f"{N_HOSTS // N_DATA_CENTRES} hosts, 3 probers each",
            0.0,
            probe_share,
            0.1,
            "control.py cores, probe_processor",
        ),
        Row(
            "bucket tables of 244 services (each tick looks at what is due)",
            f"{GROUP_SERVICES} x {N_SHARDS} buckets",
            0.0,
            tick_share,
            GROUP_SERVICES * per_service,
            "control.py cores, slope over services",
        ),
        Row(
            "membership: one ping each 500 ms, gossip",
            f"{GROUP_NODES} members",
            rest_bytes,
            member_share * GROUP_NODES,
            GROUP_NODES * 0.001,
            f"control.py cores, slope from 8 to {largest} members",
        ),
        Row(
            "configuration: push to 4, deltas",
            f"{GROUP_SERVICES} entries of {entry:.0f} bytes",
            changes * PUSH_FAN_OUT * (entry + 130),
            change_processor,
            2 * GROUP_SERVICES * entry / 1e6,
            "control.py cores, change_processor",
        ),
        Row(
            "moves: every change drains one of a service's servers",
            "records of flows that open while a bucket moves",
            drains,
            0.0,
            _record_megabytes(figures),
            f"control.py cores, drain_sent at {largest} members",
        ),
        Row(
            f"joins: {joins:.0f} a day and group, each owner sends its buckets",
            f"{join_bytes / 1e3:.0f} kB for each join",
            join_share + member_bytes,
            0.0,
            0.0,
            "arithmetic, 9 bytes a bucket",
        ),
        Row(
            f"take-over: {deaths:.0f} deaths a day and group",
            f"{N_SHARDS / GROUP_NODES:.1f} shards an owner",
            deaths * GROUP_SERVICES * BUCKET_BYTES * 2 / SECONDS_PER_DAY,
            0.0,
            0.0,
            "arithmetic, gather and announcement",
        ),
    ]


def _process_share(figures: Figures) -> float:
    """Return what a process without probes takes beside its tables."""
    whole = figures["control_4_balancers_rest_processor"]
    tables = figures["cores_4_services_tick"] * REST_TICKS_PER_SECOND / 1e4
    return whole - tables


def _record_megabytes(figures: Figures) -> float:
    """Return memory for flows that open within an idle limit in one moving ninth."""
    new_per_node = NEW_FLOWS_PER_SECOND / N_NODES
    n_records = new_per_node * IDLE_LIMIT_SECONDS / 9
    return n_records * figures["datapath_tracked_flow_memory"] / 1e6


def platform_lines(figures: Figures) -> list[str]:
    """Return the platform's load at full size."""
    readers = N_DATA_CENTRES * READERS_PER_DATA_CENTRE
    per_reader = figures["control_4_balancers_rest_platform_calls"] / 4
    reads = readers * per_reader
    writes = CHANGES_PER_DAY / SECONDS_PER_DAY
    return [
        f"| reads and watches | {readers} readers x {per_reader:.2f} calls/s "
        f"= {reads:.1f} calls/s | {PLATFORM_READS} |",
        f"| reads for changes | {writes * CALLS_PER_CHANGE:.3f} calls/s | "
        f"{PLATFORM_READS} |",
        f"| writes | {writes:.3f} calls/s | {PLATFORM_WRITES} |",
    ]


def build_page(figures: Figures) -> str:
    """Return the page in Markdown."""
    rows = control_rows(figures)
    total_bytes = sum(row.messages for row in rows)
    total_processor = sum(row.processor for row in rows)
    total_memory = sum(row.memory for row in rows)
    largest = figures.largest_members()
    lines = [
        "# Capacity",
        "",
        "Written by `python benchmarks/capacity.py benchmarks/figures/*.txt` from",
        "figures that the other benchmarks measured on one machine; to make the page",
        "again, run those and this. Nothing below was measured at full size.",
        "",
        "## The size",
        "",
        f"{N_NODES} nodes before {N_HOSTS} hosts behind {N_ADDRESSES} addresses,",
        f"{N_FLOWS / 1e6:.0f} million open flows, {NEW_FLOWS_PER_SECOND} new ones a",
        f"second, {N_DATA_CENTRES} data centres in 3 regions,",
        f"{CHANGES_PER_DAY} changes, {FAILURES_PER_DAY} failures and",
        f"{REPLACEMENTS_PER_DAY} replacements a day.",
        "",
        "The mechanisms below work within a group: balancers that know each other,",
        "get packets of the same flows and own shards together. Today each",
        "organisation's 4 to 5 balancers are one group. At full size there is a group",
        f"in each data centre: {GROUP_NODES} nodes, {GROUP_SERVICES} services of 9",
        f"hosts, {N_FLOWS / N_NODES:.0f} flows and",
        f"{NEW_FLOWS_PER_SECOND / N_NODES:.0f} new flows a second per node. Groups",
        "share only the platform, so regions that lose each other change nothing",
        "but that.",
        "",
        "## Control, per node",
        "",
        "| mechanism | state | messages, bytes/s sent | processor, % of a core | "
        "memory, MB | from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {row.mechanism} | {row.state} | {row.messages:.1f} | "
        f"{row.processor:.3f} | {row.memory:.1f} | {row.source} |"
        for row in rows
    ]
    lines += [
        f"| **sum** | | **{total_bytes:.0f}** | **{total_processor:.2f}** | "
        f"**{total_memory:.0f}** | |",
        f"| **limit** | | {LIMIT_BYTES:.0f} | {LIMIT_PROCESSOR} | "
        f"{LIMIT_MEMORY:.0f} | |",
        "",
        _verdict(total_bytes, total_processor, total_memory),
        "",
        "## Forwarding, per node",
        "",
        "| what | figure |",
        "| --- | --- |",
        f"| state per open flow at rest | "
        f"{figures['datapath_settled_flow_memory']:.0f} bytes |",
        f"| state per flow of a moving bucket, at its owner | "
        f"{figures['datapath_tracked_flow_memory']:.0f} bytes |",
        f"| processor time per packet, settled | "
        f"{figures['datapath_established']:.2f} us |",
        f"| processor time per packet, tracked, at the owner | "
        f"{figures['datapath_tracked_established']:.2f} us |",
        f"| packets a second that one process forwards | "
        f"{figures['datapath_established_rate']:.0f} |",
        "",
        "## Delays",
        "",
        "| what | today (4 processes) | measured at most | limit |",
        "| --- | --- | --- | --- |",
        f"| change in force on all, from acceptance | "
        f"{figures['control_4_balancers_in_force_max']:.2f} s at most of 20 | "
        f"{figures[f'cores_{largest}_members_in_force']:.2f} s with {largest} cores "
        "in memory, "
        f"{figures['control_32_balancers_in_force_max']:.2f} s with 32 processes | "
        f"{LIMIT_IN_FORCE:.0f} s |",
        "| a death known on all | "
        f"{figures['control_4_balancers_death_known']:.1f} s | "
        f"{figures[f'cores_{largest}_members_death_known']:.1f} s with {largest} "
        "cores in memory, "
        f"{figures['control_32_balancers_death_known']:.1f} s with 32 processes | "
        f"{LIMIT_IN_FORCE:.0f} s |",
        "",
        "## The platform, all nodes together",
        "",
        "| what | load | its rate |",
        "| --- | --- | --- |",
        *platform_lines(figures),
        "",
        "## Where it breaks first",
        "",
        *_breaks(figures),
        "",
    ]
    return "\n".join(lines)


def _verdict(n_bytes: float, processor: float, memory: float) -> str:
    found = []
    for name, value, limit in (
        ("messages", n_bytes, LIMIT_BYTES),
        ("processor", processor, LIMIT_PROCESSOR),
        ("memory", memory, LIMIT_MEMORY),
    ):
        state = "within" if value <= limit else "**over**"
        found.append(f"{name} {state} the limit ({value / limit:.2f} of it)")
    return "; ".join(found).capitalize() + "."


def _breaks(figures: Figures) -> list[str]:
    nodes_per_shard = GROUP_NODES / N_SHARDS
    join_seconds = GROUP_SERVICES * N_SHARDS * BUCKET_BYTES / LIMIT_BYTES
    largest = figures.largest_members()
    burst = figures[f"cores_{largest}_members_drain_sent"] * 100 / 60
    small = figures["control_4_balancers_rest_processor"]
    large = figures["control_32_balancers_rest_processor"]
    return [
        "* **Processor time for control.** The sum is over its limit. The line for",
        "  membership is an upper bound: its slope includes the in-memory network and",
        "  a hundred ticks a second, where a process at rest has ten. Real processes",
        f"  took {small:.2f} % with 4 balancers and {large:.2f} % with 32. The process",
        "  itself is the other large line: interpreter, event loop, sealing and",
        "  platform reads. Next: measure groups of over 32 processes on more machines.",
        f"* **Joins.** A joining node is sent all buckets, "
        f"{GROUP_SERVICES * N_SHARDS * BUCKET_BYTES / 1e3:.0f} kB; at the limit of "
        f"{LIMIT_BYTES:.0f} bytes/s that is {join_seconds:.0f} s. It is sent at once",
        "  today, by all owners together, and is not paced. To be built: send only",
        "  buckets that differ from the placement table of their revision.",
        f"* **A burst.** 100 changes within a minute that each drain a server cost "
        f"{burst:.0f} bytes/s on each node if spread over that minute.",
        f"* **Shards.** {N_SHARDS} shards over {GROUP_NODES} nodes give "
        f"{1 / nodes_per_shard:.2f} to a node; some have several and many none.",
        "  Larger groups need more shards.",
        "* **A busy service with the balance policy** is decided by one node while",
        "  its flows are counted, which it stops above 200 openings a second.",
        "* **A rack or switch** takes several owners at once. Records whose owner and",
        "  successor both die are lost, and the flows that opened in moving buckets",
        "  since the move began then break. Successors are not yet chosen from",
        "  another rack.",
        "* **Groups** are made by settings alone (seeds). `stoattrayctl wait` asks a",
        "  balancer of each group when `--server` is given once for each.",
    ]


def main() -> None:
    """Print the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("figures", nargs="+", type=Path)
    print(build_page(Figures(parser.parse_args().figures)), end="")


if __name__ == "__main__":
    main()
