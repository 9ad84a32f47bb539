"""Tests for unreachable endpoints and the flows abandoned on them."""

import random

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import contacts
from chivedoor.steering import reachability
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest

ENDPOINT = ids.EndpointId("i-1")
VM = ids.VmId("vm-2")
# Flow numbers this far apart belong to callers with different addresses.
CALLER_STEP = 50_000


HANDSHAKE = reachability.RetransmissionKind.HANDSHAKE
REQUEST = reachability.RetransmissionKind.REQUEST


def record_retransmissions(
    reach: reachability.Reachability,
    kind: reachability.RetransmissionKind,
    count: int,
    now: float,
    *,
    endpoint_id: ids.EndpointId = ENDPOINT,
) -> None:
    """Records retransmissions of several callers."""
    first = 0 if kind is HANDSHAKE else 100
    for number in range(first, first + count):
        flow = conftest.make_flow(number * CALLER_STEP)
        reach.record_retransmission(kind, endpoint_id, flow, now)


def test_handshake_and_stalled_requests_mark_endpoint_unreachable() -> None:
    """Guards against callers that wait until the entry is removed."""
    reach = reachability.Reachability()
    record_retransmissions(reach, REQUEST, const.UNREACHABLE_MIN_FLOWS - 1, 1.0)
    assert not reach.detect_unreachable(ENDPOINT, 1.0)
    record_retransmissions(reach, HANDSHAKE, 1, 1.1)
    assert reach.detect_unreachable(ENDPOINT, 1.1)
    assert not reach.detect_unreachable(ENDPOINT, 1.1)
    assert reach.is_unreachable(ENDPOINT, 1.0 + const.UNREACHABLE_DURATION_S)
    assert not reach.is_unreachable(
        ENDPOINT, 1.2 + const.UNREACHABLE_DURATION_S
    )


def test_stalled_requests_alone_do_not_mark_endpoint_unreachable() -> None:
    """Guards against slow replies that are mistaken for a failure."""
    reach = reachability.Reachability()
    record_retransmissions(reach, REQUEST, 50, 1.0)
    assert not reach.detect_unreachable(ENDPOINT, 1.0)


def test_stalled_requests_are_ignored_in_large_domain() -> None:
    """Guards against slow replies that add up over many balancers."""
    reach = reachability.Reachability()
    reach.set_large_domain(large=True)
    record_retransmissions(reach, REQUEST, 50, 1.0)
    record_retransmissions(
        reach, HANDSHAKE, const.UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN - 1, 1.0
    )
    assert not reach.detect_unreachable(ENDPOINT, 1.0)
    record_retransmissions(
        reach, HANDSHAKE, const.UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN, 1.0
    )
    assert reach.detect_unreachable(ENDPOINT, 1.0)


def test_single_caller_does_not_mark_endpoint_unreachable() -> None:
    """Guards against a cut-off caller that makes all endpoints unreachable."""
    reach = reachability.Reachability()
    for port in range(20):
        flow = conftest.make_flow(port)
        reach.record_retransmission(HANDSHAKE, ENDPOINT, flow, 1.0)
        reach.record_retransmission(REQUEST, ENDPOINT, flow, 1.0)
    assert not reach.detect_unreachable(ENDPOINT, 1.0)


def test_progress_clears_unreachable_state_and_retransmissions() -> None:
    """Guards against a live endpoint that stays marked as unreachable."""
    reach = reachability.Reachability()
    record_retransmissions(reach, HANDSHAKE, const.UNREACHABLE_MIN_FLOWS, 1.0)
    assert reach.detect_unreachable(ENDPOINT, 1.0)
    reach.record_progress(ENDPOINT, 1.1)
    assert not reach.is_unreachable(ENDPOINT, 1.1)
    assert not reach.detect_unreachable(ENDPOINT, 1.2 + const.NO_PROGRESS_S)


def test_local_progress_overrides_peer_reports() -> None:
    """Guards against reports of cut-off balancers about live endpoints."""
    reach = reachability.Reachability()
    reach.record_progress(ENDPOINT, 1.0)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 9}, 1.1, summed=False)
    assert not reach.detect_unreachable(ENDPOINT, 1.1)
    assert reach.detect_unreachable(ENDPOINT, 1.0 + const.NO_PROGRESS_S)


