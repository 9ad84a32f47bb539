"""Pacing of all control traffic of one balancer."""

import asyncio
from collections.abc import Callable
import enum
import time
from typing import Any

from chivedoor.control import const


class Priority(enum.IntEnum):
    """Classes of control traffic; the lowest number goes first."""

    PROBES = 0
    MODES = 1
    OVERRIDES = 2
    SLOTS = 3
    CONNECTIONS = 4
    DOCUMENTS = 5


# Part of the burst that a class leaves to the classes before it. Probes and
# registers may overdraw the bucket by one burst instead.
_RESERVED_FRACTIONS = {
    Priority.PROBES: -1.0,
    Priority.MODES: 0.1,
    Priority.OVERRIDES: 0.2,
    Priority.SLOTS: 0.3,
    Priority.CONNECTIONS: 0.4,
    Priority.DOCUMENTS: 0.5,
}


class ByteBudget:
    """Token bucket of bytes with priority classes."""

    def __init__(
        self,
        *,
        rate_bytes_per_s: float,
        burst_s: float = const.BUDGET_BURST_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Initializes a full bucket.

        Args:
            rate_bytes_per_s: Bytes a second, including IP and UDP headers.
            burst_s: Size of the bucket in seconds of the rate.
            clock: Monotonic seconds; the base of every `now`.
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
        """Returns whether the class may send `size` bytes now."""
        return self.compute_wait_s(priority, size, now) <= 0

    def compute_wait_s(
        self, priority: Priority, size: int, now: float
    ) -> float:
        """Returns after which time the class may send, when nothing else is."""
        self._refill(now)
        reserve = _RESERVED_FRACTIONS[priority] * self._burst
        # What exceeds the bucket goes out when it is full, and overdraws it.
        needed = min(reserve + size, self._burst)
        return max(0.0, needed - self._tokens) / self._rate

    def try_spend(self, priority: Priority, size: int, now: float) -> bool:
        """Takes the bytes from the bucket if the class has room.

        Returns:
            Whether the bytes may be sent; otherwise they count as delayed.
        """
        if not self.can_spend(priority, size, now):
            self.delayed_bytes[priority] += size
            return False
        self._tokens -= size
        self.sent_bytes[priority] += size
        return True

    async def async_spend(self, priority: Priority, size: int) -> None:
        """Waits until the class has room and takes the bytes.

        Callers of one class are served in their order. Callers split large
        values, so that one of them does not hold up its class for long.
        """
        async with self._locks[priority]:
            while not self.try_spend(priority, size, self._clock()):
                wait_s = self.compute_wait_s(priority, size, self._clock())
                await asyncio.sleep(wait_s)

    def count_dropped(self, priority: Priority, size: int) -> None:
        """Counts bytes that were given up instead of sent."""
        self.dropped_bytes[priority] += size

    def dump_state(self) -> dict[str, Any]:
        """Returns plain values for the operators' dump, in bytes."""
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
