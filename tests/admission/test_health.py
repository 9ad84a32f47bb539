"""Tests of the health estimate and of ejection."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.admission import health

GOOD, SUSPECT, BAD = health.Estimate
Report = health.Report
STEPS = {
    "success": lambda estimate: estimate.note_success(0.0),
    "failure": lambda estimate: estimate.note_failure(0.0),
} | {
    report.value: lambda estimate, report=report: estimate.note_report(
        report, 0.0
    )
    for report in Report
}
RANK = {GOOD: 0, SUSPECT: 1, BAD: 2}


def run_steps(names):
    estimate = health.HealthEstimate(jitter=random.Random(1))
    for name in names.split():
        STEPS[name](estimate)
    return estimate.estimate


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ("success", GOOD),
        ("failure", SUSPECT),
        ("failure failure failure", BAD),
        ("failure failure success failure", SUSPECT),
        ("failure success success", SUSPECT),
        ("failure success success success", GOOD),
        ("failing", SUSPECT),
        ("silent failing silent", BAD),
        ("failing ready failing ready failing", SUSPECT),
        # A report improves the estimate only after traffic has agreed.
        ("failing ready", SUSPECT),
        ("failure ready ready ready ready", SUSPECT),
        ("failing success ready", GOOD),
        ("success failing ready", SUSPECT),
        ("failure failure failure ready ready", BAD),
        ("failure failure failure success", SUSPECT),
        ("failure failure failure success ready", GOOD),
        # Traffic improves it whatever the endpoint reports.
        ("failing success success success", GOOD),
        ("cold", GOOD),
    ],
)
def test_estimate(steps, expected):
    # Guards against a lying health endpoint that outweighs the traffic.
    assert run_steps(steps) is expected


@hypothesis.given(strategies.lists(strategies.sampled_from(sorted(STEPS))))
def test_reports_alone_never_improve(names):
    # Guards against recovery without a flow that the target has answered.
    estimate = health.HealthEstimate(jitter=random.Random(1))
    answered = False
    for name in names:
        before = estimate.estimate
        STEPS[name](estimate)
        after = estimate.estimate
        answered = (answered or name == "success") and name not in (
            "failure",
            "failing",
            "silent",
        )
        assert RANK[after] >= RANK[before] or answered


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(1, 99), strategies.sampled_from(health.Estimate)
    )
)
def test_at_most_half_of_the_endpoints_are_ejected(estimates):
    # Guards against a fault of the balancer that empties a service.
    ejected = health.choose_ejected(estimates)
    bad = {number for number, each in estimates.items() if each is BAD}
    assert ejected <= bad
    assert len(ejected) == min(len(bad), len(estimates) // 2)
    backwards = dict(reversed(estimates.items()))
    assert health.choose_ejected(backwards) == ejected
