"""Tests for endpoints that hold as many flows as they can."""

import collections
import heapq
import itertools
import random

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import contacts
from chivedoor.steering import reachability
from chivedoor.steering import segment as segments
from chivedoor.steering import verdicts
from tests.steering import conftest

# Flow numbers this far apart belong to callers with different addresses.
CALLER_STEP = 50_000
HANDSHAKE = reachability.RetransmissionKind.HANDSHAKE


class Service:
    """A service of a steerer, and what happens to its flows."""

    def __init__(self, steerer, endpoints, *, max_flows: int = 80) -> None:
        self.steerer = steerer
        self.endpoints = endpoints
        steerer.view.apply(
            conftest.make_configuration(2, max_flows=max_flows), 0.0
        )
        self.numbers = itertools.count(1)

    def open(self, at_s: float, number: int | None = None):
        """Sends the opening packet of a new caller; returns the verdict."""
        number = next(self.numbers) if number is None else number
        return self.steerer.decide(
            conftest.make_opening(conftest.make_flow(number * CALLER_STEP)),
            at_s,
        )

    def leave_unanswered(self, at_s: float, *, step: int = CALLER_STEP) -> None:
        """Leaves two handshakes with each endpoint without an answer."""
        for endpoint in self.endpoints:
            for _ in range(2):
                flow = conftest.make_flow(next(self.numbers) * step)
                self.steerer.flows.open_flow(flow, endpoint.id, at_s)
                again = conftest.make_opening(flow, retransmissions=1)
                verdict = self.steerer.decide(again, at_s + 0.2)
                assert isinstance(verdict, verdicts.Deliver)
                self.steerer.flows.close_flow(flow)

    def send(self, endpoint, at_s: float, *, number: int = 0, **fields):
        """Sends a packet of an established flow of an endpoint."""
        flow = conftest.make_flow(number * CALLER_STEP)
        tag = conftest.make_tag(endpoint, flow)
        segment = conftest.make_segment(flow, tag=tag, **fields)
        return self.steerer.decide(segment, at_s)

    def make_progress(self, at_s: float) -> None:
        """Lets an open flow of each endpoint get a reply."""
        for number, endpoint in enumerate(self.endpoints):
            number += 900_000
            for acknowledged in (1, int(at_s * 1000)):
                self.send(
                    endpoint, at_s, number=number, acknowledged=acknowledged
                )

    def fill(self, at_s: float) -> None:
        """Makes all endpoints full; the callers know it 0.3 s later."""
        self.leave_unanswered(at_s)
        self.make_progress(at_s + 0.3)

    def check(self, result: contacts.Contact, at_s: float) -> int:
        """Finishes the requested checks; returns their number."""
        checked = self.steerer.pop_contact_checks()
        for endpoint in checked:
            self.steerer.record_contact(endpoint, result, at_s)
        return len(checked)

    def is_refused(self, at_s: float) -> bool:
        """Returns whether one of two new flows is refused as full.

        The first one may be a probe.
        """
        opened = [self.open(at_s) for _ in range(2)]
        return any(
            isinstance(verdict, verdicts.Refuse)
            and verdict.reason is verdicts.RefusalReason.FULL
            for verdict in opened
        )


@pytest.fixture
def service(make_steerer):
    endpoints = [conftest.make_endpoint(n) for n in (1, 2)]
    return Service(make_steerer(*endpoints), endpoints)


def test_flows_are_refused_when_all_endpoints_are_full(service) -> None:
    """Guards against callers that wait until the end of their attempt.

    One flow a second is placed, so that free places are found.
    """
    service.fill(1.0)
    opened = [service.open(1.4 + number * 0.01) for number in range(130)]
    placed = [v for v in opened if isinstance(v, verdicts.Deliver)]
    refused = [v for v in opened if isinstance(v, verdicts.Refuse)]
    assert len(placed) == 2
    assert {v.reason for v in refused} == {verdicts.RefusalReason.FULL}


def test_probes_of_one_service_leave_those_of_another(make_steerer) -> None:
    """Guards against full services that use up each other's probes."""
    other = ids.ServiceId("other")
    endpoints = [
        conftest.make_endpoint(1),
        conftest.make_endpoint(2, service=other),
    ]
    service = Service(make_steerer(*endpoints), endpoints)
    service.fill(1.0)
    for endpoint in endpoints:
        for expected in ([endpoint], ()):
            selected = service.steerer.full_endpoints.select([endpoint], 1.4)
            assert selected == expected


