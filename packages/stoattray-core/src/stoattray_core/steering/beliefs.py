"""What a balancer believes: configuration, backend servers and members.

Beliefs come from records of the store, straight or through peers. The configuration's
version never falls.
"""

from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import (
    BackendServerEntry,
    Configuration,
    MemberEntry,
)
from stoattray_core.steering.interfaces import Decoder, EventSink
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.replica import Difference, Record, Replica
from stoattray_core.steering.servers import (
    FIRST_RETURN_MILLIS,
    Presence,
    ServerTable,
)
from stoattray_core.steering.store_health import StoreHealth


class Beliefs:
    """Copy of the store and the tables made from it.

    Parameters
    ----------
    servers : ServerTable
        Backend servers.
    members : MemberTable
        Other balancers.
    decoder : Decoder
        Reads records.
    on_event : EventSink
        Takes events.
    """

    def __init__(
        self,
        servers: ServerTable,
        members: MemberTable,
        *,
        decoder: Decoder,
        on_event: EventSink,
    ) -> None:
        self.servers = servers
        self.members = members
        self.replica = Replica()
        self.store_health = StoreHealth(FIRST_RETURN_MILLIS)
        self.n_malformed = 0
        self._decoder = decoder
        self._on_event = on_event
        self._configuration: Configuration | None = None
        self._confirmed_at: Millis | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._configuration

    def confirmed_age(self, now: Millis) -> Millis:
        """Return how long ago the copy of the store was known to be complete."""
        return now if self._confirmed_at is None else now - self._confirmed_at

    def confirm(self, at: Millis) -> None:
        """Note that the copy was complete at a time."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def take(self, difference: Difference, now: Millis) -> None:
        """Take changes from the store or a peer.

        Of the first copy only a sum is told: a line for each server took longer than
        reading it, and left no room for others.
        """
        is_first = self.replica.revision == 0
        changed = self.replica.merge(difference)
        for record in changed:
            self._apply(record, now, is_first=is_first)
        if is_first and changed:
            self._on_event(
                "copy_taken",
                revision=self.replica.revision,
                n_records=len(changed),
                n_servers=len(self.servers),
            )

    def end_lapses(self, now: Millis) -> None:
        """Remove servers whose records did not come back with the store."""
        if not self.store_health.is_settled(now):
            return
        for name in self.servers.end_lapses(now):
            self._on_event("backend_server_gone", server=name, reason="lapsed")

    def _apply(self, record: Record, now: Millis, *, is_first: bool) -> None:
        if record.value is None:
            self._remove(record, now)
            return
        entry = self._decoder.decode(record)
        if isinstance(entry, Configuration):
            self._install(entry, record, now)
        elif isinstance(entry, BackendServerEntry):
            self._put_server(entry, record, now, is_told=not is_first)
        elif isinstance(entry, MemberEntry):
            self.members.learn(entry, now)
        elif isinstance(entry, Refused):
            self.n_malformed += 1
            self._on_event(
                "record_malformed",
                key=record.key,
                revision=record.revision,
                reason=entry.detail,
            )
            self._remove(record, now)

    def _install(self, entry: Configuration, record: Record, now: Millis) -> None:
        held = self._configuration
        if held is not None and entry.version <= held.version:
            self._on_event(
                "configuration_refused", version=entry.version, held=held.version
            )
            return
        self._configuration = entry
        self._on_event(
            "configuration_in_force",
            version=entry.version,
            revision=record.revision,
            n_routes=len(entry.routes),
        )

    def _put_server(
        self, entry: BackendServerEntry, record: Record, now: Millis, *, is_told: bool
    ) -> None:
        before = self.servers.get(entry.name)
        was_draining = before is not None and before.entry.is_draining
        self.servers.put(entry, now)
        is_news = before is None or entry.is_draining != was_draining
        if is_news and is_told:
            self._on_event(
                "backend_server",
                server=entry.name,
                service=entry.service,
                state="draining" if entry.is_draining else "ready",
                revision=record.revision,
                warmup_ms=entry.warmup,
            )

    def _remove(self, record: Record, now: Millis) -> None:
        name = self._decoder.backend_server_name(record.key)
        if name is None:
            return
        presence = self.servers.vanish(
            name, now, may_be_lapsed=not self.store_health.is_settled(now)
        )
        if presence is not None:
            reason = "lapsed" if presence is Presence.LAPSED else "removed"
            self._on_event(
                "backend_server_gone",
                server=name,
                reason=reason,
                revision=record.revision,
            )
