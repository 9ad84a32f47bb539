"""Carries out the decisions on packets."""

from collections.abc import Callable
import socket

from chivedoor import ids
from chivedoor.dataplane import port as ports
from chivedoor.edge import figures as figure_tables
from chivedoor.edge import knowledge as knowledge_module
from chivedoor.edge import lines
from chivedoor.platform import packets
from chivedoor.steering import exceptions as steering_errors
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import segment as segments
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts


def format_flow(flow: segments.FlowId) -> str:
    """Returns a flow as `caller:port>route:port`, its id in the logs."""
    route = ".".join(map(str, flow[2:6]))
    route_port = int.from_bytes(flow[:2], "big")
    caller = packets.get_caller_host(flow)
    return f"{caller}:{packets.get_caller_port(flow)}>{route}:{route_port}"


class Forwarder:
    """Reads packets, asks the steerer and sends what it decides.

    Attributes:
        packet_at: Time of the last packet of a caller, None before it.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        steerer: steerers.Steerer,
        log: lines.Lines,
        figures: figure_tables.Figures,
        clock: Callable[[], float],
        bound: socket.socket | None = None,
    ) -> None:
        """Creates a forwarder that reads no packets yet."""
        self.packet_at: float | None = None
        self.knowledge: knowledge_module.Knowledge | None = None
        self._callers_port = port
        self._steerer = steerer
        self._log = log
        self._figures = figures
        self._clock = clock
        self._port = ports.PacketPort(
            address=address,
            port=port,
            handle_batch=self._handle_batch,
            bound=bound,
        )

    @property
    def counters(self) -> ports.PortCounters:
        """Counters of the port."""
        return self._port.counters

    def start(self) -> None:
        """Starts to read packets.

        Raises:
            PortError: The port cannot be opened.
        """
        self._port.open()

    def discard_waiting(self) -> int:
        """Drops the packets that wait in the socket; returns their number."""
        return self._port.discard_waiting()

    def close(self) -> None:
        """Stops to read packets."""
        self._port.close()

    def reset_flows(self, endpoint_id: ids.EndpointId) -> None:
        """Resets the flows on an endpoint that is gone.

        Their callers learn at once that no answer will come, instead of
        waiting for their time limit.
        """
        for flow_id, flow in self._steerer.pop_endpoint_flows(endpoint_id):
            if flow.state is flow_tables.FlowState.IDLE:
                # Nothing waits there; the next packet is answered.
                continue
            self._reset_flow(
                flow_id, flow, verdicts.RefusalReason.ENDPOINT_REMOVED
            )

    def _reset_flow(
        self,
        flow_id: segments.FlowId,
        flow: flow_tables.Flow,
        reason: verdicts.RefusalReason,
    ) -> None:
        self._send_reset(flow_id, flow.acknowledged)
        self._log.write(
            lines.Kind.FLOW_RESET,
            flow=format_flow(flow_id),
            reason=reason.value,
            endpoint=flow.endpoint_id,
            state=flow.state.value,
            open_s=round(self._clock() - flow.opened_at, 3),
            view_age_s=self._get_view_age_s(),
        )

    def _handle_batch(self, batch: list[memoryview]) -> None:
        now = self._clock()
        self.packet_at = now
        decide = self._steerer.decide
        for datagram in batch:
            try:
                segment = packets.parse_segment(datagram)
            except steering_errors.MalformedSegmentError as error:
                self._figures.count(
                    figure_tables.Counter.MALFORMED_PACKETS, error.reason
                )
                continue
            self._carry_out(decide(segment, now), segment, datagram)
        self._steerer.check_handshakes(now)
        for flow_id, flow in self._steerer.pop_abandoned_flows(now):
            self._reset_flow(
                flow_id, flow, verdicts.RefusalReason.ENDPOINT_UNREACHABLE
            )
        duration_s = self._clock() - now
        self._figures.timings[figure_tables.Timing.BATCH].observe(duration_s)

    def _carry_out(
        self,
        verdict: verdicts.Verdict,
        segment: segments.Segment,
        datagram: memoryview,
    ) -> None:
        if type(verdict) is verdicts.Deliver:
            endpoint = verdict.endpoint
            self._port.send(
                packets.build_delivery(endpoint, datagram, verdict.tag),
                endpoint.address,
            )
            if verdict.tag is not None:
                self._report_placement(segment, verdict)
        elif type(verdict) is verdicts.Refuse:
            self._send_reset(segment.flow, segment.acknowledged)
            self._report_refusal(segment, verdict)
        elif type(verdict) is verdicts.Drop:
            self._report_drop(segment, verdict)

    def _send_reset(self, flow: segments.FlowId, acknowledged: int) -> None:
        self._port.send(
            packets.build_reset(flow, acknowledged),
            (packets.get_caller_host(flow), self._callers_port),
        )

    def _get_view_age_s(self) -> float | None:
        return self.knowledge.get_age_s() if self.knowledge else None

    def _report_placement(
        self, segment: segments.Segment, verdict: verdicts.Deliver
    ) -> None:
        endpoint = verdict.endpoint
        self._figures.count(figure_tables.Counter.FLOWS_PLACED)
        if segment.retransmissions:
            self._figures.count(figure_tables.Counter.HANDSHAKES_REPEATED)
        self._log.write(
            lines.Kind.FLOW_PLACED,
            flow=format_flow(segment.flow),
            endpoint=endpoint.id,
            endpoint_domain=endpoint.domain,
            tag=verdict.tag,
            repetition=segment.retransmissions,
            in_flight=self._steerer.flows.count_in_flight(endpoint.id),
            in_flight_elsewhere=self._steerer.peer_loads.get_count(endpoint.id),
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )

    def _report_refusal(
        self, segment: segments.Segment, verdict: verdicts.Refuse
    ) -> None:
        reason = verdict.reason.value
        self._figures.count(figure_tables.Counter.FLOWS_REFUSED, reason)
        self._log.write(
            lines.Kind.FLOW_REFUSED,
            flow=format_flow(segment.flow),
            reason=reason,
            segment=segment.kind.value,
            tag=segment.tag,
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )

    def _report_drop(
        self, segment: segments.Segment, verdict: verdicts.Drop
    ) -> None:
        reason = verdict.reason.value
        self._figures.count(figure_tables.Counter.PACKETS_DROPPED, reason)
        self._log.write(
            lines.Kind.PACKET_DROPPED,
            flow=format_flow(segment.flow),
            reason=reason,
            segment=segment.kind.value,
            tag=segment.tag,
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )
