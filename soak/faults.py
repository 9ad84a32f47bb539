"""Faults: their kinds, how they are drawn, and how they are applied."""

import asyncio
from collections.abc import Iterable
import dataclasses
import functools
import random

from soak import const
from soak import deployment as deployments
from soak import history as histories
from standins import store as stores
from standins.echo import endpoints
from standins.echo import proxy


@dataclasses.dataclass(kw_only=True, frozen=True)
class Fault:
    """Base class of all faults.

    Attributes:
        at_s: Start time, in seconds after the first request.
        for_s: Duration, in seconds.
    """

    at_s: float
    for_s: float


@dataclasses.dataclass(kw_only=True, frozen=True)
class KilledBalancers(Fault):
    """Balancers are killed with SIGKILL and restarted."""

    vms: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, frozen=True)
class StoppedBalancer(Fault):
    """A balancer is stopped with SIGTERM and restarted."""

    vm: str


@dataclasses.dataclass(kw_only=True, frozen=True)
class PausedBalancers(Fault):
    """Balancers are paused with SIGSTOP."""

    vms: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, frozen=True)
class ReloadedBalancers(Fault):
    """Balancers reload their settings on SIGHUP."""

    vms: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, frozen=True)
class SpoiledSource(Fault):
    """The proxies between balancers and the store disrupt connections."""

    vms: tuple[str, ...]
    mode: proxy.ProxyMode


@dataclasses.dataclass(kw_only=True, frozen=True)
class FailingStore(Fault):
    """The store fails for all clients; entries may expire meanwhile."""

    fault: stores.StoreFault
    lapse: bool


@dataclasses.dataclass(kw_only=True, frozen=True)
class LostHistory(Fault):
    """The store discards its change history."""


@dataclasses.dataclass(kw_only=True, frozen=True)
class CutDomains(Fault):
    """Traffic between two failure domains is cut, in one or both directions."""

    first: str
    second: str
    one_way: bool


@dataclasses.dataclass(kw_only=True, frozen=True)
class SlowPeers(Fault):
    """Traffic between balancers is delayed, and datagrams are lost."""

    delay_s: float
    loss: float


@dataclasses.dataclass(kw_only=True, frozen=True)
class CrashedEndpoint(Fault):
    """An endpoint crashes for good; another service may reuse its address."""

    service: str
    state: endpoints.EndpointState
    reuse: bool


@dataclasses.dataclass(kw_only=True, frozen=True)
class ReplacedEndpoint(Fault):
    """An endpoint is drained and removed after a cold one was added."""

    service: str


@dataclasses.dataclass(kw_only=True, frozen=True)
class DomainOut(Fault):
    """A failure domain is taken out; its endpoints are cold afterwards."""

    domain: str


@dataclasses.dataclass(kw_only=True, frozen=True)
class ColdService(Fault):
    """All endpoints of a service crash; cold ones replace them at once."""

    service: str


@dataclasses.dataclass(kw_only=True, frozen=True)
class RestartedEndpoint(Fault):
    """An endpoint crashes and restarts cold under the same id."""

    service: str


@dataclasses.dataclass(kw_only=True, frozen=True)
class ChangedRoutes(Fault):
    """A route is added and removed again."""


@dataclasses.dataclass(kw_only=True, frozen=True)
class RestoredStore(Fault):
    """The store is unreadable, then restored from an older copy of itself.

    The copy is taken at `at_s`; the store is unreadable for `for_s`. After the
    restoration, the operator and the endpoints write their items again.

    Attributes:
        age_s: Age of the copy when the store becomes unreadable.
        fault: How calls fail while the store is unreadable.
        operator_s: Time of the operator's writes after the restoration.
        entries_s: Time of the last endpoint's write after the restoration.
        removals_s: Time at which entries of ended endpoints are removed
            again.
    """

    age_s: float
    fault: stores.StoreFault
    operator_s: float
    entries_s: float
    removals_s: float


