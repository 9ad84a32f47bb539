"""Tests of the list of known failures."""

import pytest

from tests import known_red

_ENTRY = """\
test: tests/a.py::test_b
command: script/test tests/a.py
seed: 1
seen: AssertionError: 3 flows broken
issue: 4
"""


def test_entries_are_parsed():
    # Guards against entries that are ignored by the test run.
    first, second = known_red.parse_entries(f"{_ENTRY}\n{_ENTRY}")
    assert first == second
    assert first.test == "tests/a.py::test_b"
    assert first.seen == "AssertionError: 3 flows broken"


def test_entry_without_an_issue_is_rejected():
    # Guards against listed failures without an issue to fix them.
    with pytest.raises(known_red.KnownRedError):
        known_red.parse_entries(_ENTRY.replace("issue: 4\n", ""))


def test_repository_entries_are_complete():
    # Guards against a malformed list that excuses any failure.
    known_red.load_entries()
