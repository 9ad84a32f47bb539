"""Tests of the platform's client against the stand-in."""

import asyncio
import random

from aiohttp import web
import pytest

from chivedoor.configservice import backoff
from chivedoor.configservice import client
from chivedoor.configservice import const
from chivedoor.configservice import exceptions
from standins import platform

Outcome = client.Outcome
ReadingState = client.ReadingState


# Far above the time that a busy machine may take between two calls.
DELAY_S = 1000.0


class DelayLog:
    """Counts the delays between calls, in place of waiting for them."""

    def __init__(self):
        self.count = 0
        self.drawn_s = []

    async def async_sleep(self, delay_s):
        self.count += delay_s > DELAY_S / 2

    def draw(self, original):
        self.drawn_s.append(original)
        return DELAY_S


@pytest.fixture
def delays(monkeypatch):
    """Delays between calls, which are counted and not waited for."""
    log = DelayLog()
    monkeypatch.setattr(client.asyncio, "sleep", log.async_sleep)
    draw_delay_s = backoff.Backoff.draw_delay_s
    monkeypatch.setattr(
        backoff.Backoff,
        "draw_delay_s",
        lambda delays: log.draw(draw_delay_s(delays)),
    )
    return log


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
            generator=random.Random(1),
            **{"answer_timeout_s": 30, "watch_wait_s": 30, **arguments},
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


async def test_newer_document_is_read(standin, open_client):
    # Guards against a newcomer that gets no document.
    standin.publish(build_document(7))
    reader = await open_client(standin.url)
    reading = await reader.async_watch_document(0)
    assert reading.state is ReadingState.NEWER
    assert (reading.version, reading.data) == (7, build_document(7))
    assert reading.age_s >= 0


async def test_watch_ends_with_the_next_version(standin, open_client):
    # Guards against a reader that learns of a version at its timeout only.
    standin.publish(build_document(7))
    reader = await open_client(standin.url)
    watch = asyncio.ensure_future(reader.async_watch_document(7))
    while not standin.waiting:
        await asyncio.sleep(0.001)
    standin.publish(build_document(8))
    assert (await watch).version == 8


async def test_watch_confirms_the_version_at_its_end(standin, open_client):
    # Guards against a balancer that stops sending although the platform
    # confirms its document.
    standin.publish(build_document(7))
    reader = await open_client(standin.url, watch_wait_s=0)
    reading = await reader.async_watch_document(7)
    assert (reading.state, reading.data) == (ReadingState.CURRENT, None)
    assert reader.counters == {Outcome.CURRENT: 1}


async def test_stale_service_confirms_nothing(standin, open_client):
    # Guards against an old document that counts as the newest one.
    standin.publish(build_document(6))
    reader = await open_client(standin.url, watch_wait_s=0)
    reading = await reader.async_watch_document(7)
    assert (reading.state, reading.version) == (ReadingState.OLDER, 6)
    assert reading.data is None


async def test_answer_without_header_confirms_the_version(serve, open_client):
    # Guards against depending on a header that 304 need not have.
    async def async_answer(request):
        return web.Response(status=304)

    reader = await open_client(await serve(async_answer))
    reading = await reader.async_watch_document(7)
    assert reading.state is ReadingState.CURRENT


async def test_service_without_a_document_answers_version_0(
    standin, open_client
):
    # Guards against a reader that takes an empty service for a failure.
    reader = await open_client(standin.url, watch_wait_s=0)
    reading = await reader.async_watch_document(0)
    assert (reading.state, reading.version) == (ReadingState.CURRENT, 0)


async def test_vms_are_listed(standin, open_client):
    # Guards against new work for a VM that is leaving.
    standin.set_vms(
        [
            {"id": "vm-a1", "domain": "a", "state": "live"},
            {"id": "vm-b1", "domain": "b", "state": "leaving", "rack": "3"},
        ]
    )
    reader = await open_client(standin.url)
    assert await reader.async_list_vms() == (
        client.ListedVm(id="vm-a1", domain="a", state=client.VmState.LIVE),
        client.ListedVm(id="vm-b1", domain="b", state=client.VmState.LEAVING),
    )


async def test_calls_come_from_the_local_address(standin, open_client):
    # Guards against a platform that cannot tell its readers apart.
    reader = await open_client(standin.url, local_address="127.0.0.9")
    await reader.async_list_vms()
    assert standin.reads == {("/vms", 200, "127.0.0.9"): 1}


