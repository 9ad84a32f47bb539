"""Tests for the view and the changes applied to it."""

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import view as views
from tests.steering import conftest


def test_older_configuration_is_ignored() -> None:
    """Guards against a delayed response that restores an old version."""
    view = views.View()
    view.apply(conftest.make_configuration(7), 0.0)
    assert not view.apply(conftest.make_configuration(5, routes=False), 1.0)
    assert view.version == 7
    assert conftest.ROUTE in view.routes


def test_tags_of_removed_endpoint_stay_known_for_retention_time() -> None:
    """Guards against unknown tags in flows of a recently removed endpoint."""
    view = views.View()
    endpoint = conftest.make_endpoint(1)
    view.add_endpoint(endpoint)
    flow = conftest.make_flow(1)
    tag = conftest.make_tag(endpoint, flow)
    view.apply(views.RemovedEndpoint(endpoint_id=endpoint.id), 10.0)
    assert view.get_endpoints(conftest.SERVICE) == []
    view.expire_removed(10.0 + const.REMOVED_ENDPOINT_RETENTION_S - 1)
    found = view.find_endpoint(tag, flow)
    assert found is endpoint
    assert found.removed_at == 10.0
    view.expire_removed(10.0 + const.REMOVED_ENDPOINT_RETENTION_S + 1)
    assert view.find_endpoint(tag, flow) is None


def test_returning_endpoint_replaces_old_entry() -> None:
    """Guards against an old incarnation of an endpoint that stays indexed."""
    view = views.View()
    view.add_endpoint(conftest.make_endpoint(1))
    view.apply(
        views.RemovedEndpoint(endpoint_id=ids.EndpointId("i-00000001")), 1.0
    )
    again = conftest.make_endpoint(1, incarnation=2)
    view.add_endpoint(again)
    flow = conftest.make_flow(1)
    tag = conftest.make_tag(again, flow)
    assert view.get_endpoints(conftest.SERVICE) == [again]
    assert view.find_endpoint(tag, flow) is again
    view.expire_removed(1000.0)
    assert view.find_endpoint(tag, flow) is again


def test_endpoint_that_changes_service_is_removed_from_old_service() -> None:
    """Guards against packets delivered to an endpoint of another service."""
    view = views.View()
    view.add_endpoint(conftest.make_endpoint(1))
    other = ids.ServiceId("intake")
    view.add_endpoint(conftest.make_endpoint(1, service=other))
    assert view.get_endpoints(conftest.SERVICE) == []
    assert len(view.get_endpoints(other)) == 1


@pytest.mark.parametrize("out", [True, False])
def test_domain_state_is_reported_once(out: bool) -> None:
    """Guards against a log line for each duplicate record."""
    view = views.View()
    view.domains_out = set() if out else {ids.DomainId("b")}
    change = views.DomainState(domain=ids.DomainId("b"), out=out)
    assert view.apply(change, 0.0)
    assert not view.apply(change, 0.0)


def test_endpoint_with_unusable_entry_takes_no_new_flows() -> None:
    """Guards against new flows on an endpoint whose entry cannot be read."""
    view = views.View()
    endpoint = conftest.make_endpoint(1)
    view.add_endpoint(endpoint)
    change = views.UnusableEndpoint(endpoint_id=endpoint.id)
    assert view.apply(change, 1.0)
    assert endpoint.draining
    assert endpoint.removed_at is None
    assert not view.apply(change, 1.0)
    unknown = views.UnusableEndpoint(endpoint_id=ids.EndpointId("x"))
    assert not view.apply(unknown, 1.0)


def test_removal_of_an_unknown_endpoint_changes_nothing() -> None:
    """Guards against an exception when an unknown entry is removed."""
    view = views.View()
    change = views.RemovedEndpoint(endpoint_id=ids.EndpointId("x"))
    assert not view.apply(change, 0.0)
