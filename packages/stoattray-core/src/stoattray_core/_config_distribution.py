"""Distribution of the configuration from the platform's store to all balancers.

A few balancers of each data centre read the store; the others pull from peers.
Entries carry the store's revision. A balancer at revision R holds every entry
as of R, so it applies a delta only if the delta starts at or below R and ends
above R. The applied revision never decreases.
"""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from stoattray_core._bucket_table import refresh_fast_path_address
from stoattray_core._errors import InvariantViolated
from stoattray_core._hashing import maglev_table
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    MemberId,
    Millis,
    ServerId,
    ServiceId,
)
from stoattray_core._state import State
from stoattray_core._tables import ServiceRow
from stoattray_core.configuration import (
    BackendServerSpec,
    ConfigEntry,
    Policy,
    ServerState,
    ServiceSpec,
)
from stoattray_core.messages import ConfigDelta, ConfigPull, EntryState
from stoattray_core.resources import load_stored_evacuation, load_stored_service

MAX_DELTA_BYTES = 16_384
N_READERS = 2
PUSH_FAN_OUT = 4
PULL_PERIOD_MILLIS = 100
SERVICES_PREFIX = "services/"
ADDRESSES_PREFIX = "addresses/"
EVACUATIONS_PREFIX = "evacuations/"


@dataclass(slots=True)
class ConfigDistribution:
    """Stores the configuration and catches up with the highest revision of any peer."""

    state: State
    _pulled_at: Millis = -PULL_PERIOD_MILLIS

    def is_reader(self) -> bool:
        """Return whether this balancer reads the platform for its data centre."""
        own_row = self.state.own_row
        local_members = sorted(
            row.member
            for row in self.state.tables.live_members()
            if row.data_centre == own_row.data_centre
        )
        return self.state.own_id in local_members[:N_READERS] or not local_members

    def on_peer_revision(
        self, member: MemberId, revision: int, address: Address
    ) -> None:
        """Record a peer's revision and pull the entries that are missing here."""
        row = self.state.tables.members.get(member)
        if row is not None:
            row.config_revision = max(row.config_revision, revision)
        if revision <= self.state.tables.config_revision:
            return
        if self.state.now - self._pulled_at >= PULL_PERIOD_MILLIS:
            self._pulled_at = self.state.now
            self.state.send(address, ConfigPull(self.state.tables.config_revision))

    def on_pull(self, pull: ConfigPull, address: Address) -> None:
        """Send the entries above a revision, oldest first, up to the message limit.

        Entries of one revision are never split between messages.
        """
        newer = [
            entry
            for entry in self.state.tables.entries.values()
            if entry.revision > pull.after
        ]
        newer.sort(key=lambda entry: entry.revision)
        delta = ConfigDelta(pull.after, self.state.tables.config_revision)
        size = 0
        for entry in newer:
            size += len(entry.value or "") + len(entry.key)
            previous = delta.entries[-1].revision if delta.entries else 0
            if previous and size > MAX_DELTA_BYTES and entry.revision != previous:
                delta.upto = previous
                break
            delta.entries.append(_entry_message(entry))
        self.state.send(address, delta)

    def on_delta(self, delta: ConfigDelta) -> None:
        """Apply a peer's entries; the next pull may follow at once."""
        entries = [
            ConfigEntry(item.key, item.revision, None if item.deleted else item.value)
            for item in delta.entries
        ]
        self.apply_entries(delta.after, delta.upto, entries)
        self._pulled_at = self.state.now - PULL_PERIOD_MILLIS

    def apply_entries(self, after: int, upto: int, entries: list[ConfigEntry]) -> bool:
        """Apply every entry in ``(after, upto]``; return whether the revision rose."""
        tables = self.state.tables
        if after > tables.config_revision or upto <= tables.config_revision:
            return False
        previous_revision = tables.config_revision
        for entry in sorted(entries, key=lambda item: item.revision):
            stored = tables.entries.get(entry.key)
            if stored is None or stored.revision < entry.revision:
                tables.entries[entry.key] = entry
                self._apply_entry(entry)
        self._assign_addresses()
        tables.config_revision = upto
        self.state.own_row.config_revision = upto
        if tables.config_revision < previous_revision:
            raise InvariantViolated("configuration revision decreased")
        self.state.log("config_applied", revision=upto, n_entries=len(entries))
        self._push(previous_revision)
        return True

    def _push(self, after: int) -> None:
        """Push new entries to a few balancers; the rest pull after gossip."""
        others = [
            row for row in self.state.other_members() if row.config_revision <= after
        ]
        n_receivers = min(PUSH_FAN_OUT, len(others))
        for row in self.state.random.sample(others, n_receivers):
            self.on_pull(ConfigPull(after), row.peer_address)

    def _apply_entry(self, entry: ConfigEntry) -> None:
        if entry.key.startswith(EVACUATIONS_PREFIX):
            self._apply_evacuation(entry)
        elif entry.key.startswith(SERVICES_PREFIX):
            self._apply_service(entry)

    def _apply_evacuation(self, entry: ConfigEntry) -> None:
        """Begin or end the evacuation of a data centre."""
        data_centre = entry.key.removeprefix(EVACUATIONS_PREFIX)
        evacuated = self.state.tables.evacuated_data_centres
        if entry.value is not None:
            model = load_stored_evacuation(entry.value)
            if model is None or model.data_centre != data_centre:
                self._log_unreadable(entry)
                return
        is_evacuated = entry.value is not None
        if is_evacuated is (data_centre in evacuated):
            return
        if is_evacuated:
            evacuated.add(data_centre)
        else:
            evacuated.remove(data_centre)
        n_servers = self._refresh_services_in(data_centre)
        self.state.log(
            "evacuation",
            data_centre=data_centre,
            state="begun" if is_evacuated else "ended",
            revision=entry.revision,
            n_servers=n_servers,
        )

    def _refresh_services_in(self, data_centre: str) -> int:
        """Refresh services with servers in a data centre; return their number."""
        n_servers = 0
        for row in self.state.tables.services.values():
            n_concerned = sum(
                server.data_centre == data_centre for server in row.spec.servers
            )
            if n_concerned:
                n_servers += n_concerned
                refresh_placement(self.state, row)
        return n_servers

    def _apply_service(self, entry: ConfigEntry) -> None:
        service = ServiceId(entry.key.removeprefix(SERVICES_PREFIX))
        if entry.value is None:
            self._remove_service(service)
            return
        model = load_stored_service(entry.value)
        if model is None or model.service != service:
            self._log_unreadable(entry)
            return
        self._install_service(model.to_spec(), entry.revision)

    def _log_unreadable(self, entry: ConfigEntry) -> None:
        self.state.log("config_unreadable", key=entry.key, revision=entry.revision)

    def _install_service(self, spec: ServiceSpec, revision: int) -> None:
        row = self.state.tables.services.get(spec.service)
        if row is None:
            row = ServiceRow(spec, revision)
            self.state.tables.services[spec.service] = row
        row.spec = spec
        row.revision = revision
        row.home_shard = home_shard(spec)
        refresh_placement(self.state, row)

    def _assign_addresses(self) -> None:
        """Assign each address to the service that the store's claim names."""
        tables = self.state.tables
        tables.services_by_key = {}
        for service, row in tables.services.items():
            claim = tables.entries.get(address_claim_key(row.spec.key))
            if claim is not None and claim.value == service:
                tables.services_by_key[row.spec.key] = row
            else:
                self.state.log("address_not_claimed", service=service)

    def _remove_service(self, service: ServiceId) -> None:
        tables = self.state.tables
        if tables.services.pop(service, None) is None:
            return
        self.state.dirty_shards.update(range(N_SHARDS))
        for table in (tables.moves, tables.record_copies):
            for key in [key for key in table if key[0] == service]:
                del table[key]
        for keys in (tables.pinned_buckets, tables.recently_used_buckets):
            keys.difference_update([key for key in keys if key[0] == service])


