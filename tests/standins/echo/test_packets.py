"""Tests of the packet encoding against the documented example."""

import dataclasses

import pytest

from chivedoor.platform import packets as adapter
from chivedoor.steering import segment as segments
from standins import exceptions
from standins.echo import packets

# The opening packet of the specification, without its checksum.
EXAMPLE = bytes.fromhex(
    "01bbc612000164400007 9c41 00000000 11223344 00000000 80000000".replace(
        " ", ""
    )
)


def make_opening() -> packets.Packet:
    return packets.Packet(
        source=("100.64.0.7", 40001),
        destination=("198.18.0.1", 443),
        flags=packets.Flags.OPEN,
        sequence=0x11223344,
    )


def test_encoding_matches_the_example() -> None:
    """Guards against an error that the stand-in shares with the product."""
    assert make_opening().encode()[4:] == EXAMPLE


def test_adapter_parses_stand_in_packets() -> None:
    """Guards against header layouts that differ from the product's."""
    segment = adapter.parse_segment(memoryview(make_opening().encode()))
    assert segment.kind is segments.SegmentKind.OPEN
    assert segment.sequence == 0x11223344
    assert segment.route == adapter.make_route_key("198.18.0.1", 443)


def test_checksum_covers_all_fields_but_the_tag() -> None:
    """Guards against a checksum that misses altered packets."""
    data = bytearray(make_opening().encode())
    data[16:20] = b"\x01\x02\x03\x04"
    decoded = packets.decode_packet(bytes(data))
    assert decoded.authentic
    assert decoded.tag == 0x01020304
    data[22] ^= 1
    assert not packets.decode_packet(bytes(data)).authentic


def test_reset_of_the_balancer_is_not_authentic() -> None:
    """Guards against counting balancer resets as endpoint resets."""
    flow = adapter.parse_segment(memoryview(make_opening().encode())).flow
    reset = packets.decode_packet(adapter.build_reset(flow, 7))
    assert reset.flags is packets.Flags.RESET
    assert reset.source == ("198.18.0.1", 443)
    assert reset.destination == ("100.64.0.7", 40001)
    assert not reset.authentic


@pytest.mark.parametrize("size", [0, 31])
def test_short_datagram_is_rejected(size) -> None:
    """Guards against other errors on malformed datagrams."""
    with pytest.raises(exceptions.SegmentError):
        packets.decode_packet(bytes(size))


def test_wrong_length_is_rejected() -> None:
    """Guards against payloads that are longer than the header says."""
    packet = dataclasses.replace(make_opening(), payload=b"abc")
    with pytest.raises(exceptions.SegmentError):
        packets.decode_packet(packet.encode() + b"d")
