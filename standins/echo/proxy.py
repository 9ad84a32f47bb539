"""TCP proxy on a loopback address that can disrupt connections."""

import asyncio
import contextlib
import enum
import socket
import struct

from standins import bandwidth
from standins import link

_CHUNK_BYTES = 65536
# Connections share a slow link in turns of this size.
_SLOW_LINK_CHUNK_BYTES = 8192
_POLL_S = 0.02


class ProxyMode(enum.Enum):
    """How the proxy treats connections."""

    PASS = "pass"
    # Answers are delayed.
    DELAY = "delay"
    # New and open connections are reset.
    RESET = "reset"
    # Nothing is forwarded in either direction; connections stay open.
    SILENT = "silent"
    # Requests are forwarded, answers are not.
    ONE_WAY = "one-way"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: Listening address; the port is known once it is open.
        mode: How connections are treated at present.
        delay_s: Delay of answers in mode `DELAY`, in seconds.
        link: Link that the answers pass; None without a limit.
    """

    def __init__(self, *, listen: link.Address, target: link.Address) -> None:
        """Creates a proxy that does not listen yet."""
        self.mode = ProxyMode.PASS
        self.delay_s = 0.0
        self.link: bandwidth.Link | None = None
        self.address = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[object]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_open(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._async_serve, *self.address
        )
        self.address = self._server.sockets[0].getsockname()

    async def async_close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.set_mode(ProxyMode.RESET)
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def set_mode(self, mode: ProxyMode, delay_s: float = 0.0) -> None:
        """Changes how new and open connections are treated."""
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
        chunk_bytes = _SLOW_LINK_CHUNK_BYTES if self.link else _CHUNK_BYTES
        while data := await reader.read(chunk_bytes):
            while self._is_blocked(towards_target):
                await asyncio.sleep(_POLL_S)
            if self.mode is ProxyMode.DELAY and not towards_target:
                await asyncio.sleep(self.delay_s)
            if self.link is not None and not towards_target:
                await self.link.receiving.async_pass(len(data))
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _is_blocked(self, towards_target: bool) -> bool:
        if self.mode is ProxyMode.SILENT:
            return True
        return self.mode is ProxyMode.ONE_WAY and not towards_target


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST; an abort alone may send FIN."""
    opened = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
