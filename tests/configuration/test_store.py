"""Tests of the document store."""

import copy
import math

import pytest

from chivedoor.configuration import const
from chivedoor.configuration import difference
from chivedoor.configuration import exceptions
from chivedoor.configuration import faults
from chivedoor.configuration import store

FaultReason = faults.FaultReason

WALL_CLOCK_S = 1_000_000
DELAY_S = 86_400


@pytest.fixture
def build_text(document_value, encode):
    """Returns a function that builds the text of a document by version."""

    def run(version):
        changed = copy.deepcopy(document_value)
        changed["version"] = version
        changed["services"][0]["endpoints"][0][3] = version
        return encode(changed)

    return run


@pytest.fixture
def filled_store(build_text):
    """Returns a store with version 7, confirmed at 100 s."""
    result = store.DocumentStore()
    result.accept_data(
        build_text(7), 100.0, wall_clock_s=WALL_CLOCK_S, confirmed_age_s=0
    )
    return result


def test_empty_store_permits_no_sending():
    # Guards against a new balancer that sends packets without a document.
    empty_store = store.DocumentStore()
    empty_store.confirm(0, 0, 100.0)
    assert (empty_store.version, empty_store.document) == (0, None)
    assert not empty_store.may_send(100.0)
    assert empty_store.get_differences(0) == ()


def test_confirmation_without_a_document_is_ignored(build_text):
    # Guards against a first document from a peer that is used although it is
    # unconfirmed.
    new_store = store.DocumentStore()
    new_store.confirm(0, 0, 100.0)
    new_store.accept_data(build_text(7), 100.0, wall_clock_s=WALL_CLOCK_S)
    assert not new_store.may_send(100.0)


def test_higher_version_is_accepted(filled_store, build_text):
    # Guards against a store that keeps its first document.
    filled_store.accept_data(build_text(9), 101.0, wall_clock_s=WALL_CLOCK_S)
    assert filled_store.version == 9
    assert filled_store.document.services["listening"].endpoints[0].weight == 9


@pytest.mark.parametrize("version", [6, 7])
def test_version_that_is_not_higher_is_rejected(
    filled_store, build_text, version
):
    # Guards against a stale platform or peer that reverts a change.
    before = filled_store.document
    with pytest.raises(exceptions.DocumentError):
        filled_store.accept_data(
            build_text(version),
            101.0,
            wall_clock_s=WALL_CLOCK_S,
            confirmed_age_s=0,
        )
    assert filled_store.document is before
    assert filled_store.rejections == {FaultReason.STALE_VERSION: 1}


def test_faulty_document_leaves_the_current_one(
    filled_store, document_value, encode
):
    # Guards against a faulty document that takes all services down.
    document_value["version"] = 8
    document_value["services"][1]["endpoints"][0][2] = "z"
    document_value["services"][1]["ports"] = []
    with pytest.raises(exceptions.DocumentError):
        filled_store.accept_data(
            encode(document_value), 101.0, wall_clock_s=WALL_CLOCK_S
        )
    assert filled_store.version == 7
    assert filled_store.rejections == {
        FaultReason.UNKNOWN_REFERENCE: 1,
        FaultReason.INVALID_VALUE: 1,
    }


def test_text_with_faults_is_counted(filled_store):
    # Guards against rejections that are not visible to operators.
    for _ in range(2):
        with pytest.raises(exceptions.DocumentError):
            filled_store.accept_data(b"{", 101.0, wall_clock_s=WALL_CLOCK_S)
    assert filled_store.rejections == {FaultReason.SYNTAX: 2}


def test_peer_applies_differences(filled_store, build_text):
    # Guards against a chain of differences that skips or repeats a version.
    peer_store = store.DocumentStore()
    peer_store.accept(filled_store.document, 100.0, wall_clock_s=WALL_CLOCK_S)
    for version in (8, 9, 12):
        filled_store.accept_data(
            build_text(version), 101.0, wall_clock_s=WALL_CLOCK_S
        )
    texts = [
        difference.encode_difference(change)
        for change in filled_store.get_differences(peer_store.version)
    ]
    received = [difference.decode_difference(text) for text in texts]
    peer_store.accept_differences(
        received, 101.0, wall_clock_s=WALL_CLOCK_S, confirmed_age_s=1
    )
    assert peer_store.document == filled_store.document
    assert peer_store.confirmed_age(101.0) == 1


def test_differences_already_applied_are_skipped(filled_store, build_text):
    # Guards against a repeated reply that is counted as a rejection.
    for version in (8, 9):
        filled_store.accept_data(
            build_text(version), 101.0, wall_clock_s=WALL_CLOCK_S
        )
    received = filled_store.get_differences(7)
    filled_store.accept_differences(received, 102.0, wall_clock_s=WALL_CLOCK_S)
    assert filled_store.version == 9
    assert not filled_store.rejections


