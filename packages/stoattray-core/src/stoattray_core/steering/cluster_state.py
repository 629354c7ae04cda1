"""Cluster state of a balancer: configuration, backend servers and members.

It is built from records of the store, read directly or through peers. The
configuration's version never decreases.

If the store returns from an older copy, what the copy holds may be outdated and what it
lacks may exist. Until servers and operators have written again:

1. A configuration of a lower version is not applied.
2. A server's entry is not applied if a later one is known, or the server's removal.
3. A server that the copy lacks counts as lapsed, not as removed.
4. An evacuation that has ended is not restored, and one that the copy lacks is kept for
   a while (`evacuations.py`).
5. A destination without a route may have one. A process that starts in a later era does
   not know when the store returned, so this holds after its first read, too.
"""

from collections import Counter

from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import (
    BackendServerEntry,
    Configuration,
    MemberEntry,
)
from stoattray_core.steering.evacuations import EvacuationChange, Evacuations
from stoattray_core.steering.members import MemberTable
from stoattray_core.steering.protocols import EventSink, RecordDecoder
from stoattray_core.steering.replica import Difference, Record, Replica, Version
from stoattray_core.steering.servers import (
    REREGISTRATION_MILLIS,
    Presence,
    ServerTable,
)
from stoattray_core.steering.store_health import StoreHealth
from stoattray_core.steering.warm_up_limit import WarmUpLimit


