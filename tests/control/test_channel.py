"""Tests of the channel between balancers over real connections."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest
from websockets import exceptions as websocket_exceptions
from websockets.asyncio import client as websocket_client

from chivedoor.control import budget as budget_module
from chivedoor.control import channel
from chivedoor.control import messages
from chivedoor.rpc import const
from chivedoor.rpc import counts
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions
from chivedoor.rpc import session
from chivedoor.rpc import transport

Event = counts.RpcEvent
KEY = bytes(range(32))
OTHER_KEY = bytes(range(32, 64))
SILENCE_REQUEST = messages.SilenceRequest(flow=1, since_s=10.0)
SILENCE_REPLY = messages.SilenceReply(answer_seen=True)


class Fleet:
    """A group of channels that know each other's ports."""

    def __init__(self) -> None:
        self.key = KEY
        self.locations: dict[str, tuple[str, int]] = {}
        self._channels: list[channel.Channel] = []

    async def async_add(
        self, member_id: str, *keys: bytes, **options: Any
    ) -> channel.Channel:
        member = channel.Channel(
            local_id=member_id,
            address="127.0.0.1",
            port=0,
            keys=keys or [KEY],
            resolve=self.locations.__getitem__,
            **options,
        )
        await member.async_open()
        self.locations[member_id] = ("127.0.0.1", member.port)
        self._channels.append(member)
        return member

    async def async_close(self) -> None:
        for member in self._channels:
            await member.async_close()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    members = Fleet()
    yield members
    await members.async_close()


DOCUMENT_REQUEST = messages.DocumentRequest(known_version=1)


def create_document_reply(version=1, document=None):
    return messages.DocumentReply(
        version=version, change=None, document=document, confirmed_age_s=0.0
    )


async def async_answer(request):
    return SILENCE_REPLY


class BlockingHandler:
    """Handler of document requests that blocks until it is released."""

    def __init__(self):
        self.request_received = asyncio.Event()
        self.release = asyncio.Event()

    async def async_handle(self, request):
        self.request_received.set()
        await self.release.wait()
        return create_document_reply()


@pytest.fixture
def blocking_handler(pair):
    """A blocking handler of the answering channel."""
    blocking_handler = BlockingHandler()
    pair[1].register(messages.DocumentRequest, blocking_handler.async_handle)
    return blocking_handler


@pytest.fixture
async def pair(fleet):
    """A channel that sends requests and one that answers them."""
    asking = await fleet.async_add("a")
    answering = await fleet.async_add("b")
    answering.register(messages.SilenceRequest, async_answer)
    return asking, answering


async def async_open_session(fleet, member_id, local_id="x"):
    """Opens a session to send data that a channel would not send."""
    connection = await transport.async_connect(*fleet.locations[member_id])
    raw_session = await session.async_initiate(
        connection,
        purpose=session.Purpose.PEER,
        local_id=local_id,
        keys=[fleet.key],
        expected_id=member_id,
    )
    return raw_session, connection


async def test_reply_answers_the_request(pair):
    # Guards against a channel that does not return the reply of the peer.
    asking, answering = pair
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert answering.counts.get(Event.REPLIES_SENT) == 1


async def test_concurrent_requests_share_one_connection(fleet, pair):
    # Guards against replies that are assigned to the wrong request, and
    # against opening a connection for each request.
    asking, answering = pair

    async def async_echo(request):
        await asyncio.sleep(0 if request.known_version % 2 else 0.01)
        return create_document_reply(request.known_version)

    answering.register(messages.DocumentRequest, async_echo)
    requests = [messages.DocumentRequest(known_version=n) for n in range(20)]
    replies = await asyncio.gather(
        *(asking.async_request("b", request, 30) for request in requests)
    )
    assert [reply.version for reply in replies] == list(range(20))
    assert asking.counts.get(Event.LINKS_OPENED) == 1


async def test_large_document_is_transferred(pair):
    # Guards against a message limit below the size of the largest document.
    asking, answering = pair
    document = bytes(1_048_576)

    async def async_document(request):
        return create_document_reply(2, document)

    answering.register(messages.DocumentRequest, async_document)
    reply = await asking.async_request("b", DOCUMENT_REQUEST, 60)
    assert reply.document == document


async def test_unanswered_request_times_out(pair, blocking_handler):
    # Guards against a caller that waits forever, or that gets a cancellation
    # instead of an error.
    asking, answering = pair
    with pytest.raises(exceptions.RequestTimeoutError):
        await asking.async_request("b", DOCUMENT_REQUEST, 0.05)
    assert asking.counts.get(Event.TIMEOUTS) == 1
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY


