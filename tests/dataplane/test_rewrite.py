"""Tests of incremental checksums against sums over the whole packet."""

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.dataplane import exceptions
from chivedoor.dataplane import packet
from chivedoor.dataplane import rewrite
from tests.dataplane import conftest as build

ports = strategies.integers(1, 65535)
# Extreme values make both representations of zero likely.
edge_bytes = strategies.sampled_from([b"\0", b"\xff", b"\1"])


def addresses(size):
    """Generates unicast addresses, many with repeated 0x00 or 0xff."""
    raw = strategies.one_of(
        strategies.binary(min_size=size, max_size=size),
        edge_bytes.map(lambda byte: byte * size),
    )
    return raw.map(lambda value: b"\x20" + value[1:])


@strategies.composite
def rewrite_cases(draw):
    """Generates a packet and the address and port to rewrite it to."""
    size = draw(strategies.sampled_from([4, 16]))
    source, destination, new = draw(
        strategies.lists(addresses(size), min_size=3, max_size=3, unique=True)
    )
    make = draw(strategies.sampled_from([build.tcp_packet, build.udp_packet]))
    data = make(
        source=source,
        destination=destination,
        source_port=draw(ports),
        destination_port=draw(ports),
        payload=draw(strategies.binary(max_size=40)),
    )
    return data, new, draw(ports)


def assert_checksums(data):
    if data[0] >> 4 == 4:
        assert build.header_sum(data) == 0xFFFF
    assert build.transport_sum(data) == 0xFFFF


@pytest.mark.parametrize("name", ["source", "destination"])
@hypothesis.settings(max_examples=400)
@hypothesis.given(case=rewrite_cases())
def test_rewrite_equals_a_packet_built_from_scratch(name, case):
    # Guards against a carry error in the incremental update.
    data, address, port = case
    parsed = packet.parse_packet(data)
    change = getattr(rewrite, f"rewrite_{name}")
    change(parsed, address, port)
    rewrite.decrement_ttl(parsed)
    again = packet.parse_packet(bytes(parsed.buffer))
    assert getattr(again, name) == getattr(parsed, name) == address
    assert getattr(again, f"{name}_port") == port
    assert getattr(parsed, f"{name}_port") == port
    assert again.payload == packet.parse_packet(data).payload
    make = build.tcp_packet if parsed.protocol == 6 else build.udp_packet
    assert parsed.buffer == make(
        source=parsed.source,
        destination=parsed.destination,
        source_port=parsed.source_port,
        destination_port=parsed.destination_port,
        payload=bytes(parsed.payload),
        ttl=63,
    )
    assert_checksums(bytes(parsed.buffer))


@hypothesis.given(case=rewrite_cases())
def test_reverse_rewrite_restores_the_packet(case):
    # Guards against checksums that become wrong over several rewrites.
    data, address, port = case
    parsed = packet.parse_packet(data)
    original = (parsed.destination, parsed.destination_port)
    rewrite.rewrite_destination(parsed, address, port)
    rewrite.rewrite_destination(parsed, *original)
    assert parsed.buffer == data


def test_absent_udp_checksum_stays_absent():
    # Guards against setting a wrong checksum where there was none, for which
    # the receiver would drop the packet.
    parsed = packet.parse_packet(build.udp_packet(checksummed=False))
    rewrite.rewrite_destination(parsed, b"\x7f\1\0\1", 9000)
    assert parsed.buffer[26:28] == b"\0\0"
    assert build.header_sum(bytes(parsed.buffer)) == 0xFFFF


@pytest.mark.parametrize(
    ("source", "destination"),
    [
        (build.IPV4_CALLER, build.IPV4_SERVICE),
        (build.IPV6_CALLER, build.IPV6_SERVICE),
    ],
)
def test_zero_udp_checksum_is_sent_as_all_ones(source, destination):
    # Guards against a computed checksum that means that there is none.
    port = find_port_with_zero_checksum(source, destination)
    data = build.udp_packet(
        source=source, destination=destination, destination_port=8001
    )
    parsed = packet.parse_packet(data)
    rewrite.rewrite_destination(parsed, destination, port)
    offset = parsed.transport_offset + 6
    assert parsed.buffer[offset : offset + 2] == b"\xff\xff"
    assert build.transport_sum(bytes(parsed.buffer)) == 0xFFFF


def find_port_with_zero_checksum(source, destination):
    """Returns the destination port for which the checksum is computed as 0."""
    bare = build.udp_packet(
        source=source,
        destination=destination,
        destination_port=0,
        checksummed=False,
    )
    return build.transport_sum(bare) ^ 0xFFFF


@pytest.mark.parametrize(
    "change", [rewrite.rewrite_source, rewrite.rewrite_destination]
)
def test_address_of_another_family_is_rejected(change):
    # Guards against a packet whose length does not match its header.
    parsed = packet.parse_packet(build.tcp_packet())
    with pytest.raises(exceptions.RewriteError):
        change(parsed, build.IPV6_CALLER, 1)
    assert parsed.buffer == build.tcp_packet()


def test_ttl_is_not_decremented_below_one():
    # Guards against a TTL that wraps around to 255.
    parsed = packet.parse_packet(build.tcp_packet(ttl=2))
    rewrite.decrement_ttl(parsed)
    assert parsed.buffer == build.tcp_packet(ttl=1)
    with pytest.raises(exceptions.PacketError) as caught:
        rewrite.decrement_ttl(parsed)
    assert caught.value.reason is exceptions.DropReason.TTL_EXPIRED
    assert parsed.buffer == build.tcp_packet(ttl=1)
