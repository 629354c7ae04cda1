"""One balancer process with cookie placement, from start to exit."""

import signal
import socket as sockets
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
from stoattray_balancer.steering.datagrams import DatagramPath, Header
from stoattray_balancer.steering.event_log import EventLog
from stoattray_balancer.steering.peers import Peers
from stoattray_balancer.steering.process_metrics import metrics_text
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
from stoattray_core.steering.interfaces import Decoder
from stoattray_core.steering.steering import Steering

STOP_MARGIN_MILLIS = 1_000
"""The process is out so long before the platform would end it."""

LEAVE_SECONDS = 0.3
"""Limit for taking the own record away at the end; without it the lease ends it."""

QUIET_MILLIS = 1_000
"""Routers have turned away when no packet came for this time."""

TURN_AWAY_MILLIS = 1_300
"""Routers take two missed checks, half a second apart, to turn away."""

MAX_TURN_MILLIS = 2_000
"""Longest wait of a stopping balancer for its turn: routers must have turned away 4 s
after the signal, and take up to 1.5 s."""

STOP_CHECK_SECONDS = 0.05
METRICS_PATH = "/metrics"

READY_HOLD_SECONDS = 0.4
"""A readiness check that comes during the start is answered as soon as ready; it is
held for less than the half second after which routers ask again."""

READY_CHECK_SECONDS = 0.005
SETTINGS_CHECK_SECONDS = 1.0
"""How often the settings file is looked at; it may change without a signal."""


