"""Tests that the checker reports each broken promise and nothing else."""

import dataclasses

import pytest

from soak import const
from soak import history as histories
from soak import promises
from standins.echo import callers
from standins.echo import endpoints
from standins.echo import packets

ROUTE = ("198.18.0.1", 443)
NEW_ROUTE = ("198.18.0.1", 444)
CALLER = ("127.0.0.7", 40001)
FLOW = (CALLER, ROUTE)
SENDER = "127.0.0.11"
LOAD = callers.Load(
    name="query",
    kind=callers.RequestKind.NON_IDEMPOTENT,
    route=ROUTE,
    request_bytes=0,
    reply_bytes=0,
    requests_per_flow=1,
    pause_s=0.0,
    timeout_s=1.0,
)


@dataclasses.dataclass
class FakeEndpoint:
    """An endpoint with the attributes that the checker reads."""

    id: str = "i-1"
    service: str = "main"
    domain: str = "a"
    state: endpoints.EndpointState = endpoints.EndpointState.READY


class Harness:
    """A checker with its history and a manual clock."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.history = histories.History(clock=lambda: self.now)
        self.history.route_services[ROUTE] = {"main"}
        self.checker = promises.Checker(
            history=self.history, clock=lambda: self.now
        )
        self.endpoint = FakeEndpoint()

    def open(self, endpoint=None, port: int = 40001, route=ROUTE) -> None:
        self.checker.record_opening(
            endpoint or self.endpoint,
            make_packet(packets.Flags.OPEN, port, route=route),
            SENDER,
        )

    def list_broken_promises(self) -> list[promises.Promise]:
        return [violation.promise for violation in self.checker.violations]


def make_packet(flags, port: int = 40001, authentic: bool = True, route=ROUTE):
    return packets.Packet(
        source=(CALLER[0], port),
        destination=route,
        flags=flags,
        authentic=authentic,
    )


@pytest.fixture
def harness():
    return Harness()


def test_undisrupted_flow_violates_nothing(harness) -> None:
    """Guards against violations reported for correct behaviour."""
    harness.open()
    harness.checker.record_opened(harness.endpoint, FLOW)
    harness.checker.record_packet(
        harness.endpoint, make_packet(packets.Flags.ACKNOWLEDGE), SENDER
    )
    request = {"id": "a-1", "kind": LOAD.kind.value}
    harness.checker.record_run(harness.endpoint, request)
    assert harness.list_broken_promises() == []


def test_altered_packet_is_reported(harness) -> None:
    """Guards against altered packets that pass unnoticed."""
    altered = make_packet(packets.Flags.ACKNOWLEDGE, authentic=False)
    harness.checker.record_packet(harness.endpoint, altered, SENDER)
    assert harness.list_broken_promises() == [promises.Promise.WHOLE_PACKETS]


def test_wrong_service_is_reported(harness) -> None:
    """Guards against reused addresses that get flows of another service."""
    harness.open(FakeEndpoint(service="mesh"))
    assert harness.list_broken_promises() == [promises.Promise.OWN_SERVICE]


def test_second_run_is_reported_unless_idempotent(harness) -> None:
    """Guards against non-idempotent requests that run twice."""
    idempotent = {
        "id": "a-1",
        "kind": callers.RequestKind.IDEMPOTENT.value,
    }
    for _ in range(2):
        harness.checker.record_run(harness.endpoint, idempotent)
    assert harness.list_broken_promises() == []
    for _ in range(2):
        harness.checker.record_run(
            harness.endpoint, {"id": "a-2", "kind": LOAD.kind.value}
        )
    assert harness.list_broken_promises() == [promises.Promise.RUN_ONCE]


@pytest.mark.parametrize(
    ("promise", "bound_s"),
    [
        (promises.Promise.DRAINED, const.DRAIN_S),
        (promises.Promise.DOMAIN_EMPTY, const.EVACUATION_S),
        (promises.Promise.CONFIGURATION, const.CONFIGURATION_S),
    ],
)
def test_time_bounds_apply_to_undisrupted_balancers(
    harness, promise, bound_s
) -> None:
    """Guards against missed time bounds and false reports under faults."""
    history = harness.history
    times, key = {
        promises.Promise.DRAINED: (history.draining_since, "i-1"),
        promises.Promise.DOMAIN_EMPTY: (history.domain_out_since, "a"),
        promises.Promise.CONFIGURATION: (history.route_removed_at, ROUTE),
    }[promise]
    times[key] = harness.now
    harness.now += bound_s - 0.1
    harness.open()
    assert harness.list_broken_promises() == []
    harness.now += 0.2
    disruption = history.begin_disruption(histories.Subject.BALANCER, SENDER)
    history.end_disruption(disruption)
    harness.open()
    assert harness.list_broken_promises() == []
    harness.now += const.DISRUPTION_GRACE_S
    harness.open()
    assert harness.list_broken_promises() == [promise]


@pytest.mark.parametrize(
    "promise", [promises.Promise.DRAINED, promises.Promise.DOMAIN_EMPTY]
)
def test_time_bounds_hold_after_a_restoration(harness, promise) -> None:
    """Guards against changes that a restoration of the store undoes."""
    history = harness.history
    history.draining_since["i-1"] = harness.now
    if promise is promises.Promise.DOMAIN_EMPTY:
        history.draining_since.clear()
        history.domain_out_since["a"] = harness.now
    harness.now += 60
    history.end_disruption(
        history.begin_disruption(histories.Subject.STORE_CONTENT, "")
    )
    harness.now += const.DISRUPTION_GRACE_S - 0.1
    harness.open()
    assert harness.list_broken_promises() == []
    harness.now += 0.1
    harness.open()
    assert harness.list_broken_promises() == [promise]


@pytest.fixture
def downgrading(harness):
    """A balancer whose version 2 was seen, with a route of version 1 only."""
    history = harness.history
    history.route_services[NEW_ROUTE] = {"main"}
    history.first_version |= {ROUTE: 1, NEW_ROUTE: 2}
    history.last_version |= {ROUTE: 1, NEW_ROUTE: 2}
    history.started_at[SENDER] = harness.now
    # Downgrades count during disruptions too.
    history.begin_disruption(histories.Subject.STORE_CONTENT, "")
    harness.open(route=NEW_ROUTE)
    return harness


def test_downgrade_is_reported_during_disruptions(downgrading) -> None:
    """Guards against balancers that apply an older, restored configuration."""
    downgrading.now += const.DOWNGRADE_SLACK_S
    downgrading.open()
    downgrading.open(route=NEW_ROUTE)
    assert downgrading.list_broken_promises() == []
    downgrading.now += 0.1
    downgrading.open(route=NEW_ROUTE)
    assert downgrading.list_broken_promises() == []
    downgrading.open()
    assert downgrading.list_broken_promises() == [
        promises.Promise.CONFIGURATION
    ]


def test_restarted_balancer_may_use_an_older_configuration(
    downgrading,
) -> None:
    """Guards against false reports after a restart of the balancer."""
    downgrading.now += 60
    downgrading.history.started_at[SENDER] = downgrading.now
    downgrading.open()
    assert downgrading.list_broken_promises() == []


def test_route_that_was_added_again_is_no_downgrade(downgrading) -> None:
    """Guards against false reports when a later version has the route too."""
    downgrading.now += 60
    downgrading.history.last_version[ROUTE] = 3
    downgrading.open()
    assert downgrading.list_broken_promises() == []


def test_late_refusal_of_an_added_route_is_reported(harness) -> None:
    """Guards against added routes that a balancer does not learn of."""

    def refuse(begun_at: float) -> list[promises.Promise]:
        harness.checker.record_refusal(ROUTE, SENDER, begun_at)
        return harness.list_broken_promises()

    history = harness.history
    assert refuse(harness.now) == []
    history.route_added_at[ROUTE] = harness.now
    assert refuse(harness.now + const.CONFIGURATION_S) == []
    disruption = history.begin_disruption(histories.Subject.STORE_CONTENT, "")
    assert refuse(harness.now + const.CONFIGURATION_S + 0.1) == []
    history.end_disruption(disruption)
    harness.now += 60
    assert refuse(harness.now) == [promises.Promise.CONFIGURATION]


def test_warmup_counts_flows_per_second(harness) -> None:
    """Guards against cold endpoints that exceed their warm-up rate."""
    harness.history.cold_until["i-1"] = harness.now + 10
    bound = int(
        const.WARMUP_PER_S * const.WARMUP_TOLERANCE + const.WARMUP_SLACK_FLOWS
    )
    for port in range(bound):
        harness.open(port=port)
        # A repeated opening packet does not count as another flow.
        harness.open(port=port)
    assert harness.list_broken_promises() == []
    harness.now += 0.5
    harness.open(port=bound)
    assert harness.list_broken_promises() == [promises.Promise.WARMUP]


@pytest.mark.parametrize(
    ("unread", "restarted", "broken"),
    [
        (False, False, {promises.Promise.WARMUP}),
        (True, False, set()),
        (False, True, set()),
    ],
)
def test_warmup_holds_for_what_a_balancer_read_before_a_restoration(
    harness, unread, restarted, broken
) -> None:
    """Guards against lost warm-up times and reports that no one can avoid.

    Seed 23 reported balancers that had started while the store was unreadable.
    """
    history = harness.history
    history.cold_until["i-1"] = harness.now + 10
    if unread:
        history.cold_unread.add("i-1")
    if restarted:
        history.begin_disruption(histories.Subject.BALANCER, SENDER)
    disruption = history.begin_disruption(histories.Subject.STORE_CONTENT, "")
    history.end_disruption(disruption)
    for port in range(20):
        harness.open(port=port)
    assert set(harness.list_broken_promises()) == broken


def test_reset_of_a_live_flow_is_reported(harness) -> None:
    """Guards against balancers that reset live flows."""
    flow = callers.Flow(key=FLOW, sequence=1)
    harness.checker.record_opened(harness.endpoint, FLOW)
    harness.checker.record_reset(flow, SENDER)
    assert harness.list_broken_promises() == [promises.Promise.FLOW_KEPT]


@pytest.mark.parametrize(
    ("subject", "broken"),
    [
        (histories.Subject.STORE, []),
        (histories.Subject.STORE_CONTENT, [promises.Promise.FLOW_KEPT]),
    ],
)
def test_restoration_excuses_no_reset(harness, subject, broken) -> None:
    """Guards against resets since an entry is missing in a restored store."""
    harness.history.begin_disruption(subject, "")
    harness.checker.record_opened(harness.endpoint, FLOW)
    harness.checker.record_reset(callers.Flow(key=FLOW, sequence=1), SENDER)
    assert harness.list_broken_promises() == broken


def test_reset_for_a_dead_endpoint_is_allowed(harness) -> None:
    """Guards against false reports when the endpoint is dead."""
    flow = callers.Flow(key=FLOW, sequence=1)
    harness.checker.record_opened(harness.endpoint, FLOW)
    harness.endpoint.state = endpoints.EndpointState.DARK
    harness.checker.record_reset(flow, SENDER)
    assert harness.list_broken_promises() == []


def test_three_misdelivered_packets_are_reported(harness) -> None:
    """Guards against flows that move to another endpoint."""
    harness.checker.record_opened(harness.endpoint, FLOW)
    misdelivered = make_packet(packets.Flags.ACKNOWLEDGE)
    other = FakeEndpoint(id="i-2")
    for _ in range(2):
        harness.checker.record_packet(other, misdelivered, SENDER)
    # A packet at the right endpoint resets the count.
    harness.checker.record_packet(harness.endpoint, misdelivered, SENDER)
    for _ in range(2):
        harness.checker.record_packet(other, misdelivered, SENDER)
    assert harness.list_broken_promises() == []
    harness.checker.record_packet(other, misdelivered, SENDER)
    assert harness.list_broken_promises() == [promises.Promise.FLOW_KEPT]


def make_outcome(harness, end: callers.AttemptEnd) -> callers.Outcome:
    return callers.Outcome(
        load=LOAD,
        domain="a",
        begun_at=harness.now,
        ended_at=harness.now,
        ends=[end],
    )


def test_unserved_request_after_recovery_is_reported(harness) -> None:
    """Guards against requests that fail after all faults have ended."""
    harness.checker.record_outcome(
        make_outcome(harness, callers.AttemptEnd.ANSWERED)
    )
    harness.checker.check_recovery(harness.now, harness.now + 1)
    assert harness.list_broken_promises() == []
    harness.checker.record_outcome(
        make_outcome(harness, callers.AttemptEnd.TIMED_OUT)
    )
    harness.checker.check_recovery(harness.now, harness.now + 1)
    assert harness.list_broken_promises() == [promises.Promise.RECOVERS]


def test_run_without_requests_is_a_violation(harness) -> None:
    """Guards against a run that passes without any requests."""
    harness.checker.check_recovery(harness.now, harness.now + 1)
    assert harness.list_broken_promises() == [promises.Promise.RECOVERS]
