"""Tests of the packet header against the platform's documented example."""

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.platform import packets
from chivedoor.steering import exceptions
from chivedoor.steering import segment as segments
from chivedoor.steering import view as views

SYN_PACKET = bytes.fromhex(
    "a1b2c3d501bbc61200016440 00079c41000000001122334400000000 80000000"
)
RESET_PACKET = bytes.fromhex(
    "000000009c41644000 07c612000101bb00000000 0000000000000000 10000000"
)


def make_endpoint(number: int = 0x7F3A91C2) -> views.Endpoint:
    return views.Endpoint(
        id=ids.EndpointId(f"i-{number:x}"),
        numeric_id=number,
        address=("10.128.0.9", 8080),
        service=ids.ServiceId("s"),
        domain=ids.DomainId("a"),
        slots=4,
        incarnation=1,
        sequence=1,
        draining=False,
        cold_until=0.0,
    )


def test_documented_opening_packet_is_parsed() -> None:
    """Guards against reading fields at wrong offsets."""
    segment = packets.parse_segment(memoryview(SYN_PACKET))
    assert segment.kind is segments.SegmentKind.OPEN
    assert segment.route == packets.make_route_key("198.18.0.1", 443)
    assert packets.get_caller_host(segment.flow) == "100.64.0.7"
    assert packets.get_caller_port(segment.flow) == 40001
    assert segment.sequence == 0x11223344
    assert segment.tag == 0


def test_documented_reset_is_built() -> None:
    """Guards against resets that callers do not match to their flow."""
    segment = packets.parse_segment(memoryview(SYN_PACKET))
    assert packets.build_reset(segment.flow, 0) == RESET_PACKET


def test_reset_of_an_open_flow_carries_the_acknowledgement() -> None:
    """Guards against resets that fall outside the caller's window."""
    segment = packets.parse_segment(memoryview(SYN_PACKET))
    reset = packets.build_reset(segment.flow, 0x01020304)
    assert reset[20:24] == b"\x01\x02\x03\x04"


def test_delivery_contains_endpoint_number_and_tag() -> None:
    """Guards against delivery to an endpoint that reuses an address."""
    sent = packets.build_delivery(
        make_endpoint(), memoryview(SYN_PACKET), ids.Tag(0xAABBCCDD)
    )
    assert sent[:8] == (0x7F3A91C2).to_bytes(8, "big")
    assert sent[8 + 16 : 8 + 20] == bytes.fromhex("aabbccdd")
    unchanged = sent[8 : 8 + 16] + sent[8 + 20 :]
    assert unchanged == SYN_PACKET[:16] + SYN_PACKET[20:]


def test_established_packet_is_forwarded_unchanged() -> None:
    """Guards against modifying packets of established flows."""
    data = SYN_PACKET[:28] + b"\x08\x00\x00\x03abc"
    sent = packets.build_delivery(make_endpoint(), memoryview(data), None)
    assert sent[8:] == data


def test_retransmission_count_of_opening_packet_is_parsed() -> None:
    """Guards against a retransmission count read as an acknowledgement."""
    second = SYN_PACKET[:24] + (1).to_bytes(4, "big") + SYN_PACKET[28:]
    segment = packets.parse_segment(memoryview(second))
    assert segment.retransmissions == 1
    assert segment.acknowledged == 0


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "short"),
        (SYN_PACKET[:31], "short"),
        (SYN_PACKET + b"x", "length"),
        (SYN_PACKET[:30] + b"\xff\xff", "length"),
        (SYN_PACKET[:28] + bytes([128 | 64]) + SYN_PACKET[29:], "flags"),
        (SYN_PACKET[:28] + bytes([128 | 16]) + SYN_PACKET[29:], "flags"),
    ],
)
def test_malformed_packet_is_rejected(data: bytes, reason: str) -> None:
    """Guards against forwarding packets that were not fully parsed."""
    with pytest.raises(exceptions.MalformedSegmentError) as caught:
        packets.parse_segment(memoryview(data))
    assert caught.value.reason == reason


@hypothesis.given(strategies.binary(max_size=80))
def test_any_datagram_is_a_segment_or_malformed(data: bytes) -> None:
    """Guards against unexpected exceptions in the packet path."""
    try:
        segment = packets.parse_segment(memoryview(data))
    except exceptions.MalformedSegmentError:
        return
    assert len(packets.build_reset(segment.flow, segment.acknowledged)) == 32


@pytest.mark.parametrize("host", ["", "host", "1.2.3", "::1", "1.2.3.4.5"])
def test_route_with_invalid_host_is_rejected(host: str) -> None:
    """Guards against route keys that no packet can match."""
    with pytest.raises(ValueError, match=r".*"):
        packets.make_route_key(host, 80)
