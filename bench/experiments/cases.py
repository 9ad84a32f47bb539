"""Experiment cases: loads, fault schedules and the applicable goals."""

import asyncio
from collections.abc import Callable
import copy
import dataclasses

from bench.experiments import const
from bench.experiments import exceptions
from bench.experiments import goals
from bench.experiments import loads
from bench.experiments import operators
from bench.experiments import run as runs
from chivedoor.control import commands
from chivedoor.routing import ownership

_ENDPOINT_NUMBER, _ENDPOINT_ADDRESS, _ENDPOINT_DOMAIN = 0, 1, 2
_ENDPOINT_WEIGHT, _ENDPOINT_STATE = 3, 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """Defines one experiment.

    Attributes:
        name: Name on the command line.
        summary: One-line description.
        build_loads: Returns the loads that run during the whole experiment.
        load_s: Minimum time during which flows are opened.
        script: Injects the faults.
        allowed_disruption: How many broken flows the goals allow.
        checks_balance: Whether the balance over targets is checked, which
            requires that targets and weights do not change.
        relayed: Whether traffic between balancers passes through a relay.
    """

    name: str
    summary: str
    load_s: float
    script: runs.Script
    build_loads: Callable[[], list[dict]] = loads.build_mixed_loads
    allowed_disruption: goals.AllowedDisruption = goals.AllowedDisruption.NONE
    checks_balance: bool = False
    relayed: bool = False


async def async_inject_nothing(run: runs.Run) -> None:
    """Injects no fault."""


async def async_replace_balancers(run: runs.Run) -> None:
    """Replaces three balancers, with a new document during each replacement."""
    edits = [_add_endpoint, _drain_endpoint, _halve_weight]
    names = ["vm-a1", "vm-b1", "vm-c1"]
    await run.async_wait_until(4.0)
    for name, edit in zip(names, edits, strict=True):
        retirement = asyncio.create_task(_async_replace(run, name))
        await asyncio.sleep(1.0)
        await _async_publish(run, edit)
        await retirement


async def _async_replace(run: runs.Run, name: str) -> None:
    run.record_event(f"{name}: shutdown requested")
    status = await run.deployment.async_stop_balancer(name)
    run.record_event(f"{name}: exited with status {status}")
    await run.deployment.async_set_vms({})
    await run.deployment.async_start_balancer(name)
    if not run.is_naive:
        await operators.async_wait_until_active(run.deployment, name)
    run.record_event(f"{name}: active again")


async def _async_publish(run: runs.Run, edit: Callable[[dict], str]) -> None:
    document = copy.deepcopy(run.document)
    document["version"] += 1
    text = edit(document)
    await run.deployment.async_publish(document)
    run.document = document
    run.record_event(f"document {document['version']}: {text}")


def _get_endpoints(document: dict) -> list[list]:
    services = {service["id"]: service for service in document["services"]}
    return services[loads.LISTENING_SERVICE]["endpoints"]


def _add_endpoint(document: dict) -> str:
    _get_endpoints(document).append([11, "127.1.0.8", "b", 100, "active", 9001])
    return "endpoint 11 added"


def _drain_endpoint(document: dict) -> str:
    _get_endpoints(document)[1][_ENDPOINT_STATE] = "draining"
    return "endpoint 2 draining"


def _halve_weight(document: dict) -> str:
    _get_endpoints(document)[2][_ENDPOINT_WEIGHT] = 50
    return "weight of endpoint 3 halved"


def _find_owners(run: runs.Run) -> tuple[str, str]:
    """Returns the names of the owner and the backup of the first target."""
    endpoint = _get_endpoints(run.document)[0]
    candidates = [
        vm.name
        for vm in run.deployment.vms.values()
        if vm.domain == endpoint[_ENDPOINT_DOMAIN]
    ]
    owner, backup = ownership.rank_owners(
        endpoint[_ENDPOINT_NUMBER], candidates, 2
    )
    return owner, backup


async def _async_kill(run: runs.Run, *names: str) -> None:
    for name in names:
        run.deployment.processes[name].kill()
    run.record_event(f"{' and '.join(names)} killed")
    await asyncio.sleep(const.FABRIC_DETECTION_S)
    for name in names:
        await run.deployment.async_detach(name)
    run.record_event("removed from the fabric")


