"""Tests of the health tracker and of the ejection of endpoints."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.admission import health

GOOD, SUSPECT, BAD = health.HealthState
Report = health.Report
EVENTS = {
    "success": lambda tracker: tracker.record_success(0.0),
    "failure": lambda tracker: tracker.record_failure(0.0),
} | {
    report.value: lambda tracker, report=report: tracker.record_report(
        report, 0.0
    )
    for report in Report
}
RANK = {GOOD: 0, SUSPECT: 1, BAD: 2}


def apply_events(names):
    tracker = health.HealthTracker(rng=random.Random(1))
    for name in names.split():
        EVENTS[name](tracker)
    return tracker.state


@pytest.mark.parametrize(
    ("events", "expected"),
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
        # A report improves the state only after a flow has succeeded.
        ("failing ready", SUSPECT),
        ("failure ready ready ready ready", SUSPECT),
        ("failing success ready", GOOD),
        ("success failing ready", SUSPECT),
        ("failure failure failure ready ready", BAD),
        ("failure failure failure success", SUSPECT),
        ("failure failure failure success ready", GOOD),
        # Successful flows improve the state regardless of reports.
        ("failing success success success", GOOD),
        ("cold", GOOD),
    ],
)
def test_health_state_after_events(events, expected):
    # Guards against an incorrect health endpoint that overrides the traffic.
    assert apply_events(events) is expected


@hypothesis.given(strategies.lists(strategies.sampled_from(sorted(EVENTS))))
def test_reports_alone_never_improve_the_state(names):
    # Guards against a recovery although the target has not answered a flow.
    tracker = health.HealthTracker(rng=random.Random(1))
    answered = False
    for name in names:
        before = tracker.state
        EVENTS[name](tracker)
        after = tracker.state
        answered = (answered or name == "success") and name not in (
            "failure",
            "failing",
            "silent",
        )
        assert RANK[after] >= RANK[before] or answered


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(1, 99), strategies.sampled_from(health.HealthState)
    )
)
def test_at_most_half_of_the_endpoints_are_ejected(states):
    # Guards against a fault of the balancer that ejects all endpoints of a
    # service.
    ejected = health.choose_ejected(states)
    bad = {number for number, state in states.items() if state is BAD}
    assert ejected <= bad
    assert len(ejected) == min(len(bad), len(states) // 2)
    backwards = dict(reversed(states.items()))
    assert health.choose_ejected(backwards) == ejected
