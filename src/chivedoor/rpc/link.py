"""Client side of requests over one session."""

import asyncio
import itertools
from typing import Any

from chivedoor.rpc import codec
from chivedoor.rpc import counts as counts_module
from chivedoor.rpc import envelope as envelopes
from chivedoor.rpc import exceptions
from chivedoor.rpc import pacing
from chivedoor.rpc import session as sessions

Event = counts_module.RpcEvent


class Link:
    """Sends requests over one session and matches the replies to them.

    Attributes:
        closed: Whether the session has ended.
        last_used_s: Loop time of the last request.
        last_received_s: Loop time of the last valid frame.
    """

    def __init__(
        self,
        *,
        session: sessions.Session,
        registry: codec.MessageRegistry,
        counts: counts_module.EventCounters,
        pace: pacing.PaceFunction = pacing.async_skip_pacing,
    ) -> None:
        self.closed = False
        self._loop = asyncio.get_running_loop()
        self.last_used_s = self._loop.time()
        self.last_received_s = self.last_used_s
        self._session = session
        self._registry = registry
        self._counts = counts
        self._pace = pace
        self._request_ids = itertools.count()
        self._pending: dict[int, tuple[type, asyncio.Future[Any]]] = {}
        self._reader = asyncio.create_task(self._async_read())

    @property
    def remote_id(self) -> str:
        """The authenticated id of the remote side."""
        return self._session.remote_id

    @property
    def idle(self) -> bool:
        """Whether no request is pending."""
        return not self._pending

    async def async_request(self, request: Any) -> Any:
        """Sends a request and returns its reply.

        Raises:
            MessageError: The request does not match its type, or the reply
                is not of the request's reply type.
            RequestRefusedError: The remote side refused the request.
            LinkClosedError: The session ended before the reply arrived.
        """
        reply_type = self._registry.reply_type(type(request))
        request_id = next(self._request_ids)
        payload = envelopes.pack_envelope(
            self._registry, envelopes.Kind.REQUEST, request_id, request
        )
        if self.closed:
            raise exceptions.LinkClosedError("the session has ended")
        future = self._loop.create_future()
        self._pending[request_id] = (reply_type, future)
        self.last_used_s = self._loop.time()
        try:
            await self._pace(request, len(payload))
            await self._session.async_send(payload)
            self._counts.add(Event.REQUESTS_SENT)
            self._counts.add(Event.BYTES_SENT, len(payload))
            return await future
        finally:
            self._pending.pop(request_id, None)

    async def async_close(self) -> None:
        """Closes the session; pending requests fail."""
        self.closed = True
        self._reader.cancel()
        await asyncio.wait([self._reader])
        await self._session.async_close()

    def abort(self) -> None:
        """Drops the connection immediately; pending requests fail."""
        self.closed = True
        self._session.abort()

    async def _async_read(self) -> None:
        error: exceptions.RpcError = exceptions.LinkClosedError("closed")
        try:
            while True:
                payload = await self._session.async_receive()
                self.last_received_s = self._loop.time()
                self._counts.add(Event.BYTES_RECEIVED, len(payload))
                self._handle_payload(payload)
        except exceptions.LinkClosedError as closed:
            if not self.closed:
                self._counts.add(Event.LINKS_LOST)
            error = closed
        except exceptions.AuthenticationError as rejected:
            self._counts.add(rejected.fault)
            error = exceptions.LinkClosedError(str(rejected))
        except exceptions.MessageError as malformed:
            self._counts.add(malformed.fault)
            error = exceptions.LinkClosedError(str(malformed))
        finally:
            self.closed = True
            self._fail_pending(error)
            # No closing handshake: a peer that violated the protocol may not
            # complete it.
            self._session.abort()

    def _handle_payload(self, payload: bytes) -> None:
        envelope = envelopes.parse_envelope(payload)
        _, future = self._pending.get(envelope.request_id, (None, None))
        if future is None or future.done():
            # The caller stopped waiting, or no request with this id is pending.
            self._counts.add(Event.REPLIES_LATE)
            return
        try:
            future.set_result(self._parse_reply(envelope))
            self._counts.add(Event.REPLIES_RECEIVED)
        except exceptions.RequestRefusedError as error:
            self._counts.add(Event.REFUSALS_RECEIVED)
            future.set_exception(error)
        except exceptions.MessageError as error:
            self._counts.add(error.fault)
            future.set_exception(error)

    def _parse_reply(self, envelope: envelopes.Envelope) -> Any:
        if envelope.kind is envelopes.Kind.REFUSAL:
            raise envelopes.parse_refusal(envelope)
        if envelope.kind is envelopes.Kind.REPLY:
            reply = self._registry.unpack(envelope.name, envelope.body)
            reply_type, _ = self._pending[envelope.request_id]
            if type(reply) is reply_type:
                return reply
        raise exceptions.MessageError(
            fault=exceptions.MessageFault.UNKNOWN_TYPE,
            detail=f"{envelope.name:.80} is not the reply type of the request",
        )

    def _fail_pending(self, error: exceptions.RpcError) -> None:
        for _, future in self._pending.values():
            if not future.done():
                future.set_exception(error)
