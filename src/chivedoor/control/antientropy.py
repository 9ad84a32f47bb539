"""Repair of differences between the tables of two balancers."""

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
from typing import Any

from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import datagrams
from chivedoor.control import digest as digest_module
from chivedoor.control import exceptions

_KEY_BYTES = 8
_VERSION_BYTES = 4
_ITEM_BYTES = _KEY_BYTES + _VERSION_BYTES
_KEY_LIMIT = 1 << 8 * _KEY_BYTES
# Bytes of a range besides its items: two key hashes and array headers.
_RANGE_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """An encoded record and whether it describes a member or an entry."""

    is_member: bool
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """The content of one datagram for a peer."""

    recipient: ids.VmId
    kind: datagrams.Kind
    extra: Any = None
    records: tuple[Record, ...] = ()


@dataclasses.dataclass(slots=True)
class _Work:
    """What is still to be sent to one peer, in order of insertion."""

    wants: dict[int, None] = dataclasses.field(default_factory=dict)
    ranges: dict[tuple[int, int], None] = dataclasses.field(
        default_factory=dict
    )
    records: dict[int, None] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.wants) + len(self.ranges) + len(self.records)


class Synchronizer:
    """Finds and queues the records that a peer and this balancer lack.

    A balancer whose digest differs from a peer's sends the sums of its
    buckets. The peer sends a summary (key hashes and versions) of buckets
    that differ, and the records of those where the other has none. The
    receiver of a summary sends the records that the peer lacks or has in
    another version, and asks for those that it lacks itself.
    """

    def __init__(
        self,
        *,
        digest: digest_module.Digest,
        load: Callable[[Hashable], Record | None],
        capacity: int = const.SYNC_QUEUE,
    ):
        """Initializes the synchronizer.

        Args:
            digest: Digest of the table.
            load: Returns the record of a key, or None when it is gone.
            capacity: Records, wants and summaries queued for all peers.
        """
        self._digest = digest
        self._load = load
        self._capacity = capacity
        self._peers: dict[ids.VmId, _Work] = {}
        self._changed_at = float("-inf")
        self._started_at = float("-inf")
        self.counters = dict.fromkeys(("started", "queued", "full"), 0)

    def __len__(self) -> int:
        return sum(map(len, self._peers.values()))

    def note_change(self, now: float) -> None:
        """Notes that the local table changed."""
        self._changed_at = now

    def hurry(self) -> None:
        """Lets the next difference start a synchronization at once."""
        self._started_at = float("-inf")
        self._changed_at = float("-inf")

    def start(self, root: int, now: float) -> bool:
        """Returns whether to send the sums to a peer with this digest."""
        if root == self._digest.root:
            return False
        waited_s = now - self._started_at
        is_quiet = now - self._changed_at >= const.SYNC_QUIET_S
        if waited_s < const.SYNC_INTERVAL_S or not (
            is_quiet or waited_s >= const.SYNC_FORCED_S
        ):
            return False
        self._started_at = now
        self.counters["started"] += 1
        return True

    def handle_sums(self, peer: ids.VmId, packed: Any) -> None:
        """Queues summaries or records of the buckets that differ.

        Raises:
            MessageError: The sums are malformed.
        """
        if not isinstance(packed, bytes):
            raise exceptions.MessageError("sums are not bytes")
        try:
            differing = list(self._digest.compare_sums(packed))
        except ValueError as error:
            raise exceptions.MessageError("malformed sums") from error
        for bucket, is_empty in differing:
            if not is_empty:
                bounds = digest_module.compute_bounds(bucket)
                self._queue(peer, "ranges", bounds)
                continue
            for key_hash, _ in self._digest.list_bucket(bucket):
                self._queue(peer, "records", key_hash)

    def handle_summary(self, peer: ids.VmId, ranges: Any) -> None:
        """Queues the records and wants that a summary calls for.

        Raises:
            MessageError: The summary is malformed.
        """
        if not isinstance(ranges, list):
            raise exceptions.MessageError("a summary is not an array")
        for fields in ranges:
            start, end, theirs = _parse_range(fields)
            self._compare_range(peer, start, end, theirs)

    def handle_want(self, peer: ids.VmId, packed: Any) -> None:
        """Queues the records that a peer asked for.

        Raises:
            MessageError: The key hashes are malformed.
        """
        if not isinstance(packed, bytes) or len(packed) % _KEY_BYTES:
            raise exceptions.MessageError("malformed key hashes")
        for start in range(0, len(packed), _KEY_BYTES):
            key_hash = int.from_bytes(packed[start : start + _KEY_BYTES], "big")
            self._queue(peer, "records", key_hash)

    def take(self, room: int) -> Batch | None:
        """Returns the content of the next datagram; peers take turns.

        Args:
            room: Bytes for the content.
        """
        while self._peers:
            peer = next(iter(self._peers))
            work = self._peers.pop(peer)
            batch = self._take_from(peer, work, room)
            if len(work):
                self._peers[peer] = work
            if batch is not None:
                return batch
        return None

    def forget(self, peer: ids.VmId) -> None:
        """Drops the work for a peer."""
        self._peers.pop(peer, None)

    def clear(self) -> None:
        """Drops all work."""
        self._peers.clear()

    def _queue(self, peer: ids.VmId, kind: str, value: Hashable) -> None:
        if len(self) >= self._capacity:
            self.counters["full"] += 1
            return
        work = self._peers.setdefault(peer, _Work())
        getattr(work, kind)[value] = None
        self.counters["queued"] += 1

    def _compare_range(
        self, peer: ids.VmId, start: int, end: int, theirs: dict[int, int]
    ) -> None:
        mine = {
            key_hash: item.version % (1 << 8 * _VERSION_BYTES)
            for key_hash, item in self._digest.list_range(start, end)
        }
        for key_hash, version in mine.items():
            if theirs.get(key_hash) != version:
                self._queue(peer, "records", key_hash)
        for key_hash, version in theirs.items():
            if mine.get(key_hash) != version:
                self._queue(peer, "wants", key_hash)

    def _take_from(
        self, peer: ids.VmId, work: _Work, room: int
    ) -> Batch | None:
        if work.wants:
            return _take_wants(peer, work, room)
        if work.ranges:
            return self._take_summary(peer, work, room)
        return self._take_records(peer, work, room)

    def _take_summary(self, peer: ids.VmId, work: _Work, room: int) -> Batch:
        ranges = []
        while work.ranges:
            start, end = next(iter(work.ranges))
            items = self._digest.list_range(start, end)
            fitting = (room - _RANGE_BYTES) // _ITEM_BYTES
            if ranges and len(items) > fitting:
                break
            del work.ranges[start, end]
            if len(items) > fitting:
                # The rest of the range follows in another datagram.
                middle = items[fitting][0]
                work.ranges[middle, end] = None
                end = middle
            ranges.append(_pack_range(start, end, items[:fitting]))
            room -= _RANGE_BYTES + len(ranges[-1][2])
        return Batch(recipient=peer, kind=datagrams.Kind.SUMMARY, extra=ranges)

    def _take_records(
        self, peer: ids.VmId, work: _Work, room: int
    ) -> Batch | None:
        records = []
        while work.records:
            key_hash = next(iter(work.records))
            item = self._digest.get(key_hash)
            record = item and self._load(item.key)
            if record is not None:
                if records and len(record.encoded) > room:
                    break
                records.append(record)
                room -= len(record.encoded)
            del work.records[key_hash]
        if not records:
            return None
        return Batch(
            recipient=peer,
            kind=datagrams.Kind.RECORDS,
            records=tuple(records),
        )