def test_copies_are_never_refused(service) -> None:
    """Guards against resets of flows that another balancer has opened."""
    service.fill(1.0)
    assert service.is_refused(1.4)
    for number in range(20):
        again = conftest.make_opening(
            conftest.make_flow((500 + number) * CALLER_STEP), retransmissions=1
        )
        verdict = service.steerer.decide(again, 1.4)
        assert not isinstance(verdict, verdicts.Refuse)


def test_service_without_limit_of_flows_is_never_full(service) -> None:
    """Guards against refusals where the configuration names no limit."""
    service.steerer.view.apply(conftest.make_configuration(3), 0.0)
    service.fill(1.0)
    assert not service.is_refused(1.4)


def test_flows_go_on_while_one_endpoint_is_not_full(service) -> None:
    """Guards against refusals while there is capacity."""
    both = service.endpoints
    service.endpoints = both[:1]
    service.fill(1.0)
    assert service.steerer.full_endpoints.is_full(both[0].id, 1.4)
    assert not service.is_refused(1.4)


def test_slow_endpoints_are_not_full(service) -> None:
    """Guards against refusals while endpoints only work on long requests.

    They answer handshakes, some of them late: behind a full link, a copy was
    sent already and went to the other endpoint.
    """
    service.make_progress(1.0)
    for number in range(1, 40):
        at_s = 1.0 + number * 0.05
        first = service.open(at_s, number)
        assert isinstance(first, verdicts.Deliver)
        flow = conftest.make_flow(number * CALLER_STEP)
        if number % 2:
            again = conftest.make_opening(flow, retransmissions=1)
            service.steerer.decide(again, at_s + 0.2)
        for repeated_s in (0.21, 0.41, 0.81):
            service.send(
                first.endpoint,
                at_s + repeated_s,
                number=number,
                acknowledged=1,
                payload_bytes=50,
                sequence=100,
            )
    assert not service.is_refused(3.0)
    assert not service.check(contacts.Contact.ANSWERED, 3.0)


@pytest.mark.parametrize("progress_s", [None, 1.0, 1.15])
def test_unreachable_endpoints_are_not_full(service, progress_s) -> None:
    """Guards against refusals by a balancer that was cut off briefly.

    Replies from before the cut are no sign of life after it.
    """
    if progress_s is not None:
        service.make_progress(progress_s)
    service.leave_unanswered(1.0)
    assert not service.is_refused(1.3)
    service.leave_unanswered(1.5)
    assert not service.is_refused(1.8)


@pytest.mark.parametrize("full_before", [False, True])
def test_endpoints_with_a_silent_host_are_not_full(
    service, full_before: bool
) -> None:
    """Guards against refusals because of hosts that are gone.

    A full endpoint can fail as well; its last sign of life is outdated then.
    """
    if full_before:
        service.fill(1.0)
        assert service.is_refused(1.4)
    service.leave_unanswered(2.3)
    service.open(2.6)
    assert service.check(contacts.Contact.SILENT, 2.7) == 2
    assert not service.is_refused(2.8)
    service.leave_unanswered(3.0)
    assert not service.is_refused(3.4)


def test_endpoint_marked_unreachable_is_not_full(service) -> None:
    """Guards against two contradicting states of one endpoint."""
    service.fill(1.0)
    endpoint_id = service.endpoints[0].id
    service.steerer.reachability.record_report(
        ids.VmId("vm-2"), HANDSHAKE, {endpoint_id: 9}, 3.0, summed=False
    )
    service.leave_unanswered(2.0)
    assert service.steerer.full_endpoints.is_full(endpoint_id, 2.5)
    assert service.steerer.reachability.detect_unreachable(endpoint_id, 2.5)
    assert not service.steerer.full_endpoints.is_full(endpoint_id, 2.5)


def test_full_endpoints_with_slow_requests_are_found_by_a_check(
    service,
) -> None:
    """Guards against endpoints that look cut off while no flow progresses."""
    service.leave_unanswered(1.0)
    assert not service.is_refused(1.3)
    assert service.check(contacts.Contact.ANSWERED, 1.31) == 2
    assert service.is_refused(1.35)


def test_check_that_could_not_be_made_tells_nothing(service) -> None:
    """Guards against refusals by a balancer without a free socket."""
    service.leave_unanswered(1.0)
    assert not service.is_refused(1.3)
    assert service.check(contacts.Contact.FAILED, 1.31) == 2
    assert not service.is_refused(1.35)


