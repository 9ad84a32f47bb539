"""Admission of new flows to one target by its owner."""

import random

from chivedoor.admission import evidence
from chivedoor.admission import exceptions
from chivedoor.admission import health
from chivedoor.admission import limits
from chivedoor.admission import ramp
from chivedoor.configuration import document

Verdict = limits.Verdict


class TargetAdmission:
    """Decides on new flows of one target and counts its open flows.

    The owner calls `decide`, and `admit` for each flow that it lets through.
    Flows that exist already are counted with `adopt`.
    """

    def __init__(
        self,
        *,
        policy: document.Policy,
        cold: bool,
        now: float,
        jitter: random.Random | None = None,
    ) -> None:
        """Starts without open flows and in good health.

        Args:
            policy: Limits and ramp of the target's service.
            cold: Whether the target is cold.
            now: Monotonic time in seconds.
            jitter: Source of jitter; None stands for a newly seeded one.
        """
        self._limits = limits.TargetLimits(
            connections=policy.connections, slots=policy.slots
        )
        self._ramp = ramp.Ramp(
            initial=policy.ramp_initial,
            step_s=policy.ramp_step_s,
            ceiling=max(policy.connections, policy.slots),
            cold=cold,
            now=now,
        )
        self._health = health.HealthEstimate(
            jitter=jitter if jitter is not None else random.Random()
        )
        self._handshakes = evidence.HandshakeEvidence()
        self._resets = evidence.ResetEvidence()
        self._request_deadline_s = policy.request_deadline_s
        self._slots_closed_until = now
        self._last_report: health.Report | None = None
        self._draining = False
        self._granted: tuple[document.PortKind, float] | None = None
        self._ejectable = True
        # Time at which the target last became bad or cold.
        self._worsened_at = now

    @property
    def connections(self) -> int:
        """Open flows of all kinds."""
        return self._limits.connections

    @property
    def slots(self) -> int:
        """Open request and upload flows."""
        return self._limits.slots

    @property
    def estimate(self) -> health.Estimate:
        """Health of the target."""
        return self._health.estimate

    @property
    def is_draining(self) -> bool:
        """Whether the document drains the target."""
        return self._draining

    def is_cold(self, now: float) -> bool:
        """Returns whether the ramp limits the target."""
        return self._ramp.is_cold(now)

    def set_policy(self, policy: document.Policy) -> None:
        """Takes over the policy of a new document version."""
        self._granted = None
        self._limits.set_limits(
            connections=policy.connections, slots=policy.slots
        )
        self._ramp.set_shape(
            initial=policy.ramp_initial,
            step_s=policy.ramp_step_s,
            ceiling=max(policy.connections, policy.slots),
        )
        self._request_deadline_s = policy.request_deadline_s

    def set_draining(self, draining: bool) -> None:
        """Stops or resumes the admission of new flows."""
        self._draining = draining
        self._granted = None

    def set_ejectable(self, ejectable: bool) -> None:
        """Sets whether a `BAD` estimate keeps new flows away.

        It does not for endpoints that `health.choose_ejected` leaves in
        service because too many of the service's endpoints are `BAD`.
        """
        self._ejectable = ejectable

    def decide(
        self, *, kind: document.PortKind, share: float, now: float
    ) -> Verdict:
        """Returns whether the target takes one more flow now.

        Args:
            kind: Kind of the flow's port.
            share: The part of the limits that this owner may use, 0 to 1.
            now: Monotonic time in seconds.

        Raises:
            exceptions.ShareError: The share is not between 0 and 1.
        """
        verdict = self._check(kind, share, now)
        self._granted = (kind, now) if verdict is Verdict.ADMIT else None
        return verdict

    def admit(self, kind: document.PortKind, now: float) -> None:
        """Counts a new flow for which `decide` has just returned `ADMIT`.

        Args:
            kind: Kind of the flow's port, as given to `decide`.
            now: The time that was given to `decide`.

        Raises:
            exceptions.LimitError: The last call of `decide` did not allow
                this flow, or another flow has used its answer.
        """
        if self._granted != (kind, now):
            raise exceptions.LimitError(f"{kind.value} flow without decision")
        self._granted = None
        self._limits.admit(kind)
        self._ramp.start_flow(now)
        self._health.start_flow(now)

    def repeat(self, admitted_at: float, share: float, now: float) -> bool:
        """Returns whether a flow's first packet may go to the target again.

        A target that has restarted takes the repeated packets of flows that
        its former process never answered as new flows. Those count towards
        the ramp.

        Args:
            admitted_at: When the flow was admitted, in monotonic seconds.
            share: The part of the limits that this owner may use, 0 to 1.
            now: Monotonic time in seconds.
        """
        if admitted_at >= self._worsened_at:
            return True
        if self._ejectable and self._health.estimate is health.Estimate.BAD:
            return False
        if not self._ramp.can_start(share=share, now=now):
            return False
        self._ramp.start_flow(now)
        return True

    def adopt(self, kind: document.PortKind) -> None:
        """Counts a flow that exists already, also beyond the limits."""
        self._limits.adopt(kind)
        self._granted = None

    def release(self, kind: document.PortKind, now: float) -> None:
        """Stops counting a flow that has ended.

        Raises:
            exceptions.ReleaseError: No flow of this kind is counted.
        """
        self._limits.release(kind)
        self._resets.note_close(now)

    def note_handshake(self, duration_s: float | None, now: float) -> None:
        """Notes that the target answered a new flow.

        Args:
            duration_s: Time from SYN to SYN-ACK in seconds. None when it says
                nothing about the target: for UDP, where the first reply also
                includes the work, and while the balancer's own loop is late.
            now: Monotonic time in seconds.
        """
        if self._health.note_success(now):
            # A target that was unreachable has probably restarted.
            self._restart_ramp(now)
        if duration_s is None:
            return
        if self._handshakes.note_handshake(duration_s, now):
            self._slow_down(now)

    def note_reset(self, established: bool, now: float) -> None:
        """Notes a RST from the target, before the flow is released.

        Args:
            established: Whether the flow was established; otherwise the RST
                refused a new flow.
            now: Monotonic time in seconds.
        """
        if not established:
            self._note_failure(now)
            return
        likely = self._resets.note_reset(self._limits.connections, now)
        # Flows from before a restart are reset for as long as they live; the
        # ramp that the first of them started must not start again each time.
        if likely and not self._ramp.is_cold(now):
            self._restart_ramp(now)

    def note_timeout(self, now: float) -> None:
        """Notes that the target did not answer a new flow in time."""
        self._note_failure(now)

    def note_report(self, report: health.Report, now: float) -> None:
        """Notes a report of the target's health endpoint."""
        former = self._health.estimate
        self._health.note_report(report, now)
        self._note_estimate(former, now)
        # Only the first of a series starts the ramp: an endpoint that always
        # reports to be cold must not keep its target at the first level.
        is_cold = report is health.Report.COLD
        if is_cold and self._last_report is not health.Report.COLD:
            self._restart_ramp(now)
        self._last_report = report

    def become_cold(self, now: float) -> None:
        """Starts the ramp from its first level."""
        self._granted = None
        self._restart_ramp(now)

    def begin_recovery(self, now: float) -> None:
        """Closes the slots after a takeover without the former records.

        Requests that the former owner admitted may still run until the
        request deadline has passed.
        """
        self._slots_closed_until = now + self._request_deadline_s
        self._granted = None

    def end_recovery(self, now: float) -> None:
        """Opens the slots: nothing of the former owner runs any more."""
        self._slots_closed_until = now

    def dump_state(self) -> dict:
        """Returns the state as plain values for the operators' dump."""
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

    def _check(
        self, kind: document.PortKind, share: float, now: float
    ) -> limits.Verdict:
        if self._draining:
            return Verdict.DRAINING
        if self._ejectable and not self._health.allows_flow(now):
            return Verdict.UNHEALTHY
        verdict = self._limits.decide(
            kind=kind, share=share, slot_ceiling=self._ramp.get_level(now)
        )
        if verdict is not Verdict.ADMIT:
            return verdict
        if limits.uses_slot(kind) and now < self._slots_closed_until:
            return Verdict.SLOTS_FULL
        if not self._ramp.can_start(share=share, now=now):
            return Verdict.COLD
        return Verdict.ADMIT

    def _slow_down(self, now: float) -> None:
        if self._ramp.is_cold(now):
            self._ramp.hold(now)
        else:
            self._restart_ramp(now)

    def _restart_ramp(self, now: float) -> None:
        self._worsened_at = now
        self._ramp.restart(now)

    def _note_failure(self, now: float) -> None:
        former = self._health.estimate
        self._health.note_failure(now)
        self._note_estimate(former, now)

    def _note_estimate(self, former: health.Estimate, now: float) -> None:
        bad = health.Estimate.BAD
        if self._health.estimate is bad and former is not bad:
            self._worsened_at = now