def test_retransmissions_reported_by_peers_count() -> None:
    """Guards against balancers that ignore what others have counted."""
    reach = reachability.Reachability()
    record_retransmissions(reach, REQUEST, 1, 1.0)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 1}, 1.0, summed=False)
    reach.record_report(
        VM,
        REQUEST,
        {ENDPOINT: const.UNREACHABLE_MIN_FLOWS - 2},
        1.0,
        summed=False,
    )
    assert reach.detect_unreachable(ENDPOINT, 1.0)


def test_domain_sum_is_not_added_to_local_counts() -> None:
    """Guards against handshakes that are counted twice."""
    reach = reachability.Reachability()
    record_retransmissions(reach, HANDSHAKE, 2, 1.0)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 2}, 1.0, summed=True)
    assert reach.count(HANDSHAKE, ENDPOINT, 1.0) == 2
    assert reach.list_counts(HANDSHAKE, 1.0, summed=True) == {ENDPOINT: 2}


def test_summed_counts_include_peer_reports() -> None:
    """Guards against counts that a reader candidate does not pass on."""
    reach = reachability.Reachability()
    record_retransmissions(reach, HANDSHAKE, 1, 1.0)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 2}, 1.0, summed=False)
    assert reach.list_counts(HANDSHAKE, 1.0, summed=True) == {ENDPOINT: 3}
    assert reach.list_counts(HANDSHAKE, 1.0, summed=False) == {ENDPOINT: 1}


def test_retransmissions_expire() -> None:
    """Guards against packet loss that accumulates over minutes."""
    reach = reachability.Reachability()
    record_retransmissions(reach, HANDSHAKE, const.UNREACHABLE_MIN_FLOWS, 1.0)
    late = 1.1 + const.RETRANSMISSION_LIFETIME_S
    assert not reach.detect_unreachable(ENDPOINT, late)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 9}, 1.0, summed=False)
    reach.expire(1.1 + const.REPORTED_SUSPICION_LIFETIME_S)
    assert not reach.detect_unreachable(ENDPOINT, late)


@pytest.mark.parametrize("seed", range(5))
def test_packet_loss_does_not_mark_endpoint_unreachable(seed: int) -> None:
    """Guards against resets of live flows on lossy links.

    Simulates ten minutes of an endpoint with ten handshakes per second. One in
    twenty stays unanswered, since either of its packets can be lost. All
    requests take longer than 200 ms.
    """
    generator = random.Random(seed)
    reach = reachability.Reachability()
    for number in range(6_000):
        now = number * 0.1
        flow = conftest.make_flow(number * CALLER_STEP % 10**7)
        if generator.random() < 0.05:
            reach.record_retransmission(HANDSHAKE, ENDPOINT, flow, now)
        else:
            reach.record_progress(ENDPOINT, now)
        reach.record_retransmission(REQUEST, ENDPOINT, flow, now)
        assert not reach.detect_unreachable(ENDPOINT, now)


@pytest.mark.parametrize("seed", range(5))
def test_packet_loss_does_not_mark_endpoint_unreachable_in_large_domain(
    seed: int,
) -> None:
    """Guards against resets of live flows in a large domain.

    The same load passes through 39 balancers: the sum covers what all of them
    saw in the last 1.5 s, and this balancer sees no progress.
    """
    generator = random.Random(seed)
    reach = reachability.Reachability()
    reach.set_large_domain(large=True)
    lost: list[float] = []
    for number in range(6_000):
        now = number * 0.1
        if generator.random() < 0.05:
            lost.append(now)
        count = sum(at >= now - const.RETRANSMISSION_LIFETIME_S for at in lost)
        reach.record_report(VM, HANDSHAKE, {ENDPOINT: count}, now, summed=True)
        assert not reach.detect_unreachable(ENDPOINT, now)


def test_stalled_endpoint_gets_one_probe(make_steerer) -> None:
    """Guards against a failed endpoint that never gets a handshake.

    Placement avoids endpoints with stalled requests. In the macoustic-lb day
    load (second 23), one of two endpoints that stopped answering got no
    handshake.
    """
    dead, live = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(dead, live)
    for number in range(const.UNREACHABLE_MIN_FLOWS):
        flow = conftest.make_flow(number * CALLER_STEP)
        data = conftest.make_segment(
            flow,
            tag=conftest.make_tag(dead, flow),
            acknowledged=1,
            payload_bytes=50,
        )
        steerer.decide(data, 10.0)
        steerer.decide(data, 10.2)
    placed = [
        steerer.decide(
            conftest.make_opening(conftest.make_flow(1000 + number)), 10.3
        ).endpoint
        for number in range(3)
    ]
    assert placed == [dead, live, live]


