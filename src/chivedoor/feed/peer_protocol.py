"""Datagrams between balancers: heartbeats, discovery and load reports."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import cast

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_exchange
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from chivedoor.feed import peers as peer_sets


class PeerProtocol(asyncio.DatagramProtocol):
    """Sends heartbeats and load reports, and discovers peers.

    Peers are discovered through the seeds and through known balancers.

    Attributes:
        malformed: Number of invalid datagrams.
    """

    def __init__(
        self,
        *,
        peers: peer_sets.Peers,
        exchange: load_exchange.LoadExchange,
        port: int,
        make_heartbeat: Callable[[], peer_sets.Heartbeat],
        on_heartbeat: Callable[[peer_sets.Heartbeat], None],
        get_seeds: Callable[[], Sequence[str]],
        is_congested: Callable[[], bool],
        count_report: Callable[[load_reports.Transmission], None],
        clock: Callable[[], float],
    ) -> None:
        """Creates a protocol with a closed port.

        Args:
            peers: The known balancers.
            exchange: Makes and records load reports.
            port: The port, the same on all VMs.
            make_heartbeat: Returns the current heartbeat of this balancer.
            on_heartbeat: Called with each received heartbeat.
            get_seeds: Returns the addresses of the seeds.
            is_congested: Returns whether load reports are needed more often.
            count_report: Called for each message with a load report.
            clock: Returns the current time in seconds.
        """
        self.malformed = 0
        self._peers = peers
        self._exchange = exchange
        self._port = port
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._get_seeds = get_seeds
        self._is_congested = is_congested
        self._count_report = count_report
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._next_request_at = 0.0

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
        """Sends heartbeats and discovery requests until cancelled."""
        while True:
            self.send_heartbeats()
            now = self._clock()
            self.send_load_reports(now)
            if now >= self._next_request_at:
                self._send_requests()
                alone = not self._peers.list_live(now)
                self._next_request_at = now + (
                    const.DISCOVERY_FAST_INTERVAL_S
                    if alone
                    else const.DISCOVERY_INTERVAL_S
                )
                self._peers.expire(now)
            await asyncio.sleep(
                self._peers.get_interval_s(congested=self._is_congested())
            )

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to peers of the domain."""
        data = messages.encode_message(self._make_heartbeat())
        for peer in self._peers.list_heartbeat_recipients():
            self._send(data, peer.host)

    def send_load_reports(self, now: float) -> None:
        """Sends the load reports that follow a heartbeat."""
        for data, host in self._exchange.list_messages(now):
            self._send_report(data, host, load_reports.Transmission.SENT)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Clears the transport."""
        self._transport = None

    def error_received(self, error: OSError) -> None:
        """Ignores send errors; missing heartbeats reveal failed peers."""

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handles a message; invalid messages are counted and ignored."""
        try:
            message = messages.decode_message(data)
        except exceptions.MalformedAnswerError:
            self.malformed += 1
            return
        match message:
            case peer_sets.Heartbeat():
                self._handle_heartbeat(message, address[0])
            case messages.DiscoveryRequest():
                self._handle_request(message, address[0])
            case messages.DiscoveryReply():
                self._handle_reply(message)
            case load_reports.LoadReport():
                self._handle_load_report(message, data, address[0])

    def _handle_heartbeat(
        self, heartbeat: peer_sets.Heartbeat, host: str
    ) -> None:
        if heartbeat.host != host:
            self.malformed += 1
            return
        new = self._peers.record_heartbeat(heartbeat, self._clock())
        self._on_heartbeat(heartbeat)
        if new and self._transport is not None:
            # Lets a new peer know this balancer before the next interval.
            data = messages.encode_message(self._make_heartbeat())
            self._send(data, heartbeat.host)
            answer = self._exchange.make_answer(
                heartbeat.vm, heartbeat.domain, self._clock()
            )
            if answer is not None:
                self._send_report(
                    answer, heartbeat.host, load_reports.Transmission.SENT
                )

    def _handle_load_report(
        self, report: load_reports.LoadReport, data: bytes, sender: str
    ) -> None:
        try:
            hosts = self._exchange.record(report, sender, self._clock())
        except exceptions.MalformedAnswerError:
            self.malformed += 1
            self._count_report(load_reports.Transmission.REJECTED)
            return
        self._count_report(load_reports.Transmission.RECEIVED)
        for host in hosts:
            self._send_report(data, host, load_reports.Transmission.FORWARDED)

    def _handle_request(
        self, request: messages.DiscoveryRequest, host: str
    ) -> None:
        sender = request.sender
        if sender.host != host:
            self.malformed += 1
            return
        known = (
            address
            for address in self._peers.list_addresses(sender.domain)
            if address.vm != sender.vm
        )
        reply = messages.DiscoveryReply(peers=(self._make_address(), *known))
        self._send(messages.encode_message(reply), sender.host)
        self._peers.record_request(sender, self._clock())

    def _handle_reply(self, reply: messages.DiscoveryReply) -> None:
        now = self._clock()
        for address in reply.peers:
            self._peers.record_advertised(address, now)

    def _send_requests(self) -> None:
        sender = self._make_address()
        data = messages.encode_message(messages.DiscoveryRequest(sender=sender))
        discovery_peer = self._peers.choose_discovery_peer()
        hosts = {*self._get_seeds()} | (
            {discovery_peer.host} if discovery_peer is not None else set()
        )
        for host in hosts - {sender.host}:
            self._send(data, host)

    def _make_address(self) -> peer_sets.PeerAddress:
        own = self._make_heartbeat()
        return peer_sets.PeerAddress(
            vm=own.vm,
            domain=own.domain,
            host=own.host,
            bandwidth_mbps=own.bandwidth_mbps,
        )

    def _send_report(
        self, data: bytes, host: str, transmission: load_reports.Transmission
    ) -> None:
        """Sends a load report and counts it."""
        if self._transport is None:
            return
        fits = len(data) <= const.MAX_MESSAGE_BYTES
        self._count_report(
            transmission if fits else load_reports.Transmission.TOO_LARGE
        )
        self._send(data, host)

    def _send(self, data: bytes, host: str) -> None:
        if self._transport is None or len(data) > const.MAX_MESSAGE_BYTES:
            return
        self._transport.sendto(data, (host, self._port))
