"""Tests of the detection and the abort of silent flows."""

import dataclasses
import itertools

import pytest

from chivedoor.balancer import actions
from chivedoor.balancer import const
from chivedoor.balancer import silence
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from standins import segments
from tests.balancer import fleet as fleets

_SUSPECT = encapsulation.ForwardKind.SUSPECT
_NAMES = ("a0", "a1", "b0", "b1", "c0", "c1")
_PORT = 5000


@pytest.fixture
def fleet():
    endpoints = [
        fleets.make_endpoint(number, domain)
        for number, domain in enumerate("abcabca", 1)
    ]
    document = fleets.make_document(1, fleets.make_service(endpoints))
    result = fleets.Fleet(per_domain=2, document=document)
    result.finish_recovery()
    result.settle()
    (opened,) = result.send("a0", fleets.make_segment(_PORT, fleets.SYN))
    result.send("a0", fleets.make_answer(opened, fleets.SYN | fleets.ACK))
    result.opened = opened
    return result


def _make_data(*, seq=100, ack=1, payload=b"data"):
    segment = fleets.make_segment(
        _PORT, fleets.ACK, payload=payload, seq=seq % 2**32
    )
    return dataclasses.replace(segment, acknowledgement=ack)


def _parse_data(**options):
    return packets.parse_packet(segments.build_packet(_make_data(**options)))


def _find_base_owner(fleet):
    return fleet.find_owner(fleet.opened.packet.destination[3])


def _find_suspicions(fleet):
    return fleet.balancers[_find_base_owner(fleet)].suspicions


def _choose_receiver(fleet):
    owner = _find_base_owner(fleet)
    return next(name for name in _NAMES if name != owner)


@pytest.mark.parametrize(
    ("seqs", "payload", "pause_s", "expected"),
    [
        ((100, 100), b"data", const.MIN_REPEAT_AGE_S, 1),
        ((104, 100), b"data", const.MIN_REPEAT_AGE_S, 1),
        ((2**32 - 2, 2**32 - 2), b"data", const.MIN_REPEAT_AGE_S, 1),
        ((100, 100), b"data", const.MIN_REPEAT_AGE_S - 0.5, 0),
        ((100, 100), b"data", const.OBSERVATION_TIMEOUT_S, 0),
        ((100, 104, 108, 112), b"data", 20.0, 0),
        ((2**32 - 2, 2), b"data", 20.0, 0),
        ((100, 100), b"", 20.0, 0),
        ((100, 100), b"x", 20.0, 0),
    ],
)
def test_only_repeated_data_is_suspected(
    fleet, seqs, payload, pause_s, expected
):
    # Guards against checks of idle flows, of uploads whose acknowledgements
    # pass other balancers, and of probes, which repeat a sequence number.
    receiver = _choose_receiver(fleet)
    for seq in seqs:
        (sent,) = fleet.send(receiver, _make_data(seq=seq, payload=payload))
        assert sent.packet.destination == fleet.opened.packet.destination
        fleet.advance(pause_s)
    assert fleet.forwards[_SUSPECT] == expected
    assert len(_find_suspicions(fleet)) == expected


def test_owner_suspects_data_that_it_receives_itself(fleet):
    # Guards against missing suspicions when the receiver is also the owner.
    owner = _find_base_owner(fleet)
    for _ in range(2):
        assert len(fleet.send(owner, _make_data())) == 1
        fleet.advance(const.MIN_REPEAT_AGE_S)
    assert len(_find_suspicions(fleet)) == 1


def test_observers_forward_data_to_the_owner_and_record_answers(fleet):
    # Guards against an owner that gets no further data of a suspected flow,
    # and against answers of any kind that observers ignore.
    (key,) = _suspect(fleet)
    for name, flags in zip(
        _NAMES, itertools.cycle((fleets.ACK, fleets.RST)), strict=False
    ):
        silence_detector = fleet.balancers[name].silence_detector
        silence_detector.start_observation(key, fleet.now)
        fleet.send(name, _make_data(seq=900))
        assert not silence_detector.may_be_answered(key, fleet.now)
        fleet.send(name, fleets.make_answer(fleet.opened, flags))
        assert silence_detector.may_be_answered(key, fleet.now)
    assert fleet.forwards[_SUSPECT] == len(_NAMES)


def _suspect(fleet):
    receiver = _choose_receiver(fleet)
    for _ in range(2):
        fleet.send(receiver, _make_data())
        fleet.advance(const.MIN_REPEAT_AGE_S)
    return list(_find_suspicions(fleet))


def test_tick_expires_observations(fleet):
    # Guards against observations that never end and slow down the handling of
    # all answers.
    silence_detector = fleet.balancers["a0"].silence_detector
    silence_detector.start_observation(1, fleet.now)
    fleet.advance(const.OBSERVATION_TIMEOUT_S)
    assert not silence_detector.observed


