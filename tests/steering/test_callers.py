"""Tests for the shares of callers in the demand."""

import itertools
import random

import pytest

from chivedoor.steering import callers
from chivedoor.steering import const
from tests.steering import conftest


def make_caller(number: int) -> bytes:
    """Returns the address of a numbered caller."""
    return (0x64400000 + number).to_bytes(4, "big")


def play(
    table: callers.CallerTable, rates_per_s: list[float], duration_s: float
) -> dict[bytes, int]:
    """Plays Poisson arrivals; returns how often each caller was above."""
    generator = random.Random(1)
    addresses = [make_caller(number) for number in range(len(rates_per_s))]
    above = dict.fromkeys(addresses, 0)
    now = 0.0
    while now < duration_s:
        now += generator.expovariate(sum(rates_per_s))
        (caller,) = generator.choices(addresses, rates_per_s)
        table.record(caller, now)
        if now >= duration_s / 2:
            above[caller] += table.is_above_share(caller, now)
    return above


@pytest.mark.parametrize("others", [1, 2, 20, 500])
def test_caller_with_ten_times_the_demand_is_above_its_share(
    others: int,
) -> None:
    """Guards against callers that are refused because of a busy one.

    The others are not above their share.
    """
    table = callers.CallerTable(max_callers=const.MAX_CALLERS)
    above = play(table, [5.0] + [0.5] * others, 60.0)
    heavy = above.pop(make_caller(0))
    # 150 flows are expected in the second half.
    assert heavy > 120
    assert not any(above.values())


@pytest.mark.parametrize(
    ("count", "rate_per_s"),
    [(2, 0.2), (2, 1.0), (3, 5.0), (20, 0.1), (60, 0.05), (200, 0.5)],
)
def test_equal_callers_are_never_above_their_share(
    count: int, rate_per_s: float
) -> None:
    """Guards against refusals by chance where a balancer sees few flows."""
    table = callers.CallerTable(max_callers=const.MAX_CALLERS)
    above = play(table, [rate_per_s] * count, 2_000.0)
    assert not any(above.values())


def test_single_caller_is_not_above_its_share() -> None:
    """Guards against refusals of the only caller of a service."""
    table = callers.CallerTable(max_callers=8)
    assert not any(play(table, [100.0], 10.0).values())
    assert not table.is_above_share(make_caller(9), 10.0)


def test_memory_stays_at_the_bound() -> None:
    """Guards against memory that grows with forged addresses.

    Each of a million callers opens one flow within 10 s. The one with many is
    still found, and a new caller that replaces another is not above its share.
    """
    table = callers.CallerTable(max_callers=1_000)
    heavy = make_caller(1_000_001)
    for number in range(1_000_000):
        now = number * 1e-5
        table.record(make_caller(number), now)
        if not number % 100:
            table.record(heavy, now)
    assert len(table) == 1_000
    assert len(table._heap) == 1_000
    assert len(table._inherited) <= 1_000
    assert table.is_above_share(heavy, 10.0)
    assert not any(
        table.is_above_share(make_caller(number), 10.0)
        for number in range(999_000, 1_000_000)
    )


def test_counts_decay() -> None:
    """Guards against callers that are refused for demand that has ended."""
    table = callers.CallerTable(max_callers=100)
    heavy = make_caller(0)
    for _ in range(40):
        table.record(heavy, 1.0)
    for number in range(1, 20):
        table.record(make_caller(number), 1.0)
    assert table.is_above_share(heavy, 1.0)
    for step, number in itertools.product(range(20), range(1, 20)):
        table.record(make_caller(number), 1.0 + step)
    assert not table.is_above_share(heavy, 20.0)
    table.record(heavy, 20.0 + 20 * const.CALLER_HALF_LIFE_S)
    assert len(table) == 1


@pytest.mark.parametrize("pause_half_lives", [1.0, 5_000.0])
def test_shares_hold_over_long_times(pause_half_lives: float) -> None:
    """Guards against numbers that overflow after hours of operation."""
    table = callers.CallerTable(max_callers=10)
    step_s = pause_half_lives * const.CALLER_HALF_LIFE_S
    for step in range(2_000):
        now = step * step_s
        for _ in range(40):
            table.record(make_caller(0), now)
        table.record(make_caller(1), now)
        assert table.is_above_share(make_caller(0), now)
        assert not table.is_above_share(make_caller(1), now)


def test_steerer_counts_first_opening_packets(make_steerer) -> None:
    """Guards against callers above their share because packets were lost."""
    steerer = make_steerer(conftest.make_endpoint(1))
    for number in range(40):
        for copies in range(3):
            steerer.decide(
                conftest.make_opening(
                    conftest.make_flow(number * 50_000),
                    retransmissions=copies if number else 0,
                ),
                1.0 + copies * 0.2,
            )
    counts = steerer.callers._counts
    assert len(counts) == 40
    first = counts.pop(make_caller(0))
    assert first == pytest.approx(3 * max(counts.values()), rel=0.1)
