"""Tests for steering decisions."""

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import segment as segments
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest

FLOW = conftest.make_flow(1)


def test_established_packet_is_delivered_without_flow_record(
    make_steerer,
) -> None:
    """Guards against flows that break when another balancer takes over."""
    endpoint = conftest.make_endpoint(1)
    opened = make_steerer(endpoint, conftest.make_endpoint(2), vm="vm-1")
    tag = opened.decide(conftest.make_opening(FLOW), 1.0).tag
    other = make_steerer(endpoint, conftest.make_endpoint(2), vm="vm-2")
    verdict = other.decide(conftest.make_segment(FLOW, tag=tag), 1.1)
    expected = opened.view.find_endpoint(tag, FLOW)
    assert verdict.endpoint.id == expected.id
    assert verdict.tag is None


@pytest.mark.parametrize("cause", ["draining", "domain-out", "cold"])
def test_open_flow_stays_on_its_endpoint(make_steerer, cause: str) -> None:
    """Guards against planned changes that break open flows."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint, conftest.make_endpoint(2))
    tag = conftest.make_tag(endpoint, FLOW)
    changed = conftest.make_endpoint(
        1,
        draining=cause == "draining",
        cold_until=99.0 if cause == "cold" else 0.0,
    )
    steerer.view.apply(views.ListedEndpoint(endpoint=changed), 1.0)
    if cause == "domain-out":
        steerer.view.apply(
            views.DomainState(domain=ids.DomainId("a"), out=True), 1.0
        )
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), 2.0)
    assert verdict.endpoint is changed


def test_flow_of_a_removed_endpoint_is_reset(make_steerer) -> None:
    """Guards against callers that wait for a target that is gone."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    tag = conftest.make_tag(endpoint, FLOW)
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 1.0)
    ended_at = 1.0 + const.LAPSED_ENTRY_RETURN_S
    conftest.confirm_view(steerer, ended_at)
    assert steerer.pop_ended_endpoints(ended_at) == [endpoint]
    assert steerer.pop_ended_endpoints(ended_at) == []
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), ended_at)
    assert verdict.reason is verdicts.RefusalReason.ENDPOINT_REMOVED


@pytest.mark.parametrize(
    "confirmations",
    [
        # The reader stopped, or the store is away, since the removal.
        (1.0, 1.5),
        # The store was away and has just returned.
        (1.0, 1.5, 3.4, 4.0),
    ],
)
def test_flow_is_not_reset_by_a_view_that_was_not_followed(
    make_steerer, confirmations: tuple[float, ...]
) -> None:
    """Guards against resets because time passed without a read of the store.

    The entry of the endpoint may have returned meanwhile.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    tag = conftest.make_tag(endpoint, FLOW)
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 1.0)
    for confirmed_at in confirmations:
        steerer.confirm_view(confirmed_at)
    assert steerer.pop_ended_endpoints(4.2) == []
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), 4.2)
    assert isinstance(verdict, verdicts.Deliver)


@pytest.mark.parametrize("draining", [False, True])
def test_flow_is_not_reset_when_the_entry_of_its_endpoint_lapsed(
    make_steerer, draining: bool
) -> None:
    """Guards against resets of open flows whose endpoint lives.

    A store that loses or delays the heartbeats of endpoints removes their
    entries, though balancers read it without a gap.
    """
    endpoint = conftest.make_endpoint(1, draining=draining)
    steerer = make_steerer(endpoint)
    segment = conftest.make_segment(FLOW, tag=conftest.make_tag(endpoint, FLOW))
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 1.0)
    conftest.confirm_view(steerer, 3.0)
    assert steerer.pop_ended_endpoints(3.0) == []
    assert isinstance(steerer.decide(segment, 3.0), verdicts.Deliver)
    returned = conftest.make_endpoint(1, draining=draining)
    steerer.view.apply(views.ListedEndpoint(endpoint=returned), 3.0)
    conftest.confirm_view(steerer, 4.0, since=3.0)
    assert steerer.pop_ended_endpoints(4.0) == []
    assert isinstance(steerer.decide(segment, 4.0), verdicts.Deliver)


def test_flow_is_not_reset_while_the_view_may_be_incomplete(
    make_steerer,
) -> None:
    """Guards against resets of live flows after store entries lapsed."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    tag = conftest.make_tag(endpoint, FLOW)
    steerer.view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 1.0)
    steerer.set_view_complete_at(3.5)
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), 2.0)
    assert isinstance(verdict, verdicts.Deliver)
    steerer.set_view_complete_at(None)
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), 9.0)
    assert isinstance(verdict, verdicts.Deliver)


