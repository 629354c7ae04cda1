"""Ownership of cold servers: which balancer may forward openings to one.

The owner is the first by rendezvous hash of the server's name and start time over the
balancers that the replica lists in the server's data centre, or over all balancers if
it lists none there. Records decide, not liveness, so that balancers with the same
version of the replica agree.

A balancer holds a server only if it was the owner by every list that was in force here
within `OWNERSHIP_GAP_MILLIS`. It therefore has to be listed for that long, and to
precede the members that were removed since.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import BackendServerEntry, MemberEntry

OWNERSHIP_GAP_MILLIS = 4_500
"""Wait of a new owner: 2,200 ms for which the previous one may still assume that it is
the owner, the window of 1,000 ms, and 1,300 ms for reports that arrive late."""

MAX_CACHED_OWNERS = 4_096
"""Bound of the cached owners; each start of a server adds at most two."""


class OwnerTable:
    """Listed balancers, and the owners of servers by them.

    Parameters
    ----------
    own : str
        Name of this balancer.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._entries: dict[str, MemberEntry] = {}
        self._listed_since: dict[str, dict[str, Millis]] = {}
        self._removed_at: dict[str, dict[str, Millis]] = {}
        self._earlier_starts: dict[str, list[tuple[int, Millis]]] = {}
        self._cached: dict[tuple[str, int, str, bool], str | None] = {}

    def put_member(self, key: str, entry: MemberEntry, now: Millis) -> None:
        """Add a balancer by the key of its record.

        A record that is written again may have been missing for a time that is not
        seen here, so its balancer counts as listed from now on.
        """
        self.remove_member(key, now)
        self._entries[key] = entry
        self._listed_since.setdefault(entry.data_centre, {})[entry.name] = now
        self._cached.clear()

    def remove_member(self, key: str, now: Millis) -> None:
        """Remove the balancer whose record has this key, if there is one."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self._listed_since[entry.data_centre].pop(entry.name, None)
        self._removed_at.setdefault(entry.data_centre, {})[entry.name] = now
        self._cached.clear()

    def note_restart(self, name: str, earlier_start: int, until: Millis) -> None:
        """Note that a server started again; the owner of its earlier start counts.

        Balancers whose replica lacks the new record, or the removal of the earlier one,
        still choose the owner by the earlier start.

        Parameters
        ----------
        name : str
            The server.
        earlier_start : int
            Start time in its earlier record.
        until : Millis
            When the earlier record was removed or replaced here.
        """
        self._earlier_starts.setdefault(name, []).append((earlier_start, until))

    def owner(self, server: BackendServerEntry) -> str | None:
        """Return the owner of a server by the current list, or None without one."""
        return self._first(server, server.started_at, include_removed=False)

    def is_held(self, server: BackendServerEntry, now: Millis) -> bool:
        """Return whether this balancer has been the owner for long enough."""
        since = self._own_listed_since(server.data_centre)
        if since is None or now - since < OWNERSHIP_GAP_MILLIS:
            return False
        starts = [server.started_at]
        starts += [
            start
            for start, until in self._earlier_starts.get(server.name, ())
            if now - until < OWNERSHIP_GAP_MILLIS
        ]
        return all(
            self._first(server, start, include_removed=True) == self._own
            for start in starts
        )

    def expire(self, now: Millis) -> None:
        """Remove what is older than `OWNERSHIP_GAP_MILLIS`."""
        oldest = now - OWNERSHIP_GAP_MILLIS
        if len(self._cached) > MAX_CACHED_OWNERS:
            self._cached.clear()
        for data_centre, removed_at in list(self._removed_at.items()):
            kept = {name: at for name, at in removed_at.items() if at > oldest}
            if len(kept) < len(removed_at):
                self._cached.clear()
                self._removed_at[data_centre] = kept
        for name, starts in list(self._earlier_starts.items()):
            recent = [item for item in starts if item[1] > oldest]
            if recent:
                self._earlier_starts[name] = recent
            else:
                del self._earlier_starts[name]

    def _own_listed_since(self, data_centre: str) -> Millis | None:
        """Return since when this balancer may own servers there, or None."""
        names = self._listed_since.get(data_centre)
        if names:
            return names.get(self._own)
        if self._removed_at.get(data_centre):
            return None
        for names in self._listed_since.values():
            if self._own in names:
                return names[self._own]
        return None

    def _first(
        self, server: BackendServerEntry, started_at: int, *, include_removed: bool
    ) -> str | None:
        key = (server.name, started_at, server.data_centre, include_removed)
        if key not in self._cached:
            names = self._candidates(server.data_centre, include_removed)
            seed = xxh3_64_intdigest(f"{server.name}/{started_at}".encode())
            self._cached[key] = min(
                names, key=lambda name: _score(name, seed), default=None
            )
        return self._cached[key]

    def _candidates(self, data_centre: str, include_removed: bool) -> Iterable[str]:
        if self._listed_since.get(data_centre):
            data_centres: Iterable[str] = (data_centre,)
        else:
            data_centres = self._listed_since.keys()
        names: set[str] = set()
        for each in data_centres:
            names.update(self._listed_since[each])
            if include_removed:
                names.update(self._removed_at.get(each, ()))
        return names


def _score(name: str, seed: int) -> tuple[int, str]:
    """Return a balancer's rendezvous score; the lowest is the owner."""
    return xxh3_64_intdigest(name.encode(), seed), name
