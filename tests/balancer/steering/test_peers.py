"""Pulling snapshots from peers: slow, stalled and concurrent transfers."""

import socket
import time
import unittest
from contextlib import contextmanager, suppress
from random import Random

import gevent
from gevent.server import StreamServer

from stoattray_balancer.steering import peers as peers_module
from stoattray_balancer.steering._frames import (
    PROGRESS_TIMEOUT_SECONDS,
    receive_exactly,
    receive_frame_length,
)
from stoattray_balancer.steering._peer_codec import (
    SyncRequest,
    decode_difference,
    decode_heartbeat,
    decode_sync_request,
    encode_difference,
    encode_heartbeat,
)
from stoattray_balancer.steering.difference_server import MAX_CONCURRENT_SNAPSHOTS
from stoattray_balancer.steering.peers import (
    MIN_SNAPSHOT_BYTES,
    Peers,
)
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.locality import RemoteTrafficSettings
from stoattray_core.steering.pinned_flows import N_ANNOUNCEMENTS, PinnedFlow
from stoattray_core.steering.replica import Difference, Version
from tests.steering_builders import (
    Balancer,
    configuration,
    heartbeat,
    member_entry,
    opening,
    server_entry,
)

N_CHUNKS = 10
N_PINS = 100


class SlowLink:
    """A connection that delays each chunk of a snapshot."""

    def __init__(self):
        self.n_bytes = 0

    @property
    def is_snapshot(self):
        return self.n_bytes >= MIN_SNAPSHOT_BYTES

    def settimeout(self, seconds):
        """Accept a timeout, which this link never exceeds."""

    def send(self, chunk):
        self.n_bytes += len(chunk)
        if self.is_snapshot:
            gevent.sleep(0.3)
        return len(chunk)


