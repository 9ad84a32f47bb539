"""Tests of explanations against the placements that they explain."""

import collections
import pickle
import random

import pytest

from chivedoor import ids
from chivedoor.steering import callers
from chivedoor.steering import const
from chivedoor.steering import contacts
from chivedoor.steering import exceptions
from chivedoor.steering import explanation as explanations
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest

A, B = ids.DomainId("a"), ids.DomainId("b")
# The second route of a steerer; the explained flow is of the first one.
IMPORTANT_ROUTE = segments.RouteKey(b"\x01\xbc" + conftest.ROUTE[2:])
OTHER_SERVICE = ids.ServiceId("other")
GOAL_S = 0.1
NOW = 10.0
# Number of the flow that is explained and then opened.
FLOW = 9_999
CALLER = "100.64.0.0:11023"
TRIALS = 1_500


class Shares:
    """Reports that only hold shares, and count the choices of a report."""

    def __init__(self, shares) -> None:
        self.shares = shares
        self.choices = 0

    def get_domain(self, domain, now):
        self.choices += 1
        return self

    def list_shares(self, service, now):
        return self.shares

    def peek_shares(self, service, now):
        return self.shares


def make_steerer(
    *endpoints: views.Endpoint,
    goal_s: float = 0.0,
    max_flows: int = 0,
    services=((conftest.SERVICE, 1.0),),
    priorities=(0,),
) -> steerers.Steerer:
    """Returns a steerer with a route of each priority."""
    steerer = steerers.Steerer(
        local=ids.VmId("vm-1"), domain=A, generator=random.Random(1)
    )
    keys = (conftest.ROUTE, IMPORTANT_ROUTE)
    limits = views.ServiceLimits(warmup_per_s=8.0, max_flows=max_flows)
    steerer.view.apply(
        views.Configuration(
            version=ids.Version(1),
            routes={
                key: views.Route(
                    name=f"r{priority}",
                    weighted_services=services,
                    idempotent=False,
                    goal_s=goal_s,
                    priority=priority,
                )
                for key, priority in zip(keys, priorities, strict=False)
            },
            services={service: limits for service, _ in services},
        ),
        0.0,
    )
    for endpoint in endpoints:
        steerer.view.apply(views.ListedEndpoint(endpoint=endpoint), 0.0)
    steerer.set_view_complete_at(0.0)
    steerer.confirm_view(0.0)
    steerer.warmup_budget.set_members([ids.VmId("vm-1")], settled_at=0.0)
    return steerer


def report_loads(steerer, *loads: int) -> None:
    """Reports requests in flight at the first endpoints."""
    counts = dict(zip(steerer.view.endpoints, loads, strict=False))
    steerer.peer_loads.set_report(ids.VmId("vm-2"), counts, NOW)


def record_delays(steerer, *delays_s: float) -> None:
    """Records requests of the first endpoints that took these times."""
    for endpoint_id, delay_s in zip(
        steerer.view.endpoints, delays_s, strict=False
    ):
        for _ in range(50):
            steerer.delay_table.record(
                endpoint_id, delay_s=delay_s, goal_s=GOAL_S, load=1.0
            )
    steerer.update_delays(NOW)


def make_range(first: int, end: int, **fields) -> list[views.Endpoint]:
    return [conftest.make_endpoint(n, **fields) for n in range(first, end)]


def make_idle():
    return make_steerer(*make_range(1, 4), conftest.make_endpoint(9, domain=B))


def make_large():
    steerer = make_steerer(*make_range(1, 31), *make_range(31, 36, domain=B))
    report_loads(steerer, *([0] * 3), *([4] * 10), *([2] * 17))
    first, second, *_ = steerer.view.endpoints
    steerer.suspicions.record_report([first], NOW)
    steerer.suspicions.record_unanswered(second, A, NOW)
    return steerer


def make_lapsed():
    steerer = make_steerer(*make_range(1, 3))
    steerer.view.remove_endpoint(ids.EndpointId("i-00000001"), NOW - 0.1)
    steerer.set_view_complete_at(None)
    return steerer


def make_cold():
    return make_steerer(*make_range(1, 4, cold_until=100.0))


def make_full(*, closed: bool = False, probed: bool = False):
    steerer = make_steerer(*make_range(1, 3), max_flows=80)
    for endpoint_id in steerer.view.endpoints:
        for number in range(const.FULL_MIN_CALLERS):
            steerer.full_endpoints.record_unanswered(
                endpoint_id,
                conftest.make_flow(number * 50_000),
                NOW - 0.2,
                NOW - 0.1,
            )
        steerer.full_endpoints.record_contact(
            endpoint_id, contacts.Contact.ANSWERED, NOW - 0.05
        )
    if probed:
        steerer.full_endpoints.select(
            list(steerer.view.endpoints.values()), NOW - 0.01
        )
    if closed:
        steerer.full_endpoints.record_closed(endpoint_id, NOW - 0.01)
    return steerer


