"""Emulation of demand around the capacity of a service, in virtual time.

Balancers are real steerers that exchange load reports. In a large domain, the
reports pass through one of the balancers. Endpoints have slots, a bounded queue
and a factor of slowness; callers open a flow for each request and retry a
refused one at once. Runs with the same seed are identical.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import heapq
import itertools
import random

from chivedoor import ids
from chivedoor.feed import const as feed_const
from chivedoor.platform import packets
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views

_SERVICE = ids.ServiceId("service")
_ROUTE = packets.make_route_key("198.18.0.1", 443)
_IMPORTANT_ROUTE = packets.make_route_key("198.18.0.1", 8443)
_ONE_WAY_S = 0.001
_REPLY_BYTES = 800
_REFUSAL_BYTES = 146
_REQUEST_BYTES = 500
# Ratio of the standard deviation of the logarithm of the service time.
_SPREAD = 0.5
_TICK_S = 0.25
_PORTS_PER_CALLER = 50_000


class Policy(enum.Enum):
    """Way in which demand above capacity is handled.

    `FIXED_LIMIT` knows the true number of requests at each endpoint, which no
    balancer does.
    """

    NO_REFUSAL = "no refusal"
    FIXED_LIMIT = "fixed limit"
    OBSERVED_DELAY = "observed delay"
    SHARED_LIMITS = "shared limits"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Phase:
    """Part of a run with constant demand.

    Attributes:
        duration_s: Its duration, in seconds.
        load: Demand as a multiple of the capacity of all endpoints at full
            speed.
        slow_endpoints: Number of endpoints that are slow.
        slowness: Factor by which their service times grow.
        important_load: Demand of the more important route, as `load`.
    """

    duration_s: float
    load: float
    slow_endpoints: int = 0
    slowness: float = 1.0
    important_load: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """A service with its callers and balancers.

    Attributes:
        domains: Number of failure domains.
        balancers: Number of balancers in each domain.
        endpoints: Number of endpoints in each domain.
        slots: Requests that an endpoint processes at a time.
        queue: Requests that wait at an endpoint before it turns others away.
        service_s: Mean service time, in seconds.
        goal_s: Time within which a request is to be answered, in seconds.
        retries: Number of times that a caller retries a refused request.
        limit_per_slot: Limit of `Policy.FIXED_LIMIT`.
        large: Whether reports pass through the first balancer of a domain.
    """

    domains: int = 3
    balancers: int = 4
    endpoints: int = 3
    slots: int = 3
    queue: int = 12
    service_s: float = 0.045
    goal_s: float = 0.25
    retries: int = 2
    limit_per_slot: float = 2.0
    large: bool = False

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all endpoints complete at full speed."""
        return self.domains * self.endpoints * self.slots / self.service_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Results of the requests that began in a span of time.

    Attributes:
        asked: Number of requests.
        in_goal: Number of those answered within their goal.
        late: Number of those answered later.
        refused: Number of those refused by balancers until the caller gave up.
        turned_away: Number of those turned away by endpoints likewise.
        refused_with_free_slots: Refusals while an endpoint had a free slot.
    """

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    refused: int = 0
    turned_away: int = 0
    refused_with_free_slots: int = 0


class _Endpoint:
    """An endpoint with slots and a queue, first in, first out."""

    def __init__(self, *, entry: views.Endpoint) -> None:
        self.entry = entry
        self.slowness = 1.0
        self.busy = 0
        self.waiting: list[_Request] = []

    @property
    def in_flight(self) -> int:
        return self.busy + len(self.waiting)


class _Request:
    """A request with the attempts of its caller."""

    __slots__ = (
        "asked_at",
        "attempts",
        "balancer",
        "domain",
        "flow",
        "important",
        "tag",
    )

    def __init__(
        self, *, asked_at: float, domain: int, important: bool
    ) -> None:
        self.asked_at = asked_at
        self.important = important
        self.domain = domain
        self.attempts = 0
        self.balancer: steerers.Steerer | None = None
        self.flow = segments.FlowId(b"")
        self.tag = ids.Tag(0)


class Emulation:
    """Plays the phases of a run.

    Attributes:
        now: The current time, in seconds.
        outcomes: Results by second in which the request began.
        important_outcomes: The same for the more important route.
    """

    def __init__(
        self,
        *,
        scenario: Scenario,
        phases: Sequence[Phase],
        policy: Policy,
        seed: int,
    ) -> None:
        """Creates an emulation at time 0."""
        self.now = 0.0
        self.outcomes: dict[int, Outcome] = {}
        self.important_outcomes: dict[int, Outcome] = {}
        self._scenario = scenario
        self._phases = phases
        self._policy = policy
        self._generator = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._flow_numbers = itertools.count()
        domains = [
            ids.DomainId(f"domain-{number}")
            for number in range(scenario.domains)
        ]
        self._endpoints = {
            entry.id: _Endpoint(entry=entry)
            for entry in self._make_entries(domains)
        }
        self._balancers = {
            domain: [
                self._make_balancer(domain, number, domains)
                for number in range(scenario.balancers)
            ]
            for domain in domains
        }
        self._domains = domains
        self._congested: set[tuple[ids.DomainId, int]] = set()

    def run(self) -> None:
        """Plays all phases, and then waits for the last replies."""
        starts_at = 0.0
        for phase in self._phases:
            self._schedule(starts_at, lambda phase=phase: self._begin(phase))
            starts_at += phase.duration_s
        ends_at = starts_at + 10.0 * self._scenario.goal_s
        for domain in self._domains:
            self._schedule_reports(domain)
            self._schedule(0.0, lambda domain=domain: self._tick(domain))
        while self._events and self._events[0][0] < ends_at:
            self.now, _, handle = heapq.heappop(self._events)
            handle()

    def sum_outcomes(
        self, start_s: int, end_s: int, *, important: bool = False
    ) -> Outcome:
        """Returns the results of requests that began in a span of seconds.

        Args:
            start_s: First second of the span.
            end_s: Second after the last one.
            important: Whether to sum the more important route only.
        """
        outcomes = self.important_outcomes if important else self.outcomes
        total = Outcome()
        for second in range(start_s, end_s):
            outcome = outcomes.get(second, Outcome())
            for field in dataclasses.fields(Outcome):
                value = getattr(total, field.name) + getattr(
                    outcome, field.name
                )
                setattr(total, field.name, value)
        return total

    def _make_entries(
        self, domains: Sequence[ids.DomainId]
    ) -> list[views.Endpoint]:
        scenario = self._scenario
        return [
            views.Endpoint(
                id=ids.EndpointId(f"i-{number:08x}"),
                numeric_id=number,
                address=("10.0.0.1", number),
                service=_SERVICE,
                domain=domains[(number - 1) % len(domains)],
                slots=scenario.slots,
                incarnation=1,
                sequence=1,
                draining=False,
                cold_until=0.0,
            )
            for number in range(1, scenario.domains * scenario.endpoints + 1)
        ]

    def _make_balancer(
        self,
        domain: ids.DomainId,
        number: int,
        domains: Sequence[ids.DomainId],
    ) -> steerers.Steerer:
        balancer = steerers.Steerer(
            local=ids.VmId(f"{domain}-{number}"),
            domain=domain,
            generator=random.Random(self._generator.random()),
        )
        refusing = self._policy in (
            Policy.OBSERVED_DELAY,
            Policy.SHARED_LIMITS,
        )
        routes = {
            key: views.Route(
                name=f"route-{priority}",
                weighted_services=((_SERVICE, 1.0),),
                idempotent=True,
                goal_s=self._scenario.goal_s if refusing else 0.0,
                priority=priority,
            )
            for key, priority in ((_IMPORTANT_ROUTE, 1), (_ROUTE, 2))
        }
        configuration = views.Configuration(
            version=ids.Version(1),
            routes=routes,
            services={_SERVICE: views.ServiceLimits(warmup_per_s=0.0)},
        )
        entries = [endpoint.entry for endpoint in self._endpoints.values()]
        for change in (
            configuration,
            *(views.ListedEndpoint(endpoint=entry) for entry in entries),
        ):
            balancer.view.apply(change, 0.0)
        balancer.set_view_complete_at(0.0)
        if self._policy is Policy.SHARED_LIMITS:
            balancer.shortage.set_members(
                shortage.Members(
                    counts=dict.fromkeys(domains, self._scenario.balancers),
                    position=number,
                )
            )
        return balancer

    def _schedule(self, at: float, handle: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle))

    def _begin(self, phase: Phase) -> None:
        for number, endpoint in enumerate(self._endpoints.values()):
            slow = number < phase.slow_endpoints
            endpoint.slowness = phase.slowness if slow else 1.0
        ends_at = self.now + phase.duration_s
        for load, important in (
            (phase.load, False),
            (phase.important_load, True),
        ):
            if load > 0.0:
                self._schedule_arrival(load, important, ends_at)

    def _schedule_arrival(
        self, load: float, important: bool, ends_at: float
    ) -> None:
        rate_per_s = load * self._scenario.capacity_per_s
        at = self.now + self._generator.expovariate(rate_per_s)
        if at < ends_at:
            self._schedule(at, lambda: self._arrive(load, important, ends_at))

    def _arrive(self, load: float, important: bool, ends_at: float) -> None:
        request = _Request(
            asked_at=self.now,
            domain=self._generator.randrange(self._scenario.domains),
            important=important,
        )
        for outcome in self._list_outcomes(request):
            outcome.asked += 1
        self._attempt(request)
        self._schedule_arrival(load, important, ends_at)

    def _attempt(self, request: _Request) -> None:
        """Sends the opening packet of an attempt through some balancer."""
        request.attempts += 1
        number = next(self._flow_numbers)
        request.flow = segments.FlowId(
            (_IMPORTANT_ROUTE if request.important else _ROUTE)
            + (0x64400000 + number // _PORTS_PER_CALLER).to_bytes(4, "big")
            + (1024 + number % _PORTS_PER_CALLER).to_bytes(2, "big")
        )
        domain = self._domains[request.domain]
        request.balancer = self._generator.choice(self._balancers[domain])
        if self._policy is Policy.FIXED_LIMIT and self._is_limit_reached():
            self._fail(request, refused=True)
            return
        verdict = self._send(request, segments.SegmentKind.OPEN)
        if not isinstance(verdict, verdicts.Deliver):
            self._fail(request, refused=True)
            return
        request.tag = verdict.tag
        endpoint = self._endpoints[verdict.endpoint.id]
        self._schedule(
            self.now + 2 * _ONE_WAY_S,
            lambda: self._send_data(request, endpoint),
        )

    def _is_limit_reached(self) -> bool:
        limit = self._scenario.limit_per_slot * self._scenario.slots
        return all(
            endpoint.in_flight >= limit for endpoint in self._endpoints.values()
        )

    def _send_data(self, request: _Request, endpoint: _Endpoint) -> None:
        self._send(
            request,
            segments.SegmentKind.ESTABLISHED,
            payload_bytes=_REQUEST_BYTES,
        )
        scenario = self._scenario
        if endpoint.in_flight >= scenario.slots + scenario.queue:
            self._send_later(request, _REFUSAL_BYTES)
            self._fail(request, refused=False)
            return
        endpoint.waiting.append(request)
        self._start_waiting(endpoint)

    def _start_waiting(self, endpoint: _Endpoint) -> None:
        while endpoint.waiting and endpoint.busy < self._scenario.slots:
            request = endpoint.waiting.pop(0)
            endpoint.busy += 1
            # A lognormal variable has this mean.
            mean_s = self._scenario.service_s * endpoint.slowness
            factor = self._generator.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
            self._schedule(
                self.now + mean_s * factor,
                lambda request=request: self._complete(request, endpoint),
            )

    def _complete(self, request: _Request, endpoint: _Endpoint) -> None:
        endpoint.busy -= 1
        self._start_waiting(endpoint)
        delay_s = self.now + _ONE_WAY_S - request.asked_at
        for outcome in self._list_outcomes(request):
            if delay_s <= self._scenario.goal_s:
                outcome.in_goal += 1
            else:
                outcome.late += 1
        self._send_later(request, _REPLY_BYTES)

    def _send_later(self, request: _Request, reply_bytes: int) -> None:
        """Lets the caller acknowledge a reply and close the flow."""
        flow, tag, balancer = request.flow, request.tag, request.balancer
        self._schedule(
            self.now + 2 * _ONE_WAY_S,
            lambda: balancer.decide(
                self._make_segment(
                    flow,
                    segments.SegmentKind.FINISH,
                    tag=tag,
                    acknowledged=reply_bytes,
                ),
                self.now,
            ),
        )

    def _fail(self, request: _Request, *, refused: bool) -> None:
        """Retries a refused request, or counts it."""
        with_free_slots = refused and any(
            endpoint.busy < self._scenario.slots
            for endpoint in self._endpoints.values()
        )
        retrying = request.attempts <= self._scenario.retries
        for outcome in self._list_outcomes(request):
            outcome.refused_with_free_slots += with_free_slots
            outcome.refused += refused and not retrying
            outcome.turned_away += not refused and not retrying
        if retrying:
            self._schedule(
                self.now + 2 * _ONE_WAY_S, lambda: self._attempt(request)
            )

    def _send(
        self,
        request: _Request,
        kind: segments.SegmentKind,
        payload_bytes: int = 0,
    ) -> verdicts.Verdict:
        segment = self._make_segment(
            request.flow, kind, tag=request.tag, payload_bytes=payload_bytes
        )
        return request.balancer.decide(segment, self.now)

    def _make_segment(
        self,
        flow: segments.FlowId,
        kind: segments.SegmentKind,
        *,
        tag: ids.Tag,
        acknowledged: int = 0,
        payload_bytes: int = 0,
    ) -> segments.Segment:
        opening = kind is segments.SegmentKind.OPEN
        return segments.Segment(
            flow=flow,
            route=segments.get_route(flow),
            kind=kind,
            tag=ids.Tag(0) if opening else tag,
            retransmissions=0,
            sequence=1,
            acknowledged=acknowledged,
            payload_bytes=payload_bytes,
        )

    def _list_outcomes(self, request: _Request) -> list[Outcome]:
        tables = [self.outcomes]
        if request.important:
            tables.append(self.important_outcomes)
        second = int(request.asked_at)
        return [table.setdefault(second, Outcome()) for table in tables]

    def _schedule_reports(self, domain: ids.DomainId) -> None:
        if not self._scenario.large:
            self._schedule(0.0, lambda: self._report(domain))
            return
        for number in range(self._scenario.balancers):
            self._schedule(
                self._generator.uniform(
                    0.0, feed_const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S
                ),
                lambda number=number: self._report_in_large_domain(
                    domain, number
                ),
            )

    def _report_in_large_domain(
        self, domain: ids.DomainId, number: int
    ) -> None:
        self._send_report(domain, number)
        self._schedule(
            self.now + feed_const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S,
            lambda: self._report_in_large_domain(domain, number),
        )

    def _send_report(self, domain: ids.DomainId, number: int) -> None:
        """Sends a report to the first balancer, or its sums to all others."""
        first, *others = self._balancers[domain]
        sender = self._balancers[domain][number]
        vm = ids.VmId(f"{domain}-{number}")
        in_flight = collections.Counter(sender.flows.list_in_flight())
        receivers = [first]
        if sender is first:
            in_flight.update(first.peer_loads.list_counts())
            receivers = others
        reported = sender.delay_table.list_report(
            summed=sender is first,
            short=sender.placement.is_congested(self.now),
        )
        sums = {
            endpoint_id: dataclasses.replace(value)
            for endpoint_id, value in reported.items()
        }
        for receiver in receivers:
            receiver.peer_loads.set_report(vm, dict(in_flight), self.now)
            receiver.delay_table.set_report(vm, sums, self.now)

    def _report_early(self, domain: ids.DomainId, number: int) -> None:
        """Reports at once when a service becomes congested."""
        balancer = self._balancers[domain][number]
        congested = balancer.placement.is_congested(self.now)
        if congested and (domain, number) not in self._congested:
            self._send_report(domain, number)
        if congested:
            self._congested.add((domain, number))
        else:
            self._congested.discard((domain, number))

    def _report(self, domain: ids.DomainId) -> None:
        """Exchanges the load reports of a domain."""
        balancers = self._balancers[domain]
        for number, sender in enumerate(balancers):
            vm = ids.VmId(f"{domain}-{number}")
            in_flight = sender.flows.list_in_flight()
            delays = {
                endpoint_id: dataclasses.replace(sums)
                for endpoint_id, sums in sender.delay_table.list_report(
                    summed=False
                ).items()
            }
            for receiver in balancers:
                if receiver is not sender:
                    receiver.peer_loads.set_report(vm, in_flight, self.now)
                    receiver.delay_table.set_report(vm, delays, self.now)
        congested = any(
            balancer.placement.is_congested(self.now) for balancer in balancers
        )
        self._schedule(
            self.now
            + (
                feed_const.CONGESTED_HEARTBEAT_INTERVAL_S
                if congested
                else feed_const.HEARTBEAT_INTERVAL_S
            ),
            lambda: self._report(domain),
        )

    def _tick(self, domain: ids.DomainId) -> None:
        for number, balancer in enumerate(self._balancers[domain]):
            balancer.update_delays(self.now)
            balancer.check_handshakes(self.now)
            if self._scenario.large:
                self._report_early(domain, number)
            if int(self.now) != int(self.now - _TICK_S):
                balancer.expire(self.now)
        self._schedule(self.now + _TICK_S, lambda: self._tick(domain))
