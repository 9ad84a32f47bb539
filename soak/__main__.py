"""Command line of the soak test."""

import asyncio
import collections
import dataclasses
import errno
import json
import pathlib
import random
import socket
import sys
import tempfile
from typing import Annotated

import cappa

from soak import const
from soak import deployment as deployments
from soak import faults as fault_kinds
from soak import promises
from soak import regressions

# Concurrent runs each reserve one block of loopback addresses.
_FIRST_BLOCK = 60
_BLOCKS = 40
_RESERVATION_PORT = 7199


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Result of a run.

    Attributes:
        seed: The seed of the run.
        requests: Number of requests by the result of their last attempt.
        violations: Promises that were broken.
        faults: Number of injected faults by kind.
        logs: Directory with settings files and logs.
    """

    seed: int
    requests: dict[str, int]
    violations: list[promises.Violation]
    faults: dict[str, int]
    logs: str


async def async_run(
    *,
    seed: int,
    duration_s: float,
    size: int,
    fault_count: int,
    flows_per_s: float,
    folder: pathlib.Path,
    block: int,
) -> Report:
    """Runs the soak test with one seed.

    Args:
        seed: Seed of the random faults, loads and endpoints.
        duration_s: Period during which faults start, in seconds.
        size: Number of balancers in each failure domain.
        fault_count: Number of faults.
        flows_per_s: New flows per second, over all failure domains.
        folder: Directory for settings files and logs.
        block: Second octet of the loopback addresses.
    """
    deployment = deployments.Deployment(
        folder=folder,
        seed=seed,
        size=size,
        block=block,
    )
    drawn = fault_kinds.draw_faults(
        random.Random(seed),
        vms=tuple(deployment.balancers),
        duration_s=duration_s,
        count=fault_count,
    ) + fault_kinds.draw_restorations(seed, duration_s=duration_s)
    if fault_kinds.draw_large_configurations(seed):
        deployment.use_large_configurations()
    try:
        await deployment.async_open()
        deployment.start_load(flows_per_s)
        await _async_apply_all(drawn, deployment, folder)
        await asyncio.sleep(const.RECOVERY_S)
        begun_at = deployment.clock()
        await asyncio.sleep(const.VERIFICATION_S)
        ended_at = deployment.clock()
        await asyncio.sleep(max(load.timeout_s for load in deployments.LOADS))
        deployment.checker.check_recovery(begun_at, ended_at)
    finally:
        await deployment.async_close()
    _check_logs(folder, deployment.checker)
    checker = deployment.checker
    return Report(
        seed=seed,
        requests=dict(
            collections.Counter(
                outcome.ends[-1].value for outcome in checker.outcomes
            )
        ),
        violations=checker.violations,
        faults=dict(
            collections.Counter(type(fault).__name__ for fault in drawn)
        ),
        logs=str(folder),
    )


async def _async_apply_all(
    drawn: list[fault_kinds.Fault],
    deployment: deployments.Deployment,
    folder: pathlib.Path,
) -> None:
    begun_at = deployment.clock()
    (folder / "faults.txt").write_text("".join(f"{fault}\n" for fault in drawn))

    async def async_apply_later(fault: fault_kinds.Fault) -> None:
        await asyncio.sleep(begun_at + fault.at_s - deployment.clock())
        await fault_kinds.async_apply(fault, deployment)

    async with asyncio.TaskGroup() as group:
        for fault in drawn:
            group.create_task(async_apply_later(fault))


def _check_logs(folder: pathlib.Path, checker: promises.Checker) -> None:
    """Reports log lines that show a traceback or an internal fault."""
    for path in folder.glob("vm-*.log"):
        # A killed process may leave an incomplete line.
        for line in path.read_text(errors="replace").splitlines():
            try:
                kind = json.loads(line).get("message_type")
            except ValueError:
                if "Traceback" in line or "Error" in line:
                    checker.add_violation(
                        promises.Promise.PROCESS_LIVES, f"{path.name}: {line}"
                    )
                continue
            if kind == "fault":
                checker.add_violation(
                    promises.Promise.PROCESS_LIVES, f"{path.name}: {line}"
                )


@cappa.command(
    name="python -m soak",
    description="""Runs balancers under random faults and checks promises.

Exit codes: 0 no promise broken, 1 promise broken, 2 usage error.""",
)
@dataclasses.dataclass
class Command:
    """Arguments of the command line."""

    seed: Annotated[
        list[int], cappa.Arg(long=True, help="Seeds to run, one after another.")
    ] = dataclasses.field(default_factory=lambda: [1])
    duration: Annotated[
        float,
        cappa.Arg(
            long=True, help="Period during which faults start, in seconds."
        ),
    ] = 15.0
    size: Annotated[
        int,
        cappa.Arg(
            long=True, help="Number of balancers in each failure domain."
        ),
    ] = 2
    faults: Annotated[int, cappa.Arg(long=True)] = 8
    flows: Annotated[
        float, cappa.Arg(long=True, help="New flows per second.")
    ] = 40.0
    regressions: Annotated[
        bool, cappa.Arg(long=True, help="Run the seeds of known regressions.")
    ] = False
    folder: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Directory for settings files and logs."),
    ] = None

    def __call__(self) -> int:
        """Runs the seeds; returns the exit code."""
        seeds = self.seed
        if self.regressions:
            seeds = [case.seed for case in regressions.REGRESSIONS]
        with reserve_block() as reservation:
            block = reservation.getsockname()[0].split(".")[1]
            broken = self._run_all(seeds, int(block))
        return int(broken)

    def _run_all(self, seeds: list[int], block: int) -> bool:
        """Runs each seed; returns whether any promise was broken."""
        broken = False
        for seed in seeds:
            folder = self._make_folder(seed)
            report = asyncio.run(
                async_run(
                    seed=seed,
                    duration_s=self.duration,
                    size=self.size,
                    fault_count=self.faults,
                    flows_per_s=self.flows,
                    folder=folder,
                    block=block,
                )
            )
            broken = broken or bool(report.violations)
            sys.stdout.write(format_report(report))
            sys.stdout.flush()
        return broken

    def _make_folder(self, seed: int) -> pathlib.Path:
        if self.folder is None:
            return pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        folder = self.folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        return folder


def reserve_block() -> socket.socket:
    """Reserves an unused block of loopback addresses.

    The block stays reserved until the returned socket is closed.

    Raises:
        OSError: All address blocks are in use.
    """
    for block in range(_FIRST_BLOCK, _FIRST_BLOCK + _BLOCKS):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.{block}.0.1", _RESERVATION_PORT))
        except OSError:
            reservation.close()
        else:
            return reservation
    raise OSError(
        errno.EADDRINUSE, "all blocks of loopback addresses are in use"
    )


def format_report(report: Report) -> str:
    """Formats a report as text."""
    requests = ", ".join(
        f"{end} {count}" for end, count in sorted(report.requests.items())
    )
    verdict = "broken" if report.violations else "kept"
    lines = [f"seed {report.seed}: {verdict}; {requests}; {report.logs}"]
    counts = collections.Counter(v.promise for v in report.violations)
    lines += [
        f"  {promise.value}: {count}, first at {first.at:.2f}: {first.detail}"
        for promise, count in counts.items()
        for first in [
            next(v for v in report.violations if v.promise is promise)
        ]
    ]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Runs the command line."""
    sys.exit(cappa.invoke(Command))


if __name__ == "__main__":
    main()
