"""Compares variants of server selection and admission on the pattern tests' loads.

Prints for each variant the share of servable requests that were served within the
target latency, on simulated fleets without a network; for the two patterns whose
callers retry, the mean worth of a request; for contention, the share of all requests of
a level:
``python -m benchmarks.patterns --seeds 3``.

``--far`` compares variants of the traffic between four data centres that are far from
each other: the share of openings in time, and the share that left.
"""

import argparse
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from functools import partial
from statistics import mean
from unittest import mock

from tests.contended_fleet import BOARDS, MOVES, ContendedFleet, Kind, result
from tests.far_fleet import (
    FarFleet,
    Figures,
    far_fleet,
    figures,
    move_callers,
    set_even_load,
    set_loads,
)
from tests.simulated_fleet import (
    DATA_CENTRES,
    TARGET_LATENCY_MILLIS,
    SimulatedFleet,
    Workload,
)

from stoattray_core.steering import (
    admission,
    contention,
    cut_offs,
    flow_placement,
    load_reports,
    locality,
    openings,
    peer_reports,
    remote_traffic,
    response_times,
    server_selector,
    servers,
    split_table,
)
from stoattray_core.steering.data_centre_speeds import DataCentreSpeeds
from stoattray_core.steering.locality import ServiceLoad
from stoattray_core.steering.remote_traffic import RemoteTraffic

EFFECTIVELY_INFINITE = 1e9

Variant = dict[tuple[object, str], object]

VARIANTS: dict[str, Variant] = {
    "built": {},
    "latest reported peer load": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 1e-3},
    "peer load averaged over 0.5 s": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 500},
    "peer load averaged over 2.5 s": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 2_500},
    "own load only": {(peer_reports, "MIN_SMOOTHED_REQUESTS"): EFFECTIVELY_INFINITE},
    "peer load weighted 0.3": {(server_selector, "PEER_LOAD_WEIGHT"): 0.3},
    "peer load weighted 1.0": {(server_selector, "PEER_LOAD_WEIGHT"): 1.0},
    "best of two, one local and one remote": {
        (servers, "N_LOCAL_CANDIDATES"): 1,
        (servers, "N_REMOTE_CANDIDATES"): 1,
    },
    "no preference for the own data centre": {(server_selector, "REMOTE_PENALTY"): 0.0},
    "own data centre only": {(server_selector, "REMOTE_PENALTY"): EFFECTIVELY_INFINITE},
    "fast answers compared with the mean": {
        (
            response_times,
            "SLOWER_SMOOTHING_FACTOR",
        ): response_times.BASELINE_SMOOTHING_FACTOR,
        (
            response_times,
            "QUEUED_SMOOTHING_FACTOR",
        ): response_times.BASELINE_SMOOTHING_FACTOR,
    },
    "no admission control": {
        (admission, "MAX_LATENCY_RATIO"): EFFECTIVELY_INFINITE,
        (admission, "PRIORITY_MAX_LATENCY_RATIO"): EFFECTIVELY_INFINITE,
        (admission, "MAX_PROBABILITY"): 0.0,
    },
    "refusals by expected time only": {(admission, "MAX_PROBABILITY"): 0.0},
    "refusals by probability only": {
        (admission, "MAX_LATENCY_RATIO"): EFFECTIVELY_INFINITE,
        (admission, "PRIORITY_MAX_LATENCY_RATIO"): EFFECTIVELY_INFINITE,
    },
    "refusals without a queue": {(admission, "MAX_UNREFUSED_PER_SLOT"): 0.0},
    "no deferral after a start": {(admission, "may_wait"): lambda route: False},
    "late openings in any free slot": {
        (flow_placement, "has_free_slots"): lambda rows, now: True
    },
    "expected time up to half as long": {
        (admission, "MAX_LATENCY_RATIO"): admission.MAX_LATENCY_RATIO / 2,
        (admission, "PRIORITY_MAX_LATENCY_RATIO"): (
            admission.PRIORITY_MAX_LATENCY_RATIO / 2
        ),
    },
    "expected time up to twice as long": {
        (admission, "MAX_LATENCY_RATIO"): admission.MAX_LATENCY_RATIO * 2,
        (admission, "PRIORITY_MAX_LATENCY_RATIO"): (
            admission.PRIORITY_MAX_LATENCY_RATIO * 2
        ),
    },
    "cut-offs of each balancer alone": {(cut_offs, "VALID_MILLIS"): -1},
    "cut-offs without the requests that servers refuse": {
        (cut_offs, "MAX_REFUSED_PRESSURE"): 0.0
    },
    "no deferral in contention": {
        (contention, "MIN_FORECAST_SHARE"): EFFECTIVELY_INFINITE
    },
    "deferral of whatever has time": {(contention, "MIN_FORECAST_SHARE"): -1.0},
    "requests pending for 1.5 s": {
        (openings, "PENDING_TARGETS"): openings.UNANSWERED_MILLIS
    },
}


