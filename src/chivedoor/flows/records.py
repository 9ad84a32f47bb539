"""Compact flow records of one target."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import itertools

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.flows import const

_KINDS = tuple(documents.PortKind)
_KIND_CODES = {kind: code for code, kind in enumerate(_KINDS)}
_SLOT_KINDS = frozenset({documents.PortKind.UPLOAD, documents.PortKind.REQUEST})
_STATE_MASK = 0x3
_KIND_SHIFT = 2
_KIND_MASK = 0x3
_CALLER_FIN = 0x10
_TARGET_FIN = 0x20
_ADOPTED = 0x40
_SEEN_SHIFT = 8
_FLAGS_MASK = 0xFF


class FlowState(enum.IntEnum):
    """State of a flow at its owner."""

    OPENING = 0
    OPEN = 1
    CLOSED = 2


class FlowTable:
    """Flow records of one target, each packed into a small integer.

    A record holds the flow's state, the kind of its port, the sides that have
    sent a FIN, whether the flow was adopted, and the time of the last packet
    at the owner in units of `TIME_UNIT_S`. An object for each record would
    take several times the memory.
    """

    def __init__(self, *, now: float, opening_timeout_s: float) -> None:
        self._epoch_s = now
        self._opening_timeout_s = opening_timeout_s
        self._records: dict[ids.FlowKey, int] = {}
        self._expiry_iterator: Iterator[ids.FlowKey] = iter(())

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: ids.FlowKey) -> bool:
        return key in self._records

    def __iter__(self) -> Iterator[ids.FlowKey]:
        return iter(self._records)

    def get_state(self, key: ids.FlowKey) -> FlowState | None:
        """Returns the state of a flow, or None without a record."""
        record = self._records.get(key)
        return None if record is None else FlowState(record & _STATE_MASK)

    def get_kind(self, key: ids.FlowKey) -> documents.PortKind:
        """Returns the port kind of a recorded flow."""
        return _KINDS[(self._records[key] >> _KIND_SHIFT) & _KIND_MASK]

    def is_first_in_window(
        self, key: ids.FlowKey, now: float, window_s: float
    ) -> bool:
        """Returns whether a record was last renewed in an earlier window."""
        return (
            now // window_s
            > self._unpack_seen_at(self._records[key]) // window_s
        )

    def get_seen_at(self, key: ids.FlowKey) -> float:
        """Returns when a record was last renewed, to within `TIME_UNIT_S`."""
        return self._unpack_seen_at(self._records[key])

    def is_adopted(self, key: ids.FlowKey) -> bool:
        """Returns whether a flow was recorded without seeing its start."""
        return bool(self._records[key] & _ADOPTED)

    def open(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records a new flow whose first packet is sent to the target."""
        self._store(key, FlowState.OPENING, _encode(kind), now)

    def restore(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records an open flow that another balancer reported."""
        self._store(key, FlowState.OPEN, _encode(kind), now)

    def adopt(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records a flow that was already open when it was first seen."""
        self._store(key, FlowState.OPEN, _encode(kind) | _ADOPTED, now)

    def touch(self, key: ids.FlowKey, now: float) -> None:
        """Renews the record of a flow unless the flow is closed."""
        record = self._records[key]
        if record & _STATE_MASK != FlowState.CLOSED:
            self._records[key] = self._pack(record & _FLAGS_MASK, now)

    def confirm(self, key: ids.FlowKey, now: float) -> bool:
        """Records an answer of the target; returns whether it is the first."""
        record = self._records[key]
        if record & _STATE_MASK != FlowState.OPENING:
            return False
        flags = (record & _FLAGS_MASK & ~_STATE_MASK) | FlowState.OPEN
        self._records[key] = self._pack(flags, now)
        return True

    def close_caller(self, key: ids.FlowKey, now: float) -> bool:
        """Records the caller's FIN; returns whether it closed the flow."""
        return self._record_fin(key, _CALLER_FIN, now)

    def close_target(self, key: ids.FlowKey, now: float) -> bool:
        """Records the target's FIN; returns whether it closed the flow."""
        return self._record_fin(key, _TARGET_FIN, now)

    def close(self, key: ids.FlowKey, now: float) -> bool:
        """Closes a flow; returns whether it was open."""
        record = self._records[key]
        if record & _STATE_MASK == FlowState.CLOSED:
            return False
        flags = record & _FLAGS_MASK & ~_STATE_MASK
        self._records[key] = self._pack(flags | FlowState.CLOSED, now)
        return True

    def remove(self, key: ids.FlowKey) -> bool:
        """Removes a record; returns whether its flow was open."""
        record = self._records.pop(key)
        return record & _STATE_MASK != FlowState.CLOSED

    def expire(
        self, *, now: float, idle_timeout_s: float, slot_timeout_s: float
    ) -> tuple[list[documents.PortKind], list[ids.FlowKey]]:
        """Closes idle flows and drops old records, in bounded batches.

        The record of a flow that timed out is kept as closed for
        `CLOSED_LINGER_S`, so that a late copy of its request does not run
        again.

        Args:
          now: Monotonic seconds.
          idle_timeout_s: Time without packets after which an open flow ends.
          slot_timeout_s: Time without packets after which a request or an
            upload ends; its target has abandoned it by then.

        Returns:
          The kinds of the flows that were closed, and the keys of dropped
          records.
        """
        closed = []
        dropped = []
        for key in self._next_batch():
            record = self._records.get(key)
            if record is None:
                continue
            timeout_s = self._get_timeout(
                record, idle_timeout_s, slot_timeout_s
            )
            if (
                now - self._unpack_seen_at(record)
                < timeout_s + const.TIME_UNIT_S
            ):
                continue
            if record & _STATE_MASK == FlowState.CLOSED:
                del self._records[key]
                dropped.append(key)
            else:
                self.close(key, now)
                closed.append(self.get_kind(key))
        return closed, dropped

    def _next_batch(self) -> Iterable[ids.FlowKey]:
        wanted = -(-len(self._records) // const.EXPIRE_PASS_CALLS)
        size = min(max(wanted, const.EXPIRE_MIN_BATCH), const.EXPIRE_MAX_BATCH)
        batch = _take(self._expiry_iterator, size)
        if not batch:
            self._expiry_iterator = iter(tuple(self._records))
            batch = _take(self._expiry_iterator, size)
        return batch

    def _get_timeout(
        self, record: int, idle_timeout_s: float, slot_timeout_s: float
    ) -> float:
        state = record & _STATE_MASK
        if state == FlowState.CLOSED:
            return const.CLOSED_LINGER_S
        if _KINDS[(record >> _KIND_SHIFT) & _KIND_MASK] in _SLOT_KINDS:
            return slot_timeout_s
        if state == FlowState.OPENING:
            return self._opening_timeout_s
        return idle_timeout_s

    def _record_fin(self, key: ids.FlowKey, side: int, now: float) -> bool:
        """Records a FIN; closes the flow when both sides have sent one.

        A target may count a request as running until it has also read the
        caller's FIN, so the slot is not free before that.
        """
        record = self._records[key]
        if record & _STATE_MASK == FlowState.CLOSED:
            return False
        flags = (record & _FLAGS_MASK) | side
        self._records[key] = self._pack(flags, now)
        if flags & _CALLER_FIN and flags & _TARGET_FIN:
            return self.close(key, now)
        return False

    def _store(
        self, key: ids.FlowKey, state: FlowState, flags: int, now: float
    ) -> None:
        self._records[key] = self._pack(flags | state, now)

    def _pack(self, flags: int, now: float) -> int:
        ticks = int((now - self._epoch_s) / const.TIME_UNIT_S)
        return (ticks << _SEEN_SHIFT) | flags

    def _unpack_seen_at(self, record: int) -> float:
        return self._epoch_s + (record >> _SEEN_SHIFT) * const.TIME_UNIT_S


def _encode(kind: documents.PortKind) -> int:
    return _KIND_CODES[kind] << _KIND_SHIFT


def _take(keys: Iterator[ids.FlowKey], count: int) -> list[ids.FlowKey]:
    return list(itertools.islice(keys, count))
