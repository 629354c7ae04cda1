"""Membership of the balancers: liveness, the reader of the store, heartbeat targets.

Members are discovered through the store, seeds and gossip. In each data centre the
first live member by name reads the store and the others take its changes. A member
whose replica is no longer confirmed reads the store itself, whichever member is first.
"""

from collections.abc import Collection
from random import Random

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.heartbeat import MAX_CONFIRMED_AGE_MILLIS, Heartbeat
from stoattray_core.steering.readers import ReaderTable
from stoattray_core.steering.replica import Version

LIVENESS_TIMEOUT_MILLIS = 1_000
"""A member is live for this time after a heartbeat: five local heartbeat intervals."""

MAX_LIVENESS_TIMEOUT_FACTOR = 3.0
"""Limit on the factor that lengthens the liveness timeout in a data centre with more
members than heartbeat targets. At 100 members the timeout is 3 s, within which 7 of 10
live members send a heartbeat here."""

SILENT_TIMEOUT_FACTOR = 3
"""A local member is reported silent after this multiple of the liveness timeout. Remote
members send heartbeats to only a few at a time, so they are reported on expiry."""

MEMBER_EXPIRY_MILLIS = 60_000
"""Members without a heartbeat for this long are removed; a live one is rediscovered."""

READINESS_PROPAGATION_MILLIS = 600
"""Time until routers know that a member is ready; they poll it every 0.5 s."""

RETURN_GRACE_MILLIS = 10_000
"""A silent member still counts towards the size of its data centre for this time."""

N_LOCAL_TARGETS = 8
"""Local members that each heartbeat is sent to; bounds the messages per member."""

N_REMOTE_TARGETS = 2
"""Remote members that a heartbeat is sent to; inter-data-centre traffic is billed."""


class MemberRow:
    """State of one other balancer.

    Parameters
    ----------
    entry : MemberEntry
        Its identity and address.
    learned_at : Millis
        When this entry was first received.

    Attributes
    ----------
    heartbeat_at : Millis or None
        When its last heartbeat arrived; None before the first.
    is_silent : bool
        Whether it counts as silent; True before its first heartbeat.
    ready_since : Millis
        When it last became ready.
    version : Version
        Version of its replica of the store.
    """

    __slots__ = (
        "entry",
        "heartbeat_at",
        "is_ready",
        "is_silent",
        "learned_at",
        "ready_since",
        "version",
    )

    def __init__(self, entry: MemberEntry, learned_at: Millis) -> None:
        self.entry = entry
        self.learned_at = learned_at
        self.heartbeat_at: Millis | None = None
        self.is_ready = False
        self.is_silent = True
        self.ready_since: Millis = 0
        self.version = Version(0, 0)


