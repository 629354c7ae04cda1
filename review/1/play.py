"""Planned stops of balancers while the network has lost a few SYN+ACKs.

Clients keep flows open for several requests. The network loses one SYN+ACK for one flow
in five, so that the balancer offers the flow to a second host, at which it opens.
All balancers are then stopped and started in turn.
"""

import asyncio
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

N_FLOWS = 30
N_REQUESTS = 6
LOSS_EVERY = 5
PAUSE_SECONDS = 1.5
OPEN_GAP_SECONDS = 0.15
DEADLINE_SECONDS = 3.0
ROLL_GAP_SECONDS = 2.0


async def converse(client: Client, number: int, lost: set) -> tuple[ClientFlow, int]:
    """Send the requests of one flow; return it and how many were answered."""
    flow = client.flow((ROUTE_HOST, 443))
    if number % LOSS_EVERY == 0:
        lost.add(flow.key)
    if not await flow.open():
        return flow, 0
    n_answered = 0
    for n_request in range(N_REQUESTS):
        request_id = f"f{number:02d}-r{n_request}"
        answer = await flow.request(request_id, deadline=DEADLINE_SECONDS)
        if answer is None:
            return flow, n_answered
        n_answered += 1
        await asyncio.sleep(PAUSE_SECONDS)
    flow.close()
    return flow, n_answered


async def play(record: Record) -> bool:
    """Play the case; return whether FLOW was broken."""
    async with deployment(record) as world:
        world.configure([route(443, "desk", "non_idempotent")], [service("desk")])
        world.add_balancers(["luzon-a", "luzon-a", "luzon-a"])
        lost: set = set()
        for _ in range(4):
            host = await world.add_host("desk", "luzon-a")
            # The network loses the first SYN+ACK of a chosen flow, from whichever host.
            host.lose_syn_ack = lambda flow: flow in lost and not lost.discard(flow)
        await world.start()
        client = await world.add_client()
        await asyncio.sleep(STABLE_SECONDS)
        talks = []
        for number in range(N_FLOWS):
            talks.append(asyncio.create_task(converse(client, number, lost)))
            await asyncio.sleep(OPEN_GAP_SECONDS)
        if has_trouble():
            for balancer in world.balancers:
                record(f"SIGTERM to {balancer.name} (planned)")
                await balancer.stop()
                record(f"{balancer.name} has ended and starts again")
                await balancer.start()
                await asyncio.sleep(ROLL_GAP_SECONDS)
        results = await asyncio.gather(*talks)
    n_broken = 0
    for flow, n_answered in results:
        if flow.opened_at is not None and n_answered < N_REQUESTS:
            n_broken += flow.state == "reset"
            record(
                f"{flow.name}: opened at {flow.opened_at:.3f}, {n_answered} of "
                f"{N_REQUESTS} requests answered, now {flow.state}"
            )
    n_whole = sum(n_answered == N_REQUESTS for _, n_answered in results)
    record(f"{n_whole} of {N_FLOWS} flows were served whole")
    record(f"{n_broken} open flows were reset while all hosts were well")
    return n_broken > 0


if __name__ == "__main__":
    run_case(FOLDER, play)
