"""Tests of the handshake and of authenticated frames."""

import asyncio
import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.rpc import const
from chivedoor.rpc import exceptions
from chivedoor.rpc import session

KEY = bytes(range(32))
OTHER_KEY = bytes(range(32, 64))
THIRD_KEY = bytes(range(64, 96))
Fault = exceptions.AuthenticationFault
Purpose = session.Purpose


async def async_handshake(
    connections,
    *,
    client_keys=(KEY,),
    server_keys=(KEY,),
    client_purpose=Purpose.PEER,
    expected_id="server",
):
    """Returns the client and server result, each a session or an error."""
    client, server = connections
    accepting = asyncio.create_task(
        session.async_accept(
            server,
            purpose=Purpose.PEER,
            local_id="server",
            keys=server_keys,
        )
    )
    initiating = asyncio.create_task(
        session.async_initiate(
            client,
            purpose=client_purpose,
            local_id="client",
            keys=client_keys,
            expected_id=expected_id,
        )
    )
    await asyncio.wait(
        [accepting, initiating], return_when=asyncio.FIRST_EXCEPTION
    )
    for task in (accepting, initiating):
        task.cancel()
    return await asyncio.gather(initiating, accepting, return_exceptions=True)


async def test_handshake_authenticates_both_ids(connections):
    # Guards against ids that do not come from the authenticated transcript.
    client, server = await async_handshake(connections)
    assert (client.remote_id, server.remote_id) == ("server", "client")
    await client.async_send(b"question")
    assert await server.async_receive() == b"question"
    await server.async_send(b"answer")
    assert await client.async_receive() == b"answer"


async def test_message_limit_rises_after_the_handshake(connections):
    # Guards against a large first message that exceeds the handshake limit.
    await async_handshake(connections)
    for connection in connections:
        assert connection.protocol.max_message_size > const.MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    ("client_keys", "server_keys"),
    [
        ([KEY], [OTHER_KEY, KEY]),
        ([OTHER_KEY, KEY], [KEY]),
        ([OTHER_KEY, KEY], [OTHER_KEY, KEY]),
        ([OTHER_KEY, KEY], [KEY, OTHER_KEY]),
        ([OTHER_KEY], [OTHER_KEY, KEY]),
    ],
)
async def test_adjacent_key_rotation_steps_interoperate(
    connections, client_keys, server_keys
):
    # Guards against a rotation during which members cannot connect.
    client, server = await async_handshake(
        connections, client_keys=client_keys, server_keys=server_keys
    )
    await client.async_send(b"x")
    assert await server.async_receive() == b"x"


async def test_retired_key_is_rejected(connections):
    # Guards against a retired key that is still accepted after a rotation.
    _, server = await async_handshake(
        connections, client_keys=[KEY], server_keys=[THIRD_KEY, OTHER_KEY]
    )
    assert server.fault is Fault.NO_COMMON_KEY
    assert not connections[1].sent


async def test_client_without_the_key_is_rejected(connections):
    # Guards against a client that has copied the key id from network traffic.
    client, server = connections
    accepting = asyncio.create_task(
        session.async_accept(
            server, purpose=Purpose.PEER, local_id="server", keys=[KEY]
        )
    )
    await client.send(
        session._pack_hello(Purpose.PEER, bytes(32), "client", [KEY])
    )
    await client.recv()
    await client.send(bytes(const.PROOF_BYTES))
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await accepting
    assert caught.value.fault is Fault.WRONG_PROOF
    assert server.protocol.max_message_size == 0


async def test_server_without_the_key_is_rejected(connections):
    # Guards against a client that sends its proof to an unauthenticated server.
    client, server = connections
    initiating = asyncio.create_task(
        session.async_initiate(
            client,
            purpose=Purpose.PEER,
            local_id="client",
            keys=[KEY],
            expected_id="server",
        )
    )
    await server.recv()
    prefix = bytes(32) + b"\x06server" + session._derive_key_id(KEY)
    await server.send(prefix + bytes(const.PROOF_BYTES))
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await initiating
    assert caught.value.fault is Fault.WRONG_PROOF
    assert len(client.sent) == 1


async def test_proofs_differ_by_direction(connections):
    # Guards against a proof that can be reflected to its sender.
    client, _ = connections
    await async_handshake(connections)
    challenge = connections[1].sent[0]
    assert client.sent[1] != challenge[-const.PROOF_BYTES :]


