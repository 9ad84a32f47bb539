"""Parsing of IPv4 and IPv6 packets that carry TCP or UDP."""

import struct

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions

_DropReason = exceptions.DropReason

# One call unpacks the IP header and the first 8 bytes of the transport header,
# because each call of unpack_from takes about 0.4 us. Fields: total length,
# flags and fragment offset, TTL, protocol, source, destination, source port,
# destination port, and the two words that hold length and checksum in UDP.
_IPV4_HEADERS = struct.Struct("!2xH2xHBB2x4s4sHHHH")
# Payload length, next header, hop limit, and the same fields from source on.
_IPV6_HEADERS = struct.Struct("!4xHBB16s16sHHHH")
_IPV4_HEADERS_BYTES = _IPV4_HEADERS.size
_IPV6_HEADERS_BYTES = _IPV6_HEADERS.size

_IPV4 = const.IPV4
_IPV6 = const.IPV6
_TCP = const.TCP
_UDP = const.UDP
_MIN_TTL = const.MIN_TTL
_IPV4_HEADER_BYTES = const.IPV4_HEADER_BYTES
_IPV6_HEADER_BYTES = const.IPV6_HEADER_BYTES
_TCP_HEADER_BYTES = const.TCP_HEADER_BYTES
_UDP_HEADER_BYTES = const.UDP_HEADER_BYTES
_IPV4_FRAGMENT_MASK = const.IPV4_FRAGMENT_MASK
_TCP_DATA_OFFSET = 12
_TCP_FLAGS_OFFSET = 13

_IPV4_FIRST_BYTE = 0x45
_FIRST_IPV4_MULTICAST_BYTE = 0xE0
_IPV6_MULTICAST_BYTE = 0xFF
_IPV6_UNSPECIFIED = bytes(16)

_SYN = const.FLAG_SYN
_FIN = const.FLAG_FIN
_RST = const.FLAG_RST
_ACK = const.FLAG_ACK
_FIN_RST = _FIN | _RST
_SYN_ACK = _SYN | _ACK


class Packet:
    """A parsed packet with its own mutable copy of the bytes.

    Attributes:
        buffer: The whole IP packet.
        version: 4 or 6.
        protocol: IP protocol number, 6 (TCP) or 17 (UDP).
        source: Packed source address, 4 or 16 bytes.
        destination: Packed destination address, 4 or 16 bytes.
        source_port: Transport source port.
        destination_port: Transport destination port.
        flags: TCP flags; 0 for UDP.
        transport_offset: Offset of the transport header in bytes.
        payload_offset: Offset of the transport payload in bytes.
    """

    __slots__ = (
        "buffer",
        "destination",
        "destination_port",
        "flags",
        "payload_offset",
        "protocol",
        "source",
        "source_port",
        "transport_offset",
        "version",
    )

    # Positional arguments are allowed, because passing ten keywords takes
    # 1.2 us more for each packet.
    def __init__(
        self,
        buffer: bytearray,
        version: int,
        protocol: int,
        source: bytes,
        destination: bytes,
        source_port: int,
        destination_port: int,
        flags: int,
        transport_offset: int,
        payload_offset: int,
    ) -> None:
        self.buffer = buffer
        self.version = version
        self.protocol = protocol
        self.source = source
        self.destination = destination
        self.source_port = source_port
        self.destination_port = destination_port
        self.flags = flags
        self.transport_offset = transport_offset
        self.payload_offset = payload_offset

    @property
    def is_syn(self) -> bool:
        """Whether this is a TCP SYN without ACK."""
        return self.flags & _SYN_ACK == _SYN

    @property
    def is_syn_ack(self) -> bool:
        """Whether this is a TCP SYN with ACK."""
        return self.flags & _SYN_ACK == _SYN_ACK

    @property
    def is_fin(self) -> bool:
        """Whether this is a TCP segment with FIN."""
        return self.flags & _FIN != 0

    @property
    def is_reset(self) -> bool:
        """Whether this is a TCP segment with RST."""
        return self.flags & _RST != 0

    @property
    def payload(self) -> memoryview:
        """The transport payload, as a view of the buffer."""
        return memoryview(self.buffer)[self.payload_offset :]


def parse_packet(data: bytes | memoryview) -> Packet:
    """Parses one IP packet; only the end hosts verify its checksums.

    Args:
        data: Exactly one packet, which is copied.

    Returns:
        The parsed packet.

    Raises:
        exceptions.PacketError: The packet must be dropped.
    """
    buffer = bytearray(data)
    if not buffer:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    version = buffer[0] >> 4
    if version == _IPV4:
        return _parse_ipv4(buffer)
    if version == _IPV6:
        return _parse_ipv6(buffer)
    raise exceptions.PacketError(_DropReason.BAD_VERSION)


