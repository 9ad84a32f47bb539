"""Flows that are silent in one direction: signs of them, and their end."""

import collections
from collections.abc import Iterator
import dataclasses
import enum
import struct

from chivedoor import ids
from chivedoor.balancer import const
from chivedoor.dataplane import packet as packets

# Sequence and acknowledgement number.
_TCP_NUMBERS = struct.Struct("!4xII")
_SEQUENCE = struct.Struct("!4xI")
_SEQUENCE_MASK = 0xFFFF_FFFF
_HALF_SEQUENCE_SPACE = 1 << 31


@dataclasses.dataclass(slots=True, kw_only=True)
class _ObservedFlow:
    since_s: float
    expires_at_s: float
    answered: bool = False


class SilenceDetector:
    """What one balancer sees of flows in both directions.

    A caller that gets no acknowledgement repeats the same data, while the
    data of a flow that works moves on. So data that arrives here twice, some
    time apart, is the sign of a silent flow, and packets of targets need to
    be looked at only for the few flows that an owner asks about.
    """

    def __init__(
        self,
        *,
        capacity: int = const.MAX_TRACKED_FLOWS,
        observed_capacity: int = const.MAX_OBSERVED_FLOWS,
    ) -> None:
        self._capacity = capacity
        self._observed_capacity = observed_capacity
        # Finding the oldest entry of a plain dict takes longer with every
        # entry that was deleted before it.
        self._last_data: collections.OrderedDict[
            ids.FlowKey, tuple[int, float]
        ] = collections.OrderedDict()
        self.observed: collections.OrderedDict[ids.FlowKey, _ObservedFlow] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._last_data)

    def record_data(
        self, key: ids.FlowKey, packet: packets.Packet, now: float
    ) -> bool:
        """Notes data of a caller; returns whether its flow may be silent.

        Args:
          key: The flow.
          packet: An established segment of the caller that carries data.
          now: Monotonic seconds.
        """
        (sequence,) = _SEQUENCE.unpack_from(
            packet.buffer, packet.transport_offset
        )
        last_data = self._last_data.get(key)
        if last_data is None:
            if len(self._last_data) >= self._capacity:
                self._last_data.popitem(last=False)
            self._last_data[key] = (sequence, now)
        elif (
            _is_after(sequence, last_data[0])
            # A new flow may have the ports of an old one.
            or now - last_data[1] >= const.OBSERVATION_TIMEOUT_S
        ):
            self._last_data[key] = (sequence, now)
        elif now - last_data[1] >= const.MIN_REPEAT_AGE_S:
            return True
        # Every balancer that was asked about a flow passes the rest of its
        # data to the owner, which would otherwise see little of it.
        return key in self.observed

    def start_observation(self, key: ids.FlowKey, now: float) -> None:
        """Begins anew to look for packets of a flow's target."""
        self.observed.pop(key, None)
        if len(self.observed) >= self._observed_capacity:
            self.observed.popitem(last=False)
        self.observed[key] = _ObservedFlow(
            since_s=now, expires_at_s=now + const.OBSERVATION_TIMEOUT_S
        )

    def extend_observation(self, key: ids.FlowKey, now: float) -> None:
        """Goes on to look for packets of a flow's target."""
        flow = self.observed.get(key)
        if flow is not None:
            flow.expires_at_s = now + const.OBSERVATION_TIMEOUT_S

    def record_answer(self, key: ids.FlowKey) -> None:
        """Notes a packet of the target of a flow."""
        flow = self.observed.get(key)
        if flow is not None:
            flow.answered = True

    def may_be_answered(self, key: ids.FlowKey, since_s: float) -> bool:
        """Returns whether a packet of a flow's target may have passed.

        Args:
          key: The flow.
          since_s: Monotonic seconds from which on the answer is about.

        Returns:
          False only when the flow was observed for the whole time and no
          packet of its target was seen.
        """
        flow = self.observed.get(key)
        if flow is None or flow.answered:
            return True
        return flow.since_s > since_s + const.MAX_CLOCK_DRIFT_S

    def expire(self, now: float) -> None:
        """Ends observations that no owner has renewed."""
        expired = [
            key
            for key, flow in self.observed.items()
            if now >= flow.expires_at_s
        ]
        for key in expired:
            del self.observed[key]


class CheckPhase(enum.Enum):
    """How far the check of a suspicion is."""

    RAISED = "raised"
    OBSERVED = "observed"
    REPEATED = "repeated"


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """A flow that may be silent, at the owner of its base target.

    Attributes:
      data: The latest packet of the caller, with its original addresses.
      sequence: Sequence number of the data that the caller repeats.
      acknowledgement: What the caller has received when it was suspected.
      base_number: The base target.
      raised_at_s: When the owner first saw the repeated data.
      last_seen_at_s: When the owner last saw it.
      phase: How far the check is.
      observed_at_s: When all balancers asked had begun to observe the flow.
      observers: The balancers that observe the flow.
    """

    data: bytes
    sequence: int
    acknowledgement: int
    base_number: ids.EndpointNumber
    raised_at_s: float
    last_seen_at_s: float
    phase: CheckPhase = CheckPhase.RAISED
    observed_at_s: float = 0.0
    observers: tuple[ids.VmId, ...] = ()


