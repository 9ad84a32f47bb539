"""Tests of the store of the document in force."""

import copy
import math

import pytest

from chivedoor.configuration import const
from chivedoor.configuration import difference
from chivedoor.configuration import exceptions
from chivedoor.configuration import faults
from chivedoor.configuration import store

FaultReason = faults.FaultReason

WALL_S = 1_000_000
DELAY_S = 86_400


@pytest.fixture
def build(value, encode):
    """Returns a function from a version to the text of a document."""

    def run(version):
        changed = copy.deepcopy(value)
        changed["version"] = version
        changed["services"][0]["endpoints"][0][3] = version
        return encode(changed)

    return run


@pytest.fixture
def filled(build):
    """A store with version 7, confirmed at 100 s."""
    result = store.DocumentStore()
    result.accept_data(build(7), 100.0, wall_s=WALL_S, age_s=0)
    return result


def test_empty_store_sends_nothing():
    # Guards against a newcomer that routes without a document.
    empty = store.DocumentStore()
    empty.confirm(0, 0, 100.0)
    assert (empty.version, empty.document) == (0, None)
    assert not empty.may_send(100.0)
    assert empty.get_differences(0) == ()


def test_confirmation_without_a_document_does_not_count(build):
    # Guards against a first document from a peer that is used unconfirmed.
    newcomer = store.DocumentStore()
    newcomer.confirm(0, 0, 100.0)
    newcomer.accept_data(build(7), 100.0, wall_s=WALL_S)
    assert not newcomer.may_send(100.0)


def test_higher_version_comes_into_force(filled, build):
    # Guards against a store that keeps its first document.
    filled.accept_data(build(9), 101.0, wall_s=WALL_S)
    assert filled.version == 9
    assert filled.document.services["listening"].endpoints[0].weight == 9


@pytest.mark.parametrize("version", [6, 7])
def test_version_that_is_not_higher_is_refused(filled, build, version):
    # Guards against a stale platform or peer that reverts a change.
    before = filled.document
    with pytest.raises(exceptions.DocumentError):
        filled.accept_data(build(version), 101.0, wall_s=WALL_S, age_s=0)
    assert filled.document is before
    assert filled.refusals == {FaultReason.VERSION: 1}


def test_faulty_document_leaves_the_one_in_force(filled, value, encode):
    # Guards against a typing error that takes all services down.
    value["version"] = 8
    value["services"][1]["endpoints"][0][2] = "z"
    value["services"][1]["ports"] = []
    with pytest.raises(exceptions.DocumentError):
        filled.accept_data(encode(value), 101.0, wall_s=WALL_S)
    assert filled.version == 7
    assert filled.refusals == {
        FaultReason.UNKNOWN_REFERENCE: 1,
        FaultReason.INVALID_VALUE: 1,
    }


def test_text_with_faults_is_counted(filled):
    # Guards against refusals that operators cannot see.
    for _ in range(2):
        with pytest.raises(exceptions.DocumentError):
            filled.accept_data(b"{", 101.0, wall_s=WALL_S)
    assert filled.refusals == {FaultReason.SYNTAX: 2}


def test_peer_follows_by_differences(filled, build):
    # Guards against a chain that skips or repeats a version.
    peer = store.DocumentStore()
    peer.accept(filled.document, 100.0, wall_s=WALL_S)
    for version in (8, 9, 12):
        filled.accept_data(build(version), 101.0, wall_s=WALL_S)
    texts = [
        difference.encode_difference(change)
        for change in filled.get_differences(peer.version)
    ]
    received = [difference.decode_difference(text) for text in texts]
    peer.accept_differences(received, 101.0, wall_s=WALL_S, age_s=1)
    assert peer.document == filled.document
    assert peer.confirmed_age(101.0) == 1


def test_differences_that_are_already_in_force_are_left_out(filled, build):
    # Guards against a repeated reply that counts as a refusal.
    for version in (8, 9):
        filled.accept_data(build(version), 101.0, wall_s=WALL_S)
    received = filled.get_differences(7)
    filled.accept_differences(received, 102.0, wall_s=WALL_S)
    assert filled.version == 9
    assert not filled.refusals