def test_sign_of_life_expires(service) -> None:
    """Guards against refusals for endpoints that failed after they were full.

    Probes stay unanswered, and no check can be made.
    """
    service.fill(1.0)
    alive_at = 1.3
    service.leave_unanswered(alive_at + const.FULL_ALIVE_LIFETIME_S - 1.0)
    assert service.is_refused(alive_at + const.FULL_ALIVE_LIFETIME_S - 0.1)
    assert not service.is_refused(alive_at + const.FULL_ALIVE_LIFETIME_S)


@pytest.mark.parametrize("copied", [False, True])
def test_endpoint_that_answers_a_handshake_is_not_full(
    service, copied: bool
) -> None:
    """Guards against refusals after a place became free.

    The answer may arrive after a copy was sent to the other endpoint.
    """
    service.fill(1.0)
    probe = service.open(1.4, 700)
    assert isinstance(probe, verdicts.Deliver)
    assert isinstance(service.open(1.4), verdicts.Refuse)
    if copied:
        again = conftest.make_opening(
            conftest.make_flow(700 * CALLER_STEP), retransmissions=1
        )
        assert service.steerer.decide(again, 1.6).endpoint != probe.endpoint
        assert isinstance(service.open(1.6), verdicts.Refuse)
    service.send(probe.endpoint, 1.61, number=700, acknowledged=1)
    assert not service.is_refused(1.61)


def test_handshake_from_before_an_answer_tells_nothing(service) -> None:
    """Guards against lost packets that add up while others are answered."""
    for endpoint in service.endpoints:
        service.steerer.full_endpoints.record_answered(endpoint.id, 1.1)
    service.fill(1.0)
    assert not service.is_refused(1.4)


def test_endpoint_is_tried_again_without_new_evidence(service) -> None:
    """Guards against a service that is refused after its load has ended."""
    service.fill(1.0)
    assert service.is_refused(1.2 + const.FULL_LIFETIME_S - 0.01)
    assert not service.is_refused(1.2 + const.FULL_LIFETIME_S)
    service.steerer.expire(4.0)
    assert not service.steerer.full_endpoints._records


def test_single_caller_does_not_fill_endpoints(service) -> None:
    """Guards against a cut-off caller that makes a service refuse all."""
    service.leave_unanswered(1.0, step=1)
    service.make_progress(1.3)
    assert not service.is_refused(1.4)


@pytest.mark.parametrize(
    ("reported", "full"),
    [
        (const.FULL_MIN_REPORTED_HANDSHAKES - 1, False),
        (const.FULL_MIN_REPORTED_HANDSHAKES, True),
    ],
)
def test_handshakes_of_other_balancers_count(
    service, reported: int, full: bool
) -> None:
    """Guards against late refusals where each balancer sees few flows.

    A single caller, which tries three balancers, is no evidence. Nor are
    reports alone: they may be older than the last answer.
    """
    counts = {endpoint.id: reported + 1 for endpoint in service.endpoints}
    service.steerer.reachability.record_report(
        ids.VmId("vm-2"), HANDSHAKE, counts, 1.0, summed=True
    )
    service.make_progress(1.1)
    assert not service.is_refused(1.15)
    for number, endpoint in enumerate(service.endpoints):
        flow = conftest.make_flow((600 + number) * CALLER_STEP)
        service.steerer.full_endpoints.record_unanswered(
            endpoint.id, flow, 1.0, 1.2
        )
    service.make_progress(1.3)
    assert service.is_refused(1.4) is full


@pytest.mark.parametrize(
    "kind", [segments.SegmentKind.FINISH, segments.SegmentKind.ABORT]
)
def test_closed_flow_makes_place_for_a_new_one(service, kind) -> None:
    """Guards against places that stay free until the next probe.

    A repeated packet makes no second place.
    """
    endpoint = service.endpoints[1]
    service.send(endpoint, 0.9, number=800, acknowledged=1)
    service.fill(1.0)
    assert service.is_refused(1.4)
    for _ in range(2):
        service.send(endpoint, 1.5, number=800, kind=kind, acknowledged=2)
    opened = [service.open(1.6) for _ in range(3)]
    placed = [v.endpoint for v in opened if isinstance(v, verdicts.Deliver)]
    assert placed == [endpoint]


