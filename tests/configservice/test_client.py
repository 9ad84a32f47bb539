"""Tests of the platform client against the stand-in."""

import asyncio
import random

from aiohttp import web
import pytest

from chivedoor.configservice import backoff
from chivedoor.configservice import client
from chivedoor.configservice import const
from chivedoor.configservice import exceptions
from standins import platform

CallOutcome = client.CallOutcome
VersionComparison = client.VersionComparison


# Much longer than the time between two calls on a busy machine.
DELAY_S = 1000.0


class DelayRecorder:
    """Counts the delays between calls instead of waiting for them."""

    def __init__(self):
        self.count = 0
        self.recorded_s = []

    async def async_sleep(self, delay_s):
        self.count += delay_s > DELAY_S / 2

    def record_delay(self, delay_s):
        self.recorded_s.append(delay_s)
        return DELAY_S


@pytest.fixture
def delays(monkeypatch):
    """Replaces the delays between calls by a counter."""
    recorder = DelayRecorder()
    monkeypatch.setattr(client.asyncio, "sleep", recorder.async_sleep)
    next_delay_s = backoff.Backoff.next_delay_s
    monkeypatch.setattr(
        backoff.Backoff,
        "next_delay_s",
        lambda delays: recorder.record_delay(next_delay_s(delays)),
    )
    return recorder


@pytest.fixture
async def standin():
    server = platform.PlatformStandIn()
    await server.async_open()
    yield server
    await server.async_close()


@pytest.fixture
async def open_client():
    """Returns a function that opens clients and closes them at the end."""
    clients = []

    async def async_open(url, **arguments):
        opened = client.PlatformClient(
            url=url,
            rng=random.Random(1),
            **{"response_timeout_s": 30, "watch_wait_s": 30, **arguments},
        )
        clients.append(opened)
        await opened.async_open()
        return opened

    yield async_open
    for opened in clients:
        await opened.async_close()


@pytest.fixture
async def serve():
    """Returns a function that serves one handler for all paths."""
    runners = []

    async def async_serve(handler):
        app = web.Application()
        app.router.add_get("/{path:.*}", handler)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    yield async_serve
    for runner in runners:
        await runner.cleanup()


def build_document(version):
    return b'{"version": %d}' % version


async def test_watch_returns_a_newer_document(standin, open_client):
    # Guards against a balancer that gets no document when it starts.
    standin.publish(build_document(7))
    platform_client = await open_client(standin.url)
    result = await platform_client.async_watch_document(0)
    assert result.comparison is VersionComparison.NEWER
    assert (result.version, result.data) == (7, build_document(7))
    assert result.age_s >= 0


async def test_watch_returns_when_a_version_is_published(standin, open_client):
    # Guards against a watch that returns a new version only at its timeout.
    standin.publish(build_document(7))
    platform_client = await open_client(standin.url)
    watch = asyncio.ensure_future(platform_client.async_watch_document(7))
    while not standin.waiting:
        await asyncio.sleep(0.001)
    standin.publish(build_document(8))
    assert (await watch).version == 8


async def test_watch_confirms_the_current_version_on_timeout(
    standin, open_client
):
    # Guards against a balancer that stops sending although the platform still
    # confirms its document.
    standin.publish(build_document(7))
    platform_client = await open_client(standin.url, watch_wait_s=0)
    result = await platform_client.async_watch_document(7)
    assert (result.comparison, result.data) == (VersionComparison.CURRENT, None)
    assert platform_client.counters == {CallOutcome.CURRENT: 1}


async def test_older_version_is_not_a_confirmation(standin, open_client):
    # Guards against an old document that is taken for the newest one.
    standin.publish(build_document(6))
    platform_client = await open_client(standin.url, watch_wait_s=0)
    result = await platform_client.async_watch_document(7)
    assert (result.comparison, result.version) == (VersionComparison.OLDER, 6)
    assert result.data is None


async def test_not_modified_without_header_confirms_the_version(
    serve, open_client
):
    # Guards against requiring a header that a 304 response need not have.
    async def async_respond(request):
        return web.Response(status=304)

    platform_client = await open_client(await serve(async_respond))
    result = await platform_client.async_watch_document(7)
    assert result.comparison is VersionComparison.CURRENT


async def test_service_without_a_document_reports_version_0(
    standin, open_client
):
    # Guards against handling a service without a document as a failure.
    platform_client = await open_client(standin.url, watch_wait_s=0)
    result = await platform_client.async_watch_document(0)
    assert (result.comparison, result.version) == (VersionComparison.CURRENT, 0)


async def test_vms_are_listed(standin, open_client):
    # Guards against assigning new work to a VM that is leaving.
    standin.set_vms(
        [
            {"id": "vm-a1", "domain": "a", "state": "live"},
            {"id": "vm-b1", "domain": "b", "state": "leaving", "rack": "3"},
        ]
    )
    platform_client = await open_client(standin.url)
    assert await platform_client.async_list_vms() == (
        client.ListedVm(id="vm-a1", domain="a", state=client.VmState.LIVE),
        client.ListedVm(id="vm-b1", domain="b", state=client.VmState.LEAVING),
    )


async def test_calls_come_from_the_local_address(standin, open_client):
    # Guards against calls by which the platform cannot identify the balancer.
    platform_client = await open_client(standin.url, local_address="127.0.0.9")
    await platform_client.async_list_vms()
    assert standin.reads == {("/vms", 200, "127.0.0.9"): 1}


