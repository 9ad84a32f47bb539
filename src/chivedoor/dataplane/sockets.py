"""UDP sockets of the data plane.

This module does not import the event loop, so that a process can bind a socket,
which then queues packets, before it loads its other modules.
"""

import socket

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions


def open_socket(address: str, port: int) -> socket.socket:
    """Opens and binds a non-blocking UDP socket with large buffers.

    Args:
        address: Numeric local address.
        port: Local port; 0 lets the system choose one.

    Raises:
        PortError: The system refuses the address.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    try:
        udp_socket.setblocking(False)
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, const.RECEIVE_BUFFER_BYTES
        )
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, const.SEND_BUFFER_BYTES
        )
        udp_socket.bind((address, port))
    except (OSError, OverflowError) as error:
        udp_socket.close()
        raise exceptions.PortError(
            f"cannot bind {address} port {port}: {error}"
        ) from error
    return udp_socket
