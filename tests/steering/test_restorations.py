"""Tests of the changes that a restored store reports."""

import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import restorations
from chivedoor.steering import view as views
from tests.steering import conftest

DOMAIN = ids.DomainId("a")


@pytest.fixture
def view() -> views.View:
    return views.View()


@pytest.fixture
def change_filter(view) -> restorations.Restorations:
    return restorations.Restorations(view=view)


def add_ended_endpoint(view: views.View) -> None:
    """Adds an endpoint that is known to have ended."""
    endpoint = conftest.make_endpoint(1, incarnation=5, sequence=7)
    view.add_endpoint(endpoint)
    view.remove_endpoint(endpoint.id, 0.5)
    assert view.pop_ended(0.5) == [endpoint]


@pytest.mark.parametrize(
    ("sequence", "admitted", "draining"),
    [(6, False, True), (7, True, False), (8, True, False)],
)
def test_restored_entry_shows_that_an_endpoint_was_not_removed(
    view, change_filter, sequence: int, admitted: bool, draining: bool
) -> None:
    """Guards against resets of flows on endpoints that are listed.

    The entry had lapsed, or a former copy lacked it. A newer entry that is
    known stays in force, here that of a draining endpoint.
    """
    known = conftest.make_endpoint(1, incarnation=5, sequence=7, draining=True)
    view.add_endpoint(known)
    view.remove_endpoint(known.id, 0.5)
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(1, incarnation=5, sequence=sequence)
    )
    assert change_filter.admit(change, 1.0, restored=True) is admitted
    if admitted:
        view.apply(change, 1.0)
    assert view.pop_ended(9.0) == []
    (listed,) = view.endpoints.values()
    assert listed.removed_at is None
    assert listed.draining is draining


@pytest.mark.parametrize(
    ("incarnation", "sequence", "admitted"),
    [(5, 6, False), (4, 9, False), (5, 7, True), (5, 8, True), (6, 1, True)],
)
def test_older_entry_of_a_listed_endpoint_is_ignored(
    view, change_filter, incarnation: int, sequence: int, admitted: bool
) -> None:
    """Guards against new flows on endpoints that are known to be draining."""
    known = conftest.make_endpoint(1, incarnation=5, sequence=7, draining=True)
    view.add_endpoint(known)
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(
            1, incarnation=incarnation, sequence=sequence
        )
    )
    assert change_filter.admit(change, 1.0, restored=True) is admitted


@pytest.mark.parametrize(
    ("sequence", "admitted"), [(6, False), (7, False), (8, True)]
)
def test_entry_of_a_removed_endpoint_is_ignored(
    view, change_filter, sequence: int, admitted: bool
) -> None:
    """Guards against flows that are placed on endpoints that have ended."""
    add_ended_endpoint(view)
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(1, incarnation=5, sequence=sequence)
    )
    assert change_filter.admit(change, 1.0, restored=True) is admitted


def test_entry_of_a_removed_endpoint_that_stays_is_used(
    view, change_filter
) -> None:
    """Guards against an endpoint that no balancer uses again.

    Its entry had lapsed when the store was restored. Heartbeats keep the
    restored entry without changing it, so that no later change tells.
    """
    add_ended_endpoint(view)
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(1, incarnation=5, sequence=7)
    )
    assert not change_filter.admit(change, 1.0, restored=True)
    lapsed_at = 1.0 + const.ENTRY_LIFETIME_S
    assert change_filter.pop_due(lapsed_at - 0.1) == []
    assert change_filter.pop_due(lapsed_at) == [change]


def test_entry_of_a_removed_endpoint_that_lapses_is_not_used(
    view, change_filter
) -> None:
    """Guards against flows that are placed on endpoints that have ended."""
    add_ended_endpoint(view)
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(1, incarnation=5, sequence=6)
    )
    assert not change_filter.admit(change, 1.0, restored=True)
    lapse = views.RemovedEndpoint(endpoint_id=change.endpoint.id)
    assert change_filter.admit(lapse, 4.0, restored=False)
    assert change_filter.pop_due(99.0) == []


def test_second_restoration_restarts_the_delays(change_filter) -> None:
    """Guards against flows to a domain whose entry was lost a second time."""
    back = views.DomainState(domain=DOMAIN, out=False)
    change_filter.admit(back, 1.0, restored=True)
    change_filter.restart_delays(3.0)
    assert change_filter.pop_due(1.0 + const.LOST_COMMAND_RETURN_S) == []
    assert change_filter.pop_due(3.0 + const.LOST_COMMAND_RETURN_S) == [back]


def test_later_entry_is_applied_whatever_its_sequence(
    view, change_filter
) -> None:
    """Guards against ignoring an endpoint that restarted under its id."""
    view.add_endpoint(conftest.make_endpoint(1, incarnation=0, sequence=7))
    change = views.ListedEndpoint(
        endpoint=conftest.make_endpoint(1, incarnation=0, sequence=1)
    )
    assert change_filter.admit(change, 1.0, restored=False)


def test_domain_stays_out_until_its_entry_would_be_written_again(
    change_filter,
) -> None:
    """Guards against flows to a domain whose entry the restored store lost."""
    back = views.DomainState(domain=DOMAIN, out=False)
    assert not change_filter.admit(back, 1.0, restored=True)
    assert change_filter.pop_due(1.0 + const.LOST_COMMAND_RETURN_S / 2) == []
    assert change_filter.pop_due(1.0 + const.LOST_COMMAND_RETURN_S) == [back]
    assert change_filter.pop_due(9.0) == []


@pytest.mark.parametrize("out", [True, False])
def test_later_change_of_a_domain_replaces_the_postponed_one(
    change_filter, out: bool
) -> None:
    """Guards against a domain that returns though it was taken out again."""
    change_filter.admit(
        views.DomainState(domain=DOMAIN, out=False), 1.0, restored=True
    )
    change = views.DomainState(domain=DOMAIN, out=out)
    assert change_filter.admit(change, 1.5, restored=False)
    assert change_filter.pop_due(9.0) == []


def test_domain_that_a_restored_store_takes_out_is_out_at_once(
    change_filter,
) -> None:
    """Guards against flows to a domain that was taken out just now."""
    change = views.DomainState(domain=DOMAIN, out=True)
    assert change_filter.admit(change, 1.0, restored=True)


@pytest.mark.parametrize(
    ("version", "admitted"), [(4, False), (5, True), (6, True)]
)
def test_older_configuration_is_ignored(
    view, change_filter, version: int, admitted: bool
) -> None:
    """Guards against a configuration that comes back older."""
    view.apply(conftest.make_configuration(5), 0.5)
    change = conftest.make_configuration(version)
    assert change_filter.admit(change, 1.0, restored=True) is admitted
