"""Statistics of the targets of a process, kept across their restarts."""

import collections
from collections.abc import Iterable


class Ledger:
    """Counts request runs over all targets, and events of each target."""

    def __init__(self):
        """Creates an empty ledger."""
        self._runs: collections.Counter = collections.Counter()
        self._events: dict[str, collections.Counter] = {}
        self._admissions: dict[str, list[tuple[float, str]]] = {}

    def record_run(self, request_id: str) -> int:
        """Counts a run of a non-idempotent request; returns its run count."""
        self._runs[request_id] += 1
        return self._runs[request_id]

    def count_runs(self, request_id: str) -> int:
        """Returns the run count of a non-idempotent request."""
        return self._runs[request_id]

    def count(self, target: str, event: str) -> None:
        """Counts an event at a target."""
        self._events.setdefault(target, collections.Counter())[event] += 1

    def record_admission(self, target: str, now: float, kind: str) -> None:
        """Records the admission time of a new flow, in monotonic seconds."""
        self._admissions.setdefault(target, []).append((now, kind))

    def get_count(self, target: str, event: str) -> int:
        """Returns the number of events of a kind at a target."""
        return self._events.get(target, collections.Counter())[event]

    def list_admissions(self, target: str) -> list[tuple[float, str]]:
        """Returns the admission times and port kinds of a target's flows."""
        return self._admissions.get(target, [])

    def list_duplicate_runs(self) -> list[str]:
        """Returns the non-idempotent requests that ran more than once."""
        return [name for name, runs in self._runs.items() if runs > 1]

    def dump_state(self) -> dict:
        """Returns all counts as JSON-serializable values."""
        return {
            "runs": self._runs.total(),
            "doubled": self.list_duplicate_runs(),
            "events": {name: dict(c) for name, c in self._events.items()},
        }


def find_ramp_excess(
    times: Iterable[float], *, start: float, initial: float, step_s: float
) -> list[float]:
    """Returns the times of flows that exceed a ramp starting at `start`.

    The ramp allows `initial` flows per second and doubles every `step_s`. Like
    a token bucket, it allows bursts of up to one second of the current rate.
    """
    admitted: collections.deque[float] = collections.deque()
    excess = []
    for time in sorted(times):
        if time < start:
            continue
        admitted.append(time)
        while admitted[0] <= time - 1.0:
            admitted.popleft()
        rate = initial * 2 ** int((time - start) / step_s)
        # A window of 1 s admits at most a full bucket plus 1 s of refill.
        if len(admitted) > 2 * rate:
            excess.append(time)
    return excess
