"""Reliable stream at one end of a flow, with window and retransmission."""

import asyncio
import collections
from collections.abc import Callable
import itertools

from standins.echo import const
from standins.echo import packets

Send = Callable[[packets.Flags, int, int, bytes], None]


class Stream:
    """Sends and receives bytes reliably and in order.

    Attributes:
        expected: Next expected sequence number of the peer.
        peer_finished: Whether the peer's last packet has arrived.
    """

    def __init__(
        self,
        *,
        sequence: int,
        expected: int,
        send: Send,
        on_give_up: Callable[[], None],
        max_retransmissions: int | None = None,
    ) -> None:
        """Creates a stream for a flow with a completed handshake.

        Args:
            sequence: Sequence number of the first byte to send.
            expected: Sequence number of the peer's first byte.
            send: Sends a packet with the given flags, sequence number,
                acknowledgement and payload.
            on_give_up: Called when all retransmissions were unanswered.
            max_retransmissions: Retransmissions of a packet; None for no
                limit.
        """
        self.expected = expected
        self.peer_finished = False
        self._next = sequence
        self._send = send
        self._on_give_up = on_give_up
        self._max_retransmissions = max_retransmissions
        self._send_queue: collections.deque[tuple[packets.Flags, bytes]] = (
            collections.deque()
        )
        self._in_flight: collections.deque[tuple[int, packets.Flags, bytes]] = (
            collections.deque()
        )
        self._retransmissions = 0
        self._unacknowledged = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the peer has acknowledged everything that was written."""
        return not self._send_queue and not self._in_flight

    def write(self, data: bytes) -> None:
        """Queues bytes and sends as many packets as the window allows."""
        size = const.PAYLOAD_BYTES
        self._send_queue.extend(
            (packets.Flags.NONE, data[start : start + size])
            for start in range(0, len(data), size)
        )
        self._fill_window()

    def finish(self) -> None:
        """Queues the end of the stream after all written bytes."""
        self._send_queue.append((packets.Flags.FINISH, b""))
        self._fill_window()

    def receive(self, packet: packets.Packet) -> bytes:
        """Handles a packet of the peer; returns its new bytes."""
        self._handle_acknowledgement(packet.acknowledged)
        if not packet.sequence_length:
            return b""
        if packet.sequence != self.expected:
            self._acknowledge()
            return b""
        self.expected += packet.sequence_length
        self.peer_finished = bool(packet.flags & packets.Flags.FINISH)
        self._unacknowledged += 1
        due = self._unacknowledged >= const.PACKETS_PER_ACKNOWLEDGEMENT
        if due or self.peer_finished:
            self._acknowledge()
        return packet.payload

    def close(self) -> None:
        """Stops retransmission and discards unsent data."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._send_queue.clear()
        self._in_flight.clear()

    def _handle_acknowledgement(self, acknowledged: int) -> None:
        progressed = False
        while self._in_flight:
            sequence, flags, payload = self._in_flight[0]
            end = sequence + len(payload) + bool(flags & packets.Flags.FINISH)
            if end > acknowledged:
                break
            self._in_flight.popleft()
            progressed = True
        if progressed:
            self._retransmissions = 0
            self._restart_timer()
            self._fill_window()

    def _fill_window(self) -> None:
        while self._send_queue and len(self._in_flight) < const.WINDOW_PACKETS:
            flags, payload = self._send_queue.popleft()
            self._in_flight.append((self._next, flags, payload))
            self._transmit(self._next, flags, payload)
            self._next += len(payload) + bool(flags & packets.Flags.FINISH)
        if self._timer is None:
            self._restart_timer()

    def _transmit(
        self, sequence: int, flags: packets.Flags, payload: bytes
    ) -> None:
        self._unacknowledged = 0
        self._send(
            flags | packets.Flags.ACKNOWLEDGE, sequence, self.expected, payload
        )

    def _acknowledge(self) -> None:
        self._transmit(self._next, packets.Flags.NONE, b"")

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._in_flight:
            return
        delay_s = min(
            const.RETRANSMISSION_LIMIT_S,
            const.RETRANSMISSION_FIRST_S * 2**self._retransmissions,
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._retransmit)

    def _retransmit(self) -> None:
        self._timer = None
        self._retransmissions += 1
        limit = self._max_retransmissions
        if limit is not None and self._retransmissions > limit:
            self._on_give_up()
            return
        window = itertools.islice(tuple(self._in_flight), const.WINDOW_PACKETS)
        for sequence, flags, payload in window:
            self._transmit(sequence, flags, payload)
        self._restart_timer()
