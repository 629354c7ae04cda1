"""Simulated fleet whose callers compete: several routes of one service, by level.

Extends `simulated_fleet`: each kind of request has its route, level, service time and
deadlines. Callers have addresses. A flow may carry many requests with pauses.
"""

from collections import deque
from functools import partial
from typing import NamedTuple

from stoattray_core.steering.entries import RequestKind, Route
from tests.simulated_fleet import (
    DATA_CENTRES,
    FAILED_RESPONSE_MILLIS,
    GIVE_UP_MILLIS,
    RETRY_MILLIS,
    Host,
    SimulatedFleet,
    Workload,
    _Flow,
    _Request,
)

N_ADDRESSES = 400
"""Callers' addresses, equally likely unless a test says otherwise."""


class Kind(NamedTuple):
    """One kind of request, with a route of its own.

    Parameters
    ----------
    name : str
        Name of the route.
    level : int
        Priority; 0 is the highest.
    per_second : float
        Requests a second at the usual load, all data centres together.
    service_millis : int
        Mean service time.
    target_millis, deadline_millis : int
        Target latency, and the time after which a caller no longer waits.
    kind : RequestKind
        Whether callers may repeat a request.
    n_requests : int
        Requests of one flow.
    pause_millis : int
        Mean pause between a response and the flow's next request.
    """

    name: str
    level: int
    per_second: float
    service_millis: int
    target_millis: int
    deadline_millis: int
    kind: RequestKind = RequestKind.IDEMPOTENT
    n_requests: int = 1
    pause_millis: int = 0

    @property
    def destination(self) -> bytes:
        """Return the address and port of the route."""
        return b"\xc6\x12\x00\x01" + (8_000 + sum(self.name.encode())).to_bytes(2)


MOVES = Kind("moves", 1, 163, 29, 600, 2_998, RequestKind.NON_IDEMPOTENT)
BOARDS = Kind("boards", 2, 569, 22, 606, 3_028)
DOWNLOADS = Kind("downloads", 3, 50, 60, 1_788, 9_536)
"""Requests as on the users' platform (jms); there, downloads have other servers."""

HOLDS = Kind("holds", 1, 42, 72, 300, 3_000, RequestKind.NON_IDEMPOTENT)
LOOKUPS = Kind("lookups", 2, 146, 55, 250, 2_500)
"""Requests whose target latency is four times their service time (munnar-rent)."""


class Result(NamedTuple):
    """Requests of one kind: shares in time, late and not served, and their number."""

    in_time: float
    late: float
    not_served: float
    n_requests: int


class _ContendedRequest(_Request):
    """One request of a kind, from an address."""

    def __init__(
        self, data_centre: str, started_at: int, kind: Kind, address: bytes
    ) -> None:
        super().__init__(data_centre, started_at)
        self.kind = kind
        self.address = address


class _ContendedOutcome(NamedTuple):
    kind: Kind
    address: bytes
    opened_at: int
    is_served: bool
    millis: int


class _ContendedFlow(_Flow):
    """One flow, which may carry many requests."""

    fleet: "ContendedFleet"
    request: _ContendedRequest

    def serve(self, host: Host) -> tuple[int, bool]:
        """Queue the request at the host."""
        return self.fleet.serve(host, self.request.kind)

    def _finish_flow(self, cookie: int, *, is_served: bool) -> None:
        n_left = self.fleet.n_requests_left(self)
        if not is_served or n_left <= 0 or self.is_over:
            super()._finish_flow(cookie, is_served=is_served)
            return
        self._send_following(cookie)
        self.fleet.note_outcome(self.request, is_served=True)
        pause = round(self.fleet.random.expovariate(1 / self.request.kind.pause_millis))
        self.fleet.schedule(max(1, pause), partial(self._send_next_request, cookie))

    def _send_next_request(self, cookie: int) -> None:
        request = self.request
        self.request = _ContendedRequest(
            request.data_centre, self.fleet.now, request.kind, request.address
        )
        assert self.host is not None
        self._send_following(cookie, has_data=True)
        if self.host.is_unresponsive:
            self.fleet.schedule(GIVE_UP_MILLIS, self._give_up)
            return
        answered_at, is_served = self.serve(self.host)
        self.fleet.schedule(
            answered_at - self.fleet.now,
            partial(self._finish_flow, cookie, is_served=is_served),
        )


