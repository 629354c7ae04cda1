"""Backend servers as this balancer believes them to be.

A server that vanished from the store is gone at once, unless the store was unwell
shortly before: then its record may only have lapsed, and it stays usable until the
store has been well for long enough for live servers to write themselves again.
"""

from collections.abc import Iterator
from enum import Enum
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cookies import CookieTable
from stoattray_core.steering.entries import BackendServerEntry

FIRST_RETURN_MILLIS = 2_600
"""Live servers write themselves again within about 2 s of the store's return."""

MIN_CAPACITY = 0.5
"""Least share of a slot that counts; keeps costs finite for odd entries."""

N_NEAR_CANDIDATES = 12
N_FAR_CANDIDATES = 6
"""Servers compared for one flow, in the own data centre and elsewhere. Comparing all 75
took 189 us; with 18 the least loaded one is missed by little."""

COLD_CAPACITY_SHARE = 0.6
"""Capacity of a server that has just started; cold ones take 1.6 times as long."""


class Presence(Enum):
    """Whether a server's record stands in the store."""

    LISTED = "listed"
    LAPSED = "lapsed"
    GONE = "gone"


class ServerRow:
    """One backend server and what this balancer has seen of it.

    Parameters
    ----------
    entry : BackendServerEntry
        What it last said.
    cookie : int
        Names it in packets.

    Attributes
    ----------
    warm_at : Millis
        When it stops being slow.
    presence : Presence
        Whether it is in the store.
    n_open : int
        Flows that this balancer opened there and that have not ended.
    n_unanswered : int
        Of these, flows whose caller has not gone on yet.
    n_asked : int
        Of the open flows, those whose request has not been answered yet.
    peer_load : float
        Unanswered requests that other balancers tell of, on average.
    slowness : float
        Time that its flows take, in multiples of the service's usual time.
    """

    __slots__ = (
        "address",
        "answer_millis",
        "cookie",
        "entry",
        "failing_until",
        "fast_share",
        "heard_at",
        "last_answer_at",
        "n_answers",
        "n_asked",
        "n_open",
        "n_silent",
        "n_unanswered",
        "own_verdict_until",
        "paced_at",
        "peer_load",
        "presence",
        "slowness",
        "suspect_until",
        "warm_at",
    )

    def __init__(self, entry: BackendServerEntry, cookie: int) -> None:
        self.entry = entry
        self.cookie = cookie
        self.address = entry.address
        self.presence = Presence.LISTED
        self.warm_at: Millis = 0
        self.heard_at: Millis = 0
        self.last_answer_at: Millis = 0
        self.suspect_until: Millis = 0
        self.n_silent = 0
        self.n_open = 0
        self.n_unanswered = 0
        self.n_asked = 0
        self.peer_load = 0.0
        self.slowness = 1.0
        self.answer_millis = 0.0
        self.n_answers = 0
        self.paced_at: Millis = 0
        self.fast_share = 0.0
        self.failing_until: Millis = 0
        self.own_verdict_until: Millis = 0

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.entry.name

    @property
    def takes_new(self) -> bool:
        """Return whether new flows may be opened there."""
        return self.presence is not Presence.GONE and not self.entry.is_draining

    def capacity(self, now: Millis) -> float:
        """Return how many requests it works on at once, in warm slots."""
        slots = max(MIN_CAPACITY, float(self.entry.capacity))
        return slots * COLD_CAPACITY_SHARE if now < self.warm_at else slots

    def is_suspect(self, now: Millis) -> bool:
        """Return whether it lately left openings unanswered, or failed requests."""
        return now < self.suspect_until or now < self.failing_until


