"""Streaming of changes from the reader to the other balancers."""

import asyncio
from collections.abc import Callable
import socket
from typing import cast

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import messages
from chivedoor.feed import records
from chivedoor.feed import table
from chivedoor.feed import transfers


class _FrameSplitter:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes of an incomplete frame."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the completed frames.

        Raises:
            MalformedAnswerError: A frame exceeds the size limit.
        """
        self._data += data
        frames = []
        header_bytes = const.FRAME_HEADER_BYTES
        while len(self._data) >= header_bytes:
            size = int.from_bytes(self._data[:header_bytes], "big")
            if size > const.MAX_FRAME_BYTES:
                raise exceptions.MalformedAnswerError(
                    "frame exceeds size limit"
                )
            if len(self._data) < header_bytes + size:
                break
            frames.append(bytes(self._data[header_bytes : header_bytes + size]))
            del self._data[: header_bytes + size]
        return frames


class Relay:
    """Server that streams the record table to subscribers."""

    def __init__(
        self,
        *,
        records_table: table.RecordTable,
        get_age_s: Callable[[], float | None],
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a relay with a closed port."""
        self.observe_transfer = observe_transfer
        self._table = records_table
        self._get_age_s = get_age_s
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._subscribers: set[_Subscriber] = set()

    def read_clock(self) -> float:
        """Returns the current time in seconds."""
        return self._clock()

    @property
    def subscribers(self) -> int:
        """The number of subscribers."""
        return len(self._subscribers)

    async def async_open(self, host: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Subscriber(relay=self), host, port
        )

    def close(self) -> None:
        """Stops listening and closes all subscriptions."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for subscriber in tuple(self._subscribers):
            subscriber.close()

    def publish(self) -> None:
        """Sends new changes and the age of the view to each subscriber."""
        for subscriber in tuple(self._subscribers):
            subscriber.update()

    def add(self, subscriber: "_Subscriber") -> bool:
        """Adds a subscriber; returns False if the limit is reached."""
        if len(self._subscribers) >= const.MAX_SUBSCRIBERS:
            return False
        self._subscribers.add(subscriber)
        return True

    def remove(self, subscriber: "_Subscriber") -> None:
        """Removes a subscriber."""
        self._subscribers.discard(subscriber)

    def make_frame(self, revision: records.Revision) -> messages.Frame | None:
        """Returns the changes after a revision, None without a view."""
        age_s = self._get_age_s()
        if age_s is None:
            return None
        return messages.Frame(
            batch=self._table.list_since(revision),
            age_s=float(age_s),
            sent_at=float(self._clock()),
        )


class _Subscriber(asyncio.Protocol):
    """Connection of one subscriber, on the side of the reader.

    A frame is sent once the one before has left, and holds all changes since
    then. Queued frames would make a slow link deliver each of many
    configurations, the newest one last.
    """

    def __init__(self, *, relay: Relay) -> None:
        self._relay = relay
        self._transport: asyncio.Transport | None = None
        self._frames = _FrameSplitter()
        self._revision: records.Revision | None = None
        # Time since which a frame is being sent, in seconds, and its size.
        self._sending_since: float | None = None
        self._sending_bytes = 0
        self._host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._host = self._transport.get_extra_info("peername")[0]
        self._transport.set_write_buffer_limits(high=0)
        self._transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, const.SUBSCRIBER_BUFFER_BYTES
        )
        if not self._relay.add(self):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._relay.remove(self)
        self._report_transfer(complete=False)

    def data_received(self, data: bytes) -> None:
        try:
            for body in self._frames.feed(data):
                self._revision = messages.decode_subscription(body)
                self.update()
        except exceptions.MalformedAnswerError:
            self.close()

    def pause_writing(self) -> None:
        self._sending_since = self._relay.read_clock()

    def resume_writing(self) -> None:
        self._report_transfer(complete=True)
        self._sending_since = None
        self.update()

    def update(self) -> None:
        """Sends the changes since the last frame, unless one is being sent."""
        if self._revision is None or self._transport is None:
            return
        if self._sending_since is not None:
            sending_s = self._relay.read_clock() - self._sending_since
            if sending_s > const.SUBSCRIBER_STALL_S:
                self.close()
            return
        frame = self._relay.make_frame(self._revision)
        if frame is not None:
            self._revision = frame.batch.revision
            data = messages.encode_frame(frame)
            self._sending_bytes = len(data)
            self._transport.write(data)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _report_transfer(self, *, complete: bool) -> None:
        if self._sending_since is None:
            return
        self._relay.observe_transfer(
            transfers.Transfer(
                kind=transfers.TransferKind.FRAME_SENT,
                host=self._host,
                size_bytes=self._sending_bytes,
                duration_s=self._relay.read_clock() - self._sending_since,
                complete=complete,
            )
        )


class Subscription(asyncio.Protocol):
    """Receives changes from a reader.

    Attributes:
        host: The reader's address.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        local_host: str,
        revision: records.Revision,
        deliver: Callable[[records.Batch, float], None],
        on_end: Callable[["Subscription", str], None],
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a subscription that is not connected.

        Args:
            host: The reader's address.
            port: The reader's port.
            local_host: The local address of the connection.
            revision: The revision of the local view.
            deliver: Called with each batch and the time at which it was
                known to be current.
            on_end: Called once with the subscription and a reason when it
                ends, unless `close` was called.
            clock: Returns the current time in seconds.
            observe_transfer: Called with each frame, complete or not.
        """
        self.host = host
        self._port = port
        self._local_host = local_host
        self._revision = revision
        self._deliver = deliver
        self._on_end = on_end
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._frames = _FrameSplitter()
        # Smallest difference seen between the local receive time and the
        # reader's send time. The excess over it is the transit delay of a
        # frame.
        self._min_offset_s: float | None = None
        self._ended = False
        self._observe_transfer = observe_transfer
        # Time of the first byte of an incomplete frame, in seconds.
        self._receiving_since: float | None = None
        self._last_data_at = 0.0

    async def async_open(self) -> None:
        """Connects to the reader; a failure is reported through `on_end`."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self,
                    self.host,
                    self._port,
                    family=socket.AF_INET,
                    local_addr=(self._local_host, 0),
                )
        except (OSError, TimeoutError) as error:
            self._end(f"{type(error).__name__}: {error}")

    def close(self) -> None:
        """Closes the subscription; `on_end` is not called afterwards."""
        self._ended = True
        if self._receiving_since is not None:
            self._report_transfer(self._frames.buffered_bytes, complete=False)
            self._receiving_since = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the revision of the local view to the reader."""
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()
            return
        self._transport.write(messages.encode_subscription(self._revision))

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the subscription."""
        self._transport = None
        self._end(f"connection lost: {error}")

    def data_received(self, data: bytes) -> None:
        """Handles frames; a malformed frame ends the subscription."""
        self._last_data_at = self._clock()
        if self._receiving_since is None:
            self._receiving_since = self._last_data_at
        try:
            for body in self._frames.feed(data):
                self._report_transfer(len(body), complete=True)
                self._handle_frame(messages.decode_frame(body))
        except exceptions.MalformedAnswerError as error:
            self._end(str(error))
        if not self._frames.buffered_bytes:
            self._receiving_since = None

    def is_receiving(self, now: float) -> bool:
        """Returns whether a frame is arriving at `now`, without a stall."""
        return (
            self._receiving_since is not None
            and now - self._last_data_at < const.TRANSFER_STALL_S
            and now - self._receiving_since < const.FRAME_TRANSFER_MAX_S
        )

    def _report_transfer(self, size_bytes: int, *, complete: bool) -> None:
        now = self._clock()
        since, self._receiving_since = self._receiving_since, now
        self._observe_transfer(
            transfers.Transfer(
                kind=transfers.TransferKind.FRAME_RECEIVED,
                host=self.host,
                size_bytes=size_bytes,
                duration_s=now - (now if since is None else since),
                complete=complete,
            )
        )

    def _handle_frame(self, frame: messages.Frame) -> None:
        now = self._clock()
        offset_s = now - frame.sent_at
        if self._min_offset_s is None or offset_s < self._min_offset_s:
            self._min_offset_s = offset_s
        transit_s = offset_s - self._min_offset_s
        self._deliver(frame.batch, now - transit_s - frame.age_s)

    def _end(self, reason: str) -> None:
        if self._ended:
            return
        self.close()
        self._on_end(self, reason)