async def test_unexpected_server_id_is_rejected(connections):
    # Guards against a member that answers at an address it took over from a
    # former member.
    client, _ = await async_handshake(connections, expected_id="former")
    assert client.fault is Fault.WRONG_MEMBER


async def test_operator_session_is_not_a_peer_session(connections):
    # Guards against an interface that accepts the clients of the other one when
    # both are configured with the same key by mistake.
    _, server = await async_handshake(
        connections, client_purpose=Purpose.OPERATOR
    )
    assert server.fault is Fault.WRONG_PURPOSE


async def test_replayed_frame_ends_the_session(connections):
    # Guards against a request that is executed twice.
    client, server = await async_handshake(connections)
    await client.async_send(b"once")
    assert await server.async_receive() == b"once"
    await connections[1].received.put(connections[0].sent[-1])
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await server.async_receive()
    assert caught.value.fault is Fault.WRONG_COUNTER


async def test_frame_of_another_session_is_rejected(connections):
    # Guards against session keys that do not depend on the nonces.
    client, _ = await async_handshake(connections)
    await client.async_send(b"old")
    recorded = connections[0].sent[-1]
    for connection in connections:
        while not connection.received.empty():
            connection.received.get_nowait()
    _, server = await async_handshake(connections)
    await connections[1].received.put(recorded)
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await server.async_receive()
    assert caught.value.fault is Fault.WRONG_TAG


async def test_frame_is_not_valid_in_the_other_direction(connections):
    # Guards against a frame that is reflected to its sender.
    client, _ = await async_handshake(connections)
    await client.async_send(b"x")
    await connections[0].received.put(connections[0].sent[-1])
    with pytest.raises(exceptions.AuthenticationError):
        await client.async_receive()


async def test_lost_frame_ends_the_session(connections):
    # Guards against messages that are dropped without being noticed.
    client, server = await async_handshake(connections)
    await client.async_send(b"first")
    await client.async_send(b"second")
    connections[1].received.get_nowait()
    with pytest.raises(exceptions.AuthenticationError) as caught:
        await server.async_receive()
    assert caught.value.fault is Fault.WRONG_COUNTER


@hypothesis.given(
    position=strategies.integers(0, 30), bit=strategies.integers(0, 7)
)
def test_modified_frame_is_rejected(position, bit):
    # Guards against parts of the frame that the tag does not cover.
    sender = session.Session(
        connection=None, remote_id="b", send_key=KEY, receive_key=KEY
    )
    frame = bytearray(sender._seal_frame(b"payload"))
    frame[position] ^= 1 << bit
    receiver = session.Session(
        connection=None, remote_id="a", send_key=KEY, receive_key=KEY
    )
    with pytest.raises(exceptions.AuthenticationError) as caught:
        receiver._open_frame(bytes(frame))
    assert caught.value.fault is Fault.WRONG_TAG


@hypothesis.given(strategies.binary(max_size=const.MAX_HANDSHAKE_BYTES))
def test_malformed_handshake_raises_authentication_error(data):
    # Guards against an exception of another type in the accepting task.
    for parse in (
        lambda: session._parse_hello(data, Purpose.PEER),
        lambda: session._parse_hello(Purpose.PEER.value + data, Purpose.PEER),
        lambda: session._parse_challenge(data),
        lambda: session._parse_challenge(bytes(32) + b"\x01" + data),
    ):
        with contextlib.suppress(exceptions.AuthenticationError):
            parse()


async def test_cancelled_send_ends_the_session(connections):
    # Guards against a frame that uses a sequence number but is never written:
    # the remote side would reject all later frames.
    client, _ = await async_handshake(connections)
    started = asyncio.Event()

    async def async_hang(frame):
        started.set()
        await asyncio.Event().wait()

    connections[0].send = async_hang
    sending = asyncio.create_task(client.async_send(b"x"))
    await started.wait()
    sending.cancel()
    await asyncio.wait([sending])
    assert connections[0].transport.aborted


@pytest.mark.parametrize(
    "keys",
    [[], [KEY, OTHER_KEY, THIRD_KEY], [bytes(15)], [bytes(65)], [KEY, b""]],
)
def test_invalid_keys_are_rejected(keys):
    # Guards against an empty key, with which anyone could authenticate.
    with pytest.raises(exceptions.InvalidKeyError):
        session.check_keys(keys)
