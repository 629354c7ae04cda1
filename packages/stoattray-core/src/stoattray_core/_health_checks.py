"""Health checks of backend servers: choice of probers, verdicts and their exchange."""

from dataclasses import dataclass, field

from stoattray_core._config_distribution import failed_servers, refresh_placement
from stoattray_core._hashing import rendezvous_order
from stoattray_core._identifiers import (
    Address,
    MemberId,
    Millis,
    ServerId,
    server_address,
)
from stoattray_core._state import State
from stoattray_core._tables import VerdictRow
from stoattray_core.messages import Health

N_PROBERS = 3
N_FAILURES_FOR_DOWN = 2
N_SUCCESSES_FOR_UP = 2
BROADCAST_PERIOD_MILLIS = 2_000
VERDICT_UPDATE_PERIOD_MILLIS = 100
VERDICT_LIFETIME_MILLIS = 7_000
N_EMPTY_VERDICT_BROADCASTS = 4  # other verdicts are repeated until they change


@dataclass(slots=True)
class _OwnVerdict:
    is_down: bool = False
    n_contradicting: int = 0


@dataclass(slots=True)
class HealthChecks:
    """Combines this balancer's probe results with the verdicts of other probers."""

    state: State
    _own_verdicts: dict[ServerId, _OwnVerdict] = field(default_factory=dict)
    _verdicts_updated_at: Millis = 0
    _targets_version: tuple[int, int] = (-1, -1)
    _targets: list[tuple[ServerId, Address]] = field(default_factory=list)
    _broadcast_at: Millis = 0
    _last_broadcast: frozenset[str] = frozenset()
    _n_broadcasts_left: int = 0
    _applied_failures: frozenset[ServerId] = frozenset()

    def probe_targets(self) -> list[tuple[ServerId, Address]]:
        """Return the backend servers to probe here, with their endpoints."""
        version = (self.state.membership_version, self.state.tables.config_revision)
        if version != self._targets_version:
            self._targets_version = version
            self._targets = self._choose_targets()
        return self._targets

    def _choose_targets(self) -> list[tuple[ServerId, Address]]:
        members = [row.member for row in self.state.tables.live_members()]
        chosen: list[tuple[ServerId, Address]] = []
        for row in self.state.tables.services.values():
            for item in row.spec.servers:
                if item.health_port is None:
                    continue
                ranked = rendezvous_order(prober_seed(item.server), members)
                if self.state.own_id in ranked[:N_PROBERS]:
                    host = server_address(item.server)[0]
                    chosen.append((item.server, (host, item.health_port)))
        return chosen

    def on_probe_result(self, server: ServerId, is_up: bool) -> None:
        """Record a probe result; consecutive contradicting results flip the verdict."""
        verdict = self._own_verdicts.setdefault(server, _OwnVerdict())
        if is_up is not verdict.is_down:
            verdict.n_contradicting = 0
            return
        verdict.n_contradicting += 1
        limit = N_SUCCESSES_FOR_UP if verdict.is_down else N_FAILURES_FOR_DOWN
        if verdict.n_contradicting >= limit:
            verdict.is_down = not verdict.is_down
            verdict.n_contradicting = 0

    def on_health(self, health: Health, sender: MemberId) -> None:
        """Store another prober's verdicts."""
        self._store_verdict(sender, frozenset(health.down))

    def _store_verdict(self, member: MemberId, down: frozenset[str]) -> None:
        self.state.tables.verdicts[member] = VerdictRow(down, self.state.now)

    def _drop_reassigned_verdicts(self) -> None:
        """Drop own verdicts on backend servers that this balancer no longer probes."""
        probed = {server for server, _ in self.probe_targets()}
        for server in [server for server in self._own_verdicts if server not in probed]:
            del self._own_verdicts[server]

    def _drop_expired_verdicts(self) -> None:
        """Drop verdicts that were not repeated, since a final broadcast may be lost."""
        verdicts = self.state.tables.verdicts
        for member, row in list(verdicts.items()):
            if self.state.now - row.last_received_at > VERDICT_LIFETIME_MILLIS:
                del verdicts[member]

    def tick(self) -> None:
        """Broadcast this balancer's verdicts and apply the majority's."""
        if self.state.now - self._verdicts_updated_at < VERDICT_UPDATE_PERIOD_MILLIS:
            return
        self._verdicts_updated_at = self.state.now
        self._drop_reassigned_verdicts()
        down = frozenset(
            server for server, verdict in self._own_verdicts.items() if verdict.is_down
        )
        self._store_verdict(self.state.own_id, down)
        self._drop_expired_verdicts()
        is_due = self.state.now - self._broadcast_at >= BROADCAST_PERIOD_MILLIS
        if down != self._last_broadcast:
            self._n_broadcasts_left = N_EMPTY_VERDICT_BROADCASTS
        if down != self._last_broadcast or (
            is_due and (down or self._n_broadcasts_left)
        ):
            self._last_broadcast = down
            self._broadcast_at = self.state.now
            self._n_broadcasts_left = max(0, self._n_broadcasts_left - 1)
            for row in self.state.other_members():
                self.state.send(row.peer_address, Health(sorted(down)))
        failed = failed_servers(self.state)
        if failed != self._applied_failures:
            self._applied_failures = failed
            since = self.state.tables.failed_since
            self.state.tables.failed_since = {
                server: since.get(server, self.state.now) for server in failed
            }
            self.state.log("failed_servers", servers=",".join(sorted(failed)))
            for row in self.state.tables.services.values():
                refresh_placement(self.state, row)


def prober_seed(server: ServerId) -> int:
    """Return a seed that distributes backend servers over probers."""
    return sum(server.encode()) * len(server)