async def async_kill_owner(run: runs.Run) -> None:
    """Kills the owner of the first target."""
    await run.async_wait_until(8.0)
    await _async_kill(run, _find_owners(run)[0])


async def async_kill_owner_and_backup(run: runs.Run) -> None:
    """Kills owner and backup of one target, the worst case for two failures."""
    await run.async_wait_until(8.0)
    await _async_kill(run, *_find_owners(run))


async def async_pause_owner(run: runs.Run) -> None:
    """Pauses the owner of the first target for 15 s."""
    await run.async_wait_until(6.0)
    name = _find_owners(run)[0]
    process = run.deployment.processes[name]
    process.pause()
    run.record_event(f"{name}: paused")
    await asyncio.sleep(const.FABRIC_DETECTION_S)
    await run.deployment.async_detach(name)
    await run.async_wait_until(21.0)
    process.resume()
    run.record_event(f"{name}: resumed")
    await asyncio.sleep(const.FABRIC_DETECTION_S)
    await run.deployment.async_attach(name)


async def async_take_domain_out(run: runs.Run) -> None:
    """Takes a failure domain out for 8 s by a command to one balancer."""
    await run.async_wait_until(6.0)
    before = await _async_count_flows(run, "b")
    out_s = run.elapsed_s
    await _async_set_domain(run, is_out=True)
    await run.async_wait_until(out_s + 8.0)
    after = await _async_count_flows(run, "b")
    # Open flows, plus those admitted until the command took effect.
    run.measures[goals.PLANNED_RESETS] = (
        before["open"] + after["admitted"] - before["admitted"]
    )
    run.measures[goals.LAST_PACKET] = (
        await _async_find_last_packet(run, "b") - out_s
    )
    in_s = run.elapsed_s
    await _async_set_domain(run, is_out=False)
    await run.async_wait_until(in_s + const.MAX_RECOVERY_S + 1.0)
    run.measures[goals.RECOVERY] = compute_recovery_s(
        run.samples, _list_targets(run, "b"), _list_targets(run), in_s
    )


async def _async_count_flows(run: runs.Run, domain: str) -> dict[str, int]:
    """Returns the numbers of open and admitted flows of a domain's targets."""
    state = await run.deployment.async_ask_targets("statistics")
    names = [
        name
        for name, target in state["targets"].items()
        if target["domain"] == domain
    ]
    admitted = runs.count_admitted(state["events"])
    return {
        "open": sum(state["targets"][name]["connections"] for name in names),
        "admitted": sum(admitted.get(name, 0) for name in names),
    }


async def _async_set_domain(run: runs.Run, *, is_out: bool) -> None:
    state = "out" if is_out else "in"
    run.record_event(f"failure domain b {state}")
    if run.is_naive:
        await _async_publish(
            run, lambda document: _set_domain_flag(document, is_out)
        )
        return
    command_type = (
        commands.DomainOutCommand if is_out else commands.DomainInCommand
    )
    await operators.async_send(
        run.deployment, "vm-a1", command_type(domain="b")
    )


def _set_domain_flag(document: dict, is_out: bool) -> str:
    document["regions"]["r1"]["b"]["out"] = is_out
    return f"flag `out` of failure domain b set to {is_out}"


def _list_targets(run: runs.Run, domain: str | None = None) -> list[str]:
    """Returns the target addresses of `listening`, optionally of one domain."""
    return [
        endpoint[_ENDPOINT_ADDRESS]
        for endpoint in _get_endpoints(run.deployment.document)
        if domain in (None, endpoint[_ENDPOINT_DOMAIN])
    ]


async def _async_find_last_packet(run: runs.Run, domain: str) -> float:
    """Returns when the last packet to a failure domain was delivered.

    The time is in seconds since the start of the load.
    """
    addresses = {
        endpoint[_ENDPOINT_ADDRESS]
        for service in run.deployment.document["services"]
        for endpoint in service["endpoints"]
        if endpoint[_ENDPOINT_DOMAIN] == domain
    }
    state = await run.deployment.async_ask_fabric("statistics")
    last = max(
        when
        for _, address, when in state["last_delivery"]
        if address in addresses
    )
    return run.elapsed_s - (state["now"] - last)


