"""Decision core of one balancer, with typed inputs and outputs and no I/O."""

from random import Random

from stoattray_core._anti_entropy import AntiEntropy
from stoattray_core._bucket_announcer import BucketAnnouncer
from stoattray_core._bucket_table import apply_claims
from stoattray_core._bucket_updates import BucketUpdates
from stoattray_core._bucket_writer import BucketWriter
from stoattray_core._config_distribution import ConfigDistribution
from stoattray_core._core_settings import CoreSettings
from stoattray_core._flow_activity import FlowActivity
from stoattray_core._flow_placer import FlowPlacer
from stoattray_core._handovers import Handovers
from stoattray_core._health_checks import HealthChecks
from stoattray_core._identifiers import (
    N_SHARDS,
    Address,
    MemberId,
    Millis,
    ServerId,
    ServiceId,
)
from stoattray_core._identity import Identity, initial_row
from stoattray_core._invariant_checker import InvariantChecker
from stoattray_core._joining import Joining
from stoattray_core._membership import Membership
from stoattray_core._move_scheduler import MoveScheduler
from stoattray_core._pending_requests import PendingRequests
from stoattray_core._record_replicator import RecordReplicator
from stoattray_core._router import Router
from stoattray_core._shard_ownership import ShardOwnership
from stoattray_core._state import State
from stoattray_core._tables import MemberStatus, Tables
from stoattray_core._takeovers import Takeovers
from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import (
    Ack,
    BucketUpdate,
    Compare,
    ConfigDelta,
    ConfigPull,
    CopyRecords,
    Done,
    Evicted,
    Gather,
    GatherReply,
    Handover,
    Health,
    Hint,
    Join,
    JoinReply,
    Message,
    Ping,
    PingRequest,
    Seen,
)
from stoattray_core.outputs import Output

REQUEST_NUMBER_BITS = 40


