"""Commands of operators to the balancers of a deployment."""

import asyncio
from typing import Any

from bench.experiments import const
from bench.experiments import exceptions
from chivedoor import exceptions as product_errors
from chivedoor.control import commands
from chivedoor.control import operators
from standins import deployment as deployments


async def async_send(
    deployment: deployments.Deployment, name: str, command: Any
) -> Any:
    """Sends a command to one balancer and returns its reply.

    Raises:
        RpcError: The balancer is not reachable or refused it.
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
    deployment: deployments.Deployment, limit_s: float = const.SETTLE_LIMIT_S
) -> float:
    """Waits until owners are stable and slots open; returns the seconds.

    Raises:
        UnsettledError: This was not so in time.
    """
    loop = asyncio.get_running_loop()
    began = since = loop.time()
    before: dict[str, int] = {}
    while loop.time() - began < limit_s:
        owned = await _async_count_owned(deployment)
        endpoints = sum(
            len(service["endpoints"])
            for service in deployment.document["services"]
        )
        if owned != before or sum(owned.values()) != endpoints:
            before, since = owned, loop.time()
        elif loop.time() - since > const.SETTLED_S:
            return loop.time() - began
        await asyncio.sleep(const.POLL_INTERVAL_S)
    raise exceptions.UnsettledError(f"targets owned: {before}")


async def async_dump(
    deployment: deployments.Deployment,
) -> dict[str, dict[str, Any]]:
    """Returns the state of every balancer that answers, by its name."""

    async def async_dump_one(name: str) -> dict[str, Any] | None:
        try:
            reply = await async_send(deployment, name, commands.DumpCommand())
        except (product_errors.ChivedoorError, OSError):
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
    """Waits until a balancer says that it is active.

    Raises:
        UnsettledError: It is not active in time.
    """
    async with asyncio.timeout(limit_s):
        while True:
            state = await _async_get_state(deployment, name)
            if state is not None and state.state == "ACTIVE":
                return
            await asyncio.sleep(const.POLL_INTERVAL_S)


async def _async_get_state(
    deployment: deployments.Deployment, name: str
) -> commands.StatusReply | None:
    try:
        return await async_send(deployment, name, commands.StatusCommand())
    except (product_errors.ChivedoorError, OSError):
        return None


async def _async_count_owned(
    deployment: deployments.Deployment,
) -> dict[str, int]:
    states = await asyncio.gather(
        *(_async_get_state(deployment, name) for name in deployment.vms)
    )
    return {
        state.id: state.targets_owned
        for state in states
        if state is not None and state.state == "ACTIVE"
    }
