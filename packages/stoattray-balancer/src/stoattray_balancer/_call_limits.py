"""Bounds of this node's calls to the platform, shared by all its clients."""

import time
from random import Random


class RateLimit:
    """Bounds this node's calls to the platform by a token bucket.

    Parameters
    ----------
    per_second : float
        Calls a second; as many may come at once.
    """

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = max(1.0, per_second)
        self._refilled_at = time.monotonic()
        self.n_calls = 0

    def take(self) -> bool:
        """Return whether a call may be made now."""
        now = time.monotonic()
        filled = self._tokens + (now - self._refilled_at) * self._per_second
        self._tokens = min(max(1.0, self._per_second), filled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.n_calls += 1
        return True


class BackOff:
    """Waits between failed calls: drawn evenly from an interval that doubles.

    Parameters
    ----------
    first_seconds, max_seconds : float
        Upper end of the first interval, and of the last.
    random : Random
        Source of jitter.
    """

    MIN_FRACTION = 0.25
    """Least part of an interval; keeps failed calls from following each other."""

    def __init__(
        self, first_seconds: float, max_seconds: float, random: Random
    ) -> None:
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._random = random
        self.n_failures = 0

    def succeed(self) -> None:
        """Start again with the first interval."""
        self.n_failures = 0

    def fail(self) -> float:
        """Note a failure and return the seconds to wait."""
        interval = min(
            self._max_seconds, self._first_seconds * 2 ** min(10, self.n_failures)
        )
        self.n_failures += 1
        return self._random.uniform(interval * self.MIN_FRACTION, interval)
