"""Measures the board, periodic work, health polls and admission."""

import asyncio
import json
import random
import statistics
import time
from typing import Any

from aiohttp import web

from bench.capacity import fleet as fleets
from bench.capacity import samples
from chivedoor import ids
from chivedoor.balancer import balancer as balancers
from chivedoor.configservice import client as clients
from chivedoor.configuration import document as documents
from chivedoor.control import board as boards
from chivedoor.daemon import health

_MODE_ENTRIES = 4_600
_GENERATION = 0x123456789ABCDEF
_PLANNED_VMS = 830
_ADMISSION_CALLS = 20_000
_HEALTH_TARGETS = 10
_HEALTH_MEASUREMENT_S = 6.0
_STREAM = documents.PortKind.STREAM


def measure_control() -> dict[str, Any]:
    """Measures board entries, ticks, health polls, VM list and admission."""
    return (
        _measure_board()
        | _measure_ticks()
        | _measure_admission()
        | _measure_vm_list()
        | {
            "health_poll_us": samples.summarize(
                [asyncio.run(_async_measure_polls()) for _ in range(3)], "us"
            )
        }
    )


def _build_entries() -> list[boards.Entry]:
    return [
        boards.Entry(
            topic=f"mode/{number}",
            origin=ids.VmId(f"entry-{number % fleets.PLANNED_MEMBERS:03}"),
            incarnation=ids.Incarnation(1_760_000_000_000),
            counter=3,
            value=_GENERATION,
        )
        for number in range(1, _MODE_ENTRIES + 1)
    ]


def _fill_board() -> boards.Board:
    board = boards.Board(
        local_id=ids.VmId("local"), incarnation=ids.Incarnation(1)
    )
    accepted = board.merge(_build_entries(), 0.0)
    if len(accepted) != _MODE_ENTRIES:
        raise RuntimeError(
            f"{len(accepted)} of {_MODE_ENTRIES} entries accepted"
        )
    return board


def _measure_board() -> dict[str, Any]:
    sizes = [len(entry.encoded) for entry in _build_entries()]
    announcement = boards.Entry(
        topic="document",
        origin=ids.VmId("entry-829"),
        incarnation=ids.Incarnation(1_760_000_000_000),
        counter=2_400,
        value=[100_000, 0.1],
    )
    return {
        "board_mode_entry_bytes": samples.summarize(sizes, "B"),
        "board_document_entry_bytes": samples.summarize(
            [len(announcement.encoded)], "B"
        ),
        "board_memory_bytes_per_entry": samples.measure_bytes(
            _fill_board, items=_MODE_ENTRIES
        ),
        "board_merge_us_per_entry": samples.measure_prepared(
            lambda: None, lambda _: _fill_board(), items=_MODE_ENTRIES
        ),
    }


def _measure_ticks() -> dict[str, Any]:
    """Measures work that the daemon repeats 10 times per second."""
    balancer = fleets.build_balancer(
        fleets.load_planned(), fleets.PLANNED_MEMBERS, fleets.PLANNED_DOMAINS
    )
    now = 1_000.0
    calls = {
        "list_pulls": balancer.targets.list_pulls,
        "list_own_modes": lambda: balancer.list_direct_modes(now),
    }
    results = {
        f"tick_{name}_us": samples.measure_calls(call, calls=50)
        for name, call in calls.items()
    }
    results["targets_of_balancer"] = samples.summarize(
        [len(balancer.context.targets)], "targets"
    )
    modes = _build_modes(balancer)
    results["set_mode_us"] = samples.measure_prepared(
        lambda: None,
        lambda _: [balancer.set_direct_mode(mode) for mode in modes],
        items=len(modes),
    )
    return results


def _build_modes(balancer: balancers.Balancer) -> list[balancers.DirectMode]:
    modes = []
    for number, (
        routes,
        endpoint,
    ) in balancer.context.directory.endpoints_by_number.items():
        identity = balancer.context.find_identity(endpoint)
        modes.append(
            balancers.DirectMode(
                number=number,
                identity=identity,
                generation=routes.table.generation,
            )
        )
    return modes


