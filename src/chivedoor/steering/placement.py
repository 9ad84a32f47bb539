"""Selection of the endpoint for a new flow.

The policy is designed for the worst load seen in the known deployments: a
failure domain whose targets are slow, gone or too few for its callers while
other domains have capacity. Targets of the local domain are preferred, which
keeps traffic off the links between domains and tolerates their loss. A remote
target is chosen once its load per slot is lower by more than
`REMOTE_DOMAIN_PENALTY`. The load of a target counts in proportion to the
service time that was observed there, so that slow targets get the share that
they complete. When all targets are congested, `overload` decides whether the
flow is refused.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import delays
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import full_endpoints as full_endpoint_module
from chivedoor.steering import overload
from chivedoor.steering import reachability as reachability_module
from chivedoor.steering import reports
from chivedoor.steering import restarts as restart_module
from chivedoor.steering import shortage as shortage_module
from chivedoor.steering import suspicion
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from chivedoor.steering import warmup


def _keep_all(
    service: ids.ServiceId,
    endpoints: Sequence[views.Endpoint],
    now: float,
) -> tuple[Sequence[views.Endpoint], Sequence[views.Endpoint]]:
    return endpoints, ()


class Placement:
    """Selects endpoints for new flows."""

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        view: views.View,
        flows: flow_tables.FlowTable,
        suspicions: suspicion.Suspicions,
        reachability: reachability_module.Reachability,
        full_endpoints: full_endpoint_module.FullEndpoints,
        restarts: restart_module.Restarts,
        warmup_budget: warmup.WarmupBudget,
        peer_loads: reports.PeerCounts,
        delay_table: delays.DelayTable,
        shortage: shortage_module.Shortage,
        generator: random.Random,
    ) -> None:
        """Creates a placement for a balancer in `domain`."""
        self._shortage = shortage
        self._domain = domain
        self._view = view
        self._flows = flows
        self._suspicions = suspicions
        self._reachability = reachability
        self._full_endpoints = full_endpoints
        self._restarts = restarts
        self._warmup_budget = warmup_budget
        self._peer_loads = peer_loads
        self._delay_table = delay_table
        self._generator = generator
        self._congested_at: float | None = None
        # Limits the domains of a flow; set after creation, because the
        # distribution uses this placement.
        self.select_endpoints: Callable[
            [ids.ServiceId, Sequence[views.Endpoint], float],
            tuple[Sequence[views.Endpoint], Sequence[views.Endpoint]],
        ] = _keep_all

    def is_congested(self, now: float) -> bool:
        """Returns whether a flow was placed on a congested service lately."""
        return (
            self._congested_at is not None
            and now - self._congested_at < const.CONGESTION_LIFETIME_S
        )

    def choose_endpoint(
        self,
        route: views.Route,
        now: float,
        avoided: ids.EndpointId | None = None,
        lapsed_since: float | None = None,
        *,
        may_refuse: bool = True,
        above_share: bool = False,
    ) -> views.Endpoint | verdicts.Refuse:
        """Returns the endpoint of a new flow.

        Args:
            route: The route that the caller connects to.
            now: The current time, in seconds.
            avoided: An endpoint that left an earlier opening packet of this
                flow unanswered. It is chosen only if there is no other.
            lapsed_since: Endpoints removed at or after this time are still
                used; None when the view is complete. Entries lapse during a
                store outage and return after it, and services must stay
                available in the meantime.
            may_refuse: Whether the flow may be refused because the service is
                congested or full.
            above_share: Whether its caller asks for more than the others.

        Returns:
            The endpoint, or the refusal if no endpoint may take the flow.
        """
        service = self._choose_service(route)
        usable = [
            endpoint
            for endpoint in self.list_endpoints(service, lapsed_since)
            if self.is_usable(endpoint)
        ]
        warm = [
            endpoint
            for endpoint in usable
            if not self.is_cold(endpoint, service, now)
        ]
        others = [
            endpoint for endpoint in warm if endpoint.id != avoided
        ] or warm
        if others and may_refuse and self.has_flow_limit(service):
            others = self._full_endpoints.select(others, now)
            if not others:
                return verdicts.Refuse(
                    reason=verdicts.RefusalReason.FULL, service=service
                )
        if others:
            probe = None if avoided else self._choose_probe(others, now)
            return probe or self._choose_warm(
                route, service, others, now, may_refuse, above_share
            )
        return self._choose_cold(service, usable, now) or verdicts.Refuse(
            reason=verdicts.RefusalReason.NO_ENDPOINT, service=service
        )

    def is_usable(self, endpoint: views.Endpoint) -> bool:
        """Returns whether an endpoint neither drains nor is taken out."""
        return (
            not endpoint.draining
            and endpoint.domain not in self._view.domains_out
        )

    def list_endpoints(
        self, service: ids.ServiceId, lapsed_since: float | None
    ) -> list[views.Endpoint]:
        """Returns the endpoints of a service, usable or not.

        Args:
            service: The service.
            lapsed_since: As for `choose_endpoint`.
        """
        listed = self._view.get_endpoints(service)
        if lapsed_since is None:
            return listed
        lapsed = (
            endpoint
            for endpoint in self._view.iterate_removed()
            if endpoint.service == service
            and endpoint.removed_at is not None
            and endpoint.removed_at >= lapsed_since
        )
        return [*listed, *lapsed]

    def is_cold(
        self, endpoint: views.Endpoint, service: ids.ServiceId, now: float
    ) -> bool:
        """Returns whether an endpoint takes flows at the warm-up rate only.

        Without such a rate, an endpoint that may have restarted counts as warm:
        it would get no flow at all otherwise.
        """
        if endpoint.cold_until > now:
            return True
        limits = self._view.services.get(service)
        return (
            limits is not None
            and limits.warmup_per_s > 0.0
            and self._restarts.may_have_restarted(endpoint)
        )

    def has_flow_limit(self, service: ids.ServiceId) -> bool:
        """Returns whether the endpoints of a service hold limited flows."""
        limits = self._view.services.get(service)
        return limits is not None and limits.max_flows > 0

    def _choose_service(self, route: views.Route) -> ids.ServiceId:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0][0]
        services, weights = zip(*route.weighted_services, strict=True)
        return self._generator.choices(services, weights)[0]

    def _choose_probe(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> views.Endpoint | None:
        """Returns an endpoint that needs a handshake as a probe."""
        probe = self.find_probe(endpoints, now)
        if probe is not None:
            self._reachability.record_probe(probe.id, now)
        return probe

    def _choose_warm(
        self,
        route: views.Route,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
        may_refuse: bool,
        above_share: bool,
    ) -> views.Endpoint | verdicts.Refuse:
        warm = endpoints
        endpoints, spare = self.select_endpoints(service, warm, now)
        estimate = delays.DelayEstimate(
            endpoints=endpoints, table=self._delay_table
        )
        # While another domain has spare capacity, the service is not short.
        if not spare and self._shortage.may_apply(
            route=route,
            service=service,
            congested=estimate.is_congested,
            now=now,
        ):
            decision = self._shortage.decide(
                route=route,
                service=service,
                endpoints=self.omit_doubtful(endpoints, now),
                served_domains={endpoint.domain for endpoint in warm},
                congested=estimate.is_congested,
                may_refuse=may_refuse,
                above_share=above_share,
                now=now,
            )
            if decision is not None:
                self._congested_at = now
                return decision
        if not estimate.is_congested:
            return self._choose_best(endpoints, estimate, now)
        self._congested_at = now
        chosen = self._choose_congested(route, endpoints, estimate, now)
        if isinstance(chosen, verdicts.Refuse) and not may_refuse:
            return self._choose_best(endpoints, estimate, now)
        return chosen

    def _choose_congested(
        self,
        route: views.Route,
        endpoints: Sequence[views.Endpoint],
        estimate: delays.DelayEstimate,
        now: float,
    ) -> views.Endpoint | verdicts.Refuse:
        """Returns one of two random endpoints, or one that is clearly faster.

        Domains do not count: when all endpoints have queues, those of other
        domains are as good.
        """
        candidates = self._sample(endpoints, const.MAX_COMPARED_ENDPOINTS, now)
        predicted_s = {
            endpoint.id: estimate.predict_delay_s(
                endpoint, self.count_in_flight(endpoint)
            )
            for endpoint in candidates
        }
        chosen = min(
            candidates[: const.RANDOM_CHOICES],
            key=lambda endpoint: predicted_s[endpoint.id],
        )
        if not overload.is_late(
            goal_s=route.goal_s, predicted_s=predicted_s[chosen.id]
        ):
            return chosen
        faster = [
            endpoint
            for endpoint in candidates
            if overload.is_clearly_in_time(
                goal_s=route.goal_s, predicted_s=predicted_s[endpoint.id]
            )
        ]
        if faster:
            return self._generator.choice(faster)
        return verdicts.Refuse(
            reason=verdicts.RefusalReason.OVERLOADED,
            service=chosen.service,
            expected_s=predicted_s[chosen.id],
            goal_s=route.goal_s,
        )

    def _choose_best(
        self,
        endpoints: Sequence[views.Endpoint],
        estimate: delays.DelayEstimate,
        now: float,
    ) -> views.Endpoint:
        draw = self._generator.random
        return min(
            self._limit_compared(endpoints, now),
            key=lambda endpoint: (
                self.compute_score(endpoint, estimate, now),
                draw(),
            ),
        )

    def _limit_compared(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> Sequence[views.Endpoint]:
        """Returns the endpoints to compare for a flow.

        In a large deployment, the loads that other balancers report are many
        service times old. If all balancers chose the endpoint that looks best,
        they would fill its queue together before they notice. Two random
        choices avoid that (Mitzenmacher, "How useful is old information?",
        2000). Endpoints of other domains are always included, since all
        endpoints of the local domain may be unreachable.
        """
        return [
            endpoint
            for group, count in self.group_compared(endpoints)
            for endpoint in (
                group if count is None else self._sample(group, count, now)
            )
        ]

    def _sample(
        self, endpoints: Sequence[views.Endpoint], count: int, now: float
    ) -> list[views.Endpoint]:
        """Returns random endpoints, without suspected ones if possible."""
        sampled = self._generator.sample(endpoints, min(count, len(endpoints)))
        if not any(self.is_doubtful(endpoint, now) for endpoint in sampled):
            return sampled
        healthy = [
            endpoint
            for endpoint in endpoints
            if not self.is_doubtful(endpoint, now)
        ]
        if not healthy:
            return sampled
        return self._generator.sample(healthy, min(count, len(healthy)))

    def omit_doubtful(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> Sequence[views.Endpoint]:
        """Returns the endpoints that are not doubtful, or all if all are."""
        return [
            endpoint
            for endpoint in endpoints
            if not self.is_doubtful(endpoint, now)
        ] or endpoints

    def is_doubtful(self, endpoint: views.Endpoint, now: float) -> bool:
        """Returns whether an endpoint is suspected or its entry has lapsed."""
        return endpoint.removed_at is not None or bool(
            self._suspicions.get_penalty(endpoint.id, endpoint.domain, now)
        )

    def count_in_flight(self, endpoint: views.Endpoint) -> int:
        """Returns the requests in flight as far as this balancer knows."""
        return self._flows.count_in_flight(
            endpoint.id
        ) + self._peer_loads.get_count(endpoint.id)

    def compute_score(
        self,
        endpoint: views.Endpoint,
        estimate: delays.DelayEstimate,
        now: float,
    ) -> float:
        """Returns the score of an endpoint; the lowest one is chosen.

        It is the load per slot, in requests weighted by service time, with the
        penalties for other domains, lapsed entries and suspicions.
        """
        load = (self.count_in_flight(endpoint) + 1) / endpoint.slots
        score = load * estimate.compute_slowness(endpoint)
        if endpoint.domain != self._domain:
            score += const.REMOTE_DOMAIN_PENALTY
        if endpoint.removed_at is not None:
            score += const.LAPSED_PENALTY
        return score + self._suspicions.get_penalty(
            endpoint.id, endpoint.domain, now
        )

    def find_probe(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> views.Endpoint | None:
        """Returns the endpoint that the next flow probes, if there is one."""
        candidates = self._reachability.find_probe_candidates(now)
        for endpoint in endpoints if candidates else ():
            if endpoint.id in candidates:
                return endpoint
        return None

    def list_openable(
        self,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> list[views.Endpoint]:
        """Returns the cold endpoints to which a flow may be opened now."""
        limits = self._view.services.get(service)
        if limits is None:
            return []
        return [
            endpoint
            for endpoint in endpoints
            if self._warmup_budget.may_open(
                endpoint.id, limits.warmup_per_s, now
            )
        ]

    def group_compared(
        self, endpoints: Sequence[views.Endpoint]
    ) -> list[tuple[Sequence[views.Endpoint], int | None]]:
        """Returns the endpoints to compare by score, with random choices.

        Each group comes with the number of its endpoints that are drawn at
        random, None if all are compared.
        """
        if len(endpoints) <= const.MAX_COMPARED_ENDPOINTS:
            return [(endpoints, None)]
        return [
            (
                [e for e in endpoints if e.domain == self._domain],
                const.RANDOM_CHOICES,
            ),
            (
                [e for e in endpoints if e.domain != self._domain],
                const.RANDOM_CHOICES,
            ),
        ]

    def _choose_cold(
        self,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> views.Endpoint | None:
        allowed = self.list_openable(service, endpoints, now)
        if not allowed:
            return None
        estimate = delays.DelayEstimate(
            endpoints=allowed, table=self._delay_table
        )
        chosen = self._choose_best(allowed, estimate, now)
        rate_per_s = self._view.services[service].warmup_per_s
        self._warmup_budget.record_open(chosen.id, rate_per_s, now)
        return chosen
