"""HTTP server and client connection, tested against each other and fake servers."""

import unittest
from contextlib import suppress

import gevent
from gevent import socket
from gevent.server import StreamServer

from stoattray_balancer.steering._http import (
    HttpConnection,
    HttpError,
    http_server,
    path_with_query,
)

LOOPBACK = ("127.0.0.1", 0)


class HttpServerTest(unittest.TestCase):
    """Requests such as readiness checks and scrapes of metrics."""

    def setUp(self):
        self.server = http_server(LOOPBACK, self.handle)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.address = ("127.0.0.1", self.server.server_port)

    @staticmethod
    def handle(path):
        return (200, "ready\n") if path == "/ready" else (503, "no\n")

    def exchange(self, request):
        with gevent.Timeout(2):
            connection = socket.create_connection(self.address)
            connection.sendall(request)
            chunks = []
            # A server that closes with unread bytes resets the connection.
            with suppress(ConnectionResetError):
                chunks.extend(iter(lambda: connection.recv(65_536), b""))
            return b"".join(chunks)

    def test_connection_close_is_honoured(self):
        request = b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        response = self.exchange(request)
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "))
        self.assertTrue(response.endswith(b"ready\n"))

    def test_several_requests_on_one_connection(self):
        connection = HttpConnection(self.address, connect_timeout_seconds=1)
        for path, status in (("/ready", 200), ("/other", 503), ("/ready", 200)):
            self.assertEqual(
                connection.call("GET", path, b"", timeout_seconds=1)[0], status
            )
        connection.close()

    def test_malformed_request_closes_the_connection(self):
        self.assertEqual(self.exchange(b"\x00\x01nonsense\r\n\r\n"), b"")

    def test_oversized_request_closes_the_connection(self):
        self.assertEqual(self.exchange(b"GET /" + b"x" * 100_000), b"")


class HttpConnectionTest(unittest.TestCase):
    """Failed calls report whether they may have taken effect."""

    def serve(self, handle):
        server = StreamServer(LOOPBACK, handle)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        return HttpConnection(
            ("127.0.0.1", server.server_port), connect_timeout_seconds=0.5
        )

    def test_refused_connection(self):
        connection = HttpConnection(("127.0.0.1", 9), connect_timeout_seconds=0.5)
        with self.assertRaises(HttpError) as caught:
            connection.call("GET", "/", b"", timeout_seconds=1)
        self.assertFalse(caught.exception.was_sent)

    def test_silent_server(self):
        connection = self.serve(lambda accepted, _: gevent.sleep(5))
        with self.assertRaises(HttpError) as caught:
            connection.call("GET", "/", b"", timeout_seconds=0.2)
        self.assertTrue(caught.exception.was_sent)

    def test_truncated_response(self):
        def handle(accepted, _):
            accepted.recv(1_024)
            accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
            accepted.close()

        with self.assertRaises(HttpError) as caught:
            self.serve(handle).call("GET", "/", b"", timeout_seconds=1)
        self.assertTrue(caught.exception.was_sent)

    def test_connection_is_reopened_after_a_failure(self):
        responses = [
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ]

        def handle(accepted, _):
            accepted.recv(1_024)
            accepted.sendall(responses.pop(0))

        connection = self.serve(handle)
        with self.assertRaises(HttpError):
            connection.call("GET", "/", b"", timeout_seconds=1)
        self.assertEqual(
            connection.call("GET", "/", b"", timeout_seconds=1),
            (200, b"", {"content-length": "0"}),
        )

    def test_header_names_are_in_lower_case(self):
        def handle(accepted, _):
            accepted.recv(1_024)
            accepted.sendall(
                b"HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 0\r\n\r\n"
            )

        response = self.serve(handle).call("GET", "/", b"", timeout_seconds=1)
        self.assertEqual(response.headers["store-era"], "3")

    def test_query_is_percent_encoded(self):
        self.assertEqual(
            path_with_query("/a", prefix="", after="x/y z"),
            "/a?prefix=&after=x%2Fy%20z",
        )
