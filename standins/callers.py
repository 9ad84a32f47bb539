"""Process that opens flows through the fabric."""

import asyncio
import dataclasses
import ipaddress
import json
import pathlib
import random
import time
from typing import Annotated

import cappa

from chivedoor.configuration import document as documents
from standins import administration
from standins import caller as caller_module
from standins import exceptions
from standins import host as hosts
from standins import link
from standins import requests
from standins import ticker

_FLUSH_POLL_S = 0.2


class CallersProcess:
    """A caller with its socket and administration interface."""

    def __init__(
        self,
        *,
        name: str,
        fabric: link.Address,
        fabric_admin: link.Address,
        address: str,
        admin_address: link.Address,
        inner_addresses: list[ipaddress.IPv4Address],
        domain: str,
        seed: int,
    ):
        """Creates the process without opening its sockets."""
        self._name = name
        self._domain = domain
        self._fabric_admin = fabric_admin
        self._inner_addresses = inner_addresses
        timers = hosts.Timers()
        self._ticker = ticker.Ticker(timers=timers)
        self._link = link.Link(address=(address, 0), handle=self._handle)
        self.caller = caller_module.Caller(
            name=f"{name}-{seed}",
            addresses=[inner.packed for inner in inner_addresses],
            send=lambda data: self._link.send(data, fabric),
            timers=timers,
            generator=random.Random(seed),
        )
        self._administration = administration.Administration(
            address=admin_address,
            operations={
                "start": self._start,
                "stop": lambda _: self.caller.stop(),
                "document": self._set_document,
                "statistics": self._report,
                "open": lambda _: self.caller.results.dump_counts(),
            },
        )

    async def async_open(self) -> None:
        """Opens the sockets and registers the caller at the fabric."""
        await self._link.async_open()
        await self._ticker.async_open()
        await requests.async_request(
            self._fabric_admin,
            "hosts",
            {
                "name": self._name,
                "kind": "caller",
                "domain": self._domain,
                "address": self._link.address[0],
                "port": self._link.address[1],
                "addresses": [str(inner) for inner in self._inner_addresses],
            },
        )
        await self._administration.async_open()

    async def async_close(self) -> None:
        """Closes the sockets."""
        await self._administration.async_close()
        await self._ticker.async_close()
        await self._link.async_close()

    def start_loads(self, loads: list[dict]) -> None:
        """Starts loads in JSON form.

        Raises:
            PlanError: A load has unknown fields or an unknown port.
        """
        for fields in loads:
            try:
                load = caller_module.Load(**fields)
            except TypeError as error:
                raise exceptions.PlanError(str(error)) from error
            self.caller.start(load, time.monotonic())

    async def async_finish(self, grace_s: float) -> None:
        """Stops opening flows and waits up to `grace_s` for the open ones."""
        self.caller.stop()
        end = time.monotonic() + grace_s
        while self.caller.results.open_flows and time.monotonic() < end:
            await asyncio.sleep(_FLUSH_POLL_S)

    def _handle(self, data: bytes, _: link.Address) -> None:
        self.caller.handle_packet(data, time.monotonic())

    def _start(self, request: dict) -> None:
        self.start_loads(request["loads"])

    def _set_document(self, request: dict) -> None:
        data = json.dumps(request["document"]).encode()
        self.caller.set_document(documents.parse_document(data))

    def _report(self, _: dict) -> dict:
        return {**self.caller.dump_state(), "now": time.monotonic()}


@cappa.command(name="python -m standins.callers")
@dataclasses.dataclass
class Command:
    """Opens flows to the services of a document.

    Prints the results as JSON at the end.
    """

    document: pathlib.Path
    name: Annotated[str, cappa.Arg(long=True)] = "caller"
    fabric: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7000"
    fabric_admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7001"
    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.4"
    admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.4:7003"
    inner: Annotated[str, cappa.Arg(long=True)] = "127.2.0.1"
    addresses: Annotated[int, cappa.Arg(long=True)] = 16
    domain: Annotated[str, cappa.Arg(long=True)] = "clients"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    plan: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="File with a JSON list of loads."),
    ] = None
    seconds: Annotated[
        float | None,
        cappa.Arg(
            long=True, help="Seconds after which no new flows are opened."
        ),
    ] = None
    grace_s: Annotated[float, cappa.Arg(long=True)] = 30.0

    def __call__(self) -> None:
        """Runs the process."""
        asyncio.run(self.async_run())

    async def async_run(self) -> None:
        """Runs a plan for a given time, or until a signal is received."""
        process = self._build_process()
        document = documents.parse_document(self.document.read_bytes())
        process.caller.set_document(document)
        await process.async_open()
        try:
            if self.plan is not None:
                process.start_loads(json.loads(self.plan.read_text()))
            if self.seconds is None:
                await administration.async_wait_for_signal()
            else:
                await asyncio.sleep(self.seconds)
                await process.async_finish(self.grace_s)
            print(json.dumps(process.caller.dump_state()), flush=True)
        finally:
            await process.async_close()

    def _build_process(self) -> CallersProcess:
        first = ipaddress.IPv4Address(self.inner)
        return CallersProcess(
            name=self.name,
            fabric=administration.parse_address(self.fabric),
            fabric_admin=administration.parse_address(self.fabric_admin),
            address=self.address,
            admin_address=administration.parse_address(self.admin),
            inner_addresses=[first + n for n in range(self.addresses)],
            domain=self.domain,
            seed=self.seed,
        )


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
