"""Stand-in for the platform's service for documents and the VM list."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import json
import math
import pathlib
import signal
from typing import Annotated
from typing import Any
from typing import Final

from aiohttp import web
import cappa

# Size limit of values in the platform's service.
MAX_VALUE_BYTES: Final = 1_000_000

# Longer waits would exceed the idle timeouts of common HTTP proxies.
MAX_WAIT_S: Final = 300.0

# Waiting requests delay the end of a test by this time.
SHUTDOWN_TIMEOUT_S: Final = 0.1

# Number of documents that remain available for the fault `stale_version`.
MAX_HISTORY: Final = 64

VERSION_HEADER: Final = "X-Version"


class DownMode(enum.Enum):
    """Failure mode of the service while it is down."""

    UNAVAILABLE = "unavailable"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults of the service; by default there are none.

    Attributes:
        down: Failure mode; None while the service is up.
        stale_version: Highest version that is served; None for the newest.
        delays_s: Delay of answers by client IP address, in seconds.
    """

    down: DownMode | None = None
    stale_version: int | None = None
    delays_s: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """A document and the version that is reported for it."""

    version: int
    data: bytes


class PublicationError(Exception):
    """A value cannot be published."""


class PlatformStandIn:
    """HTTP server with the platform's protocol and configurable faults.

    Attributes:
        address: Address to listen on.
        port: Port to listen on; `async_open` replaces 0 with the actual port.
        reads: Number of answered requests by path, status and client address.
        waiting: Number of requests that wait for a newer version.
    """

    def __init__(self, *, address: str = "127.0.0.1", port: int = 0) -> None:
        self.address = address
        self.port = port
        self.reads: collections.Counter[tuple[str, int, str]] = (
            collections.Counter()
        )
        self.waiting = 0
        self._faults = Faults()
        self._history: collections.deque[Publication] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._vms: tuple[dict[str, Any], ...] = ()
        self._timers: set[asyncio.TimerHandle] = set()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """URL of the service."""
        return f"http://{self.address}:{self.port}"

    async def async_open(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address and port cannot be bound.
        """
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES,
            middlewares=[self._async_apply_faults],
        )
        app.router.add_get("/document", self._async_get_document)
        app.router.add_get("/vms", self._async_get_vms)
        app.router.add_put("/admin/document", self._async_put_document)
        app.router.add_put("/admin/vms", self._async_put_vms)
        app.router.add_put("/admin/fault", self._async_put_fault)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def async_close(self) -> None:
        """Stops listening and cancels all waiting requests."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def publish(self, data: bytes, *, version: int | None = None) -> int:
        """Publishes a document.

        Args:
            data: Document, which may be invalid to test its rejection.
            version: Reported version; by default the one in the document.

        Returns:
            The reported version.

        Raises:
            PublicationError: The value is too large or has no version.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise PublicationError(
                f"document of {len(data)} bytes is too large"
            )
        if version is None:
            version = _read_version(data)
        self._history.append(Publication(version=version, data=bytes(data)))
        self._notify_watchers()
        return version

    def set_vms(
        self, vms: Sequence[Mapping[str, str]], *, lag_s: float = 0.0
    ) -> None:
        """Replaces the list of VMs.

        Args:
            vms: Entries with `id`, `domain` and `state`.
            lag_s: Delay until the list is served, in seconds; requires a
                running event loop unless it is 0.
        """
        entries = tuple(dict(vm) for vm in vms)
        if lag_s <= 0:
            self._vms = entries
            return
        self._call_later(lag_s, lambda: self._replace_vms(entries))

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults; waiting requests are affected immediately."""
        self._faults = faults
        self._notify_watchers()

    def get_newest(self) -> Publication | None:
        """Returns the document that is served; None when there is none."""
        limit = self._faults.stale_version
        visible = [
            publication
            for publication in self._history
            if limit is None or publication.version <= limit
        ]
        return visible[-1] if visible else None

    def _replace_vms(self, entries: tuple[dict[str, Any], ...]) -> None:
        self._vms = entries

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        def run() -> None:
            self._timers.discard(timer)
            action()

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self._timers.add(timer)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _async_apply_faults(
        self, request: web.Request, handler: Callable[..., Any]
    ) -> web.StreamResponse:
        if request.path.startswith("/admin/"):
            return await handler(request)
        self._fail_when_down(request)
        response = await handler(request)
        await asyncio.sleep(self._faults.delays_s.get(request.remote or "", 0))
        self._fail_when_down(request)
        self._count(request, response.status)
        return response

    def _fail_when_down(self, request: web.Request) -> None:
        if self._faults.down is None:
            return
        if self._faults.down is DownMode.CLOSE and request.transport:
            request.transport.abort()
        self._count(request, web.HTTPServiceUnavailable.status_code)
        raise web.HTTPServiceUnavailable

    def _count(self, request: web.Request, status: int) -> None:
        self.reads[request.path, status, request.remote or ""] += 1

    async def _async_get_document(self, request: web.Request) -> web.Response:
        after = _read_parameter(request, "after", int)
        wait_s = min(_read_parameter(request, "wait", float), MAX_WAIT_S)
        newest = await self._async_wait_after(after, wait_s)
        if newest is None and "after" not in request.query:
            raise web.HTTPNotFound(text="no document\n")
        headers = {VERSION_HEADER: str(newest.version if newest else 0)}
        if "after" in request.query and (not newest or newest.version <= after):
            return web.Response(status=304, headers=headers)
        return web.Response(
            body=newest.data, headers=headers, content_type="application/json"
        )

    async def _async_wait_after(
        self, after: int, wait_s: float
    ) -> Publication | None:
        self.waiting += 1
        try:
            async with asyncio.timeout(wait_s):
                while not self._has_newer(after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self.waiting -= 1
        return self.get_newest()

    def _has_newer(self, after: int) -> bool:
        newest = self.get_newest()
        is_newer = newest is not None and newest.version > after
        return is_newer or self._faults.down is not None

    async def _async_get_vms(self, request: web.Request) -> web.Response:
        return web.json_response({"vms": list(self._vms)})

    async def _async_put_document(self, request: web.Request) -> web.Response:
        version = _read_parameter(request, "version", int) or None
        try:
            version = self.publish(await request.read(), version=version)
        except PublicationError as error:
            raise web.HTTPBadRequest(text=f"{error}\n") from error
        return web.json_response({"version": version})

    async def _async_put_vms(self, request: web.Request) -> web.Response:
        value = await _async_read_object(request)
        try:
            self.set_vms(value["vms"], lag_s=float(value.get("lag_s", 0)))
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text="not a list of VMs\n") from error
        return web.json_response({})

    async def _async_put_fault(self, request: web.Request) -> web.Response:
        value = await _async_read_object(request)
        try:
            self.set_faults(_read_faults(value))
        except (TypeError, ValueError, AttributeError) as error:
            raise web.HTTPBadRequest(text=f"{error}\n") from error
        return web.json_response({})


def _read_version(data: bytes) -> int:
    try:
        version = json.loads(data)["version"]
    except (ValueError, KeyError, TypeError) as error:
        raise PublicationError("the document has no version") from error
    if type(version) is not int:
        raise PublicationError("the version is not an integer")
    return version


def _read_parameter(
    request: web.Request, name: str, convert: Callable[[str], Any]
) -> Any:
    try:
        value = convert(request.query.get(name, "0"))
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name} is not a number\n") from error
    if not 0 <= value < math.inf:
        raise web.HTTPBadRequest(text=f"{name} is out of range\n")
    return value


async def _async_read_object(request: web.Request) -> dict[str, Any]:
    try:
        value = json.loads(await request.read())
    except ValueError as error:
        raise web.HTTPBadRequest(text="not JSON\n") from error
    if not isinstance(value, dict):
        raise web.HTTPBadRequest(text="not an object\n")
    return value


def _read_faults(value: dict[str, Any]) -> Faults:
    down = value.pop("down", None)
    stale_version = value.pop("stale_version", None)
    delays_s = value.pop("delays_s", {})
    if value:
        raise ValueError(f"unknown fields: {', '.join(value)}")
    return Faults(
        down=None if down is None else DownMode(down),
        stale_version=None if stale_version is None else int(stale_version),
        delays_s={str(key): float(delay) for key, delay in delays_s.items()},
    )


@dataclasses.dataclass
class Command:
    """Serves documents and the VM list until SIGTERM or SIGINT."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 8500
    document: Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Runs the stand-in."""
        asyncio.run(self.async_run())

    async def async_run(self) -> None:
        """Serves until a signal is received."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        standin = PlatformStandIn(address=self.address, port=self.port)
        if self.document is not None:
            standin.publish(self.document.read_bytes())
        await standin.async_open()
        print(f"platform stand-in listens on {standin.url}", flush=True)
        try:
            await stopped.wait()
        finally:
            await standin.async_close()


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
