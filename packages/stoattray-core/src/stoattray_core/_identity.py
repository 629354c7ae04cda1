"""Name, addresses and incarnation of a balancer."""

from dataclasses import dataclass

from stoattray_core._identifiers import MemberId
from stoattray_core._tables import MemberRow, MemberStatus


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, addresses and incarnation of a balancer.

    Parameters
    ----------
    member : MemberId
        Unique name.
    host : str
        IP address.
    peer_port, relay_port, api_port : int
        UDP port of messages, UDP port of relayed packets, TCP port of the API.
    data_centre : str
        Name of the data centre.
    incarnation : int
        Greater than that of any earlier process of this name.
    """

    member: MemberId
    host: str
    peer_port: int
    relay_port: int
    api_port: int
    data_centre: str
    incarnation: int


def initial_row(identity: Identity) -> MemberRow:
    """Return the initial membership row of a starting balancer."""
    return MemberRow(
        member=identity.member,
        host=identity.host,
        peer_port=identity.peer_port,
        relay_port=identity.relay_port,
        api_port=identity.api_port,
        data_centre=identity.data_centre,
        incarnation=identity.incarnation,
        status=MemberStatus.JOINING,
    )
