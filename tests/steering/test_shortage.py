"""Tests and replays of services that are short of capacity.

The replays have the size of the larger deployment. All but six of its endpoints
are nine times slower for six seconds, which leaves a fifth of the capacity.
"""

from collections.abc import Mapping
import dataclasses
import functools
import math
import random

import hypothesis
from hypothesis import given
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.steering import capacity
from chivedoor.steering import const
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from standins import overload as emulation
from tests.steering import conftest

SCENARIO = emulation.Scenario(
    domains=3,
    balancers=38,
    endpoints=20,
    slots=2,
    queue=8,
    service_s=0.0236,
    goal_s=0.606,
    large=True,
)
QUIET = emulation.Phase(duration_s=2.0, load=0.1, important_load=0.02)
SLOW = emulation.Phase(
    duration_s=6.0, load=0.0, slow_endpoints=54, slowness=9.0
)
START_S, END_S = 2, 8
RECOVERY_S = 3
SHARED = emulation.Policy.SHARED_LIMITS
OBSERVED = emulation.Policy.OBSERVED_DELAY

# Targets of the seconds of shortage.
TARGET_GAIN = 1.25
TARGET_IMPORTANT = 0.90
MAX_LOSS = 0.05
# Requests in time that may be missing at twice the demand.
MAX_DROP = 0.05
SEEDS = (1, 2, 3)


@functools.cache
def play(
    load: float,
    important_load: float,
    policy: emulation.Policy = SHARED,
    *,
    recovers: bool = False,
    seed: int = 1,
) -> emulation.Emulation:
    """Plays a quiet phase and a shortage.

    Args:
        load: Demand of the less important route.
        important_load: Demand of the more important route.
        policy: Way in which demand above capacity is handled.
        recovers: Whether the same demand goes on with all endpoints at full
            speed.
        seed: Seed of the run.
    """
    slow = dataclasses.replace(SLOW, load=load, important_load=important_load)
    recovery = dataclasses.replace(
        slow, duration_s=float(RECOVERY_S), slow_endpoints=0
    )
    run = emulation.Emulation(
        scenario=SCENARIO,
        phases=[QUIET, slow, *([recovery] if recovers else [])],
        policy=policy,
        seed=seed,
    )
    run.run()
    return run


def play_shortage(seed: int = 1) -> emulation.Emulation:
    """Plays a demand of 1.8 times the remaining capacity, and its end."""
    return play(0.336, 0.032, recovers=True, seed=seed)


def compute_share(outcome: emulation.Outcome) -> float:
    """Returns the share of requests in time."""
    return outcome.in_goal / outcome.asked


def compute_shares(
    run: emulation.Emulation, start_s: int, end_s: int
) -> tuple[float, float]:
    """Returns the shares in time of the more and the less important route."""
    total = run.sum_outcomes(start_s, end_s)
    important = run.sum_outcomes(start_s, end_s, important=True)
    return compute_share(important), (total.in_goal - important.in_goal) / (
        total.asked - important.asked
    )


def test_more_requests_are_in_time() -> None:
    """Guards against queues in which most requests wait past their goal."""
    shared = play_shortage().sum_outcomes(START_S, END_S)
    observed = play(0.336, 0.032, OBSERVED).sum_outcomes(START_S, END_S)
    assert compute_share(shared) >= TARGET_GAIN * compute_share(observed)


@pytest.mark.parametrize("second", range(START_S, END_S))
def test_important_route_is_never_below_the_other(second: int) -> None:
    """Guards against refusals of the route that operators prefer."""
    important, other = compute_shares(play_shortage(), second, second + 1)
    assert important >= other


@pytest.mark.parametrize("seed", SEEDS)
def test_important_route_within_the_capacity_is_in_time(seed: int) -> None:
    """Guards against an important route that shares the fate of the others."""
    important, _ = compute_shares(play_shortage(seed), START_S + 2, END_S)
    assert important >= TARGET_IMPORTANT


