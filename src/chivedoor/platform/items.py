"""Decodes records of the platform's store into changes of the view.

Other writers also put entries under the endpoints' prefix. An invalid value is
reported and changes nothing else, except that an endpoint whose own entry is
invalid gets no new flows. Endpoints write all fields of their entry, so one
that lacks a field is invalid: a default could make a draining or cold endpoint
look ready and warm.
"""

from collections.abc import Mapping
import ipaddress
import json
import re
from typing import Any

from chivedoor import ids
from chivedoor.feed import records
from chivedoor.platform import const
from chivedoor.platform import packets
from chivedoor.steering import segment as segments
from chivedoor.steering import view as views

_ENDPOINT_PREFIX = const.FEED_PREFIXES[records.Feed.ENDPOINTS]
_EVACUATION_PREFIX = "op/evacuate/"
_CONFIGURATION_KEY = "op/config"
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_MAX_ID_HEX_DIGITS = 16
_PORT_PATTERN = re.compile("[1-9][0-9]{0,4}")
# Callers also retry downloads, whose requests change nothing.
_IDEMPOTENT_ROUTE_TYPES = frozenset({"idempotent", "download"})
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class UnusableValueError(ValueError):
    """The value of a key does not have the expected form."""


def decode_record(record: records.Record, now: float) -> views.Change | None:
    """Decodes a record of the store.

    Args:
        record: The record.
        now: The time at which the record was read, in seconds.

    Returns:
        The change, or None if a balancer does not use the key.

    Raises:
        UnusableValueError: The value is invalid. If the key is that of an
            endpoint, the caller places no new flows on it.
    """
    if record.key.startswith(_ENDPOINT_PREFIX):
        return _decode_endpoint(record, now)
    if record.key.startswith(_EVACUATION_PREFIX):
        domain = ids.DomainId(record.key.removeprefix(_EVACUATION_PREFIX))
        return views.DomainState(domain=domain, out=record.value is not None)
    if record.key == _CONFIGURATION_KEY and record.value is not None:
        return _decode_configuration(record.value)
    return None


def get_endpoint_id(key: str) -> ids.EndpointId | None:
    """Returns the endpoint id in a key, or None for other keys."""
    if not key.startswith(_ENDPOINT_PREFIX):
        return None
    return ids.EndpointId(key.removeprefix(_ENDPOINT_PREFIX))


def _decode_endpoint(record: records.Record, now: float) -> views.Change:
    endpoint_id = ids.EndpointId(record.key.removeprefix(_ENDPOINT_PREFIX))
    if record.value is None:
        return views.RemovedEndpoint(endpoint_id=endpoint_id)
    entry = _parse_json_object(record.value)
    # `warmup_left_ms` counts from the time of writing. Here it is added to
    # the time of reading, so the endpoint counts as cold slightly too long.
    cold_s = _get_number(entry, "warmup_left_ms") / 1000.0
    # The software version is not used, but each endpoint writes it.
    _get_text(entry, "version")
    return views.ListedEndpoint(
        endpoint=views.Endpoint(
            id=endpoint_id,
            numeric_id=_parse_endpoint_number(endpoint_id),
            address=_parse_address(_get_text(entry, "address")),
            service=ids.ServiceId(_get_text(entry, "service")),
            domain=ids.DomainId(_get_text(entry, "zone")),
            # `concurrency` is the number of requests served in parallel.
            slots=max(1, _get_whole_number(entry, "concurrency")),
            # `born` is the start time of the process, not of the entry.
            incarnation=_get_whole_number(entry, "born"),
            # `sequence` counts the writes of the endpoint since its start.
            sequence=_get_whole_number(entry, "sequence"),
            draining=_get_draining(entry),
            cold_until=now + cold_s if cold_s > 0.0 else 0.0,
        )
    )


