"""Real balancer processes, each with its own address and proxies for its links."""

import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import gevent
import psutil
from gevent import subprocess
from monitor import InvariantMonitor
from proxy import PeerProxies, StreamProxy

BALANCER_MAIN = (
    Path(__file__).parents[2] / "platform/src/stoattray_platform/__main__.py"
)
INHERITED_ENVIRONMENT = {
    name: os.environ[name] for name in ("PATH",) if name in os.environ
}
GRACE_SECONDS = 6
CHECK_PERIOD_SECONDS = 0.2
MAX_MEMORY_BYTES = 96 * 1_048_576
"""Limit that detects memory leaks; a process uses about 40 MB, libraries included."""

MAX_DESCRIPTORS = 200


@dataclass
class Ports:
    """Port numbers, the same on all balancers of a run."""

    datagrams: int
    readiness: int
    seeds: int
    peers: int
    metrics: int
    store: int


class Balancer:
    """One balancer's VM: its addresses, its link proxies and its process.

    Parameters
    ----------
    name, data_centre, host : str
        Identity, location and IP address.
    advertised_host : str
        IP address at which other balancers reach it, through its peer proxies.
    ports : Ports
        Port numbers of the run.
    seeds : list of str
        Addresses of the seed balancers.
    store : tuple of str and int
        Address of the store, the target of the store proxy.
    directory : Path
        Directory for settings and logs.
    extra_settings : dict
        Settings of the process beside those that each has.
    mains : tuple of Path
        Programs of the builds that it runs in turn, another one at each start.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        host: str,
        *,
        advertised_host: str,
        ports: Ports,
        seeds: list[str],
        store: tuple[str, int],
        directory: Path,
        extra_settings: dict[str, object],
        mains: tuple[Path, ...] = (BALANCER_MAIN,),
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.datagram_address = (host, ports.datagrams)
        self.readiness_address = (host, ports.readiness)
        self.store_proxy = StreamProxy((host, ports.store), store)
        self.peer_proxies = PeerProxies(
            advertised_host, host, (ports.peers, ports.seeds), ports.peers
        )
        self.is_stopped = False
        self.is_cut_off = False
        self.n_starts = 0
        self._mains = mains
        self._settings_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self._process: subprocess.Popen | None = None
        settings = {
            "member": name,
            "data_centre": data_centre,
            "host": host,
            "advertised_host": advertised_host,
            "seed_server": f"{host}:{ports.seeds}",
            "metrics_port": ports.metrics,
            "peer_port": ports.peers,
            "seeds": seeds,
            "store": f"{host}:{ports.store}",
            "store_reads_per_second": 2_000,
            "min_lease_ms": 1_000,
            "flow_life_seconds": 60,
            "grace_seconds": GRACE_SECONDS,
            **extra_settings,
        }
        self._settings_path.write_text(json.dumps(settings))

    @property
    def process(self) -> subprocess.Popen | None:
        """Return the process, or None if it was terminated or never started."""
        return self._process

    def start(self) -> None:
        """Start the process."""
        main = self._mains[self.n_starts % len(self._mains)]
        self.n_starts += 1
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    str(main),
                    "{}:{}".format(*self.datagram_address),
                    "{}:{}".format(*self.readiness_address),
                ],
                env={
                    **INHERITED_ENVIRONMENT,
                    "PYTHONPATH": str(main.parents[1]),
                    "STOATTRAY_NODE_FILE": str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, signal_number)

    def terminate(self, signal_number: signal.Signals) -> None:
        """Stop the process deliberately; kill it if it exceeds its grace period."""
        self.is_stopped = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        if self._process is not None:
            try:
                self._process.wait(timeout=GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                self.send_signal(signal.SIGKILL)
                self._process.wait()
        self._process = None


class Fleet:
    """All balancers of a run.

    Parameters
    ----------
    monitor : InvariantMonitor
        Records processes that exit unexpectedly or exceed resource limits.
    balancers : list of Balancer
        Balancers to run, not yet started.
    """

    def __init__(self, monitor: InvariantMonitor, balancers: list[Balancer]) -> None:
        self.balancers = balancers
        self._monitor = monitor

    def start(self) -> None:
        """Start all processes."""
        for balancer in self.balancers:
            balancer.start()

    def stop(self) -> None:
        """Stop all processes and proxies."""
        tasks = [gevent.spawn(b.terminate, signal.SIGTERM) for b in self.balancers]
        gevent.joinall(tasks)
        for balancer in self.balancers:
            balancer.store_proxy.stop()
            balancer.peer_proxies.stop()

    def restart(
        self, balancer: Balancer, signal_number: signal.Signals, downtime_seconds: float
    ) -> None:
        """Stop one process and start it again after a downtime."""
        if balancer.is_stopped:
            return
        balancer.terminate(signal_number)
        gevent.sleep(downtime_seconds)
        # start() yields to other greenlets: is_stopped stays set until it returns, so
        # that a concurrent restart does not act on a missing process.
        balancer.start()
        balancer.is_stopped = False

    def monitor_processes(self) -> None:
        """Check for unexpected exits and resource leaks periodically; never returns."""
        while True:
            gevent.sleep(CHECK_PERIOD_SECONDS)
            for balancer in self.balancers:
                if not balancer.is_stopped:
                    self._check_process(balancer)

    def _check_process(self, balancer: Balancer) -> None:
        process = balancer.process
        if process is None:
            return
        status = process.poll()
        if status is not None:
            self._monitor.record_violation(
                "no exit", balancer=balancer.name, status=status
            )
            balancer.start()
            return
        try:
            process_info = psutil.Process(process.pid)
            memory, n_files = process_info.memory_info().rss, process_info.num_fds()
        except psutil.Error:
            return
        counts = self._monitor.counts
        counts["most memory, MB"] = max(counts["most memory, MB"], memory // 1_048_576)
        counts["most descriptors"] = max(counts["most descriptors"], n_files)
        if memory > MAX_MEMORY_BYTES or n_files > MAX_DESCRIPTORS:
            self._monitor.record_violation(
                "flat", balancer=balancer.name, memory=memory, descriptors=n_files
            )
