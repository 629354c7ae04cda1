"""Balancer processes, started by the command of the deploy file on loopback."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6.0
MAX_TRIES = 50


class Ports(NamedTuple):
    """Ports, the same on all machines of a case."""

    datagrams: int
    readiness: int
    control: int
    peers: int
    metrics: int
    store: int
    hosts: int


class Network(NamedTuple):
    """A block of loopback addresses with free ports."""

    block: str
    ports: Ports

    def address(self, number: int) -> str:
        """Return one address of the block."""
        return f"{self.block}.{number}"


def free_network() -> Network:
    """Return a block of loopback addresses, and ports that are free there."""
    for _ in range(MAX_TRIES):
        block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        first = random.randrange(12_000, 28_000)
        ports = Ports(*range(first, first + len(Ports._fields)))
        if all(_is_free(f"{block}.1", port) for port in ports):
            return Network(block, ports)
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Balancer:
    """One machine of the system and its process."""

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        network: Network,
        folder: Path,
        seeds: list[str],
        extra: dict[str, Any],
    ) -> None:
        ports = network.ports
        self.name = name
        self.host = host
        self.datagrams = (host, ports.datagrams)
        self.readiness = (host, ports.readiness)
        self.metrics = (host, ports.metrics)
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        values = {
            "member": name,
            "data_centre": zone,
            "host": host,
            "seed_server": f"{host}:{ports.control}",
            "metrics_port": ports.metrics,
            "peer_port": ports.peers,
            "seeds": [f"{seed}:{ports.control}" for seed in seeds],
            "store": f"{network.address(1)}:{ports.store}",
            "store_reads_per_second": 2_000,
            "min_lease_ms": 1_000,
            "flow_life_seconds": 60,
            "grace_seconds": int(GRACE_SECONDS),
            "remote_traffic": {"min_round_trip_ms": 4},
            **extra,
        }
        self._settings.write_text(json.dumps(values), encoding="utf-8")

    @property
    def log_lines(self) -> list[str]:
        """Return the lines that the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace").splitlines()

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        command = _command(
            "{}:{}".format(*self.datagrams), "{}:{}".format(*self.readiness)
        )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "STOATTRAY_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> int | None:
        """Stop the process as the platform does; return its exit status."""
        if self.process is None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        return self.process.returncode

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _command(datagrams: str, readiness: str) -> list[str]:
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        run = tomllib.load(file)["roles"]["balancer"]["run"]
    run = run.replace("{{endpoints.datagram_addr}}", datagrams)
    return run.replace("{{endpoints.readiness_addr}}", readiness).split()


class Folder:
    """A temporary folder for settings and logs."""

    def __init__(self) -> None:
        self.path = Path(tempfile.mkdtemp(prefix="review-"))

    def remove(self) -> None:
        """Delete the folder."""
        shutil.rmtree(self.path, ignore_errors=True)
