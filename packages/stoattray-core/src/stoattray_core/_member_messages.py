"""Conversion of membership rows to messages."""

from stoattray_core._identifiers import MemberId
from stoattray_core._tables import MemberRow
from stoattray_core.messages import Join, MemberState, Ping


def member_message(row: MemberRow) -> MemberState:
    """Return a member's row as a message."""
    return MemberState(
        member=row.member,
        host=row.host,
        peer_port=row.peer_port,
        relay_port=row.relay_port,
        api_port=row.api_port,
        data_centre=row.data_centre,
        incarnation=row.incarnation,
        status=int(row.status),
        config_revision=row.config_revision,
    )


def updates_about_sender(message: Ping | Join, sender: MemberId) -> list[MemberState]:
    """Return the updates in which a sender reports its own state."""
    if isinstance(message, Join):
        return [message.sender]
    return [update for update in message.updates if update.member == sender]
