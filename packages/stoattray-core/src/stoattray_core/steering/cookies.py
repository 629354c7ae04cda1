"""Cookies: 32 bits in each packet that identify the flow's backend server.

Invariant: balancers that know the same backend servers assign and resolve cookies
identically, without coordination. A cookie is a digest of the server's name. On a
collision the server that started first keeps the digest and the other takes its next
one. The cookie of a removed server still resolves for a flow's maximum lifetime, but
a live server with the same cookie takes precedence, as the other's flows have ended.
"""

from collections.abc import Iterator

from xxhash import xxh32_intdigest

from stoattray_core._identifiers import Millis

N_CANDIDATES = 4
"""Candidate cookies per server; with 20,000 servers the odds that all four of one
collide are below 1e-14."""


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
        self._holders: dict[int, str] = {}
        self._cookies: dict[str, int] = {}
        self._removed: dict[int, tuple[str, Millis]] = {}

    def add(self, name: str, started_at: int) -> None:
        """Assign a cookie to a live backend server.

        Parameters
        ----------
        name : str
            Name of the server.
        started_at : int
            Start time; on a collision the earlier start keeps the cookie.
        """
        self._started_at[name] = started_at
        self._assign(name)

    def remove(self, name: str, now: Millis) -> None:
        """Release the cookie of a removed server, which resolves until it expires."""
        if self._started_at.pop(name, None) is None:
            return
        del self._cookies[name]
        for cookie in candidate_cookies(name):
            if self._holders.get(cookie) == name:
                del self._holders[cookie]
                self._removed[cookie] = (name, now + self._retention_millis)

    def cookie(self, name: str) -> int:
        """Return the cookie of a live server."""
        return self._cookies[name]

    def resolve(self, cookie: int) -> str | None:
        """Return the name of the server that a cookie identifies, or None."""
        name = self._holders.get(cookie)
        if name is not None:
            return name
        removed = self._removed.get(cookie)
        return removed[0] if removed else None

    def expire(self, now: Millis) -> list[str]:
        """Drop servers removed more than `retention_millis` ago; return their names."""
        expired = [item for item in self._removed.items() if item[1][1] <= now]
        for cookie, _ in expired:
            del self._removed[cookie]
        return [name for _, (name, _) in expired]

    def _assign(self, name: str) -> None:
        key = (self._started_at[name], name)
        cookie = 0
        for cookie in candidate_cookies(name):
            holder = self._holders.get(cookie)
            if holder is None or holder == name:
                break
            if (self._started_at[holder], holder) > key:
                self._holders[cookie] = name
                self._cookies[name] = cookie
                self._assign(holder)
                return
        self._holders[cookie] = name
        self._cookies[name] = cookie