async def test_late_reply_is_ignored(pair, async_wait_until, blocking_handler):
    # Guards against a late reply that is returned for the next request.
    asking, answering = pair
    late_request = asyncio.create_task(
        asking.async_request("b", DOCUMENT_REQUEST, 60)
    )
    await blocking_handler.request_received.wait()
    late_request.cancel()
    await asyncio.wait([late_request])
    blocking_handler.release.set()
    await async_wait_until(lambda: asking.counts.get(Event.REPLIES_LATE) == 1)
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert asking.counts.get(Event.LINKS_OPENED) == 1


async def test_only_a_silent_connection_is_dropped_after_a_timeout(pair):
    # Guards against requests that wait on a connection to a dead peer, and
    # against a slow handler that makes other requests lose the connection.
    asking, _ = pair
    await asking.async_request("b", SILENCE_REQUEST, 30)
    now = asyncio.get_running_loop().time()
    asking._abort_link_if_silent("b", now - 3600.0)
    assert asking.dump_state()["outgoing"] == ["b"]
    asking._abort_link_if_silent("b", now)
    assert asking.dump_state()["outgoing"] == []
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert asking.counts.get(Event.LINKS_OPENED) == 2


async def test_wrong_key_is_rejected_and_counted(fleet):
    # Guards against requests from a sender without the peer key.
    asking = await fleet.async_add("a", OTHER_KEY)
    answering = await fleet.async_add("b")
    with pytest.raises(exceptions.AuthenticationError):
        await asking.async_request("b", SILENCE_REQUEST, 30)
    fault = exceptions.AuthenticationFault.NO_COMMON_KEY
    assert answering.counts.get(fault) == 1
    assert answering.counts.get(Event.REQUESTS_RECEIVED) == 0


async def test_previous_key_works_during_rotation(fleet):
    # Guards against a key rotation that all balancers must do at once.
    old = await fleet.async_add("a", fleet.key)
    new = await fleet.async_add("b", OTHER_KEY, fleet.key)
    for member in (old, new):
        member.register(messages.SilenceRequest, async_answer)
    assert await old.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert await new.async_request("a", SILENCE_REQUEST, 30) == SILENCE_REPLY


async def test_member_that_took_over_an_address_is_rejected(fleet, pair):
    # Guards against a reply from another VM that reuses the address.
    asking, answering = pair
    fleet.locations["former"] = fleet.locations["b"]
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await asking.async_request("former", SILENCE_REQUEST, 30)
    assert caught.value.fault is exceptions.AuthenticationFault.WRONG_MEMBER


async def test_changed_address_opens_a_new_connection(fleet, pair):
    # Guards against requests that go to the old address of a replaced member.
    asking, answering = pair
    await asking.async_request("b", SILENCE_REQUEST, 30)
    await answering.async_close()
    replaced = await fleet.async_add("b")
    replaced.register(messages.SilenceRequest, async_answer)
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert replaced.counts.get(Event.REPLIES_SENT) == 1


async def test_open_connection_to_a_previous_address_is_not_used(fleet, pair):
    # Guards against requests that go to a replaced VM that is still running.
    asking, answering = pair
    await asking.async_request("b", SILENCE_REQUEST, 30)
    replaced = await fleet.async_add("b")
    replaced.register(messages.SilenceRequest, async_answer)
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert answering.counts.get(Event.REPLIES_SENT) == 1
    assert replaced.counts.get(Event.REPLIES_SENT) == 1


async def test_unreachable_and_unknown_members_raise_peer_unreachable_error(
    fleet, pair
):
    # Guards against an untyped error of the operating system.
    asking, answering = pair
    await answering.async_close()
    with pytest.raises(exceptions.PeerUnreachableError):
        await asking.async_request("b", SILENCE_REQUEST, 30)
    with pytest.raises(exceptions.PeerUnreachableError):
        await asking.async_request("unknown", SILENCE_REQUEST, 30)


async def test_server_without_websocket_support_is_unreachable(fleet, pair):
    # Guards against an untyped error of the websocket library.
    asking, _ = pair

    async def async_send_smtp_greeting(reader, writer):
        writer.write(b"220 mail.example ESMTP\r\n")
        writer.close()

    other = await asyncio.start_server(async_send_smtp_greeting, "127.0.0.1", 0)
    async with other:
        fleet.locations["c"] = other.sockets[0].getsockname()
        with pytest.raises(exceptions.PeerUnreachableError):
            await asking.async_request("c", SILENCE_REQUEST, 30)