def _take_wants(peer: ids.VmId, work: _Work, room: int) -> Batch:
    chosen = list(work.wants)[: room // _KEY_BYTES]
    for key_hash in chosen:
        del work.wants[key_hash]
    packed = b"".join(n.to_bytes(_KEY_BYTES, "big") for n in chosen)
    return Batch(recipient=peer, kind=datagrams.Kind.WANT, extra=packed)


def _pack_range(
    start: int, end: int, items: list[tuple[int, digest_module.Item]]
) -> list[Any]:
    """Returns the first and the last key hash, and the packed items."""
    packed = b"".join(
        key_hash.to_bytes(_KEY_BYTES, "big")
        + (item.version % (1 << 8 * _VERSION_BYTES)).to_bytes(
            _VERSION_BYTES, "big"
        )
        for key_hash, item in items
    )
    return [start, end - 1, packed]


def _parse_range(fields: Any) -> tuple[int, int, dict[int, int]]:
    if not isinstance(fields, list) or len(fields) != 3:
        raise exceptions.MessageError("a range is not an array of 3 fields")
    start, last, packed = fields
    for value in (start, last):
        if type(value) is not int or not 0 <= value < _KEY_LIMIT:
            raise exceptions.MessageError("a bound is out of range")
    if not isinstance(packed, bytes) or len(packed) % _ITEM_BYTES:
        raise exceptions.MessageError("malformed items")
    theirs = {}
    for offset in range(0, len(packed), _ITEM_BYTES):
        item = packed[offset : offset + _ITEM_BYTES]
        key_hash = int.from_bytes(item[:_KEY_BYTES], "big")
        theirs[key_hash] = int.from_bytes(item[_KEY_BYTES:], "big")
    return start, last + 1, theirs
