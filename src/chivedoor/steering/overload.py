"""Refusal of new flows whose first request would be answered late.

The load pattern that this answers is demand somewhat above the capacity of all
endpoints of a service, as in a burst while some of them are slow or gone. The
endpoints stay busy either way. Without refusals, their queues grow until every
request waits longer than its goal; with them, the queues stay short enough for
the requests that are accepted. A refused caller learns at once that nothing was
executed and can retry.
"""

from chivedoor.steering import const


def is_late(*, goal_s: float, predicted_s: float) -> bool:
    """Returns whether a request waits too long for its goal.

    Args:
        goal_s: Time within which a request of the route is to be answered, in
            seconds; 0 if the route has no goal.
        predicted_s: Expected delay of the request, in seconds.
    """
    return 0.0 < const.OVERLOAD_EXPECTED_SHARE * goal_s < predicted_s


def is_clearly_in_time(*, goal_s: float, predicted_s: float) -> bool:
    """Returns whether the estimate allows for its own error.

    The lowest of many estimates is mostly too low. An endpoint that is not
    among the random choices is only preferred by a margin.

    Args:
        goal_s: As for `is_late`.
        predicted_s: As for `is_late`.
    """
    share = const.OVERLOAD_EXPECTED_SHARE * const.CLEARLY_FASTER_SHARE
    return predicted_s <= share * goal_s