def make_congested(*, load: int = 6):
    steerer = make_steerer(*make_range(1, 30), goal_s=GOAL_S)
    record_delays(steerer, *([0.02] * 2), *([0.3] * 27))
    report_loads(steerer, *([load] * 29))
    return steerer


def make_short(
    *,
    load: int = 4,
    own: int = 0,
    priorities=(0,),
    above_share: bool = False,
    spare: bool = False,
):
    """Returns a short service; with `spare`, another domain has capacity."""
    others = make_range(6, 8, domain=B) if spare else []
    steerer = make_steerer(
        *make_range(1, 6), *others, goal_s=GOAL_S, priorities=priorities
    )
    if spare:
        steerer.distribution.set_reports(Shares({B: 0.0}))
    steerer.shortage.set_members(shortage.Members(counts={A: 4}, position=1))
    record_delays(steerer, 0.02, 0.3, 0.3, 0.1, 0.25)
    report_loads(steerer, *([load] * 5))
    for number, endpoint_id in enumerate(steerer.view.endpoints):
        for flow in range(own):
            steerer.flows.open_flow(
                conftest.make_flow(own * number + flow), endpoint_id, NOW
            )
    if above_share:
        # The state is found with a flow, and 9 callers open few flows.
        for number in range(9):
            steerer.decide(
                conftest.make_opening(conftest.make_flow(50_000 * number + 1)),
                NOW,
            )
        for _ in range(200):
            steerer.callers.record(b"\x64\x40\x00\x00", NOW)
    return steerer


def make_important_in_flight(number: int):
    """Returns a short service with own requests of a more important route.

    Each endpoint has `number` of them in flight.
    """
    steerer = make_short(priorities=(1, 0))
    for index, endpoint_id in enumerate(steerer.view.endpoints):
        for request in range(number):
            flow = conftest.make_flow(number * index + request)
            steerer.flows.open_flow(
                segments.FlowId(IMPORTANT_ROUTE + flow[6:]), endpoint_id, NOW
            )
    return steerer


def make_spilling():
    steerer = make_steerer(
        *make_range(1, 3), *make_range(3, 5, domain=B), goal_s=GOAL_S
    )
    steerer.distribution.set_reports(Shares({B: 0.3}))
    return steerer


def make_spare(*, loads=(3, 3, 1, 1), goal_s: float = GOAL_S):
    """Returns a steerer whose local endpoints are loaded more than others."""
    steerer = make_steerer(
        *make_range(1, 3),
        *make_range(3, 5, domain=B),
        conftest.make_endpoint(5, domain="c"),
        goal_s=goal_s,
    )
    steerer.distribution.set_reports(Shares({B: 0.0}))
    report_loads(steerer, *loads)
    return steerer


def make_spare_with_share():
    steerer = make_spare(loads=(6, 6, 3, 0))
    steerer.distribution.set_reports(Shares({B: 0.3, ids.DomainId("c"): 0.1}))
    return steerer


def make_suspected_share():
    """Returns a steerer where the only endpoint of a domain is suspected."""
    steerer = make_spare_with_share()
    steerer.suspicions.record_unanswered(
        list(steerer.view.endpoints)[-1], ids.DomainId("c"), NOW
    )
    return steerer


def make_absent():
    """Returns a steerer without local endpoints, before there are shares."""
    steerer = make_steerer(
        *make_range(1, 3, domain=B),
        conftest.make_endpoint(3, domain="c"),
        goal_s=GOAL_S,
    )
    steerer.distribution.set_reports(Shares({B: 0.0}))
    return steerer


def make_weighted():
    return make_steerer(
        *make_range(1, 3),
        *make_range(3, 4, service=OTHER_SERVICE, cold_until=100.0),
        services=((conftest.SERVICE, 3.0), (OTHER_SERVICE, 1.0)),
    )


SITUATIONS = {
    "idle": make_idle,
    "many endpoints": make_large,
    "lapsed entry": make_lapsed,
    "cold": make_cold,
    "full": lambda: make_full(probed=True),
    "full with a probe": make_full,
    "full with a free place": lambda: make_full(closed=True),
    "congested": make_congested,
    "congested, all late": lambda: make_congested(load=90),
    "short, least important": make_short,
    "short, important": lambda: make_short(priorities=(0, 1)),
    "short, refused": lambda: make_short(own=20),
    "short, above share": lambda: make_short(load=6, above_share=True),
    "short, important, queues": lambda: make_short(load=90, priorities=(0, 1)),
    "short, important, no token": lambda: make_short(
        load=0, own=4, priorities=(0, 1)
    ),
    "short, important in flight": lambda: make_important_in_flight(1),
    "short, important use all tokens": lambda: make_important_in_flight(20),
    "shares": make_spilling,
    "spare domain": make_spare,
    "spare domain, no goal": lambda: make_spare(goal_s=0.0),
    "spare domain, congested": lambda: make_short(spare=True),
    "spare domain with a share": make_spare_with_share,
    "share of a suspected domain": make_suspected_share,
    "spare domains only": make_absent,
    "weighted services": make_weighted,
}


