"""Findings of the check of a declaration."""

from dataclasses import dataclass
from enum import StrEnum

from stoattray_core.resources import ServiceModel
from stoattray_operator._json_lines import JsonLines, PathParts, format_path


class Severity(StrEnum):
    """Whether a declaration can't be applied, or can but does not work as it reads."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Fault:
    """What a rule finds.

    Parameters
    ----------
    path : PathParts
        Place in the document.
    problem : str
        What is wrong.
    expected : str
        What is expected instead.
    """

    path: PathParts
    problem: str
    expected: str


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault with its place in the file.

    Parameters
    ----------
    severity : Severity
        Whether the declaration can be applied in spite of it.
    rule : str
        Name of the rule.
    path : str
        Place as JSONPath.
    line : int
        Line in the file, from 1.
    problem : str
        What is wrong.
    expected : str
        What is expected instead.
    """

    severity: Severity
    rule: str
    path: str
    line: int
    problem: str
    expected: str

    def to_json(self) -> dict[str, str | int]:
        """Return the finding as a JSON object."""
        return {
            "severity": self.severity.value,
            "rule": self.rule,
            "path": self.path,
            "line": self.line,
            "problem": self.problem,
            "expected": self.expected,
        }

    def to_text(self, source: str) -> str:
        """Return the finding as one line that begins with file and line."""
        return (
            f"{source}:{self.line}: {self.severity}: {self.path}: {self.problem}; "
            f"expected {self.expected} [{self.rule}]"
        )


@dataclass(frozen=True, slots=True)
class DeclaredService:
    """A valid service with its place in the document."""

    path: PathParts
    service: ServiceModel

    def server_path(self, number: int, key: str | None = None) -> PathParts:
        """Return the path of a backend server, or of one of its keys."""
        path = (*self.path, "spec", "backend_servers", number)
        return path if key is None else (*path, key)


def place_fault(
    fault: Fault, severity: Severity, rule: str, lines: JsonLines
) -> Finding:
    """Return the finding for a fault."""
    return Finding(
        severity,
        rule,
        format_path(fault.path),
        lines.find(fault.path),
        fault.problem,
        fault.expected,
    )
