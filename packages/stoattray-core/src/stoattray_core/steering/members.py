"""Other balancers: who is heard, who reads the store, whom to tell.

Members are learned from the store, from seeds and from each other. In each data
centre the first live member by name reads the store, and the others take its
changes; a member whose copy is no longer confirmed reads for itself, whoever
else should.
"""

from collections.abc import Iterable
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.member_terms import CONFIRMED_MILLIS, Heartbeat
from stoattray_core.steering.readers import Readers

HEARD_MILLIS = 1_000
"""A member is live if heard within this time: five heartbeats in its data centre."""

MAX_HEARD_FACTOR = 3.0
"""Most that the time above grows by where a data centre has more members than each
tells at once. At 100 members it is then 3 s, in which 7 of 10 live ones are heard."""

SILENT_FACTOR = 3
"""A member of the own data centre is said to be silent after so many times the time
above; others are told by turns, and are said to be when they are forgotten."""

FORGET_MILLIS = 60_000
"""Members unheard for this long are forgotten; one that lives tells of itself again."""

SEEN_READY_MILLIS = 600
"""Routers have seen that a member is ready again after this time; they ask each half
second."""

EXPECTED_BACK_MILLIS = 10_000
"""A member of the own data centre that fell silent is expected back for this time."""

N_NEAR_TOLD = 8
"""Members of the own data centre told each heartbeat; bounds messages per member."""

N_FAR_TOLD = 2
"""Members elsewhere told each heartbeat; bytes between data centres are priced."""


class MemberRow:
    """One other balancer as seen from here.

    Parameters
    ----------
    entry : MemberEntry
        What it says of itself.
    learned_at : Millis
        When this balancer learned of it.
    """

    __slots__ = (
        "entry",
        "heard_at",
        "is_ready",
        "is_silent",
        "learned_at",
        "ready_since",
        "revision",
    )

    def __init__(self, entry: MemberEntry, learned_at: Millis) -> None:
        self.entry = entry
        self.learned_at = learned_at
        self.heard_at: Millis | None = None
        self.is_ready = False
        self.is_silent = True
        self.ready_since: Millis = 0
        self.revision = 0


