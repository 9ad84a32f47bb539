"""Tests of the anti-entropy between two tables."""

import cbor2
import pytest

from chivedoor.control import antientropy
from chivedoor.control import const
from chivedoor.control import datagrams
from chivedoor.control import digest as digest_module
from chivedoor.control import exceptions

_AVAILABLE_BYTES = 1000
Kind = datagrams.Kind


class Table:
    """Versioned records with their digest and synchronizer."""

    def __init__(self, versions, *, capacity=const.MAX_SYNC_QUEUE):
        self.versions = {}
        self.digest = digest_module.Digest()
        self.synchronizer = antientropy.Synchronizer(
            digest=self.digest,
            load_record=self.load_record,
            capacity=capacity,
        )
        for key, version in versions.items():
            self.put(key, version)

    def put(self, key, version):
        if version <= self.versions.get(key, -1):
            return
        self.versions[key] = version
        encoded = self.load_record(key).encoded
        self.digest.put(
            digest_module.compute_hash(key.encode()),
            key,
            digest_module.compute_hash(encoded),
        )

    def load_record(self, key):
        text = f"{key}={self.versions[key]}"
        return antientropy.Record(is_member=False, encoded=text.encode())

    def send_all(self, peer, sent):
        while batch := self.synchronizer.take_batch(_AVAILABLE_BYTES):
            sent.append(batch)
            _HANDLERS[batch.kind](peer, batch)


def _handle_records(table, batch):
    for record in batch.records:
        key, version = record.encoded.decode().split("=")
        table.put(key, int(version))


_HANDLERS = {
    Kind.SUMMARY: lambda t, b: t.synchronizer.handle_summary("x", b.extra),
    Kind.WANT: lambda t, b: t.synchronizer.handle_want("x", b.extra),
    Kind.RECORDS: _handle_records,
}


def test_one_round_repairs_both_tables():
    # Guards against a round that repairs only one of the two tables, or that
    # repairs missing records but not those with a different version.
    first = Table({"a": 1, "b": 2, "c": 1, "d": 1})
    second = Table({"a": 1, "b": 1, "c": 2, "e": 1})
    sent = _exchange(first, second)
    assert first.versions == second.versions
    assert first.versions == {"a": 1, "b": 2, "c": 2, "d": 1, "e": 1}
    assert first.digest.root == second.digest.root
    assert "a=1" not in _list_sent(sent)


def test_equal_buckets_are_not_sent():
    # Guards against a repair whose traffic grows with the size of the table.
    common = {f"k{n}": 1 for n in range(2000)}
    first, second = Table(common), Table(common)
    second.put("k7", 2)
    sent = _exchange(first, second)
    assert first.versions == second.versions
    assert len(sent) <= 4
    assert set(_list_sent(sent)) <= {"k7=1", "k7=2"}


def test_summaries_of_nearly_empty_buckets_fit():
    # Guards against ranges that are added to a datagram that is full.
    first = Table({f"k{n}": 1 for n in range(300)})
    second = Table({f"k{n}": 2 for n in range(60)})
    sent = _exchange(first, second)
    sizes = [len(cbor2.dumps(b.extra)) for b in sent if b.kind is Kind.SUMMARY]
    assert len(sizes) > 1
    assert max(sizes) <= _AVAILABLE_BYTES + 8
    assert first.versions == second.versions


def test_empty_table_receives_records_without_a_summary():
    # Guards against sending a useless summary of the whole table to a new
    # member, which has no records to compare it with.
    first, second = Table({}), Table({f"k{n}": 1 for n in range(500)})
    sent = _exchange(first, second)
    assert first.versions == second.versions
    assert {batch.kind for batch in sent} == {Kind.RECORDS}


def test_bucket_that_exceeds_a_datagram_is_split():
    # Guards against records after the first part of a large bucket that are
    # treated as missing or are never compared.
    size = 8000
    first = Table({f"k{n}": 1 for n in range(size)})
    second = Table({f"k{n}": 1 + (n % 50 == 0) for n in range(size)})
    sent = _exchange(first, second)
    assert first.versions == second.versions
    sizes = [len(cbor2.dumps(b.extra)) for b in sent if b.kind is Kind.SUMMARY]
    assert max(sizes) <= _AVAILABLE_BYTES + 8
    # Only the records that differ within a range are sent.
    assert len(_list_sent(sent)) <= 2 * 2 * size // 50


def test_start_waits_for_a_quiet_period_up_to_a_limit():
    # Guards against repairs of updates that are still in transit, and against
    # a table that is never repaired because it keeps changing.
    table = Table({"a": 1})
    synchronizer = table.synchronizer
    assert not synchronizer.try_start(table.digest.root, 0.0)
    synchronizer.record_change(10.0)
    assert synchronizer.try_start(0, 10.0)
    synchronizer.record_change(13.0)
    assert not synchronizer.try_start(0, 13.9)
    assert synchronizer.try_start(0, 14.0)
    assert not synchronizer.try_start(0, 15.9)
    for now in range(16, 29):
        synchronizer.record_change(float(now))
        assert not synchronizer.try_start(0, float(now))
    synchronizer.record_change(29.0)
    assert synchronizer.try_start(0, 29.0)


def test_batches_alternate_between_peers_and_the_queue_is_bounded():
    # Guards against a new member that delays the repair of all others, and
    # against requests of peers that grow the queue without limit.
    table = Table({f"k{n}": 1 for n in range(400)}, capacity=500)
    sums = digest_module.Digest().pack_sums()
    table.synchronizer.handle_sums("x", sums)
    table.synchronizer.handle_sums("y", sums)
    assert len(table.synchronizer) == 500
    assert table.synchronizer.counters["full"] == 300
    recipients = [table.synchronizer.take_batch(50).recipient for _ in range(4)]
    assert recipients == ["x", "y", "x", "y"]
    table.synchronizer.forget("x")
    assert table.synchronizer.take_batch(_AVAILABLE_BYTES).recipient == "y"
    table.synchronizer.clear()
    assert table.synchronizer.take_batch(_AVAILABLE_BYTES) is None


@pytest.mark.parametrize(
    ("method", "content"),
    [
        ("handle_sums", None),
        ("handle_sums", b"short"),
        ("handle_summary", b""),
        ("handle_summary", [[1, 2]]),
        ("handle_summary", [[-1, 2, b""]]),
        ("handle_summary", [[0, 1 << 64, b""]]),
        ("handle_summary", [[0, 1, b"odd"]]),
        ("handle_want", None),
        ("handle_want", b"odd"),
    ],
)
def test_malformed_content_raises_message_error(method, content):
    # Guards against malformed content that raises an unexpected exception.
    with pytest.raises(exceptions.MessageError):
        getattr(Table({"a": 1}).synchronizer, method)("x", content)


def _exchange(first, second):
    """Sends the sums of `first` to `second`, then runs both until done."""
    sent = []
    second.synchronizer.handle_sums("x", first.digest.pack_sums())
    while len(first.synchronizer) or len(second.synchronizer):
        second.send_all(first, sent)
        first.send_all(second, sent)
    return sent


def _list_sent(batches):
    return [
        record.encoded.decode() for batch in batches for record in batch.records
    ]
