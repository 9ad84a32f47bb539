"""Flows on recently changed routes, sent directly to one balancer."""

import asyncio
from collections.abc import Callable
import random

from soak import const
from soak import promises
from standins.echo import callers
from standins.echo import fabric

SERVICE = "mesh"
_HOST = "198.18.0.4"
_FIRST_PORT = 10_000


def make_route(version: int) -> tuple[str, int]:
    """Returns the probe route, which only this configuration version has."""
    return _HOST, _FIRST_PORT + version


class Prober:
    """Opens flows through one balancer on the probe routes of late versions."""

    def __init__(
        self,
        *,
        node: fabric.Node,
        host: str,
        port: int,
        checker: promises.Checker,
        get_version: Callable[[], int],
        is_servable: Callable[[], bool],
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates a prober without opening its socket.

        Args:
            node: The balancer.
            host: Address to bind.
            port: Port to bind.
            checker: Receives the observations.
            get_version: Returns the latest version of the configuration.
            is_servable: Returns whether the service of the probe routes has an
                endpoint that no fault disrupts.
            generator: Source of the routes and times.
            clock: Returns the time in seconds.
        """
        self._balancer = node.packets[0]
        self._checker = checker
        self._get_version = get_version
        self._is_servable = is_servable
        self._generator = generator
        self._callers = callers.Callers(
            domain=node.domain,
            host=host,
            port=port,
            routers=fabric.Fabric(nodes=[node]),
            observer=self,
            generator=generator,
            clock=clock,
        )

    async def async_open(self) -> None:
        """Binds the address."""
        await self._callers.async_open()

    async def async_close(self) -> None:
        """Ends all flows and closes the socket."""
        await self._callers.async_close()

    async def async_run(self) -> None:
        """Opens a flow in each interval."""
        while True:
            interval = const.PROBE_INTERVAL_S
            await asyncio.sleep(interval * self._generator.uniform(0.5, 1.5))
            version = self._get_version() - self._generator.randrange(
                const.PROBED_VERSIONS
            )
            await self._callers.async_send_requests(
                callers.Load(
                    name="probe",
                    kind=callers.RequestKind.IDEMPOTENT,
                    route=make_route(max(1, version)),
                    request_bytes=0,
                    reply_bytes=100,
                    requests_per_flow=1,
                    pause_s=0.0,
                    timeout_s=2.0,
                )
            )

    def record_outcome(self, outcome: callers.Outcome) -> None:
        """Checks a flow that the balancer refused."""
        refused = outcome.ends[-1] is callers.AttemptEnd.REFUSED
        if refused and self._is_servable():
            self._checker.record_refusal(
                outcome.load.route, self._balancer, outcome.begun_at
            )

    def record_reset(self, flow: callers.Flow, sender: str) -> None:
        """Checks a reset that the balancer sent on an open flow."""
        self._checker.record_reset(flow, sender)