def test_answer_on_a_known_place_does_not_end_the_state(service) -> None:
    """Guards against waiting callers after each closed flow.

    The place of the closed flow is taken by the answered one. The next answer
    shows a place that this balancer did not know of.
    """
    endpoint = service.endpoints[0]
    service.send(endpoint, 0.9, number=800, acknowledged=1)
    service.fill(1.0)
    assert service.is_refused(1.4)
    kind = segments.SegmentKind.FINISH
    service.send(endpoint, 1.5, number=800, kind=kind, acknowledged=2)
    assert service.open(1.6, 700).endpoint is endpoint
    service.send(endpoint, 1.61, number=700, acknowledged=1)
    assert service.is_refused(1.62)
    probe = service.open(2.5, 701)
    service.send(probe.endpoint, 2.51, number=701, acknowledged=1)
    assert not service.is_refused(2.52)


class Replay:
    """Callers of two endpoints that hold a limited number of flows.

    Handshakes take 1 ms and flows get a reply every 50 ms. Callers repeat an
    opening packet after 200 and 600 ms and give up after 1.4 s.
    """

    def __init__(self, service, *, places: int, loss: float, seed: int) -> None:
        self.service = service
        self.places = places
        self.loss = loss
        self.generator = random.Random(seed)
        self.held: collections.Counter[ids.EndpointId] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.held_s = 0.0
        self._events = []
        self._order = itertools.count()

    def run(self, *, per_s: float, flow_s: float, duration_s: float) -> None:
        """Opens flows at a rate; each lasts `flow_s` on average."""
        self.flow_s = flow_s
        for number in range(1, int(per_s * duration_s)):
            self._schedule(number / per_s, self._open, number, 0, 0.0)
        last_at = 0.0
        expiries = itertools.count(1)
        expires_at = 0.0
        while self._events:
            now, _, act, args = heapq.heappop(self._events)
            if now > duration_s:
                return
            self.held_s += (now - last_at) * self.held.total()
            last_at = now
            if now >= expires_at:
                self.service.steerer.expire(now)
                expires_at = float(next(expiries))
            act(now, *args)
            self.service.check(contacts.Contact.ANSWERED, now)

    def _schedule(self, at_s: float, act, *args) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), act, args))

    def _open(self, now, number, copies, begun_at) -> None:
        flow = conftest.make_flow(number * CALLER_STEP)
        begun_at = begun_at or now
        verdict = self.service.steerer.decide(
            conftest.make_opening(flow, retransmissions=copies), now
        )
        if isinstance(verdict, verdicts.Refuse):
            self.counts[verdict.reason.value] += 1
            return
        taken = (
            isinstance(verdict, verdicts.Deliver)
            and self.held[verdict.endpoint.id] < self.places
        )
        if taken and self.generator.random() >= self.loss:
            self.held[verdict.endpoint.id] += 1
            self.counts["late" if copies else "opened"] += 1
            self._schedule(now + 0.001, self._reply, number, verdict, 1)
        elif copies < 2:
            next_at = begun_at + (0.6 if copies else 0.2)
            self._schedule(next_at, self._open, number, copies + 1, begun_at)
        else:
            self.counts["unanswered"] += 1

    def _reply(self, now, number, verdict, acknowledged) -> None:
        ends = acknowledged > 1 and (
            self.generator.random() < 0.05 / self.flow_s
        )
        kind = segments.SegmentKind.ESTABLISHED
        if ends:
            kind = segments.SegmentKind.FINISH
            self.held[verdict.endpoint.id] -= 1
        else:
            again = (number, verdict, acknowledged + 1)
            self._schedule(now + 0.05, self._reply, *again)
        self.service.send(
            verdict.endpoint,
            now,
            number=number,
            kind=kind,
            acknowledged=acknowledged,
        )


@pytest.mark.parametrize("seed", range(3))
def test_lost_packets_do_not_fill_endpoints(service, seed: int) -> None:
    """Guards against refusals on lossy links while there is capacity.

    One handshake in ten stays unanswered.
    """
    replay = Replay(service, places=1_000, loss=0.1, seed=seed)
    replay.run(per_s=40.0, flow_s=1.0, duration_s=60.0)
    assert replay.counts["opened"] > 2_000
    assert not replay.counts["full"]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("flow_s", [3.0, 10.0, 60.0])
def test_callers_above_the_places_are_refused(
    service, flow_s: float, seed: int
) -> None:
    """Guards against callers that wait for full endpoints.

    Callers open 40 flows a second for 80 places. The places stay taken.
    """
    replay = Replay(service, places=40, loss=0.0, seed=seed)
    replay.run(per_s=40.0, flow_s=flow_s, duration_s=30.0)
    assert replay.counts["unanswered"] < 0.1 * replay.counts.total()
    assert replay.held_s > 0.9 * 80 * 30
