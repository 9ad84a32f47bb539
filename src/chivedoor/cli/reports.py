"""Formatting of the output of `chivedoorctl`."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import math
from typing import Any

from chivedoor.cli import fleet
from chivedoor.configuration import difference
from chivedoor.configuration import document as documents
from chivedoor.configuration import encoding
from chivedoor.configuration import fields
from chivedoor.control import commands

_HEADINGS = (
    "ID",
    "DOMAIN",
    "STATE",
    "DOCUMENT",
    "CONFIRMED",
    "FLOWS",
    "TARGETS",
    "OUT",
    "PACKETS",
    "DROPS",
)
_SEPARATOR = "  "
_MINUTE_S = 60
_HOUR_S = 3600


def format_table(answers: Sequence[fleet.Answer]) -> str:
    """Formats a status table with one row per balancer that replied."""
    replies = [answer.reply for answer in answers if answer.reply is not None]
    replies.sort(key=lambda reply: (reply.domain, reply.id))
    rows = [_HEADINGS, *map(_format_row, replies)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        _SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
    return "\n".join(lines)


def format_status_json(answers: Sequence[fleet.Answer]) -> str:
    """Formats a JSON list; balancers that did not reply have an `error`."""
    return _format_json([_describe_answer(answer) for answer in answers])


def format_dump(answers: Sequence[fleet.Answer]) -> str:
    """Formats a JSON object that maps addresses to states."""
    return _format_json(
        {
            str(answer.address): answer.reply.state
            for answer in answers
            if answer.reply is not None
        }
    )


def format_domain_result(
    result: fleet.DomainResult, domain: str, out: bool
) -> str:
    """Formats on how many balancers a domain command is in force."""
    reached = len(result.in_force) + len(result.not_in_force)
    state = "out" if out else "in"
    count = f"{len(result.in_force)} of {reached} reachable balancers"
    return f"{domain} is {state} on {count} after {result.elapsed_s:.1f} s"


def format_age(age_s: float) -> str:
    """Formats a duration in s, min or h; infinity becomes `never`."""
    if math.isinf(age_s):
        return "never"
    if age_s < _MINUTE_S:
        return f"{age_s:.1f} s"
    if age_s < _HOUR_S:
        return f"{age_s / _MINUTE_S:.1f} min"
    return f"{age_s / _HOUR_S:.1f} h"


def list_changes(old: documents.Document, new: documents.Document) -> list[str]:
    """Returns one line for each change between two documents.

    Lines start with `+` for additions, `-` for removals and `~` for changes.
    """
    change = difference.compare_documents(old, new)
    lines = []
    if old.version != new.version:
        lines.append(f"~ version: {old.version} -> {new.version}")
    if old.reuse_delay_s != new.reuse_delay_s:
        lines.append(
            f"~ reuse_delay_s: {old.reuse_delay_s} -> {new.reuse_delay_s}"
        )
    lines += _list_entries("domain", old.domains, new.domains, _describe_domain)
    lines += _list_entries(
        "policy", old.policies, new.policies, encoding.format_policy
    )
    for name in sorted(change.removed.services):
        lines.append(f"- service {name}")
    for name in sorted(change.services):
        former = old.services.get(name)
        lines += _list_service(former, new.services[name])
    lines += _list_retired(old.retired, new.retired)
    return lines


def _format_row(reply: commands.StatusReply) -> tuple[str, ...]:
    return (
        reply.id,
        reply.domain,
        reply.state.lower(),
        str(reply.document_version) if reply.document_version else "none",
        format_age(reply.confirmed_age_s),
        str(reply.flows),
        str(reply.targets_owned),
        ",".join(reply.out_domains) or "-",
        str(reply.packets),
        str(reply.drops),
    )


def _describe_answer(answer: fleet.Answer) -> dict[str, Any]:
    address = {"address": str(answer.address)}
    if answer.reply is None:
        return address | {"error": str(answer.error)}
    return address | dataclasses.asdict(answer.reply)


def _format_json(value: Any) -> str:
    return json.dumps(_convert_to_json_value(value), indent=2, sort_keys=True)


def _convert_to_json_value(value: Any) -> Any:
    """Converts bytes to hexadecimal text and non-finite numbers to None."""
    if isinstance(value, Mapping):
        return {
            key: _convert_to_json_value(item) for key, item in value.items()
        }
    if isinstance(value, list):
        return [_convert_to_json_value(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _list_entries(
    kind: str, old: Mapping[Any, Any], new: Mapping[Any, Any], describe: Any
) -> Iterable[str]:
    for name in sorted(old.keys() - new.keys()):
        yield f"- {kind} {name}"
    for name in sorted(new.keys()):
        if name not in old:
            yield f"+ {kind} {name}: {_format_fields(describe(new[name]))}"
        else:
            yield from _list_fields(
                f"{kind} {name}", describe(old[name]), describe(new[name])
            )


def _list_fields(
    subject: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterable[str]:
    for name in new:
        if old.get(name) != new[name]:
            yield f"~ {subject}: {name}: {old.get(name)} -> {new[name]}"


def _list_service(
    old: documents.Service | None, new: documents.Service
) -> Iterable[str]:
    subject = f"service {new.id}"
    if old is None:
        yield f"+ {subject}: {_format_fields(_describe_service(new))}"
    else:
        yield from _list_fields(
            subject, _describe_service(old), _describe_service(new)
        )
    former = {item.number: item for item in old.endpoints} if old else {}
    current = {item.number: item for item in new.endpoints}
    yield from _list_entries(
        f"{subject} endpoint", former, current, _describe_endpoint
    )


def _list_retired(
    old: Sequence[documents.RetiredAddress],
    new: Sequence[documents.RetiredAddress],
) -> Iterable[str]:
    former = {documents.get_retired_key(entry): entry for entry in old}
    current = {documents.get_retired_key(entry): entry for entry in new}
    for key in sorted(former.keys() | current.keys()):
        subject = f"retired {fields.unpack_address(key[0])} of {key[1]}"
        if key not in current:
            yield f"- {subject}"
        elif key not in former:
            yield f"+ {subject}: until {current[key].until_s}"
        elif former[key] != current[key]:
            times = f"{former[key].until_s} -> {current[key].until_s}"
            yield f"~ {subject}: until {times}"


def _describe_domain(domain: documents.Domain) -> dict[str, Any]:
    return {"region": domain.region, "out": domain.out}


def _describe_service(service: documents.Service) -> dict[str, Any]:
    return {
        "addresses": list(map(fields.unpack_address, service.addresses)),
        "policy": service.policy.id,
        "ports": list(map(encoding.format_port, service.ports)),
    }


def _describe_endpoint(endpoint: documents.Endpoint) -> dict[str, Any]:
    return {
        "address": fields.unpack_address(endpoint.address),
        "domain": endpoint.domain,
        "weight": endpoint.weight,
        "state": endpoint.state.value,
        "health_port": endpoint.health_port,
    }


def _format_fields(values: Mapping[str, Any]) -> str:
    return ", ".join(f"{name} {value}" for name, value in values.items())
