"""Service times that changed in a whole data centre, measured by responses.

A single slow server is found by comparing it with the service's other servers. If all
servers of a data centre become slow, most responses that a balancer sees are slow, and
become the baseline. Here, recent responses are compared with the time before.
"""

from collections import deque

from stoattray_core._identifiers import Millis
from stoattray_core.steering.averages import median

N_SAMPLES = 15
"""Latest responses of a service in one data centre that a median is taken of."""

MIN_RATIO = 1.6
"""Ratio to the service time from which a data centre counts as slow. Old reports of
queues alone distort single samples."""

EXPIRY_MILLIS = 3_000
"""Time without responses after which a slow data centre is tried again."""


class _Samples:
    """Recent responses of a service in one data centre."""

    __slots__ = ("millis", "sampled_at")

    def __init__(self) -> None:
        self.millis: deque[float] = deque(maxlen=N_SAMPLES)
        self.sampled_at: Millis = 0


class DataCentreSpeeds:
    """Recent service times by data centre and service."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], _Samples] = {}

    def note_response(
        self, data_centre: str, service: str, millis: float, now: Millis
    ) -> None:
        """Note a response, without the time that it queued."""
        key = data_centre, service
        samples = self._samples.setdefault(key, _Samples())
        if now - samples.sampled_at > EXPIRY_MILLIS:
            samples.millis.clear()
        samples.millis.append(millis)
        samples.sampled_at = now

    def service_time(
        self, data_centre: str, service: str, usual_millis: float, now: Millis
    ) -> float:
        """Return the service time in a data centre in ms.

        Parameters
        ----------
        data_centre, service : str
            Data centre and service.
        usual_millis : float
            Service time unless the data centre is slow.
        now : Millis
            Current time.
        """
        samples = self._samples.get((data_centre, service))
        if samples is None or now - samples.sampled_at > EXPIRY_MILLIS:
            return usual_millis
        if len(samples.millis) < N_SAMPLES:
            return usual_millis
        recent = median(samples.millis)
        return recent if recent >= MIN_RATIO * usual_millis else usual_millis
