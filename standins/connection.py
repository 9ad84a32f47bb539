"""Minimal TCP implementation; does no I/O and reads no clock.

It supports what the stand-ins need: handshake, reassembly, cumulative
acknowledgements, retransmission with exponential backoff, FIN and RST.
"""

import enum

from standins import const
from standins import segments

_SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SEQUENCE = 0x80000000


class State(enum.Enum):
    """State of a connection."""

    SYN_SENT = "syn_sent"
    SYN_RECEIVED = "syn_received"
    ESTABLISHED = "established"
    CLOSED = "closed"


class Outcome(enum.Enum):
    """Result of a connection."""

    OPEN = "open"
    FINISHED = "finished"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    ABORTED = "aborted"


class Connection:
    """One end of a TCP connection.

    Positions are unwrapped offsets from the initial sequence number: 0 is the
    SYN, 1 the first byte, and the FIN follows the last byte. Times are
    monotonic seconds.
    """

    def __init__(
        self,
        *,
        local: tuple[bytes, int],
        remote: tuple[bytes, int],
        sequence: int,
        peer_sequence: int | None = None,
        idle_timeout_s: float | None = None,
        syn_tries: int = const.SYN_TRIES,
        data_tries: int = const.DATA_TRIES,
    ):
        """Creates a connection; `peer_sequence` is set after a received SYN."""
        self.local = local
        self.remote = remote
        self.state = State.SYN_SENT
        self.outcome = Outcome.OPEN
        self.retransmissions = 0
        self.established_at: float | None = None
        self._sequence = sequence
        self._peer_sequence = peer_sequence
        if peer_sequence is not None:
            self.state = State.SYN_RECEIVED
        self._acknowledged = 0
        self._next = 0
        self._highest = 0
        self._buffer = bytearray()
        self._end = 1
        self._finishing = False
        self._expected = 1
        self._out_of_order_segments: dict[int, bytes] = {}
        self._received = bytearray()
        self._peer_end: int | None = None
        self._window = (
            const.INITIAL_CONGESTION_SEGMENTS * const.MAXIMUM_SEGMENT_BYTES
        )
        self._duplicate_acks = 0
        self._tries = 0
        self._syn_tries = syn_tries
        self._data_tries = data_tries
        self._timeout_s = const.SYN_TIMEOUT_S
        self._smoothed_round_trip_s: float | None = None
        self._round_trip_variance_s = 0.0
        self._round_trip_sample: tuple[int, float] | None = None
        self._deadline: float | None = None
        self._idle_timeout_s = idle_timeout_s
        self._idle_deadline: float | None = None

    @property
    def next_deadline(self) -> float | None:
        """Time of the next timer; None when no timer is set."""
        times = [
            time
            for time in (self._deadline, self._idle_deadline)
            if time is not None
        ]
        return min(times, default=None)

    @property
    def remote_finished(self) -> bool:
        """Whether all bytes of the peer and its FIN have been received."""
        return self._peer_end is not None and self._expected > self._peer_end

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that the peer has not acknowledged."""
        return len(self._buffer)

    def open(self, now: float) -> list[bytes]:
        """Returns the first packet: a SYN, or a SYN-ACK as answer to one."""
        self._restart_idle_timer(now)
        return self._transmit(now)

    def write(self, data: bytes) -> None:
        """Queues bytes, which `flush` or the next event sends."""
        self._buffer += data
        self._end += len(data)

    def finish(self) -> None:
        """Queues a FIN after the bytes written so far."""
        self._finishing = True

    def flush(self, now: float) -> list[bytes]:
        """Returns the packets that may be sent at present."""
        if self.state is not State.ESTABLISHED:
            return []
        return self._transmit(now)

    def read(self) -> bytes:
        """Returns and removes the received bytes."""
        data = bytes(self._received)
        self._received.clear()
        return data

    def abort(self) -> list[bytes]:
        """Closes the connection with a RST."""
        if self.state is State.CLOSED:
            return []
        packet = self._build(self._highest, const.RST | const.ACK)
        self._close(Outcome.ABORTED)
        return [packet]

    def discard(self) -> None:
        """Closes the connection without a packet, like a crashed host."""
        if self.state is not State.CLOSED:
            self._close(Outcome.ABORTED)

    def handle_segment(
        self, segment: segments.Segment, now: float
    ) -> list[bytes]:
        """Handles a segment from the peer and returns the packets to send."""
        if segment.flags & const.RST:
            return self._handle_reset(segment)
        if self.state is State.CLOSED:
            return self._answer_closed(segment)
        if self.state is State.SYN_SENT:
            return self._handle_syn_ack(segment, now)
        if segment.flags & const.SYN:
            return self._handle_repeated_syn()
        self._restart_idle_timer(now)
        packets = self._handle_acknowledgement(segment, now)
        must_acknowledge = self._receive_payload(segment)
        sent = self._transmit(now)
        packets += sent
        if must_acknowledge and not sent:
            packets.append(self._build(self._next, const.ACK))
        self._close_when_done()
        return packets

    def tick(self, now: float) -> list[bytes]:
        """Handles expired timers and returns the packets to send."""
        if self._idle_deadline is not None and now >= self._idle_deadline:
            self._close(Outcome.TIMED_OUT)
            return []
        if self._deadline is None or now < self._deadline:
            return []
        self._tries += 1
        if self._tries > self._count_allowed_tries():
            self._close(Outcome.TIMED_OUT)
            return []
        self._timeout_s = min(self._timeout_s * 2, const.MAXIMUM_TIMEOUT_S)
        self._window = 2 * const.MAXIMUM_SEGMENT_BYTES
        self._rewind()
        return self._transmit(now)

    def _count_allowed_tries(self) -> int:
        if self.state is State.ESTABLISHED:
            return self._data_tries
        return self._syn_tries

    def _rewind(self) -> None:
        self.retransmissions += 1
        self._next = self._acknowledged
        self._round_trip_sample = None
        self._deadline = None

    def _restart_idle_timer(self, now: float) -> None:
        if self._idle_timeout_s is not None:
            self._idle_deadline = now + self._idle_timeout_s

    def _close(self, outcome: Outcome) -> None:
        self.state = State.CLOSED
        self.outcome = outcome
        self._deadline = None
        self._idle_deadline = None

    def _close_when_done(self) -> None:
        fin_acknowledged = self._finishing and self._acknowledged > self._end
        if fin_acknowledged and self.remote_finished:
            self._close(Outcome.FINISHED)

    def _build(self, position: int, flags: int, payload: bytes = b"") -> bytes:
        acknowledgement = 0
        if flags & const.ACK and self._peer_sequence is not None:
            acknowledgement = self._peer_sequence + self._expected
        return segments.build_packet(
            segments.Segment(
                source=self.local[0],
                source_port=self.local[1],
                destination=self.remote[0],
                destination_port=self.remote[1],
                sequence=(self._sequence + position) & _SEQUENCE_MASK,
                acknowledgement=acknowledgement & _SEQUENCE_MASK,
                flags=flags,
                payload=payload,
            )
        )

    def _handle_reset(self, segment: segments.Segment) -> list[bytes]:
        if self.state is State.CLOSED:
            return []
        if self.state is State.SYN_SENT:
            position = self._unwrap_acknowledgement(segment)
            if segment.flags & const.ACK and position == 1:
                self._close(Outcome.REFUSED)
            return []
        position = self._unwrap_sequence(segment)
        if position == self._expected:
            self._close(Outcome.RESET)
            return []
        # RFC 5961: a RST inside the window, but not at its start, is answered
        # with a challenge ACK, so that a genuine peer can repeat it.
        if 0 < position - self._expected < const.RECEIVE_WINDOW_BYTES:
            return [self._build(self._next, const.ACK)]
        return []

    def _answer_closed(self, segment: segments.Segment) -> list[bytes]:
        if segment.flags & (const.FIN | const.SYN) or segment.payload:
            return [self._build(self._highest, const.ACK)]
        return []

    def _handle_syn_ack(
        self, segment: segments.Segment, now: float
    ) -> list[bytes]:
        wanted = const.SYN | const.ACK
        if segment.flags & wanted != wanted:
            return []
        if self._unwrap_acknowledgement(segment) != 1:
            return []
        self._peer_sequence = segment.sequence
        self._restart_idle_timer(now)
        self._advance(1, now)
        self._establish(now)
        sent = self._transmit(now)
        return sent or [self._build(self._next, const.ACK)]

    def _establish(self, now: float) -> None:
        self.state = State.ESTABLISHED
        self.established_at = now
        if self._smoothed_round_trip_s is None:
            self._timeout_s = const.SYN_TIMEOUT_S

    def _handle_repeated_syn(self) -> list[bytes]:
        if self.state is State.SYN_RECEIVED:
            return [self._build(0, const.SYN | const.ACK)]
        return [self._build(self._next, const.ACK)]

    def _unwrap_acknowledgement(self, segment: segments.Segment) -> int:
        return _unwrap(
            segment.acknowledgement - self._sequence, self._acknowledged
        )

    def _unwrap_sequence(self, segment: segments.Segment) -> int:
        return _unwrap(segment.sequence - self._peer_sequence, self._expected)

    def _handle_acknowledgement(
        self, segment: segments.Segment, now: float
    ) -> list[bytes]:
        if not segment.flags & const.ACK:
            return []
        position = self._unwrap_acknowledgement(segment)
        if position > self._highest:
            return [self._build(self._next, const.ACK)]
        if self.state is State.SYN_RECEIVED and position >= 1:
            self._establish(now)
        if position > self._acknowledged:
            self._advance(position, now)
            return []
        return self._count_duplicate(segment, position)

    def _advance(self, position: int, now: float) -> None:
        data_start = max(self._acknowledged, 1)
        data_end = min(position, self._end)
        del self._buffer[: max(0, data_end - data_start)]
        acknowledged_bytes = position - self._acknowledged
        self._acknowledged = position
        self._next = max(self._next, position)
        self._window = min(
            self._window + acknowledged_bytes, const.RECEIVE_WINDOW_BYTES
        )
        self._duplicate_acks = 0
        self._tries = 0
        self._update_timeout(position, now)
        outstanding = self._highest > position
        self._deadline = now + self._timeout_s if outstanding else None

    def _update_timeout(self, position: int, now: float) -> None:
        if (
            self._round_trip_sample is not None
            and position >= self._round_trip_sample[0]
        ):
            self._update_round_trip_time(now - self._round_trip_sample[1])
            self._round_trip_sample = None
        if self._smoothed_round_trip_s is not None:
            self._timeout_s = max(
                const.MINIMUM_TIMEOUT_S,
                self._smoothed_round_trip_s + 4 * self._round_trip_variance_s,
            )

    def _update_round_trip_time(self, round_trip_s: float) -> None:
        if self._smoothed_round_trip_s is None:
            self._smoothed_round_trip_s = round_trip_s
            self._round_trip_variance_s = round_trip_s / 2
            return
        difference = abs(self._smoothed_round_trip_s - round_trip_s)
        self._round_trip_variance_s = (
            0.75 * self._round_trip_variance_s + 0.25 * difference
        )
        self._smoothed_round_trip_s = (
            0.875 * self._smoothed_round_trip_s + 0.125 * round_trip_s
        )

    def _count_duplicate(
        self, segment: segments.Segment, position: int
    ) -> list[bytes]:
        repeated = position == self._acknowledged and not segment.payload
        if not repeated or self._highest == self._acknowledged:
            return []
        self._duplicate_acks += 1
        if self._duplicate_acks != const.DUPLICATE_ACK_THRESHOLD:
            return []
        self.retransmissions += 1
        self._round_trip_sample = None
        return [self._build_at(self._acknowledged)]

    def _receive_payload(self, segment: segments.Segment) -> bool:
        position = self._unwrap_sequence(segment)
        has_fin = bool(segment.flags & const.FIN)
        if not segment.payload and not has_fin:
            return position != self._expected
        if has_fin:
            self._peer_end = position + len(segment.payload)
        ahead_bytes = position - self._expected
        if segment.payload and ahead_bytes < const.RECEIVE_WINDOW_BYTES:
            self._reassemble(position, segment.payload)
        if self._expected == self._peer_end:
            self._expected += 1
        return True

    def _reassemble(self, position: int, payload: bytes) -> None:
        stored = self._out_of_order_segments.get(position, b"")
        if len(payload) > len(stored):
            self._out_of_order_segments[position] = payload
        for start in sorted(self._out_of_order_segments):
            if start > self._expected:
                return
            data = self._out_of_order_segments.pop(start)
            new_data = data[self._expected - start :]
            self._received += new_data
            self._expected += len(new_data)

    def _transmit(self, now: float) -> list[bytes]:
        packets = []
        while (packet := self._build_next(now)) is not None:
            packets.append(packet)
        if self._deadline is None and self._highest > self._acknowledged:
            self._deadline = now + self._timeout_s
        return packets

    def _build_next(self, now: float) -> bytes | None:
        if self.state is State.CLOSED:
            return None
        length = self._get_next_length()
        if length <= 0:
            return None
        packet = self._build_at(self._next)
        self._next += length
        if self._next > self._highest:
            self._highest = self._next
            if self._round_trip_sample is None:
                self._round_trip_sample = (self._next, now)
        return packet

    def _get_next_length(self) -> int:
        """Returns the sequence length of the next segment, or 0."""
        if self._next == 0:
            return 1
        if self.state is not State.ESTABLISHED:
            return 0
        if self._next < self._end:
            allowed = self._acknowledged + self._window - self._next
            left = self._end - self._next
            return min(const.MAXIMUM_SEGMENT_BYTES, left, allowed)
        return int(self._finishing and self._next == self._end)

    def _build_at(self, position: int) -> bytes:
        if position == 0:
            answered = self._peer_sequence is not None
            return self._build(0, const.SYN | (const.ACK if answered else 0))
        if position >= self._end:
            return self._build(position, const.FIN | const.ACK)
        start = position - max(self._acknowledged, 1)
        limit = const.MAXIMUM_SEGMENT_BYTES
        allowed = self._acknowledged + self._window - position
        if allowed > 0:
            limit = min(limit, allowed)
        payload = bytes(self._buffer[start : start + limit])
        return self._build(position, const.PSH | const.ACK, payload)


def _unwrap(difference: int, reference: int) -> int:
    """Returns the position nearest to `reference`, modulo 2**32."""
    offset = (difference - reference) & _SEQUENCE_MASK
    if offset >= _HALF_SEQUENCE:
        offset -= 1 << 32
    return reference + offset
