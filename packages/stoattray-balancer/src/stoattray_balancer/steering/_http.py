"""HTTP/1.1 over gevent sockets: a client connection and a minimal server.

httptools does the parsing. requests and falcon together would add 37 MB of memory
and half a second of start time, too much for small VMs.
"""

import socket as stdlib_socket
from collections.abc import Callable
from typing import NamedTuple

import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from stoattray_balancer.steering._sockets import open_connection
from stoattray_core._identifiers import Address

RECEIVE_BYTES = 65_536
MAX_REQUEST_BYTES = 16_384
"""Largest accepted request; the connection of a longer one is closed."""

MAX_RESPONSE_BYTES = 8_388_608
"""Largest accepted response: a page of the store is at most about 1 MB before
base64."""

KEEP_ALIVE_SECONDS = 5.0
"""Time after which the server closes an idle connection."""

BACKLOG = 16


class HttpError(Exception):
    """A call without a complete response.

    Parameters
    ----------
    reason : str
        What failed.
    was_sent : bool
        Whether the request may have taken effect.
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class HttpResponse(NamedTuple):
    """A response; names of `headers` are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str]


class _ResponseReader:
    """Collects one response from the parser's callbacks."""

    def __init__(self) -> None:
        self.is_complete = False
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


class HttpConnection:
    """A persistent client connection, reopened after any failure.

    Parameters
    ----------
    address : Address
        Address of the server.
    connect_timeout_seconds : float
        Limit for connecting.
    """

    def __init__(self, address: Address, *, connect_timeout_seconds: float) -> None:
        self._address = address
        self._connect_timeout_seconds = connect_timeout_seconds
        self._socket: socket.socket | None = None

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def adopt(self, descriptor: int) -> None:
        """Use the connection with a descriptor, on which a request may be sent."""
        self.close()
        self._socket = socket.socket(fileno=descriptor)

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        *,
        timeout_seconds: float,
        is_sent: bool = False,
    ) -> HttpResponse:
        """Return the response to a request.

        Parameters
        ----------
        method, path : str
            Method and target of the request.
        body : bytes
            JSON, may be empty.
        timeout_seconds : float
            Limit for the whole call once connected.
        is_sent : bool
            Whether the request was sent on the connection already.

        Raises
        ------
        HttpError
            If no complete response arrives in time.
        """
        was_sent = False
        try:
            connection = self._connect()
            with gevent.Timeout(timeout_seconds, TimeoutError("no answer in time")):
                was_sent = True
                if not is_sent:
                    connection.sendall(self._format_request(method, path, body))
                return self._read_response(connection)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self.close()
            raise HttpError(repr(error), was_sent=was_sent) from error
        except BaseException:
            self.close()
            raise

    def _connect(self) -> socket.socket:
        if self._socket is None:
            connection = open_connection(self._address, self._connect_timeout_seconds)
            connection.settimeout(None)
            connection.setsockopt(
                stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1
            )
            self._socket = connection
        return self._socket

    def _format_request(self, method: str, path: str, body: bytes) -> bytes:
        host, port = self._address
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        if body or method != "GET":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    def _read_response(self, connection: socket.socket) -> HttpResponse:
        reader = _ResponseReader()
        n_bytes = 0
        while not reader.is_complete:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError("closed before the end of the response")
            n_bytes += len(data)
            if n_bytes > MAX_RESPONSE_BYTES:
                raise ConnectionAbortedError("response is too large")
            reader.parser.feed_data(data)
        if not reader.parser.should_keep_alive():
            self.close()
        return HttpResponse(
            reader.parser.get_status_code(), b"".join(reader.chunks), reader.headers
        )


def path_with_query(path: str, **parameters: str | int) -> str:
    """Return `path` with a query string."""
    pairs = [
        f"{name}={_percent_encode(str(value))}" for name, value in parameters.items()
    ]
    return path + "?" + "&".join(pairs)


def _percent_encode(text: str) -> str:
    """Percent-encode `text`; loads urllib only if `text` needs it."""
    if not text or text.isalnum() and text.isascii():
        return text
    from urllib.parse import quote

    return quote(text, safe="")


class _RequestReader:
    """Collects one request from the parser's callbacks."""

    def __init__(self) -> None:
        self.path = ""
        self.is_complete = False
        self.keeps_alive = False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("ascii", "replace")

    def on_headers_complete(self) -> None:
        # The parser resets its header state once the message is complete.
        self.keeps_alive = self.parser.should_keep_alive()

    def on_message_complete(self) -> None:
        self.is_complete = True


RequestHandler = Callable[[str], tuple[int, str]]
"""Takes the path of a request and returns status and body."""


def http_server(
    listener: Address | socket.socket, handler: RequestHandler
) -> StreamServer:
    """Return a server, not yet started, that handles each request by its path.

    Parameters
    ----------
    listener : Address or socket.socket
        Address to listen at, or a listening socket.
    handler : RequestHandler
        May block its greenlet.
    """

    def serve(connection: socket.socket, _: Address) -> None:
        try:
            while _serve_request(connection, handler):
                pass
        except (OSError, httptools.HttpParserError):
            return
        finally:
            connection.close()

    if isinstance(listener, socket.socket):
        return StreamServer(listener, serve)
    return StreamServer(listener, serve, backlog=BACKLOG)


def _serve_request(connection: socket.socket, handler: RequestHandler) -> bool:
    """Serve one request; return whether the connection stays open."""
    connection.settimeout(KEEP_ALIVE_SECONDS)
    reader = _RequestReader()
    n_bytes = 0
    while not reader.is_complete:
        data = connection.recv(RECEIVE_BYTES)
        n_bytes += len(data)
        if not data or n_bytes > MAX_REQUEST_BYTES:
            return False
        reader.parser.feed_data(data)
    status, text = handler(reader.path)
    body = text.encode()
    head = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Unavailable'}\r\n"
    head += f"Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)
    return reader.keeps_alive
