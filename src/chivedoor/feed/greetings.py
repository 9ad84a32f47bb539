"""Datagrams between balancers: greetings and introductions."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import cast

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import messages
from chivedoor.feed import peers as peer_sets


class Greetings(asyncio.DatagramProtocol):
    """Greets the own domain and learns of others from seeds and peers.

    Attributes:
        malformed: Datagrams that could not be used.
    """

    def __init__(
        self,
        *,
        peers: peer_sets.Peers,
        port: int,
        make_greeting: Callable[[], peer_sets.Greeting],
        note_greeting: Callable[[peer_sets.Greeting], None],
        get_seeds: Callable[[], Sequence[str]],
        clock: Callable[[], float],
    ) -> None:
        """Creates greetings with a closed port.

        Args:
            peers: The balancers that are known.
            port: The port, the same on all VMs.
            make_greeting: Returns what this balancer tells the others.
            note_greeting: Called with each greeting that arrives.
            get_seeds: Returns addresses to ask for others.
            clock: Returns seconds.
        """
        self.malformed = 0
        self._peers = peers
        self._port = port
        self._make_greeting = make_greeting
        self._note_greeting = note_greeting
        self._get_seeds = get_seeds
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._next_ask_at = 0.0

    async def async_open(self, host: str) -> None:
        """Opens the port.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def async_run(self) -> None:
        """Greets until it is cancelled."""
        while True:
            self.greet()
            now = self._clock()
            if now >= self._next_ask_at:
                self._ask()
                alone = not self._peers.list_live(now)
                self._next_ask_at = now + (
                    const.INTRODUCTION_FAST_INTERVAL_S
                    if alone
                    else const.INTRODUCTION_INTERVAL_S
                )
                self._peers.expire(now)
            await asyncio.sleep(self._peers.get_interval_s())

    def greet(self) -> None:
        """Sends a greeting to the known peers of the domain."""
        data = messages.encode_message(self._make_greeting())
        for peer in self._peers.list_greeted():
            self._send(data, peer.host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Forgets the transport."""
        self._transport = None

    def error_received(self, error: OSError) -> None:
        """Ignores ports that refuse; the peer's silence tells as much."""

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handles a message; one that cannot be read is counted."""
        try:
            message = messages.decode_message(data)
        except exceptions.MalformedAnswerError:
            self.malformed += 1
            return
        match message:
            case peer_sets.Greeting():
                self._take_greeting(message, address[0])
            case messages.Ask():
                self._take_ask(message, address[0])
            case messages.Names():
                self._take_names(message)

    def _take_greeting(self, greeting: peer_sets.Greeting, host: str) -> None:
        if greeting.host != host:
            self.malformed += 1
            return
        new = self._peers.note_greeting(greeting, self._clock())
        self._note_greeting(greeting)
        if new and self._transport is not None:
            # A newcomer learns of this balancer before the next interval.
            data = messages.encode_message(self._make_greeting())
            self._send(data, greeting.host)

    def _take_ask(self, ask: messages.Ask, host: str) -> None:
        sender = ask.sender
        if sender.host != host:
            self.malformed += 1
            return
        known = (
            name
            for name in self._peers.list_names(sender.domain)
            if name.vm != sender.vm
        )
        names = messages.Names(names=(self._make_name(), *known))
        self._send(messages.encode_message(names), sender.host)
        self._peers.note_ask(sender, self._clock())

    def _take_names(self, names: messages.Names) -> None:
        now = self._clock()
        for name in names.names:
            self._peers.note_named(name, now)

    def _ask(self) -> None:
        sender = self._make_name()
        data = messages.encode_message(messages.Ask(sender=sender))
        introducer = self._peers.choose_introducer()
        hosts = {*self._get_seeds()} | (
            {introducer.host} if introducer is not None else set()
        )
        for host in hosts - {sender.host}:
            self._send(data, host)

    def _make_name(self) -> peer_sets.Name:
        own = self._make_greeting()
        return peer_sets.Name(
            vm=own.vm,
            domain=own.domain,
            host=own.host,
            bandwidth_mbps=own.bandwidth_mbps,
        )

    def _send(self, data: bytes, host: str) -> None:
        if self._transport is None or len(data) > const.MAX_GREETING_BYTES:
            return
        self._transport.sendto(data, (host, self._port))
