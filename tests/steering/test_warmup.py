"""Rates of cold endpoints over all balancers together."""

import itertools
import random

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import warmup

ENDPOINT = ids.EndpointId("i-1")
RATE_PER_S = 8.0
# What a cold endpoint bears in any second, from the platform's figures.
TOLERANCE = 1.5
SLACK = 5


def make_fleet(
    members: list[ids.VmId], views: list[list[ids.VmId]]
) -> list[warmup.WarmupBudget]:
    fleet = []
    for member, view in zip(members, views, strict=True):
        budget = warmup.WarmupBudget(local=member)
        budget.set_members(view, settled_at=0.0)
        fleet.append(budget)
    return fleet


def count_worst_second(fleet: list[warmup.WarmupBudget]) -> int:
    """Offers a flow to each balancer every 10 ms for 4 seconds."""
    opened: list[float] = []
    for step, budget in itertools.product(range(400), fleet):
        now = step / 100
        if budget.may_open(ENDPOINT, RATE_PER_S, now):
            budget.take(ENDPOINT, RATE_PER_S, now)
            opened.append(now)
    return max(
        (sum(start <= at < start + 1.0 for at in opened) for start in opened),
        default=0,
    )


@pytest.mark.parametrize("size", [1, 2, 4, 35])
def test_fleet_stays_below_the_rate(size: int) -> None:
    """Guards against each balancer taking the whole rate for itself."""
    members = [ids.VmId(f"vm-{number}") for number in range(size)]
    fleet = make_fleet(members, [members] * size)
    worst = count_worst_second(fleet)
    assert 0 < worst <= RATE_PER_S * TOLERANCE + SLACK


@pytest.mark.parametrize("seed", range(10))
def test_two_views_of_the_members_stay_below_the_rate(seed: int) -> None:
    """Guards against a membership change that doubles the holders."""
    members = [ids.VmId(f"vm-{number}") for number in range(12)]
    left = random.Random(seed).sample(members, 6)
    views = [left if member in left else members for member in members]
    fleet = make_fleet(members, views)
    assert count_worst_second(fleet) <= RATE_PER_S * TOLERANCE + SLACK


def test_balancer_that_just_started_opens_nothing() -> None:
    """Guards against newcomers that know nobody and take the whole rate."""
    budget = warmup.WarmupBudget(local=ids.VmId("vm-1"))
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.0)
    budget.set_members([ids.VmId("vm-1")], settled_at=2.0)
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.9)
    assert budget.may_open(ENDPOINT, RATE_PER_S, 2.0)


def test_flow_over_the_rate_is_not_opened() -> None:
    """Guards against a burst to one cold endpoint."""
    budget = warmup.WarmupBudget(local=ids.VmId("vm-1"))
    budget.set_members([ids.VmId("vm-1")], settled_at=0.0)
    budget.take(ENDPOINT, RATE_PER_S, 1.0)
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.05)
    assert budget.may_open(ENDPOINT, RATE_PER_S, 1.0 + 1 / RATE_PER_S + 0.01)
    budget.expire(10.0)
    assert const.WARMUP_HOLDERS >= 1
