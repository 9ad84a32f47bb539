"""Fixtures for the tests of the stand-ins."""

import pathlib

import pytest

from chivedoor.configuration import document as documents
from standins import caller as callers
from standins import deployment as deployments
from standins import direct
from standins import simulation as simulations

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "mtskheta.json"

LOADS = {
    "streams": callers.Load(
        name="streams",
        service="listening",
        port=8000,
        rate_per_s=10,
        limit=20,
        shape={"records": 20, "rate_per_s": 4},
    ),
    "requests": callers.Load(
        name="requests",
        service="listening",
        port=8001,
        rate_per_s=10,
        limit=20,
    ),
    "datagrams": callers.Load(
        name="datagrams",
        service="listening",
        port=8002,
        protocol="udp",
        rate_per_s=10,
        limit=20,
    ),
    "uploads": callers.Load(
        name="uploads", service="intake", port=8010, rate_per_s=5, limit=10
    ),
}


@pytest.fixture
def document():
    return documents.parse_document(EXAMPLE.read_bytes())


class SimulationHarness:
    """A simulation with naive balancers whose packets tests can modify."""

    def __init__(self, document):
        self.simulation = simulations.Simulation(document=document, seed=1)
        self.balancers = {}
        self.modify_packets = lambda packets, now: packets
        for number, domain in enumerate("abc"):
            self.add_balancer(f"vm{number}", domain, document)

    def add_balancer(self, name, domain, document):
        balancer = direct.DirectBalancer(max_flows=10_000)
        balancer.set_document(document)
        self.balancers[name] = balancer

        def handle(data, now):
            packet = balancer.handle_packet(data)
            return self.modify_packets([packet] if packet else [], now)

        self.simulation.add_balancer(name, domain, handle)

    def start(self, *names):
        for name in names:
            self.simulation.caller.start(LOADS[name], self.simulation.now)

    def finish(self, seconds=60):
        self.simulation.run(4)
        self.simulation.finish(seconds)

    def get_outcomes(self, load):
        return self.simulation.caller.dump_state()["outcomes"].get(load, {})

    def get_events(self):
        totals = {}
        for events in self.simulation.ledger.dump_state()["events"].values():
            for event, count in events.items():
                totals[event] = totals.get(event, 0) + count
        return totals


@pytest.fixture
def harness(document):
    return SimulationHarness(document)


@pytest.fixture
def block():
    """An address block that no other test run uses."""
    number, reservation = deployments.reserve_block()
    yield number
    reservation.close()
