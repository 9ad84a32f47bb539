"""Data types of the document and its strict parser."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import functools
import operator
import types
from typing import Any
from typing import Final
from typing import NewType

from chivedoor import ids
from chivedoor.configuration import const
from chivedoor.configuration import exceptions
from chivedoor.configuration import faults
from chivedoor.configuration import fields

PolicyId = NewType("PolicyId", str)

FaultReason = faults.FaultReason


class Protocol(enum.IntEnum):
    """Transport protocol; the value is the IP protocol number."""

    TCP = 6
    UDP = 17


class PortKind(enum.Enum):
    """Kind of the flows of a port, which determines their use of the target."""

    STREAM = "stream"
    UPLOAD = "upload"
    REQUEST = "request"


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new flows."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain:
    """Failure domain.

    Attributes:
        id: Name, unique over all regions.
        region: Region that contains the failure domain.
        out: Whether the document takes the domain out of service.
    """

    id: ids.DomainId
    region: ids.RegionId
    out: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Limits for the targets of a service; durations are in seconds.

    Attributes:
        id: Name of the policy.
        connections: Maximum number of open flows per target.
        slots: Maximum number of open request and upload flows per target.
        ramp_initial: Initial limit of a cold target, both for new flows per
            second and for slots.
        ramp_step_s: Time after which the limit of a cold target doubles.
        request_deadline_s: Time within which every request finishes.
        drain_deadline_s: Time for which flows of a draining target may go on.
        idle_timeout_s: Time without packets after which a flow expires.
        flow_rate_per_s: Maximum rate of new flows per service and balancer.
        priority: Priority of the service under overload; higher values are
            served first.
    """

    id: PolicyId
    connections: int
    slots: int
    ramp_initial: int
    ramp_step_s: float
    request_deadline_s: float
    drain_deadline_s: float
    idle_timeout_s: float
    flow_rate_per_s: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePort:
    """Port of a service.

    Attributes:
        protocol: Transport protocol.
        port: Port on the service's addresses.
        target_port: Port on the endpoints' addresses.
        kind: Kind of the flows of the port.
        idempotent: Whether a request may run more than once.
    """

    protocol: Protocol
    port: int
    target_port: int
    kind: PortKind
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Target of a service.

    Attributes:
        number: Unique number, never reused.
        address: Packed address, 4 or 16 bytes.
        domain: Failure domain of the target.
        weight: Share of the service's flows, relative to other endpoints.
        state: Whether the endpoint accepts new flows.
        health_port: Port for health checks; None when there is none.
    """

    number: ids.EndpointNumber
    address: bytes
    domain: ids.DomainId
    weight: int
    state: EndpointState
    health_port: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service with its addresses, ports and endpoints."""

    id: ids.ServiceId
    addresses: tuple[bytes, ...]
    policy: Policy
    ports: tuple[ServicePort, ...]
    endpoints: tuple[Endpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetiredAddress:
    """Address that is still reserved for its former service.

    Attributes:
        address: Packed address, 4 or 16 bytes.
        service: Service that used the address.
        until_s: End of the reservation, in seconds of the Unix epoch.
    """

    address: bytes
    service: ids.ServiceId
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """Configuration shared by all balancers.

    Attributes:
        version: Version number, which increases with every document.
        reuse_delay_s: Time that the address of a removed endpoint stays
            reserved, in seconds.
        domains: Failure domains by id.
        policies: Policies by id.
        services: Services by id.
        retired: Reserved addresses, sorted by address and service.
    """

    version: ids.Version
    reuse_delay_s: float
    domains: Mapping[ids.DomainId, Domain]
    policies: Mapping[PolicyId, Policy]
    services: Mapping[ids.ServiceId, Service]
    retired: tuple[RetiredAddress, ...]

    def __post_init__(self) -> None:
        """Sorts the reserved addresses, so that their order does not matter."""
        ordered = tuple(sorted(self.retired, key=get_retired_key))
        object.__setattr__(self, "retired", ordered)


PROTOCOLS: Final = types.MappingProxyType(
    {protocol.name.lower(): protocol for protocol in Protocol}
)
PORT_KINDS: Final = types.MappingProxyType(
    {kind.value: kind for kind in PortKind}
)
ENDPOINT_STATES: Final = types.MappingProxyType(
    {state.value: state for state in EndpointState}
)

_DOCUMENT_FIELDS: Final = (
    "format",
    "version",
    "reuse_delay_s",
    "regions",
    "policies",
    "services",
    "retired",
)
_SERVICE_FIELDS: Final = ("id", "addresses", "policy", "ports", "endpoints")
PORT_COLUMNS: Final = (
    "protocol",
    "port",
    "target_port",
    "kind",
    "idempotent",
)
ENDPOINT_COLUMNS: Final = (
    "number",
    "address",
    "domain",
    "weight",
    "state",
    "health_port",
)
RETIRED_COLUMNS: Final = ("address", "service", "until_s")
_INTEGER_LIMITS: Final = types.MappingProxyType(
    {
        "connections": (1, const.MAX_CONNECTIONS),
        "slots": (1, const.MAX_SLOTS),
        "ramp_initial": (1, const.MAX_RAMP_INITIAL),
        "flow_rate_per_s": (1, const.MAX_FLOW_RATE_PER_S),
        "priority": (0, const.MAX_PRIORITY),
    }
)
_DURATION_LIMITS_S: Final = types.MappingProxyType(
    {
        "ramp_step_s": (const.MIN_DURATION_S, const.MAX_RAMP_STEP_S),
        "request_deadline_s": (
            const.MIN_DURATION_S,
            const.MAX_REQUEST_DEADLINE_S,
        ),
        "drain_deadline_s": (const.MIN_DURATION_S, const.MAX_DRAIN_DEADLINE_S),
        "idle_timeout_s": (const.MIN_DURATION_S, const.MAX_IDLE_TIMEOUT_S),
    }
)
POLICY_FIELDS: Final = (*_INTEGER_LIMITS, *_DURATION_LIMITS_S)


def parse_document(data: bytes) -> Document:
    """Parses a document.

    Args:
        data: JSON text in UTF-8, at most `const.MAX_DOCUMENT_BYTES` long.

    Returns:
        The document, whose semantic rules are checked in `checks`.

    Raises:
        exceptions.DocumentError: Lists all faults of the document.
    """
    return _build_document(load_limited_json(data))


def get_retired_key(entry: RetiredAddress) -> tuple[bytes, ids.ServiceId]:
    """Returns the key that is unique among the reservations of a document."""
    return entry.address, entry.service


def load_limited_json(data: bytes) -> Any:
    """Parses JSON text of limited size.

    Args:
        data: JSON text in UTF-8.

    Returns:
        The value; every object in it is a `fields.JsonObject`.

    Raises:
        exceptions.DocumentError: The text is too long or not JSON.
    """
    if len(data) > const.MAX_DOCUMENT_BYTES:
        detail = f"{len(data)} bytes; the limit is {const.MAX_DOCUMENT_BYTES}"
        raise _build_error(FaultReason.TOO_LARGE, detail)
    try:
        return fields.load_json(data)
    except RecursionError as error:
        detail = "values are nested too deeply"
        raise _build_error(FaultReason.SYNTAX, detail) from error
    except ValueError as error:
        raise _build_error(FaultReason.SYNTAX, str(error)) from error


def _build_error(reason: FaultReason, detail: str) -> exceptions.DocumentError:
    fault = faults.Fault(path="", reason=reason, detail=detail)
    return exceptions.DocumentError(faults=[fault])


def _build_document(value: object) -> Document:
    reader = fields.FieldReader()
    sections = SectionParser(reader=reader)
    record = reader.open_object(value, fields.ROOT, _DOCUMENT_FIELDS)
    record.read(
        "format",
        reader.read_integer,
        const.DOCUMENT_FORMAT,
        const.DOCUMENT_FORMAT,
    )
    version = record.read("version", sections.parse_version)
    reuse_delay_s = record.read("reuse_delay_s", sections.parse_reuse_delay)
    domains = record.read("regions", sections.parse_regions)
    policies = record.read("policies", sections.parse_policies)
    services = record.read("services", sections.parse_services, policies)
    retired = record.read("retired", sections.parse_retired)
    if reader.faults:
        raise exceptions.DocumentError(faults=reader.faults)
    return Document(
        version=version,
        reuse_delay_s=reuse_delay_s,
        domains=types.MappingProxyType(domains),
        policies=types.MappingProxyType(policies),
        services=types.MappingProxyType(services),
        retired=retired,
    )


class SectionParser:
    """Parses the sections of a document; the reader collects the faults.

    Results are valid only if the reader has no faults.
    """

    def __init__(self, *, reader: fields.FieldReader) -> None:
        self._reader = reader

    def parse_version(self, value: object, path: fields.Path) -> Any:
        """Returns the version."""
        return self._reader.read_integer(value, path, 1, const.MAX_VERSION)

    def parse_reuse_delay(self, value: object, path: fields.Path) -> Any:
        """Returns the reuse delay in seconds."""
        return self._reader.read_number(
            value, path, const.MIN_REUSE_DELAY_S, const.MAX_REUSE_DELAY_S
        )

    def parse_regions(
        self, value: object, path: fields.Path
    ) -> dict[ids.DomainId, Domain]:
        """Returns the failure domains of all regions."""
        domains: dict[ids.DomainId, Domain] = {}
        for region, region_path, contents in self._read_entries(value, path):
            for name, path, content in self._read_entries(
                contents, region_path
            ):
                if name in domains:
                    detail = "another region already has this failure domain"
                    self._reader.add_fault(path, FaultReason.DUPLICATE, detail)
                record = self._reader.open_object(content, path, ("out",))
                domain_id = ids.DomainId(name)
                domains[domain_id] = Domain(
                    id=domain_id,
                    region=ids.RegionId(region),
                    out=record.read("out", self._reader.read_boolean),
                )
        return domains

    def parse_policies(
        self, value: object, path: fields.Path
    ) -> dict[PolicyId, Policy]:
        """Returns the policies."""
        return {
            PolicyId(name): self._parse_policy(name, content, content_path)
            for name, content_path, content in self._read_entries(value, path)
        }

    def _parse_policy(
        self, name: str, value: object, path: fields.Path
    ) -> Policy:
        record = self._reader.open_object(value, path, POLICY_FIELDS)
        integers = {
            field: record.read(field, self._reader.read_integer, low, high)
            for field, (low, high) in _INTEGER_LIMITS.items()
        }
        durations_s = {
            field: record.read(field, self._reader.read_number, low, high)
            for field, (low, high) in _DURATION_LIMITS_S.items()
        }
        return Policy(id=PolicyId(name), **integers, **durations_s)

    def _read_entries(
        self, value: object, path: fields.Path
    ) -> Iterator[tuple[str, fields.Path, Any]]:
        record = self._reader.open_object(value, path)
        for name, content_path, content in record.list_entries():
            self._reader.read_id(name, content_path)
            yield name, content_path, content

    def parse_services(
        self,
        value: object,
        path: fields.Path,
        policies: Mapping[PolicyId, Policy] | None,
    ) -> dict[ids.ServiceId, Service]:
        """Returns the services, with their policies resolved."""
        services = self._reader.read_items(
            value,
            path,
            functools.partial(self._parse_service, policies),
            operator.attrgetter("id"),
        )
        return {service.id: service for service in services}

    def _parse_service(
        self,
        policies: Mapping[PolicyId, Policy] | None,
        value: object,
        path: fields.Path,
    ) -> Service | None:
        record = self._reader.open_object(value, path, _SERVICE_FIELDS)
        service = Service(
            id=record.read("id", self._reader.read_id),
            addresses=record.read("addresses", self._parse_addresses),
            policy=record.read("policy", self._find_policy, policies),
            ports=record.read("ports", self._parse_ports),
            endpoints=record.read("endpoints", self._parse_endpoints),
        )
        return None if service.id is None else service

    def _find_policy(
        self,
        value: object,
        path: fields.Path,
        policies: Mapping[PolicyId, Policy] | None,
    ) -> Policy | None:
        name = self._reader.read_id(value, path)
        if name is None or policies is None:
            return None
        if name not in policies:
            detail = f"the document has no policy {name}"
            self._reader.add_fault(path, FaultReason.UNKNOWN_REFERENCE, detail)
        return policies.get(PolicyId(name))

    def _parse_addresses(
        self, value: object, path: fields.Path
    ) -> tuple[bytes, ...]:
        return self._reader.read_items(
            value, path, self._reader.read_address, bytes
        )

    def _parse_ports(
        self, value: object, path: fields.Path
    ) -> tuple[ServicePort, ...]:
        return self._reader.read_items(
            value,
            path,
            self._parse_port,
            operator.attrgetter("protocol", "port"),
        )

    def _parse_port(
        self, value: object, path: fields.Path
    ) -> ServicePort | None:
        reader = self._reader
        row = reader.open_row(value, path, PORT_COLUMNS)
        port = ServicePort(
            protocol=row.read("protocol", reader.read_choice, PROTOCOLS),
            port=row.read("port", reader.read_integer, 1, const.MAX_PORT),
            target_port=row.read(
                "target_port", reader.read_integer, 1, const.MAX_PORT
            ),
            kind=row.read("kind", reader.read_choice, PORT_KINDS),
            idempotent=row.read("idempotent", reader.read_boolean),
        )
        return None if None in (port.protocol, port.port) else port

    def _parse_endpoints(
        self, value: object, path: fields.Path
    ) -> tuple[Endpoint, ...]:
        return self._reader.read_items(
            value, path, self._parse_endpoint, operator.attrgetter("number")
        )

    def _parse_endpoint(
        self, value: object, path: fields.Path
    ) -> Endpoint | None:
        reader = self._reader
        row = reader.open_row(value, path, ENDPOINT_COLUMNS)
        endpoint = Endpoint(
            number=row.read(
                "number", reader.read_integer, 1, const.MAX_ENDPOINT_NUMBER
            ),
            address=row.read("address", reader.read_address),
            domain=row.read("domain", reader.read_id),
            weight=row.read("weight", reader.read_integer, 1, const.MAX_WEIGHT),
            state=row.read("state", reader.read_choice, ENDPOINT_STATES),
            health_port=row.read("health_port", self._parse_health_port),
        )
        return None if endpoint.number is None else endpoint

    def _parse_health_port(
        self, value: object, path: fields.Path
    ) -> int | None:
        if value is None:
            return None
        return self._reader.read_integer(value, path, 1, const.MAX_PORT)

    def parse_retired(
        self, value: object, path: fields.Path
    ) -> tuple[RetiredAddress, ...]:
        """Returns the reserved addresses."""
        return self._reader.read_items(
            value,
            path,
            self._parse_retired_entry,
            get_retired_key,
        )

    def _parse_retired_entry(
        self, value: object, path: fields.Path
    ) -> RetiredAddress | None:
        reader = self._reader
        row = reader.open_row(value, path, RETIRED_COLUMNS)
        entry = RetiredAddress(
            address=row.read("address", reader.read_address),
            service=row.read("service", reader.read_id),
            until_s=row.read(
                "until_s", reader.read_number, 0, const.MAX_WALL_CLOCK_S
            ),
        )
        return None if entry.address is None else entry
