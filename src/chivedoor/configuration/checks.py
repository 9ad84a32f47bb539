"""Semantic checks of a document and of its transition from the previous one."""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math
from typing import NamedTuple

from chivedoor import ids
from chivedoor.configuration import const
from chivedoor.configuration import document as documents
from chivedoor.configuration import faults
from chivedoor.configuration import fields

FaultReason = faults.FaultReason


class Binding(NamedTuple):
    """Transport address of an endpoint; identifies the service of a reply."""

    address: bytes
    port: int
    protocol: documents.Protocol

    def __str__(self) -> str:
        """Returns the address as `host:port/protocol`."""
        text = fields.unpack_address(self.address)
        host = f"[{text}]" if ":" in text else text
        return f"{host}:{self.port}/{self.protocol.name.lower()}"


class _LocatedEndpoint(NamedTuple):
    """Endpoint with its position in the document."""

    service_index: int
    index: int
    service: documents.Service
    endpoint: documents.Endpoint

    def extend_path(self, name: str) -> fields.Path:
        """Returns the path of a field of the endpoint."""
        return ("services", self.service_index, "endpoints", self.index, name)


class _DocumentIndex:
    """Endpoints, bindings and addresses of a document, shared by the checks."""

    def __init__(self, *, document: documents.Document) -> None:
        self.document = document
        self.services = tuple(enumerate(document.services.values()))
        self.located_endpoints = [
            _LocatedEndpoint(service_index, index, service, endpoint)
            for service_index, service in self.services
            for index, endpoint in enumerate(service.endpoints)
        ]
        target_ports = {
            service.id: _list_target_ports(service)
            for _, service in self.services
        }
        self.bindings = [
            (Binding(located.endpoint.address, port, protocol), located)
            for located in self.located_endpoints
            for port, protocol in target_ports[located.service.id]
        ]
        self.services_by_binding = {
            binding: located.service.id for binding, located in self.bindings
        }
        self.services_by_address: dict[bytes, set[ids.ServiceId]] = {}
        for located in self.located_endpoints:
            service_ids = self.services_by_address.setdefault(
                located.endpoint.address, set()
            )
            service_ids.add(located.service.id)


def check_document(
    document: documents.Document,
    previous: documents.Document | None,
    *,
    wall_clock_s: float,
    previous_confirmed_age_s: float = 0.0,
) -> list[faults.Fault]:
    """Checks rules that relate several values; the parser checks the rest.

    Args:
        document: Document to check.
        previous: Current document; None when there is none.
        wall_clock_s: Wall-clock time, in seconds of the Unix epoch.
        previous_confirmed_age_s: Time since the previous document was known
            to be the newest one, in seconds. If it exceeds the reuse delay,
            versions that this balancer missed may have assigned addresses to
            other services, and the balancer sends to no target. The rules on
            the reuse of addresses of the previous document then do not apply.

    Returns:
        All faults; empty when the document is valid.
    """
    index = _DocumentIndex(document=document)
    found = [
        *_check_references(index),
        *_check_policies(document),
        *_check_services(index),
        *_check_duplicate_numbers(index),
        *_check_duplicate_bindings(index),
        *_check_service_addresses(index),
        *_check_reservations(index, document.retired, wall_clock_s),
    ]
    if previous is not None:
        previous_index = _DocumentIndex(document=previous)
        found += _check_version(document, previous)
        found += _check_reused_numbers(index, previous_index)
        if previous_confirmed_age_s <= previous.reuse_delay_s:
            removed_at_s = wall_clock_s - previous_confirmed_age_s
            found += _check_reuse(
                index, previous_index, wall_clock_s, removed_at_s
            )
    return list(dict.fromkeys(found))


def _check_references(index: _DocumentIndex) -> Iterator[faults.Fault]:
    document = index.document
    for service_index, service in index.services:
        if document.policies.get(service.policy.id) != service.policy:
            detail = (
                f"the document has no policy {service.policy.id} with the"
                " values that the service uses"
            )
            yield _build_fault(
                ("services", service_index, "policy"),
                FaultReason.UNKNOWN_REFERENCE,
                detail,
            )
    for located in index.located_endpoints:
        domain = located.endpoint.domain
        if domain not in document.domains:
            detail = f"the document has no failure domain {domain}"
            yield _build_fault(
                located.extend_path("domain"),
                FaultReason.UNKNOWN_REFERENCE,
                detail,
            )


