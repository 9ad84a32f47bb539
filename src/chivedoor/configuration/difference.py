"""Compact differences between documents, exchanged between balancers."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import types
from typing import Any
from typing import Final

from chivedoor import ids
from chivedoor.configuration import const
from chivedoor.configuration import document as documents
from chivedoor.configuration import encoding
from chivedoor.configuration import exceptions
from chivedoor.configuration import fields

RetiredKey = tuple[bytes, ids.ServiceId]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Removals:
    """Entries that the newer document no longer has, by section."""

    domains: frozenset[ids.DomainId] = frozenset()
    policies: frozenset[documents.PolicyId] = frozenset()
    services: frozenset[ids.ServiceId] = frozenset()
    retired: frozenset[RetiredKey] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Changes that turn one document into a newer one.

    Attributes:
        from_version: Version of the older document.
        to_version: Version of the newer document.
        reuse_delay_s: Reuse delay of the newer document, in seconds.
        domains: Failure domains that are new or changed.
        policies: Policies that are new or changed, or that `services` use.
        services: Services that are new or changed, apart from their policy.
        retired: Reservations that are new or changed.
        removed: Entries that the newer document no longer has.
    """

    from_version: ids.Version
    to_version: ids.Version
    reuse_delay_s: float
    domains: Mapping[ids.DomainId, documents.Domain]
    policies: Mapping[documents.PolicyId, documents.Policy]
    services: Mapping[ids.ServiceId, documents.Service]
    retired: tuple[documents.RetiredAddress, ...]
    removed: Removals


_FIELDS: Final = (
    "format",
    "from",
    "to",
    "reuse_delay_s",
    "regions",
    "policies",
    "services",
    "retired",
    "removed",
)
_REMOVED_FIELDS: Final = ("domains", "policies", "services", "retired")
_RETIRED_KEY_COLUMNS: Final = ("address", "service")


def compare_documents(
    old: documents.Document, new: documents.Document
) -> Difference:
    """Returns the difference from one document to another."""
    services = {
        service.id: service
        for service in new.services.values()
        if not _is_same_service(old.services.get(service.id), service)
    }
    used_policies = {service.policy.id for service in services.values()}
    policies = {
        policy.id: policy
        for policy in new.policies.values()
        if policy.id in used_policies or old.policies.get(policy.id) != policy
    }
    domains = {
        domain.id: domain
        for domain in new.domains.values()
        if old.domains.get(domain.id) != domain
    }
    old_retired = set(old.retired)
    return Difference(
        from_version=old.version,
        to_version=new.version,
        reuse_delay_s=new.reuse_delay_s,
        domains=types.MappingProxyType(domains),
        policies=types.MappingProxyType(policies),
        services=types.MappingProxyType(services),
        retired=tuple(
            entry for entry in new.retired if entry not in old_retired
        ),
        removed=_find_removals(old, new),
    )


def apply_difference(
    document: documents.Document, difference: Difference
) -> documents.Document:
    """Returns the newer document, which the caller must check.

    Args:
        document: Document that the difference is based on.
        difference: Difference to apply.

    Returns:
        The newer document. Its services keep the order of `document`, with new
        ones at the end.

    Raises:
        exceptions.BaseVersionError: The difference is based on another
            version.
    """
    if document.version != difference.from_version:
        raise exceptions.BaseVersionError(
            expected=difference.from_version, found=document.version
        )
    removed = difference.removed
    policies = _merge(document.policies, difference.policies, removed.policies)
    services = _merge(document.services, difference.services, removed.services)
    return documents.Document(
        version=difference.to_version,
        reuse_delay_s=difference.reuse_delay_s,
        domains=_merge(document.domains, difference.domains, removed.domains),
        policies=policies,
        services=types.MappingProxyType(
            {
                service.id: _resolve_policy(service, policies)
                for service in services.values()
            }
        ),
        retired=tuple(
            _merge(
                _index_retired(document.retired),
                _index_retired(difference.retired),
                removed.retired,
            ).values()
        ),
    )