def boot_millis() -> Millis:
    """Return milliseconds of a clock that also counts while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class SteeringProcess:
    """Wires the decisions to sockets, peers and the platform.

    Parameters
    ----------
    path : str
        Settings file.
    header : Header
        Reads and writes packets.
    decoder : Decoder
        Reads records of the store.
    client : callable
        Makes a client of the store from settings.
    readiness_path : str
        Path that routers ask for readiness.
    datagrams, readiness : int
        Descriptors of the sockets of packets and readiness checks, bound before
        the program was loaded.
    """

    def __init__(
        self,
        path: str,
        *,
        header: Header,
        decoder: Decoder,
        client: Callable[[SteeringSettings], StoreClient],
        readiness_path: str,
        datagrams: int,
        readiness: int,
    ) -> None:
        self._path = path
        self._log = EventLog(sys.stdout.fileno(), boot_millis)
        self._settings = load_steering_settings(path)
        self._new_client = client
        self._readiness_path = readiness_path
        self._readiness_socket = socket.socket(fileno=readiness)
        self._ready = Event()
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
            flow_life=settings.flow_life_ms,
            random=self._random,
            on_event=self._log,
        )
        self._datagrams = DatagramPath(
            self._steering,
            header,
            sockets.socket(fileno=datagrams),
            clock=boot_millis,
            relay=lambda data: self._peers.relay(data),
            on_event=self._log,
        )
        self._reader = StoreReader(
            self._steering,
            client(settings),
            clock=boot_millis,
            random=self._random,
            on_event=self._log,
        )
        self._registration = Registration(
            client(settings),
            settings.member,
            encode_member(self._own),
            min_lease=settings.min_lease_ms,
            random=self._random,
            on_event=self._log,
        )
        self._peers = Peers(
            self._steering,
            self._own,
            listen_host=settings.host,
            peer_port=settings.peer_port,
            seeds=settings.seeds,
            is_reading=lambda: self._reader.is_answered,
            random=self._random,
            clock=boot_millis,
            on_relayed=self._datagrams.take_relayed,
            on_event=self._log,
        )
        self._is_stopping = False
        self._is_turning_away = False

    def run(self) -> int:
        """Serve until told to stop; return the exit status."""
        self._log.set_up(self._settings.log_level)
        gevent.signal_handler(signal.SIGTERM, self._on_stop_signal)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        with ExitStack() as stack:
            stack.enter_context(self._paths())
            stack.enter_context(self._servers())
            stack.enter_context(self._tasks())
            self._log("started", member=self._settings.member)
            self._wait_ready()
            while not self._is_stopping:
                gevent.sleep(STOP_CHECK_SECONDS)
            self._drain()
        self._log("stopped")
        self._log.flush()
        return 0

    def _wait_ready(self) -> None:
        started = boot_millis()
        while not self._steering.is_ready and not self._is_stopping:
            gevent.sleep(READY_CHECK_SECONDS)
        if self._is_stopping:
            return
        self._datagrams.start()
        self._ready.set()
        self._log("ready", waited_ms=boot_millis() - started)

    def _answer_http(self, path: str) -> tuple[int, str]:
        if path == self._readiness_path:
            self._ready.wait(READY_HOLD_SECONDS)
            is_ready = self._steering.is_ready and not self._is_turning_away
            return (200, "ready\n") if is_ready else (503, "not ready\n")
        if path == METRICS_PATH:
            text = metrics_text(
                self._steering, self._datagrams, self._reader, boot_millis()
            )
            return 200, text
        return 404, "not found\n"

    def _on_stop_signal(self) -> None:
        self._is_stopping = True

    def _drain(self) -> None:
        """Forward until routers have turned away, then take the own record away."""
        started = boot_millis()
        last = started + self._settings.grace_ms - STOP_MARGIN_MILLIS
        self._log("stopping", n_flows=self._steering.n_flows)
        self._wait_turn(min(started + MAX_TURN_MILLIS, last - TURN_AWAY_MILLIS))
        self._is_turning_away = True
        self._peers.is_leaving = True
        turned_at = boot_millis()
        self._log("turning_away", waited_ms=turned_at - started)
        earliest = turned_at + TURN_AWAY_MILLIS
        while boot_millis() < last:
            now = boot_millis()
            is_quiet = now - self._datagrams.last_packet_at >= QUIET_MILLIS
            if now >= earliest and is_quiet:
                break
            gevent.sleep(STOP_CHECK_SECONDS)
        with gevent.Timeout(LEAVE_SECONDS, False):
            self._registration.end()

    def _wait_turn(self, last: Millis) -> None:
        """Stay ready until enough balancers of the data centre are, or until `last`."""
        while boot_millis() < last:
            if self._steering.members.may_turn_away(boot_millis()):
                return
            gevent.sleep(STOP_CHECK_SECONDS)

    def _reload(self) -> None:
        """Read the settings anew; keep the old ones if the file is bad."""
        try:
            settings = load_steering_settings(self._path)
        except StoattrayError as error:
            self._log("reload_failed", kind=error.kind, reason=error.reason)
            return
        if settings != self._settings:
            self._apply(settings)

    def _apply(self, settings: SteeringSettings) -> None:
        """Put changed settings in force, but for those that are fixed at the start."""
        before, self._settings = self._settings, settings
        self._peers.seeds = settings.seeds
        self._log.set_up(settings.log_level)
        if before.store != settings.store or (
            before.store_reads_per_second != settings.store_reads_per_second
        ):
            self._reader.use(self._new_client(settings))
            self._registration.use(self._new_client(settings))
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
    def _paths(self) -> Iterator[None]:
        self._peers.start()
        try:
            yield
        finally:
            self._datagrams.stop()
            self._peers.stop()

    @contextmanager
    def _servers(self) -> Iterator[None]:
        settings = self._settings
        servers: list[StreamServer] = [
            http_server(self._readiness_socket, self._answer_http),
            http_server(settings.metrics, self._answer_http),
            self._peers.server((settings.host, settings.peer_port)),
        ]
        if settings.seed_server is not None:
            servers.append(self._peers.server(settings.seed_server))
        for server in servers:
            server.start()
        try:
            yield
        finally:
            for server in servers:
                server.stop(timeout=0)

    def _run_task(self, name: str, action: Callable[[], None]) -> None:
        """Run a task, and start it again after an unexpected error."""
        while True:
            try:
                action()
            except Exception as error:  # noqa: BLE001 - the process must go on
                self._log("task_failed", task=name, error=repr(error))
                gevent.sleep(STOP_CHECK_SECONDS)
            else:
                return

    @contextmanager
    def _tasks(self) -> Iterator[None]:
        actions = {
            "ticks": self._datagrams.run_ticks,
            "store": self._reader.run,
            "seeds": self._peers.run_seeds,
            "heartbeats": self._peers.run_heartbeats,
            "registration": self._registration.run,
            "settings": self._watch_settings,
            "log": self._log.run,
        }
        tasks = [gevent.spawn(self._run_task, *item) for item in actions.items()]
        try:
            yield
        finally:
            gevent.killall(tasks, timeout=0.2)
