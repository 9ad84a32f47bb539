"""Tests of drawing and applying faults."""

import asyncio
import hashlib
import json
import random
from typing import Any

from soak import const
from soak import deployment as deployments
from soak import faults
from soak import regressions
from standins import store as stores
from standins.echo import endpoints
from standins.echo import entries

# Digest of the faults that the regression seeds drew before restorations were
# added.
REGRESSION_DRAWS = "dba69aa62951af35"
VMS = tuple(f"vm-{number}" for number in range(6))


def draw(seed: int) -> list[faults.Fault]:
    return faults.draw_faults(
        random.Random(seed), vms=VMS, duration_s=10.0, count=8
    )


def test_same_seed_draws_same_faults() -> None:
    """Guards against regression seeds that draw different faults."""
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_regression_seeds_draw_their_former_faults() -> None:
    """Guards against changes by which seeds no longer repeat a failure."""
    digest = hashlib.blake2b(digest_size=8)
    for case in regressions.REGRESSIONS:
        drawn = faults.draw_faults(
            random.Random(case.seed), vms=VMS, duration_s=15.0, count=8
        )
        digest.update(repr(drawn).encode())
    assert digest.hexdigest() == REGRESSION_DRAWS


def test_restorations_are_seeded() -> None:
    """Guards against restorations that differ between runs of a seed."""
    drawn = {
        seed: faults.draw_restorations(seed, duration_s=10.0)
        for seed in range(60)
    }
    assert drawn == {
        seed: faults.draw_restorations(seed, duration_s=10.0) for seed in drawn
    }
    counts = {
        sum(isinstance(fault, faults.RestoredStore) for fault in drawn[seed])
        for seed in drawn
    }
    assert counts == {0, 1, 2, 3}


def test_restorations_respect_their_bounds() -> None:
    """Guards against drills that the rules of the store exclude."""
    for seed in range(60):
        for fault in faults.draw_restorations(seed, duration_s=10.0):
            if isinstance(fault, faults.RestoredStore):
                assert 2.0 <= fault.age_s <= 10.0
                assert 0.2 <= fault.for_s <= 3.0
                assert fault.operator_s <= const.REWRITE_S
                assert fault.entries_s <= const.REWRITE_S
                assert fault.removals_s <= const.ENTRY_LIFETIME_S


def test_each_kind_is_drawn() -> None:
    """Guards against fault kinds that are defined but never drawn."""
    drawn = {
        type(fault)
        for seed in range(60)
        for fault in (
            *draw(seed),
            *faults.draw_restorations(seed, duration_s=10.0),
        )
    }
    assert drawn == set(faults.Fault.__subclasses__())


def test_each_kind_can_be_applied() -> None:
    """Guards against fault kinds without a handler."""
    default = faults.async_apply.dispatch(faults.Fault)
    for kind in faults.Fault.__subclasses__():
        assert faults.async_apply.dispatch(kind) is not default


def read_items(deployment: deployments.Deployment) -> dict[str, Any]:
    return {
        key: json.loads(change.value)
        for key, change in deployment.store.make_copy().items.items()
    }


async def test_restored_store_gets_the_present_state_again(tmp_path) -> None:
    """Guards against restorations after which changes are lost for good."""
    deployment = deployments.Deployment(
        folder=tmp_path, seed=1, size=1, block=104
    )
    ready, draining, ended, added = [
        await deployment.async_add_endpoint("main", "a") for _ in range(4)
    ]
    deployment.remove_entry(added)
    deployment.take_domain_out("b")
    deployment.publish()
    restoration = faults.RestoredStore(
        at_s=0.0,
        for_s=0.05,
        age_s=0.05,
        fault=stores.StoreFault.BUSY,
        operator_s=0.02,
        entries_s=0.02,
        removals_s=0.04,
    )
    task = asyncio.create_task(faults.async_apply(restoration, deployment))
    await asyncio.sleep(0.02)
    deployment.publish()
    deployment.take_domain_out("a")
    deployment.take_domain_back("b")
    draining.state = endpoints.EndpointState.DRAINING
    for endpoint in (ready, draining, added):
        deployment.write_entry(endpoint)
    ended.stop(endpoints.EndpointState.REFUSING)
    deployment.remove_entry(ended)
    before = read_items(deployment)
    await asyncio.sleep(0.05)
    assert deployment.store.fault is stores.StoreFault.BUSY
    await task
    assert deployment.store.fault is None
    assert deployment.store.era == 2
    after = read_items(deployment)
    assert after.keys() == before.keys()
    assert after[entries.CONFIGURATION_KEY]["version"] == 2
    for endpoint in (ready, draining, added):
        key = entries.make_endpoint_key(endpoint.id)
        sequence = before[key].pop("sequence")
        assert after[key].pop("sequence") > sequence
    assert after == before
    for endpoint in deployment.endpoints:
        await endpoint.async_close()


def test_large_configurations_are_seeded() -> None:
    """Guards against a kind of run that differs between runs of a seed."""
    drawn = [faults.draw_large_configurations(seed) for seed in range(60)]
    assert drawn == [faults.draw_large_configurations(n) for n in range(60)]
    assert 10 < sum(drawn) < 40
