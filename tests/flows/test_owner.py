"""Tests of the state of one target: records, recovery and retransmissions."""

import pytest

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.configuration import document as documents
from chivedoor.flows import const
from chivedoor.flows import owner as owners
from tests.balancer import fleet as fleets

_REQUEST = documents.PortKind.REQUEST
_STREAM = documents.PortKind.STREAM
_KEY = ids.FlowKey(7)


@pytest.fixture
def policy():
    return fleets.make_policy(request_deadline_s=300.0, idle_timeout_s=3600.0)


@pytest.fixture
def owner(policy):
    result = owners.TargetState(
        endpoint=fleets.make_endpoint(1, "a"),
        policy=policy,
        admission=admissions.TargetAdmission(policy=policy, cold=False, now=0),
        now=0.0,
    )
    result.become_owner(0.0)
    return result


def _decide(owner, now, kind=_REQUEST):
    return owner.admission.decide(kind=kind, share=1.0, now=now)


def test_slots_stay_closed_until_the_deadline(owner):
    # Guards against exceeding the slots after a takeover without records, while
    # requests of the failed owner still run.
    assert _decide(owner, 299.0) is admissions.Decision.SLOTS_FULL
    assert _decide(owner, 1.0, _STREAM) is admissions.Decision.ADMIT
    assert _decide(owner, 300.0) is admissions.Decision.ADMIT


def test_idle_reports_open_the_slots_early(owner):
    # Guards against refusing requests for minutes after a first start.
    for now in range(13):
        assert _decide(owner, now) is admissions.Decision.SLOTS_FULL
        owner.report_load(0, float(now))
    owner.tick(13.0, view_changed_at_s=0.0)
    assert _decide(owner, 13.0) is admissions.Decision.ADMIT
    assert owner.has_records


def test_running_request_keeps_the_slots_closed(owner):
    # Guards against opening the slots while the target reports that a request
    # of the former owner still runs.
    for now in range(12):
        owner.report_load(0, float(now))
    owner.report_load(1, 12.0)
    for now in range(13, 24):
        owner.report_load(0, float(now))
    assert _decide(owner, 24.0) is admissions.Decision.SLOTS_FULL


def test_adopted_request_keeps_the_slots_closed(owner):
    # Guards against opening the slots by an idle report although the traffic
    # shows a running request.
    owner.adopt(_KEY, _REQUEST, 1.0)
    for now in range(30):
        owner.report_load(0, float(now))
    assert _decide(owner, 30.0) is admissions.Decision.SLOTS_FULL


def test_replica_that_takes_over_keeps_counts_and_open_slots(policy):
    # Guards against a takeover that closes the slots although the replica has
    # complete records.
    replica = owners.TargetState(
        endpoint=fleets.make_endpoint(1, "a"),
        policy=policy,
        admission=admissions.TargetAdmission(policy=policy, cold=False, now=0),
        now=0.0,
    )
    replica.has_records = True
    replica.replicate(_KEY, _REQUEST, 1.0)
    replica.replicate(_KEY, _REQUEST, 1.5)
    replica.become_owner(2.0)
    assert replica.admission.slots == 1
    assert _decide(replica, 2.0) is admissions.Decision.ADMIT


def test_timed_out_request_stays_closed_for_late_copies(owner):
    # Guards against a late copy of a datagram that runs again after the
    # request deadline.
    owner.has_records = True
    owner.replicate(_KEY, _REQUEST, 0.0)
    owner.tick(310.0, view_changed_at_s=0.0)
    assert owner.admission.slots == 0
    assert _KEY in owner.flows
    assert owner.tick(
        310.0 + const.CLOSED_LINGER_S + 10.0, view_changed_at_s=0.0
    ) == [_KEY]
    assert owner.admission.connections == 0


def test_flow_ends_with_the_second_fin_and_only_once(owner):
    # Guards against freeing a slot while the target still counts the request,
    # and against freeing it twice.
    owner.replicate(_KEY, _REQUEST, 0.0)
    owner.close_target(_KEY, 1.0)
    owner.close_target(_KEY, 1.1)
    assert owner.admission.slots == 1
    owner.close_caller(_KEY, 2.0)
    owner.close_caller(_KEY, 2.1)
    owner.close(_KEY, 2.2)
    assert (owner.admission.slots, owner.admission.connections) == (0, 0)


