"""Tests of the demand that a balancer observes."""

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import demand as demands
from chivedoor.steering import segment as segments
from chivedoor.steering import verdicts
from tests.steering import conftest


def test_rate_of_steady_openings_and_its_decay() -> None:
    """Guards against a rate that drifts, overflows or outlives its load."""
    rates = demands.DecayingRates()
    for number in range(10_000):
        rates.add("s", 1.0, number / 100)
    assert rates.list_rates(99.99)["s"] == pytest.approx(100.0, rel=0.02)
    later = 99.99 + const.DEMAND_DECAY_S
    assert rates.list_rates(later)["s"] == pytest.approx(36.8, rel=0.02)
    assert not rates.list_rates(99.99 + 10_000)
    rates.add("t", 1.0, 10_000.0)
    assert list(rates.list_rates(10_000.0)) == ["t"]


def test_requests_count_by_service_and_priority() -> None:
    """Guards against a route of two services that counts twice."""
    demand = demands.Demand()
    for service, priority in (("s", 2), ("s", 2), ("s", 1), ("t", 2)):
        demand.record_request(ids.ServiceId(service), priority, 0.0)
    assert demand.list_demand(0.0) == {"s": {2: 2.0, 1: 1.0}, "t": {2: 1.0}}


def test_each_request_of_a_long_flow_counts(make_steerer) -> None:
    """Guards against a demand in flows that is compared with requests.

    A domain with long flows would report spare capacity while it has none.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    flow = conftest.make_flow(1)
    steerer.decide(conftest.make_opening(flow), 0.0)
    tag = conftest.make_tag(endpoint, flow)
    for number in range(3):
        request = conftest.make_segment(
            flow,
            tag=tag,
            payload_bytes=100,
            sequence=100 * number,
            acknowledged=1 + 500 * number,
        )
        reply = conftest.make_segment(
            flow,
            tag=tag,
            sequence=100 * number + 100,
            acknowledged=501 + 500 * number,
        )
        # The second one is a retransmission.
        for segment in (request, request, reply):
            steerer.decide(segment, 0.0)
    assert steerer.demand.list_demand(0.0) == {conftest.SERVICE: {0: 3.0}}


def test_refused_openings_count_and_copies_do_not(make_steerer) -> None:
    """Guards against demand that vanishes once a service refuses flows."""
    steerer = make_steerer()
    flow = conftest.make_flow(1)
    verdict = steerer.decide(conftest.make_opening(flow), 0.1)
    assert isinstance(verdict, verdicts.Refuse)
    steerer.decide(conftest.make_opening(flow, retransmissions=1), 0.1)
    assert steerer.demand.list_demand(0.1) == {conftest.SERVICE: {0: 1.0}}
    assert not steerer.demand.list_transfers(0.1)


def test_handshake_and_payload_of_a_flow(make_steerer) -> None:
    """Guards against a domain whose delay or bytes are not measured."""
    endpoint = conftest.make_endpoint(1, domain="b")
    steerer = make_steerer(endpoint)
    flow = conftest.make_flow(1)
    steerer.decide(conftest.make_opening(flow), 0.5)
    tag = conftest.make_tag(endpoint, flow)
    steerer.decide(conftest.make_segment(flow, tag=tag), 0.625)
    steerer.decide(
        conftest.make_segment(flow, tag=tag, payload_bytes=300), 0.625
    )
    steerer.decide(
        conftest.make_segment(
            flow,
            tag=tag,
            payload_bytes=100,
            sequence=300,
            kind=segments.SegmentKind.FINISH,
        ),
        0.625,
    )
    handshakes = steerer.demand.list_handshakes(0.625)["b"]
    assert handshakes.duration_s / handshakes.number == pytest.approx(0.125)
    transfer = steerer.demand.list_transfers(0.625)[conftest.SERVICE]
    assert transfer.payload_bytes == pytest.approx(400.0)
    assert transfer.flows == pytest.approx(0.882, abs=0.001)
