"""Exchange of open-flow counts between owners."""

import struct
from dataclasses import dataclass

from stoattray_core._identifiers import MemberId, Millis, ServiceId
from stoattray_core._state import State
from stoattray_core._tables import ServiceRow
from stoattray_core.configuration import Policy
from stoattray_core.messages import LoadReport, Loads

SPREAD_PERIOD = 500
REPEAT_PERIOD = 5_000
FAN_OUT = 8


@dataclass(slots=True)
class LoadExchange:
    """Sends this owner's counts and takes in those of others."""

    state: State
    _sent_at: Millis = 0
    _sent: tuple[bytes, ...] = ()

    def tick(self) -> None:
        """Send the counts if they changed, and now and then in any case."""
        age = self.state.now - self._sent_at
        if age < SPREAD_PERIOD or not self.state.is_ready:
            return
        reports = [
            self._report(row)
            for row in self.state.tables.services.values()
            if row.spec.policy is Policy.BALANCE
        ]
        counts = tuple(report.counts for report in reports)
        if not reports or (counts == self._sent and age < REPEAT_PERIOD):
            return
        self._sent = counts
        self._sent_at = self.state.now
        others = self.state.others()
        n_receivers = min(FAN_OUT, len(others))
        for row in self.state.random.sample(others, n_receivers):
            self.state.send(row.peer_address, Loads(reports))

    def on_loads(self, loads: Loads, sender: MemberId) -> None:
        """Take in another owner's counts."""
        for report in loads.reports:
            row = self.state.tables.services.get(ServiceId(report.service_name))
            if row is None or row.revision != report.revision:
                continue
            servers = [item.server for item in row.spec.servers]
            if len(report.counts) != 4 * len(servers):
                continue
            counts = struct.unpack(f"!{len(servers)}I", report.counts)
            row.loads[sender] = dict(zip(servers, counts, strict=True))

    def _report(self, row: ServiceRow) -> LoadReport:
        own = row.loads.get(self.state.me, {})
        counts = [own.get(item.server, 0) for item in row.spec.servers]
        packed = struct.pack(f"!{len(counts)}I", *counts)
        return LoadReport(row.spec.service, row.revision, packed)
