"""Tests of the replicated board."""

import dataclasses
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivedoor.control import board as board_module
from chivedoor.control import exceptions

_ENTRIES = strategies.builds(
    board_module.Entry,
    topic=strategies.sampled_from(("mode/1", "mode/2")),
    origin=strategies.sampled_from(("b", "c")),
    incarnation=strategies.integers(0, 2),
    counter=strategies.integers(0, 2),
    value=strategies.just("x"),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(strategies.lists(_ENTRIES, max_size=8), strategies.randoms())
def test_boards_converge_for_any_order_of_receipt(entries, rng):
    # Guards against boards that differ because datagrams arrived late, in
    # another order or twice.
    first, second = _build_board(), _build_board()
    first.merge(entries, 0.0)
    shuffled = entries * 2
    rng.shuffle(shuffled)
    second.merge(shuffled, 0.0)
    assert set(map(_get_key, first.list_entries())) == set(
        map(_get_key, second.list_entries())
    )
    assert first.digest.root == second.digest.root


def test_merge_returns_only_new_entries():
    # Guards against urgent entries that are forwarded forever.
    board = _build_board()
    entry = _build_entry()
    assert board.merge([entry], 0.0) == [entry]
    assert board.merge([entry], 0.0) == []
    older = dataclasses.replace(entry, counter=0)
    assert board.merge([older], 0.0) == []
    assert board.get_from("mode/1", "b").counter == 1


def test_restarted_origin_loses_the_entries_of_its_earlier_incarnation():
    # Guards against `DIRECT` modes that stay in effect after their owner
    # restarted and lost its flow records.
    board = _build_board()
    board.merge([_build_entry(incarnation=5, counter=9)], 0.0)
    board.set_origin_alive("b", 6, 0.0)
    assert board.get("mode/1") == ()
    assert board.merge([_build_entry(incarnation=5, counter=10)], 0.0) == []
    assert board.merge([_build_entry(incarnation=6)], 0.0)


def test_entries_of_a_dead_origin_are_hidden_and_then_expire():
    # Guards against modes of dead owners, and against their return from a
    # peer that detects the death later.
    board = _build_board()
    entry = _build_entry()
    board.merge([entry], 0.0)
    root = board.digest.root
    board.set_origin_dead("b", 10.0)
    assert board.get("mode/1") == ()
    assert board.get_from("mode/1", "b") is None
    assert board.digest.root == 0
    assert board.merge([_build_entry(counter=2)], 11.0) == []
    board.set_origin_alive("b", 1, 12.0)
    assert board.get("mode/1") == (entry,)
    assert board.digest.root == root
    board.set_origin_dead("b", 20.0)
    assert board.expire(49.9) == []
    assert board.expire(50.0) == ["b"]
    assert len(board) == 0


def test_subscribers_are_notified_of_changes_and_removals():
    # Guards against a subscriber that keeps using a mode after its owner died
    # or restarted.
    board = _build_board()
    calls = []
    unsubscribe = board.subscribe("mode/", lambda *call: calls.append(call))
    entry = _build_entry()
    board.merge([entry, _build_entry(topic="document")], 0.0)
    board.set_origin_dead("b", 0.0)
    board.set_origin_alive("b", 1, 0.0)
    board.set_origin_alive("b", 2, 0.0)
    key = ("mode/1", "b")
    assert calls == [(*key, entry), (*key, None), (*key, entry), (*key, None)]
    unsubscribe()
    board.merge([_build_entry(incarnation=2)], 0.0)
    assert len(calls) == 4


def test_published_counters_increase_and_entries_survive_a_refutation():
    # Guards against peers that ignore the second value of a topic, or the
    # values that are published again with a new incarnation.
    board = _build_board()
    published = []
    board.on_publish(lambda entry, urgent: published.append((entry, urgent)))
    board.publish("mode/1", "DIRECT", False, 0.0)
    board.publish("mode/1", "VIA_OWNER", True, 0.0)
    assert [(e.counter, urgent) for e, urgent in published] == [
        (1, False),
        (2, True),
    ]
    (renewed,) = board.set_incarnation(7, keep_entries=True)
    assert (renewed.incarnation, renewed.value) == (7, "VIA_OWNER")
    assert board.set_incarnation(8, keep_entries=False) == []
    assert board.get("mode/1") == ()


def test_peers_cannot_write_for_the_local_origin():
    # Guards against entries of an earlier incarnation that return from a peer
    # after a restart.
    board = _build_board()
    assert board.merge([_build_entry(origin="a", counter=50)], 0.0) == []


def test_size_limits_raise_specific_errors():
    # Guards against entries that do not fit into any datagram.
    board = board_module.Board(local_id="a", incarnation=1, capacity=1)
    with pytest.raises(exceptions.TopicError):
        board.publish("", 1, False, 0.0)
    with pytest.raises(exceptions.TopicError):
        board.publish("t" * 65, 1, False, 0.0)
    with pytest.raises(exceptions.ValueSizeError):
        board.publish("mode/1", "v" * 513, False, 0.0)
    with pytest.raises(exceptions.ValueSizeError):
        board.publish("mode/1", object(), False, 0.0)
    board.publish("mode/1", 1, False, 0.0)
    board.publish("mode/1", 2, False, 0.0)
    with pytest.raises(exceptions.BoardFullError):
        board.publish("mode/2", 1, False, 0.0)


def test_full_board_counts_rejections_and_still_accepts_registers():
    # Guards against an operator's command that is lost because the board is
    # full of modes.
    board = board_module.Board(
        local_id="a", incarnation=1, capacity=2, merged_capacity=1
    )
    board.register_merge("domain/", lambda first, second: first)
    modes = [_build_entry(topic=f"mode/{n}") for n in range(4)]
    assert board.merge(modes, 0.0) == modes[:2]
    assert board.counters["full"] == 2
    command = _build_entry(topic="domain/z")
    assert board.merge([command], 0.0) == [command]
    assert len(board) == 3
    board.forget_origin("b")
    assert board.merge(modes[2:], 0.0) == modes[2:]


def test_merged_topic_keeps_its_entry_when_the_origin_dies():
    # Guards against a domain command that is lost when the balancer that
    # published it dies.
    def choose(first, second):
        return max(first, second, key=lambda e: (e.value, e.origin))

    entries = [
        _build_entry(topic="domain/z", origin=origin, value=value)
        for origin, value in (("b", 2), ("c", 1), ("d", 2))
    ]
    for order in itertools.permutations(entries):
        board = _build_board()
        board.register_merge("domain/", choose)
        board.merge(order, 0.0)
        board.set_origin_dead("d", 0.0)
        board.expire(100.0)
        assert board.get("domain/z") == (entries[2],)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text()
        | strategies.binary(),
        lambda inner: strategies.lists(inner, max_size=6),
    )
)
def test_malformed_entries_raise_entry_error(fields):
    # Guards against malformed entries that raise an unexpected exception.
    try:
        entry = board_module.decode_entry(fields)
    except exceptions.EntryError:
        return
    _build_board().merge([entry], 0.0)


def _build_board():
    return board_module.Board(local_id="a", incarnation=1)


def _build_entry(**changes):
    fields = {
        "topic": "mode/1",
        "origin": "b",
        "incarnation": 1,
        "counter": 1,
        "value": "DIRECT",
    }
    return board_module.Entry(**(fields | changes))


def _get_key(entry):
    return (entry.topic, entry.origin, entry.precedence)
