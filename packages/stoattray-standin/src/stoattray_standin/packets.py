"""Builds the packets that callers and backend servers send."""

import ipaddress
from dataclasses import dataclass

import dpkt

SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST
PUSH = dpkt.tcp.TH_PUSH


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IPv4 address and a port."""

    address: str
    port: int

    @property
    def packed(self) -> bytes:
        """Return the address as four bytes."""
        return ipaddress.IPv4Address(self.address).packed


def tcp_packet(
    source: Endpoint,
    destination: Endpoint,
    *,
    flags: int,
    payload: bytes = b"",
    sequence: int = 0,
    acknowledgement: int = 0,
) -> bytes:
    """Return one IPv4 packet with a TCP segment."""
    segment = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        flags=flags,
        seq=sequence,
        ack=acknowledgement,
        data=payload,
    )
    return _ip_packet(source, destination, dpkt.ip.IP_PROTO_TCP, segment)


def udp_packet(source: Endpoint, destination: Endpoint, payload: bytes) -> bytes:
    """Return one IPv4 packet with a UDP datagram."""
    datagram = dpkt.udp.UDP(sport=source.port, dport=destination.port, data=payload)
    datagram.ulen = len(datagram)
    return _ip_packet(source, destination, dpkt.ip.IP_PROTO_UDP, datagram)


def _ip_packet(
    source: Endpoint,
    destination: Endpoint,
    protocol: int,
    body: dpkt.tcp.TCP | dpkt.udp.UDP,
) -> bytes:
    packet = dpkt.ip.IP(
        src=source.packed, dst=destination.packed, p=protocol, ttl=64, data=body
    )
    packet.len = len(packet)
    return bytes(packet)