def test_surge_of_the_important_route_keeps_its_precedence() -> None:
    """Guards against precedence that ends when the important route grows.

    The demand of the important route alone is half of the remaining capacity,
    and that of both is a little above it.
    """
    run = play(0.112, 0.10)
    important, other = compute_shares(run, START_S, END_S)
    assert important > other
    observed = play(0.112, 0.10, OBSERVED)
    assert important >= compute_shares(observed, START_S, END_S)[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_important_route_does_not_fill_the_fast_endpoints(seed: int) -> None:
    """Guards against balancers that all choose by the same old reports.

    The endpoints that look best then turn requests away, and the important
    route fares worse in each second of its surge.
    """
    run = play(0.112, 0.10, seed=seed)
    important, _ = compute_shares(run, START_S + 2, END_S)
    assert important >= TARGET_IMPORTANT
    for second in range(START_S + 2, END_S):
        important, other = compute_shares(run, second, second + 1)
        assert important >= other


def test_few_requests_are_lost_below_capacity() -> None:
    """Guards against refusals while endpoints have free slots.

    The demand is three quarters of the remaining capacity, so that there are
    free slots at any time.
    """
    outcome = play(0.15, 0.0).sum_outcomes(START_S + 2, END_S)
    lost = outcome.refused + outcome.turned_away
    assert lost <= MAX_LOSS * outcome.asked
    observed = play(0.15, 0.0, OBSERVED).sum_outcomes(START_S + 2, END_S)
    assert compute_share(outcome) >= compute_share(observed)


def test_all_requests_are_in_time_a_second_after_the_shortage() -> None:
    """Guards against refusals and full endpoints after the shortage."""
    outcome = play_shortage().sum_outcomes(END_S + 1, END_S + RECOVERY_S)
    assert outcome.in_goal == outcome.asked


def test_requests_in_time_stay_level_when_the_demand_doubles() -> None:
    """Guards against work that is spent on requests that are late."""
    single = play_shortage().sum_outcomes(START_S, END_S)
    double = play(0.67, 0.032).sum_outcomes(START_S, END_S)
    assert double.in_goal >= (1.0 - MAX_DROP) * single.in_goal


A, B, C = DOMAINS = [ids.DomainId(name) for name in "abc"]
GOAL_S = 0.6
LATE_S = 0.5
ROUTE = views.Route(
    name="r",
    weighted_services=((conftest.SERVICE, 1.0),),
    idempotent=True,
    goal_s=GOAL_S,
    priority=1,
)


def make_balancer(
    domain: ids.DomainId,
    position: int,
    counts: Mapping[ids.DomainId, int] | None,
    endpoints: list[views.Endpoint],
    route: views.Route = ROUTE,
) -> steerers.Steerer:
    """Returns a balancer that knows its position among the others."""
    balancer = steerers.Steerer(
        local=ids.VmId(f"{domain}-{position}"),
        domain=domain,
        domains=DOMAINS,
        generator=random.Random(1),
    )
    configuration = views.Configuration(
        version=ids.Version(1),
        routes={conftest.ROUTE: route},
        services={conftest.SERVICE: views.ServiceLimits(warmup_per_s=0.0)},
    )
    balancer.view.apply(configuration, 0.0)
    for endpoint in endpoints:
        balancer.view.apply(views.ListedEndpoint(endpoint=endpoint), 0.0)
    balancer.set_view_complete_at(0.0)
    balancer.shortage.set_members(
        counts and shortage.Members(counts=counts, position=position)
    )
    return balancer


def report_full(
    balancer: steerers.Steerer,
    endpoints: list[views.Endpoint],
    load: float = 20.0,
) -> None:
    """Lets a balancer believe that all endpoints are full.

    Args:
        balancer: The balancer.
        endpoints: The endpoints.
        load: Requests for each slot among which requests took `LATE_S`.
    """
    balancer.peer_loads.set_report(
        ids.VmId("peer"), {e.id: 1_000 for e in endpoints}, 0.0
    )
    for endpoint in endpoints:
        for _ in range(20):
            balancer.delay_table.record(
                endpoint.id, delay_s=LATE_S, goal_s=GOAL_S, load=load
            )
    balancer.update_delays(0.0)


def open_flows(balancer: steerers.Steerer, count: int, now: float = 0.0) -> int:
    """Opens flows with a request each; returns how many were admitted."""
    verdict_list = [
        balancer.decide(conftest.make_opening(conftest.make_flow(number)), now)
        for number in range(count)
    ]
    return sum(isinstance(v, verdicts.Deliver) for v in verdict_list)


def count_admitted(
    counts: Mapping[ids.DomainId, int],
    endpoints: list[views.Endpoint],
    load: float,
) -> int:
    """Returns the flows that all balancers together admit when all are full."""
    admitted = 0
    for domain, count in counts.items():
        for position in range(count):
            balancer = make_balancer(domain, position, counts, endpoints)
            report_full(balancer, endpoints, load)
            slots = sum(e.slots for e in endpoints)
            admitted += open_flows(balancer, 4 * slots + 1)
    return admitted


@given(
    tokens=strategies.integers(0, 200),
    bounds=strategies.lists(strategies.floats(0.0, 1.0), max_size=60),
    number=strategies.integers(1, 2**31),
)
def test_adjacent_parts_add_up_to_the_limit(
    tokens: int, bounds: list[float], number: int
) -> None:
    """Guards against tokens without an owner, or with two."""
    limits = [0.0, *sorted(bounds), 1.0]
    owned = sorted(
        token
        for start, end in zip(limits, limits[1:], strict=False)
        for token in shortage.list_own_tokens(
            ids.EndpointId(f"i-{number:08x}"),
            tokens=tokens,
            start=start,
            end=end,
        )
    )
    assert owned == list(range(tokens))


@hypothesis.settings(max_examples=25)
@given(
    sizes=strategies.tuples(*[strategies.integers(1, 6)] * 3),
    slots=strategies.lists(strategies.integers(1, 6), min_size=1, max_size=3),
    served=strategies.integers(1, 3),
    load=strategies.floats(1.0, 20.0),
)
def test_balancers_admit_the_limit_together(
    sizes: tuple[int, int, int], slots: list[int], served: int, load: float
) -> None:
    """Guards against a division that leaves out balancers or domains.

    With `served` below 3, domains without an endpoint use those of the others.
    """
    counts = dict(zip(DOMAINS, sizes, strict=True))
    endpoints = [
        conftest.make_endpoint(
            number * 3 + index + 1, domain=DOMAINS[index], slots=slot
        )
        for number, slot in enumerate(slots)
        for index in range(served)
    ]
    limits = (
        capacity.compute_limit(
            endpoint=e,
            service_s=LATE_S / load,
            wait_s=const.SHORTAGE_WAIT_SHARE * GOAL_S,
        )
        for e in endpoints
    )
    # The last request is admitted if more than half of it is below the limit.
    expected = sum(math.ceil(limit - 0.5) for limit in limits)
    assert count_admitted(counts, endpoints, load) == expected


@pytest.mark.parametrize("estimates", [(60, 80), (70, 140), (7, 70)])
def test_differing_estimates_divide_nearly_evenly(
    estimates: tuple[int, int],
) -> None:
    """Guards against balancers that get the tokens of others.

    Balancers alternate between two estimates of the limit.
    """
    balancers = 10
    owned = [
        token
        for position in range(balancers)
        for token in shortage.list_own_tokens(
            ids.EndpointId("i-00000001"),
            tokens=estimates[position % 2],
            start=position / balancers,
            end=(position + 1) / balancers,
        )
    ]
    assert len(owned) == len(set(owned))
    assert len(owned) == pytest.approx(sum(estimates) / 2, abs=balancers / 2)


def test_balancer_without_a_report_decides_as_before() -> None:
    """Guards against limits of a balancer that does not know its part."""
    endpoints = [conftest.make_endpoint(1, slots=2)]
    route = dataclasses.replace(ROUTE)
    balancer = make_balancer(A, 0, None, endpoints, route)
    report_full(balancer, endpoints)
    assert not balancer.shortage.may_apply(
        route=route, service=conftest.SERVICE, congested=True, now=0.0
    )
    assert open_flows(balancer, 1) == 0
    assert not balancer.shortage.has_short_service(0.0)


def test_queues_of_slow_endpoints_leave_room_at_the_others() -> None:
    """Guards against refusals of the important route while there is room.

    Requests on open flows fill nine slow endpoints far beyond their limits. The
    tenth endpoint is idle.
    """
    endpoints = [conftest.make_endpoint(n, slots=2) for n in range(1, 11)]
    # One balancer of a thousand owns no token.
    balancer = make_balancer(A, 0, {A: 1_000}, endpoints)
    configuration = views.Configuration(
        version=ids.Version(2),
        routes={
            conftest.ROUTE: dataclasses.replace(ROUTE, priority=0),
            segments.RouteKey(b"\x01\xbc\xc6\x12\x00\x01"): ROUTE,
        },
        services={conftest.SERVICE: views.ServiceLimits(warmup_per_s=0.0)},
    )
    balancer.view.apply(configuration, 0.0)
    *slow, idle = endpoints
    balancer.peer_loads.set_report(
        ids.VmId("peer"), dict.fromkeys((e.id for e in slow), 20), 0.0
    )
    for endpoint in endpoints:
        delay_s = LATE_S if endpoint is not idle else 0.02
        for _ in range(20):
            balancer.delay_table.record(
                endpoint.id, delay_s=delay_s, goal_s=GOAL_S, load=1.0
            )
    balancer.update_delays(0.0)
    verdict = balancer.decide(conftest.make_opening(conftest.make_flow(1)), 0.0)
    assert isinstance(verdict, verdicts.Deliver)
    assert verdict.endpoint == idle


def test_route_without_goal_is_not_limited() -> None:
    """Guards against refusals that no setting of the operator asks for."""
    endpoints = [conftest.make_endpoint(1, slots=2)]
    route = dataclasses.replace(ROUTE, goal_s=0.0)
    balancer = make_balancer(A, 0, {A: 9}, endpoints, route)
    report_full(balancer, endpoints)
    assert open_flows(balancer, 20) == 20


def test_copy_of_an_opening_packet_is_not_refused() -> None:
    """Guards against a reset of a flow that another balancer opened."""
    endpoints = [conftest.make_endpoint(1, slots=2)]
    balancer = make_balancer(A, 0, {A: 9}, endpoints)
    report_full(balancer, endpoints)
    verdict = balancer.decide(
        conftest.make_opening(conftest.make_flow(1), retransmissions=1), 0.0
    )
    assert isinstance(verdict, verdicts.Deliver)


def test_shortage_ends_without_requests() -> None:
    """Guards against state that outlives the shortage."""
    endpoints = [conftest.make_endpoint(1, slots=2)]
    balancer = make_balancer(A, 0, {A: 9}, endpoints)
    report_full(balancer, endpoints)
    open_flows(balancer, 1)
    assert balancer.shortage.has_short_service(0.0)
    assert not balancer.shortage.has_short_service(const.SHORTAGE_LIFETIME_S)


def test_tokens_of_ended_endpoints_are_dropped() -> None:
    """Guards against state that grows with each endpoint that ends."""
    endpoints = [conftest.make_endpoint(n, slots=2) for n in range(1, 21)]
    balancer = make_balancer(A, 0, {A: 9}, endpoints)
    report_full(balancer, endpoints)
    open_flows(balancer, 1)
    assert balancer.shortage.count_divided() == 20
    for endpoint in endpoints[1:]:
        balancer.view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 0.0)
    balancer.expire(1.0)
    assert balancer.shortage.count_divided() == 1


def test_restart_with_more_slots_has_more_tokens() -> None:
    """Guards against a limit of the former process of an endpoint."""
    admitted = []
    for before in (2, 8):
        balancer = make_balancer(
            A, 0, {A: 1}, [conftest.make_endpoint(1, slots=before)]
        )
        report_full(balancer, [conftest.make_endpoint(1, slots=before)])
        open_flows(balancer, 1)
        restarted = conftest.make_endpoint(1, slots=8, incarnation=2)
        balancer.view.apply(views.ListedEndpoint(endpoint=restarted), 0.0)
        report_full(balancer, [restarted])
        admitted.append(open_flows(balancer, 40))
    assert admitted[0] == admitted[1]
