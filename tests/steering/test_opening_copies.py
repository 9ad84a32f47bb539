"""Tests for opening packets that waited, and for copies of them."""

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import segment as segments
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest

FLOW = conftest.make_flow(1)


def test_copies_that_waited_together_go_to_one_endpoint(make_steerer) -> None:
    """Guards against two endpoints that answer one handshake.

    Copies that were sent 200 ms apart are handled together after a short
    pause. The first endpoint has not had any time to answer.
    """
    steerer = make_steerer(*(conftest.make_endpoint(n) for n in (1, 2, 3)))
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    again = steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.0)
    assert again.endpoint is first.endpoint
    assert not steerer.suspicions.is_suspect(first.endpoint.id, 1.0)


def test_copy_of_a_delivered_opening_packet_is_not_refused(
    make_steerer,
) -> None:
    """Guards against resets of flows that have opened meanwhile.

    The answer to the first copy may be on its way when the second one finds no
    endpoint: a cold one takes one flow at a time.
    """
    endpoint = conftest.make_endpoint(1, cold_until=9.0)
    steerer = make_steerer(endpoint)
    steerer.warmup_budget.set_members([ids.VmId("vm-1")], 0.0)
    steerer.view.apply(conftest.make_configuration(2, warmup_per_s=2.0), 0.0)
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    assert isinstance(first, verdicts.Deliver)
    again = steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.2)
    assert not isinstance(again, verdicts.Refuse)


def make_cold_steerer(make_steerer, *endpoints):
    """Returns a steerer whose endpoints take two flows a second."""
    steerer = make_steerer(*endpoints)
    steerer.warmup_budget.set_members([ids.VmId("vm-1")], 0.0)
    steerer.view.apply(conftest.make_configuration(2, warmup_per_s=2.0), 0.0)
    return steerer


def test_copy_goes_to_the_endpoint_of_the_first_packet(make_steerer) -> None:
    """Guards against handshakes that fail because one datagram was lost.

    No endpoint may take a further flow, but the one of the first copy may
    never have seen it.
    """
    steerer = make_cold_steerer(
        make_steerer, conftest.make_endpoint(1, cold_until=9.0)
    )
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    for count, at_s in ((1, 1.2), (2, 1.6)):
        again = steerer.decide(
            conftest.make_opening(FLOW, retransmissions=count), at_s
        )
        assert again.endpoint is first.endpoint
        assert again.tag == first.tag


def test_copy_is_not_refused_by_a_balancer_without_the_first_packet(
    make_steerer,
) -> None:
    """Guards against resets of flows that another balancer has opened.

    The fabric can send a copy to another balancer, which may not open a flow
    to a cold endpoint itself.
    """
    steerer = make_cold_steerer(
        make_steerer, conftest.make_endpoint(1, cold_until=9.0)
    )
    steerer.decide(conftest.make_opening(conftest.make_flow(2)), 1.0)
    first = steerer.decide(conftest.make_opening(FLOW), 1.1)
    assert isinstance(first, verdicts.Refuse)
    again = steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.1)
    assert isinstance(again, verdicts.Drop)


def test_copy_is_not_sent_to_an_endpoint_that_drains_meanwhile(
    make_steerer,
) -> None:
    """Guards against resets of open flows, and late flows, on a drain."""
    steerer = make_steerer(conftest.make_endpoint(1))
    assert isinstance(
        steerer.decide(conftest.make_opening(FLOW), 1.0), verdicts.Deliver
    )
    steerer.view.apply(
        views.ListedEndpoint(endpoint=conftest.make_endpoint(1, draining=True)),
        1.1,
    )
    again = steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.2)
    assert isinstance(again, verdicts.Drop)


@pytest.mark.parametrize("draining", [False, True])
def test_slow_handshake_with_a_copy_is_no_restart(
    make_steerer, draining: bool
) -> None:
    """Guards against endpoints that stay at the cold rate for no reason.

    A host that refuses a handshake ends it, so no copy follows.
    """
    endpoint = conftest.make_endpoint(1, cold_until=9.0)
    steerer = make_cold_steerer(make_steerer, endpoint)
    steerer.decide(conftest.make_opening(FLOW), 1.0)
    steerer.view.apply(
        views.ListedEndpoint(
            endpoint=conftest.make_endpoint(
                1, cold_until=9.0, draining=draining
            )
        ),
        1.1,
    )
    steerer.decide(conftest.make_opening(FLOW, retransmissions=1), 1.2)
    steerer.check_handshakes(1.0 + const.HANDSHAKE_RETRY_TIMEOUT_S)
    assert not steerer.restarts.may_have_restarted(endpoint)


def test_copy_to_a_route_that_the_view_lacks_is_not_refused(
    make_steerer,
) -> None:
    """Guards against resets of flows on a route that was just added.

    A balancer with a newer view has delivered the first copy.
    """
    steerer = make_steerer(conftest.make_endpoint(1))
    added = segments.FlowId(b"\x00\x50" + FLOW[2:])
    verdict = steerer.decide(
        conftest.make_opening(added, retransmissions=1), 1.0
    )
    assert isinstance(verdict, verdicts.Drop)
    assert isinstance(
        steerer.decide(conftest.make_opening(added), 1.0), verdicts.Refuse
    )


def test_copy_to_a_dropped_route_is_refused(make_steerer) -> None:
    """Guards against callers that wait for a route that is gone."""
    steerer = make_steerer(conftest.make_endpoint(1))
    steerer.view.apply(conftest.make_configuration(2, routes=False), 1.0)
    verdict = steerer.decide(
        conftest.make_opening(FLOW, retransmissions=1), 1.2
    )
    assert verdict.reason is verdicts.RefusalReason.NO_ROUTE


def test_copy_that_the_handshake_overtook_leaves_the_flow_alone(
    make_steerer,
) -> None:
    """Guards against an open flow that is placed again or refused.

    The copy was delayed until after the end of the handshake. A later opening
    packet from the same port belongs to another flow.
    """
    endpoint = conftest.make_endpoint(1)
    steerer = make_steerer(endpoint, conftest.make_endpoint(2))
    first = steerer.decide(conftest.make_opening(FLOW), 1.0)
    steerer.decide(
        conftest.make_segment(FLOW, tag=first.tag, acknowledged=1), 1.21
    )
    copy = conftest.make_opening(FLOW, retransmissions=1)
    assert isinstance(steerer.decide(copy, 1.22), verdicts.Drop)
    assert steerer.flows.get(FLOW).endpoint_id == first.endpoint.id
    later = 1.0 + const.HANDSHAKE_LIFETIME_S
    assert isinstance(steerer.decide(copy, later), verdicts.Deliver)


def test_route_is_not_refused_by_the_view_from_before_a_pause(
    make_steerer,
) -> None:
    """Guards against refusals of routes that were added during a pause."""
    steerer = make_steerer(conftest.make_endpoint(1))
    steerer.pauses.observe(1.0)
    steerer.pauses.observe(5.0)
    added = segments.FlowId(b"\x00\x50" + FLOW[2:])
    verdict = steerer.decide(conftest.make_opening(added), 5.0)
    assert isinstance(verdict, verdicts.Drop)
