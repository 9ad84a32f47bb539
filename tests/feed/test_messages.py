"""Tests for encoding and decoding messages between balancers."""

import contextlib
import dataclasses

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_reports
from chivedoor.feed import messages
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
        max_size=5,
    ),
    strategies.booleans(),
)
def test_frame_round_trip(items, complete: bool) -> None:
    """Guards against changes that are altered in transmission."""
    frame = messages.Frame(
        batch=conftest.make_batch(
            *(conftest.make_record(*item) for item in items),
            revision=7,
            complete=complete,
        ),
        age_s=0.5,
        sent_at=12.25,
    )
    encoded = messages.encode_frame(frame)
    assert messages.decode_frame(encoded[const.FRAME_HEADER_BYTES :]) == frame


@hypothesis.given(strategies.binary(max_size=100))
def test_invalid_frame_is_rejected(data: bytes) -> None:
    """Guards against a stream that raises unexpected exceptions."""
    with pytest.raises(exceptions.MalformedAnswerError):
        messages.decode_frame(data)


def test_subscription_round_trip() -> None:
    """Guards against a subscriber that receives all records again."""
    revision = conftest.make_revision(12, era=3)
    encoded = messages.encode_subscription(revision)
    body = encoded[const.FRAME_HEADER_BYTES :]
    assert messages.decode_subscription(body) == revision
    for malformed in (b"\xf5", b"\x0c", b"\x82\xf5\x0c", b"\x81\x0c"):
        with pytest.raises(exceptions.MalformedAnswerError):
            messages.decode_subscription(malformed)
