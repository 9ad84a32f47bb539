"""Endpoints that answer callers directly and report received packets."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import hashlib
import random
import time
from typing import Any
from typing import Protocol

import cbor2

from standins import exceptions
from standins import link
from standins.echo import const
from standins.echo import packets
from standins.echo import streams

FlowKey = tuple[tuple[str, int], tuple[str, int]]
_TARGET_BYTES = 8


class EndpointState(enum.Enum):
    """How an endpoint handles packets."""

    READY = "ready"
    DRAINING = "draining"
    # The process has ended, and the host answers with resets.
    REFUSING = "refusing"
    # The host is down and does not answer.
    DARK = "dark"


class Observer(Protocol):
    """Receives the observations of endpoints; methods must not block."""

    def record_opening(
        self, endpoint: "Endpoint", packet: packets.Packet, sender: str
    ) -> None:
        """Called for each opening packet from the balancer at `sender`."""

    def record_packet(
        self, endpoint: "Endpoint", packet: packets.Packet, sender: str
    ) -> None:
        """Called for each packet that names this endpoint or none."""

    def record_opened(self, endpoint: "Endpoint", flow: FlowKey) -> None:
        """Called when a handshake is complete."""

    def record_closed(self, flow: FlowKey) -> None:
        """Called when an endpoint removes a flow."""

    def record_run(self, endpoint: "Endpoint", request: dict[str, Any]) -> None:
        """Called when a request starts to run."""


def make_reply(request: dict[str, Any]) -> bytes:
    """Builds the encoded reply to a request."""
    digest = hashlib.blake2b(request["id"].encode()).digest()
    body = (digest * (request["reply_bytes"] // len(digest) + 1))[
        : request["reply_bytes"]
    ]
    return frame_message({"id": request["id"], "body": body})


def frame_message(message: dict[str, Any]) -> bytes:
    """Encodes a message with a length prefix."""
    body = cbor2.dumps(message)
    return len(body).to_bytes(4, "big") + body


def pop_message(data: bytearray) -> dict[str, Any] | None:
    """Removes and decodes the first message, None if it is incomplete."""
    if len(data) < 4:
        return None
    end = 4 + int.from_bytes(data[:4], "big")
    if len(data) < end:
        return None
    message = cbor2.loads(bytes(data[4:end]))
    del data[:end]
    return message


@dataclasses.dataclass(slots=True, kw_only=True)
class _Flow:
    key: FlowKey
    tag: int
    sequence: int
    caller_sequence: int
    stream: streams.Stream | None = None
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Endpoint:
    """A target on the emulated platform.

    Attributes:
        id: Endpoint id: a prefix, a hyphen and hexadecimal digits.
        service: Service name.
        domain: Failure domain.
        state: How the endpoint handles packets.
        started_ms: Time of the last start, in milliseconds of Unix time.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        domain: str,
        host: str,
        slots: int,
        work_s: float,
        callers_port: int,
        observer: Observer,
        is_reachable: Callable[["Endpoint", str], bool],
        generator: random.Random,
    ) -> None:
        """Creates an endpoint without opening its socket.

        Args:
            id: Endpoint id.
            service: Service name.
            domain: Failure domain.
            host: Address to bind; the system chooses the port.
            slots: Maximum number of concurrent requests.
            work_s: Mean processing time of a request, in seconds.
            callers_port: Port on which callers receive packets.
            observer: Receives the observations.
            is_reachable: Returns whether packets from a balancer's address
                reach the endpoint.
            generator: Source of random sequence numbers and durations.
        """
        self.id = id
        self.service = service
        self.domain = domain
        self.state = EndpointState.READY
        self.started_ms = round(time.time() * 1000)
        self._sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._work_s = work_s
        self._callers_port = callers_port
        self._observer = observer
        self._is_reachable = is_reachable
        self._generator = generator
        self._number = int(id.rpartition("-")[2], 16)
        self._flows: dict[FlowKey, _Flow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._link = link.Link(address=(host, 0), handle=self._handle)

    @property
    def address(self) -> link.Address:
        """Host and port; the port is known once the socket is open."""
        return self._link.address

    async def async_open(self, port: int = 0) -> None:
        """Opens the socket; port 0 lets the system choose the port."""
        self._link.address = (self._link.address[0], port)
        await self._link.async_open()

    async def async_close(self) -> None:
        """Stops the endpoint and releases its address."""
        self.stop(EndpointState.DARK)
        await self._link.async_close()

    def stop(self, state: EndpointState) -> None:
        """Emulates the end of the process: drops all flows and requests."""
        self.state = state
        for flow in tuple(self._flows.values()):
            self._close_flow(flow)
        for task in self._tasks:
            task.cancel()

    def restart(self) -> None:
        """Starts again under the same id, without any earlier state."""
        self.state = EndpointState.READY
        self.started_ms = round(time.time() * 1000)
        self._sequence = 0

    def build_entry(self, *, cold_ms: int = 0) -> dict[str, Any]:
        """Builds the next entry of the endpoint in the store.

        Its sequence number rises with each entry and starts anew when the
        endpoint restarts.
        """
        self._sequence += 1
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.domain,
            "version": "v1",
            "concurrency": self._slot_count,
            "state": "draining"
            if self.state is EndpointState.DRAINING
            else "ready",
            "warmup_left_ms": cold_ms,
            "sequence": self._sequence,
            "born": self.started_ms,
        }

    def _handle(self, data: bytes, sender: link.Address) -> None:
        if self.state is EndpointState.DARK:
            return
        if not self._is_reachable(self, sender[0]):
            return
        target = int.from_bytes(data[:_TARGET_BYTES], "big")
        if target not in (0, self._number):
            return
        try:
            packet = packets.decode_packet(data[_TARGET_BYTES:])
        except exceptions.SegmentError:
            packet = packets.Packet(
                source=("0.0.0.0", 0),
                destination=("0.0.0.0", 0),
                flags=packets.Flags.NONE,
                authentic=False,
            )
        self._observer.record_packet(self, packet, sender[0])
        if not packet.authentic:
            return
        if self.state is EndpointState.REFUSING:
            self._send_reset(packet)
        elif packet.flags & packets.Flags.OPEN:
            self._observer.record_opening(self, packet, sender[0])
            self._handle_opening(packet)
        else:
            self._handle_data(packet)

    def _handle_opening(self, packet: packets.Packet) -> None:
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(
                key=key,
                tag=packet.tag,
                sequence=self._generator.randrange(1, 1 << 30),
                caller_sequence=packet.sequence,
            )
            self._flows[key] = flow
        flow.tag = packet.tag
        self._send(
            flow,
            packets.Flags.OPEN | packets.Flags.ACKNOWLEDGE,
            flow.sequence,
            flow.caller_sequence + 1,
            b"",
        )

    def _handle_data(self, packet: packets.Packet) -> None:
        flow = self._flows.get((packet.source, packet.destination))
        if flow is None:
            if not packet.flags & packets.Flags.RESET:
                self._send_reset(packet)
            return
        if packet.flags & packets.Flags.RESET:
            self._close_flow(flow)
            return
        flow.tag = packet.tag
        if flow.stream is None:
            if packet.acknowledged != flow.sequence + 1:
                # The caller completed the handshake with another endpoint.
                self._close_flow(flow)
                self._send_reset(packet)
                return
            flow.stream = self._make_stream(flow)
            self._observer.record_opened(self, flow.key)
        flow.data += flow.stream.receive(packet)
        while (request := pop_message(flow.data)) is not None:
            self._start_request(flow, request)
        if flow.stream.peer_finished:
            flow.stream.finish()
            self._close_flow(flow)

    def _make_stream(self, flow: _Flow) -> streams.Stream:
        return streams.Stream(
            sequence=flow.sequence + 1,
            expected=flow.caller_sequence + 1,
            send=lambda *fields: self._send(flow, *fields),
            on_give_up=lambda: self._close_flow(flow),
            max_retransmissions=const.ENDPOINT_RETRANSMISSIONS,
        )

    def _start_request(self, flow: _Flow, request: dict[str, Any]) -> None:
        task = asyncio.create_task(self._async_run(flow, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_run(self, flow: _Flow, request: dict[str, Any]) -> None:
        async with self._slots:
            self._observer.record_run(self, request)
            await asyncio.sleep(self._work_s * self._generator.uniform(0.5, 2))
        if flow.stream is not None and flow.key in self._flows:
            flow.stream.write(make_reply(request))

    def _close_flow(self, flow: _Flow) -> None:
        self._flows.pop(flow.key, None)
        if flow.stream is not None:
            flow.stream.close()
            self._observer.record_closed(flow.key)

    def _send(self, flow: _Flow, *fields: Any) -> None:
        caller, route = flow.key
        self._link.send(
            packets.encode_fields(route, caller, flow.tag, fields),
            (caller[0], self._callers_port),
        )

    def _send_reset(self, packet: packets.Packet) -> None:
        reset = packets.Packet(
            source=packet.destination,
            destination=packet.source,
            flags=packets.Flags.RESET,
            sequence=packet.acknowledged,
        )
        self._link.send(reset.encode(), (packet.source[0], self._callers_port))
