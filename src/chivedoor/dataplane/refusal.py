"""Packets that refuse or abort a flow: TCP RST and ICMP unreachable."""

import enum
import struct

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions
from chivedoor.dataplane import packet as packets

# Version and header length, TOS, length, id, flags and fragment offset, TTL,
# protocol, checksum, source, destination.
_IPV4_HEADER = struct.Struct("!BBHHHBBH4s4s")
# Version, traffic class and flow label, payload length, next header, hop limit,
# source, destination.
_IPV6_HEADER = struct.Struct("!IHBB16s16s")
# Ports, sequence number, acknowledgement number, data offset, flags, window,
# checksum, urgent pointer.
_TCP_HEADER = struct.Struct("!HHIIBBHHH")
# Sequence and acknowledgement numbers, after the ports.
_TCP_SEQUENCE_FIELDS = struct.Struct("!4xII")
# Type, code, checksum, unused.
_ICMP_HEADER = struct.Struct("!BBHI")
# End of a pseudo header: zeros, length, zeros and protocol.
_PSEUDO_HEADER_END = struct.Struct("!IxxxB")

_IPV4_FIRST_BYTE = 0x45
_IPV6_FIRST_WORD = 0x60000000
_TCP_DATA_OFFSET = (const.TCP_HEADER_BYTES // 4) << 4
_SEQUENCE_MODULUS = 1 << 32
_TCP_CHECKSUM_OFFSET = 16
_ICMP_CHECKSUM_OFFSET = 2
_ICMPV4_UNREACHABLE = 3
_ICMPV6_UNREACHABLE = 1


class UnreachableCode(enum.Enum):
    """Reason given in an ICMP destination unreachable message."""

    PORT = "port"
    PROHIBITED = "prohibited"


_ICMPV4_CODES = {UnreachableCode.PORT: 3, UnreachableCode.PROHIBITED: 13}
_ICMPV6_CODES = {UnreachableCode.PORT: 4, UnreachableCode.PROHIBITED: 1}


def build_reset(packet: packets.Packet) -> bytes:
    """Builds the RST that refuses a connection.

    Args:
        packet: The caller's SYN with its original addresses.

    Returns:
        The IP packet for the caller.

    Raises:
        exceptions.RefusalError: The packet is not a SYN.
    """
    if packet.protocol != const.TCP or not packet.is_syn:
        raise exceptions.RefusalError("a reset may only answer a SYN")
    return _build_reset_reply(packet)


def build_abort(packet: packets.Packet) -> bytes:
    """Builds the RST that aborts a connection, for the packet's sender.

    The sender accepts it, because its sequence number equals the sender's
    acknowledgement number (RFC 9293 section 3.10.7.1, RFC 5961 section 3.2).

    Args:
        packet: A segment of the connection with its original addresses.

    Returns:
        The IP packet for the sender.

    Raises:
        exceptions.RefusalError: The packet is a RST or not TCP.
    """
    if packet.protocol != const.TCP or packet.is_reset:
        raise exceptions.RefusalError(
            "an abort may only answer a TCP segment without RST"
        )
    return _build_reset_reply(packet)


def build_caller_reset(packet: packets.Packet) -> bytes:
    """Builds the RST that ends a connection at the receiver of a packet.

    Args:
        packet: A segment of the connection with its original addresses.

    Returns:
        The IP packet, with the sender of `packet` as its source. Its sequence
        number follows the payload: a receiver that has the payload accepts
        the RST immediately, and one that lacks it sends a challenge ACK first
        (RFC 5961 section 3.2).

    Raises:
        exceptions.RefusalError: The packet is a RST or not TCP.
    """
    if packet.protocol != const.TCP or packet.is_reset:
        raise exceptions.RefusalError(
            "a reset may only follow a TCP segment without RST"
        )
    sequence, _ = _TCP_SEQUENCE_FIELDS.unpack_from(
        packet.buffer, packet.transport_offset
    )
    length = len(packet.buffer) - packet.payload_offset
    reversed_packet = packets.Packet(
        packet.buffer,
        packet.version,
        packet.protocol,
        packet.destination,
        packet.source,
        packet.destination_port,
        packet.source_port,
        packet.flags,
        packet.transport_offset,
        packet.payload_offset,
    )
    reset_fields = ((sequence + length) % _SEQUENCE_MODULUS, 0, const.FLAG_RST)
    return _build_reset_segment(reversed_packet, reset_fields)


def build_unreachable(packet: packets.Packet, code: UnreachableCode) -> bytes:
    """Builds an ICMP destination unreachable message for the sender.

    Args:
        packet: The refused packet with its original addresses.
        code: Reason that the message gives.

    Returns:
        The IP packet for the sender. It quotes as much of the refused packet
        as the standards allow.

    Raises:
        exceptions.RefusalError: The packet is a RST.
    """
    if packet.is_reset:
        raise exceptions.RefusalError("a RST must not be answered")
    if packet.version == const.IPV4:
        return _build_icmpv4(packet, _ICMPV4_CODES[code])
    return _build_icmpv6(packet, _ICMPV6_CODES[code])


def compute_checksum(data: bytes | bytearray) -> int:
    """Computes the Internet checksum (RFC 1071) of the data."""
    if len(data) % 2:
        data = bytes(data) + b"\x00"
    remainder = int.from_bytes(data, "big") % const.CHECKSUM_MODULUS
    return -remainder % const.CHECKSUM_MODULUS


def _build_reset_reply(packet: packets.Packet) -> bytes:
    return _build_reset_segment(packet, _compute_reset_fields(packet))


def _build_reset_segment(
    packet: packets.Packet, reset_fields: tuple[int, int, int]
) -> bytes:
    sequence, acknowledgement, flags = reset_fields
    segment = bytearray(
        _TCP_HEADER.pack(
            packet.destination_port,
            packet.source_port,
            sequence,
            acknowledgement,
            _TCP_DATA_OFFSET,
            flags,
            0,
            0,
            0,
        )
    )
    pseudo_header = _build_pseudo_header(packet, len(segment), const.TCP)
    _set_checksum(segment, _TCP_CHECKSUM_OFFSET, pseudo_header)
    return _build_ip_header(packet, len(segment), const.TCP) + segment


def _compute_reset_fields(packet: packets.Packet) -> tuple[int, int, int]:
    """Returns sequence, acknowledgement and flags (RFC 9293, 3.10.7.1)."""
    sequence, acknowledgement = _TCP_SEQUENCE_FIELDS.unpack_from(
        packet.buffer, packet.transport_offset
    )
    if packet.flags & const.FLAG_ACK:
        return acknowledgement, 0, const.FLAG_RST
    length = len(packet.buffer) - packet.payload_offset
    # SYN and FIN each take one sequence number.
    length += bool(packet.flags & const.FLAG_SYN)
    length += bool(packet.flags & const.FLAG_FIN)
    acknowledgement = (sequence + length) % _SEQUENCE_MODULUS
    return 0, acknowledgement, const.FLAG_RST | const.FLAG_ACK


def _build_icmpv4(packet: packets.Packet, code: int) -> bytes:
    header_bytes = const.IPV4_HEADER_BYTES + const.ICMP_HEADER_BYTES
    quoted_packet = packet.buffer[: const.ICMPV4_ERROR_BYTES - header_bytes]
    message = bytearray(_ICMP_HEADER.pack(_ICMPV4_UNREACHABLE, code, 0, 0))
    message += quoted_packet
    _set_checksum(message, _ICMP_CHECKSUM_OFFSET, b"")
    return _build_ip_header(packet, len(message), const.ICMPV4) + message


def _build_icmpv6(packet: packets.Packet, code: int) -> bytes:
    header_bytes = const.IPV6_HEADER_BYTES + const.ICMP_HEADER_BYTES
    quoted_packet = packet.buffer[: const.ICMPV6_ERROR_BYTES - header_bytes]
    message = bytearray(_ICMP_HEADER.pack(_ICMPV6_UNREACHABLE, code, 0, 0))
    message += quoted_packet
    pseudo_header = _build_pseudo_header(packet, len(message), const.ICMPV6)
    _set_checksum(message, _ICMP_CHECKSUM_OFFSET, pseudo_header)
    return _build_ip_header(packet, len(message), const.ICMPV6) + message


def _build_pseudo_header(
    packet: packets.Packet, length: int, protocol: int
) -> bytes:
    # The fields differ in order and width between IPv4 and IPv6, but their sum
    # is the same.
    end = _PSEUDO_HEADER_END.pack(length, protocol)
    return packet.source + packet.destination + end


def _set_checksum(
    message: bytearray, offset: int, pseudo_header: bytes
) -> None:
    checksum = compute_checksum(pseudo_header + message)
    message[offset : offset + 2] = checksum.to_bytes(2, "big")


def _build_ip_header(
    packet: packets.Packet, length: int, protocol: int
) -> bytes:
    if packet.version == const.IPV6:
        return _IPV6_HEADER.pack(
            _IPV6_FIRST_WORD,
            length,
            protocol,
            const.REFUSAL_TTL,
            packet.destination,
            packet.source,
        )
    fields = [
        _IPV4_FIRST_BYTE,
        0,
        const.IPV4_HEADER_BYTES + length,
        0,
        const.IPV4_DONT_FRAGMENT,
        const.REFUSAL_TTL,
        protocol,
        0,
        packet.destination,
        packet.source,
    ]
    checksum = compute_checksum(_IPV4_HEADER.pack(*fields))
    fields[7] = checksum
    return _IPV4_HEADER.pack(*fields)
