"""Detection of unreachable endpoints from retransmissions of callers.

A live endpoint answers an opening packet at once, however long its requests
take, unless it holds as many flows as it can or the packet waited behind a full
link. An endpoint is silent if a handshake is unanswered, requests of several
callers are stalled and no flow of the endpoint makes progress, in a large
domain through any of its balancers. It is considered failed or cut off if its
host does not answer a connection attempt either (`contacts`). This is known
seconds before the endpoint's entry disappears.
Retransmitted data alone is no evidence: receivers acknowledge only every
second packet, so a request of one packet is retransmitted whenever its reply is
slow.
"""

import enum

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import reports
from chivedoor.steering import segment as segments

# Only one balancer reports the sums of a domain at a time.
_SUMS_SENDER = ids.VmId("")


class RetransmissionKind(enum.Enum):
    """Kind of packet that a caller retransmitted."""

    HANDSHAKE = "handshake"
    REQUEST = "request"


class Reachability:
    """Counts retransmissions since the last progress of each endpoint."""

    def __init__(self) -> None:
        # Time of the last retransmission, by kind, endpoint and flow.
        self._retransmissions: dict[
            RetransmissionKind,
            dict[ids.EndpointId, dict[segments.FlowId, float]],
        ] = {kind: {} for kind in RetransmissionKind}
        self._reports = {kind: _make_reports() for kind in RetransmissionKind}
        # Sums over a whole domain, which include the counts of this balancer.
        self._sums = {kind: _make_reports() for kind in RetransmissionKind}
        self._last_progress_at: dict[ids.EndpointId, float] = {}
        # Time of the first report of another balancer.
        self._reported_since: float | None = None
        self._unreachable_until: dict[ids.EndpointId, float] = {}
        # Time of the last probe by endpoint.
        self._probed_at: dict[ids.EndpointId, float] = {}
        self._is_large_domain = False

    def set_large_domain(self, large: bool) -> None:
        """Sets whether the domain is large.

        In a large domain, each balancer sees little of an endpoint's progress,
        so slow requests and lost packets add up to higher counts.
        """
        self._is_large_domain = large

    def record_retransmission(
        self,
        kind: RetransmissionKind,
        endpoint_id: ids.EndpointId,
        flow: segments.FlowId,
        now: float,
    ) -> None:
        """Records that a caller retransmitted a packet to an endpoint."""
        self._retransmissions[kind].setdefault(endpoint_id, {})[flow] = now

    def record_progress(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Records that a caller received a packet from an endpoint."""
        self._last_progress_at[endpoint_id] = now
        self._unreachable_until.pop(endpoint_id, None)
        for retransmissions in self._retransmissions.values():
            retransmissions.pop(endpoint_id, None)

    def record_reported_progress(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> None:
        """Records that a caller of another balancer received a reply.

        A balancer of a small domain sees progress of each endpoint itself. If
        it sees none, it may be the one that does not reach the endpoint.
        """
        if not self._is_large_domain:
            return
        self._last_progress_at[endpoint_id] = now
        self._unreachable_until.pop(endpoint_id, None)

    def record_report(
        self,
        vm: ids.VmId,
        kind: RetransmissionKind,
        counts: dict[ids.EndpointId, int],
        now: float,
        *,
        summed: bool,
    ) -> None:
        """Stores the counts of another balancer, or the sums of a domain.

        The sums replace those of the balancer that reported them before.
        """
        if self._reported_since is None:
            self._reported_since = now
        if summed:
            self._sums[kind].set_report(_SUMS_SENDER, counts, now)
        else:
            self._reports[kind].set_report(vm, counts, now)

    def detect_unreachable(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> bool:
        """Updates the state of an endpoint whose host does not answer.

        Returns:
            Whether the endpoint is unreachable now and was not before.
        """
        if not self.is_silent(endpoint_id, now):
            return False
        known = self.is_unreachable(endpoint_id, now)
        self._unreachable_until[endpoint_id] = (
            now + const.UNREACHABLE_DURATION_S
        )
        return not known

    def is_unreachable(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint is considered unreachable."""
        return self._unreachable_until.get(endpoint_id, now) > now

    def count(
        self, kind: RetransmissionKind, endpoint_id: ids.EndpointId, now: float
    ) -> int:
        """Returns the number of flows with retransmissions of a kind."""
        own = len(self._list_recent(kind, endpoint_id, now))
        return max(
            own + self._reports[kind].get_count(endpoint_id),
            self._sums[kind].get_count(endpoint_id),
        )

    def find_probe_candidates(self, now: float) -> list[ids.EndpointId]:
        """Returns endpoints whose state only a handshake can determine.

        Placement avoids endpoints with stalled requests, so without a probe
        they may not get any handshake.
        """
        if self._is_large_domain:
            return []
        return [
            endpoint_id
            for endpoint_id in self._retransmissions[RetransmissionKind.REQUEST]
            if self._needs_probe(endpoint_id, now)
        ]

    def record_probe(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Records that a flow was placed on an endpoint as a probe."""
        self._probed_at[endpoint_id] = now

    def list_stalled_flows(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> list[segments.FlowId]:
        """Returns the flows with recently retransmitted requests."""
        return list(
            self._list_recent(RetransmissionKind.REQUEST, endpoint_id, now)
        )

    def list_counts(
        self, kind: RetransmissionKind, now: float, *, summed: bool
    ) -> dict[ids.EndpointId, int]:
        """Returns the counts to report.

        Args:
            kind: The kind of retransmission.
            now: The current time, in seconds.
            summed: Whether to add the counts that other balancers reported.
        """
        counts = self._reports[kind].list_counts() if summed else {}
        for endpoint_id in self._retransmissions[kind]:
            own = len(self._list_recent(kind, endpoint_id, now))
            if own:
                counts[endpoint_id] = counts.get(endpoint_id, 0) + own
        if not summed:
            return counts
        # The others do not hear of the progress that this balancer knows of.
        return {
            endpoint_id: count
            for endpoint_id, count in counts.items()
            if not self._has_progress(endpoint_id, now)
        }

    def expire(self, now: float) -> None:
        """Removes outdated records."""
        for kind in RetransmissionKind:
            self._reports[kind].expire(now)
            self._sums[kind].expire(now)
            self._retransmissions[kind] = {
                endpoint_id: recent
                for endpoint_id in self._retransmissions[kind]
                if (recent := self._list_recent(kind, endpoint_id, now))
            }
        self._unreachable_until = {
            endpoint_id: until
            for endpoint_id, until in self._unreachable_until.items()
            if until > now
        }
        self._probed_at = {
            endpoint_id: at
            for endpoint_id, at in self._probed_at.items()
            if at >= now - const.PROBE_INTERVAL_S
        }
        oldest = now - const.NO_PROGRESS_S
        self._last_progress_at = {
            endpoint_id: at
            for endpoint_id, at in self._last_progress_at.items()
            if at >= oldest
        }

    def is_silent(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint answers no caller, as far as is known.

        This also holds for an endpoint that takes no further flow while all its
        requests are slow. Whether it is unreachable has to be checked.
        """
        if self._has_progress(endpoint_id, now):
            return False
        handshakes = self.count(RetransmissionKind.HANDSHAKE, endpoint_id, now)
        if not handshakes or self._is_single_caller(endpoint_id, now):
            return False
        if self._is_large_domain:
            return (
                handshakes >= const.UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN
                and self._may_use_reports(endpoint_id, now)
            )
        requests = self.count(RetransmissionKind.REQUEST, endpoint_id, now)
        return handshakes + requests >= const.UNREACHABLE_MIN_FLOWS

    def _has_progress(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether a flow of an endpoint made progress recently."""
        progress_at = self._last_progress_at.get(endpoint_id)
        return progress_at is not None and (
            now - progress_at < const.NO_PROGRESS_S
        )

    def _may_use_reports(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether a lack of progress is known well enough.

        A balancer of a large domain that has just started has seen no progress
        of any endpoint. Reports alone then tell nothing.
        """
        if self._list_recent(RetransmissionKind.HANDSHAKE, endpoint_id, now):
            return True
        return (
            self._reported_since is not None
            and now - self._reported_since >= const.NO_PROGRESS_S
        )

    def _needs_probe(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        progress_at = self._last_progress_at.get(endpoint_id)
        probed_at = self._probed_at.get(endpoint_id)
        return (
            (
                progress_at is None
                or now - progress_at >= const.PROBE_NO_PROGRESS_S
            )
            and (probed_at is None or now - probed_at >= const.PROBE_INTERVAL_S)
            and self.count(RetransmissionKind.REQUEST, endpoint_id, now)
            >= const.UNREACHABLE_MIN_FLOWS - 1
            and not self.count(RetransmissionKind.HANDSHAKE, endpoint_id, now)
        )

    def _is_single_caller(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> bool:
        """Returns whether all retransmissions come from a single caller.

        In that case, the caller itself may be cut off.
        """
        callers = {
            flow[segments.CALLER_ADDRESS]
            for kind in RetransmissionKind
            for flow in self._list_recent(kind, endpoint_id, now)
        }
        reported = any(
            table[kind].get_count(endpoint_id)
            for table in (self._reports, self._sums)
            for kind in RetransmissionKind
        )
        return len(callers) < 2 and not reported

    def _list_recent(
        self, kind: RetransmissionKind, endpoint_id: ids.EndpointId, now: float
    ) -> dict[segments.FlowId, float]:
        oldest = now - const.RETRANSMISSION_LIFETIME_S
        return {
            flow: at
            for flow, at in self._retransmissions[kind]
            .get(endpoint_id, {})
            .items()
            if at >= oldest
        }


def _make_reports() -> reports.PeerCounts:
    return reports.PeerCounts(lifetime_s=const.REPORTED_SUSPICION_LIFETIME_S)
