"""Tracking of requests in flight from the packets of callers.

A request starts when the caller sends data and ends when the caller
acknowledges more than before, which shows that the reply has arrived. The
table is used for placement only; packets are forwarded by their tag. Its size
is bounded, and a flow that is not in it counts as idle.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import observer as observers
from chivedoor.steering import segment as segments

_SEQUENCE_MASK = 0xFFFFFFFF
_HALF_SEQUENCE_SPACE = 0x80000000


class FlowState(enum.Enum):
    """State of a flow; working while a request is in flight."""

    OPENING = "opening"
    IDLE = "idle"
    WORKING = "working"


class SegmentEffect(enum.Enum):
    """What a packet of the caller tells about its flow."""

    NONE = "none"
    OPENED = "opened"
    PROGRESSED = "progressed"
    # The packet holds only data that the caller has sent before.
    RETRANSMITTED = "repeated"


class Flow:
    """Record of a flow whose packets pass through this balancer.

    Attributes:
        endpoint_id: The endpoint that serves the flow.
        state: The state of the flow.
        acknowledged: The last acknowledgement number of the caller.
        next_sequence: Sequence number after the last data that the caller
            sent, None before any data.
        opened_at: Time of the packet that created the record.
        state_changed_at: Time of the last state change.
        last_packet_at: Time of the last packet.
    """

    __slots__ = (
        "acknowledged",
        "state_changed_at",
        "endpoint_id",
        "opened_at",
        "last_packet_at",
        "next_sequence",
        "state",
    )

    def __init__(
        self,
        *,
        endpoint_id: ids.EndpointId,
        state: FlowState,
        acknowledged: int,
        now: float,
    ) -> None:
        """Creates a record; `now` is in seconds."""
        self.endpoint_id = endpoint_id
        self.state = state
        self.acknowledged = acknowledged
        self.next_sequence: int | None = None
        self.opened_at = now
        self.state_changed_at = now
        self.last_packet_at = now


class FlowTable:
    """Flows through this balancer, with a count of requests in flight."""

    def __init__(
        self,
        *,
        observer: observers.Observer,
        on_reply: Callable[[segments.FlowId, ids.EndpointId, float], None]
        | None = None,
        on_request: Callable[[segments.FlowId, ids.EndpointId, float], None]
        | None = None,
    ) -> None:
        """Creates an empty table.

        Args:
            observer: Receives the durations of handshakes and requests.
            on_reply: Called with a flow, its endpoint and the time in seconds
                from a request to its reply. A reply that is acknowledged by
                the next request is not reported, because the time includes a
                pause of the caller.
            on_request: Called with a flow, its endpoint and the current time in
                seconds when a request begins.
        """
        self._observer = observer
        self._on_reply = on_reply
        self._on_request = on_request
        self._flows: dict[segments.FlowId, Flow] = {}
        self._in_flight: dict[ids.EndpointId, int] = {}
        # Flows with a request or a handshake in flight.
        self._active: dict[segments.FlowId, Flow] = {}

    def __len__(self) -> int:
        """Returns the number of flows in the table."""
        return len(self._flows)

    def get(self, flow_id: segments.FlowId) -> Flow | None:
        """Returns the record of a flow."""
        return self._flows.get(flow_id)

    def count_in_flight(self, endpoint_id: ids.EndpointId) -> int:
        """Returns the number of requests and handshakes in flight."""
        return self._in_flight.get(endpoint_id, 0)

    def list_in_flight(self) -> dict[ids.EndpointId, int]:
        """Returns the non-zero numbers of requests in flight by endpoint."""
        return {
            endpoint_id: count
            for endpoint_id, count in self._in_flight.items()
            if count
        }

    def iterate_working(self) -> Iterator[tuple[segments.FlowId, Flow]]:
        """Returns the flows with a request in flight."""
        return (
            (flow_id, flow)
            for flow_id, flow in self._active.items()
            if flow.state is FlowState.WORKING
        )

    def iterate_flows(
        self, endpoint_id: ids.EndpointId
    ) -> Iterator[tuple[segments.FlowId, Flow]]:
        """Returns the flows of an endpoint."""
        return (
            (flow_id, flow)
            for flow_id, flow in tuple(self._flows.items())
            if flow.endpoint_id == endpoint_id
        )

    def open_flow(
        self,
        flow_id: segments.FlowId,
        endpoint_id: ids.EndpointId,
        now: float,
    ) -> None:
        """Records that an opening packet was sent to an endpoint."""
        self.close_flow(flow_id)
        if len(self._flows) >= const.MAX_FLOWS:
            return
        flow = Flow(
            endpoint_id=endpoint_id,
            state=FlowState.OPENING,
            acknowledged=0,
            now=now,
        )
        self._flows[flow_id] = flow
        self._active[flow_id] = flow
        self._adjust_in_flight(endpoint_id, 1)

    def record_segment(
        self,
        segment: segments.Segment,
        endpoint_id: ids.EndpointId,
        now: float,
    ) -> SegmentEffect:
        """Updates the record of a flow from an established packet."""
        flow = self._flows.get(segment.flow)
        if flow is None or flow.endpoint_id != endpoint_id:
            if flow is not None and flow.state is not FlowState.OPENING:
                self._observer.on_tag_changed(
                    segment.flow, flow.endpoint_id, endpoint_id
                )
            self.close_flow(segment.flow)
            self._add_established(segment, endpoint_id, now)
            return SegmentEffect.NONE
        flow.last_packet_at = now
        retransmitted = _record_data(flow, segment)
        if flow.state is FlowState.OPENING:
            flow.acknowledged = segment.acknowledged
            self._observer.on_handshake(now - flow.opened_at)
            self._set_state(
                segment.flow,
                flow,
                FlowState.WORKING if segment.payload_bytes else FlowState.IDLE,
                now,
            )
            return SegmentEffect.OPENED
        if self._record_progress(flow, segment, now):
            return SegmentEffect.PROGRESSED
        return (
            SegmentEffect.RETRANSMITTED if retransmitted else SegmentEffect.NONE
        )

    def finish_flow(self, segment: segments.Segment, now: float) -> None:
        """Removes the record of a flow that its caller finishes or aborts."""
        flow = self._flows.get(segment.flow)
        if flow is not None and segment.kind is segments.SegmentKind.FINISH:
            self._record_progress(flow, segment, now)
        self.close_flow(segment.flow)

    def close_flow(self, flow_id: segments.FlowId) -> None:
        """Removes the record of a flow."""
        flow = self._flows.pop(flow_id, None)
        if flow is not None and flow.state is not FlowState.IDLE:
            self._active.pop(flow_id, None)
            self._adjust_in_flight(flow.endpoint_id, -1)

    def expire(self, now: float) -> None:
        """Removes idle flows and stops counting overdue requests."""
        oldest = now - const.FLOW_IDLE_S
        expired = [
            flow_id
            for flow_id, flow in self._flows.items()
            if flow.last_packet_at < oldest
            or (
                flow.state is FlowState.OPENING
                and flow.last_packet_at < now - const.HANDSHAKE_LIFETIME_S
            )
        ]
        for flow_id in expired:
            self.close_flow(flow_id)
        overdue = now - const.REQUEST_LIFETIME_S
        for flow_id, flow in tuple(self.iterate_working()):
            if flow.state_changed_at < overdue:
                self._set_state(flow_id, flow, FlowState.IDLE, now)

    def _add_established(
        self,
        segment: segments.Segment,
        endpoint_id: ids.EndpointId,
        now: float,
    ) -> None:
        if len(self._flows) >= const.MAX_FLOWS:
            return
        working = segment.payload_bytes > 0
        flow = Flow(
            endpoint_id=endpoint_id,
            state=FlowState.WORKING if working else FlowState.IDLE,
            acknowledged=segment.acknowledged,
            now=now,
        )
        _record_data(flow, segment)
        self._flows[segment.flow] = flow
        if working:
            self._active[segment.flow] = flow
            self._adjust_in_flight(endpoint_id, 1)
            self._report_request(segment.flow, endpoint_id, now)

    def _record_progress(
        self, flow: Flow, segment: segments.Segment, now: float
    ) -> bool:
        """Returns whether the caller acknowledged more than before."""
        advance = (segment.acknowledged - flow.acknowledged) & _SEQUENCE_MASK
        progressed = 0 < advance < _HALF_SEQUENCE_SPACE
        if progressed:
            flow.acknowledged = segment.acknowledged
        if progressed and flow.state is FlowState.WORKING:
            self._observer.on_reply(now - flow.state_changed_at)
            if self._on_reply is not None and not segment.payload_bytes:
                self._on_reply(
                    segment.flow, flow.endpoint_id, now - flow.state_changed_at
                )
        if segment.payload_bytes:
            if progressed or flow.state is FlowState.IDLE:
                self._set_state(segment.flow, flow, FlowState.WORKING, now)
        elif progressed:
            self._set_state(segment.flow, flow, FlowState.IDLE, now)
        return progressed

    def _set_state(
        self,
        flow_id: segments.FlowId,
        flow: Flow,
        state: FlowState,
        now: float,
    ) -> None:
        was_idle = flow.state is FlowState.IDLE
        is_idle = state is FlowState.IDLE
        flow.state = state
        flow.state_changed_at = now
        if was_idle != is_idle:
            if is_idle:
                self._active.pop(flow_id, None)
            else:
                self._active[flow_id] = flow
            self._adjust_in_flight(flow.endpoint_id, -1 if is_idle else 1)
        if state is FlowState.WORKING:
            self._report_request(flow_id, flow.endpoint_id, now)

    def _report_request(
        self, flow_id: segments.FlowId, endpoint_id: ids.EndpointId, now: float
    ) -> None:
        if self._on_request is not None:
            self._on_request(flow_id, endpoint_id, now)

    def _adjust_in_flight(
        self, endpoint_id: ids.EndpointId, amount: int
    ) -> None:
        count = self._in_flight.get(endpoint_id, 0) + amount
        if count > 0:
            self._in_flight[endpoint_id] = count
        else:
            self._in_flight.pop(endpoint_id, None)


def _record_data(flow: Flow, segment: segments.Segment) -> bool:
    """Records the data of a packet; returns whether it is a retransmission."""
    if not segment.payload_bytes:
        return False
    end = (segment.sequence + segment.payload_bytes) & _SEQUENCE_MASK
    if flow.next_sequence is not None:
        advance = (end - flow.next_sequence) & _SEQUENCE_MASK
        if not 0 < advance < _HALF_SEQUENCE_SPACE:
            return True
    flow.next_sequence = end
    return False