def home_shard(spec: ServiceSpec) -> int | None:
    """Return the shard whose owner decides for the whole service, or None.

    The result is constant, because the policy of a service never changes.
    """
    if spec.policy is not Policy.BALANCE:
        return None
    return xxh3_64_intdigest(spec.service.encode()) % N_SHARDS


def address_claim_key(key: int) -> str:
    """Return the key of the store entry that assigns an address to a service."""
    return f"{ADDRESSES_PREFIX}{key:x}"


def refresh_placement(state: State, row: ServiceRow) -> None:
    """Recompute a service's accepting backend servers and desired placement.

    Servers of evacuated data centres accept no flows. If every other active
    backend server has failed, all of those others stay in use.
    """
    active = [
        server for server in row.spec.servers if server.state is ServerState.ACTIVE
    ]
    evacuated = state.tables.evacuated_data_centres
    available = [server for server in active if server.data_centre not in evacuated]
    row.is_evacuated = bool(active) and not available
    failed = failed_servers(state)
    healthy = [server for server in available if server.server not in failed]
    chosen = healthy or available
    row.accepting_servers = frozenset(server.server for server in chosen)
    row.failed_servers = failed
    state.changed_services.add(row.spec.service)
    row.desired_servers = maglev_table(*_servers_and_weights(chosen))
    for shard in range(N_SHARDS):
        refresh_fast_path_address(state, row, shard)


def failed_servers(state: State) -> frozenset[ServerId]:
    """Return the backend servers that a majority of their probers report as down.

    Two reports are needed, or one if there is only one live balancer.
    """
    votes: dict[str, int] = {}
    for member, verdict in state.tables.verdicts.items():
        row = state.tables.members.get(member)
        if row is None or not row.is_present:
            continue
        for server in verdict.down:
            votes[server] = votes.get(server, 0) + 1
    n_needed = 2 if sum(1 for _ in state.tables.live_members()) > 1 else 1
    return frozenset(
        ServerId(server) for server, count in votes.items() if count >= n_needed
    )


def _servers_and_weights(
    servers: list[BackendServerSpec],
) -> tuple[list[ServerId], list[int]]:
    return [item.server for item in servers], [item.weight for item in servers]


def _entry_message(entry: ConfigEntry) -> EntryState:
    deleted = entry.value is None
    return EntryState(entry.key, entry.revision, deleted, entry.value or "")