# The draws of a seed depend on the number of these.
_STORE_FAULTS = (
    stores.StoreFault.BUSY,
    stores.StoreFault.MANY,
    stores.StoreFault.CLOSE,
    stores.StoreFault.SILENT,
    stores.StoreFault.BROKEN_BODY,
    stores.StoreFault.CUT_BODY,
    stores.StoreFault.ENDLESS_BODY,
)


def draw_large_configurations(seed: int) -> bool:
    """Returns whether a seed has large configurations on slow links.

    Drawn by a generator of its own, as the restorations are.
    """
    generator = random.Random(f"{seed}/links")
    return generator.random() < const.LARGE_CONFIGURATIONS_SHARE


def draw_faults(
    generator: random.Random,
    *,
    vms: tuple[str, ...],
    duration_s: float,
    count: int,
) -> list[Fault]:
    """Returns random faults ordered by start time; they may overlap."""
    faults = [
        _draw_fault(generator, vms, generator.uniform(0.0, duration_s))
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    generator: random.Random, vms: tuple[str, ...], at_s: float
) -> Fault:
    draw = generator.choice
    timing = {"at_s": at_s, "for_s": generator.uniform(0.5, 6.0)}
    subset = tuple(generator.sample(vms, generator.randint(1, len(vms) // 2)))
    first, second = generator.sample(deployments.DOMAINS, 2)
    crash_states = (
        endpoints.EndpointState.DARK,
        endpoints.EndpointState.REFUSING,
    )
    service = draw(("main", "mesh"))
    factories = (
        lambda: KilledBalancers(**timing, vms=draw((subset, subset[:1], vms))),
        lambda: StoppedBalancer(**timing, vm=subset[0]),
        lambda: PausedBalancers(**timing, vms=subset),
        lambda: ReloadedBalancers(**timing, vms=subset),
        lambda: SpoiledSource(
            **timing, vms=draw((subset, vms)), mode=draw(_FAULTY_MODES)
        ),
        lambda: FailingStore(
            **timing,
            fault=draw(_STORE_FAULTS),
            lapse=generator.random() < 0.5,
        ),
        lambda: LostHistory(**timing),
        lambda: CutDomains(
            **timing,
            first=first,
            second=second,
            one_way=generator.random() < 0.3,
        ),
        lambda: SlowPeers(**timing, delay_s=draw((0.02, 0.3)), loss=0.1),
        lambda: CrashedEndpoint(
            **timing,
            service=service,
            state=draw(crash_states),
            reuse=generator.random() < 0.5,
        ),
        lambda: ReplacedEndpoint(**timing, service=service),
        lambda: DomainOut(**timing, domain=first),
        lambda: ColdService(**timing, service=service),
        lambda: RestartedEndpoint(**timing, service=service),
        lambda: ChangedRoutes(**timing),
    )
    return draw(factories)()


def draw_restorations(seed: int, *, duration_s: float) -> list[Fault]:
    """Returns restorations of the store and changes shortly before and after.

    Half of the seeds have none. They are drawn by a generator of their own, so
    that the other faults of a seed stay the same.
    """
    generator = random.Random(f"{seed}/restorations")
    if generator.random() < 0.5:
        return []
    faults: list[Fault] = []
    for _ in range(generator.randint(1, 3)):
        faults += _draw_restoration(generator, duration_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_restoration(
    generator: random.Random, duration_s: float
) -> list[Fault]:
    uniform = generator.uniform
    restoration = RestoredStore(
        at_s=uniform(0.0, duration_s),
        for_s=uniform(0.2, 3.0),
        age_s=uniform(2.0, 10.0),
        fault=generator.choice(
            (
                stores.StoreFault.BUSY,
                stores.StoreFault.CLOSE,
                stores.StoreFault.SILENT,
            )
        ),
        operator_s=uniform(0.1, const.REWRITE_S),
        entries_s=uniform(0.1, const.REWRITE_S),
        removals_s=uniform(0.1, const.ENTRY_LIFETIME_S),
    )
    # A route is added before the restoration and removed after it. The store
    # gives out again the revisions that it lost, for about the age of the copy.
    restored_s = restoration.at_s + restoration.age_s + restoration.for_s
    added_s = uniform(restoration.at_s, restored_s)
    removed_s = restored_s + uniform(0.0, restoration.age_s)
    routes = ChangedRoutes(at_s=added_s, for_s=removed_s - added_s)
    timing = {
        "at_s": uniform(restoration.at_s, restored_s + restoration.age_s),
        "for_s": uniform(0.5, 6.0),
    }
    service = generator.choice(("main", "mesh"))
    domain = generator.choice(deployments.DOMAINS)
    change = generator.choice(
        (
            DomainOut(**timing, domain=domain),
            ReplacedEndpoint(**timing, service=service),
            RestartedEndpoint(**timing, service=service),
        )
    )
    return [restoration, routes, change]


_FAULTY_MODES = tuple(
    mode for mode in proxy.ProxyMode if mode is not proxy.ProxyMode.PASS
)
_ANSWER_DELAY_S = 0.4


@functools.singledispatch
async def async_apply(fault: Fault, deployment: deployments.Deployment) -> None:
    """Applies a fault and reverts it after its duration."""
    raise TypeError(type(fault).__name__)


@async_apply.register
async def _(fault: KilledBalancers, deployment: deployments.Deployment) -> None:
    disruptions = _begin_balancer_disruptions(fault.vms, deployment)
    running = []
    for vm in fault.vms:
        balancer = deployment.balancers[vm]
        if balancer.should_run and balancer.process is not None:
            balancer.should_run = False
            balancer.process.resume()
            balancer.process.kill()
            running.append(balancer)
    await asyncio.sleep(const.RESTART_S)
    for balancer in running:
        deployment.start(balancer)
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(fault: StoppedBalancer, deployment: deployments.Deployment) -> None:
    balancer = deployment.balancers[fault.vm]
    if not balancer.should_run:
        return
    disruptions = _begin_balancer_disruptions((fault.vm,), deployment)
    await deployment.async_stop(balancer)
    await asyncio.sleep(const.RESTART_S)
    deployment.start(balancer)
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(fault: PausedBalancers, deployment: deployments.Deployment) -> None:
    disruptions = _begin_balancer_disruptions(fault.vms, deployment)
    paused = [
        balancer.process
        for balancer in map(deployment.balancers.__getitem__, fault.vms)
        if balancer.should_run and balancer.process is not None
    ]
    for process in paused:
        process.pause()
    await asyncio.sleep(fault.for_s)
    for process in paused:
        process.resume()
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(
    fault: ReloadedBalancers, deployment: deployments.Deployment
) -> None:
    for vm in fault.vms:
        balancer = deployment.balancers[vm]
        # Before the handler is installed, SIGHUP would end the process.
        if balancer.should_run and balancer.node.in_rotation:
            assert balancer.process is not None
            balancer.process.reload()


@async_apply.register
async def _(fault: SpoiledSource, deployment: deployments.Deployment) -> None:
    disruptions = _begin_balancer_disruptions(fault.vms, deployment)
    proxies = [deployment.balancers[vm].store_proxy for vm in fault.vms]
    for faulty_proxy in proxies:
        faulty_proxy.set_mode(fault.mode, _ANSWER_DELAY_S)
    await asyncio.sleep(fault.for_s)
    for faulty_proxy in proxies:
        faulty_proxy.set_mode(proxy.ProxyMode.PASS)
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(fault: FailingStore, deployment: deployments.Deployment) -> None:
    history = deployment.history
    disruption = history.begin_disruption(histories.Subject.STORE, "")
    deployment.store.fault = fault.fault
    deployment.heartbeats_suspended = (
        deployment.heartbeats_suspended or fault.lapse
    )
    await asyncio.sleep(fault.for_s)
    lapsed = fault.lapse and fault.for_s > const.ENTRY_LIFETIME_S
    if lapsed:
        for endpoint in deployment.endpoints:
            deployment.remove_entry(endpoint)
    deployment.store.fault = None
    if lapsed:
        await asyncio.sleep(const.ENTRY_RESTORE_S)
    if fault.lapse:
        deployment.heartbeats_suspended = False
        _rewrite_entries(deployment)
    history.end_disruption(disruption)


@async_apply.register
async def _(fault: LostHistory, deployment: deployments.Deployment) -> None:
    deployment.store.forget_history()


@async_apply.register
async def _(fault: CutDomains, deployment: deployments.Deployment) -> None:
    ends = {fault.first, fault.second}
    disruptions = _begin_balancer_disruptions(
        [b.vm for b in deployment.balancers.values() if b.domain in ends],
        deployment,
    )
    disruptions += [
        deployment.history.begin_disruption(
            histories.Subject.ENDPOINT, endpoint.id
        )
        for endpoint in deployment.endpoints
        if endpoint.domain in ends
    ]
    cuts = {(fault.first, fault.second)}
    if not fault.one_way:
        cuts.add((fault.second, fault.first))
    deployment.cuts |= cuts
    deployment.relay.faults.cuts |= cuts
    await asyncio.sleep(fault.for_s)
    deployment.cuts -= cuts
    deployment.relay.faults.cuts -= cuts
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(fault: SlowPeers, deployment: deployments.Deployment) -> None:
    disruptions = _begin_balancer_disruptions(
        tuple(deployment.balancers), deployment
    )
    deployment.relay.faults.delay_s = fault.delay_s
    deployment.relay.faults.loss = fault.loss
    await asyncio.sleep(fault.for_s)
    deployment.relay.faults.delay_s = 0.0
    deployment.relay.faults.loss = 0.0
    _end_disruptions(disruptions, deployment)


@async_apply.register
async def _(fault: CrashedEndpoint, deployment: deployments.Deployment) -> None:
    ready = deployment.list_ready(fault.service)
    if len(ready) <= len(deployments.DOMAINS):
        return
    endpoint = deployment.generator.choice(ready)
    deployment.history.begin_disruption(histories.Subject.ENDPOINT, endpoint.id)
    endpoint.stop(fault.state)
    port = endpoint.address[1]
    await asyncio.sleep(const.ENTRY_LIFETIME_S)
    if not deployment.heartbeats_suspended:
        deployment.remove_entry(endpoint)
    await asyncio.sleep(const.ADDRESS_REUSE_S)
    await endpoint.async_close()
    other = "mesh" if fault.service == "main" else "main"
    if fault.reuse:
        await deployment.async_add_endpoint(other, endpoint.domain, port=port)
    await deployment.async_add_endpoint(
        fault.service, endpoint.domain, cold=True
    )


@async_apply.register
async def _(
    fault: ReplacedEndpoint, deployment: deployments.Deployment
) -> None:
    ready = deployment.list_ready(fault.service)
    if not ready:
        return
    endpoint = deployment.generator.choice(ready)
    await deployment.async_add_endpoint(
        fault.service, endpoint.domain, cold=True
    )
    await _async_drain(endpoint, deployment)


@async_apply.register
async def _(fault: DomainOut, deployment: deployments.Deployment) -> None:
    if fault.domain in deployment.history.domain_out_since:
        return
    deployment.take_domain_out(fault.domain)
    await asyncio.sleep(fault.for_s + const.EVACUATION_S)
    for endpoint in deployment.endpoints:
        if endpoint.domain == fault.domain:
            _make_cold(endpoint, deployment)
    deployment.take_domain_back(fault.domain)


@async_apply.register
async def _(fault: ColdService, deployment: deployments.Deployment) -> None:
    crashed = deployment.list_ready(fault.service)
    for endpoint in crashed:
        deployment.history.begin_disruption(
            histories.Subject.ENDPOINT, endpoint.id
        )
        endpoint.stop(endpoints.EndpointState.REFUSING)
    await asyncio.sleep(const.ENTRY_LIFETIME_S)
    for endpoint in crashed:
        deployment.remove_entry(endpoint)
        await deployment.async_add_endpoint(
            fault.service, endpoint.domain, cold=True
        )


@async_apply.register
async def _(
    fault: RestartedEndpoint, deployment: deployments.Deployment
) -> None:
    ready = deployment.list_ready(fault.service)
    if not ready:
        return
    endpoint = deployment.generator.choice(ready)
    disruption = deployment.history.begin_disruption(
        histories.Subject.ENDPOINT, endpoint.id
    )
    endpoint.stop(endpoints.EndpointState.REFUSING)
    await asyncio.sleep(min(fault.for_s, const.ENTRY_LIFETIME_S / 2))
    endpoint.restart()
    _make_cold(endpoint, deployment)
    deployment.history.end_disruption(disruption)


@async_apply.register
async def _(fault: ChangedRoutes, deployment: deployments.Deployment) -> None:
    if deployments.SPARE_ROUTE in deployment.routes:
        return
    deployment.routes.add(deployments.SPARE_ROUTE)
    deployment.publish()
    await asyncio.sleep(fault.for_s)
    deployment.routes.discard(deployments.SPARE_ROUTE)
    deployment.publish()


@async_apply.register
async def _(fault: RestoredStore, deployment: deployments.Deployment) -> None:
    history = deployment.history
    copy = deployment.store.make_copy()
    await asyncio.sleep(fault.age_s)
    disruption = history.begin_disruption(histories.Subject.STORE_CONTENT, "")
    deployment.restorations += 1
    deployment.store.fault = fault.fault
    await asyncio.sleep(fault.for_s)
    alive = deployment.list_alive()
    removed = [
        endpoint
        for endpoint in deployment.endpoints
        if endpoint not in alive and not deployment.has_entry(endpoint)
    ]
    deployment.store.restore(copy)
    deployment.store.fault = None
    # The grace period covers the time until all items are written again.
    history.end_disruption(disruption)
    writes = [
        (fault.operator_s, deployment.rewrite_operator_items),
        *(
            (
                fault.entries_s * number / len(alive),
                functools.partial(_write_if_alive, endpoint, deployment),
            )
            for number, endpoint in enumerate(alive, 1)
        ),
        *(
            (
                fault.removals_s,
                functools.partial(_remove_if_ended, endpoint, deployment),
            )
            for endpoint in removed
        ),
    ]
    restored_at = deployment.clock()
    for after_s, write in sorted(writes, key=lambda item: item[0]):
        await asyncio.sleep(restored_at + after_s - deployment.clock())
        write()
    deployment.restorations -= 1


def _write_if_alive(
    endpoint: endpoints.Endpoint, deployment: deployments.Deployment
) -> None:
    if endpoint in deployment.list_alive():
        deployment.write_entry(endpoint)


def _remove_if_ended(
    endpoint: endpoints.Endpoint, deployment: deployments.Deployment
) -> None:
    if endpoint not in deployment.list_alive():
        deployment.remove_entry(endpoint)


async def _async_drain(
    endpoint: endpoints.Endpoint, deployment: deployments.Deployment
) -> None:
    endpoint.state = endpoints.EndpointState.DRAINING
    deployment.write_entry(endpoint)
    await asyncio.sleep(const.DRAIN_LINGER_S)
    deployment.history.begin_disruption(histories.Subject.ENDPOINT, endpoint.id)
    endpoint.stop(endpoints.EndpointState.REFUSING)
    deployment.remove_entry(endpoint)


def _make_cold(
    endpoint: endpoints.Endpoint, deployment: deployments.Deployment
) -> None:
    """Makes an endpoint cold and writes its store entry."""
    deployment.set_cold(endpoint)
    if endpoint.state is endpoints.EndpointState.READY:
        deployment.write_entry(endpoint)


def _rewrite_entries(deployment: deployments.Deployment) -> None:
    for endpoint in deployment.list_alive():
        deployment.write_entry(endpoint)


def _begin_balancer_disruptions(
    vms: Iterable[str], deployment: deployments.Deployment
) -> list[histories.Disruption]:
    return [
        deployment.history.begin_disruption(
            histories.Subject.BALANCER, deployment.balancers[vm].host
        )
        for vm in vms
    ]


def _end_disruptions(
    disruptions: list[histories.Disruption], deployment: deployments.Deployment
) -> None:
    for disruption in disruptions:
        deployment.history.end_disruption(disruption)
