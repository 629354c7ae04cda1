"""Placement of a new flow: its route, a service, a backend server, and admission."""

from collections import Counter
from collections.abc import Callable
from random import Random

from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.admission import AdmissionControl, Overload, may_wait
from stoattray_core.steering.cluster_state import ClusterState
from stoattray_core.steering.deferral import RETRANSMIT_MILLIS
from stoattray_core.steering.entries import Route
from stoattray_core.steering.isolation import Isolation
from stoattray_core.steering.protocols import FarServerRule
from stoattray_core.steering.server_selector import ServerSelector, draw_service
from stoattray_core.steering.servers import ServerRow, has_free_slots
from stoattray_core.steering.warm_up_limit import ColdExclusion, WarmUpLimit

FRESH_REPLICA_MILLIS = 2_000
"""A replica confirmed within this time is recent enough to reset openings to unknown
destinations."""

NO_ROUTE = Refused(ErrorKind.NO_ROUTE)
NO_BACKEND_SERVER = Refused(ErrorKind.NO_BACKEND_SERVER)
OVERLOADED = Refused(ErrorKind.OVERLOADED)
DEFERRED = Refused(ErrorKind.DEFERRED)
ALL_SILENT = Refused(ErrorKind.DEFERRED, "all servers are silent")
STALE_REPLICA = Refused(ErrorKind.UNKNOWN_ADDRESS)


class FlowPlacement:
    """Selects the backend server that an opening packet is forwarded to.

    Parameters
    ----------
    cluster_state : ClusterState
        Configuration and backend servers.
    selector : ServerSelector
        Selects the best server of a service.
    admission : AdmissionControl
        Decides whether an opening is refused for overload.
    isolation : Isolation
        Tells whether this balancer is cut off.
    warm_up : WarmUpLimit
        Excludes cold servers that may not get an opening.
    service_time : callable
        Returns a service's time in ms without the round trip, or None if unknown.
    counters : Counter
        Counts the openings that are deferred, refused for overload, without a server
        because of an evacuation, or sent to evacuated servers of an isolated data
        centre.
    random : Random
        Draws a service by weight.
    far_rule : FarServerRule or None
        Selects the server if some candidates are in far data centres; None if the
        settings set no limit for the traffic between data centres.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        selector: ServerSelector,
        admission: AdmissionControl,
        *,
        isolation: Isolation,
        warm_up: WarmUpLimit,
        service_time: Callable[[str], float | None],
        counters: Counter[str],
        random: Random,
        far_rule: FarServerRule | None = None,
    ) -> None:
        self._cluster_state = cluster_state
        self._selector = selector
        self._admission = admission
        self._isolation = isolation
        self._warm_up = warm_up
        self._service_time = service_time
        self._counters = counters
        self._random = random
        self._far_rule = far_rule

    def select(
        self,
        destination: bytes,
        now: Millis,
        avoid: list[ServerRow],
        *,
        n_retransmissions: int = 0,
        caller: bytes = b"",
    ) -> ServerRow | Overload | Refused:
        """Return the server for a new flow, or why there is none.

        Parameters
        ----------
        destination : bytes
            Destination of the opening packet.
        now : Millis
            Current time.
        avoid : list of ServerRow
            Servers that left this flow unanswered.
        n_retransmissions : int
            How often the caller has sent the opening before.
        caller : bytes
            Address of the caller.
        """
        assert self._cluster_state.configuration is not None
        route = self._cluster_state.configuration.routes.get(destination)
        if route is None:
            is_fresh = self._cluster_state.confirmed_age(now) <= FRESH_REPLICA_MILLIS
            is_complete = not self._cluster_state.may_lack_writes(now)
            return NO_ROUTE if is_fresh and is_complete else STALE_REPLICA
        service = draw_service(route, self._random)
        exclusion = self._warm_up.exclusion(service, now)
        rows = self._cluster_state.servers.candidates(service, self._random, exclusion)
        if not self._selector.has_usable(rows, now):
            rows = self._isolated_candidates(service, exclusion, now) or rows
        server = self._select_server(rows, service, route, now, avoid)
        if exclusion is not None and exclusion.withheld:
            self._warm_up.note_withheld(exclusion, now)
            if server is None:
                return self._refuse_for_cold(route, exclusion, n_retransmissions, now)
        if server is None:
            if self._cluster_state.servers.has_evacuated(service):
                self._counters["openings_evacuated"] += 1
            return NO_BACKEND_SERVER
        overload = self._admission.check(
            server,
            route,
            self._service_time(service),
            now,
            is_retransmission=n_retransmissions > 0,
            n_retransmissions=n_retransmissions,
            caller=caller,
            has_free_slots=n_retransmissions == 0 or has_free_slots(rows, now),
        )
        if overload is not None:
            name = "deferred" if overload.is_deferred else "overloaded"
            self._counters[f"openings_{name}"] += 1
            return overload
        return server

    def _isolated_candidates(
        self, service: str, exclusion: ColdExclusion | None, now: Millis
    ) -> list[ServerRow]:
        """Return this data centre's evacuated servers if it is isolated, or none."""
        rows = self._cluster_state.servers.evacuated_local_candidates(
            service, self._random, exclusion
        )
        if not rows:
            return []
        self._isolation.note_no_server(now)
        if not self._isolation.is_isolated(now):
            return []
        self._counters["openings_isolated"] += 1
        return rows

    def _select_server(
        self,
        rows: list[ServerRow],
        service: str,
        route: Route,
        now: Millis,
        avoid: list[ServerRow],
    ) -> ServerRow | None:
        """Return the best candidate of a service, or None if there is none."""
        if self._far_rule is None or not self._far_rule.applies_to(rows):
            return self._selector.select(rows, now, avoid=avoid)
        return self._far_rule.select(
            rows,
            service,
            route.target_latency_millis,
            self._service_time(service),
            now,
            avoid=avoid,
        )

    def _refuse_for_cold(
        self,
        route: Route,
        exclusion: ColdExclusion,
        n_retransmissions: int,
        now: Millis,
    ) -> Refused:
        """Refuse an opening because all servers are withheld.

        Silent servers are withheld as they may start again cold. Whether they are
        cannot be known yet, so callers are left to retransmit while they do, and then
        try again. Servers that are known to be cold stay so for longer than that.
        """
        is_silent = any(
            self._selector.is_suspect(server, now)
            for server, _ in exclusion.withheld.values()
        )
        will_retransmit = n_retransmissions < len(RETRANSMIT_MILLIS)
        if is_silent and will_retransmit:
            refused = ALL_SILENT
        else:
            refused = DEFERRED if may_wait(route) else OVERLOADED
        self._counters["openings_all_cold"] += 1
        self._counters[f"openings_{refused.kind.value}"] += 1
        return refused
