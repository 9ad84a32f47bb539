"""Runs a case: starts the deployment, applies load and faults, observes."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from bench.experiments import const
from bench.experiments import nodes
from bench.experiments import operators
from standins import deployment as deployments


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """State of callers and targets at one time.

    Attributes:
        at_s: Time since the start of the load, in seconds.
        opened: Flows opened so far, by load.
        ended: Flows ended so far, by load and outcome.
        admitted: Flows admitted so far, by target.
    """

    at_s: float
    opened: dict[str, int]
    ended: dict[str, dict[str, int]]
    admitted: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """Raw observations of a run.

    Attributes:
        document: The document published last.
        callers: Statistics of the callers at the end.
        targets: Statistics of the targets at the end.
        baseline: Events of the targets before the load.
        false_refusals: Refused flows that a target ran anyway.
        lost: Unanswered or broken requests that a target ran.
        samples: One sample per second.
        node_metrics: Counters of the balancers.
        load_s: Time during which flows were opened.
        observed_s: Time over which the balancers were observed.
        measures: Values that are specific to the case.
        events: Times and descriptions of the faults.
        load_started_s: Monotonic time of the start of the load, in seconds.
        services: Service of each load that ran during the whole case.
    """

    document: dict
    callers: dict
    targets: dict
    baseline: dict
    false_refusals: dict
    lost: dict
    samples: list[Sample]
    node_metrics: nodes.NodeMetrics
    load_s: float
    observed_s: float
    measures: dict[str, float]
    events: list[tuple[float, str]]
    load_started_s: float
    services: dict[str, str]


Script = Callable[["Run"], Awaitable[None]]


class Run:
    """A running case, as its script sees it."""

    def __init__(
        self, *, deployment: deployments.Deployment, document: dict, kind: Any
    ):
        """Creates a run of a deployment that is not open yet.

        The addresses in `document` belong to address block 0.
        """
        self.deployment = deployment
        self.document = document
        self.kind = kind
        self.events: list[tuple[float, str]] = []
        self.measures: dict[str, float] = {}
        self.samples: list[Sample] = []
        self.dumps: dict[str, dict] = {}
        self._node_metrics = nodes.NodeMetrics(deployment=deployment)
        self._load_started_s = 0.0

    @property
    def is_naive(self) -> bool:
        """Whether the naive balancer runs, which has no operator interface."""
        return self.kind is deployments.BalancerKind.DIRECT

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the load."""
        return time.monotonic() - self._load_started_s

    def record_event(self, text: str) -> None:
        """Records and prints an event."""
        self.events.append((round(self.elapsed_s, 2), text))
        print(f"  {self.elapsed_s:6.2f} s  {text}", flush=True)

    async def async_wait_until(self, at_s: float) -> None:
        """Waits until a time relative to the start of the load."""
        await asyncio.sleep(max(0.0, at_s - self.elapsed_s))

    async def async_execute(
        self, loads: list[dict], load_s: float, script: Script
    ) -> Observations:
        """Opens flows while the script runs and returns the observations.

        Raises:
            UnsettledError: The balancers did not settle in time.
            ProcessError: A process exited early or was not ready in time.
        """
        deployment = self.deployment
        await deployment.async_open()
        await self._async_settle()
        baseline = await deployment.async_ask_targets("statistics")
        await self._node_metrics.async_sample()
        self._load_started_s = time.monotonic()
        sampler = asyncio.create_task(self._async_sample_forever())
        try:
            await deployment.async_ask_callers("start", loads=loads)
            await script(self)
            await self.async_wait_until(load_s)
            if not self.is_naive:
                self.dumps = await operators.async_dump(deployment)
            await deployment.async_ask_callers("stop")
            load_s = self.elapsed_s
            await self._async_wait_for_flows()
        finally:
            sampler.cancel()
            await asyncio.gather(sampler, return_exceptions=True)
        await self._node_metrics.async_sample()
        services = {load["name"]: load["service"] for load in loads}
        return await self._async_collect(
            baseline, load_s, self.elapsed_s, services
        )

    async def _async_settle(self) -> None:
        if self.is_naive:
            await asyncio.sleep(const.NAIVE_SETTLE_S)
            return
        settled_s = await operators.async_wait_until_settled(self.deployment)
        print(f"  settled after {settled_s:.1f} s", flush=True)

    async def _async_wait_for_flows(self) -> None:
        end = time.monotonic() + const.FLOW_END_TIMEOUT_S
        while time.monotonic() < end:
            if not (await self.deployment.async_ask_callers("open"))["open"]:
                return
            await asyncio.sleep(const.POLL_INTERVAL_S)

    async def _async_sample_forever(self) -> None:
        while True:
            await self._async_sample()
            next_s = (self.elapsed_s // const.SAMPLE_INTERVAL_S + 1) * (
                const.SAMPLE_INTERVAL_S
            )
            await self.async_wait_until(next_s)

    async def _async_sample(self) -> None:
        callers, targets, _ = await asyncio.gather(
            self.deployment.async_ask_callers("open"),
            self.deployment.async_ask_targets("statistics"),
            self._node_metrics.async_sample(),
        )
        self.samples.append(
            Sample(
                at_s=self.elapsed_s,
                opened=callers["opened"],
                ended=callers["outcomes"],
                admitted=count_admitted(targets["events"]),
            )
        )

    async def _async_collect(
        self,
        baseline: dict,
        load_s: float,
        observed_s: float,
        services: dict[str, str],
    ) -> Observations:
        deployment = self.deployment
        callers = await deployment.async_ask_callers("statistics")
        unanswered = [
            failure["flow"]
            for failure in callers["failures"]
            if failure["outcome"] in ("unanswered", "timed_out", "incomplete")
        ]
        return Observations(
            document=deployment.document,
            callers=callers,
            targets=await deployment.async_ask_targets("statistics"),
            baseline=baseline["events"],
            false_refusals=await deployment.async_ask_targets(
                "runs", flows=callers["refused"]
            ),
            lost=await deployment.async_ask_targets("runs", flows=unanswered),
            samples=self.samples,
            node_metrics=self._node_metrics,
            load_s=load_s,
            observed_s=observed_s,
            measures=self.measures,
            events=self.events,
            load_started_s=self._load_started_s,
            services=services,
        )


def count_admitted(events: dict[str, dict[str, int]]) -> dict[str, int]:
    """Returns the number of admitted flows by target."""
    counts: collections.Counter = collections.Counter()
    for target, counted in events.items():
        counts[target] = sum(
            count
            for event, count in counted.items()
            if event.startswith("admitted_") and event != "admitted_draining"
        )
    return dict(counts)