def _set_usual_load(fleet: SimulatedFleet) -> None:
    fleet.set_load(0.6)


def _set_load_near_limit(fleet: SimulatedFleet) -> None:
    fleet.set_load(0.85)


def _set_burst_load(fleet: SimulatedFleet) -> None:
    fleet.set_load(1.3)


def _move_callers(fleet: SimulatedFleet) -> None:
    fleet.set_load(0.6, only=DATA_CENTRES[0])


def _make_hosts_unresponsive(fleet: SimulatedFleet) -> None:
    for host in fleet.sample_hosts(0.25):
        host.is_unresponsive = True


def _slow_down_hosts(fleet: SimulatedFleet) -> None:
    for host in fleet.sample_hosts(0.25):
        host.slowdown = 4.0


def _fail_requests(fleet: SimulatedFleet) -> None:
    for host in fleet.sample_hosts(0.25):
        host.failure_rate = 0.7


LOADS: dict[str, Callable[[SimulatedFleet], None]] = {
    "usual": _set_usual_load,
    "near limit": _set_load_near_limit,
    "burst": _set_burst_load,
    "moved": _move_callers,
    "dark": _make_hosts_unresponsive,
    "slow": _slow_down_hosts,
    "grey": _fail_requests,
}


BOOKING_WORKLOAD = Workload(
    service_millis=60, target_millis=250, n_slots=3, max_queue=12, n_retries=2
)
LATE_WORTH = 0.3
"""Worth of a request that is served late, relative to one that is served in time."""


def on_time_share(set_load: Callable[[SimulatedFleet], None], seed: int) -> float:
    """Return the share of servable requests that were served within the target."""
    fleet = SimulatedFleet(n_hosts=18, n_balancers=6, seed=seed)
    fleet.set_load(0.6)
    fleet.run(1_000)
    set_load(fleet)
    outcomes = fleet.run(2_000)
    n_on_time = sum(
        outcome.is_served and outcome.millis <= TARGET_LATENCY_MILLIS
        for outcome in outcomes
    )
    return n_on_time / min(len(outcomes), 2_000 * fleet.capacity)


def _worth(fleet: SimulatedFleet, start: int, end: int) -> float:
    """Return the mean worth of the requests that callers began in a time."""
    target = fleet.workload.target_millis
    worths = [
        outcome.is_served * (1.0 if outcome.millis <= target else LATE_WORTH)
        for outcome in fleet.outcomes
        if start <= outcome.opened_at < end
    ]
    return mean(worths)


def retried_burst_worth(seed: int) -> float:
    """Return the worth of a burst whose callers retry, and of the time after it."""
    fleet = SimulatedFleet(n_hosts=7, seed=seed, workload=BOOKING_WORKLOAD)
    fleet.set_load(0.5)
    fleet.run(2_000)
    start = fleet.now
    fleet.set_load(1.3)
    fleet.run(3_000)
    fleet.set_load(0.5)
    fleet.run(3_000)
    return _worth(fleet, start, start + 6_000)


def power_loss_worth(seed: int) -> float:
    """Return the worth of five seconds in which all balancers lose power for one.

    Routers move flows between the balancers while these return.
    """
    fleet = SimulatedFleet(n_hosts=7, seed=seed, workload=BOOKING_WORKLOAD)
    fleet.set_load(0.55)
    fleet.run(2_000)
    start = fleet.now
    fleet.power_off_balancers(down_millis=1_000, startup_millis=350)
    for millis in (1_500, 1_700, 1_900):
        fleet.schedule(millis, fleet.move_flows)
    fleet.run(5_000)
    return _worth(fleet, start, start + 5_000)


def contended_share(kind: Kind, seed: int) -> float:
    """Return the share of a kind in time, at 1.5 times the capacity for 2 s.

    Requests that callers may not repeat compete with those of a lower level.
    """
    fleet = ContendedFleet(
        n_hosts=4,
        n_balancers=4,
        seed=seed,
    )
    fleet.set_total_load(0.6)
    fleet.run_kinds(1_000)
    fleet.set_total_load(1.5)
    return result(fleet.run_kinds(2_000), kind).in_time


