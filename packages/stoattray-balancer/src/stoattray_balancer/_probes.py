"""Active health probes: a TCP connection to the health port."""

import gevent
from gevent import socket
from gevent.pool import Pool

from stoattray_core import Address, Core, ServerId

MAX_PARALLEL_PROBES = 64


class Prober:
    """Probes the backend servers that fall to this balancer.

    Parameters
    ----------
    core : Core
        Names the targets and takes the results.
    period_seconds, timeout_seconds : float
        Time between two probes of one target, and limit of one probe.
    """

    def __init__(
        self, core: Core, *, period_seconds: float, timeout_seconds: float
    ) -> None:
        self._core = core
        self._period_seconds = period_seconds
        self._timeout_seconds = timeout_seconds
        self._pool = Pool(MAX_PARALLEL_PROBES)

    def run(self) -> None:
        """Probe for ever."""
        while True:
            for server, address in self._core.probe_targets():
                self._pool.spawn(self._probe, server, address)
            gevent.sleep(self._period_seconds)

    def is_up(self, address: Address) -> bool:
        """Return whether a connection is made in time."""
        try:
            with socket.create_connection(address, timeout=self._timeout_seconds):
                return True
        except OSError:
            return False

    def _probe(self, server: ServerId, address: Address) -> None:
        self._core.on_probe_result(server, self.is_up(address))
