"""A balancer freezes for less than two seconds while clients open flows.

Openings that the frozen balancer has not read are repeated by their clients, and open
by way of the others once it is out of rotation. It wakes, and the clients send the next
requests on their flows when all machines are in touch again.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.clients import Client, ClientFlow  # noqa: E402
from standins.deployment import (  # noqa: E402
    ROUTE_HOST,
    STABLE_SECONDS,
    deployment,
    has_trouble,
    route,
    service,
)
from standins.record import Record  # noqa: E402

ZONES = ["luzon-a", "luzon-a", "luzon-a"]
FREEZE_SECONDS = 1.9
N_FLOWS = 60
OPEN_GAP_SECONDS = 0.03
MARGIN_SECONDS = 1.0
DEADLINE_SECONDS = 3.0


async def converse(
    client: Client, number: int, may_go_on: asyncio.Event
) -> tuple[ClientFlow, int]:
    """Send a request, pause until all are in touch, send another; count the answers."""
    flow = client.flow((ROUTE_HOST, 443))
    if not await flow.open():
        return flow, 0
    first = await flow.request(f"f{number:02d}-r0", deadline=DEADLINE_SECONDS)
    if first is None:
        return flow, 0
    await may_go_on.wait()
    second = await flow.request(f"f{number:02d}-r1", deadline=DEADLINE_SECONDS)
    return flow, 1 + (second is not None)


async def play(record: Record) -> bool:
    """Play the case; return whether FLOW was broken."""
    async with deployment(record) as world:
        world.configure([route(443, "desk", "non_idempotent")], [service("desk")])
        world.add_balancers(ZONES)
        for _ in range(4):
            await world.add_host("desk", "luzon-a")
        await world.start()
        client = await world.add_client()
        await asyncio.sleep(STABLE_SECONDS)
        may_go_on = asyncio.Event()
        frozen = world.balancers[0]
        if has_trouble():
            record(f"{frozen.name} freezes")
            frozen.signal(signal.SIGSTOP)
        wakes_at = record.elapsed + FREEZE_SECONDS
        talks = []
        for number in range(N_FLOWS):
            talks.append(asyncio.create_task(converse(client, number, may_go_on)))
            await asyncio.sleep(OPEN_GAP_SECONDS)
        await asyncio.sleep(max(0.0, wakes_at - record.elapsed))
        frozen.signal(signal.SIGCONT)
        record(f"{frozen.name} runs")
        await asyncio.sleep(STABLE_SECONDS + MARGIN_SECONDS)
        in_touch_at = record.elapsed
        record("all machines are in touch; the clients go on")
        may_go_on.set()
        results = await asyncio.gather(*talks)
    n_broken = 0
    for flow, n_answered in results:
        if flow.state == "reset" and n_answered == 1:
            n_broken += flow.reset_at > in_touch_at
            record(f"{flow.name}: opened at {flow.opened_at:.3f}, reset")
    n_open = sum(flow.opened_at is not None for flow, _ in results)
    n_whole = sum(n_answered == 2 for _, n_answered in results)
    record(f"{n_open} of {N_FLOWS} flows opened, {n_whole} were served whole")
    record(f"{n_broken} open flows were reset while all machines were in touch")
    return n_broken > 0


if __name__ == "__main__":
    run_case(FOLDER, play)
