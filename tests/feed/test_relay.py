"""Tests for streaming changes between balancers."""

import asyncio
import contextlib
import random

import cbor2
import pytest

from chivedoor.feed import const
from chivedoor.feed import messages
from chivedoor.feed import records
from chivedoor.feed import relay
from chivedoor.feed import table
from chivedoor.feed import transfers
from tests.feed import conftest

ENDPOINTS = records.Feed.ENDPOINTS
CONFIGURATION = records.Feed.CONFIGURATION


def make_request(
    feed: records.Feed = ENDPOINTS,
    digests: dict[str, int] | None = None,
) -> messages.SubscriptionRequest:
    """Returns a request for all changes of a feed."""
    return messages.SubscriptionRequest(
        revisions={feed: records.NO_REVISION}, digests=digests or {}
    )


class Reader:
    """A relay with its record table."""

    def __init__(self) -> None:
        self.age_s = 0.25
        self.now = 100.0
        self.tables = {feed: table.RecordTable() for feed in records.Feed}
        self.relay = relay.Relay(
            tables=self.tables,
            get_age_s=lambda feed: self.age_s,
            clock=lambda: self.now,
        )
        self.port = 0

    def write(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        feed: records.Feed = ENDPOINTS,
    ) -> None:
        self.tables[feed].merge(
            conftest.make_batch(
                conftest.make_record(key, value, revision), revision=revision
            )
        )
        self.relay.publish(feed)


@pytest.fixture
async def reader():
    created = Reader()
    await created.relay.async_open("127.0.0.1", 0)
    created.port = created.relay._server.sockets[0].getsockname()[1]
    yield created
    created.relay.close()


@pytest.fixture
def subscribe(reader):
    opened = []

    async def async_subscribe(revision: int, ends: list[str], values=None):
        received = table.RecordTable()
        ages: list[float] = []

        def deliver(feed, batch, confirmed_at) -> None:
            received.merge(batch)
            ages.append(200.0 - confirmed_at)

        subscription = relay.Subscription(
            host="127.0.0.1",
            port=reader.port,
            local_host="127.0.0.1",
            revisions=dict.fromkeys(
                records.Feed, conftest.make_revision(revision)
            ),
            large_values=values or {},
            deliver=deliver,
            on_end=lambda _, reason: ends.append(reason),
            clock=lambda: 200.0,
        )
        opened.append(subscription)
        await subscription.async_open()
        return received, ages

    yield async_subscribe
    for subscription in opened:
        subscription.close()


async def test_subscriber_gets_state_and_changes(
    reader, subscribe, async_wait_until
) -> None:
    """Guards against changes that do not reach the other balancers."""
    reader.write("a", b"1", 1)
    received, ages = await subscribe(0, [])
    await async_wait_until(lambda: received.revision.number == 1)
    reader.write("b", b"2", 2)
    reader.write("a", None, 3)
    await async_wait_until(lambda: received.revision.number == 3)
    batch = received.list_since(records.NO_REVISION)
    assert [record.key for record in batch.records if record.value] == ["b"]
    assert ages[0] == pytest.approx(0.25)


async def test_slow_subscriber_gets_the_newest_change_next(
    reader, async_wait_until
) -> None:
    """Guards against outdated views behind a slow link.

    Many large configurations in quick succession were queued for each
    subscriber, so that a view was 6 s old and the newest change came last.
    """
    # Random values of different keys compress badly.
    size = 1_000_000
    generator = random.Random(1)
    incoming, outgoing = await asyncio.open_connection(
        "127.0.0.1", reader.port, limit=1
    )
    outgoing.write(messages.encode_subscription(make_request()))
    await async_wait_until(lambda: reader.relay.subscribers == 1)
    for number in range(1, 41):
        reader.write("k", generator.randbytes(size), number)
        await asyncio.sleep(0.001)
    received = []
    bases: dict[str, bytes] = {}
    while not received or received[-1] != 40:
        header = await incoming.readexactly(const.FRAME_HEADER_BYTES)
        body = await incoming.readexactly(int.from_bytes(header, "big"))
        frame = messages.decode_frame(body, bases)
        bases |= {r.key: r.value for r in frame.batch.records}
        received.append(frame.batch.revision.number)
    outgoing.close()
    assert len(received) <= 12


