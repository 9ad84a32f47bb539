"""HTTP client of the platform's service."""

import asyncio
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import enum
import functools
import json
import math
import random
import re
from typing import Any
from typing import Final
from typing import NamedTuple

import aiohttp

from chivedoor import ids
from chivedoor.configservice import backoff
from chivedoor.configservice import const
from chivedoor.configservice import exceptions


class VersionComparison(enum.Enum):
    """How the service's version compares with the caller's version."""

    NEWER = "newer"
    CURRENT = "current"
    OLDER = "older"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchResult:
    """Result of a watch.

    Attributes:
        comparison: How the version compares with the caller's version.
        version: Newest version that the service has; 0 when it has none.
        data: Text of the document when it is newer; None otherwise.
        age_s: Upper bound of the time since the service reported the version,
            in seconds.
    """

    comparison: VersionComparison
    version: ids.Version
    data: bytes | None
    age_s: float


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """VM in the platform's list, which may be out of date."""

    id: ids.VmId
    domain: ids.DomainId
    state: VmState


class CallOutcome(enum.Enum):
    """Outcome of a call, by which calls are counted."""

    NEWER = "newer"
    CURRENT = "current"
    OLDER = "older"
    LISTED = "listed"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    STATUS = "status"
    PROTOCOL = "protocol"


_OUTCOMES_BY_COMPARISON: Final = {
    VersionComparison.NEWER: CallOutcome.NEWER,
    VersionComparison.CURRENT: CallOutcome.CURRENT,
    VersionComparison.OLDER: CallOutcome.OLDER,
}

_VERSION_PATTERN: Final = re.compile(rf"[0-9]{{1,{const.MAX_VERSION_DIGITS}}}")


class _Response(NamedTuple):
    status: int
    headers: Mapping[str, str]
    body: bytes


class _CallThrottle:
    """Delays the next call depending on the outcome of the last one."""

    def __init__(self, *, rng: random.Random) -> None:
        self._backoff = backoff.Backoff(rng=rng)
        self._next_call_at = -math.inf

    async def async_wait(self) -> None:
        """Waits until the next call is allowed."""
        delay_s = self._next_call_at - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    def record_success(self) -> None:
        """Allows the next call immediately."""
        self._backoff.reset()
        self._next_call_at = -math.inf

    def record_failure(self) -> None:
        """Delays the next call by the backoff."""
        now = asyncio.get_running_loop().time()
        self._next_call_at = now + self._backoff.next_delay_s()


