"""Counters and histograms of an edge balancer.

The packet path adds to plain integers. The text of the metrics is made on
request by prometheus-client, which is imported at the first request: it takes
140 ms and 14 MB (docs/why.md), and few processes are ever asked.
"""

import bisect
import enum
import itertools


class Timing(enum.Enum):
    """Durations that are measured."""

    HANDSHAKE = "handshake"
    REPLY = "reply"
    BATCH = "batch"
    SOURCE_CALL = "source_call"


# Upper bounds in seconds; callers' time limits reach 11 s.
BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class Histogram:
    """Durations by size.

    Attributes:
        counts: Number of durations up to each bound, and above the last.
        total_s: Sum of all durations in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Adds a duration in seconds."""
        self.counts[bisect.bisect_left(BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns bounds with the number of durations up to each."""
        names = (*map(str, BOUNDS_S), "+Inf")
        return list(zip(names, itertools.accumulate(self.counts), strict=True))


class Figures:
    """All counters and histograms.

    Attributes:
        counters: Totals by name and label value.
        timings: Histograms by kind.
    """

    def __init__(self) -> None:
        self.counters: dict[tuple[str, str], int] = {}
        self.timings = {timing: Histogram() for timing in Timing}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        key = (name, label)
        self.counters[key] = self.counters.get(key, 0) + amount
