"""Server and client of the operator interface."""

import asyncio
from collections.abc import Mapping
import types
from typing import Any
from typing import Self

from chivedoor.control import commands as commands_module
from chivedoor.rpc import const
from chivedoor.rpc import counts as counts_module
from chivedoor.rpc import exceptions
from chivedoor.rpc import link as links
from chivedoor.rpc import responder
from chivedoor.rpc import session as sessions
from chivedoor.rpc import transport

Event = counts_module.RpcEvent


class OperatorServer:
    """Answers commands from clients that have the operator key."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        key: bytes,
        commands: Mapping[type, responder.Handler],
        local_id: str = "operator-server",
    ) -> None:
        """Creates a server that is not open yet.

        Args:
            address: The address to listen on.
            port: The TCP port to listen on; 0 for any free port.
            key: The operator key.
            commands: A handler, which is a coroutine function, for each type
                of command in `control.commands`; commands without a handler
                are refused. A handler raises `RequestRefusedError` with
                `RefusalCode.REJECTED` for a command that it cannot execute.
            local_id: The id of this balancer.

        Raises:
            InvalidKeyError: The key has a wrong length.
            MessageError: A type in `commands` is not a command.
        """
        self.counts = counts_module.EventCounters()
        self._responder = responder.Responder(
            address=address,
            port=port,
            purpose=sessions.Purpose.OPERATOR,
            local_id=local_id,
            keys=[key],
            registry=commands_module.REGISTRY,
            counts=self.counts,
            max_links=const.MAX_OPERATOR_LINKS,
        )
        for command_type, handler in commands.items():
            self._responder.register(command_type, handler)

    @property
    def port(self) -> int:
        """The bound TCP port."""
        return self._responder.port

    async def async_open(self) -> None:
        """Opens the listening socket.

        Raises:
            ChannelStateError: The server is already open.
            OSError: The address or port cannot be bound.
        """
        await self._responder.async_open()

    async def async_close(self) -> None:
        """Closes the server and all sessions."""
        await self._responder.async_close()

    def dump_state(self) -> dict[str, Any]:
        """Returns sessions and counters as plain values."""
        return {
            "sessions": self._responder.client_count,
            "counts": self.counts.dump_state(),
        }


class OperatorClient:
    """Asynchronous context manager that sends commands to one balancer."""

    def __init__(self, *, address: str, port: int, key: bytes) -> None:
        """Creates a client that is not connected yet.

        Args:
            address: The address of the balancer.
            port: The operator port of the balancer.
            key: The operator key.

        Raises:
            InvalidKeyError: The key has a wrong length.
        """
        self.counts = counts_module.EventCounters()
        self._address = address
        self._port = port
        self._keys = sessions.check_keys([key])
        self._link: links.Link | None = None

    async def __aenter__(self) -> Self:
        await self.async_open()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.async_close()

    async def async_open(self) -> None:
        """Connects and authenticates.

        Raises:
            PeerUnreachableError: The balancer cannot be reached.
            AuthenticationError: The server does not accept the key.
            ChannelStateError: The client is already connected.
        """
        if self._link is not None:
            raise exceptions.ChannelStateError(
                "the client is already connected"
            )
        connection = await transport.async_connect(self._address, self._port)
        try:
            session = await sessions.async_initiate(
                connection,
                purpose=sessions.Purpose.OPERATOR,
                local_id="operator",
                keys=self._keys,
                expected_id=None,
            )
        except BaseException:
            connection.transport.abort()
            raise
        self._link = links.Link(
            session=session,
            registry=commands_module.REGISTRY,
            counts=self.counts,
        )

    async def async_close(self) -> None:
        """Closes the connection; does nothing if it is already closed."""
        link, self._link = self._link, None
        if link is not None:
            await link.async_close()

    async def async_send(
        self, command: Any, timeout_s: float = const.REQUEST_TIMEOUT_S
    ) -> Any:
        """Sends a command and returns its reply.

        Raises:
            ChannelStateError: The client is not connected.
            RequestTimeoutError: No reply arrived in time.
            RequestRefusedError: The balancer refused the command.
            LinkClosedError: The connection was lost.
            MessageError: The command or the reply does not match its type.
        """
        if self._link is None:
            raise exceptions.ChannelStateError("the client is not connected")
        try:
            async with asyncio.timeout(timeout_s):
                return await self._link.async_request(command)
        except TimeoutError as error:
            self.counts.add(Event.TIMEOUTS)
            raise exceptions.RequestTimeoutError(
                f"the balancer did not answer within {timeout_s} s"
            ) from error
