"""Runs a whole deployment with callers and prints the results of flows."""

import asyncio
import collections
import copy
import dataclasses
import json
import pathlib
import sys
import tempfile
import time
from typing import Annotated
from typing import Any

import cappa

from standins import deployment as deployments
from standins import processes
from standins import results as results_module

_PROGRESS_S = 2.0
_GRACE_S = 40.0
# Requests and uploads of the loads take at most 2 s.
_REQUEST_DEADLINE_S = 5.0
# After a start of all balancers, no flow that takes a slot is admitted until
# the request deadline has passed.
_SETTLE_S = 5.0 + _REQUEST_DEADLINE_S
_EXAMPLE = processes.ROOT / "examples" / "mtskheta.json"
_REFUSAL_METRICS = ("chivedoor_refused_", "chivedoor_dropped_")
_COLUMNS = ("opened", "finished", "broken", "refused", "unanswered", "wrong")


def shorten_deadlines(document: dict) -> dict:
    """Returns a copy of a document with short request deadlines."""
    shortened = copy.deepcopy(document)
    for policy in shortened["policies"].values():
        policy["request_deadline_s"] = min(
            policy["request_deadline_s"], _REQUEST_DEADLINE_S
        )
    return shortened


def build_loads(document: dict) -> list[dict]:
    """Builds loads for all ports of a document, sized for one machine.

    They use far fewer slots than the targets have.
    """
    loads = []
    for service in document["services"]:
        for protocol, port, _, kind, _ in service["ports"]:
            loads.append(
                {
                    "name": f"{service['id']}/{protocol}-{kind}",
                    "service": service["id"],
                    "protocol": protocol,
                    "port": port,
                    **_LOADS_BY_KIND[kind],
                }
            )
    return loads


