"""Measures the gossip over UDP sockets in 127.0.0.0/8.

Several instances share one process, so CPU per member is the process's CPU
time divided by the number of members.
"""

import argparse
import asyncio
from collections.abc import Callable
import dataclasses
import json
import pathlib
import random
import statistics
import time
from typing import Any

from chivedoor import ids
from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import gossip as gossip_module
from chivedoor.membership import members as members_module

_GOSSIP_PORT = 17946
_KEY = b"bench-key-of-16-bytes-or-more"
# Control traffic budget of a balancer in the planned deployment.
_BUDGET_BYTES_PER_S = 21_000
_SEEDS = 3
_DOMAINS = 3
_POLL_INTERVAL_S = 0.005
_WAIT_TIMEOUT_S = 120.0
_SETTLE_S = 5.0


@dataclasses.dataclass(slots=True)
class Instance:
    """The gossip of one balancer, with its members and board."""

    members: members_module.Members
    board: board_module.Board
    gossip: gossip_module.Gossip


def build_instance(number: int, seed: int) -> Instance:
    """Builds an instance without opening its sockets."""
    local = members_module.Member(
        id=ids.VmId(f"entry-{number:03}"),
        domain=ids.DomainId(f"zone-{number % _DOMAINS}"),
        region=ids.RegionId("region-1"),
        address=_get_address(number),
        peer_port=17947,
        gossip_port=_GOSSIP_PORT,
        channel_port=17948,
        incarnation=members_module.compute_incarnation(time.time()),
        state=members_module.MemberState.JOINING,
    )
    members = members_module.Members(local=local)
    board = board_module.Board(local_id=local.id, incarnation=local.incarnation)
    gossip = gossip_module.Gossip(
        local=local,
        members=members,
        board=board,
        budget=budget_module.ByteBudget(rate_bytes_per_s=_BUDGET_BYTES_PER_S),
        keys=authentication.Keys(current=_KEY),
        rng=random.Random(seed * 100_003 + number),
        clock=time.monotonic,
        seeds=[(_get_address(n), _GOSSIP_PORT) for n in range(_SEEDS)],
    )
    return Instance(members, board, gossip)


async def async_open_instance(number: int, seed: int) -> Instance:
    """Builds, opens and activates an instance."""
    instance = build_instance(number, seed)
    await instance.gossip.async_open()
    instance.members.activate(time.monotonic())
    return instance


async def async_wait(condition: Callable[[], bool]) -> float:
    """Waits for a condition and returns the time that it took, in seconds.

    Raises:
        TimeoutError: The condition was not met within 120 s.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > _WAIT_TIMEOUT_S:
            raise TimeoutError("the condition was not met in time")
        await asyncio.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started


async def async_measure_steady(
    fleet: list[Instance], duration_s: float
) -> dict[str, Any]:
    """Measures traffic and CPU in steady state."""
    sent = [i.gossip.sent_bytes for i in fleet]
    received = [i.gossip.received_bytes for i in fleet]
    cpu_s = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(duration_s)
    elapsed_s = time.monotonic() - started
    cpu_s = time.process_time() - cpu_s
    sent_rates = [
        (i.gossip.sent_bytes - before) / elapsed_s
        for i, before in zip(fleet, sent, strict=True)
    ]
    received_rates = [
        (i.gossip.received_bytes - before) / elapsed_s
        for i, before in zip(fleet, received, strict=True)
    ]
    return {
        "sent_bytes_per_s": summarize(sent_rates),
        "received_bytes_per_s": summarize(received_rates),
        "cpu_percent_of_core_per_member": 100 * cpu_s / elapsed_s / len(fleet),
    }


async def async_measure_failures(
    fleet: list[Instance], rounds: int, seed: int, rng: random.Random
) -> dict[str, Any]:
    """Measures how fast all members detect a failure and a restart.

    The failed member restarts with the same address and id.
    """
    failures = []
    restarts = []
    for _ in range(rounds):
        number = rng.randrange(len(fleet))
        failures.append(await _async_kill(fleet, number))
        restarts.append(await _async_restart(fleet, number, seed))
        await asyncio.sleep(rng.random())
    return {"death_s": summarize(failures), "return_s": summarize(restarts)}


async def _async_kill(fleet: list[Instance], number: int) -> float:
    """Closes an instance without notice and waits until all others know."""
    victim = fleet[number]
    member_id = victim.members.local.id
    others = [i for i in fleet if i is not victim]
    await victim.gossip.async_close()
    return await async_wait(lambda: not _has_live_state(others, member_id, any))


async def _async_restart(
    fleet: list[Instance], number: int, seed: int
) -> float:
    """Restarts an instance and waits until all members know each other."""
    member_id = fleet[number].members.local.id
    fleet[number] = await async_open_instance(number, seed)
    return await async_wait(
        lambda: (
            _has_live_state(fleet, member_id, all)
            and fleet[number].members.count_live() == len(fleet)
        )
    )


async def async_measure_urgent(
    fleet: list[Instance], rounds: int, rng: random.Random
) -> dict[str, Any]:
    """Measures the time until all members have an urgent entry."""
    times = []
    for round_number in range(rounds):
        origin = rng.choice(fleet)
        topic = f"domain/{round_number % 4}"
        times.append(
            await _async_publish(fleet, origin, topic, ["OUT", round_number])
        )
        await asyncio.sleep(rng.random())
    return {"urgent_s": summarize(times)}


async def _async_publish(
    fleet: list[Instance], origin: Instance, topic: str, value: Any
) -> float:
    """Publishes an urgent entry and waits until all members have it."""
    origin.board.publish(topic, value, True, time.monotonic())
    return await async_wait(
        lambda: all(_has_value(i, topic, value) for i in fleet)
    )


async def async_measure_fleet(
    count: int, arguments: argparse.Namespace
) -> dict[str, Any]:
    """Measures a fleet of `count` members."""
    rng = random.Random(arguments.seed)
    fleet = [
        await async_open_instance(number, arguments.seed)
        for number in range(count)
    ]
    joined_s = await async_wait(
        lambda: all(i.members.count_live() == count for i in fleet)
    )
    await asyncio.sleep(_SETTLE_S)
    settled_s = await async_wait(
        lambda: not any(map(_has_queued_updates, fleet))
    )
    result: dict[str, Any] = {
        "members": count,
        "joined_s": joined_s,
        "settled_s": joined_s + _SETTLE_S + settled_s,
    }
    result |= await async_measure_steady(fleet, arguments.duration)
    result |= await async_measure_urgent(fleet, arguments.rounds, rng)
    result |= await async_measure_failures(
        fleet, arguments.rounds, arguments.seed, rng
    )
    result["false_deaths"] = _count_false_deaths(fleet, arguments.rounds)
    # Late ticks extend the timeouts. With many of them the machine was too busy
    # and the measured times are not valid.
    result["late_ticks"] = max(
        instance.gossip.dump_state()["detector"]["late"] for instance in fleet
    )
    for instance in fleet:
        await instance.gossip.async_close()
    return result


def summarize(values: list[float]) -> dict[str, float]:
    """Returns median, percentiles, extremes and number of the values."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "median": statistics.median(ordered),
        "p10": ordered[round(0.1 * last)],
        "p90": ordered[round(0.9 * last)],
        "min": ordered[0],
        "max": ordered[-1],
        "count": len(ordered),
    }