def test_differences_from_another_version_are_refused(filled, build):
    # Guards against a document built from the wrong base.
    other = store.DocumentStore()
    for version in (5, 9):
        other.accept_data(build(version), 100.0, wall_s=WALL_S)
    received = other.get_differences(5)
    for receiver in (filled, store.DocumentStore()):
        before = receiver.version
        with pytest.raises(exceptions.BaseVersionError):
            receiver.accept_differences(received, 101.0, wall_s=WALL_S)
        assert receiver.version == before


def test_number_of_differences_is_bounded(filled, build):
    # Guards against memory that grows with every document.
    newest = 7 + const.MAX_DIFFERENCES + 1
    for version in range(8, newest + 1):
        filled.accept_data(build(version), 101.0, wall_s=WALL_S)
    assert filled.get_differences(7) is None
    assert len(filled.get_differences(8)) == const.MAX_DIFFERENCES
    assert filled.get_differences(newest) == ()
    assert filled.get_differences(newest + 1) == ()


def test_confirmation_ages(filled):
    # Guards against an age that stands still while the platform is away.
    assert filled.confirmed_age(100.0) == 0
    assert filled.confirmed_age(130.0) == 30


def test_smaller_age_counts(filled):
    # Guards against a peer's old confirmation that replaces a newer one.
    filled.confirm(7, 5, 110.0)
    assert filled.confirmed_age(110.0) == 5
    filled.confirm(7, 50, 110.0)
    assert filled.confirmed_age(110.0) == 5


@pytest.mark.parametrize(
    ("version", "age_s"), [(6, 0), (8, 0), (7, -1), (7, math.nan)]
)
def test_other_confirmations_do_not_count(filled, version, age_s):
    # Guards against a stale reader, or a malformed age, that keeps an old
    # document alive.
    filled.confirm(version, age_s, 200.0)
    assert filled.confirmed_age(200.0) == 100


def test_new_document_keeps_the_confirmation(filled, build):
    # Guards against a new document that stops all packets until the platform
    # answers again.
    filled.accept_data(build(8), 110.0, wall_s=WALL_S)
    assert filled.confirmed_age(110.0) == 10


def test_sending_stops_after_the_reuse_delay(filled):
    # Guards against packets to an address that another service may have.
    assert filled.may_send(100.0 + DELAY_S)
    assert not filled.may_send(100.0 + DELAY_S + 1)
    filled.confirm(7, 0, 100.0 + DELAY_S + 1)
    assert filled.may_send(100.0 + DELAY_S + 1)


def test_unconfirmed_document_is_not_used(build):
    # Guards against a document of unknown age from a peer.
    newcomer = store.DocumentStore()
    newcomer.accept_data(build(7), 100.0, wall_s=WALL_S)
    assert newcomer.version == 7
    assert not newcomer.may_send(100.0)


def test_late_balancer_accepts_an_address_that_changed_hands(
    filled, value, encode
):
    # Guards against a balancer that was cut off beyond the reuse delay and
    # can never accept a document again; before that it refuses.
    value["version"] = 8
    value["services"][0]["endpoints"].pop()
    value["services"][0]["ports"][0][2] = 9010
    value["services"][1]["endpoints"].append(
        [4, "127.1.0.2", "b", 50, "active", None]
    )
    value["services"][1]["ports"][0][2] = 9000
    data = encode(value)
    with pytest.raises(exceptions.DocumentError):
        filled.accept_data(data, 100.0 + DELAY_S, wall_s=WALL_S)
    filled.accept_data(data, 100.0 + DELAY_S + 1, wall_s=WALL_S)
    assert filled.version == 8


def test_state_is_plain_values(filled, build):
    # Guards against a dump that cannot be encoded.
    filled.accept_data(build(8), 101.0, wall_s=WALL_S)
    with pytest.raises(exceptions.DocumentError):
        filled.accept_data(build(8), 101.0, wall_s=WALL_S)
    assert filled.dump_state() == {
        "version": 8,
        "accepted": 2,
        "refusals": {"version": 1},
        "confirmed_at_s": 100.0,
        "differences": [[7, 8]],
    }
