"""Plots a run over time."""

import pathlib
from typing import Any

from matplotlib import figure as figures

_OUTCOMES = ("finished", "refused", "unanswered", "broken")


def draw(report: dict[str, Any], title: str, path: pathlib.Path) -> None:
    """Plots ended flows and flows admitted per target, per second.

    Args:
        report: The report of a run in JSON form.
        title: Title of the plot.
        path: Output file; its suffix selects the format.
    """
    drawn = figures.Figure(figsize=(10, 7), layout="constrained")
    upper, lower = drawn.subplots(2, sharex=True)
    timeline = report["timeline"]
    times = [entry["at_s"] for entry in timeline]
    for outcome in _OUTCOMES:
        rates = [entry[outcome] / entry["seconds"] for entry in timeline]
        upper.plot(times, rates, label=outcome)
    targets = sorted({name for entry in timeline for name in entry["admitted"]})
    for target in targets:
        rates = [
            entry["admitted"].get(target, 0) / entry["seconds"]
            for entry in timeline
        ]
        lower.plot(times, rates, label=target)
    for axes, label in ((upper, "ended flows/s"), (lower, "new flows/s")):
        for at_s, _ in report["events"]:
            axes.axvline(at_s, color="grey", linewidth=0.7, linestyle="--")
        axes.set_ylabel(label)
        axes.legend(fontsize="x-small", loc="upper right")
    upper.set_title(title)
    lower.set_xlabel("seconds since the start of the load")
    drawn.savefig(path)
