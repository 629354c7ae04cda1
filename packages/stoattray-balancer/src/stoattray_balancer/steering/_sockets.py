"""TCP connections to addresses that are given as numbers."""

from gevent import socket

from stoattray_core._identifiers import Address


def open_connection(address: Address, timeout_seconds: float) -> socket.socket:
    """Return a new connection.

    `socket.create_connection` looks every address up, for which gevent imports and
    starts a pool of threads: half of the time from the imports of a start until it is
    ready.

    Parameters
    ----------
    address : Address
        IP address and port.
    timeout_seconds : float
        Limit for connecting, and the timeout of the connection.

    Raises
    ------
    OSError
        If the connection is not accepted within the timeout.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout_seconds)
        connection.connect(address)
    except BaseException:
        connection.close()
        raise
    return connection
