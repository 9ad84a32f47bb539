"""Digest of a replicated table, for anti-entropy."""

from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses

import xxhash

from chivedoor.control import const

_HASH_BITS = 64
_BUCKET_SHIFT = _HASH_BITS - (const.DIGEST_BUCKETS.bit_length() - 1)
_SUM_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A record of the table: its key and the hash of its content."""

    key: Hashable
    version: int


def compute_hash(data: bytes) -> int:
    """Returns the 64-bit hash used for keys and versions."""
    return xxhash.xxh3_64_intdigest(data)


class Digest:
    """XOR sums of record hashes, by bucket of the key hash.

    Two tables with the same records have the same sums. Because the sums are
    XORs, updating one record takes the same time in a table of any size.
    """

    def __init__(self):
        self._buckets: list[dict[int, Item]] = [
            {} for _ in range(const.DIGEST_BUCKETS)
        ]
        self._sums = [0] * const.DIGEST_BUCKETS
        self._root = 0

    @property
    def root(self) -> int:
        """XOR sum of all records."""
        return self._root

    def __len__(self) -> int:
        return sum(map(len, self._buckets))

    def put(self, key_hash: int, key: Hashable, version: int) -> None:
        """Adds a record or replaces its version."""
        self.remove(key_hash)
        bucket = key_hash >> _BUCKET_SHIFT
        self._buckets[bucket][key_hash] = Item(key, version)
        self._update_sums(bucket, version)

    def remove(self, key_hash: int) -> None:
        """Removes a record if it exists."""
        bucket = key_hash >> _BUCKET_SHIFT
        item = self._buckets[bucket].pop(key_hash, None)
        if item is not None:
            self._update_sums(bucket, item.version)

    def get(self, key_hash: int) -> Item | None:
        """Returns the record with a key hash, or None."""
        return self._buckets[key_hash >> _BUCKET_SHIFT].get(key_hash)

    def pack_sums(self) -> bytes:
        """Returns the sums of all buckets, truncated to 4 bytes each."""
        return b"".join(
            _truncate_sum(bucket_sum).to_bytes(_SUM_BYTES, "big")
            for bucket_sum in self._sums
        )

    def find_differing_buckets(
        self, packed: bytes
    ) -> Iterator[tuple[int, bool]]:
        """Yields each differing bucket and whether the peer's bucket is empty.

        Raises:
            ValueError: The packed sums have a wrong length.
        """
        if len(packed) != const.DIGEST_BUCKETS * _SUM_BYTES:
            raise ValueError("wrong number of bucket sums")
        for bucket, bucket_sum in enumerate(self._sums):
            start = bucket * _SUM_BYTES
            peer_sum = int.from_bytes(packed[start : start + _SUM_BYTES], "big")
            if peer_sum != _truncate_sum(bucket_sum):
                yield bucket, peer_sum == 0

    def list_bucket(self, bucket: int) -> list[tuple[int, Item]]:
        """Returns key hashes and records of a bucket, sorted by key hash."""
        return sorted(self._buckets[bucket].items(), key=_get_key_hash)

    def list_range(self, start: int, end: int) -> list[tuple[int, Item]]:
        """Returns the records with `start <= key hash < end`, sorted by hash.

        The range must lie within one bucket.
        """
        return [
            (key_hash, item)
            for key_hash, item in self.list_bucket(start >> _BUCKET_SHIFT)
            if start <= key_hash < end
        ]

    def _update_sums(self, bucket: int, version: int) -> None:
        self._sums[bucket] ^= version
        self._root ^= version


def compute_bucket_bounds(bucket: int) -> tuple[int, int]:
    """Returns the first key hash of a bucket and of the next one."""
    return bucket << _BUCKET_SHIFT, (bucket + 1) << _BUCKET_SHIFT


def _truncate_sum(bucket_sum: int) -> int:
    return bucket_sum & (1 << 8 * _SUM_BYTES) - 1


def _get_key_hash(pair: tuple[int, Item]) -> int:
    return pair[0]
