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

Room counts for each endpoint. Requests on flows that are open already cannot be
limited and may fill the queues of slow endpoints far beyond the limits, while
fast endpoints have room left.
"""

from collections.abc import Collection
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
from chivedoor.steering import delays
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import observer as observers
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


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Part:
    """Part of a balancer in the endpoints of a domain.

    Attributes:
        start: Sum of the weights of the balancers before it, as a share of the
            sum of all weights.
        end: The same with its own weight.
        domain: Share of all balancers of its domain.
    """

    start: float
    end: float
    domain: float


# Own tokens by endpoint, with the slots and bounds that they were computed for.
TokenCache = dict[
    ids.EndpointId, tuple[tuple[int, float, float], tuple[int, ...]]
]


@dataclasses.dataclass(slots=True, kw_only=True)
class Assessment:
    """Inputs of the decision on a new flow of a service.

    Attributes:
        candidates: Endpoints that the flow may go to.
        service_s: Service times by endpoint, in seconds; 0 if not known.
        shares: Own tokens by endpoint: requests in flight that this balancer
            may have there.
        own: Own requests in flight by endpoint.
        known: Requests in flight by endpoint, as far as known.
        rooms: Requests that each endpoint may hold in addition, by the part of
            the domain in its limit.
        limit: Part of the domain in the limits of the candidates.
        wait_s: Longest delay that the limits allow, in seconds.
        is_short: Whether the service is short of capacity.
        is_renewed: Whether the state lasts longer from now on.
        least_important: Whether no route of the service is less important.
        has_room: Whether the flow may exceed the own tokens.
        free: Candidates with own tokens left that the flow may use.
    """

    candidates: Sequence[views.Endpoint]
    service_s: Mapping[ids.EndpointId, float]
    shares: Mapping[ids.EndpointId, int]
    own: Mapping[ids.EndpointId, int]
    known: Mapping[ids.EndpointId, int]
    rooms: Mapping[ids.EndpointId, float]
    limit: float
    wait_s: float
    is_short: bool
    is_renewed: bool
    least_important: bool
    has_room: bool
    free: Sequence[views.Endpoint]

    @property
    def in_flight(self) -> int:
        """Known requests in flight at the candidates."""
        return sum(self.known.values())

    @property
    def is_refused(self) -> bool:
        """Whether the flow is refused if the service is short."""
        return not self.free and not self.has_room

    def get_tokens_left(self) -> dict[ids.EndpointId, int]:
        """Returns the own tokens left at the endpoints that the flow may use.

        A flow of a more important route leaves out endpoints whose queue makes
        it late. The result is empty if the flow is not placed by tokens.
        """
        return {
            e.id: self.shares[e.id] - self.own[e.id]
            for e in self.free
            if self.least_important or self.compute_expected_s(e) <= self.wait_s
        }

    def compute_expected_s(self, endpoint: views.Endpoint) -> float:
        """Returns the expected delay at a candidate, in seconds."""
        return self.service_s[endpoint.id] * max(
            1.0, (self.known[endpoint.id] + 1) / endpoint.slots
        )

    def compute_weights(self) -> dict[ids.EndpointId, float]:
        """Returns the weights with which candidates are drawn beyond tokens.

        They are the requests a second that an endpoint completes. For a flow of
        the least important route, they also grow with the room. Otherwise,
        after a shortage, all balancers would fill the endpoints that stayed
        fast until the estimates of the others have recovered.
        """
        speeds = {
            e.id: e.slots / max(self.service_s[e.id], const.MIN_SERVICE_S)
            for e in self.candidates
        }
        if not self.least_important or not any(self.rooms.values()):
            return speeds
        return {e: speed * self.rooms[e] for e, speed in speeds.items()}

    def make_refusal(
        self, service: ids.ServiceId, goal_s: float
    ) -> verdicts.Refuse:
        """Returns the refusal of a flow with a goal, in seconds."""
        return verdicts.Refuse(
            reason=verdicts.RefusalReason.OVERLOADED,
            service=service,
            expected_s=self.in_flight / max(1.0, self.limit) * self.wait_s,
            goal_s=goal_s,
        )


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
    """Decides on new flows of services that are short of capacity.

    Attributes:
        capacity: Service times of the endpoints.
    """

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        view: views.View,
        flows: flow_tables.FlowTable,
        peer_loads: reports.PeerCounts,
        generator: random.Random,
        observer: observers.Observer,
    ) -> None:
        """Creates a control that has no effect before `set_members`."""
        self.capacity = capacity.CapacityTable()
        self._domain = domain
        self._view = view
        self._flows = flows
        self._peer_loads = peer_loads
        self._generator = generator
        self._observer = observer
        # Without members, no decision is made and no capacity is estimated.
        self._members: Members | None = None
        self._waiting = False
        self._tokens: TokenCache = {}
        # Time until which a service counts as short.
        self._short_until: dict[ids.ServiceId, float] = {}
        # Last measured loads of the services whose shortage was reported.
        self._reported: dict[ids.ServiceId, observers.ServiceLoad] = {}

    def set_members(self, members: Members | None) -> None:
        """Sets the balancers that divide the limits; None if not known."""
        if members != self._members:
            self._tokens.clear()
        self._members = members

    def update_capacity(self, table: delays.DelayTable) -> None:
        """Updates the capacity estimates; called once per tick."""
        if self._members is not None:
            self.capacity.update(table, self._view.endpoints)

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

    def has_short_service(self, now: float) -> bool:
        """Returns whether any service was short of capacity lately."""
        return any(until > now for until in self._short_until.values())

    def is_short(self, service: ids.ServiceId, now: float) -> bool:
        """Returns whether a service was short of capacity lately."""
        return self._short_until.get(service, now) > now

    def list_short(self, now: float) -> list[ids.ServiceId]:
        """Returns the services that were short of capacity lately."""
        return [
            service
            for service, until in self._short_until.items()
            if until > now
        ]

    def decide(
        self,
        *,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        served_domains: Collection[ids.DomainId],
        congested: bool,
        may_refuse: bool,
        above_share: bool,
        now: float,
    ) -> views.Endpoint | verdicts.Refuse | None:
        """Decides on a new flow.

        Args:
            route: The route of the flow.
            service: The service that was chosen for it.
            endpoints: Warm endpoints that may take it.
            served_domains: Domains with such endpoints.
            congested: Whether requests of the service wait in queues.
            may_refuse: Whether the flow may be refused.
            above_share: Whether its caller asks for more than the others.
            now: The current time, in seconds.

        Returns:
            The endpoint, the refusal, or None if the service is not short or
            its endpoints are left to the balancers of other domains.
        """
        assessment = self._assess(
            route=route,
            service=service,
            endpoints=endpoints,
            served_domains=served_domains,
            congested=congested,
            may_refuse=may_refuse,
            above_share=above_share,
            now=now,
            tokens=self._tokens,
        )
        if assessment is None or not assessment.is_short:
            return None
        if assessment.is_renewed:
            self._short_until[service] = now + const.SHORTAGE_LIFETIME_S
        self._report(
            service,
            observers.ServiceLoad(
                in_flight=assessment.in_flight,
                limit=assessment.limit,
                share=sum(assessment.shares.values()),
            ),
        )
        if assessment.is_refused:
            return assessment.make_refusal(service, route.goal_s)
        tokens = assessment.get_tokens_left()
        if tokens:
            return self._draw(assessment.free, tokens)[0]
        return self._choose_soonest(assessment)

    def assess(
        self,
        *,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        served_domains: Collection[ids.DomainId],
        congested: bool,
        may_refuse: bool,
        above_share: bool,
        now: float,
    ) -> Assessment | None:
        """Returns what `decide` is based on, without any effect.

        The arguments are those of `decide`. The result is None if the endpoints
        are left to the balancers of other domains.
        """
        return self._assess(
            route=route,
            service=service,
            endpoints=endpoints,
            served_domains=served_domains,
            congested=congested,
            may_refuse=may_refuse,
            above_share=above_share,
            now=now,
            tokens=dict(self._tokens),
        )

    def _assess(
        self,
        *,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        served_domains: Collection[ids.DomainId],
        congested: bool,
        may_refuse: bool,
        above_share: bool,
        now: float,
        tokens: TokenCache,
    ) -> Assessment | None:
        """Returns the assessment; tokens that are missing are added."""
        local = [e for e in endpoints if e.domain == self._domain]
        if not local and self._domain in served_domains:
            return None
        candidates = local or endpoints
        service_s = capacity.estimate_service_times(candidates, self.capacity)
        wait_s = self._get_wait_share(route, service) * route.goal_s
        limits = {
            e.id: capacity.compute_limit(
                endpoint=e, service_s=service_s[e.id], wait_s=wait_s
            )
            for e in candidates
        }
        parts = self._divide_domains(candidates, served_domains)
        shares = _compute_shares(candidates, limits, parts, tokens)
        own = {e.id: self._flows.count_in_flight(e.id) for e in candidates}
        exhausted = sum(own.values()) >= sum(shares.values())
        # The loads of other domains are not known, only their parts.
        limit = sum(limits[e.id] * parts[e.domain].domain for e in candidates)
        known = {e.id: self._count_in_flight(e) for e in candidates}
        in_flight = sum(known.values())
        rooms = {
            e.id: max(0.0, limits[e.id] * parts[e.domain].domain - known[e.id])
            for e in candidates
        }
        is_detected = congested or (exhausted and self._waiting)
        is_short = is_detected or self.is_short(service, now)
        # Limits keep queues short, so that the delays alone would end the state
        # while the demand is as high as before.
        is_renewed = is_detected or (
            is_short and in_flight >= const.SHORTAGE_END_SHARE * limit
        )
        least_important = self._is_least_important(route, service)
        lowers_room = least_important or above_share
        room_share = const.SHORTAGE_ROOM_SHARE if lowers_room else 1.0
        has_room = (
            not may_refuse or sum(rooms.values()) > (1.0 - room_share) * limit
        )
        # Callers above their share get what the others leave.
        free = (
            [e for e in candidates if own[e.id] < shares[e.id]]
            if has_room or not above_share
            else []
        )
        return Assessment(
            candidates=candidates,
            service_s=service_s,
            shares=shares,
            own=own,
            known=known,
            rooms=rooms,
            limit=limit,
            wait_s=wait_s,
            is_short=is_short,
            is_renewed=is_renewed,
            least_important=least_important,
            has_room=has_room,
            free=free,
        )

    def expire(self, now: float) -> None:
        """Removes services that are not short and endpoints that ended.

        Called once a second, which bounds the reports of each service.
        """
        self._short_until = {
            service: until
            for service, until in self._short_until.items()
            if until > now
        }
        self._tokens = {
            endpoint_id: tokens
            for endpoint_id, tokens in self._tokens.items()
            if endpoint_id in self._view.endpoints
        }
        for service in self._reported.keys() - self._short_until.keys():
            self._observer.on_shortage_ended(
                service, self._reported.pop(service)
            )

    def _report(
        self, service: ids.ServiceId, load: observers.ServiceLoad
    ) -> None:
        """Reports the beginning of a shortage, unless its end is due."""
        if service not in self._reported:
            self._observer.on_shortage_begun(service, load)
        self._reported[service] = load

    def count_divided(self) -> int:
        """Returns the number of endpoints whose limits are kept divided."""
        return len(self._tokens)

    def _choose_soonest(self, assessment: Assessment) -> views.Endpoint:
        """Returns the endpoint with the smallest expected delay of a few.

        The few are random, so that balancers do not choose the same one by the
        same reports, and fast endpoints are likely to be among them.
        """
        compared = self._draw(
            assessment.candidates,
            assessment.compute_weights(),
            count=const.SHORTAGE_CHOICES,
        )
        if assessment.free:
            compared.append(self._generator.choice(assessment.free))
        return min(compared, key=assessment.compute_expected_s)

    def _draw(
        self,
        endpoints: Iterable[views.Endpoint],
        weights: Mapping[ids.EndpointId, float],
        count: int = 1,
    ) -> list[views.Endpoint]:
        """Returns random endpoints by weight; others than in it are not drawn.

        Args:
            endpoints: Endpoints to draw from, with repetition.
            weights: Weight of each one.
            count: Number of draws.
        """
        listed = list(endpoints)
        return self._generator.choices(
            listed, [weights.get(e.id, 0.0) for e in listed], k=count
        )

    def _divide_domains(
        self,
        candidates: Iterable[views.Endpoint],
        served_domains: Collection[ids.DomainId],
    ) -> dict[ids.DomainId, "_Part"]:
        """Returns the part of this balancer for the endpoints of each domain.

        The endpoints of a domain are divided among its own balancers and those
        of domains without endpoints. These are served by all other domains, so
        that they count for a fraction in each.
        """
        assert self._members is not None
        counts = self._members.counts
        absent = {
            domain: 1.0 / len(served_domains)
            for domain in counts
            if domain not in served_domains
        }
        return {
            domain: _divide(
                {domain: 1.0, **absent},
                counts=counts,
                local=self._domain,
                position=self._members.position,
            )
            for domain in {e.domain for e in candidates}
        }

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


def _compute_shares(
    candidates: Iterable[views.Endpoint],
    limits: Mapping[ids.EndpointId, float],
    parts: Mapping[ids.DomainId, _Part],
    tokens: TokenCache,
) -> dict[ids.EndpointId, int]:
    """Returns a balancer's part of each limit, in whole requests."""
    return {
        e.id: sum(
            number + 0.5 < limits[e.id]
            for number in _get_tokens(e, parts[e.domain], tokens)
        )
        for e in candidates
    }


