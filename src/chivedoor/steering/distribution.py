"""Distribution of new flows to failure domains, from the reports of all.

The load pattern that this answers is that of `spillover`: one domain is short
of capacity while others have some to spare. This module collects the inputs of
the decision on a reader candidate, and applies the shares that the candidate
reported on each balancer.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from chivedoor import ids
from chivedoor.steering import capacity as capacities
from chivedoor.steering import const
from chivedoor.steering import demand as demands
from chivedoor.steering import domain_choice
from chivedoor.steering import observer as observers
from chivedoor.steering import placement
from chivedoor.steering import spillover
from chivedoor.steering import suspicion
from chivedoor.steering import view as views


class DomainReport(Protocol):
    """Load of a failure domain, as one of its balancers reported it.

    Attributes:
        demand: Requests a second by service and priority.
        capacity: Capacity by service.
        handshakes: Completed handshakes by domain of the endpoint.
        transfers: Flows and payload by service.
    """

    demand: Mapping[ids.ServiceId, Mapping[int, float]]
    capacity: Mapping[ids.ServiceId, demands.Capacity]
    handshakes: Mapping[ids.DomainId, demands.Handshakes]
    transfers: Mapping[ids.ServiceId, demands.Transfer]


class DomainReports(Protocol):
    """Recent reports of the domains."""

    def get_domain(
        self, domain: ids.DomainId, now: float
    ) -> DomainReport | None:
        """Returns the report of a domain, None without a recent one."""

    def list_remote(self, now: float) -> Mapping[ids.DomainId, DomainReport]:
        """Returns the reports of the other domains."""

    def list_shares(
        self, service: ids.ServiceId, now: float
    ) -> Mapping[ids.DomainId, float]:
        """Returns the shares of new flows that leave the local domain."""

    def peek_shares(
        self, service: ids.ServiceId, now: float
    ) -> Mapping[ids.DomainId, float] | None:
        """Returns these shares without any effect; None without a report."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class DomainOption:
    """Endpoints that a new flow may be restricted to.

    Attributes:
        domain: The domain that the shares select; None if they select none that
            can be used.
        probability: Probability of this option, 0 to 1.
        endpoints: The endpoints among which the flow is then placed.
        spare: Those of other domains among them that have reported spare
            capacity.
    """

    domain: ids.DomainId | None
    probability: float
    endpoints: Sequence[views.Endpoint]
    spare: Sequence[views.Endpoint] = ()


