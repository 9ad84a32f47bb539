"""Queue of updates that ride on other messages."""

from collections.abc import Hashable
import math

from chivedoor.control import const


def compute_limit(members: int) -> int:
    """Returns how often each update is sent in a fleet of this size."""
    return const.RETRANSMIT_FACTOR * math.ceil(math.log2(max(members, 2)))


class PiggybackQueue:
    """Encoded updates by key, those sent the fewest times first."""

    def __init__(self, *, capacity: int = const.PIGGYBACK_CAPACITY):
        self._capacity = capacity
        # Updates by how often they were sent, oldest first.
        self._levels: list[dict[Hashable, bytes]] = [{}]
        self._level_of: dict[Hashable, int] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: Hashable, encoded: bytes) -> None:
        """Adds an update; it replaces an older one of the same key."""
        self.discard(key)
        if len(self._level_of) >= self._capacity:
            self._drop_most_sent()
        self._levels[0][key] = encoded
        self._level_of[key] = 0

    def discard(self, key: Hashable) -> None:
        """Removes the update of a key if there is one."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def clear(self) -> None:
        """Removes all updates."""
        self._levels = [{}]
        self._level_of.clear()

    def take(self, room: int, limit: int) -> list[bytes]:
        """Returns updates that fit and counts them as sent once more.

        Args:
            room: Bytes for the updates.
            limit: An update that was sent this often is removed.
        """
        chosen = self._choose(room)
        for key, _ in chosen:
            self._promote(key, limit)
        return [encoded for _, encoded in chosen]

    def _choose(self, room: int) -> list[tuple[Hashable, bytes]]:
        chosen = []
        for level in self._levels:
            for key, encoded in level.items():
                if len(encoded) > room:
                    return chosen
                room -= len(encoded)
                chosen.append((key, encoded))
        return chosen

    def _promote(self, key: Hashable, limit: int) -> None:
        level = self._level_of[key]
        encoded = self._levels[level].pop(key)
        if level + 1 >= limit:
            del self._level_of[key]
            return
        if level + 1 == len(self._levels):
            self._levels.append({})
        self._levels[level + 1][key] = encoded
        self._level_of[key] = level + 1

    def _drop_most_sent(self) -> None:
        level = next(level for level in reversed(self._levels) if level)
        key = next(iter(level))
        self.discard(key)
        self.dropped += 1
