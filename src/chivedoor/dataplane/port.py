"""UDP socket that the event loop reads in batches."""

import asyncio
from collections.abc import Callable
import dataclasses
import socket

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions
from chivedoor.dataplane import sockets


@dataclasses.dataclass(slots=True, kw_only=True)
class PortCounters:
    """Counters of a packet port since it was created.

    Attributes:
        batches: Batches passed to the handler.
        received: Datagrams passed to the handler.
        received_bytes: Bytes in these datagrams.
        receive_errors: Failed reads, except for an empty socket buffer.
        sent: Datagrams sent.
        sent_bytes: Bytes in these datagrams.
        send_blocked: Datagrams dropped because the send buffer was full.
        send_errors: Datagrams that could not be sent for another reason.
        discarded: Datagrams discarded by `PacketPort.discard_waiting`.
    """

    batches: int = 0
    received: int = 0
    received_bytes: int = 0
    receive_errors: int = 0
    sent: int = 0
    sent_bytes: int = 0
    send_blocked: int = 0
    send_errors: int = 0
    discarded: int = 0


class PacketPort:
    """A non-blocking UDP socket, read in one batch per event loop iteration.

    The size of a batch is bounded, so that timers and control connections run
    between batches even when datagrams arrive faster than they are handled.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        handle_batch: Callable[[list[memoryview]], None],
        batch_size: int = const.BATCH_DATAGRAMS,
        bound_socket: socket.socket | None = None,
    ) -> None:
        """Creates the port without opening a socket.

        Args:
            address: Numeric local address.
            port: Local port; 0 lets the system choose one.
            handle_batch: Called on the event loop with the datagrams of one
                batch. The views are valid only during the call.
            batch_size: Maximum number of datagrams in a batch.
            bound_socket: A socket that is already bound; None to open one.
        """
        self.counters = PortCounters()
        self._address = address
        self._port = port
        self._handle_batch = handle_batch
        self._buffers = _allocate_buffers(batch_size)
        self._bound_socket = bound_socket
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def local_address(self) -> tuple[str, int]:
        """Local address and port of the open socket.

        Raises:
            exceptions.PortError: The port is not open.
        """
        return self._get_socket().getsockname()[:2]

    @property
    def receive_buffer_bytes(self) -> int:
        """Size of the receive buffer that the system granted to the socket.

        Raises:
            exceptions.PortError: The port is not open.
        """
        return self._get_socket().getsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF
        )

    async def async_open(self) -> None:
        """Binds the socket and starts reading from it.

        Raises:
            exceptions.PortError: The port is already open, or the system
                refuses the address.
        """
        self.open()

    def open(self) -> None:
        """Synchronous form of `async_open`, called on the loop's thread.

        Raises:
            exceptions.PortError: The port is already open, or the system
                refuses the address.
        """
        if self._socket is not None:
            raise exceptions.PortError("the port is already open")
        bound_socket, self._bound_socket = self._bound_socket, None
        self._socket = bound_socket or sockets.open_socket(
            self._address, self._port
        )
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._read_batch)

    async def async_close(self) -> None:
        """Stops reading and closes the socket; does nothing when closed."""
        self.close()

    def close(self) -> None:
        """Synchronous form of `async_close`, called on the loop's thread."""
        if self._bound_socket is not None:
            self._bound_socket.close()
            self._bound_socket = None
        if self._socket is None:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None
        self._loop = None

    def send(
        self, data: bytes | bytearray | memoryview, destination: tuple[str, int]
    ) -> None:
        """Sends one datagram; errors are counted and not raised.

        Args:
            data: The datagram.
            destination: Numeric address and port.
        """
        counters = self.counters
        if self._socket is None:
            counters.send_errors += 1
            return
        try:
            size = self._socket.sendto(data, destination)
        except BlockingIOError:
            counters.send_blocked += 1
        except (OSError, OverflowError):
            # A port number above 65535 raises OverflowError.
            counters.send_errors += 1
        else:
            counters.sent += 1
            counters.sent_bytes += size

    def discard_waiting(self) -> int:
        """Discards the datagrams that wait in the socket buffer.

        Returns:
            The number of discarded datagrams. It is bounded by the size of
            the socket buffer, so that the call returns even when datagrams
            keep arriving.

        Raises:
            exceptions.PortError: The port is not open.
        """
        udp_socket = self._get_socket()
        limit = self.receive_buffer_bytes // const.MIN_KERNEL_DATAGRAM_BYTES
        discarded = 0
        while discarded < limit:
            try:
                udp_socket.recv_into(self._buffers[0])
            except BlockingIOError:
                break
            except OSError:
                self.counters.receive_errors += 1
                break
            discarded += 1
        self.counters.discarded += discarded
        return discarded

    def _read_batch(self) -> None:
        batch = self._receive()
        if not batch:
            return
        counters = self.counters
        counters.batches += 1
        counters.received += len(batch)
        counters.received_bytes += sum(map(len, batch))
        self._handle_batch(batch)

    def _receive(self) -> list[memoryview]:
        receive_into = self._socket.recv_into
        batch = []
        try:
            for buffer in self._buffers:
                batch.append(buffer[: receive_into(buffer)])
        except BlockingIOError:
            pass
        except OSError:
            self.counters.receive_errors += 1
        return batch

    def _get_socket(self) -> socket.socket:
        if self._socket is None:
            raise exceptions.PortError("the port is not open")
        return self._socket


def _allocate_buffers(count: int) -> tuple[memoryview, ...]:
    memory = memoryview(bytearray(count * const.MAX_DATAGRAM_BYTES))
    offsets = range(0, len(memory), const.MAX_DATAGRAM_BYTES)
    return tuple(
        memory[offset : offset + const.MAX_DATAGRAM_BYTES] for offset in offsets
    )
