"""Server side of requests over authenticated sessions."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import traceback
from typing import Any

from websockets.asyncio import server

from chivedoor.rpc import codec
from chivedoor.rpc import const
from chivedoor.rpc import counts as counts_module
from chivedoor.rpc import envelope as envelopes
from chivedoor.rpc import exceptions
from chivedoor.rpc import pacing
from chivedoor.rpc import session as sessions
from chivedoor.rpc import transport

Event = counts_module.RpcEvent
Handler = Callable[[Any], Awaitable[Any]]


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class _Client:
    """An authenticated client and its pending requests."""

    session: sessions.Session
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


class Responder:
    """Listens on one port and dispatches typed requests to their handlers."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        purpose: sessions.Purpose,
        local_id: str,
        keys: Sequence[bytes],
        registry: codec.MessageRegistry,
        counts: counts_module.EventCounters,
        max_links: int,
        pace: pacing.PaceFunction = pacing.async_skip_pacing,
    ) -> None:
        self._address = address
        self._port = port
        self._purpose = purpose
        self._local_id = local_id
        self._keys = sessions.check_keys(keys)
        self._registry = registry
        self._counts = counts
        self._max_links = max_links
        self._pace = pace
        self._handlers: dict[type, Handler] = {}
        self._server: server.Server | None = None
        self._clients: set[_Client] = set()
        self._handshake_count = 0
        self._request_count = 0
        self._large_reply_semaphore = asyncio.Semaphore(const.MAX_LARGE_REPLIES)

    @property
    def port(self) -> int:
        """The bound port, or the configured one while not listening."""
        if self._server is None:
            return self._port
        return next(iter(self._server.sockets)).getsockname()[1]

    @property
    def client_count(self) -> int:
        """The number of authenticated clients."""
        return len(self._clients)

    @property
    def handshake_count(self) -> int:
        """The number of connections whose handshake is not complete."""
        return self._handshake_count

    def register(self, request_type: type, handler: Handler) -> None:
        """Sets the coroutine function that handles a request type.

        Raises:
            MessageError: The type is not a registered request.
            ChannelStateError: The type already has a handler.
        """
        self._registry.reply_type(request_type)
        if request_type in self._handlers:
            raise exceptions.ChannelStateError(
                f"{request_type.__name__} already has a handler"
            )
        self._handlers[request_type] = handler

    async def async_open(self) -> None:
        """Starts listening.

        Raises:
            ChannelStateError: The server is already listening.
            OSError: The address or port cannot be bound.
        """
        if self._server is not None:
            raise exceptions.ChannelStateError(
                "the server is already listening"
            )
        self._server = await transport.async_listen(
            self._async_serve, self._address, self._port
        )

    async def async_close(self) -> None:
        """Stops listening, cancels pending requests, closes all sessions."""
        if self._server is None:
            return
        listener, self._server = self._server, None
        for client in list(self._clients):
            _cancel_tasks(client)
        listener.close()
        await listener.wait_closed()

    async def _async_serve(self, connection: server.ServerConnection) -> None:
        session = await self._async_authenticate(connection)
        if session is None:
            return
        client = _Client(session=session)
        self._clients.add(client)
        self._counts.add(Event.LINKS_ACCEPTED)
        try:
            await self._async_read_requests(client)
        except exceptions.LinkClosedError:
            pass
        except exceptions.AuthenticationError as error:
            self._counts.add(error.fault)
            session.abort()
        except exceptions.MessageError as error:
            self._counts.add(error.fault)
        except TimeoutError:
            # The client was idle for too long; it can open a new session.
            pass
        finally:
            self._clients.discard(client)
            _cancel_tasks(client)

    async def _async_authenticate(
        self, connection: server.ServerConnection
    ) -> sessions.Session | None:
        """Runs the handshake; returns None when the client is rejected."""
        is_full = len(self._clients) >= self._max_links
        if is_full or self._handshake_count >= const.MAX_PENDING_HANDSHAKES:
            self._counts.add(Event.LINKS_REFUSED)
            await connection.close(const.CLOSE_CODE_TRY_LATER)
            return None
        self._handshake_count += 1
        try:
            return await sessions.async_accept(
                connection,
                purpose=self._purpose,
                local_id=self._local_id,
                keys=self._keys,
            )
        except exceptions.LinkClosedError:
            self._counts.add(Event.LINKS_REFUSED)
        except exceptions.AuthenticationError as error:
            self._counts.add(Event.LINKS_REFUSED)
            self._counts.add(error.fault)
            await connection.close(const.CLOSE_CODE_NOT_AUTHENTICATED)
        finally:
            self._handshake_count -= 1
        return None

    async def _async_read_requests(self, client: _Client) -> None:
        while True:
            async with asyncio.timeout(const.SERVER_IDLE_TIMEOUT_S):
                payload = await client.session.async_receive()
            self._counts.add(Event.BYTES_RECEIVED, len(payload))
            envelope = envelopes.parse_envelope(payload)
            if envelope.kind is not envelopes.Kind.REQUEST:
                raise exceptions.MessageError(
                    fault=exceptions.MessageFault.UNKNOWN_TYPE,
                    detail="a client may send only requests",
                )
            self._counts.add(Event.REQUESTS_RECEIVED)
            await self._async_start_request(client, envelope)

    async def _async_start_request(
        self, client: _Client, envelope: envelopes.Envelope
    ) -> None:
        """Starts the task of one request, or refuses it at the limits."""
        is_full = len(client.tasks) >= const.MAX_LINK_REQUESTS
        if is_full or self._request_count >= const.MAX_REQUESTS:
            code = exceptions.RefusalCode.BUSY
            await self._async_refuse(
                client, envelope, code, "too many requests"
            )
            return
        task = asyncio.create_task(
            self._async_process_request(client, envelope)
        )
        self._request_count += 1
        client.tasks.add(task)
        task.add_done_callback(
            lambda finished: self._finish_task(client, finished)
        )

    def _finish_task(self, client: _Client, task: asyncio.Task[None]) -> None:
        self._request_count -= 1
        client.tasks.discard(task)

    async def _async_process_request(
        self, client: _Client, envelope: envelopes.Envelope
    ) -> None:
        """Handles one request and sends a reply or a refusal."""
        try:
            reply = await self._async_dispatch(envelope)
            await self._async_reply(client, envelope.request_id, reply)
        except exceptions.RequestRefusedError as error:
            await self._async_refuse(client, envelope, error.code, error.detail)
        except exceptions.MessageError as error:
            detail = f"{envelope.name}: {error}"
            self._counts.add(Event.HANDLER_FAILURES, detail=detail)
            code = exceptions.RefusalCode.FAILED
            await self._async_refuse(client, envelope, code, str(error))
        except (exceptions.LinkClosedError, TimeoutError):
            client.session.abort()

    async def _async_dispatch(self, envelope: envelopes.Envelope) -> Any:
        try:
            request = self._registry.unpack(envelope.name, envelope.body)
        except exceptions.MessageError as error:
            self._counts.add(error.fault)
            raise exceptions.RequestRefusedError(
                code=exceptions.RefusalCode.BAD_REQUEST, detail=str(error)
            ) from error
        handler = self._handlers.get(type(request))
        if handler is None:
            raise exceptions.RequestRefusedError(
                code=exceptions.RefusalCode.NO_HANDLER, detail=envelope.name
            )
        return await self._async_run_handler(handler, request)

    async def _async_run_handler(self, handler: Handler, request: Any) -> Any:
        try:
            return await handler(request)
        except exceptions.RequestRefusedError:
            raise
        except Exception as error:
            # An error in a handler must not end the session or the daemon.
            detail = f"{type(request).__name__}: {_format_failure(error)}"
            self._counts.add(Event.HANDLER_FAILURES, detail=detail)
            raise exceptions.RequestRefusedError(
                code=exceptions.RefusalCode.FAILED, detail=type(error).__name__
            ) from error

    async def _async_reply(
        self, client: _Client, request_id: int, reply: Any
    ) -> None:
        payload = self._pack_reply(request_id, reply)
        if len(payload) <= const.LARGE_REPLY_BYTES:
            await self._async_send(client, reply, payload)
            return
        # Encoded again later, so that a reply that waits holds no payload.
        del payload
        async with self._large_reply_semaphore:
            payload = self._pack_reply(request_id, reply)
            await self._async_send(client, reply, payload)

    def _pack_reply(self, request_id: int, reply: Any) -> bytes:
        return envelopes.pack_envelope(
            self._registry, envelopes.Kind.REPLY, request_id, reply
        )

    async def _async_send(
        self, client: _Client, reply: Any, payload: bytes
    ) -> None:
        await self._pace(reply, len(payload))
        async with asyncio.timeout(const.SEND_TIMEOUT_S):
            await client.session.async_send(payload)
        self._counts.add(Event.REPLIES_SENT)
        self._counts.add(Event.BYTES_SENT, len(payload))

    async def _async_refuse(
        self,
        client: _Client,
        envelope: envelopes.Envelope,
        code: exceptions.RefusalCode,
        detail: str,
    ) -> None:
        payload = envelopes.pack_refusal(envelope.request_id, code, detail)
        self._counts.add(Event.REFUSALS_SENT)
        self._counts.add(Event.BYTES_SENT, len(payload))
        try:
            async with asyncio.timeout(const.SEND_TIMEOUT_S):
                await client.session.async_send(payload)
        except (exceptions.LinkClosedError, TimeoutError):
            client.session.abort()


def _cancel_tasks(client: _Client) -> None:
    for task in client.tasks:
        task.cancel()


def _format_failure(error: Exception) -> str:
    """Returns the error and where it was raised, for the log."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{location}"
