"""Encodes a document and its parts as JSON."""

from collections.abc import Iterable
import json
from typing import Any

from chivedoor.configuration import const
from chivedoor.configuration import document as documents
from chivedoor.configuration import fields


def format_document(document: documents.Document) -> bytes:
    """Returns a document as compact JSON text."""
    value = {
        "format": const.DOCUMENT_FORMAT,
        "version": document.version,
        "reuse_delay_s": document.reuse_delay_s,
        "regions": format_regions(document.domains.values()),
        "policies": {
            policy.id: format_policy(policy)
            for policy in document.policies.values()
        },
        "services": [
            format_service(service) for service in document.services.values()
        ],
        "retired": [format_retired(entry) for entry in document.retired],
    }
    return json.dumps(value, separators=(",", ":")).encode()


def format_policy(policy: documents.Policy) -> dict[str, Any]:
    """Returns the JSON value of a policy."""
    return {name: getattr(policy, name) for name in documents.POLICY_FIELDS}


def format_port(port: documents.ServicePort) -> list[Any]:
    """Returns the JSON value of a port."""
    return [
        port.protocol.name.lower(),
        port.port,
        port.target_port,
        port.kind.value,
        port.idempotent,
    ]


def format_endpoint(endpoint: documents.Endpoint) -> list[Any]:
    """Returns the JSON value of an endpoint."""
    return [
        endpoint.number,
        fields.unpack_address(endpoint.address),
        endpoint.domain,
        endpoint.weight,
        endpoint.state.value,
        endpoint.health_port,
    ]


def format_service(service: documents.Service) -> dict[str, Any]:
    """Returns the JSON value of a service."""
    return {
        "id": service.id,
        "addresses": [
            fields.unpack_address(address) for address in service.addresses
        ],
        "policy": service.policy.id,
        "ports": [format_port(port) for port in service.ports],
        "endpoints": [
            format_endpoint(endpoint) for endpoint in service.endpoints
        ],
    }


def format_retired(entry: documents.RetiredAddress) -> list[Any]:
    """Returns the JSON value of a reserved address."""
    address = fields.unpack_address(entry.address)
    return [address, entry.service, entry.until_s]


def format_regions(
    domains: Iterable[documents.Domain],
) -> dict[str, Any]:
    """Returns the JSON value of the failure domains, grouped by region."""
    regions: dict[str, Any] = {}
    for domain in domains:
        entries = regions.setdefault(domain.region, {})
        entries[domain.id] = {"out": domain.out}
    return regions
