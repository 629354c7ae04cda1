"""Reports of each data centre's load and capacity by service.

Balancers build the reports of their own data centre and pass on the newest ones of
others in heartbeats. The report with the latest time of measurement applies, whatever
the order of arrival.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random
from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.locality import ServiceLoad
from stoattray_core.steering.servers import Presence, ServerRow

MAX_ROWS = 16
N_PASSED_ON = 2
"""Rows in a heartbeat, in all and of other data centres. A balancer receives 17 rows of
others a second from 8 members, and control traffic stays below 14 KB a second: with all
rows of four data centres it was 15.2."""

MAX_AGE_MILLIS = 3_000
"""Older reports are ignored."""

LOAD_SMOOTHING_MILLIS = 200
"""Time constant for averaging the load of the own data centre. With some 20 requests
pending, single counts vary by a quarter."""

TREND_MILLIS = 400
"""Least time between two measurements that a trend is taken from."""

MAX_EXTRAPOLATION_MILLIS = 500
"""Longest time that a trend is assumed to last."""


class LoadRow(NamedTuple):
    """Load of one service in one data centre, as sent in heartbeats.

    Parameters
    ----------
    data_centre : str
        The data centre.
    service : str
        The service.
    load : float
        Pending requests of the data centre's callers, wherever they are served.
    capacity : float
        Slots of its usable servers.
    age : Millis
        Time since the measurement.
    """

    data_centre: str
    service: str
    load: float
    capacity: float
    age: Millis


def usable_capacity(
    rows: Iterable[ServerRow], now: Millis, *, slowdown: Callable[[ServerRow], float]
) -> float:
    """Return the slots of those servers that are listed and not draining.

    Cold servers count at their reduced capacity, and slow ones at what they serve.

    Parameters
    ----------
    rows : iterable of ServerRow
        Servers of one service.
    now : Millis
        Current time.
    slowdown : callable
        Returns a server's service time in multiples of the usual one.
    """
    return sum(
        row.capacity(now) / slowdown(row)
        for row in rows
        if row.presence is Presence.LISTED and row.accepts_flows
    )


class _Report:
    """Latest measurement of one service in one data centre, and its trend."""

    __slots__ = ("_base", "_slope", "capacity", "load", "measured_at")

    def __init__(self, load: float, capacity: float, measured_at: Millis) -> None:
        self.load = load
        self.capacity = capacity
        self.measured_at = measured_at
        self._base = (load, measured_at)
        self._slope = 0.0

    def update(self, load: float, capacity: float, measured_at: Millis) -> None:
        """Replace the measurement by a newer one."""
        base_load, base_at = self._base
        elapsed = measured_at - base_at
        if elapsed > MAX_AGE_MILLIS:
            self._base, self._slope = (load, measured_at), 0.0
        elif elapsed >= TREND_MILLIS:
            self._slope = (load - base_load) / elapsed
            self._base = (load, measured_at)
        self.load, self.capacity, self.measured_at = load, capacity, measured_at

    def extrapolated(self, now: Millis) -> ServiceLoad:
        """Return the load expected now, if it grows as before.

        A falling load is not extrapolated. Single reports vary, and a load that is
        expected too low promises spare capacity that does not exist.
        """
        elapsed = min(MAX_EXTRAPOLATION_MILLIS, now - self.measured_at)
        growth = max(0.0, self._slope * elapsed)
        return ServiceLoad(self.load + growth, self.capacity)


class LoadReports:
    """Newest known reports of all data centres.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer. Its reports are only built here, never received.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._reports: dict[tuple[str, str], _Report] = {}
        self._discarded_at: dict[str, Millis] = {}

    @property
    def services(self) -> set[str]:
        """Return the services that reports exist of."""
        return {service for _, service in self._reports}

    def measure(self, service: str, load: float, capacity: float, now: Millis) -> None:
        """Add a measurement of this data centre; its load is averaged."""
        key = self._data_centre, service
        report = self._reports.get(key)
        if report is None:
            self._reports[key] = _Report(load, capacity, now)
            return
        decay = math.exp((report.measured_at - now) / LOAD_SMOOTHING_MILLIS)
        report.update(load + (report.load - load) * decay, capacity, now)

    def merge(self, rows: Iterable[LoadRow], now: Millis) -> None:
        """Apply the rows of a heartbeat; older ones than are known change nothing."""
        for row in rows:
            measured_at = now - row.age
            is_discarded = measured_at <= self._discarded_at.get(row.data_centre, -1)
            if row.data_centre == self._data_centre or is_discarded:
                continue
            key = row.data_centre, row.service
            report = self._reports.get(key)
            if report is None:
                self._reports[key] = _Report(row.load, row.capacity, measured_at)
            elif measured_at > report.measured_at:
                report.update(row.load, row.capacity, measured_at)

    def discard(self, data_centre: str, now: Millis) -> None:
        """Drop a data centre's reports, and ignore those measured until now."""
        self._discarded_at[data_centre] = now
        for key in [key for key in self._reports if key[0] == data_centre]:
            del self._reports[key]

    def loads(self, service: str, now: Millis) -> dict[str, ServiceLoad]:
        """Return the loads of a service by data centre, from recent reports only."""
        return {
            data_centre: report.extrapolated(now)
            for data_centre, report in self._of_service(service)
            if now - report.measured_at <= MAX_AGE_MILLIS
        }

    def last_loads(self, service: str) -> dict[str, ServiceLoad]:
        """Return the loads of a service as last reported, whatever their age."""
        return {
            data_centre: ServiceLoad(report.load, report.capacity)
            for data_centre, report in self._of_service(service)
        }

    def rows(self, now: Millis, random: Random) -> tuple[LoadRow, ...]:
        """Return the rows for a heartbeat: the own ones, and a sample of the others.

        Parameters
        ----------
        now : Millis
            Current time.
        random : Random
            Samples the rows of other data centres.
        """
        own, others = [], []
        for key, report in self._reports.items():
            age = now - report.measured_at
            if age <= MAX_AGE_MILLIS:
                rows = own if key[0] == self._data_centre else others
                rows.append(LoadRow(*key, report.load, report.capacity, age))
        n_others = min(len(others), N_PASSED_ON)
        passed_on = random.sample(others, n_others)
        return (*own[: MAX_ROWS - n_others], *passed_on)

    def _of_service(self, service: str) -> Iterator[tuple[str, _Report]]:
        for (data_centre, name), report in self._reports.items():
            if name == service:
                yield data_centre, report


def offered_loads(
    services: Iterable[str], own: Iterable[ServerRow], peers: Mapping[str, int]
) -> dict[str, float]:
    """Return the pending requests of a data centre's callers by service.

    Parameters
    ----------
    services : iterable of str
        Services to return, also those without requests.
    own : iterable of ServerRow
        All servers, with the requests that this balancer sees pending there.
    peers : mapping of str to int
        Requests by service in the latest reports of the data centre's other balancers.
    """
    loads = dict.fromkeys(services, 0.0)
    for row in own:
        if row.n_pending_requests:
            service = row.entry.service
            loads[service] = loads.get(service, 0.0) + row.n_pending_requests
    for service, n_requests in peers.items():
        loads[service] = loads.get(service, 0.0) + n_requests
    return loads
