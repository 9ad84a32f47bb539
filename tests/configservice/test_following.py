"""Tests that a balancer follows the platform with client and store."""

import json
import random

import pytest

from chivedoor.configservice import client
from chivedoor.configuration import exceptions
from chivedoor.configuration import store
from standins import platform

WALL_S = 1_000_000


@pytest.fixture
def build(examples_path):
    """Returns a function that builds a document of a version."""
    value = json.loads((examples_path / "mtskheta.json").read_text())
    return lambda version, **fields: json.dumps(
        {**value, "version": version, **fields}
    ).encode()


@pytest.fixture
async def standin():
    server = platform.PlatformStandIn()
    await server.async_open()
    yield server
    await server.async_close()


@pytest.fixture
async def async_follow(standin):
    """Returns a function that follows one answer of the platform."""
    reader = client.PlatformClient(
        url=standin.url,
        generator=random.Random(1),
        watch_wait_s=0,
        answer_timeout_s=30,
    )
    await reader.async_open()
    documents = store.DocumentStore()

    async def async_run(now):
        reading = await reader.async_watch_document(documents.version)
        if reading.state is client.ReadingState.NEWER:
            documents.accept_data(
                reading.data, now, wall_s=WALL_S, confirmed_age_s=reading.age_s
            )
        else:
            documents.confirm(reading.version, reading.age_s, now)
        return documents

    yield async_run
    await reader.async_close()


async def test_version_only_rises(standin, async_follow, build):
    # Guards against a stale platform that reverts an accepted document, and
    # against a faulty document that stops the following ones.
    standin.publish(build(7))
    assert (await async_follow(0.0)).version == 7
    standin.publish(build(9))
    assert (await async_follow(1.0)).version == 9
    standin.set_faults(platform.Faults(stale_version=7))
    assert (await async_follow(2.0)).version == 9
    standin.set_faults(platform.Faults())
    standin.publish(build(10, services=None))
    with pytest.raises(exceptions.DocumentError):
        await async_follow(3.0)
    standin.publish(build(11))
    assert (await async_follow(4.0)).version == 11


async def test_stale_platform_does_not_confirm(standin, async_follow, build):
    # Guards against a balancer that keeps sending on the word of a platform
    # that does not know the document in force.
    standin.publish(build(7))
    standin.publish(build(9))
    await async_follow(0.0)
    standin.set_faults(platform.Faults(stale_version=7))
    assert (await async_follow(1000.0)).confirmed_age(1000.0) >= 1000
    standin.set_faults(platform.Faults())
    assert (await async_follow(1000.0)).confirmed_age(1000.0) < 1000
