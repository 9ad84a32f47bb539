"""Rate limit of new flows to cold endpoints, shared by all balancers.

Balancers exchange no messages to share the rate. Each of them selects the same
few holders for an endpoint from the members that it knows, by rendezvous
hashing. Only holders open flows to the endpoint, each at its share of the rate
and at most one at a time. While member lists differ, the number of holders can
double for a moment, which the fixed burst allowance of the endpoint covers.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeVar

import xxhash

from chivedoor import ids
from chivedoor.steering import const

Name = TypeVar("Name", ids.VmId, ids.DomainId)


class WarmupBudget:
    """Share of the warm-up rates that this balancer may use."""

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
            domains: All failure domains. Only members of the local domain are
                known, so each domain has a fixed share of a rate.
        """
        self._local = local
        self._domain = domain
        self._domains = tuple(domains) or (domain,)
        self._members: tuple[ids.VmId, ...] = ()
        self._settled_at: float | None = None
        # Time from which the next flow may be opened, by endpoint.
        self._next_at: dict[ids.EndpointId, float] = {}

    def set_members(
        self, members: Iterable[ids.VmId], settled_at: float
    ) -> None:
        """Sets the balancers that may open flows to cold endpoints.

        Args:
            members: The known balancers of the domain, including this one.
            settled_at: Time from which this balancer knows enough of the
                others to act as a holder.
        """
        self._members = tuple(members)
        self._settled_at = settled_at

    def may_open(
        self, endpoint_id: ids.EndpointId, rate_per_s: float, now: float
    ) -> bool:
        """Returns whether a flow may be opened to a cold endpoint now."""
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
        """Records that a flow is opened to a cold endpoint."""
        holders = min(self._count_holders(), len(self._members))
        domains = min(len(self._domains), const.WARMUP_HOLDERS)
        self._next_at[endpoint_id] = now + holders * domains / rate_per_s

    def expire(self, now: float) -> None:
        """Removes times that have passed."""
        self._next_at = {
            endpoint_id: next_at
            for endpoint_id, next_at in self._next_at.items()
            if next_at > now
        }

    def _count_holders(self) -> int:
        """Returns the number of holders of an endpoint in each domain."""
        return max(1, const.WARMUP_HOLDERS // len(self._domains))


def _rank_by_hash(
    endpoint_id: ids.EndpointId, names: Iterable[Name]
) -> list[Name]:
    """Sorts names by a hash that is the same on all balancers."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh32_intdigest(
            f"{endpoint_id}/{name}".encode()
        ),
    )
