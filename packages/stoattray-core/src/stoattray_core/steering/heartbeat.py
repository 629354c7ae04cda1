"""Heartbeats, which balancers send each other to report their state."""

from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.cut_offs import CutOffReport
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.load_reports import LoadRow
from stoattray_core.steering.pinned_flows import PinnedFlow
from stoattray_core.steering.replica import Version

MAX_CONFIRMED_AGE_MILLIS = 2_200
"""A member whose replica was confirmed longer ago reads the store itself. A reader
confirms its replica at least every 1.8 s and reports that within 0.2 s. Drains and
configuration must be in force within 3 s."""


class Heartbeat(NamedTuple):
    """State that a balancer reports to the others.

    Parameters
    ----------
    member : MemberEntry
        Sender.
    is_ready : bool
        Whether it can forward packets.
    is_reader : bool
        Whether it reads the store and the store answers.
    revision : int
        Revision up to which its replica of the store is complete.
    confirmed_age : Millis
        Time since the store confirmed that revision.
    recovery_age : Millis or None
        Time since the store last recovered; None if it never did.
    pending_requests : dict of int to int
        Number of pending requests that it sees, by the server's cookie.
    live_members : tuple of MemberEntry
        Sample of its live members.
    failing_cookies : tuple of int
        Cookies of servers that it found to fail requests.
    first_reader : tuple of (str, Millis) or None
        First reader in its data centre by name, and the time since the store
        confirmed that reader's replica.
    era : int
        Era of the store that the revision belongs to.
    load_rows : tuple of LoadRow
        Newest known loads of data centres; empty unless the sender's settings limit the
        traffic between data centres.
    cut_offs : tuple of CutOffReport
        Cut-offs between priority levels that it measured, of services in contention.
    pinned_flows : tuple of PinnedFlow
        Flows that are pinned to a server; empty unless there are new ones, or the
        recipient may not have them.
    """

    member: MemberEntry
    is_ready: bool
    is_reader: bool
    revision: int
    confirmed_age: Millis
    recovery_age: Millis | None
    pending_requests: dict[int, int]
    live_members: tuple[MemberEntry, ...] = ()
    failing_cookies: tuple[int, ...] = ()
    first_reader: tuple[str, Millis] | None = None
    era: int = 0
    load_rows: tuple[LoadRow, ...] = ()
    cut_offs: tuple[CutOffReport, ...] = ()
    pinned_flows: tuple[PinnedFlow, ...] = ()

    @property
    def version(self) -> Version:
        """Return the version up to which the sender's replica is complete."""
        return Version(self.era, self.revision)