async def test_peer_that_closes_fails_its_requests(
    pair, async_wait_until, blocking_handler
):
    # Guards against a request that keeps waiting after the peer closed.
    asking, answering = pair
    waiting = asyncio.create_task(
        asking.async_request("b", DOCUMENT_REQUEST, 60)
    )
    await blocking_handler.request_received.wait()
    await answering.async_close()
    with pytest.raises(exceptions.PeerUnreachableError):
        await waiting


async def test_closing_fails_pending_requests(fleet, pair, blocking_handler):
    # Guards against a close that cancels the caller or leaves it waiting.
    asking, answering = pair
    waiting = asyncio.create_task(
        asking.async_request("b", DOCUMENT_REQUEST, 60)
    )
    await blocking_handler.request_received.wait()
    await asking.async_close()
    with pytest.raises(exceptions.LinkClosedError):
        await waiting
    with pytest.raises(exceptions.ChannelStateError):
        await asking.async_request("b", SILENCE_REQUEST, 30)


async def test_closing_while_connecting_fails_the_request(fleet, pair):
    # Guards against a close that cancels callers waiting for a connection.
    asking, _ = pair
    connected = asyncio.Event()

    async def async_accept(reader, writer):
        connected.set()
        await reader.read()
        writer.close()

    silent = await asyncio.start_server(async_accept, "127.0.0.1", 0)
    async with silent:
        fleet.locations["c"] = silent.sockets[0].getsockname()
        waiting = asyncio.create_task(
            asking.async_request("c", SILENCE_REQUEST, 60)
        )
        await connected.wait()
        await asking.async_close()
        with pytest.raises(exceptions.LinkClosedError):
            await waiting


async def test_refusals_carry_a_code(pair):
    # Guards against an exception of a handler that ends the session, or whose
    # text is sent to the peer.
    asking, answering = pair
    with pytest.raises(exceptions.RequestRefusedError) as caught:
        await asking.async_request("b", DOCUMENT_REQUEST, 30)
    assert caught.value.code is exceptions.RefusalCode.NO_HANDLER

    async def async_fail(request):
        raise ZeroDivisionError("inner detail")

    answering.register(messages.DocumentRequest, async_fail)
    with pytest.raises(exceptions.RequestRefusedError) as caught:
        await asking.async_request("b", DOCUMENT_REQUEST, 30)
    assert caught.value.code is exceptions.RefusalCode.FAILED
    assert "inner detail" not in str(caught.value)
    assert answering.counts.get(Event.HANDLER_FAILURES) == 1
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY


async def test_reply_of_the_wrong_type_is_refused(pair):
    # Guards against a reply that the caller takes for another type.
    asking, answering = pair

    async def async_reply_wrong_type(request):
        return SILENCE_REPLY

    answering.register(messages.DocumentRequest, async_reply_wrong_type)
    with pytest.raises(exceptions.MessageError):
        await asking.async_request("b", DOCUMENT_REQUEST, 30)


async def test_handler_timeout_does_not_end_the_session(pair):
    # Guards against a timeout inside a handler that fails all requests on the
    # connection.
    asking, answering = pair

    async def async_time_out(request):
        raise TimeoutError

    answering.register(messages.DocumentRequest, async_time_out)
    with pytest.raises(exceptions.RequestRefusedError):
        await asking.async_request("b", DOCUMENT_REQUEST, 30)
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert asking.counts.get(Event.LINKS_OPENED) == 1


async def test_requests_of_one_client_are_bounded(
    fleet, pair, async_wait_until, blocking_handler
):
    # Guards against one peer that uses all the memory for replies.
    asking, answering = pair
    waiting = [
        asyncio.create_task(asking.async_request("b", DOCUMENT_REQUEST, 60))
        for _ in range(const.MAX_LINK_REQUESTS)
    ]
    received = Event.REQUESTS_RECEIVED
    await async_wait_until(
        lambda: answering.counts.get(received) == const.MAX_LINK_REQUESTS
    )
    with pytest.raises(exceptions.RequestRefusedError) as caught:
        await asking.async_request("b", SILENCE_REQUEST, 60)
    assert caught.value.code is exceptions.RefusalCode.BUSY
    blocking_handler.release.set()
    await asyncio.gather(*waiting)
    assert await asking.async_request("b", SILENCE_REQUEST, 60) == SILENCE_REPLY


