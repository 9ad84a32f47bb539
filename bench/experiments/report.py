"""Computes and formats the report of a run."""

from collections.abc import Iterable
import dataclasses
import statistics
from typing import Any

from bench.experiments import loads
from bench.experiments import run as runs
from standins import results

_BROKEN_OUTCOMES = tuple(outcome.value for outcome in results.BROKEN)
_MAX_LISTED_FAILURES = 100
_WRONG_OUTCOMES = tuple(outcome.value for outcome in results.WRONG)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Flow counts of one load."""

    load: str
    opened: int
    finished: int
    refused: int
    unanswered: int
    reset: int
    timed_out: int
    incomplete: int
    mixed: int
    other: int

    @property
    def broken(self) -> int:
        """Number of established flows that did not finish."""
        return self.reset + self.timed_out + self.incomplete


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balance:
    """Distribution of the flows of a service over its targets.

    Attributes:
        offered_per_target: Flows opened by callers, per target.
        flows_per_target: Flows admitted by targets, per target.
        max_over_mean: Highest number of flows of a target, divided by the mean.
        variation: Coefficient of variation of the flows per target.
    """

    offered_per_target: float
    flows_per_target: float
    max_over_mean: float
    variation: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Results of a run; rates are means over the whole run."""

    rows: list[Row]
    unfinished: int
    doubled: int
    false_refusals: int
    lost: int
    wrong_service: int
    over_limit: dict[str, int]
    over_ramp: dict[str, int]
    balance: dict[str, Balance]
    without_service_s: int
    control_bytes_per_s: dict[str, float]
    cpu_cores: dict[str, float]
    stand_in_cpu_cores: dict[str, float]
    latencies_us: dict[str, dict[str, float]]
    fabric_packets: float
    forwarded_packets: dict[str, float]
    broken_reasons: dict[str, float]
    refused_reasons: dict[str, float]
    dropped_reasons: dict[str, float]
    measures: dict[str, float]
    events: list[tuple[float, str]]
    timeline: list[dict[str, Any]]
    failures: list[dict[str, Any]]

    @property
    def opened(self) -> int:
        """Number of opened flows of all loads."""
        return sum(row.opened for row in self.rows)

    @property
    def broken(self) -> int:
        """Number of broken flows of all loads, including those that hang."""
        return sum(row.broken for row in self.rows) + self.unfinished

    @property
    def broken_per_thousand(self) -> float:
        """Broken flows per thousand opened flows."""
        return 1000.0 * self.broken / self.opened if self.opened else 0.0

    @property
    def forwarded_share(self) -> float:
        """Datagrams between balancers per packet from the fabric."""
        total = sum(self.forwarded_packets.values())
        return total / self.fabric_packets if self.fabric_packets else 0.0


def build_report(observations: runs.Observations) -> Report:
    """Builds the report of a run from its observations."""
    node_metrics = observations.node_metrics
    control = node_metrics.sum_by_node("chivedoor_control_sent_bytes_total")
    received = node_metrics.sum_by_node(
        "chivedoor_received_packets_total", 'source="fabric"'
    )
    events = _subtract_events(
        observations.targets["events"], observations.baseline
    )
    return Report(
        rows=_build_rows(observations.callers),
        unfinished=observations.callers["open"],
        doubled=len(observations.targets["doubled"]),
        false_refusals=len(observations.false_refusals),
        lost=len(observations.lost),
        wrong_service=sum(_select_event(events, "wrong_service").values()),
        over_limit=_select_event(events, "over_limit"),
        over_ramp=_select_event(events, "over_ramp"),
        balance=_measure_balance(
            observations.document,
            events,
            observations.callers["opened"],
            observations.services,
        ),
        without_service_s=count_seconds_without_service(
            observations.samples, observations.load_s
        ),
        control_bytes_per_s=_compute_rates(control, observations.observed_s),
        cpu_cores=_compute_rates(node_metrics.cpu_s, observations.observed_s),
        stand_in_cpu_cores=_compute_rates(
            node_metrics.stand_in_cpu_s, observations.observed_s
        ),
        latencies_us=_select_latencies(observations.callers["latencies_us"]),
        fabric_packets=sum(received.values()),
        forwarded_packets=node_metrics.sum_by_label(
            "chivedoor_forwarded_packets_total"
        ),
        broken_reasons=node_metrics.sum_by_label(
            "chivedoor_broken_flows_total"
        ),
        refused_reasons=node_metrics.sum_by_label(
            "chivedoor_refused_flows_total"
        ),
        dropped_reasons=node_metrics.sum_by_label(
            "chivedoor_dropped_packets_total"
        ),
        measures=observations.measures,
        events=observations.events,
        timeline=list(build_timeline(observations.samples)),
        failures=[
            {
                **failure,
                "at": round(failure["at"] - observations.load_started_s, 3),
            }
            for failure in observations.callers["failures"][
                :_MAX_LISTED_FAILURES
            ]
        ],
    )