@pytest.fixture(params=SITUATIONS)
def steerer(request):
    return SITUATIONS[request.param]()


def explain(steerer, route: str = "198.18.0.1:443") -> explanations.Explanation:
    return explanations.Explainer(steerer=steerer, domain=A).explain(
        CALLER, route, NOW
    )


def place(steerer, number: int = FLOW) -> str:
    """Opens a flow; returns its endpoint, or the reason of the refusal."""
    verdict = steerer.decide(
        conftest.make_opening(conftest.make_flow(number)), NOW
    )
    if isinstance(verdict, verdicts.Refuse):
        return verdict.reason.value
    assert isinstance(verdict, verdicts.Deliver)
    return verdict.endpoint.id


def list_probabilities(explanation) -> dict[str, float]:
    """Returns the non-zero probabilities of endpoints and refusals."""
    found = collections.Counter()
    for service in explanation.services:
        for endpoint in service.endpoints:
            found[endpoint.id] += service.probability * endpoint.probability
        for choice in service.choices:
            if choice.refusal is not None:
                found[choice.refusal.value] += (
                    service.probability
                    * choice.probability
                    * choice.refusal_probability
                )
    return {name: value for name, value in found.items() if value}


def test_explanation_changes_nothing(steerer) -> None:
    """Guards against an explanation that spends a token or a random number."""
    before = pickle.dumps(steerer)
    equal = pickle.loads(before)
    explain(steerer)
    assert pickle.dumps(steerer) == before
    placed = [place(steerer, FLOW + number) for number in range(40)]
    assert placed == [place(equal, FLOW + number) for number in range(40)]


def test_probabilities_match_placements(steerer) -> None:
    """Guards against an explanation that differs from what happens."""
    expected = list_probabilities(explain(steerer))
    assert sum(expected.values()) == pytest.approx(1.0)
    generator = steerer.placement._generator
    counts = collections.Counter()
    for seed in range(TRIALS):
        generator.seed(seed)
        counts[place(pickle.loads(pickle.dumps(steerer)))] += 1
    assert counts.keys() <= expected.keys()
    for name, probability in expected.items():
        # Four standard deviations at most.
        assert counts[name] / TRIALS == pytest.approx(probability, abs=0.05)


@pytest.mark.parametrize(
    ("situation", "method", "refusal"),
    [
        ("idle", "lowest-score", None),
        ("cold", "warm-up", None),
        ("full", "refused", "full"),
        ("congested", "congested", "overloaded"),
        ("congested, all late", "congested", "overloaded"),
        ("short, least important", "tokens", None),
        ("short, important", "tokens", None),
        ("short, important, queues", "soonest", None),
        ("short, refused", "refused", "overloaded"),
        ("short, above share", "refused", "overloaded"),
        ("short, important, no token", "soonest", None),
        ("short, important in flight", "tokens", None),
        ("short, important use all tokens", "refused", "overloaded"),
        ("spare domain", "lowest-score", None),
        ("spare domain, no goal", "lowest-score", None),
        ("spare domain, congested", "congested", "overloaded"),
        ("spare domains only", "lowest-score", None),
    ],
)
def test_method_and_refusal(situation, method, refusal) -> None:
    """Guards against situations above that test another rule than intended."""
    explanation = explain(SITUATIONS[situation]())
    (service,) = explanation.services
    (choice,) = service.choices
    assert choice.method.value == method
    assert (choice.refusal and choice.refusal.value) == refusal
    assert (explanation.refusal_probability > 0.0) == (refusal is not None)
    assert service.short == situation.startswith("short")
    assert explanation.above_share == situation.endswith("above share")


def test_exclusions_name_the_rule() -> None:
    """Guards against an operator who is told a wrong reason."""
    steerer = make_steerer(
        conftest.make_endpoint(1),
        conftest.make_endpoint(2, draining=True),
        conftest.make_endpoint(3, domain="c"),
        conftest.make_endpoint(4, cold_until=100.0),
        conftest.make_endpoint(5),
        conftest.make_endpoint(6),
        conftest.make_endpoint(7),
        conftest.make_endpoint(8, domain=B),
        goal_s=GOAL_S,
    )
    steerer.view.apply(
        views.DomainState(domain=ids.DomainId("c"), out=True), 0.0
    )
    listed = list(steerer.view.endpoints)
    steerer.suspicions.record_unanswered(listed[4], A, NOW)
    steerer.view.remove_endpoint(listed[5], NOW)
    report_loads(steerer, 0, 0, 0, 0, 0, 3)
    # Without a share, not even of 0, the domain has no spare capacity.
    steerer.distribution.set_reports(Shares({}))
    (service,) = explain(steerer).services
    found = {e.id: e.exclusion and e.exclusion.value for e in service.endpoints}
    assert [found[endpoint_id] for endpoint_id in listed] == [
        None,
        "draining",
        "domain-out",
        "cold",
        "suspected",
        "lapsed",
        "higher-score",
        "other-domain",
    ]


