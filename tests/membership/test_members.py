"""Tests of the member table."""

import dataclasses
import itertools

import pytest

from chivedoor.membership import exceptions
from chivedoor.membership import members as members_module

State = members_module.MemberState


def test_updates_merge_to_the_same_result_in_any_order(build_member):
    # Guards against balancers that disagree because updates arrive in different
    # orders.
    alive = build_member("b", state=State.ACTIVE)
    updates = [
        alive,
        dataclasses.replace(
            alive, state=State.SUSPECT, former_state=State.ACTIVE
        ),
        dataclasses.replace(alive, state=State.LEAVING, sequence=1),
        dataclasses.replace(alive, state=State.JOINING, incarnation=2),
    ]
    results = set()
    for order in itertools.permutations(updates):
        members = members_module.Members(local=build_member("a"))
        for update in order:
            members.merge(update, 0.0)
        results.add(members.get("b"))
    assert results == {updates[-1]}


def test_local_member_refutes_its_death(members, build_member):
    # Guards against a live balancer that accepts being declared dead.
    dead = dataclasses.replace(members.local, state=State.DEAD)
    assert members.merge(dead, 0.0)
    assert members.local.state is State.ACTIVE
    assert members.local.precedence > dead.precedence


def test_local_member_outranks_a_previous_incarnation(members):
    # Guards against a clock that was set back during a restart. Peers would
    # ignore the new process as long as they store the previous incarnation.
    previous = dataclasses.replace(members.local, incarnation=900)
    members.merge(previous, 0.0)
    assert members.local.incarnation == 901


def test_restart_with_the_same_address_is_a_new_member(members, build_member):
    # Guards against a restarted VM that keeps the role of its previous
    # incarnation.
    members.merge(build_member("b", state=State.ACTIVE), 0.0)
    assert members.owner_candidates("zone-1") == ("a", "b")
    revision = members.revision
    members.merge(build_member("b", state=State.JOINING, incarnation=2), 1.0)
    assert members.owner_candidates("zone-1") == ("a",)
    assert members.replica_candidates("zone-1") == ("a", "b")
    assert members.revision > revision


def test_suspect_keeps_its_role_until_it_is_dead(members, build_member):
    # Guards against a change of owners because of a single lost datagram.
    members.merge(build_member("b", state=State.ACTIVE), 0.0)
    members.merge(build_member("c", state=State.JOINING), 0.0)
    for member_id in ("b", "c"):
        members.suspect(member_id, 0.0)
    assert members.owner_candidates("zone-1") == ("a", "b")
    members.confirm_dead("b", 1.0)
    assert members.owner_candidates("zone-1") == ("a",)
    assert not members.suspect("b", 2.0)


def test_member_listed_as_leaving_is_not_a_candidate(members, build_member):
    # Guards against owners on VMs that the platform is about to remove.
    members.merge(build_member("b", state=State.ACTIVE), 0.0)
    revision = members.revision
    members.set_vm_list(
        members_module.ListedVm(id=i, domain="zone-1", leaving=i == "b")
        for i in "abc"
    )
    assert members.owner_candidates("zone-1") == ("a",)
    assert members.replica_candidates("zone-1") == ("a",)
    assert members.count_listed("zone-1") == 3
    assert members.count_visible("zone-1") == 2
    assert members.revision > revision


def test_at_most_one_side_of_a_partition_has_a_majority(build_member):
    # Guards against counting a new member that is not on the VM list yet. With
    # the list {a, b, c}, both sides {a, d} and {b, c} would count 2 of 3.
    listed = [members_module.ListedVm(id=i, domain="zone-1") for i in "abc"]
    majorities = 0
    for local, peer in ("ad", "bc"):
        members = members_module.Members(local=build_member(local))
        members.merge(build_member(peer), 0.0)
        members.set_vm_list(listed)
        visible = members.count_visible("zone-1")
        majorities += 2 * visible > members.count_listed("zone-1")
    assert majorities == 1


def test_dead_members_count_as_listed_without_a_vm_list(members, build_member):
    # Guards against a majority on both sides of a partition after each has
    # removed the members of the other.
    members.merge(build_member("b"), 0.0)
    members.merge(build_member("c", state=State.LEAVING), 0.0)
    members.confirm_dead("b", 0.0)
    members.confirm_dead("c", 0.0)
    members.prune_dead(1e6)
    assert members.count_listed("zone-1") == 2
    assert members.count_visible("zone-1") == 1


def test_dead_members_are_removed_after_the_retention_time(build_member):
    # Guards against a table that grows with every replaced VM.
    members = members_module.Members(
        local=build_member("a"), dead_retention_s=10.0
    )
    members.set_vm_list([])
    members.merge(build_member("b"), 0.0)
    members.confirm_dead("b", 1.0)
    members.prune_dead(10.9)
    assert members.get("b") is not None
    members.prune_dead(11.0)
    assert members.get("b") is None


def test_full_table_evicts_only_dead_members(build_member):
    # Guards against unbounded growth and against dead members that prevent new
    # ones from being added.
    members = members_module.Members(local=build_member("a"), capacity=3)
    members.merge(build_member("b"), 0.0)
    members.merge(build_member("c"), 0.0)
    with pytest.raises(exceptions.MembersFullError):
        members.merge(build_member("d"), 0.0)
    members.confirm_dead("b", 0.0)
    assert members.merge(build_member("d"), 0.0)
    assert {m.id for m in members.list_members()} == {"a", "c", "d"}


def test_leave_and_rejoin_change_the_local_record(members):
    # Guards against a balancer that owns targets while it leaves or rejoins.
    before = members.local
    members.leave(0.0)
    assert members.local.state is State.LEAVING
    assert members.owner_candidates("zone-1") == ()
    members.rejoin(50, 1.0)
    assert members.local.state is State.JOINING
    assert members.local.incarnation == 50
    assert members.local.precedence > before.precedence
    members.rejoin(50, 2.0)
    assert members.local.incarnation == 51


def test_unknown_members_cannot_be_suspected(members):
    # Guards against a late detection that adds a record of a removed member.
    with pytest.raises(exceptions.UnknownMemberError):
        members.suspect("z", 0.0)
    assert not members.merge(
        dataclasses.replace(members.local, id="z", state=State.DEAD), 0.0
    )
