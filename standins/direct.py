"""Naive balancer for comparison: a flow hash modulo the live targets.

It keeps a local flow table and has no peers. A flow breaks when the targets
change and its packets then reach another balancer.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import socket
import time

import aiohttp
from aiohttp import web
import cappa
import xxhash

from chivedoor.configuration import document as documents
from chivedoor.configuration import settings as settings_module
from chivedoor.dataplane import exceptions as dataplane_exceptions
from chivedoor.dataplane import packet as packets
from chivedoor.dataplane import port as ports
from chivedoor.dataplane import refusal
from chivedoor.dataplane import rewrite
from standins import administration

_HEALTH_INTERVAL_S = 1.0
_HEALTH_TIMEOUT_S = 0.5
_FAILED_CHECKS_UNTIL_DEAD = 2
_RETRY_INTERVAL_S = 0.5
_WATCH_S = 10

Key = tuple[bytes, int, int]


class DirectBalancer:
    """Chooses the targets of packets; does no I/O."""

    def __init__(self, *, max_flows: int):
        """Creates a balancer without a configuration document."""
        self.drops: collections.Counter = collections.Counter()
        self._max_flows = max_flows
        self._flows: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._ports: dict[
            Key, tuple[documents.Service, documents.ServicePort]
        ] = {}
        self._sources: dict[Key, tuple[bytes, int]] = {}
        self._endpoints: dict[str, list[documents.Endpoint]] = {}
        self._dead: set[bytes] = set()
        self._document: documents.Document | None = None

    @property
    def flow_count(self) -> int:
        """Number of flows in the local table."""
        return len(self._flows)

    def set_document(self, document: documents.Document) -> None:
        """Applies a document immediately."""
        self._document = document
        self._ports = {
            (address, port.port, port.protocol): (service, port)
            for service in document.services.values()
            for port in service.ports
            for address in service.addresses
        }
        self._sources = {
            (endpoint.address, port.target_port, port.protocol): (
                service.addresses[0],
                port.port,
            )
            for service in document.services.values()
            for port in service.ports
            for endpoint in service.endpoints
        }
        self._update_live_endpoints()

    def set_dead(self, dead: set[bytes]) -> None:
        """Sets the addresses of targets that failed their health checks."""
        self._dead = dead
        self._update_live_endpoints()

    def _update_live_endpoints(self) -> None:
        if self._document is None:
            return
        domains = self._document.domains
        self._endpoints = {
            service.id: [
                endpoint
                for endpoint in service.endpoints
                if endpoint.state is documents.EndpointState.ACTIVE
                and not domains[endpoint.domain].out
                and endpoint.address not in self._dead
            ]
            for service in self._document.services.values()
        }

    def handle_packet(self, data: bytes | memoryview) -> bytes | None:
        """Handles a packet; returns the one to send to the fabric, if any."""
        try:
            packet = packets.parse_packet(data)
            return self._handle(packet)
        except dataplane_exceptions.PacketError as error:
            self.drops[error.reason.value] += 1
            return None

    def _handle(self, packet: packets.Packet) -> bytes | None:
        source = (packet.source, packet.source_port, packet.protocol)
        service_address = self._sources.get(source)
        if service_address is not None:
            rewrite.rewrite_source(packet, *service_address)
            rewrite.decrement_ttl(packet)
            return bytes(packet.buffer)
        key = (packet.destination, packet.destination_port, packet.protocol)
        found = self._ports.get(key)
        if found is None:
            self.drops["no_service"] += 1
            return None
        service, port = found
        address = self._choose(packet, service)
        if address is None:
            return self._refuse(packet)
        rewrite.rewrite_destination(packet, address, port.target_port)
        rewrite.decrement_ttl(packet)
        return bytes(packet.buffer)

    def _choose(
        self, packet: packets.Packet, service: documents.Service
    ) -> bytes | None:
        flow = bytes(packet.buffer[12:24]) + bytes([packet.protocol])
        address = self._flows.get(flow)
        if address is not None and not packet.is_syn:
            self._flows.move_to_end(flow)
            return address
        live = self._endpoints[service.id]
        if not live:
            return None
        address = live[xxhash.xxh3_64_intdigest(flow) % len(live)].address
        self._flows[flow] = address
        if len(self._flows) > self._max_flows:
            self._flows.popitem(last=False)
        return address

    def _refuse(self, packet: packets.Packet) -> bytes | None:
        self.drops["refused"] += 1
        if packet.is_syn:
            return refusal.build_reset(packet)
        if packet.protocol == documents.Protocol.UDP:
            return refusal.build_unreachable(
                packet, refusal.UnreachableCode.PORT
            )
        return None


class DirectProcess:
    """Naive balancer with sockets, document updates and health checks."""

    def __init__(self, *, settings: settings_module.Settings):
        """Creates the process without opening sockets."""
        self._settings = settings
        self._document: documents.Document | None = None
        self._loaded = asyncio.Event()
        self._balancer = DirectBalancer(max_flows=settings.limits.max_flows)
        self._failures: collections.Counter = collections.Counter()
        self._fabric = (settings.fabric.address, settings.fabric.port)
        self._port = ports.PacketPort(
            address=settings.vm.address,
            port=settings.vm.packet_port,
            handle_batch=self._handle_batch,
        )
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task] = []

    async def async_open(self) -> None:
        """Loads the first document and opens the sockets."""
        watch = asyncio.create_task(self._async_watch_document())
        self._tasks = [watch]
        await self._loaded.wait()
        await self._port.async_open()
        health = asyncio.create_task(self._async_watch_health())
        self._tasks.append(health)
        application = web.Application()
        application.router.add_get("/metrics", self._async_report)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        address = self._settings.vm.address
        port = self._settings.vm.metrics_port
        await web.TCPSite(self._runner, address, port).start()

    async def async_close(self) -> None:
        """Stops all tasks and closes the sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        await self._port.async_close()

    def _handle_batch(self, batch: list[memoryview]) -> None:
        for data in batch:
            packet = self._balancer.handle_packet(data)
            if packet is not None:
                self._port.send(packet, self._fabric)

    async def _async_watch_document(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    await self._async_fetch_document(session)
                except (aiohttp.ClientError, TimeoutError):
                    await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _async_fetch_document(
        self, session: aiohttp.ClientSession
    ) -> None:
        version = self._document.version if self._document else 0
        url = f"{self._settings.platform.url}/document"
        parameters = {"after": version, "wait": _WATCH_S}
        async with session.get(url, params=parameters) as response:
            if response.status == 304:
                return
            response.raise_for_status()
            data = await response.read()
        self._document = documents.parse_document(data)
        self._balancer.set_document(self._document)
        self._loaded.set()

    async def _async_watch_health(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._async_check_all(session)
                await asyncio.sleep(_HEALTH_INTERVAL_S)

    async def _async_check_all(self, session: aiohttp.ClientSession) -> None:
        endpoints = [
            endpoint
            for service in self._document.services.values()
            for endpoint in service.endpoints
            if endpoint.health_port is not None
        ]
        checks = [self._async_check(session, e) for e in endpoints]
        await asyncio.gather(*checks)
        dead = {
            address
            for address, failures in self._failures.items()
            if failures >= _FAILED_CHECKS_UNTIL_DEAD
        }
        self._balancer.set_dead(dead)

    async def _async_check(
        self, session: aiohttp.ClientSession, endpoint: documents.Endpoint
    ) -> None:
        host = socket.inet_ntoa(endpoint.address)
        url = f"http://{host}:{endpoint.health_port}/health"
        self._failures[endpoint.address] += 1
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url) as response:
                if response.status == 200:
                    self._failures[endpoint.address] = 0

    async def _async_report(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "flows": self._balancer.flow_count,
                "drops": dict(self._balancer.drops),
                "received": self._port.counters.received,
                "sent": self._port.counters.sent,
                "now": time.monotonic(),
            }
        )


@cappa.command(name="python -m standins.direct")
@dataclasses.dataclass
class Command:
    """Runs the naive balancer with a settings file of chivedoord."""

    settings: pathlib.Path

    def __call__(self) -> None:
        """Runs the balancer until a signal is received."""
        settings = settings_module.load_settings(self.settings)
        process = DirectProcess(settings=settings)
        asyncio.run(administration.async_serve(process))


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
