"""Endpoints that hold as many flows as they can.

The load pattern that this answers is a service whose endpoints all hold
`max_connections` flows, as after a failure domain was emptied. They leave
further handshakes unanswered, so that callers wait until the end of their
attempt. They are refused at once instead.

A handshake can also stay unanswered because the endpoint is cut off, because a
packet was lost or because the caller is cut off. An endpoint counts as full if
handshakes of several callers stayed unanswered, none that was sent later was
answered, and the endpoint then showed that it is alive: one of its open flows
made progress, or its host answered a connection attempt (`contacts`). A slow
endpoint answers handshakes at once and is never full. An answered handshake
shows that an endpoint is not full, unless it took the place of a flow that was
closed through this balancer.
"""

import collections
from collections.abc import Sequence
import enum
import math

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import contacts as contact_module
from chivedoor.steering import reachability as reachability_module
from chivedoor.steering import segment as segments
from chivedoor.steering import view as views


class _Record:
    """What is known of an endpoint since it last answered a handshake.

    Attributes:
        unanswered: Time at which the last copy of an opening packet arrived,
            by flow; oldest first.
        unanswered_at: Time of the last of them.
        alive_at: Time of the last sign of life after one of them.
        full: Whether the endpoint was found to be full.
        closed: Times at which a flow of the endpoint was closed and its place
            was not taken again, as far as this balancer knows.
        granted: Times at which a new flow was let through for such a place
            whose handshake is not answered yet.
    """

    __slots__ = (
        "alive_at",
        "closed",
        "full",
        "granted",
        "unanswered",
        "unanswered_at",
    )

    def __init__(self) -> None:
        self.unanswered: dict[segments.FlowId, float] = {}
        self.unanswered_at = -math.inf
        self.alive_at = -math.inf
        self.full = False
        self.closed: collections.deque[float] = collections.deque(
            maxlen=const.FULL_MAX_CLOSED
        )
        self.granted: collections.deque[float] = collections.deque(
            maxlen=const.FULL_MAX_CLOSED
        )


class Admission(enum.Enum):
    """How a new flow is admitted to the endpoints of a service."""

    # At least one of them is not known to be full.
    NOT_FULL = "not-full"
    # A flow of an endpoint was closed, so that it has a place.
    FREED_PLACE = "freed-place"
    PROBE = "probe"
    REFUSED = "refused"


