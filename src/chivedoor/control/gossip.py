"""UDP adapter of the gossip."""

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
from chivedoor.control import spreader as spreader_module
from chivedoor.membership import const as membership_const
from chivedoor.membership import members as members_module

# Any datagram of the gossip fits; a longer one fails the check of its tag.
_RECEIVE_BYTES = 2 * const.DATAGRAM_BYTES


class Gossip:
    """Spreads members and board entries over one UDP port."""

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
        seeds: Iterable[spreader_module.Address] = (),
    ):
        """Initializes the adapter; nothing is sent before `async_open`.

        Args:
            local: Supplies the address and the port to bind.
            members: All known members, including the local one.
            board: The entries to replicate.
            budget: Pays for all datagrams.
            keys: Sign and check datagrams.
            rng: Source of all random choices.
            clock: Monotonic seconds.
            seeds: Addresses and gossip ports of members to join.
        """
        self._address = (local.address, local.gossip_port)
        self._members = members
        self._board = board
        self._clock = clock
        self._spreader = spreader_module.Spreader(
            members=members,
            board=board,
            budget=budget,
            keys=keys,
            rng=rng,
            now=clock(),
            seeds=seeds,
        )
        self._spreader.on_pause(self._discard_after_pause)
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._flush: asyncio.TimerHandle | None = None
        self._unsubscribe: Callable[[], None] | None = None
        self._callbacks: list[Callable[[], None]] = []
        self._revision = members.revision
        self._ticked_at = clock()
        self.discarded = 0
        self.send_errors = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes sent, including 28 bytes of headers for each datagram."""
        return self._spreader.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes received, including 28 bytes of headers for each datagram."""
        return self._spreader.received_bytes

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Calls back with the length of a pause of this process in s.

        By then the local member has a new incarnation and is `JOINING`, the
        board has withdrawn its own entries, and waiting datagrams are
        discarded.
        """
        self._spreader.on_pause(callback)

    def on_members_changed(self, callback: Callable[[], None]) -> None:
        """Calls back after `Members.revision` changed."""
        self._callbacks.append(callback)

    async def async_open(self) -> None:
        """Binds the port, joins the seeds and starts to probe.

        Raises:
            OSError: The address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._socket = _bind(self._address)
        self._loop.add_reader(self._socket, self._read)
        self._unsubscribe = self._board.on_publish(self._note_published)
        self._ticked_at = self._clock()
        self._tick()

    async def async_close(self) -> None:
        """Says farewell if the local member is leaving; closes the port."""
        if self._socket is None:
            return
        self._spreader.farewell(self._clock())
        self._send()
        for handle in (self._timer, self._flush):
            if handle is not None:
                handle.cancel()
        self._unsubscribe()
        self._spreader.close()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def discard_waiting(self) -> int:
        """Discards the datagrams that wait in the socket.

        Returns:
            How many there were.
        """
        count = sum(1 for _ in iter(self._receive, None))
        self.discarded += count
        return count

    def dump_state(self) -> dict[str, Any]:
        """Returns plain values for the operators' dump."""
        return {
            "address": self._address,
            "discarded": self.discarded,
            "send_errors": self.send_errors,
            **self._spreader.dump_state(),
        }

    def _tick(self) -> None:
        self._timer = self._loop.call_later(
            membership_const.TICK_INTERVAL_S, self._tick
        )
        self._advance()

    def _advance(self) -> None:
        now = self._clock()
        self._ticked_at = now
        self._spreader.tick(now)
        self._finish()

    def _read(self) -> None:
        # After a pause the loop serves sockets before timers. The tick
        # notices the pause and discards what waits in the socket.
        late_s = self._clock() - self._ticked_at
        if late_s > membership_const.PAUSE_THRESHOLD_S:
            self._advance()
        for _ in range(const.RECEIVE_BATCH):
            received = self._receive()
            if received is None:
                break
            data, source = received
            self._spreader.receive(data, source[:2], self._clock())
        self._finish()

    def _finish(self) -> None:
        self._send()
        self._schedule_flush()
        if self._members.revision != self._revision:
            self._revision = self._members.revision
            for callback in tuple(self._callbacks):
                callback()

    def _note_published(self, entry: board_module.Entry, urgent: bool) -> None:
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._spreader.has_urgent and self._flush is None:
            self._flush = self._loop.call_later(
                const.URGENT_DELAY_S, self._flush_urgent
            )

    def _flush_urgent(self) -> None:
        self._flush = None
        self._spreader.flush_urgent(self._clock())
        self._finish()

    def _discard_after_pause(self, late_s: float) -> None:
        self.discard_waiting()

    def _receive(self) -> tuple[bytes, Any] | None:
        try:
            return self._socket.recvfrom(_RECEIVE_BYTES)
        except OSError:
            # Usually nothing is waiting; the loop reports what comes later.
            return None

    def _send(self) -> None:
        for datagram in self._spreader.drain():
            try:
                self._socket.sendto(datagram.data, datagram.destination)
            except OSError:
                # A full buffer or no route; the protocol tolerates loss.
                self.send_errors += 1


def _bind(address: spreader_module.Address) -> socket.socket:
    is_v6 = ipaddress.ip_address(address[0]).version == 6
    family = socket.AF_INET6 if is_v6 else socket.AF_INET
    endpoint = socket.socket(family, socket.SOCK_DGRAM)
    endpoint.setblocking(False)
    try:
        endpoint.bind(address)
    except OSError:
        endpoint.close()
        raise
    return endpoint
