"""Anti-entropy: reconciles the replicated tables of two balancers."""

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
from typing import Any

from chivedoor import ids
from chivedoor.control import const
from chivedoor.control import datagrams
from chivedoor.control import digest as digest_module
from chivedoor.control import exceptions

_KEY_HASH_BYTES = 8
_VERSION_BYTES = 4
_ITEM_BYTES = _KEY_HASH_BYTES + _VERSION_BYTES
_KEY_HASH_LIMIT = 1 << 8 * _KEY_HASH_BYTES
# Encoded size of a range without its items: two key hashes, array headers.
_RANGE_OVERHEAD_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """An encoded record of a member or of a board entry."""

    is_member: bool
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """The content of one datagram to a peer."""

    recipient: ids.VmId
    kind: datagrams.Kind
    extra: Any = None
    records: tuple[Record, ...] = ()


@dataclasses.dataclass(slots=True)
class _PeerQueue:
    """Work queued for one peer, in order of insertion.

    Attributes:
        wants: Key hashes of the records to request.
        ranges: Bounds of the key hash ranges to summarize.
        records: Key hashes of the records to send.
    """

    wants: dict[int, None] = dataclasses.field(default_factory=dict)
    ranges: dict[tuple[int, int], None] = dataclasses.field(
        default_factory=dict
    )
    records: dict[int, None] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.wants) + len(self.ranges) + len(self.records)


class Synchronizer:
    """Queues the records to exchange with peers whose tables differ.

    A balancer whose digest differs from a peer's sends the sums of its
    digest buckets. For each bucket that differs, the peer sends a summary
    (key hashes and versions), or all records if the bucket of the sender is
    empty. The receiver of a summary sends the records that the peer lacks or
    has in another version, and requests those that it lacks or has in
    another version itself.
    """

    def __init__(
        self,
        *,
        digest: digest_module.Digest,
        load_record: Callable[[Hashable], Record | None],
        capacity: int = const.MAX_SYNC_QUEUE,
    ):
        """Initializes the synchronizer.

        Args:
            digest: The digest of the local table.
            load_record: Returns the record of a key, or None if it no longer
                exists.
            capacity: Maximum number of queued records, requests and ranges
                for all peers together.
        """
        self._digest = digest
        self._load_record = load_record
        self._capacity = capacity
        self._queues: dict[ids.VmId, _PeerQueue] = {}
        self._changed_at = float("-inf")
        self._started_at = float("-inf")
        self.counters = dict.fromkeys(("started", "queued", "full"), 0)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def record_change(self, now: float) -> None:
        """Records that the local table changed."""
        self._changed_at = now

    def reset_delays(self) -> None:
        """Lets the next difference start a synchronization without a delay."""
        self._started_at = float("-inf")
        self._changed_at = float("-inf")

    def try_start(self, root: int, now: float) -> bool:
        """Decides whether to synchronize with a peer.

        Args:
            root: Root of the peer's digest.
            now: Monotonic time in seconds.

        Returns:
            Whether to send the bucket sums to the peer.
        """
        if root == self._digest.root:
            return False
        waited_s = now - self._started_at
        is_quiet = now - self._changed_at >= const.SYNC_QUIET_S
        if waited_s < const.SYNC_INTERVAL_S or not (
            is_quiet or waited_s >= const.SYNC_FORCE_AFTER_S
        ):
            return False
        self._started_at = now
        self.counters["started"] += 1
        return True

    def handle_sums(self, peer: ids.VmId, packed: Any) -> None:
        """Queues summaries or records for the buckets that differ.

        Raises:
            MessageError: The bucket sums are malformed.
        """
        if not isinstance(packed, bytes):
            raise exceptions.MessageError(
                "the bucket sums are not a byte string"
            )
        try:
            differing = list(self._digest.find_differing_buckets(packed))
        except ValueError as error:
            raise exceptions.MessageError(
                "the bucket sums have a wrong length"
            ) from error
        for bucket, is_empty in differing:
            if not is_empty:
                bounds = digest_module.compute_bucket_bounds(bucket)
                self._enqueue(peer, "ranges", bounds)
                continue
            for key_hash, _ in self._digest.list_bucket(bucket):
                self._enqueue(peer, "records", key_hash)

    def handle_summary(self, peer: ids.VmId, ranges: Any) -> None:
        """Queues the records to send and to request after a summary.

        Raises:
            MessageError: The summary is malformed.
        """
        if not isinstance(ranges, list):
            raise exceptions.MessageError("the summary is not an array")
        for fields in ranges:
            start, end, peer_versions = _parse_range(fields)
            self._compare_range(peer, start, end, peer_versions)

    def handle_want(self, peer: ids.VmId, packed: Any) -> None:
        """Queues the records that a peer requested.

        Raises:
            MessageError: The key hashes are malformed.
        """
        if not isinstance(packed, bytes) or len(packed) % _KEY_HASH_BYTES:
            raise exceptions.MessageError(
                "the requested key hashes are malformed"
            )
        for start in range(0, len(packed), _KEY_HASH_BYTES):
            key_hash = int.from_bytes(
                packed[start : start + _KEY_HASH_BYTES], "big"
            )
            self._enqueue(peer, "records", key_hash)

    def take_batch(self, available_bytes: int) -> Batch | None:
        """Returns the content of the next datagram, in turn for each peer.

        Args:
            available_bytes: Bytes available for the content.
        """
        while self._queues:
            peer = next(iter(self._queues))
            queue = self._queues.pop(peer)
            batch = self._take_from(peer, queue, available_bytes)
            if len(queue):
                self._queues[peer] = queue
            if batch is not None:
                return batch
        return None

    def forget(self, peer: ids.VmId) -> None:
        """Discards the work queued for a peer."""
        self._queues.pop(peer, None)

    def clear(self) -> None:
        """Discards all queued work."""
        self._queues.clear()

    def _enqueue(self, peer: ids.VmId, kind: str, value: Hashable) -> None:
        if len(self) >= self._capacity:
            self.counters["full"] += 1
            return
        queue = self._queues.setdefault(peer, _PeerQueue())
        getattr(queue, kind)[value] = None
        self.counters["queued"] += 1

    def _compare_range(
        self,
        peer: ids.VmId,
        start: int,
        end: int,
        peer_versions: dict[int, int],
    ) -> None:
        local_versions = {
            key_hash: item.version % (1 << 8 * _VERSION_BYTES)
            for key_hash, item in self._digest.list_range(start, end)
        }
        for key_hash, version in local_versions.items():
            if peer_versions.get(key_hash) != version:
                self._enqueue(peer, "records", key_hash)
        for key_hash, version in peer_versions.items():
            if local_versions.get(key_hash) != version:
                self._enqueue(peer, "wants", key_hash)

    def _take_from(
        self, peer: ids.VmId, queue: _PeerQueue, available_bytes: int
    ) -> Batch | None:
        if queue.wants:
            return _take_wants(peer, queue, available_bytes)
        if queue.ranges:
            return self._take_summary(peer, queue, available_bytes)
        return self._take_records(peer, queue, available_bytes)

    def _take_summary(
        self, peer: ids.VmId, queue: _PeerQueue, available_bytes: int
    ) -> Batch:
        ranges = []
        while queue.ranges:
            start, end = next(iter(queue.ranges))
            items = self._digest.list_range(start, end)
            max_items = (available_bytes - _RANGE_OVERHEAD_BYTES) // _ITEM_BYTES
            if ranges and len(items) > max_items:
                break
            del queue.ranges[start, end]
            if len(items) > max_items:
                # The rest of the range is sent in a later datagram.
                middle = items[max_items][0]
                queue.ranges[middle, end] = None
                end = middle
            ranges.append(_pack_range(start, end, items[:max_items]))
            available_bytes -= _RANGE_OVERHEAD_BYTES + len(ranges[-1][2])
        return Batch(recipient=peer, kind=datagrams.Kind.SUMMARY, extra=ranges)

    def _take_records(
        self, peer: ids.VmId, queue: _PeerQueue, available_bytes: int
    ) -> Batch | None:
        records = []
        while queue.records:
            key_hash = next(iter(queue.records))
            item = self._digest.get(key_hash)
            record = item and self._load_record(item.key)
            if record is not None:
                if records and len(record.encoded) > available_bytes:
                    break
                records.append(record)
                available_bytes -= len(record.encoded)
            del queue.records[key_hash]
        if not records:
            return None
        return Batch(
            recipient=peer,
            kind=datagrams.Kind.RECORDS,
            records=tuple(records),
        )


