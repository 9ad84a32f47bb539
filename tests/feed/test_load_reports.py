"""Tests of the table of load reports."""

import pytest

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import load_reports
from tests.feed import conftest

EXPIRED_S = const.LOAD_REPORT_LIFETIME_S + 0.01


def make_table(*candidates: int) -> load_reports.LoadReports:
    return load_reports.LoadReports(
        local=ids.VmId("vm-0"),
        domain=conftest.DOMAIN,
        list_candidates=lambda now: [ids.VmId(f"vm-{n}") for n in candidates],
    )


def make_total(number: int, **fields) -> load_reports.LoadReport:
    return conftest.make_load_report(
        number, scope=load_reports.Scope.DOMAIN, **fields
    )


def test_sum_includes_each_recent_balancer_once() -> None:
    """Guards against demand that counts twice or outlives its balancer."""
    table = make_table()
    table.record(conftest.make_load_report(1), 0.0)
    for number in (0, 2, 2):
        table.record(conftest.make_load_report(number), 1.0)
    table.record(conftest.make_load_report(3, domain="b"), 1.0)
    own = conftest.make_load_report(0)
    for now, balancers in ((1.0, 3), (EXPIRED_S, 2), (1.0 + EXPIRED_S, 1)):
        total = table.make_sum(own, {}, now)
        assert total.scope is load_reports.Scope.DOMAIN
        assert total.balancers == balancers
        assert total.demand[conftest.SERVICE] == pytest.approx(
            {0: 2.5 * balancers, 3: 0.25 * balancers}
        )
        assert total.handshakes["b"] == (4.0 * balancers, 0.0625 * balancers)
        assert total.transfers[conftest.SERVICE].flows == 2.5 * balancers
        # Each balancer would report the capacity of the same endpoints.
        assert total.capacity == own.capacity
    table.expire(1.0 + EXPIRED_S)
    assert table.make_sum(own, {}, 1.0).balancers == 1


def test_first_live_candidate_counts_in_the_domain() -> None:
    """Guards against balancers that apply the shares of different ones."""
    table = make_table(2, 1)
    table.record(make_total(1, position=4), 0.0)
    assert table.get_position(0.1) == 4
    table.record(make_total(2, position=5), 0.2)
    table.record(make_total(3, position=6, balancers=9), 0.3)
    assert table.get_position(0.3) == 5
    table.record(make_total(1, position=4), 1.0)
    assert table.get_position(1.0) == 5
    assert table.get_position(0.2 + EXPIRED_S) == 4
    assert table.get_position(1.0 + EXPIRED_S) is None


def test_shares_are_looked_at_without_a_choice() -> None:
    """Guards against an explanation that selects the report to be used."""
    shares = {conftest.SERVICE: {"b": 0.5}}
    table = make_table(2, 1)
    assert table.peek_shares(conftest.SERVICE, 0.0) is None
    table.record(make_total(1, position=4, shares=shares), 0.0)
    assert table.peek_shares(conftest.SERVICE, 0.1) == {"b": 0.5}
    table.record(make_total(2, position=5, shares={}), 0.2)
    assert table.get_position(0.3) == 5
    assert table.peek_shares(conftest.SERVICE, 0.3) == {}


def test_most_complete_report_of_another_domain_counts() -> None:
    """Guards against a domain that seems idle while a candidate starts."""
    table = make_table()
    for number, balancers in ((3, 2), (5, 9), (4, 9)):
        table.record(make_total(number, domain="b", balancers=balancers), 0.0)
    assert table.list_remote(0.1)["b"].vm == "vm-4"
    assert table.count_balancers(0.1) == {"b": 9}
    assert not table.list_remote(EXPIRED_S)
