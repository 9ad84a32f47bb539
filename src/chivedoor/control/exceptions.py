"""Errors of the control package."""

import enum

from chivedoor import exceptions


class ControlError(exceptions.ChivedoorError):
    """Base of the errors of the control package."""


class KeyLengthError(ControlError):
    """A key is shorter or longer than BLAKE2b and the policy allow."""


class DropReason(enum.Enum):
    """Why a received message was dropped."""

    SHORT = "short"
    TAG = "tag"
    REPLAYED = "replayed"
    MALFORMED = "malformed"
    FULL = "full"
    OWN = "own"


class MessageError(ControlError):
    """A received message is dropped.

    Attributes:
        reason: Name of the counter that records it.
    """

    reason = DropReason.MALFORMED


class ShortMessageError(MessageError):
    """The message is shorter than its tag."""

    reason = DropReason.SHORT


class TagError(MessageError):
    """No valid key produced the tag of the message."""

    reason = DropReason.TAG


class ReplayError(MessageError):
    """The message was received before or is too old to tell."""

    reason = DropReason.REPLAYED


class OwnMessageError(MessageError):
    """The message claims to be from this member itself."""

    reason = DropReason.OWN


class BoardError(ControlError):
    """Base of the errors of the board."""


class TopicError(BoardError):
    """A topic is empty or too long."""


class ValueSizeError(BoardError):
    """A value is too large, or has no CBOR encoding."""


class EntryError(BoardError):
    """A received entry is malformed."""


class BoardFullError(BoardError):
    """The board holds as many entries as it may."""
