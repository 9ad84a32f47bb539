"""Tests for encoding and decoding messages between balancers."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor.feed import const
from chivedoor.feed import exceptions
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


@hypothesis.given(strategies.data())
def test_damaged_message_is_rejected_or_has_valid_types(data) -> None:
    """Guards against a damaged heartbeat with fields of wrong types."""
    encoded = bytearray(messages.encode_message(conftest.make_heartbeat(1)))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    with contextlib.suppress(exceptions.MalformedAnswerError):
        messages.decode_message(bytes(encoded))


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
