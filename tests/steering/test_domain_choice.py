"""Tests of the selection of a failure domain."""

import collections

import pytest

from chivedoor import ids
from chivedoor.steering import domain_choice

A, B, C = (ids.DomainId(name) for name in "abc")
DRAWS = [number / 1000 for number in range(1000)]


def count_choices(shares, excluded=()) -> dict[ids.DomainId, int]:
    """Returns how many of 1,000 flows of domain a each domain gets."""
    return collections.Counter(
        domain_choice.choose_domain(
            local=A, shares=shares, draw=draw, excluded=excluded
        )
        for draw in DRAWS
    )


@pytest.mark.parametrize(
    ("shares", "excluded", "expected"),
    [
        pytest.param({}, (), {A: 1000}, id="no share"),
        pytest.param({B: 0.2, C: 0.1}, (), {A: 700, B: 200, C: 100}, id="all"),
        pytest.param({B: 0.2, C: 0.1}, {B}, {A: 900, C: 100}, id="one is out"),
        pytest.param({B: 0.2, C: 0.1}, {B, C}, {A: 1000}, id="both are out"),
        pytest.param({B: 0.2, C: 0.2}, {A}, {B: 500, C: 500}, id="local out"),
        pytest.param({B: 0.2}, {A, B}, {A: 1000}, id="all are out"),
        pytest.param({A: 0.5, B: 0.2}, (), {A: 800, B: 200}, id="own share"),
        pytest.param({B: 0.75, C: 0.25}, {B}, {C: 1000}, id="no endpoint"),
    ],
)
def test_flows_follow_shares(shares, excluded, expected) -> None:
    """Guards against flows to a domain that is out or suspect.

    It also guards against flows to a local domain without an endpoint.
    """
    counts = count_choices(shares, excluded)
    assert counts.keys() == expected.keys()
    assert all(abs(counts[key] - expected[key]) <= 1 for key in expected)


def test_rounded_shares_leave_nothing_to_local_domain() -> None:
    """Guards against refusals because shares are rounded in reports."""
    shares = {ids.DomainId(name): 0.3333 for name in "bcd"}
    assert A not in count_choices(shares)
    assert (
        domain_choice.choose_domain(local=A, shares=shares, draw=1 - 2**-53)
        != A
    )
