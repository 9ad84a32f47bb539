"""A zone is taken back while one answer of the store is lost."""

import asyncio
import os
import pathlib

import testbed

from standins.echo import callers

WARMUP_PER_S = float(os.environ.get("WARMUP_PER_S", "4"))
# As in the site file and the example of `fleetbench wire`.
WARMUP_S = 2.0
SERVICE = "auralizer"
ZONE = "a"


async def async_play(bed: testbed.Testbed, trouble: bool) -> int:
    """Plays the case; returns its verdict."""
    route = (bed.make_host(50, 1), 443)
    bed.store.put(
        "op/config",
        testbed.make_configuration(
            1,
            {"query": (route, SERVICE, callers.RequestKind.IDEMPOTENT)},
            WARMUP_PER_S,
            WARMUP_S,
        ),
    )
    servers = [
        await bed.async_add_server(SERVICE, zone)
        for zone in testbed.ZONES
        for _ in range(2)
    ]
    emptied = [s for s in servers if s.endpoint.domain == ZONE]
    seeds = [m.control for m in bed.machines if m.name.endswith("-1")]
    await bed.async_open(seeds)
    bed.start_load(
        callers.Load(
            name="query",
            kind=callers.RequestKind.IDEMPOTENT,
            route=route,
            request_bytes=0,
            reply_bytes=600,
            requests_per_flow=1,
            pause_s=0.0,
            timeout_s=2.5,
        ),
        50.0,
    )
    await asyncio.sleep(4.0)
    bed.store.put(f"op/evacuate/{ZONE}", {})
    await asyncio.sleep(6.0)
    # While the zone is empty, its endpoints are started again: cold.
    lost: set[str] = set()

    def lose(machine: str, call: str, prefix: str) -> bool:
        """Loses one answer to the machine that reads for the zone."""
        chosen = (
            machine.startswith(f"edge-{ZONE}-")
            and (call, prefix) == ("kv-watch", "servers/")
            and not lost
        )
        if chosen:
            lost.add(machine)
        return chosen

    if trouble:
        bed.store.lose = lose
    for server in emptied:
        server.endpoint.stop(testbed.endpoints.EndpointState.REFUSING)
        server.endpoint.restart()
        server.warm_up(WARMUP_S)
    # The operator takes the zone back.
    await asyncio.sleep(0.1)
    bed.store.remove(f"op/evacuate/{ZONE}")
    await asyncio.sleep(WARMUP_S + 2.0)
    if trouble and not lost:
        raise testbed.CannotRun("no answer was lost")
    return testbed.judge_failback(bed, WARMUP_PER_S)


testbed.run(async_play, pathlib.Path(__file__).parent, machines_per_zone=4)
