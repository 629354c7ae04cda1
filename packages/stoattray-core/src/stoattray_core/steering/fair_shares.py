"""Fair shares of a level's admitted openings, by caller address.

While a level is admitted in part, the openings of each address are counted. Every
address is admitted whole up to a common limit, and the part above it is refused
(max-min fairness). The limit is set so that the admitted share of the level is that of
the cut-off: callers that open more than others are limited first.

Bound: with N counted addresses, an address is admitted at least the N-th part of what
is admitted, or all that it opens if that is less. Callers behind one address share it.
"""

from stoattray_core._identifiers import Millis

HALF_LIFE_MILLIS = 500
"""Counted openings lose half of their weight in this time."""

MAX_ADDRESSES = 256
"""Addresses counted for each level. When they are used up, the lowest counts make room:
what matters are the addresses that open the most."""

MIN_COUNT = 0.25
"""Counts below this are removed."""

LIMIT_AGE_MILLIS = 50
"""Time for which a computed limit is used."""


class FairShares:
    """Counted openings of one level, by caller address.

    Parameters
    ----------
    now : Millis
        Current time.
    """

    def __init__(self, now: Millis) -> None:
        self._counts: dict[bytes, float] = {}
        self._decayed_at = now
        self._limit_at: Millis | None = None
        self._limit_share = 1.0
        self._limit = 0.0

    def __len__(self) -> int:
        return len(self._counts)

    def note_offered(self, address: bytes, now: Millis) -> None:
        """Count an opening of an address."""
        if now - self._decayed_at >= HALF_LIFE_MILLIS:
            self._decay(now)
        if address not in self._counts and len(self._counts) >= MAX_ADDRESSES:
            del self._counts[min(self._counts, key=self._counts.__getitem__)]
        self._counts[address] = self._counts.get(address, 0.0) + 1.0

    def admitted_share(self, address: bytes, share: float, now: Millis) -> float:
        """Return the share of an address's openings that is admitted.

        Parameters
        ----------
        address : bytes
            The address.
        share : float
            Admitted share of the level.
        now : Millis
            Current time.
        """
        if not 0.0 < share < 1.0:
            return share
        is_outdated = self._limit_at is None or now - self._limit_at > LIMIT_AGE_MILLIS
        if is_outdated or abs(share - self._limit_share) > 0.01:
            self._limit = find_limit(list(self._counts.values()), share)
            self._limit_share = share
            self._limit_at = now
        return min(1.0, self._limit / max(1.0, self._counts.get(address, 1.0)))

    def _decay(self, now: Millis) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_MILLIS)
        self._decayed_at = now
        self._counts = {
            address: count * factor
            for address, count in self._counts.items()
            if count * factor >= MIN_COUNT
        }


def find_limit(counts: list[float], share: float) -> float:
    """Return the limit at which the counts, cut to it, add up to a share of all.

    Parameters
    ----------
    counts : list of float
        Openings by address.
    share : float
        Share that is admitted, from 0 to 1.
    """
    left = share * sum(counts)
    n_left = len(counts)
    for count in sorted(counts):
        if count * n_left >= left:
            return left / n_left
        left -= count
        n_left -= 1
    return max(counts, default=1.0)
