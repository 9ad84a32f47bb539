"""Semantic checks of a document, alone and against the one before it."""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
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


class _Use(NamedTuple):
    """Where a document uses something that belongs to one user."""

    key: Hashable
    path: str
    user: str


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
    found = [
        *_check_references(document),
        *_check_policies(document),
        *_check_services(document),
        *_check_numbers(document),
        *_check_bindings(document),
        *_check_service_addresses(document),
        *_check_reservations(document, document.retired, wall_s),
    ]
    if previous is not None:
        found += _check_version(document, previous)
        found += _check_number_history(document, previous)
        if previous_age_s <= previous.reuse_delay_s:
            removed_s = wall_s - previous_age_s
            found += _check_reuse(document, previous, wall_s, removed_s)
    return list(dict.fromkeys(found))


def _check_references(document: documents.Document) -> Iterator[faults.Fault]:
    for path, service in _list_services(document):
        if document.policies.get(service.policy.id) != service.policy:
            detail = f"the document has no such policy {service.policy.id}"
            yield _build_fault(
                f"{path}.policy", FaultReason.UNKNOWN_REFERENCE, detail
            )
    for path, _, endpoint in _list_endpoints(document):
        if endpoint.domain not in document.domains:
            detail = f"the document has no failure domain {endpoint.domain}"
            yield _build_fault(
                f"{path}.domain", FaultReason.UNKNOWN_REFERENCE, detail
            )


def _check_policies(document: documents.Document) -> Iterator[faults.Fault]:
    for policy in document.policies.values():
        path = fields.format_key("policies", policy.id)
        for name in ("slots", "ramp_initial"):
            if getattr(policy, name) > policy.connections:
                detail = f"larger than connections ({policy.connections})"
                yield _build_fault(
                    f"{path}.{name}", FaultReason.OUT_OF_RANGE, detail
                )
        for name in ("drain_deadline_s", "idle_timeout_s"):
            if getattr(policy, name) < policy.request_deadline_s:
                detail = (
                    "shorter than request_deadline_s"
                    f" ({policy.request_deadline_s}), so it ends requests"
                )
                yield _build_fault(
                    f"{path}.{name}", FaultReason.OUT_OF_RANGE, detail
                )


def _check_services(document: documents.Document) -> Iterator[faults.Fault]:
    for path, service in _list_services(document):
        if not service.ports:
            detail = "a service needs a port"
            yield _build_fault(
                f"{path}.ports", FaultReason.INVALID_VALUE, detail
            )
        # The source of a reply is rewritten without a record of the flow, so
        # an endpoint's address and port must name one address and port of the
        # service.
        if len(service.addresses) != 1:
            detail = "a service has exactly one address"
            yield _build_fault(
                f"{path}.addresses", FaultReason.INVALID_VALUE, detail
            )
        uses = (
            _Use(
                key=(port.protocol, port.target_port),
                path=f"{path}.ports[{index}].target_port",
                user=f"port {port.port}",
            )
            for index, port in enumerate(service.ports)
        )
        yield from _find_shared(uses, "the target port")
    yield from _check_families(document)


def _check_families(document: documents.Document) -> Iterator[faults.Fault]:
    for path, service, endpoint in _list_endpoints(document):
        families = {len(address) for address in service.addresses}
        if families and len(endpoint.address) not in families:
            detail = "endpoint and service have different address families"
            yield _build_fault(f"{path}.address", FaultReason.CONFLICT, detail)


def _check_numbers(document: documents.Document) -> Iterator[faults.Fault]:
    uses = (
        _Use(
            key=endpoint.number,
            path=f"{path}.number",
            user=f"an endpoint of service {service.id}",
        )
        for path, service, endpoint in _list_endpoints(document)
    )
    return _find_shared(uses, "the number")


def _check_bindings(document: documents.Document) -> Iterator[faults.Fault]:
    uses = (
        _Use(
            key=binding,
            path=f"{path}.address",
            user=f"endpoint {endpoint.number} of service {service.id}",
        )
        for path, service, endpoint in _list_endpoints(document)
        for binding in _list_bindings(service, endpoint)
    )
    return _find_shared(uses, "the address and target port")


def _check_service_addresses(
    document: documents.Document,
) -> Iterator[faults.Fault]:
    uses = [
        _Use(
            key=Binding(
                address=address, port=port.port, protocol=port.protocol
            ),
            path=f"{path}.ports[{index}].port",
            user=f"service {service.id}",
        )
        for path, service in _list_services(document)
        for address in service.addresses
        for index, port in enumerate(service.ports)
    ]
    yield from _find_shared(uses, "the service address and port")
    # A packet from such an address could be a request or a reply.
    targets = _map_bindings(document)
    for use in uses:
        if use.key in targets:
            detail = (
                f"{use.key} is also an endpoint of service {targets[use.key]}"
            )
            yield _build_fault(use.path, FaultReason.CONFLICT, detail)


def _check_reservations(
    document: documents.Document,
    retired: Iterable[documents.Retired],
    wall_s: float,
) -> Iterator[faults.Fault]:
    reserved: dict[bytes, list[documents.Retired]] = {}
    for entry in retired:
        if entry.until_s > wall_s:
            reserved.setdefault(entry.address, []).append(entry)
    if not reserved:
        return
    for path, service, endpoint in _list_endpoints(document):
        for entry in reserved.get(endpoint.address, ()):
            if entry.service != service.id:
                detail = (
                    f"{fields.unpack_address(entry.address)} is reserved for"
                    f" service {entry.service} until {entry.until_s}"
                )
                yield _build_fault(
                    f"{path}.address", FaultReason.RESERVED, detail
                )