def _get_tokens(
    endpoint: views.Endpoint, part: _Part, cache: TokenCache
) -> tuple[int, ...]:
    # An endpoint may restart under its id with other slots.
    basis = (endpoint.slots, part.start, part.end)
    known = cache.get(endpoint.id)
    if known is not None and known[0] == basis:
        return known[1]
    tokens = list_own_tokens(
        endpoint.id,
        tokens=round(endpoint.slots * const.MAX_REQUESTS_PER_SLOT),
        start=part.start,
        end=part.end,
    )
    cache[endpoint.id] = basis, tokens
    return tokens


def _divide(
    weights: Mapping[ids.DomainId, float],
    *,
    counts: Mapping[ids.DomainId, int],
    local: ids.DomainId,
    position: int,
) -> _Part:
    """Returns the part of a balancer among those of several domains.

    Args:
        weights: Weight of each balancer by domain.
        counts: Number of balancers by domain.
        local: Domain of the balancer.
        position: Its index in its domain.
    """
    weight = weights[local]
    # A balancer that the others do not know yet comes after them.
    sizes = {
        domain: counts.get(domain, 0) * weights[domain] for domain in weights
    }
    sizes[local] = max(sizes[local], (position + 1) * weight)
    total = sum(sizes.values())
    start = position * weight + sum(
        size for domain, size in sizes.items() if domain < local
    )
    return _Part(
        start=start / total,
        end=(start + weight) / total,
        domain=sizes[local] / total,
    )
