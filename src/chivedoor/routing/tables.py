"""Routing table that maps the hash buckets of a service to endpoints."""

import array
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math

import xxhash

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.routing import const
from chivedoor.routing import hashing


def select_endpoints(
    *,
    service: documents.Service,
    domains: Mapping[ids.DomainId, documents.Domain],
    out_domains: frozenset[ids.DomainId],
    region: ids.RegionId,
) -> tuple[documents.Endpoint, ...]:
    """Returns the endpoints for new flows, preferably of the local region.

    Endpoints of other regions are used only if the local region has none,
    because callers reach the entry VMs of their own region.
    """
    active = tuple(
        endpoint
        for endpoint in service.endpoints
        if endpoint.state is documents.EndpointState.ACTIVE
        and endpoint.domain not in out_domains
    )
    local = tuple(
        endpoint
        for endpoint in active
        if domains[endpoint.domain].region == region
    )
    return local or active


def compute_generation(
    endpoints: Sequence[documents.Endpoint],
) -> ids.Generation:
    """Returns a hash of the endpoints that determine a table."""
    inputs = ";".join(
        sorted(f"{e.number},{e.weight},{e.domain}" for e in endpoints)
    )
    digest = xxhash.xxh3_64_intdigest(
        inputs.encode(), const.GENERATION_HASH_SEED
    )
    return ids.Generation(digest >> 1)


class RoutingTable:
    """Maps each bucket to its base target and ranks the other endpoints.

    The table depends only on the endpoints, and not on health, load or
    membership. Balancers with the same endpoints compute the same table.
    """

    def __init__(self, *, endpoints: Sequence[documents.Endpoint]) -> None:
        self._endpoints = tuple(sorted(endpoints, key=lambda e: e.number))
        self.generation = compute_generation(self._endpoints)
        self.mask = _count_buckets(len(self._endpoints)) - 1
        self._base_by_bucket: list[documents.Endpoint] | None = None

    def find_base(self, key: ids.FlowKey) -> documents.Endpoint | None:
        """Returns the base target of a flow, or None without endpoints."""
        # The table is built on first use, because at the planned size most
        # services of a balancer receive no packets for a long time.
        if self._base_by_bucket is None:
            weights = tuple((e.number, e.weight) for e in self._endpoints)
            self._base_by_bucket = [
                self._endpoints[index]
                for index in _assign_buckets(weights, self.mask + 1)
            ]
        if not self._base_by_bucket:
            return None
        return self._base_by_bucket[key & self.mask]

    def rank_endpoints(
        self, key: ids.FlowKey
    ) -> tuple[documents.Endpoint, ...]:
        """Returns all endpoints in the order in which they are tried."""
        base = self.find_base(key)
        if base is None:
            return ()
        bucket = key & self.mask
        others = sorted(
            (e for e in self._endpoints if e is not base),
            key=lambda e: hashing.score_endpoint(bucket, e.number, e.weight),
            reverse=True,
        )
        return (base, *others)


# Taking a failure domain out and back in restores the previous table. Building
# a table blocks the event loop for tens of milliseconds.
@functools.lru_cache(maxsize=const.TABLE_CACHE_SIZE)
def _assign_buckets(
    weights: tuple[tuple[ids.EndpointNumber, int], ...], size: int
) -> tuple[int, ...]:
    """Returns the index of the base target of each bucket."""
    if len(weights) <= 1:
        return (0,) * len(weights)
    total = sum(weight for _, weight in weights)
    capacities = [
        math.ceil(size * weight / total * const.BUCKET_SHARE_CAP)
        for _, weight in weights
    ]
    columns = (_score_buckets(*weight, size) for weight in weights)
    base_indexes = []
    for scores in zip(*columns, strict=True):
        choice = scores.index(max(scores))
        if not capacities[choice]:
            available = (
                index for index, capacity in enumerate(capacities) if capacity
            )
            choice = max(available, key=scores.__getitem__)
        capacities[choice] -= 1
        base_indexes.append(choice)
    return tuple(base_indexes)


# Cached because a change of one endpoint does not affect the scores of others.
@functools.lru_cache(maxsize=const.SCORE_CACHE_SIZE)
def _score_buckets(
    number: ids.EndpointNumber, weight: int, size: int
) -> array.array:
    """Returns the score of an endpoint for each bucket."""
    return array.array(
        "d",
        (
            hashing.score_endpoint(bucket, number, weight)
            for bucket in range(size)
        ),
    )


def _count_buckets(endpoint_count: int) -> int:
    if endpoint_count <= 1:
        return 1
    wanted = endpoint_count * const.BUCKETS_PER_ENDPOINT
    return min(const.MAX_BUCKETS, 1 << (wanted - 1).bit_length())