class FullEndpoints:
    """Finds full endpoints and limits the new flows to them."""

    def __init__(
        self,
        *,
        reachability: reachability_module.Reachability,
        contacts: contact_module.Contacts,
    ) -> None:
        """Creates an empty table.

        Args:
            reachability: Counts of unanswered handshakes of other balancers.
            contacts: Receives requests for checks of endpoints that show no
                sign of life.
        """
        self._reachability = reachability
        self._contacts = contacts
        self._records: dict[ids.EndpointId, _Record] = {}
        self._answered_at: dict[ids.EndpointId, float] = {}
        # Time of the last probe by service.
        self._probed_at: dict[ids.ServiceId, float] = {}

    def record_unanswered(
        self,
        endpoint_id: ids.EndpointId,
        flow: segments.FlowId,
        opened_at: float,
        now: float,
    ) -> None:
        """Records that a caller repeated an opening packet.

        Args:
            endpoint_id: The endpoint that left the packet unanswered.
            flow: The flow of the packet.
            opened_at: Time at which the packet was sent to the endpoint. The
                endpoint may have had no place then, or the packet was lost, if
                a later one was answered.
            now: The current time, in seconds.
        """
        if opened_at <= self._answered_at.get(endpoint_id, -math.inf):
            return
        record = self._records.setdefault(endpoint_id, _Record())
        record.unanswered.pop(flow, None)
        record.unanswered[flow] = now
        record.unanswered_at = now
        for places in (record.closed, record.granted):
            while places and places[0] <= opened_at:
                places.popleft()

    def record_answered(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Records that an endpoint answered a handshake.

        It is not full, unless the flow took a place that is known to have
        become free.
        """
        record = self._records.get(endpoint_id)
        if record is not None and record.full:
            places = record.granted or record.closed
            if places:
                places.popleft()
                return
        self._answered_at[endpoint_id] = now
        self._records.pop(endpoint_id, None)

    def record_progress(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Records that a caller received a reply from an endpoint."""
        record = self._records.get(endpoint_id)
        if record is not None:
            record.alive_at = now
            record.full = record.full or self._has_enough_callers(
                endpoint_id, now
            )

    def record_closed(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Records that a caller closed a flow, so that a place is free."""
        record = self._records.get(endpoint_id)
        if record is not None:
            record.closed.append(now)

    def record_contact(
        self,
        endpoint_id: ids.EndpointId,
        result: contact_module.Contact,
        now: float,
    ) -> None:
        """Records the result of a check.

        A silent host explains all handshakes that stayed unanswered.
        """
        if result is contact_module.Contact.ANSWERED:
            self.record_progress(endpoint_id, now)
        elif result is contact_module.Contact.SILENT:
            self._records.pop(endpoint_id, None)

    def is_full(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint is known to be full."""
        if not self._may_be_full(endpoint_id, now):
            return False
        record = self._records[endpoint_id]
        return (
            record.full and now - record.alive_at < const.FULL_ALIVE_LIFETIME_S
        )

    @property
    def has_records(self) -> bool:
        """Whether an endpoint left a handshake unanswered lately."""
        return bool(self._records)

    def select(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> Sequence[views.Endpoint]:
        """Returns the endpoints among which a new flow is placed.

        Endpoints without a sign of life are checked, but only once the result
        decides whether all endpoints are full.

        Args:
            endpoints: The usable warm endpoints of one service, at least one.
            now: The current time, in seconds.

        Returns:
            All of them, unless all are full. In that case an endpoint of which
            a flow was closed, all endpoints for a probe, or none.
        """
        if not self._records or not all(
            self._may_be_full(endpoint.id, now) for endpoint in endpoints
        ):
            return endpoints
        for endpoint in endpoints:
            alive_at = self._records[endpoint.id].alive_at
            if now - alive_at >= const.NO_PROGRESS_S:
                self._contacts.request(endpoint.id, now)
        admission, selected = self.find_admission(endpoints, now)
        if admission is Admission.FREED_PLACE:
            record = self._records[selected[0].id]
            record.closed.popleft()
            record.granted.append(now)
        elif admission is Admission.PROBE:
            self._probed_at[endpoints[0].service] = now
        return selected

    def find_admission(
        self, endpoints: Sequence[views.Endpoint], now: float
    ) -> tuple[Admission, Sequence[views.Endpoint]]:
        """Returns what `select` decides, without any effect.

        Args:
            endpoints: As for `select`.
            now: The current time, in seconds.

        Returns:
            How a new flow is admitted, and the endpoints that may take it.
        """
        if not all(self.is_full(endpoint.id, now) for endpoint in endpoints):
            return Admission.NOT_FULL, endpoints
        for endpoint in endpoints:
            if self._records[endpoint.id].closed:
                return Admission.FREED_PLACE, [endpoint]
        probed_at = self._probed_at.get(endpoints[0].service, -math.inf)
        if now - probed_at < const.FULL_PROBE_INTERVAL_S:
            return Admission.REFUSED, ()
        return Admission.PROBE, endpoints

    def expire(self, now: float) -> None:
        """Removes outdated records."""
        self._records = {
            endpoint_id: record
            for endpoint_id, record in self._records.items()
            if now - record.unanswered_at < const.FULL_LIFETIME_S
        }
        for record in self._records.values():
            record.unanswered = {
                flow: at
                for flow, at in record.unanswered.items()
                if now - at < const.FULL_WINDOW_S
            }
        self._answered_at = {
            endpoint_id: at
            for endpoint_id, at in self._answered_at.items()
            if now - at < const.HANDSHAKE_LIFETIME_S
        }
        self._probed_at = {
            service: at
            for service, at in self._probed_at.items()
            if now - at < const.FULL_PROBE_INTERVAL_S
        }

    def _may_be_full(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether only a sign of life may be missing."""
        record = self._records.get(endpoint_id)
        return (
            record is not None
            and now - record.unanswered_at < const.FULL_LIFETIME_S
            and not self._reachability.is_unreachable(endpoint_id, now)
            and (record.full or self._has_enough_callers(endpoint_id, now))
        )

    def _has_enough_callers(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> bool:
        """Returns whether several callers got no answer recently.

        Other balancers report handshakes and not callers, and all of them may
        be of the caller that this balancer has seen.
        """
        record = self._records[endpoint_id]
        callers: set[bytes] = set()
        for flow, at in reversed(record.unanswered.items()):
            if now - at >= const.FULL_WINDOW_S:
                break
            callers.add(flow[segments.CALLER_ADDRESS])
            if len(callers) >= const.FULL_MIN_CALLERS:
                return True
        if not callers:
            return False
        known = self._reachability.count(
            reachability_module.RetransmissionKind.HANDSHAKE, endpoint_id, now
        )
        reported = known - len(record.unanswered)
        return reported >= const.FULL_MIN_REPORTED_HANDSHAKES
