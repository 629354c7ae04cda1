"""Interfaces between the decision core and its environment."""

from collections.abc import Iterable
from typing import Protocol

from stoattray_core._identifiers import Address, MemberId, Millis
from stoattray_core._sentinel import Refused
from stoattray_core.configuration import ConfigEntry
from stoattray_core.messages import Message


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> Millis:
        """Return the current time."""


class Fabric(Protocol):
    """Return path to callers."""

    def send_to_caller(self, data: bytes) -> None:
        """Send one IPv4 packet towards its destination address."""


class BackendServers(Protocol):
    """Transport to backend servers."""

    def forward(self, address: Address, data: bytes) -> None:
        """Send one IPv4 packet to the backend server at `address`."""

    def probe(self, address: Address, timeout: Millis) -> bool:
        """Return whether the health endpoint at `address` answers in time."""


class Peers(Protocol):
    """Transport to other balancers."""

    def send(self, member: MemberId, address: Address, message: Message) -> None:
        """Send a typed message; it may be lost, repeated or reordered."""

    def relay(self, address: Address, hops: int, data: bytes) -> None:
        """Relay a caller's packet to another balancer."""


class Platform(Protocol):
    """The platform's key-value service and its list of VMs."""

    def read(self, after: int) -> "PlatformChanges | Refused":
        """Return every entry that changed after a revision."""

    def write(
        self, key: str, value: str | None, expected: int, change_id: str
    ) -> int | Refused:
        """Compare-and-swap one entry.

        Parameters
        ----------
        key : str
            Name of the entry.
        value : str or None
            New value; None deletes.
        expected : int
            Revision that the entry must have; 0 if it must not exist.
        change_id : str
            Identifies this change when the answer is lost.

        Returns
        -------
        int or Refused
            The new revision, or the kind CONFLICT, PLATFORM_UNAVAILABLE (not
            applied) or OUTCOME_UNKNOWN.
        """

    def list_vms(self) -> Iterable[Address]:
        """Return the peer addresses of VMs that the platform reports as live."""


class PlatformChanges(Protocol):
    """Entries that changed, complete up to a revision."""

    revision: int
    entries: list[ConfigEntry]