def _check_policies(document: documents.Document) -> Iterator[faults.Fault]:
    for policy in document.policies.values():
        for name in ("slots", "ramp_initial"):
            if getattr(policy, name) > policy.connections:
                detail = f"must not exceed connections ({policy.connections})"
                yield _build_fault(
                    ("policies", policy.id, name),
                    FaultReason.OUT_OF_RANGE,
                    detail,
                )
        for name in ("drain_deadline_s", "idle_timeout_s"):
            if getattr(policy, name) < policy.request_deadline_s:
                detail = (
                    "must not be shorter than request_deadline_s"
                    f" ({policy.request_deadline_s}), or it aborts requests"
                )
                yield _build_fault(
                    ("policies", policy.id, name),
                    FaultReason.OUT_OF_RANGE,
                    detail,
                )


def _check_services(index: _DocumentIndex) -> Iterator[faults.Fault]:
    for service_index, service in index.services:
        path = ("services", service_index)
        if not service.ports:
            detail = "a service must have at least one port"
            yield _build_fault(
                (*path, "ports"), FaultReason.INVALID_VALUE, detail
            )
        # The source of a reply is rewritten without a flow record, so the
        # address and port of an endpoint must map to exactly one address and
        # port of the service.
        if len(service.addresses) != 1:
            detail = "a service must have exactly one address"
            yield _build_fault(
                (*path, "addresses"), FaultReason.INVALID_VALUE, detail
            )
        yield from _check_target_ports(path, service)
        yield from _check_address_families(path, service)


def _check_target_ports(
    path: fields.Path, service: documents.Service
) -> Iterator[faults.Fault]:
    first_uses: dict[Hashable, int] = {}
    for index, port in enumerate(service.ports):
        other = first_uses.setdefault(
            (port.protocol, port.target_port), port.port
        )
        if other != port.port:
            detail = f"port {other} already uses this target port"
            yield _build_fault(
                (*path, "ports", index, "target_port"),
                FaultReason.CONFLICT,
                detail,
            )


def _check_address_families(
    path: fields.Path, service: documents.Service
) -> Iterator[faults.Fault]:
    families = {len(address) for address in service.addresses}
    for index, endpoint in enumerate(service.endpoints):
        if families and len(endpoint.address) not in families:
            detail = "endpoint and service have different address families"
            yield _build_fault(
                (*path, "endpoints", index, "address"),
                FaultReason.CONFLICT,
                detail,
            )


def _check_duplicate_numbers(index: _DocumentIndex) -> Iterator[faults.Fault]:
    first_uses: dict[Hashable, _LocatedEndpoint] = {}
    for located in index.located_endpoints:
        other = first_uses.setdefault(located.endpoint.number, located)
        if other is not located:
            detail = f"service {other.service.id} already uses this number"
            yield _build_fault(
                located.extend_path("number"), FaultReason.CONFLICT, detail
            )


def _check_duplicate_bindings(index: _DocumentIndex) -> Iterator[faults.Fault]:
    first_uses: dict[Binding, _LocatedEndpoint] = {}
    for binding, located in index.bindings:
        other = first_uses.setdefault(binding, located)
        if other is not located:
            detail = (
                "the address and target port already belong to endpoint"
                f" {other.endpoint.number} of service {other.service.id}"
            )
            yield _build_fault(
                located.extend_path("address"), FaultReason.CONFLICT, detail
            )


def _check_service_addresses(index: _DocumentIndex) -> Iterator[faults.Fault]:
    first_uses: dict[Binding, ids.ServiceId] = {}
    for service_index, service in index.services:
        for address, (port_index, port) in itertools.product(
            service.addresses, enumerate(service.ports)
        ):
            path = ("services", service_index, "ports", port_index, "port")
            binding = Binding(address, port.port, port.protocol)
            other = first_uses.setdefault(binding, service.id)
            if other != service.id:
                detail = f"{binding} already belongs to service {other}"
                yield _build_fault(path, FaultReason.CONFLICT, detail)
            # If a service address were also an endpoint, a packet from it could
            # be a request or a reply.
            if binding in index.services_by_binding:
                detail = (
                    f"{binding} is also an endpoint of service"
                    f" {index.services_by_binding[binding]}"
                )
                yield _build_fault(path, FaultReason.CONFLICT, detail)


def _check_reservations(
    index: _DocumentIndex,
    retired: Iterable[documents.RetiredAddress],
    wall_clock_s: float,
) -> Iterator[faults.Fault]:
    reserved: dict[bytes, list[documents.RetiredAddress]] = {}
    for entry in retired:
        if (
            entry.until_s > wall_clock_s
            and entry.address in index.services_by_address
        ):
            reserved.setdefault(entry.address, []).append(entry)
    if not reserved:
        return
    for located in index.located_endpoints:
        for entry in reserved.get(located.endpoint.address, ()):
            if entry.service != located.service.id:
                detail = (
                    f"{fields.unpack_address(entry.address)} is reserved for"
                    f" service {entry.service} until {entry.until_s}"
                )
                yield _build_fault(
                    located.extend_path("address"),
                    FaultReason.RESERVED,
                    detail,
                )


