"""Request channel between balancers over websockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Any

from chivedoor import ids
from chivedoor.control import budget as budget_module
from chivedoor.control import messages
from chivedoor.control import pacing
from chivedoor.rpc import const
from chivedoor.rpc import counts as counts_module
from chivedoor.rpc import exceptions
from chivedoor.rpc import link as links
from chivedoor.rpc import pacing as rpc_pacing
from chivedoor.rpc import responder
from chivedoor.rpc import session as sessions
from chivedoor.rpc import transport

Event = counts_module.RpcEvent
Location = tuple[str, int]
Resolve = Callable[[ids.VmId], Location]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PeerConnection:
    """An open connection to a member and the location it was opened to."""

    link: links.Link
    location: Location


class Channel:
    """Sends requests to other balancers and answers their requests.

    Connections are opened on demand, shared by all requests to the same
    member, and closed when they have been idle for `LINK_IDLE_TIMEOUT_S`.
    """

    def __init__(
        self,
        *,
        local_id: ids.VmId,
        address: str,
        port: int,
        keys: Sequence[bytes],
        resolve: Resolve,
        budget: budget_module.ByteBudget | None = None,
    ) -> None:
        """Creates a channel that is not open yet.

        Args:
            local_id: The id of this balancer.
            address: The address to listen on.
            port: The TCP port to listen on; 0 for any free port.
            keys: The current peer key, followed by the previous one if any.
            resolve: Returns the channel address and port of a member, and
                raises `LookupError` for an unknown member.
            budget: Limits the rate of requests, replies and new connections;
                None disables the limit.

        Raises:
            InvalidKeyError: A key has a wrong length, or there are no keys
                or more than two.
        """
        self.counts = counts_module.EventCounters()
        self._local_id = local_id
        self._keys = sessions.check_keys(keys)
        self._resolve = resolve
        self._pace = _create_pace(budget)
        self._connections: dict[ids.VmId, _PeerConnection] = {}
        self._opening: dict[ids.VmId, asyncio.Task[links.Link]] = {}
        self._idle_task: asyncio.Task[None] | None = None
        self._responder = responder.Responder(
            address=address,
            port=port,
            purpose=sessions.Purpose.PEER,
            local_id=local_id,
            keys=keys,
            registry=messages.REGISTRY,
            counts=self.counts,
            max_links=const.MAX_INCOMING_LINKS,
            pace=self._pace,
        )

    @property
    def port(self) -> int:
        """The bound TCP port."""
        return self._responder.port

    def register(self, request_type: type, handler: responder.Handler) -> None:
        """Registers the handler for a type of request.

        The handler is a coroutine function that takes the request and returns
        its reply. It raises `RequestRefusedError` to refuse the request.

        Raises:
            MessageError: The type is not a registered request.
            ChannelStateError: The type already has a handler.
        """
        self._responder.register(request_type, handler)

    async def async_open(self) -> None:
        """Opens the listening socket and starts to close idle connections.

        Raises:
            ChannelStateError: The channel is already open.
            OSError: The address or port cannot be bound.
        """
        await self._responder.async_open()
        self._idle_task = asyncio.create_task(self._async_close_idle())

    async def async_close(self) -> None:
        """Closes all connections; pending requests fail."""
        if self._idle_task is None:
            return
        idle_task, self._idle_task = self._idle_task, None
        tasks = [idle_task, *self._opening.values()]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        connections, self._connections = self._connections, {}
        closing = [peer.link.async_close() for peer in connections.values()]
        await asyncio.gather(*closing)
        await self._responder.async_close()

    async def async_request(
        self,
        member_id: ids.VmId,
        request: Any,
        timeout_s: float = const.REQUEST_TIMEOUT_S,
    ) -> Any:
        """Sends a request to a member and returns its reply.

        If an already open connection closes before the reply arrives, the
        request is sent again on a new one, so requests must be idempotent.

        Args:
            member_id: The member that answers.
            request: A registered request.
            timeout_s: Time limit for connecting, sending and waiting
                together.

        Raises:
            RequestTimeoutError: No reply arrived in time.
            PeerUnreachableError: The member is unknown, cannot be reached,
                or closed the connection.
            AuthenticationError: The member and this balancer share no key,
                or another member answers at this location.
            RequestRefusedError: The member refused the request.
            LinksExhaustedError: All connections are in use.
            MessageError: The request or the reply does not match its type.
            ChannelStateError: The channel is not open.
        """
        if self._idle_task is None:
            raise exceptions.ChannelStateError("the channel is not open")
        started_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._async_exchange(member_id, request)
        except TimeoutError as error:
            self.counts.add(Event.TIMEOUTS)
            self._abort_link_if_silent(member_id, started_s)
            raise exceptions.RequestTimeoutError(
                f"{member_id} did not answer within {timeout_s} s"
            ) from error

    def close_idle(self, now: float) -> None:
        """Closes connections that had no request for `LINK_IDLE_TIMEOUT_S`.

        Args:
            now: Time of the event loop in seconds.
        """
        for member_id, peer in list(self._connections.items()):
            idle_s = now - peer.link.last_used_s
            is_expired = peer.link.idle and idle_s >= const.LINK_IDLE_TIMEOUT_S
            if peer.link.closed or is_expired:
                self._abort_link(member_id)

    def dump_state(self) -> dict[str, Any]:
        """Returns connections and counters as plain values."""
        return {
            "outgoing": sorted(self._connections),
            "incoming": self._responder.client_count,
            "handshakes": self._responder.handshake_count,
            "counts": self.counts.dump_state(),
        }

    async def _async_close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(const.IDLE_CHECK_INTERVAL_S)
            self.close_idle(loop.time())

    async def _async_exchange(self, member_id: ids.VmId, request: Any) -> Any:
        peer = self._connections.get(member_id)
        link = await self._async_link(member_id)
        try:
            return await link.async_request(request)
        except exceptions.LinkClosedError:
            was_open = peer is not None and peer.link is link
            if not was_open or self._idle_task is None:
                raise
        # The peer may have closed the idle connection or restarted just
        # before the request was sent, so a new connection is likely to work.
        link.closed = True
        link = await self._async_link(member_id)
        return await link.async_request(request)

    async def _async_link(self, member_id: ids.VmId) -> links.Link:
        """Returns an open connection to a member, and opens one if needed."""
        location = self._resolve_location(member_id)
        peer = self._connections.get(member_id)
        if peer and not peer.link.closed and peer.location == location:
            return peer.link
        if peer:
            self._abort_link(member_id)
        task = self._opening.get(member_id)
        if task is None:
            task = self._start_opening(member_id, location)
        # Other requests may be waiting for the same connection, so the
        # timeout of one request must not cancel the opening.
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise exceptions.LinkClosedError(
                    "the channel was closed"
                ) from None
            raise

    def _resolve_location(self, member_id: ids.VmId) -> Location:
        try:
            return self._resolve(member_id)
        except LookupError as error:
            raise exceptions.PeerUnreachableError(
                f"{member_id} is not a known member"
            ) from error

    def _start_opening(
        self, member_id: ids.VmId, location: Location
    ) -> asyncio.Task[links.Link]:
        self._evict_idle_link()
        task = asyncio.create_task(self._async_connect(member_id, location))
        self._opening[member_id] = task
        task.add_done_callback(
            lambda done: self._finish_opening(member_id, done)
        )
        return task

    def _finish_opening(
        self, member_id: ids.VmId, task: asyncio.Task[links.Link]
    ) -> None:
        self._opening.pop(member_id, None)
        # Retrieves the exception, so that asyncio does not log it as never
        # retrieved after all waiting requests were cancelled.
        if not task.cancelled() and task.exception() is not None:
            self.counts.add(Event.LINKS_FAILED)

    async def _async_connect(
        self, member_id: ids.VmId, location: Location
    ) -> links.Link:
        await self._pace(None, const.LINK_SETUP_BYTES)
        connection = await transport.async_connect(*location)
        try:
            session = await sessions.async_initiate(
                connection,
                purpose=sessions.Purpose.PEER,
                local_id=self._local_id,
                keys=self._keys,
                expected_id=member_id,
            )
        except BaseException as error:
            connection.transport.abort()
            if isinstance(error, exceptions.AuthenticationError):
                self.counts.add(error.fault)
            raise
        self.counts.add(Event.LINKS_OPENED)
        link = links.Link(
            session=session,
            registry=messages.REGISTRY,
            counts=self.counts,
            pace=self._pace,
        )
        self._connections[member_id] = _PeerConnection(
            link=link, location=location
        )
        return link

    def _evict_idle_link(self) -> None:
        """Closes the least recently used idle connection at the limit.

        Raises:
            LinksExhaustedError: The limit is reached and no connection is
                idle.
        """
        if (
            len(self._connections) + len(self._opening)
            < const.MAX_OUTGOING_LINKS
        ):
            return
        idle = [item for item in self._connections.items() if item[1].link.idle]
        if not idle:
            raise exceptions.LinksExhaustedError("all connections are in use")
        oldest, _ = min(idle, key=lambda item: item[1].link.last_used_s)
        self._abort_link(oldest)

    def _abort_link(self, member_id: ids.VmId) -> None:
        self._connections.pop(member_id).link.abort()

    def _abort_link_if_silent(
        self, member_id: ids.VmId, since_s: float
    ) -> None:
        """Aborts a connection that received nothing since a request began.

        The peer may have died without closing the connection. The next
        request then opens a new one instead of waiting on the dead one.
        """
        peer = self._connections.get(member_id)
        if peer and peer.link.last_received_s < since_s:
            self._abort_link(member_id)


def _create_pace(
    budget: budget_module.ByteBudget | None,
) -> rpc_pacing.PaceFunction:
    if budget is None:
        return rpc_pacing.async_skip_pacing
    return pacing.Pacer(budget).async_pace
