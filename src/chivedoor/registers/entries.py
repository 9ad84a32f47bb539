"""Replication of domain registers through the board."""

from collections.abc import Callable
from typing import Any

from chivedoor import ids
from chivedoor.control import board as board_module
from chivedoor.registers import const
from chivedoor.registers import exceptions
from chivedoor.registers import registers as registers_module


def publish_register(
    board: board_module.Board, register: registers_module.Register, now: float
) -> None:
    """Publishes a command received by this balancer as an urgent entry."""
    board.publish(
        _get_topic(register.domain), _build_value(register), True, now
    )


def attach_registers(
    board: board_module.Board, registers: registers_module.DomainRegisters
) -> Callable[[], None]:
    """Merges register entries of the board into the registers.

    The board resolves conflicts between entries by the precedence of their
    registers.

    Returns:
        A function that ends the subscription.
    """
    board.register_merge(const.TOPIC_PREFIX, merge_entries)

    def apply_entry(
        topic: str, origin: ids.VmId, entry: board_module.Entry | None
    ) -> None:
        if entry is not None:
            registers.merge((parse_entry(entry),))

    return board.subscribe(const.TOPIC_PREFIX, apply_entry)


def merge_entries(
    first: board_module.Entry, second: board_module.Entry
) -> board_module.Entry:
    """Returns the entry whose register takes precedence.

    Raises:
        RegisterValueError: An entry is malformed.
    """
    return max(first, second, key=_get_precedence)


def parse_entry(entry: board_module.Entry) -> registers_module.Register:
    """Decodes the register of an entry.

    Raises:
        RegisterValueError: The entry is malformed.
    """
    state, counter, origin = _check_value(entry.value)
    register = registers_module.Register(
        domain=ids.DomainId(entry.topic.removeprefix(const.TOPIC_PREFIX)),
        state=registers_module.DomainState(state),
        counter=counter,
        origin=ids.VmId(origin),
    )
    registers_module.check_register(register)
    return register


def _get_precedence(entry: board_module.Entry) -> tuple[Any, ...]:
    # Entries of different origins may contain equal registers. The tie breakers
    # make the order total, so that all boards keep the same entry.
    tie_breakers = (entry.incarnation, entry.counter, entry.origin)
    return (*parse_entry(entry).precedence, *tie_breakers)


def _get_topic(domain: ids.DomainId) -> str:
    return const.TOPIC_PREFIX + domain


def _build_value(register: registers_module.Register) -> list[Any]:
    return [register.state.value, register.counter, register.origin]


def _check_value(value: Any) -> list[Any]:
    if not isinstance(value, list) or len(value) != 3:
        raise exceptions.RegisterValueError(
            "a register value is not an array of 3 fields"
        )
    state, counter, origin = value
    if state not in ("IN", "OUT"):
        raise exceptions.RegisterValueError("unknown domain state")
    if type(counter) is not int or not isinstance(origin, str):
        raise exceptions.RegisterValueError(
            "a register field has the wrong type"
        )
    return value
