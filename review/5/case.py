"""FLOW: a flow is reset by the answer to a copy of its opening packet."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin import processes

ROUTE = ("198.18.0.1", 8443)
WARMUP_PER_S = 8.0
# SYSTEM.md on vlf-gabarits: "One way, ... 3 ms to requesters."
REQUESTER_DELAY_S = 0.003
COLD_HANDSHAKE_S = (0.15, 0.25)
ROUNDS = 18


async def play(d, trouble):
    """Plays the case; returns whether the rule was broken."""
    endpoints = [
        d.add_endpoint(
            f"i-{0x11000000 + 4096 * number:08x}",
            "orders",
            processes.ZONES[number % 3],
            work_s=0.029,
            cold_handshake_s=COLD_HANDSHAKE_S,
        )
        for number in range(2 * ROUNDS)
    ]
    d.operator.add_route(ROUTE, "orders")
    d.operator.write()
    serving = endpoints[:2]
    for endpoint in serving:
        endpoint.start(cold=False)
    for group in d.requesters.values():
        group.delay_s = REQUESTER_DELAY_S
    await d.open()
    loads = [
        asyncio.create_task(group.load(ROUTE, 20))
        for group in d.requesters.values()
    ]
    await asyncio.sleep(4)
    leaving = []
    for number, new in enumerate(endpoints[2:]):
        # Planned: the endpoints are replaced one after the other, a second
        # apart; the new one starts first, the old one drains.
        if trouble:
            new.start(cold=True)
            await asyncio.sleep(0.01)
            old = serving.pop(0)
            old.drain()
            serving.append(new)
            leaving.append(old)
        await asyncio.sleep(4.0 if number % 2 else 1.0)
        if len(leaving) == 2:
            for old in leaving:
                old.leave()
            leaving = []
    for load in loads:
        load.cancel()
    await asyncio.sleep(1)

    attempts = d.record.read("attempt")
    print(dict(collections.Counter(line["result"] for line in attempts)))
    opened = {line["flow"]: line["t"] for line in d.record.read("flow open")}
    ran = {line["request"] for line in d.record.read("run")}
    resets = [
        line
        for line in attempts
        if line["result"] == "reset by system on open flow"
        and opened.get(line["flow"], line["t"]) < line["t"]
    ]
    for line in resets[:3]:
        print(line)
    # Counted are resets that came after the endpoint had the flow open.
    running = sum(line["request"] in ran for line in resets)
    print(
        f"open flows reset by the system: {len(resets)}, "
        f"with a request that the endpoint had begun: {running}"
    )
    return bool(resets)


processes.main(
    play, folder=pathlib.Path(__file__).parent, warmup_per_s=WARMUP_PER_S
)
