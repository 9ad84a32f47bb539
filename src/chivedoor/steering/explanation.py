"""Explanation of where a new flow would be placed, and why.

Operators ask for it under any load, most often when a domain is avoided or
flows are refused. The explanation evaluates the queries that placement itself
uses and changes nothing: it draws no random number, spends no place, probe or
warm-up token and records no demand.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import ipaddress
import math

from chivedoor import ids
from chivedoor.steering import capacity as capacities
from chivedoor.steering import choice_probabilities
from chivedoor.steering import const
from chivedoor.steering import delays
from chivedoor.steering import distribution as distributions
from chivedoor.steering import exceptions
from chivedoor.steering import full_endpoints
from chivedoor.steering import overload
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage as shortages
from chivedoor.steering import spillover
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views

_ROUNDING = 1e-9


class Method(enum.Enum):
    """How the endpoint of a flow is chosen."""

    LOWEST_SCORE = "lowest-score"
    # Requests wait in queues: the sooner one of a few random endpoints.
    CONGESTED = "congested"
    # The service is short: by own tokens left.
    TOKENS = "tokens"
    # The service is short: the shortest expected delay of a few.
    SOONEST = "soonest"
    PROBE = "probe"
    # Only cold endpoints are left.
    WARM_UP = "warm-up"
    REFUSED = "refused"


class Exclusion(enum.Enum):
    """Why a flow cannot go to an endpoint."""

    DRAINING = "draining"
    DOMAIN_OUT = "domain-out"
    LAPSED = "lapsed"
    COLD = "cold"
    SUSPECTED = "suspected"
    FULL = "full"
    OTHER_DOMAIN = "other-domain"
    # Another endpoint needs a handshake as a probe.
    OTHER_PROBED = "other-probed"
    NO_TOKEN = "no-token"
    # The flow is refused because the service is short.
    NO_ROOM = "no-room"
    HIGHER_SCORE = "higher-score"
    LONGER_DELAY = "longer-delay"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class EndpointState:
    """An endpoint of a service, as a new flow finds it.

    Attributes:
        id: The endpoint.
        address: Host and port that packets are sent to.
        domain: Its failure domain.
        slots: Number of requests that it processes at a time.
        in_flight: Requests in flight through this balancer.
        in_flight_elsewhere: Those that other balancers reported.
        suspected: Whether it is suspected or its entry has lapsed.
        full: Whether it is known to hold as many flows as it can.
        service_s: Estimated service time, in seconds; None if not known.
        probability: Probability that the flow goes there, 0 to 1.
        exclusion: Why it does not go there; None if it may.
        score: The score; None where it does not count.
        expected_s: Expected delay, in seconds; None where it does not count.
        tokens: Requests that this balancer may have in flight there; None if
            the service is not short.
        tokens_left_share: Share of them that is not in use, 0 to 1; None
            without tokens.
    """

    id: ids.EndpointId
    address: tuple[str, int]
    domain: ids.DomainId
    slots: int
    in_flight: int
    in_flight_elsewhere: int
    suspected: bool
    full: bool
    service_s: float | None
    probability: float
    exclusion: Exclusion | None
    score: float | None
    expected_s: float | None
    tokens: int | None
    tokens_left_share: float | None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """Choice among the endpoints of one domain, or of several.

    Attributes:
        domain: The domain that the shares select; None if the choice is left to
            the scores.
        spare: Other domains that the flow may go to as well, because they have
            reported spare capacity.
        probability: Probability that the flow goes there, 0 to 1.
        method: How the endpoint is chosen.
        congested: Whether most delays are spent in queues.
        short: Whether the service counts as short of capacity.
        in_flight: Requests in flight that count towards the limit; None if the
            service is not short.
        limit: Part of the domain in the requests that the endpoints may hold;
            None if the service is not short.
        refusal: Reason of a possible refusal.
        refusal_probability: Probability of it if this choice is made.
        expected_s: Shortest expected delay for which it is refused, in seconds.
    """

    domain: ids.DomainId | None
    probability: float
    method: Method
    spare: tuple[ids.DomainId, ...] = ()
    congested: bool = False
    short: bool = False
    in_flight: int | None = None
    limit: float | None = None
    refusal: verdicts.RefusalReason | None = None
    refusal_probability: float = 0.0
    expected_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RemoteShare:
    """Last decision on flows to another domain.

    Attributes:
        domain: The domain.
        reason: Why flows are sent there or not.
        share: Share of new flows that was decided, 0 to 1.
        gain_s: Expected gain, in seconds; None if not known.
    """

    domain: ids.DomainId
    reason: spillover.Reason
    share: float
    gain_s: float | None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ShareDecision:
    """Last decision of this balancer on the shares of the domains.

    Attributes:
        reason: The reason for the service as a whole.
        wait_s: Expected wait in the local domain, in seconds; None if not
            known.
        gain_s: Expected gain of flows that leave, in seconds; None if not
            known.
        age_s: Time since the decision, in seconds.
        remote: Decisions on the other domains.
    """

    reason: spillover.Reason
    wait_s: float | None
    gain_s: float | None
    age_s: float
    remote: tuple[RemoteShare, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ServiceState:
    """Placement of a flow on one service of its route.

    Attributes:
        service: The service.
        probability: Probability that the route selects it, 0 to 1.
        short: Whether it was short of capacity lately, or would be found to be
            so with this flow.
        full: How new flows are admitted with respect to full endpoints; None
            if its endpoints hold any number of flows.
        decision: Last decision on the shares of the domains; None unless this
            balancer decides for its domain.
        choices: Choices that are possible, by domain.
        endpoints: All its endpoints, the most probable first.
    """

    service: ids.ServiceId
    probability: float
    short: bool
    full: full_endpoints.Admission | None
    decision: ShareDecision | None
    choices: tuple[Choice, ...]
    endpoints: tuple[EndpointState, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Explanation:
    """Where a new flow would go.

    Attributes:
        caller: Address of the caller.
        route: Name of the route.
        address: Host and port of the route.
        domain: Failure domain of this balancer.
        goal_s: Goal of the route, in seconds; 0 without any.
        priority: Priority of the route; 0 is the most important one.
        above_share: Whether the caller asks for more than others during a
            shortage.
        drop: Why no new flow is placed at the moment; None if flows are.
        refusal_probability: Probability that the flow is refused, 0 to 1.
        services: Services of the route.
    """

    caller: str
    route: str
    address: tuple[str, int]
    domain: ids.DomainId
    goal_s: float
    priority: int
    above_share: bool
    drop: verdicts.DropReason | None
    refusal_probability: float
    services: tuple[ServiceState, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outcome:
    """Result of one choice, by endpoint.

    Attributes:
        choice: The choice.
        listed: Endpoints that took part in it.
        probabilities: Probability of each, if the choice is made.
        others: Why the endpoints with a probability of 0 are not chosen.
        scores: Scores that were compared.
        expected_s: Expected delays that were compared, in seconds.
        assessment: Result of the shortage control; None if it does not apply.
    """

    choice: Choice
    listed: Sequence[views.Endpoint]
    probabilities: Mapping[ids.EndpointId, float]
    others: Exclusion
    scores: Mapping[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    expected_s: Mapping[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    assessment: shortages.Assessment | None = None


def parse_caller(text: str) -> bytes:
    """Returns the packed address of `ADDRESS` or `ADDRESS:PORT`.

    Raises:
        MalformedCallerError: The text is neither.
    """
    host, separator, port = text.partition(":")
    if separator and _parse_port(port) is None:
        raise exceptions.MalformedCallerError(
            f"caller {text!r}: the port is not in 1 to 65535"
        )
    try:
        return ipaddress.IPv4Address(host).packed
    except ValueError:
        raise exceptions.MalformedCallerError(
            f"caller {text!r} is not an IPv4 address or ADDRESS:PORT"
        ) from None


def find_route(view: views.View, text: str) -> segments.RouteKey:
    """Returns the key of a route that is given by name or as `HOST:PORT`.

    Raises:
        UnknownRouteError: The view has no such route.
    """
    named = next(
        (key for key, route in view.routes.items() if route.name == text), None
    )
    if named is not None:
        return named
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    try:
        address = ipaddress.IPv4Address(host).packed
    except ValueError:
        port = None
    if port is not None:
        key = segments.RouteKey(port.to_bytes(2, "big") + address)
        if key in view.routes:
            return key
    hint = "" if view.version else ": the balancer has no configuration yet"
    raise exceptions.UnknownRouteError(f"unknown route {text!r}{hint}")


class Explainer:
    """Explains placements of a steerer without changing its state."""

    def __init__(
        self, *, steerer: steerers.Steerer, domain: ids.DomainId
    ) -> None:
        """Creates an explainer.

        Args:
            steerer: The steerer, which is only read.
            domain: Its failure domain.
        """
        self._steerer = steerer
        self._domain = domain
        self._placement = steerer.placement

    def explain(
        self, caller_text: str, route_text: str, now: float
    ) -> Explanation:
        """Returns where a new flow would go.

        Args:
            caller_text: The caller, as `ADDRESS` or `ADDRESS:PORT`.
            route_text: The route, as its name or `HOST:PORT`.
            now: The current time, in seconds.

        Raises:
            MalformedCallerError: The caller is malformed.
            UnknownRouteError: The view has no such route.
        """
        caller = parse_caller(caller_text)
        key = find_route(self._steerer.view, route_text)
        route = self._steerer.view.routes[key]
        above_share = self._steerer.shortage.has_short_service(
            now
        ) and self._steerer.callers.would_be_above_share(
            caller, now, records=self._steerer.counts_load
        )
        total = sum(weight for _, weight in route.weighted_services)
        services = tuple(
            self._explain_service(
                route,
                service,
                weight / total if total else 1.0,
                above_share,
                now,
            )
            for service, weight in route.weighted_services
        )
        return Explanation(
            caller=str(ipaddress.IPv4Address(caller)),
            route=route.name,
            address=(
                str(ipaddress.IPv4Address(key[2:6])),
                int.from_bytes(key[:2], "big"),
            ),
            domain=self._domain,
            goal_s=route.goal_s,
            priority=route.priority,
            above_share=above_share,
            drop=verdicts.DropReason.PAUSED
            if self._steerer.pauses.is_view_outdated(now)
            else None,
            refusal_probability=sum(
                service.probability
                * choice.probability
                * choice.refusal_probability
                for service in services
                for choice in service.choices
            ),
            services=services,
        )

    def _explain_service(
        self,
        route: views.Route,
        service: ids.ServiceId,
        probability: float,
        above_share: bool,
        now: float,
    ) -> ServiceState:
        listed = self._placement.list_endpoints(
            service, self._steerer.get_lapsed_since(now)
        )
        usable = [e for e in listed if self._placement.is_usable(e)]
        warm = [
            e for e in usable if not self._placement.is_cold(e, service, now)
        ]
        admission, admitted = None, warm
        if warm and self._placement.has_flow_limit(service):
            admission, admitted = self._steerer.full_endpoints.find_admission(
                warm, now
            )
        if warm and not admitted:
            outcomes = [_refuse(verdicts.RefusalReason.FULL)]
        elif not warm:
            outcomes = [self._choose_cold(service, usable, now)]
        else:
            outcomes = self._choose_warm(
                route, service, admitted, above_share, now
            )
        return ServiceState(
            service=service,
            probability=probability,
            short=self._steerer.shortage.is_short(service, now)
            or any(outcome.choice.short for outcome in outcomes),
            full=admission,
            decision=self._describe_decision(service, now),
            choices=tuple(outcome.choice for outcome in outcomes),
            endpoints=self._describe_endpoints(
                service, listed, admitted, outcomes, now
            ),
        )

    def _choose_cold(
        self,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> _Outcome:
        allowed = self._placement.list_openable(service, endpoints, now)
        if not allowed:
            return _refuse(verdicts.RefusalReason.NO_ENDPOINT)
        option = distributions.DomainOption(
            domain=None, probability=1.0, endpoints=allowed
        )
        estimate = delays.DelayEstimate(
            endpoints=allowed, table=self._steerer.delay_table
        )
        return self._choose_best(option, estimate, Method.WARM_UP, now)

    def _choose_warm(
        self,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        above_share: bool,
        now: float,
    ) -> list[_Outcome]:
        probe = self._placement.find_probe(endpoints, now)
        if probe is not None:
            return [
                _Outcome(
                    choice=Choice(
                        domain=None, probability=1.0, method=Method.PROBE
                    ),
                    listed=endpoints,
                    probabilities={probe.id: 1.0},
                    others=Exclusion.OTHER_PROBED,
                )
            ]
        served_domains = {endpoint.domain for endpoint in endpoints}
        return [
            self._choose_in_domain(
                route, service, option, served_domains, above_share, now
            )
            for option in self._steerer.distribution.find_choices(
                service, endpoints, now
            )
        ]

    def _choose_in_domain(
        self,
        route: views.Route,
        service: ids.ServiceId,
        option: distributions.DomainOption,
        served_domains: set[ids.DomainId],
        above_share: bool,
        now: float,
    ) -> _Outcome:
        shortage = self._steerer.shortage
        estimate = delays.DelayEstimate(
            endpoints=option.endpoints, table=self._steerer.delay_table
        )
        congested = estimate.is_congested
        # The placement asks for no limits either while there is spare capacity.
        if not option.spare and shortage.may_apply(
            route=route, service=service, congested=congested, now=now
        ):
            assessment = shortage.assess(
                route=route,
                service=service,
                endpoints=self._placement.omit_doubtful(option.endpoints, now),
                served_domains=served_domains,
                congested=congested,
                may_refuse=True,
                above_share=above_share,
                now=now,
            )
            if assessment is not None and assessment.is_short:
                return self._choose_in_shortage(
                    route, service, option, assessment, congested
                )
        if congested:
            return self._choose_congested(route, option, estimate, now)
        return self._choose_best(option, estimate, Method.LOWEST_SCORE, now)

    def _choose_in_shortage(
        self,
        route: views.Route,
        service: ids.ServiceId,
        option: distributions.DomainOption,
        assessment: shortages.Assessment,
        congested: bool,
    ) -> _Outcome:
        expected_s = {
            e.id: assessment.compute_expected_s(e)
            for e in assessment.candidates
        }
        tokens = assessment.get_tokens_left()
        refusal = None
        probabilities: Mapping[ids.EndpointId, float] = {}
        if assessment.is_refused:
            method, others = Method.REFUSED, Exclusion.NO_ROOM
            refusal = assessment.make_refusal(service, route.goal_s)
        elif tokens:
            method, others = Method.TOKENS, Exclusion.NO_TOKEN
            probabilities = choice_probabilities.choose_by_weight(tokens)
        else:
            method, others = Method.SOONEST, Exclusion.LONGER_DELAY
            probabilities = choice_probabilities.choose_soonest(
                expected_s,
                assessment.compute_weights(),
                draws=const.SHORTAGE_CHOICES,
                free=frozenset(e.id for e in assessment.free),
            )
        return _Outcome(
            choice=Choice(
                domain=option.domain,
                probability=option.probability,
                method=method,
                congested=congested,
                short=True,
                in_flight=assessment.in_flight,
                limit=assessment.limit,
                refusal=refusal and refusal.reason,
                refusal_probability=1.0 if refusal else 0.0,
                expected_s=refusal and refusal.expected_s,
            ),
            listed=option.endpoints,
            probabilities=probabilities,
            others=others,
            expected_s=expected_s,
            assessment=assessment,
        )

    def _choose_congested(
        self,
        route: views.Route,
        option: distributions.DomainOption,
        estimate: delays.DelayEstimate,
        now: float,
    ) -> _Outcome:
        predicted_s = {
            e.id: estimate.predict_delay_s(
                e, self._placement.count_in_flight(e)
            )
            for e in option.endpoints
        }
        sampled = {
            e.id: predicted_s[e.id]
            for e in self._placement.omit_doubtful(option.endpoints, now)
        }
        late = {
            e
            for e, delay_s in sampled.items()
            if overload.is_late(goal_s=route.goal_s, predicted_s=delay_s)
        }
        probabilities = choice_probabilities.choose_in_time(
            sampled,
            late=late,
            fast={
                e
                for e, delay_s in sampled.items()
                if e not in late
                and overload.is_clearly_in_time(
                    goal_s=route.goal_s, predicted_s=delay_s
                )
            },
            compared=const.MAX_COMPARED_ENDPOINTS,
            choices=const.RANDOM_CHOICES,
        )
        refused = 1.0 - sum(probabilities.values())
        # Rounding leaves a difference where no flow is refused.
        is_refusable = not math.isclose(refused, 0.0, abs_tol=_ROUNDING)
        return _Outcome(
            choice=Choice(
                domain=option.domain,
                probability=option.probability,
                method=Method.CONGESTED,
                spare=_list_domains(option.spare),
                congested=True,
                refusal=verdicts.RefusalReason.OVERLOADED
                if is_refusable
                else None,
                refusal_probability=refused if is_refusable else 0.0,
                expected_s=min(sampled[e] for e in late)
                if is_refusable
                else None,
            ),
            listed=option.endpoints,
            probabilities=probabilities,
            others=Exclusion.LONGER_DELAY,
            expected_s=predicted_s,
        )

    def _choose_best(
        self,
        option: distributions.DomainOption,
        estimate: delays.DelayEstimate,
        method: Method,
        now: float,
    ) -> _Outcome:
        scores = {
            e.id: self._placement.compute_score(e, estimate, now)
            for e in option.endpoints
        }
        groups = [
            (
                {
                    e.id: scores[e.id]
                    for e in (
                        group
                        if count is None
                        else self._placement.omit_doubtful(group, now)
                    )
                },
                count,
            )
            for group, count in self._placement.group_compared(option.endpoints)
        ]
        return _Outcome(
            choice=Choice(
                domain=option.domain,
                probability=option.probability,
                method=method,
                spare=_list_domains(option.spare),
                congested=estimate.is_congested,
            ),
            listed=option.endpoints,
            probabilities=choice_probabilities.choose_lowest(groups),
            others=Exclusion.HIGHER_SCORE,
            scores=scores,
        )

    def _describe_endpoints(
        self,
        service: ids.ServiceId,
        listed: Sequence[views.Endpoint],
        admitted: Sequence[views.Endpoint],
        outcomes: Sequence[_Outcome],
        now: float,
    ) -> tuple[EndpointState, ...]:
        listed_ids = {e.id for e in listed}
        # Entries that lapsed too long ago, or while the view is complete, get
        # no flows.
        lapsed = [
            e
            for e in self._steerer.view.iterate_removed()
            if e.service == service and e.id not in listed_ids
        ]
        endpoints = [*listed, *lapsed]
        service_s = capacities.estimate_service_times(
            endpoints, self._steerer.shortage.capacity
        )
        admitted_ids = {e.id for e in admitted}
        by_endpoint: dict[ids.EndpointId, list[_Outcome]] = {}
        for outcome in outcomes:
            for e in outcome.listed:
                by_endpoint.setdefault(e.id, []).append(outcome)
        described = []
        for e in endpoints:
            taking_part = by_endpoint.get(e.id, [])
            probability = sum(
                outcome.choice.probability
                * outcome.probabilities.get(e.id, 0.0)
                for outcome in taking_part
            )
            exclusion = None
            if not probability:
                exclusion = self._find_exclusion(
                    e,
                    service,
                    is_listed=e.id in listed_ids,
                    is_admitted=e.id in admitted_ids,
                    outcomes=taking_part,
                    now=now,
                )
            described.append(
                self._describe_endpoint(
                    e, service_s[e.id], probability, exclusion, taking_part, now
                )
            )
        return tuple(sorted(described, key=lambda e: (-e.probability, e.id)))

    def _describe_endpoint(
        self,
        endpoint: views.Endpoint,
        service_s: float,
        probability: float,
        exclusion: Exclusion | None,
        outcomes: Sequence[_Outcome],
        now: float,
    ) -> EndpointState:
        outcome = _find_most_probable(outcomes) if outcomes else None
        assessment = outcome and outcome.assessment
        tokens = assessment and assessment.shares.get(endpoint.id)
        tokens_left_share = None
        if assessment and tokens:
            left = max(0, tokens - assessment.own[endpoint.id])
            tokens_left_share = left / tokens
        return EndpointState(
            id=endpoint.id,
            address=endpoint.address,
            domain=endpoint.domain,
            slots=endpoint.slots,
            in_flight=self._steerer.flows.count_in_flight(endpoint.id),
            in_flight_elsewhere=self._steerer.peer_loads.get_count(endpoint.id),
            suspected=self._placement.is_doubtful(endpoint, now),
            full=self._steerer.full_endpoints.is_full(endpoint.id, now),
            service_s=service_s or None,
            probability=probability,
            exclusion=exclusion,
            score=outcome and outcome.scores.get(endpoint.id),
            expected_s=outcome and outcome.expected_s.get(endpoint.id),
            tokens=tokens,
            tokens_left_share=tokens_left_share,
        )

    def _find_exclusion(
        self,
        endpoint: views.Endpoint,
        service: ids.ServiceId,
        *,
        is_listed: bool,
        is_admitted: bool,
        outcomes: Sequence[_Outcome],
        now: float,
    ) -> Exclusion:
        """Returns the first rule that keeps flows from an endpoint."""
        if not is_listed:
            return Exclusion.LAPSED
        if endpoint.draining:
            return Exclusion.DRAINING
        if not self._placement.is_usable(endpoint):
            return Exclusion.DOMAIN_OUT
        if self._placement.is_cold(endpoint, service, now) and not outcomes:
            return Exclusion.COLD
        if not is_admitted and not outcomes:
            return Exclusion.FULL
        if not outcomes:
            return Exclusion.OTHER_DOMAIN
        outcome = _find_most_probable(outcomes)
        if outcome.others is Exclusion.OTHER_PROBED:
            return outcome.others
        if self._placement.is_doubtful(endpoint, now) and any(
            not self._placement.is_doubtful(e, now) for e in outcome.listed
        ):
            return (
                Exclusion.SUSPECTED
                if endpoint.removed_at is None
                else Exclusion.LAPSED
            )
        assessment = outcome.assessment
        if assessment is not None and endpoint.id not in assessment.shares:
            return Exclusion.OTHER_DOMAIN
        return outcome.others

    def _describe_decision(
        self, service: ids.ServiceId, now: float
    ) -> ShareDecision | None:
        decision = self._steerer.distribution.explain(service)
        if decision is None:
            return None
        return ShareDecision(
            reason=decision.reason,
            wait_s=decision.wait_s,
            gain_s=decision.gain_s,
            age_s=now - decision.decided_at,
            remote=tuple(
                RemoteShare(
                    domain=domain,
                    reason=remote.reason,
                    share=remote.share,
                    gain_s=remote.gain_s,
                )
                for domain, remote in decision.remote.items()
            ),
        )


def _refuse(reason: verdicts.RefusalReason) -> _Outcome:
    return _Outcome(
        choice=Choice(
            domain=None,
            probability=1.0,
            method=Method.REFUSED,
            refusal=reason,
            refusal_probability=1.0,
        ),
        listed=(),
        probabilities={},
        others=Exclusion.HIGHER_SCORE,
    )


def _find_most_probable(outcomes: Sequence[_Outcome]) -> _Outcome:
    """Returns the outcome of the choice that is made most often.

    An endpoint of a domain with a share and spare capacity takes part in two.
    """
    return max(outcomes, key=lambda outcome: outcome.choice.probability)


def _list_domains(
    endpoints: Sequence[views.Endpoint],
) -> tuple[ids.DomainId, ...]:
    return tuple(sorted({endpoint.domain for endpoint in endpoints}))


def _parse_port(text: str) -> int | None:
    if not text.isascii() or not text.isdigit() or len(text) > 5:
        return None
    return int(text) if 0 < int(text) <= 65_535 else None
