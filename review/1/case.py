"""FLOW: flows of an endpoint that is full are reset."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin import processes

ROUTE = ("198.18.0.1", 8443)
USERS_PER_ZONE = 40
MAX_CONNECTIONS = 80
# macoustic-lb.toml: evacuate, for_s = 60.0, how = "warm".
EVACUATED_S = 60


async def play(d, trouble):
    """Plays the case; returns whether the rule was broken."""
    for id, zone in (("i-7f3a91c2", "a"), ("i-2233aa55", "b")):
        d.add_endpoint(
            id,
            "orders",
            zone,
            work_s=0.055,
            slow_share=0.1,
            slow_s=0.3,
            reply_bytes=2000,
            max_connections=MAX_CONNECTIONS,
        )
    d.operator.add_route(ROUTE, "orders", "idempotent")
    d.operator.max_connections = MAX_CONNECTIONS
    d.operator.write()
    for endpoint in d.endpoints:
        endpoint.start(cold=False)
    await d.open()
    users = [
        asyncio.create_task(group.use(ROUTE, requests=6, pause_s=3.0))
        for group in d.requesters.values()
        for _ in range(USERS_PER_ZONE)
    ]
    await asyncio.sleep(15)
    if trouble:
        d.operator.evacuate("b")
    for _ in range(EVACUATED_S // 10):
        await asyncio.sleep(10)
        print(
            f"{d.record.now():7.2f} s  flows at the endpoints:",
            [len(e.flows) for e in d.endpoints],
            "opening packets left unanswered:",
            [e.full_count for e in d.endpoints],
        )
    for user in users:
        user.cancel()
    await asyncio.sleep(0.2)
    lines = d.record.read("request")
    print(dict(collections.Counter(line["result"] for line in lines)))
    ran = {line["request"] for line in d.record.read("run")}
    opened = {line["flow"] for line in d.record.read("flow open")}
    # Both endpoints live all the while, and neither has sent a reset.
    resets = [
        line
        for line in lines
        if line["result"] == "reset by system" and line["flow"] in opened
    ]
    for line in resets[:3]:
        print(line)
    running = sum(line["request"] in ran for line in resets)
    print(
        f"open flows reset by the system: {len(resets)}, "
        f"with a request that the endpoint had begun: {running}"
    )
    return bool(resets)


processes.main(play, folder=pathlib.Path(__file__).parent)
