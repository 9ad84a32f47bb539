"""Failure detection by SWIM with Lifeguard's local health, without I/O."""

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
    """A ping that waits for its ack; times are of the detector's clock."""

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
    """When the latest claim that a member is suspect was first seen."""

    since: float


def compute_suspicion_s(count: int) -> float:
    """Returns how long a suspect of a fleet of `count` may refute, in s."""
    growth = math.log(max(count, 2)) / math.log(const.SUSPICION_MEMBERS)
    return max(const.SUSPICION_MIN_S, const.SUSPICION_S * growth)


class Detector:
    """Decides which members to probe, to suspect and to declare dead.

    All deadlines use the detector's own clock. It excludes the time by which
    ticks were late: acks that arrived meanwhile are still unread, so this
    time is no evidence against a peer.
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
            members: The table that is probed and changed.
            rng: Source of all random choices.
            on_pause: Called with the seconds by which a tick came too late.
        """
        self._members = members
        self._rng = rng
        self._on_pause = on_pause
        self._last_tick: float | None = None
        self._late_s = 0.0
        self._health = 0
        self._punctual = 0
        self._next_probe_at = 0.0
        self._next_number = rng.getrandbits(24)
        self._order: list[ids.VmId] = []
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspicions: dict[ids.VmId, _Suspicion] = {}
        self._unsubscribe = members.subscribe(self._note_change)
        self.counters = dict.fromkeys(
            ("probes", "indirect", "suspected", "confirmed", "late", "pauses"),
            0,
        )

    @property
    def health(self) -> int:
        """Local health: 0 is good, `HEALTH_LIMIT` is worst."""
        return self._health

    def close(self) -> None:
        """Ends the subscription to the members."""
        self._unsubscribe()

    def tick(self, now: float) -> list[messages.Outgoing]:
        """Advances all timers; to be called every `TICK_INTERVAL_S`.

        Args:
            now: Monotonic seconds.

        Returns:
            The messages to send.
        """
        self._measure_lateness(now)
        clock = now - self._late_s
        self._expire_relays(clock)
        self._expire_suspicions(clock, now)
        outgoing = self._advance_probes(clock, now)
        if clock >= self._next_probe_at:
            # Adding to the former time keeps the rate when ticks jitter.
            self._next_probe_at += const.PROBE_INTERVAL_S
            outgoing.extend(self._start_probe(clock))
        return outgoing

    def handle(
        self, message: messages.Message, now: float
    ) -> list[messages.Outgoing]:
        """Processes a received message.

        Args:
            message: The message; its sender is authenticated.
            now: Monotonic seconds.

        Returns:
            The messages to send in reply.
        """
        return self._handle(message, now - self._late_s)

    def dump_state(self) -> dict[str, Any]:
        """Returns plain values for the operators' dump."""
        return {
            "health": self._health,
            "late_s": self._late_s,
            "probes": [probe.target for probe in self._probes.values()],
            "suspicions": sorted(self._suspicions),
            **self.counters,
        }

    def _measure_lateness(self, now: float) -> None:
        if self._last_tick is None:
            self._start_clock(now)
        late_s = now - self._last_tick - const.TICK_INTERVAL_S
        self._last_tick = now
        if late_s <= const.LATE_TICK_S:
            self._recover_health()
            return
        self._late_s += late_s
        self._worsen_health()
        self.counters["late"] += 1
        if late_s > const.PAUSE_S:
            self._report_pause(late_s)

    def _start_clock(self, now: float) -> None:
        self._last_tick = now
        # A random phase keeps members that start together apart.
        phase_s = self._rng.random() * const.PROBE_INTERVAL_S
        self._next_probe_at = now + phase_s
        # Suspects that were known before the first tick get their time.
        for suspicion in self._suspicions.values():
            suspicion.since = now

    def _report_pause(self, late_s: float) -> None:
        self.counters["pauses"] += 1
        self._probes.clear()
        self._relays.clear()
        self._health = const.HEALTH_LIMIT
        if self._on_pause is not None:
            self._on_pause(late_s)

    def _recover_health(self) -> None:
        self._punctual += 1
        if self._punctual >= const.PUNCTUAL_TICKS:
            self._punctual = 0
            self._health = max(0, self._health - 1)

    def _worsen_health(self) -> None:
        self._punctual = 0
        self._health = min(const.HEALTH_LIMIT, self._health + 1)

    def _expire_relays(self, clock: float) -> None:
        # Relays expire in the order of insertion.
        while self._relays:
            number = next(iter(self._relays))
            if self._relays[number].expires_at > clock:
                return
            del self._relays[number]

    def _expire_suspicions(self, clock: float, now: float) -> None:
        if not self._suspicions:
            return
        patience_s = compute_suspicion_s(self._members.count_live())
        patience_s *= 1 + self._health
        for member_id, suspicion in tuple(self._suspicions.items()):
            if clock - suspicion.since >= patience_s:
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
                outgoing.extend(self._ask_relays(number, probe))
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
        # so this ping tells it at once what it has to refute.
        return [self._build_ping(member_id, self._take_number())]

    def _ask_relays(
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
        target = self._pick_target()
        if target is None:
            return []
        scale = 1 + self._health
        number = self._take_number()
        self._probes[number] = _Probe(
            target=target,
            indirect_at=clock + const.PROBE_TIMEOUT_S * scale,
            fail_at=clock + const.PROBE_FAILURE_S * scale,
        )
        self.counters["probes"] += 1
        return [self._build_ping(target, number)]

    def _pick_target(self) -> ids.VmId | None:
        if not self._order:
            self._shuffle_order()
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.is_alive:
                return member.id
        return None

    def _shuffle_order(self) -> None:
        local = self._members.local.id
        self._order = [
            member.id
            for member in self._members.live_members()
            if member.id != local
        ]
        self._rng.shuffle(self._order)

    def _take_number(self) -> int:
        self._next_number += 1
        return self._next_number

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
        if len(self._relays) >= const.RELAYS_CAPACITY:
            return []
        target = self._members.get(message.target)
        if target is None or target.id == self._members.local.id:
            return []
        number = self._take_number()
        self._relays[number] = _Relay(
            requester=message.sender,
            probe=message.probe,
            target=target.id,
            expires_at=clock + const.PROBE_FAILURE_S,
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

    def _note_change(
        self,
        previous: members_module.Member | None,
        current: members_module.Member | None,
    ) -> None:
        member = current or previous
        if current is not None and previous is None:
            self._insert_target(current.id)
        if (
            current is None
            or current.state is not members_module.MemberState.SUSPECT
        ):
            self._suspicions.pop(member.id, None)
            return
        self._suspicions[member.id] = _Suspicion(self._read_clock())

    def _insert_target(self, member_id: ids.VmId) -> None:
        # A random position keeps the time until the first probe uniform.
        self._order.insert(self._rng.randrange(len(self._order) + 1), member_id)

    def _read_clock(self) -> float:
        return (self._last_tick or 0.0) - self._late_s
