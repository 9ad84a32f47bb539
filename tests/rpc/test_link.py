"""Tests of requests over one session, with a hostile other side."""

import asyncio

import pytest

from chivedoor.control import messages
from chivedoor.rpc import counts
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions
from chivedoor.rpc import link

Event = counts.RpcEvent
SILENCE = messages.SilenceRequest(flow=1, since_s=1.0)
SEEN = messages.SilenceReply(answer_seen=True)


class Session:
    """A session whose frames a test writes."""

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
    return Session()


@pytest.fixture
async def opened(session):
    opened = link.Link(
        session=session, registry=messages.REGISTRY, counts=counts.Counts()
    )
    yield opened
    await opened.async_close()


def pack_reply(request_id, reply=SEEN, kind=envelope.Kind.REPLY):
    return envelope.pack_envelope(messages.REGISTRY, kind, request_id, reply)


async def async_start(opened, session):
    """Returns the task of a request, and the number that was sent."""
    task = asyncio.create_task(opened.async_request(SILENCE))
    sent = envelope.parse_envelope(await session.sent.get())
    return task, sent.request_id


async def test_second_reply_to_one_request_is_ignored(opened, session):
    # Guards against a peer that ends the reader with a repeated number.
    task, request_id = await async_start(opened, session)
    for _ in range(2):
        session.received.put_nowait(pack_reply(request_id))
    assert await task == SEEN
    task, request_id = await async_start(opened, session)
    session.received.put_nowait(pack_reply(request_id))
    assert await task == SEEN
    assert opened._counts.get(Event.REPLIES_LATE) == 1
    assert not opened.closed


async def test_reply_to_no_request_is_ignored(opened, session):
    # Guards against a peer that answers what was never asked.
    task, request_id = await async_start(opened, session)
    session.received.put_nowait(pack_reply(request_id + 7))
    session.received.put_nowait(pack_reply(request_id))
    assert await task == SEEN


@pytest.mark.parametrize(
    ("kind", "message"),
    [
        (envelope.Kind.REQUEST, SEEN),
        (envelope.Kind.REPLY, SILENCE),
    ],
)
async def test_wrong_answer_fails_only_its_request(
    opened, session, kind, message
):
    # Guards against a message that a caller reads as its reply.
    task, request_id = await async_start(opened, session)
    session.received.put_nowait(pack_reply(request_id, message, kind))
    with pytest.raises(exceptions.MessageError):
        await task
    assert not opened.closed


async def test_malformed_envelope_fails_all_requests(opened, session):
    # Guards against requests that wait on a session nobody reads.
    tasks = [(await async_start(opened, session))[0] for _ in range(3)]
    session.received.put_nowait(b"\xff")
    for task in tasks:
        with pytest.raises(exceptions.LinkClosedError):
            await task
    assert session.aborted
    with pytest.raises(exceptions.LinkClosedError):
        await opened.async_request(SILENCE)


async def test_cancelled_request_leaves_nothing_behind(opened, session):
    # Guards against memory that grows with every timeout.
    task, _ = await async_start(opened, session)
    assert not opened.idle
    task.cancel()
    await asyncio.wait([task])
    assert opened.idle
