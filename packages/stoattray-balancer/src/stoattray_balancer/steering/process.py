"""One balancer process with cookie placement, from start to exit."""

import signal
import socket as stdlib_socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from stoattray_balancer.steering._http import http_server
from stoattray_balancer.steering._peer_codec import encode_member
from stoattray_balancer.steering.early_request import EarlyRequest
from stoattray_balancer.steering.event_log import EventLog
from stoattray_balancer.steering.isolation_checks import IsolationChecks
from stoattray_balancer.steering.packet_forwarder import HeaderCodec, PacketForwarder
from stoattray_balancer.steering.peers import Peers
from stoattray_balancer.steering.settings import (
    FIXED_AT_START,
    SteeringSettings,
    load_steering_settings,
)
from stoattray_balancer.steering.store_client import StoreClient
from stoattray_balancer.steering.store_reader import Registration, StoreReader
from stoattray_core._errors import StoattrayError
from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.protocols import RecordDecoder
from stoattray_core.steering.steering import Steering

gevent.config.format_context = "builtins.repr"
"""Gevent's default imports `pprint`, and with it `dataclasses` and `inspect`, when its
hub is created; only reports of errors in greenlets use it."""

STOP_MARGIN_MILLIS = 1_000
"""The process exits this long before the platform would kill it."""

DEREGISTER_TIMEOUT_SECONDS = 0.3
"""Limit for deleting this balancer's record at exit; otherwise the record expires with
its lease."""

QUIET_PERIOD_MILLIS = 1_000
"""Routers are assumed to use other balancers after this time without packets."""

ROUTER_DETECTION_MILLIS = 1_300
"""Least time for routers to detect that this balancer is not ready: two failed checks,
half a second apart."""

MAX_DRAIN_DELAY_MILLIS = 2_000
"""Longest delay before a stopping balancer reports that it is not ready. Routers must
use other balancers 4 s after the signal, and take up to 1.5 s to detect it."""

STOP_CHECK_SECONDS = 0.05
METRICS_PATH = "/metrics"

READINESS_HOLD_SECONDS = 0.4
"""A readiness check during the start is held until the balancer is ready, for less than
the half second after which routers repeat it."""

READY_CHECK_SECONDS = 0.005
SETTINGS_CHECK_SECONDS = 1.0
"""Time between checks of the settings file, which may change without a signal."""


