"""Rewriting of addresses, ports and TTL with incremental checksums."""

import struct

from chivedoor.dataplane import const
from chivedoor.dataplane import exceptions
from chivedoor.dataplane import packet as packets

_WORD = struct.Struct("!H")

_IPV4_TTL_OFFSET = 8
_IPV4_CHECKSUM_OFFSET = 10
_IPV4_SOURCE_OFFSET = 12
_IPV4_DESTINATION_OFFSET = 16
_IPV6_HOP_LIMIT_OFFSET = 7
_IPV6_SOURCE_OFFSET = 8
_IPV6_DESTINATION_OFFSET = 24
_TCP_CHECKSUM_OFFSET = 16
_UDP_CHECKSUM_OFFSET = 6
_SOURCE_PORT_OFFSET = 0
_DESTINATION_PORT_OFFSET = 2
# The TTL is the upper byte of its 16-bit word.
_TTL_UNIT = 0x0100


def rewrite_destination(
    packet: packets.Packet, address: bytes, port: int
) -> None:
    """Replaces the destination address and port in place.

    Args:
        packet: The packet to change.
        address: Packed address of the packet's own address family.
        port: Transport port.

    Raises:
        exceptions.RewriteError: The address is of another address family.
    """
    old = packet.destination
    if len(address) != len(old):
        raise exceptions.RewriteError(f"address of {len(address)} bytes")
    buffer = packet.buffer
    offset = (
        _IPV4_DESTINATION_OFFSET
        if packet.version == const.IPV4
        else _IPV6_DESTINATION_OFFSET
    )
    buffer[offset : offset + len(address)] = address
    _WORD.pack_into(
        buffer, packet.transport_offset + _DESTINATION_PORT_OFFSET, port
    )
    _update_checksums(packet, old, address, packet.destination_port - port)
    packet.destination = address
    packet.destination_port = port


def rewrite_source(packet: packets.Packet, address: bytes, port: int) -> None:
    """Replaces the source address and port in place.

    Args:
        packet: The packet to change.
        address: Packed address of the packet's own address family.
        port: Transport port.

    Raises:
        exceptions.RewriteError: The address is of another address family.
    """
    old = packet.source
    if len(address) != len(old):
        raise exceptions.RewriteError(f"address of {len(address)} bytes")
    buffer = packet.buffer
    offset = (
        _IPV4_SOURCE_OFFSET
        if packet.version == const.IPV4
        else _IPV6_SOURCE_OFFSET
    )
    buffer[offset : offset + len(address)] = address
    _WORD.pack_into(buffer, packet.transport_offset + _SOURCE_PORT_OFFSET, port)
    _update_checksums(packet, old, address, packet.source_port - port)
    packet.source = address
    packet.source_port = port


def decrement_ttl(packet: packets.Packet) -> None:
    """Lowers the TTL or hop limit by one, in place.

    The balancer that delivers a packet does this once; the way between
    balancers is a tunnel and is limited by the hops of its own header.

    Args:
        packet: The packet to change.

    Raises:
        exceptions.PacketError: The TTL has expired.
    """
    buffer = packet.buffer
    is_ipv4 = packet.version == const.IPV4
    offset = _IPV4_TTL_OFFSET if is_ipv4 else _IPV6_HOP_LIMIT_OFFSET
    if buffer[offset] < const.MIN_TTL:
        raise exceptions.PacketError(exceptions.DropReason.TTL_EXPIRED)
    buffer[offset] -= 1
    if is_ipv4:
        _update_checksum(buffer, _IPV4_CHECKSUM_OFFSET, _TTL_UNIT)


def _update_checksums(
    packet: packets.Packet, old: bytes, new: bytes, port_difference: int
) -> None:
    difference = int.from_bytes(old, "big") - int.from_bytes(new, "big")
    buffer = packet.buffer
    if packet.version == const.IPV4:
        _update_checksum(buffer, _IPV4_CHECKSUM_OFFSET, difference)
    difference += port_difference
    if packet.protocol == const.TCP:
        offset = packet.transport_offset + _TCP_CHECKSUM_OFFSET
        _update_checksum(buffer, offset, difference)
        return
    offset = packet.transport_offset + _UDP_CHECKSUM_OFFSET
    # A UDP checksum of 0 means that the sender computed none (RFC 768).
    if not buffer[offset] and not buffer[offset + 1]:
        return
    _update_checksum(buffer, offset, difference)
    if not buffer[offset] and not buffer[offset + 1]:
        _WORD.pack_into(buffer, offset, const.CHECKSUM_MODULUS)


def _update_checksum(buffer: bytearray, offset: int, difference: int) -> None:
    """Updates a checksum by the old minus the new words (RFC 1624)."""
    # The result lies in 0 to 0xfffe. 0xffff cannot occur, because the sum over
    # a packet whose addresses are not all zero is never 0.
    checksum = (buffer[offset] << 8) + buffer[offset + 1] + difference
    _WORD.pack_into(buffer, offset, checksum % const.CHECKSUM_MODULUS)
