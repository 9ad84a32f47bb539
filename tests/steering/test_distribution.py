"""Tests of the distribution of new flows to failure domains."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import demand as demands
from chivedoor.steering import observer as observers
from chivedoor.steering import shortage
from chivedoor.steering import spillover
from chivedoor.steering import steerer as steerers
from chivedoor.steering import view as views
from tests.steering import conftest

A, B, C = DOMAINS = [ids.DomainId(name) for name in "abc"]
SERVICE = conftest.SERVICE
GOAL_S = 0.5
SERVICE_S = 0.1
ENDPOINTS = [
    conftest.make_endpoint(number, domain=DOMAINS[number % 3], slots=5)
    for number in range(6)
]


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Report of a domain."""

    demand: Mapping[ids.ServiceId, Mapping[int, float]]
    capacity: Mapping[ids.ServiceId, demands.Capacity]
    handshakes: Mapping[ids.DomainId, demands.Handshakes] = dataclasses.field(
        default_factory=lambda: {
            A: demands.Handshakes(number=10.0, duration_s=0.004),
            B: demands.Handshakes(number=10.0, duration_s=0.03),
        }
    )
    transfers: Mapping[ids.ServiceId, demands.Transfer] = dataclasses.field(
        default_factory=lambda: {
            SERVICE: demands.Transfer(flows=10.0, payload_bytes=5_000.0)
        }
    )


def make_report(
    demand_per_s: float, capacity_per_s: float = 100.0, in_flight: float = 5.0
) -> Report:
    """Returns a report with two priorities and one service."""
    return Report(
        demand={SERVICE: {1: demand_per_s / 2, 2: demand_per_s / 2}},
        capacity={
            SERVICE: demands.Capacity(
                requests_per_s=capacity_per_s, in_flight=in_flight
            )
        }
        if capacity_per_s
        else {},
    )


SHORT = make_report(200.0, in_flight=40.0)
FREE = make_report(20.0)


class Reports:
    """Table of reports that do not expire."""

    def __init__(self) -> None:
        self.domains: dict[ids.DomainId, Report] = {A: SHORT, B: FREE, C: FREE}
        self.shares: dict[ids.DomainId, float] = {}

    def get_domain(self, domain: ids.DomainId, now: float) -> Report | None:
        """Returns the report of a domain."""
        return self.domains.get(domain)

    def list_remote(self, now: float) -> dict[ids.DomainId, Report]:
        """Returns the reports of the other domains."""
        return {d: r for d, r in self.domains.items() if d != A}

    def list_shares(
        self, service: ids.ServiceId, now: float
    ) -> dict[ids.DomainId, float]:
        """Returns the shares of new flows that leave."""
        return self.shares


class Observer(observers.NullObserver):
    """Keeps the decisions that are logged."""

    def __init__(self) -> None:
        self.decisions: list[spillover.Decision] = []

    def on_spillover(
        self, service: ids.ServiceId, decision: spillover.Decision
    ) -> None:
        """Keeps a decision."""
        self.decisions.append(decision)


class Balancer:
    """A reader candidate of domain a."""

    def __init__(
        self,
        endpoints: Sequence[views.Endpoint] = ENDPOINTS,
        *,
        goal_s: float = GOAL_S,
    ) -> None:
        self.observer = Observer()
        self.reports = Reports()
        self.now = 0.0
        self.steerer = steerers.Steerer(
            local=ids.VmId("vm-1"),
            domain=A,
            domains=DOMAINS,
            generator=random.Random(1),
            observer=self.observer,
        )
        route = views.Route(
            name="r",
            weighted_services=((SERVICE, 1.0),),
            idempotent=True,
            goal_s=goal_s,
        )
        configuration = views.Configuration(
            version=ids.Version(1),
            routes={conftest.ROUTE: route},
            services={SERVICE: views.ServiceLimits(warmup_per_s=8.0)},
        )
        self.steerer.view.apply(configuration, 0.0)
        for endpoint in endpoints:
            self.steerer.view.apply(
                views.ListedEndpoint(endpoint=endpoint), 0.0
            )
        self.steerer.shortage.set_members(
            shortage.Members(counts=dict.fromkeys(DOMAINS, 10), position=0)
        )
        self.distribution = self.steerer.distribution
        self.distribution.set_reports(self.reports)

    def complete_requests(self) -> None:
        """Lets each endpoint complete ten requests."""
        for endpoint in self.steerer.view.endpoints.values():
            for _ in range(10):
                self.steerer.delay_table.record(
                    endpoint.id, delay_s=SERVICE_S, goal_s=GOAL_S, load=0.5
                )
        self.steerer.update_delays(self.now)

    def decide(self, count: int = 1) -> dict[ids.DomainId, float]:
        """Returns the positive shares after a number of decisions."""
        for _ in range(count):
            self.now += 0.5
            shares = self.distribution.decide_shares(self.now)
        return {
            domain: share
            for domain, share in shares.get(SERVICE, {}).items()
            if share
        }

    def take_out(self, domain: ids.DomainId) -> None:
        """Takes a domain out of service."""
        self.steerer.view.apply(
            views.DomainState(domain=domain, out=True), self.now
        )

    def suspect(self, domain: ids.DomainId) -> None:
        """Makes a domain suspect."""
        for endpoint in self.steerer.view.endpoints.values():
            if endpoint.domain == domain:
                self.steerer.suspicions.record_unanswered(
                    endpoint.id, domain, self.now
                )

    def choose_domains(self) -> set[ids.DomainId]:
        """Returns the domains whose endpoints a new flow may go to."""
        chosen, _ = self.distribution.select_endpoints(
            SERVICE, self.steerer.view.get_endpoints(SERVICE), self.now
        )
        return {endpoint.domain for endpoint in chosen}

    def count_domains(self, flows: int = 1_000) -> dict[ids.DomainId, int]:
        """Returns how many new flows each domain gets.

        Flows that may go to the local domain count there.
        """
        return collections.Counter(
            domain
            for domains in (self.choose_domains() for _ in range(flows))
            for domain in ({A} if A in domains else domains)
        )


def test_domains_with_spare_capacity_take_flows_before_shares_follow() -> None:
    """Guards against callers that wait until a share has risen."""
    balancer = Balancer()
    balancer.complete_requests()
    balancer.reports.domains[C] = make_report(200.0, capacity_per_s=150.0)
    balancer.reports.shares = balancer.distribution.decide_shares(0.0)[SERVICE]
    endpoints = balancer.steerer.view.get_endpoints(SERVICE)
    balancer.reports.shares = dict.fromkeys(balancer.reports.shares, 0.0)
    selected, spare = balancer.distribution.select_endpoints(
        SERVICE, endpoints, 0.0
    )
    assert {endpoint.domain for endpoint in selected} == {A, B}
    assert {endpoint.domain for endpoint in spare} == {B}


@pytest.fixture
def balancer() -> Balancer:
    """Candidate of a domain that is short while two others are not."""
    balancer = Balancer()
    balancer.complete_requests()
    return balancer


def test_shares_are_applied_in_proportion(balancer: Balancer) -> None:
    """Guards against more flows than the receiving domain can take."""
    balancer.reports.shares = {B: 0.3, C: 0.1}
    counts = balancer.count_domains(10_000)
    assert counts[A] == pytest.approx(6_000, abs=200)
    assert counts[B] == pytest.approx(3_000, abs=200)
    assert counts[C] == pytest.approx(1_000, abs=120)


def test_flows_stay_local_without_shares(balancer: Balancer) -> None:
    """Guards against traffic on links that cost money."""
    assert balancer.count_domains().keys() == {A}


def test_flows_leave_a_domain_without_endpoints(balancer: Balancer) -> None:
    """Guards against refusals while other domains have endpoints."""
    balancer.reports.shares = {B: 0.75, C: 0.25}
    for endpoint in ENDPOINTS[::3]:
        balancer.steerer.view.apply(
            views.RemovedEndpoint(endpoint_id=endpoint.id), 0.0
        )
    counts = balancer.count_domains()
    assert counts.keys() == {B, C}
    assert counts[B] == pytest.approx(750, abs=60)


