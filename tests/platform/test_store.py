"""Tests of the store client against a stand-in with faults."""

import time

import pytest

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import full_read as full_reads
from chivedoor.feed import records
from chivedoor.feed import transfers as transfer_module
from chivedoor.platform import const as platform_const
from chivedoor.platform import store as stores
from standins import bandwidth
from standins import store as store_stand_in
from standins.echo import proxy

StoreFault = store_stand_in.StoreFault


@pytest.fixture
async def stand_in():
    opened = store_stand_in.StoreStandIn()
    await opened.async_open()
    yield opened
    await opened.async_close()


@pytest.fixture
def durations() -> list[float]:
    return []


@pytest.fixture
def transfers() -> list[transfer_module.Transfer]:
    return []


@pytest.fixture
async def store(stand_in, monkeypatch, durations, transfers):
    monkeypatch.setattr(const, "READ_TIMEOUT_S", 0.5)
    monkeypatch.setattr(const, "WATCH_TIMEOUT_MARGIN_S", 0.3)
    opened = stores.StoreClient(
        feed=records.Feed.ENDPOINTS,
        host="127.0.0.1",
        port=stand_in.port,
        observe_call=durations.append,
        clock=time.monotonic,
        observe_transfer=transfers.append,
    )
    yield opened
    opened.close()


async def async_read_all(store):
    """Reads all pages without retries."""
    full_read = full_reads.FullRead(started_at=0.0)
    while not full_read.add(await store.async_read_page(full_read.after)):
        pass
    return full_read.make_batch()


async def test_all_pages_are_read(store, stand_in) -> None:
    """Guards against losing the endpoints after the first page."""
    stand_in.page_items = 3
    for number in range(10):
        stand_in.put(f"servers/i-{number}", {"n": number})
    batch = await async_read_all(store)
    assert len(batch.records) == 10
    assert batch.complete
    assert batch.revision == records.Revision(era=ids.Era(1), number=11)
    assert stand_in.calls == ["range"] * 4


async def test_watch_returns_changes_and_removals(store, stand_in) -> None:
    """Guards against decoding deletions as empty values."""
    stand_in.put("servers/a", {"n": 1})
    batch = await async_read_all(store)
    stand_in.put("servers/b", {"n": 2})
    stand_in.remove("servers/a")
    batch = await store.async_wait(batch.revision, 1.0)
    assert [(r.key, r.value) for r in batch.records] == [
        ("servers/b", b'{"n": 2}'),
        ("servers/a", None),
    ]
    assert not batch.complete


async def test_wait_without_changes_returns_empty_batch(
    store, stand_in
) -> None:
    """Guards against a watch that looks like a lost connection when idle."""
    batch = await async_read_all(store)
    again = await store.async_wait(batch.revision, 0.05)
    assert again.records == ()
    assert again.revision == batch.revision


async def test_lost_history_raises_history_lost_error(store, stand_in) -> None:
    """Guards against retrying a watch that can never succeed."""
    batch = await async_read_all(store)
    stand_in.put("servers/a", {})
    stand_in.forget_history()
    with pytest.raises(exceptions.HistoryLostError):
        await store.async_wait(batch.revision, 0.05)


async def test_watch_across_a_restoration_raises_history_lost_error(
    store, stand_in
) -> None:
    """Guards against changes that are skipped after a restoration.

    The restored store has given out the last known number again, so a watch
    would return later changes only.
    """
    copy = stand_in.make_copy()
    stand_in.put("servers/a", {"n": 1})
    batch = await async_read_all(store)
    stand_in.restore(copy)
    with pytest.raises(exceptions.HistoryLostError):
        await store.async_wait(batch.revision, 0.05)
    for number in range(3):
        stand_in.put("servers/b", {"n": number})
    with pytest.raises(exceptions.HistoryLostError):
        await store.async_wait(batch.revision, 0.05)
    again = await async_read_all(store)
    assert again.revision > batch.revision
    assert [record.key for record in again.records] == ["servers/b"]


async def test_store_without_eras_is_followed(store, stand_in) -> None:
    """Guards against refusing a store that names no era."""
    stand_in.era = None
    stand_in.put("servers/a", {})
    batch = await async_read_all(store)
    assert batch.revision == records.Revision(era=ids.Era(0), number=2)
    assert (await store.async_wait(batch.revision, 0.05)).records == ()


@pytest.mark.parametrize("era", [1, "x", "", "9" * 19, "-3"])
async def test_invalid_or_former_era_is_malformed(store, stand_in, era) -> None:
    """Guards against following an outdated copy of the store."""
    stand_in.era = 2
    await async_read_all(store)
    stand_in.era = era
    with pytest.raises(exceptions.MalformedAnswerError):
        await async_read_all(store)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (StoreFault.BUSY, exceptions.SourceRefusedError),
        (StoreFault.MANY, exceptions.SourceRefusedError),
        (StoreFault.CLOSE, exceptions.SourceUnreachableError),
        (StoreFault.SILENT, exceptions.SourceUnreachableError),
        (StoreFault.BROKEN_BODY, exceptions.MalformedAnswerError),
        (StoreFault.CUT_BODY, exceptions.SourceUnreachableError),
    ],
)
async def test_call_succeeds_after_a_failed_call(
    store, stand_in, fault, error
) -> None:
    """Guards against reusing a connection after a failed call."""
    stand_in.put("servers/a", {"n": 1})
    stand_in.fault = fault
    with pytest.raises(error):
        await async_read_all(store)
    stand_in.fault = None
    batch = await async_read_all(store)
    assert len(batch.records) == 1