def _measure_admission() -> dict[str, Any]:
    service = fleets.load_today().services[ids.ServiceId("service-0")]
    admission = fleets.create_admission(
        endpoint=service.endpoints[0], policy=service.policy, now=0.0
    )

    def admit() -> None:
        admission.decide(kind=_STREAM, share=1.0, now=1.0)
        admission.admit(_STREAM, 1.0)
        admission.release(_STREAM, 1.0)

    def decide() -> None:
        admission.decide(kind=_STREAM, share=1.0, now=1.0)

    return {
        "admission_decide_us": samples.measure_calls(
            decide, calls=_ADMISSION_CALLS
        ),
        "admission_flow_us": samples.measure_calls(
            admit, calls=_ADMISSION_CALLS
        ),
        "admission_bytes": samples.measure_bytes(
            lambda: [
                fleets.create_admission(
                    endpoint=service.endpoints[0],
                    policy=service.policy,
                    now=0.0,
                )
                for _ in range(100)
            ],
            items=100,
        ),
    }


# The platform's list of VMs and the health endpoints of targets.


def _format_vms(count: int) -> bytes:
    vms = [
        {"id": f"entry-{n:03}", "domain": "abcd"[n % 4], "state": "live"}
        for n in range(count)
    ]
    return json.dumps({"vms": vms}, separators=(",", ":")).encode()


def _measure_vm_list() -> dict[str, Any]:
    results: dict[str, Any] = {}
    for count in (fleets.TODAY_MEMBERS, _PLANNED_VMS):
        body = _format_vms(count)
        results[f"vm_list_bytes_{count}"] = samples.summarize([len(body)], "B")
        results[f"vm_list_read_us_{count}"] = samples.summarize(
            asyncio.run(_async_measure_list(body)), "us"
        )
    return results


async def _async_serve(
    path: str, body: bytes, addresses: list[str]
) -> tuple[web.AppRunner, int]:
    """Serves a body on all addresses and returns the runner and the port."""

    async def async_answer(request: web.Request) -> web.Response:
        del request
        return web.Response(body=body, content_type="application/json")

    application = web.Application()
    application.router.add_get(path, async_answer)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    port = 0
    for address in addresses:
        site = web.TCPSite(runner, address, port)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
    return runner, port


async def _async_measure_list(body: bytes) -> list[float]:
    """Returns microseconds per call, including the server's work."""
    runner, port = await _async_serve("/vms", body, ["127.0.0.1"])
    client = clients.PlatformClient(
        url=f"http://127.0.0.1:{port}", rng=random.Random(1)
    )
    await client.async_open()
    try:
        await client.async_list_vms()
        values = []
        for _ in range(20):
            started_s = time.process_time()
            await client.async_list_vms()
            values.append((time.process_time() - started_s) * 1e6)
    finally:
        await client.async_close()
        await runner.cleanup()
    return values


async def _async_measure_polls() -> float:
    """Returns microseconds per poll, including the server's work."""
    numbers = range(1, _HEALTH_TARGETS + 1)
    runner, port = await _async_serve(
        "/health",
        b'{"state":"ready"}',
        [f"127.1.0.{number}" for number in numbers],
    )
    document = documents.parse_document(
        fleets.format_document([_HEALTH_TARGETS], ("a",), health_port=port)
    )
    balancer = fleets.build_balancer(document, 1, ("a",))
    poller = health.HealthPoller(balancer=balancer, clock=time.monotonic)
    await poller.async_open()
    try:
        await asyncio.sleep(1.0)
        started_s = time.process_time()
        await asyncio.sleep(_HEALTH_MEASUREMENT_S)
        busy_s = time.process_time() - started_s
    finally:
        await poller.async_close()
        await runner.cleanup()
    if poller.failures:
        raise RuntimeError(f"{poller.failures} polls failed")
    polls = _HEALTH_TARGETS * _HEALTH_MEASUREMENT_S / 1.0
    return busy_s / polls * 1e6


def fit_gossip(measured_fleets: list[dict[str, Any]]) -> dict[str, Any]:
    """Fits the gossip's figures as linear functions of the member count."""
    counts = [each["members"] for each in measured_fleets]
    figures = {
        "sent_bytes_per_s": [
            each["sent_bytes_per_s"]["median"] for each in measured_fleets
        ],
        "cpu_percent_per_member": [
            each["cpu_percent_of_core_per_member"] for each in measured_fleets
        ],
        "urgent_s": [each["urgent_s"]["median"] for each in measured_fleets],
    }
    fitted: dict[str, Any] = {"members": counts}
    for name, values in figures.items():
        line = statistics.linear_regression(counts, values)
        fitted[name] = {
            "values": [float(f"{value:.4g}") for value in values],
            "slope": float(f"{line.slope:.4g}"),
            "intercept": float(f"{line.intercept:.4g}"),
        }
    return fitted