class Core:
    """Makes all decisions of one balancer.

    Parameters
    ----------
    identity : Identity
        Identity of this balancer.
    seeds : tuple of Address
        Peer addresses that are contacted first.
    settings : CoreSettings
        Timing and limits.
    random : Random
        Source of randomness.
    now : Millis
        Current time.

    Notes
    -----
    The core has no sockets and no clock. An input method is passed the time or
    uses that of the last tick; outputs are queued until :meth:`take_outputs`.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        seeds: tuple[Address, ...],
        settings: CoreSettings,
        random: Random,
        now: Millis,
    ) -> None:
        self._state = State(
            own_id=identity.member,
            settings=settings,
            random=random,
            now=now,
            seeds=seeds,
            requests=PendingRequests(
                _last_number=random.getrandbits(REQUEST_NUMBER_BITS)
            ),
        )
        self._state.tables.members[identity.member] = initial_row(identity)
        self._distribution = ConfigDistribution(self._state)
        self._ownership = ShardOwnership(self._state)
        self._takeovers = Takeovers(self._state, self._ownership)
        self._handovers = Handovers(self._state, self._ownership)
        self._build_owner_components()
        self._membership = Membership(self._state, self._anti_entropy.digest)
        self._joining = Joining(self._state, self._membership)
        self._router = Router(self._state, self._ownership, self._flow_placer)
        self._updates = BucketUpdates(self._state)
        self._health = HealthChecks(self._state)
        self._invariant_checker = InvariantChecker(self._state)
        self._leaving_since: Millis | None = None
        self._identity = identity
        self.fast_path_address = self._router.fast_path_address

    def _build_owner_components(self) -> None:
        state = self._state
        announcer = BucketAnnouncer(state)
        self._anti_entropy = AntiEntropy(state, self._ownership, announcer)
        bucket_writer = BucketWriter(state, announcer)
        self._replicator = RecordReplicator(state, self._ownership)
        self._flow_activity = FlowActivity(state, self._ownership, bucket_writer)
        self._flow_placer = FlowPlacer(
            state, bucket_writer, self._replicator, self._flow_activity
        )
        self._move_scheduler = MoveScheduler(
            state,
            self._ownership,
            announcer,
            bucket_writer,
            self._replicator,
            self._flow_activity,
            self._flow_placer,
        )

    @property
    def identity(self) -> Identity:
        """Return this balancer's identity."""
        return self._identity

    @property
    def tables(self) -> Tables:
        """Return the tables, which callers must not change."""
        return self._state.tables

    @property
    def counters(self) -> dict[str, int]:
        """Return the counters since the start, by name."""
        return self._state.counters

    @property
    def status(self) -> MemberStatus:
        """Return this balancer's own status."""
        return self._state.own_row.status

    @property
    def config_revision(self) -> int:
        """Return the revision of the configuration in force here."""
        return self._state.tables.config_revision

    @property
    def settings(self) -> CoreSettings:
        """Return timing and limits."""
        return self._state.settings

    @property
    def is_ready(self) -> bool:
        """Return whether this balancer may decide about packets."""
        return self._state.is_ready

    @property
    def is_busy(self) -> bool:
        """Return whether the next tick may have pending work to advance."""
        is_joining = self.status is MemberStatus.JOINING
        return (
            is_joining or len(self._state.requests) > 0 or self._move_scheduler.is_busy
        )

    @property
    def is_reader(self) -> bool:
        """Return whether this balancer reads the platform."""
        return self._distribution.is_reader()

    @property
    def may_stop(self) -> bool:
        """Return whether a leaving balancer owns nothing and may stop."""
        if self._leaving_since is None:
            return False
        age = self._state.now - self._leaving_since
        if age < self._state.settings.leave_grace_millis:
            return False
        is_alone = not any(
            row.member != self._state.own_id for row in self.tables.live_members()
        )
        return is_alone or not any(self._owned_shards())

    def on_packet(self, data: bytes) -> None:
        """Route a packet from the fabric."""
        self._router.on_packet(data)

    def on_relayed(self, data: bytes, hops: int, sender: Address) -> None:
        """Route a packet that another balancer has relayed."""
        ingress = next(
            (
                row.member
                for row in self._state.other_members()
                if row.relay_address == sender
            ),
            None,
        )
        if ingress is None:
            self._state.counters["relayed_by_stranger"] += 1
            return
        self._router.on_packet(data, hops, ingress)

    def on_message(self, message: Message, sender: MemberId, address: Address) -> None:
        """Process an authenticated message of another balancer.

        Parameters
        ----------
        message : Message
            The message.
        sender : MemberId
            Balancer that encrypted it.
        address : Address
            Source address, to which answers are sent.
        """
        if sender == self._state.own_id:
            return
        if not self._membership.accept_sender(message, sender, address):
            return
        self._membership.on_authentic_message(sender)
        self._dispatch(message, sender, address)

    def on_config(self, after: int, upto: int, entries: list[ConfigEntry]) -> None:
        """Apply the platform's entries with revisions in ``(after, upto]``."""
        self._distribution.apply_entries(after, upto, entries)

    def on_probe_result(self, server: ServerId, is_up: bool) -> None:
        """Process the result of one health probe."""
        self._health.on_probe_result(server, is_up)

    def probe_targets(self) -> list[tuple[ServerId, Address]]:
        """Return the backend servers to probe, with their health endpoints."""
        return self._health.probe_targets()

    def ping_outdated(self, revision: int) -> None:
        """Ping each balancer that is not known to serve `revision`."""
        self._membership.ping_outdated(revision)

    def tick_after_pause(self, now: Millis) -> None:
        """Tick before the next decision if this process was paused."""
        if now - self._state.now > self._state.settings.pause_limit_millis:
            self.tick(now)

    def tick(self, now: Millis) -> None:
        """Run every component once, in a fixed order."""
        gap = now - self._state.now
        self._state.now = now
        if gap > self._state.settings.pause_limit_millis and self._state.is_ready:
            self._state.log("paused", gap_ms=gap)
            self._membership.rejoin()
        self._joining.tick()
        self._membership.tick()
        self._takeovers.tick()
        self._handovers.tick()
        self._router.route_released_packets()
        self._health.tick()
        self._move_scheduler.tick()
        self._resend()
        self._check()

    def flush(self) -> None:
        """Send the messages that packets have queued since the last tick."""
        self._move_scheduler.flush()

    def track_service(self, service: ServiceId) -> None:
        """Track each flow of the service's buckets that are owned here."""
        self._move_scheduler.track_service(service)

    def rejoin_after_violation(self, reason: str) -> None:
        """Rejoin and fetch all state again after an invariant violation."""
        self._state.log("start_over", reason=reason)
        self._state.pending_outputs.clear()
        if self._state.is_ready:
            self._membership.rejoin()

    def leave(self) -> None:
        """Begin to leave by handing over the state that only this balancer has."""
        if self._leaving_since is None:
            self._leaving_since = self._state.now
            self._membership.set_own_status(MemberStatus.LEAVING)

    def announce_departure(self) -> None:
        """Notify every balancer that this one has left."""
        row = self._state.own_row
        row.status = MemberStatus.DEAD
        for other in self._state.other_members():
            updates = [self._membership.own_state()]
            ping = Ping(0, self.config_revision, 0, updates)
            self._state.send(other.peer_address, ping)

    def take_outputs(self) -> list[Output]:
        """Return the queued outputs and empty the queue."""
        outputs = self._state.pending_outputs
        self._state.pending_outputs = []
        return outputs

    def _on_done(self, done: Done, sender: MemberId) -> None:
        apply_claims(self._state, done.shards)
        if self._state.requests.complete(done.request, sender) is not None:
            self._flow_activity.record_used_flows(done.used)
            self._replicator.on_answer(done)

    def _owned_shards(self) -> list[int]:
        own_id = self._state.own_id
        return [
            shard
            for shard in range(N_SHARDS)
            if self.tables.shards[shard].owner == own_id
        ]

    def _resend(self) -> None:
        period = self._state.settings.resend_period_millis
        for pending in self._state.requests.take_due(self._state.now, period):
            self._state.send(pending.address, pending.message)

    def _check(self) -> None:
        self._invariant_checker.check()

    def _dispatch(self, message: Message, sender: MemberId, address: Address) -> None:
        match message:
            case Ping():
                self._distribution.on_peer_revision(
                    sender, message.config_revision, address
                )
                self._anti_entropy.on_digest(message.digest, address)
                self._membership.on_ping(message, address)
            case Ack():
                self._distribution.on_peer_revision(
                    sender, message.config_revision, address
                )
                self._anti_entropy.on_digest(message.digest, address)
                self._membership.on_ack(message, sender)
            case PingRequest():
                self._membership.on_ping_request(message, address)
            case ConfigPull():
                self._distribution.on_pull(message, address)
            case ConfigDelta():
                self._distribution.on_delta(message)
            case Join():
                self._joining.on_join(message, address)
            case JoinReply():
                self._distribution.on_peer_revision(
                    sender, message.sender.config_revision, address
                )
                self._joining.on_reply(message)
            case BucketUpdate():
                self._updates.on_update(message, address)
            case CopyRecords():
                self._replicator.on_copy(message, address)
            case Handover():
                self._handovers.on_handover(message, sender, address)
            case Gather():
                self._takeovers.on_gather(message, address)
            case GatherReply():
                self._takeovers.on_reply(message, sender)
            case Done():
                self._on_done(message, sender)
            case Hint():
                self._flow_activity.on_hint(message)
            case Seen():
                self._flow_activity.on_seen(message)
            case Evicted():
                self._membership.on_evicted(message, sender, address)
            case Compare():
                self._anti_entropy.on_compare(message, sender)
            case Health():
                self._health.on_health(message, sender)
