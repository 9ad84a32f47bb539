"""The figures of a run, and their table."""

from collections.abc import Iterable
import dataclasses
import statistics
from typing import Any

from bench.experiments import loads
from bench.experiments import run as runs
from standins import results

_BROKEN = tuple(outcome.value for outcome in results.BROKEN)
_LISTED_FAILURES = 100
_WRONG = tuple(outcome.value for outcome in results.WRONG)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """The flows of one load."""

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
        """Flows that were established and did not finish."""
        return self.reset + self.timed_out + self.incomplete


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balance:
    """How the flows of a service lie on its targets."""

    flows_per_target: float
    max_over_mean: float
    variation: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The figures of a run; see `build_report` for their units."""

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
        """Flows of all loads."""
        return sum(row.opened for row in self.rows)

    @property
    def broken(self) -> int:
        """Broken flows of all loads; those that hang are broken as well."""
        return sum(row.broken for row in self.rows) + self.unfinished

    @property
    def broken_per_thousand(self) -> float:
        """Broken flows of a thousand opened ones."""
        return 1000.0 * self.broken / self.opened if self.opened else 0.0

    @property
    def forwarded_share(self) -> float:
        """Datagrams between balancers for each packet from the fabric."""
        total = sum(self.forwarded_packets.values())
        return total / self.fabric_packets if self.fabric_packets else 0.0


def build_report(seen: runs.Observations) -> Report:
    """Returns the figures of a run; rates are means over the whole run."""
    figures = seen.figures
    control = figures.add_up("chivedoor_control_sent_bytes_total")
    received = figures.add_up(
        "chivedoor_received_packets_total", 'source="fabric"'
    )
    events = _subtract_events(seen.targets["events"], seen.baseline)
    return Report(
        rows=_build_rows(seen.callers),
        unfinished=seen.callers["open"],
        doubled=len(seen.targets["doubled"]),
        false_refusals=len(seen.false_refusals),
        lost=len(seen.lost),
        wrong_service=sum(_pick(events, "wrong_service").values()),
        over_limit=_pick(events, "over_limit"),
        over_ramp=_pick(events, "over_ramp"),
        balance=_measure_balance(seen.document, events),
        without_service_s=count_gaps(seen.samples, seen.load_s),
        control_bytes_per_s=_divide(control, seen.watched_s),
        cpu_cores=_divide(figures.cpu_s, seen.watched_s),
        stand_in_cpu_cores=_divide(figures.stand_in_cpu_s, seen.watched_s),
        latencies_us=_select_latencies(seen.callers["latencies_us"]),
        fabric_packets=sum(received.values()),
        forwarded_packets=figures.add_up_labels(
            "chivedoor_forwarded_packets_total"
        ),
        broken_reasons=figures.add_up_labels("chivedoor_broken_flows_total"),
        refused_reasons=figures.add_up_labels("chivedoor_refused_flows_total"),
        dropped_reasons=figures.add_up_labels(
            "chivedoor_dropped_packets_total"
        ),
        measures=seen.measures,
        events=seen.events,
        timeline=list(build_timeline(seen.samples)),
        failures=[
            {**failure, "at": round(failure["at"] - seen.began, 3)}
            for failure in seen.callers["failures"][:_LISTED_FAILURES]
        ],
    )


def _divide(sums: dict[str, float], seconds: float) -> dict[str, float]:
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


def _pick(events: dict[str, dict], event: str) -> dict[str, int]:
    return {
        target: counted[event]
        for target, counted in events.items()
        if counted.get(event)
    }


def _build_rows(callers: dict) -> list[Row]:
    known = ("finished", "refused", "unanswered", *_BROKEN)
    rows = []
    for load, opened in callers["opened"].items():
        outcomes = callers["outcomes"].get(load, {})
        mixed = sum(outcomes.get(name, 0) for name in _WRONG)
        counted = {name: outcomes.get(name, 0) for name in known}
        other = sum(outcomes.values()) - sum(counted.values()) - mixed
        rows.append(
            Row(load=load, opened=opened, mixed=mixed, other=other, **counted)
        )
    return rows


def _measure_balance(document: dict, events: dict) -> dict[str, Balance]:
    admitted = runs.count_admitted(events)
    found = {}
    for service in document["services"]:
        counts = [
            admitted.get(endpoint[1], 0)
            for endpoint in service["endpoints"]
            if endpoint[4] == "active"
        ]
        mean = statistics.fmean(counts)
        if mean:
            found[service["id"]] = Balance(
                flows_per_target=mean,
                max_over_mean=max(counts) / mean,
                variation=statistics.pstdev(counts) / mean,
            )
    return found


def _count_finished(sample: runs.Sample, load: str) -> int:
    return sample.ended.get(load, {}).get("finished", 0)


def count_gaps(samples: list[runs.Sample], load_s: float) -> int:
    """Returns the seconds of the load in which no request finished.

    The first second is left out, as its flows have just begun.
    """
    names = {name for sample in samples for name in sample.opened}
    load = loads.REQUESTS if loads.REQUESTS in names else "slow-request"
    watched = [s for s in samples if 1.0 <= s.at_s <= load_s + 0.5]
    return sum(
        _count_finished(later, load) == _count_finished(earlier, load)
        for earlier, later in zip(watched, watched[1:], strict=False)
    )


def build_timeline(samples: list[runs.Sample]) -> Iterable[dict[str, Any]]:
    """Yields what happened in each interval between two samples."""
    for earlier, later in zip(samples, samples[1:], strict=False):
        seconds = later.at_s - earlier.at_s
        before, after = _add_outcomes(earlier), _add_outcomes(later)
        yield {
            "at_s": round(later.at_s, 2),
            "seconds": round(seconds, 3),
            **{name: after[name] - before.get(name, 0) for name in after},
            "admitted": {
                target: count - earlier.admitted.get(target, 0)
                for target, count in later.admitted.items()
            },
        }


def _add_outcomes(sample: runs.Sample) -> dict[str, int]:
    sums = {"finished": 0, "refused": 0, "unanswered": 0, "broken": 0}
    for outcomes in sample.ended.values():
        for outcome, count in outcomes.items():
            name = "broken" if outcome in _BROKEN else outcome
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
    """Returns the table of a run."""
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
        f"broken in all: {report.broken} of {report.opened} "
        f"({report.broken_per_thousand:.2f} per thousand), "
        f"of these never ended: {report.unfinished}",
        f"doubled: {report.doubled}, false refusals: {report.false_refusals}, "
        f"lost responses: {report.lost}, "
        f"wrong service: {report.wrong_service}",
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
        f"CPU a node: {_format_spread(report.cpu_cores, 3)} cores",
        "CPU of the stand-ins (cores): "
        + _format_counts(report.stand_in_cpu_cores, 2),
        "handshakes (ms, p50/p99/max): " + _format_latencies(report),
    ]
    if report.fabric_packets:
        control = _format_spread(report.control_bytes_per_s, 0)
        lines.append(f"control a node: {control} bytes/s")
        kinds = _format_counts(report.forwarded_packets)
        lines.append(
            f"forwarded between balancers: {report.forwarded_share:.3f} "
            f"per packet from the fabric ({kinds})"
        )
    for name in ("broken", "refused", "dropped"):
        counts = getattr(report, f"{name}_reasons")
        if counts:
            lines.append(f"{name} by balancers: {_format_counts(counts)}")
    return lines


def _format_spread(values: dict[str, float], digits: int) -> str:
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
