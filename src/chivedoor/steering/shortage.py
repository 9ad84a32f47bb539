"""Shared limits of requests in flight while a service is short of capacity.

The load pattern that this answers is demand above the capacity of a service
whose balancers are many: each of them sees a few flows a second, and the loads
that others report are many service times old. If each balancer acted on these
reports, endpoints would get more than they can answer in time before anybody
knew. So the requests that an endpoint may hold are divided among the balancers,
without a message: each knows its position among the live balancers and takes
its part of the same division. Its own flows, which it knows exactly, must stay
within that part. The demand may rise to any level at any moment, and what is
answered in time stays the same.

More important routes have larger limits. They still find room when the flows
of less important routes have used theirs, and these are then refused until the
number in flight has fallen.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
import random

import xxhash

from chivedoor import ids
from chivedoor.steering import capacity
from chivedoor.steering import const
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import reports
from chivedoor.steering import verdicts
from chivedoor.steering import view as views

_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Members:
    """Live balancers that divide the limits of the endpoints.

    Attributes:
        counts: Number of balancers by failure domain.
        position: Index of this balancer among those of its domain.
    """

    counts: Mapping[ids.DomainId, int]
    position: int


def list_own_tokens(
    endpoint_id: ids.EndpointId, *, tokens: int, start: float, end: float
) -> tuple[int, ...]:
    """Returns which requests in flight at an endpoint a balancer may send.

    The owner of a token does not depend on the number of tokens, so that
    balancers whose estimates of the limit differ still divide it evenly.

    Args:
        endpoint_id: The endpoint.
        tokens: Largest number of requests that the endpoint may hold.
        start: Sum of the weights of the balancers before this one, as a share
            of the sum of all weights.
        end: The same with the weight of this balancer.
    """
    offset = xxhash.xxh32_intdigest(endpoint_id.encode()) / 2**32
    return tuple(
        number
        for number in range(tokens)
        # Multiples of the golden ratio are spread evenly for any count.
        if start <= (offset + number * _GOLDEN_RATIO) % 1.0 < end
    )


class Shortage:
    """Decides on new flows of services that are short of capacity."""

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        view: views.View,
        flows: flow_tables.FlowTable,
        peer_loads: reports.PeerCounts,
        generator: random.Random,
    ) -> None:
        """Creates a control that has no effect before `set_members`."""
        self.capacity = capacity.CapacityTable()
        self._domain = domain
        self._view = view
        self._flows = flows
        self._peer_loads = peer_loads
        self._generator = generator
        self._members: Members | None = None
        self._waiting = False
        # Own tokens by endpoint, with the bounds that they were computed for.
        self._tokens: dict[
            ids.EndpointId, tuple[tuple[float, float], tuple[int, ...]]
        ] = {}
        # Time until which a service counts as short.
        self._short_until: dict[ids.ServiceId, float] = {}

    def set_members(self, members: Members | None) -> None:
        """Sets the balancers that divide the limits; None if not known."""
        if members != self._members:
            self._tokens.clear()
        self._members = members

    def set_waiting(self, waiting: bool) -> None:
        """Sets whether a request of this balancer takes long already."""
        self._waiting = waiting

    def may_apply(
        self,
        *,
        route: views.Route,
        service: ids.ServiceId,
        congested: bool,
        now: float,
    ) -> bool:
        """Returns whether `decide` can have an effect on a new flow.

        Args:
            route: The route of the flow.
            service: The service that was chosen for it.
            congested: Whether requests of the service wait in queues.
            now: The current time, in seconds.
        """
        return (
            self._members is not None
            and route.goal_s > 0.0
            and (congested or self._waiting or self.is_short(service, now))
        )

    def is_short(self, service: ids.ServiceId, now: float) -> bool:
        """Returns whether a service was short of capacity lately."""
        return self._short_until.get(service, now) > now

    def decide(
        self,
        *,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        congested: bool,
        may_refuse: bool,
        now: float,
    ) -> views.Endpoint | verdicts.Refuse | None:
        """Decides on a new flow.

        Args:
            route: The route of the flow.
            service: The service that was chosen for it.
            endpoints: Warm endpoints that may take it.
            congested: Whether requests of the service wait in queues.
            may_refuse: Whether the flow may be refused.
            now: The current time, in seconds.

        Returns:
            The endpoint, the refusal, or None if the service is not short.
        """
        local = [e for e in endpoints if e.domain == self._domain]
        candidates = local or endpoints
        service_s = capacity.estimate_service_times(candidates, self.capacity)
        wait_s = self._get_wait_share(route, service) * route.goal_s
        limits = {
            e.id: capacity.compute_limit(
                endpoint=e, service_s=service_s[e.id], wait_s=wait_s
            )
            for e in candidates
        }
        shares = self._compute_shares(candidates, limits, has_local=bool(local))
        own = {e.id: self._flows.count_in_flight(e.id) for e in candidates}
        exhausted = sum(own.values()) >= sum(shares.values())
        if not self._update(
            service,
            candidates,
            limits,
            congested or exhausted and self._waiting,
            now,
        ):
            return None
        free = [e for e in candidates if own[e.id] < shares[e.id]]
        least_important = self._is_least_important(route, service)
        if free and least_important:
            weights = [shares[e.id] - own[e.id] for e in free]
            return self._generator.choices(free, weights)[0]
        in_flight = sum(map(self._count_in_flight, candidates))
        if (
            free
            or not may_refuse
            or in_flight
            < sum(limits.values())
            * (const.SHORTAGE_ROOM_SHARE if least_important else 1.0)
        ):
            return self._choose_soonest(candidates, free, service_s)
        return verdicts.Refuse(
            reason=verdicts.RefusalReason.OVERLOADED,
            expected_s=in_flight / max(1.0, sum(limits.values())) * wait_s,
            goal_s=route.goal_s,
        )

    def expire(self, now: float) -> None:
        """Removes services that are no longer short."""
        self._short_until = {
            service: until
            for service, until in self._short_until.items()
            if until > now
        }

    def _choose_soonest(
        self,
        candidates: Sequence[views.Endpoint],
        free: Sequence[views.Endpoint],
        service_s: Mapping[ids.EndpointId, float],
    ) -> views.Endpoint:
        """Returns the endpoint with the smallest expected delay of a few.

        The few are random, so that balancers do not choose the same one by the
        same reports, and fast endpoints are likely to be among them.
        """
        weights = [
            e.slots / max(service_s[e.id], const.MIN_SERVICE_S)
            for e in candidates
        ]
        compared = self._generator.choices(
            candidates, weights, k=const.SHORTAGE_CHOICES
        )
        if free:
            compared.append(self._generator.choice(free))
        return min(
            compared,
            key=lambda e: (
                service_s[e.id]
                * max(1.0, (self._count_in_flight(e) + 1) / e.slots)
            ),
        )

    def _update(
        self,
        service: ids.ServiceId,
        candidates: Iterable[views.Endpoint],
        limits: Mapping[ids.EndpointId, float],
        congested: bool,
        now: float,
    ) -> bool:
        """Returns whether a service is short.

        Limits keep queues short, so that the delays alone would end the state
        while the demand is as high as before.
        """
        if congested or (
            self.is_short(service, now)
            and sum(map(self._count_in_flight, candidates))
            >= const.SHORTAGE_END_SHARE * sum(limits.values())
        ):
            self._short_until[service] = now + const.SHORTAGE_LIFETIME_S
        return self.is_short(service, now)

    def _compute_shares(
        self,
        candidates: Sequence[views.Endpoint],
        limits: Mapping[ids.EndpointId, float],
        *,
        has_local: bool,
    ) -> dict[ids.EndpointId, int]:
        """Returns this balancer's part of each limit.

        The endpoints of a domain are divided among its own balancers, and
        those of domains without endpoints, each of which counts for its part
        of the remaining domains.
        """
        assert self._members is not None
        counts = self._members.counts
        present = {e.domain for e in candidates}
        if has_local:
            bounds = {self._domain: self._divide(self._domain, {})}
        else:
            weight = 1.0 / len(present)
            absent = dict.fromkeys(
                (d for d in counts if d not in present), weight
            )
            bounds = {d: self._divide(d, absent) for d in present}
        return {
            e.id: sum(
                number + 0.5 < limits[e.id]
                for number in self._get_tokens(e, bounds[e.domain])
            )
            for e in candidates
        }

    def _get_tokens(
        self, endpoint: views.Endpoint, bounds: tuple[float, float]
    ) -> tuple[int, ...]:
        known = self._tokens.get(endpoint.id)
        if known is not None and known[0] == bounds:
            return known[1]
        tokens = list_own_tokens(
            endpoint.id,
            tokens=round(endpoint.slots * const.MAX_REQUESTS_PER_SLOT),
            start=bounds[0],
            end=bounds[1],
        )
        self._tokens[endpoint.id] = bounds, tokens
        return tokens

    def _divide(
        self, domain: ids.DomainId, absent: Mapping[ids.DomainId, float]
    ) -> tuple[float, float]:
        """Returns the bounds of this balancer in the division of a domain."""
        assert self._members is not None
        counts = self._members.counts
        weights = {domain: 1.0, **absent}
        total = sum(counts.get(d, 0) * weight for d, weight in weights.items())
        start = 0.0
        for other in sorted(weights):
            if other == self._domain:
                start += self._members.position * weights[other]
                break
            start += counts.get(other, 0) * weights[other]
        total = max(total, start + weights.get(self._domain, 1.0))
        return start / total, (start + weights[self._domain]) / total

    def _count_in_flight(self, endpoint: views.Endpoint) -> int:
        return self._flows.count_in_flight(
            endpoint.id
        ) + self._peer_loads.get_count(endpoint.id)

    def _get_wait_share(
        self, route: views.Route, service: ids.ServiceId
    ) -> float:
        if self._is_least_important(route, service):
            return const.SHORTAGE_WAIT_SHARE
        return const.SHORTAGE_IMPORTANT_WAIT_SHARE

    def _is_least_important(
        self, route: views.Route, service: ids.ServiceId
    ) -> bool:
        return route.priority >= self._view.get_lowest_priority(service)
