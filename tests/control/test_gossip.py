"""Tests of the gossip transport on real sockets of 127.0.0.0/8."""

import asyncio
import contextlib
import random
import socket
import time

import pytest

from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import gossip as gossip_module
from chivedoor.membership import members as members_module

State = members_module.MemberState
_WAIT_TIMEOUT_S = 30.0


class Clock:
    """Monotonic clock that a test can advance."""

    def __init__(self):
        self.offset_s = 0.0

    def __call__(self):
        return time.monotonic() + self.offset_s


@pytest.fixture
async def open_gossip():
    """Returns a function that opens instances, which are closed at the end."""
    async with contextlib.AsyncExitStack() as stack:

        async def async_open(name, seeds=(), clock=time.monotonic):
            instance = _build_instance(name, seeds, clock)
            await instance.async_open()
            stack.push_async_callback(instance.async_close)
            return instance

        yield async_open


async def test_members_join_replicate_and_announce_departure(open_gossip):
    # Guards against a transport that does not bind, read, send or close.
    first = await open_gossip("a")
    second = await open_gossip("b", [first.address])
    changes = []
    first.on_members_changed(lambda: changes.append(first.members.revision))
    await _async_wait(lambda: first.members.count_live() == 2)
    await _async_wait(lambda: second.members.count_live() == 2)
    assert changes
    second.board.publish("domain/z", ["OUT"], True, time.monotonic())
    await _async_wait(lambda: first.board.get("domain/z"))
    second.members.leave(time.monotonic())
    await second.async_close()
    await _async_wait(lambda: first.members.count_live() == 1)
    assert first.members.list_dead() == ()
    assert first.sent_bytes > 0
    assert first.received_bytes > 0
    assert first.dump_state()["dropped"]["tag"] == 0


async def test_pause_discards_waiting_datagrams_and_is_reported(open_gossip):
    # Guards against a balancer that acts on outdated datagrams after a pause.
    clock = Clock()
    instance = await open_gossip("a", clock=clock)
    pauses = []
    instance.on_pause(pauses.append)
    incarnation = instance.members.local.incarnation
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(5):
            sender.sendto(b"stale", instance.address)
    clock.offset_s = 30.0
    await _async_wait(lambda: pauses)
    assert instance.discarded == 5
    assert sum(instance.dump_state()["dropped"].values()) == 0
    assert instance.members.local.state is State.JOINING
    assert instance.members.local.incarnation >= incarnation + 29_000


async def test_malformed_datagrams_do_not_stop_the_loop(open_gossip):
    # Guards against an exception in the socket reader, which asyncio would
    # only log.
    first = await open_gossip("a")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for size in (0, 1, 17, 1200, 9000):
            sender.sendto(b"\xff" * size, first.address)
    await _async_wait(lambda: sum(first.dump_state()["dropped"].values()) == 5)
    await open_gossip("b", [first.address])
    await _async_wait(lambda: first.members.count_live() == 2)


async def test_port_in_use_is_reported_and_close_is_repeatable(open_gossip):
    # Guards against a daemon that keeps running without gossip because its
    # port is in use.
    first = await open_gossip("a")
    duplicate = _build_instance("a", (), time.monotonic, port=first.address[1])
    with pytest.raises(OSError):
        await duplicate.async_open()
    await duplicate.async_close()
    await first.async_close()
    await first.async_close()


class Instance(gossip_module.Gossip):
    """A gossip transport that exposes its tables."""

    def __init__(self, *, members, board, **options):
        super().__init__(
            local=members.local, members=members, board=board, **options
        )
        self.members = members
        self.board = board
        self.address = (members.local.address, members.local.gossip_port)


def _build_instance(name, seeds, clock, port=None):
    local = members_module.Member(
        id=name,
        domain="zone-1",
        region="region-1",
        address="127.0.0.1",
        peer_port=1,
        gossip_port=port or _find_port(),
        channel_port=2,
        incarnation=members_module.compute_incarnation(time.time()),
        state=State.ACTIVE,
    )
    return Instance(
        members=members_module.Members(local=local),
        board=board_module.Board(
            local_id=local.id, incarnation=local.incarnation
        ),
        budget=budget_module.ByteBudget(rate_bytes_per_s=20_000),
        keys=authentication.Keys(current=b"0123456789abcdef"),
        rng=random.Random(name),
        clock=clock,
        seeds=seeds,
    )


def _find_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def _async_wait(condition):
    async with asyncio.timeout(_WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
