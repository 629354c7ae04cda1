"""Heartbeats between balancers, and replication from peers with newer data."""

import socket as stdlib_socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import gevent
from gevent.server import StreamServer

from stoattray_balancer._throttling import RateLimiter
from stoattray_balancer.steering._frames import (
    PROGRESS_TIMEOUT_SECONDS,
    PULL_TIMEOUT_SECONDS,
    connect,
    receive_exactly,
    receive_frame_length,
    send_frame,
)
from stoattray_balancer.steering._peer_codec import (
    SyncRequest,
    decode_difference,
    decode_heartbeat,
    encode_heartbeat,
    encode_sync_request,
)
from stoattray_balancer.steering.difference_server import DifferenceServer
from stoattray_core._errors import ErrorKind
from stoattray_core._identifiers import Address, Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.pinned_flows import PinnedFlow
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.replica import Difference
from stoattray_core.steering.steering import Steering

HEARTBEAT_SECONDS = 0.2
"""At least five heartbeats fit into the time after which a silent member is not
live."""

REMOTE_HEARTBEAT_EVERY = 3
"""One in this many heartbeats also goes to other data centres."""

N_PIN_SENDERS = 4
"""Members of a data centre that send their pinned flows to a new one, on average."""

N_LISTED_MEMBERS = 4
"""Members listed in each heartbeat; a new balancer learns all in a few seconds."""

MIN_SNAPSHOT_BYTES = 32_768
"""Responses of this size or more count as snapshots, which are received one at a time
so that they do not share a slow link."""

MAX_CONCURRENT_PULLS = 4
"""Most pulls at the same time after heartbeats with a newer revision."""

SNAPSHOT_CHECK_SECONDS = 0.02

PULL_RETRY_SECONDS = 0.3
"""Longest pause between rounds of pulls while not ready; jitter shortens it by up to
half."""

RELAYS_PER_SECOND = 200.0
"""Rate limit for relayed packets. Genuine packets that need a relay are rare; forged
ones may be many."""

RELAY_PREFIX = b"R"
"""First byte of a relayed packet; heartbeats start with the msgpack tag of an array."""

N_LISTED_MEMBERS_WHEN_BUSY = 24
"""Members listed in place of a snapshot."""

N_PULLED_PER_ROUND = 3
"""Members pulled from in each round while not ready; the first round pulls from all
seeds."""

MAX_DATAGRAM_BYTES = 65_535
READ_EVENT = 1

SNAPSHOT_IN_PROGRESS = Refused(ErrorKind.CONFLICT, "another snapshot is being received")