class ClusterState:
    """Replica of the store and the tables built from it.

    Parameters
    ----------
    servers : ServerTable
        Backend servers.
    members : MemberTable
        Other balancers.
    evacuations : Evacuations
        Evacuated data centres.
    warm_up : WarmUpLimit
        Learns which balancers are listed, and the records of servers.
    decoder : RecordDecoder
        Decodes records.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        servers: ServerTable,
        members: MemberTable,
        evacuations: Evacuations,
        *,
        warm_up: WarmUpLimit,
        decoder: RecordDecoder,
        on_event: EventSink,
    ) -> None:
        self.servers = servers
        self.members = members
        self.evacuations = evacuations
        self.replica = Replica()
        self.store_health = StoreHealth(REREGISTRATION_MILLIS)
        self.n_malformed = 0
        self.n_failed = 0
        self.n_restored = 0
        self.evacuation_changes: Counter[str] = Counter()
        self._warm_up = warm_up
        self._decoder = decoder
        self._on_event = on_event
        self._configuration: Configuration | None = None
        self._confirmed_at: Millis | None = None
        self._restored_until: Millis = 0

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._configuration

    def confirmed_age(self, now: Millis) -> Millis:
        """Return how long ago the replica was confirmed complete; `now` if never."""
        return now if self._confirmed_at is None else now - self._confirmed_at

    def may_lack_writes(self, now: Millis) -> bool:
        """Return whether the store may have lost writes that are not repeated yet."""
        return now < self._restored_until

    def confirm_replica(self, at: Millis) -> None:
        """Note that the replica was complete at a time."""
        self.store_health.note_read(at)
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def apply(self, difference: Difference, now: Millis) -> None:
        """Apply changes from the store or a peer.

        The first snapshot is logged as one summary event. One event for each server
        took longer than reading the snapshot, and used up the rate limit of other
        events.
        """
        before = self.replica.version
        is_first = before.revision == 0
        changed = self.replica.merge(difference)
        is_later_era = self.replica.version.era > before.era
        if is_later_era:
            self._restored_until = now + REREGISTRATION_MILLIS
        is_restored = is_later_era and not is_first
        if is_restored:
            self._note_restored(before, now)
        for record in changed:
            try:
                self._apply_record(
                    record, now, logs_change=not is_first, is_from_copy=is_restored
                )
            except Exception as error:  # noqa: BLE001 - the other records still apply
                self.n_failed += 1
                self._on_event("record_failed", key=record.key, error=repr(error))
        self._apply_evacuations(difference, changed, now, is_restored=is_restored)
        if is_first and changed:
            self._on_event(
                "copy_taken",
                era=self.replica.version.era,
                revision=self.replica.revision,
                n_records=len(changed),
                n_servers=len(self.servers),
            )

    def remove_lapsed(self, now: Millis) -> None:
        """Remove servers that did not register again after the store recovered."""
        if not self.servers.has_lapsed or not self.store_health.is_settled(now):
            return
        for name in self.servers.remove_lapsed(now):
            self._on_event("backend_server_gone", server=name, reason="lapsed")

    def end_kept_evacuations(self, now: Millis) -> None:
        """End evacuations that a returned store still lacks after the longest time."""
        self._log_evacuations(self.evacuations.expire(now), now)

    def _note_restored(self, before: Version, now: Millis) -> None:
        self.n_restored += 1
        self.store_health.note_restored(now)
        version = self.replica.version
        self._on_event(
            "store_restored",
            era_before=before.era,
            era=version.era,
            revision_before=before.revision,
            revision=version.revision,
        )

    def _apply_record(
        self, record: Record, now: Millis, *, logs_change: bool, is_from_copy: bool
    ) -> None:
        if record.value is None:
            self._apply_removal(record, now)
            return
        entry = self._decoder.decode(record)
        if isinstance(entry, Configuration):
            self._apply_configuration(entry, record, now)
        elif isinstance(entry, BackendServerEntry):
            if is_from_copy and self.servers.is_outdated(entry):
                self._on_event("record_outdated", key=record.key)
                return
            self._apply_server(entry, record, now, logs_change=logs_change)
        elif isinstance(entry, MemberEntry):
            self.members.discover(entry, now)
            self._warm_up.put_member(record.key, entry, now)
        elif isinstance(entry, Refused):
            self.n_malformed += 1
            self._on_event(
                "record_malformed",
                key=record.key,
                revision=record.revision,
                reason=entry.detail,
            )
            self._apply_removal(record, now)

    def _apply_configuration(
        self, entry: Configuration, record: Record, now: Millis
    ) -> None:
        current = self._configuration
        if current is not None and entry.version <= current.version:
            self._on_event(
                "configuration_refused", version=entry.version, held=current.version
            )
            return
        self._configuration = entry
        self._on_event(
            "configuration_in_force",
            version=entry.version,
            era=self.replica.version.era,
            revision=record.revision,
            n_routes=len(entry.routes),
        )

    def _apply_server(
        self,
        entry: BackendServerEntry,
        record: Record,
        now: Millis,
        *,
        logs_change: bool,
    ) -> None:
        before = self.servers.get(entry.name)
        was_draining = before is not None and before.entry.is_draining
        earlier_start = self.servers.earlier_start(entry, now)
        row = self.servers.put(entry, now)
        self._warm_up.note_server(row, earlier_start)
        has_changed = before is None or entry.is_draining != was_draining
        if has_changed and logs_change:
            self._on_event(
                "backend_server",
                server=entry.name,
                service=entry.service,
                state="draining" if entry.is_draining else "ready",
                revision=record.revision,
                warmup_ms=entry.warmup_remaining_millis,
            )

    def _apply_evacuations(
        self,
        difference: Difference,
        changed: list[Record],
        now: Millis,
        *,
        is_restored: bool,
    ) -> None:
        """Apply the records of evacuations, after those of servers.

        Parameters
        ----------
        difference : Difference
            What the store or a peer sent.
        changed : list of Record
            Records that differ from those held before.
        now : Millis
            Current time.
        is_restored : bool
            Whether this is the first snapshot of a new era.
        """
        if is_restored:
            changes = self._restored_evacuations(difference, now)
        else:
            records = list(changed)
            if self.evacuations.has_kept and difference.era == self.replica.version.era:
                # A peer sends the removal of a record that this replica never held.
                records += [item for item in difference.records if item.value is None]
            found = [self._apply_evacuation(record, now) for record in records]
            changes = [change for change in found if change is not None]
        self._log_evacuations(changes, now)

    def _restored_evacuations(
        self, snapshot: Difference, now: Millis
    ) -> list[EvacuationChange]:
        records = {}
        for record in snapshot.records:
            data_centre = self._decoder.evacuated_data_centre(record.key)
            if data_centre is not None:
                records[data_centre] = record
        revisions = {name: record.revision for name, record in records.items()}
        changes = self.evacuations.restore(revisions, snapshot.revision, now)
        for data_centre, record in records.items():
            if not self.evacuations.is_evacuated(data_centre):
                self._on_event("record_outdated", key=record.key)
        return changes

    def _apply_evacuation(self, record: Record, now: Millis) -> EvacuationChange | None:
        data_centre = self._decoder.evacuated_data_centre(record.key)
        if data_centre is None:
            return None
        if record.value is None:
            return self.evacuations.end(data_centre, record.revision, now)
        return self.evacuations.begin(data_centre, record.revision)

    def _log_evacuations(self, changes: list[EvacuationChange], now: Millis) -> None:
        for data_centre, state, revision in changes:
            self.evacuation_changes[state.value] += 1
            self._on_event(
                "evacuation",
                data_centre=data_centre,
                state=state.value,
                era=self.replica.version.era,
                revision=revision,
                age_ms=self.confirmed_age(now),
                n_servers=self.servers.n_in_data_centre(data_centre),
            )

    def _apply_removal(self, record: Record, now: Millis) -> None:
        self._warm_up.remove_member(record.key, now)
        name = self._decoder.backend_server_name(record.key)
        if name is None:
            return
        presence = self.servers.mark_removed(
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
