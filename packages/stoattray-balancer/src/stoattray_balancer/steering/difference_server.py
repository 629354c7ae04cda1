"""Sends the differences that other balancers request."""

from collections.abc import Callable

import gevent
from gevent import socket

from stoattray_balancer.steering._frames import (
    PULL_TIMEOUT_SECONDS,
    receive_exactly,
    receive_frame_length,
    send_frame,
)
from stoattray_balancer.steering._peer_codec import (
    SyncRequest,
    decode_sync_request,
    encode_difference,
)
from stoattray_core._identifiers import Address
from stoattray_core._sentinel import Refused
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.protocols import EventSink
from stoattray_core.steering.replica import Difference, Replica

MAX_CONCURRENT_SNAPSHOTS = 3
"""Most snapshots sent at the same time. Further requesters get a list of members to ask
instead: when all balancers start, those with a snapshot double in each round, while
three seeds alone would saturate their links for half a minute at 300 balancers."""


class DifferenceServer:
    """Answers requests for the changes after a version of the store.

    Parameters
    ----------
    replica : Replica
        Replica that holds the changes.
    build_heartbeat : callable
        Returns the heartbeat that goes with an answer; takes the request, and whether
        the heartbeat takes the place of a snapshot.
    on_event : EventSink
        Receives events.
    """

    def __init__(
        self,
        replica: Replica,
        build_heartbeat: Callable[[SyncRequest, bool], Heartbeat],
        on_event: EventSink,
    ) -> None:
        self._replica = replica
        self._build_heartbeat = build_heartbeat
        self._on_event = on_event
        self._n_snapshots_sending = 0

    def handle(self, connection: socket.socket, _: Address) -> None:
        """Answer the request of one connection, and close it."""
        try:
            with gevent.Timeout(PULL_TIMEOUT_SECONDS, TimeoutError("too slow")):
                n_bytes = receive_frame_length(connection)
                request = decode_sync_request(receive_exactly(connection, n_bytes))
                if isinstance(request, Refused):
                    self._on_event("peer_request_refused", reason=request.detail)
                    return
                self.send(connection, request)
        except OSError as error:
            self._on_event("peer_request_failed", error=repr(error))
        finally:
            connection.close()

    def send(self, connection: socket.socket, request: SyncRequest) -> None:
        """Send the requested changes; above the snapshot limit, only members to ask."""
        difference = self._replica.changes_since(request.after)
        is_busy = (
            difference.is_snapshot
            and self._n_snapshots_sending >= MAX_CONCURRENT_SNAPSHOTS
        )
        if is_busy:
            difference = Difference(0, [], False)
        data = encode_difference(
            self._build_heartbeat(request, is_busy),
            difference,
            may_compress=request.may_compress,
        )
        self._n_snapshots_sending += difference.is_snapshot
        try:
            send_frame(connection, data)
        finally:
            self._n_snapshots_sending -= difference.is_snapshot
