"""Tests of the CBOR codec and of envelopes."""

import contextlib
import dataclasses
import datetime
import math
import re

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.rpc import codec
from chivedoor.rpc import const
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions

Fault = exceptions.MessageFault


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    name: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    number: int
    text: str | None
    data: bytes
    ratio: float
    flag: bool
    items: list[int]
    records: list[Record]
    plain: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    number: int


FIELDS = {
    "number": 3,
    "text": None,
    "data": b"\x00\x01",
    "ratio": 0.5,
    "flag": True,
    "items": [1, 2],
    "records": [["a", 1]],
    "plain": {"list": [1, None, {"x": b"y"}]},
}


@pytest.fixture
def registry():
    registry = codec.MessageRegistry()
    registry.register_request(Ask, Answer)
    return registry


def test_message_round_trip(registry):
    # Guards against a field that encoding or decoding changes or drops.
    ask = registry.unpack("Ask", FIELDS)
    assert ask.records == [Record(name="a", size=1)]
    data = envelope.pack_envelope(registry, envelope.Kind.REQUEST, 7, ask)
    parsed = envelope.parse_envelope(data)
    assert (parsed.kind, parsed.request_id) == (envelope.Kind.REQUEST, 7)
    assert registry.unpack(parsed.name, parsed.body) == ask


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("number", True),
        ("number", 1.0),
        ("number", "1"),
        ("number", None),
        ("number", 2**64),
        ("number", -(2**63) - 1),
        ("text", b"x"),
        ("data", "x"),
        ("ratio", math.nan),
        ("ratio", True),
        ("ratio", 10**309),
        ("flag", 1),
        ("items", [1, "2"]),
        ("items", (1, 2)),
        ("records", [["a"]]),
        ("records", [["a", 1, 2]]),
        ("records", [{"name": "a", "size": 1}]),
        ("plain", {"x": object()}),
        ("plain", {"x": {1: 2}}),
        ("plain", [1]),
    ],
)
def test_wrong_type_is_rejected(registry, name, value):
    # Guards against a value of the wrong type that fails only where it is used.
    with pytest.raises(exceptions.MessageError) as caught:
        registry.unpack("Ask", FIELDS | {name: value})
    assert caught.value.fault is Fault.WRONG_TYPE
    assert f"Ask.{name}" in caught.value.detail


def test_missing_and_unexpected_fields_are_rejected(registry):
    # Guards against messages of another software version whose missing fields
    # would silently get defaults.
    missing = {key: FIELDS[key] for key in FIELDS if key != "flag"}
    with pytest.raises(exceptions.MessageError) as caught:
        registry.unpack("Ask", missing)
    assert caught.value.fault is Fault.MISSING_FIELD
    with pytest.raises(exceptions.MessageError) as caught:
        registry.unpack("Ask", FIELDS | {"more": 1})
    assert caught.value.fault is Fault.SURPLUS_FIELD


@pytest.mark.parametrize("name", ["Other", "", 3, None, [], "Record"])
def test_unknown_type_is_rejected(registry, name):
    # Guards against decoding into a type that is not a registered message.
    with pytest.raises(exceptions.MessageError) as caught:
        registry.unpack(name, FIELDS)
    assert caught.value.fault is Fault.UNKNOWN_TYPE


def test_reply_type_is_not_a_request(registry):
    # Guards against a handler for a type that no client can request.
    assert registry.reply_type(Ask) is Answer
    with pytest.raises(exceptions.MessageError):
        registry.reply_type(Answer)


def test_same_name_cannot_be_registered_twice(registry):
    # Guards against a message type that replaces another one of its name.
    with pytest.raises(exceptions.MessageError):
        registry.register_request(Ask, Answer)


def test_oversize_is_rejected_in_both_directions():
    # Guards against memory allocations whose size a peer controls.
    with pytest.raises(exceptions.MessageError) as caught:
        codec.decode_value(bytes(11), 10)
    assert caught.value.fault is Fault.OVERSIZE
    with pytest.raises(exceptions.MessageError) as caught:
        codec.encode_value(bytes(10), 10)
    assert caught.value.fault is Fault.OVERSIZE


@pytest.mark.parametrize(
    "data",
    [
        b"",
        cbor2.dumps([1])[:-1],
        b"\x9f\x01\xff",
        b"\xa2\x61a\x01\x61a\x02",
        b"\xa1\x01\x02",
        cbor2.dumps([0, 1, "Ask", {}]) + b"\x00",
        cbor2.dumps(re.compile("(a+)+$")),
        b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\x81" * (const.MAX_MESSAGE_DEPTH + 1) + b"\x01",
    ],
    ids=[
        "empty",
        "truncated",
        "indefinite",
        "duplicate-key",
        "integer-key",
        "trailing-bytes",
        "regular-expression",
        "huge-array",
        "huge-string",
        "deep",
    ],
)
def test_malformed_bytes_raise_message_error(data):
    # Guards against exceptions of the CBOR library, and against tags that run
    # code for dates, fractions or regular expressions.
    with pytest.raises(exceptions.MessageError) as caught:
        envelope.parse_envelope(data)
    assert caught.value.fault is Fault.MALFORMED


def test_tagged_value_is_rejected():
    # Guards against tagged values that the library can decode.
    data = cbor2.dumps(
        [0, 1, "Ask", datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)]
    )
    with pytest.raises(exceptions.MessageError) as caught:
        envelope.parse_envelope(data)
    assert caught.value.fault is Fault.MALFORMED


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_message_errors(data):
    # Guards against an exception of another type in the read loop.
    with contextlib.suppress(exceptions.MessageError):
        envelope.parse_envelope(data)


UNTYPED_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
    | strategies.binary(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=10,
)


@hypothesis.given(
    kind=strategies.integers(0, 2),
    name=strategies.sampled_from(["Ask", "Answer", "busy", "x"]),
    body=UNTYPED_VALUES
    | strategies.fixed_dictionaries(dict.fromkeys(FIELDS, UNTYPED_VALUES)),
)
def test_unexpected_envelopes_raise_only_message_errors(kind, name, body):
    # Guards against a validator that raises an error of another type.
    registry = codec.MessageRegistry()
    registry.register_request(Ask, Answer)
    data = cbor2.dumps([kind, 1, name, body])
    try:
        parsed = envelope.parse_envelope(data)
        if parsed.kind is envelope.Kind.REFUSAL:
            envelope.parse_refusal(parsed)
        else:
            registry.unpack(parsed.name, parsed.body)
    except exceptions.MessageError:
        pass


@pytest.mark.parametrize(
    "items",
    [
        {},
        [],
        [0, 1, "Ask"],
        [3, 1, "Ask", {}],
        [True, 1, "Ask", {}],
        [0, -1, "Ask", {}],
        [0, 2**63, "Ask", {}],
        [0, 1, b"Ask", {}],
    ],
)
def test_malformed_envelope_is_rejected(items):
    # Guards against envelope fields that the dispatcher uses unchecked.
    with pytest.raises(exceptions.MessageError):
        envelope.parse_envelope(cbor2.dumps(items))


def test_refusal_round_trip_truncates_the_detail():
    # Guards against a refusal whose detail is as long as the request.
    code = exceptions.RefusalCode.REJECTED
    data = envelope.pack_refusal(4, code, "x" * 10_000)
    error = envelope.parse_refusal(envelope.parse_envelope(data))
    assert error.code is code
    assert len(error.detail) == const.MAX_ERROR_TEXT_CHARS
