"""Wiring and lifecycle of an edge balancer."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import http
import importlib
import json
import random
import signal
import socket
import time

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.edge import contact_checker
from chivedoor.edge import exceptions
from chivedoor.edge import forwarder as forwarders
from chivedoor.edge import log_writer
from chivedoor.edge import metrics as metrics_module
from chivedoor.edge import observer
from chivedoor.edge import settings as settings_module
from chivedoor.edge import view_updater as view_updater_module
from chivedoor.edge import web
from chivedoor.feed import const as feed_const
from chivedoor.feed import coordinator
from chivedoor.feed import follower as followers
from chivedoor.feed import load_exchange
from chivedoor.feed import load_reports
from chivedoor.feed import peer_protocol
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.feed import relay
from chivedoor.feed import transfers
from chivedoor.platform import store
from chivedoor.steering import const as steering_const
from chivedoor.steering import contacts
from chivedoor.steering import exceptions as steering_errors
from chivedoor.steering import reachability
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import view as views


def read_clock() -> float:
    """Returns seconds since boot, including time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Application:
    """An edge balancer with its servers, peers and connection to the store.

    Attributes:
        metrics: Counters and histograms.
        steerer: Steering decisions for packets.
        forwarder: Receives and sends packets.
        view_updater: Applies changes of the store to the view.
        peers: The known balancers.
        load_reports: Loads that the balancers of all domains reported.
    """

    def __init__(
        self,
        *,
        path: str,
        settings: settings_module.Settings,
        log: log_writer.LogWriter,
        clock: Callable[[], float] = read_clock,
        packet_socket: socket.socket | None = None,
    ) -> None:
        """Creates a balancer.

        Args:
            path: The settings file, which is read again on a reload.
            settings: The current settings.
            log: Writes the log lines.
            clock: Returns the time in seconds.
            packet_socket: The bound packet socket; None to open one.
        """
        self._path = path
        self._settings = settings
        self._log = log
        self._clock = clock
        generator = random.Random()
        self.metrics = metrics_module.Metrics()
        self.steerer = steerers.Steerer(
            local=settings.vm,
            domain=settings.domain,
            domains=settings.domains,
            generator=generator,
            observer=observer.Observer(log=log, metrics=self.metrics),
        )
        self._contact_checker = contact_checker.ContactChecker(
            on_result=self._apply_contact
        )
        self.forwarder = forwarders.Forwarder(
            address=settings.packets.host,
            port=settings.packets.port,
            domain=settings.domain,
            steerer=self.steerer,
            log=log,
            metrics=self.metrics,
            clock=clock,
            check_contact=self._contact_checker.start,
            packet_socket=packet_socket,
        )
        self.view_updater = view_updater_module.ViewUpdater(
            steerer=self.steerer,
            log=log,
            metrics=self.metrics,
            clock=clock,
            reset_flows=self.forwarder.reset_flows,
        )
        self.forwarder.view_updater = self.view_updater
        self._stores = {
            feed: store.StoreClient(
                feed=feed,
                host=settings.source.host,
                port=settings.source.port,
                observe_call=self.metrics.histograms[
                    metrics_module.Timing.SOURCE_CALL
                ].observe,
                clock=clock,
                observe_transfer=self._log_transfer,
            )
            for feed in records.Feed
        }
        self._lost_feeds: set[records.Feed] = set()
        # Last time at which this balancer itself, rather than a peer, had each
        # feed confirmed by the store.
        self._source_read_at: dict[records.Feed, float] = {}
        self._generator = generator
        self._incarnation = round(time.time() * 1000)
        self._settled_at = clock() + const.SETTLING_DELAY_S
        self.peers = peer_sets.Peers(
            local=settings.vm,
            domain=settings.domain,
            host=settings.peer_host,
            bandwidth_mbps=settings.bandwidth_mbps,
            generator=generator,
        )
        self.load_reports = load_reports.LoadReports(
            local=settings.vm,
            domain=settings.domain,
            list_candidates=self.peers.list_warmup_members,
        )
        self.steerer.distribution.set_reports(self.load_reports)
        self._exchange = load_exchange.LoadExchange(
            local=settings.vm,
            domain=settings.domain,
            domains=settings.domains,
            host=settings.peer_host,
            peers=self.peers,
            reports=self.load_reports,
            source=self.steerer,
        )
        self._peer_protocol = peer_protocol.PeerProtocol(
            peers=self.peers,
            exchange=self._exchange,
            port=settings.peer_port,
            make_heartbeat=self._make_heartbeat,
            on_heartbeat=self._apply_heartbeat,
            get_seeds=lambda: [seed.host for seed in self._settings.seeds],
            is_congested=lambda: self.steerer.placement.is_congested(clock()),
            count_report=lambda transmission: self.metrics.count(
                metrics_module.Counter.LOAD_REPORTS, transmission.value
            ),
            clock=clock,
        )
        self._relay = relay.Relay(
            tables=self.view_updater.tables,
            get_age_s=self.view_updater.get_age_s,
            clock=clock,
            observe_transfer=self._log_transfer,
        )
        self._coordinator = coordinator.Coordinator(
            peers=self.peers,
            make_follower=self._make_follower,
            deliver=self._apply_batch,
            get_age_s=self.view_updater.get_age_s,
            get_read_age_s=self._get_read_age_s,
            tables=self.view_updater.tables,
            on_mode_change=self._log_reading_mode,
            on_subscription_end=self._log_subscription_end,
            local_host=settings.address,
            peer_port=settings.peer_port,
            clock=clock,
            observe_transfer=self._log_transfer,
        )
        self._readiness_server = web.WebServer(
            host=settings.readiness.host,
            port=settings.readiness.port,
            handle=self._handle_readiness_request,
        )
        self._metrics_server = web.WebServer(
            host=settings.address,
            port=settings.metrics_port,
            handle=self._handle_metrics_request,
            query_handlers={const.EXPLANATION_PATH: self._explain},
        )
        self._stopping = asyncio.Event()
        self._created_at = clock()
        self._ready = False
        # Whether other balancers have a newer view that callers need.
        self._behind = False
        # Whether a service was congested on the last tick.
        self._congested = False

    async def async_run(self) -> None:
        """Runs until a stop requested with `stop` is complete.

        Raises:
            OSError: The readiness port cannot be opened.
            PortError: The packet port cannot be opened.
        """
        tasks: list[asyncio.Task[object]] = []
        try:
            await self._async_open_internal_servers()
            tasks = [
                asyncio.create_task(self._peer_protocol.async_run()),
                asyncio.create_task(self._coordinator.async_run()),
                asyncio.create_task(self._async_run_ticks()),
                asyncio.create_task(self._stopping.wait()),
            ]
            await self._readiness_server.async_open()
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            await self._async_drain()
        finally:
            for task in tasks:
                task.cancel()
            self._contact_checker.close()
            self._peer_protocol.close()
            self._relay.close()
            self._metrics_server.close()
            self._readiness_server.close()
            self.forwarder.close()
            self._log.write(log_writer.EventType.STOPPED)
            self._log.flush()

    def stop(self) -> None:
        """Begins a planned stop.

        The readiness endpoint reports unready, and the balancer keeps serving
        until the fabric has removed it.
        """
        if not self._stopping.is_set():
            self._stopping.set()
            self._log.write(
                log_writer.EventType.STOPPING, flows=len(self.steerer.flows)
            )

    def reload(self) -> None:
        """Reloads the settings; only a change of the seeds takes effect.

        Changes of other options are logged and need a restart.
        """
        try:
            settings = settings_module.load_settings(self._path)
        except exceptions.SettingsError as error:
            self._log.write(
                log_writer.EventType.SETTINGS_REJECTED, faults=error.faults
            )
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = self._settings._replace(seeds=settings.seeds)
        self._log.write(log_writer.EventType.RELOADED, changed=changed)

    def dump_state(self) -> dict[str, object]:
        """Returns the state for the state page, as JSON-compatible values."""
        now = self._clock()
        return {
            "vm": self._settings.vm,
            "domain": self._settings.domain,
            "ready": self._is_ready(),
            "behind": self._behind,
            "view": self.steerer.view.dump_state(),
            "view_age_s": self.view_updater.get_age_s(),
            "feed_ages_s": {
                feed.value: self.view_updater.get_age_s(feed)
                for feed in records.Feed
            },
            "revision": self.view_updater.revision.number,
            "era": self.view_updater.revision.era,
            "flows": len(self.steerer.flows),
            "in_flight": self.steerer.flows.list_in_flight(),
            "log": self._log.dump_state(),
            "source_calls": self._count_source_calls(),
            "reading": {
                feed.value: mode.value
                for feed, mode in self._coordinator.modes.items()
            },
            "peers": [peer.vm for peer in self.peers.list_live(now)],
            "load_reports": {
                domain: dataclasses.asdict(report)
                for domain, report in self.load_reports.list_domains(
                    now
                ).items()
            },
            "shares": self._dump_shares(now),
            "short_services": self.steerer.shortage.list_short(now),
        }

    def _dump_shares(self, now: float) -> dict[ids.ServiceId, object]:
        """Returns the shares that leave the domain.

        Only candidates for the reader know the reasons.
        """
        shares = self.load_reports.list_all_shares(now)
        oldest = now - steering_const.LOAD_REPORT_LIFETIME_S
        decisions = {
            service: decision
            for service in self.steerer.view.services
            if (decision := self.steerer.distribution.explain(service))
            and decision.decided_at >= oldest
        }
        return {
            service: {
                "shares": dict(shares.get(service, {})),
                "reason": decisions[service].reason.value
                if service in decisions
                else None,
            }
            for service in sorted(shares.keys() | decisions.keys())
        }

    async def _async_open_internal_servers(self) -> None:
        """Opens the ports of the metrics, the relay and the peer protocol.

        Callers do not depend on these, so a failure is only logged. In the
        log, the peer protocol is named `greetings`.
        """
        host = self._settings.address
        port = self._settings.peer_port
        for name, opening in (
            ("metrics", self._metrics_server.async_open()),
            ("relay", self._relay.async_open(host, port)),
            ("greetings", self._peer_protocol.async_open(host)),
        ):
            try:
                await opening
            except OSError as error:
                self._log.write(
                    log_writer.EventType.FAULT, fault=f"{name}: {error}"
                )

    async def _async_run_ticks(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(const.TICK_INTERVAL_S)
            now = self._clock()
            self.forwarder.observe_time(now)
            self.view_updater.update_freshness()
            self._update_behind(now)
            self.steerer.reachability.set_large_domain(
                self.peers.is_large_domain()
            )
            self.steerer.warmup_budget.set_members(
                self.peers.list_warmup_members(now), self._settled_at
            )
            self.steerer.counts_load = self._exchange.is_active()
            self.steerer.shortage.set_members(self._find_members(now))
            self.steerer.update_delays(now)
            self._report_congestion(now)
            ticks += 1
            if ticks % const.EXPIRY_INTERVAL_TICKS == 0:
                self.steerer.expire(now)
            self._log.flush()

    def _find_members(self, now: float) -> shortage.Members | None:
        """Returns the balancers that divide the limits of the endpoints.

        In a small domain, reports are recent enough to do without.
        """
        position = self.load_reports.get_position(now)
        if position is None or not self.peers.is_large_domain():
            return None
        counts = self.load_reports.count_balancers(now)
        # Candidates know the numbers of the other domains, the others only
        # that of their own.
        return shortage.Members(
            counts={
                domain: counts.get(domain, counts[self._settings.domain])
                for domain in self._settings.domains
            },
            position=position,
        )

    def _update_behind(self, now: float) -> None:
        """Decides whether callers are better served by other balancers.

        A balancer that is cut off hears of no reader and goes on serving.
        """
        age_s = self.view_updater.get_age_s()
        if age_s is None:
            return
        limit_s = (
            const.VIEW_MAX_AGE_S if self._behind else const.BEHIND_VIEW_AGE_S
        )
        behind = age_s > limit_s and self.peers.has_active_reader(now)
        if behind is self._behind:
            return
        self._behind = behind
        self._log.write(
            log_writer.EventType.VIEW_BEHIND
            if behind
            else log_writer.EventType.VIEW_CAUGHT_UP,
            version=self.steerer.view.version,
            view_age_s=age_s,
        )

    def _is_ready(self) -> bool:
        return self._ready and not self._behind

    def _report_congestion(self, now: float) -> None:
        """Sends a heartbeat at once when a service becomes congested."""
        congested = self.steerer.placement.is_congested(now)
        if congested and not self._congested and self.peers.is_large_domain():
            self._peer_protocol.send_heartbeats()
            self._peer_protocol.send_load_reports(now)
        self._congested = congested

    async def _async_drain(self) -> None:
        """Keeps serving until the fabric has removed this balancer."""
        self._log.flush()
        self._peer_protocol.send_heartbeats()
        ends_at = self._clock() + (
            self._settings.grace_s - const.SHUTDOWN_RESERVE_S
        )
        earliest_end = min(ends_at, self._clock() + const.DRAIN_MIN_S)
        while (now := self._clock()) < ends_at:
            quiet_at = (
                self.forwarder.last_packet_at or 0
            ) + const.DRAIN_QUIET_S
            if now >= earliest_end and now >= quiet_at:
                break
            await asyncio.sleep(const.DRAIN_CHECK_INTERVAL_S)

    def _count_source_calls(self) -> int:
        return sum(client.calls for client in self._stores.values())

    def _get_read_age_s(self) -> float | None:
        """Returns the time since all feeds were read from the store."""
        if len(self._source_read_at) < len(self._stores):
            return None
        return self._clock() - min(self._source_read_at.values())

    def _apply_source_batch(
        self, feed: records.Feed, batch: records.Batch, confirmed_at: float
    ) -> None:
        self._source_read_at[feed] = confirmed_at
        self._apply_batch(feed, batch, confirmed_at)

    def _apply_batch(
        self, feed: records.Feed, batch: records.Batch, confirmed_at: float
    ) -> None:
        self.view_updater.apply_batch(feed, batch, confirmed_at)
        self._relay.publish(feed)
        if not self._ready and self.view_updater.has_view:
            self._mark_ready()

    def _mark_ready(self) -> None:
        self._ready = True
        # Callers have retransmitted or given up packets queued for longer.
        waited_s = self._clock() - self._created_at
        self.forwarder.start()
        if waited_s > const.START_QUEUE_MAX_AGE_S:
            self.forwarder.discard_waiting()
        self._log.write(
            log_writer.EventType.READY,
            version=self.steerer.view.version,
            revision=self.view_updater.revision.number,
            era=self.view_updater.revision.era,
            waited_s=round(waited_s, 3),
        )
        self._log.flush()

    def _apply_contact(
        self, endpoint: views.Endpoint, result: contacts.Contact
    ) -> None:
        self.steerer.record_contact(endpoint, result, self._clock())
        self.forwarder.reset_abandoned_flows()

    def _make_follower(self, feed: records.Feed) -> followers.Follower:
        return followers.Follower(
            source=self._stores[feed],
            deliver=functools.partial(self._apply_source_batch, feed),
            on_state_change=functools.partial(self._log_source_state, feed),
            clock=self._clock,
            generator=self._generator,
            get_max_delay_s=lambda: self.peers.get_max_retry_delay_s(
                self._clock(), has_view=self.view_updater.has_view
            ),
            has_peers=self.peers.has_domain_peers,
        )

    def _log_source_state(
        self, feed: records.Feed, state: followers.FollowerState, reason: str
    ) -> None:
        lost = state is followers.FollowerState.LOST
        if lost == (feed in self._lost_feeds):
            return
        self._lost_feeds ^= {feed}
        self._log.write(
            log_writer.EventType.SOURCE_LOST
            if lost
            else log_writer.EventType.SOURCE_REGAINED,
            feed=feed.value,
            reason=reason,
            view_age_s=self.view_updater.get_age_s(),
        )

    def _log_transfer(self, transfer: transfers.Transfer) -> None:
        if transfer.complete and transfer.duration_s < (
            feed_const.SLOW_TRANSFER_S
        ):
            return
        self.metrics.count(
            metrics_module.Counter.TRANSFERS_SLOW, transfer.kind.value
        )
        self._log.write(
            log_writer.EventType.TRANSFER_SLOW,
            transfer=transfer.kind.value,
            host=transfer.host,
            size_bytes=transfer.size_bytes,
            duration_s=round(transfer.duration_s, 3),
            complete=transfer.complete,
            view_age_s=self.view_updater.get_age_s(),
        )

    def _log_reading_mode(
        self, feed: records.Feed, mode: coordinator.ReadingMode, reader: str
    ) -> None:
        self._log.write(
            log_writer.EventType.READING,
            feed=feed.value,
            mode=mode.value,
            detail=reader,
            peers=len(self.peers.list_live(self._clock())),
            view_age_s=self.view_updater.get_age_s(feed),
        )

    def _log_subscription_end(self, host: str, reason: str) -> None:
        self._log.write(
            log_writer.EventType.SUBSCRIPTION_ENDED,
            host=host,
            reason=reason,
            view_age_s=self.view_updater.get_age_s(),
        )

    def _make_heartbeat(self) -> peer_sets.Heartbeat:
        summed = (
            self.peers.is_large_domain() and self.peers.is_reader_candidate()
        )
        return peer_sets.Heartbeat(
            vm=self._settings.vm,
            domain=self._settings.domain,
            host=self._settings.peer_host,
            incarnation=self._incarnation,
            bandwidth_mbps=self._settings.bandwidth_mbps,
            read_age_s=self._get_read_age_s(),
            revision=self.view_updater.revision.number,
            leaving=self._stopping.is_set(),
            in_flight=self._sum_in_flight()
            if summed
            else self.steerer.flows.list_in_flight(),
            summed=summed,
            suspects=self._list_suspects(summed),
            stalled={}
            if self.peers.is_large_domain()
            else self.steerer.reachability.list_counts(
                reachability.RetransmissionKind.REQUEST,
                self._clock(),
                summed=False,
            ),
            delays=self.steerer.delay_table.list_report(
                summed=summed,
                short=self.steerer.placement.is_congested(self._clock()),
            ),
            refusals=self._list_refusals(),
        )

    def _list_refusals(self) -> dict[ids.EndpointId, list[int]]:
        now = self._clock()
        return {
            endpoint_id: [refusal.incarnation, round((now - refusal.at) * 1000)]
            for endpoint_id, refusal in self.steerer.restarts.list_report(
                now
            ).items()
        }

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

    def _apply_heartbeat(self, heartbeat: peer_sets.Heartbeat) -> None:
        """Applies the load and reachability report in a peer's heartbeat.

        In a large domain, candidates use the peers' own reports, and all other
        balancers use only the sums reported by the first live peer. A sum
        replaces the reports that it includes.
        """
        now = self._clock()
        if heartbeat.domain != self._settings.domain:
            return
        self.steerer.suspicions.record_report(heartbeat.suspects, now)
        self._record_refusals(heartbeat, now)
        for endpoint_id, sums in heartbeat.delays.items():
            if sums.requests >= steering_const.REPORTED_PROGRESS_MIN_REQUESTS:
                self.steerer.reachability.record_reported_progress(
                    endpoint_id, now
                )
        if heartbeat.summed:
            first = self.peers.find_top_ranked(now)
            if self.peers.is_reader_candidate() or first is None:
                return
            if first.vm != heartbeat.vm:
                return
        elif (
            self.peers.is_large_domain()
            and not self.peers.is_reader_candidate()
        ):
            return
        self.steerer.peer_loads.set_report(
            heartbeat.vm, heartbeat.in_flight, now
        )
        self.steerer.delay_table.set_report(heartbeat.vm, heartbeat.delays, now)
        for kind, counts in (
            (reachability.RetransmissionKind.HANDSHAKE, heartbeat.suspects),
            (reachability.RetransmissionKind.REQUEST, heartbeat.stalled),
        ):
            self.steerer.reachability.record_report(
                heartbeat.vm, kind, counts, now, summed=heartbeat.summed
            )

    def _record_refusals(
        self, heartbeat: peer_sets.Heartbeat, now: float
    ) -> None:
        for endpoint_id, (incarnation, age_ms) in heartbeat.refusals.items():
            endpoint = self.steerer.view.endpoints.get(endpoint_id)
            if endpoint is not None and endpoint.incarnation == incarnation:
                self.steerer.restarts.record_refused(
                    endpoint, now - age_ms / 1000.0, local=False
                )

    def _handle_readiness_request(self, path: str) -> web.Response | None:
        if path != const.READINESS_PATH:
            return None
        ready = self._is_ready() and not self._stopping.is_set()
        return web.Response(
            status=http.HTTPStatus.OK
            if ready
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )

    def _handle_metrics_request(self, path: str) -> web.Response | None:
        if path == const.METRICS_PATH:
            return self._format_metrics()
        if path == const.STATE_PATH:
            return web.Response(
                status=http.HTTPStatus.OK,
                content_type=web.ContentType.JSON,
                body=json.dumps(self.dump_state()).encode(),
            )
        return None

    def _explain(self, parameters: Mapping[str, str]) -> web.Response:
        """Returns the page that explains where a new flow would go.

        Errors are JSON objects with the key `error`.
        """
        explanation = importlib.import_module("chivedoor.steering.explanation")
        explainer = explanation.Explainer(
            steerer=self.steerer, domain=self._settings.domain
        )
        status = http.HTTPStatus.OK
        body: dict[str, object]
        try:
            body = dataclasses.asdict(
                explainer.explain(
                    parameters.get("caller", ""),
                    parameters.get("route", ""),
                    self._clock(),
                )
            )
        except steering_errors.MalformedCallerError as error:
            status = http.HTTPStatus.BAD_REQUEST
            body = {"error": str(error)}
        except steering_errors.UnknownRouteError as error:
            status = http.HTTPStatus.NOT_FOUND
            body = {"error": str(error)}
        return web.Response(
            status=status,
            content_type=web.ContentType.JSON,
            # The states are enumerations, which are given by their values.
            body=json.dumps(body, default=lambda state: state.value).encode(),
        )

    def _format_metrics(self) -> web.Response:
        exposition = importlib.import_module("chivedoor.edge.exposition")
        counters = self.forwarder.counters
        gauges = {
            metrics_module.Gauge.READY: float(self._is_ready()),
            metrics_module.Gauge.FLOWS: float(len(self.steerer.flows)),
            metrics_module.Gauge.VIEW_AGE_SECONDS: self.view_updater.get_age_s()
            or 0.0,
            metrics_module.Gauge.VIEW_VERSION: float(self.steerer.view.version),
            metrics_module.Gauge.PACKETS_RECEIVED: float(counters.received),
            metrics_module.Gauge.PACKETS_SENT: float(counters.sent),
            metrics_module.Gauge.PACKETS_SEND_BLOCKED: float(
                counters.send_blocked
            ),
            metrics_module.Gauge.PACKETS_SEND_ERRORS: float(
                counters.send_errors
            ),
            metrics_module.Gauge.SOURCE_CALLS: float(
                self._count_source_calls()
            ),
            metrics_module.Gauge.PEERS: float(
                len(self.peers.list_live(self._clock()))
            ),
            metrics_module.Gauge.SUBSCRIBERS: float(self._relay.subscribers),
            metrics_module.Gauge.GREETINGS_MALFORMED: float(
                self._peer_protocol.malformed
            ),
            metrics_module.Gauge.LOG_LINES_SUPPRESSED: float(
                self._log.suppressed
            ),
        }
        return web.Response(
            status=http.HTTPStatus.OK,
            content_type=web.ContentType.METRICS,
            body=exposition.format_metrics(
                self.metrics,
                gauges,
                self.load_reports.list_all_shares(self._clock()),
            ),
        )


def install_signal_handlers(application: Application) -> None:
    """Installs the handlers: SIGTERM and SIGINT stop, SIGHUP reloads.

    Signals that were blocked during startup are delivered.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, application.stop)
    loop.add_signal_handler(signal.SIGINT, application.stop)
    loop.add_signal_handler(signal.SIGHUP, application.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, const.HANDLED_SIGNALS)