def compute_slope(results: list[dict[str, Any]], name: str) -> float:
    """Returns the increase of a figure per additional member."""
    if len(results) < 2:
        return 0.0
    counts = [result["members"] for result in results]
    values = [
        result[name]["median"]
        if isinstance(result[name], dict)
        else result[name]
        for result in results
    ]
    return statistics.linear_regression(counts, values).slope


def print_result(result: dict[str, Any]) -> None:
    """Prints one line per figure."""
    print(f"members {result['members']}")
    for name, figure in result.items():
        if isinstance(figure, dict):
            print(
                f"  {name}: median {figure['median']:.4g}"
                f" p10 {figure['p10']:.4g} p90 {figure['p90']:.4g}"
                f" min {figure['min']:.4g} max {figure['max']:.4g}"
                f" of {figure['count']}"
            )
        elif name != "members":
            print(f"  {name}: {figure:.4g}")


def main() -> None:
    """Runs the measurements and prints the results."""
    arguments = _parse_arguments()
    results = []
    for count in arguments.members:
        results.append(asyncio.run(async_measure_fleet(count, arguments)))
        print_result(results[-1])
    slopes = {
        name: compute_slope(results, name)
        for name in ("sent_bytes_per_s", "cpu_percent_of_core_per_member")
    }
    for name, slope in slopes.items():
        print(f"slope of {name} per member: {slope:.4g}")
    if arguments.json is not None:
        report = {
            "seed": arguments.seed,
            "duration_s": arguments.duration,
            "fleets": results,
            "slopes": slopes,
        }
        arguments.json.write_text(json.dumps(report, indent=2) + "\n")


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[12])
    parser.add_argument("--duration", type=float, default=20.0, help="seconds")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=pathlib.Path)
    return parser.parse_args()


def _get_address(number: int) -> str:
    return f"127.77.{number // 250}.{number % 250 + 1}"


def _has_live_state(
    fleet: list[Instance],
    member_id: ids.VmId,
    combine: Callable[[Any], bool],
) -> bool:
    states = (instance.members.get(member_id) for instance in fleet)
    return combine(member is not None and member.is_alive for member in states)


def _has_value(instance: Instance, topic: str, value: Any) -> bool:
    return any(entry.value == value for entry in instance.board.get(topic))


def _has_queued_updates(instance: Instance) -> bool:
    return any(instance.gossip.dump_state()["waiting"].values())


def _count_false_deaths(fleet: list[Instance], expected: int) -> int:
    """Counts the members declared dead beyond the expected failures."""
    declared = max(
        instance.gossip.dump_state()["detector"]["confirmed"]
        for instance in fleet
    )
    return max(0, declared - expected)


if __name__ == "__main__":
    main()
