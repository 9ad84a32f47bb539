"""Tests of `chivedoorctl explain` with the pages of a steerer."""

import dataclasses
import json
import random
import socket

import aiohttp.web
import pytest

from chivedoor import ids
from chivedoor.cli import const
from chivedoor.steering import explanation as explanations
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import view as views
from tests.steering import conftest as steering

ExitCode = const.ExitCode
DOMAIN = ids.DomainId("a")


def make_page(*, short: bool = False) -> str:
    """Returns the page of a balancer with two endpoints, one draining."""
    steerer = steerers.Steerer(
        local=ids.VmId("vm-1"), domain=DOMAIN, generator=random.Random(1)
    )
    configuration = steering.make_configuration()
    configuration.routes[steering.ROUTE].goal_s = 0.1
    steerer.view.apply(configuration, 0.0)
    for number in (1, 2):
        endpoint = steering.make_endpoint(number, draining=number == 2)
        steerer.view.apply(views.ListedEndpoint(endpoint=endpoint), 0.0)
    if short:
        steerer.shortage.set_members(
            shortage.Members(counts={DOMAIN: 1}, position=0)
        )
        for _ in range(20):
            steerer.delay_table.record(
                ids.EndpointId("i-00000001"), delay_s=0.3, goal_s=0.1, load=1.0
            )
        steerer.update_delays(0.0)
    explainer = explanations.Explainer(steerer=steerer, domain=DOMAIN)
    return json.dumps(
        dataclasses.asdict(explainer.explain("100.64.0.4:1056", "r", 0.0)),
        default=lambda state: state.value,
    )


@pytest.fixture
async def async_serve():
    """Serves an answer to each request; returns the address."""
    runners = []

    async def async_start(text: str, status: int = 200):
        requests = []

        async def async_answer(request):
            requests.append(request)
            return aiohttp.web.Response(text=text, status=status)

        application = aiohttp.web.Application()
        application.router.add_get("/explain", async_answer)
        runner = aiohttp.web.AppRunner(application)
        await runner.setup()
        runners.append(runner)
        site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{runner.addresses[0][1]}", requests

    yield async_start
    for runner in runners:
        await runner.cleanup()


async def test_explanation_is_printed_for_operators(
    async_run, async_serve
) -> None:
    """Guards against fields that the page names otherwise."""
    address, requests = await async_serve(make_page())
    result = await async_run(
        "explain", "100.64.0.4:1056", "r", "--address", address
    )
    assert result.code == ExitCode.OK
    assert dict(requests[0].query) == {
        "caller": "100.64.0.4:1056",
        "route": "r",
    }
    assert "100.64.0.4 to r (198.18.0.1:443), priority 0" in result.out
    rows = [line.split() for line in result.out.splitlines()]
    assert [
        "100.0%",
        "i-00000001",
        "a",
        "4",
        "0",
        "0",
        "-",
        "0.250",
        "-",
    ] in rows
    assert [
        "0.0%",
        "i-00000002",
        "a",
        "4",
        "0",
        "0",
        "-",
        "-",
        "-",
        "draining",
    ] in rows


async def test_reasons_of_a_choice_are_printed(async_run, async_serve) -> None:
    """Guards against spare domains that operators miss."""
    page = json.loads(make_page(short=True))
    (choice,) = page["services"][0]["choices"]
    choice |= {"domain": "a", "spare": ["b", "c"]}
    address, _ = await async_serve(json.dumps(page))
    result = await async_run(
        "explain", "100.64.0.4:1056", "r", "--address", address
    )
    assert "to domain a or, with spare capacity, b, c: tokens" in result.out


async def test_shortage_is_printed_for_operators(
    async_run, async_serve
) -> None:
    """Guards against a shortage that operators cannot recognise."""
    address, _ = await async_serve(make_page(short=True))
    result = await async_run("explain", "100.64.0.4", "r", "--address", address)
    assert result.code == ExitCode.OK
    assert ", short of capacity" in result.out
    assert "to all domains: tokens, 0 in flight of 4.0" in result.out


async def test_json_is_printed_on_request(async_run, async_serve) -> None:
    """Guards against scripts that cannot read the output."""
    page = make_page()
    address, _ = await async_serve(page)
    result = await async_run(
        "explain", "100.64.0.4", "r", "--json", "--address", address
    )
    assert json.loads(result.out) == json.loads(page)


@pytest.mark.parametrize(
    ("text", "status", "code"),
    [
        ('{"error": "unknown route \'x\'"}', 404, ExitCode.USAGE),
        ('{"error": "caller \'y\' is malformed"}', 400, ExitCode.USAGE),
        # A balancer of an earlier version has no such page.
        ("", 404, ExitCode.FAULTS),
        ("", 200, ExitCode.FAULTS),
    ],
)
async def test_errors_end_in_one_line(
    async_run, async_serve, text, status, code
) -> None:
    """Guards against a traceback, and against a mistake without its reason."""
    address, _ = await async_serve(text, status)
    result = await async_run("explain", "y", "x", "--address", address)
    assert result.code == code
    assert result.err.count("\n") == 1
    if text:
        assert json.loads(text)["error"] in result.err


async def test_unreachable_balancer_is_named(async_run) -> None:
    """Guards against an exit code of success without an explanation."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    result = await async_run("explain", "100.64.0.4", "r", "--address", address)
    assert result.code == ExitCode.FAULTS
    assert f"cannot reach {address}" in result.err
