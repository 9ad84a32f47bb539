"""Commands to several balancers at once."""

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

# The state of members that no longer run; they are not asked.
_DEAD_STATE = "dead"


class Address(NamedTuple):
    """Where a balancer listens for operators."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as it is given on the command line."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What one balancer answered.

    Attributes:
        address: The balancer that was asked.
        reply: Its reply, or None when it could not be reached.
        error: Why it could not be reached, or None.
    """

    address: Address
    reply: Any = None
    error: base_exceptions.ChivedoorError | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainResult:
    """How far a domain command has spread.

    Attributes:
        elapsed_s: Seconds from sending the command to the last look.
        in_force: Balancers on which it is in force.
        not_in_force: Reachable balancers on which it is not.
        unreached: Balancers that could not be reached, with the reason.
    """

    elapsed_s: float
    in_force: list[Address]
    not_in_force: list[Address]
    unreached: list[Answer]


class Fleet:
    """Balancers that one operators' key opens."""

    def __init__(
        self,
        *,
        key: bytes,
        timeout_s: float = const.COMMAND_TIMEOUT_S,
    ) -> None:
        """Creates a fleet; no connection is opened yet.

        Args:
            key: The operators' key.
            timeout_s: Seconds for one command to one balancer.
        """
        self._key = key
        self._timeout_s = timeout_s
        self._semaphore = asyncio.Semaphore(const.MAX_CONCURRENT_COMMANDS)

    async def async_send(
        self, addresses: Iterable[Address], command: Any
    ) -> list[Answer]:
        """Sends a command to all balancers; answers are in their order."""
        requests = [self._async_send_one(item, command) for item in addresses]
        return list(await asyncio.gather(*requests))

    async def async_discover(
        self, addresses: Sequence[Address]
    ) -> list[Address]:
        """Returns the addresses and those of all members that they know.

        Raises:
            NotReachedError: None of the addresses can be reached.
        """
        answers = await self.async_send(addresses, commands.PeersCommand())
        require_answer(answers)
        # A member that joined just now may not have announced its port yet.
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
        """Takes a failure domain out or in and waits until it is in force.

        The command goes to one balancer and spreads from there. Balancers
        that do not have it after `RESEND_AFTER_S` get it directly.

        Raises:
            RejectedError: The balancer does not know the failure domain.
            NotReachedError: No balancer can be reached.
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
    """Checks that at least one balancer answered.

    Raises:
        NotReachedError: None did; the message tells why for each.
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