def _check_version(
    document: documents.Document, previous: documents.Document
) -> Iterator[faults.Fault]:
    if document.version <= previous.version:
        detail = f"{document.version} is not above {previous.version}"
        yield _build_fault("version", FaultReason.VERSION, detail)


def _check_number_history(
    document: documents.Document, previous: documents.Document
) -> Iterator[faults.Fault]:
    former = {
        endpoint.number: (service.id, endpoint.address)
        for _, service, endpoint in _list_endpoints(previous)
    }
    for path, service, endpoint in _list_endpoints(document):
        current = (service.id, endpoint.address)
        service_id, address = former.get(endpoint.number, current)
        if (service_id, address) != current:
            detail = (
                f"number {endpoint.number} belonged to"
                f" {fields.unpack_address(address)} of service {service_id};"
                " numbers are never reused"
            )
            yield _build_fault(f"{path}.number", FaultReason.CONFLICT, detail)


def _check_reuse(
    document: documents.Document,
    previous: documents.Document,
    wall_s: float,
    removed_s: float,
) -> Iterator[faults.Fault]:
    yield from _check_reservations(document, previous.retired, wall_s)
    yield from _check_dropped_reservations(document, previous, wall_s)
    yield from _check_moved_bindings(document, previous, wall_s)
    yield from _check_removed_addresses(document, previous, removed_s)


def _check_dropped_reservations(
    document: documents.Document,
    previous: documents.Document,
    wall_s: float,
) -> Iterator[faults.Fault]:
    current = {
        documents.get_retired_key(entry): entry.until_s
        for entry in document.retired
    }
    in_use = _map_addresses(document)
    for entry in previous.retired:
        if entry.until_s <= wall_s + const.RESERVATION_TOLERANCE_S:
            continue
        if entry.service in in_use.get(entry.address, ()):
            continue
        if current.get(documents.get_retired_key(entry), 0) < entry.until_s:
            detail = (
                f"the reservation of {fields.unpack_address(entry.address)}"
                f" for service {entry.service} ends before {entry.until_s}"
            )
            yield _build_fault("retired", FaultReason.NOT_RETIRED, detail)


def _check_moved_bindings(
    document: documents.Document,
    previous: documents.Document,
    wall_s: float,
) -> Iterator[faults.Fault]:
    former = _map_bindings(previous)
    expired = {
        documents.get_retired_key(entry)
        for entry in previous.retired
        if entry.until_s <= wall_s
    }
    for path, service, endpoint in _list_endpoints(document):
        for binding in _list_bindings(service, endpoint):
            owner = former.get(binding, service.id)
            if owner == service.id or (endpoint.address, owner) in expired:
                continue
            detail = f"{binding} still belonged to service {owner}"
            yield _build_fault(f"{path}.address", FaultReason.RESERVED, detail)


def _check_removed_addresses(
    document: documents.Document,
    previous: documents.Document,
    removed_s: float,
) -> Iterator[faults.Fault]:
    """Checks that removed addresses are reserved for the reuse delay.

    Without it a later document could give an address to another service while
    some balancers still send packets of the former one. `removed_s` is the
    earliest time of the removal.
    """
    current = _map_addresses(document)
    until_s = {
        documents.get_retired_key(entry): entry.until_s
        for entry in document.retired
    }
    end_s = removed_s + previous.reuse_delay_s
    for address, services in _map_addresses(previous).items():
        # A reservation would end the use of an address that services share.
        if services & current.get(address, set()):
            continue
        for service_id in sorted(services):
            reserved_s = until_s.get((address, service_id), 0)
            if reserved_s < end_s - const.RESERVATION_TOLERANCE_S:
                detail = (
                    f"service {service_id} gave up"
                    f" {fields.unpack_address(address)}; list it as retired"
                    f" until {math.ceil(end_s)} or later"
                )
                yield _build_fault("retired", FaultReason.NOT_RETIRED, detail)


def _list_services(
    document: documents.Document,
) -> Iterator[tuple[str, documents.Service]]:
    for index, service in enumerate(document.services.values()):
        yield fields.format_index("services", index), service


def _list_endpoints(
    document: documents.Document,
) -> Iterator[tuple[str, documents.Service, documents.Endpoint]]:
    for path, service in _list_services(document):
        for index, endpoint in enumerate(service.endpoints):
            yield f"{path}.endpoints[{index}]", service, endpoint


def _list_bindings(
    service: documents.Service, endpoint: documents.Endpoint
) -> Iterator[Binding]:
    # Two ports with one target port are a fault of the ports.
    targets = {(port.target_port, port.protocol) for port in service.ports}
    for port, protocol in sorted(targets):
        yield Binding(address=endpoint.address, port=port, protocol=protocol)


def _map_bindings(
    document: documents.Document,
) -> dict[Binding, ids.ServiceId]:
    return {
        binding: service.id
        for _, service, endpoint in _list_endpoints(document)
        for binding in _list_bindings(service, endpoint)
    }


def _map_addresses(
    document: documents.Document,
) -> dict[bytes, set[ids.ServiceId]]:
    users: dict[bytes, set[ids.ServiceId]] = {}
    for _, service, endpoint in _list_endpoints(document):
        users.setdefault(endpoint.address, set()).add(service.id)
    return users


def _find_shared(uses: Iterable[_Use], what: str) -> Iterator[faults.Fault]:
    first: dict[Hashable, _Use] = {}
    for use in uses:
        other = first.setdefault(use.key, use)
        if other is not use:
            detail = f"{what} already belongs to {other.user} ({other.path})"
            yield _build_fault(use.path, FaultReason.CONFLICT, detail)


def _build_fault(path: str, reason: FaultReason, detail: str) -> faults.Fault:
    return faults.Fault(path=path, reason=reason, detail=detail)
