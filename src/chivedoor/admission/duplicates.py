"""Filter that passes each datagram payload of a flow at most once."""

import enum
import hashlib

from chivedoor import ids
from chivedoor.admission import const


class FilterResult(enum.Enum):
    """Result of checking a datagram.

    `FULL` means that the filter has no space to store the datagram's digest.
    The datagram is not a duplicate, so the refusal may state that the request
    was not run.
    """

    PASS = "pass"
    DUPLICATE = "duplicate"
    FULL = "full"


class DuplicateFilter:
    """Stores digests of the datagrams of each flow until its record ends.

    A full filter rejects new datagrams instead of evicting stored digests,
    because an evicted request could run twice.
    """

    def __init__(
        self,
        *,
        max_payloads: int = const.MAX_PAYLOADS,
        max_payloads_per_flow: int = const.MAX_PAYLOADS_PER_FLOW,
    ) -> None:
        """Initializes an empty filter.

        Args:
            max_payloads: Maximum number of digests stored for all flows.
            max_payloads_per_flow: Maximum number of digests stored per flow.
        """
        self._max_payloads = max_payloads
        self._max_payloads_per_flow = max_payloads_per_flow
        self._digests: dict[ids.FlowKey, set[bytes]] = {}
        self._count = 0
        self._duplicates = 0
        self._rejected = 0

    def check(
        self, flow: ids.FlowKey, payload: bytes | memoryview
    ) -> FilterResult:
        """Checks a datagram and stores its digest if it passes."""
        digest = _compute_digest(payload)
        stored = self._digests.get(flow, frozenset())
        if digest in stored:
            self._duplicates += 1
            return FilterResult.DUPLICATE
        if (
            self._count >= self._max_payloads
            or len(stored) >= self._max_payloads_per_flow
        ):
            self._rejected += 1
            return FilterResult.FULL
        self._add(flow, digest)
        return FilterResult.PASS

    def remove(self, flow: ids.FlowKey, payload: bytes | memoryview) -> None:
        """Removes a datagram that was refused after it passed the filter."""
        stored = self._digests.get(flow)
        digest = _compute_digest(payload)
        if stored is not None and digest in stored:
            stored.discard(digest)
            self._count -= 1

    def list_digests(self, flow: ids.FlowKey) -> tuple[bytes, ...]:
        """Returns the digests of a flow for replication of its record."""
        return tuple(sorted(self._digests.get(flow, ())))

    def add_digests(
        self, flow: ids.FlowKey, digests: tuple[bytes, ...]
    ) -> None:
        """Adds digests received from a replica, even beyond the limits."""
        stored = self._digests.get(flow, frozenset())
        for digest in set(digests) - stored:
            self._add(flow, digest)

    def remove_flow(self, flow: ids.FlowKey) -> None:
        """Removes a flow whose record has ended; ignores unknown flows."""
        self._count -= len(self._digests.pop(flow, ()))

    def dump_state(self) -> dict:
        """Returns the counters as plain values."""
        return {
            "flows": len(self._digests),
            "payloads": self._count,
            "duplicates": self._duplicates,
            "rejected": self._rejected,
        }

    def _add(self, flow: ids.FlowKey, digest: bytes) -> None:
        self._digests.setdefault(flow, set()).add(digest)
        self._count += 1


def _compute_digest(payload: bytes | memoryview) -> bytes:
    return hashlib.blake2b(payload, digest_size=const.DIGEST_BYTES).digest()
