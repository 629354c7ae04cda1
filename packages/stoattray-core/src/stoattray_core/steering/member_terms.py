"""What balancers tell each other of themselves."""

from typing import NamedTuple

from stoattray_core._identifiers import Millis
from stoattray_core.steering.entries import MemberEntry

CONFIRMED_MILLIS = 2_200
"""Age of a confirmed copy from which on a member reads for itself. A reader confirms
its copy each 1.8 s at least, and tells so within 0.2 s; drains and configuration have
to be in force within 3 s."""


class Heartbeat(NamedTuple):
    """What a balancer tells the others of itself.

    Parameters
    ----------
    member : MemberEntry
        Who it is.
    is_ready : bool
        Whether it can forward.
    is_reader : bool
        Whether it reads the store, and the store answers.
    revision : int
        Revision up to which its copy is complete.
    confirmed_age : Millis
        How long ago the store confirmed that.
    return_age : Millis or None
        How long ago the store came back after trouble.
    n_asked : dict of int to int
        Unanswered requests that it sees, by cookie of the server.
    known : tuple of MemberEntry
        Some members that it hears.
    failing : tuple of int
        Cookies of servers that it takes to fail requests.
    reader : tuple of str and Millis, or None
        First reader of its data centre that it knows of, and how long ago the store
        confirmed that one's copy.
    """

    member: MemberEntry
    is_ready: bool
    is_reader: bool
    revision: int
    confirmed_age: Millis
    return_age: Millis | None
    n_asked: dict[int, int]
    known: tuple[MemberEntry, ...] = ()
    failing: tuple[int, ...] = ()
    reader: tuple[str, Millis] | None = None
