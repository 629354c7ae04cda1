"""Service times of the services: how long a free backend server takes for a request.

Admission control needs them without the time that requests queue. If they included it,
they would grow in a burst, and openings would be refused although servers are idle.
"""

from stoattray_core._identifiers import Millis
from stoattray_core.steering.averages import median

N_FIRST_SAMPLES = 20
"""Responses of a service before its service time is used."""

STEP = 0.01
"""Relative change of a service time with each response. It moves towards the median, so
that a few refused requests hardly change it."""

MIN_AGE_MILLIS = 400
"""Age of a service's first response before responses count: two heartbeats. Until then
a balancer does not know its peers' requests, behind which its own ones queue."""


class ServiceTimes:
    """Median service time of requests, by service."""

    def __init__(self) -> None:
        self._first_response_at: dict[str, Millis] = {}
        self._first_samples: dict[str, list[float]] = {}
        self._medians: dict[str, float] = {}

    def note_response(
        self,
        service: str,
        waited_millis: Millis,
        now: Millis,
        *,
        queueing_factor: float,
    ) -> None:
        """Note a response of a service.

        Parameters
        ----------
        service : str
            The service.
        waited_millis : Millis
            Time from the request to its response.
        now : Millis
            Current time.
        queueing_factor : float
            By how much earlier requests lengthened the response.
        """
        first_at = self._first_response_at.setdefault(service, now)
        if now - first_at < MIN_AGE_MILLIS:
            return
        sample = waited_millis / queueing_factor
        current = self._medians.get(service)
        if current is not None:
            direction = (sample > current) - (sample < current)
            self._medians[service] = max(1.0, current * (1.0 + STEP * direction))
            return
        samples = self._first_samples.setdefault(service, [])
        samples.append(sample)
        if len(samples) >= N_FIRST_SAMPLES:
            self._medians[service] = max(1.0, median(samples))
            del self._first_samples[service]

    def get(self, service: str) -> float | None:
        """Return a service's time in ms including a round trip, or None if unknown."""
        return self._medians.get(service)
