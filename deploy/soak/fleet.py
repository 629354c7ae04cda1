"""Real balancer processes, each with its own address and link to the store."""

import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import gevent
import psutil
from gevent import subprocess
from promises import Promises
from proxy import LinkProxy, PeerLinks

PROGRAM = Path(__file__).parents[2] / "platform/src/stoattray_platform/__main__.py"
PASSED_ON = {
    name: os.environ[name] for name in ("PATH", "PYTHONPATH") if name in os.environ
}
GRACE_SECONDS = 6
EXIT_SECONDS = 0.2
MAX_MEMORY_BYTES = 96 * 1_048_576
"""A process that holds more leaks; one takes some 40 MB here, libraries included."""

MAX_DESCRIPTORS = 200


@dataclass
class Ports:
    """Ports that are alike on all balancers of a run."""

    datagrams: int
    readiness: int
    seeds: int
    peers: int
    metrics: int
    store: int


class Balancer:
    """One balancer's VM: its address, its link, and its process while it runs.

    Parameters
    ----------
    name, data_centre, host : str
        Who and where it is.
    front : str
        Address by which the other balancers reach it.
    ports : Ports
        Ports of this run.
    seeds : list of str
        Addresses of seeds.
    store : tuple of str and int
        The store behind the link.
    folder : Path
        Where settings and logs go.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        host: str,
        *,
        front: str,
        ports: Ports,
        seeds: list[str],
        store: tuple[str, int],
        folder: Path,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.datagrams = (host, ports.datagrams)
        self.readiness = (host, ports.readiness)
        self.link = LinkProxy((host, ports.store), store)
        self.peer_links = PeerLinks(
            front, host, (ports.peers, ports.seeds), ports.peers
        )
        self.is_stopped = False
        self.is_cut_off = False
        self.n_starts = 0
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        settings = {
            "member": name,
            "data_centre": data_centre,
            "host": host,
            "advertised_host": front,
            "seed_server": f"{host}:{ports.seeds}",
            "metrics_port": ports.metrics,
            "peer_port": ports.peers,
            "seeds": seeds,
            "store": f"{host}:{ports.store}",
            "store_reads_per_second": 2_000,
            "min_lease_ms": 1_000,
            "flow_life_seconds": 60,
            "grace_seconds": GRACE_SECONDS,
        }
        self._path.write_text(json.dumps(settings))

    @property
    def process(self) -> subprocess.Popen | None:
        """Return the process while it runs."""
        return self._process

    def start(self) -> None:
        """Start the process."""
        self.n_starts += 1
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    str(PROGRAM),
                    "{}:{}".format(*self.datagrams),
                    "{}:{}".format(*self.readiness),
                ],
                env={**PASSED_ON, "STOATTRAY_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    def end(self, number: signal.Signals) -> None:
        """End the process on purpose; kill it if it outlives its grace period."""
        self.is_stopped = True
        self.send(signal.SIGCONT)
        self.send(number)
        if self._process is not None:
            try:
                self._process.wait(timeout=GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                self.send(signal.SIGKILL)
                self._process.wait()
        self._process = None


class Fleet:
    """All balancers of a run.

    Parameters
    ----------
    promises : Promises
        Where processes that end by themselves are noted.
    balancers : list of Balancer
        Not yet started.
    """

    def __init__(self, promises: Promises, balancers: list[Balancer]) -> None:
        self.balancers = balancers
        self._promises = promises

    def start(self) -> None:
        """Start all processes."""
        for balancer in self.balancers:
            balancer.start()

    def stop(self) -> None:
        """End all processes."""
        tasks = [gevent.spawn(b.end, signal.SIGTERM) for b in self.balancers]
        gevent.joinall(tasks)
        for balancer in self.balancers:
            balancer.link.stop()
            balancer.peer_links.stop()

    def restart(self, balancer: Balancer, number: signal.Signals, down: float) -> None:
        """End one process and start it again after some seconds."""
        if balancer.is_stopped:
            return
        balancer.end(number)
        gevent.sleep(down)
        # Starting lets others run; until it is done a further restart has no process.
        balancer.start()
        balancer.is_stopped = False

    def run_checks(self) -> None:
        """Look for processes that ended by themselves or grow, for ever."""
        while True:
            gevent.sleep(EXIT_SECONDS)
            for balancer in self.balancers:
                if not balancer.is_stopped:
                    self._check(balancer)

    def _check(self, balancer: Balancer) -> None:
        process = balancer.process
        if process is None:
            return
        status = process.poll()
        if status is not None:
            self._promises.break_("no exit", balancer=balancer.name, status=status)
            balancer.start()
            return
        try:
            seen = psutil.Process(process.pid)
            memory, n_files = seen.memory_info().rss, seen.num_fds()
        except psutil.Error:
            return
        counts = self._promises.counts
        counts["most memory, MB"] = max(counts["most memory, MB"], memory // 1_048_576)
        counts["most descriptors"] = max(counts["most descriptors"], n_files)
        if memory > MAX_MEMORY_BYTES or n_files > MAX_DESCRIPTORS:
            self._promises.break_(
                "flat", balancer=balancer.name, memory=memory, descriptors=n_files
            )
