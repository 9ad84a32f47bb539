"""Shares of callers in the recent demand.

The load pattern that this answers is one caller with many times the demand of
the others while a service is short of capacity. Without shares, the other
callers are refused as often as that caller.

The number of flows of each caller decays exponentially. A caller is above its
share if it opened more than twice the mean of the other callers and the
difference is not explained by chance: flows are taken as a Poisson process, in
which the variance of a decayed count is half of its mean. Memory is bounded by
the Space-Saving algorithm (Metwally et al., "Efficient computation of frequent
and top-k elements in data streams", 2005).
"""

import copy
import heapq
import math

from chivedoor.steering import const


class CallerTable:
    """Decaying numbers of new flows by caller address.

    Counts are stored in units of the weight of a flow at the current landmark,
    so that decay needs no work for each caller.
    """

    def __init__(self, *, max_callers: int) -> None:
        """Creates an empty table for at most `max_callers` addresses."""
        self._max_callers = max_callers
        self._counts: dict[bytes, float] = {}
        # Part of a count that a caller took over from the one that it replaced.
        self._inherited: dict[bytes, float] = {}
        # One pair of each caller with a count that it had at some time, which
        # is a lower bound of the present one.
        self._heap: list[tuple[float, bytes]] = []
        self._total = 0.0
        # Time of the newest flow, and time at which a flow has the weight 1.
        self._newest_at = -math.inf
        self._landmark = 0.0

    def __len__(self) -> int:
        """Returns the number of callers in the table."""
        return len(self._counts)

    def record(self, caller: bytes, now: float) -> None:
        """Records a new flow of a caller at a time, in seconds."""
        weight = self._advance(now)
        count = self._counts.get(caller)
        if count is None:
            count = 0.0
            if len(self._counts) >= self._max_callers:
                count = self._inherited[caller] = self._remove_lowest()
                self._total += count
            heapq.heappush(self._heap, (count + weight, caller))
        self._counts[caller] = count + weight
        self._total += weight

    def is_above_share(self, caller: bytes, now: float) -> bool:
        """Returns whether a caller opened far more flows than the others.

        At least eight recent flows are needed: fewer are always explained by
        chance.
        """
        weight = self._advance(now)
        counted = self._counts.get(caller)
        others = len(self._counts) - 1
        if counted is None or not others:
            return False
        own = (counted - self._inherited.get(caller, 0.0)) / weight
        mean = max(self._total - counted, 0.0) / weight / others
        factor = const.CALLER_SHARE_FACTOR
        variance = (own + factor**2 * mean / others) / 2
        return own - factor * mean > const.CALLER_DEVIATIONS * math.sqrt(
            variance
        )

    def would_be_above_share(
        self, caller: bytes, now: float, *, records: bool
    ) -> bool:
        """Returns whether a caller would be above its share with a new flow.

        Nothing is recorded. The table is copied, so this is not for the path
        of packets.

        Args:
            caller: The caller.
            now: The current time, in seconds.
            records: Whether the new flow would be recorded.
        """
        copied = copy.deepcopy(self)
        if records:
            copied.record(caller, now)
        return copied.is_above_share(caller, now)

    def _advance(self, now: float) -> float:
        """Removes outdated callers; returns the weight of a flow at `now`."""
        self._newest_at = max(self._newest_at, now)
        half_lives = (
            self._newest_at - self._landmark
        ) / const.CALLER_HALF_LIFE_S
        if half_lives > const.CALLER_LANDMARK_HALF_LIVES:
            self._rescale(2.0 ** -min(half_lives, 1000.0))
            half_lives = 0.0
        weight = 2.0**half_lives
        lowest = const.CALLER_MIN_COUNT * weight
        while self._heap and self._heap[0][0] < lowest:
            count, caller = self._heap[0]
            if self._counts[caller] > count:
                heapq.heapreplace(self._heap, (self._counts[caller], caller))
            else:
                self._remove_lowest()
        return weight

    def _rescale(self, factor: float) -> None:
        """Moves the landmark to the newest flow, before numbers overflow."""
        self._landmark = self._newest_at
        self._counts = {
            caller: count * factor for caller, count in self._counts.items()
        }
        self._inherited = {
            caller: count * factor for caller, count in self._inherited.items()
        }
        self._heap = [(count, caller) for caller, count in self._counts.items()]
        heapq.heapify(self._heap)
        self._total = math.fsum(self._counts.values())

    def _remove_lowest(self) -> float:
        """Removes the caller with the lowest count and returns that count."""
        while self._counts[self._heap[0][1]] > self._heap[0][0]:
            caller = self._heap[0][1]
            heapq.heapreplace(self._heap, (self._counts[caller], caller))
        count, caller = heapq.heappop(self._heap)
        del self._counts[caller]
        self._inherited.pop(caller, None)
        self._total -= count
        return count
