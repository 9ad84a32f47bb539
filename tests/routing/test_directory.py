"""Tests of the service directory."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.routing import directory as directories
from tests.balancer import fleet as fleets


@pytest.fixture
def directory():
    return directories.ServiceDirectory()


def _make_service(name, address, numbers):
    return fleets.make_service(
        [fleets.make_endpoint(n, "abc"[n % 3]) for n in numbers],
        id=ids.ServiceId(name),
        addresses=(address,),
    )


def _update(directory, *services, out=()):
    return directory.update(
        document=fleets.make_document(1, *services),
        out_domains=frozenset(out),
        region=fleets.REGION,
    )


@settings(max_examples=100)
@given(
    history=strategies.lists(
        strategies.lists(strategies.sampled_from("xyz"), max_size=12),
        min_size=1,
        max_size=4,
    )
)
def test_address_and_port_map_to_one_service(history):
    # Guards against packets of one service that reach an endpoint of another,
    # including when endpoints move between services in a new document.
    directory = directories.ServiceDirectory()
    for turn, assigned_services in enumerate(history):
        services = [
            _make_service(
                name,
                bytes((203, 0, 113, ord(name))),
                [
                    20 * turn + index + 1
                    for index, assigned in enumerate(assigned_services)
                    if assigned == name
                ],
            )
            for name in "xyz"
        ]
        _update(directory, *services)
        for (_, address, port), entry in directory.services.items():
            assert address in entry.routes.service.addresses
            assert entry.port.port == port
        for (_, address, port), source in directory.endpoints.items():
            assert source.endpoint in source.routes.service.endpoints
            assert source.endpoint.address == address
            assert source.service_address in source.routes.service.addresses
            assert source.port.target_port == port
        listed = {e.number for s in services for e in s.endpoints}
        assert directory.endpoints_by_number.keys() == listed


def test_update_keeps_tables_of_unchanged_services(directory):
    # Guards against a document update that rebuilds all tables, and against
    # endpoints that stay `DIRECT` after their table has changed.
    first = _make_service("x", fleets.SERVICE, (1, 2))
    second = _make_service("y", fleets.OTHER_SERVICE, (3, 4))
    _update(directory, first, second)
    routes = directory.routes["y"]
    table = routes.table
    for known in directory.routes.values():
        known.direct_endpoints = frozenset((1, 3))
    grown = _make_service("x", fleets.SERVICE, (1, 2, 5))
    changed = _update(directory, grown, second)
    assert [r.service.id for r in changed] == ["x"]
    assert directory.routes["y"] is routes
    assert routes.table is table
    assert routes.direct_endpoints == {1, 3}
    assert directory.routes["x"].direct_endpoints == frozenset()
    assert directory.routes["x"].previous_table is not None


def test_tables_exclude_domains_that_are_out(directory):
    # Guards against new flows to a failure domain that was taken out.
    service = _make_service("x", fleets.SERVICE, (1, 2, 3))
    _update(directory, service)
    assert _update(directory, service, out=("a",))
    bases = {e.number for e in directory.routes["x"].table.rank_endpoints(0)}
    assert bases == {1, 2}


def test_endpoint_ignores_service_addresses_of_another_family(directory):
    # Guards against answers whose source address cannot be rewritten, because
    # the service address has another IP version.
    service = fleets.make_service(
        [fleets.make_endpoint(1, "a")], addresses=(bytes(16),)
    )
    _update(directory, service)
    assert directory.endpoints == {}
