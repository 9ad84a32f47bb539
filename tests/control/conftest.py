"""Fixtures for the tests of the gossip protocol."""

import pytest

from tests.control import fleet as fleet_module


@pytest.fixture
def network() -> fleet_module.FakeNetwork:
    return fleet_module.FakeNetwork()


@pytest.fixture
def fleet(network) -> fleet_module.FakeNetwork:
    """A network of 8 nodes that all know each other."""
    for number in range(1, 9):
        network.start(number)
    network.run(5.0)
    assert network.count_live() == [8] * 8
    return network
