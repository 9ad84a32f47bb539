"""Tests of flow record transfers, mode announcements and domain states."""

import types

import pytest

from chivedoor import exceptions
from chivedoor import ids
from chivedoor.control import board as board_module
from chivedoor.control import messages
from chivedoor.daemon import domains as domains_module
from chivedoor.daemon import modes as modes_module
from chivedoor.daemon import transfers as transfers_module
from chivedoor.registers import registers as registers_module
from tests.balancer import fleet as fleets

_IN, _OUT = registers_module.DomainState


class FakeChannel:
    """Passes requests to the transfer handlers of other balancers."""

    def __init__(self, peers) -> None:
        self.peers = peers
        self.failing = set()
        self.requests = 0

    def register(self, request_type, handler) -> None:
        assert request_type is messages.FlowsRequest
        self.handler = handler

    async def async_request(self, member_id, request, timeout_s):
        self.requests += 1
        if member_id in self.failing:
            raise exceptions.ChivedoorError("no connection")
        return await self.peers[member_id].handler(request)


@pytest.fixture
def fleet():
    endpoints = [fleets.make_endpoint(n, "abc"[n % 3]) for n in range(1, 7)]
    service = fleets.make_service(endpoints)
    return fleets.Fleet(per_domain=2, document=fleets.make_document(1, service))


@pytest.fixture
async def peers(fleet):
    channels = {}
    for name in fleet.balancers:
        channels[name] = FakeChannel(channels)
    transfers = {
        name: transfers_module.Transfers(
            balancer=balancer, channel=channels[name], clock=lambda: fleet.now
        )
        for name, balancer in fleet.balancers.items()
    }
    yield types.SimpleNamespace(channels=channels, transfers=transfers)
    for transfer in transfers.values():
        await transfer.async_close()


async def test_pulls_end_when_every_owner_has_replied(
    fleet, peers, async_wait_until
):
    # Guards against a balancer that waits for flow records forever.
    fleet.advance(10.0)
    await async_wait_until(
        lambda: sum(t.start_pulls() for t in peers.transfers.values()) == 0
    )
    assert not any(t.failures for t in peers.transfers.values())


async def test_failed_pull_is_retried(fleet, peers, async_wait_until):
    # Guards against a failed pull that counts as done or is never retried.
    fleet.advance(10.0)
    channel = peers.channels["a0"]
    channel.failing = set(fleet.balancers)
    transfer = peers.transfers["a0"]
    await async_wait_until(lambda: transfer.start_pulls() and transfer.failures)
    assert transfer.start_pulls() > 0
    channel.failing = set()
    await async_wait_until(
        lambda: sum(t.start_pulls() for t in peers.transfers.values()) == 0
    )


def _make_board(name, incarnation=1):
    return board_module.Board(
        local_id=ids.VmId(name), incarnation=ids.Incarnation(incarnation)
    )


def _make_announcers(fleet):
    boards_by_name = {name: _make_board(name) for name in fleet.balancers}
    announcers = {
        name: modes_module.ModeAnnouncer(
            balancer=fleet.balancers[name], board=board
        )
        for name, board in boards_by_name.items()
    }
    return boards_by_name, announcers


def _exchange_modes(fleet, boards_by_name):
    for board in boards_by_name.values():
        for other in boards_by_name.values():
            other.merge(board.list_entries("mode/"), fleet.now)


def test_modes_of_a_dead_owner_are_ignored(fleet):
    # Guards against direct routing based on announcements of a dead owner.
    fleet.finish_recovery()
    fleet.pull()
    boards_by_name, announcers = _make_announcers(fleet)
    for announcer in announcers.values():
        announcer.announce(fleet.now)
    _exchange_modes(fleet, boards_by_name)
    (routes,) = fleet.balancers["c0"].context.directory.routes.values()
    owner = fleet.find_owner(1)
    owned = {n for n in range(1, 7) if fleet.find_owner(n) == owner}
    assert routes.direct_endpoints == set(range(1, 7))
    boards_by_name["c0"].set_origin_dead(owner, fleet.now)
    assert routes.direct_endpoints == set(range(1, 7)) - owned
    boards_by_name["c0"].set_origin_alive(owner, 1, fleet.now)
    assert routes.direct_endpoints == set(range(1, 7))
    boards_by_name["c0"].set_origin_alive(owner, 2, fleet.now)
    assert routes.direct_endpoints == set(range(1, 7)) - owned


def test_withdrawn_mode_is_urgent_and_spreads(fleet):
    # Guards against packets of an overridden flow that are routed directly,
    # past the override, because the withdrawal arrives late.
    fleet.finish_recovery()
    fleet.pull()
    boards_by_name, announcers = _make_announcers(fleet)
    owner = fleet.find_owner(1)
    urgent = []
    boards_by_name[owner].on_publish(
        lambda entry, is_urgent: urgent.append((entry.topic, is_urgent))
    )
    announcers[owner].announce(fleet.now)
    assert ("mode/1", False) in urgent
    _exchange_modes(fleet, boards_by_name)
    (routes,) = fleet.balancers["c0"].context.directory.routes.values()
    assert 1 in routes.direct_endpoints
    fleet.get_target(1).set_override(ids.FlowKey(5), 2, fleet.now)
    announcers[owner].announce(fleet.now)
    assert urgent[-1] == ("mode/1", True)
    _exchange_modes(fleet, boards_by_name)
    assert 1 not in routes.direct_endpoints


def test_restarted_balancer_recovers_registers():
    # Guards against an operator command that is lost when the balancer that
    # received it restarts, and against a command to the restarted balancer
    # that loses against an older one.
    changes = []
    boards_by_name = [_make_board("a0"), _make_board("b0")]
    first, second = (
        domains_module.Domains(
            local_id=board.local_id,
            board=board,
            clock=lambda: 0.0,
            handle_change=lambda: changes.append(1),
        )
        for board in boards_by_name
    )
    first.set_state(ids.DomainId("a"), _OUT)
    first.set_state(ids.DomainId("a"), _IN)
    first.set_state(ids.DomainId("a"), _OUT)
    boards_by_name[1].merge(boards_by_name[0].list_entries("domain/"), 0.0)
    restarted_board = _make_board("a0", incarnation=2)
    restarted = domains_module.Domains(
        local_id=ids.VmId("a0"),
        board=restarted_board,
        clock=lambda: 0.0,
        handle_change=lambda: None,
    )
    restarted_board.merge(boards_by_name[1].list_entries("domain/"), 0.0)
    document = fleets.make_document(1)
    assert restarted.find_out_domains(document) == {"a"}
    restarted.set_state(ids.DomainId("a"), _IN)
    boards_by_name[1].merge(restarted_board.list_entries("domain/"), 0.0)
    assert second.find_out_domains(document) == frozenset()
    # A late entry of the previous incarnation is ignored.
    boards_by_name[1].merge(boards_by_name[0].list_entries("domain/"), 0.0)
    assert second.find_out_domains(document) == frozenset()
    first.unload()
    count = len(changes)
    boards_by_name[0].merge(restarted_board.list_entries("domain/"), 0.0)
    assert len(changes) == count
