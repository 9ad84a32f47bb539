"""Packets as their two ends write and read them.

Written apart from `chivedoor.platform.packets`, so that a mistake there is
not repeated here.
"""

import dataclasses
import enum
import socket
import struct
import zlib

from standins import exceptions

_HEAD = struct.Struct(">IH4s4sHIIIBBH")
_KEY = b"key of the ends"


class Flags(enum.IntFlag):
    """What a packet does to its flow."""

    NONE = 0
    ACKNOWLEDGE = 8
    RESET = 16
    FINISH = 64
    OPEN = 128


# Flags, sequence, acknowledgement and payload.
Part = tuple[Flags, int, int, bytes]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Packet:
    """One packet.

    Attributes:
        source: Host and port of the sender's end.
        destination: Host and port of the receiver's end.
        flags: What it does to the flow.
        tag: The echoed field.
        sequence: Sequence number of its first byte.
        acknowledged: The sender has everything before this number; in an
            opening packet the number of copies sent before.
        payload: The data.
        authentic: Whether the sum is the one of an end.
    """

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: Flags
    tag: int = 0
    sequence: int = 0
    acknowledged: int = 0
    payload: bytes = b""
    authentic: bool = True

    @property
    def length(self) -> int:
        """Sequence numbers that the packet takes."""
        marks = self.flags & (Flags.OPEN | Flags.FINISH)
        return len(self.payload) + bool(marks)

    def encode(self) -> bytes:
        """Returns the datagram, with the sum of an end."""
        return _pack(self, _compute_sum(self)) + self.payload


def encode_part(
    source: tuple[str, int],
    destination: tuple[str, int],
    tag: int,
    part: Part,
) -> bytes:
    """Returns the datagram that carries a part of a stream."""
    flags, sequence, acknowledged, payload = part
    return Packet(
        source=source,
        destination=destination,
        flags=flags,
        tag=tag,
        sequence=sequence,
        acknowledged=acknowledged,
        payload=payload,
    ).encode()


def decode_packet(data: bytes) -> Packet:
    """Decodes a datagram.

    Raises:
        SegmentError: The datagram is no packet.
    """
    if len(data) < _HEAD.size:
        raise exceptions.SegmentError("short packet")
    fields = _HEAD.unpack_from(data)
    payload = data[_HEAD.size :]
    if fields[-1] != len(payload):
        raise exceptions.SegmentError("length of the data")
    packet = Packet(
        source=(socket.inet_ntoa(fields[3]), fields[4]),
        destination=(socket.inet_ntoa(fields[2]), fields[1]),
        flags=Flags(fields[8]),
        tag=fields[5],
        sequence=fields[6],
        acknowledged=fields[7],
        payload=payload,
    )
    authentic = fields[0] == _compute_sum(packet)
    return dataclasses.replace(packet, authentic=authentic)


def _compute_sum(packet: Packet) -> int:
    """Returns the keyed sum; it does not cover the echoed field."""
    head = _pack(dataclasses.replace(packet, tag=0), 0)
    return zlib.crc32(packet.payload, zlib.crc32(head, zlib.crc32(_KEY)))


def _pack(packet: Packet, total: int) -> bytes:
    return _HEAD.pack(
        total,
        packet.destination[1],
        socket.inet_aton(packet.destination[0]),
        socket.inet_aton(packet.source[0]),
        packet.source[1],
        packet.tag,
        packet.sequence & 0xFFFFFFFF,
        packet.acknowledged & 0xFFFFFFFF,
        packet.flags,
        0,
        len(packet.payload),
    )
