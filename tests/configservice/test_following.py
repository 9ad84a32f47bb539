"""Tests of the platform client together with the document store."""

import json
import random

import pytest

from chivedoor.configservice import client
from chivedoor.configuration import exceptions
from chivedoor.configuration import store
from standins import platform

WALL_CLOCK_S = 1_000_000


@pytest.fixture
def build_document(examples_path):
    """Returns a function that builds a document with a given version."""
    example = json.loads((examples_path / "mtskheta.json").read_text())
    return lambda version, **fields: json.dumps(
        {**example, "version": version, **fields}
    ).encode()


@pytest.fixture
async def standin():
    server = platform.PlatformStandIn()
    await server.async_open()
    yield server
    await server.async_close()


@pytest.fixture
async def async_follow_once(standin):
    """Returns a function that watches once and updates the store."""
    platform_client = client.PlatformClient(
        url=standin.url,
        rng=random.Random(1),
        watch_wait_s=0,
        response_timeout_s=30,
    )
    await platform_client.async_open()
    documents = store.DocumentStore()

    async def async_run(now):
        result = await platform_client.async_watch_document(documents.version)
        if result.comparison is client.VersionComparison.NEWER:
            documents.accept_data(
                result.data,
                now,
                wall_clock_s=WALL_CLOCK_S,
                confirmed_age_s=result.age_s,
            )
        else:
            documents.confirm(result.version, result.age_s, now)
        return documents

    yield async_run
    await platform_client.async_close()


async def test_version_only_rises(standin, async_follow_once, build_document):
    # Guards against a stale platform that reverts an accepted document, and
    # against an invalid document after which newer ones are not accepted.
    standin.publish(build_document(7))
    assert (await async_follow_once(0.0)).version == 7
    standin.publish(build_document(9))
    assert (await async_follow_once(1.0)).version == 9
    standin.set_faults(platform.Faults(stale_version=7))
    assert (await async_follow_once(2.0)).version == 9
    standin.set_faults(platform.Faults())
    standin.publish(build_document(10, services=None))
    with pytest.raises(exceptions.DocumentError):
        await async_follow_once(3.0)
    standin.publish(build_document(11))
    assert (await async_follow_once(4.0)).version == 11


async def test_stale_platform_does_not_confirm(
    standin, async_follow_once, build_document
):
    # Guards against a balancer that keeps sending although the platform only
    # confirms a version older than the accepted one.
    standin.publish(build_document(7))
    standin.publish(build_document(9))
    await async_follow_once(0.0)
    standin.set_faults(platform.Faults(stale_version=7))
    assert (await async_follow_once(1000.0)).confirmed_age(1000.0) >= 1000
    standin.set_faults(platform.Faults())
    assert (await async_follow_once(1000.0)).confirmed_age(1000.0) < 1000
