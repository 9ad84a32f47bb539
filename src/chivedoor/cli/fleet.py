"""Sending of operator commands to several balancers concurrently."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import time
from typing import Any
from typing import NamedTuple

from chivedoor import exceptions as base_exceptions
from chivedoor.cli import const
from chivedoor.cli import exceptions
from chivedoor.control import commands
from chivedoor.control import operators
from chivedoor.rpc import exceptions as rpc_exceptions

# Members in this state no longer run, so no command is sent to them.
_DEAD_STATE = "dead"


class Address(NamedTuple):
    """Address of the operator interface of a balancer."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address in the command-line format."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The outcome of a command to one balancer.

    Attributes:
        address: The balancer that the command was sent to.
        reply: Its reply, or None if the command failed.
        error: The reason for the failure, or None.
    """

    address: Address
    reply: Any = None
    error: base_exceptions.ChivedoorError | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainResult:
    """On which balancers a domain command is in force.

    Attributes:
        elapsed_s: Seconds from sending the command to the last status query.
        in_force: Balancers on which the command is in force.
        not_in_force: Reachable balancers on which it is not in force.
        unreached: Balancers that did not reply, with the errors.
    """

    elapsed_s: float
    in_force: list[Address]
    not_in_force: list[Address]
    unreached: list[Answer]


class Fleet:
    """Client for balancers that share an operator key."""

    def __init__(
        self,
        *,
        key: bytes,
        timeout_s: float = const.COMMAND_TIMEOUT_S,
    ) -> None:
        """Creates a client without opening connections.

        Args:
            key: The operator key.
            timeout_s: Timeout of one command to one balancer.
        """
        self._key = key
        self._timeout_s = timeout_s
        self._semaphore = asyncio.Semaphore(const.MAX_CONCURRENT_COMMANDS)

    async def async_send(
        self, addresses: Iterable[Address], command: Any
    ) -> list[Answer]:
        """Sends a command to all addresses; returns answers in their order."""
        requests = [self._async_send_one(item, command) for item in addresses]
        return list(await asyncio.gather(*requests))

    async def async_discover(
        self, addresses: Sequence[Address]
    ) -> list[Address]:
        """Returns the addresses and those of all members known to them.

        Raises:
            NotReachedError: None of the balancers replied.
        """
        answers = await self.async_send(addresses, commands.PeersCommand())
        require_answer(answers)
        # The port is 0 for a member that joined recently and has not yet
        # announced it; the port of the answering balancer is assumed.
        found = [
            Address(peer.address, peer.operator_port or answer.address.port)
            for answer in answers
            if answer.reply is not None
            for peer in answer.reply.peers
            if peer.state.lower() != _DEAD_STATE
        ]
        return list(dict.fromkeys([*addresses, *sorted(set(found))]))

    async def async_set_domain(
        self,
        addresses: Sequence[Address],
        domain: str,
        out: bool,
        wait_s: float,
    ) -> DomainResult:
        """Takes a domain out or brings it back, and waits until it is in force.

        The command is sent to one balancer, which spreads it to the others.
        Balancers on which it is not in force after `RESEND_AFTER_S` receive
        it directly.

        Raises:
            RejectedError: The balancer does not know the failure domain.
            NotReachedError: No balancer replied.
        """
        all_addresses = await self.async_discover(addresses)
        command = _create_domain_command(domain, out)
        started_s = time.monotonic()
        await self._async_send_until_answered(all_addresses, command)
        resent = False
        while True:
            answers = await self.async_send(
                all_addresses, commands.StatusCommand()
            )
            elapsed_s = time.monotonic() - started_s
            result = _build_domain_result(answers, domain, out, elapsed_s)
            if not result.not_in_force or elapsed_s >= wait_s:
                return result
            if not resent and elapsed_s >= const.RESEND_AFTER_S:
                resent = True
                await self.async_send(result.not_in_force, command)
            await asyncio.sleep(const.POLL_INTERVAL_S)

    async def _async_send_until_answered(
        self, addresses: Sequence[Address], command: Any
    ) -> None:
        answers = []
        for address in addresses:
            answer = await self._async_send_one(address, command)
            if answer.reply is not None:
                return
            if isinstance(answer.error, exceptions.RejectedError):
                raise answer.error
            answers.append(answer)
        require_answer(answers)

    async def _async_send_one(self, address: Address, command: Any) -> Answer:
        async with self._semaphore:
            client = operators.OperatorClient(
                address=address.host, port=address.port, key=self._key
            )
            try:
                async with client:
                    reply = await client.async_send(command, self._timeout_s)
            except rpc_exceptions.RequestRefusedError as error:
                return Answer(address=address, error=_convert_refusal(error))
            except rpc_exceptions.RpcError as error:
                return Answer(address=address, error=error)
            return Answer(address=address, reply=reply)


def require_answer(answers: Sequence[Answer]) -> None:
    """Checks that at least one balancer replied.

    Raises:
        NotReachedError: None replied; the message lists the errors.
    """
    if any(answer.reply is not None for answer in answers):
        return
    reasons = [f"{answer.address}: {answer.error}" for answer in answers]
    raise exceptions.NotReachedError("\n".join(reasons))


def _convert_refusal(
    error: rpc_exceptions.RequestRefusedError,
) -> base_exceptions.ChivedoorError:
    """Returns the error to show for a refused command."""
    if error.code is rpc_exceptions.RefusalCode.REJECTED:
        return exceptions.RejectedError(error.detail)
    return error


def _create_domain_command(domain: str, out: bool) -> Any:
    if out:
        return commands.DomainOutCommand(domain=domain)
    return commands.DomainInCommand(domain=domain)


def _build_domain_result(
    answers: Sequence[Answer], domain: str, out: bool, elapsed_s: float
) -> DomainResult:
    reached = [answer for answer in answers if answer.reply is not None]
    in_force = {
        answer.address: (domain in answer.reply.out_domains) == out
        for answer in reached
    }
    return DomainResult(
        elapsed_s=elapsed_s,
        in_force=[address for address, done in in_force.items() if done],
        not_in_force=[
            address for address, done in in_force.items() if not done
        ],
        unreached=[answer for answer in answers if answer.reply is None],
    )
