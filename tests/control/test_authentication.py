"""Tests of message authentication and of the replay filter."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivedoor.control import authentication
from chivedoor.control import const
from chivedoor.control import exceptions

_OLD_KEY = b"o" * 16
_NEW_KEY = b"n" * 16


def test_signed_message_verifies_with_the_same_key_and_context():
    # Guards against a tag that does not cover both body and context.
    keys = authentication.Keys(current=_OLD_KEY)
    signed = keys.sign(b"body", b"context")
    assert len(signed) == 4 + const.TAG_BYTES
    assert keys.verify(signed, b"context") == b"body"
    with pytest.raises(exceptions.TagError):
        keys.verify(signed, b"other")
    with pytest.raises(exceptions.TagError):
        keys.verify(b"\0" + signed[1:], b"context")
    # Moving bytes from the body to the context changes the tag.
    with pytest.raises(exceptions.TagError):
        keys.verify(signed[1:], b"contextb")


def test_key_rotation_keeps_adjacent_steps_compatible():
    # Guards against a step of a key rotation at which balancers before and
    # after the step reject each other's messages.
    steps = [
        authentication.Keys(current=_OLD_KEY),
        authentication.Keys(current=_OLD_KEY, previous=_NEW_KEY),
        authentication.Keys(current=_NEW_KEY, previous=_OLD_KEY),
        authentication.Keys(current=_NEW_KEY),
    ]
    for before, after in zip(steps, steps[1:], strict=False):
        assert after.verify(before.sign(b"x")) == b"x"
        assert before.verify(after.sign(b"x")) == b"x"
    with pytest.raises(exceptions.TagError):
        steps[-1].verify(steps[0].sign(b"x"))


@pytest.mark.parametrize("length", [0, 15, 65])
def test_keys_of_wrong_length_are_rejected(length):
    # Guards against an empty or otherwise invalid key in the settings.
    with pytest.raises(exceptions.KeyLengthError):
        authentication.Keys(current=b"k" * length)
    with pytest.raises(exceptions.KeyLengthError):
        authentication.Keys(current=_NEW_KEY, previous=b"k" * length)


@settings(derandomize=True, deadline=None)
@given(strategies.binary(max_size=64))
def test_unsigned_bytes_never_verify(data):
    # Guards against arbitrary bytes that are accepted as a message.
    with pytest.raises(exceptions.MessageError) as error:
        authentication.Keys(current=_OLD_KEY).verify(data)
    is_short = len(data) <= const.TAG_BYTES
    expected = (
        exceptions.DropReason.SHORT if is_short else (exceptions.DropReason.TAG)
    )
    assert error.value.reason is expected


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.lists(strategies.integers(100, 180), max_size=60))
def test_each_number_is_accepted_at_most_once(numbers):
    # Guards against accepting a message twice, for any order of arrival.
    replay = authentication.ReplayFilter(window=32)
    accepted = []
    for number in numbers:
        is_in_window = not accepted or number > max(accepted) - 32
        try:
            replay.accept("b", number)
        except exceptions.ReplayError:
            assert number in accepted or not is_in_window
        else:
            assert number not in accepted
            assert is_in_window
            accepted.append(number)


def test_number_of_an_earlier_incarnation_is_rejected_without_a_huge_shift():
    # Guards against a MemoryError for a late datagram that was sent before a
    # pause: its distance of 2**60 numbers was used as a shift.
    replay = authentication.ReplayFilter()
    replay.accept("b", 1 << 62)
    with pytest.raises(exceptions.ReplayError):
        replay.accept("b", 1 << 61)


def test_senders_are_tracked_independently_and_bounded():
    # Guards against a table of senders that grows without limit, and against
    # numbers that count for another sender.
    replay = authentication.ReplayFilter(capacity=2)
    for sender in "abc":
        replay.accept(sender, 5)
    assert len(replay) == 2
    with pytest.raises(exceptions.ReplayError):
        replay.accept("c", 5)
    replay.forget("c")
    replay.accept("c", 5)