@pytest.mark.parametrize(
    ("down", "error", "outcome"),
    [
        (
            platform.DownMode.UNAVAILABLE,
            exceptions.PlatformStatusError,
            Outcome.STATUS,
        ),
        (
            platform.DownMode.CLOSE,
            exceptions.PlatformUnreachableError,
            Outcome.UNREACHABLE,
        ),
    ],
)
async def test_failures_are_typed_and_counted(
    standin, open_client, delays, down, error, outcome
):
    # Guards against an untyped error that ends the reader's task.
    standin.set_faults(platform.Faults(down=down))
    reader = await open_client(standin.url)
    with pytest.raises(error):
        await reader.async_watch_document(0)
    with pytest.raises(error):
        await reader.async_list_vms()
    assert reader.counters == {outcome: 2}


async def test_closed_port_is_unreachable(standin, open_client):
    # Guards against an untyped error while the platform restarts.
    reader = await open_client(standin.url)
    await standin.async_close()
    with pytest.raises(exceptions.PlatformUnreachableError):
        await reader.async_list_vms()


async def test_silent_service_times_out(serve, open_client):
    # Guards against a watch that hangs on a connection that went silent.
    async def async_hang(request):
        await asyncio.Event().wait()

    reader = await open_client(
        await serve(async_hang), watch_wait_s=0, answer_timeout_s=0.05
    )
    with pytest.raises(exceptions.PlatformTimeoutError):
        await reader.async_watch_document(7)
    assert reader.counters == {Outcome.TIMEOUT: 1}


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
async def test_malformed_document_answer_is_refused(
    serve, open_client, response
):
    # Guards against versions and sizes that the service does not have.
    async def async_answer(request):
        return web.Response(**response)

    reader = await open_client(await serve(async_answer))
    with pytest.raises(exceptions.PlatformError):
        await reader.async_watch_document(7)
    assert reader.counters.total() == 1


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
async def test_malformed_list_is_refused(serve, open_client, body):
    # Guards against a broken list that makes all VMs disappear.
    async def async_answer(request):
        return web.Response(body=body)

    reader = await open_client(await serve(async_answer))
    with pytest.raises(exceptions.PlatformProtocolError):
        await reader.async_list_vms()


async def test_failed_calls_are_paced(standin, open_client, delays):
    # Guards against a busy loop while the service is down, and against a
    # delay that stays after its return.
    standin.set_faults(platform.Faults(down=platform.DownMode.UNAVAILABLE))
    reader = await open_client(standin.url)
    for _ in range(8):
        with pytest.raises(exceptions.PlatformError):
            await reader.async_list_vms()
    assert delays.count == 7
    standin.set_faults(platform.Faults())
    for _ in range(3):
        await reader.async_list_vms()
    assert delays.count == 8
    assert delays.drawn_s[-1] > const.BACKOFF_INITIAL_S
    standin.set_faults(platform.Faults(down=platform.DownMode.UNAVAILABLE))
    with pytest.raises(exceptions.PlatformError):
        await reader.async_list_vms()
    assert delays.drawn_s[-1] <= const.BACKOFF_INITIAL_S


async def test_refused_document_is_tried_again_at_a_low_rate(
    standin, open_client, delays
):
    # Guards against a faulty document that is read in a busy loop, and
    # against a document that is refused once and then never read again.
    standin.publish(build_document(8))
    reader = await open_client(standin.url)
    for _ in range(4):
        assert (await reader.async_watch_document(7)).version == 8
    assert delays.count == 2
    standin.publish(build_document(9))
    assert (await reader.async_watch_document(7)).version == 9
    assert (await reader.async_watch_document(7)).version == 9
    assert delays.count == 3


async def test_service_that_does_not_wait_is_paced(serve, open_client, delays):
    # Guards against a busy loop on a service that ignores `wait`.
    async def async_answer(request):
        return web.Response(status=304, headers={"X-Version": "7"})

    reader = await open_client(await serve(async_answer))
    for _ in range(3):
        await reader.async_watch_document(7)
    assert delays.count == 2


async def test_closed_client_raises_a_typed_error(standin, open_client):
    # Guards against an untyped error during the daemon's stop.
    reader = await open_client(standin.url)
    watch = asyncio.ensure_future(reader.async_watch_document(0))
    while not standin.waiting:
        await asyncio.sleep(0.001)
    await reader.async_close()
    with pytest.raises(exceptions.PlatformError):
        await watch
    with pytest.raises(exceptions.PlatformError):
        await reader.async_list_vms()