class Suspicions:
    """The suspicions that one balancer checks, as the owner of targets."""

    def __init__(
        self,
        *,
        capacity: int = const.MAX_SUSPICIONS,
        dismissed_capacity: int = const.MAX_DISMISSALS,
    ) -> None:
        self._capacity = capacity
        self._dismissed_capacity = dismissed_capacity
        self._suspicions: dict[ids.FlowKey, Suspicion] = {}
        self._dismissed: collections.OrderedDict[ids.FlowKey, float] = (
            collections.OrderedDict()
        )
        self.counters: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._suspicions)

    def __iter__(self) -> Iterator[ids.FlowKey]:
        return iter(tuple(self._suspicions))

    def get(self, key: ids.FlowKey) -> Suspicion | None:
        """Returns the suspicion of a flow, or None."""
        return self._suspicions.get(key)

    def record(
        self,
        key: ids.FlowKey,
        packet: packets.Packet,
        base_number: ids.EndpointNumber,
        now: float,
    ) -> None:
        """Notes data that a receiver has seen before."""
        sequence, acknowledgement = _TCP_NUMBERS.unpack_from(
            packet.buffer, packet.transport_offset
        )
        if key in self._dismissed:
            return
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            self._add(key, packet, sequence, acknowledgement, base_number, now)
            return
        if acknowledgement != suspicion.acknowledgement:
            # The caller has received something of the target.
            self.dismiss(key, now)
            return
        if _is_after(sequence, suspicion.sequence):
            # The caller went on, or repeats several segments.
            return
        suspicion.sequence = sequence
        suspicion.data = bytes(packet.buffer)
        suspicion.last_seen_at_s = now
        if suspicion.phase is CheckPhase.OBSERVED:
            suspicion.phase = CheckPhase.REPEATED

    def _add(
        self,
        key: ids.FlowKey,
        packet: packets.Packet,
        sequence: int,
        acknowledgement: int,
        base_number: ids.EndpointNumber,
        now: float,
    ) -> None:
        if len(self._suspicions) >= self._capacity:
            # Those that are being checked are not pushed out, so a flood of
            # suspicions cannot protect a silent flow from its end.
            self.counters["not_taken"] += 1
            return
        self.counters["raised"] += 1
        self._suspicions[key] = Suspicion(
            data=bytes(packet.buffer),
            sequence=sequence,
            acknowledgement=acknowledgement,
            base_number=base_number,
            raised_at_s=now,
            last_seen_at_s=now,
        )

    def list_due(self, now: float) -> list[ids.FlowKey]:
        """Returns the flows to ask the other balancers about, oldest first.

        A reply takes `REPLY_WAIT_S`, so a flow is not ended before it was
        silent for `SILENT_S`.
        """
        latest_raised_s = now - (
            const.MIN_SILENCE_S - const.OBSERVATION_REPLY_DELAY_S
        )
        return [
            key
            for key, suspicion in self._suspicions.items()
            if suspicion.phase is CheckPhase.RAISED
            or (
                suspicion.phase is CheckPhase.REPEATED
                and suspicion.raised_at_s <= latest_raised_s
            )
        ]

    def mark_observed(
        self,
        key: ids.FlowKey,
        observers: tuple[ids.VmId, ...],
        now: float,
    ) -> None:
        """Notes that other balancers look for packets of the target."""
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            return
        suspicion.observers = observers
        suspicion.observed_at_s = now
        suspicion.phase = CheckPhase.OBSERVED

    def dismiss(self, key: ids.FlowKey, now: float) -> None:
        """Drops a suspicion and takes no new one for a while."""
        if self._suspicions.pop(key, None) is None:
            return
        self.counters["dismissed"] += 1
        if len(self._dismissed) >= self._dismissed_capacity:
            self._dismissed.popitem(last=False)
        self._dismissed[key] = now + const.DISMISSAL_DURATION_S

    def remove(self, key: ids.FlowKey) -> Suspicion | None:
        """Removes and returns the suspicion of a flow."""
        return self._suspicions.pop(key, None)

    def expire(self, now: float) -> None:
        """Forgets suspicions without new data, and old dismissals."""
        expired = [
            key
            for key, suspicion in self._suspicions.items()
            if now - suspicion.last_seen_at_s >= const.OBSERVATION_TIMEOUT_S
        ]
        for key in expired:
            del self._suspicions[key]
        # All dismissals last equally long, so the first one ends first.
        while self._dismissed:
            key, until_s = next(iter(self._dismissed.items()))
            if now < until_s:
                return
            del self._dismissed[key]


def carries_data(packet: packets.Packet) -> bool:
    """Returns whether an established segment carries data.

    One byte is the payload of keep-alive and zero-window probes, which
    repeat a sequence number in a flow that works.
    """
    return len(packet.buffer) - packet.payload_offset > const.MAX_PROBE_BYTES


def _is_after(sequence: int, other: int) -> bool:
    distance = (sequence - other) & _SEQUENCE_MASK
    return 0 < distance < _HALF_SEQUENCE_SPACE
