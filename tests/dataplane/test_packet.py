"""Tests of the packet parser."""

import struct

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.dataplane import exceptions
from chivedoor.dataplane import packet
from tests.dataplane import conftest as build

Reason = exceptions.DropReason


def patch(data, offset, value):
    return data[:offset] + value + data[offset + len(value) :]


def ipv6_udp(**fields):
    return build.udp_packet(
        source=build.IPV6_CALLER, destination=build.IPV6_SERVICE, **fields
    )


@pytest.mark.parametrize(
    ("source", "destination", "offset"),
    [
        (build.IPV4_CALLER, build.IPV4_SERVICE, 20),
        (build.IPV6_CALLER, build.IPV6_SERVICE, 40),
    ],
)
def test_tcp_fields(source, destination, offset):
    # Guards against offsets that ignore TCP options or the IP version.
    data = build.tcp_packet(
        source=source,
        destination=destination,
        flags=0x18,
        options=bytes(12),
        payload=b"data",
    )
    parsed = packet.parse_packet(memoryview(data))
    assert (parsed.source, parsed.destination) == (source, destination)
    assert (parsed.source_port, parsed.destination_port) == (40000, 8000)
    assert (parsed.protocol, parsed.flags) == (6, 0x18)
    assert parsed.transport_offset == offset
    assert parsed.payload == b"data"
    assert parsed.buffer == data


@pytest.mark.parametrize("make", [build.udp_packet, ipv6_udp])
def test_udp_fields(make):
    # Guards against TCP flags being read from a UDP payload.
    parsed = packet.parse_packet(make(payload=b"\xff" * 32))
    assert (parsed.protocol, parsed.flags) == (17, 0)
    assert parsed.payload == b"\xff" * 32
    assert not (parsed.is_syn or parsed.is_syn_ack)
    assert not (parsed.is_fin or parsed.is_reset)


@pytest.mark.parametrize(
    ("flags", "expected"),
    [
        (0x02, (True, False, False, False)),
        (0x12, (False, True, False, False)),
        (0x11, (False, False, True, False)),
        (0x14, (False, False, False, True)),
        (0x10, (False, False, False, False)),
    ],
)
def test_tcp_flag_properties(flags, expected):
    # Guards against a SYN-ACK that is taken for the start of a flow.
    parsed = packet.parse_packet(build.tcp_packet(flags=flags))
    kinds = (
        parsed.is_syn,
        parsed.is_syn_ack,
        parsed.is_fin,
        parsed.is_reset,
    )
    assert kinds == expected


