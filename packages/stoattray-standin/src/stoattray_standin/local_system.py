"""Runs balancers and stand-ins as processes on loopback."""

import base64
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import requests

from stoattray_core import Address
from stoattray_operator.client import Client, ConnectionSettings
from stoattray_standin._ports import HOST, free_ports

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 30.0
POLL_PERIOD_SECONDS = 0.05


@dataclass(slots=True)
class BalancerProcess:
    """One balancer process and its ports."""

    name: str
    fabric_port: int
    relay_port: int
    peer_port: int
    api_port: int
    process: subprocess.Popen[bytes] | None = None

    @property
    def fabric_address(self) -> Address:
        """Return the address that the fabric sends packets to."""
        return HOST, self.fabric_port

    @property
    def api_url(self) -> str:
        """Return the base URL of the API."""
        return f"http://{HOST}:{self.api_port}"

    def create_client(self) -> Client:
        """Return a client of this balancer's API."""
        return Client(ConnectionSettings(self.api_url))

    def is_ready(self) -> bool:
        """Return whether the balancer is ready to handle packets."""
        try:
            return requests.get(self.api_url + "/v1/ready", timeout=2).ok
        except requests.RequestException:
            return False

    def get_counters(self) -> dict[str, int]:
        """Return the balancer's counts of events."""
        return requests.get(self.api_url + "/v1/counters", timeout=5).json()


@dataclass(slots=True)
class LocalSystem:
    """Processes of one system, for the demo, tests and benchmarks."""

    directory: Path
    return_port: int
    platform_port: int
    stats_port: int
    telemetry: dict[str, Any] = field(default_factory=dict)
    drain_seconds: float = 2.0
    api_settings: dict[str, Any] = field(default_factory=dict)
    balancers: dict[str, BalancerProcess] = field(default_factory=dict)
    _standins: list[subprocess.Popen[bytes]] = field(default_factory=list)

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform_port}"

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        command = ["platform", "--port", str(self.platform_port)]
        self._standins.append(self._spawn_standin(command))
        self._wait_until(lambda: _is_responding(self.platform_url + "/standin/faults"))

    def start_backend_servers(self, servers: list[dict[str, Any]]) -> None:
        """Start all backend servers in one process.

        Parameters
        ----------
        servers : list of dict
            Each with `service`, `name` and `port`.
        """
        plan = self.directory / "backend-servers.json"
        content = {"return_port": self.return_port, "backend_servers": servers}
        plan.write_text(json.dumps(content))
        command = ["backend-servers", "--port", str(self.stats_port)]
        self._standins.append(self._spawn_standin([*command, "--plan", str(plan)]))
        self._wait_until(lambda: _is_responding(self._stats_url()))

    def server_stats(self) -> list[dict[str, Any]]:
        """Return counts per backend server."""
        return requests.get(self._stats_url(), timeout=5).json()

    def set_faults(self, **faults: object) -> None:
        """Replace the platform's faults; those not named are cleared."""
        url = self.platform_url + "/standin/faults"
        requests.put(url, json=faults, timeout=5).raise_for_status()

    def count_platform_calls(self) -> int:
        """Return the number of calls that the platform has received."""
        url = self.platform_url + "/standin/faults"
        return int(requests.get(url, timeout=5).json()["n_calls"])

    def add_balancer(self, name: str) -> BalancerProcess:
        """Register a balancer with free ports, to be started later."""
        fabric, relay, peer, api = free_ports(4)
        balancer = BalancerProcess(name, fabric, relay, peer, api)
        self.balancers[name] = balancer
        return balancer

    def start_balancer(self, name: str, data_centre: str = "dc1") -> BalancerProcess:
        """Start a balancer without waiting until it is ready."""
        balancer = self.balancers.get(name) or self.add_balancer(name)
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self._balancer_settings(balancer, data_centre)))
        log = (self.directory / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "stoattray_balancer.main", "run", str(path)]
        balancer.process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        return balancer

    def wait_until_ready(self, names: list[str]) -> None:
        """Wait until balancers are ready to handle packets."""
        for name in names:
            self._wait_until(self.balancers[name].is_ready)

    def signal_balancer(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a balancer."""
        process = self.balancers[name].process
        if process is not None:
            process.send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Wait for a balancer to exit and return its exit status."""
        process = self.balancers[name].process
        if process is None:
            return 0
        return process.wait(STOP_TIMEOUT_SECONDS)

    def read_log(self, name: str) -> str:
        """Return the log of a balancer."""
        return (self.directory / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kill all processes that this system started."""
        started = [
            balancer.process
            for balancer in self.balancers.values()
            if balancer.process is not None
        ]
        for process in [*started, *self._standins]:
            if process.poll() is None:
                process.kill()
        for process in [*started, *self._standins]:
            process.wait(STOP_TIMEOUT_SECONDS)

    def _balancer_settings(
        self, balancer: BalancerProcess, data_centre: str
    ) -> dict[str, Any]:
        seeds = [
            f"{HOST}:{other.peer_port}"
            for other in self.balancers.values()
            if other is not balancer
        ]
        return {
            "member": balancer.name,
            "data_centre": data_centre,
            "host": HOST,
            "fabric_port": balancer.fabric_port,
            "relay_port": balancer.relay_port,
            "peer_port": balancer.peer_port,
            "fabric_return": f"{HOST}:{self.return_port}",
            "seeds": seeds[:8],
            "keys_file": str(self.directory / "keys.json"),
            "api": {
                "port": balancer.api_port,
                "plain_http": True,
                **self.api_settings,
            },
            "platform": {"url": self.platform_url},
            "telemetry": self.telemetry,
            "drain_seconds": self.drain_seconds,
        }

    def _stats_url(self) -> str:
        return f"http://{HOST}:{self.stats_port}/standin/backend-servers"

    def _spawn_standin(self, command: list[str]) -> subprocess.Popen[bytes]:
        with (self.directory / "standin.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "stoattray_standin", *command],
                stdout=log,
                stderr=log,
            )

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"a process did not start, see {self.directory}")
            time.sleep(POLL_PERIOD_SECONDS)


@contextmanager
def local_system(
    telemetry: dict[str, Any] | None = None, drain_seconds: float = 2.0
) -> Iterator[LocalSystem]:
    """Yield a system with keys and ports but no processes; stop it on exit."""
    with TemporaryDirectory(prefix="stoattray-") as name:
        directory = Path(name)
        secret = base64.b64encode(os.urandom(32)).decode()
        (directory / "keys.json").write_text(json.dumps([{"id": 1, "secret": secret}]))
        return_port, platform_port, stats_port = free_ports(3)
        system = LocalSystem(
            directory=directory,
            return_port=return_port,
            platform_port=platform_port,
            stats_port=stats_port,
            telemetry=telemetry or {},
            drain_seconds=drain_seconds,
        )
        try:
            yield system
        finally:
            system.stop()


def _is_responding(url: str) -> bool:
    try:
        return requests.get(url, timeout=2).ok
    except requests.RequestException:
        return False
