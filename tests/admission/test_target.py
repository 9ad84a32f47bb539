"""Tests of the admission to one target, checked against a model."""

import itertools
import math
import operator
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chivedoor.admission import const
from chivedoor.admission import exceptions
from chivedoor.admission import health
from chivedoor.admission import target
from chivedoor.configuration import document
from tests.admission import conftest

Kind = document.PortKind
Decision = target.Decision
Report = health.Report
KINDS = strategies.sampled_from(Kind)
SHARES = strategies.sampled_from([0, 0.5, 1])


def make_target(*, cold=False, **policy):
    return target.TargetAdmission(
        policy=conftest.make_policy(**policy),
        cold=cold,
        now=0.0,
        rng=random.Random(1),
    )


def try_admit(admission, now, kind=Kind.STREAM, share=1):
    decision = admission.decide(kind=kind, share=share, now=now)
    if decision is Decision.ADMIT:
        admission.admit(kind, now)
    return decision


def count_admitted(admission, now, tries=200, **flow):
    decisions = [try_admit(admission, now, **flow) for _ in range(tries)]
    return decisions.count(Decision.ADMIT)


def make_bad(admission, now=0.0):
    for _ in range(const.BAD_FAILURE_THRESHOLD):
        admission.record_timeout(now)


class OwnersMachine(stateful.RuleBasedStateMachine):
    """Two owners on different sides of a partition that share one target.

    The model tracks the flows that are open on the target and the times of all
    offered and started flows. It computes the limits from the policy
    independently of the implementation.
    """

    CONNECTIONS = 9
    SLOTS = 5
    STEP_S = 2.0

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.owners = [self.make_owner() for _ in range(2)]
        self.shares = [1, 0]
        self.open = [[], []]
        self.starts = [[], []]
        self.levels = [[], []]
        self.cold_since = [0.0, 0.0]
        self.closed_until = [0.0, 0.0]

    def make_owner(self):
        return target.TargetAdmission(
            policy=conftest.make_policy(
                connections=self.CONNECTIONS,
                slots=self.SLOTS,
                ramp_step_s=self.STEP_S,
                request_deadline_s=3.0,
            ),
            cold=True,
            now=self.now,
        )

    def level(self, side):
        steps = int((self.now - self.cold_since[side]) / self.STEP_S)
        return 2**steps if 2**steps < self.CONNECTIONS else math.inf

    @stateful.rule(share=SHARES)
    def change_view(self, share):
        self.shares = [share, 1 - share]

    @stateful.rule(kind=KINDS, count=strategies.integers(1, 9))
    def offer(self, kind, count):
        for side in (0, 1) * count:
            self.offer_one(side, self.shares[side], kind)

    def offer_one(self, side, share, kind):
        level = self.level(side)
        allowed = math.floor(level * share) if level < math.inf else level
        self.levels[side].append((self.now, allowed))
        owner = self.owners[side]
        if try_admit(owner, self.now, kind, share) is not Decision.ADMIT:
            return
        self.open[side].append(kind)
        self.starts[side].append(self.now)
        assert len(self.open[side]) <= math.floor(self.CONNECTIONS * share)
        if kind is not Kind.STREAM:
            ceiling = min(self.SLOTS, level)
            assert self.slots(side) <= math.floor(ceiling * share)
            assert self.now >= self.closed_until[side]
        # Rounding errors may admit a flow slightly early.
        window = self.now - 1 + 1e-6
        recent = sum(start > window for start in self.starts[side])
        assert recent <= max(
            allowed
            for offered, allowed in self.levels[side]
            if offered > window
        )

    def slots(self, side):
        return sum(kind is not Kind.STREAM for kind in self.open[side])

    @stateful.rule(elapsed_s=strategies.sampled_from([0.01, 0.2, 0.7, 2, 9]))
    def wait(self, elapsed_s):
        self.now += elapsed_s

    @stateful.rule(side=strategies.integers(0, 1), kind=KINDS)
    def add_existing_flow(self, side, kind):
        self.owners[side].add_existing_flow(kind)
        self.open[side].append(kind)

    @stateful.rule(side=strategies.integers(0, 1), index=strategies.integers(0))
    def release(self, side, index):
        if self.open[side]:
            kind = self.open[side].pop(index % len(self.open[side]))
            self.owners[side].release(kind, self.now)

    @stateful.rule(side=strategies.integers(0, 1))
    def become_cold(self, side):
        self.owners[side].mark_cold(self.now)
        self.cold_since[side] = self.now
        self.starts[side].clear()
        self.levels[side].clear()

    @stateful.rule(side=strategies.integers(0, 1))
    def take_over_with_replica(self, side):
        self.owners[side] = self.make_owner()
        for kind in self.open[side]:
            self.owners[side].add_existing_flow(kind)
        self.cold_since[side] = self.now
        self.closed_until[side] = 0.0
        self.starts[side].clear()
        self.levels[side].clear()

    @stateful.rule(side=strategies.integers(0, 1))
    def begin_recovery(self, side):
        self.owners[side].begin_recovery(self.now)
        self.closed_until[side] = self.now + 3.0

    @stateful.invariant()
    def counts_are_exact(self):
        for side, owner in enumerate(self.owners):
            assert owner.connections == len(self.open[side])
            assert owner.slots == self.slots(side)


OwnersMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
# Guards against admissions beyond floor(limit * share) or beyond the ramp.
TestOwners = OwnersMachine.TestCase


@hypothesis.given(
    strategies.integers(0, 10**6),
    strategies.fractions(min_value=0, max_value=1),
    strategies.booleans(),
)
def test_shares_never_add_up_to_more_than_the_limit(limit, share, exact):
    # Guards against shares that are rounded up on both sides of a partition.
    parts = [share, 1 - share] if exact else [0.5, 0.5]
    assert sum(target.limits.apply_share(limit, part) for part in parts) <= (
        limit
    )


@pytest.mark.parametrize("share", [-0.1, 1.1, math.nan])
def test_share_out_of_range(share):
    # Guards against admissions beyond the limit because of an invalid share.
    with pytest.raises(exceptions.ShareError):
        make_target().decide(kind=Kind.STREAM, share=share, now=0.0)


def test_each_limit_returns_its_decision():
    # Guards against rejections that are attributed to the wrong limit.
    admission = make_target(connections=6, slots=4)
    assert count_admitted(admission, 0.0, kind=Kind.REQUEST) == 4
    assert try_admit(admission, 0.0, Kind.UPLOAD) is Decision.SLOTS_FULL
    assert count_admitted(admission, 0.0) == 2
    assert try_admit(admission, 0.0) is Decision.CONNECTIONS_FULL
    admission.release(Kind.REQUEST, 0.0)
    assert try_admit(admission, 0.0, Kind.UPLOAD) is Decision.ADMIT
    admission.set_policy(conftest.make_policy(connections=7))
    assert try_admit(admission, 0.0) is Decision.ADMIT


def test_admit_requires_a_preceding_decision():
    # Guards against two flows that are admitted by a single decision.
    admission = make_target(connections=1)
    admission.decide(kind=Kind.STREAM, share=1, now=0.0)
    with pytest.raises(exceptions.LimitError):
        admission.admit(Kind.REQUEST, 0.0)
    admission.admit(Kind.STREAM, 0.0)
    with pytest.raises(exceptions.LimitError):
        admission.admit(Kind.STREAM, 0.0)
    admission.release(Kind.STREAM, 0.0)
    admission.decide(kind=Kind.STREAM, share=1, now=0.0)
    admission.add_existing_flow(Kind.STREAM)
    with pytest.raises(exceptions.LimitError):
        admission.admit(Kind.STREAM, 0.0)


@pytest.mark.parametrize("kind", list(Kind))
def test_release_without_flow(kind):
    # Guards against negative counters, which would increase the limit.
    admission = make_target()
    with pytest.raises(exceptions.ReleaseError):
        admission.release(kind, 0.0)
    admission.add_existing_flow(Kind.REQUEST)
    if kind is Kind.STREAM:
        with pytest.raises(exceptions.ReleaseError):
            admission.release(kind, 0.0)
    assert (admission.connections, admission.slots) == (1, 1)


