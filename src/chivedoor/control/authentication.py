"""Authentication and replay protection of messages between balancers."""

import collections
import hashlib
import hmac

from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import exceptions


class Keys:
    """Signs messages with one key and accepts one or two keys.

    Keys are rotated in three steps: every balancer first accepts the new key
    as well, then signs with it, and then stops accepting the old one.
    """

    def __init__(self, *, current: bytes, previous: bytes | None = None):
        """Initializes the keys.

        Args:
            current: Key of 16 to 64 bytes that signs and is accepted.
            previous: Second accepted key, if any.

        Raises:
            KeyLengthError: A key is too short or too long.
        """
        accepted = [key for key in (current, previous) if key is not None]
        for key in accepted:
            if not const.MIN_KEY_BYTES <= len(key) <= const.MAX_KEY_BYTES:
                raise exceptions.KeyLengthError(f"the key has {len(key)} bytes")
        self._hash_states = [
            hashlib.blake2b(key=key, digest_size=const.TAG_BYTES)
            for key in accepted
        ]

    def sign(self, body: bytes, context: bytes = b"") -> bytes:
        """Returns a message with its authentication tag appended.

        Args:
            body: The message.
            context: Data that the tag covers but that is not sent, because
                both ends know it, such as the address of the recipient.
        """
        return body + _compute_tag(self._hash_states[0], body, context)

    def verify(self, message: bytes, context: bytes = b"") -> bytes:
        """Verifies the tag of a message and returns the message without it.

        Raises:
            ShortMessageError: The message is shorter than a tag.
            TagError: No accepted key produced the tag.
        """
        if len(message) <= const.TAG_BYTES:
            raise exceptions.ShortMessageError(
                f"the message has only {len(message)} bytes"
            )
        body = message[: -const.TAG_BYTES]
        tag = message[-const.TAG_BYTES :]
        for hash_state in self._hash_states:
            expected = _compute_tag(hash_state, body, context)
            if hmac.compare_digest(tag, expected):
                return body
        raise exceptions.TagError("the tag matches no accepted key")


def _compute_tag(
    hash_state: "hashlib.blake2b", body: bytes, context: bytes
) -> bytes:
    # The length prefix marks where the context ends, so that moving bytes
    # between context and body changes the tag.
    hasher = hash_state.copy()
    hasher.update(len(context).to_bytes(2, "big"))
    hasher.update(context)
    hasher.update(body)
    return hasher.digest()


class ReplayFilter:
    """Accepts each sequence number of a sender once.

    The sequence numbers of a sender increase across restarts, because they
    start from its incarnation. Numbers below the window are rejected, because
    the filter no longer knows whether they were received before.
    """

    def __init__(
        self,
        *,
        window: int = const.REPLAY_WINDOW,
        capacity: int = const.MAX_REPLAY_SENDERS,
    ):
        self._window = window
        self._mask = (1 << window) - 1
        self._capacity = capacity
        # The newest number of each sender, and a bit mask of the numbers seen
        # in the window; the lowest bit stands for the newest number.
        self._senders: collections.OrderedDict[ids.VmId, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._senders)

    def accept(self, sender: ids.VmId, number: int) -> None:
        """Records the sequence number of an authenticated message.

        Raises:
            ReplayError: The number was seen before or is below the window.
        """
        newest, seen_bits = self._senders.get(sender, (number - 1, 0))
        if number > newest:
            shift = min(number - newest, self._window)
            self._store_sender(
                sender, number, (seen_bits << shift | 1) & self._mask
            )
            return
        age = newest - number
        if age >= self._window or seen_bits >> age & 1:
            raise exceptions.ReplayError(
                f"sequence number {number} of {sender} is a replay or too old"
            )
        self._store_sender(sender, newest, seen_bits | 1 << age)

    def forget(self, sender: ids.VmId) -> None:
        """Removes the state of a sender."""
        self._senders.pop(sender, None)

    def _store_sender(
        self, sender: ids.VmId, newest: int, seen_bits: int
    ) -> None:
        self._senders[sender] = (newest, seen_bits)
        self._senders.move_to_end(sender)
        if len(self._senders) > self._capacity:
            self._senders.popitem(last=False)