PATTERNS: dict[str, Callable[[int], float]] = {
    **{name: partial(on_time_share, load) for name, load in LOADS.items()},
    "retried burst": retried_burst_worth,
    "power loss": power_loss_worth,
    "higher level in contention": partial(contended_share, MOVES),
    "lower level in contention": partial(contended_share, BOARDS),
}


@contextmanager
def _patched(variant: Variant) -> Iterator[None]:
    with ExitStack() as stack:
        for (module, name), value in variant.items():
            stack.enter_context(mock.patch.object(module, name, value))
        yield


def _unlimited_split(
    loads: Mapping[str, ServiceLoad],
    excess_at: Collection[str],
    source: str,
    distances: Mapping[str, float],
) -> dict[str, float]:
    """Allow everything, so that only the local rule decides."""
    return dict.fromkeys(distances, EFFECTIVELY_INFINITE)


def _water_filling_split(
    loads: Mapping[str, ServiceLoad],
    excess_at: Collection[str],
    source: str,
    distances: Mapping[str, float],
) -> dict[str, float]:
    """Fill the data centres with the lowest load per slot first, to an equal level."""
    total = sum(loads[name].excess for name in excess_at if name in loads)
    if source not in excess_at or total <= 0.0:
        return {}
    free = {n: loads[n] for n in distances if n in loads and n not in excess_at}
    low, high = 0.0, locality.BEGIN_LOAD
    for _ in range(30):
        level = (low + high) / 2
        n_filled = sum(
            max(0.0, level * load.capacity - load.load) for load in free.values()
        )
        low, high = (level, high) if n_filled < total else (low, level)
    part = loads[source].excess / total
    slots = {n: part * (high * x.capacity - x.load) for n, x in free.items()}
    return {name: n_slots for name, n_slots in slots.items() if n_slots > 0.0}


def _min_cost_flow_split(
    loads: Mapping[str, ServiceLoad],
    excess_at: Collection[str],
    source: str,
    distances: Mapping[str, float],
) -> dict[str, float]:
    """Return a vertex of the transport problem, whose costs are all equal here."""
    spare = {n: x.spare for n, x in sorted(loads.items()) if n not in excess_at}
    slots: dict[str, float] = {}
    for name in sorted(name for name in excess_at if name in loads):
        remaining, slots = loads[name].excess, {}
        for destination, n_slots in spare.items():
            used = min(remaining, n_slots)
            spare[destination] -= used
            remaining -= used
            if used > 0.0:
                slots[destination] = used
        if name == source:
            break
    return slots if source in excess_at else {}


def _always_leave(
    local_millis: float, remote_millis: float, *_: object, **__: object
) -> locality.Reason | None:
    """Let an opening leave for any gain, whether it matters or not."""
    return locality.Reason.LATE if local_millis > remote_millis else None


def _current_service_time(
    traffic: RemoteTraffic, service: str, service_time: float | None
) -> float | None:
    """Use the service time of the moment, also during an excess."""
    return service_time


def _usual_service_time(
    _: DataCentreSpeeds, data_centre: str, service: str, usual_millis: float, now: int
) -> float:
    """Assume that no data centre is slow."""
    return usual_millis


FAR_VARIANTS: dict[str, Variant | None] = {
    "present constant": None,
    "built": {},
    "local rule alone": {
        (split_table, "split"): _unlimited_split,
        (locality, "BEGIN_LOAD"): -1.0,
        (locality, "END_LOAD"): -1.0,
    },
    "split alone": {(remote_traffic, "reason_to_leave"): _always_leave},
    "split by water-filling": {(split_table, "split"): _water_filling_split},
    "split by min-cost flow": {(split_table, "split"): _min_cost_flow_split},
    "service time of the moment": {
        (RemoteTraffic, "_calm_service_time"): _current_service_time
    },
    "no slow data centres": {(DataCentreSpeeds, "service_time"): _usual_service_time},
    "late from 0.25 of the target": {(locality, "LATE_SHARE"): 0.25},
    "late from 0.75 of the target": {(locality, "LATE_SHARE"): 0.75},
    "queue full from 3": {
        (locality, "NEARLY_FULL_QUEUE"): 3,
    },
    "queue full from 6": {
        (locality, "NEARLY_FULL_QUEUE"): 6,
    },
    "no trend": {(load_reports, "MAX_EXTRAPOLATION_MILLIS"): 0},
}
"""Variants of the traffic between far data centres; None leaves the part off."""


