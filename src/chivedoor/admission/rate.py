"""Rate limits of new flows per service, with priorities under saturation."""

from collections.abc import Iterable
import dataclasses
import itertools
import math
import operator

from chivedoor import ids
from chivedoor.admission import const
from chivedoor.admission import exceptions


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceBucket:
    """Token bucket of one service."""

    rate_per_s: float
    priority: int
    tokens: float
    refilled_at: float


class FlowRateLimiter:
    """Limits the rate of new flows per service and of the whole balancer.

    If the total demand exceeds the capacity, services with higher priority are
    served first. Services of equal priority share the remaining capacity by
    max-min fairness: what one service does not need goes to the others.
    """

    def __init__(self, *, capacity_per_s: float, now: float) -> None:
        """Initializes the limiter without services.

        Args:
            capacity_per_s: New flows per second that this balancer can handle.
            now: Monotonic time in seconds.

        Raises:
            exceptions.RateError: The capacity is not positive.
        """
        _check_rate(capacity_per_s)
        self._capacity_per_s = capacity_per_s
        self._tokens = _get_burst(capacity_per_s)
        self._refilled_at = now
        self._services: dict[ids.ServiceId, _ServiceBucket] = {}
        self._offered: dict[ids.ServiceId, int] = {}
        self._interval_started_at = now
        # Fair rate of one service by priority; no entry means no limit.
        self._fair_rates: dict[int, float] = {}

    def set_service(
        self,
        service: ids.ServiceId,
        *,
        rate_per_s: float,
        priority: int,
        now: float,
    ) -> None:
        """Adds a service or changes its rate and priority.

        Args:
            service: Identifier of the service.
            rate_per_s: Maximum number of new flows per second.
            priority: Priority under saturation; higher values are served first.
            now: Monotonic time in seconds.

        Raises:
            exceptions.RateError: The rate is not positive.
        """
        _check_rate(rate_per_s)
        existing = self._services.get(service)
        if existing is not None:
            existing.rate_per_s = rate_per_s
            existing.priority = priority
            return
        self._services[service] = _ServiceBucket(
            rate_per_s=rate_per_s,
            priority=priority,
            tokens=_get_burst(rate_per_s),
            refilled_at=now,
        )

    def remove_service(self, service: ids.ServiceId) -> None:
        """Removes a service; ignores unknown services."""
        self._services.pop(service, None)
        self._offered.pop(service, None)

    def admit(self, service: ids.ServiceId, now: float) -> bool:
        """Returns whether a new flow is admitted, and consumes its tokens.

        Args:
            service: The service of the flow.
            now: Monotonic time in seconds.

        Raises:
            exceptions.RateError: The service is unknown.
        """
        bucket = self._services.get(service)
        if bucket is None:
            raise exceptions.RateError(f"service {service} is unknown")
        self._update_fair_rates(now)
        self._offered[service] = self._offered.get(service, 0) + 1
        self._refill(now)
        self._refill_service(bucket, now)
        if self._tokens < 1 or bucket.tokens < 1:
            return False
        self._tokens -= 1
        bucket.tokens -= 1
        return True

    def dump_state(self) -> dict:
        """Returns the rates and fair rates as plain values."""
        return {
            "capacity_per_s": self._capacity_per_s,
            "services": {
                service: dataclasses.asdict(bucket)
                for service, bucket in self._services.items()
            },
            "levels": dict(self._fair_rates),
        }

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        tokens = self._tokens + elapsed * self._capacity_per_s
        self._tokens = min(tokens, _get_burst(self._capacity_per_s))
        self._refilled_at = now

    def _refill_service(self, bucket: _ServiceBucket, now: float) -> None:
        fair_rate = self._fair_rates.get(bucket.priority, math.inf)
        rate = min(bucket.rate_per_s, fair_rate)
        elapsed = max(0.0, now - bucket.refilled_at)
        tokens = bucket.tokens + elapsed * rate
        bucket.tokens = min(tokens, _get_burst(rate))
        bucket.refilled_at = now

    def _update_fair_rates(self, now: float) -> None:
        elapsed = now - self._interval_started_at
        if elapsed < const.RATE_INTERVAL_S:
            return
        self._fair_rates = self._compute_fair_rates(elapsed)
        self._offered = {}
        self._interval_started_at = now

    def _compute_fair_rates(self, elapsed_s: float) -> dict[int, float]:
        demands = [
            (bucket.priority, min(count / elapsed_s, bucket.rate_per_s))
            for service, count in self._offered.items()
            for bucket in (self._services[service],)
        ]
        if sum(demand for _, demand in demands) <= self._capacity_per_s:
            return {}
        get_priority = operator.itemgetter(0)
        demands.sort(key=get_priority, reverse=True)
        remaining = self._capacity_per_s
        fair_rates = {}
        for priority, group in itertools.groupby(demands, key=get_priority):
            group_demands = [demand for _, demand in group]
            fair_rates[priority] = compute_fair_rate(group_demands, remaining)
            remaining -= sum(
                min(wanted, fair_rates[priority]) for wanted in group_demands
            )
            remaining = max(remaining, 0.0)
        return fair_rates


def compute_fair_rate(demands: Iterable[float], capacity: float) -> float:
    """Computes the max-min fair rate of demands that share a capacity.

    Args:
        demands: Requested rates.
        capacity: The total rate to allocate.

    Returns:
        The rate at which the demands, each capped at this rate, add up to the
        capacity; infinity if the demands do not exceed the capacity.
    """
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        equal_share = capacity / (len(ordered) - index)
        if demand > equal_share:
            return equal_share
        capacity -= demand
    return math.inf


def _get_burst(rate_per_s: float) -> float:
    return max(1.0, rate_per_s * const.RATE_BURST_S)


def _check_rate(rate_per_s: float) -> None:
    if not rate_per_s > 0:
        raise exceptions.RateError(f"rate {rate_per_s} is not positive")
