"""Which balancers serve a revision of the configuration."""

from dataclasses import dataclass
from typing import Any

from stoattray_core import Core, MemberStatus


@dataclass(frozen=True, slots=True)
class InForceReport:
    """Which of the known balancers serve one revision.

    Parameters
    ----------
    revision : int
        The requested revision.
    have, lack, unreachable : tuple of str
        Balancers that serve this or a later revision, those that serve an older
        one, and those considered dead.
    by_data_centre : dict of str to tuple of int
        For each data centre, the number of balancers that have the revision and
        the number that are reachable.
    """

    revision: int
    have: tuple[str, ...]
    lack: tuple[str, ...]
    unreachable: tuple[str, ...]
    by_data_centre: dict[str, tuple[int, int]]

    @property
    def in_force(self) -> bool:
        """Return whether every reachable balancer serves the revision."""
        return bool(self.have) and not self.lack

    def to_json(self) -> dict[str, Any]:
        """Return the report as the JSON object of the API."""
        return {
            "revision": self.revision,
            "in_force": self.in_force,
            "have": list(self.have),
            "lack": list(self.lack),
            "unreachable": list(self.unreachable),
            "data_centres": {
                name: {"have": have, "in_reach": total}
                for name, (have, total) in self.by_data_centre.items()
            },
        }


def report_in_force(core: Core, revision: int) -> InForceReport:
    """Return which balancers serve `revision`, according to the member table."""
    have: list[str] = []
    lack: list[str] = []
    unreachable: list[str] = []
    counts_by_data_centre: dict[str, tuple[int, int]] = {}
    for row in core.tables.members.values():
        if row.status is MemberStatus.DEAD:
            unreachable.append(row.member)
            continue
        has_revision = row.config_revision >= revision
        (have if has_revision else lack).append(row.member)
        n_have, n_total = counts_by_data_centre.get(row.data_centre, (0, 0))
        counts_by_data_centre[row.data_centre] = (n_have + has_revision, n_total + 1)
    return InForceReport(
        revision=revision,
        have=tuple(sorted(have)),
        lack=tuple(sorted(lack)),
        unreachable=tuple(sorted(unreachable)),
        by_data_centre=dict(sorted(counts_by_data_centre.items())),
    )
