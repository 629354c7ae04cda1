"""Record of what was sent, answered and run, written to `record.txt` of a case."""

import time
from pathlib import Path


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def elapsed(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.elapsed:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