class PlatformClient:
    """Reads documents and the list of VMs from the platform.

    A call after a failed one first waits for the backoff, so that calling a
    method in a plain loop keeps the call rate low while the service is down.
    Each method may have one call in progress.

    Attributes:
        counters: Number of calls by outcome.
    """

    def __init__(
        self,
        *,
        url: str,
        rng: random.Random,
        local_address: str | None = None,
        watch_wait_s: float = const.WATCH_WAIT_S,
        response_timeout_s: float = const.RESPONSE_TIMEOUT_S,
    ) -> None:
        """Creates the client without opening it.

        Args:
            url: URL of the service, without a trailing slash.
            rng: Random generator for the jitter.
            local_address: Source address of calls; chosen by the system when
                None.
            watch_wait_s: Time after which the service ends a watch, in seconds.
            response_timeout_s: Timeout of a response, in seconds; for a watch,
                in addition to `watch_wait_s`.
        """
        self.counters: collections.Counter[CallOutcome] = collections.Counter()
        self._url = url
        self._local_address = local_address
        self._watch_wait_s = watch_wait_s
        self._response_timeout_s = response_timeout_s
        self._watch_throttle = _CallThrottle(rng=rng)
        self._list_throttle = _CallThrottle(rng=rng)
        self._last_newer_version: int | None = None
        self._session: aiohttp.ClientSession | None = None

    async def async_open(self) -> None:
        """Opens the client; it connects at the first call."""
        local = self._local_address
        connector = aiohttp.TCPConnector(
            local_addr=None if local is None else (local, 0)
        )
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def async_close(self) -> None:
        """Closes the connections; a call in progress fails."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_watch_document(self, after: int) -> WatchResult:
        """Waits for a limited time for a document above a version.

        A document that is returned again, because the caller rejected it,
        delays the next call like a failure, so that it can be retried later.

        Args:
            after: Version of the caller's document; 0 when there is none.

        Returns:
            The newer document, or the result that there is none.

        Raises:
            exceptions.PlatformError: The call failed.
        """
        await self._watch_throttle.async_wait()
        started = asyncio.get_running_loop().time()
        with self._record_failures(self._watch_throttle):
            result = await self._async_request_document(after, started)
        self.counters[_OUTCOMES_BY_COMPARISON[result.comparison]] += 1
        self._update_watch_throttle(result)
        return result

    async def async_list_vms(self) -> tuple[ListedVm, ...]:
        """Returns the live and the leaving VMs.

        Raises:
            exceptions.PlatformError: The call failed.
        """
        await self._list_throttle.async_wait()
        with self._record_failures(self._list_throttle):
            response = await self._async_get(
                "/vms", {}, self._response_timeout_s, frozenset({200})
            )
            vms = _parse_vms(response.body)
        self.counters[CallOutcome.LISTED] += 1
        self._list_throttle.record_success()
        return vms

    def dump_state(self) -> dict[str, Any]:
        """Returns the client's state as plain values for the `dump` command."""
        return {
            "url": self._url,
            "open": self._session is not None,
            "calls": {
                outcome.value: count for outcome, count in self.counters.items()
            },
        }

    async def _async_request_document(
        self, after: int, started: float
    ) -> WatchResult:
        response = await self._async_get(
            "/document",
            {"after": str(after), "wait": f"{self._watch_wait_s:g}"},
            self._watch_wait_s + self._response_timeout_s,
            frozenset({200, 304}),
        )
        # A response without a body need not have the version header; its status
        # says that no higher version exists.
        default = after if response.status == 304 else None
        version = _parse_version(response.headers, default)
        if response.status == 200 and version > after:
            comparison = VersionComparison.NEWER
        elif version == after:
            comparison = VersionComparison.CURRENT
        elif version < after:
            comparison = VersionComparison.OLDER
        else:
            raise exceptions.PlatformProtocolError(
                f"version {version} is above {after} but has no document"
            )
        return WatchResult(
            comparison=comparison,
            version=ids.Version(version),
            data=response.body
            if comparison is VersionComparison.NEWER
            else None,
            age_s=asyncio.get_running_loop().time() - started,
        )

    def _update_watch_throttle(self, result: WatchResult) -> None:
        if result.comparison is VersionComparison.NEWER:
            allows_next_call = result.version != self._last_newer_version
            self._last_newer_version = result.version
        else:
            # Prevents a busy loop when the service responds without waiting.
            allows_next_call = result.age_s >= self._watch_wait_s / 2
        if allows_next_call:
            self._watch_throttle.record_success()
        else:
            self._watch_throttle.record_failure()

    async def _async_get(
        self,
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
        expected: frozenset[int],
    ) -> _Response:
        if self._session is None:
            raise exceptions.ClosedClientError
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=const.CONNECT_TIMEOUT_S
        )
        with _translate_errors(path, timeout_s):
            async with self._session.get(
                self._url + path,
                params=query,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status not in expected:
                    raise exceptions.PlatformStatusError(
                        path=path, status=response.status
                    )
                return _Response(
                    status=response.status,
                    headers=response.headers,
                    body=await _async_read_body(response.content),
                )

    @contextlib.contextmanager
    def _record_failures(self, throttle: _CallThrottle) -> Iterator[None]:
        try:
            yield
        except exceptions.PlatformError as error:
            self.counters[_get_outcome(error)] += 1
            throttle.record_failure()
            raise


@contextlib.contextmanager
def _translate_errors(path: str, timeout_s: float) -> Iterator[None]:
    try:
        yield
    except TimeoutError as error:
        raise exceptions.PlatformTimeoutError(
            path=path, timeout_s=timeout_s
        ) from error
    except aiohttp.ClientResponseError as error:
        raise exceptions.PlatformProtocolError(
            f"response to {path} is not valid HTTP: {error.message}"
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise exceptions.PlatformUnreachableError(
            f"connection for {path} failed: {error}"
        ) from error


@functools.singledispatch
def _get_outcome(error: exceptions.PlatformError) -> CallOutcome:
    """Returns the outcome that an error is counted as."""
    del error
    return CallOutcome.UNREACHABLE


@_get_outcome.register
def _get_timeout_outcome(error: exceptions.PlatformTimeoutError) -> CallOutcome:
    del error
    return CallOutcome.TIMEOUT


@_get_outcome.register
def _get_status_outcome(error: exceptions.PlatformStatusError) -> CallOutcome:
    del error
    return CallOutcome.STATUS


@_get_outcome.register
def _get_protocol_outcome(
    error: exceptions.PlatformProtocolError,
) -> CallOutcome:
    del error
    return CallOutcome.PROTOCOL


async def _async_read_body(content: aiohttp.StreamReader) -> bytes:
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > const.MAX_BODY_BYTES:
            raise exceptions.PlatformProtocolError(
                f"response body has more than {const.MAX_BODY_BYTES} bytes"
            )
    return bytes(body)


def _parse_version(headers: Mapping[str, str], default: int | None) -> int:
    text = headers.get(const.VERSION_HEADER)
    if text is None and default is not None:
        return default
    if text is None or not _VERSION_PATTERN.fullmatch(text):
        raise exceptions.PlatformProtocolError(
            f"header {const.VERSION_HEADER} is missing or not a version"
        )
    return int(text)


def _parse_vms(body: bytes) -> tuple[ListedVm, ...]:
    try:
        entries = json.loads(body)["vms"]
        vms = tuple(_parse_vm(entry) for entry in entries)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise exceptions.PlatformProtocolError(
            "response to /vms is not a list of VMs"
        ) from error
    if len({vm.id for vm in vms}) != len(vms):
        raise exceptions.PlatformProtocolError("a VM is listed twice")
    return vms


def _parse_vm(entry: Mapping[str, Any]) -> ListedVm:
    """Parses an entry; unknown fields of a newer platform are ignored."""
    vm_id = entry["id"]
    domain = entry["domain"]
    if not isinstance(vm_id, str) or not isinstance(domain, str):
        raise TypeError("id and domain must be strings")
    return ListedVm(
        id=ids.VmId(vm_id),
        domain=ids.DomainId(domain),
        state=VmState(entry["state"]),
    )
