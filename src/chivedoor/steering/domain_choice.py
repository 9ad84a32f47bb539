"""Selection of the failure domain of a new flow.

The load pattern that this answers is that of `spillover`. The shares are up to
a second old; domains that were taken out or became suspect since then get no
flows.
"""

from collections.abc import Collection
from collections.abc import Mapping
import itertools

from chivedoor import ids
from chivedoor.steering import const


def choose_domain(
    *,
    local: ids.DomainId,
    shares: Mapping[ids.DomainId, float],
    draw: float,
    excluded: Collection[ids.DomainId] = (),
) -> ids.DomainId:
    """Returns the domain of a new flow.

    The share of an excluded domain stays local. If the local domain is excluded
    or the shares leave nothing to it, because it has no usable endpoint, the
    other domains take the whole in proportion to their shares.

    Args:
        local: The local domain.
        shares: Shares of new flows by other domain, 0 to 1 in total.
        draw: A random number of at least 0 and less than 1.
        excluded: Domains that are out of service or suspect.

    Returns:
        The domain; the local one if no other domain can be used.
    """
    remote = {
        domain: share
        for domain, share in shares.items()
        if share > 0.0 and domain != local and domain not in excluded
    }
    if not remote:
        return local
    total = sum(share for domain, share in shares.items() if domain != local)
    is_local_used = (
        local not in excluded and total < 1.0 - const.SPILLOVER_ROUNDING
    )
    if not is_local_used:
        draw *= sum(remote.values())
    limits = itertools.accumulate(remote.values())
    return next(
        (
            domain
            for domain, limit in zip(remote, limits, strict=True)
            if draw < limit
        ),
        local if is_local_used else next(reversed(remote)),
    )
