"""UDP sockets that carry one IP packet per datagram (GUE variant 1)."""

import asyncio
from collections.abc import Callable
import socket

from standins import const

Address = tuple[str, int]


def open_socket(address: Address) -> socket.socket:
    """Returns a bound, non-blocking UDP socket with large buffers."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, const.SOCKET_BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind(address)
    return opened


class Link:
    """A UDP socket that passes datagrams to `handle(data, sender)`."""

    def __init__(
        self,
        *,
        address: Address,
        handle: Callable[[bytes, Address], None],
    ):
        """Creates a link; port 0 lets the system choose the port."""
        self.address = address
        self.dropped = 0
        self._handle = handle
        self._socket: socket.socket | None = None

    async def async_open(self) -> None:
        """Binds the socket and starts reading."""
        self._socket = open_socket(self.address)
        self.address = self._socket.getsockname()
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)

    async def async_close(self) -> None:
        """Stops reading and closes the socket."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def send(self, data: bytes, destination: Address) -> None:
        """Sends a datagram; counts it as dropped on failure."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, destination)
        except OSError:
            self.dropped += 1

    def _read(self) -> None:
        for _ in range(const.LINK_BATCH):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(65535)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            self._handle(data, sender)
