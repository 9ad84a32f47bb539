"""Lookup of services and endpoints by protocol, address and port."""

from collections.abc import Mapping
import dataclasses

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.routing import tables

_Address = tuple[int, bytes, int]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ServiceRoutes:
    """The routing state of one service.

    Attributes:
      service: The service as listed in the document in force.
      table: The table of the current generation.
      full_table: The table that also includes failure domains that are out.
      previous_table: The table of the previous generation, if any. A flow that
        is unknown to the owner of its new base target may still be open on the
        previous one.
      direct_endpoints: Numbers of the endpoints whose mode is `DIRECT`.
    """

    service: documents.Service
    table: tables.RoutingTable
    full_table: tables.RoutingTable
    previous_table: tables.RoutingTable | None = None
    direct_endpoints: frozenset[ids.EndpointNumber] = frozenset()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class ServiceEntry:
    """A port of a service, as addressed by packets from callers."""

    routes: ServiceRoutes
    port: documents.ServicePort
    address: bytes


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class EndpointEntry:
    """A port of an endpoint, as the source of packets from targets."""

    routes: ServiceRoutes
    port: documents.ServicePort
    endpoint: documents.Endpoint
    service_address: bytes


class ServiceDirectory:
    """Looks up services and endpoints of the document in force.

    Services and endpoints are indexed by protocol, address and port.
    """

    def __init__(self) -> None:
        self.routes: dict[ids.ServiceId, ServiceRoutes] = {}
        self.services: dict[_Address, ServiceEntry] = {}
        self.endpoints: dict[_Address, EndpointEntry] = {}
        self.endpoints_by_number: dict[
            ids.EndpointNumber, tuple[ServiceRoutes, documents.Endpoint]
        ] = {}

    def update(
        self,
        *,
        document: documents.Document,
        out_domains: frozenset[ids.DomainId],
        region: ids.RegionId,
    ) -> list[ServiceRoutes]:
        """Applies a document and the set of domains that are out.

        Returns:
          The routes of the services whose generation changed.
        """
        changed = []
        routes: dict[ids.ServiceId, ServiceRoutes] = {}
        for service in document.services.values():
            existing = self.routes.get(service.id)
            current, is_changed = _update_routes(
                existing=existing,
                service=service,
                domains=document.domains,
                out_domains=out_domains,
                region=region,
            )
            routes[service.id] = current
            if is_changed:
                changed.append(current)
        self.routes = routes
        self._index_entries()
        return changed

    def _index_entries(self) -> None:
        self.services = {
            (int(port.protocol), address, port.port): ServiceEntry(
                routes=routes, port=port, address=address
            )
            for routes in self.routes.values()
            for address in routes.service.addresses
            for port in routes.service.ports
        }
        self.endpoints = {
            (int(port.protocol), endpoint.address, port.target_port): (
                EndpointEntry(
                    routes=routes,
                    port=port,
                    endpoint=endpoint,
                    service_address=address,
                )
            )
            for routes in self.routes.values()
            for endpoint in routes.service.endpoints
            for address in routes.service.addresses
            if len(address) == len(endpoint.address)
            for port in routes.service.ports
        }
        self.endpoints_by_number = {
            endpoint.number: (routes, endpoint)
            for routes in self.routes.values()
            for endpoint in routes.service.endpoints
        }


def _update_routes(
    *,
    existing: ServiceRoutes | None,
    service: documents.Service,
    domains: Mapping[ids.DomainId, documents.Domain],
    out_domains: frozenset[ids.DomainId],
    region: ids.RegionId,
) -> tuple[ServiceRoutes, bool]:
    selected = tables.select_endpoints(
        service=service,
        domains=domains,
        out_domains=out_domains,
        region=region,
    )
    table = tables.RoutingTable(endpoints=selected)
    full_table = tables.RoutingTable(
        endpoints=tables.select_endpoints(
            service=service,
            domains=domains,
            out_domains=frozenset(),
            region=region,
        )
    )
    if existing is None:
        routes = ServiceRoutes(
            service=service, table=table, full_table=full_table
        )
        return routes, True
    existing.service = service
    existing.full_table = full_table
    if existing.table.generation == table.generation:
        return existing, False
    existing.previous_table = existing.table
    existing.table = table
    existing.direct_endpoints = frozenset()
    return existing, True