_LOADS_BY_KIND = {
    "stream": {
        "rate_per_s": 40.0,
        "shape": {"records": 40, "rate_per_s": 5.0, "record_bytes": 256},
    },
    "request": {
        "rate_per_s": 20.0,
        "shape": {"answer_bytes": 1000, "work_s": 0.02},
    },
    "upload": {
        "rate_per_s": 2.0,
        "shape": {"blocks": 40, "block_bytes": 1024, "rate_per_s": 20.0},
    },
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Flow counts of one load."""

    name: str
    opened: int
    finished: int
    broken: int
    refused: int
    unanswered: int
    wrong: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Results of a run."""

    rows: list[Row]
    unfinished: int
    doubled: int
    false_refusals: int
    over_limit: int
    over_ramp: int
    wrong_service: int
    imbalance: dict[str, float]
    refusals: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether no flow was broken, duplicated, corrupted or misrouted."""
        faults = [row.broken + row.wrong for row in self.rows]
        faults += [self.unfinished, self.doubled, self.false_refusals]
        faults += [self.wrong_service]
        return not any(faults)


def summarize(
    *,
    callers: dict,
    targets: dict,
    runs: dict,
    refusals: dict[str, int],
    document: dict,
) -> Summary:
    """Summarizes the statistics of callers, targets and balancers.

    `runs` holds the flows that were refused although a target ran them, and
    `refusals` counts refused flows and dropped packets by reason.
    """
    events: dict[str, int] = {}
    for counted in targets["events"].values():
        for event, count in counted.items():
            events[event] = events.get(event, 0) + count
    return Summary(
        rows=[
            _build_row(load, opened, callers["outcomes"].get(load, {}))
            for load, opened in callers["opened"].items()
        ],
        unfinished=callers["open"],
        doubled=len(targets["doubled"]),
        false_refusals=len(runs),
        over_limit=events.get("over_limit", 0),
        over_ramp=events.get("over_ramp", 0),
        wrong_service=events.get("wrong_service", 0),
        imbalance={
            service["id"]: measure_imbalance(service, targets["events"])
            for service in document["services"]
        },
        refusals=refusals,
    )


def _build_row(load: str, opened: int, outcomes: dict[str, int]) -> Row:
    def add(wanted: tuple[results_module.Outcome, ...]) -> int:
        return sum(outcomes.get(outcome.value, 0) for outcome in wanted)

    outcome = results_module.Outcome
    return Row(
        name=load,
        opened=opened,
        finished=add((outcome.FINISHED,)),
        broken=add(results_module.BROKEN),
        refused=add((outcome.REFUSED,)),
        unanswered=add((outcome.UNANSWERED,)),
        wrong=add(results_module.WRONG),
    )


def measure_imbalance(service: dict, events: dict[str, dict]) -> float:
    """Returns the ratio of maximum to mean flows per target of a service."""
    counts = [
        sum(
            count
            for event, count in events.get(endpoint[1], {}).items()
            if event.startswith("admitted_") and event != "admitted_draining"
        )
        for endpoint in service["endpoints"]
    ]
    total = sum(counts)
    return max(counts) * len(counts) / total if total else 0.0


def format_summary(summary: Summary) -> str:
    """Formats the results of a run as a table."""
    lines = [" ".join([f"{'load':28}", *(f"{c:>10}" for c in _COLUMNS)])]
    for row in summary.rows:
        values = [f"{getattr(row, column):>10}" for column in _COLUMNS]
        lines.append(" ".join([f"{row.name:28}", *values]))
    lines.append("")
    for service, imbalance in summary.imbalance.items():
        lines.append(f"imbalance of {service} (max/mean): {imbalance:.3f}")
    for name in (
        "unfinished",
        "doubled",
        "false_refusals",
        "over_limit",
        "over_ramp",
        "wrong_service",
    ):
        lines.append(f"{name.replace('_', ' ')}: {getattr(summary, name)}")
    for name, count in sorted(summary.refusals.items()):
        lines.append(f"{name}: {count}")
    return "\n".join(lines)


class Demonstration:
    """A run of a deployment without configuration changes."""

    def __init__(self, *, deployment: deployments.Deployment):
        """Creates a run for a deployment that was not started yet."""
        self._deployment = deployment

    async def async_run(self, seconds: float) -> Summary:
        """Opens flows for some seconds and returns the results.

        Raises:
            ProcessError: A process exited early or was not ready in time.
        """
        deployment = self._deployment
        print(f"starting {len(deployment.vms)} balancers", flush=True)
        await deployment.async_open()
        await asyncio.sleep(_SETTLE_S)
        loads = build_loads(deployment.document)
        await deployment.async_ask_callers("start", loads=loads)
        await self._async_report_progress(time.monotonic() + seconds)
        await deployment.async_ask_callers("stop")
        await self._async_report_progress(
            time.monotonic() + _GRACE_S, until_empty=True
        )
        return await self._async_summarize()

    async def _async_report_progress(
        self, end: float, *, until_empty: bool = False
    ) -> None:
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(_PROGRESS_S, left))
            state = await self._deployment.async_ask_callers("statistics")
            print(_format_progress(state), flush=True)
            if until_empty and not state["open"]:
                return

    async def _async_summarize(self) -> Summary:
        deployment = self._deployment
        callers = await deployment.async_ask_callers("statistics")
        targets = await deployment.async_ask_targets("statistics")
        runs = await deployment.async_ask_targets(
            "runs", flows=callers["refused"]
        )
        return summarize(
            callers=callers,
            targets=targets,
            runs=runs,
            refusals=await self._async_count_refusals(),
            document=deployment.document,
        )

    async def _async_count_refusals(self) -> dict[str, int]:
        """Returns refusals and drops by metric, summed over all balancers."""
        totals: collections.Counter = collections.Counter()
        for name in self._deployment.vms:
            text = await self._deployment.async_read_metrics(name)
            for line in text.splitlines():
                metric, _, value = line.rpartition(" ")
                if metric.startswith(_REFUSAL_METRICS):
                    totals[metric] += int(float(value))
        return {name: count for name, count in totals.items() if count}


def _format_progress(state: dict[str, Any]) -> str:
    totals: dict[str, int] = {}
    for outcomes in state["outcomes"].values():
        for outcome, count in outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + count
    opened = sum(state["opened"].values())
    counts = ", ".join(f"{count} {name}" for name, count in totals.items())
    return f"  {opened} opened, {state['open']} open, {counts}"


@cappa.command(name="python -m standins.demonstration")
@dataclasses.dataclass
class Command:
    """Runs a deployment; exit status 1 when any flow went wrong."""

    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    balancers: Annotated[int, cappa.Arg(long=True)] = 12
    kind: Annotated[deployments.BalancerKind, cappa.Arg(long=True)] = (
        deployments.BalancerKind.CHIVEDOORD
    )
    block: Annotated[
        int | None,
        cappa.Arg(long=True, help="Block of loopback addresses, 0 to 24."),
    ] = None
    relayed: Annotated[
        bool,
        cappa.Arg(long=True, help="Send peer traffic through a relay."),
    ] = False
    document: Annotated[pathlib.Path, cappa.Arg(long=True)] = _EXAMPLE
    folder: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Directory for settings files and logs."),
    ] = None

    def __call__(self) -> None:
        """Runs the demonstration."""
        with tempfile.TemporaryDirectory(prefix="chivedoor-") as temporary:
            folder = self.folder or pathlib.Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            summary = asyncio.run(self.async_run(folder.resolve()))
        print(format_summary(summary))
        sys.exit(0 if summary.passed else 1)

    async def async_run(self, folder: pathlib.Path) -> Summary:
        """Runs the deployment with settings files and logs in a directory."""
        deployment = deployments.Deployment(
            document=shorten_deadlines(json.loads(self.document.read_text())),
            balancers=self.balancers,
            folder=folder,
            kind=self.kind,
            seed=self.seed,
            block=self.block,
            relayed=self.relayed,
        )
        try:
            demonstration = Demonstration(deployment=deployment)
            return await demonstration.async_run(self.seconds)
        finally:
            await deployment.async_close()


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
