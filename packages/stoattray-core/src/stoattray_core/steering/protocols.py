"""Interfaces that cookie placement requires of the process around it."""

from collections.abc import Sequence
from typing import Protocol

from stoattray_core._identifiers import Millis
from stoattray_core._sentinel import Refused
from stoattray_core.steering.entries import Entry
from stoattray_core.steering.replica import Record
from stoattray_core.steering.servers import ServerRow


class RecordDecoder(Protocol):
    """Decodes records of the platform's store."""

    def decode(self, record: Record) -> Entry | Refused | None:
        """Return the entry in a record, or None if the record is not relevant."""

    def backend_server_name(self, key: str) -> str | None:
        """Return the name of the server whose record has this key, or None."""

    def evacuated_data_centre(self, key: str) -> str | None:
        """Return the data centre whose evacuation has this key, or None."""


class EventSink(Protocol):
    """Receives events for operators."""

    def __call__(self, name: str, **fields: str | int | float | bool | None) -> None:
        """Write one event, or only count it if its kind is over its rate limit."""

    def is_enabled(self, name: str) -> bool:
        """Return whether an event of this kind would be written now."""

    def note_suppressed(self, name: str) -> None:
        """Count an event that the caller skipped because its kind is not enabled."""


class FarServerRule(Protocol):
    """Decides when an opening goes to a server in a far data centre."""

    def applies_to(self, rows: Sequence[ServerRow]) -> bool:
        """Return whether any of the candidates is in a far data centre."""

    def select(
        self,
        rows: Sequence[ServerRow],
        service: str,
        target_millis: Millis | None,
        service_time: float | None,
        now: Millis,
        *,
        avoid: Sequence[ServerRow] = (),
    ) -> ServerRow | None:
        """Return the best server for a new flow, or None if there is none."""
