"""Tests of the checks of silent flows by the balancers of a fleet."""

import asyncio
import dataclasses
import random

import pytest

from chivedoor.balancer import actions
from chivedoor.balancer import const as balancer_const
from chivedoor.control import messages
from chivedoor.daemon import const
from chivedoor.daemon import silence
from chivedoor.rpc import exceptions
from chivedoor.telemetry import events
from tests.balancer import fleet as fleets

_NAMES = ("a0", "a1", "b0", "b1", "c0", "c1")
_PORT = 5000


class FakeChannel:
    """Passes requests of one balancer to the handlers of the others."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def register(self, request_type, handler):
        assert request_type is messages.SilenceRequest
        self._network.handlers[self._name] = handler

    async def async_request(self, member, request, timeout_s):
        assert timeout_s > 0
        self._network.requests.append((member, request))
        if member in self._network.unreachable:
            raise exceptions.PeerUnreachableError(member)
        await self._network.open.wait()
        return await self._network.handlers[member](request)


class FakeLog:
    """Records the written events."""

    def __init__(self):
        self.events = []

    def write_event(self, event):
        self.events.append(event)


class Network:
    """The silence checkers of all balancers of a fleet.

    Attributes:
        unreachable: Balancers that do not answer requests.
        open: Requests block until this event is set.
        aborts: Abort actions, which send resets to the callers.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.handlers = {}
        self.requests = []
        self.unreachable = set()
        self.open = asyncio.Event()
        self.open.set()
        self.aborts = []
        self.logs = FakeLog()
        self.checks = {
            name: silence.SilenceChecker(
                balancer=balancer,
                channel=FakeChannel(self, name),
                clock=lambda: fleet.now,
                rng=random.Random(1),
                perform=lambda action, name=name: self._perform(name, action),
                logs=self.logs,
                reply_delay_s=0.0,
            )
            for name, balancer in fleet.balancers.items()
        }

    def _perform(self, name, action):
        if isinstance(action, actions.Abort):
            self.aborts.append(action)
        self.fleet._perform(name, [action])

    async def async_check(self):
        """Runs all due checks to completion."""
        for checks in self.checks.values():
            checks.start_checks()
        while any(c.dump_state()["running"] for c in self.checks.values()):
            await asyncio.sleep(0)

    async def async_repeat_data(self, times, *, change=0, answer_at=None):
        """Sends data of the caller through two balancers in turn.

        Args:
            times: How often data is sent, at the intervals of a caller.
            change: The increment of the sequence number between segments.
            answer_at: The balancer that receives the target's answers, or
                None.
        """
        for attempt in range(times):
            name = _NAMES[attempt % 2]
            self.fleet.send(name, _make_data(100 + attempt * change))
            if answer_at is not None:
                answer = fleets.make_answer(self.fleet.opened)
                self.fleet.send(answer_at, answer)
            await self.async_check()
            self.fleet.advance(5.0)


def _make_data(seq):
    return fleets.make_segment(_PORT, fleets.ACK, payload=b"data", seq=seq)


@pytest.fixture
def network():
    endpoints = [
        fleets.make_endpoint(number, domain)
        for number, domain in enumerate("abcabca", 1)
    ]
    document = fleets.make_document(1, fleets.make_service(endpoints))
    fleet = fleets.Fleet(per_domain=2, document=document)
    fleet.finish_recovery()
    fleet.settle()
    (opened,) = fleet.send("a0", fleets.make_segment(_PORT, fleets.SYN))
    fleet.send("a0", fleets.make_answer(opened, fleets.SYN | fleets.ACK))
    fleet.opened = opened
    return Network(fleet)


def _count_connections(network):
    number = network.fleet.opened.packet.destination[3]
    return network.fleet.get_target(number).admission.connections


async def test_silent_flow_is_aborted_once_at_both_ends(network):
    # Guards against callers that keep waiting for an unreachable target.
    await network.async_repeat_data(3)
    assert network.aborts == []
    await network.async_repeat_data(1)
    (abort,) = network.aborts
    assert abort.reason is actions.AbortReason.SILENT
    assert _count_connections(network) == 0
    (event,) = network.logs.events
    assert event == events.FlowSilent(
        endpoint=network.fleet.opened.packet.destination[3],
        silent_s=event.silent_s,
    )
    least_s = (
        balancer_const.MIN_SILENCE_S - balancer_const.OBSERVATION_REPLY_DELAY_S
    )
    assert event.silent_s >= least_s


@pytest.mark.parametrize("answer_at", _NAMES)
async def test_flow_with_answers_at_any_balancer_stays(network, answer_at):
    # Guards against aborting a flow whose answers pass other balancers.
    await network.async_repeat_data(12, answer_at=answer_at)
    assert network.aborts == []
    assert _count_connections(network) == 1