def test_all_endpoints_are_compared_without_a_report(
    balancer: Balancer,
) -> None:
    """Guards against a changed placement when reports stop."""
    del balancer.reports.domains[A]
    balancer.reports.shares = {B: 0.5}
    assert balancer.choose_domains() == {A, B, C}
    assert not balancer.decide()


def test_all_endpoints_are_compared_before_the_first_report() -> None:
    """Guards against a changed placement where no reports are sent."""
    distribution = steerers.Steerer(
        local=ids.VmId("vm-1"), domain=A, generator=random.Random(1)
    ).distribution
    selected, spare = distribution.select_endpoints(SERVICE, ENDPOINTS, 0.0)
    assert selected is ENDPOINTS
    assert not spare
    assert not distribution.decide_shares(0.0)


def test_share_of_a_domain_that_lost_its_endpoints_stays_local(
    balancer: Balancer,
) -> None:
    """Guards against failures when the view changes after the decision."""
    balancer.reports.shares = {B: 0.9, ids.DomainId("unknown"): 0.1}
    for endpoint in ENDPOINTS[1::3]:
        balancer.steerer.view.apply(
            views.RemovedEndpoint(endpoint_id=endpoint.id), 0.0
        )
    assert balancer.count_domains().keys() == {A}


def test_suspect_domain_gets_no_flows(balancer: Balancer) -> None:
    """Guards against flows into a partition until the next decision."""
    balancer.reports.shares = {B: 0.9}
    balancer.suspect(B)
    assert balancer.count_domains().keys() == {A}


def test_excess_leaves_for_the_other_domains(balancer: Balancer) -> None:
    """Guards against queues in one domain while others have capacity."""
    shares = balancer.decide(20)
    assert shares[B] == pytest.approx(shares[C], rel=0.1)
    assert 0.2 < sum(shares.values()) <= 0.5


@pytest.mark.parametrize(("in_flight", "spare"), [(7.0, {B, C}), (9.0, {C})])
def test_domain_with_busy_slots_has_no_spare_capacity(
    balancer: Balancer, in_flight: float, spare: set[ids.DomainId]
) -> None:
    """Guards against flows of others while reported speeds lag behind.

    Domain b has 10 slots. When its endpoints become slow, the requests in
    flight grow before a completed one lowers its capacity.
    """
    balancer.reports.domains[A] = FREE
    balancer.reports.domains[B] = make_report(20.0, in_flight=in_flight)
    shares = balancer.steerer.decide_shares(balancer.now)[SERVICE]
    assert set(shares) == spare


def test_domain_taken_out_gets_no_share(balancer: Balancer) -> None:
    """Guards against flows to a domain that an operator took out."""
    assert B in balancer.decide(20)
    balancer.take_out(B)
    assert balancer.decide().keys() == {C}


def test_suspect_domain_gets_no_share(balancer: Balancer) -> None:
    """Guards against a share for a domain that is not reached."""
    assert B in balancer.decide(20)
    balancer.suspect(B)
    assert balancer.decide().keys() == {C}


def test_silent_domain_gets_no_share(balancer: Balancer) -> None:
    """Guards against a share for a domain whose reports stop."""
    assert B in balancer.decide(20)
    del balancer.reports.domains[B]
    assert balancer.decide().keys() == {C}


def test_all_flows_leave_when_the_local_domain_is_out(
    balancer: Balancer,
) -> None:
    """Guards against refusals of the callers of a domain that is out."""
    balancer.take_out(A)
    assert sum(balancer.decide().values()) == pytest.approx(1.0)


def test_nothing_leaves_while_the_local_capacity_is_unknown() -> None:
    """Guards against flows that leave an idle domain for lack of a report."""
    balancer = Balancer()
    balancer.reports.domains[A] = make_report(200.0, capacity_per_s=0.0)
    assert not balancer.distribution.list_capacity(0.0)
    assert not balancer.decide()


def test_capacity_covers_warm_and_usable_endpoints() -> None:
    """Guards against a reported capacity that takes no flow."""
    cold = conftest.make_endpoint(9, cold_until=5.0)
    draining = conftest.make_endpoint(12, draining=True)
    balancer = Balancer([*ENDPOINTS, cold, draining])
    balancer.complete_requests()
    capacity = balancer.distribution.list_capacity(0.0)[SERVICE]
    assert capacity.requests_per_s == pytest.approx(0.8 * 10 / SERVICE_S)
    assert capacity.in_flight == 0.0


def test_steady_decisions_are_logged_once(balancer: Balancer) -> None:
    """Guards against log lines with each heartbeat."""
    balancer.decide(40)
    logged = len(balancer.observer.decisions)
    balancer.decide(20)
    assert 0 < logged < 10
    assert len(balancer.observer.decisions) == logged


def test_end_of_a_shortage_is_logged(balancer: Balancer) -> None:
    """Guards against a log that shows flows leaving after they stopped."""
    balancer.decide(5)
    balancer.reports.domains[A] = FREE
    balancer.decide()
    last = balancer.observer.decisions[-1]
    assert last.reason is spillover.Reason.LOCAL_HAS_CAPACITY
    assert not last.get_shares()


def test_suspect_local_domain_leaves_all_others(balancer: Balancer) -> None:
    """Guards against flows to a dead domain because of its last shares.

    The share names domain b only, which is suspect as well. Domain c works.
    """
    balancer.reports.shares = {B: 0.1}
    balancer.suspect(A)
    balancer.suspect(B)
    assert C in balancer.choose_domains()


def test_only_local_endpoint_that_is_suspect_is_left() -> None:
    """Guards against a domain that sends all flows to one dead endpoint.

    A domain with one endpoint never becomes suspect.
    """
    balancer = Balancer(ENDPOINTS[:3])
    assert balancer.choose_domains() == {A}
    balancer.suspect(A)
    assert balancer.choose_domains() == {A, B, C}


def test_service_without_goal_is_placed_as_before() -> None:
    """Guards against an overloaded domain from which no flow may leave.

    Without a goal, no share is decided.
    """
    balancer = Balancer(goal_s=0.0)
    assert not balancer.decide()
    assert balancer.choose_domains() == {A, B, C}


def test_slow_change_of_a_share_is_logged(balancer: Balancer) -> None:
    """Guards against a log that shows the first step of a share only.

    A share of a fifth is reached in steps of less than `SHARE_LOG_STEP`.
    """
    balancer.reports.domains = {
        A: make_report(125.0, in_flight=5.0),
        B: make_report(10.0),
    }
    shares = balancer.decide(30)
    assert shares[B] > 3 * const.SHARE_LOG_STEP
    logged = balancer.observer.decisions[-1].get_shares()
    assert logged[B] == pytest.approx(shares[B], abs=const.SHARE_LOG_STEP)


def test_queue_in_another_domain_is_that_of_its_usable_endpoints(
    balancer: Balancer,
) -> None:
    """Guards against a queue that seems shorter by endpoints that drain.

    The reported capacity and requests in flight do not include them.
    """
    balancer.reports.domains = {A: SHORT, B: make_report(20.0, in_flight=40.0)}
    before = balancer.decide(20)[B]
    for number in (100, 103, 106, 109):
        balancer.steerer.view.apply(
            views.ListedEndpoint(
                endpoint=conftest.make_endpoint(
                    number, domain=B, slots=5, draining=True
                )
            ),
            0.0,
        )
    assert balancer.decide(20)[B] == pytest.approx(before, abs=0.01)


def test_new_candidate_continues_the_reported_shares(
    balancer: Balancer,
) -> None:
    """Guards against shares that start from 0 when a candidate fails."""
    started = balancer.decide()
    other = Balancer()
    other.complete_requests()
    other.reports.shares = {B: 0.2, C: 0.2}
    assert all(
        share > started.get(domain, 0.0)
        for domain, share in other.decide().items()
    )
