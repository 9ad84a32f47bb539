"""Tests for tags, which identify endpoints and are bound to flows."""

import hypothesis
from hypothesis import strategies

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import tags
from chivedoor.steering import view as views
from tests.steering import conftest


def test_tags_are_unambiguous_at_planned_size() -> None:
    """Guards against flows that reach an endpoint with an equal prefix."""
    view = views.View()
    endpoints = [conftest.make_endpoint(n * 7919) for n in range(1, 4601)]
    for endpoint in endpoints:
        view.add_endpoint(endpoint)
    wrong = [
        endpoint
        for number, endpoint in enumerate(endpoints)
        if view.find_endpoint(
            conftest.make_tag(endpoint, conftest.make_flow(number)),
            conftest.make_flow(number),
        )
        is not endpoint
    ]
    assert not wrong


def test_tag_of_another_flow_is_rejected() -> None:
    """Guards against a caller that uses the tag of another flow."""
    view = views.View()
    endpoint = conftest.make_endpoint(77)
    view.add_endpoint(endpoint)
    tag = conftest.make_tag(endpoint, conftest.make_flow(0))
    found = sum(
        view.find_endpoint(tag, conftest.make_flow(number)) is endpoint
        for number in range(1, 20_001)
    )
    # 1 in 4,096 is expected to match by chance; three times that is allowed.
    assert found <= 3 * 20_000 / (const.CHECK_MASK + 1)


@hypothesis.given(
    strategies.text(min_size=1), strategies.binary(min_size=12, max_size=12)
)
def test_tag_fits_its_field_and_is_never_zero(name: str, flow: bytes) -> None:
    """Guards against tag 0, which marks a flow without a tag."""
    tag_prefix = tags.compute_tag_prefix(ids.EndpointId(name))
    tag = tags.make_tag(tag_prefix, 1, flow)
    assert 0 < tag < 1 << const.TAG_BITS


def test_check_bits_distinguish_endpoints_with_equal_tag_prefix() -> None:
    """Guards against a flow that reaches both endpoints of a tag prefix."""
    view = views.View()
    first, second = conftest.make_endpoint(1), conftest.make_endpoint(2)
    second.tag_prefix = first.tag_prefix
    view.add_endpoint(first)
    view.add_endpoint(second)
    flow = conftest.make_flow(5)
    assert view.find_endpoint(conftest.make_tag(second, flow), flow) is second
    assert view.find_endpoint(conftest.make_tag(first, flow), flow) is first
