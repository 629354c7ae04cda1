"""Active health probes by TCP connect."""

import gevent
from gevent import socket
from gevent.pool import Pool

from stoattray_core import Address, Core, ServerId

MAX_PARALLEL_PROBES = 64


class Prober:
    """Probes the health ports of the backend servers assigned to this balancer.

    Parameters
    ----------
    core : Core
        Provides the targets and receives the results.
    period_seconds, timeout_seconds : float
        Interval of probes of one target, and timeout of one probe.
    """

    def __init__(
        self, core: Core, *, period_seconds: float, timeout_seconds: float
    ) -> None:
        self._core = core
        self._period_seconds = period_seconds
        self._timeout_seconds = timeout_seconds
        self._pool = Pool(MAX_PARALLEL_PROBES)

    def run(self) -> None:
        """Probe all targets periodically; never returns."""
        while True:
            for server, address in self._core.probe_targets():
                self._pool.spawn(self._probe, server, address)
            gevent.sleep(self._period_seconds)

    def can_connect(self, address: Address) -> bool:
        """Return whether a TCP connection succeeds within the timeout."""
        try:
            with socket.create_connection(address, timeout=self._timeout_seconds):
                return True
        except OSError:
            return False

    def _probe(self, server: ServerId, address: Address) -> None:
        self._core.on_probe_result(server, self.can_connect(address))
