"""Selection between reading the store and subscribing to a peer."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import enum
import functools

from chivedoor.feed import const
from chivedoor.feed import follower as followers
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.feed import relay
from chivedoor.feed import table
from chivedoor.feed import transfers


class ReadingMode(enum.Enum):
    """Source of changes."""

    STORE = "store"
    PEER = "peer"
    BOTH = "both"


def choose_mode(
    *,
    reader_known: bool,
    subscribed: bool,
    view_age_s: float | None,
    reading_for_s: float | None,
    expecting_view: bool = False,
    receiving: bool = False,
) -> ReadingMode:
    """Returns the source of changes.

    A balancer whose view is not confirmed in time reads the store itself, even
    if it is subscribed to a reader. A stalled reader therefore costs additional
    store calls but never delays a change.

    Args:
        reader_known: Whether a peer can act as the reader.
        subscribed: Whether a subscription to the reader is open.
        view_age_s: Age of the local view in seconds, None without a view.
        reading_for_s: Time since this balancer started to read the store, in
            seconds; None if it does not read, or if it began without a view:
            then it leaves the store to a reader as soon as it finds one.
        expecting_view: Whether the first view is expected from a peer shortly.
        receiving: Whether a frame from the reader is arriving. An own read
            would load the link with the same bytes again.
    """
    if not reader_known:
        return ReadingMode.STORE
    if subscribed and (expecting_view or receiving) and view_age_s is None:
        return ReadingMode.PEER
    # An own read that has begun is not broken off for a frame.
    waiting = receiving and reading_for_s is None
    stale = view_age_s is None or (
        view_age_s > const.SELF_READ_VIEW_AGE_S and not waiting
    )
    if stale or not subscribed:
        return ReadingMode.BOTH
    if (
        reading_for_s is not None
        and reading_for_s < const.SELF_READ_MIN_DURATION_S
    ):
        return ReadingMode.BOTH
    return ReadingMode.PEER


class _FeedReader:
    """Reads a feed from the store while no reader delivers it in time.

    Attributes:
        mode: Current source of changes.
    """

    def __init__(
        self,
        *,
        make_follower: Callable[[], followers.Follower],
        records_table: table.RecordTable,
        clock: Callable[[], float],
    ) -> None:
        self.mode = ReadingMode.STORE
        self._make_follower = make_follower
        self._table = records_table
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        # None also for a follower that has read the first view.
        self._started_at: float | None = None

    def get_reading_for_s(self) -> float | None:
        """Returns the argument of `choose_mode` with this name."""
        if self._started_at is None:
            return None
        return self._clock() - self._started_at

    def apply_mode(self, mode: ReadingMode) -> bool:
        """Starts or stops to read; returns whether the mode changed."""
        if mode is ReadingMode.PEER:
            self.stop()
        elif self._task is None:
            self._start()
        former, self.mode = self.mode, mode
        return mode is not former

    def stop(self) -> None:
        """Stops to read."""
        task, self._task = self._task, None
        self._started_at = None
        if task is not None:
            task.cancel()

    def check(self) -> None:
        """Raises the exception that ended the follower, if any."""
        if self._task is not None and self._task.done():
            self._task.result()

    def _start(self) -> None:
        follower = self._make_follower()
        revision = self._table.revision
        has_view = revision != records.NO_REVISION
        follower.restart_at(revision if has_view else None)
        self._task = asyncio.create_task(follower.async_run())
        if has_view:
            self._started_at = self._clock()


class Coordinator:
    """Runs the followers of the store and the subscription to a peer."""

    def __init__(
        self,
        *,
        peers: peer_sets.Peers,
        make_follower: Callable[[records.Feed], followers.Follower],
        deliver: Callable[[records.Feed, records.Batch, float], None],
        get_age_s: Callable[[records.Feed], float | None],
        get_read_age_s: Callable[[], float | None],
        tables: Mapping[records.Feed, table.RecordTable],
        on_mode_change: Callable[[records.Feed, ReadingMode, str], None],
        on_subscription_end: Callable[[str, str], None],
        local_host: str,
        peer_port: int,
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a coordinator that does not read yet.

        Args:
            peers: The known peers.
            make_follower: Returns a new follower of a feed of the store.
            deliver: Called with each batch of a feed from a peer and the time
                at which it was known to be current.
            get_age_s: Returns the age of a feed of the view in seconds.
            get_read_age_s: Returns the time since this balancer last read the
                store itself, in seconds.
            tables: The records of the view.
            on_mode_change: Called with a feed, its mode and the reader's id
                when the mode changes.
            on_subscription_end: Called with the reader's address and a reason
                when a subscription ends.
            local_host: The local address of subscriptions.
            peer_port: The port of the relays.
            clock: Returns the current time in seconds.
            observe_transfer: Called with each frame from a peer.
        """
        self._peers = peers
        self._deliver = deliver
        self._get_age_s = get_age_s
        self._get_read_age_s = get_read_age_s
        self._tables = tables
        self._on_mode_change = on_mode_change
        self._on_subscription_end = on_subscription_end
        self._local_host = local_host
        self._peer_port = peer_port
        self._clock = clock
        self._observe_transfer = observe_transfer
        self._readers = {
            feed: _FeedReader(
                make_follower=functools.partial(make_follower, feed),
                records_table=tables[feed],
                clock=clock,
            )
            for feed in records.Feed
        }
        self._subscription: relay.Subscription | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._retry_at = 0.0
        # Time until which the first view is expected from a peer.
        self._first_view_deadline = 0.0

    @property
    def modes(self) -> dict[records.Feed, ReadingMode]:
        """The current source of changes of each feed."""
        return {feed: reader.mode for feed, reader in self._readers.items()}

    async def async_run(self) -> None:
        """Runs until cancelled."""
        try:
            await self._async_wait_for_reader()
            while True:
                self.coordinate()
                await asyncio.sleep(const.COORDINATION_INTERVAL_S)
                for reader in self._readers.values():
                    reader.check()
        finally:
            for reader in self._readers.values():
                reader.stop()
            self._unsubscribe()

    async def _async_wait_for_reader(self) -> None:
        """Waits briefly for an active reader to avoid a full store read."""
        ends_at = self._clock() + const.STARTUP_PEER_WAIT_S
        while self._clock() < ends_at:
            if self._peers.has_active_reader(self._clock()):
                self._first_view_deadline = (
                    self._clock() + const.FIRST_VIEW_TIMEOUT_S
                )
                return
            await asyncio.sleep(const.STARTUP_PEER_POLL_S)

    def coordinate(self) -> None:
        """Selects the source of each feed and applies it."""
        now = self._clock()
        self._check_subscription(now)
        peer = self._peers.find_reader(now, self._get_read_age_s())
        self._choose_subscription(peer, now)
        receiving = (
            self._subscription is not None
            and self._subscription.is_receiving(now)
        )
        for feed, reader in self._readers.items():
            mode = choose_mode(
                reader_known=peer is not None,
                subscribed=self._subscription is not None,
                view_age_s=self._get_age_s(feed),
                reading_for_s=reader.get_reading_for_s(),
                expecting_view=now < self._first_view_deadline,
                receiving=receiving,
            )
            if reader.apply_mode(mode):
                self._on_mode_change(
                    feed, mode, peer.vm if peer is not None else ""
                )

    def _check_subscription(self, now: float) -> None:
        """Unsubscribes from a reader that stalls on an open connection."""
        subscription = self._subscription
        if subscription is None or subscription.is_receiving(now):
            return
        if now - subscription.last_frame_at > const.READER_TIMEOUT_S:
            self._peers.mark_failed(subscription.host, now)
            self._unsubscribe()
            self._retry_at = 0.0

    def _choose_subscription(
        self, reader: peer_sets.Peer | None, now: float
    ) -> None:
        if reader is None:
            self._unsubscribe()
            return
        current = self._subscription
        if current is not None and current.host == reader.host:
            return
        if now < self._retry_at:
            return
        self._unsubscribe()
        self._retry_at = now + const.SUBSCRIPTION_RETRY_S
        self._subscription = relay.Subscription(
            host=reader.host,
            port=self._peer_port,
            local_host=self._local_host,
            revisions={
                feed: records_table.revision
                for feed, records_table in self._tables.items()
            },
            large_values=collections.ChainMap(
                *(
                    records_table.find_large_values()
                    for records_table in self._tables.values()
                )
            ),
            deliver=self._deliver,
            on_end=self._on_end,
            clock=self._clock,
            observe_transfer=self._observe_transfer,
        )
        self._connect_task = asyncio.create_task(
            self._subscription.async_open()
        )

    def _on_end(self, subscription: relay.Subscription, reason: str) -> None:
        if subscription is self._subscription:
            self._subscription = None
            self._peers.mark_failed(subscription.host, self._clock())
            self._retry_at = 0.0
            self._on_subscription_end(subscription.host, reason)
            self.coordinate()

    def _unsubscribe(self) -> None:
        subscription, self._subscription = self._subscription, None
        if subscription is not None:
            subscription.close()
