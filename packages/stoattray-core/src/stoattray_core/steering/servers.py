"""Table of backend servers as this balancer knows them.

A server whose record is removed from the store is gone at once, unless the store was
unhealthy shortly before. Then the record's lease may merely have lapsed, and the server
stays usable until the store has been healthy long enough for live servers to register
again.
"""

from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cookies import CookieTable
from stoattray_core.steering.entries import BackendServerEntry
from stoattray_core.steering.evacuations import Evacuations

REREGISTRATION_MILLIS = 2_600
"""Live servers register again within about 2 s after the store recovers."""

MIN_CAPACITY_SLOTS = 0.5
"""Lower bound of a server's capacity; avoids a division by zero."""

N_LOCAL_CANDIDATES = 12
N_REMOTE_CANDIDATES = 6
"""Servers compared for one flow, in this data centre and elsewhere. Comparing all 75
took 189 us; the best of 18 is nearly as good as the least loaded server."""

COLD_CAPACITY_SHARE = 0.6
"""Share of its capacity that a server has while it warms up; requests then take 1.6
times as long."""


class Presence(Enum):
    """Whether a server's record is in the store.

    A lapsed record is missing, possibly only because its lease could not be renewed.
    """

    LISTED = "listed"
    LAPSED = "lapsed"
    GONE = "gone"


class ServerRow:
    """One backend server and this balancer's observations of it.

    Parameters
    ----------
    entry : BackendServerEntry
        Its latest entry.
    cookie : int
        Identifies it in packets.

    Attributes
    ----------
    warm_at : Millis
        When its warm-up ends.
    maybe_cold_until : Millis
        Until when it may be cold without a record of it, as it answered after silence.
    silent_since : Millis or None
        When the first opening was sent that it left unanswered; None if it answers.
    presence : Presence
        Whether its record is in the store, lapsed or removed.
    removed_at : Millis or None
        When its record was removed; None while it is known.
    n_open : int
        Open flows that this balancer opened there.
    n_half_open : int
        Of these, flows whose opening has no follow-up yet.
    n_idle : int
        Of these, flows whose last request was answered.
    n_pending_requests : int
        Of the open flows, those with a pending request.
    n_peer_requests : int
        Pending requests in the latest reports of other balancers.
    peer_load : float
        Pending requests that other balancers report, smoothed.
    peer_reported_at : Millis or None
        When another balancer last reported pending requests; None if none did.
    slowdown : float
        Its response time in multiples of the service's baseline; 1.0 unless it is slow.
    """

    __slots__ = (
        "address",
        "cookie",
        "entry",
        "failing_until",
        "fast_share",
        "last_established_at",
        "last_sample_at",
        "maybe_cold_until",
        "n_half_open",
        "n_idle",
        "n_open",
        "n_peer_requests",
        "n_pending_requests",
        "n_response_samples",
        "n_silent",
        "own_verdict_until",
        "peer_load",
        "peer_reported_at",
        "presence",
        "record_received_at",
        "removed_at",
        "response_millis",
        "silent_since",
        "slowdown",
        "suspect_until",
        "warm_at",
    )

    def __init__(self, entry: BackendServerEntry, cookie: int) -> None:
        self.entry = entry
        self.cookie = cookie
        self.address = entry.address
        self.presence = Presence.LISTED
        self.warm_at: Millis = 0
        self.maybe_cold_until: Millis = 0
        self.silent_since: Millis | None = None
        self.removed_at: Millis | None = None
        self.record_received_at: Millis = 0
        self.last_established_at: Millis = 0
        self.suspect_until: Millis = 0
        self.n_silent = 0
        self.n_open = 0
        self.n_half_open = 0
        self.n_idle = 0
        self.n_pending_requests = 0
        self.n_peer_requests = 0
        self.peer_load = 0.0
        self.peer_reported_at: Millis | None = None
        self.slowdown = 1.0
        self.response_millis = 0.0
        self.n_response_samples = 0
        self.last_sample_at: Millis = 0
        self.fast_share = 0.0
        self.failing_until: Millis = 0
        self.own_verdict_until: Millis = 0

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.entry.name

    @property
    def accepts_flows(self) -> bool:
        """Return whether new flows may be opened there."""
        return self.presence is not Presence.GONE and not self.entry.is_draining

    def capacity(self, now: Millis) -> float:
        """Return how many requests it can process at once, in warm slots."""
        slots = max(MIN_CAPACITY_SLOTS, float(self.entry.capacity))
        return slots * COLD_CAPACITY_SHARE if now < self.warm_at else slots

    @property
    def n_certain_requests(self) -> float:
        """Return the pending requests there, as far as they are certain.

        Of the load that peers report, the lower of the average and the latest reports
        counts, so that a load that has gone no longer does.
        """
        peer_requests = min(self.peer_load, self.n_peer_requests)
        return self.n_pending_requests + peer_requests

    def queueing_factor(self, now: Millis) -> float:
        """Return by how much pending requests lengthen the next response, at least 1.

        It takes the latest reports of peers, as they are not averaged towards a load
        that has changed.
        """
        n_requests = self.n_pending_requests + self.n_peer_requests
        return max(1.0, n_requests / self.capacity(now))

    def is_suspect(self, now: Millis) -> bool:
        """Return whether it recently left openings unanswered or failed requests."""
        return now < self.suspect_until or now < self.failing_until


