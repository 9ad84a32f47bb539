"""Tests of the gossip protocol without I/O."""

import dataclasses
import random

import cbor2
import hypothesis
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import const
from chivedoor.control import datagrams
from chivedoor.control import exceptions
from chivedoor.membership import const as membership_const
from chivedoor.membership import members as members_module
from chivedoor.membership import records
from tests.control import fleet as fleet_module

State = members_module.MemberState
Reason = exceptions.DropReason
_SOURCE = ("127.0.1.9", 7946)


def test_death_is_detected_by_all_members(fleet):
    # Guards against a dead owner that some members still consider alive.
    del fleet.nodes[3]
    fleet.run(5.0)
    assert fleet.count_live() == [7] * 7
    assert {n.members.get("v3").state for n in fleet.nodes.values()} == {
        State.DEAD
    }


def test_restart_with_the_same_address_replaces_the_earlier_incarnation(fleet):
    # Guards against a restarted VM that peers ignore or take for its previous
    # incarnation.
    owner = fleet.nodes[3]
    owner.board.publish("mode/1", "DIRECT", True, fleet.now)
    fleet.run(1.0)
    assert fleet.nodes[5].board.get("mode/1")
    fleet.start(3, incarnation=2000)
    fleet.run(3.0)
    assert fleet.count_live() == [8] * 8
    for node in fleet.nodes.values():
        assert node.members.get("v3").incarnation == 2000
        assert node.board.get("mode/1") == ()
        assert node.protocol.dropped[Reason.REPLAYED] == 0


def test_restart_after_the_clock_went_back_is_accepted(fleet):
    # Guards against a VM without a disk that peers reject, because its clock
    # went back and its previous sequence numbers were higher.
    node = fleet.start(3, incarnation=10)
    node.board.publish("mode/1", "DIRECT", False, fleet.now)
    fleet.run(20.0)
    assert fleet.count_live() == [8] * 8
    assert node.members.local.incarnation > 1000
    for peer in fleet.nodes.values():
        (entry,) = peer.board.get("mode/1")
        assert entry.incarnation == node.members.local.incarnation


def test_paused_member_rejoins_with_a_new_incarnation(fleet):
    # Guards against routing modes that stay in effect after their owner paused.
    node = fleet.nodes[3]
    node.board.publish("mode/1", "DIRECT", True, fleet.now)
    fleet.run(1.0)
    fleet.run(30.0, skip=(3,))
    assert fleet.nodes[1].members.get("v3").state is State.DEAD
    fleet.run(5.0)
    assert len(node.pauses) == 1
    assert 29.0 < node.pauses[0] < 31.0
    assert node.members.local.state is State.JOINING
    assert node.members.local.incarnation >= 1000 + 29_000
    assert fleet.count_live() == [8] * 8
    assert fleet.nodes[1].board.get("mode/1") == ()
    # After the pause, the member must not suspect others because of acks that
    # it read too late.
    assert node.protocol.dump_state()["detector"]["suspected"] == 0


def test_suspicion_of_a_live_member_is_refuted(fleet):
    # Guards against a member that is declared dead after one lost probe.
    fleet.nodes[1].members.suspect("v3", fleet.now)
    fleet.run(4.0)
    states = {n.members.get("v3").state for n in fleet.nodes.values()}
    assert states == {State.ACTIVE}
    assert fleet.nodes[3].members.local.sequence >= 1


def test_partition_recovery_stays_within_the_traffic_limit(fleet):
    # Guards against two sides of a partition that never reconnect, and against
    # bursts of traffic or false deaths when they do.
    left = (1, 2, 3, 4)
    fleet.is_lost = lambda source, target: (source in left) != (target in left)
    fleet.run(10.0)
    assert fleet.count_live() == [4] * 8
    fleet.nodes[2].board.publish("mode/2", "DIRECT", False, fleet.now)
    fleet.nodes[7].board.publish("mode/7", "DIRECT", False, fleet.now)
    confirmed = _sum_confirmed(fleet)
    fleet.is_lost = lambda source, target: False
    fleet.sent_datagrams.clear()
    recovery_s = 0
    while fleet.count_live() != [8] * 8:
        fleet.run(1.0)
        recovery_s += 1
        assert recovery_s <= 20
    size = sum(
        len(d.data) + const.IP_UDP_HEADER_BYTES for d in fleet.sent_datagrams
    )
    # The goal for current deployments is at most 4 KB/s per node.
    assert size / len(fleet.nodes) < 4000 * recovery_s
    assert _sum_confirmed(fleet) == confirmed
    fleet.run(10.0)
    for node in fleet.nodes.values():
        assert node.board.get("mode/2")
        assert node.board.get("mode/7")


