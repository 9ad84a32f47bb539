"""Tests of the queue of piggybacked updates."""

from chivedoor.control import piggyback


def test_each_update_is_sent_the_limited_number_of_times():
    # Guards against updates that are sent forever or removed too early.
    queue = piggyback.PiggybackQueue()
    queue.put("a", b"a")
    taken = [queue.take(10, 3) for _ in range(5)]
    assert taken == [[b"a"], [b"a"], [b"a"], [], []]
    assert len(queue) == 0


def test_new_updates_are_sent_first_and_fit():
    # Guards against an update about a death that waits behind older updates.
    queue = piggyback.PiggybackQueue()
    queue.put("old", b"1234")
    queue.take(4, 9)
    queue.put("new", b"5678")
    assert queue.take(7, 9) == [b"5678"]
    assert queue.take(8, 9) == [b"1234", b"5678"]


def test_newer_update_of_a_key_replaces_the_older():
    # Guards against a suspicion that is still sent after its refutation.
    queue = piggyback.PiggybackQueue()
    queue.put("a", b"suspect")
    queue.take(100, 9)
    queue.put("a", b"alive")
    assert queue.take(100, 9) == [b"alive"]
    queue.discard("a")
    assert queue.take(100, 9) == []


def test_full_queue_drops_the_most_sent_update():
    # Guards against a queue that grows without limit when there are many
    # updates, and against dropping the newest ones.
    queue = piggyback.PiggybackQueue(capacity=2)
    queue.put("a", b"a")
    queue.take(1, 9)
    queue.put("b", b"b")
    queue.put("c", b"c")
    assert queue.take(10, 9) == [b"b", b"c"]
    assert queue.dropped == 1


def test_limit_grows_with_the_logarithm_of_the_fleet():
    # Guards against updates that reach only part of a large fleet.
    assert piggyback.compute_retransmit_limit(12) == 12
    assert piggyback.compute_retransmit_limit(830) == 30
    assert piggyback.compute_retransmit_limit(1) == 3
