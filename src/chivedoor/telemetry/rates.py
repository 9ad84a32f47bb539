"""Limits on the rate of log events."""

from collections.abc import Callable

Clock = Callable[[], float]


class RateLimits:
    """A token bucket for each type of event."""

    def __init__(
        self, *, clock: Clock, rate_per_s: float, burst_events: int
    ) -> None:
        """Creates full buckets.

        Args:
            clock: Returns monotonic seconds.
            rate_per_s: Events of one type a second.
            burst_events: Events of one type at once.
        """
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst_events = float(burst_events)
        # Tokens and the time of their last change.
        self._buckets: dict[str, tuple[float, float]] = {}
        self._suppressed_counts: dict[str, int] = {}

    def admit(self, message_type: str) -> bool:
        """Takes a token; a missing one counts the event as missed."""
        now = self._clock()
        full = self._burst_events
        tokens, updated_at_s = self._buckets.get(message_type, (full, now))
        tokens = min(full, tokens + (now - updated_at_s) * self._rate_per_s)
        admitted = tokens >= 1.0
        self._buckets[message_type] = (tokens - admitted, now)
        if not admitted:
            self.count_suppressed(message_type)
        return admitted

    def count_suppressed(self, message_type: str) -> None:
        """Counts an event that was not written."""
        self._suppressed_counts[message_type] = (
            self._suppressed_counts.get(message_type, 0) + 1
        )

    def pop_suppressed_count(self, message_type: str) -> int:
        """Returns and clears the number of missed events of a type."""
        return self._suppressed_counts.pop(message_type, 0)
