"""Tests of refusals against the rules of RFC 9293, 1812 and 4443."""

import struct

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.dataplane import exceptions
from chivedoor.dataplane import packet
from chivedoor.dataplane import refusal
from tests.dataplane import conftest as build

Code = refusal.UnreachableCode
FAMILIES = pytest.mark.parametrize(
    ("source", "destination"),
    [
        (build.IPV4_CALLER, build.IPV4_SERVICE),
        (build.IPV6_CALLER, build.IPV6_SERVICE),
    ],
)


def read_reset_fields(reset):
    """Returns sequence number, acknowledgement number and flags."""
    values = struct.unpack_from("!II", reset.buffer, reset.transport_offset + 4)
    return (*values, reset.flags)


def parse_answer(data, source, destination):
    """Parses a refusal and checks its checksums and addresses."""
    parsed = packet.parse_packet(data)
    assert (parsed.source, parsed.destination) == (destination, source)
    assert build.transport_sum(data) == 0xFFFF
    assert parsed.version == 6 or build.header_sum(data) == 0xFFFF
    return parsed


@FAMILIES
@pytest.mark.parametrize(
    ("sequence", "payload", "acknowledged"),
    [(1000, b"", 1001), (1000, b"fast open", 1010), (2**32 - 1, b"", 0)],
)
def test_reset_acknowledges_the_syn(
    source, destination, sequence, payload, acknowledged
):
    # Guards against a RST that a caller in state SYN-SENT ignores.
    syn = build.tcp_packet(
        source=source,
        destination=destination,
        sequence=sequence,
        payload=payload,
    )
    answer = refusal.build_reset(packet.parse_packet(syn))
    reset = parse_answer(answer, source, destination)
    assert (reset.source_port, reset.destination_port) == (8000, 40000)
    assert read_reset_fields(reset) == (0, acknowledged, 0x14)
    assert len(reset.payload) == 0


@FAMILIES
@pytest.mark.parametrize("flags", [0x10, 0x18, 0x11, 0x12])
def test_abort_has_the_sequence_number_the_sender_expects(
    source, destination, flags
):
    # Guards against a RST outside the sender's window (RFC 5961).
    segment = build.tcp_packet(
        source=source,
        destination=destination,
        flags=flags,
        sequence=5000,
        acknowledgement=7777,
        payload=b"data",
    )
    answer = refusal.build_abort(packet.parse_packet(segment))
    reset = parse_answer(answer, source, destination)
    assert read_reset_fields(reset) == (7777, 0, 0x04)


def test_abort_of_a_segment_without_ack_counts_fin_and_payload():
    # Guards against a RST that the sender of a FIN without ACK ignores.
    segment = build.tcp_packet(flags=0x01, sequence=5000, payload=b"data")
    reset = packet.parse_packet(
        refusal.build_abort(packet.parse_packet(segment))
    )
    assert read_reset_fields(reset) == (0, 5005, 0x14)


@FAMILIES
@pytest.mark.parametrize("sequence", [5000, 2**32 - 4])
def test_caller_reset_follows_the_payload(source, destination, sequence):
    # Guards against a target that keeps a connection that its caller has lost.
    segment = build.tcp_packet(
        source=source,
        destination=destination,
        flags=0x18,
        sequence=sequence,
        payload=b"data",
    )
    result = refusal.build_caller_reset(packet.parse_packet(segment))
    reset = parse_answer(result, destination, source)
    assert (reset.source_port, reset.destination_port) == (40000, 8000)
    assert read_reset_fields(reset) == ((sequence + 4) % 2**32, 0, 0x04)
    assert len(reset.payload) == 0


@pytest.mark.parametrize(
    ("build_answer", "data"),
    [
        (refusal.build_reset, build.tcp_packet(flags=0x10)),
        (refusal.build_reset, build.tcp_packet(flags=0x12)),
        (refusal.build_reset, build.udp_packet()),
        (refusal.build_abort, build.tcp_packet(flags=0x04)),
        (refusal.build_abort, build.tcp_packet(flags=0x14)),
        (refusal.build_abort, build.udp_packet()),
        (refusal.build_caller_reset, build.tcp_packet(flags=0x14)),
        (refusal.build_caller_reset, build.udp_packet()),
        (
            lambda parsed: refusal.build_unreachable(parsed, Code.PORT),
            build.tcp_packet(flags=0x04),
        ),
    ],
)
def test_packets_without_a_valid_refusal_raise_an_error(build_answer, data):
    # Guards against two hosts that answer each other's resets endlessly.
    with pytest.raises(exceptions.RefusalError):
        build_answer(packet.parse_packet(data))


@pytest.mark.parametrize(
    ("code", "number"), [(Code.PORT, 3), (Code.PROHIBITED, 13)]
)
@pytest.mark.parametrize("size", [0, 7, 519, 520, 1400])
def test_icmpv4_unreachable(code, number, size):
    # Guards against an ICMP error that the caller cannot match to its socket.
    data = build.udp_packet(payload=b"x" * size)
    answer = refusal.build_unreachable(packet.parse_packet(data), code)
    assert build.header_sum(answer) == 0xFFFF
    assert build.sum_words(answer[20:]) == 0xFFFF
    assert struct.unpack_from("!H", answer, 2) == (len(answer),)
    assert answer[9] == 1
    assert (answer[12:16], answer[16:20]) == (data[16:20], data[12:16])
    assert (answer[20], answer[21]) == (3, number)
    assert answer[24:28] == bytes(4)
    assert answer[28:] == data[: 576 - 28]


@pytest.mark.parametrize(
    ("code", "number"), [(Code.PORT, 4), (Code.PROHIBITED, 1)]
)
@pytest.mark.parametrize("size", [0, 7, 1184, 1400])
def test_icmpv6_unreachable(code, number, size):
    # Guards against an ICMPv6 checksum without the pseudo header.
    data = build.udp_packet(
        source=build.IPV6_CALLER,
        destination=build.IPV6_SERVICE,
        payload=b"x" * size,
    )
    answer = refusal.build_unreachable(packet.parse_packet(data), code)
    assert build.transport_sum(answer) == 0xFFFF
    assert struct.unpack_from("!HB", answer, 4) == (len(answer) - 40, 58)
    assert (answer[8:24], answer[24:40]) == (data[24:40], data[8:24])
    assert (answer[40], answer[41]) == (1, number)
    assert answer[48:] == data[: 1280 - 48]


@hypothesis.given(strategies.binary(max_size=99))
def test_checksum_equals_the_sum_of_words(data):
    # Guards against a wrong result for odd lengths.
    expected = build.sum_words(data) ^ 0xFFFF
    # Only zeros have the checksum 0xffff, for which the function returns 0.
    assert refusal.compute_checksum(data) == expected % 0xFFFF
