"""Parses and builds the platform's packet header.

The header has 32 bytes, big-endian: a keyed checksum (4), the receiver's port
(2) and address (4), the sender's address (4) and port (2), the echoed field
(4), which carries the tag, sequence (4), acknowledgement (4), flags (1),
padding (1) and the payload length (2). The checksum covers most of the packet,
but not the echoed field.
"""

import socket
import struct

from chivedoor import ids
from chivedoor.platform import const
from chivedoor.steering import exceptions
from chivedoor.steering import segment as segments
from chivedoor.steering import view as views

_HEADER = struct.Struct(">4s6s6sIIIBBH")
_FLOW_SLICE = slice(4, 16)
_ROUTE_SLICE = slice(4, 10)
_TAG_SLICE = slice(16, 20)
_AFTER_TAG_SLICE = slice(20, None)
_RESET_HEADER = struct.Struct(">I6s6sIIIBBH")
_KIND_MASK = const.FLAG_OPEN | const.FLAG_FINISH | const.FLAG_RESET
_KINDS_BY_FLAGS = {
    0: segments.SegmentKind.ESTABLISHED,
    const.FLAG_OPEN: segments.SegmentKind.OPEN,
    const.FLAG_FINISH: segments.SegmentKind.FINISH,
    const.FLAG_RESET: segments.SegmentKind.ABORT,
    const.FLAG_RESET | const.FLAG_FINISH: segments.SegmentKind.ABORT,
}


def parse_segment(datagram: memoryview) -> segments.Segment:
    """Parses a packet from a caller.

    Raises:
        MalformedSegmentError: The datagram is not a valid packet.
    """
    size = len(datagram)
    if size < const.HEADER_BYTES:
        raise exceptions.MalformedSegmentError("short")
    (_, route, _, tag, sequence, acknowledged, flags, _, payload_bytes) = (
        _HEADER.unpack_from(datagram)
    )
    if payload_bytes != size - const.HEADER_BYTES:
        raise exceptions.MalformedSegmentError("length")
    kind = _KINDS_BY_FLAGS.get(flags & _KIND_MASK)
    if kind is None:
        raise exceptions.MalformedSegmentError("flags")
    # In an opening packet the acknowledgement field holds the number of
    # copies sent before.
    opening = kind is segments.SegmentKind.OPEN
    return segments.Segment(
        flow=segments.FlowId(bytes(datagram[_FLOW_SLICE])),
        route=segments.RouteKey(route),
        kind=kind,
        tag=ids.Tag(tag),
        retransmissions=acknowledged if opening else 0,
        sequence=sequence,
        acknowledged=0 if opening else acknowledged,
        payload_bytes=payload_bytes,
    )


def build_delivery(
    endpoint: views.Endpoint, datagram: memoryview, tag: ids.Tag | None
) -> bytes:
    """Returns the datagram to send to an endpoint.

    It starts with the endpoint's number, which the endpoint checks. A tag is
    written to the echoed field.
    """
    prefix = endpoint.numeric_id.to_bytes(8, "big")
    if tag is None:
        return prefix + datagram
    return b"".join(
        (
            prefix,
            datagram[: _TAG_SLICE.start],
            tag.to_bytes(4, "big"),
            datagram[_AFTER_TAG_SLICE],
        )
    )


def build_reset(flow: segments.FlowId, acknowledged: int) -> bytes:
    """Returns a reset packet for a caller, from the route's address.

    Args:
        flow: The flow to reset.
        acknowledged: The caller's last acknowledgement; 0 before the flow is
            established.
    """
    # A flow id holds the receiver's port and address, then the sender's
    # address and port. The reset swaps receiver and sender, and with that the
    # order of port and address in each.
    route_port, route_address = flow[:2], flow[2:6]
    caller_address, caller_port = flow[6:10], flow[10:12]
    return _RESET_HEADER.pack(
        0,
        caller_port + caller_address,
        route_address + route_port,
        0,
        acknowledged,
        0,
        const.FLAG_RESET,
        0,
        0,
    )


def get_caller_host(flow: segments.FlowId) -> str:
    """Returns the IPv4 address of a flow's caller."""
    return ".".join(map(str, flow[segments.CALLER_ADDRESS]))


def get_caller_port(flow: segments.FlowId) -> int:
    """Returns the port of a flow's caller."""
    return int.from_bytes(flow[10:12], "big")


def make_route_key(host: str, port: int) -> segments.RouteKey:
    """Returns the key of a route as it appears in a packet header.

    Raises:
        ValueError: The host is not an IPv4 address or the port is out of
            range.
    """
    try:
        address = socket.inet_pton(socket.AF_INET, host)
    except (OSError, UnicodeEncodeError) as error:
        raise ValueError(host) from error
    if not 0 < port < 65536:
        raise ValueError(port)
    return segments.RouteKey(port.to_bytes(2, "big") + address)
