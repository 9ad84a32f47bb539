"""Counters and histograms of an edge balancer.

The packet path increments plain integers. prometheus-client formats them and
is imported only at the first request for metrics: the import takes 140 ms and
14 MB (docs/why.md), and few processes are ever scraped.
"""

import bisect
import enum
import itertools


class Counter(enum.Enum):
    """Counters, most of them split by a `kind` label."""

    CHANGES = "changes"
    CONTACTS = "contacts"
    FLOWS_MOVED = "flows_moved"
    FLOWS_PLACED = "flows_placed"
    # Split by the failure domain of the endpoint.
    FLOWS_PLACED_REMOTE = "flows_placed_remote"
    FLOWS_REFUSED = "flows_refused"
    # New flows to a known route, as in `overloaded/2`.
    FLOWS_REFUSED_BY_PRIORITY = "flows_refused_by_priority"
    HANDSHAKES_REPEATED = "handshakes_repeated"
    LOAD_REPORTS = "load_reports"
    MALFORMED_PACKETS = "malformed_packets"
    PACKETS_DROPPED = "packets_dropped"
    RESTORATIONS = "restorations"
    SPILLOVER_CHANGES = "spillover_changes"
    SUSPICIONS = "suspicions"
    # Split by what was transferred.
    TRANSFERS_SLOW = "transfers_slow"
    UNUSABLE_RECORDS = "unusable_records"


class Gauge(enum.Enum):
    """Values that are read at the time of a scrape."""

    FLOWS = "flows"
    # Invalid datagrams of other balancers, which send heartbeats and discovery
    # messages.
    GREETINGS_MALFORMED = "greetings_malformed"
    LOG_LINES_SUPPRESSED = "log_lines_suppressed"
    PACKETS_RECEIVED = "packets_received"
    PACKETS_SEND_BLOCKED = "packets_send_blocked"
    PACKETS_SEND_ERRORS = "packets_send_errors"
    PACKETS_SENT = "packets_sent"
    PEERS = "peers"
    READY = "ready"
    # Labelled by service and destination.
    SHARE_LEAVING_DOMAIN = "share_leaving_domain"
    SOURCE_CALLS = "source_calls"
    SUBSCRIBERS = "subscribers"
    VIEW_AGE_SECONDS = "view_age_seconds"
    VIEW_VERSION = "view_version"


class Timing(enum.Enum):
    """Durations that are recorded in histograms."""

    HANDSHAKE = "handshake"
    REPLY = "reply"
    BATCH = "batch"
    SOURCE_CALL = "source_call"


# Upper bounds of the histogram buckets; callers' timeouts reach 11 s.
BUCKET_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class Histogram:
    """A histogram of durations with fixed buckets.

    Attributes:
        counts: Number of durations in each bucket; the last bucket holds
            those above all bounds.
        total_s: Sum of all durations in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Records a duration in seconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns the bucket bounds with their cumulative counts."""
        names = (*map(str, BUCKET_BOUNDS_S), "+Inf")
        return list(zip(names, itertools.accumulate(self.counts), strict=True))


class Metrics:
    """All counters and histograms of a balancer.

    Attributes:
        counters: Totals by counter and value of the `kind` label.
        histograms: Histograms by the duration they record.
    """

    def __init__(self) -> None:
        self.counters: dict[tuple[Counter, str], int] = {}
        self.histograms = {timing: Histogram() for timing in Timing}

    def count(self, counter: Counter, kind: str = "") -> None:
        """Increments a counter by one."""
        key = (counter, kind)
        self.counters[key] = self.counters.get(key, 0) + 1