def test_unknown_tag_is_dropped_until_the_view_is_complete(
    make_steerer,
) -> None:
    """Guards against a new balancer that resets unknown flows."""
    steerer = make_steerer(conftest.make_endpoint(1))
    segment = conftest.make_segment(FLOW, tag=0x12345678)
    steerer.set_view_complete_at(None)
    verdict = steerer.decide(segment, 1.0)
    assert verdict.reason is verdicts.DropReason.UNKNOWN_TAG
    steerer.set_view_complete_at(1.0)
    verdict = steerer.decide(segment, 2.0)
    assert verdict.reason is verdicts.DropReason.UNKNOWN_TAG
    steerer.confirm_view(2.1)
    verdict = steerer.decide(segment, 2.2)
    assert verdict.reason is verdicts.RefusalReason.UNKNOWN_ENDPOINT


def test_flow_opened_through_another_balancer_is_not_reset_by_an_older_view(
    make_steerer,
) -> None:
    """Guards against resets of flows on endpoints that were just added.

    The routers may move a flow to a balancer that has not heard of the
    endpoint yet, though its view counts as current.
    """
    steerer = make_steerer(conftest.make_endpoint(1))
    steerer.confirm_view(9.0)
    tag = conftest.make_tag(conftest.make_endpoint(2), FLOW)
    segment = conftest.make_segment(FLOW, tag=tag, payload_bytes=10)
    verdict = steerer.decide(segment, 10.0)
    assert verdict.reason is verdicts.DropReason.UNKNOWN_TAG
    steerer.confirm_view(10.1)
    assert isinstance(steerer.decide(segment, 10.2), verdicts.Refuse)


def test_absences_are_bounded(make_steerer, monkeypatch) -> None:
    """Guards against memory taken by packets with invented tags."""
    monkeypatch.setattr(const, "MAX_ABSENCES", 1)
    steerer = make_steerer(conftest.make_endpoint(1))
    steerer.confirm_view(9.0)
    flows = [conftest.make_flow(number) for number in (1, 2)]
    for now in (10.0, 10.1):
        for flow in flows:
            steerer.decide(conftest.make_segment(flow, tag=7), now)
    steerer.confirm_view(10.2)
    verdicts_after = [
        steerer.decide(conftest.make_segment(flow, tag=7), 10.3)
        for flow in flows
    ]
    assert [type(verdict) for verdict in verdicts_after] == [
        verdicts.Refuse,
        verdicts.Drop,
    ]


def test_reset_of_a_caller_is_never_answered(make_steerer) -> None:
    """Guards against a loop of resets that are answered with resets."""
    steerer = make_steerer(conftest.make_endpoint(1))
    segment = conftest.make_segment(
        FLOW, tag=0x12345678, kind=segments.SegmentKind.ABORT
    )
    steerer.decide(segment, 1.0)
    steerer.confirm_view(1.1)
    verdict = steerer.decide(segment, 1.2)
    assert verdict.reason is verdicts.DropReason.UNANSWERED_RESET


def test_unknown_route_is_refused_by_a_current_view_only(make_steerer) -> None:
    """Guards against refusal of a route that was added recently."""
    steerer = make_steerer(conftest.make_endpoint(1))
    flow = segments.FlowId(b"\x00\x50" + FLOW[2:])
    verdict = steerer.decide(conftest.make_opening(flow), 1.0)
    assert verdict.reason is verdicts.RefusalReason.NO_ROUTE
    steerer.set_view_complete_at(None)
    verdict = steerer.decide(conftest.make_opening(flow), 1.0)
    assert verdict.reason is verdicts.DropReason.STALE_VIEW


def test_flow_on_a_removed_route_is_reset(make_steerer) -> None:
    """Guards against packets that are still delivered on a removed route."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    tag = conftest.make_tag(endpoint, FLOW)
    steerer.view.apply(conftest.make_configuration(2, routes=False), 1.0)
    verdict = steerer.decide(conftest.make_segment(FLOW, tag=tag), 2.0)
    assert verdict.reason is verdicts.RefusalReason.ROUTE_REMOVED


def test_flow_on_a_route_that_was_never_known_is_delivered(
    make_steerer,
) -> None:
    """Guards against resets of flows whose route is newer than the view.

    The balancer has just started, and the restored store that it read lacks
    the configuration with which the flow was placed.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    flow = segments.FlowId(b"\x00\x50" + FLOW[2:])
    segment = conftest.make_segment(
        flow, tag=conftest.make_tag(endpoint, flow), payload_bytes=10
    )
    for now in (1.0, 2.0, 3.0):
        steerer.confirm_view(now)
        assert isinstance(steerer.decide(segment, now), verdicts.Deliver)


def test_retransmitted_opening_goes_to_another_endpoint(make_steerer) -> None:
    """Guards against all copies of a handshake going to a failed target."""
    steerer = make_steerer(*(conftest.make_endpoint(n) for n in (1, 2, 3)))
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    again = steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.2)
    assert again.endpoint is not first.endpoint
    assert steerer.suspicions.is_suspect(first.endpoint.id, 1.2)


def test_opened_flow_clears_suspicion(make_steerer) -> None:
    """Guards against a target that stays suspected after one lost packet."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    steerer.suspicions.record_unanswered(endpoint.id, endpoint.domain, 1.0)
    tag = steerer.decide(conftest.make_opening(FLOW), 1.1).tag
    steerer.decide(conftest.make_segment(FLOW, tag=tag, acknowledged=1), 1.2)
    assert not steerer.suspicions.is_suspect(endpoint.id, 1.2)


def test_endpoint_flows_are_popped_once(make_steerer) -> None:
    """Guards against two resets of one flow."""
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint)
    steerer.decide(conftest.make_opening(FLOW), 1.0)
    assert [f for f, _ in steerer.pop_endpoint_flows(endpoint.id)] == [FLOW]
    assert list(steerer.pop_endpoint_flows(endpoint.id)) == []


@hypothesis.given(
    kind=strategies.sampled_from(segments.SegmentKind),
    tag=strategies.integers(0, 0xFFFFFFFF),
    retransmissions=strategies.integers(0, 0xFFFFFFFF),
    flow=strategies.binary(min_size=12, max_size=12),
)
def test_any_packet_gets_a_verdict(kind, tag, retransmissions, flow) -> None:
    """Guards against exceptions, and tags that lead to another service."""
    make = conftest.make_steerer.__wrapped__()
    intake = ids.ServiceId("intake")
    steerer = make(
        conftest.make_endpoint(1), conftest.make_endpoint(2, service=intake)
    )
    segment = conftest.make_segment(
        segments.FlowId(flow),
        kind=kind,
        tag=tag,
        retransmissions=retransmissions,
    )
    verdict = steerer.decide(segment, 1.0)
    if isinstance(verdict, verdicts.Deliver):
        # No route leads to the second service, only its own tag does.
        assert verdict.endpoint.service == conftest.SERVICE or (
            tag == conftest.make_tag(verdict.endpoint, flow)
        )


def test_slow_reply_does_not_cause_reset(make_steerer) -> None:
    """Guards against resets of live flows.

    Receivers acknowledge only every second packet, so a caller retransmits a
    request of one packet whenever the reply takes longer than 200 ms.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint, conftest.make_endpoint(2))
    data = conftest.make_segment(
        FLOW,
        tag=conftest.make_tag(endpoint, FLOW),
        acknowledged=1,
        payload_bytes=50,
        sequence=100,
    )
    for delay_s in (0.0, 0.2, 0.6, 1.4, 3.0):
        verdict = steerer.decide(data, 1.0 + delay_s)
        assert isinstance(verdict, verdicts.Deliver)
    assert steerer.suspicions.list_suspects(4.0) == []


def test_endpoint_that_refuses_handshakes_is_avoided(make_steerer) -> None:
    """Guards against a caller whose attempts all go to an ended process.

    The resets of its host bypass the balancer, and callers neither complete
    nor retransmit the handshake.
    """
    ended, other = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(ended, other)
    refused = 0
    for number in range(100):
        now = 1.0 + number / 50
        steerer.check_handshakes(now)
        flow = conftest.make_flow(number)
        verdict = steerer.decide(conftest.make_opening(flow), now)
        if verdict.endpoint is ended:
            refused += 1
            continue
        tag = conftest.make_tag(other, flow)
        steerer.decide(
            conftest.make_segment(flow, tag=tag, acknowledged=1), now + 0.002
        )
    # Half of the handshakes within the first 0.25 s.
    assert refused <= 8


def test_handshakes_missed_during_pause_cause_no_suspicion(
    make_steerer,
) -> None:
    """Guards against a resumed balancer that suspects all endpoints."""
    steerer = make_steerer(conftest.make_endpoint(1))
    steerer.decide(conftest.make_opening(FLOW), 1.0)
    steerer.check_handshakes(5.0)
    assert steerer.suspicions.list_suspects(5.0) == []


def test_retransmitted_handshake_is_not_counted_as_refused(
    make_steerer,
) -> None:
    """Guards against two suspected endpoints for one lost packet."""
    one, two = conftest.make_endpoint(1), conftest.make_endpoint(2)
    steerer = make_steerer(one, two)
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.2)
    steerer.check_handshakes(1.5)
    assert steerer.suspicions.list_suspects(1.5) == [first.endpoint.id]
