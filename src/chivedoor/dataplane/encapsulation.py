"""Authenticated encapsulation of packets between balancers."""

import enum
import hashlib
import hmac
import struct
from typing import NamedTuple

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions

_SealFault = exceptions.SealFault

# Version, kind, hops, key slot, document version, endpoint number, sender.
_HEADER_FIELDS = struct.Struct("!BBBBIII")
_TAG_OFFSET = _HEADER_FIELDS.size
_PACKET_OFFSET = const.ENCAPSULATION_HEADER_BYTES

# BLAKE2b personalization, which separates these hashes from other uses of the
# same key.
_TAG_PERSONALIZATION = b"chivedoor-packet"
_SLOT_PERSONALIZATION = b"chivedoor-slot"


class ForwardKind(enum.IntEnum):
    """Action that the receiving balancer takes for a packet."""

    # Find the target of the flow, as the owner of its base target.
    RESOLVE = 1
    # Handle the packet as the owner of the target that an override names.
    NEXT = 2
    # Record the new flow as the replica of its target and deliver the packet.
    CHAIN = 3
    # Update the records from a copy of the packet, without delivering it.
    COPY = 4
    # Handle a target's packet as the owner of the target.
    ANSWER = 5
    # Look for the flow, or admit it, as the owner of a candidate target.
    LOOKUP = 6
    # Like RESOLVE; the sender also suspects that the target is silent.
    SUSPECT = 7


_KINDS_BY_VALUE = {int(kind): kind for kind in ForwardKind}


class Header(NamedTuple):
    """Header of a packet between balancers.

    Attributes:
        kind: Action that the receiving balancer takes.
        hops: Number of balancers passed so far, at most `const.MAX_HOPS`.
        document_version: Version of the sender's document.
        endpoint_number: Number of the endpoint that the packet is for.
        sender: Hash of the sending balancer's id and incarnation.
    """

    kind: ForwardKind
    hops: int
    document_version: int
    endpoint_number: int
    sender: int = 0


class Keys:
    """The current key and, during a rotation, a second accepted key.

    The slot of a key is derived from the key, so that balancers agree on it
    without a setting. To rotate the key, configure the new key as the second
    key of every balancer, then swap the two keys, then remove the old key.
    """

    __slots__ = ("_hashes_by_slot", "_slot")

    def __init__(self, *, current: bytes, previous: bytes | None = None):
        """Creates the keyed hashes.

        Args:
            current: Key for sending and receiving, 16 to 64 bytes.
            previous: Second key that is accepted, or None.

        Raises:
            exceptions.KeyLengthError: A key has the wrong length.
        """
        accepted_keys = [current] if previous is None else [current, previous]
        self._slot = _derive_slot(current)
        # Keys that share a slot are both tried.
        self._hashes_by_slot: dict[int, tuple] = {}
        for key in accepted_keys:
            slot = _derive_slot(key)
            slot_hashes = self._hashes_by_slot.get(slot, ())
            self._hashes_by_slot[slot] = (*slot_hashes, _create_keyed_hash(key))

    @property
    def slot(self) -> int:
        """Slot of the key used for sending."""
        return self._slot

    def compute_tag(self, fields: bytes, data: bytes | memoryview) -> bytes:
        """Computes a tag with the current key."""
        return _compute_tag(self._hashes_by_slot[self._slot][0], fields, data)

    def verify_tag(
        self,
        slot: int,
        tag: bytes | memoryview,
        fields: bytes | memoryview,
        data: memoryview,
    ) -> None:
        """Verifies a tag with the keys of a slot.

        Raises:
            exceptions.EncapsulationError: No key has this slot, or the tag
                does not match.
        """
        hashes = self._hashes_by_slot.get(slot)
        if hashes is None:
            raise exceptions.EncapsulationError(_SealFault.UNKNOWN_KEY)
        for keyed_hash in hashes:
            if hmac.compare_digest(_compute_tag(keyed_hash, fields, data), tag):
                return
        raise exceptions.EncapsulationError(_SealFault.BAD_TAG)


def seal_packet(
    header: Header, data: bytes | bytearray | memoryview, keys: Keys
) -> bytes:
    """Prepends an authenticated header to an IP packet.

    Args:
        header: The header's fields.
        data: The IP packet.
        keys: Keys shared by the balancers.

    Returns:
        The datagram for the other balancer.

    Raises:
        exceptions.EncapsulationError: A header field is out of range, or the
            packet has passed too many balancers.
    """
    kind, hops, document_version, endpoint_number, sender = header
    if hops > const.MAX_HOPS:
        raise exceptions.EncapsulationError(_SealFault.TOO_MANY_HOPS)
    try:
        fields = _HEADER_FIELDS.pack(
            const.ENCAPSULATION_VERSION,
            kind,
            hops,
            keys.slot,
            document_version,
            endpoint_number,
            sender,
        )
    except struct.error as error:
        raise exceptions.EncapsulationError(_SealFault.FIELD_RANGE) from error
    return b"".join((fields, keys.compute_tag(fields, data), data))


def open_packet(
    datagram: bytes | memoryview, keys: Keys
) -> tuple[Header, memoryview]:
    """Verifies and removes the header of a packet between balancers.

    Args:
        datagram: The received datagram.
        keys: Keys shared by the balancers.

    Returns:
        The header and the IP packet, which is a view of the datagram.

    Raises:
        exceptions.EncapsulationError: The datagram is not an authentic
            packet of another balancer.
    """
    view = memoryview(datagram)
    if len(view) < _PACKET_OFFSET:
        raise exceptions.EncapsulationError(_SealFault.TRUNCATED)
    version, kind, hops, slot, document_version, endpoint_number, sender = (
        _HEADER_FIELDS.unpack_from(view)
    )
    if version != const.ENCAPSULATION_VERSION:
        raise exceptions.EncapsulationError(_SealFault.UNKNOWN_VERSION)
    data = view[_PACKET_OFFSET:]
    keys.verify_tag(
        slot, view[_TAG_OFFSET:_PACKET_OFFSET], view[:_TAG_OFFSET], data
    )
    forward_kind = _KINDS_BY_VALUE.get(kind)
    if forward_kind is None:
        raise exceptions.EncapsulationError(_SealFault.UNKNOWN_KIND)
    if hops > const.MAX_HOPS:
        raise exceptions.EncapsulationError(_SealFault.TOO_MANY_HOPS)
    header = Header(
        forward_kind, hops, document_version, endpoint_number, sender
    )
    return header, data


def _derive_slot(key: bytes) -> int:
    if not const.MIN_KEY_BYTES <= len(key) <= const.MAX_KEY_BYTES:
        raise exceptions.KeyLengthError(f"invalid key length: {len(key)} bytes")
    digest = hashlib.blake2b(
        key=key, digest_size=1, person=_SLOT_PERSONALIZATION
    )
    return digest.digest()[0]


def _create_keyed_hash(key: bytes) -> hashlib.blake2b:
    return hashlib.blake2b(
        key=key, digest_size=const.TAG_BYTES, person=_TAG_PERSONALIZATION
    )


def _compute_tag(
    keyed_hash: hashlib.blake2b,
    fields: bytes | memoryview,
    data: bytes | memoryview,
) -> bytes:
    state = keyed_hash.copy()
    state.update(fields)
    state.update(data)
    return state.digest()
