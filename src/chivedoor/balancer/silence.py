"""Detection of flows whose target is silent towards the caller."""

import collections
from collections.abc import Iterator
import dataclasses
import enum
import struct

from chivedoor import ids
from chivedoor.balancer import const
from chivedoor.dataplane import packet as packets

# Sequence and acknowledgement numbers of a TCP header.
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
    """Detects flows that may be silent, from the packets at one balancer.

    A caller without acknowledgements retransmits the same data, while the
    sequence numbers of a working flow advance. Data that arrives twice, some
    time apart, therefore indicates a silent flow. Packets from targets are
    checked only for the few flows that an owner asks this balancer to
    observe.

    Attributes:
      observed: The flows under observation, oldest first.
    """

    def __init__(
        self,
        *,
        capacity: int = const.MAX_TRACKED_FLOWS,
        observed_capacity: int = const.MAX_OBSERVED_FLOWS,
    ) -> None:
        self._capacity = capacity
        self._observed_capacity = observed_capacity
        # An `OrderedDict`, because finding the oldest entry of a plain dict
        # takes longer with every entry that was deleted before it.
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
        """Records data from a caller.

        Args:
          key: The flow key.
          packet: An established segment from the caller that carries data.
          now: Monotonic seconds.

        Returns:
          Whether the packet must be reported to the owner: it repeats data,
          or this balancer observes the flow.
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
            # A new flow may reuse the ports of an old one.
            or now - last_data[1] >= const.OBSERVATION_TIMEOUT_S
        ):
            self._last_data[key] = (sequence, now)
        elif now - last_data[1] >= const.MIN_REPEAT_AGE_S:
            return True
        # Observers forward all data of the flow to the owner, which would
        # otherwise receive only a small part of it.
        return key in self.observed

    def start_observation(self, key: ids.FlowKey, now: float) -> None:
        """Starts or restarts the observation of a flow's target."""
        self.observed.pop(key, None)
        if len(self.observed) >= self._observed_capacity:
            self.observed.popitem(last=False)
        self.observed[key] = _ObservedFlow(
            since_s=now, expires_at_s=now + const.OBSERVATION_TIMEOUT_S
        )

    def extend_observation(self, key: ids.FlowKey, now: float) -> None:
        """Extends the observation of a flow's target, if there is one."""
        flow = self.observed.get(key)
        if flow is not None:
            flow.expires_at_s = now + const.OBSERVATION_TIMEOUT_S

    def record_answer(self, key: ids.FlowKey) -> None:
        """Records a packet from a flow's target."""
        flow = self.observed.get(key)
        if flow is not None:
            flow.answered = True

    def may_be_answered(self, key: ids.FlowKey, since_s: float) -> bool:
        """Returns whether a flow's target may have sent a packet.

        Args:
          key: The flow key.
          since_s: Start of the period in question, in monotonic seconds.

        Returns:
          False only when the flow was observed for the whole period and no
          packet from its target was seen.
        """
        flow = self.observed.get(key)
        if flow is None or flow.answered:
            return True
        return flow.since_s > since_s + const.MAX_CLOCK_DRIFT_S

    def expire(self, now: float) -> None:
        """Removes observations that no owner has extended."""
        expired = [
            key
            for key, flow in self.observed.items()
            if now >= flow.expires_at_s
        ]
        for key in expired:
            del self.observed[key]


class CheckPhase(enum.Enum):
    """Phase in the check of a suspicion.

    `RAISED` until other balancers observe the flow, `OBSERVED` until the
    caller repeats its data again, and then `REPEATED`.
    """

    RAISED = "raised"
    OBSERVED = "observed"
    REPEATED = "repeated"


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """A flow suspected to be silent, at the owner of its base target.

    Attributes:
      data: The latest packet of the caller, with its original addresses.
      sequence: Sequence number of the data that the caller repeats.
      acknowledgement: The caller's acknowledgement number when the suspicion
        was raised.
      base_number: The endpoint number of the base target.
      raised_at_s: When the owner first received the repeated data.
      last_seen_at_s: When the owner last received the repeated data.
      phase: The current phase of the check.
      observed_at_s: When all asked balancers had started to observe the flow.
      observers: The other balancers that observe the flow.
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
    """The suspected flows that one balancer checks as the owner of targets.

    Attributes:
      counters: Events counted by name, for the operators' dump.
    """

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
        """Returns the suspicion of a flow, or None without one."""
        return self._suspicions.get(key)

    def record(
        self,
        key: ids.FlowKey,
        packet: packets.Packet,
        base_number: ids.EndpointNumber,
        now: float,
    ) -> None:
        """Records data that a receiver or an observer reported for a flow."""
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
            # The caller has received data from the target.
            self.dismiss(key, now)
            return
        if _is_after(sequence, suspicion.sequence):
            # The caller sends new data, or repeats several segments.
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
            # Existing suspicions are not evicted: a flood of new ones would
            # otherwise keep silent flows from being aborted.
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
        """Returns the flows to ask other balancers about, oldest first.

        The replies take `OBSERVATION_REPLY_DELAY_S`, so that no flow is
        aborted before it was silent for `MIN_SILENCE_S`.
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
        """Records that other balancers observe a flow's target."""
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            return
        suspicion.observers = observers
        suspicion.observed_at_s = now
        suspicion.phase = CheckPhase.OBSERVED

    def dismiss(self, key: ids.FlowKey, now: float) -> None:
        """Drops a suspicion and ignores the flow for `DISMISSAL_DURATION_S`."""
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
        """Removes suspicions without recent data, and expired dismissals."""
        expired = [
            key
            for key, suspicion in self._suspicions.items()
            if now - suspicion.last_seen_at_s >= const.OBSERVATION_TIMEOUT_S
        ]
        for key in expired:
            del self._suspicions[key]
        # All dismissals have the same duration, so they expire in order.
        while self._dismissed:
            key, until_s = next(iter(self._dismissed.items()))
            if now < until_s:
                return
            del self._dismissed[key]


def carries_data(packet: packets.Packet) -> bool:
    """Returns whether an established segment carries data.

    A single byte does not count: it is the payload of keep-alive and
    zero-window probes, which repeat a sequence number in a working flow.
    """
    return len(packet.buffer) - packet.payload_offset > const.MAX_PROBE_BYTES


def _is_after(sequence: int, other: int) -> bool:
    distance = (sequence - other) & _SEQUENCE_MASK
    return 0 < distance < _HALF_SEQUENCE_SPACE
