"""An event sink that discards all events, for benchmarks."""


class NullEventSink:
    """Discards all events."""

    def __call__(self, name: str, **fields: object) -> None:
        """Discard the event."""

    def is_enabled(self, name: str) -> bool:
        """Return False: no event is written."""
        return False

    def note_suppressed(self, name: str) -> None:
        """Do not count the event."""
