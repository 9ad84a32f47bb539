"""Tests of a complete daemon without peers and platform."""

import asyncio

import aiohttp
import pytest

from chivedoor.configuration import settings as settings_module
from chivedoor.daemon import application
from chivedoor.telemetry import catalogue
from chivedoor.telemetry import logs as logs_module

_INI = """
[vm]
id = vm-1
domain = a
region = r1
address = 127.0.77.1
packet_port = 17080
peer_port = 17081
gossip_port = 17082
channel_port = 17083
operator_port = 17084
metrics_port = 17085
[fabric]
address = 127.0.77.2
port = 17000
[platform]
url = http://127.0.77.3:17001
[peers]
seeds = 127.0.77.1:17082
[security]
peer_key = 000102030405060708090a0b0c0d0e0f
operator_key = 202122232425262728292a2b2c2d2e2f
[limits]
control_bytes_per_s = 4000
max_flows = 1000
"""


@pytest.fixture
async def daemon(tmp_path):
    settings = settings_module.parse_settings(_INI)
    logs = logs_module.setup_logs(
        vm=settings.vm.id,
        domain=settings.vm.domain,
        path=tmp_path / "log.jsonl",
    )
    result = application.Application(settings=settings, logs=logs)
    await result.async_open()
    yield result
    await result.async_close()
    logs.unload()


async def test_metrics_of_a_daemon_without_document_are_served(daemon):
    # Guards against a failing scrape and against metrics that are never set.
    async with (
        aiohttp.ClientSession() as session,
        session.get("http://127.0.77.1:17085/metrics") as response,
    ):
        text = await response.text()
    assert "chivedoor_scrape_failures_total 0" in text
    assert f"{catalogue.Metric.FLOW_CAPACITY.value.name} 1000" in text
    assert 'state="joining"} 1' in text


async def test_dump_has_plain_values_of_all_components(daemon):
    # Guards against a component that is missing or fails in the state dump.
    state = daemon.dump_state()
    assert state["document"]["version"] == 0
    assert state["members"]["members"]["vm-1"]["state"] == "JOINING"


async def test_pause_is_logged_and_starts_a_new_incarnation(daemon, tmp_path):
    # Guards against a pause that is missing in the logs.
    before = daemon.dump_state()["members"]["members"]["vm-1"]["incarnation"]
    daemon._handle_pause(2.5)
    after = daemon.dump_state()["members"]["members"]["vm-1"]["incarnation"]
    assert after > before
    log = tmp_path / "log.jsonl"
    async with asyncio.timeout(60):
        while "pause-detected" not in log.read_text():
            await asyncio.sleep(0.01)


async def test_second_daemon_on_the_same_ports_closes_what_it_opened(daemon):
    # Guards against ports that stay open after a failed start.
    settings = settings_module.parse_settings(_INI)
    logs = logs_module.setup_logs(vm=settings.vm.id, domain=settings.vm.domain)
    second = application.Application(settings=settings, logs=logs)
    with pytest.raises(OSError):
        await second.async_open()
    logs.unload()
