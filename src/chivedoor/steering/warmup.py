"""Rate of new flows to cold endpoints, kept over all balancers together.

Balancers do not agree on a rate with messages. Each computes the same few
holders for an endpoint from the members it knows, and only a holder opens
flows to it, at its part of the rate and at most one at a time. Two views of
the members can double the number of holders for a moment; the fixed allowance
of the endpoint covers that.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeVar

import xxhash

from chivedoor import ids
from chivedoor.steering import const

Name = TypeVar("Name", ids.VmId, ids.DomainId)


class WarmupBudget:
    """The part of the rates that this balancer may use."""

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        domains: Sequence[ids.DomainId],
    ) -> None:
        """Creates a budget.

        Args:
            local: This balancer.
            domain: Its failure domain.
            domains: All failure domains. Members are known of the own domain
                only, so that each domain has its fixed part of a rate.
        """
        self._local = local
        self._domain = domain
        self._domains = tuple(domains) or (domain,)
        self._members: tuple[ids.VmId, ...] = ()
        self._settled_at: float | None = None
        # Time at which the next flow may open, by endpoint.
        self._next_at: dict[ids.EndpointId, float] = {}

    def set_members(
        self, members: Iterable[ids.VmId], settled_at: float
    ) -> None:
        """Sets the balancers that may open flows to cold endpoints.

        Args:
            members: The balancers of the domain in view, this one included.
            settled_at: Time from which this balancer knows the others well
                enough to count itself as a holder.
        """
        self._members = tuple(members)
        self._settled_at = settled_at

    def may_open(
        self, endpoint_id: ids.EndpointId, rate_per_s: float, now: float
    ) -> bool:
        """Returns whether a flow may open on a cold endpoint now."""
        if self._settled_at is None or now < self._settled_at:
            return False
        if rate_per_s <= 0.0 or now < self._next_at.get(endpoint_id, now):
            return False
        domains = _rank_by_hash(endpoint_id, self._domains)[
            : const.WARMUP_HOLDERS
        ]
        if self._domain not in domains:
            return False
        holders = _rank_by_hash(endpoint_id, self._members)[
            : self._count_holders()
        ]
        return self._local in holders

    def record_open(
        self, endpoint_id: ids.EndpointId, rate_per_s: float, now: float
    ) -> None:
        """Notes that a flow opens on a cold endpoint."""
        holders = min(self._count_holders(), len(self._members))
        domains = min(len(self._domains), const.WARMUP_HOLDERS)
        self._next_at[endpoint_id] = now + holders * domains / rate_per_s

    def expire(self, now: float) -> None:
        """Drops the times that have passed."""
        self._next_at = {
            endpoint_id: next_at
            for endpoint_id, next_at in self._next_at.items()
            if next_at > now
        }

    def _count_holders(self) -> int:
        """Returns the holders of an endpoint in each domain."""
        return max(1, const.WARMUP_HOLDERS // len(self._domains))


def _rank_by_hash(
    endpoint_id: ids.EndpointId, names: Iterable[Name]
) -> list[Name]:
    """Orders names by a hash, the same on all balancers."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh32_intdigest(
            f"{endpoint_id}/{name}".encode()
        ),
    )
