"""Tests for the limits of contact checks."""

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import contacts

ENDPOINT = ids.EndpointId("i-1")


def test_endpoint_is_checked_once_within_the_interval() -> None:
    """Guards against a connection for each stalled request."""
    checks = contacts.Contacts()
    for now in (1.0, 1.1):
        checks.request(ENDPOINT, now)
    assert checks.pop_requested() == [ENDPOINT]
    checks.finish(ENDPOINT)
    checks.request(ENDPOINT, 1.4)
    assert checks.pop_requested() == []
    checks.request(ENDPOINT, 1.0 + const.CONTACT_CHECK_INTERVAL_S)
    assert checks.pop_requested() == [ENDPOINT]


def test_check_under_way_is_not_repeated() -> None:
    """Guards against checks that add up while a balancer is slow."""
    checks = contacts.Contacts()
    checks.request(ENDPOINT, 1.0)
    checks.request(ENDPOINT, 1.0 + const.CONTACT_CHECK_INTERVAL_S)
    assert checks.pop_requested() == [ENDPOINT]


def test_number_of_checks_at_the_same_time_is_bounded() -> None:
    """Guards against a connection to each endpoint of a domain that is cut.

    Endpoints beyond the limit are checked once others are finished.
    """
    checks = contacts.Contacts()
    names = [
        ids.EndpointId(f"i-{number}")
        for number in range(const.MAX_CONTACT_CHECKS + 1)
    ]
    for endpoint_id in names:
        checks.request(endpoint_id, 1.0)
    assert checks.pop_requested() == names[:-1]
    checks.finish(names[0])
    checks.request(names[-1], 1.1)
    assert checks.pop_requested() == names[-1:]


def test_intervals_expire() -> None:
    """Guards against memory that grows with each endpoint ever checked."""
    checks = contacts.Contacts()
    checks.request(ENDPOINT, 1.0)
    checks.finish(ENDPOINT)
    checks.expire(1.0 + const.CONTACT_CHECK_INTERVAL_S)
    checks.request(ENDPOINT, 1.5)
    assert checks.pop_requested() == [ENDPOINT, ENDPOINT]
