"""Measures balancers by their metrics and their CPU time."""

import asyncio
import collections
import re

import aiohttp
import psutil

from bench.experiments import const
from standins import deployment as deployments

_METRIC_LINE = re.compile(r"^(chivedoor_\w+)(?:\{([^}]*)\})? (\S+)$")

_STANDIN_PROCESSES = ("fabric", "targets", "callers")

MetricValues = dict[tuple[str, str], float]


def parse_metrics(text: str) -> MetricValues:
    """Returns metric values by name and labels, such as `reason="cold"`."""
    values = {}
    for line in text.splitlines():
        if matched := _METRIC_LINE.match(line):
            name, labels, value = matched.groups()
            values[(name, labels or "")] = float(value)
    return values


class NodeMetrics:
    """Sums the counters of balancers across their restarts.

    A counter that decreased belongs to a new process, which started at 0.
    """

    def __init__(self, *, deployment: deployments.Deployment):
        """Creates the sums; the first sample is the baseline."""
        self._deployment = deployment
        self._last: dict[str, MetricValues] = {}
        self._cpu: dict[int, float] = {}
        self.counts: dict[str, collections.Counter] = {
            name: collections.Counter() for name in deployment.vms
        }
        self.cpu_s: collections.Counter = collections.Counter()
        self.stand_in_cpu_s: collections.Counter = collections.Counter()

    async def async_sample(self) -> None:
        """Adds the increase since the last sample."""
        for name in _STANDIN_PROCESSES:
            pid = self._deployment.processes[name].pid
            self._add_cpu(self.stand_in_cpu_s, name, pid)
        await asyncio.gather(*map(self._async_sample, self._deployment.vms))

    async def _async_sample(self, name: str) -> None:
        process = self._deployment.processes[name]
        if not process.is_running:
            return
        self._add_cpu(self.cpu_s, name, process.pid)
        values = await self._async_scrape(name)
        if values:
            self.add_scrape(name, values)

    def _add_cpu(self, sums: collections.Counter, name: str, pid: int) -> None:
        try:
            times = psutil.Process(pid).cpu_times()
        except psutil.Error:
            return
        used_s = times.user + times.system
        # A process started after the baseline is counted from its start.
        default = 0.0 if name in sums else used_s
        sums[name] += used_s - self._cpu.get(pid, default)
        self._cpu[pid] = used_s

    async def _async_scrape(self, name: str) -> MetricValues:
        vm = self._deployment.vms[name]
        url = f"http://{vm.address}:{vm.metrics_port}/metrics"
        timeout = aiohttp.ClientTimeout(total=const.SCRAPE_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return parse_metrics(await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}

    def add_scrape(self, name: str, values: MetricValues) -> None:
        """Adds the counter increases of a scrape; the first is the baseline."""
        previous = self._last.get(name)
        self._last[name] = values
        if previous is None:
            return
        for key, value in values.items():
            if key[0].endswith("_total"):
                old = previous.get(key, 0.0)
                self.counts[name][key] += value - (old if value >= old else 0)

    def sum_by_node(self, metric: str, label: str = "") -> dict[str, float]:
        """Returns the sum of a metric per node, over labels that match."""
        return {
            name: sum(
                value
                for (metric_name, labels), value in counts.items()
                if metric_name == metric and label in labels
            )
            for name, counts in self.counts.items()
        }

    def sum_by_label(self, metric: str) -> dict[str, float]:
        """Returns the sum of a metric over all nodes per label value."""
        sums: collections.Counter = collections.Counter()
        for counts in self.counts.values():
            for (metric_name, labels), value in counts.items():
                if metric_name == metric and value:
                    sums[labels.partition('="')[2].rstrip('"')] += value
        return dict(sums)
