"""Semantic checks of a document, alone and against the one before it."""

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
    """Transport address of an endpoint; replies from it name the service."""

    address: bytes
    port: int
    protocol: documents.Protocol

    def __str__(self) -> str:
        """Returns the address as operators write it."""
        text = fields.unpack_address(self.address)
        host = f"[{text}]" if ":" in text else text
        return f"{host}:{self.port}/{self.protocol.name.lower()}"


class _Place(NamedTuple):
    """Endpoint with its position in a document."""

    service_index: int
    index: int
    service: documents.Service
    endpoint: documents.Endpoint

    def extend_path(self, name: str) -> fields.Path:
        """Returns the path of a field of the endpoint."""
        return ("services", self.service_index, "endpoints", self.index, name)


class _Index:
    """Endpoints, bindings and addresses of a document, for several checks."""

    def __init__(self, *, document: documents.Document) -> None:
        self.document = document
        self.services = tuple(enumerate(document.services.values()))
        self.places = [
            _Place(service_index, index, service, endpoint)
            for service_index, service in self.services
            for index, endpoint in enumerate(service.endpoints)
        ]
        targets = {
            service.id: _list_targets(service) for _, service in self.services
        }
        self.bindings = [
            (Binding(place.endpoint.address, port, protocol), place)
            for place in self.places
            for port, protocol in targets[place.service.id]
        ]
        self.users = {
            binding: place.service.id for binding, place in self.bindings
        }
        self.addresses: dict[bytes, set[ids.ServiceId]] = {}
        for place in self.places:
            users = self.addresses.setdefault(place.endpoint.address, set())
            users.add(place.service.id)


def check_document(
    document: documents.Document,
    previous: documents.Document | None,
    *,
    wall_s: float,
    previous_age_s: float = 0.0,
) -> list[faults.Fault]:
    """Checks what the parser cannot see.

    Args:
        document: Document to check.
        previous: Document in force; None when there is none.
        wall_s: Wall-clock time, in seconds of the Unix epoch.
        previous_age_s: Time since the previous document was known to be the
            newest one, in seconds. Beyond the reuse delay, addresses may have
            changed hands in versions that this balancer missed, and it sends
            to no target, so the rules on the reuse of addresses against the
            previous document do not apply.

    Returns:
        All faults; empty when the document may come into force.
    """
    index = _Index(document=document)
    found = [
        *_check_references(index),
        *_check_policies(document),
        *_check_services(index),
        *_check_numbers(index),
        *_check_bindings(index),
        *_check_service_addresses(index),
        *_check_reservations(index, document.retired, wall_s),
    ]
    if previous is not None:
        former = _Index(document=previous)
        found += _check_version(document, previous)
        found += _check_number_history(index, former)
        if previous_age_s <= previous.reuse_delay_s:
            removed_s = wall_s - previous_age_s
            found += _check_reuse(index, former, wall_s, removed_s)
    return list(dict.fromkeys(found))


def _check_references(index: _Index) -> Iterator[faults.Fault]:
    document = index.document
    for number, service in index.services:
        if document.policies.get(service.policy.id) != service.policy:
            detail = f"the document has no such policy {service.policy.id}"
            yield _build_fault(
                ("services", number, "policy"),
                FaultReason.UNKNOWN_REFERENCE,
                detail,
            )
    for place in index.places:
        domain = place.endpoint.domain
        if domain not in document.domains:
            detail = f"the document has no failure domain {domain}"
            yield _build_fault(
                place.extend_path("domain"),
                FaultReason.UNKNOWN_REFERENCE,
                detail,
            )


