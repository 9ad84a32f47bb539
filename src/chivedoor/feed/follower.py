"""Follower, which reads a source of records and watches it for changes."""

import asyncio
from collections.abc import Callable
import enum
import random
from typing import Protocol

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import full_read as full_reads
from chivedoor.feed import records


class Source(Protocol):
    """Source of records.

    Attributes:
        transfer_s: Time from the first to the last byte of the last response,
            in seconds.
    """

    transfer_s: float

    async def async_read_page(self, after: str) -> records.Page:
        """Reads the page that follows a key; "" reads the first page.

        Raises:
            FeedError: The page could not be read.
        """

    async def async_wait(
        self, after: records.Revision, wait_s: float
    ) -> records.Batch:
        """Waits up to `wait_s` seconds for changes after a revision.

        Raises:
            ResponseTooLargeError: The changes are larger than a full read.
            FeedError: The changes could not be read.
        """

    def close(self) -> None:
        """Closes the connection."""


class FollowerState(enum.Enum):
    """State of the connection to the source."""

    STARTING = "starting"
    FOLLOWING = "following"
    LOST = "lost"


class Follower:
    """Reads all records once and then watches for changes.

    Attributes:
        state: State of the connection to the source.
        failures: Number of failed calls.
    """

    def __init__(
        self,
        *,
        source: Source,
        deliver: Callable[[records.Batch, float], None],
        on_state_change: Callable[[FollowerState, str], None],
        clock: Callable[[], float],
        generator: random.Random,
        get_max_delay_s: Callable[[], float] = lambda: const.RETRY_MAX_DELAY_S,
        has_peers: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a follower that does not run yet.

        Args:
            source: The source of records.
            deliver: Called with each batch and the time at which it was known
                to be current.
            on_state_change: Called with the new state and a reason.
            clock: Returns the current time in seconds.
            generator: Source of randomness for the retry jitter.
            get_max_delay_s: Returns the largest delay of a retry in seconds.
            has_peers: Returns whether a peer may be found that reads.
        """
        self.state = FollowerState.STARTING
        self.failures = 0
        self._source = source
        self._deliver = deliver
        self._on_state_change = on_state_change
        self._clock = clock
        self._generator = generator
        self._get_max_delay_s = get_max_delay_s
        self._has_peers = has_peers
        self._revision: records.Revision | None = None
        # Whether the next read is a full read, because the link is too slow for
        # each change of large values.
        self._newest_only = False
        # Whether the next wait is the first one after the first full read.
        self._starting = True
        # The full read in progress.
        self._full_read: full_reads.FullRead | None = None

    def restart_at(self, revision: records.Revision | None) -> None:
        """Sets the revision to resume from; None starts with a full read."""
        self._revision = revision
        self._starting = revision is None

    async def async_run(self) -> None:
        """Follows the source until cancelled."""
        delay_s = const.RETRY_INITIAL_DELAY_S
        try:
            while True:
                try:
                    await self._async_read()
                except exceptions.HistoryLostError as error:
                    self._revision = None
                    self._record_failure(error)
                except exceptions.FeedError as error:
                    self._record_failure(error)
                    await asyncio.sleep(self._add_jitter(delay_s))
                    delay_s = min(
                        self._get_max_delay_s(),
                        delay_s * const.RETRY_BACKOFF_FACTOR,
                    )
                else:
                    delay_s = const.RETRY_INITIAL_DELAY_S
        finally:
            self._source.close()

    async def _async_read(self) -> None:
        former = self._revision
        if former is None or self._newest_only:
            batch, sent_at, transfer_s = await self._async_read_all()
        else:
            wait_s = const.WATCH_WAIT_S
            if self._starting and self._has_peers():
                await asyncio.sleep(
                    const.FIRST_WATCH_DELAY_S - const.WATCH_BATCH_DELAY_S
                )
                wait_s = const.FIRST_WATCH_WAIT_S
            self._starting = False
            sent_at = self._clock()
            try:
                batch = await self._source.async_wait(former, wait_s)
            except exceptions.ResponseTooLargeError:
                self._newest_only = True
                return
            transfer_s = self._source.transfer_s
            # The source held nothing newer when it began to respond.
            sent_at = max(
                sent_at, self._clock() - transfer_s - const.RESPONSE_TRANSIT_S
            )
        self._revision = batch.revision
        self._deliver(batch, sent_at)
        self._set_state(FollowerState.FOLLOWING, "")
        large = _sum_sizes(batch) >= const.NEWEST_ONLY_BYTES
        slow = transfer_s > const.NEWEST_ONLY_TRANSFER_S
        # Changes that came meanwhile are read as one.
        self._newest_only = (
            (large or slow)
            and former is not None
            and any(record.revision > former for record in batch.records)
        )
        if batch.records:
            delay_s = (
                const.LARGE_BATCH_DELAY_S
                if large
                else const.WATCH_BATCH_DELAY_S
            )
            await asyncio.sleep(max(0.0, delay_s - transfer_s))

    async def _async_read_all(self) -> tuple[records.Batch, float, float]:
        """Reads all pages; after a failure, resumes with the missing ones.

        Returns:
            All records, the time at which the first page was requested, and
            how long the transfer of the pages took, in seconds.
        """
        now = self._clock()
        full_read = self._full_read
        if (
            full_read is None
            or now - full_read.started_at > const.FULL_READ_LIFETIME_S
        ):
            full_read = self._full_read = full_reads.FullRead(started_at=now)
        try:
            complete = False
            while not complete:
                page = await self._source.async_read_page(full_read.after)
                full_read.transfer_s += self._source.transfer_s
                complete = full_read.add(page)
        except (
            exceptions.HistoryLostError,
            exceptions.MalformedAnswerError,
            exceptions.ResponseTooLargeError,
        ):
            self._full_read = None
            raise
        self._full_read = None
        return (
            full_read.make_batch(),
            full_read.started_at,
            full_read.transfer_s,
        )

    def _record_failure(self, error: exceptions.FeedError) -> None:
        self.failures += 1
        self._set_state(FollowerState.LOST, f"{type(error).__name__}: {error}")

    def _set_state(self, state: FollowerState, reason: str) -> None:
        if state is not self.state:
            self.state = state
            self._on_state_change(state, reason)

    def _add_jitter(self, delay_s: float) -> float:
        jitter = const.RETRY_JITTER * self._generator.random()
        return delay_s * (1.0 - jitter)


def _sum_sizes(batch: records.Batch) -> int:
    return sum(len(record.value or b"") for record in batch.records)