def compute_recovery_s(
    samples: list[runs.Sample],
    returned: list[str],
    targets: list[str],
    in_s: float,
) -> float:
    """Returns the time until returned targets receive their share of flows.

    They have recovered when they admit, over 3 s, at least 0.85 of their fair
    share of the flows of all targets. The result is infinite if they never
    recover.
    """
    fair_share = len(returned) / len(targets)
    for first in samples:
        if first.at_s < in_s:
            continue
        end_s = first.at_s + const.RECOVERY_WINDOW_S
        last = next((s for s in samples if s.at_s >= end_s - 0.1), None)
        if last is None:
            break
        to_returned = _count_between(first, last, returned)
        to_all = _count_between(first, last, targets)
        if to_returned >= const.RECOVERED_SHARE * fair_share * to_all > 0:
            return last.at_s - in_s
    return float("inf")


def _count_between(
    first: runs.Sample, last: runs.Sample, targets: list[str]
) -> int:
    return sum(
        last.admitted.get(target, 0) - first.admitted.get(target, 0)
        for target in targets
    )


async def async_partition_domain(run: runs.Run) -> None:
    """Isolates failure domain a from the whole network for 8 s."""
    inside = [vm.name for vm in run.deployment.vms.values() if vm.domain == "a"]
    others = ["b", "c", "clients"]
    cuts = [pair for other in others for pair in (["a", other], [other, "a"])]
    await run.async_wait_until(6.0)
    await run.deployment.async_ask_fabric("faults", cuts=cuts)
    await run.deployment.async_ask_relay("faults", cuts=cuts)
    run.record_event("failure domain a isolated")
    await asyncio.sleep(const.FABRIC_DETECTION_S)
    for name in inside:
        await run.deployment.async_detach(name)
    await run.async_wait_until(14.0)
    await run.deployment.async_ask_fabric("faults")
    await run.deployment.async_ask_relay("faults")
    run.record_event("partition healed")
    await asyncio.sleep(const.FABRIC_DETECTION_S)
    for name in inside:
        await run.deployment.async_attach(name)


_SLOW_WORK_S = 1.0
_OVERLOAD_FACTOR = 10.0


def _build_overload_loads() -> list[dict]:
    # 20 requests/s of 1 s each occupy 20 of the 28 slots.
    slow = loads.build_slow_requests(20.0, _SLOW_WORK_S)
    return [*loads.build_background_loads(), slow]


async def async_overload(run: runs.Run) -> None:
    """Sends requests at 10 times the slot capacity for 20 s."""
    slots = run.document["policies"][loads.LISTENING_SERVICE]["slots"]
    capacity_per_s = slots * len(_list_targets(run)) / _SLOW_WORK_S
    await run.async_wait_until(6.0)
    rate_per_s = _OVERLOAD_FACTOR * capacity_per_s
    load = loads.build_slow_requests(rate_per_s - 20.0, _SLOW_WORK_S)
    limit = int(load["rate_per_s"] * 20.0)
    await run.deployment.async_ask_callers(
        "start", loads=[{**load, "limit": limit}]
    )
    run.record_event(
        f"{rate_per_s:.0f} requests/s, capacity {capacity_per_s:.0f}/s"
    )
    await run.async_wait_until(26.0)
    run.record_event("overload ended")
    # Skips the first 2 s, before the first requests of the overload finish.
    load_samples = [s for s in run.samples if 8.0 <= s.at_s <= 26.0]
    first, last = load_samples[0], load_samples[-1]
    finished = _count_finished_slow_requests(
        last
    ) - _count_finished_slow_requests(first)
    goodput = finished / (last.at_s - first.at_s)
    run.measures["goodput (requests/s)"] = goodput
    run.measures[goals.GOODPUT] = goodput / capacity_per_s


def _count_finished_slow_requests(sample: runs.Sample) -> int:
    return sample.ended.get("slow-request", {}).get("finished", 0)


