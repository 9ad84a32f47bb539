"""Reports events of the steerer to the log and the metrics."""

from chivedoor import ids
from chivedoor.edge import flow_names
from chivedoor.edge import log_writer
from chivedoor.edge import metrics as metrics_module
from chivedoor.steering import contacts
from chivedoor.steering import observer as observers
from chivedoor.steering import segment as segments
from chivedoor.steering import spillover


class Observer:
    """Logs changes of endpoint reachability and records durations."""

    def __init__(
        self, *, log: log_writer.LogWriter, metrics: metrics_module.Metrics
    ) -> None:
        """Creates an observer."""
        self._log = log
        self._metrics = metrics
        self._handshake_durations = metrics.histograms[
            metrics_module.Timing.HANDSHAKE
        ]
        self._reply_durations = metrics.histograms[metrics_module.Timing.REPLY]

    def on_handshake(self, duration_s: float) -> None:
        """Records the duration of a handshake in seconds."""
        self._handshake_durations.observe(duration_s)

    def on_reply(self, duration_s: float) -> None:
        """Records the time from a request to its reply in seconds."""
        self._reply_durations.observe(duration_s)

    def on_suspected(
        self, endpoint_id: ids.EndpointId, domain_suspect: bool
    ) -> None:
        """Logs and counts an endpoint that left a handshake unanswered."""
        self._metrics.count(metrics_module.Counter.SUSPICIONS)
        self._log.write(
            log_writer.EventType.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            domain_doubted=domain_suspect,
        )

    def on_unreachable(
        self, endpoint_id: ids.EndpointId, counts: dict[str, int]
    ) -> None:
        """Logs an endpoint whose stalled idempotent requests are abandoned."""
        self._log.write(
            log_writer.EventType.ENDPOINT_UNREACHABLE,
            endpoint=endpoint_id,
            unanswered_flows=counts,
        )

    def on_contact_checked(
        self, endpoint_id: ids.EndpointId, result: contacts.Contact
    ) -> None:
        """Logs and counts the check of an endpoint that seems unreachable."""
        self._metrics.count(metrics_module.Counter.CONTACTS, result.value)
        self._log.write(
            log_writer.EventType.ENDPOINT_CHECKED,
            endpoint=endpoint_id,
            result=result.value,
        )

    def on_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Logs a suspected endpoint that answers again."""
        self._log.write(
            log_writer.EventType.ENDPOINT_ANSWERED, endpoint=endpoint_id
        )

    def on_spillover(
        self, service: ids.ServiceId, decision: spillover.Decision
    ) -> None:
        """Logs and counts a change of the flows that leave the domain."""
        self._metrics.count(
            metrics_module.Counter.SPILLOVER_CHANGES, decision.reason.value
        )
        self._log.write(
            log_writer.EventType.SPILLOVER_CHANGED,
            service=service,
            reason=decision.reason.value,
            shares={
                domain: round(share, 3)
                for domain, share in decision.get_shares().items()
            },
            expected_wait_s=_round_seconds(decision.wait_s),
            expected_gain_s=_round_seconds(decision.gain_s),
            domains={
                domain: remote.reason.value
                for domain, remote in decision.remote.items()
            },
        )

    def on_shortage_begun(
        self, service: ids.ServiceId, load: observers.ServiceLoad
    ) -> None:
        """Logs a service that becomes short of capacity."""
        self._write_shortage(log_writer.EventType.SHORTAGE_BEGUN, service, load)

    def on_shortage_ended(
        self, service: ids.ServiceId, load: observers.ServiceLoad
    ) -> None:
        """Logs a service that is no longer short of capacity."""
        self._write_shortage(log_writer.EventType.SHORTAGE_ENDED, service, load)

    def on_tag_changed(
        self,
        flow_id: segments.FlowId,
        former: ids.EndpointId,
        current: ids.EndpointId,
    ) -> None:
        """Logs and counts an open flow whose packets go to another endpoint."""
        self._metrics.count(metrics_module.Counter.FLOWS_MOVED)
        self._log.write(
            log_writer.EventType.FLOW_MOVED,
            flow=flow_names.format_flow(flow_id),
            former_endpoint=former,
            endpoint=current,
        )

    def _write_shortage(
        self,
        event_type: log_writer.EventType,
        service: ids.ServiceId,
        load: observers.ServiceLoad,
    ) -> None:
        self._log.write(
            event_type,
            service=service,
            in_flight=load.in_flight,
            limit=round(load.limit, 1),
            share=load.share,
        )


def _round_seconds(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 3)
