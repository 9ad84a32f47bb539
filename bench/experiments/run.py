"""One run of a case: start, load, faults, and what was seen."""

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
    """The state of callers and targets at a time, in s since the load began.

    Attributes:
        at_s: Time of the sample.
        opened: Flows opened so far, by load.
        ended: Ended flows by load and outcome.
        admitted: Flows that each target admitted so far.
    """

    at_s: float
    opened: dict[str, int]
    ended: dict[str, dict[str, int]]
    admitted: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """Everything that a run showed, before it is judged.

    Attributes:
        document: The last document, as published.
        callers: Statistics of the callers at the end.
        targets: Statistics of the targets at the end.
        baseline: Events of the targets before the load.
        false_refusals: Refused flows that a target ran.
        lost: Unanswered or broken requests that a target ran.
        samples: One for each second.
        figures: Counters of the nodes.
        load_s: Time for which flows were opened.
        watched_s: Time over which the nodes were watched.
        measures: Figures that only this case has.
        events: Times and texts of the faults.
        began: Monotonic time at which the load began, in seconds.
        services: Service of each load that ran all the time.
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
    """What the script of a case works with."""

    def __init__(
        self, *, deployment: deployments.Deployment, document: dict, kind: Any
    ):
        """Creates a run of a deployment that is not open yet.

        `document` has addresses of block 0.
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
        """Whether the naive version runs, which knows no operators."""
        return self.kind is deployments.BalancerKind.DIRECT

    @property
    def elapsed_s(self) -> float:
        """Time since the load began."""
        return time.monotonic() - self._load_started_s

    def record_event(self, text: str) -> None:
        """Records an event of the schedule."""
        self.events.append((round(self.elapsed_s, 2), text))
        print(f"  {self.elapsed_s:6.2f} s  {text}", flush=True)

    async def async_wait_until(self, at_s: float) -> None:
        """Waits until a time of the schedule."""
        await asyncio.sleep(max(0.0, at_s - self.elapsed_s))

    async def async_execute(
        self, loads: list[dict], load_s: float, script: Script
    ) -> Observations:
        """Opens flows while the script runs, and returns what happened.

        Raises:
            UnsettledError: The balancers did not settle.
            ProcessError: A process ended early or is not ready in time.
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
    """Returns the flows that each target admitted, by target."""
    counts: collections.Counter = collections.Counter()
    for target, counted in events.items():
        counts[target] = sum(
            count
            for event, count in counted.items()
            if event.startswith("admitted_") and event != "admitted_draining"
        )
    return dict(counts)
