"""Compares variants of server selection and admission on the pattern tests' loads.

Prints for each variant the share of servable requests that were served within the
target latency, on simulated fleets without a network; for the two patterns whose
callers retry, the mean worth of a request; for contention, the share of all requests of
a level:
``python -m benchmarks.patterns --seeds 3``.
"""

import argparse
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from statistics import mean
from unittest import mock

from tests.contended_fleet import BOARDS, MOVES, ContendedFleet, Kind, result
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
    peer_reports,
    response_times,
    server_selector,
    servers,
    steering,
)

EFFECTIVELY_INFINITE = 1e9

VARIANTS: dict[str, dict[tuple[object, str], float]] = {
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
    "no deferral after a start": {(admission, "RECOVERY_MILLIS"): 0},
    "deferral for 2 s": {(admission, "RECOVERY_MILLIS"): 2_000},
    "cut-offs of each balancer alone": {(cut_offs, "VALID_MILLIS"): -1},
    "cut-offs without the requests that servers refuse": {
        (cut_offs, "MAX_REFUSED_PRESSURE"): 0.0
    },
    "no deferral in contention": {
        (contention, "MIN_FORECAST_SHARE"): EFFECTIVELY_INFINITE
    },
    "deferral of whatever has time": {(contention, "MIN_FORECAST_SHARE"): -1.0},
    "requests pending for 1.5 s": {
        (steering, "PENDING_TARGETS"): steering.UNANSWERED_MILLIS
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
        contention=contention.ContentionSettings(),
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
def _patched(variant: dict[tuple[object, str], float]) -> Iterator[None]:
    with ExitStack() as stack:
        for (module, name), value in variant.items():
            stack.enter_context(mock.patch.object(module, name, value))
        yield


def main() -> None:
    """Print a table of variants and load patterns."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--variants", nargs="*", choices=VARIANTS, default=VARIANTS)
    arguments = parser.parse_args()
    print("| variant |", " | ".join(PATTERNS), "|")
    print("| --- |" + " --- |" * len(PATTERNS))
    for name in arguments.variants:
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
