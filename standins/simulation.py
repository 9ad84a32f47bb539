"""In-process simulation of callers, fabric and targets in virtual time.

Tests run the decision logic of balancers in it. Runs with the same seed are
identical.
"""

from collections.abc import Callable
import random

from chivedoor.configuration import document as documents
from standins import caller as caller_module
from standins import fabric as fabrics
from standins import host as hosts
from standins import ledger as ledgers
from standins import link
from standins import target as targets

_CALLER_DOMAIN = "clients"
_CALLER_PORT = 1
_TARGETS_PORT = 2
_BALANCER_PORT = 3
_FIRST_CALLER = bytes([127, 2, 0, 1])
_LATENCY_S = 0.0005

HandlePacket = Callable[[bytes, float], list[bytes]]


class Simulation:
    """A caller and all targets of a document, connected by balancers.

    A balancer is a function that gets a packet and the time and returns the
    packets to send to the fabric.
    """

    def __init__(
        self,
        *,
        document: documents.Document,
        seed: int,
        spray: fabrics.Spray = fabrics.Spray.PACKET,
    ):
        """Creates a simulation without balancers at time 0."""
        self.now = 0.0
        self.timers = hosts.Timers()
        self.ledger = ledgers.Ledger()
        self.fabric = fabrics.Fabric(seed=seed, spray=spray)
        self.targets: dict[str, targets.Target] = {}
        self._generator = random.Random(seed)
        self._receivers: dict[link.Address, Callable] = {}
        self._add_targets(document)
        self.caller = self._add_caller(document)
        self.fabric.set_services(
            fabrics.unpack_address(address)
            for service in document.services.values()
            for address in service.addresses
        )

    def _add_targets(self, document: documents.Document) -> None:
        for service in document.services.values():
            for endpoint in service.endpoints:
                self._add_target(service, endpoint)

    def _add_target(
        self, service: documents.Service, endpoint: documents.Endpoint
    ) -> None:
        name = fabrics.unpack_address(endpoint.address)
        address = (name, _TARGETS_PORT)
        target = targets.Target(
            service=service,
            endpoint=endpoint,
            ledger=self.ledger,
            send=lambda data: self.send(data, address),
            timers=self.timers,
            generator=self._generator,
        )
        self.targets[name] = target
        self._receivers[address] = target.handle_packet
        host = fabrics.Host(
            name=name,
            kind=fabrics.HostKind.TARGET,
            domain=endpoint.domain,
            address=address,
        )
        self.fabric.add_host(host, [name])

    def _add_caller(self, document: documents.Document) -> caller_module.Caller:
        name = fabrics.unpack_address(_FIRST_CALLER)
        address = (name, _CALLER_PORT)
        caller = caller_module.Caller(
            name="caller",
            addresses=[_FIRST_CALLER],
            send=lambda data: self.send(data, address),
            timers=self.timers,
            generator=self._generator,
        )
        caller.set_document(document)
        self._receivers[address] = caller.handle_packet
        host = fabrics.Host(
            name=name,
            kind=fabrics.HostKind.CALLER,
            domain=_CALLER_DOMAIN,
            address=address,
        )
        self.fabric.add_host(host, [name])
        return caller

    def add_balancer(
        self, name: str, domain: str, handle: HandlePacket
    ) -> None:
        """Adds an entry VM, or replaces the one with the same name."""
        address = (name, _BALANCER_PORT)

        def receive(data: bytes, now: float) -> None:
            for packet in handle(data, now):
                self.send(packet, address)

        self._receivers[address] = receive
        self.fabric.add_balancer(
            fabrics.Host(
                name=name,
                kind=fabrics.HostKind.BALANCER,
                domain=domain,
                address=address,
            )
        )

    def kill_balancer(self, name: str) -> None:
        """Drops all packets to an entry VM that remains in the fabric."""
        self._receivers[(name, _BALANCER_PORT)] = lambda data, now: None

    def send(self, data: bytes, sender: link.Address) -> None:
        """Sends a packet of a host through the fabric."""
        for delivery in self.fabric.route(data, sender, self.now):
            self._deliver(delivery)

    def _deliver(self, delivery: fabrics.Delivery) -> None:
        self.timers.call_at(
            self.now + _LATENCY_S + delivery.delay_s,
            lambda now: self._receivers[delivery.destination](
                delivery.data, now
            ),
        )

    def run(self, seconds: float) -> None:
        """Advances the virtual time by some seconds."""
        end = self.now + seconds
        while (when := self.timers.next_time) is not None and when <= end:
            self.now = when
            self.timers.tick(when)
        self.now = end

    def finish(self, seconds: float) -> None:
        """Stops opening flows and runs until all have ended, or a timeout."""
        self.caller.stop()
        end = self.now + seconds
        while self.caller.results.open_flows and self.now < end:
            self.run(0.1)