class ContendedFleet(SimulatedFleet):
    """Fleet with requests of several kinds, whose routes lead to one service.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds of requests.
    n_hosts, n_balancers : int
        Hosts and balancers of each data centre.
    seed : int
        Seed of all random choices.
    n_retries : int
        Further tries of a caller whose request failed.
    n_slots : int
        Requests that a host works on at the same time.
    """

    def __init__(
        self,
        kinds: tuple[Kind, ...] = (MOVES, BOARDS),
        *,
        n_hosts: int = 6,
        n_balancers: int = 8,
        seed: int = 1,
        n_retries: int = 2,
        n_slots: int = 2,
    ) -> None:
        self.kinds = kinds
        self.multipliers = dict.fromkeys(kinds, 1.0)
        self.greedy_share = 0.0
        self.kind_outcomes: list[_ContendedOutcome] = []
        self._n_requests_left: dict[int, int] = {}
        self._waiting: dict[str, deque[int]] = {}
        super().__init__(
            n_hosts=n_hosts,
            n_balancers=n_balancers,
            seed=seed,
            workload=Workload(n_slots=n_slots, max_queue=8, n_retries=n_retries),
        )

    def routes(self) -> list[Route]:
        """Return one route for each kind."""
        lowest = max(kind.level for kind in self.kinds)
        return [
            Route(
                kind.name,
                kind.destination,
                (("lookup", 1),),
                kind.kind,
                kind.target_millis,
                has_priority=kind.level < lowest,
                timeout_millis=kind.deadline_millis,
                priority=kind.level,
            )
            for kind in self.kinds
        ]

    def packet_fields(self, flow: _ContendedFlow) -> dict[str, object]:
        """Return destination and key of a flow's packets."""
        destination = flow.request.kind.destination
        port = (flow.port % 65_536).to_bytes(2)
        key = flow.request.address + destination + port
        return {"destination": destination, "key": key}

    @property
    def offered_slots(self) -> float:
        """Return the number of slots that the present load keeps busy."""
        return sum(
            kind.per_second * factor * kind.service_millis / 1_000
            for kind, factor in self.multipliers.items()
        )

    def set_multipliers(self, multipliers: dict[Kind, float]) -> None:
        """Set the load of kinds as a multiple of the usual one; others keep theirs."""
        self.multipliers.update(multipliers)
        n_flows = sum(self._flow_rates().values())
        self.rates = dict.fromkeys(DATA_CENTRES, n_flows / len(DATA_CENTRES))

    def set_total_load(self, load: float) -> None:
        """Set the load of all kinds to a multiple of the hosts' slots."""
        n_slots = len(self.hosts) * self.workload.n_slots
        factor = load * n_slots / self.offered_slots
        self.set_multipliers(
            {kind: before * factor for kind, before in self.multipliers.items()}
        )

    def remove_hosts(self, share: float) -> None:
        """Stop a share of the hosts, and remove their records from the store."""
        for host in self.sample_hosts(share):
            host.is_unresponsive = True
            for balancer in self.all_balancers:
                balancer.now = self.now
                balancer.remove(host.name)
            del self.hosts[host.name]

    def run_kinds(self, millis: int) -> list[_ContendedOutcome]:
        """Run for `millis`; return the outcomes of the requests begun meanwhile."""
        start, end = self.now, self.now + millis
        self.run(millis)
        return [item for item in self.kind_outcomes if start <= item.opened_at < end]

    def serve(self, host: Host, kind: Kind) -> tuple[int, bool]:
        """Queue a request at a host, which refuses it if too many others wait."""
        waiting = self._waiting.setdefault(host.name, deque())
        while waiting and waiting[0] <= self.now:
            waiting.popleft()
        if len(waiting) >= self.workload.max_queue:
            return self.now + FAILED_RESPONSE_MILLIS, False
        slot = host.free_at.index(min(host.free_at))
        starts_at = max(self.now, host.free_at[slot])
        mean_millis = kind.service_millis * host.slowdown
        millis = max(2, round(self.random.gauss(1.0, 0.3) * mean_millis))
        host.free_at[slot] = starts_at + millis
        waiting.append(starts_at)
        return host.free_at[slot], True

    def n_requests_left(self, flow: _ContendedFlow) -> int:
        """Count a request of a flow; return how many are left."""
        left = self._n_requests_left.get(flow.port, flow.request.kind.n_requests) - 1
        self._n_requests_left[flow.port] = left
        return left

    def note_outcome(self, request: _ContendedRequest, *, is_served: bool) -> None:
        """Record the end of a request."""
        self.kind_outcomes.append(
            _ContendedOutcome(
                request.kind,
                request.address,
                request.started_at,
                is_served,
                self.now - request.started_at,
            )
        )

    def open_flow(self, request: _ContendedRequest) -> None:
        """Open a flow for one try of a request, from a new port."""
        self._port += 1
        index = self.random.randrange(len(self.balancers[request.data_centre]))
        flow = _ContendedFlow(self, index, self._port, request)
        self._flows[self._port] = flow
        flow.open(0)

    def end_flow(self, flow: _ContendedFlow, *, is_served: bool) -> None:
        """Retry the request of a flow that failed, or record its outcome."""
        del self._flows[flow.port]
        self._n_requests_left.pop(flow.port, None)
        request = flow.request
        request.n_tries += 1
        is_repeatable = (
            flow.host is None or request.kind.kind is not RequestKind.NON_IDEMPOTENT
        )
        elapsed = self.now - request.started_at
        may_retry = (
            is_repeatable
            and request.n_tries <= self.workload.n_retries
            and elapsed + RETRY_MILLIS < request.kind.deadline_millis
        )
        if not is_served and may_retry:
            self.n_retrying += 1
            self.schedule(RETRY_MILLIS, partial(self._retry, request))
            return
        self.note_outcome(request, is_served=is_served)

    def _open(self, data_centre: str) -> None:
        rates = self._flow_rates()
        (kind,) = self.random.choices(list(rates), list(rates.values()))
        self.open_flow(
            _ContendedRequest(data_centre, self.now, kind, self._draw_address())
        )
        self._run_scheduled()

    def _draw_address(self) -> bytes:
        if self.random.random() < self.greedy_share:
            return GREEDY_ADDRESS
        number = self.random.randrange(N_ADDRESSES)
        return b"\x64\x40" + number.to_bytes(2)

    def _flow_rates(self) -> dict[Kind, float]:
        """Return the flows per millisecond by kind."""
        return {
            kind: kind.per_second * factor / kind.n_requests / 1_000
            for kind, factor in self.multipliers.items()
        }