async def async_restart_all_cold(run: runs.Run) -> None:
    """Crashes all targets of a service and restarts them cold."""
    targets = _list_targets(run)
    await run.async_wait_until(6.0)
    await run.deployment.async_ask_targets(
        "die", targets=targets, death="refusing"
    )
    run.record_event("all targets of listening crashed")
    await run.async_wait_until(11.0)
    await run.deployment.async_ask_targets(
        "restart", targets=targets, cold_s=20.0
    )
    run.record_event("targets restarted, cold for 20 s")


async def async_falsify_health(run: runs.Run) -> None:
    """Makes health endpoints report wrong or late while targets restart."""
    targets = _list_targets(run)
    ask = run.deployment.async_ask_targets
    await run.async_wait_until(5.0)
    await ask("faults", targets=targets[:1], faults={"health_lag_s": 10.0})
    lie = {"state": "draining", "slots_in_use": 4}
    await ask("faults", targets=targets[3:4], faults={"health_lie": lie})
    run.record_event(
        "target 4 falsely reports draining; target 1 reports 10 s late"
    )
    state = await ask("statistics")
    victims = [targets[0], targets[1]]
    run.measures["connections of the killed targets"] = sum(
        state["targets"][name]["connections"] for name in victims
    )
    await ask("die", targets=victims[:1], death="silent")
    await ask("die", targets=victims[1:], death="refusing")
    run.record_event("target 1 crashed silently, target 2 refuses")
    await ask("faults", targets=targets[2:3], faults={"shed": 1.0})
    run.record_event("target 3 refuses all flows but reports ready")
    await run.async_wait_until(16.0)
    await ask("restart", targets=victims, cold_s=8.0)
    await ask("faults", targets=[*targets[2:4]], faults={})
    run.record_event(
        "targets 1 and 2 restarted, cold for 8 s; 3 and 4 healthy again"
    )


_CASES = [
    Case(
        name="steady",
        summary="no faults; measures the balance over targets",
        load_s=30.0,
        script=async_inject_nothing,
        build_loads=loads.build_balance_loads,
        checks_balance=True,
    ),
    Case(
        name="change",
        summary="three balancers replaced during document changes",
        load_s=30.0,
        script=async_replace_balancers,
    ),
    Case(
        name="death",
        summary="SIGKILL of a balancer",
        load_s=25.0,
        script=async_kill_owner,
    ),
    Case(
        name="two-deaths",
        summary="SIGKILL of the owner and the backup of a target at once",
        load_s=25.0,
        script=async_kill_owner_and_backup,
        allowed_disruption=goals.AllowedDisruption.TWO_DEATHS,
    ),
    Case(
        name="domain",
        summary="a failure domain is taken out and put back in by command",
        load_s=46.0,
        script=async_take_domain_out,
        allowed_disruption=goals.AllowedDisruption.DOMAIN_OUT,
    ),
    Case(
        name="overload",
        summary="requests at 10 times the slot capacity",
        load_s=28.0,
        script=async_overload,
        build_loads=_build_overload_loads,
    ),
    Case(
        name="cold",
        summary="all targets of a service crash and restart cold",
        load_s=35.0,
        script=async_restart_all_cold,
        allowed_disruption=goals.AllowedDisruption.UNBOUNDED,
    ),
    Case(
        name="pause",
        summary="SIGSTOP of a balancer for 15 s",
        load_s=32.0,
        script=async_pause_owner,
    ),
    Case(
        name="partition",
        summary="a failure domain is isolated for 8 s",
        load_s=30.0,
        script=async_partition_domain,
        allowed_disruption=goals.AllowedDisruption.UNBOUNDED,
        relayed=True,
    ),
    Case(
        name="health",
        summary="wrong and late health reports while targets crash",
        load_s=32.0,
        script=async_falsify_health,
        allowed_disruption=goals.AllowedDisruption.UNBOUNDED,
    ),
]
CASES = {case.name: case for case in _CASES}


def get_case(name: str) -> Case:
    """Returns the case with this name.

    Raises:
        UnknownCaseError: No case has this name.
    """
    if name not in CASES:
        known = ", ".join(CASES)
        raise exceptions.UnknownCaseError(
            f"unknown case {name!r}; available: {known}"
        )
    return CASES[name]