def _take_wants(
    peer: ids.VmId, queue: _PeerQueue, available_bytes: int
) -> Batch:
    key_hashes = list(queue.wants)[: available_bytes // _KEY_HASH_BYTES]
    for key_hash in key_hashes:
        del queue.wants[key_hash]
    packed = b"".join(n.to_bytes(_KEY_HASH_BYTES, "big") for n in key_hashes)
    return Batch(recipient=peer, kind=datagrams.Kind.WANT, extra=packed)


def _pack_range(
    start: int, end: int, items: list[tuple[int, digest_module.Item]]
) -> list[Any]:
    """Returns the first and last key hash of a range and its packed items."""
    packed = b"".join(
        key_hash.to_bytes(_KEY_HASH_BYTES, "big")
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
        if type(value) is not int or not 0 <= value < _KEY_HASH_LIMIT:
            raise exceptions.MessageError(
                "a bound of a range is not a valid key hash"
            )
    if not isinstance(packed, bytes) or len(packed) % _ITEM_BYTES:
        raise exceptions.MessageError("the items of a range are malformed")
    peer_versions = {}
    for offset in range(0, len(packed), _ITEM_BYTES):
        item = packed[offset : offset + _ITEM_BYTES]
        key_hash = int.from_bytes(item[:_KEY_HASH_BYTES], "big")
        peer_versions[key_hash] = int.from_bytes(item[_KEY_HASH_BYTES:], "big")
    return start, last + 1, peer_versions