def test_pull_counts_only_for_its_owner_and_generation(owner):
    # Guards against mode `DIRECT` before all overrides are known, after an
    # owner restarted or the table changed.
    first = owners.OwnerIdentity(
        member=ids.VmId("b0"), incarnation=ids.Incarnation(1)
    )
    again = owners.OwnerIdentity(
        member=ids.VmId("b0"), incarnation=ids.Incarnation(2)
    )
    number = ids.EndpointNumber(2)
    owner.mark_pulled(number, first, ids.Generation(5))
    assert owner.find_missing_pulls({number: first}, ids.Generation(5)) == []
    assert owner.find_missing_pulls({number: again}, ids.Generation(5))
    assert owner.find_missing_pulls({number: first}, ids.Generation(6))
    owner.retain_pulls(frozenset(), ids.Generation(5))
    assert owner.find_missing_pulls({number: first}, ids.Generation(5))


def test_pull_does_not_count_when_its_generation_recurs(owner):
    # Guards against mode `DIRECT` without the overrides of flows that were
    # placed while a failure domain was out: its return restores the former
    # generation.
    identity = owners.OwnerIdentity(
        member=ids.VmId("b0"), incarnation=ids.Incarnation(1)
    )
    number = ids.EndpointNumber(2)
    known = frozenset({number})
    owner.mark_pulled(number, identity, ids.Generation(5))
    owner.retain_pulls(known, ids.Generation(5))
    assert not owner.find_missing_pulls({number: identity}, ids.Generation(5))
    owner.retain_pulls(known, ids.Generation(6))
    owner.retain_pulls(known, ids.Generation(5))
    assert owner.find_missing_pulls({number: identity}, ids.Generation(5))


@pytest.mark.parametrize("view_changed_at_s", [0.0, 20.0])
def test_handshake_timeouts_count_unless_the_view_changed(
    owner, view_changed_at_s
):
    # Guards against handshake timeouts that count against a healthy target
    # although the first packets were lost at a failed replica.
    for number in range(10):
        owner.admit(ids.FlowKey(number), _STREAM, 1.0, 10.0)
    owner.tick(20.0, view_changed_at_s=view_changed_at_s)
    healthy = _decide(owner, 20.0, _STREAM) is admissions.Decision.ADMIT
    assert healthy == (view_changed_at_s > 10.0)


def _admit_streams(owner, count):
    for number in range(count):
        key = ids.FlowKey(100 + number)
        decision = owner.admit(key, _STREAM, 1.0, 1.0)
        assert decision is admissions.Decision.ADMIT


def _count_retransmitted(owner, count, now):
    keys = (ids.FlowKey(100 + number) for number in range(count))
    return sum(owner.may_retransmit(key, 1.0, now) for key in keys)


def test_retransmissions_pass_while_the_target_is_healthy(owner):
    # Guards against handshakes that fail because of one lost packet.
    _admit_streams(owner, 20)
    assert _count_retransmitted(owner, 20, 2.0) == 20


def test_retransmissions_wait_while_the_target_is_unhealthy(owner):
    # Guards against sending all retransmissions to an unhealthy target, which
    # would complete all handshakes at once when it recovers.
    _admit_streams(owner, 20)
    for _ in range(3):
        owner.admission.record_timeout(4.0)
    assert _count_retransmitted(owner, 20, 5.0) == 0


def test_retransmissions_are_limited_by_the_ramp(owner, policy):
    # Guards against a cold target that gets more flows than its ramp allows
    # because of retransmissions. In the bench case `health`, 5 flows that
    # callers had retransmitted for 10 s exceeded the ramp.
    _admit_streams(owner, 20)
    for _ in range(3):
        owner.admission.record_timeout(4.0)
    owner.admission.record_handshake(None, 16.0)
    started = sum(
        _count_retransmitted(owner, 20, 16.0 + step / 10) for step in range(10)
    )
    assert 0 < started <= policy.ramp_initial


def test_retransmissions_of_open_flows_are_not_limited(owner):
    # Guards against dropping packets of open flows whose target became cold.
    _admit_streams(owner, 20)
    for number in range(20):
        owner.flows.confirm(ids.FlowKey(100 + number), 1.1)
    owner.admission.mark_cold(2.0)
    assert _count_retransmitted(owner, 20, 3.0) == 20