def test_slow_endpoint_gets_no_probe(make_steerer) -> None:
    """Guards against probes of endpoints that are only slow."""
    busy, live = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(busy, live)
    for number in range(8):
        flow = conftest.make_flow(number * CALLER_STEP)
        data = conftest.make_segment(
            flow,
            tag=conftest.make_tag(busy, flow),
            acknowledged=1,
            payload_bytes=50,
        )
        steerer.decide(data, 10.0)
        steerer.decide(data, 10.2)
    steerer.decide(
        conftest.make_segment(
            conftest.make_flow(0),
            tag=conftest.make_tag(busy, conftest.make_flow(0)),
            acknowledged=500,
        ),
        10.25,
    )
    opening = conftest.make_opening(conftest.make_flow(1000))
    assert steerer.decide(opening, 10.3).endpoint is live


class Scenario:
    """A service whose first endpoint can stop answering at 10 s."""

    def __init__(self, steerer: steerers.Steerer, dead, live) -> None:
        self.steerer = steerer
        self.dead = dead
        self.live = live

    def open_flows(self, *, answers: bool) -> None:
        """Opens flows for 0.5 s; `answers` makes the first endpoint answer."""
        for number in range(25):
            now = 10.0 + number * 0.02
            flow = conftest.make_flow(number * CALLER_STEP)
            verdict = self.steerer.decide(conftest.make_opening(flow), now)
            answered = answers or verdict.endpoint is self.live
            if answered:
                tag = conftest.make_tag(verdict.endpoint, flow)
                self.steerer.decide(
                    conftest.make_segment(
                        flow, tag=tag, acknowledged=1, payload_bytes=50
                    ),
                    now + 0.002,
                )
        if not answers:
            self._retransmit_openings()

    def check_contact(self, result: contacts.Contact, at_s: float) -> None:
        """Ends the check of the first endpoint, which must be requested."""
        assert self.steerer.pop_contact_checks() == [self.dead]
        self.steerer.record_contact(self.dead, result, at_s)

    def _retransmit_openings(self) -> None:
        for number in range(25):
            flow = conftest.make_flow(number * CALLER_STEP)
            record = self.steerer.flows.get(flow)
            if record is None or record.endpoint_id != self.dead.id:
                continue
            again = conftest.make_opening(flow, retransmissions=1)
            self.steerer.decide(again, 10.7)

    def send_data(self, at_s: float) -> verdicts.Verdict:
        """Sends a request on a flow that was opened long before."""
        flow = conftest.make_flow(49_999)
        return self.steerer.decide(
            conftest.make_segment(
                flow,
                tag=conftest.make_tag(self.dead, flow),
                acknowledged=1,
                payload_bytes=50,
                sequence=100,
            ),
            at_s,
        )


@pytest.fixture
def scenario(make_steerer):
    dead, live = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(dead, live)
    steerer.view.apply(conftest.make_configuration(2, idempotent=True), 0.0)
    return Scenario(steerer, dead, live)


def test_retransmitted_request_to_unreachable_endpoint_is_reset(
    scenario,
) -> None:
    """Guards against callers that wait until their request times out.

    In the macoustic-lb day load (from second 22), 61 of 744 requests of two
    seconds failed after two endpoints had stopped answering.
    """
    assert isinstance(scenario.send_data(10.05), verdicts.Deliver)
    scenario.open_flows(answers=False)
    assert isinstance(scenario.send_data(10.75), verdicts.Deliver)
    scenario.check_contact(contacts.Contact.SILENT, 11.1)
    verdict = scenario.send_data(11.5)
    assert verdict.reason is verdicts.RefusalReason.ENDPOINT_UNREACHABLE


def test_stalled_requests_are_abandoned_when_endpoint_becomes_unreachable(
    scenario,
) -> None:
    """Guards against requests that wait for their next retransmission.

    The intervals between retransmissions grow, so the next one may be due
    after the request has timed out.
    """
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    assert scenario.steerer.pop_abandoned_flows(10.75) == []
    scenario.check_contact(contacts.Contact.SILENT, 11.1)
    abandoned = scenario.steerer.pop_abandoned_flows(11.1)
    assert [flow_id for flow_id, _ in abandoned] == [conftest.make_flow(49_999)]
    assert scenario.steerer.pop_abandoned_flows(11.1) == []


@pytest.mark.parametrize(
    "result", [contacts.Contact.ANSWERED, contacts.Contact.FAILED]
)
def test_full_endpoint_keeps_its_flows(
    scenario, result: contacts.Contact
) -> None:
    """Guards against resets of flows whose endpoint works on their requests.

    An endpoint that holds as many flows as it can leaves handshakes unanswered,
    and all its requests can be slow at the same time. Its host answers, or
    cannot be checked, which proves nothing (review/1).
    """
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    scenario.check_contact(result, 10.8)
    assert scenario.steerer.pop_abandoned_flows(10.8) == []
    for at_s in (10.85, 11.5, 13.1):
        assert isinstance(scenario.send_data(at_s), verdicts.Deliver)
        assert scenario.steerer.pop_abandoned_flows(at_s) == []


def test_silent_endpoint_is_checked_again_after_an_answer(scenario) -> None:
    """Guards against callers of an endpoint that fails after it was full."""
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    scenario.check_contact(contacts.Contact.ANSWERED, 10.75)
    later = 10.8 + const.CONTACT_CHECK_INTERVAL_S
    record_retransmissions(
        scenario.steerer.reachability,
        HANDSHAKE,
        const.UNREACHABLE_MIN_FLOWS,
        later,
        endpoint_id=scenario.dead.id,
    )
    scenario.send_data(later)
    scenario.check_contact(contacts.Contact.SILENT, later + 0.4)
    assert scenario.steerer.pop_abandoned_flows(later + 0.4)


def test_check_of_an_endpoint_that_is_gone_is_finished(scenario) -> None:
    """Guards against a limit of checks that fills up with ended endpoints.

    The view forgets the endpoint between the request and the start of its
    check. The endpoint is checked again when it comes back.
    """
    steerer, dead = scenario.steerer, scenario.dead
    steerer.contacts.request(dead.id, 10.0)
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=dead.id), 10.0)
    steerer.view.expire_removed(10.1 + const.REMOVED_ENDPOINT_RETENTION_S)
    assert steerer.pop_contact_checks() == []
    steerer.view.apply(views.ListedEndpoint(endpoint=dead), 200.0)
    steerer.contacts.request(dead.id, 200.0)
    assert steerer.pop_contact_checks() == [dead]


def test_result_is_ignored_after_progress(scenario) -> None:
    """Guards against resets of flows of an endpoint that was cut off briefly.

    A reply arrives while the check is under way.
    """
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    scenario.steerer.reachability.record_progress(scenario.dead.id, 10.9)
    scenario.check_contact(contacts.Contact.SILENT, 11.1)
    assert scenario.steerer.pop_abandoned_flows(11.1) == []


def test_result_of_a_former_address_is_ignored(scenario) -> None:
    """Guards against resets of flows of an endpoint that has moved."""
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    moved = conftest.make_endpoint(1)
    moved.address = ("10.0.0.2", 8000)
    scenario.steerer.view.apply(views.ListedEndpoint(endpoint=moved), 10.8)
    assert scenario.steerer.pop_contact_checks() == [moved]
    scenario.steerer.record_contact(
        scenario.dead, contacts.Contact.SILENT, 11.1
    )
    assert scenario.steerer.pop_abandoned_flows(11.1) == []


def test_first_transmission_of_request_is_always_delivered(scenario) -> None:
    """Guards against resets of new requests after a wrong detection.

    A wrong detection then costs a caller at most one retry.
    """
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    scenario.check_contact(contacts.Contact.SILENT, 10.75)
    new = conftest.make_flow(49_998)
    verdict = scenario.steerer.decide(
        conftest.make_segment(
            new,
            tag=conftest.make_tag(scenario.dead, new),
            acknowledged=1,
            payload_bytes=50,
        ),
        10.8,
    )
    assert isinstance(verdict, verdicts.Deliver)


def test_non_idempotent_request_is_not_abandoned(scenario) -> None:
    """Guards against failed requests that their endpoint still executes."""
    scenario.steerer.view.apply(
        conftest.make_configuration(3, idempotent=False), 0.0
    )
    scenario.send_data(10.05)
    scenario.send_data(10.25)
    scenario.open_flows(answers=False)
    assert scenario.steerer.pop_contact_checks() == []
    scenario.steerer.record_contact(
        scenario.dead, contacts.Contact.SILENT, 10.7
    )
    assert scenario.steerer.pop_abandoned_flows(10.7) == []
    assert isinstance(scenario.send_data(10.75), verdicts.Deliver)


def test_slow_endpoint_keeps_its_requests(scenario) -> None:
    """Guards against slow replies that are mistaken for a failure."""
    scenario.send_data(10.05)
    scenario.open_flows(answers=True)
    for at_s in (10.75, 11.5, 13.1):
        assert isinstance(scenario.send_data(at_s), verdicts.Deliver)
        assert scenario.steerer.pop_contact_checks() == []


def test_copies_queued_during_pause_are_not_counted(scenario) -> None:
    """Guards against resets by a balancer that resumes after a pause.

    Its socket buffer holds several copies of each handshake.
    """
    scenario.send_data(10.05)
    for number in range(25):
        flow = conftest.make_flow(number * CALLER_STEP)
        for retransmissions in range(3):
            opening = conftest.make_opening(
                flow, retransmissions=retransmissions
            )
            scenario.steerer.decide(opening, 14.0)
    assert isinstance(scenario.send_data(14.05), verdicts.Deliver)
    assert scenario.steerer.pop_contact_checks() == []


def test_sums_of_successive_candidates_are_not_added() -> None:
    """Guards against handshakes that are counted once for each candidate.

    When the first candidate restarts, the next one reports the same
    handshakes before the former report has expired.
    """
    reach = reachability.Reachability()
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 3}, 1.0, summed=True)
    successor = ids.VmId("vm-3")
    reach.record_report(successor, HANDSHAKE, {ENDPOINT: 3}, 1.5, summed=True)
    assert reach.count(HANDSHAKE, ENDPOINT, 1.5) == 3


def test_started_balancer_does_not_act_on_reports_alone(make_steerer) -> None:
    """Guards against resets of live flows by a balancer that just started.

    It has not seen any packet of the endpoint, so it cannot know that none of
    its flows makes progress. The reply to the first request is only slow.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint, conftest.make_endpoint(2))
    steerer.view.apply(conftest.make_configuration(2, idempotent=True), 0.0)
    steerer.reachability.set_large_domain(large=True)
    steerer.reachability.record_report(
        VM,
        HANDSHAKE,
        {endpoint.id: const.UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN},
        1.0,
        summed=True,
    )
    data = conftest.make_segment(
        conftest.make_flow(1),
        tag=conftest.make_tag(endpoint, conftest.make_flow(1)),
        acknowledged=1,
        payload_bytes=50,
        sequence=100,
    )
    steerer.decide(data, 1.1)
    assert isinstance(steerer.decide(data, 1.3), verdicts.Deliver)
    assert steerer.pop_contact_checks() == []


def test_replies_through_other_balancers_show_that_an_endpoint_lives() -> None:
    """Guards against resets of flows on an endpoint behind full links.

    Opening packets through some balancers wait for longer than 200 ms. In a
    large domain, a balancer itself seldom sees a reply of the endpoint.
    """
    reach = reachability.Reachability()
    reach.set_large_domain(large=True)
    enough = const.UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN
    for now in (1.0, 2.0, 3.0):
        reach.record_report(VM, HANDSHAKE, {ENDPOINT: enough}, now, summed=True)
    reach.record_reported_progress(ENDPOINT, 3.0)
    assert not reach.detect_unreachable(ENDPOINT, 3.1)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: enough}, 4.0, summed=True)
    assert reach.detect_unreachable(ENDPOINT, 4.1)


def test_balancer_of_a_small_domain_relies_on_what_it_sees() -> None:
    """Guards against requests that wait behind a cut of one balancer.

    The others reach the endpoint, and their callers get replies.
    """
    reach = reachability.Reachability()
    enough = const.UNREACHABLE_MIN_FLOWS
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: enough}, 1.0, summed=False)
    reach.record_reported_progress(ENDPOINT, 1.0)
    assert reach.detect_unreachable(ENDPOINT, 1.1)


def test_sums_leave_out_endpoints_with_progress() -> None:
    """Guards against resets by balancers that do not hear of the progress."""
    reach = reachability.Reachability()
    reach.set_large_domain(large=True)
    reach.record_report(VM, HANDSHAKE, {ENDPOINT: 9}, 1.0, summed=False)
    reach.record_reported_progress(ENDPOINT, 1.0)
    assert reach.list_counts(HANDSHAKE, 1.1, summed=True) == {}
    later = 1.0 + const.NO_PROGRESS_S
    assert reach.list_counts(HANDSHAKE, later, summed=True) == {ENDPOINT: 9}