def test_spare_domains_are_named() -> None:
    """Guards against an operator who cannot tell why a flow may leave."""
    (choice,) = explain(make_spare()).services[0].choices
    assert (choice.domain, choice.spare) == (A, (B,))
    # Shares apply to services with a goal only.
    (choice,) = explain(make_spare(goal_s=0.0)).services[0].choices
    assert (choice.domain, choice.spare) == (None, ())
    (choice,) = explain(make_absent()).services[0].choices
    assert (choice.domain, choice.spare) == (None, ())
    choices = explain(make_spare_with_share()).services[0].choices
    assert [(c.domain, c.spare) for c in choices] == [
        (A, (B, "c")),
        (B, (B,)),
        ("c", ("c",)),
    ]
    assert [c.probability for c in choices] == pytest.approx([0.6, 0.3, 0.1])
    choices = explain(make_suspected_share()).services[0].choices
    assert [(c.domain, c.spare) for c in choices] == [(A, (B,)), (B, (B,))]


def test_own_requests_of_more_important_routes_use_tokens() -> None:
    """Guards against free tokens that the placement does not have."""
    (service,) = explain(make_important_in_flight(1)).services
    assert all(endpoint.in_flight == 1 for endpoint in service.endpoints)
    assert any(endpoint.tokens for endpoint in service.endpoints)
    for endpoint in service.endpoints:
        assert endpoint.tokens_left_share == (
            (endpoint.tokens - 1) / endpoint.tokens if endpoint.tokens else None
        )


def test_important_route_without_a_token_has_room() -> None:
    """Guards against a refusal of a flow that the limits still hold."""
    steerer = SITUATIONS["short, important, no token"]()
    (service,) = explain(steerer).services
    assert not any(e.tokens_left_share for e in service.endpoints)
    assert service.choices[0].in_flight < service.choices[0].limit


@pytest.mark.parametrize("counts_load", [True, False])
def test_caller_is_judged_as_by_the_placement(counts_load: bool) -> None:
    """Guards against a flow that is counted although no load is counted."""
    steerer = make_short(load=6, above_share=True)
    steerer.callers = callers.CallerTable(max_callers=100)
    steerer.counts_load = counts_load
    for number in range(1, 10):
        steerer.callers.record(bytes((100, 64, 1, number)), NOW)
    caller = b"\x64\x40\x00\x00"
    judged = []
    for _ in range(40):
        steerer.callers.record(caller, NOW)
        equal = pickle.loads(pickle.dumps(steerer))
        if counts_load:
            equal.callers.record(caller, NOW)
        judged.append(equal.callers.is_above_share(caller, NOW))
        assert explain(steerer).above_share == judged[-1]
    assert set(judged) == {True, False}


def test_missing_configuration_is_named() -> None:
    """Guards against operators who look for a mistake in the route's name."""
    steerer = steerers.Steerer(
        local=ids.VmId("vm-1"), domain=A, generator=random.Random(1)
    )
    with pytest.raises(exceptions.UnknownRouteError, match="no configuration"):
        explain(steerer)


@pytest.mark.parametrize("route", ["r0", "198.18.0.1:443"])
def test_route_is_found_by_name_and_address(route: str) -> None:
    """Guards against a route that can be given in one way only."""
    assert explain(make_idle(), route).address == ("198.18.0.1", 443)


@pytest.mark.parametrize(
    ("caller", "route", "error"),
    [
        ("100.64.0.4", "none", exceptions.UnknownRouteError),
        ("100.64.0.4", "198.18.0.1:444", exceptions.UnknownRouteError),
        ("100.64.0.4", "198.18.0.1:65979", exceptions.UnknownRouteError),
        ("100.64.0", "r0", exceptions.MalformedCallerError),
        ("100.64.0.4:", "r0", exceptions.MalformedCallerError),
        ("100.64.0.4:65536", "r0", exceptions.MalformedCallerError),
        ("", "r0", exceptions.MalformedCallerError),
    ],
)
def test_unusable_arguments_are_rejected(caller, route, error) -> None:
    """Guards against an explanation of another flow than was asked for."""
    explainer = explanations.Explainer(steerer=make_idle(), domain=A)
    with pytest.raises(error):
        explainer.explain(caller, route, NOW)