class PeerSnapshotTest(unittest.TestCase):
    """A starting balancer, and peers that the tests simulate."""

    def setUp(self):
        self.balancer = Balancer()
        self.peers = self.build_peers(self.balancer)
        record = self.balancer.decoder.record("configuration", 4, configuration())
        padding = [
            self.balancer.decoder.record(f"members/{i}" + "x" * 100, 4, member_entry())
            for i in range(MIN_SNAPSHOT_BYTES // 100)
        ]
        self.snapshot = Difference(9, [record, *padding], True)

    def build_peers(self, balancer: Balancer) -> Peers:
        peers = Peers(
            balancer.steering,
            member_entry("edge-1"),
            listen_host="127.0.0.1",
            peer_port=0,
            seeds=(),
            is_reading=lambda: False,
            is_forwarding=lambda: balancer.steering.is_ready,
            random=Random(1),
            clock=lambda: balancer.now,
            on_relayed=lambda data: None,
            on_event=balancer.recorder,
        )
        self.addCleanup(peers._socket.close)
        return peers

    def test_loads_are_sent_only_where_settings_ask_for_them(self):
        """Guards against heartbeats that grow everywhere."""
        balancer = Balancer(remote_traffic=RemoteTrafficSettings(4.0))
        balancer.declare(server_entry())
        peers = self.build_peers(balancer)
        self.assertEqual(peers.build_heartbeat(includes_load=True).load_rows, ())
        rows = (LoadRow("luzon-b", "lookup", 1.0, 30.0, 0),)
        balancer.steering.apply_heartbeat(heartbeat(load_rows=rows), balancer.now)
        own = peers.build_heartbeat(includes_load=True).load_rows
        self.assertIn("luzon-a", [row.data_centre for row in own])
        self.assertEqual(peers.build_heartbeat().load_rows, ())
        unlimited = self.peers.build_heartbeat(includes_load=True)
        self.assertEqual(unlimited.load_rows, ())

    def test_starting_balancer_gets_all_pinned_flows_with_its_first_copy(self):
        """Guards against resets by a balancer that starts during a roll."""
        pins = self.pin_flows(N_PINS)
        with self.sent_difference(wants_pins=True) as sent:
            received, _ = decode_difference(sent())
        self.assertEqual(received.pinned_flows, pins)

    def test_other_requests_get_no_pinned_flows(self):
        """Guards against pins that multiply the bytes of each change."""
        self.pin_flows(N_PINS)
        with self.sent_difference(wants_pins=False) as sent:
            received, _ = decode_difference(sent())
        self.assertEqual(received.pinned_flows, ())

    def test_member_that_had_been_silent_gets_all_pinned_flows(self):
        """Guards against a balancer that was cut off while flows were pinned."""
        pins = self.pin_flows(N_PINS)
        sent = []
        self.peers._send_datagram = lambda data, entry: sent.append((data, entry.name))
        for data_centre in ("luzon-a", "luzon-b"):
            member = member_entry(f"edge-{data_centre}", data_centre=data_centre)
            self.peers._handle_heartbeat(heartbeat()._replace(member=member))
        self.peers._handle_heartbeat(heartbeat("edge-2"))
        self.assertEqual(sent, [])
        self.balancer.now += 5_000
        self.balancer.steering.remove_expired(self.balancer.now)
        for _ in range(2):
            self.peers._handle_heartbeat(heartbeat("edge-2"))
        received = [decode_heartbeat(data).pinned_flows for data, _ in sent]
        ages = [pin.age for group in received for pin in group]
        self.assertEqual(ages, [5_000] * N_PINS)
        self.assertEqual(
            [pin._replace(age=0) for group in received for pin in group], list(pins)
        )
        self.assertEqual({name for _, name in sent}, {"edge-2"})
        self.assertLess(max(len(data) for data, _ in sent), 1_472)

    def test_new_pin_goes_with_the_next_heartbeats(self):
        """Guards against pins that only starting balancers get."""
        balancer = self.balancer
        balancer.declare(configuration(), server_entry("i-01"), server_entry("i-02"))
        balancer.steering.apply_heartbeat(heartbeat("edge-2"), balancer.now)
        sent = []
        self.peers._send_datagram = lambda data, entry: sent.append(data)
        balancer.open()
        timeout = balancer.steering.follow_up_timeout_millis
        [(server, _)] = balancer.advance(timeout + 5)
        balancer.follow(40_000, server)
        for _ in range(N_ANNOUNCEMENTS + 1):
            self.peers._send_heartbeats(include_remote=False)
        pins = [decode_heartbeat(data).pinned_flows for data in sent]
        self.assertEqual([len(group) for group in pins], [1] * N_ANNOUNCEMENTS + [0])
        self.assertEqual(pins[0][0].cookie, server.cookie)

    def pin_flows(self, n_flows: int) -> tuple[PinnedFlow, ...]:
        """Pin flows at the balancer; return their pins."""
        pins = self.balancer.steering.pinning.pins
        for number in range(n_flows):
            pin = PinnedFlow(opening(number).key, 2**32 - 1, 2**32 - 1, 2**32 - 1)
            pins.add(pin, self.balancer.now, n_announcements=0)
        return pins.all(self.balancer.now)

    @contextmanager
    def sent_difference(self, *, wants_pins: bool):
        """Yield a function that returns what the balancer answers to a request."""
        own, other = gevent.socket.socketpair()
        with own, other:
            request = SyncRequest(Version(0, 0), True, wants_pins)
            self.peers._differences.send(own, request)
            yield lambda: receive_exactly(other, receive_frame_length(other))

    @contextmanager
    def peer(self, seconds: float, *, stalls: bool = False):
        """Simulate a peer whose snapshot takes `seconds`, or stalls half-way."""

        def serve(connection, _):
            request = receive_exactly(connection, receive_frame_length(connection))
            assert decode_sync_request(request).after == (0, 0)
            data = encode_difference(heartbeat(), self.snapshot, may_compress=False)
            data = len(data).to_bytes(4) + data
            n_bytes = -(-len(data) // N_CHUNKS)
            for i in range(N_CHUNKS):
                if stalls and i == N_CHUNKS // 2:
                    gevent.sleep(10.0)
                with suppress(OSError):
                    connection.sendall(data[i * n_bytes : (i + 1) * n_bytes])
                gevent.sleep(seconds / N_CHUNKS)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        try:
            yield server.address
        finally:
            server.stop(timeout=0)

    def test_snapshot_over_a_slow_link_completes_while_it_makes_progress(self):
        with self.peer(2 * PROGRESS_TIMEOUT_SECONDS) as address:
            self.peers._pull(address)
        self.assertTrue(self.balancer.steering.configuration)
        self.assertEqual(
            self.balancer.recorder.names(), ["configuration_in_force", "copy_taken"]
        )

    def test_pull_confirms_ownership_as_of_its_request(self):
        """Guards against an owner that trusts a response that took seconds."""

        def serve(connection, _):
            receive_exactly(connection, receive_frame_length(connection))
            self.balancer.now += 3_000
            report = heartbeat(revision=9, confirmed_age=100)
            data = encode_difference(report, self.snapshot, may_compress=False)
            connection.sendall(len(data).to_bytes(4) + data)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.peers._pull(server.address)
        steering, now = self.balancer.steering, self.balancer.now
        self.assertEqual(steering.confirmed_age(now), 100)
        self.assertEqual(steering.warm_up.confirmation.age(now), 3_100)

    def receive(self, report):
        """Let the balancer read a heartbeat from its socket."""
        port = self.peers._socket.getsockname()[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(encode_heartbeat(report), ("127.0.0.1", port))
        self.peers._receive_datagrams()

    def test_heartbeats_read_after_a_pause_confirm_no_ownership(self):
        """Guards against an owner that wakes up and trusts queued heartbeats."""
        steering = self.balancer.steering
        steering.apply_changes(self.snapshot, self.balancer.now)
        steering.confirm_by_snapshot(self.balancer.now)
        report = heartbeat(revision=9)
        self.receive(report)
        self.balancer.now += 150
        self.receive(report)
        now = self.balancer.now
        self.assertLess(steering.warm_up.confirmation.age(now), 150)
        self.balancer.now += 5_000
        self.receive(report)
        now = self.balancer.now
        self.assertEqual(steering.confirmed_age(now), 0)
        self.assertGreaterEqual(steering.warm_up.confirmation.age(now), 5_000)

    def test_peer_without_progress_is_abandoned(self):
        started_at = time.monotonic()
        with self.peer(0.1, stalls=True) as address:
            self.peers._pull(address)
        self.assertLess(time.monotonic() - started_at, 2 * PROGRESS_TIMEOUT_SECONDS)
        self.assertEqual(self.balancer.recorder.names(), ["peer_unreachable"])
        self.assertFalse(self.peers._is_receiving_snapshot)

    def test_peer_that_trickles_is_abandoned_after_the_pull_timeout(self):
        limit, peers_module.PULL_TIMEOUT_SECONDS = (
            peers_module.PULL_TIMEOUT_SECONDS,
            0.5,
        )
        try:
            with self.peer(5.0) as address:
                self.peers._pull(address)
        finally:
            peers_module.PULL_TIMEOUT_SECONDS = limit
        self.assertEqual(self.balancer.recorder.names(), ["peer_unreachable"])
        self.assertFalse(self.peers._is_receiving_snapshot)

    def test_only_one_of_two_concurrent_snapshots_is_received(self):
        with self.peer(0.5) as first, self.peer(0.5) as second:
            gevent.joinall([gevent.spawn(self.peers._pull, a) for a in (first, second)])
        names = self.balancer.recorder.names()
        self.assertEqual(
            names, ["peer_answer_refused", "configuration_in_force", "copy_taken"]
        )

    def test_heartbeats_during_a_snapshot_start_no_pull(self):
        with self.peer(0.5) as address:
            pull = gevent.spawn(self.peers._pull, address)
            gevent.sleep(0.1)
            for name in ("edge-2", "edge-3", "edge-4"):
                self.peers._handle_heartbeat(heartbeat(name, revision=9))
            self.assertEqual(self.peers._pulling_from, {address})
            pull.join()

    def test_concurrent_snapshots_are_limited(self):
        self.balancer.steering.apply_changes(self.snapshot, self.balancer.now)
        request = SyncRequest(after=Version(0, 0), may_compress=False)
        links = [SlowLink() for _ in range(MAX_CONCURRENT_SNAPSHOTS + 1)]
        sending = [
            gevent.spawn(self.peers._differences.send, link, request) for link in links
        ]
        gevent.sleep(0.1)
        self.assertEqual(
            [link.is_snapshot for link in links], [True, True, True, False]
        )
        gevent.joinall(sending)
        late = SlowLink()
        self.peers._differences.send(late, request)
        self.assertTrue(late.is_snapshot)
