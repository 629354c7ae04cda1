"""A sink of events that writes none, for measurements."""


class NoEvents:
    """Takes events and writes none."""

    def __call__(self, name: str, **fields: object) -> None:
        """Write nothing."""

    def wants(self, name: str) -> bool:
        """Return that no event is wanted."""
        return False

    def left_out(self, name: str) -> None:
        """Count nothing."""
