"""TCP proxy on the loopback that spoils connections."""

import asyncio
import contextlib
import enum
import socket
import struct

from standins import link

_CHUNK_BYTES = 65536
_POLL_S = 0.02


class ProxyMode(enum.Enum):
    """What happens to connections."""

    PASS = "pass"
    # Every answer comes late.
    DELAY = "delay"
    # New connections and those in use end with a reset.
    RESET = "reset"
    # Nothing passes in either direction, and nothing is closed.
    SILENT = "silent"
    # Requests pass and answers do not.
    ONE_WAY = "one-way"


class Proxy:
    """Passes connections on to one address.

    Attributes:
        address: Where it listens, known once it is open.
        mode: What happens to connections now.
        delay_s: How late answers come when they are delayed.
    """

    def __init__(self, *, listen: link.Address, target: link.Address) -> None:
        """Creates a proxy with a closed port."""
        self.mode = ProxyMode.PASS
        self.delay_s = 0.0
        self.address = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[object]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._async_serve, *self.address
        )
        self.address = self._server.sockets[0].getsockname()

    async def async_close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        self.set_mode(ProxyMode.RESET)
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def set_mode(self, mode: ProxyMode, delay_s: float = 0.0) -> None:
        """Changes what happens to connections, open ones included."""
        self.mode = mode
        self.delay_s = delay_s
        if mode is ProxyMode.RESET:
            for writer in tuple(self._writers):
                _reset(writer)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            _reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers |= {writer, upstream_writer}
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._async_forward(reader, upstream_writer, True)
                )
                group.create_task(
                    self._async_forward(upstream_reader, writer, False)
                )
        except* OSError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            for opened in (writer, upstream_writer):
                if opened is not None:
                    self._writers.discard(opened)
                    opened.transport.abort()

    async def _async_forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_target: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            while self._is_blocked(towards_target):
                await asyncio.sleep(_POLL_S)
            if self.mode is ProxyMode.DELAY and not towards_target:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _is_blocked(self, towards_target: bool) -> bool:
        if self.mode is ProxyMode.SILENT:
            return True
        return self.mode is ProxyMode.ONE_WAY and not towards_target


def _reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with RST; an abort alone may send FIN."""
    opened = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
