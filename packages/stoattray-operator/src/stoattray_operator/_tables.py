"""Plain-text tables for a terminal."""

from collections.abc import Iterable, Sequence


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows under a header, columns aligned to the left."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
