"""Encoding and decoding of TCP, UDP and ICMP packets over IPv4."""

import dataclasses
import functools
import struct

from standins import const
from standins import exceptions

_IP = struct.Struct("!HHHHHH4s4s")
_TCP = struct.Struct("!HHIIBBHHH")
_UDP = struct.Struct("!HHHH")
_ICMP = struct.Struct("!BBHI")
_FIRST_WORD = 0x4500
_DO_NOT_FRAGMENT = 0x4000
_ADDRESSES_OFFSET = 12
_PORTS = struct.Struct("!HH")
_MSS_OPTION = struct.pack("!BBH", 2, 4, const.MAXIMUM_SEGMENT_BYTES)


@dataclasses.dataclass(slots=True, kw_only=True)
class Segment:
    """A TCP segment with packed addresses and raw sequence numbers."""

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    sequence: int
    acknowledgement: int
    flags: int
    window: int = const.RECEIVE_WINDOW_BYTES
    payload: bytes = b""


@dataclasses.dataclass(slots=True, kw_only=True)
class Datagram:
    """A UDP datagram."""

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    payload: bytes = b""


@dataclasses.dataclass(slots=True, kw_only=True)
class Unreachable:
    """An ICMP destination unreachable message.

    Addresses and ports are those of the quoted packet.
    """

    code: int
    protocol: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int


def sum_checksum(data: bytes) -> int:
    """Computes the Internet checksum of `data`.

    The one's complement sum of 16-bit words equals the big-endian integer
    modulo 65535, which takes a single big-integer operation.
    """
    if len(data) % 2:
        data += b"\0"
    return 0xFFFF - (int.from_bytes(data, "big") % 0xFFFF or 0xFFFF)


def _build_ip(
    source: bytes, destination: bytes, protocol: int, body: bytes
) -> bytes:
    length = const.IPV4_HEADER_BYTES + len(body)
    ttl_and_protocol = const.DEFAULT_TTL << 8 | protocol
    total = _FIRST_WORD + length + _DO_NOT_FRAGMENT + ttl_and_protocol
    total += int.from_bytes(source + destination, "big")
    header = _IP.pack(
        _FIRST_WORD,
        length,
        0,
        _DO_NOT_FRAGMENT,
        ttl_and_protocol,
        0xFFFF - (total % 0xFFFF or 0xFFFF),
        source,
        destination,
    )
    return header + body


def _sum_transport(addresses_and_body: bytes, protocol: int) -> int:
    """Computes the checksum over pseudo header and transport packet.

    The input starts with the addresses, as they precede the transport header in
    an IPv4 packet.
    """
    length = len(addresses_and_body) - 2 * const.IPV4_ADDRESS_BYTES
    if length % 2:
        addresses_and_body += b"\0"
    total = int.from_bytes(addresses_and_body, "big") + protocol + length
    return 0xFFFF - (total % 0xFFFF or 0xFFFF)


@functools.singledispatch
def build_packet(content) -> bytes:
    """Builds the IPv4 packet of a `Segment`, `Datagram` or `Unreachable`."""
    raise TypeError(type(content))


@build_packet.register
def _(segment: Segment) -> bytes:
    options = _MSS_OPTION if segment.flags & const.SYN else b""
    offset = (const.TCP_HEADER_BYTES + len(options)) << 2
    fields = (
        segment.source_port,
        segment.destination_port,
        segment.sequence,
        segment.acknowledgement,
        offset,
        segment.flags,
        segment.window,
    )
    tail = options + segment.payload
    body = _TCP.pack(*fields, 0, 0) + tail
    addresses = segment.source + segment.destination
    checksum = _sum_transport(addresses + body, const.PROTOCOL_TCP)
    body = _TCP.pack(*fields, checksum, 0) + tail
    return _build_ip(
        segment.source, segment.destination, const.PROTOCOL_TCP, body
    )


