"""Tests of the metrics and their server."""

import enum
import pathlib
import re
import socket

import aiohttp
import pytest

from chivedoor.edge import metrics as edge_metrics
from chivedoor.telemetry import catalogue
from chivedoor.telemetry import const
from chivedoor.telemetry import exceptions
from chivedoor.telemetry import metrics

Metric = catalogue.Metric
UNITS = {
    "packets",
    "bytes",
    "flows",
    "targets",
    "seconds",
    "documents",
    "members",
    "messages",
    "events",
    "requests",
    "pauses",
    "failures",
    "number",
    "state",
}
ROOT = pathlib.Path(__file__).parents[2]


class Reason(enum.Enum):
    TOO_SHORT = "too_short"
    CONFLICT = "address not retired"
    NUMBERED = 3


@pytest.fixture
async def server():
    values = metrics.Metrics()
    opened = metrics.MetricsServer(
        address="127.0.0.1",
        port=0,
        metrics=values,
        collect=lambda target: target.set_value(Metric.OVERRIDE_FLOWS, 42),
    )
    await opened.async_open()
    yield opened
    await opened.async_close()


async def async_scrape(server):
    async with (
        aiohttp.ClientSession() as client,
        client.get(server.url) as response,
    ):
        assert response.status == 200
        return await response.text()


async def test_scrape_collects_before_responding(server):
    # Guards against serving the values of the previous scrape.
    text = await async_scrape(server)
    assert "chivedoor_override_flows 42" in text
    assert re.search(
        r"^chivedoor_process_cpu_seconds_total [0-9.]+$", text, re.M
    )


async def test_failing_collection_is_counted_and_metrics_are_served():
    # Guards against an error in one metric that hides all of them.
    def collect(values):
        values.set_value(Metric.OVERRIDE_FLOWS, 1)
        raise ZeroDivisionError

    values = metrics.Metrics()
    server = metrics.MetricsServer(
        address="127.0.0.1", port=0, metrics=values, collect=collect
    )
    await server.async_open()
    try:
        text = await async_scrape(server)
        assert "chivedoor_override_flows 1" in text
        assert "chivedoor_scrape_failures_total 1" in text
    finally:
        await server.async_close()


async def test_server_frees_its_port(server):
    # Guards against a server that keeps its port after it was closed.
    port = int(server.url.split(":")[2].split("/")[0])
    with pytest.raises(exceptions.TelemetryStateError):
        await server.async_open()
    await server.async_close()
    await server.async_close()
    with socket.create_server(("127.0.0.1", port)):
        pass
    with pytest.raises(exceptions.TelemetryStateError):
        assert server.url


async def test_used_port_raises_and_leaves_nothing_open():
    # Guards against a daemon that runs without metrics and reports no error.
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        server = metrics.MetricsServer(
            address="127.0.0.1",
            port=port,
            metrics=metrics.Metrics(),
            collect=lambda values: None,
        )
        with pytest.raises(OSError, match="address already in use"):
            await server.async_open()
    await server.async_open()
    await server.async_close()


def test_labels_must_match_the_declaration():
    # Guards against series with undeclared labels.
    values = metrics.Metrics()
    with pytest.raises(exceptions.MetricLabelError):
        values.set_value(Metric.DROPPED_PACKETS, 1)
    with pytest.raises(exceptions.MetricLabelError):
        values.add(Metric.DROPPED_PACKETS, 1, cause="x")
    with pytest.raises(exceptions.MetricLabelError):
        values.set_values(Metric.OVERRIDE_FLOWS, {"x": 1})


def test_series_of_one_metric_are_bounded():
    # Guards against unbounded memory use by label values.
    values = metrics.Metrics()
    for number in range(const.MAX_METRIC_SERIES):
        values.add(Metric.DROPPED_PACKETS, 1, reason=str(number))
    with pytest.raises(exceptions.MetricLabelError):
        values.add(Metric.DROPPED_PACKETS, 1, reason="one more")
    values.add(Metric.DROPPED_PACKETS, 1, reason="0")
    assert values.get_value(Metric.DROPPED_PACKETS, reason="0") == 2


def test_enum_members_become_labels():
    # Guards against label values with spaces and unnamed numeric values.
    values = metrics.Metrics()
    values.set_values(
        Metric.DROPPED_PACKETS,
        {
            Reason.TOO_SHORT: 1,
            Reason.CONFLICT: 2,
            Reason.NUMBERED: 3,
            "plain_text": 4,
        },
    )
    names = ["too-short", "address-not-retired", "numbered", "plain-text"]
    label_values = [
        values.get_value(Metric.DROPPED_PACKETS, reason=name) for name in names
    ]
    assert label_values == [1, 2, 3, 4]


@pytest.mark.parametrize("metric", Metric)
def test_metric_name_ends_with_its_unit(metric):
    # Guards against metric names without a unit.
    name = metric.value.name
    counter = metric.value.kind is catalogue.MetricKind.COUNTER
    assert name.startswith(const.METRIC_PREFIX)
    assert name.endswith("_total") == counter
    assert name.removesuffix("_total").rsplit("_", 1)[1] in UNITS


def test_metric_names_are_unique():
    # Guards against equal declarations, which become a single enum member.
    declared = re.findall(
        r"^    [A-Z_]+ = _(?:counter|gauge)\(",
        pathlib.Path(catalogue.__file__).read_text(),
        re.M,
    )
    assert len({metric.value.name for metric in Metric}) == len(declared)


@pytest.mark.parametrize("metric", Metric)
def test_metric_is_documented(metric):
    # Guards against metrics that are missing from the documentation.
    page = (ROOT / "docs/metrics.md").read_text()
    declared = metric.value
    labels = ", ".join(f"`{label}`" for label in declared.labels) or "none"
    row = f"| `{declared.name}` | {declared.kind.value} | {labels} | "
    assert row + declared.description in page


def test_documentation_names_no_unknown_metric():
    # Guards against alert rules that never fire because of a wrong name.
    known = {metric.value.name for metric in Metric}
    # The edge balancer declares its own metrics.
    known |= {
        f"chivedoor_{counter.value}_total" for counter in edge_metrics.Counter
    }
    known |= {f"chivedoor_{gauge.value}" for gauge in edge_metrics.Gauge}
    known |= {
        f"chivedoor_{timing.value}_seconds" for timing in edge_metrics.Timing
    }
    rules = ROOT / "examples/alerts.rules"
    for path in (rules, *(ROOT / "docs").glob("*.md")):
        named = set(re.findall(r"\bchivedoor_[a-z_]+[a-z]", path.read_text()))
        assert named <= known, path


def test_every_alert_rule_is_complete():
    # Guards against alert rules without instructions for operators.
    text = (ROOT / "examples/alerts.rules").read_text()
    blocks = [
        block
        for block in text.split("\n\n")
        if not block.lstrip().startswith("#")
    ]
    assert len(blocks) >= 8
    for block in blocks:
        keys = [line.split(":")[0] for line in block.strip().splitlines()]
        assert keys == ["alert", "when", "for", "level", "means", "do"], block


def test_alert_rules_refer_to_existing_sections():
    # Guards against alerts that refer to a missing section.
    rules = (ROOT / "examples/alerts.rules").read_text()
    page = (ROOT / "docs/operators.md").read_text()
    titles = re.findall(r'See docs/operators\.md, "([^"]+)"', rules)
    assert len(titles) >= 5
    for title in titles:
        assert f"### {title}\n" in page
