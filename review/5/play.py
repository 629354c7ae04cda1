"""An outage of the store, and later a host whose entry the store removes.

After the outage the store is left alone until all machines are in touch again. Then
the beats of one host no longer reach the store, which removes its entry after three of
them. The host itself serves on, so it can tell which balancers still send it openings.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.clients import Client  # noqa: E402
from standins.deployment import (  # noqa: E402
    ROUTE_HOST,
    STABLE_SECONDS,
    Deployment,
    deployment,
    has_trouble,
    route,
    service,
)
from standins.record import Record  # noqa: E402

ZONES = ["centro-a"] * 6 + ["centro-b"] * 2
OUTAGE_SECONDS = 6.0
SETTLE_SECONDS = 8.0
DRAIN_SECONDS = 3.0
WATCHED_SECONDS = 8.0
REQUEST_GAP_SECONDS = 0.02
DEADLINE_SECONDS = 0.8


async def ask(client: Client, number: int) -> None:
    """Send one request on a flow of its own."""
    flow = client.flow((ROUTE_HOST, 443))
    if await flow.open():
        await flow.request(f"q{number}", deadline=DEADLINE_SECONDS)
        flow.close()


async def send_requests(client: Client) -> None:
    """Send requests forever."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(ask(client, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_GAP_SECONDS)


def name_of(world: Deployment, address: str) -> str:
    """Return the name of the balancer with an address."""
    return next(b.name for b in world.balancers if b.host == address)


async def play(record: Record) -> bool:
    """Play the case; return whether DRAIN was broken."""
    async with deployment(record) as world:
        world.configure([route(443, "lookup", "idempotent")], [service("lookup")])
        world.add_balancers(ZONES)
        for zone in ("centro-a", "centro-a", "centro-a", "centro-b", "centro-b"):
            await world.add_host("lookup", zone)
        await world.start()
        client = await world.add_client()
        traffic = asyncio.create_task(send_requests(client))
        await asyncio.sleep(STABLE_SECONDS)
        if has_trouble():
            world.store.set_down(True)
            record("the store is down")
            await asyncio.sleep(OUTAGE_SECONDS)
            world.store.set_down(False)
            record("the store is back")
        await asyncio.sleep(SETTLE_SECONDS)
        gone = world.hosts[0]
        gone.reaches_store, gone.removed_at = False, None
        record(f"the beats of {gone.name} no longer reach the store")
        while gone.removed_at is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_SECONDS + WATCHED_SECONDS)
        traffic.cancel()
        limit = gone.removed_at + DRAIN_SECONDS
        late = [row for row in gone.openings if row[0] > limit]
        for at, _, via in late:
            record(
                f"{at:.3f} an opening reaches {gone.name} from {name_of(world, via)}, "
                f"{at - gone.removed_at:.3f} s after its entry was removed"
            )
        n_before = sum(row[0] <= gone.removed_at for row in gone.openings)
        record(f"{n_before} openings reached {gone.name} while it had an entry")
        record(
            f"{len(late)} openings reached it later than {DRAIN_SECONDS:.0f} s after"
        )
        return bool(late)


if __name__ == "__main__":
    run_case(FOLDER, play)
