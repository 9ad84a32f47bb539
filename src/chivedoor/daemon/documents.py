"""Distribution of configuration documents to and between balancers."""

import asyncio
from collections.abc import Callable
import time

from chivedoor import exceptions as base_exceptions
from chivedoor import ids
from chivedoor.configservice import client as clients
from chivedoor.configuration import difference as differences
from chivedoor.configuration import encoding
from chivedoor.configuration import exceptions as configuration_errors
from chivedoor.configuration import store as stores
from chivedoor.control import board as board_module
from chivedoor.control import channel as channels
from chivedoor.control import messages
from chivedoor.daemon import const
from chivedoor.daemon import traffic
from chivedoor.membership import members as members_module
from chivedoor.routing import hashing
from chivedoor.routing import ownership
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logs_module

_TOPIC = "document"
# Key in the ranking that also selects the owners of targets; the balancers
# ranked first for it are the readers and announcers of a failure domain.
_RANKING_KEY = ids.EndpointNumber(0)


class DocumentSynchronizer:
    """Fetches new documents from the platform or from peers.

    Two balancers of each failure domain, the readers, watch the platform.
    They announce each new version over gossip, and so do a few other
    balancers as soon as they have it. Every balancer without the version
    pulls it from one of the announcers.
    """

    def __init__(
        self,
        *,
        members: members_module.Members,
        board: board_module.Board,
        channel: channels.Channel,
        platform: clients.PlatformClient,
        clock: traffic.Clock,
        logs: logs_module.Logs,
        handle_change: Callable[[], None],
    ) -> None:
        self.store = stores.DocumentStore()
        self._members = members
        self._board = board
        self._channel = channel
        self._platform = platform
        self._clock = clock
        self._logs = logs
        self._handle_change = handle_change
        self._watch_task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._announced_at_s = -const.CONFIRMATION_INTERVAL_S
        self._unsubscribe = board.subscribe(_TOPIC, self._handle_entry)
        channel.register(messages.DocumentRequest, self._async_handle_request)

    async def async_close(self) -> None:
        """Unsubscribes and cancels the watch and the pull."""
        self._unsubscribe()
        tasks = [task for task in (self._watch_task, self._pull_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_role(self) -> None:
        """Watches the platform if this balancer is a reader.

        Also announces the version if needed and starts a pull.
        """
        is_reader = self._is_reader()
        if is_reader and (self._watch_task is None or self._watch_task.done()):
            self._watch_task = asyncio.create_task(self._async_watch())
        elif not is_reader and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        # This balancer may have become an announcer because others died.
        if self._has_unannounced_version():
            self._announce()
        self._start_pull()

    def _is_reader(self) -> bool:
        return self._is_ranked_within(const.READERS_PER_DOMAIN)

    def _is_ranked_within(self, count: int) -> bool:
        """Returns whether this balancer is among the first `count` ranked."""
        local = self._members.local
        candidates = self._members.replica_candidates(local.domain)
        return local.id in ownership.rank_owners(
            _RANKING_KEY, candidates, count
        )

    # Documents from the platform.

    async def _async_watch(self) -> None:
        while True:
            try:
                reading = await self._platform.async_watch_document(
                    self.store.version
                )
            except base_exceptions.ChivedoorError:
                # The client delays the next call itself.
                continue
            now = self._clock()
            if reading.comparison is clients.VersionComparison.NEWER:
                self._accept_from_platform(reading.data)
            elif reading.comparison is clients.VersionComparison.CURRENT:
                self.store.confirm(reading.version, reading.age_s, now)
            else:
                self._log_older(reading.version)
            self._announce()

    def _log_older(self, version: ids.Version) -> None:
        self._logs.write_event(
            events.DocumentOlder(document_version=version, source="platform")
        )

    def _accept_from_platform(self, body: bytes) -> None:
        try:
            self.store.accept_data(
                body,
                self._clock(),
                wall_clock_s=time.time(),
                confirmed_age_s=0.0,
            )
        except configuration_errors.DocumentError as error:
            self._log_rejected(error, "platform")
            return
        self._handle_accepted("platform")

    # Exchange with peers.

    def _announce(self) -> None:
        if not self.store.version:
            return
        if not self._is_ranked_within(const.ANNOUNCERS_PER_DOMAIN):
            return
        now = self._clock()
        is_new = self._has_unannounced_version()
        waited_s = now - self._announced_at_s
        if is_new or waited_s >= const.CONFIRMATION_INTERVAL_S:
            self._announced_at_s = now
            age_s = min(
                self.store.confirmed_age(now), const.MAX_CONFIRMED_AGE_S
            )
            self._board.publish(
                _TOPIC, [self.store.version, round(age_s, 1)], is_new, now
            )

    def _has_unannounced_version(self) -> bool:
        entry = self._board.get_from(_TOPIC, self._members.local.id)
        announced = 0 if entry is None else entry.value[0]
        return announced < self.store.version

    def _handle_entry(
        self, topic: str, origin: ids.VmId, entry: board_module.Entry | None
    ) -> None:
        del topic
        if entry is None or origin == self._members.local.id:
            return
        version, age_s = entry.value
        self.store.confirm(version, age_s, self._clock())
        self._start_pull()

    def _start_pull(self) -> None:
        if self._pull_task is not None and not self._pull_task.done():
            return
        if self._list_sources():
            self._pull_task = asyncio.create_task(self._async_pull())

    def _list_sources(self) -> list[ids.VmId]:
        """Returns the balancers that announced a newer version.

        They are sorted by version, newest first. Balancers with the same
        version are in an order that differs for each requester, since one
        source cannot serve all of them.
        """
        local_id = self._members.local.id
        newer = [
            entry
            for entry in self._board.get(_TOPIC)
            if entry.value[0] > self.store.version and entry.origin != local_id
        ]
        newer.sort(
            key=lambda entry: (
                entry.value[0],
                hashing.score_owner(
                    _RANKING_KEY, ids.VmId(f"{local_id}/{entry.origin}")
                ),
            ),
            reverse=True,
        )
        return [entry.origin for entry in newer]

    async def _async_pull(self) -> None:
        while sources := self._list_sources():
            for source in sources:
                if await self._async_pull_from(source):
                    break
            else:
                await asyncio.sleep(const.DOCUMENT_RETRY_DELAY_S)

    async def _async_pull_from(self, source: ids.VmId) -> bool:
        request = messages.DocumentRequest(known_version=self.store.version)
        try:
            reply = await self._channel.async_request(
                source, request, const.DOCUMENT_TIMEOUT_S
            )
            self._apply_reply(reply)
        except configuration_errors.DocumentError as error:
            self._log_rejected(error, "peer")
            return False
        except base_exceptions.ChivedoorError:
            return False
        return True

    def _apply_reply(self, reply: messages.DocumentReply) -> None:
        before = self.store.version
        now = self._clock()
        if reply.change is not None:
            changes = [
                differences.decode_difference(data)
                for data in reply.change.split(const.DIFFERENCE_SEPARATOR)
            ]
            self.store.accept_differences(
                changes,
                now,
                wall_clock_s=time.time(),
                confirmed_age_s=reply.confirmed_age_s,
            )
        elif reply.document is not None:
            self.store.accept_data(
                reply.document,
                now,
                wall_clock_s=time.time(),
                confirmed_age_s=reply.confirmed_age_s,
            )
        if self.store.version > before:
            self._handle_accepted("peer")

    async def _async_handle_request(
        self, request: messages.DocumentRequest
    ) -> messages.DocumentReply:
        known = ids.Version(request.known_version)
        changes = self.store.get_differences(known)
        change = None
        document = None
        if known < self.store.version:
            if changes:
                change = const.DIFFERENCE_SEPARATOR.join(
                    differences.encode_difference(c) for c in changes
                )
            elif self.store.document is not None:
                document = encoding.format_document(self.store.document)
        return messages.DocumentReply(
            version=self.store.version,
            change=change,
            document=document,
            confirmed_age_s=self.store.confirmed_age(self._clock()),
        )

    def _handle_accepted(self, source: str) -> None:
        self._handle_change()
        self._announce()
        document = self.store.document
        self._logs.write_event(
            events.DocumentAccepted(
                document_version=self.store.version,
                source=source,
                services=len(document.services),
                endpoints=sum(
                    len(service.endpoints)
                    for service in document.services.values()
                ),
            )
        )

    def _log_rejected(
        self, error: configuration_errors.DocumentError, source: str
    ) -> None:
        listed = [str(fault) for fault in error.faults]
        self._logs.write_event(
            events.DocumentRejected(
                document_version=self.store.version,
                source=source,
                faults=listed[: const.MAX_LOGGED_FAULTS],
            )
        )