class Distribution:
    """Decides the shares of the domains, and applies them to new flows."""

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        view: views.View,
        suspicions: suspicion.Suspicions,
        capacity: capacities.CapacityTable,
        placement: placement.Placement,
        generator: random.Random,
        observer: observers.Observer,
    ) -> None:
        """Creates a distribution without effect before `set_reports`."""
        self._generator = generator
        self._domain = domain
        self._view = view
        self._suspicions = suspicions
        self._capacity = capacity
        self._placement = placement
        self._observer = observer
        self._spillover = spillover.Spillover(domain=domain)
        self._reports: DomainReports | None = None
        # Decisions by service that the observer received last.
        self._logged: dict[ids.ServiceId, spillover.Decision] = {}

    def set_reports(self, reports: DomainReports) -> None:
        """Sets the source of the reports."""
        self._reports = reports

    def list_capacity(
        self, now: float
    ) -> dict[ids.ServiceId, demands.Capacity]:
        """Returns the capacity of the local domain by service.

        Services of which no request has completed lately are left out, since
        the service times of their endpoints are not known.
        """
        return {
            service: known
            for service in self._view.services
            if (known := self._measure_capacity(service, now)) is not None
        }

    def decide_shares(
        self, now: float
    ) -> dict[ids.ServiceId, dict[ids.DomainId, float]]:
        """Decides which shares of new flows leave the local domain.

        Called on each heartbeat of a candidate for the reader. Domains with
        spare capacity are listed even if their share is 0.
        """
        if self._reports is None:
            return {}
        local = self._reports.get_domain(self._domain, now)
        if local is None:
            return {}
        remote = self._reports.list_remote(now)
        shares = {
            service: dict.fromkeys(self._list_spare(service, remote, now), 0.0)
            | self._decide_service(service, local, remote, now)
            for service in local.demand
        }
        self._spillover.retain(local.demand)
        self._logged = {
            service: decision
            for service, decision in self._logged.items()
            if service in local.demand
        }
        return shares

    def select_endpoints(
        self,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> tuple[Sequence[views.Endpoint], Sequence[views.Endpoint]]:
        """Returns the endpoints of the domains that a new flow may go to.

        A flow that is not sent to another domain by its share may still go to
        one that has spare capacity, if the endpoints of the local domain are
        loaded more. That covers the time until the shares have followed.

        Args:
            service: The service of the flow.
            endpoints: Endpoints that may take it.
            now: The current time, in seconds.

        Returns:
            The endpoints, all of them without a recent decision or a goal, or
            if no domain has one that can be relied on; and those of other
            domains among them that have reported spare capacity.
        """
        if (
            self._reports is None
            or not self._view.get_goal_s(service)
            or self._reports.get_domain(self._domain, now) is None
        ):
            return endpoints, ()
        shares = self._reports.list_shares(service, now)
        excluded = self._find_excluded(shares, endpoints, now)
        chosen = domain_choice.choose_domain(
            local=self._domain,
            shares=shares,
            draw=self._generator.random() if any(shares.values()) else 0.0,
            excluded=excluded,
        )
        return self._select(endpoints, chosen, shares, excluded)

    def find_choices(
        self,
        service: ids.ServiceId,
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> list[DomainOption]:
        """Returns what `select_endpoints` may return, without any effect.

        Args:
            service: As for `select_endpoints`.
            endpoints: As for `select_endpoints`.
            now: The current time, in seconds.
        """
        shares = (
            self._reports.peek_shares(service, now)
            if self._reports is not None and self._view.get_goal_s(service)
            else None
        )
        if shares is None:
            return [
                DomainOption(domain=None, probability=1.0, endpoints=endpoints)
            ]
        excluded = self._find_excluded(shares, endpoints, now)
        options = []
        for chosen, probability in domain_choice.compute_probabilities(
            local=self._domain, shares=shares, excluded=excluded
        ).items():
            selected, spare = self._select(endpoints, chosen, shares, excluded)
            options.append(
                DomainOption(
                    domain=None if chosen in excluded else chosen,
                    probability=probability,
                    endpoints=selected,
                    spare=spare,
                )
            )
        return options

    def _find_excluded(
        self,
        shares: Mapping[ids.DomainId, float],
        endpoints: Sequence[views.Endpoint],
        now: float,
    ) -> set[ids.DomainId]:
        """Returns the domains without an endpoint that can be relied on."""
        return {
            domain
            for domain in (self._domain, *shares)
            if not self._has_reliable_endpoint(domain, endpoints, now)
        }

    def _select(
        self,
        endpoints: Sequence[views.Endpoint],
        chosen: ids.DomainId,
        shares: Mapping[ids.DomainId, float],
        excluded: Collection[ids.DomainId],
    ) -> tuple[Sequence[views.Endpoint], Sequence[views.Endpoint]]:
        """Returns the result of `select_endpoints` for a chosen domain."""
        allowed = {self._domain, *shares}.difference(excluded)
        if chosen != self._domain:
            allowed = {chosen}
        selected = [e for e in endpoints if e.domain in allowed]
        if not selected:
            return endpoints, ()
        if self._domain in excluded:
            # The whole demand of the local domain counts in the others.
            return selected, ()
        return selected, [e for e in selected if e.domain != self._domain]

    def explain(self, service: ids.ServiceId) -> spillover.Decision | None:
        """Returns the last decision of this balancer on a service."""
        return self._spillover.explain(service)

    def _decide_service(
        self,
        service: ids.ServiceId,
        local: DomainReport,
        remote: Mapping[ids.DomainId, DomainReport],
        now: float,
    ) -> dict[ids.DomainId, float]:
        usable = self._list_usable(service, self._domain, now)
        known = local.capacity.get(service)
        if usable and known is None:
            return {}
        load = _make_load(local, service, known if usable else None, usable)
        # Fast endpoints complete most requests, so that the mean time of a
        # slot follows from the capacity and not from the mean of endpoints.
        service_s = (
            const.SERVICE_UTILIZATION * load.slots / load.capacity_per_s
            if load.capacity_per_s
            else 0.0
        )
        transfer = local.transfers.get(service)
        self._continue_shares(service, now)
        decided = self._spillover.decide(
            service=service,
            local=load,
            remote={
                domain: _make_load(
                    report,
                    service,
                    report.capacity.get(service)
                    if domain not in self._view.domains_out
                    else None,
                    self._list_usable(service, domain, now),
                )
                for domain, report in remote.items()
                if not self._suspicions.is_domain_suspect(domain, now)
            },
            handshakes_s={
                domain: handshakes.duration_s / handshakes.number
                for domain, handshakes in local.handshakes.items()
                if handshakes.number > 0.0
            },
            service_s=service_s,
            goal_s=self._view.get_goal_s(service),
            bytes_per_flow=transfer.payload_bytes / transfer.flows
            if transfer is not None and transfer.flows > 0.0
            else 0.0,
            now=now,
        )
        self._report_change(service)
        return decided

    def _continue_shares(self, service: ids.ServiceId, now: float) -> None:
        """Starts from the shares of the candidate that decided before."""
        assert self._reports is not None
        reported = {
            domain: share
            for domain, share in self._reports.list_shares(service, now).items()
            if share > 0.0
        }
        if reported:
            self._spillover.take_over(service, reported, now)

    def _report_change(self, service: ids.ServiceId) -> None:
        """Passes the last decision to the observer if it differs by enough.

        It is compared with the last one that was passed, since shares change in
        steps that are too small each.
        """
        decision = self._spillover.explain(service)
        former = self._logged.get(service)
        if decision is not None and (
            former is None
            or decision.reason is not former.reason
            or _has_moved(decision.get_shares(), former.get_shares())
        ):
            self._logged[service] = decision
            self._observer.on_spillover(service, decision)

    def _has_reliable_endpoint(
        self,
        domain: ids.DomainId,
        endpoints: Iterable[views.Endpoint],
        now: float,
    ) -> bool:
        """Returns whether a domain has an endpoint that is not suspected.

        A domain becomes suspect with two suspected endpoints only, so that one
        with a single endpoint never does.
        """
        return not self._suspicions.is_domain_suspect(domain, now) and any(
            endpoint.domain == domain
            and not self._suspicions.get_penalty(endpoint.id, domain, now)
            for endpoint in endpoints
        )

    def _list_spare(
        self,
        service: ids.ServiceId,
        remote: Mapping[ids.DomainId, DomainReport],
        now: float,
    ) -> list[ids.DomainId]:
        """Returns the other domains that have spare capacity.

        A domain that reports no capacity has not served the service lately.
        """
        return [
            domain
            for domain, report in remote.items()
            if domain not in self._view.domains_out
            and not self._suspicions.is_domain_suspect(domain, now)
            and _has_spare_capacity(
                report, service, self._list_usable(service, domain, now)
            )
        ]

    def _measure_capacity(
        self, service: ids.ServiceId, now: float
    ) -> demands.Capacity | None:
        usable = self._list_usable(service, self._domain, now)
        service_s = capacities.estimate_service_times(usable, self._capacity)
        if not usable or not all(service_s.values()):
            return None
        return demands.Capacity(
            requests_per_s=const.SERVICE_UTILIZATION
            * sum(e.slots / service_s[e.id] for e in usable),
            in_flight=float(sum(map(self._placement.count_in_flight, usable))),
        )

    def _list_usable(
        self, service: ids.ServiceId, domain: ids.DomainId, now: float
    ) -> list[views.Endpoint]:
        """Returns the warm endpoints of a domain that take new flows."""
        return [
            endpoint
            for endpoint in self._view.get_endpoints(service)
            if endpoint.domain == domain
            and endpoint.cold_until <= now
            and self._placement.is_usable(endpoint)
        ]


def _make_load(
    report: DomainReport,
    service: ids.ServiceId,
    capacity: demands.Capacity | None,
    endpoints: Iterable[views.Endpoint],
) -> spillover.DomainLoad:
    return spillover.DomainLoad(
        demand_per_s=sum(report.demand.get(service, {}).values()),
        capacity_per_s=capacity.requests_per_s if capacity else 0.0,
        in_flight=capacity.in_flight if capacity else 0.0,
        slots=sum(endpoint.slots for endpoint in endpoints),
    )


def _has_spare_capacity(
    report: DomainReport,
    service: ids.ServiceId,
    endpoints: Iterable[views.Endpoint],
) -> bool:
    """Returns whether a domain can take flows of others.

    When endpoints become slow, their slots fill before any request shows it, so
    that the reported capacity is too high at first.
    """
    capacity = report.capacity.get(service)
    if capacity is None:
        return True
    slots = sum(endpoint.slots for endpoint in endpoints)
    demand_per_s = sum(report.demand.get(service, {}).values())
    return (
        capacity.in_flight < const.SERVICE_UTILIZATION * slots
        and demand_per_s
        < (1.0 - const.SPILLOVER_RESERVE) * capacity.requests_per_s
    )


def _has_moved(
    current: Mapping[ids.DomainId, float], former: Mapping[ids.DomainId, float]
) -> bool:
    """Returns whether shares differ by enough for a log line."""
    return any(
        abs(current.get(domain, 0.0) - former.get(domain, 0.0))
        >= const.SHARE_LOG_STEP
        for domain in current.keys() | former.keys()
    )
