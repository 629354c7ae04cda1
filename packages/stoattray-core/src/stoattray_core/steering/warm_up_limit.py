"""Limit of openings for cold servers: its parts, what they are told, and its reports.

Without `WarmUpBounds`, or for services without a warm-up, there is no limit.
"""

from collections import Counter
from collections.abc import Callable

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cold_servers import ColdServers
from stoattray_core.steering.entries import Configuration, MemberEntry, WarmUp
from stoattray_core.steering.owner_confirmation import OwnerConfirmation
from stoattray_core.steering.ownership import OwnerTable
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.servers import ServerRow
from stoattray_core.steering.warm_up_budget import (
    WarmUpBounds,
    WarmUpBudgets,
    Withheld,
    WithheldReason,
)

LOG_INTERVAL_MILLIS = 1_000
"""Time after which the same reason is logged again for a server."""


class ColdExclusion:
    """Excludes the cold servers that one opening may not be sent to.

    Parameters
    ----------
    budgets : WarmUpBudgets
        Budgets of cold servers.
    now : Millis
        Current time.

    Attributes
    ----------
    withheld : dict of WithheldReason to (ServerRow, Withheld)
        First server that was excluded for each reason.
    """

    __slots__ = ("_budgets", "_now", "withheld")

    def __init__(self, budgets: WarmUpBudgets, now: Millis) -> None:
        self._budgets = budgets
        self._now = now
        self.withheld: dict[WithheldReason, tuple[ServerRow, Withheld]] = {}

    def __call__(self, server: ServerRow) -> bool:
        """Return whether a server is excluded."""
        if not server.accepts_flows:
            return False
        withheld = self._budgets.check(server, self._now)
        if withheld is None:
            return False
        self.withheld.setdefault(withheld.reason, (server, withheld))
        return True


class WarmUpLimit:
    """The limit as one balancer applies it.

    Parameters
    ----------
    own : str
        Name of this balancer.
    bounds : WarmUpBounds or None
        Allowance above the declared rates; None if there is no limit.
    configuration : callable
        Returns the configuration in force, or None before the first.
    evacuation_ended_at : callable
        Returns when this balancer saw the last evacuation of a data centre end, or
        None if it saw none.
    counters : Counter
        Counts the openings that were withheld from cold servers, by reason.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        own: str,
        bounds: WarmUpBounds | None,
        *,
        configuration: Callable[[], Configuration | None],
        evacuation_ended_at: Callable[[str], Millis | None],
        counters: Counter[str],
        on_event: EventSink,
    ) -> None:
        self.is_enabled = bounds is not None
        self.owners = OwnerTable(own)
        self.confirmation = OwnerConfirmation()
        self.cold_servers = ColdServers(self._warm_up, evacuation_ended_at)
        self.budgets = WarmUpBudgets(
            own,
            bounds or WarmUpBounds(0.0, 0.0),
            cold_servers=self.cold_servers,
            owners=self.owners,
            confirmation=self.confirmation,
            warm_up=self._warm_up,
        )
        self._configuration = configuration
        self._counters = counters
        self._on_event = on_event
        self._logged: dict[str, tuple[WithheldReason, Millis]] = {}

    @property
    def is_active(self) -> bool:
        """Return whether any service has a limit."""
        configuration = self._configuration()
        has_warm_ups = configuration is not None and bool(configuration.warm_ups)
        return self.is_enabled and has_warm_ups

    def put_member(self, key: str, entry: MemberEntry, now: Millis) -> None:
        """Note a balancer's record."""
        if self.is_enabled:
            self.owners.put_member(key, entry, now)

    def remove_member(self, key: str, now: Millis) -> None:
        """Note that a record was removed, which may be a balancer's."""
        if self.is_enabled:
            self.owners.remove_member(key, now)

    def note_server(
        self, server: ServerRow, earlier_start: tuple[int, Millis] | None
    ) -> None:
        """Note a server's new record.

        Parameters
        ----------
        server : ServerRow
            The server, with its new entry.
        earlier_start : tuple of (int, Millis) or None
            Start time in its record before, and when that was removed or replaced;
            None if the server did not start again.
        """
        if not self.is_enabled:
            return
        self.cold_servers.note_record(server)
        if earlier_start is not None:
            self.owners.note_restart(server.name, *earlier_start)

    def exclusion(self, service: str, now: Millis) -> ColdExclusion | None:
        """Return what excludes a service's cold servers; None if it has none."""
        if not self.is_enabled or not self.cold_servers.may_have_cold(service, now):
            return None
        return ColdExclusion(self.budgets, now)

    def note_withheld(self, exclusion: ColdExclusion, now: Millis) -> None:
        """Count an opening that was withheld from cold servers, and log why."""
        for reason, (server, withheld) in exclusion.withheld.items():
            self._counters[f"openings_withheld_{reason.value}"] += 1
            self._log(server, withheld, now)

    def try_forward(self, server: ServerRow, now: Millis) -> bool:
        """Record an opening for a server that was selected before, if it is allowed."""
        exclusion = self.exclusion(server.entry.service, now)
        if exclusion is not None and exclusion(server):
            self.note_withheld(exclusion, now)
            return False
        self.note_opening(server, now)
        return True

    def note_opening(self, server: ServerRow, now: Millis) -> None:
        """Record an opening that is sent to a server."""
        if self.is_enabled:
            self.budgets.note_opening(server, now)

    def expire(self, now: Millis) -> None:
        """Remove expired entries; runs about once a second."""
        self.owners.expire(now)
        self.budgets.expire(now)
        for name, (_, at) in list(self._logged.items()):
            if now - at >= LOG_INTERVAL_MILLIS:
                del self._logged[name]

    def _warm_up(self, service: str) -> WarmUp | None:
        configuration = self._configuration()
        if not self.is_enabled or configuration is None:
            return None
        return configuration.warm_ups.get(service)

    def _log(self, server: ServerRow, withheld: Withheld, now: Millis) -> None:
        """Log why a server is withheld, unless that was logged recently."""
        logged = self._logged.get(server.name)
        if logged is not None and logged[0] is withheld.reason:
            return
        self._logged[server.name] = withheld.reason, now
        self._on_event(
            "warm_up_limited",
            server=server.name,
            owner=withheld.owner,
            reason=withheld.reason.value,
            n_left=withheld.n_left,
            confirmed_age_ms=self.confirmation.age(now),
        )
