"""Extra round trip to each data centre, measured by follow-up times.

The time from an opening to the caller's next packet is a round trip by way of the
server. For a server in another data centre it is longer by the extra round trip.
"""

from collections import deque

from stoattray_core._identifiers import Millis
from stoattray_core.steering.averages import median

N_SAMPLES = 15
"""Latest follow-up times that a median is taken of. A single late packet hardly changes
it."""

N_FIRST_SAMPLES = 3
"""Follow-up times before an extra round trip counts as measured."""


class RoundTrips:
    """Medians of the follow-up times by data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this balancer.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._samples: dict[str, deque[Millis]] = {}
        self._medians: dict[str, float] = {}

    def note_follow_up(self, data_centre: str, waited_millis: Millis) -> None:
        """Note the time to the follow-up of an opening at a server there."""
        samples = self._samples.setdefault(data_centre, deque(maxlen=N_SAMPLES))
        samples.append(waited_millis)
        if len(samples) >= N_FIRST_SAMPLES:
            self._medians[data_centre] = median(samples)

    def follow_up_millis(self, data_centre: str) -> float:
        """Return the median time to a follow-up in ms; 0 if not measured."""
        return self._medians.get(data_centre, 0.0)

    def extra_millis(self, data_centre: str) -> float | None:
        """Return the extra round trip to a data centre in ms; None if not measured."""
        local = self._medians.get(self._data_centre)
        remote = self._medians.get(data_centre)
        if local is None or remote is None:
            return None
        return max(0.0, remote - local)

    def distances(self, min_millis: float) -> dict[str, float]:
        """Return the extra round trips of at least `min_millis`, by data centre."""
        extras = {name: self.extra_millis(name) for name in self._medians}
        return {
            name: extra
            for name, extra in extras.items()
            if extra is not None and extra >= min_millis and name != self._data_centre
        }
