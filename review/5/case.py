"""FAILBACK: machines that start with outdated seeds stay alone."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin import judge
from standin import processes

ROUTE = ("198.18.0.1", 8443)
WARMUP_PER_S = 4.0
# plata-orders.toml: two spare machines in each zone; add_nodes, share = 1.0.
ADDED = [(zone, number) for zone in processes.ZONES for number in (5, 6)]


async def play(d, trouble):
    """Plays the case; returns whether the rule was broken."""
    one = d.add_endpoint("i-7f3a91c2", "orders", "a")
    new = d.add_endpoint("i-5566cc77", "orders", "a")
    d.operator.add_route(ROUTE, "orders")
    d.operator.write()
    one.start(cold=False)
    await d.open()
    loads = [
        asyncio.create_task(group.load(ROUTE, 40))
        for group in d.requesters.values()
    ]
    await asyncio.sleep(3)

    # Planned: machines are added. Their seeds are outdated at first: nobody is
    # at these addresses any more. The settings file changes soon after.
    current = [f"127.{d.block}.{zone}.1" for zone in range(3)]
    outdated = [f"127.{d.block}.{zone}.9" for zone in range(3)]
    added = [
        d.add_node(zone, number, outdated if trouble else current)
        for zone, number in ADDED
    ]
    await asyncio.sleep(processes.PARAMS["seed_staleness_s"])
    for node in added:
        d.write_settings(node, current)
    d.record.say("the settings files name current seeds")
    await asyncio.sleep(10)

    # Planned: the endpoint is replaced; the new one starts first, the old one
    # drains.
    new.start(cold=True)
    started = d.record.now()
    await asyncio.sleep(0.01)
    one.drain()
    await asyncio.sleep(4)
    one.leave()
    for load in loads:
        load.cancel()
    await asyncio.sleep(1)

    for node in d.nodes:
        state = await node.read_state()
        d.record.write("peers", node=node.id, peers=state["peers"])
        print(node.id, "hears", len(state["peers"]), "others of its zone")
    most, limit, start = judge.find_failback(
        d.record,
        new.id,
        started,
        started + new.warmup_s,
        WARMUP_PER_S,
        processes.PARAMS,
    )
    print(
        f"most requests at the cold endpoint in a second: {most} "
        f"(from {start}), limit {limit}"
    )
    return most > limit


processes.main(
    play, folder=pathlib.Path(__file__).parent, warmup_per_s=WARMUP_PER_S
)
