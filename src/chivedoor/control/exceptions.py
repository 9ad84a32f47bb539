"""Errors of the control package."""

import enum

from chivedoor import exceptions


class ControlError(exceptions.ChivedoorError):
    """Base class of the errors of the control package."""


class KeyLengthError(ControlError):
    """A key is shorter than 16 bytes or longer than BLAKE2b accepts."""


class DropReason(enum.Enum):
    """Why a received message was dropped."""

    SHORT = "short"
    TAG = "tag"
    REPLAYED = "replayed"
    MALFORMED = "malformed"
    FULL = "full"
    OWN = "own"


class MessageError(ControlError):
    """A received message is invalid and is dropped.

    Attributes:
        reason: Reason under which the message is counted.
    """

    reason = DropReason.MALFORMED


class ShortMessageError(MessageError):
    """The message is too short to contain a tag."""

    reason = DropReason.SHORT


class TagError(MessageError):
    """The tag of the message matches no accepted key."""

    reason = DropReason.TAG


class ReplayError(MessageError):
    """The message is a replay, or too old to exclude one."""

    reason = DropReason.REPLAYED


class OwnMessageError(MessageError):
    """The message has this member itself as its sender."""

    reason = DropReason.OWN


class BoardError(ControlError):
    """Base class of the errors of the board."""


class TopicError(BoardError):
    """A topic is empty or too long."""


class ValueSizeError(BoardError):
    """A value is too large, or CBOR cannot encode it."""


class EntryError(BoardError):
    """A received entry is malformed."""


class BoardFullError(BoardError):
    """The board has reached its maximum number of entries."""
