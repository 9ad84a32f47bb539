"""Envelopes of the requests, replies and refusals sent over a session."""

import dataclasses
import enum
from typing import Any

from chivedoor.rpc import codec
from chivedoor.rpc import const
from chivedoor.rpc import exceptions

Fault = exceptions.MessageFault

# An envelope is `[kind, request id, name, body]`.
_ENVELOPE_LENGTH = 4


class Kind(enum.IntEnum):
    """Kind of an envelope."""

    REQUEST = 0
    REPLY = 1
    REFUSAL = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A message or a refusal with the id of its request.

    Attributes:
        kind: Whether it holds a request, a reply or a refusal.
        request_id: Chosen by the client and unique on its connection.
        name: Name of the message type, or code of the refusal.
        body: Fields of the message, or detail of the refusal.
    """

    kind: Kind
    request_id: int
    name: str
    body: Any


def pack_envelope(
    registry: codec.MessageRegistry,
    kind: Kind,
    request_id: int,
    message: Any,
) -> bytes:
    """Encodes a request or a reply.

    Raises:
        MessageError: The message does not match its type or is too large.
    """
    name, fields = registry.pack(message)
    items = [int(kind), request_id, name, fields]
    return codec.encode_value(items, const.MAX_MESSAGE_BYTES)


def pack_refusal(
    request_id: int, code: exceptions.RefusalCode, detail: str
) -> bytes:
    """Encodes a refusal and truncates its detail."""
    text = detail[: const.MAX_ERROR_TEXT_CHARS]
    items = [int(Kind.REFUSAL), request_id, code.value, text]
    return codec.encode_value(items, const.MAX_MESSAGE_BYTES)


def parse_envelope(data: bytes) -> Envelope:
    """Decodes an envelope without validating its body.

    Raises:
        MessageError: The data is not an envelope.
    """
    items = codec.decode_value(data, const.MAX_MESSAGE_BYTES)
    if type(items) is not list or len(items) != _ENVELOPE_LENGTH:
        raise _create_malformed_error("the envelope is not a list of 4 items")
    kind, request_id, name, body = items
    if type(kind) is not int or kind not in set(Kind):
        raise _create_malformed_error("unknown envelope kind")
    if type(request_id) is not int or not 0 <= request_id < 2**63:
        raise _create_malformed_error("the request id is out of range")
    if type(name) is not str:
        raise _create_malformed_error("the name is not a string")
    return Envelope(
        kind=Kind(kind), request_id=request_id, name=name, body=body
    )


def parse_refusal(envelope: Envelope) -> exceptions.RequestRefusedError:
    """Converts a refusal to the error that is raised for it.

    Raises:
        MessageError: The code is unknown or the detail is not a string.
    """
    codes = {code.value: code for code in exceptions.RefusalCode}
    if envelope.name not in codes or type(envelope.body) is not str:
        raise _create_malformed_error(
            "unknown refusal code, or the detail is not a string"
        )
    return exceptions.RequestRefusedError(
        code=codes[envelope.name], detail=envelope.body
    )


def _create_malformed_error(detail: str) -> exceptions.MessageError:
    return exceptions.MessageError(fault=Fault.MALFORMED, detail=detail)