@pytest.mark.parametrize(
    ("down", "error", "outcome"),
    [
        (
            platform.DownMode.UNAVAILABLE,
            exceptions.PlatformStatusError,
            CallOutcome.STATUS,
        ),
        (
            platform.DownMode.CLOSE,
            exceptions.PlatformUnreachableError,
            CallOutcome.UNREACHABLE,
        ),
    ],
)
async def test_failures_are_typed_and_counted(
    standin, open_client, delays, down, error, outcome
):
    # Guards against an untyped error that ends the calling task.
    standin.set_faults(platform.Faults(down=down))
    platform_client = await open_client(standin.url)
    with pytest.raises(error):
        await platform_client.async_watch_document(0)
    with pytest.raises(error):
        await platform_client.async_list_vms()
    assert platform_client.counters == {outcome: 2}


async def test_closed_port_is_unreachable(standin, open_client):
    # Guards against an untyped error during a restart of the platform.
    platform_client = await open_client(standin.url)
    await standin.async_close()
    with pytest.raises(exceptions.PlatformUnreachableError):
        await platform_client.async_list_vms()


async def test_silent_service_times_out(serve, open_client):
    # Guards against a watch that hangs on a connection without traffic.
    async def async_hang(request):
        await asyncio.Event().wait()

    platform_client = await open_client(
        await serve(async_hang), watch_wait_s=0, response_timeout_s=0.05
    )
    with pytest.raises(exceptions.PlatformTimeoutError):
        await platform_client.async_watch_document(7)
    assert platform_client.counters == {CallOutcome.TIMEOUT: 1}


@pytest.mark.parametrize(
    "response",
    [
        {"body": b"{}"},
        {"body": b"{}", "headers": {"X-Version": "-8"}},
        {"body": b"{}", "headers": {"X-Version": "8" * 5_000}},
        {"status": 304, "headers": {"X-Version": "8"}},
        {"body": b" " * 1_000_001, "headers": {"X-Version": "8"}},
    ],
)
async def test_malformed_document_response_is_rejected(
    serve, open_client, response
):
    # Guards against invalid versions and against bodies above the size limit.
    async def async_respond(request):
        return web.Response(**response)

    platform_client = await open_client(await serve(async_respond))
    with pytest.raises(exceptions.PlatformError):
        await platform_client.async_watch_document(7)
    assert platform_client.counters.total() == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"vms": 1}',
        b'{"vms": [1]}',
        b'{"vms": [{"id": "v", "domain": "a"}]}',
        b'{"vms": [{"id": "v", "domain": "a", "state": "gone"}]}',
        b'{"vms": [{"id": 1, "domain": "a", "state": "live"}]}',
        b'{"vms": [{"id": "v", "domain": "a", "state": []}]}',
        b"[" * 100_000,
        b'{"vms": [{"id": "v", "domain": "a", "state": "live"},'
        b' {"id": "v", "domain": "b", "state": "live"}]}',
    ],
)
async def test_malformed_vm_list_is_rejected(serve, open_client, body):
    # Guards against a malformed list that is read as a list without VMs.
    async def async_respond(request):
        return web.Response(body=body)

    platform_client = await open_client(await serve(async_respond))
    with pytest.raises(exceptions.PlatformProtocolError):
        await platform_client.async_list_vms()


async def test_failed_calls_are_delayed(standin, open_client, delays):
    # Guards against a busy loop while the service is down, and against a delay
    # that persists after it has recovered.
    standin.set_faults(platform.Faults(down=platform.DownMode.UNAVAILABLE))
    platform_client = await open_client(standin.url)
    for _ in range(8):
        with pytest.raises(exceptions.PlatformError):
            await platform_client.async_list_vms()
    assert delays.count == 7
    standin.set_faults(platform.Faults())
    for _ in range(3):
        await platform_client.async_list_vms()
    assert delays.count == 8
    assert delays.recorded_s[-1] > const.BACKOFF_INITIAL_S
    standin.set_faults(platform.Faults(down=platform.DownMode.UNAVAILABLE))
    with pytest.raises(exceptions.PlatformError):
        await platform_client.async_list_vms()
    assert delays.recorded_s[-1] <= const.BACKOFF_INITIAL_S


async def test_rejected_document_is_retried_with_backoff(
    standin, open_client, delays
):
    # Guards against reading an invalid document in a busy loop, and against a
    # document that is never read again after it was rejected once.
    standin.publish(build_document(8))
    platform_client = await open_client(standin.url)
    for _ in range(4):
        assert (await platform_client.async_watch_document(7)).version == 8
    assert delays.count == 2
    standin.publish(build_document(9))
    assert (await platform_client.async_watch_document(7)).version == 9
    assert (await platform_client.async_watch_document(7)).version == 9
    assert delays.count == 3


async def test_watch_that_returns_early_is_delayed(serve, open_client, delays):
    # Guards against a busy loop when the service ignores `wait`.
    async def async_respond(request):
        return web.Response(status=304, headers={"X-Version": "7"})

    platform_client = await open_client(await serve(async_respond))
    for _ in range(3):
        await platform_client.async_watch_document(7)
    assert delays.count == 2


async def test_closed_client_raises_platform_error(standin, open_client):
    # Guards against an untyped error when the daemon stops.
    platform_client = await open_client(standin.url)
    watch = asyncio.ensure_future(platform_client.async_watch_document(0))
    while not standin.waiting:
        await asyncio.sleep(0.001)
    await platform_client.async_close()
    with pytest.raises(exceptions.PlatformError):
        await watch
    with pytest.raises(exceptions.PlatformError):
        await platform_client.async_list_vms()