def _compute_rates(sums: dict[str, float], seconds: float) -> dict[str, float]:
    return {name: value / seconds for name, value in sums.items()}


def _select_latencies(latencies: dict) -> dict[str, dict[str, float]]:
    return {
        name: {key: values[key] for key in ("p50", "p99", "p100")}
        for name, values in latencies.items()
        if name.endswith("/handshake")
    }


def _subtract_events(
    events: dict[str, dict], baseline: dict[str, dict]
) -> dict[str, dict[str, int]]:
    return {
        target: {
            event: count - baseline.get(target, {}).get(event, 0)
            for event, count in counted.items()
        }
        for target, counted in events.items()
    }


def _select_event(events: dict[str, dict], event: str) -> dict[str, int]:
    return {
        target: counted[event]
        for target, counted in events.items()
        if counted.get(event)
    }


def _build_rows(callers: dict) -> list[Row]:
    known = ("finished", "refused", "unanswered", *_BROKEN_OUTCOMES)
    rows = []
    for load, opened in callers["opened"].items():
        outcomes = callers["outcomes"].get(load, {})
        mixed = sum(outcomes.get(name, 0) for name in _WRONG_OUTCOMES)
        counted = {name: outcomes.get(name, 0) for name in known}
        other = sum(outcomes.values()) - sum(counted.values()) - mixed
        rows.append(
            Row(load=load, opened=opened, mixed=mixed, other=other, **counted)
        )
    return rows


def _measure_balance(
    document: dict,
    events: dict,
    opened: dict[str, int],
    services: dict[str, str],
) -> dict[str, Balance]:
    admitted = runs.count_admitted(events)
    balances = {}
    for service in document["services"]:
        counts = [
            admitted.get(endpoint[1], 0)
            for endpoint in service["endpoints"]
            if endpoint[4] == "active"
        ]
        mean = statistics.fmean(counts)
        offered = sum(
            count
            for load, count in opened.items()
            if services.get(load) == service["id"]
        )
        if mean:
            balances[service["id"]] = Balance(
                offered_per_target=offered / len(counts),
                flows_per_target=mean,
                max_over_mean=max(counts) / mean,
                variation=statistics.pstdev(counts) / mean,
            )
    return balances


def _count_finished(sample: runs.Sample, load: str) -> int:
    return sample.ended.get(load, {}).get("finished", 0)


def count_seconds_without_service(
    samples: list[runs.Sample], load_s: float
) -> int:
    """Returns the number of seconds in which no request finished.

    The first second is excluded because its flows have only just started.
    """
    names = {name for sample in samples for name in sample.opened}
    load = loads.REQUEST_LOAD if loads.REQUEST_LOAD in names else "slow-request"
    load_samples = [s for s in samples if 1.0 <= s.at_s <= load_s + 0.5]
    return sum(
        _count_finished(later, load) == _count_finished(earlier, load)
        for earlier, later in zip(load_samples, load_samples[1:], strict=False)
    )


def build_timeline(samples: list[runs.Sample]) -> Iterable[dict[str, Any]]:
    """Yields the changes between each two consecutive samples."""
    for earlier, later in zip(samples, samples[1:], strict=False):
        seconds = later.at_s - earlier.at_s
        before, after = _sum_outcomes(earlier), _sum_outcomes(later)
        yield {
            "at_s": round(later.at_s, 2),
            "seconds": round(seconds, 3),
            **{name: after[name] - before.get(name, 0) for name in after},
            "admitted": {
                target: count - earlier.admitted.get(target, 0)
                for target, count in later.admitted.items()
            },
        }