class MemberTable:
    """All known balancers except this one, by name.

    Parameters
    ----------
    own : MemberEntry
        This balancer.
    random : Random
        Samples members.
    """

    def __init__(self, own: MemberEntry, random: Random) -> None:
        self._own = own
        self._random = random
        self._rows: dict[str, MemberRow] = {}
        self._readers = ReaderTable(own.name)
        self._liveness_timeout_millis: Millis = LIVENESS_TIMEOUT_MILLIS

    @property
    def data_centre(self) -> str:
        """Return the data centre of this balancer."""
        return self._own.data_centre

    @property
    def rows(self) -> Collection[MemberRow]:
        """Return all rows."""
        return self._rows.values()

    @property
    def samples_local_targets(self) -> bool:
        """Return whether heartbeats go to a sample of this data centre's members."""
        return sum(self._is_local(row.entry) for row in self.rows) > N_LOCAL_TARGETS

    def knows_process(self, entry: MemberEntry) -> bool:
        """Return whether there was a heartbeat of this start of a member."""
        row = self._rows.get(entry.name)
        return (
            row is not None
            and row.heartbeat_at is not None
            and row.entry.incarnation == entry.incarnation
        )

    def discover(self, entry: MemberEntry, now: Millis) -> None:
        """Add or update a member from a third party.

        The entry of a live member is kept, since it came with its own heartbeat.
        Incarnations are wall-clock times. The clock may be set back between two
        starts, so a later incarnation is not always higher.
        """
        if entry.name == self._own.name:
            return
        row = self._rows.get(entry.name)
        if row is None:
            self._rows[entry.name] = MemberRow(entry, now)
        elif entry.incarnation > row.entry.incarnation and not self._is_live(row, now):
            row.entry = entry
            row.learned_at = now

    def receive_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> bool:
        """Apply a heartbeat; return whether its sender is new or had been silent.

        A lower incarnation is only accepted once the higher one is no longer live.
        """
        entry = heartbeat.member
        if entry.name == self._own.name:
            return False
        row = self._rows.setdefault(entry.name, MemberRow(entry, now))
        was_live = self._is_live(row, now)
        if was_live and entry.incarnation < row.entry.incarnation:
            return False
        is_same_process = was_live and entry.incarnation == row.entry.incarnation
        if heartbeat.is_ready and not (is_same_process and row.is_ready):
            row.ready_since = now
        if entry != row.entry:
            row.is_silent |= entry.incarnation != row.entry.incarnation
            row.entry = entry
            row.learned_at = now
        row.heartbeat_at = now
        row.is_ready = heartbeat.is_ready
        row.version = heartbeat.version
        if self._is_local(entry):
            self._readers.receive_heartbeat(heartbeat, now)
        for member in heartbeat.live_members:
            self.discover(member, now)
        was_silent, row.is_silent = row.is_silent, False
        return was_silent

    def expire(self, now: Millis) -> list[str]:
        """Remove expired members; return the names of members newly found silent."""
        self._readers.expire(now)
        expired = [
            name
            for name, row in self._rows.items()
            if now - max(row.heartbeat_at or 0, row.learned_at) > MEMBER_EXPIRY_MILLIS
        ]
        silent = [name for name in expired if not self._rows.pop(name).is_silent]
        n_local = sum(self._is_local(row.entry) for row in self._rows.values())
        factor = min(MAX_LIVENESS_TIMEOUT_FACTOR, max(1.0, n_local / N_LOCAL_TARGETS))
        self._liveness_timeout_millis = int(LIVENESS_TIMEOUT_MILLIS * factor)
        for name, row in self._rows.items():
            is_timed_out = (
                now - (row.heartbeat_at or 0)
                > SILENT_TIMEOUT_FACTOR * self._liveness_timeout_millis
            )
            if is_timed_out and not row.is_silent and self._is_local(row.entry):
                row.is_silent = True
                silent.append(name)
        return silent

    def live(self, now: Millis) -> list[MemberRow]:
        """Return the members with a recent heartbeat."""
        return [row for row in self._rows.values() if self._is_live(row, now)]

    def live_local(self, now: Millis) -> list[MemberRow]:
        """Return the live members of this data centre."""
        return [row for row in self.live(now) if self._is_local(row.entry)]

    def may_become_unready(self, now: Millis) -> bool:
        """Return whether callers are still served if this balancer becomes unready.

        Once fewer than half of a data centre's balancers are ready, routers send to
        all of them, including those that are down. The only balancer of a data centre
        may always become unready: routers then use the nearest other data centres.
        """
        n_ready, n_balancers = 0, 1
        for row in self._rows.values():
            if not self._is_local(row.entry) or row.heartbeat_at is None:
                continue
            if now - row.heartbeat_at > RETURN_GRACE_MILLIS:
                continue
            n_balancers += 1
            is_propagated = now - row.ready_since >= READINESS_PROPAGATION_MILLIS
            n_ready += self._is_live(row, now) and row.is_ready and is_propagated
        return n_balancers == 1 or 2 * n_ready >= n_balancers

    def must_read_store(self, now: Millis, confirmed_age: Millis) -> bool:
        """Return whether this balancer has to read the store itself.

        Parameters
        ----------
        now : Millis
            Current time.
        confirmed_age : Millis
            Time since this balancer's replica was confirmed by the store or a peer.
        """
        if confirmed_age > MAX_CONFIRMED_AGE_MILLIS:
            return True
        return not any(name < self._own.name for name in self._reader_ages(now))

    def first_reader(
        self, now: Millis, own_age: Millis | None
    ) -> tuple[str, Millis] | None:
        """Return the first reader by name and the age of its confirmation, or None.

        Parameters
        ----------
        now : Millis
            Current time.
        own_age : Millis or None
            Age of this balancer's confirmation; None if it does not read the store.
        """
        ages = self._reader_ages(now)
        if own_age is not None and own_age <= MAX_CONFIRMED_AGE_MILLIS:
            ages[self._own.name] = own_age
        return min(ages.items(), default=None)

    def n_preceding(self, now: Millis) -> int:
        """Return how many live balancers of the data centre have an earlier name."""
        return sum(row.entry.name < self._own.name for row in self.live_local(now))

    def choose_relay_target(self, now: Millis, version: Version) -> MemberEntry | None:
        """Return a ready balancer that may hold newer state than this one, or None.

        Parameters
        ----------
        now : Millis
            Current time.
        version : Version
            Version of this balancer's replica; a later one is preferred, then one in
            this data centre.
        """
        ready = [row for row in self.live(now) if row.is_ready]
        if not ready:
            return None
        own = self._own.data_centre
        best = max(
            ready,
            key=lambda row: (
                row.version > version,
                row.entry.data_centre == own,
                self._random.random(),
            ),
        )
        return best.entry

    def sample_snapshot_sources(self, now: Millis, n_members: int) -> list[MemberEntry]:
        """Return a sample of members to request a snapshot of the store from.

        Samples live and ready members, or members without any heartbeat yet if there
        are none. Members of this data centre are preferred.
        """
        rows = [row for row in self.live(now) if row.is_ready]
        rows = rows or [row for row in self._rows.values() if row.heartbeat_at is None]
        own = self._own.data_centre
        local = [row.entry for row in rows if row.entry.data_centre == own]
        return self._sample(local or [row.entry for row in rows], n_members)

    def sample_heartbeat_targets(
        self, now: Millis, *, include_remote: bool
    ) -> list[MemberEntry]:
        """Return a sample of members to send the next heartbeat to."""
        local: list[MemberEntry] = []
        remote: list[MemberEntry] = []
        for row in self._rows.values():
            if now - max(row.heartbeat_at or 0, row.learned_at) > MEMBER_EXPIRY_MILLIS:
                continue
            (local if self._is_local(row.entry) else remote).append(row.entry)
        targets = self._sample(local, N_LOCAL_TARGETS)
        return (
            targets + self._sample(remote, N_REMOTE_TARGETS)
            if include_remote
            else targets
        )

    def sample_live(self, now: Millis, n_members: int) -> tuple[MemberEntry, ...]:
        """Return a sample of live members to pass on in a heartbeat."""
        live = [row.entry for row in self.live(now)]
        return tuple(self._sample(live, n_members))

    def _sample(self, entries: list[MemberEntry], n_members: int) -> list[MemberEntry]:
        if len(entries) <= n_members:
            return entries
        return self._random.sample(entries, n_members)

    def _is_live(self, row: MemberRow, now: Millis) -> bool:
        return (
            row.heartbeat_at is not None
            and now - row.heartbeat_at <= self._liveness_timeout_millis
        )

    def _reader_ages(self, now: Millis) -> dict[str, Millis]:
        """Return the ages of the confirmations of live readers, by name.

        In a large data centre a reader's own heartbeats may arrive less often than its
        confirmations do through other members, so either of them shows that it is live.
        """
        ages = self._readers.confirmed_ages(now)
        for name, age in list(ages.items()):
            row = self._rows.get(name)
            heartbeat_at = row.heartbeat_at if row is not None else None
            if (
                heartbeat_at is not None
                and min(age, now - heartbeat_at) > self._liveness_timeout_millis
            ):
                del ages[name]
        return ages

    def _is_local(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self._own.data_centre