def _check_policies(document: documents.Document) -> Iterator[faults.Fault]:
    for policy in document.policies.values():
        for name in ("slots", "ramp_initial"):
            if getattr(policy, name) > policy.connections:
                detail = f"larger than connections ({policy.connections})"
                yield _build_fault(
                    ("policies", policy.id, name),
                    FaultReason.OUT_OF_RANGE,
                    detail,
                )
        for name in ("drain_deadline_s", "idle_timeout_s"):
            if getattr(policy, name) < policy.request_deadline_s:
                detail = (
                    "shorter than request_deadline_s"
                    f" ({policy.request_deadline_s}), so it ends requests"
                )
                yield _build_fault(
                    ("policies", policy.id, name),
                    FaultReason.OUT_OF_RANGE,
                    detail,
                )


def _check_services(index: _Index) -> Iterator[faults.Fault]:
    for number, service in index.services:
        path = ("services", number)
        if not service.ports:
            detail = "a service needs a port"
            yield _build_fault(
                (*path, "ports"), FaultReason.INVALID_VALUE, detail
            )
        # The source of a reply is rewritten without a record of the flow, so
        # an endpoint's address and port must name one address and port of the
        # service.
        if len(service.addresses) != 1:
            detail = "a service has exactly one address"
            yield _build_fault(
                (*path, "addresses"), FaultReason.INVALID_VALUE, detail
            )
        yield from _check_target_ports(path, service)
        yield from _check_families(path, service)


def _check_target_ports(
    path: fields.Path, service: documents.Service
) -> Iterator[faults.Fault]:
    first: dict[Hashable, int] = {}
    for index, port in enumerate(service.ports):
        other = first.setdefault((port.protocol, port.target_port), port.port)
        if other != port.port:
            detail = f"port {other} has the same target port"
            yield _build_fault(
                (*path, "ports", index, "target_port"),
                FaultReason.CONFLICT,
                detail,
            )