GREEDY_ADDRESS = b"\x64\x41\x00\x01"


def result(outcomes: list[_ContendedOutcome], kind: Kind) -> Result:
    """Return the result of the requests of a kind."""
    of_kind = [outcome for outcome in outcomes if outcome.kind is kind]
    n_in_time = sum(
        outcome.is_served and outcome.millis <= kind.target_millis
        for outcome in of_kind
    )
    n_served = sum(outcome.is_served for outcome in of_kind)
    n_all = max(1, len(of_kind))
    return Result(
        n_in_time / n_all,
        (n_served - n_in_time) / n_all,
        1 - n_served / n_all,
        len(of_kind),
    )


def best_shares(
    outcomes: list[_ContendedOutcome], kinds: tuple[Kind, ...], slot_millis: float
) -> dict[Kind, float]:
    """Return the share of each kind that the servers could serve, highest level first.

    Parameters
    ----------
    outcomes : list
        Outcomes of all requests of a time.
    kinds : tuple of Kind
        Kinds of requests.
    slot_millis : float
        Number of slots times that time in ms.
    """
    shares = {}
    for kind in sorted(kinds, key=lambda kind: kind.level):
        n_offered = sum(outcome.kind is kind for outcome in outcomes)
        needed = max(1, n_offered) * kind.service_millis
        shares[kind] = min(1.0, slot_millis / needed)
        slot_millis -= shares[kind] * needed
    return shares
