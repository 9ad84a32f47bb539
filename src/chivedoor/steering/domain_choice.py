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
    remote, is_local_used = _find_used_shares(local, shares, excluded)
    if not remote:
        return local
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


def compute_probabilities(
    *,
    local: ids.DomainId,
    shares: Mapping[ids.DomainId, float],
    excluded: Collection[ids.DomainId] = (),
) -> dict[ids.DomainId, float]:
    """Returns the probability with which `choose_domain` returns each domain.

    Args:
        local: As for `choose_domain`.
        shares: As for `choose_domain`.
        excluded: As for `choose_domain`.
    """
    remote, is_local_used = _find_used_shares(local, shares, excluded)
    if not remote:
        return {local: 1.0}
    total = sum(remote.values())
    if is_local_used:
        return {local: 1.0 - total, **remote}
    return {domain: share / total for domain, share in remote.items()}


def _find_used_shares(
    local: ids.DomainId,
    shares: Mapping[ids.DomainId, float],
    excluded: Collection[ids.DomainId],
) -> tuple[dict[ids.DomainId, float], bool]:
    """Returns the shares of usable other domains, and whether the local is."""
    remote = {
        domain: share
        for domain, share in shares.items()
        if share > 0.0 and domain != local and domain not in excluded
    }
    total = sum(share for domain, share in shares.items() if domain != local)
    is_local_used = (
        local not in excluded and total < 1.0 - const.SPILLOVER_ROUNDING
    )
    return remote, is_local_used
