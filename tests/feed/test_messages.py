"""Tests for encoding and decoding messages between balancers."""

import contextlib
import dataclasses
import random

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.feed import compression
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from chivedoor.feed import records
from tests.feed import conftest


@pytest.mark.parametrize(
    "message",
    [
        conftest.make_heartbeat(1),
        conftest.make_heartbeat(1, read_age_s=None),
        messages.DiscoveryRequest(sender=conftest.make_address(1)),
        messages.DiscoveryReply(
            peers=(conftest.make_address(1), conftest.make_address(2))
        ),
        conftest.make_load_report(1),
        conftest.make_load_report(
            1,
            scope=load_reports.Scope.DOMAIN,
            balancers=39,
            shares={conftest.SERVICE: {"b": 0.29, "c": 0.71}},
            position=300,
        ),
    ],
)
def test_message_round_trip(message) -> None:
    """Guards against fields that are lost or swapped."""
    assert messages.decode_message(messages.encode_message(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_invalid_datagram_is_rejected(data: bytes) -> None:
    """Guards against datagrams that raise unexpected exceptions."""
    with pytest.raises(exceptions.MalformedAnswerError):
        messages.decode_message(data)


@pytest.mark.parametrize(
    "message",
    [
        conftest.make_heartbeat(1),
        conftest.make_load_report(1, shares={conftest.SERVICE: {"b": 0.5}}),
    ],
)
@hypothesis.given(data=strategies.data())
def test_damaged_message_is_rejected_or_has_valid_types(message, data) -> None:
    """Guards against a damaged message with fields of wrong types."""
    encoded = bytearray(messages.encode_message(message))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    with contextlib.suppress(exceptions.MalformedAnswerError):
        decoded = messages.decode_message(bytes(encoded))
        # A field of a wrong type cannot be encoded again.
        assert messages.decode_message(messages.encode_message(decoded))


_INVALID_FIELDS = {
    "vm": (1, None),
    "domain": (b"a",),
    "host": (1.0,),
    "scope": (2, -1, True, "0"),
    "balancers": (-1, 1.0, True, 1 << 41),
    "demand": ([], {1: {}}, {"s": 1}, {"s": {"0": 1}}, {"s": {0: -1}}),
    "capacity": ({"s": [1]}, {"s": [1, 2, 3]}, {"s": [1.0, 2]}),
    "handshakes": (
        {"a": [1, 1]},
        {"a": [1, -1.0]},
        {"a": [1, float("nan")]},
        {"a": [1, float("inf")]},
    ),
    "transfers": ({"s": [1, 1.0]}, {"s": [True, 1]}, {"s": {}}),
    "shares": (
        {"s": {"b": 10_001}},
        {"s": {"b": 6_000, "c": 6_000}},
        {"s": []},
    ),
    "position": (-1, None, 0.0),
}


@pytest.mark.parametrize("name", _INVALID_FIELDS)
def test_load_report_with_an_invalid_field_is_rejected(name: str) -> None:
    """Guards against reports that raise or steer flows by invalid numbers."""
    names = [
        field.name for field in dataclasses.fields(load_reports.LoadReport)
    ]
    fields = cbor2.loads(messages.encode_message(conftest.make_load_report(1)))
    for value in _INVALID_FIELDS[name]:
        index = names.index(name) + 1
        damaged = [*fields[:index], value, *fields[index + 1 :]]
        with pytest.raises(exceptions.MalformedAnswerError):
            messages.decode_message(cbor2.dumps(damaged))


@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 1.0), min_size=1, max_size=4)
)
def test_rounded_shares_are_accepted(weights: list[float]) -> None:
    """Guards against shares of 1 that are rounded up and rejected."""
    total = sum(weights) or 1.0
    shares = {f"d-{n}": weight / total for n, weight in enumerate(weights)}
    report = conftest.make_load_report(1, shares={conftest.SERVICE: shares})
    decoded = messages.decode_message(messages.encode_message(report))
    assert decoded.shares[conftest.SERVICE] == pytest.approx(shares, abs=1e-4)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.text(max_size=20),
            strategies.none() | strategies.binary(max_size=50),
            strategies.integers(0, 2**60),
            strategies.integers(0, 2**60),
        ),
        max_size=20,
    ),
    strategies.booleans(),
    strategies.sampled_from(records.Feed),
)
def test_frame_round_trip(items, complete: bool, feed) -> None:
    """Guards against changes that are altered in transmission."""
    batch = conftest.make_batch(
        *(conftest.make_record(*item) for item in items),
        revision=7,
        complete=complete,
    )
    assert transmit(batch, {}, {}, feed) == batch