async def test_outgoing_connections_are_bounded(fleet, monkeypatch):
    # Guards against keeping a connection to each of 830 members.
    monkeypatch.setattr(const, "MAX_OUTGOING_LINKS", 2)
    asking = await fleet.async_add("a")
    for name in "bcd":
        member = await fleet.async_add(name)
        member.register(messages.SilenceRequest, async_answer)
        await asking.async_request(name, SILENCE_REQUEST, 30)
    assert asking.dump_state()["outgoing"] == ["c", "d"]


async def test_connections_in_use_are_not_evicted(
    fleet, pair, monkeypatch, blocking_handler
):
    # Guards against a pending request that is lost because another request
    # needs a connection.
    asking, answering = pair
    monkeypatch.setattr(const, "MAX_OUTGOING_LINKS", 1)
    waiting = asyncio.create_task(
        asking.async_request("b", DOCUMENT_REQUEST, 60)
    )
    await blocking_handler.request_received.wait()
    await fleet.async_add("c")
    with pytest.raises(exceptions.LinksExhaustedError):
        await asking.async_request("c", SILENCE_REQUEST, 30)
    blocking_handler.release.set()
    assert (await waiting).version == 1


async def test_incoming_connections_are_bounded(
    fleet, monkeypatch, async_wait_until
):
    # Guards against a fleet that uses all file descriptors of one balancer.
    monkeypatch.setattr(const, "MAX_INCOMING_LINKS", 1)
    answering = await fleet.async_add("b")
    answering.register(messages.SilenceRequest, async_answer)
    first = await fleet.async_add("a")
    second = await fleet.async_add("c")
    assert await first.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    with pytest.raises(exceptions.PeerUnreachableError):
        await second.async_request("b", SILENCE_REQUEST, 30)
    assert answering.counts.get(Event.LINKS_REFUSED) == 1
    await first.async_close()
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 0)
    assert await second.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY


async def test_idle_connections_are_closed(pair, async_wait_until):
    # Guards against idle connections that stay open forever.
    asking, answering = pair
    await asking.async_request("b", SILENCE_REQUEST, 30)
    now = asyncio.get_running_loop().time()
    asking.close_idle(now)
    assert asking.dump_state()["outgoing"] == ["b"]
    asking.close_idle(now + const.LINK_IDLE_TIMEOUT_S)
    assert asking.dump_state()["outgoing"] == []
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 0)
    assert asking.counts.get(Event.LINKS_LOST) == 0


async def test_replayed_frame_is_not_run(fleet, pair, async_wait_until):
    # Guards against an attacker who records a request and sends it again.
    _, answering = pair
    raw_session, connection = await async_open_session(fleet, "b")
    payload = envelope.pack_envelope(
        messages.REGISTRY, envelope.Kind.REQUEST, 0, SILENCE_REQUEST
    )
    frame = raw_session._seal_frame(payload)
    await connection.send(frame)
    await connection.send(frame)
    await connection.wait_closed()
    fault = exceptions.AuthenticationFault.WRONG_COUNTER
    await async_wait_until(lambda: answering.counts.get(fault) == 1)
    assert answering.counts.get(Event.REQUESTS_RECEIVED) == 1


@pytest.mark.parametrize(
    ("name", "fields", "fault"),
    [
        ("Unknown", {}, exceptions.MessageFault.UNKNOWN_TYPE),
        ("SilenceRequest", {}, exceptions.MessageFault.MISSING_FIELD),
        (
            "SilenceRequest",
            {"flow": 1, "since_s": 1.0, "more": 1},
            exceptions.MessageFault.SURPLUS_FIELD,
        ),
        (
            "SilenceRequest",
            {"flow": "1", "since_s": 1.0},
            exceptions.MessageFault.WRONG_TYPE,
        ),
    ],
)
async def test_invalid_request_of_a_member_is_refused(
    fleet, pair, name, fields, fault
):
    # Guards against a member of another version whose requests break the
    # channel.
    _, answering = pair
    raw_session, _ = await async_open_session(fleet, "b")
    await raw_session.async_send(
        envelope.codec.encode_value([0, 5, name, fields], 999)
    )
    refusal = envelope.parse_envelope(await raw_session.async_receive())
    error = envelope.parse_refusal(refusal)
    assert error.code is exceptions.RefusalCode.BAD_REQUEST
    assert refusal.request_id == 5
    assert answering.counts.get(fault) == 1
    await raw_session.async_close()


