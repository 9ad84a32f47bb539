"""Parsing of IPv4 and IPv6 packets that carry TCP or UDP."""

import struct

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions

_DropReason = exceptions.DropReason

# Total length, fragment word, TTL, protocol, source, destination.
_IPV4_HEADER = struct.Struct("!2xH2xHBB2x4s4s")
# Payload length, next header, hop limit, source, destination.
_IPV6_HEADER = struct.Struct("!4xHBB16s16s")
# Source port, destination port, data offset, flags.
_TCP_HEADER = struct.Struct("!HH8xBB")
# Source port, destination port, length, checksum.
_UDP_HEADER = struct.Struct("!HHHH")

_IPV4_FIRST_BYTE = 0x45
_FIRST_IPV4_MULTICAST_BYTE = 0xE0
_IPV6_MULTICAST_BYTE = 0xFF
_IPV6_UNSPECIFIED = bytes(16)

_SYN = const.FLAG_SYN
_FIN = const.FLAG_FIN
_RST = const.FLAG_RST
_ACK = const.FLAG_ACK
_SYN_FIN = _SYN | _FIN
_SYN_RST = _SYN | _RST
_SYN_ACK = _SYN | _ACK


class Packet:
    """A parsed packet over its own mutable copy of the bytes.

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

    def __init__(
        self,
        *,
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
    """Parses one IP packet; checksums are left to the end hosts.

    Args:
        data: Exactly one packet; it is copied.

    Returns:
        The parsed packet.

    Raises:
        exceptions.PacketError: The packet is to be dropped.
    """
    buffer = bytearray(data)
    if not buffer:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    version = buffer[0] >> 4
    if version == const.IPV4:
        protocol, source, destination = _parse_ipv4(buffer)
        offset = const.IPV4_HEADER_BYTES
    elif version == const.IPV6:
        protocol, source, destination = _parse_ipv6(buffer)
        offset = const.IPV6_HEADER_BYTES
    else:
        raise exceptions.PacketError(_DropReason.BAD_VERSION)
    if source == destination:
        raise exceptions.PacketError(_DropReason.SAME_ADDRESS)
    if protocol == const.TCP:
        source_port, destination_port, payload, flags = _parse_tcp(
            buffer, offset
        )
    else:
        source_port, destination_port = _parse_udp(buffer, offset, version)
        payload = offset + const.UDP_HEADER_BYTES
        flags = 0
    if not source_port or not destination_port:
        raise exceptions.PacketError(_DropReason.ZERO_PORT)
    return Packet(
        buffer=buffer,
        version=version,
        protocol=protocol,
        source=source,
        destination=destination,
        source_port=source_port,
        destination_port=destination_port,
        flags=flags,
        transport_offset=offset,
        payload_offset=payload,
    )


def _parse_ipv4(buffer: bytearray) -> tuple[int, bytes, bytes]:
    if buffer[0] != _IPV4_FIRST_BYTE:
        if buffer[0] < _IPV4_FIRST_BYTE:
            raise exceptions.PacketError(_DropReason.BAD_HEADER_LENGTH)
        raise exceptions.PacketError(_DropReason.IP_OPTIONS)
    if len(buffer) < const.IPV4_HEADER_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    length, fragment, ttl, protocol, source, destination = (
        _IPV4_HEADER.unpack_from(buffer)
    )
    if length != len(buffer):
        raise _make_length_error(length, len(buffer), const.IPV4_HEADER_BYTES)
    if fragment & const.IPV4_FRAGMENT_MASK:
        raise exceptions.PacketError(_DropReason.FRAGMENT)
    if protocol != const.TCP and protocol != const.UDP:
        raise exceptions.PacketError(_DropReason.UNSUPPORTED_PROTOCOL)
    if ttl < const.MIN_TTL:
        raise exceptions.PacketError(_DropReason.TTL_EXPIRED)
    # A refusal must go to a single host (RFC 1122 section 3.2.2).
    if not 0 < source[0] < _FIRST_IPV4_MULTICAST_BYTE:
        raise exceptions.PacketError(_DropReason.BAD_SOURCE)
    return protocol, source, destination


def _parse_ipv6(buffer: bytearray) -> tuple[int, bytes, bytes]:
    if len(buffer) < const.IPV6_HEADER_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    length, protocol, ttl, source, destination = _IPV6_HEADER.unpack_from(
        buffer
    )
    length += const.IPV6_HEADER_BYTES
    if length != len(buffer):
        raise _make_length_error(length, len(buffer), const.IPV6_HEADER_BYTES)
    if protocol != const.TCP and protocol != const.UDP:
        raise exceptions.PacketError(_classify_next_header(protocol))
    if ttl < const.MIN_TTL:
        raise exceptions.PacketError(_DropReason.TTL_EXPIRED)
    if source[0] == _IPV6_MULTICAST_BYTE or source == _IPV6_UNSPECIFIED:
        raise exceptions.PacketError(_DropReason.BAD_SOURCE)
    return protocol, source, destination


def _classify_next_header(protocol: int) -> exceptions.DropReason:
    if protocol == const.IPV6_FRAGMENT_HEADER:
        return _DropReason.FRAGMENT
    if protocol in const.IPV6_EXTENSION_HEADERS:
        return _DropReason.IP_OPTIONS
    return _DropReason.UNSUPPORTED_PROTOCOL


def _make_length_error(
    stated: int, actual: int, header: int
) -> exceptions.PacketError:
    # Bytes after the packet are not padding here, because each datagram
    # carries exactly one packet.
    if stated > actual and stated >= header:
        return exceptions.PacketError(_DropReason.TRUNCATED)
    return exceptions.PacketError(_DropReason.BAD_LENGTH)


def _parse_tcp(buffer: bytearray, offset: int) -> tuple[int, int, int, int]:
    if len(buffer) < offset + const.TCP_HEADER_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    source_port, destination_port, words, flags = _TCP_HEADER.unpack_from(
        buffer, offset
    )
    header = (words >> 4) * 4
    payload = offset + header
    if header < const.TCP_HEADER_BYTES or payload > len(buffer):
        raise exceptions.PacketError(_DropReason.BAD_HEADER_LENGTH)
    if (
        not flags
        or flags & _SYN_FIN == _SYN_FIN
        or flags & _SYN_RST == _SYN_RST
    ):
        raise exceptions.PacketError(_DropReason.BAD_FLAGS)
    return source_port, destination_port, payload, flags


def _parse_udp(buffer: bytearray, offset: int, version: int) -> tuple[int, int]:
    available = len(buffer) - offset
    if available < const.UDP_HEADER_BYTES:
        raise exceptions.PacketError(_DropReason.TRUNCATED)
    source_port, destination_port, length, checksum = _UDP_HEADER.unpack_from(
        buffer, offset
    )
    if length != available:
        raise _make_length_error(length, available, const.UDP_HEADER_BYTES)
    # RFC 8200 section 8.1 requires a UDP checksum over IPv6.
    if not checksum and version == const.IPV6:
        raise exceptions.PacketError(_DropReason.ZERO_CHECKSUM)
    return source_port, destination_port