def _check_families(
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


def _check_numbers(index: _Index) -> Iterator[faults.Fault]:
    first: dict[Hashable, _Place] = {}
    for place in index.places:
        other = first.setdefault(place.endpoint.number, place)
        if other is not place:
            detail = f"service {other.service.id} has the same number"
            yield _build_fault(
                place.extend_path("number"), FaultReason.CONFLICT, detail
            )


def _check_bindings(index: _Index) -> Iterator[faults.Fault]:
    first: dict[Binding, _Place] = {}
    for binding, place in index.bindings:
        other = first.setdefault(binding, place)
        if other is not place:
            detail = (
                "the address and target port already belong to endpoint"
                f" {other.endpoint.number} of service {other.service.id}"
            )
            yield _build_fault(
                place.extend_path("address"), FaultReason.CONFLICT, detail
            )


def _check_service_addresses(index: _Index) -> Iterator[faults.Fault]:
    first: dict[Binding, ids.ServiceId] = {}
    for number, service in index.services:
        for address, (position, port) in itertools.product(
            service.addresses, enumerate(service.ports)
        ):
            path = ("services", number, "ports", position, "port")
            binding = Binding(address, port.port, port.protocol)
            other = first.setdefault(binding, service.id)
            if other != service.id:
                detail = f"{binding} already belongs to service {other}"
                yield _build_fault(path, FaultReason.CONFLICT, detail)
            # A packet from such an address could be a request or a reply.
            if binding in index.users:
                detail = (
                    f"{binding} is also an endpoint of service"
                    f" {index.users[binding]}"
                )
                yield _build_fault(path, FaultReason.CONFLICT, detail)


def _check_reservations(
    index: _Index,
    retired: Iterable[documents.Retired],
    wall_s: float,
) -> Iterator[faults.Fault]:
    reserved: dict[bytes, list[documents.Retired]] = {}
    for entry in retired:
        if entry.until_s > wall_s and entry.address in index.addresses:
            reserved.setdefault(entry.address, []).append(entry)
    if not reserved:
        return
    for place in index.places:
        for entry in reserved.get(place.endpoint.address, ()):
            if entry.service != place.service.id:
                detail = (
                    f"{fields.unpack_address(entry.address)} is reserved for"
                    f" service {entry.service} until {entry.until_s}"
                )
                yield _build_fault(
                    place.extend_path("address"),
                    FaultReason.RESERVED,
                    detail,
                )


def _check_version(
    document: documents.Document, previous: documents.Document
) -> Iterator[faults.Fault]:
    if document.version <= previous.version:
        detail = f"{document.version} is not above {previous.version}"
        yield _build_fault(("version",), FaultReason.VERSION, detail)


def _check_number_history(
    index: _Index, former: _Index
) -> Iterator[faults.Fault]:
    owners = {
        place.endpoint.number: (place.service.id, place.endpoint.address)
        for place in former.places
    }
    for place in index.places:
        number = place.endpoint.number
        current = (place.service.id, place.endpoint.address)
        service_id, address = owners.get(number, current)
        if (service_id, address) != current:
            detail = (
                f"number {number} belonged to"
                f" {fields.unpack_address(address)} of service {service_id};"
                " numbers are never reused"
            )
            yield _build_fault(
                place.extend_path("number"), FaultReason.CONFLICT, detail
            )


def _check_reuse(
    index: _Index, former: _Index, wall_s: float, removed_s: float
) -> Iterator[faults.Fault]:
    yield from _check_reservations(index, former.document.retired, wall_s)
    yield from _check_dropped_reservations(index, former, wall_s)
    yield from _check_moved_bindings(index, former)
    yield from _check_removed_addresses(index, former, removed_s)


def _check_dropped_reservations(
    index: _Index, former: _Index, wall_s: float
) -> Iterator[faults.Fault]:
    until_s = _map_reservations(index)
    for entry in former.document.retired:
        if entry.until_s <= wall_s + const.RESERVATION_TOLERANCE_S:
            continue
        if entry.service in index.addresses.get(entry.address, ()):
            continue
        if until_s.get(documents.get_retired_key(entry), 0) < entry.until_s:
            detail = (
                f"the reservation of {fields.unpack_address(entry.address)}"
                f" for service {entry.service} ends before {entry.until_s}"
            )
            yield _build_fault(("retired",), FaultReason.NOT_RETIRED, detail)


def _check_moved_bindings(
    index: _Index, former: _Index
) -> Iterator[faults.Fault]:
    # A balancer with the previous document sends packets of the former service
    # to the address now, whatever the document lists as retired.
    for binding, place in index.bindings:
        owner = former.users.get(binding, place.service.id)
        if owner != place.service.id:
            detail = f"{binding} still belonged to service {owner}"
            yield _build_fault(
                place.extend_path("address"), FaultReason.RESERVED, detail
            )


def _check_removed_addresses(
    index: _Index, former: _Index, removed_s: float
) -> Iterator[faults.Fault]:
    """Checks that removed addresses are reserved for the reuse delay.

    Without it a later document could give an address to another service while
    some balancers still send packets of the former one. `removed_s` is the
    earliest time of the removal.
    """
    until_s = _map_reservations(index)
    end_s = removed_s + former.document.reuse_delay_s
    for address, services in former.addresses.items():
        # A reservation would end the use of an address that services share.
        if not services.isdisjoint(index.addresses.get(address, ())):
            continue
        for service_id in sorted(services):
            reserved_s = until_s.get((address, service_id), 0)
            if reserved_s < end_s - const.RESERVATION_TOLERANCE_S:
                detail = (
                    f"service {service_id} gave up"
                    f" {fields.unpack_address(address)}; list it as retired"
                    f" until {math.ceil(end_s)} or later"
                )
                yield _build_fault(
                    ("retired",), FaultReason.NOT_RETIRED, detail
                )


def _list_targets(
    service: documents.Service,
) -> list[tuple[int, documents.Protocol]]:
    # Two ports with one target port are a fault of the ports.
    return sorted({(port.target_port, port.protocol) for port in service.ports})


def _map_reservations(
    index: _Index,
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
