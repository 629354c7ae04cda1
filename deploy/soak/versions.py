"""Check that no process reverts to an older configuration."""

import re

import gevent
from fleet import Balancer, Fleet
from gevent import socket
from monitor import InvariantMonitor

METRICS_PORT = 7_105
CHECK_PERIOD_SECONDS = 0.5


def check_versions(fleet: Fleet, monitor: InvariantMonitor) -> None:
    """Check the versions that all processes report; never returns."""
    latest_versions: dict[tuple[str, int], int] = {}
    while True:
        for balancer in fleet.balancers:
            process = (balancer.name, balancer.n_starts)
            match = re.search(
                r"^stoattray_configuration_version (\d+)",
                fetch_metrics(balancer),
                re.M,
            )
            if match is None or process != (balancer.name, balancer.n_starts):
                continue
            version = int(match[1])
            if version < latest_versions.get(process, 0):
                monitor.record_violation("never an older configuration", at_=process)
            latest_versions[process] = version
        gevent.sleep(CHECK_PERIOD_SECONDS)


def fetch_metrics(balancer: Balancer) -> str:
    """Return a balancer's metrics, or an empty string if it does not respond."""
    address = (balancer.readiness_address[0], METRICS_PORT)
    try:
        with gevent.Timeout(0.5, TimeoutError()):
            connection = socket.create_connection(address)
            try:
                connection.sendall(
                    b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                )
                chunks = iter(lambda: connection.recv(65_536), b"")
                return b"".join(chunks).decode()
            finally:
                connection.close()
    except (OSError, TimeoutError):
        return ""
