"""Takes what the decisions tell into logs and metrics."""

from chivedoor import ids
from chivedoor.edge import figures as figure_tables
from chivedoor.edge import lines


class Observer:
    """Writes one line for each changed belief and fills the histograms."""

    def __init__(
        self, *, log: lines.Lines, figures: figure_tables.Figures
    ) -> None:
        """Creates an observer for a log and its figures."""
        self._log = log
        self._figures = figures
        self._handshakes = figures.timings[figure_tables.Timing.HANDSHAKE]
        self._replies = figures.timings[figure_tables.Timing.REPLY]

    def on_handshake(self, duration_s: float) -> None:
        """Adds the duration of a handshake, in seconds."""
        self._handshakes.observe(duration_s)

    def on_reply(self, duration_s: float) -> None:
        """Adds the time from a request to its reply, in seconds."""
        self._replies.observe(duration_s)

    def on_suspected(
        self, endpoint_id: ids.EndpointId, domain_suspect: bool
    ) -> None:
        """Reports an endpoint that left a packet unanswered."""
        self._figures.count(figure_tables.Counter.SUSPICIONS)
        self._log.write(
            lines.Kind.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            domain_doubted=domain_suspect,
        )

    def on_unreachable(
        self, endpoint_id: ids.EndpointId, counts: dict[str, int]
    ) -> None:
        """Reports an endpoint whose repeatable requests are given up."""
        self._log.write(
            lines.Kind.ENDPOINT_UNREACHABLE,
            endpoint=endpoint_id,
            unanswered_flows=counts,
        )

    def on_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Reports an endpoint that answers again."""
        self._log.write(lines.Kind.ENDPOINT_ANSWERED, endpoint=endpoint_id)
