"""Tests for sums of the counts that other balancers report."""

import hypothesis
from hypothesis import strategies

from chivedoor import ids
from chivedoor.steering import reports

LIFETIME_S = 1.5
ENDPOINT = ids.EndpointId("i-1")

COUNTS = strategies.dictionaries(
    strategies.sampled_from(["i-1", "i-2", "i-3"]),
    strategies.integers(min_value=-3, max_value=5),
)
REPORTS = strategies.lists(
    strategies.tuples(strategies.sampled_from(["vm-1", "vm-2"]), COUNTS)
)


@hypothesis.given(REPORTS)
def test_sums_match_newest_reports(series) -> None:
    """Guards against sums that drift, and against failures on counts of 0.

    Two balancers that reported 0 for the same endpoint crashed the balancers
    that received the reports (macoustic-lb-grown, scale-1: 156 exits).
    """
    table = reports.PeerCounts(lifetime_s=LIFETIME_S)
    newest: dict[str, dict[str, int]] = {}
    for step, (vm, counts) in enumerate(series):
        table.set_report(ids.VmId(vm), counts, step * 0.001)
        newest[vm] = counts
        for endpoint_id in ("i-1", "i-2", "i-3"):
            expected = sum(
                max(0, counts.get(endpoint_id, 0)) for counts in newest.values()
            )
            assert table.get_count(ids.EndpointId(endpoint_id)) == expected
    table.expire(100.0)
    assert table.list_counts() == {}


def test_old_reports_are_dropped() -> None:
    """Guards against load reports of a balancer that is gone."""
    table = reports.PeerCounts(lifetime_s=LIFETIME_S)
    table.set_report(ids.VmId("vm-1"), {ENDPOINT: 2}, 1.0)
    table.set_report(ids.VmId("vm-2"), {ENDPOINT: 3}, 2.0)
    table.expire(1.1 + LIFETIME_S)
    assert table.get_count(ENDPOINT) == 3