def test_urgent_entry_reaches_all_without_a_tick(fleet):
    # Guards against a domain command that is delayed until the next probe.
    fleet.nodes[2].board.publish("domain/z", ["OUT"], True, fleet.now)
    fleet.deliver()
    reached = sum(
        bool(node.board.get("domain/z")) for node in fleet.nodes.values()
    )
    assert reached >= 7
    fleet.run(1.0)
    assert all(n.board.get("domain/z") for n in fleet.nodes.values())


def test_planned_stop_reaches_all_within_three_ticks(fleet):
    # Guards against an owner that leaves before the other members know that it
    # is leaving.
    fleet.nodes[2].members.leave(fleet.now)
    fleet.run(3 * membership_const.TICK_INTERVAL_S)
    leaving = [
        node.members.get("v2").state is State.LEAVING
        for node in fleet.nodes.values()
    ]
    assert sum(leaving) >= 7


def test_member_that_a_peer_reports_alive_is_asked_to_refute_its_death(fleet):
    # Guards against views that stay different after a partition. The peer must
    # not consider the member dead, and only the member can refute its death.
    node, peer = fleet.nodes[1], fleet.nodes[2]
    alive = node.members.get("v3")
    node.members.confirm_dead("v3", fleet.now)
    node.protocol.tick(fleet.now)
    node.protocol.drain()
    _receive_records(node, [records.encode_record(alive)])
    node.protocol.tick(fleet.now)
    (request,) = [
        d
        for d in node.protocol.drain()
        if d.destination == fleet.nodes[3].address
    ]
    fleet.nodes[3].protocol.receive(request.data, node.address, fleet.now)
    fleet.deliver()
    assert node.members.get("v3").state is State.ACTIVE
    assert node.members.get("v3").sequence > alive.sequence
    assert peer.members.get("v3").state is State.ACTIVE


def test_repaired_records_are_not_gossiped_again(network):
    # Guards against a new member that gossips the records of the whole fleet
    # with its probes.
    node = network.start(1)
    local = node.members.local
    before = node.protocol.dump_state()["waiting"]
    _receive_records(
        node,
        [
            records.encode_record(dataclasses.replace(local, id=f"x{number}"))
            for number in range(5)
        ],
    )
    assert len(node.members) == 6
    assert node.protocol.dump_state()["waiting"] == before


def test_replication_converges_despite_lost_datagrams(fleet):
    # Guards against entries and members that are lost permanently when the
    # network drops datagrams.
    rng = random.Random(5)
    fleet.is_lost = lambda source, target: rng.random() < 0.3
    for number in range(1, 9):
        fleet.nodes[number].board.publish(
            f"mode/{number}", number, False, fleet.now
        )
    fleet.run(20.0)
    fleet.is_lost = lambda source, target: False
    fleet.run(15.0)
    assert fleet.count_live() == [8] * 8
    assert {len(n.board) for n in fleet.nodes.values()} == {8}


def test_new_member_receives_a_board_larger_than_one_datagram(network):
    # Guards against a new member that receives only the changes after its
    # arrival.
    first = network.start(1)
    for number in range(1500):
        first.board.publish(f"mode/{number}", "DIRECT", False, network.now)
    network.run(2.0)
    network.sent_datagrams.clear()
    new_member = network.start(2)
    for _ in range(30):
        network.run(1.0)
        if new_member.board.digest.root == first.board.digest.root:
            break
    assert len(new_member.board) == 1500
    assert (
        max(len(d.data) for d in network.sent_datagrams)
        <= const.MAX_DATAGRAM_BYTES
    )


def test_entries_that_differ_after_a_loss_are_repaired(network):
    # Guards against a summary that repairs only one of the two boards.
    first, second = network.start(1), network.start(2)
    network.run(1.0)
    network.is_lost = lambda source, target: True
    for number in range(300):
        owner = first if number % 2 else second
        owner.board.publish(f"mode/{number}", number, False, network.now)
    for node in (first, second):
        node.protocol._modes.clear()
    network.is_lost = lambda source, target: False
    network.run(20.0)
    assert len(first.board) == len(second.board) == 300
    assert first.board.digest.root == second.board.digest.root
    assert first.protocol.sent[datagrams.Kind.SUMMARY] > 0


