"""Explanations of placements, as edge balancers serve them."""

from collections.abc import Iterator
import http
import json
from typing import Any

import aiohttp

from chivedoor.cli import const
from chivedoor.cli import exceptions
from chivedoor.cli import fleet

_COLUMNS = "  {:>6}  {:<12} {:<10} {:>5} {:>9} {:>9} {:>9} {:>9} {:>7}  {}"
_HEADINGS = (
    "CHANCE",
    "TARGET",
    "DOMAIN",
    "SLOTS",
    "IN FLIGHT",
    "ELSEWHERE",
    "SERVICE",
    "ESTIMATE",
    "TOKENS",
    "STATE",
)


async def async_fetch(
    address: fleet.Address, caller: str, route: str
) -> dict[str, Any]:
    """Returns the explanation of a balancer, as decoded JSON.

    Args:
        address: Address and metrics port of the balancer.
        caller: The caller, as `ADDRESS` or `ADDRESS:PORT`.
        route: The route, as its name or `HOST:PORT`.

    Raises:
        NoExplanationError: The balancer cannot be reached or has no such page.
        UsageError: The route is unknown or the caller malformed.
    """
    url = f"http://{address}{const.EXPLANATION_PATH}"
    timeout = aiohttp.ClientTimeout(total=const.COMMAND_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                url, params={"caller": caller, "route": route}
            ) as response,
        ):
            status, body = response.status, await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise exceptions.NoExplanationError(
            f"cannot reach {address}: {reason}"
        ) from error
    try:
        answer = json.loads(body)
    except ValueError:
        answer = None
    if isinstance(answer, dict) and status == http.HTTPStatus.OK:
        return answer
    if isinstance(answer, dict) and "error" in answer:
        raise exceptions.UsageError(str(answer["error"]))
    raise exceptions.NoExplanationError(
        f"{address} explains no placements: HTTP status {status}"
    )


def format_explanation(explanation: dict[str, Any]) -> str:
    """Formats an explanation for an operator."""
    return "\n".join(_iterate_lines(explanation))


def _iterate_lines(explanation: dict[str, Any]) -> Iterator[str]:
    host, port = explanation["address"]
    goal_s = explanation["goal_s"]
    yield (
        f"{explanation['caller']} to {explanation['route']} ({host}:{port}), "
        f"priority {explanation['priority']}, "
        f"goal {_format_duration(goal_s) if goal_s else 'none'}, "
        f"balancer in domain {explanation['domain']}"
    )
    if explanation["drop"]:
        yield f"no flow is placed at the moment: {explanation['drop']}"
    if explanation["above_share"]:
        yield "the caller asks for more than the others during a shortage"
    yield f"refused: {_format_share(explanation['refusal_probability'])}"
    for service in explanation["services"]:
        yield from _iterate_service_lines(service)


def _iterate_service_lines(service: dict[str, Any]) -> Iterator[str]:
    yield ""
    yield (
        f"service {service['service']}: "
        f"{_format_share(service['probability'])} of the flows, "
        + ("short of capacity" if service["short"] else "not short of capacity")
        + (f", full endpoints: {service['full']}" if service["full"] else "")
    )
    yield from map(_format_choice, service["choices"])
    yield from _iterate_decision_lines(service["decision"])
    yield _COLUMNS.format(*_HEADINGS)
    yield from map(_format_endpoint, service["endpoints"])


def _format_choice(choice: dict[str, Any]) -> str:
    where = f"domain {choice['domain']}" if choice["domain"] else "all domains"
    if choice["spare"]:
        where += f" or, with spare capacity, {', '.join(choice['spare'])}"
    line = (
        f"  {_format_share(choice['probability'])} to {where}: "
        f"{choice['method']}"
    )
    if choice["limit"] is not None:
        line += f", {choice['in_flight']} in flight of {choice['limit']:.1f}"
    if choice["refusal"]:
        line += (
            f", refused {_format_share(choice['refusal_probability'])}: "
            f"{choice['refusal']}"
        )
    if choice["expected_s"] is not None:
        line += f", expected {_format_duration(choice['expected_s'])}"
    return line


def _iterate_decision_lines(decision: dict[str, Any] | None) -> Iterator[str]:
    if decision is None:
        yield "  shares of the domains: not decided by this balancer"
        return
    yield (
        f"  shares of the domains: {decision['reason']}, "
        f"wait {_format_duration(decision['wait_s'])}, "
        f"gain {_format_duration(decision['gain_s'])}, "
        f"decided {decision['age_s']:.1f} s ago"
    )
    for remote in decision["remote"]:
        yield (
            f"    {_format_share(remote['share'])} to {remote['domain']}: "
            f"{remote['reason']}, gain {_format_duration(remote['gain_s'])}"
        )


def _format_endpoint(endpoint: dict[str, Any]) -> str:
    score, expected_s = endpoint["score"], endpoint["expected_s"]
    estimate = _format_duration(expected_s) if score is None else f"{score:.3f}"
    states = [
        endpoint["exclusion"],
        endpoint["suspected"] and "suspected",
        endpoint["full"] and "full",
    ]
    return _COLUMNS.format(
        _format_share(endpoint["probability"]),
        endpoint["id"],
        endpoint["domain"],
        endpoint["slots"],
        endpoint["in_flight"],
        endpoint["in_flight_elsewhere"],
        _format_duration(endpoint["service_s"]),
        estimate,
        "-"
        if endpoint["tokens_left_share"] is None
        else _format_share(endpoint["tokens_left_share"]),
        ", ".join(dict.fromkeys(filter(None, states))),
    ).rstrip()


def _format_share(share: float) -> str:
    # A possible choice must not look like an excluded one.
    return "<0.1%" if 0.0 < share < 0.0005 else f"{100 * share:.1f}%"


def _format_duration(duration_s: float | None) -> str:
    return "-" if duration_s is None else f"{1000 * duration_s:.1f} ms"
