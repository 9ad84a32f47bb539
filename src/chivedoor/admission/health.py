"""Health of a target, derived from its traffic and its health endpoint."""

from collections.abc import Mapping
import enum
import math
import random

from chivedoor import ids
from chivedoor.admission import const


class HealthState(enum.Enum):
    """Health of a target as determined by its owner."""

    GOOD = "good"
    SUSPECT = "suspect"
    BAD = "bad"


class Report(enum.Enum):
    """Result of polling a target's health endpoint.

    `READY` targets can handle their full load, `COLD` targets only a reduced
    load, and `FAILING` targets none. `SILENT` means that the endpoint did not
    answer in time.
    """

    READY = "ready"
    COLD = "cold"
    FAILING = "failing"
    SILENT = "silent"


_BAD_REPORTS = frozenset({Report.FAILING, Report.SILENT})


class HealthTracker:
    """Tracks the health of one target; traffic takes precedence over reports.

    Reports can degrade the state at any time. They improve it only if a
    handshake has succeeded since the last failure or bad report. A `BAD` target
    receives one trial flow at a time, with exponential backoff between trials.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Initializes the tracker in the state `GOOD`.

        Args:
            rng: Random generator for the jitter of the trial backoff.
        """
        self._rng = rng
        self._state = HealthState.GOOD
        self._failures = 0
        self._successes = 0
        self._bad_reports = 0
        self._failed_trials = 0
        self._next_trial_at = 0.0
        self._trial_ends_at: float | None = None

    @property
    def state(self) -> HealthState:
        """The current health state."""
        return self._state

    def allows_flow(self, now: float) -> bool:
        """Returns whether the health state allows a new flow."""
        if self._state is not HealthState.BAD:
            return True
        self._expire_trial(now)
        return self._trial_ends_at is None and now >= self._next_trial_at

    def start_flow(self, now: float) -> None:
        """Records a new flow, which is a trial if the target is `BAD`."""
        if self._state is HealthState.BAD:
            self._trial_ends_at = now + const.TRIAL_TIMEOUT_S

    def record_success(self, now: float) -> bool:
        """Records that the target answered a new flow.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Whether the target was `BAD` and has become reachable.
        """
        self._failures = 0
        self._successes += 1
        self._trial_ends_at = None
        if self._state is HealthState.BAD:
            self._state = HealthState.SUSPECT
            self._successes = 1
            return True
        if self._successes >= const.GOOD_SUCCESS_THRESHOLD:
            self._recover()
        return False

    def record_failure(self, now: float) -> None:
        """Records that the target refused or did not answer a new flow."""
        self._successes = 0
        self._failures += 1
        if self._state is HealthState.BAD:
            if self._trial_ends_at is not None:
                self._fail_trial(now)
        elif self._failures >= const.BAD_FAILURE_THRESHOLD:
            self._become_bad(now)
        else:
            self._state = HealthState.SUSPECT

    def record_report(self, report: Report, now: float) -> None:
        """Records a report of the target's health endpoint."""
        if report in _BAD_REPORTS:
            self._record_bad_report(now)
            return
        self._bad_reports = 0
        if self._state is HealthState.SUSPECT and self._successes:
            self._recover()

    def dump_state(self) -> dict:
        """Returns the state and its inputs as plain values."""
        return {
            "estimate": self._state.value,
            "failures": self._failures,
            "successes": self._successes,
            "bad_reports": self._bad_reports,
            "failed_trials": self._failed_trials,
            "next_trial_at": self._next_trial_at,
            "trial_ends_at": self._trial_ends_at,
        }

    def _record_bad_report(self, now: float) -> None:
        self._successes = 0
        self._bad_reports += 1
        if self._state is HealthState.BAD:
            return
        if self._bad_reports >= const.BAD_FAILURE_THRESHOLD:
            self._become_bad(now)
        else:
            self._state = HealthState.SUSPECT

    def _recover(self) -> None:
        self._state = HealthState.GOOD
        self._failed_trials = 0

    def _become_bad(self, now: float) -> None:
        self._state = HealthState.BAD
        self._trial_ends_at = None
        self._schedule_trial(now)

    def _expire_trial(self, now: float) -> None:
        ends_at = self._trial_ends_at
        if ends_at is not None and now >= ends_at:
            self._fail_trial(now)

    def _fail_trial(self, now: float) -> None:
        self._trial_ends_at = None
        self._schedule_trial(now)

    def _schedule_trial(self, now: float) -> None:
        # The exponent is capped, because 2.0 ** 1024 overflows.
        exponent = min(self._failed_trials, 32)
        delay = const.TRIAL_BACKOFF_S * 2.0**exponent
        delay = min(delay, const.MAX_TRIAL_BACKOFF_S)
        jitter = self._rng.uniform(-const.TRIAL_JITTER, const.TRIAL_JITTER)
        self._next_trial_at = now + delay * (1 + jitter)
        self._failed_trials += 1


def choose_ejected(
    states: Mapping[ids.EndpointNumber, HealthState],
) -> frozenset[ids.EndpointNumber]:
    """Selects the endpoints of a service that receive no new flows.

    If more endpoints are `BAD` than may be ejected, the cause is probably
    outside the endpoints. The endpoints with the lowest numbers are then
    ejected, so that all balancers with the same input select the same ones.

    Args:
        states: The health state of every endpoint of the service.

    Returns:
        The numbers of the `BAD` endpoints, at most half of all endpoints.
    """
    max_ejected = math.floor(len(states) * const.MAX_EJECTED_SHARE)
    bad_endpoints = sorted(
        number for number, state in states.items() if state is HealthState.BAD
    )
    return frozenset(bad_endpoints[:max_ejected])
