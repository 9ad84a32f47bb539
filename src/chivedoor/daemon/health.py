"""Polling of the health endpoints of targets."""

import asyncio
import ipaddress

import aiohttp

from chivedoor import ids
from chivedoor.admission import health as admission_health
from chivedoor.balancer import balancer as balancers
from chivedoor.configuration import document as documents
from chivedoor.daemon import const
from chivedoor.daemon import traffic
from chivedoor.flows import owner as owners

_POLL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    ValueError,
    KeyError,
    TypeError,
)

# A target that does not report its slots counts as busy, since it may be using
# all of them.
_DEFAULT_SLOTS_IN_USE = 1

# A draining target still serves its flows, so it counts as healthy.
_REPORT_BY_STATE = {
    "ready": admission_health.Report.READY,
    "draining": admission_health.Report.READY,
    "cold": admission_health.Report.COLD,
    "failing": admission_health.Report.FAILING,
}


class HealthPoller:
    """Polls the health of each owned target.

    Only the owner of a target polls it.
    """

    def __init__(
        self, *, balancer: balancers.Balancer, clock: traffic.Clock
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None
        self.failures = 0

    async def async_open(self) -> None:
        """Starts polling."""
        timeout = aiohttp.ClientTimeout(total=const.HEALTH_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._async_run())

    async def async_close(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _async_run(self) -> None:
        while True:
            await asyncio.gather(
                *(self._async_poll(n, e) for n, e in self._list_endpoints())
            )
            await asyncio.sleep(const.HEALTH_POLL_INTERVAL_S)

    def _list_endpoints(
        self,
    ) -> list[tuple[ids.EndpointNumber, documents.Endpoint]]:
        context = self._balancer.context
        return [
            (number, context.directory.endpoints_by_number[number][1])
            for number, target in context.targets.items()
            if target.role is owners.Role.OWNER
            and context.directory.endpoints_by_number[number][1].health_port
            is not None
        ]

    async def _async_poll(
        self, number: ids.EndpointNumber, endpoint: documents.Endpoint
    ) -> None:
        host = ipaddress.ip_address(endpoint.address)
        url = f"http://{host}:{endpoint.health_port}/health"
        try:
            async with self._session.get(url) as response:
                values = await response.json()
            report = _REPORT_BY_STATE[values["state"]]
            slots_in_use = int(
                values.get("slots_in_use", _DEFAULT_SLOTS_IN_USE)
            )
        except _POLL_ERRORS:
            self.failures += 1
            report = admission_health.Report.SILENT
            slots_in_use = _DEFAULT_SLOTS_IN_USE
        target = self._balancer.context.targets.get(number)
        if target is not None:
            now = self._clock()
            target.admission.record_report(report, now)
            target.report_load(slots_in_use, now)
