"""Assembly, lifecycle and periodic work of one balancer process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time
from typing import Any

from chivedoor import exceptions as base_exceptions
from chivedoor import ids
from chivedoor.admission import target as target_module
from chivedoor.balancer import balancer as balancers
from chivedoor.configservice import client as clients
from chivedoor.configuration import document as documents
from chivedoor.configuration import settings as settings_module
from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import channel as channels
from chivedoor.control import gossip as gossip_module
from chivedoor.control import operators
from chivedoor.daemon import changes
from chivedoor.daemon import collector as collector_module
from chivedoor.daemon import commands as commands_module
from chivedoor.daemon import const
from chivedoor.daemon import documents as document_sync
from chivedoor.daemon import domains as domains_module
from chivedoor.daemon import ejections
from chivedoor.daemon import health
from chivedoor.daemon import modes
from chivedoor.daemon import silence as silence_module
from chivedoor.daemon import traffic as traffic_module
from chivedoor.daemon import transfers as transfers_module
from chivedoor.dataplane import encapsulation
from chivedoor.membership import members as members_module
from chivedoor.telemetry import events
from chivedoor.telemetry import faults
from chivedoor.telemetry import logs as logs_module
from chivedoor.telemetry import metrics as metrics_module

_MemberState = members_module.MemberState


class Application:
    """Creates, connects, runs and closes all components of a balancer."""

    def __init__(
        self, *, settings: settings_module.Settings, logs: logs_module.Logs
    ) -> None:
        self._settings = settings
        self._logs = logs
        # CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes the time in which
        # the VM was suspended.
        self._clock = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
        self._started_at_s = self._clock()
        self._stopping = asyncio.Event()
        self._out_domains: frozenset[ids.DomainId] = frozenset()
        self._seen_domains: frozenset[ids.DomainId] = frozenset()
        self._close_callbacks: list[Callable[[], Awaitable[None]]] = []
        self._detach_callbacks: list[Callable[[], None]] = []
        self._create_control_plane()
        self._create_data_plane()
        self._create_interfaces()

    def _create_control_plane(self) -> None:
        settings = self._settings
        vm = settings.vm
        local = members_module.Member(
            id=vm.id,
            domain=vm.domain,
            region=vm.region,
            address=vm.address,
            peer_port=vm.peer_port,
            gossip_port=vm.gossip_port,
            channel_port=vm.channel_port,
            incarnation=members_module.compute_incarnation(time.time()),
            state=_MemberState.JOINING,
        )
        self._members = members_module.Members(local=local)
        self._board = board_module.Board(
            local_id=vm.id, incarnation=local.incarnation
        )
        self._budget = budget_module.ByteBudget(
            rate_bytes_per_s=settings.limits.control_bytes_per_s,
            clock=self._clock,
        )
        security = settings.security
        self._gossip = gossip_module.Gossip(
            local=local,
            members=self._members,
            board=self._board,
            budget=self._budget,
            keys=authentication.Keys(
                current=security.peer_key,
                previous=security.previous_peer_key,
            ),
            rng=random.Random(),
            clock=self._clock,
            seeds=[tuple(seed) for seed in settings.peers.seeds],
        )
        self._gossip.on_pause(lambda _: self._discard_stale_state())
        self._gossip.on_members_changed(self._update_members)
        keys = [security.peer_key, security.previous_peer_key]
        self._channel = channels.Channel(
            local_id=vm.id,
            address=vm.address,
            port=vm.channel_port,
            keys=[key for key in keys if key is not None],
            resolve=self._resolve_member,
            budget=self._budget,
        )

    def _create_data_plane(self) -> None:
        settings = self._settings
        self._balancer = balancers.Balancer(
            members=self._members,
            region=settings.vm.region,
            admission_factory=self._create_admission,
            salt=random.getrandbits(63),
            now=self._clock(),
            max_flows=settings.limits.max_flows,
        )
        self._traffic = traffic_module.Traffic(
            settings=settings,
            balancer=self._balancer,
            keys=encapsulation.Keys(
                current=settings.security.peer_key,
                previous=settings.security.previous_peer_key,
            ),
            clock=self._clock,
            handle_pause=self._handle_pause,
        )
        self._modes = modes.ModeAnnouncer(
            balancer=self._balancer, board=self._board
        )
        self._ejections = ejections.EjectionAnnouncer(
            balancer=self._balancer, board=self._board
        )
        self._transfers = transfers_module.Transfers(
            balancer=self._balancer, channel=self._channel, clock=self._clock
        )
        self._silence = silence_module.SilenceChecker(
            balancer=self._balancer,
            channel=self._channel,
            clock=self._clock,
            rng=random.Random(),
            perform=self._traffic.perform,
            logs=self._logs,
        )
        self._health = health.HealthPoller(
            balancer=self._balancer, clock=self._clock
        )
        self._domains = domains_module.Domains(
            local_id=settings.vm.id,
            board=self._board,
            clock=self._clock,
            handle_change=self._apply_document,
        )
        self._platform = clients.PlatformClient(
            url=settings.platform.url,
            rng=random.Random(),
            local_address=settings.vm.address,
        )
        self._documents = document_sync.DocumentSynchronizer(
            members=self._members,
            board=self._board,
            channel=self._channel,
            platform=self._platform,
            clock=self._clock,
            logs=self._logs,
            handle_change=self._apply_document,
        )

    def _create_interfaces(self) -> None:
        vm = self._settings.vm
        self._changes = changes.ChangeLogger(
            balancer=self._balancer,
            members=self._members,
            registers=self._domains.registers,
            logs=self._logs,
            clock=self._clock,
        )
        collector = collector_module.MetricsCollector(
            balancer=self._balancer,
            members=self._members,
            store=self._documents.store,
            traffic=self._traffic,
            budget=self._budget,
            platform=self._platform,
            logs=self._logs,
            clock=self._clock,
        )
        self._collector = collector
        self._metrics = metrics_module.MetricsServer(
            address=vm.address,
            port=vm.metrics_port,
            metrics=metrics_module.Metrics(),
            collect=collector.collect,
        )
        handlers = commands_module.Commands(
            members=self._members,
            board=self._board,
            domains=self._domains,
            collect_status=self._collect_status,
            dump_state=self.dump_state,
            list_domains=self._list_domains,
            logs=self._logs,
        ).list_handlers()
        self._operators = operators.OperatorServer(
            address=vm.address,
            port=vm.operator_port,
            key=self._settings.security.operator_key,
            commands=handlers,
            local_id=vm.id,
        )
        for interface, counts in (
            ("peer", self._channel.counts),
            ("operator", self._operators.counts),
        ):
            self._collector.add_interface(interface, counts)
            self._detach_callbacks.append(
                faults.log_interface_faults(counts, self._logs, interface)
            )

    # Lifecycle.

    async def async_run(self) -> None:
        """Runs until `stop` is called and the drain has finished."""
        await self.async_open()
        try:
            await self._stopping.wait()
            await self._async_drain()
        finally:
            await self.async_close()

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._stopping.set()

    async def async_open(self) -> None:
        """Opens all components; if one fails, closes those already open."""
        parts = (
            self._channel,
            self._gossip,
            self._platform,
            self._traffic,
            self._health,
            self._metrics,
            self._operators,
        )
        try:
            for part in parts:
                await part.async_open()
                self._close_callbacks.append(part.async_close)
        except BaseException:
            await self.async_close()
            raise
        self._close_callbacks.append(self._documents.async_close)
        self._close_callbacks.append(self._transfers.async_close)
        self._close_callbacks.append(self._silence.async_close)
        self._start_task(self._async_tick)
        self._start_task(self._async_list_vms)
        self._publish_port()
        self._logs.write_event(
            events.DaemonStarted(
                version="0.1.0",
                incarnation=self._members.local.incarnation,
            )
        )

    async def async_close(self) -> None:
        """Closes all opened components in reverse order.

        Raises:
            ExceptionGroup: Some components failed to close.
        """
        failures = []
        while self._close_callbacks:
            try:
                await self._close_callbacks.pop()()
            except Exception as error:  # noqa: BLE001
                failures.append(error)
        self._modes.unload()
        self._domains.unload()
        self._changes.unload()
        for detach in self._detach_callbacks:
            detach()
        waited_s = self._clock() - self._started_at_s
        self._logs.write_event(events.DaemonStopped(waited_s=waited_s))
        if failures:
            raise ExceptionGroup("components failed to close", failures)

    def _start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.create_task(run())

        async def async_cancel() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._close_callbacks.append(async_cancel)

    async def _async_drain(self) -> None:
        """Keeps routing packets while other balancers take over the targets."""
        self._logs.write_event(
            events.DaemonLeaving(
                targets_owned=self._collect_status().targets_owned
            )
        )
        self._members.leave(self._clock())
        self._update_members()
        started_s = self._clock()
        while self._clock() - started_s < const.MAX_DRAIN_S:
            await asyncio.sleep(const.TICK_INTERVAL_S)
            last_s = max(started_s, self._traffic.last_packet_at_s)
            if self._clock() - last_s >= const.DRAIN_IDLE_S:
                return

    # Periodic work.

    async def _async_tick(self) -> None:
        while True:
            now = self._clock()
            self._balancer.tick(now)
            self._balancer.context.may_send = self._documents.store.may_send(
                now
            )
            self._modes.announce(now)
            self._ejections.announce(now)
            self._documents.update_role()
            self._silence.start_checks()
            missing = self._transfers.start_pulls()
            self._activate_when_ready(missing, now)
            self._changes.log_changes()
            await asyncio.sleep(const.TICK_INTERVAL_S)

    def _activate_when_ready(self, missing: int, now: float) -> None:
        if self._stopping.is_set():
            return
        if self._members.local.state is not _MemberState.JOINING:
            return
        waited_s = now - self._started_at_s
        if not self._documents.store.version or waited_s < const.MIN_JOIN_S:
            return
        if missing and waited_s < const.MAX_JOIN_S:
            return
        self._members.activate(now)
        self._update_members()

    async def _async_list_vms(self) -> None:
        while True:
            try:
                listed = await self._platform.async_list_vms()
            except base_exceptions.ChivedoorError:
                listed = None
            if listed is not None:
                revision = self._members.revision
                self._members.set_vm_list(
                    members_module.ListedVm(
                        id=vm.id,
                        domain=vm.domain,
                        leaving=vm.state is clients.VmState.LEAVING,
                    )
                    for vm in listed
                )
                # Skipped if nothing changed, because an update iterates over
                # every endpoint of the document.
                if self._members.revision != revision:
                    self._update_members()
            await asyncio.sleep(const.VM_LIST_POLL_INTERVAL_S)

    # Reactions to changes.

    def _apply_document(self) -> None:
        document = self._documents.store.document
        if document is None:
            return
        out_domains = self._domains.find_out_domains(document)
        returned_domains = self._out_domains - out_domains
        self._out_domains = out_domains
        now = self._clock()
        self._balancer.apply_document(
            document=document, out_domains=out_domains, now=now
        )
        self._balancer.targets.restart_ramps(returned_domains, now)

    def _update_members(self) -> None:
        self._balancer.update_members(self._clock())

    def _handle_pause(self, pause_s: float) -> None:
        """Rejoins with a new incarnation after the event loop was paused."""
        now = self._clock()
        self._traffic.counters["pauses"] += 1
        self._members.rejoin(
            members_module.compute_incarnation(time.time()), now
        )
        self._board.set_incarnation(
            self._members.local.incarnation, keep_entries=False
        )
        discarded = self._discard_stale_state()
        self._logs.write_event(
            events.PauseDetected(pause_s=pause_s, discarded_packets=discarded)
        )

    def _discard_stale_state(self) -> int:
        """Discards state that may be outdated.

        Returns:
            The number of waiting packets that were discarded.
        """
        discarded = self._traffic.discard_waiting()
        self._started_at_s = self._clock()
        self._modes.reset()
        self._ejections.reset()
        self._balancer.discard_records(self._clock())
        self._publish_port()
        return discarded

    def _publish_port(self) -> None:
        self._board.publish(
            commands_module.PORT_TOPIC,
            self._settings.vm.operator_port,
            False,
            self._clock(),
        )

    def _create_admission(
        self,
        *,
        endpoint: documents.Endpoint,
        policy: documents.Policy,
        now: float,
    ) -> target_module.TargetAdmission:
        # A target that is unknown to this balancer is assumed to be warm:
        # until the balancer has observed the failure domain for a while, it
        # is more likely that the target has been running than that it
        # started together with the balancer.
        del endpoint
        return target_module.TargetAdmission(policy=policy, cold=False, now=now)

    # State.

    def _resolve_member(self, member_id: ids.VmId) -> tuple[str, int]:
        member = self._members.get(member_id)
        if member is None:
            raise LookupError(member_id)
        return (member.address, member.channel_port)

    def _list_domains(self) -> frozenset[ids.DomainId]:
        document = self._documents.store.document
        return frozenset() if document is None else frozenset(document.domains)

    def _collect_status(self) -> collector_module.BalancerStatus:
        return collector_module.collect_status(
            balancer=self._balancer,
            store=self._documents.store,
            traffic=self._traffic,
            out_domains=self._out_domains,
            now=self._clock(),
        )

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of all components as plain values."""
        return {
            "members": self._members.dump_state(),
            "board": self._board.dump_state(),
            "budget": self._budget.dump_state(),
            "gossip": self._gossip.dump_state(),
            "channel": self._channel.dump_state(),
            "document": self._documents.store.dump_state(),
            "registers": self._domains.registers.dump_state(),
            "balancer": dict(self._balancer.dump_state()),
            "silence": self._silence.dump_state(),
            "traffic": dict(self._traffic.counters),
        }
