"""A host starts again under its id, and a write of its earlier start arrives late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins-2"))

from hosts import Host  # noqa: E402
from run_case import run_case  # noqa: E402
from world import Pauses, World, has_trouble  # noqa: E402

PER_SECOND = {"zone-a": 50.0, "zone-b": 25.0, "zone-c": 25.0}
WARM_UP_SECONDS = 2.0
WARM_UP = {"name": "lookup", "warmup_s": WARM_UP_SECONDS, "warmup_per_s": 1.0}
BOUNDS = {"warmup_overage": 1.5, "warmup_slack": 5}
LIMIT = 1.0 * 1.5 + 5
DOWN_SECONDS = 2.5
LATE_SECONDS = 0.3
N_RESTARTS = 4


def prepare() -> World:
    """Return the deployment, with hosts and a route."""
    world = World(bounds=BOUNDS)
    world.add_lookup_hosts(0.005, services=[WARM_UP])
    return world


async def play(world: World) -> list[str]:
    """Restart hosts one after the other, and return the seconds that break FAILBACK."""
    for zone, per_second in PER_SECOND.items():
        world.drive(zone, 1, per_second, Pauses(1, 0.0, 0.01))
    await asyncio.sleep(8)
    found = []
    for host in list(world.hosts.values())[:N_RESTARTS]:
        found += await restart(world, host)
    return found


async def restart(world: World, host: Host) -> list[str]:
    """Crash a host and start it again; return what breaks the rule."""
    late = host.record()
    world.note(
        f"{host.name} writes its record; the answer is lost, nothing is done yet"
    )
    await asyncio.sleep(0.1)
    host.stop()
    del world.hosts[host.name]
    world.note(f"{host.name} crashes")
    await asyncio.sleep(DOWN_SECONDS)
    again = world.add_host(
        host.service,
        host.zone,
        name=host.name,
        address=host.address,
        warm_up_seconds=WARM_UP_SECONDS,
    )
    again.work_seconds = host.work_seconds
    started_at = world.now
    again.register()
    world.note(f"{host.name} starts again, cold, and writes its record")
    await asyncio.sleep(LATE_SECONDS)
    if has_trouble():
        world.store.put(host.key, late)
        world.note(f"the store does the late write of the earlier start of {host.name}")
    await asyncio.sleep(started_at + WARM_UP_SECONDS - world.now)
    arrivals = [at for at, _ in again.arrivals]
    found = []
    most = 0
    for at in arrivals:
        n_openings = sum(at - 1.0 < other <= at for other in arrivals)
        most = max(most, n_openings)
        if n_openings > LIMIT:
            found.append(
                f"{at:.3f} {host.name} got {n_openings} openings within a second, "
                f"{at - started_at:.3f} s after its start; {LIMIT} are allowed"
            )
    world.note(f"{host.name} got at most {most} openings in a second while cold")
    await asyncio.sleep(8)
    return found


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, prepare, play))
