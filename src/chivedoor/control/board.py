"""Replicated table of small entries that gossip distributes."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
from typing import Any

import cbor2

from chivedoor import exceptions as base_exceptions
from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import digest as digest_module
from chivedoor.control import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """The value that one origin published under a topic.

    Attributes:
        topic: What the value is about, such as `mode/17`.
        origin: The VM that published the value.
        incarnation: The incarnation of the origin when it published.
        counter: Number of the value, which increases with each value of the
            topic.
        value: A plain value that CBOR can encode.
    """

    topic: str
    origin: ids.VmId
    incarnation: ids.Incarnation
    counter: int
    value: Any

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key of entries with the same topic and origin."""
        return (self.incarnation, self.counter)

    @functools.cached_property
    def encoded(self) -> bytes:
        """The entry encoded as CBOR."""
        return cbor2.dumps(
            [
                self.topic,
                self.origin,
                self.incarnation,
                self.counter,
                self.value,
            ]
        )


def decode_entry(fields: Any) -> Entry:
    """Builds an entry from a decoded CBOR value.

    Raises:
        EntryError: The value is malformed.
    """
    if not isinstance(fields, list) or len(fields) != 5:
        raise exceptions.EntryError("the entry is not an array of 5 fields")
    topic, origin, incarnation, counter, value = fields
    if not isinstance(topic, str) or not isinstance(origin, str):
        raise exceptions.EntryError(
            "the topic or origin of the entry is not text"
        )
    if not 0 < len(origin.encode()) <= const.MAX_TOPIC_BYTES:
        raise exceptions.EntryError(
            "the origin of the entry is empty or too long"
        )
    if type(incarnation) is not int or type(counter) is not int:
        raise exceptions.EntryError(
            "the incarnation or counter is not an integer"
        )
    if (
        not 0
        <= min(incarnation, counter)
        <= max(incarnation, counter)
        < (const.COUNTER_LIMIT)
    ):
        raise exceptions.EntryError(
            "the incarnation or counter is out of range"
        )
    return Entry(
        topic=topic,
        origin=ids.VmId(origin),
        incarnation=ids.Incarnation(incarnation),
        counter=counter,
        value=value,
    )


Merge = Callable[[Entry, Entry], Entry]
# Called with topic, origin and entry, or None if the entry no longer applies.
ChangeCallback = Callable[[str, ids.VmId, Entry | None], None]
PublishCallback = Callable[[Entry, bool], None]
Key = tuple[str, ids.VmId | None]


