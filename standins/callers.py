"""The process that opens flows through the fabric."""

import argparse
import asyncio
import ipaddress
import json
import pathlib
import random
import time

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
    """A caller with its socket and its administration interface."""

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
            },
        )

    async def async_open(self) -> None:
        """Opens the sockets and registers the caller with the fabric."""
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
        """Starts loads given in JSON form.

        Raises:
            PlanError: A load has unknown fields or names no known port.
        """
        for fields in loads:
            try:
                load = caller_module.Load(**fields)
            except TypeError as error:
                raise exceptions.PlanError(str(error)) from error
            self.caller.start(load, time.monotonic())

    async def async_finish(self, grace_s: float) -> None:
        """Stops opening flows and waits until the open ones have ended."""
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


async def async_run(arguments: argparse.Namespace) -> None:
    """Runs a plan for a given time, or until a signal arrives."""
    first = ipaddress.IPv4Address(arguments.inner)
    process = CallersProcess(
        name=arguments.name,
        fabric=administration.parse_address(arguments.fabric),
        fabric_admin=administration.parse_address(arguments.fabric_admin),
        address=arguments.address,
        admin_address=administration.parse_address(arguments.admin),
        inner_addresses=[first + n for n in range(arguments.addresses)],
        domain=arguments.domain,
        seed=arguments.seed,
    )
    data = pathlib.Path(arguments.document).read_bytes()
    process.caller.set_document(documents.parse_document(data))
    await process.async_open()
    try:
        if arguments.plan:
            plan = pathlib.Path(arguments.plan).read_text()
            process.start_loads(json.loads(plan))
        if arguments.seconds is None:
            await administration.async_wait_for_signal()
        else:
            await asyncio.sleep(arguments.seconds)
            await process.async_finish(arguments.grace_s)
        print(json.dumps(process.caller.dump_state()), flush=True)
    finally:
        await process.async_close()


def main() -> None:
    """Runs the process from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("document")
    parser.add_argument("--name", default="caller")
    parser.add_argument("--fabric", default="127.0.0.2:7000")
    parser.add_argument("--fabric-admin", default="127.0.0.2:7001")
    parser.add_argument("--address", default="127.0.0.4")
    parser.add_argument("--admin", default="127.0.0.4:7003")
    parser.add_argument("--inner", default="127.2.0.1")
    parser.add_argument("--addresses", type=int, default=16)
    parser.add_argument("--domain", default="clients")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plan", help="file with a JSON list of loads")
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--grace-s", type=float, default=30.0)
    asyncio.run(async_run(parser.parse_args()))


if __name__ == "__main__":
    main()
