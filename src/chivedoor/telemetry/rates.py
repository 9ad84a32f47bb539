"""Rate limits for log events."""

from collections.abc import Callable

Clock = Callable[[], float]


class RateLimits:
    """Token buckets, one for each event type."""

    def __init__(
        self, *, clock: Clock, rate_per_s: float, burst_events: int
    ) -> None:
        """Creates rate limits with full buckets.

        Args:
            clock: Returns monotonic time in seconds.
            rate_per_s: Sustained number of events per second for each type.
            burst_events: Maximum burst of events for each type.
        """
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst_events = float(burst_events)
        # Tokens and the time of the last update, by event type.
        self._buckets: dict[str, tuple[float, float]] = {}
        self._suppressed_counts: dict[str, int] = {}

    def admit(self, message_type: str) -> bool:
        """Takes a token; without one, counts the event as suppressed."""
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
        """Counts an event that was suppressed."""
        self._suppressed_counts[message_type] = (
            self._suppressed_counts.get(message_type, 0) + 1
        )

    def pop_suppressed_count(self, message_type: str) -> int:
        """Returns and resets the number of suppressed events of a type."""
        return self._suppressed_counts.pop(message_type, 0)
