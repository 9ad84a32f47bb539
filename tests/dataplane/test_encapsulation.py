"""Tests of the encapsulation between balancers."""

import hashlib

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import exceptions
from tests.dataplane import conftest as build

Fault = exceptions.SealFault
Kind = encapsulation.ForwardKind
OLD_KEY = bytes(range(16))
NEW_KEY = bytes(range(32))
KEYS = encapsulation.Keys(current=OLD_KEY)
HEADER = encapsulation.Header(
    kind=Kind.RESOLVE,
    hops=1,
    document_version=7,
    endpoint_number=42,
    sender=9,
)


def open_or_get_fault(datagram, keys=KEYS):
    try:
        return encapsulation.open_packet(datagram, keys)
    except exceptions.EncapsulationError as error:
        return error.fault


def seal_fields(fields, key=OLD_KEY):
    """Seals header bytes that `seal_packet` would not produce."""
    tag = hashlib.blake2b(
        fields + b"x", key=key, digest_size=8, person=b"chivedoor-packet"
    )
    return fields + tag.digest() + b"x"


@hypothesis.given(
    strategies.sampled_from(Kind),
    strategies.integers(0, 6),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 2**32 - 1),
    strategies.binary(max_size=1500),
)
def test_seal_open_round_trip(kind, hops, version, number, sender, data):
    # Guards against header fields that are truncated or swapped.
    header = encapsulation.Header(kind, hops, version, number, sender)
    sealed = encapsulation.seal_packet(header, data, KEYS)
    assert encapsulation.open_packet(sealed, KEYS) == (header, data)
    assert len(sealed) == 24 + len(data)


def test_wire_format():
    # Guards against a change of the format without a new version number.
    sealed = encapsulation.seal_packet(HEADER, b"x", KEYS)
    start = bytes([1, 1, 1, KEYS.slot])
    fields = start + bytes([0, 0, 0, 7, 0, 0, 0, 42, 0, 0, 0, 9])
    assert sealed == seal_fields(fields)


def test_every_modified_bit_is_detected():
    # Guards against parts of the datagram that the tag does not cover.
    sealed = encapsulation.seal_packet(HEADER, build.tcp_packet(), KEYS)
    for bit in range(len(sealed) * 8):
        modified = bytearray(sealed)
        modified[bit // 8] ^= 1 << bit % 8
        assert isinstance(open_or_get_fault(bytes(modified)), Fault)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_rejected_with_a_fault(data):
    # Guards against errors of other types in the receive loop.
    assert isinstance(open_or_get_fault(data), Fault)


@pytest.mark.parametrize(
    ("start", "key", "fault"),
    [
        ([2, 1, 0, KEYS.slot], OLD_KEY, Fault.UNKNOWN_VERSION),
        ([1, 9, 0, KEYS.slot], OLD_KEY, Fault.UNKNOWN_KIND),
        ([1, 1, 7, KEYS.slot], OLD_KEY, Fault.TOO_MANY_HOPS),
        ([1, 1, 0, KEYS.slot ^ 1], OLD_KEY, Fault.UNKNOWN_KEY),
        ([1, 1, 0, KEYS.slot], NEW_KEY, Fault.BAD_TAG),
    ],
)
def test_invalid_datagrams_report_their_fault(start, key, fault):
    # Guards against a fault that is counted as a different one.
    sealed = seal_fields(bytes(start) + bytes(12), key)
    assert open_or_get_fault(sealed) is fault
    assert open_or_get_fault(sealed[:23]) is Fault.TRUNCATED


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"hops": 7}, Fault.TOO_MANY_HOPS),
        ({"hops": -1}, Fault.FIELD_RANGE),
        ({"document_version": 2**32}, Fault.FIELD_RANGE),
        ({"endpoint_number": -1}, Fault.FIELD_RANGE),
    ],
)
def test_invalid_header_fields_are_rejected(change, fault):
    # Guards against forwarding loops and against untyped struct errors.
    with pytest.raises(exceptions.EncapsulationError) as caught:
        encapsulation.seal_packet(HEADER._replace(**change), b"", KEYS)
    assert caught.value.fault is fault


def test_adjacent_key_rotation_steps_interoperate():
    # Guards against a rotation during which packets of some peers are rejected.
    steps = [
        encapsulation.Keys(current=OLD_KEY),
        encapsulation.Keys(current=OLD_KEY, previous=NEW_KEY),
        encapsulation.Keys(current=NEW_KEY, previous=OLD_KEY),
        encapsulation.Keys(current=NEW_KEY),
    ]
    for before, after in zip(steps, steps[1:], strict=False):
        for sender, receiver in [(before, after), (after, before)]:
            sealed = encapsulation.seal_packet(HEADER, b"x", sender)
            assert encapsulation.open_packet(sealed, receiver)[1] == b"x"
    sealed = encapsulation.seal_packet(HEADER, b"x", steps[0])
    assert open_or_get_fault(sealed, steps[3]) is Fault.UNKNOWN_KEY


def test_keys_in_one_slot_are_both_accepted():
    # Guards against a failed rotation between two keys that share a slot.
    slots = {}
    for number in range(1000):
        key = number.to_bytes(16, "big")
        slot = encapsulation.Keys(current=key).slot
        other_key = slots.setdefault(slot, key)
        if other_key != key:
            break
    both = encapsulation.Keys(current=key, previous=other_key)
    for sender in (key, other_key):
        sealed = encapsulation.seal_packet(
            HEADER, b"x", encapsulation.Keys(current=sender)
        )
        assert encapsulation.open_packet(sealed, both)[1] == b"x"


@pytest.mark.parametrize("size", [0, 15, 65])
def test_key_length(size):
    # Guards against keys from the settings that are too short or too long.
    with pytest.raises(exceptions.KeyLengthError):
        encapsulation.Keys(current=bytes(size))
