"""Authentication of messages between balancers."""

import collections
import hashlib
import hmac

from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import exceptions


class Keys:
    """The key that signs, and the keys that are accepted.

    Two accepted keys allow a rotation: first every balancer accepts the new
    key as well, then every balancer signs with it, then the old one goes.
    """

    def __init__(self, *, current: bytes, previous: bytes | None = None):
        """Initializes the keys.

        Args:
            current: Signs; 16 to 64 bytes.
            previous: Accepted as well.

        Raises:
            KeyLengthError: A key is too short or too long.
        """
        accepted = [key for key in (current, previous) if key is not None]
        for key in accepted:
            if not const.KEY_MIN_BYTES <= len(key) <= const.KEY_MAX_BYTES:
                raise exceptions.KeyLengthError(f"{len(key)} bytes")
        self._hash_states = [
            hashlib.blake2b(key=key, digest_size=const.TAG_BYTES)
            for key in accepted
        ]

    def sign(self, body: bytes, context: bytes = b"") -> bytes:
        """Appends the tag.

        Args:
            body: The message.
            context: Data that both ends know and that is not sent, such as
                the address of the recipient.
        """
        return body + _compute_tag(self._hash_states[0], body, context)

    def verify(self, message: bytes, context: bytes = b"") -> bytes:
        """Checks and removes the tag.

        Raises:
            ShortMessageError: The message is shorter than a tag.
            TagError: No accepted key produced the tag.
        """
        if len(message) <= const.TAG_BYTES:
            raise exceptions.ShortMessageError(f"{len(message)} bytes")
        body = message[: -const.TAG_BYTES]
        tag = message[-const.TAG_BYTES :]
        for hash_state in self._hash_states:
            expected = _compute_tag(hash_state, body, context)
            if hmac.compare_digest(tag, expected):
                return body
        raise exceptions.TagError("no accepted key produced the tag")


def _compute_tag(
    hash_state: "hashlib.blake2b", body: bytes, context: bytes
) -> bytes:
    # The length keeps body and context apart.
    hasher = hash_state.copy()
    hasher.update(len(context).to_bytes(2, "big"))
    hasher.update(context)
    hasher.update(body)
    return hasher.digest()


class ReplayFilter:
    """Accepts each message number of a sender once.

    Numbers of a sender rise over its restarts, because they start from its
    incarnation. Numbers below the window are rejected: whether they were
    received before is not known.
    """

    def __init__(
        self,
        *,
        window: int = const.REPLAY_WINDOW,
        capacity: int = const.REPLAY_SENDERS_MAX,
    ):
        self._window = window
        self._mask = (1 << window) - 1
        self._capacity = capacity
        # Newest number and a bit for each number of the window, newest first.
        self._senders: collections.OrderedDict[ids.VmId, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._senders)

    def accept(self, sender: ids.VmId, number: int) -> None:
        """Notes the number of an authenticated message.

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
            raise exceptions.ReplayError(f"number {number} of {sender}")
        self._store_sender(sender, newest, seen_bits | 1 << age)

    def forget(self, sender: ids.VmId) -> None:
        """Forgets a sender."""
        self._senders.pop(sender, None)

    def _store_sender(
        self, sender: ids.VmId, newest: int, seen_bits: int
    ) -> None:
        self._senders[sender] = (newest, seen_bits)
        self._senders.move_to_end(sender)
        if len(self._senders) > self._capacity:
            self._senders.popitem(last=False)
