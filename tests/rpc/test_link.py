"""Tests of requests over one session to a misbehaving server."""

import asyncio

import pytest

from chivedoor.control import messages
from chivedoor.rpc import counts
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions
from chivedoor.rpc import link

Event = counts.RpcEvent
SILENCE_REQUEST = messages.SilenceRequest(flow=1, since_s=1.0)
SILENCE_REPLY = messages.SilenceReply(answer_seen=True)


class FakeSession:
    """A session whose received frames are set by a test."""

    remote_id = "b"

    def __init__(self):
        self.sent = asyncio.Queue()
        self.received = asyncio.Queue()
        self.aborted = False

    async def async_send(self, payload):
        await self.sent.put(payload)

    async def async_receive(self):
        return await self.received.get()

    async def async_close(self):
        self.aborted = True

    def abort(self):
        self.aborted = True


@pytest.fixture
async def session():
    return FakeSession()


@pytest.fixture
async def client_link(session):
    client_link = link.Link(
        session=session,
        registry=messages.REGISTRY,
        counts=counts.EventCounters(),
    )
    yield client_link
    await client_link.async_close()


def pack_reply(request_id, reply=SILENCE_REPLY, kind=envelope.Kind.REPLY):
    return envelope.pack_envelope(messages.REGISTRY, kind, request_id, reply)


async def async_start_request(client_link, session):
    """Starts a request; returns its task and the request id."""
    task = asyncio.create_task(client_link.async_request(SILENCE_REQUEST))
    sent = envelope.parse_envelope(await session.sent.get())
    return task, sent.request_id


async def test_second_reply_to_one_request_is_ignored(client_link, session):
    # Guards against a peer that ends the read loop with a repeated request id.
    task, request_id = await async_start_request(client_link, session)
    for _ in range(2):
        session.received.put_nowait(pack_reply(request_id))
    assert await task == SILENCE_REPLY
    task, request_id = await async_start_request(client_link, session)
    session.received.put_nowait(pack_reply(request_id))
    assert await task == SILENCE_REPLY
    assert client_link._counts.get(Event.REPLIES_LATE) == 1
    assert not client_link.closed


async def test_reply_with_unknown_request_id_is_ignored(client_link, session):
    # Guards against a failure on the reply to a request that was never sent.
    task, request_id = await async_start_request(client_link, session)
    session.received.put_nowait(pack_reply(request_id + 7))
    session.received.put_nowait(pack_reply(request_id))
    assert await task == SILENCE_REPLY


@pytest.mark.parametrize(
    ("kind", "message"),
    [
        (envelope.Kind.REQUEST, SILENCE_REPLY),
        (envelope.Kind.REPLY, SILENCE_REQUEST),
    ],
)
async def test_reply_of_the_wrong_type_fails_only_its_request(
    client_link, session, kind, message
):
    # Guards against a caller that gets a message of another type as its reply.
    task, request_id = await async_start_request(client_link, session)
    session.received.put_nowait(pack_reply(request_id, message, kind))
    with pytest.raises(exceptions.MessageError):
        await task
    assert not client_link.closed


async def test_malformed_envelope_fails_all_requests(client_link, session):
    # Guards against requests that wait on a session whose read loop ended.
    tasks = [
        (await async_start_request(client_link, session))[0] for _ in range(3)
    ]
    session.received.put_nowait(b"\xff")
    for task in tasks:
        with pytest.raises(exceptions.LinkClosedError):
            await task
    assert session.aborted
    with pytest.raises(exceptions.LinkClosedError):
        await client_link.async_request(SILENCE_REQUEST)


async def test_cancelled_request_is_no_longer_pending(client_link, session):
    # Guards against memory use that grows with each timed-out request.
    task, _ = await async_start_request(client_link, session)
    assert not client_link.idle
    task.cancel()
    await asyncio.wait([task])
    assert client_link.idle
