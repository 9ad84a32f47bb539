"""Sends operator commands to the balancers of a deployment."""

import asyncio
from typing import Any

from bench.experiments import const
from bench.experiments import exceptions
from chivedoor import exceptions as chivedoor_exceptions
from chivedoor.control import commands
from chivedoor.control import operators
from standins import deployment as deployments


async def async_send(
    deployment: deployments.Deployment, name: str, command: Any
) -> Any:
    """Sends a command to one balancer and returns its reply.

    Raises:
        RpcError: The balancer is unreachable or rejected the command.
    """
    vm = deployment.vms[name]
    client = operators.OperatorClient(
        address=vm.address,
        port=vm.operator_port,
        key=bytes.fromhex(deployments.OPERATOR_KEY),
    )
    async with client:
        return await client.async_send(command)


async def async_wait_until_settled(
    deployment: deployments.Deployment, limit_s: float = const.SETTLE_TIMEOUT_S
) -> float:
    """Waits until ownership is stable and slots are open.

    Returns:
        The time that it took, in seconds.

    Raises:
        UnsettledError: The deployment did not settle in time.
    """
    loop = asyncio.get_running_loop()
    started_at = stable_since = loop.time()
    previous: dict[str, int] = {}
    while loop.time() - started_at < limit_s:
        owned = await _async_count_owned(deployment)
        endpoints = sum(
            len(service["endpoints"])
            for service in deployment.document["services"]
        )
        if owned != previous or sum(owned.values()) != endpoints:
            previous, stable_since = owned, loop.time()
        elif loop.time() - stable_since > const.STABLE_S:
            return loop.time() - started_at
        await asyncio.sleep(const.POLL_INTERVAL_S)
    raise exceptions.UnsettledError(
        f"ownership is not stable; targets owned: {previous}"
    )


async def async_dump(
    deployment: deployments.Deployment,
) -> dict[str, dict[str, Any]]:
    """Returns the states of all balancers that reply, by name."""

    async def async_dump_one(name: str) -> dict[str, Any] | None:
        try:
            reply = await async_send(deployment, name, commands.DumpCommand())
        except (chivedoor_exceptions.ChivedoorError, OSError):
            return None
        return reply.state

    names = [*deployment.vms]
    states = await asyncio.gather(*map(async_dump_one, names))
    return {
        name: state
        for name, state in zip(names, states, strict=True)
        if state is not None
    }


async def async_wait_until_active(
    deployment: deployments.Deployment, name: str, limit_s: float = 20.0
) -> None:
    """Waits until a balancer reports that it is active.

    Raises:
        TimeoutError: The balancer did not become active in time.
    """
    async with asyncio.timeout(limit_s):
        while True:
            status = await _async_get_status(deployment, name)
            if status is not None and status.state == "ACTIVE":
                return
            await asyncio.sleep(const.POLL_INTERVAL_S)


async def _async_get_status(
    deployment: deployments.Deployment, name: str
) -> commands.StatusReply | None:
    try:
        return await async_send(deployment, name, commands.StatusCommand())
    except (chivedoor_exceptions.ChivedoorError, OSError):
        return None


async def _async_count_owned(
    deployment: deployments.Deployment,
) -> dict[str, int]:
    statuses = await asyncio.gather(
        *(_async_get_status(deployment, name) for name in deployment.vms)
    )
    return {
        status.id: status.targets_owned
        for status in statuses
        if status is not None and status.state == "ACTIVE"
    }
