"""Lifecycle of one balancer process, from start to exit."""

import signal
import ssl
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import SystemRandom

import gevent
from gevent.pywsgi import WSGIServer

from stoattray_balancer._api import build_app
from stoattray_balancer._api_context import ApiContext
from stoattray_balancer._config_store import ConfigStore
from stoattray_balancer._datapath import Datapath, udp_socket
from stoattray_balancer._declarations import Declarations
from stoattray_balancer._encryption import Keyring, load_keys
from stoattray_balancer._evacuations import Evacuations
from stoattray_balancer._logs import log_event, set_up_logging
from stoattray_balancer._platform_reader import PlatformReader, restart_on_error
from stoattray_balancer._prober import Prober
from stoattray_balancer._store import Store
from stoattray_balancer._telemetry import Telemetry
from stoattray_balancer._tokens import TokenAuth, load_tokens
from stoattray_balancer.settings import ApiSettings, Settings, endpoint_address
from stoattray_core import (
    Core,
    CoreSettings,
    Identity,
    MemberId,
    Millis,
    StoattrayError,
)

BUSY_TICK_SECONDS = 0.02
IDLE_TICK_SECONDS = 0.1
NANOS_PER_MILLI = 1_000_000
LEAVE_TIMEOUT_SECONDS = 20.0
FORCED_EXIT_STATUS = 143  # 128 + SIGTERM


def monotonic_millis() -> Millis:
    """Return the monotonic clock, in milliseconds."""
    return time.monotonic_ns() // NANOS_PER_MILLI


