"""Tests for placement under the loads that it is designed for."""

import collections

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest


def place(steerer, numbers, now=1.0):
    """Opens flows; returns the number placed on each endpoint."""
    counts = collections.Counter()
    for number in numbers:
        verdict = steerer.decide(
            conftest.make_opening(conftest.make_flow(number)), now
        )
        if isinstance(verdict, verdicts.Deliver):
            counts[verdict.endpoint.id] += 1
    return counts


def test_burst_is_spread_by_requests_in_flight(make_steerer) -> None:
    """Guards against random placement, which loads targets unevenly."""
    steerer = make_steerer(*(conftest.make_endpoint(n) for n in range(1, 8)))
    counts = place(steerer, range(700))
    assert max(counts.values()) - min(counts.values()) <= 1


def test_flows_are_proportional_to_slots(make_steerer) -> None:
    """Guards against a small target that gets as many flows as a large one."""
    small = conftest.make_endpoint(1, slots=2)
    large = conftest.make_endpoint(2, slots=8)
    counts = place(make_steerer(small, large), range(100))
    assert counts[large.id] == pytest.approx(80, abs=2)


def test_own_domain_is_preferred(make_steerer) -> None:
    """Guards against flows that break when domains are partitioned."""
    own = conftest.make_endpoint(1)
    other = conftest.make_endpoint(2, domain="b")
    counts = place(make_steerer(own, other), range(4))
    assert counts == {own.id: 4}


def test_full_own_domain_spills_over(make_steerer) -> None:
    """Guards against queued requests while another domain has capacity."""
    own = conftest.make_endpoint(1)
    others = [conftest.make_endpoint(n, domain="b") for n in range(2, 5)]
    counts = place(make_steerer(own, *others), range(40))
    # The queue of the local target is bounded by the penalty for each slot.
    bound = own.slots * (1 + const.REMOTE_DOMAIN_PENALTY) + 10
    assert counts[own.id] <= bound
    assert sum(counts.values()) == 40


def test_load_of_other_balancers_counts(make_steerer) -> None:
    """Guards against balancers that all choose the same idle target."""
    busy, idle = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(busy, idle)
    steerer.peer_loads.set_report(ids.VmId("vm-2"), {busy.id: 4}, 1.0)
    assert place(steerer, range(4)) == {idle.id: 4}


def test_old_reports_are_not_used(make_steerer) -> None:
    """Guards against load reports of a balancer that is gone."""
    busy, idle = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(busy, idle)
    steerer.peer_loads.set_report(ids.VmId("vm-2"), {busy.id: 4}, 1.0)
    steerer.expire(1.0 + const.LOAD_REPORT_LIFETIME_S + 0.1)
    assert steerer.peer_loads.get_count(busy.id) == 0


def test_slow_targets_get_fewer_flows(make_steerer) -> None:
    """Guards against slow targets that keep their share of new flows.

    Callers open 40 flows per second. Fast targets finish each within 50 ms,
    slow targets within 500 ms.
    """
    fast = [conftest.make_endpoint(n) for n in (1, 2)]
    slow = [conftest.make_endpoint(n) for n in (3, 4)]
    steerer = make_steerer(*fast, *slow)
    work_s = {e.id: 0.05 for e in fast} | {e.id: 0.5 for e in slow}
    counts = collections.Counter()
    ends = []
    for number in range(400):
        now = 1.0 + number / 40
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            steerer.flows.close_flow(end[1])
        flow = conftest.make_flow(number)
        verdict = steerer.decide(conftest.make_opening(flow), now)
        counts[verdict.endpoint.id] += 1
        ends.append((now + work_s[verdict.endpoint.id], flow))
    assert sum(counts[e.id] for e in slow) < 0.4 * sum(counts.values())


def test_cold_service_opens_flows_at_warmup_rate_and_refuses_the_rest(
    make_steerer,
) -> None:
    """Guards against overload of a service whose endpoints are all cold."""
    cold = [conftest.make_endpoint(n, cold_until=100.0) for n in (1, 2)]
    steerer = make_steerer(*cold)
    steerer.warmup_budget.set_members([ids.VmId("vm-1")], settled_at=0.0)
    counts = place(steerer, range(100))
    # The rate is eight flows per second and endpoint, with a burst of one.
    assert sum(counts.values()) == 2
    verdict = steerer.decide(
        conftest.make_opening(conftest.make_flow(1000)), 1.0
    )
    assert verdict.reason is verdicts.RefusalReason.NO_ENDPOINT


def test_warm_targets_are_preferred_to_cold_ones(make_steerer) -> None:
    """Guards against load on a target that has just started."""
    warm = conftest.make_endpoint(1, domain="b")
    cold = conftest.make_endpoint(2, cold_until=100.0)
    steerer = make_steerer(warm, cold)
    steerer.warmup_budget.set_members([ids.VmId("vm-1")], settled_at=0.0)
    assert place(steerer, range(20)) == {warm.id: 20}


def test_domain_that_is_out_gets_no_flows(make_steerer) -> None:
    """Guards against flows to a domain that operators have taken out."""
    own = conftest.make_endpoint(1)
    other = conftest.make_endpoint(2, domain="b")
    steerer = make_steerer(own, other)
    steerer.view.apply(
        views.DomainState(domain=ids.DomainId("a"), out=True), 0.0
    )
    assert place(steerer, range(20)) == {other.id: 20}


def test_draining_target_gets_no_flows(make_steerer) -> None:
    """Guards against new flows on a target that is shutting down."""
    leaving = conftest.make_endpoint(1, draining=True)
    staying = conftest.make_endpoint(2, domain="b")
    assert place(make_steerer(leaving, staying), range(9)) == {staying.id: 9}


def test_unreachable_domain_is_avoided_after_one_retransmission(
    make_steerer,
) -> None:
    """Guards against callers that wait for an unreachable domain."""
    silent = [conftest.make_endpoint(n) for n in (1, 2)]
    other = conftest.make_endpoint(3, domain="b")
    steerer = make_steerer(*silent, other)
    unanswered = 0
    for number in range(40):
        flow = conftest.make_flow(number)
        now = 1.0 + number * 0.02
        verdict = steerer.decide(conftest.make_opening(flow), now)
        if verdict.endpoint is other:
            continue
        unanswered += 1
        again = conftest.make_opening(flow, retransmissions=1)
        steerer.decide(again, now + 0.01)
    assert unanswered <= len(silent)


def test_large_service_is_sampled(make_steerer) -> None:
    """Guards against a placement cost that grows with the service."""
    endpoints = [
        conftest.make_endpoint(n, domain="a" if n % 4 else "b")
        for n in range(1, 401)
    ]
    counts = place(make_steerer(*endpoints), range(1200))
    local = {e.id for e in endpoints if e.domain == "a"}
    assert sum(counts[id_] for id_ in local) > 1100
    assert max(counts.values()) <= 12


def test_weights_of_a_route_are_respected(make_steerer) -> None:
    """Guards against weights of a route that are ignored."""
    other = ids.ServiceId("canary")
    steerer = make_steerer(
        conftest.make_endpoint(1), conftest.make_endpoint(2, service=other)
    )
    weighted_services = ((conftest.SERVICE, 90.0), (other, 10.0))
    steerer.view.routes = {
        conftest.ROUTE: views.Route(
            name="r", weighted_services=weighted_services, idempotent=False
        )
    }
    counts = place(steerer, range(2000))
    assert counts["i-00000002"] == pytest.approx(200, abs=60)


def test_entries_that_lapsed_in_a_store_outage_are_still_used(
    make_steerer,
) -> None:
    """Guards against an outage of a service when the store returns.

    All entries lapse during a store outage and return within two seconds of
    its end, while callers keep opening flows.
    """
    endpoints = [conftest.make_endpoint(n) for n in (1, 2, 3)]
    steerer = make_steerer(*endpoints)
    steerer.set_view_complete_at(12.5)
    for endpoint in endpoints:
        removal = views.RemovedEndpoint(endpoint_id=endpoint.id)
        steerer.view.apply(removal, 10.0)
    assert sum(place(steerer, range(30), now=10.1).values()) == 30
    # A returned entry is preferred to those that are still missing.
    back = conftest.make_endpoint(1)
    steerer.view.apply(views.ListedEndpoint(endpoint=back), 11.0)
    steerer.flows.expire(12.0)
    assert place(steerer, range(100, 103), now=12.0)[back.id] == 3
    # Entries that are missing after that time are removed endpoints.
    counts = place(steerer, range(200, 230), now=12.6)
    assert counts == {back.id: 30}


def test_removed_endpoint_is_not_used_by_a_complete_view(make_steerer) -> None:
    """Guards against flows to a target that is gone."""
    gone, staying = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(gone, staying)
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=gone.id), 1.0)
    assert place(steerer, range(9), now=1.1) == {staying.id: 9}
