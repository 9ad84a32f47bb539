"""Tests of the goals; each guards against a miss that is not reported."""

import dataclasses

import pytest

from bench.experiments import const
from bench.experiments import goals
from bench.experiments import report as reports

from . import conftest

HARM = goals.Harm


def list_missed(report, harm=HARM.NONE, **options):
    verdicts = goals.judge(report, harm=harm, **options)
    return [verdict.goal for verdict in verdicts if not verdict.is_met]


def test_a_clean_run_meets_all_goals(clean_report):
    for harm in HARM:
        assert list_missed(clean_report, harm) == []


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
def test_one_fault_misses_its_goal(clean_report, fields, goal):
    report = dataclasses.replace(clean_report, **fields)
    assert list_missed(report) == [goal]


def test_two_deaths_may_break_less_than_one_flow_in_a_thousand(clean_report):
    broken = conftest.change_row(clean_report, opened=1001, reset=1)
    assert list_missed(broken, HARM.TWO_DEATHS) == []
    assert list_missed(broken) == ["broken flows"]
    broken = conftest.change_row(clean_report, opened=1000, reset=1)
    missed = list_missed(broken, HARM.TWO_DEATHS)
    assert missed == ["broken flows per thousand"]


def test_a_domain_out_may_break_only_its_own_flows(clean_report):
    broken = conftest.change_row(clean_report, reset=4)
    measures = {goals.PLANNED_RESETS: 4}
    planned = dataclasses.replace(broken, measures=measures)
    assert list_missed(planned, HARM.DOMAIN_OUT) == []
    measures = {goals.PLANNED_RESETS: 3}
    planned = dataclasses.replace(broken, measures=measures)
    assert list_missed(planned, HARM.DOMAIN_OUT) == ["broken flows"]


def test_the_balance_is_judged_only_with_enough_flows(clean_report):
    for flows, missed in (
        (const.JUDGED_FLOWS_PER_TARGET, ["imbalance of s"]),
        (const.JUDGED_FLOWS_PER_TARGET - 1, []),
    ):
        balance = reports.Balance(
            flows_per_target=flows, max_over_mean=1.15, variation=0.1
        )
        report = dataclasses.replace(clean_report, balance={"s": balance})
        assert list_missed(report, judges_balance=True) == missed
        assert list_missed(report) == []


@pytest.mark.parametrize(
    ("goal", "good", "bad"),
    [
        (goals.LAST_PACKET, 3.0, 3.1),
        (goals.FULL_USE, 30.0, float("inf")),
        (goals.GOODPUT, 0.9, 0.89),
    ],
)
def test_measures_are_judged_by_their_bounds(clean_report, goal, good, bad):
    for value, missed in ((good, []), (bad, [goal])):
        report = dataclasses.replace(clean_report, measures={goal: value})
        assert list_missed(report) == missed