@build_packet.register
def _(datagram: Datagram) -> bytes:
    length = const.UDP_HEADER_BYTES + len(datagram.payload)
    ports = (datagram.source_port, datagram.destination_port)
    body = _UDP.pack(*ports, length, 0) + datagram.payload
    addresses = datagram.source + datagram.destination
    # A computed checksum of zero is sent as all ones (RFC 768).
    checksum = _sum_transport(addresses + body, const.PROTOCOL_UDP) or 0xFFFF
    body = _UDP.pack(*ports, length, checksum) + datagram.payload
    return _build_ip(
        datagram.source, datagram.destination, const.PROTOCOL_UDP, body
    )


@build_packet.register
def _(message: Unreachable) -> bytes:
    ports = _PORTS.pack(message.source_port, message.destination_port)
    quoted = _build_ip(
        message.source,
        message.destination,
        message.protocol,
        ports + b"\0" * 4,
    )
    kind = const.ICMP_UNREACHABLE
    body = _ICMP.pack(kind, message.code, 0, 0) + quoted
    checksum = sum_checksum(body)
    body = _ICMP.pack(kind, message.code, checksum, 0) + quoted
    return _build_ip(
        message.destination, message.source, const.PROTOCOL_ICMP, body
    )


def read_packet(data: bytes) -> Segment | Datagram | Unreachable:
    """Decodes and validates an IPv4 packet like a host's network stack.

    Raises:
        SegmentError: The packet is malformed, has an unknown protocol or a
            wrong checksum.
    """
    if len(data) < const.IPV4_HEADER_BYTES or data[0] != 0x45:
        raise exceptions.SegmentError("not an IPv4 packet without options")
    if sum_checksum(data[: const.IPV4_HEADER_BYTES]):
        raise exceptions.SegmentError("wrong checksum of the IPv4 header")
    length = int.from_bytes(data[2:4], "big")
    if length > len(data):
        raise exceptions.SegmentError("truncated packet")
    reader = _READERS.get(data[9])
    if reader is None:
        raise exceptions.SegmentError("unknown protocol")
    try:
        return reader(data[:length])
    except struct.error as error:
        raise exceptions.SegmentError("truncated header") from error


def _check_transport(packet: bytes, protocol: int) -> None:
    if _sum_transport(packet[_ADDRESSES_OFFSET:], protocol):
        raise exceptions.SegmentError("wrong checksum of the transport header")


def _read_segment(packet: bytes) -> Segment:
    _check_transport(packet, const.PROTOCOL_TCP)
    fields = _TCP.unpack_from(packet, const.IPV4_HEADER_BYTES)
    payload_offset = const.IPV4_HEADER_BYTES + (fields[4] >> 4) * 4
    return Segment(
        source=packet[12:16],
        source_port=fields[0],
        destination=packet[16:20],
        destination_port=fields[1],
        sequence=fields[2],
        acknowledgement=fields[3],
        flags=fields[5],
        window=fields[6],
        payload=packet[payload_offset:],
    )


def _read_datagram(packet: bytes) -> Datagram:
    fields = _UDP.unpack_from(packet, const.IPV4_HEADER_BYTES)
    if fields[3]:
        _check_transport(packet, const.PROTOCOL_UDP)
    start = const.IPV4_HEADER_BYTES
    return Datagram(
        source=packet[12:16],
        source_port=fields[0],
        destination=packet[16:20],
        destination_port=fields[1],
        payload=packet[start + const.UDP_HEADER_BYTES : start + fields[2]],
    )


def _read_icmp(packet: bytes) -> Unreachable:
    body = packet[const.IPV4_HEADER_BYTES :]
    if sum_checksum(body):
        raise exceptions.SegmentError("wrong checksum of the ICMP message")
    kind, code, _, _ = _ICMP.unpack_from(body)
    if kind != const.ICMP_UNREACHABLE:
        raise exceptions.SegmentError("unknown ICMP type")
    quoted = body[_ICMP.size :]
    ports = _PORTS.unpack_from(quoted, const.IPV4_HEADER_BYTES)
    return Unreachable(
        code=code,
        protocol=quoted[9],
        source=quoted[12:16],
        source_port=ports[0],
        destination=quoted[16:20],
        destination_port=ports[1],
    )


_READERS = {
    const.PROTOCOL_ICMP: _read_icmp,
    const.PROTOCOL_TCP: _read_segment,
    const.PROTOCOL_UDP: _read_datagram,
}
