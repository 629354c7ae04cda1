"""Balancers are restarted in turn as in a planned upgrade."""

import asyncio
import signal
import sys
from itertools import cycle
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins-2"))

from fleet import Balancer  # noqa: E402
from run_case import run_case  # noqa: E402
from world import Pauses, World, has_trouble  # noqa: E402

PER_SECOND = {"zone-a": 20.0, "zone-b": 80.0, "zone-c": 80.0}
PAUSES = Pauses(4, 0.2, 0.6)
"""Callers keep a flow open for four requests, with pauses between them."""

SECONDS = 90.0
GAP_SECONDS = 2.0


def prepare() -> World:
    """Return the deployment, with hosts and a route."""
    world = World()
    world.add_lookup_hosts(0.005)
    return world


async def play(world: World) -> list[str]:
    """Restart one balancer after the other, and return the resets that break FLOW."""
    for zone, per_second in PER_SECOND.items():
        world.drive(zone, 1, per_second, PAUSES)
    await asyncio.sleep(4)
    if has_trouble():
        for balancer in cycle(world.balancers):
            if world.now >= SECONDS:
                break
            await restart(world, balancer)
    await asyncio.sleep(max(2.0, SECONDS - world.now))
    return broken(world)


async def restart(world: World, balancer: Balancer) -> None:
    """Stop a balancer with SIGTERM, start it again, and wait until it is used."""
    world.note(f"SIGTERM to {balancer.name}")
    balancer.send(signal.SIGTERM)
    ends_at = world.now + world.bounds["grace_period_s"]
    while balancer.is_running:
        if world.now > ends_at:
            balancer.send(signal.SIGKILL)
        await asyncio.sleep(0.02)
    world.note(f"{balancer.name} has ended")
    await asyncio.sleep(0.5)
    world.start_balancer(balancer)
    while not world.routers.is_in_rotation(balancer):
        await asyncio.sleep(0.02)
    world.note(f"{balancer.name} is in rotation again")
    await asyncio.sleep(GAP_SECONDS)


def broken(world: World) -> list[str]:
    """Return the open flows whose caller got a reset that their host didn't send."""
    found = []
    for flow in world.flows:
        opened = world.opened_at_host.get(flow.key, [])
        if flow.reset_at is None or not opened:
            continue
        opened_at, host = opened[0]
        if flow.key in host.resets:
            continue
        senders = [h.name for h in world.hosts.values() if flow.key in h.resets]
        found.append(
            f"{flow.reset_at:.3f} caller {flow.zone}:{flow.key[1]} gets a reset of "
            f"{','.join(senders) or 'a balancer'}; its flow is open at {host.name} "
            f"since {opened_at:.3f}"
        )
    return found


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, prepare, play))
