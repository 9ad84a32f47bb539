"""Handlers of operator commands."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from chivedoor import ids
from chivedoor.control import board as board_module
from chivedoor.control import commands as commands_module
from chivedoor.daemon import collector
from chivedoor.daemon import domains as domains_module
from chivedoor.membership import members as members_module
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
        members: members_module.Members,
        board: board_module.Board,
        domains: domains_module.Domains,
        collect_status: Callable[[], collector.BalancerStatus],
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
            commands_module.StatusCommand: self._async_status,
            commands_module.DumpCommand: self._async_dump,
            commands_module.DomainOutCommand: self._async_take_out,
            commands_module.DomainInCommand: self._async_bring_in,
            commands_module.PeersCommand: self._async_list_peers,
        }

    async def _async_status(
        self, command: commands_module.StatusCommand
    ) -> commands_module.StatusReply:
        del command
        status = self._collect_status()
        local = self._members.local
        return commands_module.StatusReply(
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
        self, command: commands_module.DumpCommand
    ) -> commands_module.DumpReply:
        del command
        return commands_module.DumpReply(state=self._dump_state())

    async def _async_take_out(
        self, command: commands_module.DomainOutCommand
    ) -> commands_module.DomainOutReply:
        is_out = self._set_domain(command.domain, _State.OUT)
        return commands_module.DomainOutReply(domain=command.domain, out=is_out)

    async def _async_bring_in(
        self, command: commands_module.DomainInCommand
    ) -> commands_module.DomainInReply:
        is_out = self._set_domain(command.domain, _State.IN)
        return commands_module.DomainInReply(domain=command.domain, out=is_out)

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
        self, command: commands_module.PeersCommand
    ) -> commands_module.PeersReply:
        del command
        return commands_module.PeersReply(
            peers=[
                commands_module.PeerRecord(
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
