"""TCP resets for callers whose packet was refused."""

import dpkt

from stoattray_core import ERROR_RESPONSES, ErrorKind, PacketResponse

RESET_TTL = 64


def build_reset(kind: ErrorKind, data: bytes) -> bytes | None:
    """Return the reset that answers a refused packet, or None if none is due.

    Parameters
    ----------
    kind : ErrorKind
        Why the packet was refused.
    data : bytes
        The refused IPv4 packet.

    Returns
    -------
    bytes or None
        IPv4 packet with a TCP reset as specified in RFC 9293, section 3.10.7.1.
        None for kinds that are not answered, malformed packets, other protocols
        and resets.
    """
    if ERROR_RESPONSES[kind].packet is not PacketResponse.RESET:
        return None
    try:
        packet = dpkt.ip.IP(data)
    except (dpkt.Error, ValueError):
        return None
    segment = packet.data
    if not isinstance(segment, dpkt.tcp.TCP) or segment.flags & dpkt.tcp.TH_RST:
        return None
    reset_packet = dpkt.ip.IP(
        src=packet.dst,
        dst=packet.src,
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=RESET_TTL,
        data=_reset_segment(segment),
    )
    reset_packet.len = len(reset_packet)
    return bytes(reset_packet)


def _reset_segment(segment: dpkt.tcp.TCP) -> dpkt.tcp.TCP:
    reset = dpkt.tcp.TCP(sport=segment.dport, dport=segment.sport)
    if segment.flags & dpkt.tcp.TH_ACK:
        reset.flags = dpkt.tcp.TH_RST
        reset.seq = segment.ack
        return reset
    n_syn_or_fin = bool(segment.flags & (dpkt.tcp.TH_SYN | dpkt.tcp.TH_FIN))
    reset.flags = dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    reset.ack = (segment.seq + len(segment.data) + n_syn_or_fin) & 0xFFFFFFFF
    return reset
