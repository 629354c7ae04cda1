"""Cookies: 32 bits in each packet that identify the flow's backend server.

Invariant: balancers that know the same live backend servers assign and resolve cookies
identically, whatever they knew before. A cookie is a digest of the server's name. It
resolves to the first server, in a fixed order, that has it among its candidates, and a
server uses its first candidate that resolves to it. Removed servers come last in that
order, as their flows have ended; their cookies still resolve for a flow's maximum
lifetime.
"""

from collections.abc import Iterator

from xxhash import xxh32_intdigest

from stoattray_core._identifiers import Millis

N_CANDIDATES = 2
"""Candidate cookies per server; with 20,000 servers the odds that both of one collide
are below 1e-6."""


def candidate_cookies(name: str) -> Iterator[int]:
    """Yield the candidate cookies of a server in order of preference; none is 0."""
    for seed in range(N_CANDIDATES):
        yield xxh32_intdigest(name.encode(), seed) or 1


class CookieTable:
    """Cookies of live and recently removed backend servers.

    Parameters
    ----------
    retention_millis : Millis
        Time for which a cookie still resolves after its server was removed.
    """

    def __init__(self, retention_millis: Millis) -> None:
        self._retention_millis = retention_millis
        self._started_at: dict[str, int] = {}
        self._removed_until: dict[str, Millis] = {}
        self._names: dict[int, tuple[str, ...]] = {}

    def add(self, name: str, started_at: int) -> list[str]:
        """Add a live backend server.

        Parameters
        ----------
        name : str
            Name of the server.
        started_at : int
            Start time; on a collision the earlier start comes first.

        Returns
        -------
        list of str
            Other live servers that share a candidate cookie with it; their cookies may
            have changed.
        """
        self._started_at[name] = started_at
        self._removed_until.pop(name, None)
        for cookie in candidate_cookies(name):
            names = self._names.get(cookie, ())
            if name not in names:
                self._names[cookie] = (*names, name)
        return self._sharing(name)

    def remove(self, name: str, now: Millis) -> list[str]:
        """Note that a server was removed; return live servers as `add` does."""
        if self._started_at.pop(name, None) is None:
            return []
        self._removed_until[name] = now + self._retention_millis
        return self._sharing(name)

    def cookie(self, name: str) -> int:
        """Return the cookie of a live server."""
        cookie = 0
        for cookie in candidate_cookies(name):
            if self.resolve(cookie) == name:
                break
        return cookie

    def resolve(self, cookie: int) -> str | None:
        """Return the name of the server that a cookie identifies, or None."""
        names = self._names.get(cookie)
        if names is None:
            return None
        if len(names) == 1:
            return names[0]
        return min(names, key=lambda name: self._precedence(name, cookie))

    def expire(self, now: Millis) -> list[str]:
        """Drop servers removed more than `retention_millis` ago; return their names."""
        expired = [name for name, until in self._removed_until.items() if until <= now]
        for name in expired:
            del self._removed_until[name]
            for cookie in set(candidate_cookies(name)):
                names = tuple(other for other in self._names[cookie] if other != name)
                if names:
                    self._names[cookie] = names
                else:
                    del self._names[cookie]
        return expired

    def _precedence(self, name: str, cookie: int) -> tuple[bool, bool, int, str]:
        """Return the sort key of a server among those that share a cookie."""
        is_second_choice = next(candidate_cookies(name)) != cookie
        started_at = self._started_at.get(name)
        return started_at is None, is_second_choice, started_at or 0, name

    def _sharing(self, name: str) -> list[str]:
        return [
            other
            for cookie in candidate_cookies(name)
            for other in self._names[cookie]
            if other != name and other in self._started_at
        ]
