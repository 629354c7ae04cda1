"""Client of the platform's store: a read whose request was sent early."""

import json
import socket
import threading
import unittest
from random import Random

import gevent
from gevent.server import StreamServer

from stoattray_balancer.steering.early_request import send_early
from stoattray_balancer.steering.store_reader import Registration
from stoattray_platform.early_read import FIRST_PAGE_PATH
from stoattray_platform.store_client import PlatformStoreClient

HOST = "127.0.0.1"


def page(revision, items=()):
    """Return the store's answer with records, by default none."""
    body = json.dumps(
        {"items": list(items), "has_more": False, "store_revision": revision}
    )
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class EarlyReadTest(unittest.TestCase):
    """A store that answers its connections in turn."""

    def setUp(self):
        self.store = socket.create_server((HOST, 0))
        self.addCleanup(self.store.close)
        self.port = self.store.getsockname()[1]
        self.requests = []

    def serve(self, answers):
        """Answer one connection each; an empty answer closes it."""

        def run():
            for answer in answers:
                connection, _ = self.store.accept()
                with connection:
                    self.requests.append(connection.recv(1_000))
                    connection.sendall(answer)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 2.0)

    def read(self):
        early = send_early(f"{HOST}:{self.port}", FIRST_PAGE_PATH)
        client = PlatformStoreClient((HOST, self.port), calls_per_second=100)
        client.adopt(early)
        return client.read_all()

    def test_answer_to_the_early_request_is_used(self):
        self.serve([page(7)])
        self.assertEqual(self.read().revision, 7)
        self.assertEqual(len(self.requests), 1)

    def test_lost_answer_is_asked_for_again_at_once(self):
        """Guards against a start that waits for its next turn to read."""
        self.serve([b"", page(8)])
        self.assertEqual(self.read().revision, 8)
        self.assertEqual(len(self.requests), 2)
        for request in self.requests:
            self.assertTrue(request.startswith(b"GET /api/kv-range?prefix= HTTP/1.1"))

    def test_record_that_cannot_be_read_does_not_refuse_the_others(self):
        """Guards against a balancer that no longer follows the store."""
        items = [
            {"key": "servers/i-1", "revision": 1, "value": "e30="},
            {"key": "servers/i-\ud83d2", "revision": 2, "value": "e30="},
            {"key": "servers/i-3", "revision": 3, "value": "{"},
            {"key": "servers/i-4", "revision": 4, "value": None},
            {"key": "servers/i-5", "revision": 5, "value": "e30="},
        ]
        self.serve([page(8, items)])
        records = self.read().records
        self.assertEqual([record.revision for record in records], [1, 3, 4, 5])
        self.assertEqual([record.value for record in records], [b"{}", b"", b"", b"{}"])


class DeregistrationTest(unittest.TestCase):
    """A balancer that stops while the store leaves a renewal unanswered."""

    def test_stop_beside_a_waiting_renewal(self):
        """Guards against a planned stop that ends with an error."""
        answers = [b'{"lease":7}', b'{"revision":1}', None, b"{}"]
        requests = []

        def serve(connection, _):
            requests.append(connection.recv(1_000).split(b"\r\n")[0])
            body = answers[len(requests) - 1]
            if body is None:
                gevent.sleep(5.0)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(head + body)

        server = StreamServer((HOST, 0), serve)
        server.start()
        self.addCleanup(server.stop, 0)

        def new_client():
            return PlatformStoreClient((HOST, server.server_port), calls_per_second=100)

        registration = Registration(
            new_client(),
            "edge-1",
            b"me",
            min_lease=1_000,
            calls_per_second=100.0,
            n_members=lambda: 1,
            era=lambda: 0,
            random=Random(1),
            on_event=lambda name, **fields: None,
        )
        registration._register_or_renew()
        renewal = gevent.spawn(registration._register_or_renew)
        self.addCleanup(renewal.kill)
        gevent.sleep(0.1)
        registration.deregister(new_client())
        self.assertEqual(
            [request.split()[1] for request in requests],
            [
                b"/api/kv-lease",
                b"/api/kv-txn",
                b"/api/kv-keep/7",
                b"/api/kv-lease-end/7",
            ],
        )


if __name__ == "__main__":
    unittest.main()
