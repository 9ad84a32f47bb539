"""Failure domains that the document or an operator has taken out."""

from collections.abc import Callable

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.control import board as board_module
from chivedoor.daemon import traffic
from chivedoor.registers import entries
from chivedoor.registers import registers as registers_module

_State = registers_module.DomainState


class Domains:
    """Combines operator commands with the `out` flags of the document."""

    def __init__(
        self,
        *,
        local_id: ids.VmId,
        board: board_module.Board,
        clock: traffic.Clock,
        handle_change: Callable[[], None],
    ) -> None:
        self.registers = registers_module.DomainRegisters()
        self._local_id = local_id
        self._board = board
        self._clock = clock
        self._unsubscribes = (
            self.registers.subscribe(lambda _: handle_change()),
            entries.attach_registers(board, self.registers),
        )

    def unload(self) -> None:
        """Unsubscribes from the registers and the board."""
        for unsubscribe in self._unsubscribes:
            unsubscribe()

    def set_state(self, domain: ids.DomainId, state: _State) -> None:
        """Sets a domain's state by operator command and publishes it."""
        register = self.registers.set_state(domain, state, self._local_id)
        entries.publish_register(self._board, register, self._clock())

    def find_out_domains(
        self, document: documents.Document
    ) -> frozenset[ids.DomainId]:
        """Returns the failure domains whose targets receive no packets.

        Operator commands take precedence over the document, since operators
        use them to react at short notice.
        """
        document_out = frozenset(
            d.id for d in document.domains.values() if d.out
        )
        commanded_in = self.registers.in_domains()
        return (document_out - commanded_in) | self.registers.out_domains()
