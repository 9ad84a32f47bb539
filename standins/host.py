"""Network stack of a stand-in host: timers, connections and UDP ports."""

from collections.abc import Callable
import heapq
import itertools
import random

from standins import connection as connections
from standins import const
from standins import exceptions
from standins import segments

Endpoint = tuple[bytes, int]
Callback = Callable[[connections.Connection, float], None]
Acceptor = Callable[[segments.Segment, float], Callback | None]


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[float], None]):
        """Creates a timer for `call`, which gets the current time."""
        self.call: Callable[[float], None] | None = call

    def cancel(self) -> None:
        """Cancels the call."""
        self.call = None


class Timers:
    """Queue of scheduled calls, ordered by time in monotonic seconds."""

    def __init__(self):
        """Creates an empty queue."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()

    def call_at(self, when: float, call: Callable[[float], None]) -> Timer:
        """Schedules `call(now)` for the first `tick` at or after `when`."""
        timer = Timer(call)
        heapq.heappush(self._heap, (when, next(self._numbers), timer))
        return timer

    @property
    def next_time(self) -> float | None:
        """Time of the next call; None when the queue is empty."""
        return self._heap[0][0] if self._heap else None

    def tick(self, now: float) -> None:
        """Runs all calls that are due."""
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.call is not None:
                timer.call(now)


class _Entry:
    __slots__ = ("connection", "callback", "scheduled")

    def __init__(self, connection: connections.Connection, callback: Callback):
        self.connection = connection
        self.callback = callback
        self.scheduled: float | None = None


class Stack:
    """Connections and UDP ports of one or more inner addresses.

    `send` is called with each outgoing IP packet. The callback of a connection
    is called after every event that may have changed the connection.
    """

    def __init__(
        self,
        *,
        send: Callable[[bytes], None],
        timers: Timers,
        generator: random.Random,
    ):
        """Creates a stack without connections."""
        self._send = send
        self._timers = timers
        self._generator = generator
        self._entries: dict[tuple[Endpoint, Endpoint], _Entry] = {}
        self._acceptors: dict[Endpoint, Acceptor] = {}
        self._datagram_handlers: dict[Endpoint, Callable] = {}
        self._unreachable_handlers: dict[Endpoint, Callable] = {}
        self.bad_packets = 0
        self.resets_sent = 0

    def listen(self, local: Endpoint, accept: Acceptor) -> None:
        """Accepts connections; refuses a SYN when `accept` returns None."""
        self._acceptors[local] = accept

    def bind(
        self,
        local: Endpoint,
        handle_datagram: Callable[[segments.Datagram, float], None],
        handle_unreachable: Callable | None = None,
    ) -> None:
        """Registers handlers for datagrams and ICMP errors of a UDP port."""
        self._datagram_handlers[local] = handle_datagram
        if handle_unreachable is not None:
            self._unreachable_handlers[local] = handle_unreachable

    def unbind(self, local: Endpoint) -> None:
        """Removes the handlers of a UDP port."""
        self._datagram_handlers.pop(local, None)
        self._unreachable_handlers.pop(local, None)

    def connect(
        self,
        *,
        local: Endpoint,
        remote: Endpoint,
        callback: Callback,
        now: float,
        idle_timeout_s: float | None = None,
    ) -> connections.Connection:
        """Opens a connection and sends its SYN."""
        connection = connections.Connection(
            local=local,
            remote=remote,
            sequence=self._generator.getrandbits(32),
            idle_timeout_s=idle_timeout_s,
        )
        entry = _Entry(connection, callback)
        self._entries[(local, remote)] = entry
        self._send_all(connection.open(now))
        self._schedule(entry)
        return connection

    def flush(self, connection: connections.Connection, now: float) -> None:
        """Sends data that was written to a connection outside its callback."""
        self._send_all(connection.flush(now))
        entry = self._entries.get((connection.local, connection.remote))
        if entry is not None and entry.connection is connection:
            self._schedule(entry)

    def abort(self, connection: connections.Connection) -> None:
        """Closes a connection with a RST."""
        self._send_all(connection.abort())
        key = (connection.local, connection.remote)
        entry = self._entries.get(key)
        if entry is not None and entry.connection is connection:
            del self._entries[key]

    def close(self) -> None:
        """Discards all connections and sends no more packets."""
        self._send = lambda _: None
        for entry in self._entries.values():
            entry.connection.discard()
        self._entries.clear()

    def is_used(self, local: Endpoint, remote: Endpoint) -> bool:
        """Returns whether a connection with these endpoints exists."""
        return (local, remote) in self._entries

    def send_datagram(self, datagram: segments.Datagram) -> None:
        """Sends a UDP datagram."""
        self._send(segments.build_packet(datagram))

    def handle_packet(self, data: bytes, now: float) -> None:
        """Handles a packet for an address of this stack."""
        try:
            content = segments.read_packet(data)
        except exceptions.SegmentError:
            self.bad_packets += 1
            return
        if isinstance(content, segments.Segment):
            self._handle_segment(content, now)
        elif isinstance(content, segments.Datagram):
            local = (content.destination, content.destination_port)
            handler = self._datagram_handlers.get(local)
            if handler is not None:
                handler(content, now)
        else:
            local = (content.source, content.source_port)
            handler = self._unreachable_handlers.get(local)
            if handler is not None:
                handler(content, now)

    def _handle_segment(self, segment: segments.Segment, now: float) -> None:
        local = (segment.destination, segment.destination_port)
        remote = (segment.source, segment.source_port)
        entry = self._entries.get((local, remote))
        starts = segment.flags & (const.SYN | const.ACK) == const.SYN
        if starts and (entry is None or _is_closed(entry)):
            self._accept(segment, local, remote, now)
        elif entry is None:
            self._refuse(segment)
        else:
            self._send_all(entry.connection.handle_segment(segment, now))
            self._notify(entry, now)

    def _accept(
        self,
        segment: segments.Segment,
        local: Endpoint,
        remote: Endpoint,
        now: float,
    ) -> None:
        accept = self._acceptors.get(local)
        callback = accept(segment, now) if accept is not None else None
        if callback is None:
            self._refuse(segment)
            return
        connection = connections.Connection(
            local=local,
            remote=remote,
            sequence=self._generator.getrandbits(32),
            peer_sequence=segment.sequence,
        )
        entry = _Entry(connection, callback)
        self._entries[(local, remote)] = entry
        self._send_all(connection.open(now))
        self._notify(entry, now)

    def _refuse(self, segment: segments.Segment) -> None:
        if segment.flags & const.RST:
            return
        self.resets_sent += 1
        self._send(segments.build_packet(build_reset(segment)))

    def _notify(self, entry: _Entry, now: float) -> None:
        entry.callback(entry.connection, now)
        self._send_all(entry.connection.flush(now))
        if _is_closed(entry):
            self._remove_after_close(entry, now)
        else:
            self._schedule(entry)

    def _remove_after_close(self, entry: _Entry, now: float) -> None:
        connection = entry.connection
        key = (connection.local, connection.remote)
        if connection.outcome is not connections.Outcome.FINISHED:
            self._remove(key, entry)
            return
        self._timers.call_at(
            now + const.LINGER_S, lambda _: self._remove(key, entry)
        )

    def _remove(self, key: tuple[Endpoint, Endpoint], entry: _Entry) -> None:
        if self._entries.get(key) is entry:
            del self._entries[key]

    def _schedule(self, entry: _Entry) -> None:
        deadline = entry.connection.next_deadline
        if deadline is None:
            return
        if entry.scheduled is not None and entry.scheduled <= deadline:
            return
        entry.scheduled = deadline
        self._timers.call_at(deadline, lambda now: self._tick(entry, now))

    def _tick(self, entry: _Entry, now: float) -> None:
        entry.scheduled = None
        if _is_closed(entry):
            return
        self._send_all(entry.connection.tick(now))
        if _is_closed(entry):
            self._notify(entry, now)
        else:
            self._schedule(entry)

    def _send_all(self, packets: list[bytes]) -> None:
        for packet in packets:
            self._send(packet)


def _is_closed(entry: _Entry) -> bool:
    return entry.connection.state is connections.State.CLOSED


def build_reset(segment: segments.Segment) -> segments.Segment:
    """Builds the RST that answers a segment of an unknown connection."""
    length = len(segment.payload)
    length += bool(segment.flags & const.SYN) + bool(segment.flags & const.FIN)
    acknowledged = bool(segment.flags & const.ACK)
    return segments.Segment(
        source=segment.destination,
        source_port=segment.destination_port,
        destination=segment.source,
        destination_port=segment.source_port,
        sequence=segment.acknowledgement if acknowledged else 0,
        acknowledgement=(
            0 if acknowledged else (segment.sequence + length) & 0xFFFFFFFF
        ),
        flags=const.RST if acknowledged else const.RST | const.ACK,
    )
