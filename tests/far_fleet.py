"""Simulated fleets whose data centres are far from each other, and their figures.

Workload of one of the users' deployments: requests of 47 ms with a target latency of
553 ms, two slots and a queue of eight at each host, callers that retry twice.
"""

from collections.abc import Mapping
from typing import NamedTuple

from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.locality import RemoteTrafficSettings
from tests.simulated_fleet import Layout, Outcome, SimulatedFleet, Workload
from tests.steering_builders import Balancer

FAR_DATA_CENTRES = ("luzon-a", "luzon-b", "luzon-c", "luzon-d")
FAR_ONE_WAY_MILLIS = 4
"""The extra round trip is 6 ms: openings to hosts in the own data centre take 1 ms."""

MIN_ROUND_TRIP_MILLIS = 4.0
FAR_WORKLOAD = Workload(
    service_millis=47, target_millis=553, n_retries=2, deadline_millis=4_422
)


class FarFleet(SimulatedFleet):
    """Fleet that also loses or delays messages between balancers.

    Attributes
    ----------
    withheld_rows : set of str
        Balancers whose rows of load are as old as `withheld_at`, and sent as such.
    max_delay_millis : int
        Longest delay of a heartbeat; later ones may arrive first.
    """

    withheld_at: int = 0
    max_delay_millis: int = 0

    def __init__(self, **options: object) -> None:
        self.withheld_rows: set[str] = set()
        super().__init__(**options)

    def exchange(self, message: Heartbeat, sender: Balancer, other: Balancer) -> None:
        """Deliver a heartbeat unless a data centre between is cut off."""
        data_centres = {sender.own.data_centre, other.own.data_centre}
        if len(data_centres) == 2 and data_centres & self.cut_off:
            return
        if sender.own.name in self.withheld_rows:
            held = self.now - self.withheld_at
            rows = tuple(row._replace(age=held) for row in message.load_rows)
            message = message._replace(load_rows=rows)
        delay = self.random.randint(0, self.max_delay_millis)
        if not delay:
            super().exchange(message, sender, other)
            return
        rows = tuple(row._replace(age=row.age + delay) for row in message.load_rows)
        late = message._replace(load_rows=rows)
        self.schedule(delay, lambda: other.steering.apply_heartbeat(late, self.now))

    @property
    def n_left(self) -> int:
        """Return the number of openings that the rule sent to other data centres."""
        return sum(
            balancer.steering.remote_traffic.n_left.total()
            for balancer in self.all_balancers
            if balancer.steering.remote_traffic is not None
        )


def far_fleet(
    *,
    n_hosts: int = 8,
    n_balancers: int = 4,
    seed: int = 1,
    price_millis: float | None = 0.0,
    min_round_trip_millis: float = MIN_ROUND_TRIP_MILLIS,
    one_way_millis: int = FAR_ONE_WAY_MILLIS,
) -> FarFleet:
    """Return a fleet of four data centres.

    Parameters
    ----------
    n_hosts, n_balancers : int
        Hosts and balancers of each data centre.
    seed : int
        Seed of all random choices.
    price_millis : float or None
        Price of a flow that leaves; None to leave the part off.
    min_round_trip_millis : float
        Least extra round trip that the rule applies to.
    one_way_millis : int
        One-way delay between two data centres.
    """
    settings = None
    if price_millis is not None:
        settings = RemoteTrafficSettings(min_round_trip_millis, price_millis)
    return FarFleet(
        n_hosts=n_hosts,
        n_balancers=n_balancers,
        seed=seed,
        workload=FAR_WORKLOAD,
        layout=Layout(
            FAR_DATA_CENTRES, one_way_millis, samples_targets=True,
            remote_traffic=settings,
        ),
    )  # fmt: skip


def set_loads(fleet: SimulatedFleet, loads: Mapping[str, float]) -> None:
    """Set the load of each data centre, as a multiple of its own capacity."""
    capacity = fleet.capacity / len(fleet.rates)
    for data_centre in fleet.rates:
        fleet.rates[data_centre] = loads[data_centre] * capacity


def set_even_load(fleet: SimulatedFleet, load: float) -> None:
    """Set the same load in all data centres."""
    set_loads(fleet, dict.fromkeys(fleet.rates, load))


def move_callers(fleet: SimulatedFleet, load: float, share: float) -> None:
    """Move a share of the callers of all data centres to the first one."""
    first, *others = fleet.rates
    n_others = len(others)
    loads = dict.fromkeys(others, load * (1.0 - share))
    set_loads(fleet, {first: load * (1.0 + n_others * share), **loads})


class Figures(NamedTuple):
    """Figures of a run.

    Parameters
    ----------
    n_requests : int
        Requests that began in it.
    in_time : float
        Share that was served within the target latency.
    served : float
        Share that was served.
    left : float
        Share of the served requests that another data centre's host served.
    """

    n_requests: int
    in_time: float
    served: float
    left: float


def figures(
    fleet: SimulatedFleet, outcomes: list[Outcome], *, only: str | None = None
) -> Figures:
    """Return the figures of outcomes, of one data centre's callers or of all."""
    chosen = [o for o in outcomes if only in (None, o.data_centre)]
    served = [o for o in chosen if o.is_served]
    target = fleet.workload.target_millis
    n_left = sum(
        fleet.hosts[o.host].data_centre != o.data_centre
        for o in served
        if o.host is not None
    )
    return Figures(
        len(chosen),
        sum(o.millis <= target for o in served) / max(1, len(chosen)),
        len(served) / max(1, len(chosen)),
        n_left / max(1, len(served)),
    )
