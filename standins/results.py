"""Outcomes and latencies of callers' flows."""

import collections
import enum

from hdrh import histogram

_MICROSECONDS = 1_000_000
_HIGHEST_US = 3600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
_MAX_RECORDED_FAILURES = 1000


class Outcome(enum.Enum):
    """Outcome of a flow from the caller's point of view."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    LATE = "late"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    INCOMPLETE = "incomplete"
    CORRUPTED = "corrupted"
    WRONG_ANSWER = "wrong_answer"
    DUPLICATE = "duplicate"


BROKEN = (Outcome.RESET, Outcome.TIMED_OUT, Outcome.INCOMPLETE)
WRONG = (Outcome.CORRUPTED, Outcome.WRONG_ANSWER, Outcome.DUPLICATE)


class Results:
    """Counts and latencies by load, and lists of failed flows."""

    def __init__(self):
        """Creates empty results."""
        self._opened: collections.Counter = collections.Counter()
        self._outcomes: dict[str, collections.Counter] = {}
        self._timeline: dict[int, collections.Counter] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._failures: list[dict] = []
        self._refused: list[str] = []

    def record_open(self, load: str) -> None:
        """Counts a new flow."""
        self._opened[load] += 1

    def record_latency(self, load: str, phase: str, latency_s: float) -> None:
        """Records the latency of a phase, `handshake` or `total`."""
        name = f"{load}/{phase}"
        if name not in self._histograms:
            self._histograms[name] = histogram.HdrHistogram(
                1, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
        value = max(1, int(latency_s * _MICROSECONDS))
        self._histograms[name].record_value(value)

    def record_end(
        self, load: str, flow: str, outcome: Outcome, now: float
    ) -> None:
        """Counts the end of a flow."""
        counter = self._outcomes.setdefault(load, collections.Counter())
        counter[outcome] += 1
        second = self._timeline.setdefault(int(now), collections.Counter())
        second[outcome] += 1
        if outcome is Outcome.REFUSED:
            self._refused.append(flow)
        elif outcome not in (Outcome.FINISHED, Outcome.CANCELLED):
            self._record_failure(load, flow, outcome, now)

    def _record_failure(
        self, load: str, flow: str, outcome: Outcome, now: float
    ) -> None:
        if len(self._failures) < _MAX_RECORDED_FAILURES:
            self._failures.append(
                {
                    "load": load,
                    "flow": flow,
                    "outcome": outcome.value,
                    "at": now,
                }
            )

    @property
    def open_flows(self) -> int:
        """Number of flows that have not ended."""
        ended = sum(counter.total() for counter in self._outcomes.values())
        return self._opened.total() - ended

    def dump_counts(self) -> dict:
        """Returns the counts by load; cheap enough for frequent polling."""
        return {
            "opened": dict(self._opened),
            "open": self.open_flows,
            "outcomes": {
                load: _dump_counter(counter)
                for load, counter in self._outcomes.items()
            },
        }

    def dump_state(self) -> dict:
        """Returns all results for JSON; times are in monotonic seconds."""
        return {
            **self.dump_counts(),
            "timeline": {
                str(second): _dump_counter(counter)
                for second, counter in self._timeline.items()
            },
            "latencies_us": {
                name: _dump_histogram(values)
                for name, values in self._histograms.items()
            },
            "failures": self._failures,
            "refused": self._refused,
        }


def _dump_counter(counter: collections.Counter) -> dict:
    return {outcome.value: count for outcome, count in counter.items()}


def _dump_histogram(values: histogram.HdrHistogram) -> dict:
    percentiles = {
        f"p{percentile:g}": values.get_value_at_percentile(percentile)
        for percentile in _PERCENTILES
    }
    return {
        **percentiles,
        "count": values.total_count,
        "encoded": values.encode().decode(),
    }
