"""Client for the administration interfaces of the stand-ins."""

from typing import Any

import aiohttp

from standins import exceptions
from standins import link


async def async_request(
    address: link.Address, name: str, arguments: dict | None = None
) -> Any:
    """Calls an operation of an administration interface.

    Raises:
        PlanError: The process rejected the request.
        aiohttp.ClientError: The process cannot be reached.
    """
    url = f"http://{address[0]}:{address[1]}/{name}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=arguments or {}) as response,
    ):
        if response.status != 200:
            text = await response.text()
            raise exceptions.PlanError(f"{name}: {response.status} {text}")
        return await response.json()