def _check_version(
    document: documents.Document, previous: documents.Document
) -> Iterator[faults.Fault]:
    if document.version <= previous.version:
        detail = f"{document.version} is not higher than {previous.version}"
        yield _build_fault(("version",), FaultReason.STALE_VERSION, detail)


def _check_reused_numbers(
    index: _DocumentIndex, previous_index: _DocumentIndex
) -> Iterator[faults.Fault]:
    owners = {
        located.endpoint.number: (located.service.id, located.endpoint.address)
        for located in previous_index.located_endpoints
    }
    for located in index.located_endpoints:
        number = located.endpoint.number
        current = (located.service.id, located.endpoint.address)
        service_id, address = owners.get(number, current)
        if (service_id, address) != current:
            detail = (
                f"number {number} belonged to"
                f" {fields.unpack_address(address)} of service {service_id};"
                " numbers are never reused"
            )
            yield _build_fault(
                located.extend_path("number"), FaultReason.CONFLICT, detail
            )


def _check_reuse(
    index: _DocumentIndex,
    previous_index: _DocumentIndex,
    wall_clock_s: float,
    removed_at_s: float,
) -> Iterator[faults.Fault]:
    yield from _check_reservations(
        index, previous_index.document.retired, wall_clock_s
    )
    yield from _check_dropped_reservations(index, previous_index, wall_clock_s)
    yield from _check_moved_bindings(index, previous_index)
    yield from _check_removed_addresses(index, previous_index, removed_at_s)


def _check_dropped_reservations(
    index: _DocumentIndex, previous_index: _DocumentIndex, wall_clock_s: float
) -> Iterator[faults.Fault]:
    reservation_ends_s = _map_reservation_ends(index)
    for entry in previous_index.document.retired:
        if entry.until_s <= wall_clock_s + const.RESERVATION_CLOCK_TOLERANCE_S:
            continue
        if entry.service in index.services_by_address.get(entry.address, ()):
            continue
        if (
            reservation_ends_s.get(documents.get_retired_key(entry), 0)
            < entry.until_s
        ):
            detail = (
                f"the reservation of {fields.unpack_address(entry.address)}"
                f" for service {entry.service} must not end before"
                f" {entry.until_s}"
            )
            yield _build_fault(("retired",), FaultReason.NOT_RETIRED, detail)


def _check_moved_bindings(
    index: _DocumentIndex, previous_index: _DocumentIndex
) -> Iterator[faults.Fault]:
    # Balancers that still have the previous document send packets of the former
    # service to the address, whatever the new document lists as retired.
    for binding, located in index.bindings:
        owner = previous_index.services_by_binding.get(
            binding, located.service.id
        )
        if owner != located.service.id:
            detail = (
                f"{binding} belongs to service {owner} in the current document"
            )
            yield _build_fault(
                located.extend_path("address"), FaultReason.RESERVED, detail
            )


def _check_removed_addresses(
    index: _DocumentIndex, previous_index: _DocumentIndex, removed_at_s: float
) -> Iterator[faults.Fault]:
    """Checks that removed addresses are reserved for the reuse delay.

    Otherwise a later document could assign an address to another service while
    some balancers still send it packets of the former one. `removed_at_s` is
    the earliest time of the removal.
    """
    reservation_ends_s = _map_reservation_ends(index)
    required_end_s = removed_at_s + previous_index.document.reuse_delay_s
    for address, services in previous_index.services_by_address.items():
        # Services may share an address. A reservation for one of them would
        # exclude the others, so none is required while one still uses it.
        if not services.isdisjoint(index.services_by_address.get(address, ())):
            continue
        for service_id in sorted(services):
            reservation_end_s = reservation_ends_s.get((address, service_id), 0)
            if (
                reservation_end_s
                < required_end_s - const.RESERVATION_CLOCK_TOLERANCE_S
            ):
                detail = (
                    f"service {service_id} no longer uses"
                    f" {fields.unpack_address(address)}; list it as retired"
                    f" until {math.ceil(required_end_s)} or later"
                )
                yield _build_fault(
                    ("retired",), FaultReason.NOT_RETIRED, detail
                )


def _list_target_ports(
    service: documents.Service,
) -> list[tuple[int, documents.Protocol]]:
    # Duplicate target ports are reported by `_check_target_ports`.
    return sorted({(port.target_port, port.protocol) for port in service.ports})


def _map_reservation_ends(
    index: _DocumentIndex,
) -> dict[tuple[bytes, ids.ServiceId], float]:
    return {
        documents.get_retired_key(entry): entry.until_s
        for entry in index.document.retired
    }


def _build_fault(
    path: fields.Path, reason: FaultReason, detail: str
) -> faults.Fault:
    return faults.Fault(
        path=fields.format_path(path), reason=reason, detail=detail
    )
