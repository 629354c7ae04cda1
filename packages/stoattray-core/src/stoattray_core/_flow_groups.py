"""Packing of flows into message groups and back."""

from collections.abc import Iterator, Mapping

from stoattray_core._identifiers import (
    FLOW_ID_BYTES,
    FlowId,
    ServerId,
    ServiceId,
)
from stoattray_core.messages import FlowGroup

MAX_GROUP_FLOWS = 8_000


def pack_flows(
    service: ServiceId, shard: int, flows: Mapping[FlowId, ServerId]
) -> Iterator[FlowGroup]:
    """Yield the flows of one bucket as one or more groups per backend server."""
    by_server: dict[ServerId, list[FlowId]] = {}
    for flow, server in flows.items():
        by_server.setdefault(server, []).append(flow)
    for server, server_flows in by_server.items():
        for start in range(0, len(server_flows), MAX_GROUP_FLOWS):
            packed = b"".join(server_flows[start : start + MAX_GROUP_FLOWS])
            yield FlowGroup(service, shard, server, packed)


def unpack_flows(group: FlowGroup) -> Iterator[FlowId]:
    """Yield the flow ids of a group; a truncated last one is skipped."""
    flows = group.flows
    for start in range(0, len(flows) - FLOW_ID_BYTES + 1, FLOW_ID_BYTES):
        yield FlowId(flows[start : start + FLOW_ID_BYTES])