def _run_waves(
    fleet: FarFleet, loads: Sequence[float] = (0.15, 0.3, 0.5, 0.65)
) -> None:
    """Let each data centre go through all loads, out of phase with the others."""
    for turn in range(4):
        shifted = (*loads[turn:], *loads[:turn])
        set_loads(fleet, dict(zip(fleet.rates, shifted, strict=True)))
        fleet.run(750)


def _run_high_waves(fleet: FarFleet) -> None:
    _run_waves(fleet, (0.2, 0.5, 0.8, 0.95))


def _run_moved(fleet: FarFleet) -> None:
    move_callers(fleet, 0.6, 0.57)
    fleet.run(3_000)


def _run_moved_and_back(fleet: FarFleet) -> None:
    move_callers(fleet, 0.5, 0.5)
    fleet.run(1_500)
    set_even_load(fleet, 0.5)
    fleet.run(1_500)


def _run_burst(fleet: FarFleet) -> None:
    set_even_load(fleet, 1.3)
    fleet.run(3_000)


def _run_slow(fleet: FarFleet) -> None:
    for host in fleet.hosts.values():
        host.slowdown = 7.0 if host.data_centre == next(iter(fleet.rates)) else 1.0
    fleet.run(3_000)


def _run_cold(fleet: FarFleet) -> None:
    set_even_load(fleet, 0.6)
    for host in list(fleet.hosts.values())[::3]:
        host.slowdown = 1.6
        fleet.declare(fleet.entry(host, warmup_remaining_millis=3_000))
    fleet.run(3_000)


FAR_PATTERNS: dict[str, Callable[[FarFleet], None]] = {
    "waves": _run_waves,
    "high waves": _run_high_waves,
    "moved": _run_moved,
    "moved and back": _run_moved_and_back,
    "burst": _run_burst,
    "slow": _run_slow,
    "cold": _run_cold,
}


def far_figures(
    run: Callable[[FarFleet], None], seed: int, **options: object
) -> Figures:
    """Return the figures of a pattern after 1.5 s at a load of 0.4."""
    fleet = far_fleet(seed=seed, **options)
    set_even_load(fleet, 0.4)
    fleet.run(1_500)
    start = fleet.now
    run(fleet)
    outcomes = [outcome for outcome in fleet.outcomes if outcome.opened_at >= start]
    return figures(fleet, outcomes)


def _print_far(
    variants: Iterable[str], patterns: Iterable[str], n_seeds: int, **options: object
) -> None:
    print("| variant |", " | ".join(patterns), "|")
    print("| --- |" + " --- |" * len(list(patterns)))
    for name in variants:
        variant = FAR_VARIANTS[name]
        if variant is None:
            options = {**options, "price_millis": None}
        cells = []
        with _patched(variant or {}):
            for pattern in patterns:
                results = [
                    far_figures(FAR_PATTERNS[pattern], seed, **options)
                    for seed in range(1, n_seeds + 1)
                ]
                in_time = mean(result.in_time for result in results)
                left = mean(result.left for result in results)
                cells.append(f"{in_time:.3f}, {left:.3f}")
        options.pop("price_millis", None)
        print(f"| {name} |", " | ".join(cells), "|", flush=True)


def main() -> None:
    """Print a table of variants and load patterns."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--variants", nargs="*", choices=[*VARIANTS, *FAR_VARIANTS])
    parser.add_argument("--far", action="store_true")
    parser.add_argument("--patterns", nargs="*", choices=FAR_PATTERNS)
    parser.add_argument("--hosts", type=int, default=8, help="with --far")
    parser.add_argument("--balancers", type=int, default=4, help="with --far")
    arguments = parser.parse_args()
    if arguments.far:
        _print_far(
            arguments.variants or FAR_VARIANTS,
            arguments.patterns or FAR_PATTERNS,
            arguments.seeds,
            n_hosts=arguments.hosts,
            n_balancers=arguments.balancers,
        )
        return
    print("| variant |", " | ".join(PATTERNS), "|")
    print("| --- |" + " --- |" * len(PATTERNS))
    for name in arguments.variants or VARIANTS:
        with _patched(VARIANTS[name]):
            shares = [
                mean(pattern(seed) for seed in range(1, arguments.seeds + 1))
                for pattern in PATTERNS.values()
            ]
        print(
            f"| {name} |",
            " | ".join(f"{share:.3f}" for share in shares),
            "|",
            flush=True,
        )


if __name__ == "__main__":
    main()