def _decode_configuration(value: bytes) -> views.Configuration:
    document = _parse_json_object(value)
    version = document.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        raise UnusableValueError("version")
    return views.Configuration(
        version=ids.Version(version),
        routes=dict(map(_decode_route, _get_list(document, "routes"))),
        services=dict(map(_decode_service, _get_list(document, "services"))),
    )


def _decode_route(
    route: Mapping[str, Any],
) -> tuple[segments.RouteKey, views.Route]:
    # `prefix` is the route's port between slashes, such as `/443/`.
    port = _get_text(route, "prefix").strip("/")
    if not port.isdecimal():
        raise UnusableValueError("prefix")
    try:
        key = packets.make_route_key(_get_text(route, "host"), int(port))
    except ValueError as error:
        raise UnusableValueError("host") from error
    return key, views.Route(
        name=_get_text(route, "name"),
        weighted_services=_decode_weighted_services(route),
        idempotent=route.get("type") in _IDEMPOTENT_ROUTE_TYPES,
        goal_s=_get_number(route, "target_latency_ms", 0) / 1000.0,
        # 0 is the most important.
        priority=int(_get_number(route, "priority", 0)),
    )


def _decode_weighted_services(
    route: Mapping[str, Any],
) -> tuple[tuple[ids.ServiceId, float], ...]:
    # `backends` lists services with weights, not endpoints.
    if not route.get("backends"):
        return ((ids.ServiceId(_get_text(route, "service")), 1.0),)
    weighted_services = [
        (
            ids.ServiceId(_get_text(backend, "service")),
            _get_number(backend, "weight", 0),
        )
        for backend in _get_list(route, "backends")
    ]
    positive = tuple(pair for pair in weighted_services if pair[1] > 0)
    if not positive:
        raise UnusableValueError("backends")
    return positive


def _decode_service(
    service: Mapping[str, Any],
) -> tuple[ids.ServiceId, views.ServiceLimits]:
    return ids.ServiceId(_get_text(service, "name")), views.ServiceLimits(
        warmup_per_s=_get_number(service, "warmup_per_s", 0),
        max_flows=int(_get_number(service, "max_connections", 0)),
    )


def _parse_json_object(value: bytes) -> Mapping[str, Any]:
    try:
        # Given bytes, json.loads would also accept UTF-16 and UTF-32.
        loaded = json.loads(value.decode())
    except (ValueError, RecursionError) as error:
        raise UnusableValueError("not valid JSON") from error
    if not isinstance(loaded, dict):
        raise UnusableValueError("not a JSON object")
    return loaded


def _get_text(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise UnusableValueError(name)
    return value


def _get_number(
    fields: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise UnusableValueError(name)
    # NaN fails both comparisons.
    if not 0 <= value <= 1e15:
        raise UnusableValueError(name)
    return value


def _get_whole_number(fields: Mapping[str, Any], name: str) -> int:
    value = _get_number(fields, name)
    if not isinstance(value, int):
        raise UnusableValueError(name)
    return value


def _get_list(fields: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise UnusableValueError(name)
    if not all(isinstance(item, dict) for item in value):
        raise UnusableValueError(name)
    return value


def _get_draining(entry: Mapping[str, Any]) -> bool:
    draining = _DRAINING_BY_STATE.get(_get_text(entry, "state"))
    if draining is None:
        raise UnusableValueError("state")
    return draining


def _parse_endpoint_number(endpoint_id: str) -> int:
    digits = "".join(digit for digit in endpoint_id if digit in _HEX_DIGITS)
    if not 0 < len(digits) <= _MAX_ID_HEX_DIGITS:
        raise UnusableValueError("id")
    return int(digits, 16)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    # int would also accept signs, spaces, underscores and digits of other
    # scripts.
    if not _PORT_PATTERN.fullmatch(port):
        raise UnusableValueError("address")
    try:
        packets.make_route_key(host, int(port))
        parsed = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UnusableValueError("address") from error
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise UnusableValueError("address")
    return host, int(port)