def _sum_outcomes(sample: runs.Sample) -> dict[str, int]:
    sums = {"finished": 0, "refused": 0, "unanswered": 0, "broken": 0}
    for outcomes in sample.ended.values():
        for outcome, count in outcomes.items():
            name = "broken" if outcome in _BROKEN_OUTCOMES else outcome
            sums[name] = sums.get(name, 0) + count
    return sums


_COLUMNS = (
    "opened",
    "finished",
    "refused",
    "unanswered",
    "reset",
    "timed_out",
    "incomplete",
    "mixed",
    "other",
)


def format_report(report: Report) -> str:
    """Returns the report as a text table."""
    lines = [_format_line("load", [*_COLUMNS, "broken/1000"])]
    for row in report.rows:
        rate = f"{1000.0 * row.broken / row.opened:.2f}" if row.opened else "-"
        values = [getattr(row, column) for column in _COLUMNS]
        lines.append(_format_line(row.load, [*values, rate]))
    lines += ["", *_format_totals(report), *_format_nodes(report)]
    for name, value in report.measures.items():
        lines.append(f"{name}: {value:.2f}")
    return "\n".join(lines)


def _format_line(name: str, values: Iterable) -> str:
    return " ".join([f"{name:13}", *(f"{value:>11}" for value in values)])


def _format_totals(report: Report) -> list[str]:
    lines = [
        f"broken flows: {report.broken} of {report.opened} "
        f"({report.broken_per_thousand:.2f} per thousand), "
        f"of which still open: {report.unfinished}",
        f"requests run twice: {report.doubled}, "
        f"false refusals: {report.false_refusals}, "
        f"responses lost: {report.lost}, "
        f"packets to wrong service: {report.wrong_service}",
        f"targets over limit: {len(report.over_limit)} "
        f"({sum(report.over_limit.values())} flows), over ramp: "
        f"{len(report.over_ramp)} ({sum(report.over_ramp.values())} flows)",
        f"seconds without service: {report.without_service_s}",
    ]
    for service, balance in report.balance.items():
        lines.append(
            f"balance of {service}: max/mean {balance.max_over_mean:.3f}, "
            f"variation {balance.variation:.3f}, "
            f"{balance.flows_per_target:.0f} flows per target"
        )
    return lines


def _format_nodes(report: Report) -> list[str]:
    lines = [
        f"CPU per node: {_format_mean_and_max(report.cpu_cores, 3)} cores",
        "CPU of the stand-ins (cores): "
        + _format_counts(report.stand_in_cpu_cores, 2),
        "handshake latency (ms, p50/p99/max): " + _format_latencies(report),
    ]
    if report.fabric_packets:
        control = _format_mean_and_max(report.control_bytes_per_s, 0)
        lines.append(f"control traffic per node: {control} bytes/s")
        kinds = _format_counts(report.forwarded_packets)
        lines.append(
            f"datagrams between balancers: {report.forwarded_share:.3f} "
            f"per packet from the fabric ({kinds})"
        )
    for name in ("broken", "refused", "dropped"):
        counts = getattr(report, f"{name}_reasons")
        if counts:
            lines.append(
                f"{name} by balancers, by reason: {_format_counts(counts)}"
            )
    return lines


def _format_mean_and_max(values: dict[str, float], digits: int) -> str:
    mean = statistics.fmean(values.values()) if values else 0.0
    highest = max(values.values(), default=0.0)
    return f"mean {mean:.{digits}f}, highest {highest:.{digits}f}"


def _format_counts(counts: dict[str, float], digits: int = 0) -> str:
    ordered = sorted(counts.items(), key=lambda item: -item[1])
    return ", ".join(f"{name} {count:.{digits}f}" for name, count in ordered)


def _format_latencies(report: Report) -> str:
    return ", ".join(
        f"{name.removesuffix('/handshake')} "
        + "/".join(f"{value / 1000:.1f}" for value in values.values())
        for name, values in report.latencies_us.items()
    )
