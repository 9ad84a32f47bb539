"""Tests for the table of the latest record of each key."""

import hypothesis
from hypothesis import strategies

from chivedoor.feed import const
from chivedoor.feed import records
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
    assert records_table.revision == conftest.make_revision(9)


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


def test_only_the_newest_value_of_a_key_is_reported() -> None:
    """Guards against decoding each of many large configurations."""
    records_table = table.RecordTable()
    changed = records_table.merge(
        conftest.make_batch(
            conftest.make_record("k", b"1", 1),
            conftest.make_record("gone", None, 2),
            conftest.make_record("k", b"2", 3),
            conftest.make_record("gone", b"3", 4),
            revision=4,
        )
    )
    assert [record.value for record in changed] == [b"2", b"3"]


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
    assert records_table.list_since(conftest.make_revision(1)).complete
    assert not records_table.list_since(conftest.make_revision(10)).complete


def list_present(records_table: table.RecordTable) -> set[str]:
    batch = records_table.list_since(records.NO_REVISION)
    return {repr(record) for record in batch.records if record.value}


def test_records_of_a_restored_store_replace_those_of_the_former_era() -> None:
    """Guards against ignoring a restored store because its revisions fell."""
    records_table = table.RecordTable()
    records_table.merge(
        conftest.make_batch(
            conftest.make_record("a", b"1", 8),
            conftest.make_record("b", b"1", 9),
            revision=9,
        )
    )
    restored = conftest.make_batch(
        conftest.make_record("a", b"0", 3, era=2),
        revision=5,
        era=2,
        complete=True,
    )
    changed = records_table.merge(restored)
    assert [(record.key, record.value) for record in changed] == [
        ("a", b"0"),
        ("b", None),
    ]
    written_again = conftest.make_record("b", b"1", 6, era=2)
    assert records_table.merge(
        conftest.make_batch(written_again, revision=6, era=2)
    ) == [written_again]


def test_batch_of_a_former_era_is_ignored() -> None:
    """Guards against a peer that has not heard of a restoration yet."""
    records_table = table.RecordTable()
    current = conftest.make_record("a", b"2", 3, era=2)
    records_table.merge(
        conftest.make_batch(current, revision=3, era=2, complete=True)
    )
    former = conftest.make_batch(
        conftest.make_record("a", b"1", 9),
        conftest.make_record("b", b"1", 8),
        revision=9,
        complete=True,
    )
    assert records_table.merge(former) == []
    assert records_table.revision == conftest.make_revision(3, era=2)


def test_key_that_only_a_subscriber_read_is_removed_in_a_new_era() -> None:
    """Guards against entries that stay after the store has lost them.

    The subscriber had read a key that its reader never heard of.
    """
    reader, subscriber = table.RecordTable(), table.RecordTable()
    subscriber.merge(
        conftest.make_batch(conftest.make_record("k", b"v", 9), revision=9)
    )
    reader.merge(conftest.make_batch(revision=7))
    reader.merge(conftest.make_batch(revision=5, era=2, complete=True))
    changed = subscriber.merge(reader.list_since(subscriber.revision))
    assert [(record.key, record.value) for record in changed] == [("k", None)]


@hypothesis.given(strategies.data())
def test_subscriber_reaches_the_same_state(data) -> None:
    """Guards against incremental batches that leave outdated records."""
    reader, subscriber = table.RecordTable(), table.RecordTable()
    era, revision = 1, 0
    for _ in range(data.draw(strategies.integers(1, 12))):
        if data.draw(strategies.booleans()):
            era += 1
            revision = data.draw(strategies.integers(0, revision))
            reader.merge(
                conftest.make_batch(
                    *(
                        conftest.make_record(key, b"z", 0, era)
                        for key in data.draw(
                            strategies.sets(strategies.sampled_from("abc"))
                        )
                    ),
                    revision=revision,
                    era=era,
                    complete=True,
                )
            )
        items = []
        for _ in range(data.draw(strategies.integers(0, 3))):
            revision += 1
            value = data.draw(strategies.sampled_from([b"x", b"y", None]))
            key = data.draw(strategies.sampled_from("abc"))
            items.append(conftest.make_record(key, value, revision, era))
        reader.merge(conftest.make_batch(*items, revision=revision, era=era))
        if data.draw(strategies.booleans()):
            subscriber.merge(reader.list_since(subscriber.revision))
    subscriber.merge(reader.list_since(subscriber.revision))
    assert list_present(subscriber) == list_present(reader)