def encode_difference(difference: Difference) -> bytes:
    """Returns a difference as compact JSON text."""
    removed = difference.removed
    value = {
        "format": const.DOCUMENT_FORMAT,
        "from": difference.from_version,
        "to": difference.to_version,
        "reuse_delay_s": difference.reuse_delay_s,
        "regions": encoding.format_regions(difference.domains.values()),
        "policies": {
            policy.id: encoding.format_policy(policy)
            for policy in difference.policies.values()
        },
        "services": [
            encoding.format_service(service)
            for service in difference.services.values()
        ],
        "retired": [
            encoding.format_retired(entry) for entry in difference.retired
        ],
        "removed": {
            "domains": sorted(removed.domains),
            "policies": sorted(removed.policies),
            "services": sorted(removed.services),
            "retired": [
                [fields.unpack_address(address), service_id]
                for address, service_id in sorted(removed.retired)
            ],
        },
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_difference(data: bytes) -> Difference:
    """Parses a difference.

    Args:
        data: JSON text in UTF-8, at most `const.MAX_DOCUMENT_BYTES` long.

    Returns:
        The difference.

    Raises:
        exceptions.DifferenceFaultsError: Lists all faults of the text.
    """
    try:
        value = documents.load_limited_json(data)
    except exceptions.DocumentError as error:
        raise exceptions.DifferenceFaultsError(faults=error.faults) from error
    reader = fields.FieldReader()
    sections = documents.SectionParser(reader=reader)
    record = reader.open_object(value, fields.ROOT, _FIELDS)
    record.read(
        "format",
        reader.read_integer,
        const.DOCUMENT_FORMAT,
        const.DOCUMENT_FORMAT,
    )
    from_version = record.read("from", sections.parse_version)
    to_version = record.read("to", sections.parse_version)
    reuse_delay_s = record.read("reuse_delay_s", sections.parse_reuse_delay)
    domains = record.read("regions", sections.parse_regions)
    policies = record.read("policies", sections.parse_policies)
    services = record.read("services", sections.parse_services, policies)
    retired = record.read("retired", sections.parse_retired)
    removed = record.read("removed", _parse_removals, reader)
    if reader.faults:
        raise exceptions.DifferenceFaultsError(faults=reader.faults)
    return Difference(
        from_version=from_version,
        to_version=to_version,
        reuse_delay_s=reuse_delay_s,
        domains=types.MappingProxyType(domains),
        policies=types.MappingProxyType(policies),
        services=types.MappingProxyType(services),
        retired=retired,
        removed=removed,
    )


def _is_same_service(
    old: documents.Service | None, new: documents.Service
) -> bool:
    """Compares services, and their policies by id only."""
    return old is not None and _get_comparable_fields(
        old
    ) == _get_comparable_fields(new)


def _get_comparable_fields(service: documents.Service) -> tuple[object, ...]:
    return (
        service.id,
        service.addresses,
        service.policy.id,
        service.ports,
        service.endpoints,
    )


def _find_removals(
    old: documents.Document, new: documents.Document
) -> Removals:
    return Removals(
        domains=frozenset(old.domains.keys() - new.domains.keys()),
        policies=frozenset(old.policies.keys() - new.policies.keys()),
        services=frozenset(old.services.keys() - new.services.keys()),
        retired=frozenset(
            _index_retired(old.retired).keys()
            - _index_retired(new.retired).keys()
        ),
    )


def _merge(
    old: Mapping[Any, Any], changed: Mapping[Any, Any], removed: Iterable[Any]
) -> Mapping[Any, Any]:
    merged = {**old, **changed}
    for key in removed:
        merged.pop(key, None)
    return types.MappingProxyType(merged)


def _resolve_policy(
    service: documents.Service,
    policies: Mapping[documents.PolicyId, documents.Policy],
) -> documents.Service:
    """Returns a service with the current version of its policy.

    A missing policy is left as it was; the checks reject such a document.
    """
    policy = policies.get(service.policy.id, service.policy)
    if policy == service.policy:
        return service
    return dataclasses.replace(service, policy=policy)


def _index_retired(
    entries: Sequence[documents.RetiredAddress],
) -> dict[RetiredKey, documents.RetiredAddress]:
    return {documents.get_retired_key(entry): entry for entry in entries}


def _parse_removals(
    value: object, path: fields.Path, reader: fields.FieldReader
) -> Removals:
    record = reader.open_object(value, path, _REMOVED_FIELDS)
    return Removals(
        domains=record.read("domains", _parse_ids, reader),
        policies=record.read("policies", _parse_ids, reader),
        services=record.read("services", _parse_ids, reader),
        retired=record.read("retired", _parse_retired_keys, reader),
    )


def _parse_ids(
    value: object, path: fields.Path, reader: fields.FieldReader
) -> frozenset[Any]:
    return frozenset(reader.read_items(value, path, reader.read_id, str))


def _parse_retired_keys(
    value: object, path: fields.Path, reader: fields.FieldReader
) -> frozenset[RetiredKey]:
    def parse_key(item: object, item_path: fields.Path) -> RetiredKey | None:
        row = reader.open_row(item, item_path, _RETIRED_KEY_COLUMNS)
        address = row.read("address", reader.read_address)
        service_id = row.read("service", reader.read_id)
        if address is None or service_id is None:
            return None
        return address, ids.ServiceId(service_id)

    return frozenset(reader.read_items(value, path, parse_key, tuple))
