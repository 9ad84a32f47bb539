"""Forwards packets as the steerer decides."""

from collections.abc import Callable
import socket

from chivedoor import ids
from chivedoor.dataplane import port as ports
from chivedoor.edge import flow_names
from chivedoor.edge import log_writer
from chivedoor.edge import metrics as metrics_module
from chivedoor.edge import view_updater as view_updater_module
from chivedoor.platform import packets
from chivedoor.steering import exceptions as steering_errors
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import segment as segments
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views


class Forwarder:
    """Receives packets and delivers, refuses or drops them.

    Attributes:
        last_packet_at: Time of the last packet received, None before the first.
        view_updater: Provides the age of the view for log lines. Set after
            creation, because the updater is created with `reset_flows`.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        domain: ids.DomainId,
        steerer: steerers.Steerer,
        log: log_writer.LogWriter,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        check_contact: Callable[[views.Endpoint], None],
        packet_socket: socket.socket | None = None,
    ) -> None:
        """Creates a forwarder; `start` begins to receive packets.

        Args:
            address: The local address that packets are sent to.
            port: The port of the packets, also at the callers.
            domain: The failure domain of this balancer.
            steerer: Decides what is done with each packet.
            log: Writes a line for each decision.
            metrics: Counts packets and decisions.
            clock: Returns the time in seconds.
            check_contact: Called with each endpoint whose host is to be
                checked.
            packet_socket: The bound packet socket; None to open one.
        """
        self.last_packet_at: float | None = None
        self.view_updater: view_updater_module.ViewUpdater | None = None
        self._caller_port = port
        self._domain = domain
        self._steerer = steerer
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._check_contact = check_contact
        self._port = ports.PacketPort(
            address=address,
            port=port,
            handle_batch=self._handle_batch,
            bound_socket=packet_socket,
        )

    @property
    def counters(self) -> ports.PortCounters:
        """The counters of the packet port."""
        return self._port.counters

    def start(self) -> None:
        """Starts to receive packets.

        Raises:
            PortError: The port cannot be opened.
        """
        self._port.open()

    def observe_time(self, now: float) -> None:
        """Logs a pause of the process that has just ended.

        Called before each batch of packets and on each tick.
        """
        pause_s = self._steerer.pauses.observe(now)
        if pause_s is not None:
            self._log.write(
                log_writer.EventType.PAUSED,
                pause_s=round(pause_s, 3),
                view_age_s=self._get_view_age_s(),
            )

    def discard_waiting(self) -> int:
        """Discards the packets queued in the socket; returns their number."""
        return self._port.discard_waiting()

    def close(self) -> None:
        """Stops receiving packets and closes the port."""
        self._port.close()

    def reset_flows(self, endpoint_id: ids.EndpointId) -> None:
        """Resets the flows of an endpoint that was removed.

        Their callers fail at once instead of waiting for their timeout.
        """
        for flow_id, flow in self._steerer.pop_endpoint_flows(endpoint_id):
            if flow.state is flow_tables.FlowState.IDLE:
                # No request is pending. The next packet of the flow, if any,
                # is refused.
                continue
            self._reset_flow(
                flow_id, flow, verdicts.RefusalReason.ENDPOINT_REMOVED
            )

    def reset_abandoned_flows(self) -> None:
        """Resets stalled flows of endpoints that have become unreachable."""
        for flow_id, flow in self._steerer.pop_abandoned_flows(self._clock()):
            self._reset_flow(
                flow_id, flow, verdicts.RefusalReason.ENDPOINT_UNREACHABLE
            )

    def _reset_flow(
        self,
        flow_id: segments.FlowId,
        flow: flow_tables.Flow,
        reason: verdicts.RefusalReason,
    ) -> None:
        self._send_reset(flow_id, flow.acknowledged)
        self._log.write(
            log_writer.EventType.FLOW_RESET,
            flow=flow_names.format_flow(flow_id),
            reason=reason.value,
            endpoint=flow.endpoint_id,
            state=flow.state.value,
            open_s=round(self._clock() - flow.opened_at, 3),
            view_age_s=self._get_view_age_s(),
        )

    def _handle_batch(self, batch: list[memoryview]) -> None:
        now = self._clock()
        self.last_packet_at = now
        self.observe_time(now)
        decide = self._steerer.decide
        for datagram in batch:
            try:
                segment = packets.parse_segment(datagram)
            except steering_errors.MalformedSegmentError as error:
                self._metrics.count(
                    metrics_module.Counter.MALFORMED_PACKETS, error.reason
                )
                continue
            self._apply_verdict(decide(segment, now), segment, datagram)
        self._steerer.check_handshakes(now)
        for endpoint in self._steerer.pop_contact_checks():
            self._check_contact(endpoint)
        duration_s = self._clock() - now
        self._metrics.histograms[metrics_module.Timing.BATCH].observe(
            duration_s
        )

    def _apply_verdict(
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
                self._log_placement(segment, verdict)
        elif type(verdict) is verdicts.Refuse:
            self._send_reset(segment.flow, segment.acknowledged)
            self._log_refusal(segment, verdict)
        elif type(verdict) is verdicts.Drop:
            self._log_drop(segment, verdict)

    def _send_reset(self, flow: segments.FlowId, acknowledged: int) -> None:
        self._port.send(
            packets.build_reset(flow, acknowledged),
            (packets.get_caller_host(flow), self._caller_port),
        )

    def _get_view_age_s(self) -> float | None:
        return self.view_updater.get_age_s() if self.view_updater else None

    def _log_placement(
        self, segment: segments.Segment, verdict: verdicts.Deliver
    ) -> None:
        endpoint = verdict.endpoint
        self._metrics.count(metrics_module.Counter.FLOWS_PLACED)
        if endpoint.domain != self._domain:
            self._metrics.count(
                metrics_module.Counter.FLOWS_PLACED_REMOTE, endpoint.domain
            )
        if segment.retransmissions:
            self._metrics.count(metrics_module.Counter.HANDSHAKES_REPEATED)
        self._log.write(
            log_writer.EventType.FLOW_PLACED,
            flow=flow_names.format_flow(segment.flow),
            endpoint=endpoint.id,
            endpoint_domain=endpoint.domain,
            tag=verdict.tag,
            repetition=segment.retransmissions,
            in_flight=self._steerer.flows.count_in_flight(endpoint.id),
            in_flight_elsewhere=self._steerer.peer_loads.get_count(endpoint.id),
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )

    def _log_refusal(
        self, segment: segments.Segment, verdict: verdicts.Refuse
    ) -> None:
        reason = verdict.reason.value
        context = verdict.context
        self._metrics.count(metrics_module.Counter.FLOWS_REFUSED, reason)
        if context is not None:
            self._metrics.count(
                metrics_module.Counter.FLOWS_REFUSED_BY_PRIORITY,
                f"{reason}/{context.priority}",
            )
        self._log.write(
            log_writer.EventType.FLOW_REFUSED,
            flow=flow_names.format_flow(segment.flow),
            reason=reason,
            segment=segment.kind.value,
            tag=segment.tag,
            expected_s=_round_seconds(verdict.expected_s),
            goal_s=verdict.goal_s,
            service=verdict.service,
            **_list_fields(context),
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )

    def _log_drop(
        self, segment: segments.Segment, verdict: verdicts.Drop
    ) -> None:
        reason = verdict.reason.value
        self._metrics.count(metrics_module.Counter.PACKETS_DROPPED, reason)
        self._log.write(
            log_writer.EventType.PACKET_DROPPED,
            flow=flow_names.format_flow(segment.flow),
            reason=reason,
            segment=segment.kind.value,
            tag=segment.tag,
            version=self._steerer.view.version,
            view_age_s=self._get_view_age_s(),
        )


def _list_fields(
    context: verdicts.RefusalContext | None,
) -> dict[str, object]:
    """Returns fields of a log line.

    `dataclasses.asdict` copies values, which is slow for a line of each flow.
    """
    if context is None:
        return {}
    return {
        "route": context.route,
        "priority": context.priority,
        "short": context.short,
        "above_share": context.above_share,
    }


def _round_seconds(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 3)
