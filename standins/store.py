"""Stand-in for the platform's store: range, watch and configurable faults.

It can be restored from an older copy of itself: later changes are lost, their
revisions are given out again, and the era in the header of all responses rises.
"""

import asyncio
import base64
import contextlib
import dataclasses
import enum
import json
from typing import Final

from aiohttp import web

# The store returns at most about 500 items per page.
PAGE_ITEMS: Final = 500
SHUTDOWN_TIMEOUT_S: Final = 0.1
ERA_HEADER: Final = "Store-Era"
_TRICKLE_INTERVAL_S: Final = 0.05


class StoreFault(enum.Enum):
    """Failure mode of calls to the store."""

    BUSY = "busy"
    MANY = "many"
    CLOSE = "close"
    SILENT = "silent"
    BROKEN_BODY = "broken-body"
    CUT_BODY = "cut-body"
    ENDLESS_BODY = "endless-body"
    STALLED_BODY = "stalled-body"
    TRICKLING_BODY = "trickling-body"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Change:
    key: str
    value: bytes | None
    revision: int
    created: int
    # As JSON. Large values are part of many responses.
    encoded: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.encoded = json.dumps(_encode(self))


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """State of the store at one time.

    Attributes:
        items: The latest change of each key that exists, by key.
        history: The changes, oldest first.
        revision: The revision of the last change.
        oldest: The revision after which the history is complete.
    """

    items: dict[str, _Change]
    history: tuple[_Change, ...]
    revision: int
    oldest: int


class StoreStandIn:
    """HTTP server with the store's protocol.

    Attributes:
        port: Port, set by `async_open`.
        fault: Failure mode of calls; None while the store is up.
        calls: Kinds of all calls in order, `range` or `watch`.
        page_items: Maximum number of items per page.
        era: Number of restorations; None for a store that names no era.
    """

    def __init__(self) -> None:
        self.port = 0
        self.fault: StoreFault | None = None
        self.calls: list[str] = []
        self.page_items = PAGE_ITEMS
        self.era: int | None = 1
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._revision = 1
        self._oldest = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def async_open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts listening."""
        app = web.Application()
        app.router.add_get("/v1/kv-range", self._async_get_range)
        app.router.add_get("/v1/kv-watch", self._async_get_watch)
        app.on_response_prepare.append(self._async_add_era)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.port = self._runner.addresses[0][1]

    async def async_close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def put(self, key: str, value: object) -> int:
        """Writes a value, as JSON unless it is bytes; returns its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        previous = self._items.get(key)
        self._revision += 1
        change = _Change(
            key=key,
            value=data,
            revision=self._revision,
            created=previous.created if previous else self._revision,
        )
        self._items[key] = change
        self._append(change)
        return self._revision

    def has(self, key: str) -> bool:
        """Returns whether a key exists."""
        return key in self._items

    def remove(self, key: str) -> int:
        """Removes a key; returns the revision of the removal."""
        del self._items[key]
        self._revision += 1
        self._append(
            _Change(key=key, value=None, revision=self._revision, created=0)
        )
        return self._revision

    def forget_history(self) -> None:
        """Discards the change history, so that watchers must read all items."""
        self._history.clear()
        self._oldest = self._revision
        self._notify_watchers()

    def make_copy(self) -> StoreCopy:
        """Returns a copy of the current state."""
        return StoreCopy(
            items=dict(self._items),
            history=tuple(self._history),
            revision=self._revision,
            oldest=self._oldest,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the state by that of a copy and begins the next era."""
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._oldest = copy.oldest
        self.era = (self.era or 0) + 1
        self._notify_watchers()

    async def _async_add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)

    def _append(self, change: _Change) -> None:
        self._history.append(change)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_get_range(
        self, request: web.Request
    ) -> web.StreamResponse:
        self.calls.append("range")
        fault_response = await self._async_apply_fault(request)
        if fault_response is not None:
            return fault_response
        after = request.query.get("after", "")
        prefix = request.query["prefix"]
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        return self._make_response(
            "items",
            [self._items[key] for key in page],
            has_more=len(keys) > len(page),
        )

    async def _async_get_watch(
        self, request: web.Request
    ) -> web.StreamResponse:
        self.calls.append("watch")
        fault_response = await self._async_apply_fault(request)
        if fault_response is not None:
            return fault_response
        after = int(request.query["after"])
        prefix = request.query["prefix"]
        wait_s = int(request.query["wait_ms"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._async_wait_for_change(prefix, after)
        # A revision above the current one was given out before a restoration.
        if not self._oldest <= after <= self._revision:
            return web.json_response({"error": "gone"}, status=410)
        events = self._list_changes(prefix, after)
        return self._make_response("events", events)

    def _make_response(
        self, name: str, changes: list[_Change], **fields: object
    ) -> web.Response:
        encoded = ",".join(change.encoded for change in changes)
        rest = json.dumps(fields | {"store_revision": self._revision})
        return web.Response(
            text=f'{{"{name}": [{encoded}], {rest[1:]}',
            content_type="application/json",
        )

    async def _async_wait_for_change(self, prefix: str, after: int) -> None:
        """Waits for a change of a prefix, or a loss of its history."""
        while self._oldest <= after <= self._revision and not (
            self._list_changes(prefix, after)
        ):
            await self._changed.wait()

    def _list_changes(self, prefix: str, after: int) -> list[_Change]:
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    async def _async_apply_fault(
        self, request: web.Request
    ) -> web.StreamResponse | None:
        match self.fault:
            case StoreFault.BUSY:
                return web.json_response({"error": "busy"}, status=503)
            case StoreFault.MANY:
                return web.json_response({"error": "many"}, status=429)
            case StoreFault.CLOSE:
                assert request.transport is not None
                request.transport.abort()
                return web.Response()
            case StoreFault.SILENT:
                await asyncio.Event().wait()
            case StoreFault.BROKEN_BODY:
                return web.Response(body=b'{"items": [{"key": 1}]}')
            case (
                StoreFault.CUT_BODY
                | StoreFault.ENDLESS_BODY
                | StoreFault.STALLED_BODY
                | StoreFault.TRICKLING_BODY
            ):
                return await self._async_send_partial_body(request)
        return None

    async def _async_send_partial_body(
        self, request: web.Request
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"items": [')
        if self.fault is StoreFault.CUT_BODY:
            assert request.transport is not None
            request.transport.abort()
            return response
        if self.fault is StoreFault.STALLED_BODY:
            await asyncio.Event().wait()
        while self.fault is StoreFault.TRICKLING_BODY:
            await response.write(b" ")
            await asyncio.sleep(_TRICKLE_INTERVAL_S)
        while True:
            await response.write(b" " * 65536)


def _encode(change: _Change) -> dict[str, object]:
    if change.value is None:
        return {
            "key": change.key,
            "revision": change.revision,
            "deleted": True,
        }
    return {
        "key": change.key,
        "value": base64.b64encode(change.value).decode(),
        "revision": change.revision,
        "created_rev": change.created,
        "lease": 7,
    }