class Board:
    """Replicated table that keeps the newest entry of each topic and origin.

    A topic with a registered merge function has a single entry for all
    origins. Such an entry does not expire and stays when its origin dies.
    """

    def __init__(
        self,
        *,
        local_id: ids.VmId,
        incarnation: ids.Incarnation,
        capacity: int = const.MAX_BOARD_ENTRIES,
        merged_capacity: int = const.MAX_MERGED_ENTRIES,
        dead_origin_s: float = const.DEAD_ORIGIN_TTL_S,
    ):
        self._local_id = local_id
        self._incarnation = incarnation
        self._capacity = capacity
        self._merged_capacity = merged_capacity
        self._dead_origin_s = dead_origin_s
        self._topics: dict[str, dict[ids.VmId | None, Entry]] = {}
        self._topics_by_origin: dict[ids.VmId, set[str]] = {}
        self._dead_since: dict[ids.VmId, float] = {}
        self._min_incarnations: dict[ids.VmId, ids.Incarnation] = {}
        self._size = 0
        self._merged_size = 0
        self._merges: dict[str, Merge] = {}
        self._change_callbacks: list[tuple[str, ChangeCallback]] = []
        self._publish_callbacks: list[PublishCallback] = []
        self.digest = digest_module.Digest()
        self.counters = dict.fromkeys(
            ("published", "accepted", "old", "rejected", "full", "expired"), 0
        )

    def __len__(self) -> int:
        return self._size + self._merged_size

    @property
    def local_id(self) -> ids.VmId:
        """The id under which this board publishes entries."""
        return self._local_id

    def register_merge(self, prefix: str, merge: Merge) -> None:
        """Registers a merge function for topics that several origins write.

        Args:
            prefix: Prefix of the topics, such as `domain/`.
            merge: Returns the winner of two entries. It must be commutative,
                associative and idempotent, and raise a `ChivedoorError` for
                a malformed entry. If the topic has no entry yet, both
                arguments are the new entry.
        """
        self._merges[prefix] = merge

    def publish(
        self, topic: str, value: Any, urgent: bool, now: float
    ) -> Entry:
        """Publishes a value with the local member as its origin.

        Args:
            topic: Topic of at most 64 bytes.
            value: Plain value of at most 512 bytes as CBOR.
            urgent: Whether gossip sends the entry at once.
            now: Monotonic time in seconds.

        Returns:
            The published entry, or the winner for a topic with a merge
            function.

        Raises:
            TopicError: The topic is empty or too long.
            ValueSizeError: The value is too large or has no encoding.
            BoardFullError: The board is full.
        """
        check_topic(topic)
        merge = self._find_merge(topic)
        key = (topic, None if merge else self._local_id)
        existing = self._get_entry(key)
        entry = Entry(
            topic=topic,
            origin=self._local_id,
            incarnation=self._incarnation,
            counter=existing.counter + 1 if existing else 1,
            value=value,
        )
        check_size(entry)
        winner = self._select_winner(merge, existing, entry)
        if winner is not existing:
            self._store(key, winner)
        self.counters["published"] += 1
        for callback in tuple(self._publish_callbacks):
            callback(winner, urgent)
        return winner

    def merge(self, entries: Iterable[Entry], now: float) -> list[Entry]:
        """Merges entries received from a peer.

        Invalid entries are counted and skipped.

        Returns:
            The entries that are new to this board, to be forwarded.
        """
        accepted = []
        for entry in entries:
            try:
                is_new = self._merge_entry(entry)
            except exceptions.BoardFullError:
                self.counters["full"] += 1
            except base_exceptions.ChivedoorError:
                self.counters["rejected"] += 1
            else:
                self.counters["accepted" if is_new else "old"] += 1
                accepted.extend([entry] if is_new else ())
        return accepted

    def get(self, topic: str) -> tuple[Entry, ...]:
        """Returns the entries of a topic whose origins are not dead."""
        return tuple(
            entry
            for origin, entry in self._topics.get(topic, {}).items()
            if origin not in self._dead_since
        )

    def get_from(self, topic: str, origin: ids.VmId) -> Entry | None:
        """Returns the entry of an origin, or None if it is dead or has none."""
        if origin in self._dead_since:
            return None
        return self._get_entry((topic, origin))

    def get_by_key(self, key: Key) -> Entry | None:
        """Returns the entry with a digest key, or None.

        Unlike `get_from`, it also returns entries of dead origins.
        """
        return self._get_entry(key)

    def list_origins(self) -> tuple[ids.VmId, ...]:
        """Returns the origins that have entries without a merge function."""
        return tuple(self._topics_by_origin)

    def list_entries(self, prefix: str = "") -> tuple[Entry, ...]:
        """Returns the entries of live origins in topics with a prefix."""
        return tuple(
            entry
            for topic in tuple(self._topics)
            if topic.startswith(prefix)
            for entry in self.get(topic)
        )

    def subscribe(
        self, prefix: str, callback: ChangeCallback
    ) -> Callable[[], None]:
        """Subscribes to changes of entries in topics with a prefix.

        The callback receives topic, origin and entry. The entry is None if it
        no longer applies, because its origin died or restarted, or because
        the entry expired.

        Returns:
            A function that cancels the subscription.
        """
        subscription = (prefix, callback)
        self._change_callbacks.append(subscription)
        return lambda: self._change_callbacks.remove(subscription)

    def on_publish(self, callback: PublishCallback) -> Callable[[], None]:
        """Registers a callback for locally published entries.

        The callback receives the entry and whether it is urgent.

        Returns:
            A function that removes the callback.
        """
        self._publish_callbacks.append(callback)
        return lambda: self._publish_callbacks.remove(callback)

    def set_incarnation(
        self, incarnation: ids.Incarnation, *, keep_entries: bool
    ) -> list[Entry]:
        """Sets the incarnation of the local member.

        Args:
            incarnation: The new incarnation.
            keep_entries: Whether the entries that this origin published
                remain; a member that lost its state withdraws them.

        Returns:
            The remaining entries with the new incarnation.
        """
        self._incarnation = incarnation
        renewed = []
        for topic in tuple(self._topics_by_origin.get(self._local_id, ())):
            key = (topic, self._local_id)
            entry = self._get_entry(key)
            if not keep_entries:
                self._remove(key)
                continue
            renewed.append(dataclasses.replace(entry, incarnation=incarnation))
            self._store(key, renewed[-1])
        return renewed

    def set_origin_alive(
        self, origin: ids.VmId, incarnation: ids.Incarnation, now: float
    ) -> None:
        """Marks an origin as alive and drops entries of older incarnations."""
        was_dead = self._dead_since.pop(origin, None) is not None
        if incarnation > self._min_incarnations.get(origin, -1):
            self._min_incarnations[origin] = incarnation
            self._drop_older_incarnations(origin, incarnation)
        if was_dead:
            self._restore_entries(origin)

    def set_origin_dead(self, origin: ids.VmId, now: float) -> None:
        """Marks an origin as dead and hides its entries until they expire."""
        if origin in self._dead_since:
            return
        topics = self._topics_by_origin.get(origin, ())
        self._dead_since[origin] = now
        for topic in tuple(topics):
            self.digest.remove(_hash_key((topic, origin)))
            self._notify(topic, origin, None)

    def forget_origin(self, origin: ids.VmId) -> None:
        """Removes the entries and the state of an origin."""
        for topic in tuple(self._topics_by_origin.get(origin, ())):
            self._remove((topic, origin))
        self._dead_since.pop(origin, None)
        self._min_incarnations.pop(origin, None)

    def expire(self, now: float) -> list[ids.VmId]:
        """Drops entries of origins that have been dead for `dead_origin_s`.

        Returns:
            The origins that are dead for this long. They stay marked as dead
            until `set_origin_alive` or `forget_origin` is called.
        """
        expired = [
            origin
            for origin, since in self._dead_since.items()
            if now - since >= self._dead_origin_s
        ]
        for origin in expired:
            for topic in tuple(self._topics_by_origin.get(origin, ())):
                self._remove((topic, origin))
                self.counters["expired"] += 1
        return expired

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "entries": [
                [e.topic, e.origin, e.incarnation, e.counter, e.value]
                for e in self.list_entries()
            ],
            "dead_origins": sorted(self._dead_since),
            "counters": dict(self.counters),
        }

    def _find_merge(self, topic: str) -> Merge | None:
        for prefix, merge in self._merges.items():
            if topic.startswith(prefix):
                return merge
        return None

    def _get_entry(self, key: Key) -> Entry | None:
        topic, origin = key
        return self._topics.get(topic, {}).get(origin)

    def _select_winner(
        self, merge: Merge | None, existing: Entry | None, entry: Entry
    ) -> Entry:
        if merge is not None:
            return merge(existing or entry, entry)
        if existing is None or entry.precedence > existing.precedence:
            return entry
        return existing

    def _merge_entry(self, entry: Entry) -> bool:
        check_topic(entry.topic)
        check_size(entry)
        merge = self._find_merge(entry.topic)
        if merge is None and self._is_outdated(entry):
            return False
        key = (entry.topic, None if merge else entry.origin)
        existing = self._get_entry(key)
        winner = self._select_winner(merge, existing, entry)
        if existing is not None and winner.encoded == existing.encoded:
            return False
        self._store(key, winner)
        return True

    def _is_outdated(self, entry: Entry) -> bool:
        if entry.origin == self._local_id or entry.origin in self._dead_since:
            return True
        return entry.incarnation < self._min_incarnations.get(entry.origin, 0)

    def _store(self, key: Key, entry: Entry) -> None:
        topic, origin = key
        if self._get_entry(key) is None:
            self._reserve_entry(is_merged=origin is None)
        self._topics.setdefault(topic, {})[origin] = entry
        if origin is not None:
            self._topics_by_origin.setdefault(origin, set()).add(topic)
        self._add_to_digest(key, entry)
        self._notify(topic, entry.origin, entry)

    def _reserve_entry(self, *, is_merged: bool) -> None:
        size = self._merged_size if is_merged else self._size
        capacity = self._merged_capacity if is_merged else self._capacity
        if size >= capacity:
            raise exceptions.BoardFullError(
                f"the board is full with {size} entries"
            )
        if is_merged:
            self._merged_size += 1
        else:
            self._size += 1

    def _remove(self, key: Key) -> None:
        topic, origin = key
        del self._topics[topic][origin]
        if not self._topics[topic]:
            del self._topics[topic]
        self._topics_by_origin[origin].discard(topic)
        if not self._topics_by_origin[origin]:
            del self._topics_by_origin[origin]
        self._size -= 1
        self.digest.remove(_hash_key(key))
        if origin not in self._dead_since:
            self._notify(topic, origin, None)

    def _drop_older_incarnations(
        self, origin: ids.VmId, incarnation: ids.Incarnation
    ) -> None:
        if origin == self._local_id:
            return
        for topic in tuple(self._topics_by_origin.get(origin, ())):
            if self._get_entry((topic, origin)).incarnation < incarnation:
                self._remove((topic, origin))

    def _restore_entries(self, origin: ids.VmId) -> None:
        for topic in tuple(self._topics_by_origin.get(origin, ())):
            entry = self._get_entry((topic, origin))
            self._add_to_digest((topic, origin), entry)
            self._notify(topic, origin, entry)

    def _add_to_digest(self, key: Key, entry: Entry) -> None:
        version = digest_module.compute_hash(entry.encoded)
        self.digest.put(_hash_key(key), key, version)

    def _notify(
        self, topic: str, origin: ids.VmId, entry: Entry | None
    ) -> None:
        for prefix, callback in tuple(self._change_callbacks):
            if topic.startswith(prefix):
                callback(topic, origin, entry)


def check_topic(topic: str) -> None:
    """Checks the length of a topic.

    Raises:
        TopicError: The topic is empty or longer than 64 bytes.
    """
    if not 0 < len(topic.encode(errors="replace")) <= const.MAX_TOPIC_BYTES:
        raise exceptions.TopicError(repr(topic[: const.MAX_TOPIC_BYTES]))


def check_size(entry: Entry) -> None:
    """Checks the size of an entry.

    Raises:
        ValueSizeError: The value has more than 512 bytes as CBOR, or CBOR
            cannot encode it.
    """
    try:
        size = len(cbor2.dumps(entry.value))
        encoded = entry.encoded
    except (cbor2.CBOREncodeError, ValueError, TypeError, OverflowError) as e:
        raise exceptions.ValueSizeError(str(e)) from e
    if size > const.MAX_VALUE_BYTES:
        raise exceptions.ValueSizeError(
            f"the value has {size} bytes in topic {entry.topic}, "
            f"the entry {len(encoded)} bytes"
        )


def _hash_key(key: Key) -> int:
    topic, origin = key
    return digest_module.compute_hash(f"{topic}\0{origin or ''}".encode())
