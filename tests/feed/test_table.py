"""Tests for the table of the latest record of each key."""

import hypothesis
from hypothesis import strategies

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import table
from tests.feed import conftest


def test_older_record_is_ignored() -> None:
    """Guards against a delayed response that restores an old value."""
    records_table = table.RecordTable()
    records_table.merge(
        conftest.make_batch(conftest.make_record("k", b"new", 9), revision=9)
    )
    changed = records_table.merge(
        conftest.make_batch(conftest.make_record("k", b"old", 5), revision=5)
    )
    assert changed == []
    assert records_table.revision == 9


def test_removed_key_does_not_return_with_an_old_batch() -> None:
    """Guards against an endpoint that is restored after its removal."""
    records_table = table.RecordTable()
    entry = conftest.make_record("k", b"v", 3)
    records_table.merge(conftest.make_batch(entry, revision=3))
    records_table.merge(
        conftest.make_batch(conftest.make_record("k", None, 6), revision=6)
    )
    stale = conftest.make_batch(entry, revision=4, complete=True)
    assert records_table.merge(stale) == []


def test_key_missing_from_a_complete_batch_is_removed() -> None:
    """Guards against entries whose removal was lost with the history."""
    records_table = table.RecordTable()
    entry = conftest.make_record("k", b"v", 3)
    records_table.merge(conftest.make_batch(entry, revision=3))
    changed = records_table.merge(
        conftest.make_batch(revision=7, complete=True)
    )
    assert [(record.key, record.value) for record in changed] == [("k", None)]


def test_old_complete_batch_does_not_remove_newer_keys() -> None:
    """Guards against a slow full read that removes newer records."""
    records_table = table.RecordTable()
    entry = conftest.make_record("k", b"v", 8)
    records_table.merge(conftest.make_batch(entry, revision=8))
    old = conftest.make_batch(revision=7, complete=True)
    assert records_table.merge(old) == []


def test_unchanged_value_is_not_reported() -> None:
    """Guards against a change report for each write of an entry."""
    records_table = table.RecordTable()
    for revision in (1, 2):
        changed = records_table.merge(
            conftest.make_batch(
                conftest.make_record("k", b"v", revision), revision=revision
            )
        )
    assert changed == []


def test_subscriber_behind_dropped_removals_gets_complete_batch() -> None:
    """Guards against removals that a subscriber never receives."""
    records_table = table.RecordTable()
    for number in range(const.MAX_REMOVALS + 1):
        revision = 2 * number + 1
        key = f"k{number}"
        records_table.merge(
            conftest.make_batch(
                conftest.make_record(key, b"v", revision),
                conftest.make_record(key, None, revision + 1),
                revision=revision + 1,
            )
        )
    assert records_table.list_since(ids.Revision(1)).complete
    assert not records_table.list_since(ids.Revision(10)).complete


@hypothesis.given(strategies.data())
def test_subscriber_reaches_the_same_state(data) -> None:
    """Guards against incremental batches that leave outdated records."""
    reader, subscriber = table.RecordTable(), table.RecordTable()
    revision = 0
    for _ in range(data.draw(strategies.integers(1, 12))):
        items = []
        for _ in range(data.draw(strategies.integers(0, 3))):
            revision += 1
            value = data.draw(strategies.sampled_from([b"x", b"y", None]))
            key = data.draw(strategies.sampled_from("abc"))
            items.append(conftest.make_record(key, value, revision))
        reader.merge(conftest.make_batch(*items, revision=revision))
        if data.draw(strategies.booleans()):
            subscriber.merge(reader.list_since(subscriber.revision))
    subscriber.merge(reader.list_since(subscriber.revision))
    assert set(map(repr, subscriber.list_since(ids.Revision(0)).records)) == (
        set(map(repr, reader.list_since(ids.Revision(0)).records))
    )
