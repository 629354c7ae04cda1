"""What the decisions of cookie placement ask of their surroundings."""

from typing import Protocol

from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import Entry
from stoattray_core.steering.replica import Record


class Decoder(Protocol):
    """Reads records of the platform's store."""

    def decode(self, record: Record) -> Entry | Refused | None:
        """Return what a record declares; None if it is none of ours."""

    def backend_server_name(self, key: str) -> str | None:
        """Return the server whose record stands under `key`, or None."""


class EventSink(Protocol):
    """Takes what an operator may want to read."""

    def __call__(self, name: str, **fields: str | int | float | bool | None) -> None:
        """Write one event, or count it where its kind has used up its budget."""

    def wants(self, name: str) -> bool:
        """Return whether an event of this kind would be written now."""

    def left_out(self, name: str) -> None:
        """Count an event that was not even put together."""
