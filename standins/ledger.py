"""What the targets of one process did, kept across their restarts."""

import collections
from collections.abc import Iterable


class Ledger:
    """Counts runs of requests over all targets, and events of each target."""

    def __init__(self):
        """Creates an empty ledger."""
        self._runs: collections.Counter = collections.Counter()
        self._events: dict[str, collections.Counter] = {}
        self._admissions: dict[str, list[tuple[float, str]]] = {}

    def record_run(self, request_id: str) -> int:
        """Counts a run of a non-idempotent request; returns its runs."""
        self._runs[request_id] += 1
        return self._runs[request_id]

    def count_runs(self, request_id: str) -> int:
        """Returns how often a non-idempotent request ran."""
        return self._runs[request_id]

    def count(self, target: str, event: str) -> None:
        """Counts an event of a target."""
        self._events.setdefault(target, collections.Counter())[event] += 1

    def record_admission(self, target: str, now: float, kind: str) -> None:
        """Records the time (monotonic seconds) of a new flow."""
        self._admissions.setdefault(target, []).append((now, kind))

    def get_count(self, target: str, event: str) -> int:
        """Returns how often an event of a target happened."""
        return self._events.get(target, collections.Counter())[event]

    def list_admissions(self, target: str) -> list[tuple[float, str]]:
        """Returns the times and port kinds of the flows of a target."""
        return self._admissions.get(target, [])

    def list_duplicate_runs(self) -> list[str]:
        """Returns the requests that ran more than once."""
        return [name for name, runs in self._runs.items() if runs > 1]

    def dump_state(self) -> dict:
        """Returns all counts as plain values."""
        return {
            "runs": self._runs.total(),
            "doubled": self.list_duplicate_runs(),
            "events": {name: dict(c) for name, c in self._events.items()},
        }


def find_ramp_excess(
    times: Iterable[float], *, start: float, initial: float, step_s: float
) -> list[float]:
    """Returns the times of flows above a ramp that began at `start`.

    The ramp allows `initial` flows per second, doubled every `step_s`. One
    second of the rate at its end may arrive at once, as in a token bucket.
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
        # A window of 1 s holds at most a full bucket and 1 s of refill.
        if len(admitted) > 2 * rate:
            excess.append(time)
    return excess
