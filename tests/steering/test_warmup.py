"""Tests for the warm-up rates that all balancers share."""

from collections.abc import Sequence
import itertools
import random

import pytest

from chivedoor import ids
from chivedoor.steering import warmup

ENDPOINT = ids.EndpointId("i-1")
RATE_PER_S = 8.0
# A cold endpoint tolerates this factor of its rate plus `SLACK` flows in any
# second, as the platform specifies.
TOLERANCE = 1.5
SLACK = 5


DOMAIN = ids.DomainId("d0")


def make_fleet(
    members: list[ids.VmId],
    views: list[list[ids.VmId]],
    domain: ids.DomainId = DOMAIN,
    domains: Sequence[ids.DomainId] = (DOMAIN,),
) -> list[warmup.WarmupBudget]:
    fleet = []
    for member, view in zip(members, views, strict=True):
        budget = warmup.WarmupBudget(
            local=member, domain=domain, domains=domains
        )
        budget.set_members(view, settled_at=0.0)
        fleet.append(budget)
    return fleet


def make_single() -> warmup.WarmupBudget:
    return warmup.WarmupBudget(
        local=ids.VmId("vm-1"), domain=DOMAIN, domains=(DOMAIN,)
    )


def count_worst_second(
    fleet: list[warmup.WarmupBudget], rate_per_s: float = RATE_PER_S
) -> int:
    """Returns the most flows opened in any second.

    Each balancer is offered a flow every 10 ms for 4 seconds.
    """
    opened: list[float] = []
    for step, budget in itertools.product(range(400), fleet):
        now = step / 100
        if budget.may_open(ENDPOINT, rate_per_s, now):
            budget.record_open(ENDPOINT, rate_per_s, now)
            opened.append(now)
    return max(
        (sum(start <= at < start + 1.0 for at in opened) for start in opened),
        default=0,
    )


@pytest.mark.parametrize("size", [1, 2, 4, 35])
def test_fleet_stays_below_the_rate(size: int) -> None:
    """Guards against balancers that each use the whole rate."""
    members = [ids.VmId(f"vm-{number}") for number in range(size)]
    fleet = make_fleet(members, [members] * size)
    worst = count_worst_second(fleet)
    assert 0 < worst <= RATE_PER_S * TOLERANCE + SLACK


@pytest.mark.parametrize("seed", range(10))
def test_differing_member_lists_stay_below_the_rate(seed: int) -> None:
    """Guards against a membership change that doubles the holders."""
    members = [ids.VmId(f"vm-{number}") for number in range(12)]
    left = random.Random(seed).sample(members, 6)
    views = [left if member in left else members for member in members]
    fleet = make_fleet(members, views)
    assert count_worst_second(fleet) <= RATE_PER_S * TOLERANCE + SLACK


@pytest.mark.parametrize("rate_per_s", [1.0, 4.0, RATE_PER_S, 40.0])
@pytest.mark.parametrize("domains", [1, 2, 3, 4, 7])
def test_domains_share_the_rate(domains: int, rate_per_s: float) -> None:
    """Guards against failure domains that each use the whole rate.

    Balancers know only the members of their own domain. With soak seed 7,
    three domains opened 12 flows per second to an endpoint with a rate of 4.
    """
    names = [ids.DomainId(f"d{number}") for number in range(domains)]
    fleet = [
        budget
        for name in names
        for members in [[ids.VmId(f"{name}-{n}") for n in range(4)]]
        for budget in make_fleet(members, [members] * 4, name, names)
    ]
    worst = count_worst_second(fleet, rate_per_s)
    assert 0 < worst <= rate_per_s * TOLERANCE + SLACK


def test_starting_balancer_opens_no_flows_to_cold_endpoint() -> None:
    """Guards against new balancers without peers that use the whole rate."""
    budget = make_single()
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.0)
    budget.set_members([ids.VmId("vm-1")], settled_at=2.0)
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.9)
    assert budget.may_open(ENDPOINT, RATE_PER_S, 2.0)


def test_flow_over_the_rate_is_not_opened() -> None:
    """Guards against a burst of flows to one cold endpoint."""
    budget = make_single()
    budget.set_members([ids.VmId("vm-1")], settled_at=0.0)
    budget.record_open(ENDPOINT, RATE_PER_S, 1.0)
    assert not budget.may_open(ENDPOINT, RATE_PER_S, 1.05)
    assert budget.may_open(ENDPOINT, RATE_PER_S, 1.0 + 1 / RATE_PER_S + 0.01)
    budget.expire(10.0)
    assert budget.may_open(ENDPOINT, RATE_PER_S, 10.0)
