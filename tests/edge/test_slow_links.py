"""Tests of a failure domain whose balancers have slow links.

Real balancer processes read the store and each other through links of
5 Mbit/s, the slowest of the known deployments. Within 5 s, the bound there, a
configuration of the largest value that the store takes has to be in force, and
a leaving endpoint has to be known.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import string
import time

import aiohttp
import pytest

from standins import bandwidth
from standins import processes
from standins import relay
from standins import store as stores
from standins.echo import entries
from standins.echo import proxy
from tests.edge import conftest

SLOW_MBPS = 5.0
FAST_MBPS = 100.0
BOUND_S = 5.0
MAX_VALUE_BYTES = 1_048_576
ENDPOINT_ID = "i-7f3a91c2"
POLL_S = 0.05
START_TIMEOUT_S = 30.0
# Loopback addresses of this test, as numbers of their second octet.
BLOCKS = itertools.count(101)


def make_configuration(version: int, size_bytes: int) -> bytes:
    """Returns a configuration of nearly the given size.

    Names are random, as in the known deployments, so that they compress badly.
    """
    generator = random.Random(1)
    routes = []
    total = 0
    for number in itertools.count():
        name = "r-" + "".join(
            generator.choices(string.ascii_lowercase + string.digits, k=7)
        )
        route = entries.make_route(
            name=name,
            address=(f"198.18.{number // 250}.{number % 250}", 443),
            service="s",
            kind="idempotent",
        ) | {"timeout_ms": 2178, "target_latency_ms": 326, "max_attempts": 2}
        total += len(json.dumps(route)) + 2
        if total > size_bytes - 200:
            break
        routes.append(route)
    # One route differs between versions.
    routes[len(routes) // 2]["name"] = f"r-version-{version}"
    return json.dumps(
        entries.make_configuration(
            version=version, routes=routes, services=["s"], warmup_per_s=0.0
        )
    ).encode()


def make_entry(state: str) -> dict[str, object]:
    return {
        "service": "s",
        "address": "127.0.0.9:9000",
        "zone": "a",
        "version": "v1",
        "concurrency": 4,
        "state": state,
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 1,
    }


@dataclasses.dataclass(slots=True, kw_only=True)
class Balancer:
    """A balancer process with its proxy to the store."""

    process: processes.Process
    store_proxy: proxy.Proxy
    state_url: str
    versions: dict[int, float] = dataclasses.field(default_factory=dict)
    draining_at: float | None = None


class Domain:
    """A failure domain of fast and slow balancers with a store."""

    def __init__(self, *, folder: pathlib.Path, fast: int, slow: int) -> None:
        self.store = stores.StoreStandIn()
        self.written_at: dict[int, float] = {}
        self._block = next(BLOCKS)
        self._folder = folder
        self._ports = [conftest.find_free_port() for _ in range(4)]
        self._speeds = [FAST_MBPS] * fast + [SLOW_MBPS] * slow
        self._tasks: list[asyncio.Task[None]] = []
        self.balancers: list[Balancer] = []
        self._relay = relay.Relay(
            vms=[
                relay.Vm(
                    id=f"vm-{number}",
                    domain="a",
                    address=self._make_host(0, number),
                    known_address=self._make_host(1, number),
                    udp_ports=(self._ports[0],),
                    tcp_ports=(self._ports[0],),
                )
                for number in range(len(self._speeds))
            ],
            seed=1,
        )

    async def async_open(self) -> None:
        await self.store.async_open(self._make_host(4, 0))
        self.store.put("servers/" + ENDPOINT_ID, make_entry("ready"))
        self.write_configuration(1, make_configuration(1, 50_000))
        for number, mbps in enumerate(self._speeds):
            self._relay.links[f"vm-{number}"] = bandwidth.make_link(mbps)
        await self._relay.async_open()
        for number, mbps in enumerate(self._speeds):
            self.balancers.append(await self._async_start(number, mbps))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(1 in b.versions for b in self.balancers):
                await asyncio.sleep(POLL_S)
        # The balancers choose their reader.
        await asyncio.sleep(3.0)

    async def async_close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for balancer in self.balancers:
            if balancer.process.is_running:
                balancer.process.kill()
            await balancer.store_proxy.async_close()
        await self._relay.async_close()
        await self.store.async_close()

    def write_configuration(self, version: int, data: bytes) -> None:
        self.store.put(entries.CONFIGURATION_KEY, data)
        self.written_at[version] = time.monotonic()

    async def async_wait(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s)

    def list_delays_s(self, version: int) -> list[float]:
        """Returns how long each running balancer took to apply a version."""
        return [
            min(
                (
                    at
                    for applied, at in balancer.versions.items()
                    if applied >= version
                ),
                default=float("inf"),
            )
            - self.written_at[version]
            for balancer in self.balancers
            if balancer.process.is_running
        ]

    def list_draining_delays_s(self, since: float) -> list[float]:
        """Returns how long each balancer took to know the leaving endpoint."""
        return [
            (balancer.draining_at or float("inf")) - since
            for balancer in self.balancers
        ]

    def _make_host(self, kind: int, number: int) -> str:
        return f"127.{self._block}.{kind}.{number + 1}"

    async def _async_start(self, number: int, mbps: float) -> Balancer:
        peer, packets, readiness, metrics = self._ports
        host = self._make_host(0, number)
        store_proxy = proxy.Proxy(
            listen=(self._make_host(2, number), 0),
            target=(self._make_host(4, 0), self.store.port),
        )
        store_proxy.link = self._relay.links[f"vm-{number}"]
        await store_proxy.async_open()
        path = self._folder / f"vm-{number}.ini"
        path.write_text(
            f"[vm]\nid = vm-{number}\ndomain = a\nregion = r\n"
            f"address = {host}\ndomains = a\n"
            f"[packets]\naddress = {host}:{packets}\n"
            f"[readiness]\naddress = {host}:{readiness}\n"
            f"[peers]\nport = {peer}\naddress = {self._make_host(1, number)}\n"
            f"seeds = {self._make_host(1, 0)}:{peer}\n"
            "[source]\naddress = {}:{}\n".format(*store_proxy.address)
            + f"[limits]\ndescriptors = 1535\nbandwidth_mbps = {mbps}\n"
            "[stop]\ngrace_s = 6\n"
            f"[metrics]\nport = {metrics}\n"
        )
        process = processes.Process(
            name=f"vm-{number}",
            arguments=["-m", "chivedoor.edge", str(path)],
            logs=self._folder,
        )
        process.start()
        balancer = Balancer(
            process=process,
            store_proxy=store_proxy,
            state_url=f"http://{host}:{metrics}/state",
        )
        self._tasks.append(asyncio.create_task(self._async_poll(balancer)))
        return balancer

    async def _async_poll(self, balancer: Balancer) -> None:
        """Records when a balancer applied each version."""
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(balancer.state_url) as response:
                        view = (await response.json())["view"]
                    now = time.monotonic()
                    balancer.versions.setdefault(view["version"], now)
                    draining = any(e["draining"] for e in view["endpoints"])
                    if draining and balancer.draining_at is None:
                        balancer.draining_at = now
                await asyncio.sleep(POLL_S)


@pytest.fixture
async def open_domain(tmp_path):
    async with contextlib.AsyncExitStack() as stack:

        async def async_open(*, fast: int, slow: int) -> Domain:
            domain = Domain(folder=tmp_path, fast=fast, slow=slow)
            stack.push_async_callback(domain.async_close)
            await domain.async_open()
            return domain

        yield async_open


@pytest.mark.parametrize(("fast", "slow"), [(1, 4), (0, 4), (0, 1)])
async def test_largest_configuration_is_in_force_in_time(
    open_domain, fast: int, slow: int
) -> None:
    """Guards against transfers that are broken off again and again.

    The time limits held for a whole transfer, and the next attempt began with
    the first byte again.
    """
    domain = await open_domain(fast=fast, slow=slow)
    domain.write_configuration(2, make_configuration(2, MAX_VALUE_BYTES))
    await domain.async_wait(BOUND_S)
    assert max(domain.list_delays_s(2)) <= BOUND_S


@pytest.mark.parametrize(("fast", "slow"), [(1, 4), (0, 4)])
async def test_changes_are_in_time_in_a_storm_of_large_configurations(
    open_domain, fast: int, slow: int
) -> None:
    """Guards against changes that wait behind each of many configurations."""
    versions = range(2, 32)
    # Made beforehand: the store and the links are emulated in this process.
    configurations = [
        make_configuration(version, MAX_VALUE_BYTES) for version in versions
    ]
    domain = await open_domain(fast=fast, slow=slow)
    leaving_at = 0.0
    for version, data in zip(versions, configurations, strict=True):
        domain.write_configuration(version, data)
        if version == versions[len(versions) // 2]:
            domain.store.put("servers/" + ENDPOINT_ID, make_entry("draining"))
            leaving_at = time.monotonic()
        await domain.async_wait(0.2)
    await domain.async_wait(BOUND_S)
    assert max(domain.list_draining_delays_s(leaving_at)) <= BOUND_S
    assert {
        version: delay_s
        for version in versions
        if (delay_s := max(domain.list_delays_s(version))) > BOUND_S
    } == {}


@pytest.mark.parametrize("after_s", [0.3, 0.6, 1.0])
async def test_change_is_in_time_when_the_reader_is_lost_in_mid_transfer(
    open_domain, after_s: float
) -> None:
    """Guards against a transfer that begins too late after the reader ended."""
    domain = await open_domain(fast=1, slow=4)
    domain.write_configuration(2, make_configuration(2, MAX_VALUE_BYTES))
    await domain.async_wait(after_s)
    domain.balancers[0].process.pause()
    await domain.async_wait(BOUND_S - after_s)
    domain.balancers[0].process.kill()
    await asyncio.sleep(0.2)
    assert max(domain.list_delays_s(2)) <= BOUND_S