class ServerTable:
    """Rows by name, by cookie and by service.

    Parameters
    ----------
    linger : Millis
        How long cookies are read after a server has gone.
    data_centre : str
        Where this balancer stands.
    """

    def __init__(self, linger: Millis, data_centre: str) -> None:
        self._data_centre = data_centre
        self._rows: dict[str, ServerRow] = {}
        self._lingering: dict[str, ServerRow] = {}
        self._near: dict[str, list[ServerRow]] = {}
        self._far: dict[str, list[ServerRow]] = {}
        self._cookies = CookieTable(linger)
        self._lapsed: set[str] = set()

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self._rows.values())

    def get(self, name: str) -> ServerRow | None:
        """Return a listed or lapsed server."""
        return self._rows.get(name)

    def of_service(self, service: str) -> list[ServerRow]:
        """Return the servers of a service, draining ones included."""
        return self._near.get(service, []) + self._far.get(service, [])

    def n_of_service(self, service: str) -> int:
        """Return how many servers a service has."""
        return len(self._near.get(service, ())) + len(self._far.get(service, ()))

    def is_pressed(self, service: str, now: Millis) -> bool:
        """Return whether the near servers of a service have more flows than slots."""
        rows = self._near.get(service) or self._far.get(service, [])
        n_flows = sum(row.n_open + row.peer_load for row in rows)
        return n_flows > sum(row.capacity(now) for row in rows)

    def candidates(self, service: str, random: Random) -> list[ServerRow]:
        """Return servers of a service to choose from, a bounded number."""
        near = _window(self._near.get(service, []), N_NEAR_CANDIDATES, random)
        return near + _window(self._far.get(service, []), N_FAR_CANDIDATES, random)

    def by_cookie(self, cookie: int) -> ServerRow | None:
        """Return the server that a packet names, also when it has gone lately."""
        name = self._cookies.read(cookie)
        if name is None:
            return None
        return self._rows.get(name) or self._lingering.get(name)

    def put(self, entry: BackendServerEntry, now: Millis) -> ServerRow:
        """Take what a backend server says of itself."""
        row = self._rows.get(entry.name)
        if row is None or _is_other(row.entry, entry):
            row = self._start(entry, row)
        row.entry = entry
        row.address = entry.address
        row.warm_at = now + entry.warmup
        row.presence = Presence.LISTED
        row.heard_at = now
        row.cookie = self._cookies.cookie(entry.name)
        self._lapsed.discard(entry.name)
        return row

    def vanish(self, name: str, now: Millis, *, may_be_lapsed: bool) -> Presence | None:
        """Note that a server's record is no longer in the store.

        Parameters
        ----------
        name : str
            Name of the server.
        now : Millis
            Current time.
        may_be_lapsed : bool
            Whether the store was unwell, so that the record may have lapsed.

        Returns
        -------
        Presence or None
            What is believed of it now; None if it was unknown.
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

    def end_lapses(self, now: Millis) -> list[str]:
        """Remove the servers whose records did not come back; return their names."""
        names = sorted(self._lapsed)
        for name in names:
            self._remove(self._rows[name], now)
        return names

    def expire(self, now: Millis) -> None:
        """Forget the cookies of servers that have been gone for long."""
        for name in self._cookies.expire(now):
            self._lingering.pop(name, None)

    def _start(self, entry: BackendServerEntry, before: ServerRow | None) -> ServerRow:
        if before is not None:
            self._side(before.entry).remove(before)
        self._cookies.add(entry.name, entry.born)
        row = ServerRow(entry, self._cookies.cookie(entry.name))
        self._rows[entry.name] = row
        self._lingering.pop(entry.name, None)
        self._side(entry).append(row)
        return row

    def _remove(self, row: ServerRow, now: Millis) -> None:
        row.presence = Presence.GONE
        self._lapsed.discard(row.name)
        del self._rows[row.name]
        self._lingering[row.name] = row
        self._side(row.entry).remove(row)
        self._cookies.remove(row.name, now)

    def _side(self, entry: BackendServerEntry) -> list[ServerRow]:
        """Return the list that a server's row belongs to."""
        is_near = entry.data_centre == self._data_centre
        return (self._near if is_near else self._far).setdefault(entry.service, [])


def _is_other(held: BackendServerEntry, entry: BackendServerEntry) -> bool:
    """Return whether an entry tells of another start, service or data centre."""
    return (held.born, held.service, held.data_centre) != (
        entry.born,
        entry.service,
        entry.data_centre,
    )


def _window(rows: list[ServerRow], n_rows: int, random: Random) -> list[ServerRow]:
    """Return up to `n_rows` neighbours from a random place on."""
    if len(rows) <= n_rows:
        return rows
    start = random.randrange(len(rows))
    window = rows[start : start + n_rows]
    return window + rows[: n_rows - len(window)]
