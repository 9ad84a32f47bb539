"""Tests that probes report balancers that refuse a present route."""

import asyncio
import random
import time

import pytest

from soak import const
from soak import history as histories
from soak import probes
from soak import promises
from standins.echo import fabric
from standins.echo import packets

BALANCER = ("127.105.0.1", 7200)
VERSION = 1


@pytest.fixture
async def balancer():
    """A balancer that resets all flows."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        Refuser, local_addr=BALANCER
    )
    yield BALANCER
    transport.close()


class Refuser(asyncio.DatagramProtocol):
    """Answers each packet with a reset of its own, without a checksum."""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        packet = packets.decode_packet(data)
        reset = packets.Packet(
            source=packet.destination,
            destination=packet.source,
            flags=packets.Flags.RESET,
        ).encode()
        self.transport.sendto(bytes(4) + reset[4:], address)


@pytest.mark.parametrize("servable", [True, False])
async def test_refusal_of_a_present_route_is_reported(
    balancer, monkeypatch, servable
) -> None:
    """Guards against refusals that are ignored or have another cause."""
    monkeypatch.setattr(const, "PROBE_INTERVAL_S", 0.01)
    history = histories.History(clock=time.monotonic)
    route = probes.make_route(VERSION)
    history.route_added_at[route] = time.monotonic() - 60
    checker = promises.Checker(history=history, clock=time.monotonic)
    prober = probes.Prober(
        node=fabric.Node(
            id="vm-a1", domain="a", packets=balancer, readiness=balancer
        ),
        host="127.105.30.2",
        port=7200,
        checker=checker,
        get_version=lambda: VERSION,
        is_servable=lambda: servable,
        generator=random.Random(1),
        clock=time.monotonic,
    )
    await prober.async_open()
    task = asyncio.create_task(prober.async_run())
    await asyncio.sleep(0.3)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await prober.async_close()
    reported = {violation.promise for violation in checker.violations}
    assert reported == ({promises.Promise.CONFIGURATION} if servable else set())