def test_differences_from_another_version_are_rejected(
    filled_store, build_text
):
    # Guards against a document built from the wrong base version.
    other_store = store.DocumentStore()
    for version in (5, 9):
        other_store.accept_data(
            build_text(version), 100.0, wall_clock_s=WALL_CLOCK_S
        )
    received = other_store.get_differences(5)
    for receiver in (filled_store, store.DocumentStore()):
        before = receiver.version
        with pytest.raises(exceptions.BaseVersionError):
            receiver.accept_differences(
                received, 101.0, wall_clock_s=WALL_CLOCK_S
            )
        assert receiver.version == before


def test_number_of_differences_is_bounded(filled_store, build_text):
    # Guards against memory use that grows with every document.
    newest = 7 + const.MAX_STORED_DIFFERENCES + 1
    for version in range(8, newest + 1):
        filled_store.accept_data(
            build_text(version), 101.0, wall_clock_s=WALL_CLOCK_S
        )
    assert filled_store.get_differences(7) is None
    assert len(filled_store.get_differences(8)) == const.MAX_STORED_DIFFERENCES
    assert filled_store.get_differences(newest) == ()
    assert filled_store.get_differences(newest + 1) == ()


def test_confirmed_age_grows_with_time(filled_store):
    # Guards against an age that stays constant while the platform cannot be
    # reached.
    assert filled_store.confirmed_age(100.0) == 0
    assert filled_store.confirmed_age(130.0) == 30


def test_smallest_confirmed_age_is_kept(filled_store):
    # Guards against an older confirmation of a peer replacing a newer one.
    filled_store.confirm(7, 5, 110.0)
    assert filled_store.confirmed_age(110.0) == 5
    filled_store.confirm(7, 50, 110.0)
    assert filled_store.confirmed_age(110.0) == 5


@pytest.mark.parametrize(
    ("version", "confirmed_age_s"), [(6, 0), (8, 0), (7, -1), (7, math.nan)]
)
def test_stale_or_malformed_confirmations_are_ignored(
    filled_store, version, confirmed_age_s
):
    # Guards against a confirmation of another version, or with a malformed age,
    # that extends the use of the current document.
    filled_store.confirm(version, confirmed_age_s, 200.0)
    assert filled_store.confirmed_age(200.0) == 100


def test_new_document_keeps_the_confirmation(filled_store, build_text):
    # Guards against a new document that stops all sending until the platform
    # confirms it.
    filled_store.accept_data(build_text(8), 110.0, wall_clock_s=WALL_CLOCK_S)
    assert filled_store.confirmed_age(110.0) == 10


def test_sending_stops_after_the_reuse_delay(filled_store):
    # Guards against packets to an address that may belong to another service.
    assert filled_store.may_send(100.0 + DELAY_S)
    assert not filled_store.may_send(100.0 + DELAY_S + 1)
    filled_store.confirm(7, 0, 100.0 + DELAY_S + 1)
    assert filled_store.may_send(100.0 + DELAY_S + 1)


def test_unconfirmed_document_permits_no_sending(build_text):
    # Guards against the use of a document from a peer whose age is unknown.
    new_store = store.DocumentStore()
    new_store.accept_data(build_text(7), 100.0, wall_clock_s=WALL_CLOCK_S)
    assert new_store.version == 7
    assert not new_store.may_send(100.0)


def test_reassigned_address_is_accepted_after_the_reuse_delay(
    filled_store, document_value, encode
):
    # Guards against a balancer that is disconnected for longer than the reuse
    # delay and then rejects every document. Before that, it must reject.
    document_value["version"] = 8
    document_value["services"][0]["endpoints"].pop()
    document_value["services"][0]["ports"][0][2] = 9010
    document_value["services"][1]["endpoints"].append(
        [4, "127.1.0.2", "b", 50, "active", None]
    )
    document_value["services"][1]["ports"][0][2] = 9000
    data = encode(document_value)
    with pytest.raises(exceptions.DocumentError):
        filled_store.accept_data(
            data, 100.0 + DELAY_S, wall_clock_s=WALL_CLOCK_S
        )
    filled_store.accept_data(
        data, 100.0 + DELAY_S + 1, wall_clock_s=WALL_CLOCK_S
    )
    assert filled_store.version == 8


def test_state_dump_has_plain_values(filled_store, build_text):
    # Guards against a state dump that cannot be encoded.
    filled_store.accept_data(build_text(8), 101.0, wall_clock_s=WALL_CLOCK_S)
    with pytest.raises(exceptions.DocumentError):
        filled_store.accept_data(
            build_text(8), 101.0, wall_clock_s=WALL_CLOCK_S
        )
    assert filled_store.dump_state() == {
        "version": 8,
        "accepted": 2,
        "refusals": {"version": 1},
        "confirmed_at_s": 100.0,
        "differences": [[7, 8]],
    }
