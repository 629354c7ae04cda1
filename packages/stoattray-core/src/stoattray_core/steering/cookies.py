"""Cookies: 32 bits in each packet that name the flow's backend server.

Invariant: balancers that know the same backend servers derive and read cookies
alike, without agreement. A cookie is a digest of the server's name. Where two
digests meet, the elder keeps the first and the younger takes a further digest.
A server that is gone is still read for a flow's life, but a live one with the
same cookie goes first: flows of the other have ended.
"""

from collections.abc import Iterator

from xxhash import xxh32_intdigest

from stoattray_core._identifiers import Millis

N_DIGESTS = 4
"""Digests tried for a server; four of 20,000 meeting has odds below 1e-14."""


def digests(name: str) -> Iterator[int]:
    """Yield the cookies that a server may have, best first; never 0."""
    for number in range(N_DIGESTS):
        yield xxh32_intdigest(name.encode(), number) or 1


class CookieTable:
    """Cookies of the backend servers that are known now or were lately.

    Parameters
    ----------
    linger : Millis
        How long a cookie is still read after its server has gone.
    """

    def __init__(self, linger: Millis) -> None:
        self._linger = linger
        self._ages: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._cookies: dict[str, int] = {}
        self._gone: dict[int, tuple[str, Millis]] = {}

    def add(self, name: str, born: int) -> None:
        """Give a live backend server its cookie.

        Parameters
        ----------
        name : str
            Name of the server.
        born : int
            When it started; of two with the same digest the elder goes first.
        """
        self._ages[name] = born
        self._assign(name)

    def remove(self, name: str, now: Millis) -> None:
        """Free the cookie of a server that has gone, but go on reading it."""
        if self._ages.pop(name, None) is None:
            return
        del self._cookies[name]
        for cookie in digests(name):
            if self._names.get(cookie) == name:
                del self._names[cookie]
                self._gone[cookie] = (name, now + self._linger)

    def cookie(self, name: str) -> int:
        """Return the cookie of a live server."""
        return self._cookies[name]

    def read(self, cookie: int) -> str | None:
        """Return the name of the server with this cookie, or None."""
        name = self._names.get(cookie)
        if name is not None:
            return name
        gone = self._gone.get(cookie)
        return gone[0] if gone else None

    def expire(self, now: Millis) -> list[str]:
        """Forget servers that have been gone for long; return their names."""
        over = [item for item in self._gone.items() if item[1][1] <= now]
        for cookie, _ in over:
            del self._gone[cookie]
        return [name for _, (name, _) in over]

    def _assign(self, name: str) -> None:
        key = (self._ages[name], name)
        cookie = 0
        for cookie in digests(name):
            holder = self._names.get(cookie)
            if holder is None or holder == name:
                break
            if (self._ages[holder], holder) > key:
                self._names[cookie] = name
                self._cookies[name] = cookie
                self._assign(holder)
                return
        self._names[cookie] = name
        self._cookies[name] = cookie
