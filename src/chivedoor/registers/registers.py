"""The operators' commands that are in force, by failure domain."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from chivedoor import ids
from chivedoor.registers import const
from chivedoor.registers import exceptions


class DomainState(enum.Enum):
    """Whether traffic may go to the targets of a failure domain."""

    IN = "IN"
    OUT = "OUT"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Register:
    """The last command for one failure domain.

    Attributes:
        domain: The failure domain.
        state: What the operator asked for.
        counter: Rises with each command for the domain.
        origin: The balancer that received the command.
    """

    domain: ids.DomainId
    state: DomainState
    counter: int
    origin: ids.VmId

    @property
    def precedence(self) -> tuple[int, bool, ids.VmId]:
        """Order of the commands: counter, then OUT over IN, then origin."""
        return (self.counter, self.state is DomainState.OUT, self.origin)


ChangeCallback = Callable[[Register], None]


def choose_register(first: Register, second: Register) -> Register:
    """Returns the command that is in force when both were given."""
    return max(first, second, key=lambda register: register.precedence)


class DomainRegisters:
    """Aggregate of one last-writer-wins register for each failure domain.

    Concurrent commands with the same counter resolve to `OUT`, because
    packets to a domain that was taken out are worse than unused capacity.
    """

    def __init__(self, *, capacity: int = const.MAX_DOMAINS):
        self._capacity = capacity
        self._registers: dict[ids.DomainId, Register] = {}
        self._callbacks: list[ChangeCallback] = []

    def subscribe(self, callback: ChangeCallback) -> Callable[[], None]:
        """Calls back with each register that changed.

        Returns:
            A function that ends the subscription.
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def set_state(
        self, domain: ids.DomainId, state: DomainState, origin: ids.VmId
    ) -> Register:
        """Takes an operator's command.

        Returns:
            The new register, which outranks all that are known here.

        Raises:
            RegisterValueError: The domain's id is empty or too long.
            RegistersFullError: The domain is new and there is no room.
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
        """Takes over registers of a peer.

        Returns:
            Those that replaced the register here.

        Raises:
            RegisterValueError: A register is malformed.
            RegistersFullError: A domain is new and there is no room.
        """
        return [r for r in registers if self._merge_register(r)]

    def get(self, domain: ids.DomainId) -> Register | None:
        """Returns the register of a domain, or None without a command."""
        return self._registers.get(domain)

    def list_registers(self) -> tuple[Register, ...]:
        """Returns all registers, sorted by domain."""
        return tuple(self._registers[d] for d in sorted(self._registers))

    def out_domains(self) -> frozenset[ids.DomainId]:
        """Returns the domains that operators took out."""
        return self._list_domains(DomainState.OUT)

    def in_domains(self) -> frozenset[ids.DomainId]:
        """Returns the domains that operators put in explicitly."""
        return self._list_domains(DomainState.IN)

    def dump_state(self) -> dict[str, Any]:
        """Returns plain values for the operators' dump."""
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
                f"there are {self._capacity} registers"
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
    """Checks the bounds of a register.

    Raises:
        RegisterValueError: The domain or the counter is out of bounds.
    """
    if not 0 < len(register.domain.encode()) <= const.MAX_DOMAIN_BYTES:
        raise exceptions.RegisterValueError("the length of a domain is wrong")
    if not 0 <= register.counter < const.COUNTER_LIMIT:
        raise exceptions.RegisterValueError("a counter is out of range")