def test_replayed_and_duplicated_datagrams_are_dropped(fleet):
    # Guards against an attacker who replays recorded datagrams.
    fleet.run(1.0)
    node = fleet.nodes[1]
    recorded = [
        d for d in fleet.sent_datagrams if d.destination == node.address
    ]
    before = node.protocol.dump_state()
    for datagram in recorded:
        node.protocol.receive(datagram.data, _SOURCE, fleet.now)
    after = node.protocol.dump_state()
    replayed = after["dropped"]["replayed"] - before["dropped"]["replayed"]
    assert replayed == len(recorded) > 0
    assert after["received"] == before["received"]
    assert node.protocol.drain() == []


def test_datagrams_for_another_member_are_dropped(fleet):
    # Guards against replaying a datagram to a member that it was not sent to.
    fleet.run(1.0)
    fleet.sent_datagrams.clear()
    fleet.run(1.0)
    node = fleet.nodes[1]
    others = [d for d in fleet.sent_datagrams if d.destination != node.address]
    before = node.protocol.dropped[Reason.TAG]
    for datagram in others:
        node.protocol.receive(datagram.data, _SOURCE, fleet.now)
    assert node.protocol.dropped[Reason.TAG] - before == len(others) > 0


def test_late_claims_do_not_revive_dead_members(fleet):
    # Guards against datagrams that were in transit when the member died.
    node = fleet.nodes[1]
    alive = node.members.get("v3")
    node.members.confirm_dead("v3", fleet.now)
    assert not node.members.merge(alive, fleet.now)
    suspect = dataclasses.replace(alive, state=State.SUSPECT)
    assert not node.members.merge(suspect, fleet.now)


def test_planned_stop_is_announced_without_suspicion(fleet):
    # Guards against targets that have no owner for 2 s at each planned stop.
    node = fleet.nodes[3]
    node.members.leave(fleet.now)
    fleet.run(1.0)
    node.protocol.announce_departure(fleet.now)
    fleet.deliver()
    del fleet.nodes[3]
    fleet.run(1.0)
    assert fleet.count_live() == [7] * 7
    assert all(n.members.list_dead() == () for n in fleet.nodes.values())


def test_exhausted_budget_drops_and_counts(network):
    # Guards against control traffic that exceeds the budget.
    node = network.start(1)
    network.start(2)
    network.run(1.0)
    node.budget._tokens = -1e9
    network.sent_datagrams.clear()
    before = node.protocol.sent_bytes
    network.run(2.0)
    assert node.protocol.sent_bytes == before
    assert sum(node.budget.dropped_bytes.values()) > 0


def test_many_deaths_at_once_do_not_drop_probes(fleet):
    # Guards against false suspicions after a region is cut off, when urgent
    # updates about deaths use up the budget and probes are dropped.
    node = fleet.nodes[1]
    for number in range(100, 500):
        record = dataclasses.replace(node.members.local, id=f"x{number}")
        node.members.merge(record, fleet.now)
        node.members.confirm_dead(f"x{number}", fleet.now)
        node.protocol.tick(fleet.now)
    dropped = node.budget.dump_state()["dropped"]
    assert dropped["MODES"] > 0
    assert dropped["PROBES"] == 0
    fleet.sent_datagrams.clear()
    fleet.run(1.0)
    assert node.budget.dump_state()["dropped"]["PROBES"] == 0
    assert node.protocol.dump_state()["detector"]["suspected"] == 0


def test_second_process_with_the_same_id_is_counted(network):
    # Guards against two VMs with the same id that are not detected.
    network.start(1)
    network.run(1.0)
    duplicate = network.start(1)
    duplicate.protocol._send_local_record(duplicate.address, None)
    network.deliver()
    assert duplicate.protocol.dropped[Reason.OWN] == 1


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=24),
    lambda inner: strategies.lists(inner, max_size=5),
    max_leaves=20,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.binary(max_size=200), strategies.booleans())
