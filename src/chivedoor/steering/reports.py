"""Counts by endpoint, as reported by other balancers."""

from chivedoor import ids


class PeerCounts:
    """Latest report of each balancer, and the sums over all balancers."""

    def __init__(self, *, lifetime_s: float) -> None:
        """Creates an empty table; reports expire after `lifetime_s`."""
        self._lifetime_s = lifetime_s
        self._reports: dict[
            ids.VmId, tuple[float, dict[ids.EndpointId, int]]
        ] = {}
        self._sums: dict[ids.EndpointId, int] = {}

    def set_report(
        self, vm: ids.VmId, counts: dict[ids.EndpointId, int], now: float
    ) -> None:
        """Replaces the report of a balancer; counts below 1 are ignored."""
        self._remove_report(vm)
        positive = {
            endpoint_id: count
            for endpoint_id, count in counts.items()
            if count > 0
        }
        self._reports[vm] = (now, positive)
        for endpoint_id, count in positive.items():
            self._sums[endpoint_id] = self._sums.get(endpoint_id, 0) + count

    def get_count(self, endpoint_id: ids.EndpointId) -> int:
        """Returns the sum of the counts for an endpoint."""
        return self._sums.get(endpoint_id, 0)

    def list_counts(self) -> dict[ids.EndpointId, int]:
        """Returns the sums by endpoint."""
        return dict(self._sums)

    def expire(self, now: float) -> None:
        """Removes reports that are older than their lifetime."""
        oldest = now - self._lifetime_s
        for vm in [vm for vm, (at, _) in self._reports.items() if at < oldest]:
            self._remove_report(vm)

    def _remove_report(self, vm: ids.VmId) -> None:
        _, counts = self._reports.pop(vm, (0.0, {}))
        for endpoint_id, count in counts.items():
            self._sums[endpoint_id] -= count
            if not self._sums[endpoint_id]:
                del self._sums[endpoint_id]
