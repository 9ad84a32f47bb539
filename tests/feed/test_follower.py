"""Tests for the follower: full reads, the watch and retries."""

import asyncio
import contextlib
import random

import pytest

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import follower as followers
from chivedoor.feed import records
from tests.feed import conftest


@pytest.fixture
def events() -> list:
    return []


@pytest.fixture
async def follow(source, events, monkeypatch):
    monkeypatch.setattr(const, "RETRY_INITIAL_DELAY_S", 0.001)
    monkeypatch.setattr(const, "RETRY_MAX_DELAY_S", 0.002)
    monkeypatch.setattr(const, "WATCH_BATCH_DELAY_S", 0.0)
    follower = followers.Follower(
        source=source,
        deliver=lambda batch, at: events.append(batch.revision.number),
        on_state_change=lambda state, reason: events.append(state),
        clock=lambda: 1.0,
        generator=random.Random(1),
    )
    tasks = []

    def start() -> followers.Follower:
        tasks.append(asyncio.create_task(follower.async_run()))
        return follower

    yield start
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    assert source.closed == len(tasks)


async def test_changes_follow_the_full_read(
    source, events, follow, async_wait_until
) -> None:
    """Guards against lost changes between the full read and the watch."""
    source.answers = [
        conftest.make_batch(revision=5, complete=True),
        conftest.make_batch(revision=6),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 3)
    assert source.calls == [None, 5, 6]
    assert events == [5, followers.FollowerState.FOLLOWING, 6]


@pytest.mark.parametrize(("has_peers", "calls"), [(True, 1), (False, 3)])
async def test_first_watch_waits_for_a_reader_to_be_found(
    source, monkeypatch, has_peers: bool, calls: int
) -> None:
    """Guards against balancers that all watch when they start together."""
    monkeypatch.setattr(const, "WATCH_BATCH_DELAY_S", 0.0)
    source.answers = [
        conftest.make_batch(revision=5, complete=True),
        conftest.make_batch(revision=6),
    ]
    follower = followers.Follower(
        source=source,
        deliver=lambda batch, at: None,
        on_state_change=lambda state, reason: None,
        clock=lambda: 1.0,
        generator=random.Random(1),
        has_peers=lambda: has_peers,
    )
    task = asyncio.create_task(follower.async_run())
    await asyncio.sleep(0.1)
    assert len(source.calls) == calls
    task.cancel()


