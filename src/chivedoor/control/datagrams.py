"""Encoding and decoding of gossip datagrams."""

from collections.abc import Sequence
import dataclasses
import enum
import ipaddress
from typing import Any

import cbor2

from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import exceptions

_VERSION = 1
_FIELD_COUNT = 9
_NUMBER_LIMIT = 1 << 64
_CBOR_ARRAY = 0x80
_CBOR_ARRAY_1_BYTE_LENGTH = 0x98
_CBOR_ARRAY_2_BYTE_LENGTH = 0x99
# Upper bound of the array headers and fixed fields, without the sender's id.
_OVERHEAD_BYTES = 48


class Kind(enum.IntEnum):
    """Purpose of a datagram."""

    PING = 1
    # `extra` is True if the sender lacks the record of the recipient.
    ACK = 2
    # `extra` is the id of the member to probe.
    PING_REQUEST = 3
    # Urgent updates; the recipient forwards those that are new to it.
    SPREAD = 4
    # `extra` holds the bucket sums of the sender's digest.
    SUMS = 5
    # `extra` lists ranges of key hashes with the sender's versions.
    SUMMARY = 6
    # `extra` holds the key hashes of the requested records.
    WANT = 7
    RECORDS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipMessage:
    """A decoded datagram.

    Attributes:
        kind: Purpose of the datagram.
        sender: The member that sent it.
        sequence_number: Number that increases with each datagram of the
            sender.
        probe: Number of the probe for `PING`, `ACK` and `PING_REQUEST`.
        digest: Root of the sender's digest.
        extra: Content that depends on the kind, not yet checked.
        updates: Decoded member updates, not yet checked.
        entries: Decoded board entries, not yet checked.
    """

    kind: Kind
    sender: ids.VmId
    sequence_number: int
    probe: int
    digest: int
    extra: Any
    updates: list[Any]
    entries: list[Any]


def compute_available_bytes(sender: ids.VmId, extra: Any = None) -> int:
    """Returns the bytes that one datagram has for updates and entries."""
    fixed = _OVERHEAD_BYTES + len(sender.encode()) + const.TAG_BYTES
    return const.MAX_DATAGRAM_BYTES - fixed - len(cbor2.dumps(extra))


def encode_message(
    *,
    kind: Kind,
    sender: ids.VmId,
    sequence_number: int,
    probe: int,
    digest: int,
    extra: Any,
    updates: Sequence[bytes],
    entries: Sequence[bytes],
) -> bytes:
    """Encodes a datagram without its authentication tag.

    Updates and entries are already encoded as CBOR and are copied unchanged.
    """
    fixed = (_VERSION, int(kind), sender, sequence_number, probe, digest, extra)
    return b"".join(
        (
            _encode_array(_FIELD_COUNT),
            *map(cbor2.dumps, fixed),
            _encode_array(len(updates)),
            *updates,
            _encode_array(len(entries)),
            *entries,
        )
    )


def decode_message(body: bytes) -> GossipMessage:
    """Decodes a datagram whose tag has been verified.

    Raises:
        MessageError: The datagram is malformed.
    """
    # The decoder raises many exception types for malformed input, such as
    # values that are nested too deeply or tags with invalid content.
    try:
        fields = cbor2.loads(body)
    except (Exception, RecursionError) as error:
        raise exceptions.MessageError(
            "the datagram is not valid CBOR"
        ) from error
    if not isinstance(fields, list) or len(fields) != _FIELD_COUNT:
        raise exceptions.MessageError(
            "the datagram is not an array of 9 fields"
        )
    version, kind, sender, sequence_number, probe, digest, extra = fields[:7]
    updates, entries = fields[7:]
    if version != _VERSION:
        raise exceptions.MessageError("the version of the datagram is unknown")
    for value in (kind, sequence_number, probe, digest):
        if type(value) is not int or not 0 <= value < _NUMBER_LIMIT:
            raise exceptions.MessageError(
                "a numeric field of the datagram is out of range"
            )
    if not isinstance(sender, str):
        raise exceptions.MessageError("the sender is not text")
    if not 0 < len(sender.encode()) <= const.MAX_TOPIC_BYTES:
        raise exceptions.MessageError("the sender is empty or too long")
    if not isinstance(updates, list) or not isinstance(entries, list):
        raise exceptions.MessageError("the updates or entries are not an array")
    return GossipMessage(
        kind=_parse_kind(kind),
        sender=ids.VmId(sender),
        sequence_number=sequence_number,
        probe=probe,
        digest=digest,
        extra=extra,
        updates=updates,
        entries=entries,
    )


def encode_recipient(address: str, port: int) -> bytes:
    """Returns the context that binds a tag to the recipient."""
    return ipaddress.ip_address(address).packed + port.to_bytes(2, "big")


def _parse_kind(value: int) -> Kind:
    try:
        return Kind(value)
    except ValueError as error:
        raise exceptions.MessageError(
            "the kind of the datagram is unknown"
        ) from error


def _encode_array(length: int) -> bytes:
    if length < 24:
        return bytes((_CBOR_ARRAY | length,))
    if length < 256:
        return bytes((_CBOR_ARRAY_1_BYTE_LENGTH, length))
    return bytes((_CBOR_ARRAY_2_BYTE_LENGTH,)) + length.to_bytes(2, "big")
