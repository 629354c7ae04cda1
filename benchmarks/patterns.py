"""Compares variants of server selection and admission on the pattern tests' loads.

Prints for each variant the share of servable requests that were served within the
target latency, on simulated fleets without a network:
``python -m benchmarks.patterns --seeds 3``.
"""

import argparse
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from statistics import mean
from unittest import mock

from tests.simulated_fleet import DATA_CENTRES, TARGET_LATENCY_MILLIS, SimulatedFleet

from stoattray_core.steering import (
    admission,
    peer_reports,
    response_times,
    server_selector,
    servers,
)

EFFECTIVELY_INFINITE = 1e9

VARIANTS: dict[str, dict[tuple[object, str], float]] = {
    "built": {},
    "latest reported peer load": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 1e-3},
    "peer load averaged over 1 s": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 1_000},
    "peer load averaged over 5 s": {(peer_reports, "LOAD_SMOOTHING_MILLIS"): 5_000},
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
    },
    "admission limit at 0.8 of the target": {(admission, "MAX_LATENCY_RATIO"): 0.8},
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


PATTERNS: dict[str, Callable[[SimulatedFleet], None]] = {
    "usual": _set_usual_load,
    "near limit": _set_load_near_limit,
    "burst": _set_burst_load,
    "moved": _move_callers,
    "dark": _make_hosts_unresponsive,
    "slow": _slow_down_hosts,
    "grey": _fail_requests,
}


@contextmanager
def _patched(variant: dict[tuple[object, str], float]) -> Iterator[None]:
    with ExitStack() as stack:
        for (module, name), value in variant.items():
            stack.enter_context(mock.patch.object(module, name, value))
        yield


def on_time_share(pattern: Callable[[SimulatedFleet], None], seed: int) -> float:
    """Return the share of servable requests that were served within the target."""
    fleet = SimulatedFleet(n_hosts=18, n_balancers=6, seed=seed)
    fleet.set_load(0.6)
    fleet.run(1_000)
    pattern(fleet)
    outcomes = fleet.run(2_000)
    n_on_time = sum(
        outcome.is_served and outcome.millis <= TARGET_LATENCY_MILLIS
        for outcome in outcomes
    )
    return n_on_time / min(len(outcomes), 2_000 * fleet.capacity)


def main() -> None:
    """Print a table of variants and load patterns."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print("| variant |", " | ".join(PATTERNS), "|")
    print("| --- |" + " --- |" * len(PATTERNS))
    for name, variant in VARIANTS.items():
        with _patched(variant):
            shares = [
                mean(
                    on_time_share(pattern, seed)
                    for seed in range(1, arguments.seeds + 1)
                )
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
