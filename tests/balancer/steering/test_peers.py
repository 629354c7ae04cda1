"""Taking a copy from peers over thin links, silent ones and several at once."""

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
    decode_sync_request,
    encode_difference,
)
from stoattray_balancer.steering.peers import (
    MAX_CONCURRENT_SNAPSHOTS,
    MIN_SNAPSHOT_BYTES,
    Peers,
)
from stoattray_core.steering.replica import Difference
from tests.steering_builders import Balancer, configuration, heartbeat, member_entry

N_PIECES = 10


class SlowLink:
    """A connection that takes its time for the pieces of a whole copy."""

    def __init__(self):
        self.n_bytes = 0

    @property
    def is_whole(self):
        return self.n_bytes >= MIN_SNAPSHOT_BYTES

    def settimeout(self, seconds):
        """Take a limit, which this link keeps."""

    def send(self, piece):
        self.n_bytes += len(piece)
        if self.is_whole:
            gevent.sleep(0.3)
        return len(piece)


class PeerCopyTest(unittest.TestCase):
    """A balancer that starts, and peers that tests play."""

    def setUp(self):
        self.balancer = Balancer()
        self.peers = self.made(self.balancer)
        record = self.balancer.decoder.record("configuration", 4, configuration())
        padding = [
            self.balancer.decoder.record(f"members/{i}" + "x" * 100, 4, member_entry())
            for i in range(MIN_SNAPSHOT_BYTES // 100)
        ]
        self.copy = Difference(9, [record, *padding], True)

    def made(self, balancer: Balancer) -> Peers:
        peers = Peers(
            balancer.steering,
            member_entry("edge-1"),
            listen_host="127.0.0.1",
            peer_port=0,
            seeds=(),
            is_reading=lambda: False,
            random=Random(1),
            clock=lambda: balancer.now,
            on_relayed=lambda data: None,
            on_event=balancer.recorder,
        )
        self.addCleanup(peers._socket.close)
        return peers

    @contextmanager
    def peer(self, seconds: float, *, falls_silent: bool = False):
        """Play a peer whose copy takes `seconds`, or stops in the middle."""

        def serve(connection, _):
            request = receive_exactly(connection, receive_frame_length(connection))
            assert decode_sync_request(request).after_revision == 0
            data = encode_difference(heartbeat(), self.copy, may_compress=False)
            data = len(data).to_bytes(4) + data
            n_bytes = -(-len(data) // N_PIECES)
            for i in range(N_PIECES):
                if falls_silent and i == N_PIECES // 2:
                    gevent.sleep(10.0)
                with suppress(OSError):
                    connection.sendall(data[i * n_bytes : (i + 1) * n_bytes])
                gevent.sleep(seconds / N_PIECES)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        try:
            yield server.address
        finally:
            server.stop(timeout=0)

    def test_copy_over_a_thin_link_is_taken_while_bytes_come(self):
        with self.peer(2 * PROGRESS_TIMEOUT_SECONDS) as address:
            self.peers._pull(address)
        self.assertTrue(self.balancer.steering.configuration)
        self.assertEqual(
            self.balancer.recorder.names(), ["configuration_in_force", "copy_taken"]
        )

    def test_peer_that_falls_silent_is_left(self):
        began = time.monotonic()
        with self.peer(0.1, falls_silent=True) as address:
            self.peers._pull(address)
        self.assertLess(time.monotonic() - began, 2 * PROGRESS_TIMEOUT_SECONDS)
        self.assertEqual(self.balancer.recorder.names(), ["peer_unreachable"])
        self.assertFalse(self.peers._is_receiving_snapshot)

    def test_peer_that_trickles_is_left_after_the_whole_limit(self):
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

    def test_one_copy_at_a_time_and_the_first_to_answer_is_taken(self):
        with self.peer(0.5) as first, self.peer(0.5) as second:
            gevent.joinall([gevent.spawn(self.peers._pull, a) for a in (first, second)])
        names = self.balancer.recorder.names()
        self.assertEqual(
            names, ["peer_answer_refused", "configuration_in_force", "copy_taken"]
        )

    def test_heartbeats_during_a_copy_ask_for_no_other(self):
        with self.peer(0.5) as address:
            pull = gevent.spawn(self.peers._pull, address)
            gevent.sleep(0.1)
            for name in ("edge-2", "edge-3", "edge-4"):
                self.peers._handle_heartbeat(heartbeat(name, revision=9))
            self.assertEqual(self.peers._pulling_from, {address})
            pull.join()

    def test_balancers_asked_by_many_hand_out_few_copies(self):
        self.balancer.steering.take(self.copy, self.balancer.now)
        request = SyncRequest(after_revision=0, may_compress=False)
        links = [SlowLink() for _ in range(MAX_CONCURRENT_SNAPSHOTS + 1)]
        handed = [
            gevent.spawn(self.peers._send_difference, link, request) for link in links
        ]
        gevent.sleep(0.1)
        self.assertEqual([link.is_whole for link in links], [True, True, True, False])
        gevent.joinall(handed)
        late = SlowLink()
        self.peers._send_difference(late, request)
        self.assertTrue(late.is_whole)