def test_draining_target_rejects_new_flows():
    # Guards against new flows to a target that is about to be removed.
    admission = make_target()
    admission.set_draining(True)
    assert try_admit(admission, 0.0) is Decision.DRAINING
    admission.set_draining(False)
    assert try_admit(admission, 0.0) is Decision.ADMIT


def test_ramp_doubles_each_step_and_ends():
    # Guards against a ramp that falls behind its schedule or never ends.
    admission = make_target(cold=True, connections=1000, ramp_initial=4)
    admitted = []
    for second in range(41):
        offers = (second + part / 50 for part in range(50))
        each = [count_admitted(admission, now, tries=25) for now in offers]
        admitted.append(sum(each))
        for _ in range(sum(each)):
            admission.release(Kind.STREAM, second + 1.0)
    levels = [4 * 2 ** (second // 5) for second in range(40)]
    pairs = list(zip(admitted, levels, strict=False))
    assert all(done <= level for done, level in pairs)
    # The bucket refills at 0.9 of the level. The first of the 50 offers of a
    # step is still limited to half of that, and the last flow may start in the
    # next second.
    assert all(done >= level * 0.9 * 0.99 - 1 for done, level in pairs)
    assert not admission.is_cold(40.0)
    assert admitted[40] == 1000


def test_ramp_limits_slots():
    # Guards against a cold target whose slots are all used immediately.
    admission = make_target(cold=True, slots=4)
    for now in (0.0, 1.0, 2.0):
        last = try_admit(admission, now, Kind.REQUEST)
    assert (admission.slots, last) == (1, Decision.COLD)
    assert try_admit(admission, 3.0) is Decision.ADMIT
    for now in (5.0, 6.0, 10.0, 11.0, 12.0):
        last = try_admit(admission, now, Kind.REQUEST)
    assert (admission.slots, last) == (4, Decision.SLOTS_FULL)


def test_restarts_in_quick_succession_allow_no_burst():
    # Guards against restarts that refill the token bucket of a cold target.
    admission = make_target(cold=True)
    admitted = 0
    for _ in range(10):
        admitted += count_admitted(admission, 0.0)
        admission.mark_cold(0.0)
    assert admitted == 1


def test_slots_stay_closed_until_the_request_deadline():
    # Guards against requests beyond the slot limit after a takeover without a
    # replica, while requests of the previous owner are still running.
    admission = make_target()
    admission.begin_recovery(10.0)
    admission.add_existing_flow(Kind.REQUEST)
    assert try_admit(admission, 39.9, Kind.REQUEST) is Decision.SLOTS_FULL
    assert try_admit(admission, 39.9, Kind.UPLOAD) is Decision.SLOTS_FULL
    assert try_admit(admission, 39.9) is Decision.ADMIT
    assert count_admitted(admission, 40.0, kind=Kind.REQUEST) == 3


def reset_flows(admission):
    for _ in range(5):
        admission.record_reset(True, 1.0)


def record_slow_handshakes(admission):
    for _ in range(10):
        admission.record_handshake(0.01, -3.0)
    for now in (-1.0, 0.0, 1.0):
        admission.record_handshake(0.15, now)


@pytest.mark.parametrize(
    "apply_signs",
    [
        reset_flows,
        record_slow_handshakes,
        lambda admission: admission.mark_cold(1.0),
        lambda admission: admission.record_report(Report.COLD, 1.0),
        lambda admission: (
            make_bad(admission, 1.0),
            admission.record_handshake(None, 1.0),
        ),
    ],
)
def test_signs_of_a_restart_mark_the_target_cold(apply_signs):
    # Guards against full load on a target that has just been restarted.
    admission = make_target()
    for _ in range(40):
        admission.add_existing_flow(Kind.STREAM)
    assert not admission.is_cold(1.0)
    apply_signs(admission)
    assert admission.is_cold(1.0)


def test_ordinary_traffic_keeps_the_target_warm():
    # Guards against a warm target that is marked as cold because of ordinary
    # resets, delays of a busy balancer or single slow handshakes.
    admission = make_target()
    for number in range(500):
        now = number / 100
        assert try_admit(admission, now) is Decision.ADMIT
        # Some of these resets are the first event in their window.
        if number and number % 20 == 0:
            admission.record_reset(True, now)
        admission.release(Kind.STREAM, now)
        slow = number % 10 == 9
        admission.record_handshake(0.2 if slow else 0.001, now)
        admission.record_handshake(0.015, now)
        assert not admission.is_cold(now)


def test_repeated_resets_and_reports_do_not_restart_the_ramp():
    # Guards against a target that stays cold because its flows from before the
    # restart are reset one by one, or because its endpoint always reports
    # `COLD`.
    admission = make_target(ramp_step_s=1.0)
    for _ in range(40):
        admission.add_existing_flow(Kind.STREAM)
    reset_flows(admission)
    for second in range(1, 9):
        admission.add_existing_flow(Kind.STREAM)
        admission.record_reset(True, float(second))
        admission.release(Kind.STREAM, float(second))
        admission.record_report(Report.COLD, float(second))
        assert admission.is_cold(float(second)) == (second < 8)


def test_handshakes_delayed_by_one_stall_count_once():
    # Guards against targets that are marked as cold after a stalled balancer
    # has measured many slow handshakes at once.
    admission = make_target()
    for _ in range(10):
        admission.record_handshake(0.01, 0.0)
    for _ in range(20):
        admission.record_handshake(0.5, 1.0)
    assert not admission.is_cold(1.0)


def test_slow_handshakes_repeat_the_ramp_step():
    # Guards against a ramp that doubles although the target is overloaded.
    admission = make_target(cold=True, ramp_step_s=1.0, connections=3)
    for _ in range(10):
        admission.record_handshake(0.01, -1.0)
    for now in (-0.3, 0.8, 1.9):
        admission.record_handshake(0.2, now)
    assert admission.is_cold(2.5)
    assert not admission.is_cold(3.0)


def test_bad_target_gets_one_trial_at_a_time_with_backoff():
    # Guards against an unreachable target that receives many new flows.
    admission = make_target()
    make_bad(admission)
    now, trials = 0.0, []
    while now < 300:
        if try_admit(admission, now) is Decision.ADMIT:
            trials.append(now)
            assert try_admit(admission, now) is Decision.UNHEALTHY
            admission.record_timeout(now)
        now += 0.05
    gaps = [b - a for a, b in itertools.pairwise([0.0, *trials])]
    expected = [1, 2, 4, 8, 16, 32, 60, 60, 60]
    for gap, delay_s in zip(gaps, expected, strict=False):
        assert 0.75 * delay_s <= gap <= 1.25 * delay_s + 0.1
    differences = map(operator.sub, gaps, expected)
    assert any(abs(difference) > 0.1 for difference in differences)
    admission.record_handshake(0.001, now)
    assert admission.health_state is health.HealthState.SUSPECT
    assert try_admit(admission, now) is Decision.ADMIT


def test_trial_without_outcome_times_out():
    # Guards against a target that stays out of service forever because the
    # outcome of a trial was not reported.
    admission = make_target()
    make_bad(admission)
    assert try_admit(admission, 2.0) is Decision.ADMIT
    ends_at = 2.0 + const.TRIAL_TIMEOUT_S
    assert try_admit(admission, ends_at - 0.1) is Decision.UNHEALTHY
    assert try_admit(admission, ends_at) is Decision.UNHEALTHY
    assert try_admit(admission, ends_at + 2.5) is Decision.ADMIT


def test_non_ejectable_target_keeps_receiving_flows():
    # Guards against a service whose endpoints are all ejected.
    admission = make_target()
    make_bad(admission)
    admission.set_ejectable(False)
    assert count_admitted(admission, 0.0, tries=10) == 10


def test_dump_state_returns_plain_values():
    # Guards against a dump that cannot be serialized for operators.
    state = make_target(cold=True).dump_state()
    assert state["limits"]["connection_limit"] == 100
    assert state["ramp"] == {"started_at": 0.0, "tokens": 1.0}
    assert state["health"]["estimate"] == "good"
