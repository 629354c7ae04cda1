"""The store cuts one balancer's waiting watches, and a host loses its record."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins-2"))

from run_case import run_case  # noqa: E402
from world import Pauses, World, has_trouble  # noqa: E402

CUT_OFF = "edge-zone-b-1"
PER_SECOND = {"zone-a": 40.0, "zone-b": 20.0, "zone-c": 20.0}
HEARTBEATS_MISSED_SECONDS = 3 * 1.2


def prepare() -> World:
    """Return the deployment, with hosts and a route."""
    world = World()
    world.add_lookup_hosts(0.005)
    return world


async def cut_watches(world: World) -> None:
    """Cut a waiting watch of one balancer after each one that was answered."""
    store = world.store
    while True:
        n_answered = store.n_watches_answered[CUT_OFF]
        while store.cut_watch(CUT_OFF) == 0:
            await asyncio.sleep(0.005)
        world.note(f"the store cuts the waiting watch of {CUT_OFF}")
        while store.n_watches_answered[CUT_OFF] == n_answered:
            await asyncio.sleep(0.005)


async def play(world: World) -> list[str]:
    """Let a host's record go, and return the openings that break DRAIN."""
    for zone, per_second in PER_SECOND.items():
        world.drive(zone, 1, per_second, Pauses(1, 0.0, 0.01))
    await asyncio.sleep(6)
    if has_trouble():
        world.spawn(cut_watches(world))
    host = next(iter(world.hosts.values()))
    host.write_record()
    host.stop_writing()
    host.is_listed = False
    world.note(f"{host.name} doesn't reach the store any more, and serves on")
    await asyncio.sleep(HEARTBEATS_MISSED_SECONDS)
    world.store.remove(host.key)
    gone_at = world.now
    world.note(f"the store removes the record of {host.name}")
    await asyncio.sleep(10)
    bound = world.bounds["drain_timeout_ms"] / 1_000
    late = []
    for at, flow in host.arrivals:
        zone = world.zone_of_caller(flow)
        # The balancer whose watches are cut is not in touch; it serves zone-b.
        if at > gone_at + bound and zone != "zone-b":
            late.append(
                f"{at:.3f} an opening of {zone}:{flow[1]} reaches {host.name} "
                f"{at - gone_at:.3f} s after its record was removed"
            )
    n_after = sum(at > gone_at for at, _ in host.arrivals)
    world.note(f"{n_after} openings reached {host.name} after that")
    return late


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, prepare, play))
