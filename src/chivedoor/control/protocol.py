"""The gossip protocol without I/O."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import functools
import random
from typing import Any

from chivedoor import ids
from chivedoor.control import antientropy
from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import const
from chivedoor.control import datagrams
from chivedoor.control import digest as digest_module
from chivedoor.control import exceptions
from chivedoor.control import piggyback
from chivedoor.membership import detector as detector_module
from chivedoor.membership import exceptions as membership_exceptions
from chivedoor.membership import members as members_module
from chivedoor.membership import messages
from chivedoor.membership import records

Address = tuple[str, int]

# Stands for the topic in digest keys of member records. It differs from every
# topic of a board entry, because topics are not empty.
_MEMBER_TOPIC = ""
_SEQUENCE_NUMBER_SHIFT = 20
_MODE_PREFIX = "mode/"
# Size limit of an encoded claim: an id of at most 64 characters, two numbers
# and two states.
_CLAIM_BYTES = 96
# Queued updates are piggybacked on probes only. Urgent datagrams stay small,
# because each member forwards new entries and updates to `FANOUT` others.
_PROBE_KINDS = frozenset(
    (
        datagrams.Kind.PING,
        datagrams.Kind.ACK,
        datagrams.Kind.PING_REQUEST,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Datagram:
    """A datagram to send and its destination."""

    data: bytes
    destination: Address


@dataclasses.dataclass(slots=True)
class _UrgentUpdates:
    """Updates to send at once, and the members that they came from."""

    updates: dict[Hashable, bytes] = dataclasses.field(default_factory=dict)
    registers: dict[Hashable, bytes] = dataclasses.field(default_factory=dict)
    modes: dict[Hashable, bytes] = dataclasses.field(default_factory=dict)
    senders: set[ids.VmId] = dataclasses.field(default_factory=set)


class GossipProtocol:
    """Connects members, board, failure detection and anti-entropy.

    The methods append datagrams to an outbox, which `drain` empties.
    """

    def __init__(
        self,
        *,
        members: members_module.Members,
        board: board_module.Board,
        budget: budget_module.ByteBudget,
        keys: authentication.Keys,
        rng: random.Random,
        now: float,
        seeds: Iterable[Address] = (),
    ):
        """Initializes the protocol.

        Args:
            members: All known members.
            board: The entries to replicate.
            budget: Limits the rate of all datagrams.
            keys: Keys that sign and verify datagrams.
            rng: Random generator for all random choices.
            now: Monotonic time in seconds.
            seeds: Addresses and gossip ports of members to join.
        """
        self._members = members
        self._board = board
        self._budget = budget
        self._keys = keys
        self._rng = rng
        self._now = now
        self._started_at = now
        self._first_incarnation = members.local.incarnation
        local_address = (members.local.address, members.local.gossip_port)
        self._seeds = [seed for seed in seeds if seed != local_address]
        self._local_context = datagrams.encode_recipient(*local_address)
        self._sequence_number = 0
        self._replay = authentication.ReplayFilter()
        self._outbox: list[Datagram] = []
        self._updates = piggyback.PiggybackQueue()
        self._registers = piggyback.PiggybackQueue()
        self._modes = piggyback.PiggybackQueue()
        self._urgent = _UrgentUpdates()
        self._refutation_requests: dict[ids.VmId, None] = {}
        self._join_at = now
        self._join_backoff_s = const.JOIN_BACKOFF_S
        self._reconnect_at = now + const.RECONNECT_INTERVAL_S
        self._housekeeping_at = now + const.HOUSEKEEPING_INTERVAL_S
        self._pause_callbacks: list[Callable[[float], None]] = []
        self._synchronizer = antientropy.Synchronizer(
            digest=board.digest, load_record=self._load_record
        )
        self._detector = detector_module.Detector(
            members=members, rng=rng, on_pause=self._handle_pause
        )
        self._unsubscribe_callbacks = [
            members.subscribe(self._handle_member_change),
            board.subscribe("", self._handle_entry_change),
            board.on_publish(self._handle_published_entry),
        ]
        self.sent = dict.fromkeys(datagrams.Kind, 0)
        self.received = dict.fromkeys(datagrams.Kind, 0)
        self.dropped = dict.fromkeys(exceptions.DropReason, 0)
        self.sent_bytes = 0
        self.received_bytes = 0
        self._add_existing_members()

    @property
    def has_urgent(self) -> bool:
        """Whether `flush_urgent` has something to send."""
        return bool(self._urgent.registers or self._urgent.modes)

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Registers a callback for pauses of this process.

        The callback receives the length of the pause in seconds. By then, the
        local member has a new incarnation and is `JOINING`, and the board has
        withdrawn the entries of the local member.
        """
        self._pause_callbacks.append(callback)

    def close(self) -> None:
        """Cancels all subscriptions."""
        self._detector.close()
        for unsubscribe in self._unsubscribe_callbacks:
            unsubscribe()

    def drain(self) -> list[Datagram]:
        """Returns the datagrams to send and empties the outbox."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def tick(self, now: float) -> None:
        """Runs all timers; must be called every `TICK_INTERVAL_S`."""
        self._now = now
        for outgoing in self._detector.tick(now):
            self._send_outgoing(outgoing, None)
        self.flush_urgent(now)
        self._send_urgent_updates()
        self._join_seeds()
        self._reconnect()
        self._request_refutation()
        self._synchronize()
        self._run_housekeeping()

    def flush_urgent(self, now: float) -> None:
        """Sends the urgent entries to `FANOUT` random members."""
        self._now = now
        registers, modes = self._urgent.registers, self._urgent.modes
        if not self.has_urgent:
            return
        peers = self._select_random_peers(self._urgent.senders)
        self._urgent.registers, self._urgent.modes = {}, {}
        available_bytes = datagrams.compute_available_bytes(
            self._members.local.id
        )
        for entries in _group_by_size(registers.values(), available_bytes):
            self._send_to_peers(peers, entries=entries)
        for entries in _group_by_size(modes.values(), available_bytes):
            self._send_to_peers(
                peers, entries=entries, priority=budget_module.Priority.MODES
            )

    def announce_departure(self, now: float) -> None:
        """Announces to random members that the local member has left.

        Does nothing unless the local member is `LEAVING`.
        """
        self._now = now
        local = self._members.local
        if local.state is not members_module.MemberState.LEAVING:
            return
        departed = dataclasses.replace(
            local,
            state=members_module.MemberState.DEAD,
            former_state=local.state,
        )
        self._send_to_peers(
            self._select_random_peers(set()),
            updates=[records.encode_state(departed)],
        )

    def receive(self, data: bytes, source: Address, now: float) -> None:
        """Processes a datagram; an invalid one is dropped and counted."""
        self._now = now
        self.received_bytes += len(data) + const.IP_UDP_HEADER_BYTES
        try:
            message = self._decode_datagram(data)
            self.received[message.kind] += 1
            self._apply(message)
            self._dispatch(message, source)
        except exceptions.MessageError as error:
            self.dropped[error.reason] += 1

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "sent": {kind.name: n for kind, n in self.sent.items()},
            "received": {kind.name: n for kind, n in self.received.items()},
            "dropped": {reason.value: n for reason, n in self.dropped.items()},
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
            "waiting": {
                "updates": len(self._updates),
                "registers": len(self._registers),
                "modes": len(self._modes),
                "synchronization": len(self._synchronizer),
            },
            "synchronization": dict(self._synchronizer.counters),
            "detector": self._detector.dump_state(),
        }

    def _add_existing_members(self) -> None:
        for member in self._members.list_members():
            self._handle_member_change(None, member)

    # Handlers for changes of the local tables.

    def _handle_member_change(
        self,
        previous: members_module.Member | None,
        current: members_module.Member | None,
    ) -> None:
        self._synchronizer.record_change(self._now)
        if current is None:
            self._forget_member(previous.id)
            return
        self._update_member_digest(current)
        self._updates.put(current.id, _encode_update(current))
        if current.id == self._members.local.id:
            self._handle_local_change(previous, current)
        elif current.is_alive:
            self._board.set_origin_alive(
                current.id, current.incarnation, self._now
            )
        else:
            self._board.set_origin_dead(current.id, self._now)
            self._add_urgent_update(current)

    def _forget_member(self, member_id: ids.VmId) -> None:
        self._updates.discard(member_id)
        self._board.digest.remove(_hash_member(member_id))
        self._board.forget_origin(member_id)
        self._replay.forget(member_id)
        self._synchronizer.forget(member_id)

    def _update_member_digest(self, member: members_module.Member) -> None:
        # Dead members are not part of the digest: they have no entries, and
        # one side of a partition forgets them before the other does, so that
        # the digests would differ.
        key_hash = _hash_member(member.id)
        if not member.is_alive:
            self._board.digest.remove(key_hash)
            return
        version = digest_module.compute_hash(records.encode_record(member))
        self._board.digest.put(key_hash, (_MEMBER_TOPIC, member.id), version)

    def _handle_local_change(
        self,
        previous: members_module.Member | None,
        current: members_module.Member,
    ) -> None:
        self._add_urgent_update(current)
        if previous is None or previous.incarnation == current.incarnation:
            return
        for entry in self._board.set_incarnation(
            current.incarnation, keep_entries=True
        ):
            self._queue_entry(entry)

    def _handle_entry_change(
        self, topic: str, origin: ids.VmId, entry: board_module.Entry | None
    ) -> None:
        self._synchronizer.record_change(self._now)
        if entry is not None:
            self._queue_entry(entry)

    def _handle_published_entry(
        self, entry: board_module.Entry, urgent: bool
    ) -> None:
        if urgent:
            self._add_urgent_entry(entry)

    def _queue_entry(self, entry: board_module.Entry) -> None:
        self._get_queue(entry.topic).put(_get_entry_key(entry), entry.encoded)

    def _get_queue(self, topic: str) -> piggyback.PiggybackQueue:
        if topic.startswith(_MODE_PREFIX):
            return self._modes
        return self._registers

    def _add_urgent_update(self, member: members_module.Member) -> None:
        self._urgent.updates[member.id] = _encode_update(member)

    def _add_urgent_entry(self, entry: board_module.Entry) -> None:
        is_mode = entry.topic.startswith(_MODE_PREFIX)
        urgent = self._urgent.modes if is_mode else self._urgent.registers
        urgent[_get_entry_key(entry)] = entry.encoded

    def _load_record(self, key: Hashable) -> antientropy.Record | None:
        topic, owner = key
        if topic == _MEMBER_TOPIC:
            member = self._members.get(owner)
            return member and antientropy.Record(
                is_member=True, encoded=records.encode_record(member)
            )
        entry = self._board.get_by_key(key)
        return entry and antientropy.Record(
            is_member=False, encoded=entry.encoded
        )

    # Timers.

    def _send_urgent_updates(self) -> None:
        """Sends urgent member updates to `FANOUT` random members.

        Updates of one tick are sent together, because many can occur at once.
        When a partition ends, all members refute their death and forward the
        refutations of others. When a region is cut off, hundreds of deaths
        are urgent at the same time. These updates have a lower priority than
        probes, so that they do not use up the budget of the probes, on which
        the remaining updates are piggybacked.
        """
        urgent = self._urgent
        self._urgent = _UrgentUpdates()
        if not urgent.updates:
            return
        peers = self._select_random_peers(urgent.senders)
        available_bytes = datagrams.compute_available_bytes(
            self._members.local.id
        )
        for updates in _group_by_size(urgent.updates.values(), available_bytes):
            self._send_to_peers(
                peers, updates=updates, priority=budget_module.Priority.MODES
            )

    def _join_seeds(self) -> None:
        if self._now < self._join_at:
            return
        if self._members.count_live() > 1:
            self._join_at = self._now + const.MAX_JOIN_BACKOFF_S
            return
        self._contact_seeds()
        self._join_at = self._now + self._join_backoff_s * (
            0.5 + self._rng.random()
        )
        self._join_backoff_s = min(
            2 * self._join_backoff_s, const.MAX_JOIN_BACKOFF_S
        )

    def _contact_seeds(self) -> None:
        count = min(const.MAX_JOIN_SEEDS, len(self._seeds))
        for seed in self._rng.sample(self._seeds, count):
            self._send_local_record(seed, None)

    def _reconnect(self) -> None:
        if self._now < self._reconnect_at:
            return
        self._reconnect_at = self._now + const.RECONNECT_INTERVAL_S * (
            0.5 + self._rng.random()
        )
        dead = [(_get_address(m), m) for m in self._members.list_dead()]
        live = set(map(_get_address, self._members.live_members()))
        known = live.union(address for address, _ in dead)
        missing = [(seed, None) for seed in self._seeds if seed not in known]
        if dead or missing:
            self._send_local_record(*self._rng.choice(dead + missing))

    def _send_local_record(
        self, address: Address, member: members_module.Member | None
    ) -> None:
        """Sends the local record to a member that may not have it."""
        record = records.encode_record(self._members.local)
        self._send(
            datagrams.Kind.PING, address, recipient=member, updates=[record]
        )

    def _request_refutation(self) -> None:
        """Tells one member that it is considered dead, so that it refutes."""
        while self._refutation_requests:
            member_id = next(iter(self._refutation_requests))
            del self._refutation_requests[member_id]
            member = self._members.get(member_id)
            if member is not None and not member.is_alive:
                self._send_local_record(_get_address(member), member)
                return

    def _synchronize(self) -> None:
        priority = budget_module.Priority.MODES
        if not len(self._synchronizer) or not self._budget.can_spend(
            priority, const.MAX_DATAGRAM_BYTES, self._now
        ):
            return
        available_bytes = datagrams.compute_available_bytes(
            self._members.local.id
        )
        batch = self._synchronizer.take_batch(available_bytes - _CLAIM_BYTES)
        recipient = batch and self._members.get(batch.recipient)
        if recipient is None:
            return
        self._send(
            batch.kind,
            _get_address(recipient),
            recipient=recipient,
            extra=batch.extra,
            updates=[r.encoded for r in batch.records if r.is_member],
            entries=[r.encoded for r in batch.records if not r.is_member],
            priority=priority,
        )

    def _run_housekeeping(self) -> None:
        if self._now < self._housekeeping_at:
            return
        self._housekeeping_at = self._now + const.HOUSEKEEPING_INTERVAL_S
        self._members.prune_dead(self._now)
        # An entry may arrive before the record of its origin. The entries of
        # unknown origins are dropped after the same time as those of dead
        # origins.
        for origin in self._board.list_origins():
            if self._members.get(origin) is None:
                self._board.set_origin_dead(origin, self._now)
        for origin in self._board.expire(self._now):
            if self._members.get(origin) is None:
                self._board.forget_origin(origin)

    def _handle_pause(self, pause_s: float) -> None:
        self._outbox.clear()
        self._urgent = _UrgentUpdates()
        self._refutation_requests.clear()
        self._synchronizer.clear()
        self._synchronizer.reset_delays()
        self._board.set_incarnation(
            self._members.local.incarnation, keep_entries=False
        )
        self._members.rejoin(self._compute_incarnation(), self._now)
        self._join_backoff_s = const.JOIN_BACKOFF_S
        self._join_at = self._now + self._join_backoff_s
        self._contact_seeds()
        for callback in tuple(self._pause_callbacks):
            callback(pause_s)

    def _compute_incarnation(self) -> ids.Incarnation:
        """Returns an incarnation in wall-clock milliseconds.

        It adds the elapsed time to the first incarnation and does not read
        the wall clock again.
        """
        elapsed_ms = int((self._now - self._started_at) * 1000)
        return ids.Incarnation(self._first_incarnation + elapsed_ms)

    # Sending.

    def _select_random_peers(
        self, excluded: set[ids.VmId]
    ) -> list[members_module.Member]:
        others = [
            member
            for member in self._members.live_members()
            if member.id != self._members.local.id and member.id not in excluded
        ]
        return self._rng.sample(others, min(const.FANOUT, len(others)))

    def _send_to_peers(
        self,
        peers: list[members_module.Member],
        *,
        updates: Iterable[bytes] = (),
        entries: Iterable[bytes] = (),
        priority: budget_module.Priority = budget_module.Priority.PROBES,
    ) -> None:
        for peer in peers:
            self._send(
                datagrams.Kind.SPREAD,
                _get_address(peer),
                recipient=peer,
                updates=updates,
                entries=entries,
                priority=priority,
            )

    def _send_outgoing(
        self, outgoing: messages.Outgoing, source: Address | None
    ) -> None:
        """Sends a message of the detector.

        Args:
            outgoing: The message.
            source: Source address of the datagram that is answered, which
                is used if its sender is unknown.
        """
        recipient = self._members.get(outgoing.recipient)
        if recipient is None and source is None:
            return
        address = source if recipient is None else _get_address(recipient)
        kind, extra = _get_kind_and_extra(outgoing.message)
        if kind is datagrams.Kind.ACK:
            # Requests the record of an unknown sender.
            extra = recipient is None
        self._send(
            kind,
            address,
            recipient=recipient,
            probe=outgoing.message.probe,
            extra=extra,
        )

    def _send(
        self,
        kind: datagrams.Kind,
        destination: Address,
        *,
        recipient: members_module.Member | None = None,
        probe: int = 0,
        extra: Any = None,
        updates: Iterable[bytes] = (),
        entries: Iterable[bytes] = (),
        priority: budget_module.Priority = budget_module.Priority.PROBES,
    ) -> None:
        updates = [*_list_claims(recipient), *updates]
        entries = list(entries)
        if not self._budget.can_spend(priority, const.TAG_BYTES, self._now):
            self._budget.count_dropped(priority, const.MAX_DATAGRAM_BYTES)
            return
        available_bytes = datagrams.compute_available_bytes(
            self._members.local.id, extra
        )
        available_bytes -= sum(map(len, updates)) + sum(map(len, entries))
        modes = []
        if kind in _PROBE_KINDS:
            modes = self._add_queued(available_bytes, updates, entries)
        data = self._encode_datagram(
            destination,
            kind=kind,
            probe=probe,
            extra=extra,
            updates=updates,
            entries=[*entries, *modes],
        )
        size = len(data) + const.IP_UDP_HEADER_BYTES
        mode_size = sum(map(len, modes))
        if not self._budget.try_spend(priority, size - mode_size, self._now):
            self._budget.count_dropped(priority, size - mode_size)
            return
        if modes:
            self._budget.try_spend(
                budget_module.Priority.MODES, mode_size, self._now
            )
        self.sent[kind] += 1
        self.sent_bytes += size
        self._outbox.append(Datagram(data=data, destination=destination))

    def _add_queued(
        self, available_bytes: int, updates: list[bytes], entries: list[bytes]
    ) -> list[bytes]:
        """Adds queued updates and registers; returns queued modes to send."""
        max_sends = piggyback.compute_retransmit_limit(
            self._members.count_live()
        )
        taken = self._updates.take(available_bytes, max_sends)
        available_bytes -= sum(map(len, taken))
        updates.extend(taken)
        taken = self._registers.take(available_bytes, max_sends)
        available_bytes -= sum(map(len, taken))
        entries.extend(taken)
        if not self._budget.can_spend(
            budget_module.Priority.MODES, const.MAX_DATAGRAM_BYTES, self._now
        ):
            return []
        return self._modes.take(available_bytes, max_sends)

    def _encode_datagram(self, destination: Address, **fields: Any) -> bytes:
        # Sequence numbers start from the incarnation, so that they increase
        # across restarts and peers can keep the state of their replay filters.
        lowest_number = (
            self._members.local.incarnation << _SEQUENCE_NUMBER_SHIFT
        )
        self._sequence_number = max(self._sequence_number + 1, lowest_number)
        body = datagrams.encode_message(
            sender=self._members.local.id,
            sequence_number=self._sequence_number,
            digest=self._board.digest.root,
            **fields,
        )
        return self._keys.sign(body, datagrams.encode_recipient(*destination))

    # Receiving.

    def _decode_datagram(self, data: bytes) -> datagrams.GossipMessage:
        body = self._keys.verify(data, self._local_context)
        message = datagrams.decode_message(body)
        if message.sender == self._members.local.id:
            raise exceptions.OwnMessageError(message.sender)
        self._replay.accept(message.sender, message.sequence_number)
        return message

    def _apply(self, message: datagrams.GossipMessage) -> None:
        for fields in message.updates:
            self._apply_update(fields, message)
        entries = [self._decode_entry(fields) for fields in message.entries]
        accepted = self._board.merge(filter(None, entries), self._now)
        for entry in accepted:
            if message.kind is datagrams.Kind.SPREAD:
                self._urgent.senders.add(message.sender)
                self._add_urgent_entry(entry)
            elif message.kind is datagrams.Kind.RECORDS:
                self._get_queue(entry.topic).discard(_get_entry_key(entry))

    def _apply_update(
        self, fields: Any, message: datagrams.GossipMessage
    ) -> None:
        update = self._decode_update(fields)
        if update is None:
            return
        try:
            is_new = self._members.merge(update, self._now)
        except membership_exceptions.MembersFullError:
            self.dropped[exceptions.DropReason.FULL] += 1
            return
        if message.kind is datagrams.Kind.RECORDS:
            self._handle_repaired_member(update)
        elif is_new and message.kind is datagrams.Kind.SPREAD:
            self._urgent.senders.add(message.sender)
            self._add_urgent_update(self._members.get(update.id))

    def _decode_update(self, fields: Any) -> members_module.Member | None:
        try:
            return records.decode_update(fields, self._members)
        except membership_exceptions.MemberRecordError:
            self.dropped[exceptions.DropReason.MALFORMED] += 1
            return None

    def _handle_repaired_member(self, update: members_module.Member) -> None:
        # A record that only this balancer lacked is known to the fleet.
        # Otherwise a new member would gossip the records of all members.
        if update.id != self._members.local.id:
            self._updates.discard(update.id)
        self._check_for_false_death(update)

    def _check_for_false_death(self, update: members_module.Member) -> None:
        """Queues a request to a dead member that a peer reports as alive.

        The reports can contradict each other after a partition. Only the
        member itself can refute its death; sending the claim to the peer would
        make the peer's side consider the member dead for a while.
        """
        known = self._members.get(update.id)
        if known is not None and update.is_alive and not known.is_alive:
            self._refutation_requests[update.id] = None

    def _decode_entry(self, fields: Any) -> board_module.Entry | None:
        try:
            return board_module.decode_entry(fields)
        except exceptions.EntryError:
            self.dropped[exceptions.DropReason.MALFORMED] += 1
            return None

    def _dispatch(
        self, message: datagrams.GossipMessage, source: Address
    ) -> None:
        sender = message.sender
        match message.kind:
            case datagrams.Kind.SUMS:
                self._synchronizer.handle_sums(sender, message.extra)
            case datagrams.Kind.SUMMARY:
                self._synchronizer.handle_summary(sender, message.extra)
            case datagrams.Kind.WANT:
                self._synchronizer.handle_want(sender, message.extra)
            case (
                datagrams.Kind.PING
                | datagrams.Kind.PING_REQUEST
                | datagrams.Kind.ACK
            ):
                self._handle_probe(message, source)

    def _handle_probe(
        self, message: datagrams.GossipMessage, source: Address
    ) -> None:
        for outgoing in self._detector.handle(_build_probe(message), self._now):
            self._send_outgoing(outgoing, source)
        is_ack = message.kind is datagrams.Kind.ACK
        if is_ack and message.extra is True:
            self._send_local_record(source, self._members.get(message.sender))
        self._start_synchronization_if_due(message)

    def _start_synchronization_if_due(
        self, message: datagrams.GossipMessage
    ) -> None:
        sender = self._members.get(message.sender)
        if sender is None or not self._synchronizer.try_start(
            message.digest, self._now
        ):
            return
        self._send(
            datagrams.Kind.SUMS,
            _get_address(sender),
            recipient=sender,
            extra=self._board.digest.pack_sums(),
        )


@functools.singledispatch
def _get_kind_and_extra(
    message: messages.Message,
) -> tuple[datagrams.Kind, Any]:
    """Returns kind and `extra` field for a message of the detector."""
    raise NotImplementedError(type(message))


@_get_kind_and_extra.register
def _get_ping_kind(message: messages.Ping) -> tuple[datagrams.Kind, Any]:
    return datagrams.Kind.PING, None


@_get_kind_and_extra.register
def _get_ping_request_kind(
    message: messages.PingRequest,
) -> tuple[datagrams.Kind, Any]:
    return datagrams.Kind.PING_REQUEST, message.target


@_get_kind_and_extra.register
def _get_ack_kind(message: messages.Ack) -> tuple[datagrams.Kind, Any]:
    return datagrams.Kind.ACK, None


def _build_probe(message: datagrams.GossipMessage) -> messages.Message:
    if message.kind is datagrams.Kind.PING:
        return messages.Ping(sender=message.sender, probe=message.probe)
    if message.kind is datagrams.Kind.ACK:
        return messages.Ack(sender=message.sender, probe=message.probe)
    if not isinstance(message.extra, str):
        raise exceptions.MessageError(
            "the target of a probe request is not text"
        )
    return messages.PingRequest(
        sender=message.sender,
        probe=message.probe,
        target=ids.VmId(message.extra),
    )


def _encode_update(member: members_module.Member) -> bytes:
    if member.state < members_module.MemberState.SUSPECT:
        return records.encode_record(member)
    return records.encode_state(member)


def _list_claims(recipient: members_module.Member | None) -> list[bytes]:
    """Returns the claim that a suspect or dead recipient has to refute."""
    if recipient is None or (
        recipient.state < members_module.MemberState.SUSPECT
    ):
        return []
    return [records.encode_state(recipient)]


def _group_by_size(
    items: Iterable[bytes], available_bytes: int
) -> list[list[bytes]]:
    """Splits encoded items into groups that each fit into one datagram."""
    groups: list[list[bytes]] = []
    remaining_bytes = 0
    for item in items:
        if not groups or len(item) > remaining_bytes:
            groups.append([])
            remaining_bytes = available_bytes
        groups[-1].append(item)
        remaining_bytes -= len(item)
    return groups


def _get_entry_key(entry: board_module.Entry) -> Hashable:
    return (entry.topic, entry.origin)


def _get_address(member: members_module.Member) -> Address:
    return (member.address, member.gossip_port)


def _hash_member(member_id: ids.VmId) -> int:
    return digest_module.compute_hash(f"{_MEMBER_TOPIC}\0{member_id}".encode())
