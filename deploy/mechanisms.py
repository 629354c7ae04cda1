"""Mechanisms that can be replaced by null implementations where they are wired.

Each replacement is a text that occurs once in a file; `deploy/tests/test_compare.py`
checks that.
"""

from pathlib import Path
from typing import NamedTuple

CORE = "packages/stoattray-core/src/stoattray_core/steering"
BALANCER = "packages/stoattray-balancer/src/stoattray_balancer/steering"


class Replacement(NamedTuple):
    """A text in a file, and what replaces it.

    Parameters
    ----------
    path : str
        File in the repository.
    text, replacement : str
        The text, which occurs once, and the one in its place.
    """

    path: str
    text: str
    replacement: str

    def apply(self, checkout: Path) -> None:
        """Replace the text in a checkout.

        Raises
        ------
        ValueError
            The text does not occur exactly once.
        """
        file = checkout / self.path
        content = file.read_text()
        if content.count(self.text) != 1:
            raise ValueError(f"{self.path}: {self.text!r} does not occur once")
        file.write_text(content.replace(self.text, self.replacement))


class Mechanism(NamedTuple):
    """A mechanism that can be taken out.

    Parameters
    ----------
    replacements : tuple of Replacement
        What takes it out.
    modules : tuple of str
        Modules that serve only this mechanism.
    """

    replacements: tuple[Replacement, ...]
    modules: tuple[str, ...] = ()

    def n_lines(self, root: Path) -> int:
        """Return the lines of code that serve only this mechanism."""
        return sum(len((root / path).read_text().splitlines()) for path in self.modules)


def _constant(module: str, name: str, value: str, null: str) -> Replacement:
    return Replacement(
        f"{CORE}/{module}.py", f"\n{name} = {value}\n", f"\n{name} = {null}\n"
    )


MECHANISMS: dict[str, Mechanism] = {
    "remote traffic": Mechanism(
        (
            Replacement(
                "deploy/settings.json",
                '"grace_seconds": {{bounds.grace_period_s}},\n'
                '  "remote_traffic": {"min_round_trip_ms": 4}\n',
                '"grace_seconds": {{bounds.grace_period_s}}\n',
            ),
        ),
        tuple(
            f"{CORE}/{name}.py"
            for name in (
                "remote_traffic",
                "locality",
                "split_table",
                "load_reports",
                "round_trips",
                "data_centre_speeds",
            )
        ),
    ),
    "silence": Mechanism(
        (
            Replacement(
                f"{CORE}/openings.py",
                "if is_first and self._silence_detector.note_silence(",
                "if False and self._silence_detector.note_silence(",
            ),
        )
    ),
    "cut-off of a data centre": Mechanism(
        (_constant("silence_detector", "N_SILENT_FOR_CUT_OFF", "3", "1_000_000"),)
    ),
    "fast failures": Mechanism(
        (_constant("fast_failure_detector", "FAILING_FAST_SHARE", "0.3", "2.0"),),
        (f"{CORE}/fast_failure_detector.py",),
    ),
    "retry at another server": Mechanism(
        (_constant("openings", "MAX_SERVERS_TRIED", "3", "1"),)
    ),
    "averaged reports": Mechanism(
        (_constant("peer_reports", "LOAD_SMOOTHING_MILLIS", "1_500", "1e-3"),)
    ),
    "slow servers": Mechanism(
        (_constant("response_times", "SLOW_RATIO", "1.6", "1e9"),)
    ),
    "start from peers": Mechanism(
        (
            Replacement(
                f"{BALANCER}/process.py",
                '            "seeds": self._peers.pull_until_ready,\n',
                "",
            ),
        )
    ),
    "deferral after a start": Mechanism(
        (
            Replacement(
                f"{CORE}/admission.py",
                "if self._started_at is None or not may_wait(route):",
                "if True:",
            ),
        )
    ),
    "controller": Mechanism(
        (_constant("admission", "MAX_PROBABILITY", "0.95", "0.0"),)
    ),
    "cut-offs of other balancers": Mechanism(
        (_constant("cut_offs", "VALID_MILLIS", "1_000", "-1"),)
    ),
    "requests that servers refuse": Mechanism(
        (_constant("cut_offs", "MAX_REFUSED_PRESSURE", "1.5", "0.0"),)
    ),
    "reserve of the highest level": Mechanism(
        (_constant("reserve", "MAX_QUEUE_SHARE", "0.5", "0.0"),),
        (f"{CORE}/reserve.py",),
    ),
    "deferral by level": Mechanism(
        (_constant("deferral", "MIN_FORECAST_SHARE", "0.25", "2.0"),),
        (f"{CORE}/deferral.py",),
    ),
    "archive of modules": Mechanism(
        (
            Replacement(
                "deploy/build.sh", ' deploy/archive_modules.py "$deps"', " -c ''"
            ),
        ),
        ("deploy/archive_modules.py", f"{BALANCER}/module_archive.py"),
    ),
}
