"""Measures documents, routing tables and ownership rankings."""

import dataclasses
import itertools
import time
from typing import Any

from bench.capacity import fleet as fleets
from bench.capacity import samples
from chivedoor import ids
from chivedoor.configuration import checks
from chivedoor.configuration import difference as differences
from chivedoor.configuration import document as documents
from chivedoor.routing import ownership
from chivedoor.routing import tables

_DOCUMENT_ENDPOINTS = (100, 1_000, 4_600)
_TABLE_ENDPOINTS = (1, 2, 3, 7, 51)
_DOMAIN_MEMBERS = 207
_DOMAIN_ENDPOINTS = 1_150
_RANKING_DEPTH = 2


def measure_configuration() -> dict[str, Any]:
    """Measures documents, tables and rankings."""
    results: dict[str, Any] = {}
    for size in _DOCUMENT_ENDPOINTS:
        results |= _measure_document(size)
    return (
        results | _measure_updates() | _measure_tables() | _measure_rankings()
    )


def _change_weight(document: documents.Document) -> documents.Document:
    """Returns the next version with one weight of a large service changed."""
    service = next(iter(document.services.values()))
    first = dataclasses.replace(service.endpoints[0], weight=99)
    changed = dataclasses.replace(
        service, endpoints=(first, *service.endpoints[1:])
    )
    return dataclasses.replace(
        document,
        version=ids.Version(document.version + 1),
        services=document.services | {service.id: changed},
    )


def _measure_document(size: int) -> dict[str, Any]:
    sizes = fleets.list_service_sizes(size)
    data = fleets.format_document(sizes, fleets.PLANNED_DOMAINS)
    old = documents.parse_document(data)
    new = _change_weight(old)
    change = differences.compare_documents(old, new)
    encoded = differences.encode_difference(change)
    wall_clock_s = time.time()
    faults = checks.check_document(new, old, wall_clock_s=wall_clock_s)
    if faults:
        raise RuntimeError(str(faults[0]))
    calls = {
        "parse": lambda: documents.parse_document(data),
        "check": lambda: checks.check_document(
            new, old, wall_clock_s=wall_clock_s
        ),
        "compare": lambda: differences.compare_documents(old, new),
        "decode_difference": lambda: differences.decode_difference(encoded),
        "apply_difference": lambda: differences.apply_difference(old, change),
    }
    results = {
        f"document_{name}_us_{size}": samples.measure_calls(call, calls=1)
        for name, call in calls.items()
    }
    results[f"document_bytes_{size}"] = samples.summarize([len(data)], "B")
    results[f"document_difference_bytes_{size}"] = samples.summarize(
        [len(encoded)], "B"
    )
    results[f"document_memory_bytes_{size}"] = samples.measure_bytes(
        lambda: documents.parse_document(data)
    )
    return results


def _measure_updates() -> dict[str, Any]:
    """Measures how a balancer of the planned size processes changes."""
    document = fleets.load_planned()
    balancer = fleets.build_balancer(
        document, fleets.PLANNED_MEMBERS, fleets.PLANNED_DOMAINS
    )
    versions = itertools.cycle((_change_weight(document), document))

    def apply() -> None:
        balancer.apply_document(
            document=next(versions), out_domains=frozenset(), now=0.0
        )

    members = balancer.context.members
    incarnations = itertools.count(2)

    def restart_member() -> None:
        member = fleets.build_member(
            4, fleets.PLANNED_DOMAINS, next(incarnations)
        )
        members.merge(member, 0.0)
        balancer.update_members(0.0)

    def fail_and_restart_member() -> None:
        members.confirm_dead(ids.VmId("entry-004"), 0.0)
        balancer.update_members(0.0)
        restart_member()

    return {
        "balancer_apply_document_us": samples.measure_calls(apply, calls=2),
        "balancer_update_members_us": samples.measure_calls(
            lambda: balancer.update_members(0.0), calls=2
        ),
        "balancer_restart_of_member_us": samples.measure_calls(
            fail_and_restart_member, calls=2
        ),
        "balancer_memory_bytes": samples.measure_bytes(
            lambda: fleets.build_balancer(
                document, fleets.PLANNED_MEMBERS, fleets.PLANNED_DOMAINS
            ),
            runs=1,
        ),
    }


def _measure_tables() -> dict[str, Any]:
    results: dict[str, Any] = {}
    for size in _TABLE_ENDPOINTS:
        document = documents.parse_document(
            fleets.format_document([size], fleets.PLANNED_DOMAINS)
        )
        endpoints = next(iter(document.services.values())).endpoints
        results[f"table_build_us_{size}"] = samples.measure_prepared(
            lambda endpoints=endpoints: _create_table(endpoints), _build_table
        )
        results[f"table_bytes_{size}"] = samples.measure_bytes(
            lambda endpoints=endpoints: _build_table(_create_table(endpoints))
        )
    return results


_unused_weights = itertools.count(100)


def _create_table(
    endpoints: tuple[documents.Endpoint, ...],
) -> tables.RoutingTable:
    """Creates a table with a weight that no other table has used.

    Built tables are cached, so a table with the same endpoints would not be
    built again.
    """
    first = dataclasses.replace(endpoints[0], weight=next(_unused_weights))
    return tables.RoutingTable(endpoints=(first, *endpoints[1:]))


def _build_table(table: tables.RoutingTable) -> tables.RoutingTable:
    table.find_base(ids.FlowKey(0))
    return table


def _measure_rankings() -> dict[str, Any]:
    members = [ids.VmId(f"entry-{n:03}") for n in range(_DOMAIN_MEMBERS)]
    joined = [*members, ids.VmId("entry-new")]
    pairs = _DOMAIN_ENDPOINTS * _DOMAIN_MEMBERS
    return {
        "ranking_build_us_per_endpoint_member": samples.measure_prepared(
            lambda: members, _rank_all, items=pairs
        ),
        "ranking_join_us_per_endpoint": samples.measure_prepared(
            lambda: _rank_all(members),
            lambda ranking: ranking.update_candidates(joined),
            items=_DOMAIN_ENDPOINTS,
        ),
        "ranking_leave_us_per_endpoint": samples.measure_prepared(
            lambda: _rank_all(members),
            lambda ranking: ranking.update_candidates(members[1:]),
            items=_DOMAIN_ENDPOINTS,
        ),
        "ranking_bytes_per_endpoint": samples.measure_bytes(
            lambda: _rank_all(members), items=_DOMAIN_ENDPOINTS
        ),
        "readers_rank_us": samples.measure_calls(
            lambda: ownership.rank_owners(
                ids.EndpointNumber(0), members, _RANKING_DEPTH
            ),
            calls=100,
        ),
    }


def _rank_all(members: list[ids.VmId]) -> ownership.OwnerRanking:
    ranking = ownership.OwnerRanking(depth=_RANKING_DEPTH)
    ranking.update_candidates(members)
    for number in range(_DOMAIN_ENDPOINTS):
        ranking.find_owners(ids.EndpointNumber(number))
    return ranking
