"""Deployment of real balancer processes in an emulated environment."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import signal
import time
from typing import Any

from soak import const
from soak import history as histories
from soak import probes
from soak import promises
from standins import bandwidth
from standins import processes
from standins import relay
from standins import store as stores
from standins.echo import callers
from standins.echo import endpoints
from standins.echo import entries
from standins.echo import fabric
from standins.echo import proxy

DOMAINS = ("a", "b", "c")
ROUTES = {
    "listening": ("198.18.0.1", 443),
    "query": ("198.18.0.1", 8443),
    "intake": ("198.18.0.2", 443),
    "spare": ("198.18.0.3", 443),
}
SERVICES = {
    "listening": "main",
    "query": "main",
    "intake": "mesh",
    "spare": "mesh",
}
# The route that the fault ChangedRoutes adds and removes.
SPARE_ROUTE = "spare"
_PACKET_PORT = 7200
_READINESS_PORT = 7201
_PEER_PORT = 7202
_METRICS_PORT = 7203
_STORE_PORT = 7204
# (service, endpoints per failure domain, slots, mean request time in seconds)
_ENDPOINT_GROUPS = (("main", 2, 4, 0.03), ("mesh", 1, 4, 0.01))

LOADS = (
    callers.Load(
        name="listening",
        kind=callers.RequestKind.IDEMPOTENT,
        route=ROUTES["listening"],
        request_bytes=0,
        reply_bytes=2_000,
        requests_per_flow=12,
        pause_s=0.4,
        timeout_s=2.5,
    ),
    callers.Load(
        name="query",
        kind=callers.RequestKind.NON_IDEMPOTENT,
        route=ROUTES["query"],
        request_bytes=900,
        reply_bytes=600,
        requests_per_flow=1,
        pause_s=0.0,
        timeout_s=3.0,
    ),
    callers.Load(
        name="intake",
        kind=callers.RequestKind.UPLOAD,
        route=ROUTES["intake"],
        request_bytes=20_000,
        reply_bytes=300,
        requests_per_flow=1,
        pause_s=0.0,
        timeout_s=5.0,
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Balancer:
    """A balancer process with its store proxy and its routing node.

    Attributes:
        vm: VM id.
        domain: Failure domain.
        host: Address that the balancer binds.
        node: The balancer as the routers see it.
        store_proxy: Proxy between the balancer and the store.
        arguments: Command line after the Python interpreter.
        process: The process; None before the first start.
        should_run: Whether the process should be running.
    """

    vm: str
    domain: str
    host: str
    node: fabric.Node
    store_proxy: proxy.Proxy
    arguments: list[str]
    process: processes.Process | None = None
    should_run: bool = False


class Deployment:
    """Runs balancers, endpoints, callers and the store.

    Faults change the deployment through its attributes and methods.

    Attributes:
        balancers: Balancers by VM id.
        endpoints: All endpoints that have or had an entry in the store.
        store: Stand-in for the store.
        relay: Relay for the traffic between the balancers.
        history: Disruptions and configuration changes with their times.
        checker: Checks the promises.
        cuts: Pairs of a balancer's and an endpoint's failure domain between
            which packets are dropped.
        heartbeats_suspended: Whether endpoints do not refresh their entries.
        restorations: Number of running restorations of the store, during
            which endpoints do not refresh their entries either.
    """

    def __init__(
        self, *, folder: pathlib.Path, seed: int, size: int, block: int
    ) -> None:
        """Creates a deployment without starting it.

        Args:
            folder: Directory for settings files and logs.
            seed: Seed of the random loads and endpoints.
            size: Number of balancers in each failure domain.
            block: Second octet of the loopback addresses; concurrent runs
                use different blocks.
        """
        self.clock = time.monotonic
        self.history = histories.History(clock=self.clock)
        self.checker = promises.Checker(history=self.history, clock=self.clock)
        self.generator = random.Random(seed)
        self.store = stores.StoreStandIn()
        self.endpoints: list[endpoints.Endpoint] = []
        self.cuts: set[tuple[str, str]] = set()
        self.heartbeats_suspended = False
        self.restorations = 0
        self.version = 0
        self.routes = set(ROUTES) - {SPARE_ROUTE}
        self._idle_routes: list[dict[str, Any]] = []
        self._folder = folder
        self._block = block
        self._domain_of: dict[str, str] = {}
        self.balancers = {
            balancer.vm: balancer
            for number, domain in enumerate(DOMAINS)
            for index in range(size)
            for balancer in [self._make_balancer(number, domain, index)]
        }
        self._fabric = fabric.Fabric(
            nodes=[balancer.node for balancer in self.balancers.values()]
        )
        self.relay = relay.Relay(
            vms=[self._make_relay_vm(b) for b in self.balancers.values()],
            seed=seed,
        )
        self._callers = [
            callers.Callers(
                domain=domain,
                host=self._make_host(3, number, 1),
                port=_PACKET_PORT,
                routers=self._fabric,
                observer=self.checker,
                generator=random.Random(f"{seed}/{domain}"),
                clock=self.clock,
            )
            for number, domain in enumerate(DOMAINS)
        ]
        self._probers = [
            probes.Prober(
                node=balancer.node,
                host=self._make_prober_host(balancer),
                port=_PACKET_PORT,
                checker=self.checker,
                get_version=lambda: self.version,
                is_servable=lambda: self.has_sound_endpoint(probes.SERVICE),
                generator=random.Random(f"{seed}/{balancer.vm}"),
                clock=self.clock,
            )
            for balancer in self.balancers.values()
        ]
        self._tasks: set[asyncio.Task[object]] = set()
        self._endpoint_count = 0
        self._configuration: dict[str, Any] = {}

    async def async_open(self) -> None:
        """Starts all parts and waits until all balancers are ready.

        Raises:
            ProcessError: A balancer did not become ready.
        """
        await self.store.async_open(self._make_host(4, 0, 1), _STORE_PORT)
        for service, count, slots, work_s in _ENDPOINT_GROUPS:
            for domain in DOMAINS * count:
                await self.async_add_endpoint(service, domain, slots, work_s)
        self.publish()
        await self.relay.async_open()
        for balancer in self.balancers.values():
            await balancer.store_proxy.async_open()
            self.start(balancer)
        self._fabric.start()
        self._spawn(self._async_send_heartbeats())
        self._spawn(self._async_watch_processes())
        async with asyncio.timeout(const.START_TIMEOUT_S):
            while not all(b.node.in_rotation for b in self.balancers.values()):
                await asyncio.sleep(0.1)
        for group in (*self._callers, *self._probers):
            await group.async_open()

    async def async_close(self) -> None:
        """Stops all parts."""
        for balancer in self.balancers.values():
            balancer.should_run = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._fabric.async_close()
        for group in (*self._callers, *self._probers):
            await group.async_close()
        for balancer in self.balancers.values():
            if balancer.process is not None and balancer.process.is_running:
                balancer.process.resume()
                balancer.process.kill()
            await balancer.store_proxy.async_close()
        for endpoint in self.endpoints:
            await endpoint.async_close()
        await self.relay.async_close()
        await self.store.async_close()

    def use_large_configurations(self) -> None:
        """Adds many routes without traffic and limits the balancers' links.

        Called before `async_open`.
        """
        self._idle_routes = [
            entries.make_route(
                name=f"idle-{number}",
                address=(f"198.19.{number // 250}.{number % 250}", 443),
                service="main",
                kind=callers.RequestKind.IDEMPOTENT.value,
            )
            for number in range(const.IDLE_ROUTES)
        ]
        for balancer in self.balancers.values():
            link = bandwidth.make_link(const.SLOW_LINK_MBPS)
            self.relay.links[balancer.vm] = link
            balancer.store_proxy.link = link

    def start_load(self, flows_per_s: float) -> None:
        """Opens flows at this total rate, spread over all failure domains."""
        for group in self._callers:
            self._spawn(
                self._async_generate_load(
                    group, flows_per_s / len(self._callers)
                )
            )
        for prober in self._probers:
            self._spawn(prober.async_run())

    def start(self, balancer: Balancer) -> None:
        """Starts a balancer's process."""
        if balancer.process is None:
            balancer.process = processes.Process(
                name=balancer.vm,
                arguments=balancer.arguments,
                logs=self._folder,
            )
        balancer.should_run = True
        self.history.started_at[balancer.host] = self.clock()
        balancer.process.start()

    async def async_stop(self, balancer: Balancer) -> None:
        """Stops a balancer gracefully with SIGTERM."""
        balancer.should_run = False
        assert balancer.process is not None
        age_s = balancer.process.age_s
        status = await balancer.process.async_stop(const.GRACE_S)
        # Before its first line of code runs, the process ends on SIGTERM.
        expected = [0, -signal.SIGKILL]
        if age_s < const.INTERPRETER_START_S:
            expected.append(-signal.SIGTERM)
        if status not in expected:
            self.checker.add_violation(
                promises.Promise.PROCESS_LIVES,
                f"{balancer.vm} stopped with exit status {status}",
            )

    async def async_add_endpoint(
        self,
        service: str,
        domain: str,
        slots: int = 4,
        work_s: float = 0.03,
        *,
        cold: bool = False,
        port: int = 0,
    ) -> endpoints.Endpoint:
        """Starts an endpoint and writes its store entry."""
        self._endpoint_count += 1
        endpoint = endpoints.Endpoint(
            id=f"i-{self._endpoint_count * 7919:08x}",
            service=service,
            domain=domain,
            host=self._make_host(5, DOMAINS.index(domain), 1),
            slots=slots,
            work_s=work_s,
            callers_port=_PACKET_PORT,
            observer=self.checker,
            is_reachable=self._is_reachable,
            generator=random.Random(self._endpoint_count),
        )
        await endpoint.async_open(port)
        self.endpoints.append(endpoint)
        if cold:
            self.set_cold(endpoint)
        self.write_entry(endpoint)
        return endpoint

    def set_cold(self, endpoint: endpoints.Endpoint) -> None:
        """Marks an endpoint as cold; its next entry shows it."""
        history = self.history
        history.cold_until[endpoint.id] = self.clock() + const.COLD_S
        if self.store.fault is None:
            history.cold_unread.discard(endpoint.id)
        else:
            history.cold_unread.add(endpoint.id)

    def write_entry(self, endpoint: endpoints.Endpoint) -> None:
        """Writes the store entry of an endpoint."""
        left_s = self.history.cold_until.get(endpoint.id, 0.0) - self.clock()
        entry = endpoint.build_entry(cold_ms=max(0, round(left_s * 1000)))
        self.store.put(entries.make_endpoint_key(endpoint.id), entry)
        if endpoint.state is endpoints.EndpointState.DRAINING:
            self.history.draining_since.setdefault(endpoint.id, self.clock())

    def remove_entry(self, endpoint: endpoints.Endpoint) -> None:
        """Removes the store entry of an endpoint, if it has one."""
        if self.has_entry(endpoint):
            self.store.remove(entries.make_endpoint_key(endpoint.id))

    def has_entry(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether an endpoint has an entry in the store."""
        return self.store.has(entries.make_endpoint_key(endpoint.id))

    def list_ready(self, service: str) -> list[endpoints.Endpoint]:
        """Returns the ready endpoints of a service."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.service == service
            and endpoint.state is endpoints.EndpointState.READY
        ]

    def list_alive(self) -> list[endpoints.Endpoint]:
        """Returns the endpoints that refresh their entries."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.state
            in (
                endpoints.EndpointState.READY,
                endpoints.EndpointState.DRAINING,
            )
        ]

    def has_sound_endpoint(self, service: str) -> bool:
        """Returns whether a warm, undisrupted endpoint can get flows."""
        history = self.history
        warm_since = self.clock() - const.DISRUPTION_GRACE_S
        return any(
            endpoint.domain not in history.domain_out_since
            and history.cold_until.get(endpoint.id, 0.0) < warm_since
            and history.is_undisrupted(histories.Subject.ENDPOINT, endpoint.id)
            for endpoint in self.list_ready(service)
        )

    def publish(self) -> None:
        """Writes a new configuration with the current routes.

        Each version also has a probe route of its own, which shows whether a
        balancer applied it.
        """
        self.version += 1
        present = {name: (ROUTES[name], SERVICES[name]) for name in self.routes}
        present[f"probe-{self.version}"] = (
            probes.make_route(self.version),
            probes.SERVICE,
        )
        history = self.history
        for route, service in present.values():
            history.route_services.setdefault(route, set()).add(service)
            history.route_removed_at.pop(route, None)
            history.first_version.setdefault(route, self.version)
            history.last_version[route] = self.version
        self._configuration = entries.make_configuration(
            version=self.version,
            routes=[
                entries.make_route(
                    name=name,
                    address=route,
                    service=service,
                    kind=callers.RequestKind.IDEMPOTENT.value,
                )
                for name, (route, service) in sorted(present.items())
            ]
            + self._idle_routes,
            services=("main", "mesh"),
            warmup_per_s=const.WARMUP_PER_S,
        )
        self.store.put(entries.CONFIGURATION_KEY, self._configuration)
        added = {route for route, _ in present.values()}
        for route in {*ROUTES.values(), *history.first_version}:
            if route in added:
                history.route_added_at.setdefault(route, self.clock())
            else:
                history.route_added_at.pop(route, None)
                history.route_removed_at.setdefault(route, self.clock())

    def take_domain_out(self, domain: str) -> None:
        """Takes a failure domain out of service."""
        self.store.put(entries.make_domain_out_key(domain), {})
        self.history.domain_out_since[domain] = self.clock()

    def take_domain_back(self, domain: str) -> None:
        """Takes a failure domain back into service."""
        del self.history.domain_out_since[domain]
        self._write_domain(domain)

    def rewrite_operator_items(self) -> None:
        """Writes the latest configuration and the state of all domains."""
        self.store.put(entries.CONFIGURATION_KEY, self._configuration)
        for domain in DOMAINS:
            self._write_domain(domain)

    def _write_domain(self, domain: str) -> None:
        key = entries.make_domain_out_key(domain)
        if domain in self.history.domain_out_since:
            self.store.put(key, {})
        elif self.store.has(key):
            self.store.remove(key)

    def _make_host(self, kind: int, number: int, index: int) -> str:
        return f"127.{self._block}.{10 * kind + number}.{index}"

    def _make_balancer(self, number: int, domain: str, index: int) -> Balancer:
        vm = f"vm-{domain}{index + 1}"
        host = self._make_host(0, number, index + 1)
        self._domain_of[host] = domain
        peer_host = self._make_host(1, number, index + 1)
        source = (self._make_host(2, number, index + 1), _STORE_PORT)
        seeds = ",".join(
            f"{self._make_host(1, other, 1)}:{_PEER_PORT}"
            for other in range(len(DOMAINS))
        )
        path = self._folder / f"{vm}.ini"
        path.write_text(
            f"[vm]\nid = {vm}\ndomain = {domain}\nregion = r\n"
            f"domains = {','.join(DOMAINS)}\n"
            f"address = {host}\n"
            f"[packets]\naddress = {host}:{_PACKET_PORT}\n"
            f"[readiness]\naddress = {host}:{_READINESS_PORT}\n"
            f"[peers]\nport = {_PEER_PORT}\naddress = {peer_host}\n"
            f"seeds = {seeds}\n"
            f"[source]\naddress = {source[0]}:{source[1]}\n"
            "[limits]\ndescriptors = 1535\nbandwidth_mbps = 350\n"
            f"[stop]\ngrace_s = {const.GRACE_S}\n"
            f"[metrics]\nport = {_METRICS_PORT}\n"
        )
        return Balancer(
            vm=vm,
            domain=domain,
            host=host,
            node=fabric.Node(
                id=vm,
                domain=domain,
                packets=(host, _PACKET_PORT),
                readiness=(host, _READINESS_PORT),
            ),
            store_proxy=proxy.Proxy(
                listen=source, target=(self._make_host(4, 0, 1), _STORE_PORT)
            ),
            arguments=["-m", "chivedoor.edge", str(path)],
        )

    def _make_prober_host(self, balancer: Balancer) -> str:
        # The first address of each domain belongs to its other callers.
        _, _, number, index = map(int, balancer.host.split("."))
        return self._make_host(3, number, index + 1)

    def _make_relay_vm(self, balancer: Balancer) -> relay.Vm:
        known = balancer.host.split(".")
        known[2] = str(int(known[2]) + 10)
        return relay.Vm(
            id=balancer.vm,
            domain=balancer.domain,
            address=balancer.host,
            known_address=".".join(known),
            udp_ports=(_PEER_PORT,),
            tcp_ports=(_PEER_PORT,),
        )

    def _is_reachable(self, endpoint: endpoints.Endpoint, sender: str) -> bool:
        domain = self._domain_of.get(sender, "")
        return (domain, endpoint.domain) not in self.cuts

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[object]) -> None:
        """Reports an exception in a task, an error of the soak test."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {"message": "soak task failed", "exception": task.exception()}
            )

    async def _async_generate_load(
        self, group: callers.Callers, flows_per_s: float
    ) -> None:
        while True:
            load = self.generator.choices(LOADS, (2, 4, 1))[0]
            self._spawn(group.async_send_requests(load))
            await asyncio.sleep(self.generator.expovariate(flows_per_s))

    async def _async_send_heartbeats(self) -> None:
        """Refreshes the store entries of running endpoints."""
        while True:
            await asyncio.sleep(const.HEARTBEAT_S)
            if self.heartbeats_suspended or self.restorations:
                continue
            for endpoint in self.list_alive():
                self.write_entry(endpoint)

    async def _async_watch_processes(self) -> None:
        """Reports balancers that exit unexpectedly."""
        while True:
            await asyncio.sleep(0.1)
            for balancer in self.balancers.values():
                process = balancer.process
                if not balancer.should_run or process is None:
                    continue
                if not process.is_running:
                    balancer.should_run = False
                    self.checker.add_violation(
                        promises.Promise.PROCESS_LIVES,
                        f"{balancer.vm} ended by itself: {process.read_log()}",
                    )