async def test_endless_body_is_bounded(store, stand_in, monkeypatch) -> None:
    """Guards against a response that exhausts the memory of a VM."""
    monkeypatch.setattr(platform_const, "MAX_BODY_BYTES", 1_000_000)
    stand_in.fault = StoreFault.ENDLESS_BODY
    with pytest.raises(exceptions.ResponseTooLargeError):
        await async_read_all(store)


async def test_hanging_watch_times_out(store, stand_in, durations) -> None:
    """Guards against a stale view because of an unresponsive connection."""
    batch = await async_read_all(store)
    stand_in.fault = StoreFault.SILENT
    with pytest.raises(exceptions.SourceUnreachableError):
        await store.async_wait(batch.revision, 0.1)
    assert durations[-1] < 0.1 + const.WATCH_TIMEOUT_MARGIN_S + 1.0


async def test_refused_connection_raises_source_unreachable_error(
    store, stand_in
) -> None:
    """Guards against other exceptions when the store is down."""
    await stand_in.async_close()
    with pytest.raises(exceptions.SourceUnreachableError):
        await async_read_all(store)


async def test_broken_transfer_is_reported_with_its_size(
    store, stand_in, transfers
) -> None:
    """Guards against logs that hide a slow link behind a time-out.

    A store that sends nothing and a link that is too slow for a response both
    ended in the same error.
    """
    stand_in.fault = StoreFault.CUT_BODY
    with pytest.raises(exceptions.SourceUnreachableError):
        await async_read_all(store)
    stand_in.fault = None
    await async_read_all(store)
    stand_in.fault = StoreFault.SILENT
    with pytest.raises(exceptions.SourceUnreachableError):
        await async_read_all(store)
    assert [transfer.complete for transfer in transfers] == [False, True]
    assert transfers[0].size_bytes > len(b'{"items": [')


async def test_response_goes_on_while_bytes_arrive(
    store, stand_in, monkeypatch
) -> None:
    """Guards against large responses that never fit into a time limit.

    A transfer that is broken off begins with its first byte again, so that a
    balancer behind a slow link never read the configuration.
    """
    monkeypatch.setattr(const, "READ_TIMEOUT_S", 0.2)
    stand_in.put("op/config", {"x": "y" * 400_000})
    slow = proxy.Proxy(
        listen=("127.0.0.1", 0), target=("127.0.0.1", stand_in.port)
    )
    slow.link = bandwidth.make_link(mbps=5.0)
    await slow.async_open()
    behind = stores.StoreClient(
        feed=records.Feed.CONFIGURATION,
        host="127.0.0.1",
        port=slow.address[1],
        observe_call=lambda duration_s: None,
        clock=time.monotonic,
    )
    batch = await async_read_all(behind)
    behind.close()
    await slow.async_close()
    assert len(batch.records) == 1


async def test_stalled_response_is_broken_off(
    store, stand_in, monkeypatch, durations
) -> None:
    """Guards against a read that waits for the rest of a response forever."""
    monkeypatch.setattr(const, "TRANSFER_STALL_S", 0.3)
    stand_in.fault = StoreFault.STALLED_BODY
    with pytest.raises(exceptions.SourceUnreachableError):
        await async_read_all(store)
    assert durations[-1] < 2.0


async def test_trickling_response_is_broken_off(
    store, stand_in, monkeypatch, durations
) -> None:
    """Guards against a response that arrives for minutes."""
    monkeypatch.setattr(const, "TRANSFER_MAX_S", 0.6)
    stand_in.fault = StoreFault.TRICKLING_BODY
    with pytest.raises(exceptions.SourceUnreachableError):
        await async_read_all(store)
    assert durations[-1] < 2.0


@pytest.mark.parametrize("fault", [None, StoreFault.ENDLESS_BODY])
async def test_watch_with_many_versions_is_refused(
    store, stand_in, monkeypatch, fault
) -> None:
    """Guards against a link that is full of replaced configurations."""
    batch = await async_read_all(store)
    for number in range(10):
        stand_in.put("servers/i-1", {"version": number, "x": "y" * 20_000})
    monkeypatch.setattr(const, "MAX_WATCH_BYTES", 100_000)
    # The length of an endless body is not known beforehand.
    stand_in.fault = fault
    with pytest.raises(exceptions.ResponseTooLargeError):
        await store.async_wait(batch.revision, 1.0)
    stand_in.fault = None
    assert len((await async_read_all(store)).records) == 1


async def test_each_client_reads_its_own_feed(store, stand_in) -> None:
    """Guards against changes of endpoints that wait for a configuration."""
    stand_in.put("op/config", {"version": 1})
    stand_in.put("servers/a", {"n": 1})
    batch = await async_read_all(store)
    assert [record.key for record in batch.records] == ["servers/a"]
    stand_in.put("op/config", {"version": 2})
    batch = await store.async_wait(batch.revision, 0.05)
    assert batch.records == ()
