"""Demand on the services as seen in the packets of callers.

The load pattern that this answers is a shortage in one failure domain while
another one has capacity to spare. Requests that were answered show how much an
endpoint serves but not how much is asked for, because refused callers leave no
request. A refused flow is therefore counted as a request. Requests are counted
where they originate, so that a domain that sends flows away still knows its own
demand. Flows would be the wrong unit: some hold one request and others many,
while the capacity is known in requests.

All values are rates a second with exponential decay. Rates of several balancers
can be added, while means cannot.
"""

from collections.abc import Hashable
import math
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from chivedoor import ids
from chivedoor.steering import const

_Key = TypeVar("_Key", bound=Hashable)


class Capacity(NamedTuple):
    """Capacity of a service in a failure domain.

    Attributes:
        requests_per_s: Requests a second that the warm and usable endpoints can
            answer in time.
        in_flight: Number of requests in flight.
    """

    requests_per_s: float
    in_flight: float


class Handshakes(NamedTuple):
    """Completed handshakes with the endpoints of a failure domain.

    Attributes:
        number: Handshakes a second.
        duration_s: Sum of their durations, in seconds a second.
    """

    number: float
    duration_s: float


class Transfer(NamedTuple):
    """Payload that the callers of a service sent.

    Attributes:
        flows: Admitted flows a second.
        payload_bytes: Payload of callers, in bytes a second.
    """

    flows: float
    payload_bytes: float


class DecayingRates(Generic[_Key]):
    """Rates by key that decay with the time constant `DEMAND_DECAY_S`."""

    def __init__(self) -> None:
        # Amounts are weighted by the exponential of the time since the
        # reference, so that a new one leaves all others untouched.
        self._reference_at = 0.0
        self._sums: dict[_Key, float] = {}

    def add(self, key: _Key, amount: float, now: float) -> None:
        """Adds an amount at a time in seconds."""
        if now - self._reference_at > const.DEMAND_REFERENCE_LIFETIME_S:
            self._move_reference(now)
        weight = math.exp((now - self._reference_at) / const.DEMAND_DECAY_S)
        self._sums[key] = self._sums.get(key, 0.0) + amount * weight

    def list_rates(self, now: float) -> dict[_Key, float]:
        """Returns the rates by key, in amounts a second."""
        factor = self._get_factor(now) / const.DEMAND_DECAY_S
        return {
            key: rate
            for key, total in self._sums.items()
            if (rate := total * factor) >= const.DEMAND_MIN_RATE_PER_S
        }

    def _get_factor(self, now: float) -> float:
        return math.exp((self._reference_at - now) / const.DEMAND_DECAY_S)

    def _move_reference(self, now: float) -> None:
        """Moves the reference, so that weights do not overflow."""
        factor = self._get_factor(now)
        self._sums = {
            key: decayed
            for key, total in self._sums.items()
            if (decayed := total * factor) >= const.DEMAND_MIN_RATE_PER_S
        }
        self._reference_at = now


class Demand:
    """Rates of requests, handshakes and payload through this balancer."""

    def __init__(self) -> None:
        self._requests: DecayingRates[tuple[ids.ServiceId, int]] = (
            DecayingRates()
        )
        self._handshakes: DecayingRates[ids.DomainId] = DecayingRates()
        self._durations: DecayingRates[ids.DomainId] = DecayingRates()
        self._flows: DecayingRates[ids.ServiceId] = DecayingRates()
        self._payload: DecayingRates[ids.ServiceId] = DecayingRates()

    def record_request(
        self, service: ids.ServiceId, priority: int, now: float
    ) -> None:
        """Records a request that begins, or a new flow that is refused."""
        self._requests.add((service, priority), 1.0, now)

    def record_admitted(self, service: ids.ServiceId, now: float) -> None:
        """Records a flow that is delivered to an endpoint of a service."""
        self._flows.add(service, 1.0, now)

    def record_handshake(
        self, domain: ids.DomainId, duration_s: float, now: float
    ) -> None:
        """Records a handshake that an endpoint of a domain completed."""
        self._handshakes.add(domain, 1.0, now)
        self._durations.add(domain, duration_s, now)

    def record_payload(
        self, service: ids.ServiceId, payload_bytes: int, now: float
    ) -> None:
        """Records payload of a caller.

        Retransmissions count, because they cross the link as well.
        """
        if payload_bytes:
            self._payload.add(service, float(payload_bytes), now)

    def list_demand(self, now: float) -> dict[ids.ServiceId, dict[int, float]]:
        """Returns requests a second by service and priority."""
        demand: dict[ids.ServiceId, dict[int, float]] = {}
        for (service, priority), rate in self._requests.list_rates(now).items():
            demand.setdefault(service, {})[priority] = rate
        return demand

    def list_handshakes(self, now: float) -> dict[ids.DomainId, Handshakes]:
        """Returns completed handshakes by domain of the endpoint."""
        durations = self._durations.list_rates(now)
        return {
            domain: Handshakes(
                number=number, duration_s=durations.get(domain, 0.0)
            )
            for domain, number in self._handshakes.list_rates(now).items()
        }

    def list_transfers(self, now: float) -> dict[ids.ServiceId, Transfer]:
        """Returns admitted flows and payload of callers by service.

        Packets of a flow may pass through other balancers than its opening
        packet, so the ratio is meaningful for the sum over a domain only.
        """
        flows = self._flows.list_rates(now)
        payload = self._payload.list_rates(now)
        return {
            service: Transfer(
                flows=flows.get(service, 0.0),
                payload_bytes=payload.get(service, 0.0),
            )
            for service in flows.keys() | payload.keys()
        }