TCP = build.tcp_packet()
UDP = build.udp_packet()
TCP6 = build.tcp_packet(
    source=build.IPV6_CALLER, destination=build.IPV6_SERVICE
)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", Reason.TRUNCATED),
        (b"\x45", Reason.TRUNCATED),
        (TCP[:-1], Reason.TRUNCATED),
        (TCP6[:39], Reason.TRUNCATED),
        (TCP6[:-1], Reason.TRUNCATED),
        (patch(TCP, 2, b"\x00\x1c")[:28], Reason.TRUNCATED),
        (patch(UDP, 2, b"\x00\x18")[:24], Reason.TRUNCATED),
        (patch(UDP, 24, b"\x01\x00"), Reason.TRUNCATED),
        (TCP + b"\x00", Reason.BAD_LENGTH),
        (patch(TCP, 2, b"\x00\x10"), Reason.BAD_LENGTH),
        (TCP6 + b"\x00", Reason.BAD_LENGTH),
        (patch(UDP, 24, b"\x00\x0e"), Reason.BAD_LENGTH),
        (patch(UDP, 24, b"\x00\x07"), Reason.BAD_LENGTH),
        (patch(TCP, 0, b"\x55"), Reason.BAD_VERSION),
        (patch(TCP, 0, b"\x44"), Reason.BAD_HEADER_LENGTH),
        (patch(TCP, 32, b"\x40"), Reason.BAD_HEADER_LENGTH),
        (patch(TCP, 32, b"\x60"), Reason.BAD_HEADER_LENGTH),
        (patch(TCP, 0, b"\x46"), Reason.IP_OPTIONS),
        (patch(TCP6, 6, b"\x00"), Reason.IP_OPTIONS),
        (patch(TCP6, 6, b"\x2b"), Reason.IP_OPTIONS),
        (patch(TCP6, 6, b"\x2c"), Reason.FRAGMENT),
        (build.tcp_packet(fragment=0x2000), Reason.FRAGMENT),
        (build.tcp_packet(fragment=0x0001), Reason.FRAGMENT),
        (patch(TCP, 9, b"\x01"), Reason.UNSUPPORTED_PROTOCOL),
        (patch(TCP6, 6, b"\x3a"), Reason.UNSUPPORTED_PROTOCOL),
        (build.tcp_packet(ttl=1), Reason.TTL_EXPIRED),
        (build.tcp_packet(ttl=0), Reason.TTL_EXPIRED),
        (ipv6_udp(ttl=1), Reason.TTL_EXPIRED),
        (build.tcp_packet(source=bytes(4)), Reason.BAD_SOURCE),
        (build.tcp_packet(source=b"\xe0\0\0\1"), Reason.BAD_SOURCE),
        (build.tcp_packet(source=b"\xff" * 4), Reason.BAD_SOURCE),
        (patch(TCP6, 8, bytes(16)), Reason.BAD_SOURCE),
        (patch(TCP6, 8, b"\xff\x02"), Reason.BAD_SOURCE),
        (build.tcp_packet(source=build.IPV4_SERVICE), Reason.SAME_ADDRESS),
        (build.tcp_packet(source_port=0), Reason.ZERO_PORT),
        (build.udp_packet(destination_port=0), Reason.ZERO_PORT),
        (build.tcp_packet(flags=0), Reason.BAD_FLAGS),
        (build.tcp_packet(flags=0x03), Reason.BAD_FLAGS),
        (build.tcp_packet(flags=0x16), Reason.BAD_FLAGS),
        (ipv6_udp(checksummed=False), Reason.ZERO_CHECKSUM),
    ],
)
def test_invalid_packets_are_dropped(data, reason):
    # Guards against malformed or unsupported packets that reach a target.
    with pytest.raises(exceptions.PacketError) as caught:
        packet.parse_packet(data)
    assert caught.value.reason is reason


def test_packet_copies_the_receive_buffer():
    # Guards against the next batch overwriting a packet that is still in use.
    data = bytearray(TCP)
    parsed = packet.parse_packet(memoryview(data))
    data[12:16] = bytes(4)
    assert parsed.buffer[12:16] == build.IPV4_CALLER


def test_dont_fragment_is_not_a_fragment():
    # Guards against dropping packets of hosts that use path MTU discovery.
    assert packet.parse_packet(build.tcp_packet(fragment=0x4000)).is_syn


def parse_or_get_reason(data):
    try:
        return packet.parse_packet(data)
    except exceptions.PacketError as error:
        return error.reason


@hypothesis.settings(max_examples=500)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_packet_errors(data):
    # Guards against struct or index errors in the receive loop.
    result = parse_or_get_reason(data)
    assert isinstance(result, packet.Packet | Reason)


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    strategies.sampled_from([TCP, UDP, TCP6, ipv6_udp()]),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 79), strategies.binary()),
        max_size=4,
    ),
    strategies.integers(0, 100),
)
def test_offsets_of_damaged_packets_stay_in_bounds(data, patches, size):
    # Guards against offsets outside the buffer after a damaged header.
    for offset, value in patches:
        data = patch(data, offset, value)
    result = parse_or_get_reason(data[:size])
    if isinstance(result, Reason):
        return
    assert result.transport_offset < result.payload_offset
    assert result.payload_offset <= len(result.buffer) == len(data[:size])
    ports = struct.unpack_from("!HH", result.buffer, result.transport_offset)
    assert ports == (result.source_port, result.destination_port)
