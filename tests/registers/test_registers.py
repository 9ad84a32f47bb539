"""Tests of the domain registers and their replication."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivedoor.control import board as board_module
from chivedoor.registers import entries
from chivedoor.registers import exceptions
from chivedoor.registers import registers as registers_module

State = registers_module.DomainState

_REGISTERS = strategies.builds(
    registers_module.Register,
    domain=strategies.sampled_from(("a", "b")),
    state=strategies.sampled_from(State),
    counter=strategies.integers(1, 3),
    origin=strategies.sampled_from(("v1", "v2")),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.lists(_REGISTERS, max_size=6), strategies.randoms())
def test_merge_does_not_depend_on_order_or_repetition(commands, rng):
    # Guards against balancers that disagree on which domains are out.
    first = _merge(commands)
    shuffled = [*commands, *commands]
    rng.shuffle(shuffled)
    assert _merge(shuffled) == first
    middle = len(commands) // 2
    left, right = _merge(commands[:middle]), _merge(commands[middle:])
    assert _merge([*right, *left]) == first


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_REGISTERS, _REGISTERS)
def test_out_wins_over_a_concurrent_in(first, second):
    # Guards against packets to a domain that one of two operators took out.
    chosen = registers_module.choose_register(first, second)
    assert chosen.counter == max(first.counter, second.counter)
    if first.counter == second.counter:
        is_out = State.OUT in (first.state, second.state)
        assert (chosen.state is State.OUT) == is_out


def test_new_command_outranks_known_commands():
    # Guards against an `IN` command that has no effect after an `OUT` command.
    registers = registers_module.DomainRegisters()
    registers.set_state("a", State.OUT, "v2")
    assert registers.out_domains() == {"a"}
    register = registers.set_state("a", State.IN, "v1")
    assert register.counter == 2
    assert registers.out_domains() == frozenset()
    assert registers.in_domains() == {"a"}


def test_register_count_is_bounded():
    # Guards against unbounded growth because of mistyped domains.
    registers = registers_module.DomainRegisters(capacity=1)
    registers.set_state("a", State.OUT, "v1")
    with pytest.raises(exceptions.RegistersFullError):
        registers.set_state("b", State.OUT, "v1")
    with pytest.raises(exceptions.RegisterValueError):
        registers.set_state("", State.OUT, "v1")


def test_commands_on_two_balancers_converge_through_the_board():
    # Guards against a board that keeps the entry of the overridden command.
    replicas = [_build_replica(name) for name in ("v1", "v2")]
    for (board, registers), state in zip(replicas, State, strict=True):
        command = registers.set_state("a", state, board.local_id)
        entries.publish_register(board, command, 0.0)
    for (board, _), (other, _) in itertools.permutations(replicas, 2):
        board.merge(other.list_entries(), 0.0)
    assert [r.out_domains() for _, r in replicas] == [{"a"}, {"a"}]
    assert replicas[0][0].digest.root == replicas[1][0].digest.root


def test_equal_registers_of_several_origins_converge():
    # Guards against digests that differ permanently, because each board keeps
    # the entry that it received first.
    published = [
        board_module.Entry(
            topic="domain/a",
            origin=origin,
            incarnation=1,
            counter=1,
            value=["OUT", 3, "v1"],
        )
        for origin in ("v1", "v2")
    ]
    roots = set()
    for order in (published, published[::-1]):
        board, _ = _build_replica("v3")
        board.merge(order, 0.0)
        roots.add(board.digest.root)
    assert len(roots) == 1


@pytest.mark.parametrize(
    "value",
    [None, [], ["OUT", 1], ["GONE", 1, "v1"], ["IN", -1, "v1"], ["IN", 1, 1]],
)
def test_malformed_entries_are_rejected(value):
    # Guards against a faulty peer that aborts the merge with an exception.
    board, registers = _build_replica("v1")
    entry = board_module.Entry(
        topic="domain/a", origin="v2", incarnation=1, counter=1, value=value
    )
    assert board.merge([entry], 0.0) == []
    assert board.counters["rejected"] == 1
    assert registers.list_registers() == ()


def _merge(commands):
    registers = registers_module.DomainRegisters()
    registers.merge(commands)
    return registers.list_registers()


def _build_replica(name):
    board = board_module.Board(local_id=name, incarnation=1)
    registers = registers_module.DomainRegisters()
    entries.attach_registers(board, registers)
    return board, registers