def boot_millis() -> Millis:
    """Return the milliseconds since boot, including time the VM was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class SteeringProcess:
    """Connects the steering logic to sockets, peers and the platform's store.

    Parameters
    ----------
    path : str
        Settings file.
    header_codec : HeaderCodec
        Reads and writes packet headers.
    decoder : RecordDecoder
        Decodes records of the store.
    new_client : callable
        Returns a client of the store for given settings.
    readiness_path : str
        HTTP path of the readiness check.
    packet_descriptor, readiness_descriptor : int
        Descriptors of the sockets for packets and readiness checks, bound before the
        rest of the program was imported.
    early_request : EarlyRequest or None
        Request for all records of the store, if it was sent already.
    """

    def __init__(
        self,
        path: str,
        *,
        header_codec: HeaderCodec,
        decoder: RecordDecoder,
        new_client: Callable[[SteeringSettings], StoreClient],
        readiness_path: str,
        packet_descriptor: int,
        readiness_descriptor: int,
        early_request: EarlyRequest | None = None,
    ) -> None:
        self._path = path
        self._log = EventLog(sys.stdout.fileno(), boot_millis)
        self._settings = load_steering_settings(path)
        self._new_client = new_client
        self._readiness_path = readiness_path
        self._readiness_socket = socket.socket(fileno=readiness_descriptor)
        self._ready_event = Event()
        self._random = Random()
        settings = self._settings
        self._own = MemberEntry(
            name=settings.member,
            host=settings.advertised_host,
            data_centre=settings.data_centre,
            incarnation=time.time_ns() // 1_000_000,
        )
        self._steering = Steering(
            self._own,
            decoder=decoder,
            flow_life_millis=settings.flow_life_ms,
            random=self._random,
            on_event=self._log,
            warm_up_bounds=settings.warm_up_bounds,
            remote_traffic=settings.remote_traffic,
        )
        self._forwarder = PacketForwarder(
            self._steering,
            header_codec,
            stdlib_socket.socket(fileno=packet_descriptor),
            clock=boot_millis,
            relay=lambda data: self._peers.relay(data),
            on_event=self._log,
        )
        self._store_reader = StoreReader(
            self._steering,
            new_client(settings),
            clock=boot_millis,
            random=self._random,
            on_event=self._log,
            early_request=early_request,
        )
        self._isolation_checks = IsolationChecks(
            self._steering.isolation,
            address=lambda: self._settings.store,
            clock=boot_millis,
        )
        self._registration = Registration(
            new_client(settings),
            settings.member,
            encode_member(self._own),
            min_lease=settings.min_lease_ms,
            calls_per_second=settings.store_reads_per_second,
            n_members=lambda: 1 + len(self._steering.members.rows),
            era=lambda: self._steering.replica.version.era,
            random=self._random,
            on_event=self._log,
        )
        self._peers = Peers(
            self._steering,
            self._own,
            listen_host=settings.host,
            peer_port=settings.peer_port,
            seeds=settings.seeds,
            is_reading=lambda: self._store_reader.is_reading,
            is_forwarding=self._is_forwarding,
            random=self._random,
            clock=boot_millis,
            on_relayed=self._forwarder.handle_relayed,
            on_event=self._log,
        )
        self._is_stopping = False
        self._is_reported_unready = False

    def run(self) -> int:
        """Serve until SIGTERM; return the exit status."""
        self._log.configure(self._settings.log_level)
        gevent.signal_handler(signal.SIGTERM, self._request_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        with ExitStack() as stack:
            stack.enter_context(self._started_peers())
            stack.enter_context(self._started_servers())
            stack.enter_context(self._started_tasks())
            self._log("started", member=self._settings.member)
            self._wait_ready()
            while not self._is_stopping:
                gevent.sleep(STOP_CHECK_SECONDS)
            self._drain()
        self._log("stopped")
        self._log.flush()
        return 0

    def _wait_ready(self) -> None:
        started_at = boot_millis()
        while not self._steering.is_ready and not self._is_stopping:
            gevent.sleep(READY_CHECK_SECONDS)
        if self._is_stopping:
            return
        self._forwarder.start()
        self._ready_event.set()
        self._log("ready", waited_ms=boot_millis() - started_at)

    def _handle_http(self, path: str) -> tuple[int, str]:
        if path == self._readiness_path:
            self._ready_event.wait(READINESS_HOLD_SECONDS)
            is_ready = self._is_forwarding() and not self._is_reported_unready
            return (200, "ready\n") if is_ready else (503, "not ready\n")
        if path == METRICS_PATH:
            # Imported here, as it is not needed before the first packet.
            from stoattray_balancer.steering.process_metrics import format_metrics

            text = format_metrics(
                self._steering, self._forwarder, self._store_reader, boot_millis()
            )
            return 200, text
        return 404, "not found\n"

    def _is_forwarding(self) -> bool:
        """Return whether packets can be forwarded and are not failing."""
        is_failing = self._forwarder.health.is_failing(boot_millis())
        return self._steering.is_ready and not is_failing

    def _request_stop(self) -> None:
        self._is_stopping = True

    def _drain(self) -> None:
        """Forward until routers use other balancers, then deregister."""
        started_at = boot_millis()
        deadline = started_at + self._settings.grace_ms - STOP_MARGIN_MILLIS
        self._log("stopping", n_flows=self._steering.n_flows)
        self._wait_for_ready_peers(
            min(started_at + MAX_DRAIN_DELAY_MILLIS, deadline - ROUTER_DETECTION_MILLIS)
        )
        self._is_reported_unready = True
        self._peers.is_leaving = True
        unready_at = boot_millis()
        self._log("turning_away", waited_ms=unready_at - started_at)
        earliest = unready_at + ROUTER_DETECTION_MILLIS
        while boot_millis() < deadline:
            now = boot_millis()
            is_quiet = now - self._forwarder.last_packet_at >= QUIET_PERIOD_MILLIS
            if now >= earliest and is_quiet:
                break
            gevent.sleep(STOP_CHECK_SECONDS)
        with gevent.Timeout(DEREGISTER_TIMEOUT_SECONDS, False):
            self._registration.deregister(self._new_client(self._settings))

    def _wait_for_ready_peers(self, deadline: Millis) -> None:
        """Wait until enough other balancers of the data centre are ready."""
        while boot_millis() < deadline:
            if self._steering.members.may_become_unready(boot_millis()):
                return
            gevent.sleep(STOP_CHECK_SECONDS)

    def _reload(self) -> None:
        """Reload the settings; keep the old ones if the file is invalid."""
        try:
            settings = load_steering_settings(self._path)
        except StoattrayError as error:
            self._log("reload_failed", kind=error.kind, reason=error.reason)
            return
        if settings != self._settings:
            self._apply(settings)

    def _apply(self, settings: SteeringSettings) -> None:
        """Apply changed settings, except those that need a restart."""
        before, self._settings = self._settings, settings
        self._peers.seeds = settings.seeds
        self._log.configure(settings.log_level)
        if before.store != settings.store or (
            before.store_reads_per_second != settings.store_reads_per_second
        ):
            self._store_reader.replace_client(self._new_client(settings))
            self._registration.replace_client(self._new_client(settings))
        changed = [
            name
            for name in SteeringSettings._fields
            if getattr(settings, name) != getattr(before, name)
        ]
        fixed = [name for name in changed if name in FIXED_AT_START]
        self._log(
            "reloaded",
            changed=",".join(changed),
            needs_restart=",".join(fixed) or None,
        )

    def _watch_settings(self) -> None:
        while True:
            gevent.sleep(SETTINGS_CHECK_SECONDS)
            self._reload()

    @contextmanager
    def _started_peers(self) -> Iterator[None]:
        self._peers.start()
        try:
            yield
        finally:
            self._forwarder.stop()
            self._peers.stop()

    @contextmanager
    def _started_servers(self) -> Iterator[None]:
        settings = self._settings
        servers: list[StreamServer] = [
            http_server(self._readiness_socket, self._handle_http),
            http_server(settings.metrics, self._handle_http),
            self._peers.tcp_server((settings.host, settings.peer_port)),
        ]
        if settings.seed_server is not None:
            servers.append(self._peers.tcp_server(settings.seed_server))
        for server in servers:
            server.start()
        try:
            yield
        finally:
            for server in servers:
                server.stop(timeout=0)

    def _run_with_restarts(self, name: str, action: Callable[[], None]) -> None:
        """Run a task, and restart it after an unexpected error."""
        while True:
            try:
                action()
            except Exception as error:  # noqa: BLE001 - keep the process running
                self._log("task_failed", task=name, error=repr(error))
                gevent.sleep(STOP_CHECK_SECONDS)
            else:
                return

    @contextmanager
    def _started_tasks(self) -> Iterator[None]:
        actions = {
            "ticks": self._forwarder.run_ticks,
            "store": self._store_reader.run,
            "isolation": self._isolation_checks.run,
            "seeds": self._peers.pull_until_ready,
            "heartbeats": self._peers.run_heartbeats,
            "registration": self._registration.run,
            "settings": self._watch_settings,
            "log": self._log.run,
        }
        tasks = [
            gevent.spawn(self._run_with_restarts, *item) for item in actions.items()
        ]
        try:
            yield
        finally:
            gevent.killall(tasks, timeout=0.2)
