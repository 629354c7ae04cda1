"""Verdicts about backend servers: who probes, how verdicts change and spread."""

from dataclasses import dataclass, field

from stoattray_core._distribution import failed_servers, refresh_desired
from stoattray_core._hashing import rank_members
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
SPREAD_PERIOD = 2_000
CHECK_PERIOD = 100
VERDICT_LIFETIME = 7_000
N_REPEATS = 4


@dataclass(slots=True)
class _Verdict:
    is_down: bool = False
    n_against: int = 0


@dataclass(slots=True)
class HealthChecks:
    """Collects probe results and the other probers' verdicts."""

    state: State
    _verdicts: dict[ServerId, _Verdict] = field(default_factory=dict)
    _checked_at: Millis = 0
    _targets_version: tuple[int, int] = (-1, -1)
    _targets: list[tuple[ServerId, Address]] = field(default_factory=list)
    _sent_at: Millis = 0
    _sent: frozenset[str] = frozenset()
    _n_repeats: int = 0
    _in_force: frozenset[ServerId] = frozenset()

    def targets(self) -> list[tuple[ServerId, Address]]:
        """Return the backend servers that this balancer probes, with endpoints."""
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
                ranked = rank_members(hash_seed(item.server), members)
                if self.state.me in ranked[:N_PROBERS]:
                    host = server_address(item.server)[0]
                    chosen.append((item.server, (host, item.health_port)))
        return chosen

    def on_probe_result(self, server: ServerId, is_up: bool) -> None:
        """Take in one probe; a verdict changes after several results against it."""
        verdict = self._verdicts.setdefault(server, _Verdict())
        if is_up is not verdict.is_down:
            verdict.n_against = 0
            return
        verdict.n_against += 1
        limit = N_SUCCESSES_FOR_UP if verdict.is_down else N_FAILURES_FOR_DOWN
        if verdict.n_against >= limit:
            verdict.is_down = not verdict.is_down
            verdict.n_against = 0

    def on_health(self, health: Health, sender: MemberId) -> None:
        """Take in another prober's verdicts."""
        self._note(sender, frozenset(health.down))

    def _note(self, member: MemberId, down: frozenset[str]) -> None:
        self.state.tables.verdicts[member] = VerdictRow(down, self.state.now)

    def _forget_others_targets(self) -> None:
        """Drop own verdicts of backend servers that others probe now."""
        probed = {server for server, _ in self.targets()}
        for server in [server for server in self._verdicts if server not in probed]:
            del self._verdicts[server]

    def _forget_old_verdicts(self) -> None:
        """Drop verdicts that were not repeated: the last word may be lost."""
        verdicts = self.state.tables.verdicts
        for member, row in list(verdicts.items()):
            if self.state.now - row.heard_at > VERDICT_LIFETIME:
                del verdicts[member]

    def tick(self) -> None:
        """Spread this balancer's verdicts and put the majority's into force."""
        if self.state.now - self._checked_at < CHECK_PERIOD:
            return
        self._checked_at = self.state.now
        self._forget_others_targets()
        down = frozenset(
            server for server, verdict in self._verdicts.items() if verdict.is_down
        )
        self._note(self.state.me, down)
        self._forget_old_verdicts()
        is_due = self.state.now - self._sent_at >= SPREAD_PERIOD
        if down != self._sent:
            self._n_repeats = N_REPEATS
        if down != self._sent or (is_due and (down or self._n_repeats)):
            self._sent = down
            self._sent_at = self.state.now
            self._n_repeats = max(0, self._n_repeats - 1)
            for row in self.state.others():
                self.state.send(row.peer_address, Health(sorted(down)))
        failed = failed_servers(self.state)
        if failed != self._in_force:
            self._in_force = failed
            since = self.state.tables.failed_since
            self.state.tables.failed_since = {
                server: since.get(server, self.state.now) for server in failed
            }
            self.state.log("failed_servers", servers=",".join(sorted(failed)))
            for row in self.state.tables.services.values():
                refresh_desired(self.state, row)


def hash_seed(server: ServerId) -> int:
    """Return a number that spreads backend servers over probers."""
    return sum(server.encode()) * len(server)
