"""Tests of differences between documents."""

import json

import hypothesis
import pytest

from chivedoor.configuration import changes
from chivedoor.configuration import difference
from chivedoor.configuration import document
from chivedoor.configuration import encoding
from chivedoor.configuration import exceptions
from tests.configuration import editing
from tests.configuration import strategies


@pytest.fixture
def document_pair(document_value, encode):
    """Returns a document and a newer one with one changed endpoint."""
    old = document.parse_document(encode(document_value))
    document_value["version"] = 8
    document_value["services"][0]["endpoints"][0][4] = "draining"
    return old, document.parse_document(encode(document_value))


@hypothesis.given(
    old=strategies.documents(version=1), new=strategies.documents(version=2)
)
def test_applied_difference_yields_the_newer_document(old, new):
    # Guards against balancers with different content for one version, depending
    # on whether they received the document or differences.
    change = difference.compare_documents(old, new)
    assert difference.apply_difference(old, change) == new


@hypothesis.given(
    old=strategies.documents(version=1), new=strategies.documents(version=2)
)
def test_encoded_difference_round_trips(old, new):
    # Guards against changes that are lost in the encoding for peers.
    change = difference.compare_documents(old, new)
    encoded = difference.encode_difference(change)
    assert difference.decode_difference(encoded) == change


@hypothesis.given(strategies.documents())
def test_encoded_document_round_trips(original):
    # Guards against an encoding that the strict parser rejects.
    encoded = encoding.format_document(original)
    assert document.parse_document(encoded) == original


@hypothesis.given(
    old=strategies.documents(version=1), new=strategies.documents(version=1)
)
def test_changes_are_listed_exactly_when_documents_differ(old, new):
    # Guards against a change that is not shown to operators.
    assert bool(changes.list_changes(old, new)) == (old != new)
    assert changes.list_changes(old, old) == []


def test_difference_has_only_what_changed(document_pair):
    # Guards against differences whose size depends on the whole document.
    old, new = document_pair
    change = difference.compare_documents(old, new)
    assert list(change.services) == ["listening"]
    assert list(change.policies) == ["streams"]
    assert not change.domains
    assert not change.retired
    assert change.removed == difference.Removals()


def test_changed_policy_applies_to_unchanged_services(document_value, encode):
    # Guards against services that keep the old limits of a changed policy.
    old = document.parse_document(encode(document_value))
    document_value["version"] = 8
    document_value["policies"]["streams"]["slots"] = 2
    new = document.parse_document(encode(document_value))
    change = difference.compare_documents(old, new)
    applied = difference.apply_difference(old, change)
    assert not change.services
    assert applied.services["listening"].policy.slots == 2


def test_difference_from_another_version_is_rejected(document_pair):
    # Guards against a difference applied to a document of another version.
    old, new = document_pair
    change = difference.compare_documents(old, new)
    with pytest.raises(exceptions.BaseVersionError):
        difference.apply_difference(new, change)


def test_all_faults_of_a_difference_are_listed_together(document_pair):
    # Guards against an untyped error for a malformed message from a peer.
    difference_value = json.loads(
        difference.encode_difference(
            difference.compare_documents(*document_pair)
        )
    )
    difference_value["to"] = "8"
    difference_value["services"][0]["endpoints"][0][3] = -1
    difference_value["removed"]["retired"] = [["127.1.0.1"]]
    del difference_value["removed"]["services"]
    with pytest.raises(exceptions.DifferenceFaultsError) as caught:
        difference.decode_difference(json.dumps(difference_value).encode())
    assert editing.format_faults(caught.value.faults) == [
        "to: wrong type",
        "services[0].endpoints[0].weight: out of range",
        "removed.services: missing",
        "removed.retired[0]: invalid value",
    ]


def test_invalid_json_raises_a_typed_error():
    # Guards against an untyped error for a truncated message.
    with pytest.raises(exceptions.DifferenceError):
        difference.decode_difference(b"{")


def test_changes_name_single_values(document_pair):
    # Guards against a list that shows whole sections when one value changed.
    lines = [str(change) for change in changes.list_changes(*document_pair)]
    assert lines == [
        "version: 7 -> 8",
        'services.listening.endpoints.1.state: "active" -> "draining"',
    ]


def test_added_and_removed_services_are_listed(document_value, encode):
    # Guards against a removed service that is listed as changed.
    old = document.parse_document(encode(document_value))
    document_value["services"][1]["id"] = "uploads"
    new = document.parse_document(encode(document_value))
    kinds = [
        (change.path, change.kind) for change in changes.list_changes(old, new)
    ]
    assert kinds == [
        ("services.intake", changes.ChangeKind.REMOVED),
        ("services.uploads", changes.ChangeKind.ADDED),
    ]
