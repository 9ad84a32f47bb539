"""Opens flows at random times; does no I/O and reads no clock."""

from collections.abc import Callable
import dataclasses
import itertools
import random

from chivedoor.configuration import document as documents
from standins import caller_flows
from standins import exceptions
from standins import host as hosts
from standins import results as results_module

_FIRST_PORT = 1024
_PORTS = 65536 - _FIRST_PORT
_SHAPES = {
    documents.PortKind.STREAM: caller_flows.Stream,
    documents.PortKind.UPLOAD: caller_flows.Upload,
    documents.PortKind.REQUEST: caller_flows.Request,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Flows to one service port, opened at random times with a mean rate.

    Attributes:
        name: Name of the load in the results.
        service: Service id.
        protocol: `tcp` or `udp`.
        port: Service port.
        rate_per_s: Mean rate of new flows.
        shape: Parameters for the kind of the port, such as `records`.
        limit: Maximum number of flows; None for no limit.
    """

    name: str
    service: str
    port: int
    rate_per_s: float
    protocol: str = "tcp"
    shape: dict = dataclasses.field(default_factory=dict)
    limit: int | None = None


class Caller:
    """Opens the flows of loads from a pool of source addresses."""

    def __init__(
        self,
        *,
        name: str,
        addresses: list[bytes],
        send: Callable[[bytes], None],
        timers: hosts.Timers,
        generator: random.Random,
        idle_timeout_s: float = 25.0,
    ):
        """Creates a caller without loads.

        A flow counts as timed out when its target sends nothing for
        `idle_timeout_s`.
        """
        self.results = results_module.Results()
        self._name = name
        self._addresses = addresses
        self._timers = timers
        self._generator = generator
        self._idle_timeout_s = idle_timeout_s
        self._stack = hosts.Stack(send=send, timers=timers, generator=generator)
        self._numbers = itertools.count()
        self._used_datagram_ports: set[hosts.Endpoint] = set()
        self._services: dict[str, documents.Service] = {}
        self._start_token = object()

    def set_document(self, document: documents.Document) -> None:
        """Sets the document with the services of the loads."""
        self._services = dict(document.services)

    def handle_packet(self, data: bytes, now: float) -> None:
        """Handles a packet for one of this caller's addresses."""
        self._stack.handle_packet(data, now)

    def start(self, load: Load, now: float) -> None:
        """Starts opening the flows of a load.

        Raises:
            PlanError: The service, the port or a field is unknown.
        """
        service, port = self._find_port(load)
        try:
            shape = _SHAPES[port.kind](**load.shape)
        except TypeError as error:
            raise exceptions.PlanError(str(error)) from error
        start_token = self._start_token
        left = itertools.count() if load.limit is None else range(load.limit)
        remaining = iter(left)

        def open_due(due: float, now: float) -> None:
            # Due times are computed from the previous due time, not from the
            # timer's, so that coarse ticks do not change the mean rate.
            while due <= now:
                if (
                    self._start_token is not start_token
                    or next(remaining, None) is None
                ):
                    return
                self._open(load, service, port, shape, now)
                due += self._generator.expovariate(load.rate_per_s)
            self._timers.call_at(due, lambda later: open_due(due, later))

        open_due(now, now)

    def stop(self) -> None:
        """Stops opening flows; open flows continue."""
        self._start_token = object()

    def dump_state(self) -> dict:
        """Returns the results, with counts of discarded packets and resets."""
        return {
            **self.results.dump_state(),
            "bad_packets": self._stack.bad_packets,
            "resets_sent": self._stack.resets_sent,
        }

    def _find_port(
        self, load: Load
    ) -> tuple[documents.Service, documents.ServicePort]:
        service = self._services.get(load.service)
        protocol = documents.Protocol[load.protocol.upper()]
        for port in service.ports if service else ():
            if port.port == load.port and port.protocol is protocol:
                return service, port
        raise exceptions.PlanError(f"no service port for the load {load}")

    def _open(
        self,
        load: Load,
        service: documents.Service,
        port: documents.ServicePort,
        shape: caller_flows.Shape,
        now: float,
    ) -> None:
        number = next(self._numbers)
        context = caller_flows.Context(
            load=load.name,
            flow=f"{self._name}-{number}",
            service=service.id,
            shape=shape,
            stack=self._stack,
            timers=self._timers,
            results=self.results,
        )
        self.results.record_open(load.name)
        remote = (self._generator.choice(service.addresses), port.port)
        if port.protocol is documents.Protocol.TCP:
            self._open_connection(context, remote, number, now)
        else:
            self._open_datagram(context, remote, number, now)

    def _choose_local(self, number: int) -> hosts.Endpoint:
        count = len(self._addresses)
        return (
            self._addresses[number % count],
            _FIRST_PORT + number // count % _PORTS,
        )

    def _open_connection(
        self,
        context: caller_flows.Context,
        remote: hosts.Endpoint,
        number: int,
        now: float,
    ) -> None:
        local = self._choose_local(number)
        while self._stack.is_used(local, remote):
            local = self._choose_local(next(self._numbers))
        flow = caller_flows.ConnectionFlow(context=context, opened_at=now)
        self._stack.connect(
            local=local,
            remote=remote,
            callback=flow.handle_event,
            now=now,
            idle_timeout_s=self._idle_timeout_s,
        )

    def _open_datagram(
        self,
        context: caller_flows.Context,
        remote: hosts.Endpoint,
        number: int,
        now: float,
    ) -> None:
        local = self._choose_local(number)
        while local in self._used_datagram_ports:
            local = self._choose_local(next(self._numbers))
        self._used_datagram_ports.add(local)
        flow = caller_flows.DatagramFlow(
            context=context,
            local=local,
            remote=remote,
            release=lambda: self._used_datagram_ports.discard(local),
        )
        flow.open(now)
