"""Short runs of the soak test with real balancer processes."""

import asyncio

from soak import __main__ as command
from soak import const
from soak import deployment as deployments
from soak import faults as fault_kinds
from soak import promises

SEED = 7
# Breaks the promise of the configuration when revisions are compared as if they
# only rose.
RESTORATION_SEED = 11


async def test_seeded_run_keeps_the_promises(tmp_path) -> None:
    """Guards against promises that break under faults."""
    report = await command.async_run(
        seed=SEED,
        duration_s=8.0,
        size=2,
        fault_count=5,
        flows_per_s=30.0,
        folder=tmp_path,
        block=102,
    )
    assert report.violations == []
    assert report.requests["answered"] > 500
    assert sum(report.faults.values()) == 5


async def test_seeded_run_with_restorations_keeps_the_promises(
    tmp_path,
) -> None:
    """Guards against older configurations after the store was restored."""
    report = await command.async_run(
        seed=RESTORATION_SEED,
        duration_s=8.0,
        size=1,
        fault_count=0,
        flows_per_s=30.0,
        folder=tmp_path,
        block=103,
    )
    assert report.violations == []
    assert report.requests["answered"] > 500
    assert report.faults["RestoredStore"] > 0


async def test_cold_service_respects_its_warmup_rate(tmp_path) -> None:
    """Guards against a warm-up rate that each failure domain applies alone.

    Seeds 2, 6, 7, 16, 18, 21 and 26 failed because of this.
    """
    deployment = deployments.Deployment(
        folder=tmp_path, seed=SEED, size=2, block=101
    )
    try:
        await deployment.async_open()
        deployment.start_load(40.0)
        # Balancers count themselves as holders 2 s after startup.
        await asyncio.sleep(2.5)
        await fault_kinds.async_apply(
            fault_kinds.ColdService(at_s=0.0, for_s=1.0, service="main"),
            deployment,
        )
        await asyncio.sleep(const.COLD_S)
    finally:
        await deployment.async_close()
    assert deployment.checker.violations == []
    assert any(outcome.served for outcome in deployment.checker.outcomes)


def test_report_lists_broken_promises() -> None:
    """Guards against reports that do not name the broken promises."""
    violation = promises.Violation(
        promise=promises.Promise.DRAINED, at=1.0, detail="i-1 by vm-a1"
    )
    text = command.format_report(
        command.Report(
            seed=3,
            requests={"answered": 5},
            violations=[violation, violation],
            faults={},
            logs="logs",
        )
    )
    assert text.startswith("seed 3: broken; answered 5")
    assert "drained: 2, first at 1.00: i-1 by vm-a1" in text


def test_concurrent_runs_use_different_addresses() -> None:
    """Guards against address conflicts between concurrent runs.

    A regression run beside seed 202 could not bind its store's address.
    """
    with command.reserve_block() as one, command.reserve_block() as two:
        assert one.getsockname()[0] != two.getsockname()[0]
