"""Builders of views, endpoints and segments."""

from collections.abc import Callable
import random

import pytest

from chivedoor import ids
from chivedoor.steering import segment as segments
from chivedoor.steering import steerer as steerers
from chivedoor.steering import tags
from chivedoor.steering import view as views

ROUTE = segments.RouteKey(b"\x01\xbb\xc6\x12\x00\x01")
SERVICE = ids.ServiceId("listening")


def make_flow(number: int) -> segments.FlowId:
    """Returns the flow of a numbered caller on `ROUTE`."""
    caller = (0x64400000 + number // 50_000).to_bytes(4, "big")
    port = (1024 + number % 50_000).to_bytes(2, "big")
    return segments.FlowId(ROUTE + caller + port)


def make_segment(
    flow: segments.FlowId,
    *,
    kind: segments.SegmentKind = segments.SegmentKind.ESTABLISHED,
    tag: int = 0,
    retransmissions: int = 0,
    acknowledged: int = 0,
    payload_bytes: int = 0,
    sequence: int = 0,
) -> segments.Segment:
    """Returns a packet of a flow."""
    return segments.Segment(
        flow=flow,
        route=segments.RouteKey(flow[:6]),
        kind=kind,
        tag=ids.Tag(tag),
        retransmissions=retransmissions,
        sequence=sequence,
        acknowledged=acknowledged,
        payload_bytes=payload_bytes,
    )


def make_opening(
    flow: segments.FlowId, *, retransmissions: int = 0
) -> segments.Segment:
    """Returns an opening packet of a flow."""
    return make_segment(
        flow, kind=segments.SegmentKind.OPEN, retransmissions=retransmissions
    )


def make_endpoint(
    number: int,
    *,
    domain: str = "a",
    slots: int = 4,
    service: ids.ServiceId = SERVICE,
    draining: bool = False,
    cold_until: float = 0.0,
    incarnation: int = 1,
    sequence: int = 1,
) -> views.Endpoint:
    """Returns an endpoint with an id made from a number."""
    return views.Endpoint(
        id=ids.EndpointId(f"i-{number:08x}"),
        numeric_id=number,
        address=("10.0.0.1", 8000 + number % 1000),
        service=service,
        domain=ids.DomainId(domain),
        slots=slots,
        incarnation=incarnation,
        sequence=sequence,
        draining=draining,
        cold_until=cold_until,
    )


def make_configuration(
    version: int = 1,
    *,
    warmup_per_s: float = 8.0,
    routes: bool = True,
    idempotent: bool = False,
    max_flows: int = 0,
) -> views.Configuration:
    """Returns a configuration with one service and one route to it."""
    route = views.Route(
        name="r", weighted_services=((SERVICE, 1.0),), idempotent=idempotent
    )
    return views.Configuration(
        version=ids.Version(version),
        routes={ROUTE: route} if routes else {},
        services={
            SERVICE: views.ServiceLimits(
                warmup_per_s=warmup_per_s, max_flows=max_flows
            )
        },
    )


def confirm_view(
    steerer: steerers.Steerer, until: float, *, since: float = 0.0
) -> None:
    """Confirms the view every half second up to a time."""
    for number in range(1, round((until - since) * 2) + 1):
        steerer.confirm_view(since + number / 2)


def make_tag(endpoint: views.Endpoint, flow: segments.FlowId) -> ids.Tag:
    """Returns the tag of a flow on an endpoint."""
    return tags.make_tag(endpoint.tag_prefix, endpoint.numeric_id, flow)


MakeSteerer = Callable[..., steerers.Steerer]


@pytest.fixture
def make_steerer() -> MakeSteerer:
    """Returns a factory of steerers with a complete view."""

    def make(
        *endpoints: views.Endpoint, vm: str = "vm-1", domain: str = "a"
    ) -> steerers.Steerer:
        steerer = steerers.Steerer(
            local=ids.VmId(vm),
            domain=ids.DomainId(domain),
            generator=random.Random(1),
        )
        steerer.view.apply(make_configuration(), 0.0)
        for endpoint in endpoints:
            steerer.view.apply(views.ListedEndpoint(endpoint=endpoint), 0.0)
        steerer.set_view_complete_at(0.0)
        steerer.confirm_view(0.0)
        return steerer

    return make