async def test_stalled_subscriber_is_disconnected(
    reader, async_wait_until
) -> None:
    """Guards against memory that is held for subscribers that read nothing."""
    generator = random.Random(1)
    _, outgoing = await asyncio.open_connection(
        "127.0.0.1", reader.port, limit=1
    )
    outgoing.write(messages.encode_subscription(make_request()))
    await async_wait_until(lambda: reader.relay.subscribers == 1)
    for number in range(1, 21):
        reader.write("k", generator.randbytes(1_000_000), number)
        await asyncio.sleep(0.001)
    reader.now += const.SUBSCRIBER_STALL_S + 0.1
    reader.relay.publish(ENDPOINTS)
    await async_wait_until(lambda: reader.relay.subscribers == 0)
    outgoing.close()


async def test_transit_delay_counts_as_age(
    reader, subscribe, async_wait_until
) -> None:
    """Guards against a stalled stream whose old frames count as current."""
    reader.write("a", b"1", 1)
    _, ages = await subscribe(0, [])
    await async_wait_until(lambda: len(ages) == 2)
    # By the clock of the reader, the next frame was sent 3 s earlier.
    reader.now -= 3.0
    reader.write("b", b"2", 2)
    await async_wait_until(lambda: len(ages) == 3)
    assert ages[2] == pytest.approx(3.25)


async def test_disconnect_of_the_reader_is_reported_once(
    reader, subscribe, async_wait_until
) -> None:
    """Guards against a subscriber that waits for a reader that is gone."""
    ends: list[str] = []
    reader.write("a", b"1", 1)
    received, _ = await subscribe(0, ends)
    await async_wait_until(lambda: received.revision.number == 1)
    reader.relay.close()
    await async_wait_until(lambda: bool(ends))
    assert len(ends) == 1


async def test_frame_that_is_broken_off_is_reported(async_wait_until) -> None:
    """Guards against logs that name a reader silent while its frame arrives."""
    seen: list[transfers.Transfer] = []
    now = [200.0]

    async def async_send_part(incoming, outgoing) -> None:
        outgoing.write((1_000).to_bytes(const.FRAME_HEADER_BYTES, "big"))
        outgoing.write(b"x" * 100)

    server = await asyncio.start_server(async_send_part, "127.0.0.1", 0)
    subscription = relay.Subscription(
        host="127.0.0.1",
        port=server.sockets[0].getsockname()[1],
        local_host="127.0.0.1",
        revisions={},
        large_values={},
        deliver=lambda feed, batch, at: None,
        on_end=lambda _, reason: None,
        clock=lambda: now[0],
        observe_transfer=seen.append,
    )
    assert not subscription.is_receiving(now[0])
    await subscription.async_open()
    await async_wait_until(lambda: subscription._frames.buffered_bytes > 100)
    assert subscription.is_receiving(now[0])
    assert not subscription.is_receiving(now[0] + const.TRANSFER_STALL_S)
    subscription.close()
    server.close()
    assert [(t.kind, t.complete) for t in seen] == [
        (transfers.TransferKind.FRAME_RECEIVED, False)
    ]
    assert seen[0].size_bytes == 100 + const.FRAME_HEADER_BYTES


async def test_refused_connection_is_reported(reader, subscribe) -> None:
    """Guards against a subscription that fails silently."""
    reader.relay.close()
    ends: list[str] = []
    await subscribe(0, ends)
    assert len(ends) == 1


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x01\xf5", b"GET / HTTP/1.1"]
)
async def test_invalid_stream_is_closed(reader, data: bytes) -> None:
    """Guards against an unknown client that exhausts memory or crashes."""
    incoming, outgoing = await asyncio.open_connection("127.0.0.1", reader.port)
    outgoing.write(data)
    async with asyncio.timeout(10):
        with contextlib.suppress(ConnectionResetError):
            assert await incoming.read() == b""
    outgoing.close()
    assert reader.relay.subscribers == 0


async def test_frame_without_a_view_is_not_sent(reader) -> None:
    """Guards against a new balancer that sends an empty view."""
    reader.age_s = None
    frame = reader.relay.make_frame(ENDPOINTS, records.NO_REVISION, {})
    assert frame is None


