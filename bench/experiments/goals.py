"""Goals for the current deployments and their evaluation for a run."""

import dataclasses
import enum

from bench.experiments import const
from bench.experiments import report as reports


class AllowedDisruption(enum.Enum):
    """How many broken flows the goals allow in a case."""

    NONE = "none"
    # Fewer than one per thousand, because owner and backup fail together.
    TWO_DEATHS = "two-deaths"
    # At most the flows on the targets of the failure domain taken out.
    DOMAIN_OUT = "domain-out"
    # No limit, because targets or networks fail in the case.
    UNBOUNDED = "not-stated"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """One goal with its limit and the measured value.

    Attributes:
        goal: Name of the goal.
        measured: The measured value.
        limit: The limit that the value is compared with.
        at_least: Whether the limit is a minimum instead of a maximum.
        excludes_limit: Whether a value equal to the limit misses the goal,
            as for goals stated as `under` or `fewer than`.
    """

    goal: str
    measured: float
    limit: float
    at_least: bool = False
    excludes_limit: bool = False

    @property
    def is_met(self) -> bool:
        """Whether the measured value is within the limit."""
        if self.at_least:
            return self.measured >= self.limit
        if self.excludes_limit:
            return self.measured < self.limit
        return self.measured <= self.limit


def evaluate_report(
    report: reports.Report,
    *,
    allowed_disruption: AllowedDisruption,
    checks_balance: bool = False,
) -> list[Verdict]:
    """Evaluates a run against the applicable goals."""
    mixed = sum(row.mixed for row in report.rows)
    zeros = {
        "requests run twice": report.doubled,
        "false refusals": report.false_refusals,
        "responses mixed or duplicated": mixed,
        "packets to another service": report.wrong_service,
        "targets over limit": len(report.over_limit),
        "targets over ramp": len(report.over_ramp),
    }
    if allowed_disruption is not AllowedDisruption.UNBOUNDED:
        zeros["responses lost"] = report.lost
    verdicts = [
        Verdict(goal=goal, measured=count, limit=0)
        for goal, count in zeros.items()
    ]
    verdicts += _evaluate_broken_flows(report, allowed_disruption)
    control = max(report.control_bytes_per_s.values(), default=0.0)
    verdicts.append(
        Verdict(
            goal="control bytes/s of a node",
            measured=control,
            limit=const.MAX_CONTROL_BYTES_PER_S,
            excludes_limit=True,
        )
    )
    if checks_balance:
        verdicts += _evaluate_balance(report)
    return verdicts + _evaluate_measures(report)


def _evaluate_broken_flows(
    report: reports.Report, allowed_disruption: AllowedDisruption
) -> list[Verdict]:
    if allowed_disruption is AllowedDisruption.UNBOUNDED:
        return []
    if allowed_disruption is AllowedDisruption.TWO_DEATHS:
        return [
            Verdict(
                goal="broken flows per thousand",
                measured=report.broken_per_thousand,
                limit=const.MAX_BROKEN_PER_THOUSAND,
                excludes_limit=True,
            )
        ]
    planned = 0.0
    if allowed_disruption is AllowedDisruption.DOMAIN_OUT:
        planned = report.measures.get(PLANNED_RESETS, 0.0)
    return [Verdict(goal="broken flows", measured=report.broken, limit=planned)]


def _evaluate_balance(report: reports.Report) -> list[Verdict]:
    return [
        Verdict(
            goal=f"imbalance of {service}",
            measured=balance.max_over_mean,
            limit=const.MAX_IMBALANCE,
            excludes_limit=True,
        )
        for service, balance in report.balance.items()
        if balance.offered_per_target >= const.MIN_FLOWS_PER_TARGET
    ]


PLANNED_RESETS = "flows that the domain out may reset"
LAST_PACKET = "last packet to the domain after the command (s)"
RECOVERY = "full use of the returned domain after (s)"
GOODPUT = "goodput of capacity in the overload"
_MEASURES = {
    LAST_PACKET: (const.MAX_DOMAIN_OUT_S, False),
    RECOVERY: (const.MAX_RECOVERY_S, False),
    GOODPUT: (const.MIN_GOODPUT, True),
}


def _evaluate_measures(report: reports.Report) -> list[Verdict]:
    return [
        Verdict(
            goal=goal,
            measured=report.measures[goal],
            limit=limit,
            at_least=at_least,
        )
        for goal, (limit, at_least) in _MEASURES.items()
        if goal in report.measures
    ]


def format_verdicts(verdicts: list[Verdict]) -> str:
    """Returns one line per goal."""
    return "\n".join(
        f"{'met   ' if verdict.is_met else 'MISSED'}  {verdict.goal}: "
        f"{verdict.measured:.2f} "
        f"(goal: {_get_operator(verdict)} {verdict.limit:g})"
        for verdict in verdicts
    )


def _get_operator(verdict: Verdict) -> str:
    if verdict.at_least:
        return ">="
    return "<" if verdict.excludes_limit else "<="
