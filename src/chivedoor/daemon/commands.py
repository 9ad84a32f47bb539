"""Handlers of operator commands."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from chivedoor import ids
from chivedoor.control import board as boards
from chivedoor.control import commands as messages
from chivedoor.daemon import domains as domains_module
from chivedoor.daemon import metrics
from chivedoor.membership import members as memberships
from chivedoor.registers import registers as registers_module
from chivedoor.rpc import exceptions as rpc_errors
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logs_module

PORT_TOPIC = "operator-port"

_State = registers_module.DomainState


class Commands:
    """Implements the commands of the operator interface."""

    def __init__(
        self,
        *,
        members: memberships.Members,
        board: boards.Board,
        domains: domains_module.Domains,
        collect_status: Callable[[], metrics.BalancerStatus],
        dump_state: Callable[[], dict[str, Any]],
        list_domains: Callable[[], frozenset[ids.DomainId]],
        logs: logs_module.Logs,
    ) -> None:
        self._members = members
        self._board = board
        self._domains = domains
        self._collect_status = collect_status
        self._dump_state = dump_state
        self._list_domains = list_domains
        self._logs = logs

    def list_handlers(self) -> Mapping[type, Callable[..., Any]]:
        """Returns the handlers by command type."""
        return {
            messages.StatusCommand: self._async_status,
            messages.DumpCommand: self._async_dump,
            messages.DomainOutCommand: self._async_take_out,
            messages.DomainInCommand: self._async_bring_in,
            messages.PeersCommand: self._async_list_peers,
        }

    async def _async_status(
        self, command: messages.StatusCommand
    ) -> messages.StatusReply:
        del command
        status = self._collect_status()
        local = self._members.local
        return messages.StatusReply(
            id=local.id,
            domain=local.domain,
            state=local.state.name,
            document_version=status.document_version,
            confirmed_age_s=status.confirmed_age_s,
            flows=status.flows,
            targets_owned=status.targets_owned,
            out_domains=sorted(status.out_domains),
            packets=status.packets,
            drops=status.drops,
        )

    async def _async_dump(
        self, command: messages.DumpCommand
    ) -> messages.DumpReply:
        del command
        return messages.DumpReply(state=self._dump_state())

    async def _async_take_out(
        self, command: messages.DomainOutCommand
    ) -> messages.DomainOutReply:
        is_out = self._set_domain(command.domain, _State.OUT)
        return messages.DomainOutReply(domain=command.domain, out=is_out)

    async def _async_bring_in(
        self, command: messages.DomainInCommand
    ) -> messages.DomainInReply:
        is_out = self._set_domain(command.domain, _State.IN)
        return messages.DomainInReply(domain=command.domain, out=is_out)

    def _set_domain(self, name: str, state: _State) -> bool:
        domain = ids.DomainId(name)
        if domain not in self._list_domains():
            raise rpc_errors.RequestRefusedError(
                code=rpc_errors.RefusalCode.REJECTED,
                detail=f"no failure domain {name!r} in the document",
            )
        self._domains.set_state(domain, state)
        self._logs.write_event(
            events.OperatorCommand(
                command=f"domain-{state.value.lower()}", argument=name
            )
        )
        return domain in self._domains.registers.out_domains()

    async def _async_list_peers(
        self, command: messages.PeersCommand
    ) -> messages.PeersReply:
        del command
        return messages.PeersReply(
            peers=[
                messages.PeerRecord(
                    id=member.id,
                    domain=member.domain,
                    state=member.state.name,
                    address=member.address,
                    operator_port=self._find_operator_port(member.id),
                )
                for member in self._members.list_members()
            ]
        )

    def _find_operator_port(self, member_id: ids.VmId) -> int:
        entry = self._board.get_from(PORT_TOPIC, member_id)
        return 0 if entry is None else entry.value