async def test_lost_history_causes_full_read(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a watch that continues after the history was lost."""
    source.answers = [
        conftest.make_batch(revision=5, complete=True),
        exceptions.HistoryLostError("410"),
        conftest.make_batch(revision=9, complete=True),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 4)
    assert source.calls == [None, 5, None, 9]


async def test_source_that_fails_is_reported_once_and_retried(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a log line for each failed call in a long outage."""
    lost = exceptions.SourceUnreachableError("timeout")
    source.answers = [lost, exceptions.SourceRefusedError(503), lost]
    source.answers.append(conftest.make_batch(revision=5, complete=True))
    follow()
    await async_wait_until(lambda: len(source.calls) == 5)
    assert events == [
        followers.FollowerState.LOST,
        5,
        followers.FollowerState.FOLLOWING,
    ]


async def test_follower_resumes_from_a_known_revision(
    source, follow, async_wait_until
) -> None:
    """Guards against a full read when a peer has delivered the changes."""
    source.answers = [conftest.make_batch(revision=12)]
    follower = follow()
    follower.restart_at(conftest.make_revision(11))
    await async_wait_until(lambda: len(source.calls) == 2)
    assert source.calls == [11, 12]


def make_page(
    key: str, revision: int, *, has_more: bool, era: int = 1
) -> records.Page:
    return records.Page(
        records=(conftest.make_record(key, b"{}", revision, era),),
        revision=conftest.make_revision(revision, era),
        has_more=has_more,
    )


async def test_full_read_restarts_when_the_store_is_restored(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a view made of pages from before and after."""
    source.answers = [
        make_page("a", 9, has_more=True),
        make_page("b", 5, has_more=False, era=2),
        make_page("a", 5, has_more=False, era=2),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 4)
    assert source.pages == ["", "a", ""]
    assert 5 in events


async def test_failed_page_is_retried_alone(
    source, events, follow, async_wait_until
) -> None:
    """Guards against full reads that never complete.

    With 300 balancers and 3,000 endpoints, a full read takes 60 calls. After
    all balancers were killed, the store refused most calls, each refusal
    restarted a read, and the service recovered only after 9.5 s.
    """
    source.answers = [
        make_page("a", 5, has_more=True),
        exceptions.SourceRefusedError(429),
        make_page("b", 7, has_more=True),
        exceptions.SourceUnreachableError("timeout"),
        make_page("c", 8, has_more=False),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 6)
    assert source.pages == ["", "a", "a", "b", "b"]
    # The watch returns the changes since the first page.
    assert source.calls[-1] == 5
    assert 5 in events


async def test_expired_full_read_is_restarted(source, async_wait_until) -> None:
    """Guards against a view made of pages read minutes apart."""
    now = [1.0]
    follower = followers.Follower(
        source=source,
        deliver=lambda batch, at: None,
        on_state_change=lambda state, reason: None,
        clock=lambda: now[0],
        generator=random.Random(1),
    )
    source.answers = [
        make_page("a", 5, has_more=True),
        exceptions.SourceRefusedError(429),
        make_page("a", 9, has_more=False),
    ]
    task = asyncio.create_task(follower.async_run())
    await async_wait_until(lambda: len(source.calls) == 2)
    now[0] += const.FULL_READ_LIFETIME_S + 1.0
    await async_wait_until(lambda: len(source.calls) == 4)
    assert source.pages == ["", "a", ""]
    assert source.calls[-1] == 9
    task.cancel()


async def test_repeated_page_is_malformed(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a store that returns the same page forever."""
    page = make_page("a", 5, has_more=True)
    source.answers = [page, page, make_page("a", 6, has_more=False)]
    follow()
    await async_wait_until(lambda: len(source.calls) == 4)
    assert source.pages == ["", "a", ""]
    assert events[0] is followers.FollowerState.LOST


def make_change(revision: int) -> records.Batch:
    return conftest.make_batch(
        conftest.make_record("k", b"v", revision), revision=revision
    )


async def test_newest_values_are_read_after_a_slow_transfer(
    source, follow, async_wait_until
) -> None:
    """Guards against falling behind, with each version read on its own.

    If versions come faster than the link carries them, each watch returns more
    of them and takes longer than the one before.
    """
    source.transfer_s = const.NEWEST_ONLY_TRANSFER_S + 0.1
    source.answers = [
        make_page("k", 5, has_more=False),
        make_change(6),
        make_page("k", 9, has_more=False),
        # Nothing has changed since, so the watch goes on.
        make_page("k", 9, has_more=False),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 5)
    assert source.calls == [None, 5, None, None, 9]


async def test_newest_values_are_read_after_a_large_change(
    source, follow, monkeypatch, async_wait_until
) -> None:
    """Guards against a source that returns one of many versions at a time.

    A route that the newest version had dropped was used for some 4 s.
    """
    monkeypatch.setattr(const, "LARGE_BATCH_DELAY_S", 0.0)
    value = b"v" * const.NEWEST_ONLY_BYTES
    source.answers = [
        conftest.make_batch(
            conftest.make_record("k", value, number),
            revision=number,
            complete=number != 6,
        )
        for number in (5, 6, 20, 20)
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 5)
    assert source.calls == [None, 5, None, None, 20]


async def test_too_many_versions_cause_a_full_read_at_once(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a watch that fails until its history is lost.

    With responses above the limit of 4 MiB, nothing was read for 18 s.
    """
    source.answers = [
        make_page("k", 5, has_more=False),
        exceptions.ResponseTooLargeError("9 MB"),
        make_page("k", 9, has_more=False),
    ]
    follow()
    await async_wait_until(lambda: len(source.calls) == 4)
    assert source.calls == [None, 5, None, 9]
    assert followers.FollowerState.LOST not in events


async def test_page_that_is_too_large_is_retried_with_a_delay(
    source, events, follow, async_wait_until
) -> None:
    """Guards against a busy loop of reads that cannot succeed."""
    too_large = exceptions.ResponseTooLargeError("9 MB")
    source.answers = [too_large, make_page("k", 5, has_more=False)]
    follow()
    await async_wait_until(lambda: len(source.calls) == 3)
    assert events[0] is followers.FollowerState.LOST


async def test_time_of_a_transfer_counts_as_age(
    source, monkeypatch, async_wait_until
) -> None:
    """Guards against a view that claims to be younger than it is.

    A response counted as a quarter of a second old, however long its body had
    taken over a slow link.
    """
    monkeypatch.setattr(const, "WATCH_BATCH_DELAY_S", 0.0)
    now = [100.0]
    confirmed: list[float] = []

    class SlowSource(conftest.Source):
        async def async_wait(self, after, wait_s):
            now[0] += 3.0
            self.transfer_s = 2.0
            return await super().async_wait(after, wait_s)

    slow = SlowSource()
    slow.answers = [make_page("k", 5, has_more=False), make_change(6)]
    follower = followers.Follower(
        source=slow,
        deliver=lambda batch, at: confirmed.append(at),
        on_state_change=lambda state, reason: None,
        clock=lambda: now[0],
        generator=random.Random(1),
    )
    task = asyncio.create_task(follower.async_run())
    await async_wait_until(lambda: len(confirmed) == 2)
    assert confirmed[1] == pytest.approx(101.0 - const.RESPONSE_TRANSIT_S)
    task.cancel()
