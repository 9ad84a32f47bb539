"""Tests of a balancer whose view is older than those of others."""

import asyncio
import contextlib
import socket

from chivedoor import ids
from chivedoor.feed import messages
from standins import store as store_stand_in
from tests.edge import conftest
from tests.feed import conftest as feed_conftest

PEER_HOST = "127.0.0.42"
INTERVAL_S = 0.2


async def async_send_as_reader(port: int) -> None:
    """Sends heartbeats of a balancer that reads the store, until cancelled.

    It streams no changes.
    """
    heartbeat = feed_conftest.make_heartbeat(
        2, domain=ids.DomainId("a"), host=PEER_HOST, bandwidth_mbps=1000.0
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind((PEER_HOST, port))
        while True:
            peer.sendto(
                messages.encode_message(heartbeat), ("127.0.0.11", port)
            )
            await asyncio.sleep(INTERVAL_S)


async def async_fall_behind(edge: conftest.EdgeProcess) -> asyncio.Task[None]:
    """Starts a balancer that loses the store; returns the task of the reader.

    The balancer is unready when this returns.
    """
    port = conftest.find_free_port()
    edge.write_settings(peer_port=port)
    edge.publish_configuration()
    edge.publish_endpoint()
    await edge.async_start()
    await edge.async_wait_ready()
    edge.store.fault = store_stand_in.StoreFault.SILENT
    reader = asyncio.create_task(async_send_as_reader(port))
    await edge.async_wait_ready(503)
    return reader


async def test_balancer_with_an_old_view_leaves_the_rotation(edge) -> None:
    """Guards against flows by an old view while others have a newer one.

    A balancer placed flows by a configuration of 10 s before, although another
    one of its domain had the current one. Once it hears of no reader, it may
    be cut off, and serves again.
    """
    reader = await async_fall_behind(edge)
    reader.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await reader
    await edge.async_wait_ready()


async def test_balancer_returns_when_its_view_is_current(edge) -> None:
    """Guards against balancers that stay away after they have caught up."""
    reader = await async_fall_behind(edge)
    edge.store.fault = None
    await edge.async_wait_ready()
    reader.cancel()


async def test_balancers_without_the_store_stay_ready(edge) -> None:
    """Guards against an outage of the store that ends the service."""
    edge.publish_configuration()
    edge.publish_endpoint()
    await edge.async_start()
    await edge.async_wait_ready()
    edge.store.fault = store_stand_in.StoreFault.SILENT
    for _ in range(25):
        await asyncio.sleep(INTERVAL_S)
        status, _ = await edge.async_get(edge.readiness_port, "/v1/readiness")
        assert status == 200
