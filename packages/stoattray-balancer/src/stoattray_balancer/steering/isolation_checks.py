"""Connections to the store that tell whether this balancer is cut off."""

from collections.abc import Callable

import gevent

from stoattray_balancer.steering._sockets import open_connection
from stoattray_core._identifiers import Address, Millis
from stoattray_core.steering.isolation import CHECK_TIMEOUT_MILLIS, Isolation

WANTED_CHECK_SECONDS = 0.05
"""Time between looks at whether a check is wanted."""


class IsolationChecks:
    """Tries new connections to the store while the core wants to know.

    They make no call, so they do not count toward the store's limits.

    Parameters
    ----------
    isolation : Isolation
        Wants checks, and gets their results.
    address : callable
        Returns the address of the store.
    clock : callable
        Returns the time in milliseconds.
    """

    def __init__(
        self,
        isolation: Isolation,
        *,
        address: Callable[[], Address],
        clock: Callable[[], Millis],
    ) -> None:
        self._isolation = isolation
        self._address = address
        self._clock = clock

    def run(self) -> None:
        """Make the wanted checks, one after the other, forever."""
        while True:
            gevent.sleep(WANTED_CHECK_SECONDS)
            if self._isolation.wants_check(self._clock()):
                self.check()

    def check(self) -> None:
        """Try one connection and note whether it was answered."""
        started_at = self._clock()
        is_reached = is_answered(self._address(), CHECK_TIMEOUT_MILLIS / 1_000)
        self._isolation.note_check(
            is_reached=is_reached, started_at=started_at, now=self._clock()
        )


def is_answered(address: Address, timeout_seconds: float) -> bool:
    """Return whether a new connection is accepted, refused or reset in time."""
    try:
        open_connection(address, timeout_seconds).close()
    except ConnectionError:
        return True
    except OSError:
        return False
    return True
