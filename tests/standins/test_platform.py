"""Tests of the platform stand-in."""

import asyncio
import signal
import sys

import aiohttp
import pytest

from standins import platform

WAIT_S = 30


def build_document(version: int) -> bytes:
    return b'{"version": %d}' % version


@pytest.fixture
async def standin():
    server = platform.PlatformStandIn()
    await server.async_open()
    yield server
    await server.async_close()


@pytest.fixture
async def session(standin):
    async with aiohttp.ClientSession(standin.url) as client:
        yield client


async def async_wait_for_watch(standin: platform.PlatformStandIn) -> None:
    while not standin.waiting:
        await asyncio.sleep(0)


async def test_document_is_not_found_before_the_first(session):
    # Guards against an empty body that clients parse as a document.
    async with session.get("/document") as response:
        assert response.status == 404


async def test_document_comes_with_its_version(standin, session):
    # Guards against responses without the version.
    standin.publish(build_document(7))
    async with session.get("/document") as response:
        assert response.headers["X-Version"] == "7"
        assert await response.read() == build_document(7)


async def test_watch_answers_when_a_higher_version_exists(standin, session):
    # Guards against watches that return a new version only at the timeout.
    standin.publish(build_document(7))
    request = asyncio.ensure_future(
        session.get(f"/document?after=7&wait={WAIT_S}")
    )
    await async_wait_for_watch(standin)
    standin.publish(build_document(8))
    async with await request as response:
        assert response.status == 200
        assert response.headers["X-Version"] == "8"


async def test_watch_ends_with_304_and_the_version_at_the_timeout(
    standin, session
):
    # Guards against clients that cannot detect a stale platform.
    standin.publish(build_document(7))
    async with session.get("/document?after=7&wait=0") as response:
        assert response.status == 304
        assert response.headers["X-Version"] == "7"


@pytest.mark.parametrize("query", ["after=x", "after=-1&wait=1", "wait=nan"])
async def test_invalid_parameters_are_refused(session, query):
    # Guards against a watch that waits forever for an invalid version.
    async with session.get(f"/document?{query}") as response:
        assert response.status == 400


async def test_waiting_watch_fails_when_the_service_goes_down(standin, session):
    # Guards against watches that hang during an outage.
    request = asyncio.ensure_future(
        session.get(f"/document?after=7&wait={WAIT_S}")
    )
    await async_wait_for_watch(standin)
    standin.set_faults(platform.Faults(down=platform.DownMode.UNAVAILABLE))
    async with await request as response:
        assert response.status == 503


async def test_down_service_can_close_connections(standin, session):
    # Guards against an HTTP response in the failure mode `close`.
    async with session.put("/admin/fault", json={"down": "close"}):
        pass
    with pytest.raises(aiohttp.ClientError):
        await session.get("/vms")


async def test_stale_service_answers_the_older_version(standin, session):
    # Guards against a stale service that returns no document at all.
    for version in (5, 6, 7):
        standin.publish(build_document(version))
    async with session.put("/admin/fault", json={"stale_version": 6}):
        pass
    async with session.get("/document") as response:
        assert response.headers["X-Version"] == "6"
    async with session.get("/document?after=7&wait=0") as response:
        assert (response.status, response.headers["X-Version"]) == (304, "6")


async def test_delay_holds_back_only_its_reader(standin, session):
    # Guards against a delay that affects other clients.
    standin.publish(build_document(7))
    delays_s = {"127.0.0.9": WAIT_S, "127.0.0.1": 0}
    standin.set_faults(platform.Faults(delays_s=delays_s))
    connector = aiohttp.TCPConnector(local_addr=("127.0.0.9", 0))
    async with aiohttp.ClientSession(standin.url, connector=connector) as slow:
        delayed = asyncio.ensure_future(slow.get("/document"))
        async with session.get("/document") as response:
            assert response.status == 200
        _, waiting = await asyncio.wait({delayed}, timeout=0.2)
        assert waiting == {delayed}
        delayed.cancel()


async def test_list_of_vms_lags(standin, session):
    # Guards against a VM list that changes without the configured lag.
    vms = [{"id": "vm-a1", "domain": "a", "state": "live"}]
    async with session.put("/admin/vms", json={"vms": vms}):
        pass
    standin.set_vms([], lag_s=WAIT_S)
    async with session.get("/vms") as response:
        assert await response.json() == {"vms": vms}


async def test_document_without_a_version_is_not_published(standin, session):
    # Guards against invalid documents that are published as updates.
    async with session.put("/admin/document", data=b"{}") as response:
        assert response.status == 400
    assert standin.get_newest() is None


async def test_command_serves_a_document_until_it_is_stopped(examples_path):
    # Guards against a platform stand-in that cannot be started or stopped.
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "standins.platform", "--port", "0"),
        *("--document", str(examples_path / "mtskheta.json")),
        stdout=asyncio.subprocess.PIPE,
        cwd=examples_path.parent,
    )
    url = (await process.stdout.readline()).split()[-1].decode()
    async with aiohttp.ClientSession(url) as client:
        async with client.put("/admin/document", data=build_document(2)):
            pass
        async with client.get("/document?after=1") as response:
            assert response.headers["X-Version"] == "2"
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0
