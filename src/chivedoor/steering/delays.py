"""Delays of requests by endpoint, as observed by the balancers of a domain.

The load pattern that this answers is demand above the capacity of the
endpoints. The number of requests in flight alone shows neither how long a
request waits nor that an endpoint is slow: balancers of other domains use the
same endpoints and do not report their load. The delays of completed requests
include both. Together with the number of requests in flight at the time, they
give the delay that each further request adds.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import view as views


@dataclasses.dataclass(slots=True)
class DelaySums:
    """Exponentially decaying sums over completed requests.

    Means are weighted by the delay. Requests that an endpoint turns away
    because its queue is full end at once and would hide that all others wait.

    Attributes:
        requests: Number of requests.
        delay_s: Sum of the delays, in seconds.
        slow_delay_s: Sum of the delays of those requests that waited for long
            in a queue, in seconds.
        squared_delay_s2: Sum of the squared delays, in square seconds.
        weighted_load_s: Sum of the products of delay and requests in flight
            for each slot, at least one, in seconds.
    """

    requests: float = 0.0
    delay_s: float = 0.0
    slow_delay_s: float = 0.0
    squared_delay_s2: float = 0.0
    weighted_load_s: float = 0.0

    def add(self, other: "DelaySums") -> None:
        """Adds the sums of other requests."""
        self.requests += other.requests
        self.delay_s += other.delay_s
        self.slow_delay_s += other.slow_delay_s
        self.squared_delay_s2 += other.squared_delay_s2
        self.weighted_load_s += other.weighted_load_s

    def scale(self, factor: float) -> None:
        """Multiplies all sums by a factor."""
        self.requests *= factor
        self.delay_s *= factor
        self.slow_delay_s *= factor
        self.squared_delay_s2 *= factor
        self.weighted_load_s *= factor


class SumTable(Protocol):
    """Delay sums by endpoint, of any period."""

    def get(self, endpoint_id: ids.EndpointId) -> DelaySums | None:
        """Returns the sums of an endpoint, None without a request."""


class DelayTable:
    """Delay sums by endpoint, of this balancer and of its peers."""

    def __init__(self) -> None:
        self._local: dict[ids.EndpointId, DelaySums] = {}
        self._reports: dict[
            ids.VmId, tuple[float, Mapping[ids.EndpointId, DelaySums]]
        ] = {}
        self._totals: dict[ids.EndpointId, DelaySums] = {}

    def record(
        self,
        endpoint_id: ids.EndpointId,
        *,
        delay_s: float,
        goal_s: float,
        load: float,
    ) -> None:
        """Records a completed request.

        Delays are capped, so that a few requests that were stalled by a
        partition do not outweigh all others. Stalled requests are not slow in
        the sense of `DelaySums`: no queue is that long.

        Args:
            endpoint_id: The endpoint.
            delay_s: Time from the request to its reply, in seconds.
            goal_s: Time within which it was to be answered, in seconds; 0 if
                its route has no goal.
            load: Requests in flight at the endpoint for each of its slots.
        """
        slow = (
            const.SLOW_GOALS * goal_s < delay_s <= const.STALLED_GOALS * goal_s
        )
        if goal_s:
            delay_s = min(delay_s, const.MAX_DELAY_GOALS * goal_s)
        sums = DelaySums(
            requests=1.0,
            delay_s=delay_s,
            slow_delay_s=delay_s if slow else 0.0,
            squared_delay_s2=delay_s**2,
            # With free slots, the delay does not depend on the load.
            weighted_load_s=delay_s * max(1.0, load),
        )
        for table in (self._local, self._totals):
            table.setdefault(endpoint_id, DelaySums()).add(sums)

    def set_report(
        self,
        vm: ids.VmId,
        sums: Mapping[ids.EndpointId, DelaySums],
        now: float,
    ) -> None:
        """Replaces the report of a balancer; it takes effect on the next tick.

        Args:
            vm: The balancer.
            sums: Its sums by endpoint.
            now: The current time, in seconds.
        """
        self._reports[vm] = (now, sums)

    def get(self, endpoint_id: ids.EndpointId) -> DelaySums | None:
        """Returns the sums over all balancers, None without a request."""
        return self._totals.get(endpoint_id)

    def list_totals(self) -> Mapping[ids.EndpointId, DelaySums]:
        """Returns the sums over all balancers by endpoint."""
        return self._totals

    def list_report(
        self, *, summed: bool, short: bool = False
    ) -> dict[ids.EndpointId, DelaySums]:
        """Returns the sums to report to other balancers.

        Args:
            summed: Whether to add the reports of the others. The result is
                empty unless requests wait at some endpoint, because it is sent
                to all balancers of a large domain.
            short: Whether a service is short of capacity. Its limits depend on
                the sums even while they keep the queues short.
        """
        if not summed:
            return self._local
        if not short and not any(map(_is_slow, self._totals.values())):
            return {}
        return self._totals

    def update(self, now: float) -> None:
        """Decays the local sums and adds the recent reports; called per tick.

        Args:
            now: The current time, in seconds.
        """
        for sums in self._local.values():
            sums.scale(const.DELAY_DECAY_PER_TICK)
        self._local = {
            endpoint_id: sums
            for endpoint_id, sums in self._local.items()
            if sums.requests >= const.DELAY_MIN_REQUESTS
        }
        oldest = now - const.LOAD_REPORT_LIFETIME_S
        self._reports = {
            vm: (at, sums)
            for vm, (at, sums) in self._reports.items()
            if at >= oldest
        }
        self._totals = {
            endpoint_id: dataclasses.replace(sums)
            for endpoint_id, sums in self._local.items()
        }
        for _, reported in self._reports.values():
            for endpoint_id, sums in reported.items():
                self._totals.setdefault(endpoint_id, DelaySums()).add(sums)


class DelayEstimate:
    """Expected delays at the endpoints that a new flow may go to.

    Attributes:
        is_congested: Whether requests spend most of their time in queues.
    """

    def __init__(
        self, *, endpoints: Iterable[views.Endpoint], table: SumTable
    ) -> None:
        """Creates an estimate from the recent requests of the endpoints."""
        self._table = table
        total = DelaySums()
        for endpoint in endpoints:
            sums = table.get(endpoint.id)
            if sums is not None:
                total.add(sums)
        self.is_congested = (
            total.requests >= const.OVERLOAD_MIN_REQUESTS
            and total.slow_delay_s > const.OVERLOAD_SLOW_SHARE * total.delay_s
        )
        # Delay of a request at an endpoint with one request for each slot.
        self._service_s = (
            total.squared_delay_s2 / total.weighted_load_s
            if total.weighted_load_s
            else 0.0
        )
        self._prior_s = (
            const.DELAY_PRIOR_REQUESTS * total.weighted_load_s / total.requests
            if total.requests
            else 0.0
        )

    def compute_slowness(self, endpoint: views.Endpoint) -> float:
        """Returns an endpoint's service time relative to that of all.

        Few requests say little, so the value is drawn towards 1 as if the
        endpoint had completed `DELAY_PRIOR_REQUESTS` more at the common speed.
        """
        sums = self._table.get(endpoint.id)
        if sums is None or not self._service_s:
            return 1.0
        slowness = (sums.squared_delay_s2 / self._service_s + self._prior_s) / (
            sums.weighted_load_s + self._prior_s
        )
        if slowness < const.MIN_SLOWNESS and not self.is_congested:
            return 1.0
        return min(const.MAX_SLOWNESS, max(1.0 / const.MAX_SLOWNESS, slowness))

    def predict_delay_s(
        self, endpoint: views.Endpoint, in_flight: int
    ) -> float:
        """Returns the expected delay of a new request, in seconds.

        Args:
            endpoint: The endpoint.
            in_flight: Number of requests already in flight at it.
        """
        load = max(1.0, (in_flight + 1) / endpoint.slots)
        return self._service_s * self.compute_slowness(endpoint) * load


def _is_slow(sums: DelaySums) -> bool:
    """Returns whether requests of an endpoint mostly wait in its queue."""
    return (
        sums.requests >= const.DELAY_PRIOR_REQUESTS
        and sums.slow_delay_s > const.OVERLOAD_SLOW_SHARE * sums.delay_s
    )
