"""Tests that missed goals are reported."""

import dataclasses

import pytest

from bench.experiments import const
from bench.experiments import goals
from bench.experiments import report as reports

from . import conftest

DISRUPTION = goals.AllowedDisruption


def list_missed(report, allowed_disruption=DISRUPTION.NONE, **options):
    verdicts = goals.evaluate_report(
        report, allowed_disruption=allowed_disruption, **options
    )
    return [verdict.goal for verdict in verdicts if not verdict.is_met]


def test_clean_run_meets_all_goals(clean_report):
    for allowed_disruption in DISRUPTION:
        assert list_missed(clean_report, allowed_disruption) == []


@pytest.mark.parametrize(
    ("fields", "goal"),
    [
        ({"doubled": 1}, "requests run twice"),
        ({"false_refusals": 1}, "false refusals"),
        ({"lost": 1}, "responses lost"),
        ({"wrong_service": 1}, "packets to another service"),
        ({"over_limit": {"t": 1}}, "targets over limit"),
        ({"over_ramp": {"t": 1}}, "targets over ramp"),
        ({"unfinished": 1}, "broken flows"),
        ({"control_bytes_per_s": {"v": 4000.0}}, "control bytes/s of a node"),
    ],
)
def test_violation_misses_its_goal(clean_report, fields, goal):
    report = dataclasses.replace(clean_report, **fields)
    assert list_missed(report) == [goal]


def test_two_deaths_may_break_fewer_than_one_flow_per_thousand(clean_report):
    broken = conftest.replace_row(clean_report, opened=1001, reset=1)
    assert list_missed(broken, DISRUPTION.TWO_DEATHS) == []
    assert list_missed(broken) == ["broken flows"]
    broken = conftest.replace_row(clean_report, opened=1000, reset=1)
    missed = list_missed(broken, DISRUPTION.TWO_DEATHS)
    assert missed == ["broken flows per thousand"]


def test_domain_out_may_break_only_flows_of_that_domain(clean_report):
    broken = conftest.replace_row(clean_report, reset=4)
    measures = {goals.PLANNED_RESETS: 4}
    planned = dataclasses.replace(broken, measures=measures)
    assert list_missed(planned, DISRUPTION.DOMAIN_OUT) == []
    measures = {goals.PLANNED_RESETS: 3}
    planned = dataclasses.replace(broken, measures=measures)
    assert list_missed(planned, DISRUPTION.DOMAIN_OUT) == ["broken flows"]


def test_balance_is_evaluated_only_with_enough_flows(clean_report):
    for flows, missed in (
        (const.MIN_FLOWS_PER_TARGET, ["imbalance of s"]),
        (const.MIN_FLOWS_PER_TARGET - 1, []),
    ):
        balance = reports.Balance(
            offered_per_target=flows,
            # Refused flows must not disable the check.
            flows_per_target=1.0,
            max_over_mean=1.15,
            variation=0.1,
        )
        report = dataclasses.replace(clean_report, balance={"s": balance})
        assert list_missed(report, checks_balance=True) == missed
        assert list_missed(report) == []


@pytest.mark.parametrize(
    ("goal", "good", "bad"),
    [
        (goals.LAST_PACKET, 3.0, 3.1),
        (goals.RECOVERY, 30.0, float("inf")),
        (goals.GOODPUT, 0.9, 0.89),
    ],
)
def test_measures_are_compared_with_their_limits(clean_report, goal, good, bad):
    for value, missed in ((good, []), (bad, [goal])):
        report = dataclasses.replace(clean_report, measures={goal: value})
        assert list_missed(report) == missed
