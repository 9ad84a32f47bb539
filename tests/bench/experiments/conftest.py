"""Reports and samples for the tests of the experiments."""

import dataclasses

import pytest

from bench.experiments import report as reports
from bench.experiments import run as runs

ROW = reports.Row(
    load="stream",
    opened=1000,
    finished=1000,
    refused=0,
    unanswered=0,
    reset=0,
    timed_out=0,
    incomplete=0,
    mixed=0,
    other=0,
)


@pytest.fixture
def clean_report():
    return reports.Report(
        rows=[ROW],
        unfinished=0,
        doubled=0,
        false_refusals=0,
        lost=0,
        wrong_service=0,
        over_limit={},
        over_ramp={},
        balance={},
        without_service_s=0,
        control_bytes_per_s={"vm-a1": 600.0},
        cpu_cores={"vm-a1": 0.1},
        stand_in_cpu_cores={},
        latencies_us={},
        fabric_packets=1000.0,
        forwarded_packets={"resolve": 500.0},
        broken_reasons={},
        refused_reasons={},
        dropped_reasons={},
        measures={},
        events=[],
        timeline=[],
        failures=[],
    )


def replace_row(report, **fields):
    row = dataclasses.replace(report.rows[0], **fields)
    return dataclasses.replace(report, rows=[row])


def build_sample(at_s, *, finished=0, admitted=None):
    return runs.Sample(
        at_s=at_s,
        opened={"request-tcp": 100},
        ended={"request-tcp": {"finished": finished}},
        admitted=admitted or {},
    )
