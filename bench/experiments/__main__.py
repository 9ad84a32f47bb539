"""Command line of the experiments."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile
from typing import Annotated

import cappa

from bench.experiments import cases
from bench.experiments import const
from bench.experiments import exceptions
from bench.experiments import goals
from bench.experiments import plot as plots
from bench.experiments import report as reports
from bench.experiments import results
from bench.experiments import run as runs
from standins import deployment as deployments
from standins import processes

_EXAMPLE = processes.ROOT / "examples" / "mtskheta.json"


def load_document() -> dict:
    """Returns the example document with a shorter request deadline."""
    document = json.loads(_EXAMPLE.read_text())
    for policy in document["policies"].values():
        policy["request_deadline_s"] = const.REQUEST_DEADLINE_S
    return document


@cappa.command(
    name="python -m bench.experiments",
    description="""Runs a case on local processes and checks the goals.

`list` prints the cases; `compare A.json B.json` compares two results.

Exit codes: 0 all goals met, 1 a goal missed, 2 invalid usage.""",
)
@dataclasses.dataclass
class Command:
    """Arguments of the command line."""

    case: Annotated[str, cappa.Arg(help="A case, `list` or `compare`.")]
    files: list[pathlib.Path] = dataclasses.field(default_factory=list)
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    kind: Annotated[deployments.BalancerKind, cappa.Arg(long=True)] = (
        deployments.BalancerKind.CHIVEDOORD
    )
    json: Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None
    plot: Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None
    folder: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Directory for settings and logs."),
    ] = None

    def __call__(self) -> int:
        """Runs the command and returns its exit status."""
        if self.case == "list":
            for case in cases.CASES.values():
                print(f"{case.name:12} {case.summary}")
            return 0
        if self.case == "compare":
            return self._compare()
        return self._run()

    def _compare(self) -> int:
        if len(self.files) != 2:
            print("compare requires two result files", file=sys.stderr)
            return 2
        first, second = (json.loads(path.read_text()) for path in self.files)
        print(results.compare(first, second))
        return 0

    def _run(self) -> int:
        try:
            case = cases.get_case(self.case)
        except exceptions.UnknownCaseError as error:
            print(error, file=sys.stderr)
            return 2
        with tempfile.TemporaryDirectory(prefix="chivedoor-") as temporary:
            folder = self.folder or pathlib.Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            observations = asyncio.run(self._async_run(case, folder.resolve()))
        report = reports.build_report(observations)
        verdicts = goals.evaluate_report(
            report,
            allowed_disruption=case.allowed_disruption,
            checks_balance=case.checks_balance,
        )
        print(reports.format_report(report))
        print(goals.format_verdicts(verdicts))
        self._write(report, verdicts)
        return 0 if all(verdict.is_met for verdict in verdicts) else 1

    async def _async_run(
        self, case: cases.Case, folder: pathlib.Path
    ) -> runs.Observations:
        document = load_document()
        deployment = deployments.Deployment(
            document=document,
            balancers=const.BALANCERS,
            folder=folder,
            kind=self.kind,
            seed=self.seed,
            relayed=case.relayed,
        )
        print(f"{case.name}, seed {self.seed}, {self.kind.value}", flush=True)
        try:
            run = runs.Run(
                deployment=deployment, document=document, kind=self.kind
            )
            observations = await run.async_execute(
                case.build_loads(), case.load_s, case.script
            )
            path = folder / "dumps.json"
            path.write_text(json.dumps(run.dumps, default=bytes.hex))
            return observations
        finally:
            # A graceful shutdown of all balancers would take half a minute.
            for name in deployment.vms:
                if deployment.processes.is_running(name):
                    deployment.processes[name].kill()
            await deployment.async_close()

    def _write(
        self, report: reports.Report, verdicts: list[goals.Verdict]
    ) -> None:
        result = results.dump_result(
            case=self.case,
            seed=self.seed,
            kind=self.kind.value,
            report=report,
            verdicts=verdicts,
        )
        if self.json is not None:
            self.json.write_text(json.dumps(result, indent=1) + "\n")
        if self.plot is not None:
            title = f"{self.case}, seed {self.seed}, {self.kind.value}"
            plots.draw(result["report"], title, self.plot)


def main() -> None:
    """Runs the command line."""
    sys.exit(cappa.invoke(Command))


if __name__ == "__main__":
    main()
