"""Long seeded runs with injected faults of all kinds and checked invariants.

``python benchmarks/soak.py --seed 1 --steps 200000 [--seeds 20]``
"""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from stoattray_standin.soak_run import SoakResult, SoakRun

MAX_WORKERS = 5


def run_seed(seed: int, n_steps: int) -> SoakResult:
    """Run one seed for a number of steps."""
    return SoakRun(seed).run(n_steps)


def main() -> int:
    """Run all seeds and print their figures; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--steps", type=int, default=20_000)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    is_clean = True
    with ProcessPoolExecutor(min(MAX_WORKERS, len(seeds))) as pool:
        futures = {seed: pool.submit(run_seed, seed, arguments.steps) for seed in seeds}
        for seed, future in futures.items():
            try:
                result = future.result()
            except Exception as error:  # noqa: BLE001 - reported as a failed seed
                is_clean = False
                print(f"soak_seed_{seed} failed: {error!r}", flush=True)
                continue
            is_clean &= _print_result(result)
    return 0 if is_clean else 1


def _print_result(result: SoakResult) -> bool:
    """Print the figures of one seed; return whether all invariants held."""
    prefix = f"soak_seed_{result.seed}"
    print(f"{prefix}_steps {result.n_steps} steps")
    print(f"{prefix}_episodes {result.n_episodes} episodes")
    print(f"{prefix}_flows {result.n_flows} flows")
    print(f"{prefix}_packets {result.n_packets} packets")
    print(f"{prefix}_refused {result.n_refused} flows")
    print(f"{prefix}_broken {len(result.broken_flows)} flows")
    print(f"{prefix}_broken_allowed {result.n_broken_expected} flows")
    print(f"{prefix}_content_at_two_servers {result.n_content_at_two_servers} packets")
    print(f"{prefix}_reverts {result.n_config_reverts} balancers")
    print(
        f"# {prefix} faults: {dict(sorted(result.n_injected_by_fault.items()))}",
        flush=True,
    )
    for line in result.broken_flows[:5]:
        print(f"# {line}")
    return not (
        result.broken_flows
        or result.n_content_at_two_servers
        or result.n_config_reverts
    )


if __name__ == "__main__":
    sys.exit(main())
