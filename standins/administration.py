"""JSON administration interface of the stand-in processes."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import inspect
import signal
from typing import Any
from typing import Protocol

from aiohttp import web

from standins import exceptions
from standins import link

_REQUEST_ERRORS = (exceptions.StandinError, KeyError, ValueError, OSError)

Operation = Callable[[dict], Any]


class Administration:
    """Serves operations as `POST /NAME`, or `GET /NAME` without arguments.

    An operation gets the JSON object of the request (empty for GET) and
    returns a JSON-serializable value or an awaitable of one. A `StandinError`,
    a missing key, an invalid value or an `OSError` becomes status 400 with the
    error.
    """

    def __init__(
        self, *, address: link.Address, operations: Mapping[str, Operation]
    ):
        """Creates the interface without starting the server."""
        self.address = address
        self._operations = operations
        self._runner: web.AppRunner | None = None

    async def async_open(self) -> None:
        """Starts the server."""
        application = web.Application(client_max_size=8 * 1024 * 1024)
        application.router.add_route("*", "/{name}", self._async_handle)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self.address).start()
        self.address = self._runner.addresses[0]

    async def async_close(self) -> None:
        """Stops the server."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _async_handle(self, request: web.Request) -> web.Response:
        operation = self._operations.get(request.match_info["name"])
        if operation is None:
            raise web.HTTPNotFound
        arguments = await request.json() if request.can_read_body else {}
        try:
            result = operation(arguments)
            if inspect.isawaitable(result):
                result = await result
        except _REQUEST_ERRORS as error:
            return web.json_response({"error": repr(error)}, status=400)
        return web.json_response(result)


class ManagedProcess(Protocol):
    """A process with asynchronous setup and cleanup."""

    async def async_open(self) -> None:
        """Sets up the process."""

    async def async_close(self) -> None:
        """Cleans up the process, also after a failed setup."""


async def async_serve(process: ManagedProcess) -> None:
    """Runs a process until it receives SIGTERM or SIGINT."""
    try:
        await process.async_open()
        await async_wait_for_signal()
    finally:
        await process.async_close()


async def async_wait_for_signal() -> None:
    """Waits until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def parse_address(text: str) -> link.Address:
    """Parses `ADDRESS:PORT`.

    Raises:
        ValueError: The text has no valid port.
    """
    address, _, port = text.rpartition(":")
    return address, int(port)
