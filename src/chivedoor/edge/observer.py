"""Takes what the decisions tell into logs and metrics."""

from chivedoor import ids
from chivedoor.edge import log_writer
from chivedoor.edge import metrics as metrics_module


class Observer:
    """Writes one line for each changed belief and fills the histograms."""

    def __init__(
        self, *, log: log_writer.LogWriter, metrics: metrics_module.Metrics
    ) -> None:
        """Creates an observer for a log and its figures."""
        self._log = log
        self._metrics = metrics
        self._handshake_durations = metrics.histograms[
            metrics_module.Timing.HANDSHAKE
        ]
        self._reply_durations = metrics.histograms[metrics_module.Timing.REPLY]

    def note_handshake(self, duration_s: float) -> None:
        """Adds the duration of a handshake, in seconds."""
        self._handshake_durations.observe(duration_s)

    def note_reply(self, duration_s: float) -> None:
        """Adds the time from a request to its reply, in seconds."""
        self._reply_durations.observe(duration_s)

    def note_suspected(
        self, endpoint_id: ids.EndpointId, domain_doubted: bool
    ) -> None:
        """Reports an endpoint that left a packet unanswered."""
        self._metrics.count(metrics_module.Counter.SUSPICIONS)
        self._log.write(
            log_writer.EventType.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            domain_doubted=domain_doubted,
        )

    def note_unreachable(
        self, endpoint_id: ids.EndpointId, evidence: dict[str, int]
    ) -> None:
        """Reports an endpoint whose repeatable requests are given up."""
        self._log.write(
            log_writer.EventType.ENDPOINT_UNREACHABLE,
            endpoint=endpoint_id,
            unanswered_flows=evidence,
        )

    def note_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Reports an endpoint that answers again."""
        self._log.write(
            log_writer.EventType.ENDPOINT_ANSWERED, endpoint=endpoint_id
        )
