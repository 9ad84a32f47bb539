"""Tests of the rate limits of new flows."""

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.admission import exceptions
from chivedoor.admission import rate


def run_load(demands, *, seconds=3, capacity=1000):
    """Offers flows at constant rates; counts those of the last second.

    Args:
        demands: Offered flows per second, rate limit and priority by service.
        seconds: Duration of the load.
        capacity: Capacity of the balancer in flows per second.
    """
    rates = rate.FlowRateLimiter(capacity_per_s=capacity, now=0.0)
    for service, (_, limit, priority) in demands.items():
        rates.set_service(service, rate_per_s=limit, priority=priority, now=0.0)
    offers = sorted(
        (number / offered, service)
        for service, (offered, _, _) in demands.items()
        for number in range(offered * seconds)
    )
    admitted = dict.fromkeys(demands, 0)
    for now, service in offers:
        is_admitted = rates.admit(service, now)
        admitted[service] += is_admitted and now >= seconds - 1
    return admitted


def test_service_rate_limit():
    # Guards against a SYN flood to one service that exceeds its rate limit.
    admitted = run_load({"a": (500, 100, 1), "b": (100, 200, 1)})
    assert admitted["a"] == pytest.approx(100, abs=1)
    assert admitted["b"] == 100


def test_fair_shares_when_saturated():
    # Guards against a flooded service that takes capacity from the others.
    admitted = run_load(
        {"a": (5000, 5000, 1), "b": (2000, 5000, 1), "c": (100, 5000, 1)}
    )
    assert admitted["c"] == pytest.approx(100, abs=2)
    assert admitted["a"] == pytest.approx(450, abs=25)
    assert admitted["b"] == pytest.approx(450, abs=25)


def test_higher_priority_is_served_first():
    # Guards against low-priority traffic that takes capacity from
    # high-priority traffic.
    admitted = run_load({"low": (5000, 5000, 1), "high": (800, 5000, 2)})
    assert admitted["high"] == pytest.approx(800, abs=10)
    assert admitted["low"] == pytest.approx(200, abs=25)


def test_fair_rates_end_with_saturation():
    # Guards against fair rates that still apply after a flood has ended.
    rates = rate.FlowRateLimiter(capacity_per_s=100, now=0.0)
    for service in ("a", "b"):
        rates.set_service(service, rate_per_s=1000, priority=1, now=0.0)
    for number in range(1000):
        rates.admit("a", number / 1000)
    assert rates.dump_state()["levels"]
    rates.remove_service("a")
    for number in range(100):
        rates.admit("b", 1 + number / 90)
    assert not rates.dump_state()["levels"]
    with pytest.raises(exceptions.RateError):
        rates.admit("a", 3.0)
    with pytest.raises(exceptions.RateError):
        rates.set_service("a", rate_per_s=0, priority=1, now=3.0)


@hypothesis.given(
    strategies.lists(strategies.integers(0, 1000), min_size=1),
    strategies.integers(0, 5000),
)
def test_fair_rate_allocates_the_capacity(demands, capacity):
    # Guards against capacity that is allocated twice or not at all.
    fair_rate = rate.compute_fair_rate(demands, capacity)
    allocated = sum(min(demand, fair_rate) for demand in demands)
    assert allocated == pytest.approx(min(sum(demands), capacity))