class BalancerProcess:
    """Connects the core to its sockets, the platform's store and the API.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._keyring = Keyring(load_keys(Path(settings.keys_file)))
        tokens_file = settings.api.tokens_file
        tokens = load_tokens(Path(tokens_file)) if tokens_file else None
        self._tokens = TokenAuth(tokens)
        self._random = SystemRandom()
        self._incarnation = time.time_ns() // NANOS_PER_MILLI
        self._core = self._build_core()
        self._telemetry = Telemetry(settings.telemetry, settings.member, self._core)
        self._store = Store(settings.platform) if settings.platform else None
        self._config_store = ConfigStore(self._core, self._store)
        self._n_stop_signals = 0

    def run(self) -> int:
        """Run until a stop signal has been handled; return the exit status."""
        set_up_logging(self._settings.log_level)
        with ExitStack() as stack:
            datapath = stack.enter_context(self._open_datapath())
            stack.enter_context(self._api_server(datapath))
            stack.enter_context(self._background_tasks())
            gevent.signal_handler(signal.SIGTERM, self._on_stop_signal)
            gevent.signal_handler(signal.SIGINT, self._on_stop_signal)
            gevent.signal_handler(signal.SIGHUP, self._reload)
            log_event("started", member=self._settings.member)
            self._serve(datapath)
        self._telemetry.stop()
        log_event("stopped")
        return 0

    def _build_core(self) -> Core:
        settings = self._settings
        identity = Identity(
            member=MemberId(settings.member),
            host=settings.host,
            peer_port=settings.peer_port,
            relay_port=settings.relay_port,
            api_port=settings.api.port,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
        )
        return Core(
            identity,
            seeds=tuple(endpoint_address(seed) for seed in settings.seeds),
            settings=CoreSettings(),
            random=self._random,
            now=monotonic_millis(),
        )

    def _serve(self, datapath: Datapath) -> None:
        while self._n_stop_signals == 0:
            datapath.tick()
            is_busy = self._core.is_busy
            gevent.sleep(BUSY_TICK_SECONDS if is_busy else IDLE_TICK_SECONDS)
        self._drain(datapath)

    def _drain(self, datapath: Datapath) -> None:
        """Leave the cluster while still forwarding, then announce the exit.

        Returns once the core has left and `drain_seconds` have passed, at the
        latest after LEAVE_TIMEOUT_SECONDS.
        """
        log_event("draining", seconds=self._settings.drain_seconds)
        self._core.leave()
        started_at = time.monotonic()
        while not self._can_stop(time.monotonic() - started_at):
            datapath.tick()
            gevent.sleep(BUSY_TICK_SECONDS)
        self._core.announce_departure()
        datapath.execute_outputs()

    def _can_stop(self, elapsed_seconds: float) -> bool:
        if self._n_stop_signals > 1 or elapsed_seconds >= LEAVE_TIMEOUT_SECONDS:
            return True
        return self._core.may_stop and elapsed_seconds >= self._settings.drain_seconds

    def _on_stop_signal(self) -> None:
        self._n_stop_signals += 1
        if self._n_stop_signals > 1:
            log_event("stopped_at_once")
            sys.exit(FORCED_EXIT_STATUS)

    def _reload(self) -> None:
        """Reload keys and tokens; keep the current ones if a file is invalid."""
        try:
            self._keyring.replace(load_keys(Path(self._settings.keys_file)))
            if self._settings.api.tokens_file:
                tokens = load_tokens(Path(self._settings.api.tokens_file))
                self._tokens.replace(tokens)
        except StoattrayError as error:
            log_event("reload_failed", kind=error.kind, reason=error.reason)
            return
        log_event("reloaded")

    @contextmanager
    def _open_datapath(self) -> Iterator[Datapath]:
        settings = self._settings
        with ExitStack() as stack:
            fabric_socket, relay_socket, peer_socket = (
                stack.enter_context(udp_socket(settings.host, port))
                for port in (
                    settings.fabric_port,
                    settings.relay_port,
                    settings.peer_port,
                )
            )
            datapath = Datapath(
                self._core,
                fabric_socket=fabric_socket,
                relay_socket=relay_socket,
                peer_socket=peer_socket,
                fabric_return=endpoint_address(settings.fabric_return),
                keyring=self._keyring,
                member=MemberId(settings.member),
                incarnation=self._incarnation,
                clock=monotonic_millis,
                telemetry=self._telemetry,
                sample_one_in=settings.telemetry.sample_one_in,
            )
            datapath.start()
            try:
                yield datapath
            finally:
                datapath.stop()

    @contextmanager
    def _api_server(self, datapath: Datapath) -> Iterator[None]:
        def request_revisions(revision: int) -> None:
            self._core.ping_outdated(revision)
            datapath.execute_outputs()

        context = ApiContext(
            core=self._core,
            declarations=Declarations(self._core, self._config_store),
            evacuations=Evacuations(self._core, self._config_store),
            tokens=self._tokens,
            telemetry=self._telemetry,
            request_revisions=request_revisions,
            counters=lambda: {**self._core.counters, **datapath.counters},
        )
        server = WSGIServer(
            (self._settings.host, self._settings.api.port),
            build_app(context),
            log=None,
            error_log=None,
            **_tls_arguments(self._settings.api),
        )
        server.start()
        try:
            yield
        finally:
            server.stop(timeout=1)

    @contextmanager
    def _background_tasks(self) -> Iterator[None]:
        prober = Prober(
            self._core,
            period_seconds=self._settings.probe_period_seconds,
            timeout_seconds=self._settings.probe_timeout_seconds,
        )
        tasks = [gevent.spawn(restart_on_error(prober.run, "prober"))]
        if self._store is not None and self._settings.platform is not None:
            reader = PlatformReader(
                self._core,
                self._config_store,
                self._store,
                poll_seconds=self._settings.platform.poll_seconds,
                random=self._random,
            )
            tasks.append(
                gevent.spawn(restart_on_error(reader.poll_forever, "platform_reads"))
            )
            tasks.append(
                gevent.spawn(restart_on_error(reader.watch_forever, "platform_watch"))
            )
        try:
            yield
        finally:
            gevent.killall(tasks, timeout=1)


def _tls_arguments(settings: ApiSettings) -> dict[str, ssl.SSLContext]:
    if settings.tls is None:
        return {}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls.certificate_file, settings.tls.key_file)
    if settings.tls.client_ca_file is not None:
        context.load_verify_locations(settings.tls.client_ca_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return {"ssl_context": context}