def test_malformed_bytes_are_only_counted(data, is_signed):
    # Guards against received bytes that raise an exception in the loop.
    node = _build_node()
    if is_signed:
        data = _sign(node, data)
    node.protocol.receive(data, _SOURCE, 100.0)
    assert sum(node.protocol.dropped.values()) == 1
    assert node.protocol.drain() == []


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    strategies.sampled_from(datagrams.Kind),
    _VALUES,
    strategies.lists(_VALUES, max_size=3),
    strategies.lists(_VALUES, max_size=3),
)
def test_signed_malformed_messages_do_not_raise(kind, extra, updates, entries):
    # Guards against a faulty peer, or one of another version, that stops the
    # loop.
    node = _build_node()
    body = cbor2.dumps(
        [1, int(kind), "v2", 1 << 40, 7, 0, extra, updates, entries]
    )
    node.protocol.receive(_sign(node, body), _SOURCE, 100.0)
    node.protocol.tick(100.1)
    assert node.members.get("v1") is node.members.local


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    strategies.lists(
        strategies.one_of(
            strategies.integers(-1, 1 << 44),
            strategies.text(max_size=4),
            strategies.binary(min_size=4, max_size=4),
        ),
        min_size=11,
        max_size=11,
    )
)
def test_malformed_member_records_are_counted(fields):
    # Guards against member records with wrong field types in the table.
    hypothesis.assume(fields[0] != "v1")
    hypothesis.assume(fields[3] != State.DEAD)
    node = _build_node()
    body = cbor2.dumps([1, 2, "v2", 1 << 40, 7, 0, None, [fields], []])
    node.protocol.receive(_sign(node, body), _SOURCE, 100.0)
    added = len(node.members) - 1
    assert node.protocol.dropped[Reason.MALFORMED] + added == 1


def test_full_table_of_members_is_counted():
    # Guards against a table that grows without limit through new ids.
    node = _build_node()
    node.members._capacity = 3
    local = node.members.local
    for number in range(5):
        record = dataclasses.replace(local, id=f"x{number}")
        body = datagrams.encode_message(
            kind=datagrams.Kind.SPREAD,
            sender="v2",
            sequence_number=(1 << 40) + number,
            probe=0,
            digest=0,
            extra=None,
            updates=[_encode(record)],
            entries=[],
        )
        node.protocol.receive(_sign(node, body), _SOURCE, 100.0)
    assert len(node.members) == 3
    assert node.protocol.dropped[Reason.FULL] == 3


def test_entries_of_unknown_origins_expire(network):
    # Guards against entries of forgotten members that circulate forever.
    node = network.start(1)
    orphaned_entry = board_module.Entry(
        topic="mode/9", origin="gone", incarnation=1, counter=1, value="DIRECT"
    )
    node.board.merge([orphaned_entry], network.now)
    network.run(10.0)
    assert node.board.get("mode/9") == ()
    network.run(40.0)
    assert len(node.board) == 0
    assert node.board.list_origins() == ()
    assert node.board.dump_state()["dead_origins"] == []


def test_dead_members_do_not_change_the_digest(network):
    # Guards against endless repairs when one member forgets a dead member
    # before another one does.
    node = network.start(1)
    root = node.board.digest.root
    third = dataclasses.replace(node.members.local, id="x3")
    node.members.merge(third, network.now)
    assert node.board.digest.root != root
    node.members.confirm_dead("x3", network.now)
    assert node.board.digest.root == root
    node.members.set_vm_list([])
    node.members.prune_dead(network.now + 1e6)
    assert node.board.digest.root == root


def _build_node():
    return fleet_module.Node(1, 100.0)


def _sign(node, body):
    keys = authentication.Keys(current=b"0123456789abcdef")
    return keys.sign(body, datagrams.encode_recipient(*node.address))


def _encode(member):
    return records.encode_record(member)


def _receive_records(node, updates):
    body = datagrams.encode_message(
        kind=datagrams.Kind.RECORDS,
        sender="v2",
        sequence_number=1 << 40,
        probe=0,
        digest=0,
        extra=None,
        updates=updates,
        entries=[],
    )
    now = node.protocol._now
    node.protocol.receive(_sign(node, body), _SOURCE, now)


def _sum_confirmed(fleet):
    return sum(
        node.protocol.dump_state()["detector"]["confirmed"]
        for node in fleet.nodes.values()
    )
