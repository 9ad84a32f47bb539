"""Rate limit for all control traffic of one balancer."""

import asyncio
from collections.abc import Callable
import enum
import time
from typing import Any

from chivedoor.control import const


class Priority(enum.IntEnum):
    """Classes of control traffic; the lowest number has priority."""

    # Probes with the updates and registers that they carry, urgent registers,
    # and bucket sums.
    PROBES = 0
    # Routing modes, urgent member updates, anti-entropy and channel messages
    # without a class of their own.
    MODES = 1
    # Flow records of one endpoint that override another one.
    OVERRIDES = 2
    # No traffic has this class; its name is a metric label.
    SLOTS = 3
    # All flow records of an endpoint.
    CONNECTIONS = 4
    DOCUMENTS = 5


# Fraction of the burst that a class leaves to classes of higher priority. The
# negative value lets probes and registers overdraw the bucket by one burst.
_RESERVED_FRACTIONS = {
    Priority.PROBES: -1.0,
    Priority.MODES: 0.1,
    Priority.OVERRIDES: 0.2,
    Priority.SLOTS: 0.3,
    Priority.CONNECTIONS: 0.4,
    Priority.DOCUMENTS: 0.5,
}


class ByteBudget:
    """Token bucket that counts bytes and has priority classes."""

    def __init__(
        self,
        *,
        rate_bytes_per_s: float,
        burst_s: float = const.BUDGET_BURST_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes a full bucket.

        Args:
            rate_bytes_per_s: Refill rate, which includes IP and UDP headers.
            burst_s: Size of the bucket, in seconds at the refill rate.
            clock: Returns monotonic time in seconds; every `now` must be a
                time of this clock.
        """
        self._rate = rate_bytes_per_s
        self._burst = rate_bytes_per_s * burst_s
        self._clock = clock
        self._tokens = self._burst
        self._refilled_at = clock()
        self._locks = {priority: asyncio.Lock() for priority in Priority}
        self.sent_bytes = dict.fromkeys(Priority, 0)
        self.delayed_bytes = dict.fromkeys(Priority, 0)
        self.dropped_bytes = dict.fromkeys(Priority, 0)

    def can_spend(self, priority: Priority, size: int, now: float) -> bool:
        """Returns whether a class may send `size` bytes now."""
        return self.compute_wait_s(priority, size, now) <= 0

    def compute_wait_s(
        self, priority: Priority, size: int, now: float
    ) -> float:
        """Returns the seconds until a class may send if nothing else does."""
        self._refill(now)
        reserve = _RESERVED_FRACTIONS[priority] * self._burst
        # A message that exceeds the bucket is sent when the bucket is full, and
        # overdraws it.
        needed = min(reserve + size, self._burst)
        return max(0.0, needed - self._tokens) / self._rate

    def try_spend(self, priority: Priority, size: int, now: float) -> bool:
        """Takes bytes from the bucket if the class may send them now.

        Returns:
            Whether the bytes may be sent; if not, they count as delayed.
        """
        if not self.can_spend(priority, size, now):
            self.delayed_bytes[priority] += size
            return False
        self._tokens -= size
        self.sent_bytes[priority] += size
        return True

    async def async_spend(self, priority: Priority, size: int) -> None:
        """Waits until a class may send the bytes and takes them.

        Callers of one class are served in order of arrival. They must split
        large messages, so that one message does not block its class for long.
        """
        async with self._locks[priority]:
            while not self.try_spend(priority, size, self._clock()):
                wait_s = self.compute_wait_s(priority, size, self._clock())
                await asyncio.sleep(wait_s)

    def count_dropped(self, priority: Priority, size: int) -> None:
        """Counts bytes that were dropped instead of sent."""
        self.dropped_bytes[priority] += size

    def dump_state(self) -> dict[str, Any]:
        """Returns byte counts as plain values for the `dump` command."""
        return {
            "rate_bytes_per_s": self._rate,
            "tokens": round(self._tokens),
            "sent": {p.name: n for p, n in self.sent_bytes.items()},
            "delayed": {p.name: n for p, n in self.delayed_bytes.items()},
            "dropped": {p.name: n for p, n in self.dropped_bytes.items()},
        }

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
