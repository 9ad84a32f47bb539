"""Streaming of changes from the reader to the other balancers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import socket
from typing import cast

from chivedoor.feed import compression
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
    """Server that streams the record tables to subscribers.

    Attributes:
        observe_transfer: Called with each frame that was sent slowly, complete
            or not.
    """

    def __init__(
        self,
        *,
        tables: Mapping[records.Feed, table.RecordTable],
        get_age_s: Callable[[records.Feed], float | None],
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a relay with a closed port."""
        self.observe_transfer = observe_transfer
        self._tables = tables
        self._get_age_s = get_age_s
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._subscribers: set[_Subscriber] = set()
        # Large values that subscribers may have, by digest, newest last.
        self._bases: dict[int, bytes] = {}
        # Encoded batches by feed, first and last revision and bases.
        self._encoded: dict[object, messages.EncodedBatch] = {}

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

    def publish(self, feed: records.Feed) -> None:
        """Sends new changes and the age of a feed to each subscriber."""
        for subscriber in tuple(self._subscribers):
            subscriber.update(feed)

    def add(self, subscriber: "_Subscriber") -> bool:
        """Adds a subscriber; returns False if the limit is reached."""
        if len(self._subscribers) >= const.MAX_SUBSCRIBERS:
            return False
        self._subscribers.add(subscriber)
        return True

    def remove(self, subscriber: "_Subscriber") -> None:
        """Removes a subscriber."""
        self._subscribers.discard(subscriber)

    def remember_values(self) -> None:
        """Keeps the current large values as bases of differences."""
        for records_table in self._tables.values():
            for value in records_table.find_large_values().values():
                digest = compression.compute_digest(value)
                self._bases.pop(digest, None)
                self._bases[digest] = value
        for digest in tuple(self._bases)[: -const.MAX_BASES]:
            del self._bases[digest]

    def make_frame(
        self,
        feed: records.Feed,
        revision: records.Revision,
        digests: dict[str, int],
    ) -> tuple[records.Revision, bytes] | None:
        """Returns the changes of a feed after a revision.

        Args:
            feed: The feed.
            revision: The revision that the subscriber has.
            digests: Digests of the large values that it has, by key. They are
                updated with the values of the frame.

        Returns:
            The revision that the frame reaches and the encoded frame; None
            without a view.
        """
        age_s = self._get_age_s(feed)
        if age_s is None:
            return None
        encoded = self._encode_batch(feed, revision, digests)
        frame = messages.encode_frame(
            feed, encoded, age_s=float(age_s), sent_at=float(self._clock())
        )
        return encoded.revision, frame

    def _encode_batch(
        self,
        feed: records.Feed,
        revision: records.Revision,
        digests: dict[str, int],
    ) -> messages.EncodedBatch:
        records_table = self._tables[feed]
        bases = {
            key: self._bases[digest]
            for key, digest in digests.items()
            if digest in self._bases
        }
        key = (
            feed,
            revision,
            records_table.revision,
            frozenset((key, digests[key]) for key in bases),
        )
        encoded = self._encoded.get(key)
        if encoded is None:
            self.remember_values()
            batch = records_table.list_since(revision)
            encoded = messages.encode_batch(batch, bases)
            self._encoded[key] = encoded
            for former in tuple(self._encoded)[: -const.MAX_ENCODED_BATCHES]:
                del self._encoded[former]
        digests |= encoded.digests
        return encoded


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
        self._revisions: dict[records.Feed, records.Revision] = {}
        self._digests: dict[str, int] = {}
        # Feeds with changes or a new age to send.
        self._pending: set[records.Feed] = set()
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
                request = messages.decode_subscription(body)
                self._revisions = dict(request.revisions)
                self._digests = dict(request.digests)
                self._relay.remember_values()
                self._pending |= self._revisions.keys()
                self._send_pending()
        except exceptions.MalformedAnswerError:
            self.close()

    def pause_writing(self) -> None:
        self._sending_since = self._relay.read_clock()

    def resume_writing(self) -> None:
        self._report_transfer(complete=True)
        self._sending_since = None
        self._send_pending()

    def update(self, feed: records.Feed) -> None:
        """Sends a feed, at once or after the frame that is being sent."""
        if feed not in self._revisions:
            return
        self._pending.add(feed)
        if self._sending_since is not None:
            sending_s = self._relay.read_clock() - self._sending_since
            if sending_s > const.SUBSCRIBER_STALL_S:
                self.close()
        self._send_pending()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _send_pending(self) -> None:
        # The feeds of small changes come first.
        for feed in records.Feed:
            if self._sending_since is not None or self._transport is None:
                return
            if feed not in self._pending:
                continue
            self._pending.discard(feed)
            frame = self._relay.make_frame(
                feed, self._revisions[feed], self._digests
            )
            if frame is not None:
                self._revisions[feed], data = frame
                self._sending_bytes = len(data)
                self._transport.write(data)

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
        last_frame_at: Time of the last frame, in seconds; before the first
            one, the time of creation.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        local_host: str,
        revisions: Mapping[records.Feed, records.Revision],
        large_values: Mapping[str, bytes],
        deliver: Callable[[records.Feed, records.Batch, float], None],
        on_end: Callable[["Subscription", str], None],
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a subscription that is not connected.

        Args:
            host: The reader's address.
            port: The reader's port.
            local_host: The local address of the connection.
            revisions: The revision of each feed of the local view.
            large_values: The large values of the local view, by key.
            deliver: Called with each feed, its batch and the time at which it
                was known to be current.
            on_end: Called once with the subscription and a reason when it
                ends, unless `close` was called.
            clock: Returns the current time in seconds.
            observe_transfer: Called with each frame, complete or not.
        """
        self.host = host
        self.last_frame_at = clock()
        self._port = port
        self._local_host = local_host
        self._revisions = revisions
        # Large values that the reader may use as bases, by key. The view may
        # hold newer ones that were read from the store.
        self._bases = dict(large_values)
        self._deliver = deliver
        self._on_end = on_end
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._frames = _FrameSplitter()
        # Smallest difference seen between the local time at which a frame
        # began to arrive and the reader's send time. The excess over it is the
        # transit delay of a frame.
        self._min_offset_s: float | None = None
        self._ended = False
        self._observe_transfer = observe_transfer
        # Times of the first byte of the current frame and of the last byte, in
        # seconds.
        self._receiving_since = 0.0
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
        if self._frames.buffered_bytes:
            self._report_transfer(self._frames.buffered_bytes, complete=False)
            self._frames = _FrameSplitter()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the revisions of the local view to the reader."""
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()
            return
        self._transport.write(
            messages.encode_subscription(
                messages.SubscriptionRequest(
                    revisions=self._revisions,
                    digests={
                        key: compression.compute_digest(value)
                        for key, value in self._bases.items()
                    },
                )
            )
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the subscription."""
        self._transport = None
        self._end(f"connection lost: {error}")

    def data_received(self, data: bytes) -> None:
        """Handles frames; a malformed frame ends the subscription."""
        self._last_data_at = self._clock()
        if not self._frames.buffered_bytes:
            self._receiving_since = self._last_data_at
        try:
            for body in self._frames.feed(data):
                began_at = self._receiving_since
                self._report_transfer(len(body), complete=True)
                self._handle_frame(
                    messages.decode_frame(body, self._bases), began_at
                )
        except exceptions.MalformedAnswerError as error:
            self._end(str(error))

    def is_receiving(self, now: float) -> bool:
        """Returns whether a frame is arriving at `now`, without a stall."""
        return (
            self._frames.buffered_bytes > 0
            and now - self._last_data_at < const.TRANSFER_STALL_S
            and now - self._receiving_since < const.FRAME_TRANSFER_MAX_S
        )

    def _report_transfer(self, size_bytes: int, *, complete: bool) -> None:
        """Reports a frame that has ended; the next one begins now."""
        now = self._clock()
        since, self._receiving_since = self._receiving_since, now
        self._observe_transfer(
            transfers.Transfer(
                kind=transfers.TransferKind.FRAME_RECEIVED,
                host=self.host,
                size_bytes=size_bytes,
                duration_s=now - since,
                complete=complete,
            )
        )

    def _handle_frame(self, frame: messages.Frame, began_at: float) -> None:
        """Delivers a frame whose first byte arrived at `began_at`."""
        now = self._clock()
        self.last_frame_at = now
        # The first byte of a large frame over a slow link shows the offset
        # between the clocks better than its last one.
        offset_s = began_at - frame.sent_at
        if self._min_offset_s is None or offset_s < self._min_offset_s:
            self._min_offset_s = offset_s
        transit_s = now - frame.sent_at - self._min_offset_s
        self._bases |= {
            record.key: record.value
            for record in frame.batch.records
            if record.value is not None
            and len(record.value) >= const.LARGE_VALUE_BYTES
        }
        self._deliver(frame.feed, frame.batch, now - transit_s - frame.age_s)

    def _end(self, reason: str) -> None:
        if self._ended:
            return
        self.close()
        self._on_end(self, reason)
