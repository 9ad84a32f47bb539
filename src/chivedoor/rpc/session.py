"""Authenticated sessions over websocket connections.

The handshake messages hold these fields in order; `id` is a length byte and
UTF-8:

    client -> server   HELLO      purpose, nonce, id, ids of the client's keys
    server -> client   CHALLENGE  nonce, id, id of the chosen key, proof
    client -> server   PROOF      proof
    server -> client   (sealed frame 0, empty)

A proof is a keyed BLAKE2b hash of the sender's role and of all data that both
sides sent before, so it is valid for one handshake and one direction only.
Each direction then has its own key, derived from the same transcript, and
every frame carries a sequence number and an authentication tag. A frame that
was replayed, reordered, dropped or modified ends the session. Frames are
authenticated, not encrypted.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import enum
import hashlib
import hmac
import secrets
import struct
from typing import Any

from websockets import exceptions as websocket_exceptions

from chivedoor.rpc import const
from chivedoor.rpc import exceptions

Fault = exceptions.AuthenticationFault

_PROTOCOL_NAME = b"chivedoor-1"
_COUNTER = struct.Struct("!Q")


class Purpose(enum.Enum):
    """Interface that a session is for; a session is valid for one only."""

    PEER = b"P"
    OPERATOR = b"O"


class _DerivationLabel(enum.Enum):
    """Labels that separate the values derived from one key."""

    KEY_ID = b"key-id"
    SERVER_PROOF = b"server-proof"
    CLIENT_PROOF = b"client-proof"
    SERVER_FRAMES = b"server-frames"
    CLIENT_FRAMES = b"client-frames"


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """Validates the keys and returns them as a tuple, the current one first.

    Raises:
        InvalidKeyError: There is no key, there are more than two, or a key is
            not 16 to 64 bytes long.
    """
    if not 1 <= len(keys) <= const.MAX_KEYS:
        raise exceptions.InvalidKeyError(f"invalid number of keys: {len(keys)}")
    for key in keys:
        if not const.MIN_KEY_BYTES <= len(key) <= const.MAX_KEY_BYTES:
            raise exceptions.InvalidKeyError(
                f"invalid key length: {len(key)} bytes"
            )
    return tuple(keys)


def _derive(
    key: bytes, label: _DerivationLabel, data: bytes, size: int
) -> bytes:
    message = _PROTOCOL_NAME + b"|" + label.value + b"|" + data
    return hashlib.blake2b(message, key=key, digest_size=size).digest()


def _derive_key_id(key: bytes) -> bytes:
    return _derive(key, _DerivationLabel.KEY_ID, b"", const.KEY_ID_BYTES)


class Session:
    """One end of an authenticated connection.

    Attributes:
        remote_id: The authenticated id of the remote side.
    """

    def __init__(
        self,
        *,
        connection: Any,
        remote_id: str,
        send_key: bytes,
        receive_key: bytes,
    ) -> None:
        self.remote_id = remote_id
        self._connection = connection
        self._send_key = send_key
        self._receive_key = receive_key
        self._send_lock = asyncio.Lock()
        self._send_counter = 0
        self._receive_counter = 0

    async def async_send(self, payload: bytes) -> None:
        """Sends one frame.

        A cancelled send ends the session: its sequence number is used, and
        the remote side would reject the next frame if this one is missing.

        Raises:
            LinkClosedError: The connection is closed.
        """
        async with self._send_lock:
            frame = self._seal_frame(payload)
            try:
                await _async_send(self._connection, frame)
            except asyncio.CancelledError:
                self.abort()
                raise

    async def async_receive(self) -> bytes:
        """Returns the payload of the next frame.

        Raises:
            AuthenticationError: The frame is not authentic or not the next
                one that the remote side sent; the session must be closed.
            LinkClosedError: The connection is closed.
        """
        frame = await _async_receive(self._connection)
        return self._open_frame(frame)

    async def async_close(self) -> None:
        """Closes the connection; a second call does nothing."""
        await self._connection.close()

    def abort(self) -> None:
        """Drops the connection immediately, without a closing handshake."""
        self._connection.transport.abort()

    def _seal_frame(self, payload: bytes) -> bytes:
        counter = _COUNTER.pack(self._send_counter)
        self._send_counter += 1
        return (
            counter
            + _compute_frame_tag(self._send_key, counter, payload)
            + payload
        )

    def _open_frame(self, frame: bytes) -> bytes:
        header = const.FRAME_COUNTER_BYTES + const.FRAME_TAG_BYTES
        counter = frame[: const.FRAME_COUNTER_BYTES]
        tag = frame[const.FRAME_COUNTER_BYTES : header]
        payload = frame[header:]
        expected = _compute_frame_tag(self._receive_key, counter, payload)
        if not hmac.compare_digest(tag, expected):
            raise exceptions.AuthenticationError(fault=Fault.WRONG_TAG)
        if counter != _COUNTER.pack(self._receive_counter):
            raise exceptions.AuthenticationError(fault=Fault.WRONG_COUNTER)
        self._receive_counter += 1
        return payload


def _compute_frame_tag(key: bytes, counter: bytes, payload: bytes) -> bytes:
    state = hashlib.blake2b(counter, key=key, digest_size=const.FRAME_TAG_BYTES)
    state.update(payload)
    return state.digest()


async def async_initiate(
    connection: Any,
    *,
    purpose: Purpose,
    local_id: str,
    keys: Sequence[bytes],
    expected_id: str | None,
) -> Session:
    """Runs the client side of the handshake.

    Args:
        connection: An open websocket connection.
        purpose: The interface that the client connects to.
        local_id: The client's id.
        keys: One or two keys.
        expected_id: The id that the server must prove; None accepts any.

    Raises:
        AuthenticationError: The server did not prove a shared key and the
            expected id, or it rejected the client's proof.
        LinkClosedError: The server closed the connection.
    """
    async with _handshake_timeout():
        nonce = secrets.token_bytes(const.NONCE_BYTES)
        hello = _pack_hello(purpose, nonce, local_id, keys)
        await _async_send(connection, hello)
        challenge = await _async_receive(connection)
        prefix, server_id, key_id, proof = _parse_challenge(challenge)
        key = _choose_key(keys, [key_id])
        transcript = hello + prefix
        _verify_proof(key, _DerivationLabel.SERVER_PROOF, transcript, proof)
        if expected_id is not None and server_id != expected_id:
            raise exceptions.AuthenticationError(fault=Fault.WRONG_MEMBER)
        await _async_send(
            connection,
            _compute_proof(key, _DerivationLabel.CLIENT_PROOF, transcript),
        )
        session = _create_session(
            connection, server_id, key, transcript, is_client=True
        )
        await session.async_receive()
    _raise_message_limit(connection)
    return session


async def async_accept(
    connection: Any,
    *,
    purpose: Purpose,
    local_id: str,
    keys: Sequence[bytes],
) -> Session:
    """Runs the server side of the handshake.

    Raises:
        AuthenticationError: The client did not prove a shared key.
        LinkClosedError: The client closed the connection.
    """
    async with _handshake_timeout():
        hello = await _async_receive(connection)
        client_id, key_ids = _parse_hello(hello, purpose)
        key = _choose_key(keys, key_ids)
        prefix = (
            secrets.token_bytes(const.NONCE_BYTES)
            + _pack_id(local_id)
            + _derive_key_id(key)
        )
        transcript = hello + prefix
        proof = _compute_proof(key, _DerivationLabel.SERVER_PROOF, transcript)
        await _async_send(connection, prefix + proof)
        answer = await _async_receive(connection)
        _verify_proof(key, _DerivationLabel.CLIENT_PROOF, transcript, answer)
        # The limit is raised before the client is told that it is accepted,
        # because its first request may already be large.
        _raise_message_limit(connection)
        session = _create_session(
            connection, client_id, key, transcript, is_client=False
        )
        await session.async_send(b"")
    return session


@contextlib.asynccontextmanager
async def _handshake_timeout() -> AsyncIterator[None]:
    """Converts the timeout of a handshake to an authentication error."""
    try:
        async with asyncio.timeout(const.HANDSHAKE_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise exceptions.AuthenticationError(fault=Fault.TIMEOUT) from error


def _create_session(
    connection: Any,
    remote_id: str,
    key: bytes,
    transcript: bytes,
    *,
    is_client: bool,
) -> Session:
    size = hashlib.blake2b.MAX_KEY_SIZE
    client_key = _derive(key, _DerivationLabel.CLIENT_FRAMES, transcript, size)
    server_key = _derive(key, _DerivationLabel.SERVER_FRAMES, transcript, size)
    return Session(
        connection=connection,
        remote_id=remote_id,
        send_key=client_key if is_client else server_key,
        receive_key=server_key if is_client else client_key,
    )


def _compute_proof(
    key: bytes, label: _DerivationLabel, transcript: bytes
) -> bytes:
    return _derive(key, label, transcript, const.PROOF_BYTES)


def _verify_proof(
    key: bytes, label: _DerivationLabel, transcript: bytes, proof: bytes
) -> None:
    if not hmac.compare_digest(_compute_proof(key, label, transcript), proof):
        raise exceptions.AuthenticationError(fault=Fault.WRONG_PROOF)


def _choose_key(keys: Sequence[bytes], key_ids: Sequence[bytes]) -> bytes:
    """Returns the first of `keys` whose id the remote side sent."""
    for key in keys:
        if _derive_key_id(key) in key_ids:
            return key
    raise exceptions.AuthenticationError(fault=Fault.NO_COMMON_KEY)


def _pack_id(member_id: str) -> bytes:
    data = member_id.encode()
    if len(data) > const.MAX_MEMBER_ID_BYTES:
        raise exceptions.AuthenticationError(fault=Fault.MALFORMED_HANDSHAKE)
    return bytes([len(data)]) + data


def _pack_hello(
    purpose: Purpose, nonce: bytes, local_id: str, keys: Sequence[bytes]
) -> bytes:
    key_ids = b"".join(_derive_key_id(key) for key in keys)
    return purpose.value + nonce + _pack_id(local_id) + key_ids


def _parse_hello(hello: bytes, purpose: Purpose) -> tuple[str, list[bytes]]:
    if hello[:1] != purpose.value:
        raise exceptions.AuthenticationError(fault=Fault.WRONG_PURPOSE)
    client_id, rest = _parse_id(hello[1 + const.NONCE_BYTES :])
    size = const.KEY_ID_BYTES
    if len(rest) not in {size * count for count in (1, const.MAX_KEYS)}:
        raise exceptions.AuthenticationError(fault=Fault.MALFORMED_HANDSHAKE)
    return client_id, [
        rest[start : start + size] for start in range(0, len(rest), size)
    ]


def _parse_challenge(challenge: bytes) -> tuple[bytes, str, bytes, bytes]:
    """Returns the data before the proof, the id, the key id, the proof."""
    prefix = challenge[: -const.PROOF_BYTES]
    proof = challenge[-const.PROOF_BYTES :]
    server_id, key_id = _parse_id(prefix[const.NONCE_BYTES :])
    if len(key_id) != const.KEY_ID_BYTES:
        raise exceptions.AuthenticationError(fault=Fault.MALFORMED_HANDSHAKE)
    return prefix, server_id, key_id, proof


def _parse_id(data: bytes) -> tuple[str, bytes]:
    """Returns the id at the start of the data, and the remaining data."""
    size = data[0] if data else 0
    member_id = data[1 : 1 + size]
    if not 0 < size <= const.MAX_MEMBER_ID_BYTES or len(member_id) != size:
        raise exceptions.AuthenticationError(fault=Fault.MALFORMED_HANDSHAKE)
    try:
        return member_id.decode(), data[1 + size :]
    except UnicodeDecodeError as error:
        raise exceptions.AuthenticationError(
            fault=Fault.MALFORMED_HANDSHAKE
        ) from error


def _raise_message_limit(connection: Any) -> None:
    """Raises the message size limit of an authenticated connection."""
    header = const.FRAME_COUNTER_BYTES + const.FRAME_TAG_BYTES
    limit = header + const.MAX_MESSAGE_BYTES
    connection.protocol.max_message_size = limit


async def _async_send(connection: Any, data: bytes) -> None:
    try:
        await connection.send(data)
    except websocket_exceptions.ConnectionClosed as error:
        raise _convert_close_error(error) from error


async def _async_receive(connection: Any) -> bytes:
    try:
        return await connection.recv(decode=False)
    except websocket_exceptions.ConnectionClosed as error:
        raise _convert_close_error(error) from error


def _convert_close_error(
    error: websocket_exceptions.ConnectionClosed,
) -> Exception:
    """Returns the error for a closed connection.

    The close code is not authenticated; it only selects the error that the
    caller gets.
    """
    received = error.rcvd
    if received and received.code == const.CLOSE_CODE_NOT_AUTHENTICATED:
        return exceptions.AuthenticationError(fault=Fault.REJECTED)
    return exceptions.LinkClosedError(str(error))
