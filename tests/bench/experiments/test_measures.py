"""Tests of the values that are computed from samples and counters."""

import dataclasses
import json
import pathlib

from bench.experiments import __main__ as command_line
from bench.experiments import cases
from bench.experiments import nodes
from bench.experiments import plot
from bench.experiments import report as reports
from bench.experiments import results
from chivedoor.configuration import checks
from chivedoor.configuration import document as documents
from standins import deployment as deployments

from .conftest import build_sample

METRICS = """# HELP chivedoor_dropped_packets_total Packets dropped.
# TYPE chivedoor_dropped_packets_total counter
chivedoor_dropped_packets_total{reason="no-target"} 3
chivedoor_delivered_packets_total 7.0
"""


def test_metrics_are_parsed_by_name_and_labels():
    assert nodes.parse_metrics(METRICS) == {
        ("chivedoor_dropped_packets_total", 'reason="no-target"'): 3.0,
        ("chivedoor_delivered_packets_total", ""): 7.0,
    }


def test_counters_are_summed_across_a_restart(tmp_path):
    # Guards against negative sums after a restart, when counters start again
    # at 0, and against counts from before the load.
    deployment = deployments.Deployment(
        document=command_line.load_document(), balancers=1, folder=tmp_path
    )
    node_metrics = nodes.NodeMetrics(deployment=deployment)
    name = "chivedoor_delivered_packets_total"
    for value in (100.0, 110.0, 4.0, 6.0):
        node_metrics.add_scrape("vm-a1", {(name, ""): value})
    assert node_metrics.sum_by_node(name) == {"vm-a1": 16.0}
    for holder in (deployment._reservation,):
        holder.close()


def test_seconds_without_a_finished_request_are_counted():
    finished = [0, 5, 9, 9, 9, 12, 12]
    samples = [
        build_sample(float(second), finished=count)
        for second, count in enumerate(finished)
    ]
    assert reports.count_seconds_without_service(samples, load_s=5.0) == 2


def test_recovery_is_found_when_targets_get_their_share():
    samples = [
        build_sample(float(s), admitted={"a": 10 * s, "b": 10 * max(0, s - 9)})
        for s in range(20)
    ]
    # The domain returns at 5 s; the first 3 s with a full share end at 12 s.
    assert cases.compute_recovery_s(samples, ["b"], ["a", "b"], 5.0) == 7.0
    late = [sample for sample in samples if sample.at_s < 10]
    assert cases.compute_recovery_s(late, ["b"], ["a", "b"], 5.0) == float(
        "inf"
    )


def test_documents_of_the_change_case_are_valid_successors():
    # Guards against documents that the balancers reject, because a rejected
    # change disrupts nothing and the case would pass without testing it.
    document = command_line.load_document()
    for edit in (
        cases._add_endpoint,
        cases._drain_endpoint,
        cases._halve_weight,
    ):
        previous = parse(document)
        document["version"] += 1
        edit(document)
        found = checks.check_document(
            parse(document), previous, wall_clock_s=0.0
        )
        assert found == []


def parse(document):
    return documents.parse_document(json.dumps(document).encode())


def test_result_is_serialized_compared_and_plotted(clean_report, tmp_path):
    infinite = dataclasses.replace(clean_report, measures={"x": float("inf")})
    timeline = [
        {
            "at_s": 1.0,
            "seconds": 1.0,
            "finished": 1,
            "refused": 0,
            "unanswered": 0,
            "broken": 0,
            "admitted": {"127.1.0.1": 2},
        }
    ]
    report = dataclasses.replace(
        infinite, timeline=timeline, events=[(0.5, "killed")]
    )
    result = results.dump_result(
        case="steady", seed=1, kind="direct", report=report, verdicts=[]
    )
    assert json.loads(json.dumps(result, allow_nan=False)) == result
    other = {**result, "figures": {**result["figures"], "opened": 500}}
    lines = results.compare(result, other).splitlines()
    opened = next(line for line in lines if line.startswith("opened"))
    assert opened.split() == ["opened", "1000.000", "500.000", "0.50"]
    path = pathlib.Path(tmp_path / "run.svg")
    plot.draw(result["report"], "title", path)
    assert b"</svg>" in path.read_bytes()
    assert "broken flows: 0 of 1000" in reports.format_report(report)


def test_every_case_is_listed(capsys):
    assert command_line.Command(case="list")() == 0
    listed = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in listed] == list(cases.CASES)
    assert command_line.Command(case="nothing")() == 2