def transmit(
    batch: records.Batch,
    sender_bases: dict[str, bytes],
    receiver_bases: dict[str, bytes],
    feed: records.Feed = records.Feed.CONFIGURATION,
) -> records.Batch:
    """Encodes and decodes a batch."""
    encoded = messages.encode_frame(
        feed,
        messages.encode_batch(batch, sender_bases),
        age_s=0.5,
        sent_at=12.25,
    )
    body = encoded[const.FRAME_HEADER_BYTES :]
    frame = messages.decode_frame(body, receiver_bases)
    assert (frame.feed, frame.age_s, frame.sent_at) == (feed, 0.5, 12.25)
    return frame.batch


def make_value(seed: int, size: int = const.LARGE_VALUE_BYTES) -> bytes:
    return random.Random(seed).randbytes(size)


def test_large_value_is_sent_as_a_difference() -> None:
    """Guards against links that are full of nearly equal configurations."""
    former = make_value(1, 1_000_000)
    value = former[:400_000] + b"changed" + former[400_100:]
    batch = conftest.make_batch(conftest.make_record("k", value, 8), revision=8)
    encoded = messages.encode_batch(batch, {"k": former})
    assert len(encoded.encoded_records) < 10_000
    bases = {"k": former}
    assert transmit(batch, bases, bases) == batch


@pytest.mark.parametrize("bases", [{}, {"k": make_value(2)}])
def test_difference_to_another_value_is_rejected(bases) -> None:
    """Guards against a configuration that nobody wrote."""
    batch = conftest.make_batch(
        conftest.make_record("k", make_value(3), 8), revision=8
    )
    with pytest.raises(exceptions.MalformedAnswerError):
        transmit(batch, {"k": make_value(1)}, bases)


@hypothesis.given(strategies.data())
def test_damaged_frame_is_rejected_or_has_valid_types(data) -> None:
    """Guards against damaged frames that raise unexpected exceptions."""
    base = {"k": make_value(1)}
    batch = conftest.make_batch(
        conftest.make_record("k", make_value(1) + b"x", 8),
        conftest.make_record("l", None, 9),
        revision=9,
    )
    body = bytearray(
        messages.encode_frame(
            records.Feed.ENDPOINTS,
            messages.encode_batch(batch, base),
            age_s=0.5,
            sent_at=1.0,
        )[const.FRAME_HEADER_BYTES :]
    )
    position = data.draw(strategies.integers(0, len(body) - 1))
    body[position] = data.draw(strategies.integers(0, 255))
    with contextlib.suppress(exceptions.MalformedAnswerError):
        messages.decode_frame(bytes(body), base)


def test_compressed_frame_of_excessive_size_is_rejected() -> None:
    """Guards against a small frame that exhausts the memory of a VM."""
    with pytest.raises(exceptions.MalformedAnswerError):
        compression.decompress(
            compression.compress(bytes(const.MAX_FRAME_BYTES + 1))
        )


@hypothesis.given(strategies.binary(max_size=100))
def test_invalid_frame_is_rejected(data: bytes) -> None:
    """Guards against a stream that raises unexpected exceptions."""
    with pytest.raises(exceptions.MalformedAnswerError):
        messages.decode_frame(data, {})
    with pytest.raises(exceptions.MalformedAnswerError):
        compression.decompress(data)


def test_subscription_round_trip() -> None:
    """Guards against a subscriber that receives all records again."""
    request = messages.SubscriptionRequest(
        revisions={
            records.Feed.ENDPOINTS: conftest.make_revision(12, era=3),
            records.Feed.CONFIGURATION: conftest.make_revision(10, era=3),
        },
        digests={"k": 2**63 + 1},
    )
    encoded = messages.encode_subscription(request)
    body = encoded[const.FRAME_HEADER_BYTES :]
    assert messages.decode_subscription(body) == request
    for malformed in (
        [2],
        [2, {"endpoints": [1]}, {}],
        [2, {"other": [1, 1]}, {}],
        [2, {}, {"k": "x"}],
        [2, {}, {1: 1}],
        [2, [], {}],
        [3, {}, {}],
    ):
        with pytest.raises(exceptions.MalformedAnswerError):
            messages.decode_subscription(cbor2.dumps(malformed))


def test_stream_of_the_former_version_is_rejected() -> None:
    """Guards against views made of misread frames while VMs are updated."""
    with pytest.raises(exceptions.MalformedAnswerError):
        messages.decode_subscription(cbor2.dumps([1, 12]))
    with pytest.raises(exceptions.MalformedAnswerError):
        messages.decode_frame(cbor2.dumps([1.0, 0.5, [1, 7], True, []]), {})
