"""Faults and planned changes of a whole data centre."""

from typing import TYPE_CHECKING

import gevent
from proxy import LinkFault
from schedule import ScheduleEntry

if TYPE_CHECKING:
    from run import Run

LOST_RECORD_SECONDS = 1.5
"""Time after which the record of a server that stopped is removed."""

SUSPICION_SECONDS = 3.0
"""Time after a joint restart until openings reach its servers or others at once."""


def evacuate(run: "Run", entry: ScheduleEntry) -> None:
    """Evacuate a data centre for the duration of an entry."""
    assert run.evacuations is not None
    data_centre = _pick_data_centre(run, entry)
    run.evacuations.begin(data_centre)
    # The store may have accepted the request late; it still ends as scheduled.
    ends_at = entry.at + entry.seconds
    gevent.sleep(max(0.0, ends_at - run.monitor.elapsed_seconds))
    run.evacuations.end(data_centre)


def cut_off(run: "Run", entry: ScheduleEntry) -> None:
    """Separate balancers and backend servers of a data centre from all others."""
    data_centre = _pick_data_centre(run, entry)
    balancers = [b for b in run.fleet.balancers if b.data_centre == data_centre]
    proxies = [
        proxy
        for balancer in balancers
        for proxy in (balancer.store_proxy, balancer.peer_proxies)
    ]
    for balancer in balancers:
        balancer.is_cut_off = True
    run.shared.cut_off_data_centres.add(data_centre)
    for proxy in proxies:
        proxy.set_fault(LinkFault.SILENT)
    gevent.sleep(entry.seconds)
    for proxy in proxies:
        proxy.set_fault(LinkFault.NONE)
    run.shared.cut_off_data_centres.discard(data_centre)
    for balancer in balancers:
        balancer.is_cut_off = False


def restart_servers(run: "Run", entry: ScheduleEntry) -> None:
    """Stop the backend servers of a data centre and start as many cold ones.

    About half of them, selected by the bits of `entry.pick`, come back under their id
    and address, the others with new ones.
    """
    data_centre = _pick_data_centre(run, entry)
    servers = [
        server
        for server in run.shared.backend_servers.values()
        if server.data_centre == data_centre and server.draining_since is None
    ]
    run.outage_ends_at = max(
        run.outage_ends_at,
        run.monitor.elapsed_seconds + entry.seconds + SUSPICION_SECONDS,
    )
    for server in servers:
        server.stop(keeps_record=True)
        run.shared.forget_flows(server.name)
        gevent.spawn_later(LOST_RECORD_SECONDS, _remove_lost_record, run, server.name)
    gevent.sleep(entry.seconds)
    for index, server in enumerate(servers):
        if entry.pick >> index & 1:
            run.restart_backend_server(server)
        else:
            run.add_backend_server(server.service, data_centre=data_centre)


def _remove_lost_record(run: "Run", name: str) -> None:
    if name not in run.shared.backend_servers:
        run.store.delete(f"servers/{name}")


def _pick_data_centre(run: "Run", entry: ScheduleEntry) -> str:
    return run.data_centres[entry.pick % len(run.data_centres)]