async def test_upload_without_answers_here_stays(network):
    # Guards against aborting a one-way upload that makes progress.
    await network.async_repeat_data(12, change=1000)
    assert network.requests == []
    assert network.aborts == []


async def test_quiet_flow_stays(network):
    # Guards against aborting a stream that is idle.
    await network.async_repeat_data(1)
    for _ in range(100):
        network.fleet.advance(5.0)
        await network.async_check()
    assert network.requests == []
    assert network.aborts == []
    assert _count_connections(network) == 1


async def test_flow_that_goes_quiet_during_a_check_stays(network):
    # Guards against an abort without a second retransmission.
    await network.async_repeat_data(3)
    assert network.requests
    for _ in range(100):
        network.fleet.advance(5.0)
        await network.async_check()
    assert network.aborts == []
    assert all(
        not checks.dump_state()["suspicions"]
        for checks in network.checks.values()
    )


async def test_answer_between_rounds_keeps_the_flow(network):
    # Guards against ignoring an answer that passes between the two rounds.
    await network.async_repeat_data(3)
    network.fleet.send("c1", fleets.make_answer(network.fleet.opened))
    await network.async_repeat_data(3)
    assert network.aborts == []


async def test_few_unreachable_peers_do_not_prevent_the_abort(network):
    # Guards against dead peers that keep a silent flow open.
    owner = network.fleet.find_owner(network.fleet.opened.packet.destination[3])
    network.unreachable = set([n for n in _NAMES if n != owner][:2])
    await network.async_repeat_data(4)
    assert len(network.aborts) == 1


async def test_caller_that_missed_the_reset_gets_another(network):
    # Guards against a caller that keeps waiting because one RST was lost.
    await network.async_repeat_data(6)
    assert len(network.aborts) == 2
    assert _count_connections(network) == 0


@pytest.mark.parametrize("round_number", [1, 2])
async def test_flow_stays_when_most_peers_are_unreachable(
    network, round_number
):
    # Guards against an owner that aborts a flow although most balancers could
    # not tell it whether the target answers.
    if round_number == 2:
        await network.async_repeat_data(3)
    network.unreachable = set(_NAMES)
    await network.async_repeat_data(8)
    assert network.aborts == []
    assert _count_connections(network) == 1


async def test_restarted_peer_keeps_the_flow(network):
    # Guards against a restarted balancer that reports silence although it
    # did not observe the flow for the whole time.
    await network.async_repeat_data(3)
    network.fleet.balancers["c1"].silence_detector.observed.clear()
    network.fleet.balancers["c0"].silence_detector.observed.clear()
    await network.async_repeat_data(3)
    assert network.aborts == []


async def test_concurrent_checks_are_limited_and_not_repeated(network):
    # Guards against many suspicions that use up the control traffic.
    network.open.clear()
    for port in range(6000, 6200):
        data = fleets.make_segment(port, fleets.ACK, payload=b"data", seq=1)
        network.fleet.send("a0", data)
    network.fleet.advance(balancer_const.MIN_REPEAT_AGE_S)
    for port in range(6000, 6200):
        data = fleets.make_segment(port, fleets.ACK, payload=b"data", seq=1)
        network.fleet.send("a0", data)
    for _ in range(5):
        for checks in network.checks.values():
            checks.start_checks()
        await asyncio.sleep(0)
    running = [c.dump_state()["running"] for c in network.checks.values()]
    assert max(running) == const.MAX_CONCURRENT_SILENCE_CHECKS
    sent = [(member, r.flow) for member, r in network.requests]
    assert len(sent) == len(set(sent))
    assert len(sent) == sum(running) * (len(_NAMES) - 1)
    for checks in network.checks.values():
        await checks.async_close()


async def test_running_check_is_not_started_again(network):
    # Guards against repeating a request to a slow peer on every tick.
    await network.async_repeat_data(2)
    network.fleet.send("a0", _make_data(100))
    network.open.clear()
    for _ in range(5):
        for checks in network.checks.values():
            checks.start_checks()
        await asyncio.sleep(0)
    assert len(network.requests) == len(_NAMES) - 1
    for checks in network.checks.values():
        await checks.async_close()


async def test_only_balancers_of_the_region_are_asked(network):
    # Guards against checks that depend on the connection between regions.
    far = dataclasses.replace(fleets.make_member("far", "c"), region="r2")
    members = network.fleet.balancers["a0"].context.members
    members.merge(far, network.fleet.now)
    assert network.checks["a0"]._choose_peers() == list(_NAMES[1:])


async def test_large_region_is_sampled(network):
    # Guards against a check that queries hundreds of balancers.
    balancer = network.fleet.balancers["a0"]
    for index in range(100):
        member = fleets.make_member(f"d{index}", "c")
        balancer.context.members.merge(member, network.fleet.now)
    peers = network.checks["a0"]._choose_peers()
    assert len(set(peers)) == const.MAX_SILENCE_PEERS
    assert "a0" not in peers
