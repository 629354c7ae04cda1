"""Lines of the values in a JSON text, by path."""

import json
import re
from bisect import bisect_right
from dataclasses import dataclass, field

PathParts = tuple[str | int, ...]
"""Keys of objects and indexes of arrays, from the document's root."""

MAX_DEPTH = 8  # The deepest value of a declaration is at depth 5.

_TOKEN = re.compile(
    r"[ \t\r\n]*(?:"
    r'(?P<string>"[^"\\]*(?:\\.[^"\\]*)*")'
    r"|(?P<mark>[\[\]{},:])"
    r'|(?P<literal>[^\s\[\]{},:"]+))',
    re.DOTALL,
)
_PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


@dataclass(slots=True)
class JsonLines:
    """Lines of the values of one JSON text.

    Parameters
    ----------
    lines : dict of PathParts to int
        Line of each key or array element, from 1; up to `MAX_DEPTH`.
    repeated_keys : list of tuple of PathParts and int
        Each key that its object already has, with its line.
    """

    lines: dict[PathParts, int] = field(default_factory=dict)
    repeated_keys: list[tuple[PathParts, int]] = field(default_factory=list)

    def find(self, path: PathParts) -> int:
        """Return the line of a value, or that of the closest value around it."""
        for length in range(len(path), 0, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return self.lines.get((), 1)


def scan_json(text: str) -> JsonLines:
    """Return the lines of the values in a text that is valid JSON.

    The text must have passed :func:`json.loads`; other texts give an undefined
    result.
    """
    return _Scanner(text).scan()


def format_path(path: PathParts) -> str:
    """Return a path in the notation of JSONPath, in ASCII."""
    parts = ["$"]
    for part in path:
        if isinstance(part, str) and _PLAIN_KEY.fullmatch(part):
            parts.append(f".{part}")
        else:
            parts.append(f"[{json.dumps(part)}]")
    return "".join(parts)


class _Scanner:
    """One pass over the tokens; without recursion, as the text may be deeply nested."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._line_starts = [0]
        self._line_starts.extend(match.end() for match in re.finditer("\n", text))
        self._result = JsonLines()
        self._path: list[str | int] = []
        self._is_array: list[bool] = []
        self._keys: list[set[str]] = []
        self._expects_key = False

    def scan(self) -> JsonLines:
        for match in _TOKEN.finditer(self._text):
            group = match.lastgroup or ""
            token = match[group]
            line = bisect_right(self._line_starts, match.start(group))
            if group == "mark":
                self._on_mark(token, line)
            elif self._expects_key:
                self._on_key(json.loads(token), line)
            else:
                self._on_value(line)
        return self._result

    def _on_mark(self, mark: str, line: int) -> None:
        if mark in "[{":
            self._on_value(line)
            self._is_array.append(mark == "[")
            self._keys.append(set())
            self._path.append(0)
            self._expects_key = mark == "{"
        elif mark in "]}":
            self._is_array.pop()
            self._keys.pop()
            self._path.pop()
            self._expects_key = False
        elif mark == ",":
            if self._is_array[-1]:
                self._path[-1] = int(self._path[-1]) + 1
            else:
                self._expects_key = True

    def _on_key(self, key: str, line: int) -> None:
        self._expects_key = False
        self._path[-1] = key
        if len(self._path) > MAX_DEPTH:
            return
        path = tuple(self._path)
        if key in self._keys[-1]:
            self._result.repeated_keys.append((path, line))
        self._keys[-1].add(key)
        self._result.lines[path] = line

    def _on_value(self, line: int) -> None:
        is_in_object = bool(self._is_array) and not self._is_array[-1]
        if not is_in_object and len(self._path) <= MAX_DEPTH:
            self._result.lines[tuple(self._path)] = line
