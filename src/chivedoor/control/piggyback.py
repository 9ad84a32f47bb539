"""Queue of updates that are piggybacked on other messages."""

from collections.abc import Hashable
import math

from chivedoor.control import const


def compute_retransmit_limit(members: int) -> int:
    """Returns how often each update is sent in a fleet of a given size."""
    return const.RETRANSMIT_FACTOR * math.ceil(math.log2(max(members, 2)))


class PiggybackQueue:
    """Encoded updates by key; those sent the fewest times are taken first."""

    def __init__(self, *, capacity: int = const.PIGGYBACK_CAPACITY):
        self._capacity = capacity
        # Updates by the number of times they were sent; each group is in order
        # of insertion.
        self._by_send_count: list[dict[Hashable, bytes]] = [{}]
        self._send_counts: dict[Hashable, int] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._send_counts)

    def put(self, key: Hashable, encoded: bytes) -> None:
        """Adds an update, which replaces an older one with the same key."""
        self.discard(key)
        if len(self._send_counts) >= self._capacity:
            self._drop_most_sent()
        self._by_send_count[0][key] = encoded
        self._send_counts[key] = 0

    def discard(self, key: Hashable) -> None:
        """Removes the update with a key if there is one."""
        send_count = self._send_counts.pop(key, None)
        if send_count is not None:
            del self._by_send_count[send_count][key]

    def clear(self) -> None:
        """Removes all updates."""
        self._by_send_count = [{}]
        self._send_counts.clear()

    def take(self, available_bytes: int, max_sends: int) -> list[bytes]:
        """Returns the next updates that fit and counts them as sent.

        Args:
            available_bytes: Bytes available for the updates.
            max_sends: Number of times after which an update is removed.
        """
        selected = self._select(available_bytes)
        for key, _ in selected:
            self._count_sent(key, max_sends)
        return [encoded for _, encoded in selected]

    def _select(self, available_bytes: int) -> list[tuple[Hashable, bytes]]:
        selected = []
        for updates in self._by_send_count:
            for key, encoded in updates.items():
                if len(encoded) > available_bytes:
                    return selected
                available_bytes -= len(encoded)
                selected.append((key, encoded))
        return selected

    def _count_sent(self, key: Hashable, max_sends: int) -> None:
        send_count = self._send_counts[key]
        encoded = self._by_send_count[send_count].pop(key)
        if send_count + 1 >= max_sends:
            del self._send_counts[key]
            return
        if send_count + 1 == len(self._by_send_count):
            self._by_send_count.append({})
        self._by_send_count[send_count + 1][key] = encoded
        self._send_counts[key] = send_count + 1

    def _drop_most_sent(self) -> None:
        most_sent = next(
            updates for updates in reversed(self._by_send_count) if updates
        )
        key = next(iter(most_sent))
        self.discard(key)
        self.dropped += 1
