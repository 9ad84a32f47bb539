"""UDP transport of the gossip protocol."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import ipaddress
import random
import socket
from typing import Any

from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import const
from chivedoor.control import protocol as protocol_module
from chivedoor.membership import const as membership_const
from chivedoor.membership import members as members_module

# Twice the longest valid datagram: a longer one is truncated and then fails
# the verification of its tag.
_RECEIVE_BUFFER_BYTES = 2 * const.MAX_DATAGRAM_BYTES


class Gossip:
    """Runs the gossip protocol on one UDP port."""

    def __init__(
        self,
        *,
        local: members_module.Member,
        members: members_module.Members,
        board: board_module.Board,
        budget: budget_module.ByteBudget,
        keys: authentication.Keys,
        rng: random.Random,
        clock: Callable[[], float],
        seeds: Iterable[protocol_module.Address] = (),
    ):
        """Initializes the transport; nothing is sent before `async_open`.

        Args:
            local: The local member, whose address and gossip port are bound.
            members: All known members, including the local one.
            board: The entries to replicate.
            budget: Limits the rate of all datagrams.
            keys: Keys that sign and verify datagrams.
            rng: Random generator for all random choices.
            clock: Returns monotonic time in seconds.
            seeds: Addresses and gossip ports of members to join.
        """
        self._address = (local.address, local.gossip_port)
        self._members = members
        self._board = board
        self._clock = clock
        self._protocol = protocol_module.GossipProtocol(
            members=members,
            board=board,
            budget=budget,
            keys=keys,
            rng=rng,
            now=clock(),
            seeds=seeds,
        )
        self._protocol.on_pause(self._discard_after_pause)
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._unsubscribe: Callable[[], None] | None = None
        self._members_callbacks: list[Callable[[], None]] = []
        self._revision = members.revision
        self._last_tick_at = clock()
        self.discarded = 0
        self.send_errors = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes sent, including 28 bytes of headers per datagram."""
        return self._protocol.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes received, including 28 bytes of headers per datagram."""
        return self._protocol.received_bytes

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Registers a callback for pauses of this process.

        The callback receives the length of the pause in seconds. By then, the
        local member has a new incarnation and is `JOINING`, the board has
        withdrawn the entries of the local member, and waiting datagrams are
        discarded.
        """
        self._protocol.on_pause(callback)

    def on_members_changed(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of `Members.revision`."""
        self._members_callbacks.append(callback)

    async def async_open(self) -> None:
        """Binds the port, contacts the seeds and starts to probe members.

        Raises:
            OSError: The address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._socket = _bind(self._address)
        self._loop.add_reader(self._socket, self._handle_readable)
        self._unsubscribe = self._board.on_publish(self._handle_published_entry)
        self._last_tick_at = self._clock()
        self._tick()

    async def async_close(self) -> None:
        """Announces the departure if the member is leaving, then closes."""
        if self._socket is None:
            return
        self._protocol.announce_departure(self._clock())
        self._send_datagrams()
        for handle in (self._tick_timer, self._flush_timer):
            if handle is not None:
                handle.cancel()
        self._unsubscribe()
        self._protocol.close()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def discard_waiting(self) -> int:
        """Discards the datagrams that wait in the socket buffer.

        Returns:
            The number of discarded datagrams.
        """
        count = sum(1 for _ in iter(self._receive, None))
        self.discarded += count
        return count

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "address": self._address,
            "discarded": self.discarded,
            "send_errors": self.send_errors,
            **self._protocol.dump_state(),
        }

    def _tick(self) -> None:
        self._tick_timer = self._loop.call_later(
            membership_const.TICK_INTERVAL_S, self._tick
        )
        self._run_tick()

    def _run_tick(self) -> None:
        now = self._clock()
        self._last_tick_at = now
        self._protocol.tick(now)
        self._process_results()

    def _handle_readable(self) -> None:
        # After a pause the event loop handles sockets before timers. Running
        # the tick first detects the pause and discards the waiting datagrams.
        pause_s = self._clock() - self._last_tick_at
        if pause_s > membership_const.PAUSE_THRESHOLD_S:
            self._run_tick()
        for _ in range(const.MAX_RECEIVE_BATCH):
            received = self._receive()
            if received is None:
                break
            data, source = received
            self._protocol.receive(data, source[:2], self._clock())
        self._process_results()

    def _process_results(self) -> None:
        self._send_datagrams()
        self._schedule_flush()
        if self._members.revision != self._revision:
            self._revision = self._members.revision
            for callback in tuple(self._members_callbacks):
                callback()

    def _handle_published_entry(
        self, entry: board_module.Entry, urgent: bool
    ) -> None:
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._protocol.has_urgent and self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                const.URGENT_BATCH_DELAY_S, self._flush_urgent
            )

    def _flush_urgent(self) -> None:
        self._flush_timer = None
        self._protocol.flush_urgent(self._clock())
        self._process_results()

    def _discard_after_pause(self, pause_s: float) -> None:
        self.discard_waiting()

    def _receive(self) -> tuple[bytes, Any] | None:
        try:
            return self._socket.recvfrom(_RECEIVE_BUFFER_BYTES)
        except OSError:
            # Usually no datagram is waiting; the event loop reports later ones.
            return None

    def _send_datagrams(self) -> None:
        for datagram in self._protocol.drain():
            try:
                self._socket.sendto(datagram.data, datagram.destination)
            except OSError:
                # The send buffer is full or there is no route; the protocol
                # tolerates lost datagrams.
                self.send_errors += 1


def _bind(address: protocol_module.Address) -> socket.socket:
    is_v6 = ipaddress.ip_address(address[0]).version == 6
    family = socket.AF_INET6 if is_v6 else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    try:
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket
