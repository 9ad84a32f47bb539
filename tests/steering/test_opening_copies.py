"""Tests for opening packets that waited, and for copies of them."""

from chivedoor import ids
from chivedoor.steering import segment as segments
from chivedoor.steering import verdicts
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
