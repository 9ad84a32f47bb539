"""Failure detector using SWIM and Lifeguard's local health, without I/O."""

from collections.abc import Callable
import dataclasses
import functools
import math
import random
from typing import Any

from chivedoor import ids
from chivedoor.membership import const
from chivedoor.membership import members as members_module
from chivedoor.membership import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _Probe:
    """A ping without an ack yet; times refer to the detector's clock."""

    target: ids.VmId
    indirect_at: float
    fail_at: float
    relays: tuple[ids.VmId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Relay:
    """A ping sent on behalf of another member."""

    requester: ids.VmId
    probe: int
    target: ids.VmId
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """Time at which the latest suspicion of a member was first seen."""

    since: float


def compute_suspicion_timeout_s(count: int) -> float:
    """Returns the suspicion timeout in seconds for a fleet of `count`.

    A suspect that does not refute the suspicion within this time is declared
    dead.
    """
    factor = math.log(max(count, 2)) / math.log(
        const.SUSPICION_REFERENCE_MEMBERS
    )
    return max(
        const.MIN_SUSPICION_TIMEOUT_S, const.SUSPICION_TIMEOUT_S * factor
    )


class Detector:
    """Decides which members to probe, to suspect and to declare dead.

    All deadlines use the detector's own clock, which excludes the time by which
    ticks were late. Acks that arrived during this time are still unread, so it
    must not count against a peer.
    """

    def __init__(
        self,
        *,
        members: members_module.Members,
        rng: random.Random,
        on_pause: Callable[[float], None] | None = None,
    ):
        """Initializes the detector.

        Args:
            members: The members to probe and update.
            rng: Random generator for all random choices.
            on_pause: Called after a long pause with the delay of the tick in
                seconds.
        """
        self._members = members
        self._rng = rng
        self._on_pause = on_pause
        self._last_tick: float | None = None
        self._clock_lag_s = 0.0
        self._health_score = 0
        self._on_time_ticks = 0
        self._next_probe_at = 0.0
        self._last_probe_number = rng.getrandbits(24)
        self._probe_order: list[ids.VmId] = []
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspicions: dict[ids.VmId, _Suspicion] = {}
        self._unsubscribe = members.subscribe(self._handle_change)
        self.counters = dict.fromkeys(
            ("probes", "indirect", "suspected", "confirmed", "late", "pauses"),
            0,
        )

    @property
    def health_score(self) -> int:
        """Local health score, from 0 (good) to `MAX_HEALTH_SCORE` (worst)."""
        return self._health_score

    def close(self) -> None:
        """Unsubscribes from changes of the members."""
        self._unsubscribe()

    def tick(self, now: float) -> list[messages.Outgoing]:
        """Advances all timers; must be called every `TICK_INTERVAL_S`.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The messages to send.
        """
        self._check_tick_delay(now)
        clock = now - self._clock_lag_s
        self._expire_relays(clock)
        self._expire_suspicions(clock, now)
        outgoing = self._advance_probes(clock, now)
        if clock >= self._next_probe_at:
            # Adding to the previous time keeps the rate if ticks jitter.
            self._next_probe_at += const.PROBE_INTERVAL_S
            outgoing.extend(self._start_probe(clock))
        return outgoing

    def handle(
        self, message: messages.Message, now: float
    ) -> list[messages.Outgoing]:
        """Processes a received message.

        Args:
            message: The message from an authenticated sender.
            now: Monotonic time in seconds.

        Returns:
            The messages to send in reply.
        """
        return self._handle(message, now - self._clock_lag_s)

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "health": self._health_score,
            "late_s": self._clock_lag_s,
            "probes": [probe.target for probe in self._probes.values()],
            "suspicions": sorted(self._suspicions),
            **self.counters,
        }

    def _check_tick_delay(self, now: float) -> None:
        if self._last_tick is None:
            self._start_clock(now)
        delay_s = now - self._last_tick - const.TICK_INTERVAL_S
        self._last_tick = now
        if delay_s <= const.LATE_TICK_THRESHOLD_S:
            self._recover_health()
            return
        self._clock_lag_s += delay_s
        self._worsen_health()
        self.counters["late"] += 1
        if delay_s > const.PAUSE_THRESHOLD_S:
            self._report_pause(delay_s)

    def _start_clock(self, now: float) -> None:
        self._last_tick = now
        # A random phase prevents synchronized probes of members that start at
        # the same time.
        phase_s = self._rng.random() * const.PROBE_INTERVAL_S
        self._next_probe_at = now + phase_s
        # Suspects that were known before the first tick get the full timeout.
        for suspicion in self._suspicions.values():
            suspicion.since = now

    def _report_pause(self, delay_s: float) -> None:
        self.counters["pauses"] += 1
        self._probes.clear()
        self._relays.clear()
        self._health_score = const.MAX_HEALTH_SCORE
        if self._on_pause is not None:
            self._on_pause(delay_s)

    def _recover_health(self) -> None:
        self._on_time_ticks += 1
        if self._on_time_ticks >= const.HEALTH_RECOVERY_TICKS:
            self._on_time_ticks = 0
            self._health_score = max(0, self._health_score - 1)

    def _worsen_health(self) -> None:
        self._on_time_ticks = 0
        self._health_score = min(const.MAX_HEALTH_SCORE, self._health_score + 1)

    def _expire_relays(self, clock: float) -> None:
        # Relays expire in the order in which they were inserted.
        while self._relays:
            number = next(iter(self._relays))
            if self._relays[number].expires_at > clock:
                return
            del self._relays[number]

    def _expire_suspicions(self, clock: float, now: float) -> None:
        if not self._suspicions:
            return
        timeout_s = compute_suspicion_timeout_s(self._members.count_live())
        timeout_s *= 1 + self._health_score
        for member_id, suspicion in tuple(self._suspicions.items()):
            if clock - suspicion.since >= timeout_s:
                self.counters["confirmed"] += 1
                self._members.confirm_dead(member_id, now)

    def _advance_probes(
        self, clock: float, now: float
    ) -> list[messages.Outgoing]:
        outgoing: list[messages.Outgoing] = []
        for number, probe in tuple(self._probes.items()):
            if clock >= probe.fail_at:
                del self._probes[number]
                outgoing.extend(self._suspect(probe.target, now))
            elif clock >= probe.indirect_at and not probe.relays:
                outgoing.extend(self._request_indirect_probes(number, probe))
        return outgoing

    def _suspect(
        self, member_id: ids.VmId, now: float
    ) -> list[messages.Outgoing]:
        if self._members.get(member_id) is None:
            return []
        if not self._members.suspect(member_id, now):
            return []
        self.counters["suspected"] += 1
        # Lifeguard's buddy system: messages to a suspect carry the suspicion,
        # so this ping immediately tells the member to refute it.
        return [self._build_ping(member_id, self._allocate_probe_number())]

    def _request_indirect_probes(
        self, number: int, probe: _Probe
    ) -> list[messages.Outgoing]:
        local = self._members.local.id
        others = [
            member.id
            for member in self._members.live_members()
            if member.id not in (local, probe.target)
            and member.state is not members_module.MemberState.SUSPECT
        ]
        count = min(const.INDIRECT_PROBES, len(others))
        probe.relays = tuple(self._rng.sample(others, count))
        self.counters["indirect"] += count
        request = messages.PingRequest(
            sender=local, probe=number, target=probe.target
        )
        return [
            messages.Outgoing(recipient=relay, message=request)
            for relay in probe.relays
        ]

    def _start_probe(self, clock: float) -> list[messages.Outgoing]:
        target = self._pick_probe_target()
        if target is None:
            return []
        timeout_factor = 1 + self._health_score
        number = self._allocate_probe_number()
        self._probes[number] = _Probe(
            target=target,
            indirect_at=clock + const.PROBE_TIMEOUT_S * timeout_factor,
            fail_at=clock + const.PROBE_DEADLINE_S * timeout_factor,
        )
        self.counters["probes"] += 1
        return [self._build_ping(target, number)]

    def _pick_probe_target(self) -> ids.VmId | None:
        if not self._probe_order:
            self._shuffle_probe_order()
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.is_alive:
                return member.id
        return None

    def _shuffle_probe_order(self) -> None:
        local = self._members.local.id
        self._probe_order = [
            member.id
            for member in self._members.live_members()
            if member.id != local
        ]
        self._rng.shuffle(self._probe_order)

    def _allocate_probe_number(self) -> int:
        self._last_probe_number += 1
        return self._last_probe_number

    def _build_ping(self, target: ids.VmId, number: int) -> messages.Outgoing:
        ping = messages.Ping(sender=self._members.local.id, probe=number)
        return messages.Outgoing(recipient=target, message=ping)

    @functools.singledispatchmethod
    def _handle(
        self, message: messages.Message, clock: float
    ) -> list[messages.Outgoing]:
        raise NotImplementedError(type(message))

    @_handle.register
    def _handle_ping(
        self, message: messages.Ping, clock: float
    ) -> list[messages.Outgoing]:
        return [self._build_ack(message.sender, message.probe)]

    @_handle.register
    def _handle_ping_request(
        self, message: messages.PingRequest, clock: float
    ) -> list[messages.Outgoing]:
        if len(self._relays) >= const.MAX_RELAYS:
            return []
        target = self._members.get(message.target)
        if target is None or target.id == self._members.local.id:
            return []
        number = self._allocate_probe_number()
        self._relays[number] = _Relay(
            requester=message.sender,
            probe=message.probe,
            target=target.id,
            expires_at=clock + const.PROBE_DEADLINE_S,
        )
        return [self._build_ping(target.id, number)]

    @_handle.register
    def _handle_ack(
        self, message: messages.Ack, clock: float
    ) -> list[messages.Outgoing]:
        probe = self._probes.get(message.probe)
        if probe is not None:
            if message.sender in (probe.target, *probe.relays):
                del self._probes[message.probe]
            return []
        relay = self._relays.get(message.probe)
        if relay is None or message.sender != relay.target:
            return []
        del self._relays[message.probe]
        return [self._build_ack(relay.requester, relay.probe)]

    def _build_ack(self, recipient: ids.VmId, probe: int) -> messages.Outgoing:
        ack = messages.Ack(sender=self._members.local.id, probe=probe)
        return messages.Outgoing(recipient=recipient, message=ack)

    def _handle_change(
        self,
        previous: members_module.Member | None,
        current: members_module.Member | None,
    ) -> None:
        member = current or previous
        if current is not None and previous is None:
            self._insert_into_probe_order(current.id)
        if (
            current is None
            or current.state is not members_module.MemberState.SUSPECT
        ):
            self._suspicions.pop(member.id, None)
            return
        self._suspicions[member.id] = _Suspicion(self._read_clock())

    def _insert_into_probe_order(self, member_id: ids.VmId) -> None:
        # A random position makes the time until the first probe uniform.
        self._probe_order.insert(
            self._rng.randrange(len(self._probe_order) + 1), member_id
        )

    def _read_clock(self) -> float:
        return (self._last_tick or 0.0) - self._clock_lag_s
