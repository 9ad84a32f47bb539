"""Callers that send requests and uploads over one or several flows."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import random
import time
from typing import Any
from typing import Protocol

from standins import exceptions
from standins import link
from standins.echo import const
from standins.echo import endpoints
from standins.echo import fabric
from standins.echo import packets
from standins.echo import streams

_FIRST_PORT = 10_000
_LAST_PORT = 65_000


class RequestKind(enum.Enum):
    """Kind of a request, which decides whether it may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class AttemptEnd(enum.Enum):
    """Result of one attempt of a request."""

    ANSWERED = "answered"
    WRONG_ANSWER = "wrong-answer"
    NOT_OPENED = "not-opened"
    # A balancer reset the flow before it was open.
    REFUSED = "refused"
    RESET_BY_ENDPOINT = "reset-by-endpoint"
    RESET_BY_BALANCER = "reset-by-balancer"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """Parameters of a kind of request.

    Attributes:
        name: Name of the load.
        kind: Kind of the requests.
        route: Service address and port.
        request_bytes: Size of the filler in a request.
        reply_bytes: Size of the body of a reply.
        requests_per_flow: Number of requests on one flow.
        pause_s: Mean pause between the requests of a flow.
        timeout_s: Timeout of a request, over all its attempts.
    """

    name: str
    kind: RequestKind
    route: tuple[str, int]
    request_bytes: int
    reply_bytes: int
    requests_per_flow: int
    pause_s: float
    timeout_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of a request.

    Attributes:
        load: Load of the request.
        domain: The caller's failure domain.
        begun_at: Start of the first attempt.
        ended_at: End of the last attempt.
        ends: Results of the attempts, in order.
    """

    load: Load
    domain: str
    begun_at: float
    ended_at: float
    ends: list[AttemptEnd]

    @property
    def served(self) -> bool:
        """Whether the caller got the right answer."""
        return self.ends[-1] is AttemptEnd.ANSWERED


class Observer(Protocol):
    """Receives the observations of callers; methods must not block."""

    def record_outcome(self, outcome: Outcome) -> None:
        """Called when a request has ended."""

    def record_reset(self, flow: "Flow", sender: str) -> None:
        """Called when a balancer resets an open flow."""


class Flow:
    """The caller's end of a flow.

    Attributes:
        key: The caller's address and port, and the route.
        opened_at: Time at which the flow was opened; None before.
        tag: Tag of the last received packet, which the caller echoes.
    """

    def __init__(self, *, key: fabric.FlowKey, sequence: int) -> None:
        """Creates a flow that is not open yet."""
        self.key = key
        self.sequence = sequence
        self.tag = 0
        self.opened_at: float | None = None
        self.stream: streams.Stream | None = None
        self.data = bytearray()
        self.end: AttemptEnd | None = None
        self.changed = asyncio.Event()

    def finish(self, end: AttemptEnd) -> None:
        """Ends the flow; only the first result is kept."""
        if self.end is None:
            self.end = end
        if self.stream is not None:
            self.stream.close()
        self.changed.set()


class Callers:
    """The callers of one failure domain, which share one address."""

    def __init__(
        self,
        *,
        domain: str,
        host: str,
        port: int,
        routers: fabric.Fabric,
        observer: Observer,
        generator: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates callers without opening the socket."""
        self.domain = domain
        self._host = host
        self._routers = routers
        self._observer = observer
        self._generator = generator
        self._clock = clock
        self._link = link.Link(address=(host, port), handle=self._handle)
        self._flows: dict[tuple[int, tuple[str, int]], Flow] = {}
        self._next_port = _FIRST_PORT
        self._requests = 0

    async def async_open(self) -> None:
        """Binds the address."""
        await self._link.async_open()

    async def async_close(self) -> None:
        """Ends all flows and closes the socket."""
        for flow in tuple(self._flows.values()):
            flow.finish(AttemptEnd.TIMED_OUT)
        await self._link.async_close()

    async def async_send_requests(self, load: Load) -> None:
        """Sends the requests of one caller on one flow, with retries."""
        flow: Flow | None = None
        for number in range(load.requests_per_flow):
            if number:
                pause_s = load.pause_s * self._generator.uniform(0.5, 1.5)
                await asyncio.sleep(pause_s)
            flow = await self._async_request(load, flow)
        if flow is not None and flow.end is None:
            assert flow.stream is not None
            flow.stream.finish()
            await asyncio.sleep(const.RETRANSMISSION_FIRST_S / 2)
            self._remove_flow(flow)

    async def _async_request(
        self, load: Load, flow: Flow | None
    ) -> Flow | None:
        """Sends a request; returns the flow if it can be used again."""
        begun_at = self._clock()
        ends: list[AttemptEnd] = []
        while True:
            if flow is None or flow.end is not None:
                flow = self._make_flow(load)
            opened = flow.opened_at is not None
            remaining_s = begun_at + load.timeout_s - self._clock()
            end = await self._async_attempt(load, flow, remaining_s)
            ends.append(end)
            opened = opened or flow.opened_at is not None
            if end is AttemptEnd.ANSWERED:
                break
            self._remove_flow(flow)
            repeatable = load.kind is RequestKind.IDEMPOTENT or not opened
            is_late = self._clock() - begun_at >= load.timeout_s
            if not repeatable or is_late or len(ends) >= const.REQUEST_ATTEMPTS:
                flow = None
                break
        self._observer.record_outcome(
            Outcome(
                load=load,
                domain=self.domain,
                begun_at=begun_at,
                ended_at=self._clock(),
                ends=ends,
            )
        )
        return flow

    async def _async_attempt(
        self, load: Load, flow: Flow, remaining_s: float
    ) -> AttemptEnd:
        self._requests += 1
        request = {
            "id": f"{self.domain}-{self._requests}",
            "kind": load.kind.value,
            "reply_bytes": load.reply_bytes,
            "fill": bytes(load.request_bytes),
        }
        try:
            async with asyncio.timeout(remaining_s):
                if flow.opened_at is None:
                    await self._async_open_flow(flow)
                if flow.stream is not None and flow.end is None:
                    flow.stream.write(endpoints.frame_message(request))
                return await self._async_receive(flow, request)
        except TimeoutError:
            flow.finish(AttemptEnd.TIMED_OUT)
            return AttemptEnd.TIMED_OUT

    async def _async_open_flow(self, flow: Flow) -> None:
        begun_at = self._clock()
        times = (*const.OPENING_COPY_TIMES_S, const.OPENING_TIMEOUT_S)
        for copy, until_s in enumerate(times):
            self._send(flow, packets.Flags.OPEN, flow.sequence, copy, b"")
            try:
                async with asyncio.timeout(begun_at + until_s - self._clock()):
                    await flow.changed.wait()
                    return
            except TimeoutError:
                continue
        flow.finish(AttemptEnd.NOT_OPENED)

    async def _async_receive(
        self, flow: Flow, request: dict[str, Any]
    ) -> AttemptEnd:
        while flow.end is None:
            reply = endpoints.pop_message(flow.data)
            if reply is not None:
                expected_reply = endpoints.make_reply(request)
                if endpoints.frame_message(reply) == expected_reply:
                    return AttemptEnd.ANSWERED
                return AttemptEnd.WRONG_ANSWER
            flow.changed.clear()
            await flow.changed.wait()
        return flow.end

    def _make_flow(self, load: Load) -> Flow:
        port = self._next_port
        self._next_port = _FIRST_PORT if port == _LAST_PORT else port + 1
        flow = Flow(
            key=((self._host, port), load.route),
            sequence=self._generator.randrange(1, 1 << 30),
        )
        self._flows[(port, load.route)] = flow
        return flow

    def _remove_flow(self, flow: Flow) -> None:
        (_, port), route = flow.key
        self._flows.pop((port, route), None)
        flow.finish(AttemptEnd.TIMED_OUT)

    def _handle(self, data: bytes, sender: link.Address) -> None:
        try:
            packet = packets.decode_packet(data)
        except exceptions.SegmentError:
            return
        flow = self._flows.get((packet.destination[1], packet.source))
        if flow is None or flow.end is not None:
            return
        if packet.flags & packets.Flags.RESET:
            self._handle_reset(flow, packet, sender)
        elif not packet.authentic:
            # An altered packet counts as a wrong answer.
            flow.finish(AttemptEnd.WRONG_ANSWER)
        elif flow.stream is None:
            if packet.flags & packets.Flags.OPEN:
                self._handle_opening(flow, packet)
        elif not packet.flags & packets.Flags.OPEN:
            flow.tag = packet.tag
            flow.data += flow.stream.receive(packet)
            flow.changed.set()

    def _handle_reset(
        self, flow: Flow, packet: packets.Packet, sender: link.Address
    ) -> None:
        if packet.authentic:
            flow.finish(AttemptEnd.RESET_BY_ENDPOINT)
        elif flow.opened_at is None:
            flow.finish(AttemptEnd.REFUSED)
        else:
            self._observer.record_reset(flow, sender[0])
            flow.finish(AttemptEnd.RESET_BY_BALANCER)

    def _handle_opening(self, flow: Flow, packet: packets.Packet) -> None:
        flow.tag = packet.tag
        flow.opened_at = self._clock()
        flow.stream = streams.Stream(
            sequence=flow.sequence + 1,
            expected=packet.sequence + 1,
            send=lambda *fields: self._send(flow, *fields),
            on_give_up=lambda: None,
        )
        self._send(
            flow,
            packets.Flags.ACKNOWLEDGE,
            flow.sequence + 1,
            packet.sequence + 1,
            b"",
        )
        flow.changed.set()

    def _send(self, flow: Flow, *fields: Any) -> None:
        caller, route = flow.key
        node = self._routers.choose_node(self.domain, flow.key)
        self._link.send(
            packets.encode_fields(caller, route, flow.tag, fields), node.packets
        )