class Peers:
    """Exchanges heartbeats, differences and relayed packets with other balancers.

    Parameters
    ----------
    steering : Steering
        State that heartbeats report and that pulls update.
    own : MemberEntry
        This balancer.
    listen_host : str
        Host to bind to; peers send to the host that `own` gives.
    peer_port : int
        UDP and TCP port of every balancer.
    seeds : tuple of Address
        Addresses of balancers to pull from at the start; some may be stale.
    is_reading : callable
        Returns whether this balancer reads the store.
    is_forwarding : callable
        Returns whether this balancer is ready and forwards packets.
    random : Random
        Source of jitter.
    clock : callable
        Returns the time in milliseconds.
    on_relayed : callable
        Receives a caller's packet that another balancer relayed.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        steering: Steering,
        own: MemberEntry,
        *,
        listen_host: str,
        peer_port: int,
        seeds: tuple[Address, ...],
        is_reading: Callable[[], bool],
        is_forwarding: Callable[[], bool],
        random: Random,
        clock: Callable[[], Millis],
        on_relayed: Callable[[bytes], None],
        on_event: EventSink,
    ) -> None:
        self._steering = steering
        self._own = own
        self._peer_port = peer_port
        self.seeds = seeds
        self._is_reading = is_reading
        self._is_forwarding = is_forwarding
        self._random = random
        self._clock = clock
        self._on_relayed = on_relayed
        self._on_event = on_event
        self._relay_limit = RateLimiter(RELAYS_PER_SECOND)
        self._pulling_from: set[Address] = set()
        self._differences = DifferenceServer(
            steering.replica, self._heartbeat_beside_changes, on_event
        )
        self._is_receiving_snapshot = False
        self._socket = stdlib_socket.socket(
            stdlib_socket.AF_INET, stdlib_socket.SOCK_DGRAM
        )
        self._socket.setblocking(False)
        self._socket.bind((listen_host, peer_port))
        self._read_watcher = gevent.get_hub().loop.io(self._socket.fileno(), READ_EVENT)
        self.is_leaving = False

    def start(self) -> None:
        """Start receiving heartbeats and relayed packets."""
        self._read_watcher.start(self._receive_datagrams)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        self._read_watcher.stop()
        self._read_watcher.close()
        self._socket.close()

    def tcp_server(self, address: Address) -> StreamServer:
        """Return a server, not yet started, that sends differences to peers."""
        return StreamServer(address, self._differences.handle)

    def run_heartbeats(self) -> None:
        """Send heartbeats forever."""
        n_sent = 0
        while True:
            is_remote_turn = n_sent % REMOTE_HEARTBEAT_EVERY == 0
            self._send_heartbeats(include_remote=is_remote_turn)
            n_sent += 1
            gevent.sleep(HEARTBEAT_SECONDS)

    def pull_until_ready(self) -> None:
        """Pull from all seeds, then from ready members, until this balancer is ready.

        One more round follows once it is ready.
        """
        addresses = list(self.seeds)
        while True:
            was_ready = self._steering.is_ready
            tasks = [
                gevent.spawn(self._pull, address, wants_pins=True)
                for address in addresses
            ]
            gevent.joinall(tasks, timeout=PROGRESS_TIMEOUT_SECONDS)
            while self._is_receiving_snapshot:
                gevent.sleep(SNAPSHOT_CHECK_SECONDS)
            if was_ready:
                return
            gevent.sleep(PULL_RETRY_SECONDS * self._random.uniform(0.5, 1.0))
            members = self._steering.members.sample_snapshot_sources(
                self._clock(), N_PULLED_PER_ROUND
            )
            addresses = [(entry.host, self._peer_port) for entry in members]
            addresses = addresses or list(self.seeds)

    def relay(self, data: bytes) -> str | None:
        """Relay a caller's packet to a balancer that may know its flow.

        Returns
        -------
        str or None
            Name of that balancer; None without a ready peer, above the rate limit or
            if sending fails.
        """
        version = self._steering.replica.version
        peer = self._steering.members.choose_relay_target(self._clock(), version)
        if peer is None or not self._relay_limit.try_acquire():
            return None
        return peer.name if self._send_datagram(RELAY_PREFIX + data, peer) else None

    def build_heartbeat(
        self,
        *,
        n_listed: int = N_LISTED_MEMBERS,
        includes_load: bool = False,
        pinned_flows: tuple[PinnedFlow, ...] = (),
    ) -> Heartbeat:
        """Return a heartbeat with the current state of this balancer.

        Parameters
        ----------
        n_listed : int
            Live members to list.
        includes_load : bool
            Whether to include the loads of data centres, if settings ask for them.
        pinned_flows : tuple of PinnedFlow
            Pinned flows to include.
        """
        steering = self._steering
        now = self._clock()
        is_reader = self._is_reading() and not self.is_leaving
        confirmed_age = max(0, steering.reported_age(now))
        return Heartbeat(
            member=self._own,
            is_ready=self._is_forwarding() and not self.is_leaving,
            is_reader=is_reader,
            era=steering.replica.version.era,
            revision=steering.replica.revision,
            confirmed_age=confirmed_age,
            recovery_age=steering.store_health.recovery_age(now),
            pending_requests=steering.pending_requests(),
            live_members=steering.members.sample_live(now, n_listed),
            failing_cookies=steering.failing_cookies(now),
            first_reader=steering.members.first_reader(
                now, confirmed_age if is_reader else None
            ),
            load_rows=steering.load_rows(now) if includes_load else (),
            cut_offs=steering.cut_off_reports(now),
            pinned_flows=pinned_flows,
        )

    def _send_heartbeats(self, *, include_remote: bool) -> None:
        recipients = self._steering.members.sample_heartbeat_targets(
            self._clock(), include_remote=include_remote
        )
        if not recipients:
            return
        # Loads go into the heartbeats that also leave the data centre, one in three:
        # in all of them they would take up to 13 KB a second.
        heartbeat = self.build_heartbeat(
            includes_load=include_remote,
            pinned_flows=self._steering.pinning.pins.pop_announcements(
                self._clock(), leaves_data_centre=include_remote
            ),
        )
        data = encode_heartbeat(heartbeat)
        for entry in recipients:
            self._send_datagram(data, entry)

    def _send_pins(self, entry: MemberEntry) -> None:
        """Send all pinned flows to a member of the data centre that had been silent.

        One that has started gets them with its first copy.
        """
        now = self._clock()
        n_senders = len(self._steering.members.live_local(now))
        if self._random.random() * n_senders >= N_PIN_SENDERS:
            return
        for pins in self._steering.pinning.pins.messages(now):
            heartbeat = self.build_heartbeat(pinned_flows=pins)
            self._send_datagram(encode_heartbeat(heartbeat), entry)

    def _send_datagram(self, data: bytes, entry: MemberEntry) -> bool:
        try:
            self._socket.sendto(data, (entry.host, self._peer_port))
        except OSError as error:
            self._on_event("message_unsent", to=entry.name, error=repr(error))
            return False
        return True

    def _receive_datagrams(self) -> None:
        self._steering.warm_up.confirmation.note_running(self._clock())
        while True:
            try:
                data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._on_event("heartbeat_unread", error=repr(error))
                return
            try:
                self._handle_datagram(data)
            except Exception as error:  # noqa: BLE001 - would end the watcher
                self._on_event("message_failed", error=repr(error))

    def _handle_datagram(self, data: bytes) -> None:
        if data.startswith(RELAY_PREFIX):
            self._on_relayed(data.removeprefix(RELAY_PREFIX))
            return
        heartbeat = decode_heartbeat(data)
        if isinstance(heartbeat, Refused):
            self._on_event("heartbeat_refused", reason=heartbeat.detail)
            return
        self._handle_heartbeat(heartbeat)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        is_known = self._steering.members.knows_process(heartbeat.member)
        if self._steering.apply_heartbeat(heartbeat, self._clock()):
            self._on_event("member_heard", member=heartbeat.member.name)
            if is_known and heartbeat.member.data_centre == self._own.data_centre:
                self._send_pins(heartbeat.member)
        if heartbeat.version > self._steering.replica.version:
            address = (heartbeat.member.host, self._peer_port)
            may_pull = len(self._pulling_from) < MAX_CONCURRENT_PULLS
            if (
                may_pull
                and not self._is_receiving_snapshot
                and address not in self._pulling_from
            ):
                gevent.spawn(self._pull, address)

    def _pull(self, address: Address, *, wants_pins: bool = False) -> None:
        """Request the changes since the current version from a peer and apply them."""
        if address in self._pulling_from:
            return
        self._pulling_from.add(address)
        requested_at = self._clock()
        try:
            with gevent.Timeout(PULL_TIMEOUT_SECONDS, TimeoutError("too slow")):
                response = self._request_difference(address, wants_pins=wants_pins)
        except (OSError, TimeoutError) as error:
            self._on_event("peer_unreachable", peer=address[0], error=repr(error))
            return
        finally:
            self._pulling_from.discard(address)
        if isinstance(response, Refused):
            self._on_event(
                "peer_answer_refused", peer=address[0], reason=response.detail
            )
            return
        heartbeat, difference = response
        self._steering.apply_peer_response(
            heartbeat, difference, self._clock(), requested_at=requested_at
        )

    def _request_difference(
        self, address: Address, *, wants_pins: bool
    ) -> tuple[Heartbeat, Difference] | Refused:
        after = self._steering.replica.version
        with connect(address) as connection:
            send_frame(connection, encode_sync_request(after, wants_pins=wants_pins))
            n_bytes = receive_frame_length(connection)
            if n_bytes < MIN_SNAPSHOT_BYTES:
                return decode_difference(receive_exactly(connection, n_bytes))
            if self._is_receiving_snapshot:
                return SNAPSHOT_IN_PROGRESS
            with self._receiving_snapshot():
                return decode_difference(receive_exactly(connection, n_bytes))

    @contextmanager
    def _receiving_snapshot(self) -> Iterator[None]:
        self._is_receiving_snapshot = True
        try:
            yield
        finally:
            self._is_receiving_snapshot = False

    def _heartbeat_beside_changes(
        self, request: SyncRequest, is_busy: bool
    ) -> Heartbeat:
        """Return the heartbeat that goes with requested changes.

        Parameters
        ----------
        request : SyncRequest
            The request; a starting balancer gets all pinned flows.
        is_busy : bool
            Whether it takes the place of a snapshot, so that it lists more members.
        """
        has_pins = request.wants_pins and not is_busy
        pins = self._steering.pinning.pins
        return self.build_heartbeat(
            n_listed=N_LISTED_MEMBERS_WHEN_BUSY if is_busy else N_LISTED_MEMBERS,
            pinned_flows=pins.all(self._clock()) if has_pins else (),
        )
