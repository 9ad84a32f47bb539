"""Tests of the routing tables."""

import collections

import pytest

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.routing import const
from chivedoor.routing import tables
from tests.balancer import fleet as fleets

_DRAINING = documents.EndpointState.DRAINING


def _make_endpoints(count, **changes):
    return [
        fleets.make_endpoint(number, "abc"[number % 3], **changes)
        for number in range(1, count + 1)
    ]


def _list_bases(table):
    return [
        table.find_base(ids.FlowKey(bucket)).number
        for bucket in range(table.mask + 1)
    ]


def test_table_does_not_depend_on_the_order_of_endpoints():
    # Guards against balancers that compute different base targets for a flow.
    endpoints = _make_endpoints(7)
    first = tables.RoutingTable(endpoints=endpoints)
    second = tables.RoutingTable(endpoints=endpoints[::-1])
    assert first.generation == second.generation
    assert _list_bases(first) == _list_bases(second)


@pytest.mark.parametrize("count", [1, 2, 3, 7, 30])
def test_no_endpoint_exceeds_its_capped_share(count):
    # Guards against unbalanced targets, including with unequal weights.
    endpoints = _make_endpoints(count)
    endpoints[0] = fleets.make_endpoint(1, "a", weight=300)
    table = tables.RoutingTable(endpoints=endpoints)
    counts = collections.Counter(_list_bases(table))
    total = sum(e.weight for e in endpoints)
    for endpoint in endpoints:
        fair = (table.mask + 1) * endpoint.weight / total
        assert counts[endpoint.number] <= const.BUCKET_SHARE_CAP * fair + 1


@pytest.mark.parametrize("count", [4, 7, 16])
def test_few_buckets_move_when_an_endpoint_joins_or_leaves(count):
    # Guards against tables that reassign buckets of unchanged endpoints. The
    # upper bound applies if both tables have the same number of buckets.
    small = tables.RoutingTable(endpoints=_make_endpoints(count))
    grown = tables.RoutingTable(endpoints=_make_endpoints(count + 1))
    size = min(small.mask, grown.mask) + 1
    pairs = [
        (small.find_base(key).number, grown.find_base(key).number)
        for key in range(max(small.mask, grown.mask) + 1)
    ]
    moved = sum(old != new for old, new in pairs) / len(pairs)
    # The fair share of the new endpoint has to move. The cap may move a few
    # more buckets. If the number of buckets doubles, each bucket is split and
    # the new half is ranked independently.
    assert moved >= 1 / (count + 1) / const.BUCKET_SHARE_CAP
    if size == len(pairs):
        assert moved <= 1.5 / (count + 1)


def test_ranking_starts_with_the_base_and_has_every_endpoint_once():
    # Guards against rankings that omit an endpoint or contain one twice.
    table = tables.RoutingTable(endpoints=_make_endpoints(7))
    for key in range(0, table.mask + 1, 97):
        ranking = [e.number for e in table.rank_endpoints(key)]
        assert ranking[0] == table.find_base(key).number
        assert sorted(ranking) == list(range(1, 8))


def test_empty_table_has_no_base_target():
    # Guards against an exception for a service without endpoints.
    table = tables.RoutingTable(endpoints=[])
    assert table.find_base(ids.FlowKey(5)) is None
    assert table.rank_endpoints(ids.FlowKey(5)) == ()


def _select(endpoints, out=(), region=fleets.REGION):
    service = fleets.make_service(endpoints)
    domains = dict(fleets.make_document(1).domains)
    domains["c"] = documents.Domain(id="c", region="r2", out=False)
    selected = tables.select_endpoints(
        service=service,
        domains=domains,
        out_domains=frozenset(out),
        region=region,
    )
    return {e.number for e in selected}


def test_selection_prefers_the_region_and_active_endpoints():
    # Guards against new flows to other regions, to draining endpoints and to
    # failure domains that are out.
    endpoints = _make_endpoints(6)
    assert _select(endpoints) == {1, 3, 4, 6}
    assert _select(endpoints, region="r2") == {2, 5}
    assert _select(endpoints, out=("a", "b")) == {2, 5}
    endpoints[0] = fleets.make_endpoint(1, "b", state=_DRAINING)
    assert _select(endpoints) == {3, 4, 6}
    assert _select(endpoints, out=("a", "b", "c")) == set()


def test_generation_changes_with_every_input_of_the_table():
    # Guards against different tables with the same generation.
    changed = [
        _make_endpoints(3),
        _make_endpoints(4),
        [*_make_endpoints(2), fleets.make_endpoint(3, "a", weight=50)],
        [*_make_endpoints(2), fleets.make_endpoint(3, "b")],
    ]
    generations = {tables.compute_generation(e) for e in changed}
    assert len(generations) == len(changed)
