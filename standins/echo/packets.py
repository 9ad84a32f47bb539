"""Encoding and decoding of packets at callers and endpoints.

Independent of `chivedoor.platform.packets`, so that tests do not repeat an
error of that implementation.
"""

import dataclasses
import enum
import socket
import struct
import zlib

from standins import exceptions

_HEADER = struct.Struct(">IH4s4sHIIIBBH")
_CHECKSUM_KEY = b"key of the ends"


class Flags(enum.IntFlag):
    """Control flags of a packet."""

    NONE = 0
    ACKNOWLEDGE = 8
    RESET = 16
    FINISH = 64
    OPEN = 128


# Flags, sequence, acknowledgement and payload.
PacketFields = tuple[Flags, int, int, bytes]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Packet:
    """A packet of a flow.

    Attributes:
        source: Host and port of the sender.
        destination: Host and port of the receiver.
        flags: Control flags.
        tag: Value that both ends echo.
        sequence: Sequence number of the first byte.
        acknowledged: The sender has received all bytes before this number;
            in an opening packet, the number of copies sent before.
        payload: Payload.
        authentic: Whether the checksum was computed by a caller or an
            endpoint.
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
    def sequence_length(self) -> int:
        """Number of sequence numbers that the packet consumes."""
        control_flags = self.flags & (Flags.OPEN | Flags.FINISH)
        return len(self.payload) + bool(control_flags)

    def encode(self) -> bytes:
        """Encodes the packet with a valid checksum."""
        return _pack(self, _compute_checksum(self)) + self.payload


def encode_fields(
    source: tuple[str, int],
    destination: tuple[str, int],
    tag: int,
    fields: PacketFields,
) -> bytes:
    """Encodes a packet of a stream."""
    flags, sequence, acknowledged, payload = fields
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
        SegmentError: The datagram is not a valid packet.
    """
    if len(data) < _HEADER.size:
        raise exceptions.SegmentError("packet is shorter than the header")
    fields = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if fields[-1] != len(payload):
        raise exceptions.SegmentError("payload length differs from the header")
    packet = Packet(
        source=(socket.inet_ntoa(fields[3]), fields[4]),
        destination=(socket.inet_ntoa(fields[2]), fields[1]),
        flags=Flags(fields[8]),
        tag=fields[5],
        sequence=fields[6],
        acknowledged=fields[7],
        payload=payload,
    )
    authentic = fields[0] == _compute_checksum(packet)
    return dataclasses.replace(packet, authentic=authentic)


def _compute_checksum(packet: Packet) -> int:
    """Computes the keyed checksum, which does not cover the tag."""
    header = _pack(dataclasses.replace(packet, tag=0), 0)
    return zlib.crc32(
        packet.payload, zlib.crc32(header, zlib.crc32(_CHECKSUM_KEY))
    )


def _pack(packet: Packet, checksum: int) -> bytes:
    return _HEADER.pack(
        checksum,
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