@pytest.mark.parametrize(
    "payload", [b"", b"\xff", b"\x80", b"\x84\x01\x01\x60\xa0"]
)
async def test_malformed_envelope_closes_the_connection(
    fleet, pair, payload, async_wait_until
):
    # Guards against a faulty member that keeps a connection open.
    _, answering = pair
    raw_session, connection = await async_open_session(fleet, "b")
    await raw_session.async_send(payload)
    await connection.wait_closed()
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 0)
    faults = [
        exceptions.MessageFault.MALFORMED,
        exceptions.MessageFault.UNKNOWN_TYPE,
    ]
    assert sum(map(answering.counts.get, faults)) == 1


@pytest.mark.parametrize("size", [const.MAX_HANDSHAKE_BYTES + 1, 1_000_000])
async def test_unauthenticated_client_cannot_send_large_messages(
    fleet, pair, size
):
    # Guards against memory use that unauthenticated clients can cause.
    _, answering = pair
    location = fleet.locations["b"]
    connection = await transport.async_connect(*location)
    with pytest.raises(websocket_exceptions.ConnectionClosed):
        await connection.send(bytes(size))
        await connection.recv()
    assert connection.close_code == 1009


async def test_member_cannot_send_oversized_messages(fleet, pair):
    # Guards against memory use that one faulty member can cause.
    raw_session, connection = await async_open_session(fleet, "b")
    with pytest.raises(exceptions.LinkClosedError):
        await raw_session.async_send(bytes(const.MAX_MESSAGE_BYTES + 1))
        await raw_session.async_receive()
    assert connection.close_code == 1009


async def test_text_frame_before_authentication_is_rejected(
    fleet, pair, async_wait_until
):
    # Guards against an unhandled exception for text frames, because the
    # protocol uses binary frames.
    _, answering = pair
    connection = await transport.async_connect(*fleet.locations["b"])
    await connection.send("hello")
    await connection.wait_closed()
    refused = Event.LINKS_REFUSED
    await async_wait_until(lambda: answering.counts.get(refused) == 1)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=300), min_size=1, max_size=3)
)
def test_arbitrary_unauthenticated_frames_are_rejected(frames):
    # Guards against unauthenticated bytes that stop the server or reach a
    # handler.
    async def async_run():
        member = channel.Channel(
            local_id="b",
            address="127.0.0.1",
            port=0,
            keys=[bytes(32)],
            resolve={}.__getitem__,
        )
        await member.async_open()
        try:
            connection = await transport.async_connect("127.0.0.1", member.port)
            with pytest.raises(websocket_exceptions.ConnectionClosed):
                for frame in frames:
                    await connection.send(b"P" + frame)
                await connection.recv()
            assert member.counts.get(Event.REQUESTS_RECEIVED) == 0
            assert member.counts.get(Event.LINKS_REFUSED) == 1
        finally:
            await member.async_close()

    asyncio.run(async_run())


async def test_client_that_never_authenticates_is_dropped(
    fleet, pair, monkeypatch, async_wait_until
):
    # Guards against clients that hold a connection without authenticating.
    monkeypatch.setattr(const, "HANDSHAKE_TIMEOUT_S", 0.05)
    _, answering = pair
    connection = await websocket_client.connect(
        "ws://{}:{}/".format(*fleet.locations["b"]), proxy=None
    )
    await connection.wait_closed()
    fault = exceptions.AuthenticationFault.TIMEOUT
    await async_wait_until(lambda: answering.counts.get(fault) == 1)


async def test_traffic_is_charged_to_the_budget(fleet):
    # Guards against messages that are not counted against the budget.
    spent = {
        name: budget_module.ByteBudget(rate_bytes_per_s=1e6, clock=lambda: 0.0)
        for name in "ab"
    }
    asking = await fleet.async_add("a", budget=spent["a"])
    answering = await fleet.async_add("b", budget=spent["b"])
    answering.register(messages.SilenceRequest, async_answer)
    await asking.async_request("b", SILENCE_REQUEST, 30)
    for name, member, opening in (
        ("a", asking, const.FRAME_OVERHEAD_BYTES + const.LINK_SETUP_BYTES),
        ("b", answering, 0),
    ):
        payload = member.counts.get(Event.BYTES_SENT)
        total = payload + const.FRAME_OVERHEAD_BYTES + opening
        assert sum(spent[name].sent_bytes.values()) == total


