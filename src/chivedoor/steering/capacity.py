"""Service time of each endpoint, and how many requests it may hold.

The load pattern that this answers is a service whose endpoints differ: most of
them slow, a few as fast as ever. The recent delays of an endpoint cover half a
second, in which a slow one completes two or three requests, so that a single
long request looks like a slow endpoint. The sums kept here cover some seconds.
They belong to one start of an endpoint and are dropped with it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import delays
from chivedoor.steering import view as views


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """Smoothed sums of one start of an endpoint."""

    incarnation: int
    sums: delays.DelaySums


class CapacityTable:
    """Smoothed delay sums by endpoint, own and reported ones together."""

    def __init__(self) -> None:
        self._records: dict[ids.EndpointId, _Record] = {}

    def __len__(self) -> int:
        """Returns the number of endpoints in the table."""
        return len(self._records)

    def get(self, endpoint_id: ids.EndpointId) -> delays.DelaySums | None:
        """Returns the sums of an endpoint, None without a request."""
        record = self._records.get(endpoint_id)
        return None if record is None else record.sums

    def update(
        self,
        table: delays.DelayTable,
        endpoints: Mapping[ids.EndpointId, views.Endpoint],
    ) -> None:
        """Adds the current sums; called once per tick.

        Args:
            table: The recent delays.
            endpoints: The listed endpoints. Others are dropped.
        """
        self._records = {
            endpoint_id: record
            for endpoint_id, record in self._records.items()
            if endpoint_id in endpoints
            and record.incarnation == endpoints[endpoint_id].incarnation
        }
        for record in self._records.values():
            record.sums.scale(const.CAPACITY_DECAY_PER_TICK)
        for endpoint_id, sums in table.list_totals().items():
            endpoint = endpoints.get(endpoint_id)
            if endpoint is None:
                continue
            record = self._records.setdefault(
                endpoint_id,
                _Record(
                    incarnation=endpoint.incarnation, sums=delays.DelaySums()
                ),
            )
            if _has_recovered(record.sums, sums):
                record.sums = _make_even(sums)
            else:
                record.sums.add(sums)
        self._records = {
            endpoint_id: record
            for endpoint_id, record in self._records.items()
            if record.sums.requests >= const.DELAY_MIN_REQUESTS
        }


def _has_recovered(known: delays.DelaySums, recent: delays.DelaySums) -> bool:
    """Returns whether an endpoint has become much faster.

    Sums are weighted by the delay, so that a few slow requests would outweigh
    the fast ones after them for seconds. An endpoint with a queue is left out:
    it may turn requests away, which looks fast.
    """
    return (
        recent.requests >= const.CAPACITY_MIN_RECOVERED_REQUESTS
        and recent.weighted_load_s
        <= const.CAPACITY_MAX_RECOVERED_LOAD * recent.delay_s
        and recent.delay_s / recent.requests
        < const.CAPACITY_RECOVERED_SHARE * _compute_service_s(known)
    )


def _make_even(sums: delays.DelaySums) -> delays.DelaySums:
    """Returns the sums of as many requests that all took the mean delay."""
    mean_s = sums.delay_s / sums.requests
    return delays.DelaySums(
        requests=sums.requests,
        delay_s=sums.delay_s,
        squared_delay_s2=sums.delay_s * mean_s,
        weighted_load_s=sums.delay_s,
    )


def estimate_service_times(
    endpoints: Iterable[views.Endpoint], table: CapacityTable
) -> dict[ids.EndpointId, float]:
    """Returns the service time of each endpoint, in seconds.

    An endpoint with few requests is drawn towards the common time, as if it had
    completed `DELAY_PRIOR_REQUESTS` more in that time. The times are 0 while
    nothing is known.
    """
    sums = {endpoint.id: table.get(endpoint.id) for endpoint in endpoints}
    total = delays.DelaySums()
    for known in filter(None, sums.values()):
        total.add(known)
    common_s = _compute_service_s(total)
    return {
        endpoint_id: _draw_to_common(known, common_s)
        for endpoint_id, known in sums.items()
    }


def _compute_service_s(sums: delays.DelaySums) -> float:
    """Returns the delay of a request with one request for each slot."""
    if not sums.weighted_load_s:
        return 0.0
    return sums.squared_delay_s2 / sums.weighted_load_s


def _draw_to_common(known: delays.DelaySums | None, common_s: float) -> float:
    if known is None:
        return common_s
    prior = const.DELAY_PRIOR_REQUESTS
    return (known.requests * _compute_service_s(known) + prior * common_s) / (
        known.requests + prior
    )


def compute_limit(
    *, endpoint: views.Endpoint, service_s: float, wait_s: float
) -> float:
    """Returns the number of requests that an endpoint may hold.

    The last of them is answered within `wait_s`. Each slot may always hold one
    request, since a late answer is better than an idle slot, and at most
    `MAX_REQUESTS_PER_SLOT`, since the length of the queue is not known.

    Args:
        endpoint: The endpoint.
        service_s: Its service time, in seconds; 0 if it is not known.
        wait_s: Longest delay of a request, in seconds.
    """
    rounds = (
        wait_s / service_s if service_s > 0.0 else const.MAX_REQUESTS_PER_SLOT
    )
    return endpoint.slots * min(max(1.0, rounds), const.MAX_REQUESTS_PER_SLOT)