async def test_transfer_of_the_first_frame_counts_as_age(
    reader, async_wait_until
) -> None:
    """Guards against a view that looks current after a slow first frame.

    The first frame of a connection had no earlier one to compare with.
    """
    now = [200.0]
    ages: list[float] = []
    value = random.Random(1).randbytes(100_000)
    reader.write("k", value, 1, CONFIGURATION)
    _, data = reader.relay.make_frame(CONFIGURATION, records.NO_REVISION, {})
    subscription = relay.Subscription(
        host="127.0.0.1",
        port=reader.port,
        local_host="127.0.0.1",
        revisions={},
        large_values={},
        deliver=lambda feed, batch, at: ages.append(now[0] - at),
        on_end=lambda _, reason: None,
        clock=lambda: now[0],
    )
    subscription.data_received(data[:1000])
    now[0] += 1.5
    subscription.data_received(data[1000:])
    assert ages == [pytest.approx(1.75)]


async def test_changes_of_a_large_value_are_sent_as_differences(
    reader, subscribe, async_wait_until
) -> None:
    """Guards against a reader whose link is full of whole configurations."""
    values = [random.Random(1).randbytes(500_000)]
    values += [values[0] + b"1", values[0] + b"12"]
    sent: list[int] = []
    encode_batch = messages.encode_batch

    def encode_and_count(batch, bases):
        encoded = encode_batch(batch, bases)
        sent.append(len(encoded.encoded_records))
        return encoded

    reader.write("k", values[0], 1, CONFIGURATION)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(messages, "encode_batch", encode_and_count)
        received, _ = await subscribe(0, [])
        # This one already has the value, from its former reader.
        other, _ = await subscribe(1, [], {"k": values[0]})
        await async_wait_until(lambda: received.revision.number == 1)
        for number, value in enumerate(values[1:], 2):
            reader.write("k", value, number, CONFIGURATION)
            await async_wait_until(
                lambda n=number: received.revision.number == n
            )
            await async_wait_until(lambda n=number: other.revision.number == n)
    assert received.find_large_values() == {"k": values[2]}
    assert other.find_large_values() == {"k": values[2]}
    # Only the first frame holds a whole value.
    assert sum(size > 5_000 for size in sent) == 1


async def test_subscriber_that_read_the_store_still_decodes_differences(
    reader, subscribe, async_wait_until
) -> None:
    """Guards against a base that a subscriber has replaced by a newer value."""
    ends: list[str] = []
    values = [random.Random(n).randbytes(10_000) for n in range(3)]
    reader.write("k", values[0], 1, CONFIGURATION)
    received, _ = await subscribe(0, ends)
    await async_wait_until(lambda: received.revision.number == 1)
    received.merge(
        conftest.make_batch(conftest.make_record("k", values[2], 3), revision=3)
    )
    reader.write("k", values[0] + values[1], 2, CONFIGURATION)
    reader.write("k", values[2], 3, CONFIGURATION)
    reader.write("k", values[2] + b"x", 4, CONFIGURATION)
    await async_wait_until(lambda: received.revision.number == 4)
    assert received.find_large_values() == {"k": values[2] + b"x"}
    assert ends == []


async def test_small_changes_are_sent_before_large_ones(
    reader, async_wait_until
) -> None:
    """Guards against a leaving endpoint that is known after a configuration."""
    incoming, outgoing = await asyncio.open_connection("127.0.0.1", reader.port)
    reader.write("k", b"v", 1, CONFIGURATION)
    reader.write("e", b"v", 2, ENDPOINTS)
    outgoing.write(
        messages.encode_subscription(
            messages.SubscriptionRequest(
                revisions=dict.fromkeys(
                    reversed(records.Feed), records.NO_REVISION
                ),
                digests={},
            )
        )
    )
    feeds = []
    for _ in range(2):
        header = await incoming.readexactly(const.FRAME_HEADER_BYTES)
        body = await incoming.readexactly(int.from_bytes(header, "big"))
        feeds.append(messages.decode_frame(body, {}).feed)
    outgoing.close()
    assert feeds == [ENDPOINTS, CONFIGURATION]


async def test_subscriber_of_the_former_version_is_disconnected(reader) -> None:
    """Guards against frames that an older balancer would misread.

    It reads the store until it is updated.
    """
    incoming, outgoing = await asyncio.open_connection("127.0.0.1", reader.port)
    body = cbor2.dumps([1, 12])
    outgoing.write(len(body).to_bytes(const.FRAME_HEADER_BYTES, "big") + body)
    async with asyncio.timeout(10):
        assert await incoming.read() == b""
    outgoing.close()
