"""Process that runs the targets of a document."""

import asyncio
from collections.abc import Iterable
import dataclasses
import json
import pathlib
import random
import time
from typing import Annotated

from aiohttp import web
import cappa

from chivedoor.configuration import document as documents
from standins import administration
from standins import exceptions
from standins import host as hosts
from standins import ledger as ledgers
from standins import link
from standins import requests
from standins import target as target_module
from standins import ticker


class HealthServer:
    """Serves `GET /health` on the address of a target."""

    def __init__(self, *, target: target_module.Target):
        """Creates a server that does not listen yet."""
        self._target = target
        self._runner: web.AppRunner | None = None

    async def async_open(self) -> None:
        """Starts the server."""
        application = web.Application()
        application.router.add_get("/health", self._async_handle)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        address = (self._target.name, self._target.health_port)
        await web.TCPSite(self._runner, *address).start()

    async def async_close(self) -> None:
        """Stops the server."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _async_handle(self, request: web.Request) -> web.Response:
        if self._target.state is target_module.State.DEAD:
            request.transport.abort()
        report = self._target.report_health(time.monotonic())
        return web.json_response(report)


class TargetsProcess:
    """All targets of a document, with one socket per failure domain."""

    def __init__(
        self,
        *,
        document: documents.Document,
        fabric: link.Address,
        fabric_admin: link.Address,
        address: str,
        admin_address: link.Address,
        seed: int,
    ):
        """Creates the process without starting the targets."""
        self._document = document
        self._fabric = fabric
        self._fabric_admin = fabric_admin
        self._address = address
        self._generator = random.Random(seed)
        self._timers = hosts.Timers()
        self._ticker = ticker.Ticker(timers=self._timers)
        self._ledger = ledgers.Ledger()
        self._targets: dict[bytes, target_module.Target] = {}
        self._links: dict[str, link.Link] = {}
        self._health: dict[str, HealthServer] = {}
        self._administration = administration.Administration(
            address=admin_address,
            operations={
                "document": self._async_set_document,
                "faults": self._set_faults,
                "die": self._kill,
                "restart": self._restart,
                "cold": self._make_cold,
                "drain": self._drain,
                "statistics": self._report,
                "admissions": self._list_admissions,
                "runs": self._find_runs,
            },
        )

    async def async_open(self) -> None:
        """Starts the targets, then the administration interface."""
        await self._ticker.async_open()
        await self.async_apply_document(self._document)
        await self._administration.async_open()

    async def async_close(self) -> None:
        """Closes all sockets."""
        await self._administration.async_close()
        for server in self._health.values():
            await server.async_close()
        for opened in self._links.values():
            await opened.async_close()
        await self._ticker.async_close()

    async def async_apply_document(self, document: documents.Document) -> None:
        """Starts the new targets of a document and updates existing ones.

        A target whose address now belongs to another service is replaced.
        Targets that were removed keep running, because their flows may last.
        """
        for service in document.services.values():
            for endpoint in service.endpoints:
                await self._async_update_target(service, endpoint)
        await self._async_register()

    async def _async_update_target(
        self, service: documents.Service, endpoint: documents.Endpoint
    ) -> None:
        target = self._targets.get(endpoint.address)
        if target is not None and target.service.id == service.id:
            target.set_service(service)
            return
        if target is not None:
            target.kill(target_module.Death.SILENT)
            await self._async_close_health(target)
        if endpoint.domain not in self._links:
            await self._async_open_link(endpoint.domain)
        await self._async_start(service, endpoint)

    async def _async_close_health(self, target: target_module.Target) -> None:
        server = self._health.pop(target.name, None)
        if server is not None:
            await server.async_close()

    async def _async_open_link(self, domain: str) -> None:
        opened = link.Link(address=(self._address, 0), handle=self._handle)
        await opened.async_open()
        self._links[domain] = opened

    async def _async_start(
        self, service: documents.Service, endpoint: documents.Endpoint
    ) -> None:
        opened = self._links[endpoint.domain]
        target = target_module.Target(
            service=service,
            endpoint=endpoint,
            ledger=self._ledger,
            send=lambda data: opened.send(data, self._fabric),
            timers=self._timers,
            generator=self._generator,
        )
        self._targets[endpoint.address] = target
        if endpoint.health_port is not None:
            server = HealthServer(target=target)
            await server.async_open()
            self._health[target.name] = server

    async def _async_register(self) -> None:
        for domain, opened in self._links.items():
            names = [
                target.name
                for target in self._targets.values()
                if target.domain == domain
            ]
            await requests.async_request(
                self._fabric_admin,
                "hosts",
                {
                    "name": f"targets-{domain}",
                    "kind": "target",
                    "domain": domain,
                    "address": opened.address[0],
                    "port": opened.address[1],
                    "addresses": names,
                },
            )

    def _handle(self, data: bytes, _: link.Address) -> None:
        target = self._targets.get(data[16:20])
        if target is not None:
            target.handle_packet(data, time.monotonic())

    def _select(self, request: dict) -> Iterable[target_module.Target]:
        """Returns the targets selected by `targets` and `domain`, or all."""
        names = request.get("targets")
        domain = request.get("domain")
        selected = [
            target
            for target in self._targets.values()
            if (names is None or target.name in names)
            and (domain is None or target.domain == domain)
        ]
        if not selected:
            raise exceptions.PlanError("the request matches no target")
        return selected

    async def _async_set_document(self, request: dict) -> None:
        data = json.dumps(request["document"]).encode()
        await self.async_apply_document(documents.parse_document(data))

    def _set_faults(self, request: dict) -> None:
        for target in self._select(request):
            target.set_faults(request["faults"])

    def _kill(self, request: dict) -> None:
        death = target_module.Death(request.get("death", "silent"))
        for target in self._select(request):
            target.kill(death)

    def _restart(self, request: dict) -> None:
        for target in self._select(request):
            target.restart(time.monotonic(), request.get("cold_s", 0.0))

    def _make_cold(self, request: dict) -> None:
        for target in self._select(request):
            target.become_cold(time.monotonic(), request["cold_s"])

    def _drain(self, request: dict) -> None:
        for target in self._select(request):
            target.drain(request.get("draining", True))

    def _report(self, _: dict) -> dict:
        return {
            **self._ledger.dump_state(),
            "now": time.monotonic(),
            "targets": {
                target.name: target.dump_state()
                for target in self._targets.values()
            },
        }

    def _list_admissions(self, request: dict) -> list:
        return self._ledger.list_admissions(request["target"])

    def _find_runs(self, request: dict) -> dict:
        return {
            flow: runs
            for flow in request["flows"]
            if (runs := self._ledger.count_runs(flow))
        }


@cappa.command(name="python -m standins.targets")
@dataclasses.dataclass
class Command:
    """Runs all targets of a document."""

    document: pathlib.Path
    fabric: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7000"
    fabric_admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7001"
    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.3"
    admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.3:7002"
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Runs the targets until a signal is received."""
        process = TargetsProcess(
            document=documents.parse_document(self.document.read_bytes()),
            fabric=administration.parse_address(self.fabric),
            fabric_admin=administration.parse_address(self.fabric_admin),
            address=self.address,
            admin_address=administration.parse_address(self.admin),
            seed=self.seed,
        )
        asyncio.run(administration.async_serve(process))


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