class ServerTable:
    """Rows by name, by cookie and by service.

    Parameters
    ----------
    cookie_retention_millis : Millis
        How long the cookie of a removed server stays valid.
    data_centre : str
        Data centre of this balancer.
    evacuations : Evacuations or None
        Data centres whose servers are no candidates; none by default.
    """

    def __init__(
        self,
        cookie_retention_millis: Millis,
        data_centre: str,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._evacuations = Evacuations() if evacuations is None else evacuations
        self._rows: dict[str, ServerRow] = {}
        self._removed: dict[str, ServerRow] = {}
        self._local: dict[str, list[ServerRow]] = {}
        self._remote: dict[str, list[ServerRow]] = {}
        self._cookies = CookieTable(cookie_retention_millis)
        self._lapsed: set[str] = set()
        self._usable: dict[str, tuple[list[ServerRow], list[ServerRow]]] = {}
        self._usable_at = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self._rows.values())

    @property
    def services(self) -> set[str]:
        """Return the services that servers are known of."""
        return self._local.keys() | self._remote.keys()

    @property
    def has_lapsed(self) -> bool:
        """Return whether the records of any servers have lapsed."""
        return len(self._lapsed) > 0

    def get(self, name: str) -> ServerRow | None:
        """Return a listed or lapsed server."""
        return self._rows.get(name)

    def of_service(self, service: str) -> list[ServerRow]:
        """Return the servers of a service, draining ones included."""
        return self._local.get(service, []) + self._remote.get(service, [])

    def local_of_service(self, service: str) -> list[ServerRow]:
        """Return a service's servers in this data centre, draining ones included."""
        return self._local.get(service, [])

    def n_of_service(
        self, service: str, is_excluded: Callable[[ServerRow], bool] | None = None
    ) -> int:
        """Return the number of servers of a service, without evacuated ones.

        Parameters
        ----------
        service : str
            The service.
        is_excluded : callable or None
            Tells which servers to leave out.
        """
        local, remote = self._usable_rows(service)
        n_excluded = 0
        if is_excluded is not None:
            n_excluded = sum(is_excluded(row) for row in [*local, *remote])
        return len(local) + len(remote) - n_excluded

    def is_saturated(self, service: str, now: Millis) -> bool:
        """Return whether the local servers of a service have more flows than slots."""
        local, remote = self._usable_rows(service)
        rows = local or remote
        n_flows = sum(row.n_open + row.peer_load for row in rows)
        return n_flows > sum(row.capacity(now) for row in rows)

    def candidates(
        self,
        service: str,
        random: Random,
        is_excluded: Callable[[ServerRow], bool] | None = None,
    ) -> list[ServerRow]:
        """Return a bounded number of servers of a service to select from.

        Parameters
        ----------
        service : str
            The service.
        random : Random
            Draws the servers.
        is_excluded : callable or None
            Tells which servers to leave out. They are left out before the bounded
            number is taken, so that they do not displace others.
        """
        local, remote = self._usable_rows(service)
        if is_excluded is not None:
            local = [row for row in local if not is_excluded(row)]
            remote = [row for row in remote if not is_excluded(row)]
        return _random_window(local, N_LOCAL_CANDIDATES, random) + _random_window(
            remote, N_REMOTE_CANDIDATES, random
        )

    def evacuated_local_candidates(
        self,
        service: str,
        random: Random,
        is_excluded: Callable[[ServerRow], bool] | None = None,
    ) -> list[ServerRow]:
        """Return servers of this data centre that an evacuation alone excludes.

        See `candidates` for the parameters.
        """
        if not self._evacuations.is_evacuated(self._data_centre):
            return []
        rows = self._local.get(service, [])
        if is_excluded is not None:
            rows = [row for row in rows if not is_excluded(row)]
        return _random_window(rows, N_LOCAL_CANDIDATES, random)

    def is_evacuated(self, server: ServerRow) -> bool:
        """Return whether the data centre of a server is evacuated."""
        return self._evacuations.is_evacuated(server.entry.data_centre)

    def has_evacuated(self, service: str) -> bool:
        """Return whether an evacuation alone excludes a server of a service."""
        return len(self._evacuations) > 0 and any(
            row.accepts_flows and self.is_evacuated(row)
            for row in self.of_service(service)
        )

    def n_in_data_centre(self, data_centre: str) -> int:
        """Return the number of servers in a data centre."""
        return sum(row.entry.data_centre == data_centre for row in self)

    def by_cookie(self, cookie: int) -> ServerRow | None:
        """Return the server with this cookie, also if it was removed recently."""
        name = self._cookies.resolve(cookie)
        if name is None:
            return None
        return self._rows.get(name) or self._removed.get(name)

    def put(self, entry: BackendServerEntry, now: Millis) -> ServerRow:
        """Add or update a backend server from its record."""
        row = self._rows.get(entry.name)
        if row is None or _is_replacement(row.entry, entry):
            row = self._add(entry, row)
        row.entry = entry
        row.address = entry.address
        row.warm_at = now + entry.warmup_remaining_millis
        row.presence = Presence.LISTED
        row.record_received_at = now
        row.cookie = self._cookies.cookie(entry.name)
        self._lapsed.discard(entry.name)
        return row

    def earlier_start(
        self, entry: BackendServerEntry, now: Millis
    ) -> tuple[int, Millis] | None:
        """Return the known start of a server that starts again, and until when.

        The second value is when its record was removed, or `now` if it is still known.
        The result is None if the entry is of the known start, or of a new server.
        """
        row = self._rows.get(entry.name) or self._removed.get(entry.name)
        if row is None or row.entry.started_at == entry.started_at:
            return None
        return row.entry.started_at, now if row.removed_at is None else row.removed_at

    def is_outdated(self, entry: BackendServerEntry) -> bool:
        """Return whether an entry is older than what is known of its server.

        The last entry of a removed server is outdated, too: the server has gone since.
        """
        written = (entry.started_at, entry.sequence)
        row = self._rows.get(entry.name)
        if row is not None:
            return written < (row.entry.started_at, row.entry.sequence)
        removed = self._removed.get(entry.name)
        if removed is None:
            return False
        return written <= (removed.entry.started_at, removed.entry.sequence)

    def mark_removed(
        self, name: str, now: Millis, *, may_be_lapsed: bool
    ) -> Presence | None:
        """Note that a server's record is no longer in the store.

        Parameters
        ----------
        name : str
            Name of the server.
        now : Millis
            Current time.
        may_be_lapsed : bool
            Whether the store was unhealthy, so that the lease may have lapsed.

        Returns
        -------
        Presence or None
            Its state now; None if the server is unknown.
        """
        row = self._rows.get(name)
        if row is None:
            return None
        if may_be_lapsed and not row.entry.is_draining:
            row.presence = Presence.LAPSED
            self._lapsed.add(name)
            return Presence.LAPSED
        self._remove(row, now)
        return Presence.GONE

    def remove_lapsed(self, now: Millis) -> list[str]:
        """Remove the servers whose records lapsed; return their names."""
        names = sorted(self._lapsed)
        for name in names:
            self._remove(self._rows[name], now)
        return names

    def expire(self, now: Millis) -> None:
        """Remove servers whose cookies have expired."""
        for name in self._cookies.expire(now):
            self._removed.pop(name, None)

    def _add(self, entry: BackendServerEntry, before: ServerRow | None) -> ServerRow:
        self._usable.clear()
        if before is not None:
            self._service_rows(before.entry).remove(before)
        sharing = self._cookies.add(entry.name, entry.started_at)
        self._update_cookies(sharing)
        row = ServerRow(entry, self._cookies.cookie(entry.name))
        self._rows[entry.name] = row
        self._removed.pop(entry.name, None)
        self._service_rows(entry).append(row)
        return row

    def _remove(self, row: ServerRow, now: Millis) -> None:
        self._usable.clear()
        row.presence = Presence.GONE
        row.removed_at = now
        self._lapsed.discard(row.name)
        del self._rows[row.name]
        self._removed[row.name] = row
        self._service_rows(row.entry).remove(row)
        self._update_cookies(self._cookies.remove(row.name, now))

    def _usable_rows(self, service: str) -> tuple[list[ServerRow], list[ServerRow]]:
        """Return the local and remote servers of a service, without evacuated ones.

        The lists are kept until a server or an evacuation changes. Filtering 600
        servers for each opening took 197 us.
        """
        rows = self._local.get(service, []), self._remote.get(service, [])
        if len(self._evacuations) == 0:
            return rows
        if self._usable_at != self._evacuations.n_changes:
            self._usable_at = self._evacuations.n_changes
            self._usable.clear()
        usable = self._usable.get(service)
        if usable is None:
            local, remote = (
                [row for row in part if not self.is_evacuated(row)] for part in rows
            )
            usable = self._usable[service] = local, remote
        return usable

    def _update_cookies(self, names: list[str]) -> None:
        for name in names:
            self._rows[name].cookie = self._cookies.cookie(name)

    def _service_rows(self, entry: BackendServerEntry) -> list[ServerRow]:
        """Return the list for the service of `entry`, local or remote."""
        is_local = entry.data_centre == self._data_centre
        return (self._local if is_local else self._remote).setdefault(entry.service, [])


def has_free_slots(rows: Iterable[ServerRow], now: Millis) -> bool:
    """Return whether servers have fewer requests, by the latest reports, than slots.

    Servers that accept no flows or are suspect don't count.
    """
    n_free = 0.0
    for row in rows:
        if row.accepts_flows and not row.is_suspect(now):
            n_requests = row.n_pending_requests + row.n_peer_requests + row.n_half_open
            n_free += row.capacity(now) - n_requests
    return n_free > 0.0


def _is_replacement(held: BackendServerEntry, entry: BackendServerEntry) -> bool:
    """Return whether an entry has another start, service or data centre."""
    return (held.started_at, held.service, held.data_centre) != (
        entry.started_at,
        entry.service,
        entry.data_centre,
    )


def _random_window(
    rows: list[ServerRow], n_rows: int, random: Random
) -> list[ServerRow]:
    """Return up to `n_rows` consecutive rows from a random one, wrapping around."""
    if len(rows) <= n_rows:
        return rows
    start = random.randrange(len(rows))
    window = rows[start : start + n_rows]
    return window + rows[: n_rows - len(window)]
