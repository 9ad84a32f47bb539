"""The judge sees each broken promise, and no others."""

import dataclasses

import pytest

from soak import const
from soak import history as histories
from soak import promises
from standins.echo import callers
from standins.echo import endpoints
from standins.echo import packets

ROUTE = ("198.18.0.1", 443)
CALLER = ("127.0.0.7", 40001)
FLOW = (CALLER, ROUTE)
SENDER = "127.0.0.11"
LOAD = callers.Load(
    name="query",
    kind=callers.RequestKind.NON_IDEMPOTENT,
    route=ROUTE,
    request_bytes=0,
    reply_bytes=0,
    requests_a_flow=1,
    pause_s=0.0,
    timeout_s=1.0,
)


@dataclasses.dataclass
class FakeEndpoint:
    """As much of an endpoint as the judge looks at."""

    id: str = "i-1"
    service: str = "main"
    domain: str = "a"
    state: endpoints.EndpointState = endpoints.EndpointState.READY


class Scene:
    """A judge with its history and a clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.history = histories.History(clock=lambda: self.now)
        self.history.route_services[ROUTE] = {"main"}
        self.judge = promises.Judge(
            history=self.history, clock=lambda: self.now
        )
        self.endpoint = FakeEndpoint()

    def open(self, endpoint=None, port: int = 40001) -> None:
        self.judge.note_opening(
            endpoint or self.endpoint,
            make_packet(packets.Flags.OPEN, port),
            SENDER,
        )

    def list_broken(self) -> list[promises.Promise]:
        return [violation.promise for violation in self.judge.violations]


def make_packet(flags, port: int = 40001, authentic: bool = True):
    return packets.Packet(
        source=(CALLER[0], port),
        destination=ROUTE,
        flags=flags,
        authentic=authentic,
    )


@pytest.fixture
def scene():
    return Scene()


def test_calm_day_breaks_nothing(scene) -> None:
    """Guards against a judge that complains of everything."""
    scene.open()
    scene.judge.note_opened(scene.endpoint, FLOW)
    scene.judge.note_packet(
        scene.endpoint, make_packet(packets.Flags.ACKNOWLEDGE), SENDER
    )
    request = {"id": "a-1", "kind": LOAD.kind.value}
    scene.judge.note_run(scene.endpoint, request)
    assert scene.list_broken() == []


def test_altered_packet_is_seen(scene) -> None:
    """Guards against a judge that trusts what it gets."""
    altered = make_packet(packets.Flags.ACKNOWLEDGE, authentic=False)
    scene.judge.note_packet(scene.endpoint, altered, SENDER)
    assert scene.list_broken() == [promises.Promise.WHOLE_PACKETS]


def test_other_service_is_seen(scene) -> None:
    """Guards against reused addresses that take alien requests."""
    scene.open(FakeEndpoint(service="mesh"))
    assert scene.list_broken() == [promises.Promise.OWN_SERVICE]


def test_second_run_is_seen_unless_it_may_be_repeated(scene) -> None:
    """Guards against requests that run twice."""
    idempotent = {
        "id": "a-1",
        "kind": callers.RequestKind.IDEMPOTENT.value,
    }
    for _ in range(2):
        scene.judge.note_run(scene.endpoint, idempotent)
    assert scene.list_broken() == []
    for _ in range(2):
        scene.judge.note_run(
            scene.endpoint, {"id": "a-2", "kind": LOAD.kind.value}
        )
    assert scene.list_broken() == [promises.Promise.RUN_ONCE]


@pytest.mark.parametrize(
    ("promise", "bound_s"),
    [
        (promises.Promise.DRAINED, const.DRAIN_S),
        (promises.Promise.DOMAIN_EMPTY, const.EVACUATION_S),
        (promises.Promise.CONFIGURATION, const.CONFIGURATION_S),
    ],
)
def test_bound_in_time_is_judged_for_whole_balancers(
    scene, promise, bound_s
) -> None:
    """Guards against late flows, and against blame for faults."""
    history = scene.history
    times, key = {
        promises.Promise.DRAINED: (history.draining_since, "i-1"),
        promises.Promise.DOMAIN_EMPTY: (history.domain_out_since, "a"),
        promises.Promise.CONFIGURATION: (history.route_removed_at, ROUTE),
    }[promise]
    times[key] = scene.now
    scene.now += bound_s - 0.1
    scene.open()
    assert scene.list_broken() == []
    scene.now += 0.2
    harm = history.begin_harm(histories.Subject.BALANCER, SENDER)
    history.end_harm(harm)
    scene.open()
    assert scene.list_broken() == []
    scene.now += const.TOUCH_S
    scene.open()
    assert scene.list_broken() == [promise]


def test_warmup_counts_flows_of_one_second(scene) -> None:
    """Guards against cold endpoints that get more than they bear."""
    scene.history.cold_until["i-1"] = scene.now + 10
    bound = int(
        const.WARMUP_PER_S * const.WARMUP_TOLERANCE + const.WARMUP_SLACK
    )
    for port in range(bound):
        scene.open(port=port)
        # A copy of an opening packet is no further flow.
        scene.open(port=port)
    assert scene.list_broken() == []
    scene.now += 0.5
    scene.open(port=bound)
    assert scene.list_broken() == [promises.Promise.WARMUP]


def test_reset_of_a_kept_flow_is_seen(scene) -> None:
    """Guards against flows that a balancer ends."""
    flow = callers.Flow(key=FLOW, sequence=1)
    scene.judge.note_opened(scene.endpoint, FLOW)
    scene.judge.note_reset(flow, SENDER)
    assert scene.list_broken() == [promises.Promise.FLOW_KEPT]


def test_reset_of_a_lost_flow_is_allowed(scene) -> None:
    """Guards against blame for telling callers of a dead endpoint."""
    flow = callers.Flow(key=FLOW, sequence=1)
    scene.judge.note_opened(scene.endpoint, FLOW)
    scene.endpoint.state = endpoints.EndpointState.DARK
    scene.judge.note_reset(flow, SENDER)
    assert scene.list_broken() == []


def test_three_stray_packets_are_seen(scene) -> None:
    """Guards against flows that continue at another endpoint."""
    scene.judge.note_opened(scene.endpoint, FLOW)
    stray = make_packet(packets.Flags.ACKNOWLEDGE)
    other = FakeEndpoint(id="i-2")
    for _ in range(2):
        scene.judge.note_packet(other, stray, SENDER)
    # One that arrives where it belongs ends the count.
    scene.judge.note_packet(scene.endpoint, stray, SENDER)
    for _ in range(2):
        scene.judge.note_packet(other, stray, SENDER)
    assert scene.list_broken() == []
    scene.judge.note_packet(other, stray, SENDER)
    assert scene.list_broken() == [promises.Promise.FLOW_KEPT]


def make_outcome(scene, end: callers.AttemptEnd) -> callers.Outcome:
    return callers.Outcome(
        load=LOAD,
        domain="a",
        begun_at=scene.now,
        ended_at=scene.now,
        ends=[end],
    )


def test_unserved_request_in_calm_is_seen(scene) -> None:
    """Guards against a system that does not recover."""
    scene.judge.note_outcome(make_outcome(scene, callers.AttemptEnd.ANSWERED))
    scene.judge.judge_calm(scene.now, scene.now + 1)
    assert scene.list_broken() == []
    scene.judge.note_outcome(make_outcome(scene, callers.AttemptEnd.TIMED_OUT))
    scene.judge.judge_calm(scene.now, scene.now + 1)
    assert scene.list_broken() == [promises.Promise.RECOVERS]


def test_run_without_requests_is_no_success(scene) -> None:
    """Guards against a run that judges nothing."""
    scene.judge.judge_calm(scene.now, scene.now + 1)
    assert scene.list_broken() == [promises.Promise.RECOVERS]
