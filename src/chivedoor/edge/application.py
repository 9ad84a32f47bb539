"""Composition and lifetime of an edge balancer."""

import asyncio
import collections
from collections.abc import Callable
import http
import importlib
import json
import random
import signal
import socket
import time

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.edge import exceptions
from chivedoor.edge import figures as figure_tables
from chivedoor.edge import forwarder as forwarders
from chivedoor.edge import knowledge as knowledge_module
from chivedoor.edge import lines
from chivedoor.edge import observer
from chivedoor.edge import settings as settings_module
from chivedoor.edge import web
from chivedoor.feed import coordinator
from chivedoor.feed import follower as followers
from chivedoor.feed import peer_protocol
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.feed import relay
from chivedoor.platform import store
from chivedoor.steering import reachability
from chivedoor.steering import steerer as steerers


def read_clock() -> float:
    """Returns seconds that go on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Application:
    """One edge balancer."""

    def __init__(
        self,
        *,
        path: str,
        settings: settings_module.Settings,
        log: lines.Lines,
        clock: Callable[[], float] = read_clock,
        bound: socket.socket | None = None,
    ) -> None:
        """Creates a balancer.

        Args:
            path: The settings file, read again on a reload.
            settings: Its present content.
            log: Takes the log lines.
            clock: Returns seconds.
            bound: The packet socket when it is bound already.
        """
        self._path = path
        self._settings = settings
        self._log = log
        self._clock = clock
        generator = random.Random()
        self.figures = figure_tables.Figures()
        self.steerer = steerers.Steerer(
            local=settings.vm,
            domain=settings.domain,
            domains=settings.domains,
            generator=generator,
            observer=observer.Observer(log=log, figures=self.figures),
        )
        self.forwarder = forwarders.Forwarder(
            address=settings.packets.host,
            port=settings.packets.port,
            steerer=self.steerer,
            log=log,
            figures=self.figures,
            clock=clock,
            bound=bound,
        )
        self.knowledge = knowledge_module.Knowledge(
            steerer=self.steerer,
            log=log,
            figures=self.figures,
            clock=clock,
            reset_flows=self.forwarder.reset_flows,
        )
        self.forwarder.knowledge = self.knowledge
        self._store = store.Store(
            host=settings.source.host,
            port=settings.source.port,
            observe_call=self.figures.timings[
                figure_tables.Timing.SOURCE_CALL
            ].observe,
            clock=clock,
        )
        self._source_lost = False
        # Time at which the store confirmed the view to this balancer itself.
        self._read_at: float | None = None
        self._generator = generator
        self._incarnation = round(time.time() * 1000)
        self._settled_at = clock() + const.SETTLING_S
        self.peers = peer_sets.Peers(
            local=settings.vm,
            domain=settings.domain,
            host=settings.peer_host,
            bandwidth_mbps=settings.bandwidth_mbps,
            generator=generator,
        )
        self._greetings = peer_protocol.PeerProtocol(
            peers=self.peers,
            port=settings.peer_port,
            make_heartbeat=self._make_greeting,
            on_heartbeat=self._note_greeting,
            get_seeds=lambda: [seed.host for seed in self._settings.seeds],
            clock=clock,
        )
        self._relay = relay.Relay(
            records_table=self.knowledge.table,
            get_age_s=self.knowledge.get_age_s,
            clock=clock,
        )
        self._coordinator = coordinator.Coordinator(
            peers=self.peers,
            make_follower=self._make_follower,
            deliver=self._take_batch,
            get_age_s=self.knowledge.get_age_s,
            get_read_age_s=self._get_read_age_s,
            get_revision=lambda: self.knowledge.table.revision,
            on_mode_change=self._note_mode,
            local_host=settings.address,
            peer_port=settings.peer_port,
            clock=clock,
        )
        self._readiness = web.WebServer(
            host=settings.readiness.host,
            port=settings.readiness.port,
            handle=self._handle_readiness,
        )
        self._pages = web.WebServer(
            host=settings.address,
            port=settings.metrics_port,
            handle=self._handle_page,
        )
        self._stopping = asyncio.Event()
        self._created_at = clock()
        self._ready = False

    async def async_run(self) -> None:
        """Runs until `stop` was called and the stop is complete.

        Raises:
            OSError: A port cannot be opened.
            PortError: The packet port cannot be opened.
        """
        tasks: list[asyncio.Task[object]] = []
        try:
            await self._async_open_internal()
            tasks = [
                asyncio.create_task(self._greetings.async_run()),
                asyncio.create_task(self._coordinator.async_run()),
                asyncio.create_task(self._async_tick()),
                asyncio.create_task(self._stopping.wait()),
            ]
            await self._readiness.async_open()
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            await self._async_linger()
        finally:
            for task in tasks:
                task.cancel()
            self._greetings.close()
            self._relay.close()
            self._pages.close()
            self._readiness.close()
            self.forwarder.close()
            self._log.write(lines.Kind.STOPPED)
            self._log.flush()

    def stop(self) -> None:
        """Begins a planned stop: the fabric sends packets elsewhere first."""
        if not self._stopping.is_set():
            self._stopping.set()
            self._log.write(lines.Kind.STOPPING, flows=len(self.steerer.flows))

    def reload(self) -> None:
        """Reads the settings again; only the seeds can change in place."""
        try:
            settings = settings_module.load_settings(self._path)
        except exceptions.SettingsError as error:
            self._log.write(lines.Kind.SETTINGS_REJECTED, faults=error.faults)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = self._settings._replace(seeds=settings.seeds)
        self._log.write(lines.Kind.RELOADED, changed=changed)

    def dump_state(self) -> dict[str, object]:
        """Returns the state as plain values."""
        return {
            "vm": self._settings.vm,
            "domain": self._settings.domain,
            "ready": self._ready,
            "view": self.steerer.view.dump_state(),
            "view_age_s": self.knowledge.get_age_s(),
            "revision": self.knowledge.table.revision,
            "flows": len(self.steerer.flows),
            "in_flight": self.steerer.flows.list_in_flight(),
            "log": self._log.dump_state(),
            "source_calls": self._store.calls,
            "reading": self._coordinator.mode.value,
            "peers": [peer.vm for peer in self.peers.list_live(self._clock())],
        }

    async def _async_open_internal(self) -> None:
        """Opens the ports that callers do not depend on."""
        host = self._settings.address
        port = self._settings.peer_port
        for name, opening in (
            ("metrics", self._pages.async_open()),
            ("relay", self._relay.async_open(host, port)),
            ("greetings", self._greetings.async_open(host)),
        ):
            try:
                await opening
            except OSError as error:
                self._log.write(lines.Kind.FAULT, fault=f"{name}: {error}")

    async def _async_tick(self) -> None:
        ticks = 0
        before = self._clock()
        while True:
            await asyncio.sleep(const.TICK_INTERVAL_S)
            now = self._clock()
            if now - before > const.PAUSE_S:
                self._log.write(
                    lines.Kind.PAUSED, pause_s=round(now - before, 3)
                )
            before = now
            self.knowledge.check_age()
            self.steerer.reachability.set_large_domain(self.peers.is_large())
            self.steerer.warmup_budget.set_members(
                self.peers.list_warmup_members(now), self._settled_at
            )
            ticks += 1
            if ticks % const.SWEEP_TICKS == 0:
                self.steerer.expire(now)
            self._log.flush()

    async def _async_linger(self) -> None:
        """Goes on serving until the fabric has taken this balancer out."""
        self._log.flush()
        self._greetings.send_heartbeats()
        ends_at = self._clock() + (
            self._settings.grace_s - const.STOP_RESERVE_S
        )
        earliest = min(ends_at, self._clock() + const.STOP_LINGER_S)
        while (now := self._clock()) < ends_at:
            quiet_from = (self.forwarder.packet_at or 0) + const.STOP_QUIET_S
            if now >= earliest and now >= quiet_from:
                break
            await asyncio.sleep(const.STOP_CHECK_S)

    def _get_read_age_s(self) -> float | None:
        if self._read_at is None:
            return None
        return self._clock() - self._read_at

    def _take_read(self, batch: records.Batch, confirmed_at: float) -> None:
        self._read_at = confirmed_at
        self._take_batch(batch, confirmed_at)

    def _take_batch(self, batch: records.Batch, confirmed_at: float) -> None:
        self.knowledge.take_batch(batch, confirmed_at)
        self._relay.publish()
        if not self._ready and self.knowledge.has_view:
            self._become_ready()

    def _become_ready(self) -> None:
        self._ready = True
        # Packets that waited for longer were repeated or given up since.
        waited_s = self._clock() - self._created_at
        self.forwarder.start()
        if waited_s > const.START_QUEUE_S:
            self.forwarder.discard_waiting()
        self._log.write(
            lines.Kind.READY,
            version=self.steerer.view.version,
            revision=self.knowledge.table.revision,
            waited_s=round(waited_s, 3),
        )
        self._log.flush()

    def _make_follower(self) -> followers.Follower:
        return followers.Follower(
            source=self._store,
            deliver=self._take_read,
            on_state_change=self._note_source,
            clock=self._clock,
            generator=self._generator,
        )

    def _note_source(self, state: followers.FollowerState, reason: str) -> None:
        lost = state is followers.FollowerState.LOST
        if lost == self._source_lost:
            return
        self._source_lost = lost
        self._log.write(
            lines.Kind.SOURCE_LOST if lost else lines.Kind.SOURCE_REGAINED,
            reason=reason,
            view_age_s=self.knowledge.get_age_s(),
        )

    def _note_mode(self, mode: coordinator.ReadingMode, detail: str) -> None:
        self._log.write(
            lines.Kind.READING,
            mode=mode.value,
            detail=detail,
            peers=len(self.peers.list_live(self._clock())),
            view_age_s=self.knowledge.get_age_s(),
        )

    def _make_greeting(self) -> peer_sets.Heartbeat:
        summed = self.peers.is_large() and self.peers.is_candidate()
        return peer_sets.Heartbeat(
            vm=self._settings.vm,
            domain=self._settings.domain,
            host=self._settings.peer_host,
            incarnation=self._incarnation,
            bandwidth_mbps=self._settings.bandwidth_mbps,
            read_age_s=self._get_read_age_s(),
            revision=self.knowledge.table.revision,
            leaving=self._stopping.is_set(),
            in_flight=self._sum_in_flight()
            if summed
            else self.steerer.flows.list_in_flight(),
            summed=summed,
            suspects=self._list_suspects(summed),
            stalled={}
            if self.peers.is_large()
            else self.steerer.reachability.list_counts(
                reachability.RetransmissionKind.REQUEST,
                self._clock(),
                summed=False,
            ),
        )

    def _sum_in_flight(self) -> dict[ids.EndpointId, int]:
        sums = collections.Counter(self.steerer.flows.list_in_flight())
        sums.update(self.steerer.peer_loads.list_counts())
        return dict(sums)

    def _list_suspects(self, summed: bool) -> dict[ids.EndpointId, int]:
        now = self._clock()
        suspects = self.steerer.suspicions.list_suspects(now)
        return dict.fromkeys(
            suspects, 0
        ) | self.steerer.reachability.list_counts(
            reachability.RetransmissionKind.HANDSHAKE, now, summed=summed
        )

    def _note_greeting(self, greeting: peer_sets.Heartbeat) -> None:
        """Takes a load report; a sum replaces the reports that it holds."""
        now = self._clock()
        if greeting.domain != self._settings.domain:
            return
        self.steerer.suspicions.record_report(greeting.suspects, now)
        if greeting.summed:
            first = self.peers.find_top_ranked(now)
            if self.peers.is_candidate() or first is None:
                return
            if first.vm != greeting.vm:
                return
        elif self.peers.is_large() and not self.peers.is_candidate():
            return
        self.steerer.peer_loads.set_report(greeting.vm, greeting.in_flight, now)
        for evidence, counts in (
            (reachability.RetransmissionKind.HANDSHAKE, greeting.suspects),
            (reachability.RetransmissionKind.REQUEST, greeting.stalled),
        ):
            self.steerer.reachability.record_report(
                greeting.vm, evidence, counts, now, summed=greeting.summed
            )

    def _handle_readiness(self, path: str) -> web.Page | None:
        if path != const.READINESS_PATH:
            return None
        ready = self._ready and not self._stopping.is_set()
        return web.Page(
            status=http.HTTPStatus.OK
            if ready
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _handle_page(self, path: str) -> web.Page | None:
        if path == const.METRICS_PATH:
            return self._format_metrics()
        if path == const.STATE_PATH:
            return web.Page(
                status=http.HTTPStatus.OK,
                content_type=web.ContentType.JSON,
                body=json.dumps(self.dump_state()).encode(),
            )
        return None

    def _format_metrics(self) -> web.Page:
        exposition = importlib.import_module("chivedoor.edge.exposition")
        counters = self.forwarder.counters
        gauges = {
            figure_tables.Gauge.READY: float(self._ready),
            figure_tables.Gauge.FLOWS: float(len(self.steerer.flows)),
            figure_tables.Gauge.VIEW_AGE_SECONDS: self.knowledge.get_age_s()
            or 0.0,
            figure_tables.Gauge.VIEW_VERSION: float(self.steerer.view.version),
            figure_tables.Gauge.PACKETS_RECEIVED: float(counters.received),
            figure_tables.Gauge.PACKETS_SENT: float(counters.sent),
            figure_tables.Gauge.PACKETS_SEND_BLOCKED: float(
                counters.send_blocked
            ),
            figure_tables.Gauge.PACKETS_SEND_ERRORS: float(
                counters.send_errors
            ),
            figure_tables.Gauge.SOURCE_CALLS: float(self._store.calls),
            figure_tables.Gauge.PEERS: float(
                len(self.peers.list_live(self._clock()))
            ),
            figure_tables.Gauge.SUBSCRIBERS: float(self._relay.subscribers),
            figure_tables.Gauge.GREETINGS_MALFORMED: float(
                self._greetings.malformed
            ),
            figure_tables.Gauge.LOG_LINES_SUPPRESSED: float(
                self._log.suppressed
            ),
        }
        return web.Page(
            status=http.HTTPStatus.OK,
            content_type=web.ContentType.METRICS,
            body=exposition.format_metrics(self.figures, gauges),
        )


def install_signals(application: Application) -> None:
    """Connects SIGTERM and SIGINT to a planned stop, SIGHUP to a reload.

    Signals that waited for their handlers are delivered.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, application.stop)
    loop.add_signal_handler(signal.SIGINT, application.stop)
    loop.add_signal_handler(signal.SIGHUP, application.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, const.HANDLED_SIGNALS)
