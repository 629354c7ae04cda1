"""Ways of choosing and refusing, weighed on the loads of the pattern tests.

Prints for each way the share of openings that were served within the aim, on fleets
without network: ``python -m benchmarks.patterns --seeds 3``.
"""

import argparse
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from statistics import mean
from unittest import mock

from tests.load_builders import AIM, DATA_CENTRES, Load

from stoattray_core.steering import admission, pace, peer_reports, selection, servers

NEVER = 1e9

WAYS: dict[str, dict[tuple[object, str], float]] = {
    "built": {},
    "peers' load as told last": {(peer_reports, "SMOOTHING_MILLIS"): 1e-3},
    "peers' load averaged over 1 s": {(peer_reports, "SMOOTHING_MILLIS"): 1_000},
    "peers' load averaged over 5 s": {(peer_reports, "SMOOTHING_MILLIS"): 5_000},
    "own load only": {(peer_reports, "MIN_REQUESTS"): NEVER},
    "peers' load at 0.3 in the choice": {(selection, "PEER_WEIGHT"): 0.3},
    "peers' load whole in the choice": {(selection, "PEER_WEIGHT"): 1.0},
    "better of two, one near and one far": {
        (servers, "N_NEAR_CANDIDATES"): 1,
        (servers, "N_FAR_CANDIDATES"): 1,
    },
    "own data centre and another alike": {(selection, "FAR_COST"): 0.0},
    "own data centre only": {(selection, "FAR_COST"): NEVER},
    "too fast against the mean": {
        (pace, "QUICK_SLOWER_SMOOTHING"): pace.BASE_SMOOTHING,
        (pace, "QUICK_QUEUED_SMOOTHING"): pace.BASE_SMOOTHING,
    },
    "nothing refused": {
        (admission, "AIM_SHARE"): NEVER,
        (admission, "URGENT_AIM_SHARE"): NEVER,
    },
    "refused from 0.8 of the aim on": {(admission, "AIM_SHARE"): 0.8},
}


def _usual(load: Load) -> None:
    load.set_load(0.6)


def _near_limit(load: Load) -> None:
    load.set_load(0.85)


def _burst(load: Load) -> None:
    load.set_load(1.3)


def _moved(load: Load) -> None:
    load.set_load(0.6, only=DATA_CENTRES[0])


def _dark(load: Load) -> None:
    for host in load.some_hosts(0.25):
        host.is_dark = True


def _slow(load: Load) -> None:
    for host in load.some_hosts(0.25):
        host.pace = 4.0


def _grey(load: Load) -> None:
    for host in load.some_hosts(0.25):
        host.fail_share = 0.7


PATTERNS: dict[str, Callable[[Load], None]] = {
    "usual": _usual,
    "near limit": _near_limit,
    "burst": _burst,
    "moved": _moved,
    "dark": _dark,
    "slow": _slow,
    "grey": _grey,
}


@contextmanager
def _changed(way: dict[tuple[object, str], float]) -> Iterator[None]:
    with ExitStack() as stack:
        for (module, name), value in way.items():
            stack.enter_context(mock.patch.object(module, name, value))
        yield


def share_in_time(pattern: Callable[[Load], None], seed: int) -> float:
    """Return what share of what could be served was served within the aim."""
    load = Load(n_hosts=18, n_balancers=6, seed=seed)
    load.set_load(0.6)
    load.play(1_000)
    pattern(load)
    outcomes = load.play(2_000)
    n_in_time = sum(o.is_served and o.millis <= AIM for o in outcomes)
    return n_in_time / min(len(outcomes), 2_000 * load.capacity)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print("| way |", " | ".join(PATTERNS), "|")
    print("| --- |" + " --- |" * len(PATTERNS))
    for name, way in WAYS.items():
        with _changed(way):
            shares = [
                mean(share_in_time(p, seed) for seed in range(1, arguments.seeds + 1))
                for p in PATTERNS.values()
            ]
        print(f"| {name} |", " | ".join(f"{s:.3f}" for s in shares), "|", flush=True)


if __name__ == "__main__":
    main()
