"""Admission of new flows to one target by its owner."""

import random

from chivedoor.admission import cold_detection
from chivedoor.admission import exceptions
from chivedoor.admission import health
from chivedoor.admission import limits
from chivedoor.admission import ramp
from chivedoor.configuration import document

Decision = limits.Decision


class TargetAdmission:
    """Decides on new flows of one target and counts its open flows.

    The owner calls `decide` for each new flow, followed by `admit` if the flow
    is forwarded to the target. Flows that are already open are counted with
    `add_existing_flow`.
    """

    def __init__(
        self,
        *,
        policy: document.Policy,
        cold: bool,
        now: float,
        rng: random.Random | None = None,
    ) -> None:
        """Initializes a healthy target without open flows.

        Args:
            policy: Limits and ramp of the target's service.
            cold: Whether the target starts cold.
            now: Monotonic time in seconds.
            rng: Random generator for jitter; None creates a new one.
        """
        self._limits = limits.TargetLimits(
            connections=policy.connections, slots=policy.slots
        )
        self._ramp = ramp.Ramp(
            initial=policy.ramp_initial,
            step_s=policy.ramp_step_s,
            warm_level=max(policy.connections, policy.slots),
            cold=cold,
            now=now,
        )
        self._health = health.HealthTracker(
            rng=rng if rng is not None else random.Random()
        )
        self._handshakes = cold_detection.SlowHandshakeDetector()
        self._resets = cold_detection.ResetDetector()
        self._request_deadline_s = policy.request_deadline_s
        self._slots_closed_until = now
        self._last_report: health.Report | None = None
        self._draining = False
        self._pending_flow: tuple[document.PortKind, float] | None = None
        self._ejectable = True
        # Time at which the target last became `BAD` or cold.
        self._degraded_at = now

    @property
    def connections(self) -> int:
        """Number of open flows of all kinds."""
        return self._limits.connections

    @property
    def slots(self) -> int:
        """Number of open request and upload flows."""
        return self._limits.slots

    @property
    def health_state(self) -> health.HealthState:
        """Health state of the target."""
        return self._health.state

    @property
    def is_draining(self) -> bool:
        """Whether the configuration document marks the target as draining."""
        return self._draining

    def is_cold(self, now: float) -> bool:
        """Returns whether the ramp limits the target."""
        return self._ramp.is_cold(now)

    def set_policy(self, policy: document.Policy) -> None:
        """Applies the policy of a new document version."""
        self._pending_flow = None
        self._limits.set_limits(
            connections=policy.connections, slots=policy.slots
        )
        self._ramp.set_parameters(
            initial=policy.ramp_initial,
            step_s=policy.ramp_step_s,
            warm_level=max(policy.connections, policy.slots),
        )
        self._request_deadline_s = policy.request_deadline_s

    def set_draining(self, draining: bool) -> None:
        """Stops or resumes the admission of new flows."""
        self._draining = draining
        self._pending_flow = None

    def set_ejectable(self, ejectable: bool) -> None:
        """Sets whether the target receives no new flows while it is `BAD`.

        If too many endpoints of a service are `BAD`, `health.choose_ejected`
        keeps some of them in service. Those are not ejectable.
        """
        self._ejectable = ejectable

    def decide(
        self, *, kind: document.PortKind, share: float, now: float
    ) -> Decision:
        """Returns whether the target can accept one more flow now.

        Args:
            kind: Kind of the flow's port.
            share: Fraction of the limits that this owner may use, 0 to 1.
            now: Monotonic time in seconds.

        Raises:
            exceptions.ShareError: The share is not between 0 and 1.
        """
        decision = self._evaluate(kind, share, now)
        self._pending_flow = (kind, now) if decision is Decision.ADMIT else None
        return decision

    def admit(self, kind: document.PortKind, now: float) -> None:
        """Counts a new flow for which `decide` has just returned `ADMIT`.

        Args:
            kind: Kind of the flow's port, as passed to `decide`.
            now: Monotonic time, as passed to `decide`.

        Raises:
            exceptions.LimitError: The last call of `decide` did not admit
                this flow, or its decision is no longer valid.
        """
        if self._pending_flow != (kind, now):
            raise exceptions.LimitError(
                f"{kind.value} flow without a preceding decision to admit it"
            )
        self._pending_flow = None
        self._limits.admit(kind)
        self._ramp.start_flow(now)
        self._health.start_flow(now)

    def allow_retransmission(
        self, admitted_at: float, share: float, now: float
    ) -> bool:
        """Returns whether a retransmitted first packet may reach the target.

        A restarted target treats retransmissions for flows that its previous
        process did not answer as new flows. They therefore consume tokens of
        the ramp.

        Args:
            admitted_at: Monotonic time at which the flow was admitted.
            share: Fraction of the limits that this owner may use, 0 to 1.
            now: Monotonic time in seconds.
        """
        if admitted_at >= self._degraded_at:
            return True
        if self._ejectable and self._health.state is health.HealthState.BAD:
            return False
        if not self._ramp.can_start(share=share, now=now):
            return False
        self._ramp.start_flow(now)
        return True

    def add_existing_flow(self, kind: document.PortKind) -> None:
        """Counts a flow that is already open, even beyond the limits."""
        self._limits.add_existing_flow(kind)
        self._pending_flow = None

    def release(self, kind: document.PortKind, now: float) -> None:
        """Stops counting a flow that has ended.

        Raises:
            exceptions.ReleaseError: No flow of this kind is open.
        """
        self._limits.release(kind)
        self._resets.record_close(now)

    def record_handshake(self, duration_s: float | None, now: float) -> None:
        """Records that the target answered a new flow.

        Args:
            duration_s: Time from SYN to SYN-ACK in seconds. None if the time
                says nothing about the target: for UDP, where the first reply
                includes the processing time, and while the balancer's own event
                loop is delayed.
            now: Monotonic time in seconds.
        """
        if self._health.record_success(now):
            # A target that was unreachable before has probably restarted.
            self._restart_ramp(now)
        if duration_s is None:
            return
        if self._handshakes.record_handshake(duration_s, now):
            self._handle_slow_handshakes(now)

    def record_reset(self, established: bool, now: float) -> None:
        """Records an RST from the target before the flow is released.

        Args:
            established: Whether the flow was established. If not, the RST
                refused a new flow.
            now: Monotonic time in seconds.
        """
        if not established:
            self._record_failure(now)
            return
        is_restart = self._resets.record_reset(self._limits.connections, now)
        # After a restart, the target resets its previous flows whenever they
        # send data. Only the first reset may start the ramp.
        if is_restart and not self._ramp.is_cold(now):
            self._restart_ramp(now)

    def record_timeout(self, now: float) -> None:
        """Records that the target did not answer a new flow in time."""
        self._record_failure(now)

    def record_report(self, report: health.Report, now: float) -> None:
        """Records a report of the target's health endpoint."""
        previous = self._health.state
        self._health.record_report(report, now)
        self._update_degraded_at(previous, now)
        # Only the first of consecutive `COLD` reports starts the ramp, because
        # an endpoint that always reports `COLD` must not keep its target at the
        # first level.
        is_cold = report is health.Report.COLD
        if is_cold and self._last_report is not health.Report.COLD:
            self._restart_ramp(now)
        self._last_report = report

    def mark_cold(self, now: float) -> None:
        """Starts the ramp from its first level."""
        self._pending_flow = None
        self._restart_ramp(now)

    def begin_recovery(self, now: float) -> None:
        """Closes the slots after a takeover without the flow records.

        Requests that the previous owner admitted may still run until the
        request deadline has passed.
        """
        self._slots_closed_until = now + self._request_deadline_s
        self._pending_flow = None

    def end_recovery(self, now: float) -> None:
        """Opens the slots once no request of the previous owner is running."""
        self._slots_closed_until = now

    def dump_state(self) -> dict:
        """Returns the state as plain values for the operator's dump."""
        return {
            "limits": self._limits.dump_state(),
            "ramp": self._ramp.dump_state(),
            "health": self._health.dump_state(),
            "handshakes": self._handshakes.dump_state(),
            "resets": self._resets.dump_state(),
            "slots_closed_until": self._slots_closed_until,
            "draining": self._draining,
            "ejectable": self._ejectable,
        }

    def _evaluate(
        self, kind: document.PortKind, share: float, now: float
    ) -> limits.Decision:
        if self._draining:
            return Decision.DRAINING
        if self._ejectable and not self._health.allows_flow(now):
            return Decision.UNHEALTHY
        decision = self._limits.decide(
            kind=kind, share=share, cold_slot_limit=self._ramp.get_level(now)
        )
        if decision is not Decision.ADMIT:
            return decision
        if limits.uses_slot(kind) and now < self._slots_closed_until:
            return Decision.SLOTS_FULL
        if not self._ramp.can_start(share=share, now=now):
            return Decision.COLD
        return Decision.ADMIT

    def _handle_slow_handshakes(self, now: float) -> None:
        if self._ramp.is_cold(now):
            self._ramp.repeat_step(now)
        else:
            self._restart_ramp(now)

    def _restart_ramp(self, now: float) -> None:
        self._degraded_at = now
        self._ramp.restart(now)

    def _record_failure(self, now: float) -> None:
        previous = self._health.state
        self._health.record_failure(now)
        self._update_degraded_at(previous, now)

    def _update_degraded_at(
        self, previous: health.HealthState, now: float
    ) -> None:
        bad = health.HealthState.BAD
        if self._health.state is bad and previous is not bad:
            self._degraded_at = now
