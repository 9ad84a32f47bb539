"""Tests of drawing and applying faults."""

import random

from soak import faults

VMS = tuple(f"vm-{number}" for number in range(6))


def draw(seed: int) -> list[faults.Fault]:
    return faults.draw_faults(
        random.Random(seed), vms=VMS, duration_s=10.0, count=8
    )


def test_same_seed_draws_same_faults() -> None:
    """Guards against regression seeds that draw different faults."""
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_each_kind_is_drawn() -> None:
    """Guards against fault kinds that are defined but never drawn."""
    drawn = {type(fault) for seed in range(60) for fault in draw(seed)}
    assert drawn == set(faults.Fault.__subclasses__())


def test_each_kind_can_be_applied() -> None:
    """Guards against fault kinds without a handler."""
    default = faults.async_apply.dispatch(faults.Fault)
    for kind in faults.Fault.__subclasses__():
        assert faults.async_apply.dispatch(kind) is not default
