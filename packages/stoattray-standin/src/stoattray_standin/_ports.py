"""Free ports on loopback."""

import socket

HOST = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return different ports that are free for both TCP and UDP."""
    found: list[int] = []
    holders: list[socket.socket] = []
    try:
        while len(found) < count:
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            holders.append(udp)
            udp.bind((HOST, 0))
            port = udp.getsockname()[1]
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            holders.append(tcp)
            try:
                tcp.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
    finally:
        for holder in holders:
            holder.close()
    return found