async def test_second_handler_and_second_open_are_refused(pair):
    # Guards against a setup error that silently replaces a handler.
    _, answering = pair
    with pytest.raises(exceptions.ChannelStateError):
        answering.register(messages.SilenceRequest, async_answer)
    with pytest.raises(exceptions.MessageError):
        answering.register(messages.SilenceReply, async_answer)
    with pytest.raises(exceptions.ChannelStateError):
        await answering.async_open()


async def test_channel_opens_again_after_closing(fleet, pair):
    # Guards against a close that leaves state behind, so that the channel
    # cannot be opened again.
    asking, answering = pair
    await asking.async_close()
    await asking.async_close()
    await asking.async_open()
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY


async def test_client_that_is_idle_for_too_long_is_dropped(
    fleet, pair, monkeypatch, async_wait_until
):
    # Guards against connections of peers that disappeared without closing
    # them.
    _, answering = pair
    raw_session, _ = await async_open_session(fleet, "b")
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 1)
    # The new limit applies after the next request, because the server is
    # already waiting for that request with the old one.
    monkeypatch.setattr(const, "SERVER_IDLE_TIMEOUT_S", 0.05)
    await raw_session.async_send(
        envelope.pack_envelope(
            messages.REGISTRY, envelope.Kind.REQUEST, 0, SILENCE_REQUEST
        )
    )
    await raw_session.async_receive()
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 0)
    with pytest.raises(exceptions.LinkClosedError):
        await raw_session.async_receive()


async def test_request_on_a_connection_that_just_closed_is_resent(pair):
    # Guards against a request that fails because the peer closes the idle
    # connection at the same moment, which made a test of idle clients flaky.
    asking, answering = pair
    await asking.async_request("b", SILENCE_REQUEST, 30)
    (client,) = answering._responder._clients
    client.session.abort()
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
    assert asking.counts.get(Event.LINKS_OPENED) == 2


async def test_peer_that_does_not_read_its_reply_is_dropped(
    fleet, pair, monkeypatch, async_wait_until
):
    # Guards against replies that stay in memory for a peer that does not read
    # them.
    _, answering = pair
    monkeypatch.setattr(const, "SEND_TIMEOUT_S", 0.2)

    async def async_document(request):
        return create_document_reply(2, bytes(1_000_000))

    answering.register(messages.DocumentRequest, async_document)
    raw_session, connection = await async_open_session(fleet, "b")
    connection.transport.pause_reading()
    for number in range(const.MAX_LINK_REQUESTS):
        await raw_session.async_send(
            envelope.pack_envelope(
                messages.REGISTRY,
                envelope.Kind.REQUEST,
                number,
                DOCUMENT_REQUEST,
            )
        )
    await async_wait_until(lambda: answering.dump_state()["incoming"] == 0)
    assert answering.counts.get(Event.REPLIES_SENT) < const.MAX_LINK_REQUESTS
    connection.transport.abort()


async def test_requests_of_all_clients_are_bounded(
    fleet, pair, monkeypatch, async_wait_until, blocking_handler
):
    # Guards against many peers that together use all the memory.
    monkeypatch.setattr(const, "MAX_REQUESTS", 2)
    first, answering = pair
    second = await fleet.async_add("c")
    waiting = [
        asyncio.create_task(member.async_request("b", DOCUMENT_REQUEST, 60))
        for member in (first, second)
    ]
    received = Event.REQUESTS_RECEIVED
    await async_wait_until(lambda: answering.counts.get(received) == 2)
    with pytest.raises(exceptions.RequestRefusedError) as caught:
        await second.async_request("b", SILENCE_REQUEST, 60)
    assert caught.value.code is exceptions.RefusalCode.BUSY
    blocking_handler.release.set()
    await asyncio.gather(*waiting)
    assert await second.async_request("b", SILENCE_REQUEST, 60) == SILENCE_REPLY


async def test_unfinished_handshakes_are_bounded_and_end(
    fleet, pair, monkeypatch, async_wait_until
):
    # Guards against unauthenticated clients that block members permanently.
    asking, answering = pair
    monkeypatch.setattr(const, "MAX_PENDING_HANDSHAKES", 1)
    unauthenticated = await transport.async_connect(*fleet.locations["b"])
    await async_wait_until(lambda: answering.dump_state()["handshakes"] == 1)
    with pytest.raises(exceptions.PeerUnreachableError):
        await asking.async_request("b", SILENCE_REQUEST, 30)
    unauthenticated.transport.abort()
    await async_wait_until(lambda: answering.dump_state()["handshakes"] == 0)
    assert await asking.async_request("b", SILENCE_REQUEST, 30) == SILENCE_REPLY
