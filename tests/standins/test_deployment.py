"""Tests of complete deployments and of the run summary."""

import asyncio
import json

import aiohttp
import pytest

from standins import demonstration
from standins import deployment as deployments
from standins import exceptions

from . import conftest


async def wait_until_ended(deployment, count):
    while True:
        state = await deployment.async_ask_callers("statistics")
        if sum(state["opened"].values()) == count and not state["open"]:
            return state
        await asyncio.sleep(0.1)


async def test_a_deployment_serves_flows_and_survives_signals(tmp_path):
    # Guards against processes that cannot reach each other, and balancers
    # that cannot be paused, killed and restarted.
    deployment = deployments.Deployment(
        document=json.loads(conftest.EXAMPLE.read_text()),
        balancers=2,
        folder=tmp_path,
        kind=deployments.BalancerKind.DIRECT,
        relayed=True,
    )
    try:
        await deployment.async_open()
        loads = [
            {**load, "limit": 10, "rate_per_s": 10, "shape": {}}
            for load in demonstration.build_loads(deployment.document)
            if not load["name"].endswith("stream")
        ]
        await deployment.async_detach("vm-b1")
        balancer = deployment.processes["vm-b1"]
        balancer.pause()
        balancer.kill()
        await deployment.async_ask_callers("start", loads=loads)
        state = await asyncio.wait_for(wait_until_ended(deployment, 30), 60)
        assert state["outcomes"] == {
            load["name"]: {"finished": 10} for load in loads
        }
        await deployment.async_isolate("a")
        await deployment.async_ask_callers("start", loads=loads[:1])
        await asyncio.wait_for(wait_for_cut(deployment), 60)
        await deployment.async_clear_faults()
        await asyncio.wait_for(wait_until_ended(deployment, 40), 60)
        await deployment.async_start_balancer("vm-b1")
        fabric = await deployment.async_ask_fabric("statistics")
        assert balancer is not deployment.processes["vm-b1"]
        assert fabric["balancers"] == ["vm-a1", "vm-b1"]
        with pytest.raises(exceptions.PlanError):
            await deployment.async_ask_fabric("faults", los=1)
        assert await deployment.async_stop_balancer("vm-b1") == 0
        await check_a_reused_address(deployment)
    finally:
        statuses = await deployment.async_close()
    assert set(statuses.values()) == {0}


async def wait_for_cut(deployment):
    while True:
        state = await deployment.async_ask_fabric("statistics")
        if state["drops"].get("cut", 0):
            return
        await asyncio.sleep(0.1)


async def check_a_reused_address(deployment):
    document = json.loads(conftest.EXAMPLE.read_text())
    document["version"] += 1
    moved = document["services"][1]["endpoints"].pop()
    document["services"][0]["endpoints"].append([11, *moved[1:]])
    await deployment.async_publish(document)
    name = deployment.document["services"][0]["endpoints"][-1][1]
    health = f"http://{name}:9001/health"
    assert await read_health(health) == "ready"
    await deployment.async_ask_targets("restart", targets=[name], cold_s=60)
    assert await read_health(health) == "cold"
    await deployment.async_ask_targets("die", targets=[name])
    with pytest.raises(aiohttp.ClientError):
        await read_health(health)
    state = await deployment.async_ask_targets("statistics")
    assert state["targets"][name]["service"] == "listening"


async def read_health(url):
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return (await answer.json())["state"]


@pytest.fixture
def statistics(document):
    callers = {
        "opened": {"x": 2},
        "open": 0,
        "outcomes": {"x": {"finished": 2}},
    }
    events = {"127.1.0.1": {"admitted_stream": 3, "admitted_draining": 3}}
    return {
        "callers": callers,
        "targets": {"events": events, "doubled": []},
        "runs": {},
        "refusals": {"chivedoor_refused_flows": 3},
    }


def summarize(statistics):
    text = conftest.EXAMPLE.read_text()
    return demonstration.summarize(**statistics, document=json.loads(text))


def test_a_run_without_faults_passes(statistics):
    # Guards against a demonstration that fails without a fault.
    summary = summarize(statistics)
    assert summary.passed
    assert summary.imbalance == {"listening": 7.0, "intake": 0.0}
    assert "finished" in demonstration.format_summary(summary)


@pytest.mark.parametrize(
    "outcome",
    [
        "reset",
        "timed_out",
        "incomplete",
        "corrupted",
        "wrong_answer",
        "duplicate",
    ],
)
def test_a_failed_flow_fails_the_run(statistics, outcome):
    # Guards against a demonstration that passes despite failed flows.
    statistics["callers"]["outcomes"]["x"] = {"finished": 1, outcome: 1}
    assert not summarize(statistics).passed


def test_doubled_misrouted_and_falsely_refused_flows_fail_it(statistics):
    # Guards against ignoring faults that only targets can detect.
    targets = statistics["targets"]
    assert not summarize({**statistics, "runs": {"flow": 1}}).passed
    doubled = {**targets, "doubled": ["flow"]}
    assert not summarize({**statistics, "targets": doubled}).passed
    targets["events"]["127.1.0.2"] = {"wrong_service": 1}
    assert not summarize(statistics).passed
    targets["events"].clear()
    statistics["callers"]["open"] = 1
    assert not summarize(statistics).passed


def test_blocks_do_not_overlap_and_stay_on_loopback(block):
    # Guards against address conflicts between concurrent runs.
    other, reservation = deployments.reserve_block()
    reservation.close()
    assert other != block
    with pytest.raises(exceptions.PlanError):
        deployments.reserve_block(block)
    assert deployments.shift_address("127.2.0.1", 3) == "127.32.0.1"
    with pytest.raises(exceptions.PlanError):
        deployments.shift_address("10.0.0.1", 0)
    with pytest.raises(exceptions.PlanError):
        deployments.shift_address("127.6.0.1", 25)
