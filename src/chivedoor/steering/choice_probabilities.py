"""Probabilities of random choices among endpoints.

They answer for operators which endpoint a flow would get, without drawing from
the generator that placement uses. Each function corresponds to one way in which
`placement` and `shortage` choose.
"""

import bisect
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math

from chivedoor import ids

# Values by endpoint, such as scores, delays in seconds or weights.
Values = Mapping[ids.EndpointId, float]
Probabilities = dict[ids.EndpointId, float]


def choose_by_weight(weights: Values) -> Probabilities:
    """Returns the probabilities of a choice with weights."""
    total = sum(weights.values())
    return {
        endpoint_id: weight / total for endpoint_id, weight in weights.items()
    }


def choose_lowest(
    groups: Sequence[tuple[Values, int | None]],
) -> Probabilities:
    """Returns the probabilities that an endpoint has the lowest value.

    Args:
        groups: Values by endpoint, with the number of endpoints that are drawn
            from the group at random, None for all. Among equal values of those
            drawn, each is equally likely.

    Returns:
        The probabilities of all endpoints, some of which may be 0.
    """
    sorted_values = [sorted(group.values()) for group, _ in groups]
    members = [_group_by_value(group) for group, _ in groups]
    probabilities: Probabilities = {}
    for value in set(itertools.chain.from_iterable(members)):
        ties = [
            _count_ties(values, count, value)
            for values, (_, count) in zip(sorted_values, groups, strict=True)
        ]
        shares = [0.0] * len(groups)
        for numbers in itertools.product(*map(range, map(len, ties))):
            probability = math.prod(
                known[number]
                for known, number in zip(ties, numbers, strict=True)
            )
            for index, number in enumerate(numbers):
                # No endpoint with the value is drawn if all numbers are 0.
                shares[index] += probability * number / max(1, sum(numbers))
        for known, share in zip(members, shares, strict=True):
            tied = known.get(value, ())
            probabilities |= {e: share / len(tied) for e in tied}
    return probabilities


def choose_in_time(
    delays_s: Values,
    *,
    late: Collection[ids.EndpointId],
    fast: Collection[ids.EndpointId],
    compared: int,
    choices: int,
) -> Probabilities:
    """Returns the probabilities of a choice that avoids late answers.

    The sooner one of a few random endpoints is chosen unless it is late. In
    that case, one of the fast endpoints among a larger random sample is chosen,
    or none.

    Args:
        delays_s: Expected delays, in seconds.
        late: Endpoints whose delay is too long.
        fast: Endpoints whose delay is clearly short enough; none is late.
        compared: Size of the sample.
        choices: Number of the endpoints that are compared first.

    Returns:
        The probabilities of all endpoints. Their sum is less than 1 if the flow
        may be refused.
    """
    lowest = choose_lowest([(delays_s, min(choices, len(delays_s)))])
    all_late = sum(lowest[e] for e in late)
    if not all_late:
        return lowest
    others = len(delays_s) - min(choices, len(delays_s))
    drawn = min(compared, len(delays_s)) - min(choices, len(delays_s))
    none_fast = math.comb(others - len(fast), drawn) / math.comb(others, drawn)
    return {
        e: (0.0 if e in late else probability)
        + (all_late * (1.0 - none_fast) / len(fast) if e in fast else 0.0)
        for e, probability in lowest.items()
    }


def choose_soonest(
    delays_s: Values,
    weights: Values,
    *,
    draws: int,
    free: Collection[ids.EndpointId],
) -> Probabilities:
    """Returns the probabilities that an endpoint has the shortest delay.

    Endpoints are drawn by weight, with repetition. One more is drawn evenly
    from `free`, and is chosen if its delay is shorter than that of the others.

    Args:
        delays_s: Expected delays, in seconds.
        weights: Weights of the draws.
        draws: Number of the draws by weight.
        free: Endpoints of the additional draw; may be empty.
    """
    members = _group_by_value(delays_s)
    total = remaining = sum(weights.values())
    remaining_free = len(free)
    probabilities: Probabilities = {}
    for delay_s in sorted(members):
        tied = members[delay_s]
        weight = sum(weights[e] for e in tied)
        tied_free = sum(e in free for e in tied)
        # The draws by weight come first, so that they win a tie.
        not_shorter = remaining_free / len(free) if free else 1.0
        longer = max(0.0, (remaining - weight) / total) ** draws
        shortest = (remaining / total) ** draws - longer
        for e in tied:
            probabilities[e] = shortest * not_shorter * weights[e] / weight
            if e in free:
                probabilities[e] += longer / len(free)
        remaining -= weight
        remaining_free -= tied_free
    return probabilities


def _group_by_value(values: Values) -> dict[float, list[ids.EndpointId]]:
    groups: dict[float, list[ids.EndpointId]] = {}
    for endpoint_id, value in values.items():
        groups.setdefault(value, []).append(endpoint_id)
    return groups


def _count_ties(
    values: Sequence[float], count: int | None, value: float
) -> list[float]:
    """Returns the probabilities of drawing 0, 1, ... endpoints with a value.

    All others that are drawn have a higher value.

    Args:
        values: The sorted values of a group.
        count: As for `choose_lowest`.
        value: The value.
    """
    higher = len(values) - bisect.bisect_right(values, value)
    tied = len(values) - higher - bisect.bisect_left(values, value)
    drawn = len(values) if count is None else min(count, len(values))
    return [
        math.comb(tied, number)
        * math.comb(higher, drawn - number)
        / math.comb(len(values), drawn)
        for number in range(drawn + 1)
    ]
