"""The latest operator command for each failure domain."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from chivedoor import ids
from chivedoor.registers import const
from chivedoor.registers import exceptions


class DomainState(enum.Enum):
    """Whether the targets of a failure domain may receive traffic."""

    IN = "IN"
    OUT = "OUT"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Register:
    """The latest command for one failure domain.

    Attributes:
        domain: The failure domain.
        state: The state requested by the operator.
        counter: Increases with each command for the domain.
        origin: The balancer that received the command.
    """

    domain: ids.DomainId
    state: DomainState
    counter: int
    origin: ids.VmId

    @property
    def precedence(self) -> tuple[int, bool, ids.VmId]:
        """Sort key of commands: counter, then `OUT` over `IN`, then origin."""
        return (self.counter, self.state is DomainState.OUT, self.origin)


ChangeCallback = Callable[[Register], None]


def choose_register(first: Register, second: Register) -> Register:
    """Returns the register that takes precedence."""
    return max(first, second, key=lambda register: register.precedence)


class DomainRegisters:
    """Table with one last-writer-wins register per failure domain.

    Concurrent commands with the same counter resolve to `OUT`, because
    sending packets to a domain that was taken out is worse than leaving
    capacity unused.
    """

    def __init__(self, *, capacity: int = const.MAX_DOMAINS):
        self._capacity = capacity
        self._registers: dict[ids.DomainId, Register] = {}
        self._callbacks: list[ChangeCallback] = []

    def subscribe(self, callback: ChangeCallback) -> Callable[[], None]:
        """Registers a callback that is called with each changed register.

        Returns:
            A function that ends the subscription.
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def set_state(
        self, domain: ids.DomainId, state: DomainState, origin: ids.VmId
    ) -> Register:
        """Applies an operator command.

        Returns:
            The new register, which takes precedence over the stored one.

        Raises:
            RegisterValueError: The domain's id is empty or too long.
            RegistersFullError: The domain is new and the table is full.
        """
        existing = self._registers.get(domain)
        register = Register(
            domain=domain,
            state=state,
            counter=existing.counter + 1 if existing else 1,
            origin=origin,
        )
        self.merge((register,))
        return register

    def merge(self, registers: Iterable[Register]) -> list[Register]:
        """Merges registers received from a peer.

        Returns:
            The registers that were added or replaced the stored one.

        Raises:
            RegisterValueError: A register is malformed.
            RegistersFullError: A domain is new and the table is full.
        """
        return [r for r in registers if self._merge_register(r)]

    def get(self, domain: ids.DomainId) -> Register | None:
        """Returns the register of a domain, or None if it has no command."""
        return self._registers.get(domain)

    def list_registers(self) -> tuple[Register, ...]:
        """Returns all registers, sorted by domain."""
        return tuple(self._registers[d] for d in sorted(self._registers))

    def out_domains(self) -> frozenset[ids.DomainId]:
        """Returns the domains that operators took out."""
        return self._list_domains(DomainState.OUT)

    def in_domains(self) -> frozenset[ids.DomainId]:
        """Returns the domains that operators explicitly brought back."""
        return self._list_domains(DomainState.IN)

    def dump_state(self) -> dict[str, Any]:
        """Returns the registers as plain values for the `dump` command."""
        return {
            register.domain: {
                "state": register.state.value,
                "counter": register.counter,
                "origin": register.origin,
            }
            for register in self.list_registers()
        }

    def _merge_register(self, register: Register) -> bool:
        check_register(register)
        existing = self._registers.get(register.domain)
        if existing is None and len(self._registers) >= self._capacity:
            raise exceptions.RegistersFullError(
                f"the maximum of {self._capacity} registers is reached"
            )
        if (
            existing is not None
            and choose_register(existing, register) == existing
        ):
            return False
        self._registers[register.domain] = register
        for callback in tuple(self._callbacks):
            callback(register)
        return True

    def _list_domains(self, state: DomainState) -> frozenset[ids.DomainId]:
        return frozenset(
            domain
            for domain, register in self._registers.items()
            if register.state is state
        )


def check_register(register: Register) -> None:
    """Validates the domain and the counter of a register.

    Raises:
        RegisterValueError: The domain or the counter is out of bounds.
    """
    if not 0 < len(register.domain.encode()) <= const.MAX_DOMAIN_BYTES:
        raise exceptions.RegisterValueError("a domain is empty or too long")
    if not 0 <= register.counter < const.COUNTER_LIMIT:
        raise exceptions.RegisterValueError("a counter is out of range")