def test_abort_resets_caller_and_target_and_closes_both_records(fleet):
    # Guards against a caller that keeps waiting and a record that stays open
    # after the abort.
    (key,) = _suspect(fleet)
    owner = fleet.balancers[_find_base_owner(fleet)]
    number = fleet.opened.packet.destination[3]
    assert fleet.get_target(number).admission.connections == 1
    results = owner.abort_silent_flow(key, fleet.now)
    (abort,) = (a for a in results if isinstance(a, actions.Abort))
    assert abort.reason is actions.AbortReason.SILENT
    (delivered,) = (a for a in results if isinstance(a, actions.Deliver))
    to_caller = segments.read_packet(bytes(abort.data))
    assert to_caller.source == fleets.SERVICE
    assert (to_caller.flags, to_caller.sequence) == (fleets.RST, 1)
    to_target = segments.read_packet(bytes(delivered.data))
    assert to_target.destination == fleet.opened.packet.destination
    assert (to_target.flags, to_target.sequence) == (fleets.RST, 104)
    fleet._perform(owner.context.local_id, results)
    holders = [
        balancer.context.targets[number].admission.connections
        for balancer in fleet.balancers.values()
        if number in balancer.context.targets
    ]
    assert holders == [0, 0]
    assert owner.abort_silent_flow(key, fleet.now) == []


def test_former_owner_aborts_no_flow(fleet):
    # Guards against a balancer that resets a flow which it no longer owns.
    (key,) = _suspect(fleet)
    owner = fleet.balancers[_find_base_owner(fleet)]
    owner.apply_document(
        document=fleets.make_document(2, fleets.make_service([])),
        out_domains=frozenset(),
        now=fleet.now,
    )
    assert owner.abort_silent_flow(key, fleet.now) == []


def test_tracked_data_is_bounded_and_evicts_the_oldest():
    # Guards against unbounded memory use in a flood of flows.
    silence_detector = silence.SilenceDetector(capacity=100)
    packet = _parse_data()
    for key in range(1000):
        silence_detector.record_data(key, packet, 0.0)
        assert len(silence_detector) <= 100
    assert not silence_detector.record_data(0, packet, 5.0)
    assert silence_detector.record_data(999, packet, 5.0)


def test_observed_flows_are_bounded_and_expire():
    # Guards against observations that never end, and against reporting an
    # evicted or restarted observation as silence.
    silence_detector = silence.SilenceDetector(observed_capacity=10)
    for key in range(100):
        silence_detector.start_observation(key, 0.0)
    assert list(silence_detector.observed) == list(range(90, 100))
    assert silence_detector.may_be_answered(5, 1.0)
    assert not silence_detector.may_be_answered(95, 1.0)
    silence_detector.expire(const.OBSERVATION_TIMEOUT_S)
    assert not silence_detector.observed
    silence_detector.start_observation(95, 200.0)
    assert silence_detector.may_be_answered(95, 100.0)


def test_full_suspicions_reject_new_entries():
    # Guards against a flood of suspicions that evicts existing ones, so that
    # silent flows are never aborted.
    suspicions = silence.Suspicions(capacity=10)
    for key in range(100):
        suspicions.record(key, _parse_data(), 1, 0.0)
    assert list(suspicions) == list(range(10))
    assert suspicions.counters["not_taken"] == 90
    suspicions.expire(const.OBSERVATION_TIMEOUT_S)
    assert len(suspicions) == 0


def test_dismissals_are_bounded_and_end():
    # Guards against dismissed flows that use up the capacity for others or
    # are never checked again.
    suspicions = silence.Suspicions(capacity=1, dismissed_capacity=10)
    for key in range(100):
        suspicions.record(key, _parse_data(), 1, 0.0)
        suspicions.dismiss(key, 0.0)
    suspicions.record(99, _parse_data(), 1, 1.0)
    assert len(suspicions) == 0
    suspicions.expire(const.DISMISSAL_DURATION_S)
    suspicions.record(99, _parse_data(), 1, const.DISMISSAL_DURATION_S)
    assert list(suspicions) == [99]


@pytest.mark.parametrize(
    ("data", "phase"),
    [
        ({"seq": 100}, silence.CheckPhase.REPEATED),
        ({"seq": 50}, silence.CheckPhase.REPEATED),
        ({"seq": 104}, silence.CheckPhase.OBSERVED),
        ({"seq": 100, "ack": 2}, None),
    ],
)
def test_suspicion_follows_the_progress_of_the_caller(data, phase):
    # Guards against aborting a flow whose caller makes progress.
    suspicions = silence.Suspicions()
    suspicions.record(1, _parse_data(), 1, 0.0)
    suspicions.mark_observed(1, (), 0.5)
    suspicions.record(1, _parse_data(**data), 1, 20.0)
    suspicion = suspicions.get(1)
    assert (suspicion and suspicion.phase) is phase
    is_due = phase is silence.CheckPhase.REPEATED
    assert suspicions.list_due(20.0) == [1] * is_due


def test_suspicion_is_not_due_before_minimum_silence():
    # Guards against aborting a flow during a short link outage.
    suspicions = silence.Suspicions()
    suspicions.record(1, _parse_data(), 1, 0.0)
    assert suspicions.list_due(0.0) == [1]
    suspicions.mark_observed(1, (), 0.5)
    suspicions.record(1, _parse_data(), 1, 2.0)
    decision_s = const.MIN_SILENCE_S - const.OBSERVATION_REPLY_DELAY_S
    assert suspicions.list_due(decision_s - 0.1) == []
    assert suspicions.list_due(decision_s) == [1]
