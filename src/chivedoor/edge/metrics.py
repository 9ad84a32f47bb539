"""Counters and histograms of an edge balancer.

The packet path adds to plain integers. The text of the metrics is made on
request by prometheus-client, which is imported at the first request: it takes
140 ms and 14 MB (docs/why.md), and few processes are ever asked.
"""

import bisect
import enum
import itertools


class Counter(enum.Enum):
    """Totals, most with the kind of what is counted."""

    CHANGES = "changes"
    FLOWS_PLACED = "flows_placed"
    FLOWS_REFUSED = "flows_refused"
    HANDSHAKES_REPEATED = "handshakes_repeated"
    MALFORMED_PACKETS = "malformed_packets"
    PACKETS_DROPPED = "packets_dropped"
    SUSPICIONS = "suspicions"
    UNUSABLE_RECORDS = "unusable_records"


class Gauge(enum.Enum):
    """Values that are read when they are asked for."""

    FLOWS = "flows"
    GREETINGS_MALFORMED = "greetings_malformed"
    LOG_LINES_SUPPRESSED = "log_lines_suppressed"
    PACKETS_RECEIVED = "packets_received"
    PACKETS_SEND_BLOCKED = "packets_send_blocked"
    PACKETS_SEND_ERRORS = "packets_send_errors"
    PACKETS_SENT = "packets_sent"
    PEERS = "peers"
    READY = "ready"
    SOURCE_CALLS = "source_calls"
    SUBSCRIBERS = "subscribers"
    VIEW_AGE_SECONDS = "view_age_seconds"
    VIEW_VERSION = "view_version"


class Timing(enum.Enum):
    """Durations that are measured."""

    HANDSHAKE = "handshake"
    REPLY = "reply"
    BATCH = "batch"
    SOURCE_CALL = "source_call"


# Upper bounds in seconds; callers' time limits reach 11 s.
BUCKET_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class Histogram:
    """Durations by size.

    Attributes:
        counts: Number of durations up to each bound, and above the last.
        total_s: Sum of all durations in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Adds a duration in seconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns bounds with the number of durations up to each."""
        names = (*map(str, BUCKET_BOUNDS_S), "+Inf")
        return list(zip(names, itertools.accumulate(self.counts), strict=True))


class Metrics:
    """All counters and histograms.

    Attributes:
        counters: Totals by counter and kind.
        histograms: Histograms by kind.
    """

    def __init__(self) -> None:
        self.counters: dict[tuple[Counter, str], int] = {}
        self.histograms = {timing: Histogram() for timing in Timing}

    def count(self, counter: Counter, kind: str = "") -> None:
        """Adds one to a counter."""
        key = (counter, kind)
        self.counters[key] = self.counters.get(key, 0) + 1
