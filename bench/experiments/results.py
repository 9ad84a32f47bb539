"""Converts results of runs to JSON and compares two results."""

import dataclasses
import math
from typing import Any

from bench.experiments import goals
from bench.experiments import report as reports


def dump_result(
    *,
    case: str,
    seed: int,
    kind: str,
    report: reports.Report,
    verdicts: list[goals.Verdict],
) -> dict[str, Any]:
    """Returns the JSON form of a result; infinite numbers become null."""
    dumped = _replace_infinite(dataclasses.asdict(report))
    figures = {
        "broken_per_thousand": report.broken_per_thousand,
        "forwarded_share": report.forwarded_share,
        **select_figures(report),
    }
    return {
        "case": case,
        "seed": seed,
        "kind": kind,
        "figures": _replace_infinite(figures),
        "verdicts": [
            {**_replace_infinite(dataclasses.asdict(v)), "is_met": v.is_met}
            for v in verdicts
        ],
        "report": dumped,
    }


def select_figures(report: reports.Report) -> dict[str, float]:
    """Returns the figures that are compared between runs."""
    figures: dict[str, float] = {
        "opened": report.opened,
        "finished": sum(row.finished for row in report.rows),
        "broken": report.broken,
        "refused": sum(row.refused for row in report.rows),
        "unanswered": sum(row.unanswered for row in report.rows),
        "mixed": sum(row.mixed for row in report.rows),
        "doubled": report.doubled,
        "false_refusals": report.false_refusals,
        "lost": report.lost,
        "flows_over_limit": sum(report.over_limit.values()),
        "flows_over_ramp": sum(report.over_ramp.values()),
        "without_service_s": report.without_service_s,
        "cpu_cores_highest": max(report.cpu_cores.values(), default=0.0),
        "control_bytes_per_s_highest": max(
            report.control_bytes_per_s.values(), default=0.0
        ),
    }
    for service, balance in report.balance.items():
        figures[f"imbalance_{service}"] = balance.max_over_mean
        figures[f"variation_{service}"] = balance.variation
    return {**figures, **report.measures}


def _replace_infinite(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _replace_infinite(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_replace_infinite(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Returns a table of the figures of two results and their ratios."""
    titles = [
        f"{result['case']}/{result['kind']}/{result['seed']}"
        for result in (first, second)
    ]
    lines = [f"{'figure':48} {titles[0]:>26} {titles[1]:>26} {'ratio':>8}"]
    names = {**first["figures"], **second["figures"]}
    for name in names:
        before = first["figures"].get(name)
        after = second["figures"].get(name)
        lines.append(
            f"{name:48} {_format(before):>26} {_format(after):>26} "
            f"{format_ratio(before, after):>8}"
        )
    return "\n".join(lines)


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def format_ratio(before: float | None, after: float | None) -> str:
    """Returns the ratio of the second value to the first, or `-`."""
    if before is None or after is None:
        return "-"
    if before == after:
        return "1.00"
    return f"{after / before:.2f}" if before else "-"