def _parse_ipv4(buffer: bytearray) -> Packet:
    if buffer[0] != _IPV4_FIRST_BYTE:
        raise exceptions.PacketError(_classify_first_byte(buffer[0]))
    size = len(buffer)
    if size < _IPV4_HEADERS_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    (
        length,
        fragment,
        ttl,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        transport_length,
        checksum,
    ) = _IPV4_HEADERS.unpack_from(buffer)
    if length != size:
        raise _create_length_error(length, size, _IPV4_HEADER_BYTES)
    if fragment & _IPV4_FRAGMENT_MASK:
        raise exceptions.PacketError(_DropReason.FRAGMENT)
    if ttl < _MIN_TTL:
        raise exceptions.PacketError(_DropReason.TTL_EXPIRED)
    # A refusal may only be sent to a single host (RFC 1122 section 3.2.2).
    if not 0 < source[0] < _FIRST_IPV4_MULTICAST_BYTE:
        raise exceptions.PacketError(_DropReason.BAD_SOURCE)
    return _parse_transport(
        buffer,
        _IPV4,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        transport_length,
        checksum,
        _IPV4_HEADER_BYTES,
    )


def _parse_ipv6(buffer: bytearray) -> Packet:
    size = len(buffer)
    if size < _IPV6_HEADERS_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    (
        length,
        protocol,
        ttl,
        source,
        destination,
        source_port,
        destination_port,
        transport_length,
        checksum,
    ) = _IPV6_HEADERS.unpack_from(buffer)
    length += _IPV6_HEADER_BYTES
    if length != size:
        raise _create_length_error(length, size, _IPV6_HEADER_BYTES)
    if ttl < _MIN_TTL:
        raise exceptions.PacketError(_DropReason.TTL_EXPIRED)
    if source[0] == _IPV6_MULTICAST_BYTE or source == _IPV6_UNSPECIFIED:
        raise exceptions.PacketError(_DropReason.BAD_SOURCE)
    return _parse_transport(
        buffer,
        _IPV6,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        transport_length,
        checksum,
        _IPV6_HEADER_BYTES,
    )


def _parse_transport(
    buffer: bytearray,
    version: int,
    protocol: int,
    source: bytes,
    destination: bytes,
    source_port: int,
    destination_port: int,
    length: int,
    checksum: int,
    offset: int,
) -> Packet:
    if source == destination:
        raise exceptions.PacketError(_DropReason.SAME_ADDRESS)
    if protocol == _TCP:
        payload, flags = _parse_tcp(buffer, offset)
    elif protocol == _UDP:
        payload = _parse_udp(len(buffer), offset, length)
        flags = 0
        # RFC 8200 section 8.1 requires a UDP checksum over IPv6.
        if not checksum and version == _IPV6:
            raise exceptions.PacketError(_DropReason.ZERO_CHECKSUM)
    else:
        raise exceptions.PacketError(_classify_protocol(version, protocol))
    if not source_port or not destination_port:
        raise exceptions.PacketError(_DropReason.ZERO_PORT)
    return Packet(
        buffer,
        version,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        flags,
        offset,
        payload,
    )


def _parse_tcp(buffer: bytearray, offset: int) -> tuple[int, int]:
    """Returns the offset of the payload and the flags."""
    size = len(buffer)
    if size < offset + _TCP_HEADER_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    header_length = (buffer[offset + _TCP_DATA_OFFSET] >> 4) * 4
    payload = offset + header_length
    if header_length < _TCP_HEADER_BYTES or payload > size:
        raise exceptions.PacketError(_DropReason.BAD_HEADER_LENGTH)
    flags = buffer[offset + _TCP_FLAGS_OFFSET]
    if not flags or (flags & _SYN and flags & _FIN_RST):
        raise exceptions.PacketError(_DropReason.BAD_FLAGS)
    return payload, flags


def _parse_udp(size: int, offset: int, length: int) -> int:
    """Returns the offset of the payload."""
    if length != size - offset:
        raise _create_length_error(length, size - offset, _UDP_HEADER_BYTES)
    return offset + _UDP_HEADER_BYTES


def _classify_first_byte(first_byte: int) -> exceptions.DropReason:
    if first_byte < _IPV4_FIRST_BYTE:
        return _DropReason.BAD_HEADER_LENGTH
    return _DropReason.IP_OPTIONS


def _classify_protocol(version: int, protocol: int) -> exceptions.DropReason:
    if version == _IPV4:
        return _DropReason.UNSUPPORTED_PROTOCOL
    if protocol == const.IPV6_FRAGMENT_HEADER:
        return _DropReason.FRAGMENT
    if protocol in const.IPV6_EXTENSION_HEADERS:
        return _DropReason.IP_OPTIONS
    return _DropReason.UNSUPPORTED_PROTOCOL


def _create_length_error(
    stated_length: int, actual_length: int, header_length: int
) -> exceptions.PacketError:
    # Bytes after the packet are an error and not padding, because each datagram
    # carries exactly one packet.
    if stated_length > actual_length and stated_length >= header_length:
        return exceptions.PacketError(_DropReason.TRUNCATED)
    return exceptions.PacketError(_DropReason.BAD_LENGTH)