class MemberTable:
    """Rows by name, without this balancer itself.

    Parameters
    ----------
    own : MemberEntry
        This balancer.
    random : Random
        Draws whom to tell.
    """

    def __init__(self, own: MemberEntry, random: Random) -> None:
        self._own = own
        self._random = random
        self._rows: dict[str, MemberRow] = {}
        self._readers = Readers(own.name)
        self._heard_limit: Millis = HEARD_MILLIS

    @property
    def rows(self) -> Iterable[MemberRow]:
        """Return all rows."""
        return self._rows.values()

    def learn(self, entry: MemberEntry, now: Millis) -> None:
        """Take what others say of a member; what it says itself goes first.

        Incarnations come from the time of day, which may be set back between two
        starts, so the later one is only likely to be higher.
        """
        if entry.name == self._own.name:
            return
        row = self._rows.get(entry.name)
        if row is None:
            self._rows[entry.name] = MemberRow(entry, now)
        elif entry.incarnation > row.entry.incarnation and not self._is_live(row, now):
            row.entry = entry
            row.learned_at = now

    def hear(self, heartbeat: Heartbeat, now: Millis) -> bool:
        """Take a heartbeat; return whether its sender is new or had been silent.

        One of an older process is only believed when the newer one is silent.
        """
        entry = heartbeat.member
        if entry.name == self._own.name:
            return False
        row = self._rows.setdefault(entry.name, MemberRow(entry, now))
        was_live = self._is_live(row, now)
        if was_live and entry.incarnation < row.entry.incarnation:
            return False
        is_same = was_live and entry.incarnation == row.entry.incarnation
        if heartbeat.is_ready and not (is_same and row.is_ready):
            row.ready_since = now
        if entry != row.entry:
            row.is_silent |= entry.incarnation != row.entry.incarnation
            row.entry = entry
            row.learned_at = now
        row.heard_at = now
        row.is_ready = heartbeat.is_ready
        row.revision = heartbeat.revision
        if self._is_near(entry):
            self._readers.hear(heartbeat, now)
        for known in heartbeat.known:
            self.learn(known, now)
        is_news, row.is_silent = row.is_silent, False
        return is_news

    def forget(self, now: Millis) -> list[str]:
        """Forget members that are long gone; return those newly found silent."""
        self._readers.forget(now)
        gone = [
            name
            for name, row in self._rows.items()
            if now - max(row.heard_at or 0, row.learned_at) > FORGET_MILLIS
        ]
        found = [name for name in gone if not self._rows.pop(name).is_silent]
        n_near = sum(self._is_near(row.entry) for row in self._rows.values())
        factor = min(MAX_HEARD_FACTOR, max(1.0, n_near / N_NEAR_TOLD))
        self._heard_limit = int(HEARD_MILLIS * factor)
        for name, row in self._rows.items():
            is_over = now - (row.heard_at or 0) > SILENT_FACTOR * self._heard_limit
            if is_over and not row.is_silent and self._is_near(row.entry):
                row.is_silent = True
                found.append(name)
        return found

    def live(self, now: Millis) -> list[MemberRow]:
        """Return the members that are heard."""
        return [row for row in self._rows.values() if self._is_live(row, now)]

    def near(self, now: Millis) -> list[MemberRow]:
        """Return the live members of the own data centre."""
        return [row for row in self.live(now) if self._is_near(row.entry)]

    def may_turn_away(self, now: Millis) -> bool:
        """Return whether callers are served if this balancer is no longer ready.

        Routers use every balancer of a data centre, also those that are down, once
        fewer than half are ready. The last one of a data centre may always turn
        away: then routers use the nearest other data centres.
        """
        n_ready, n_all = 0, 1
        for row in self._rows.values():
            if not self._is_near(row.entry) or row.heard_at is None:
                continue
            if now - row.heard_at > EXPECTED_BACK_MILLIS:
                continue
            n_all += 1
            is_seen = now - row.ready_since >= SEEN_READY_MILLIS
            n_ready += self._is_live(row, now) and row.is_ready and is_seen
        return n_all == 1 or 2 * n_ready >= n_all

    def is_reader(self, now: Millis, confirmed_age: Millis) -> bool:
        """Return whether this balancer has to read the store itself.

        Parameters
        ----------
        now : Millis
            Current time.
        confirmed_age : Millis
            How long ago the own copy was confirmed, by the store or by a peer.
        """
        if confirmed_age > CONFIRMED_MILLIS:
            return True
        return not any(name < self._own.name for name in self._reader_ages(now))

    def first_reader(
        self, now: Millis, own_age: Millis | None
    ) -> tuple[str, Millis] | None:
        """Return the first reader of the data centre and its confirmation's age.

        Parameters
        ----------
        now : Millis
            Current time.
        own_age : Millis or None
            Age of this balancer's own confirmation; None if it does not read.
        """
        ages = self._reader_ages(now)
        if own_age is not None and own_age <= CONFIRMED_MILLIS:
            ages[self._own.name] = own_age
        return min(ages.items(), default=None)

    def n_before(self, now: Millis) -> int:
        """Return how many live balancers of the data centre have an earlier name."""
        return sum(row.entry.name < self._own.name for row in self.near(now))

    def draw_helper(self, now: Millis, revision: int) -> MemberEntry | None:
        """Return a balancer that may know what this one does not, or None.

        Parameters
        ----------
        now : Millis
            Current time.
        revision : int
            Revision of the own copy; balancers with a later one go first.
        """
        ready = [row for row in self.live(now) if row.is_ready]
        if not ready:
            return None
        own = self._own.data_centre
        best = max(
            ready,
            key=lambda row: (
                row.revision > revision,
                row.entry.data_centre == own,
                self._random.random(),
            ),
        )
        return best.entry

    def draw_ready(self, now: Millis, n_members: int) -> list[MemberEntry]:
        """Return some members that may hand out a copy, of the own data centre first.

        Members that are heard and ready are drawn; without any, those known at all.
        """
        rows = [row for row in self.live(now) if row.is_ready]
        rows = rows or [row for row in self._rows.values() if row.heard_at is None]
        own = self._own.data_centre
        near = [row.entry for row in rows if row.entry.data_centre == own]
        return self._draw(near or [row.entry for row in rows], n_members)

    def draw_told(self, now: Millis, *, with_far: bool) -> list[MemberEntry]:
        """Return whom to send the next heartbeat."""
        near: list[MemberEntry] = []
        far: list[MemberEntry] = []
        for row in self._rows.values():
            if now - max(row.heard_at or 0, row.learned_at) > FORGET_MILLIS:
                continue
            (near if self._is_near(row.entry) else far).append(row.entry)
        told = self._draw(near, N_NEAR_TOLD)
        return told + self._draw(far, N_FAR_TOLD) if with_far else told

    def draw_known(self, now: Millis, n_members: int) -> tuple[MemberEntry, ...]:
        """Return some live members for others to learn of."""
        live = [row.entry for row in self.live(now)]
        return tuple(self._draw(live, n_members))

    def _draw(self, entries: list[MemberEntry], n_members: int) -> list[MemberEntry]:
        if len(entries) <= n_members:
            return entries
        return self._random.sample(entries, n_members)

    def _is_live(self, row: MemberRow, now: Millis) -> bool:
        return row.heard_at is not None and now - row.heard_at <= self._heard_limit

    def _reader_ages(self, now: Millis) -> dict[str, Millis]:
        """Return confirmed readers, without those that fell silent.

        Where many members are told by turns, a reader may be heard less often than its
        confirmations are passed on.
        """
        ages = self._readers.fresh(now)
        for name, age in list(ages.items()):
            row = self._rows.get(name)
            heard_at = row.heard_at if row is not None else None
            if heard_at is not None and min(age, now - heard_at) > self._heard_limit:
                del ages[name]
        return ages

    def _is_near(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self._own.data_centre
