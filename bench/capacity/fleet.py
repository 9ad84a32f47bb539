"""Builds documents and balancers of both deployment sizes, without sockets."""

import functools
import itertools
import json
from typing import Any

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.balancer import balancer as balancers
from chivedoor.configuration import document as documents
from chivedoor.membership import members as memberships

TODAY_SERVICES = (7, 3)
TODAY_DOMAINS = ("a", "b", "c")
TODAY_MEMBERS = 12
PLANNED_DOMAINS = ("a", "b", "c", "d")
PLANNED_MEMBERS = 830
PLANNED_ADDRESSES = 2900
PLANNED_ENDPOINTS = 4600
# The planned document has one service per address. The distribution of
# endpoints over services is an assumption; the few large services dominate the
# cost of pulls and modes.
_LARGE_SERVICES = 20
_LARGE_ENDPOINTS = 51

STREAM_PORT = 8000
_POLICY = {
    "connections": 1_000_000,
    "slots": 1_000_000,
    "ramp_initial": 1_000_000,
    "ramp_step_s": 1,
    "request_deadline_s": 30,
    "drain_deadline_s": 3600,
    "idle_timeout_s": 3600,
    "flow_rate_per_s": 10_000_000,
    "priority": 1,
}


def list_service_sizes(endpoints: int) -> list[int]:
    """Returns the endpoint count per service, scaled from the planned size."""
    services = round(endpoints * PLANNED_ADDRESSES / PLANNED_ENDPOINTS)
    large = round(_LARGE_SERVICES * endpoints / PLANNED_ENDPOINTS)
    extra = endpoints - services - large * (_LARGE_ENDPOINTS - 1)
    return [
        _LARGE_ENDPOINTS if index < large else 2 if index < large + extra else 1
        for index in range(services)
    ]


def format_document(
    sizes: list[int] | tuple[int, ...],
    domains: tuple[str, ...],
    *,
    version: int = 1,
    health_port: int | None = 9001,
) -> bytes:
    """Returns a JSON document with services of the given endpoint counts."""
    numbers = itertools.count(1)
    half = (len(domains) + 1) // 2 if len(domains) > 3 else len(domains)
    regions: dict[str, dict[str, Any]] = {}
    for index, domain in enumerate(domains):
        region = "r1" if index < half else "r2"
        regions.setdefault(region, {})[domain] = {"out": False}
    value = {
        "format": 1,
        "version": version,
        "reuse_delay_s": 86400,
        "regions": regions,
        "policies": {"streams": _POLICY},
        "services": [
            {
                "id": f"service-{index}",
                "addresses": [f"203.0.{index // 250}.{index % 250 + 1}"],
                "policy": "streams",
                "ports": [
                    ["tcp", STREAM_PORT, STREAM_PORT, "stream", True],
                ],
                "endpoints": [
                    _format_endpoint(next(numbers), domains, health_port)
                    for _ in range(size)
                ],
            }
            for index, size in enumerate(sizes)
        ],
        "retired": [],
    }
    return json.dumps(value, separators=(",", ":")).encode()


@functools.cache
def load_today() -> documents.Document:
    """Returns a document of the current size."""
    return documents.parse_document(
        format_document(TODAY_SERVICES, TODAY_DOMAINS)
    )


@functools.cache
def load_planned(endpoints: int = PLANNED_ENDPOINTS) -> documents.Document:
    """Returns a document of the planned size, or scaled to `endpoints`."""
    return documents.parse_document(
        format_document(list_service_sizes(endpoints), PLANNED_DOMAINS)
    )


def build_members(
    count: int, domains: tuple[str, ...], local: int = 0
) -> memberships.Members:
    """Builds one member's view of `count` active members."""
    members = memberships.Members(local=build_member(local, domains))
    for number in range(count):
        if number != local:
            members.merge(build_member(number, domains), 0.0)
    return members


def build_member(
    number: int, domains: tuple[str, ...], incarnation: int = 1
) -> memberships.Member:
    """Builds the member with this number."""
    index = number % len(domains)
    half = (len(domains) + 1) // 2 if len(domains) > 3 else len(domains)
    return memberships.Member(
        id=ids.VmId(f"entry-{number:03}"),
        domain=ids.DomainId(domains[index]),
        region=ids.RegionId("r1" if index < half else "r2"),
        address=f"127.77.{number // 250}.{number % 250 + 1}",
        peer_port=17947,
        gossip_port=17946,
        channel_port=17948,
        incarnation=ids.Incarnation(incarnation),
        state=memberships.MemberState.ACTIVE,
    )


def build_balancer(
    document: documents.Document,
    count: int,
    domains: tuple[str, ...],
    local: int = 0,
    now: float = 0.0,
) -> balancers.Balancer:
    """Builds a balancer that knows the document and all members."""
    members = build_members(count, domains, local)
    balancer = balancers.Balancer(
        members=members,
        region=members.local.region,
        admission_factory=create_admission,
        salt=local,
        now=now,
    )
    balancer.apply_document(document=document, out_domains=frozenset(), now=now)
    return balancer


def create_admission(
    *, endpoint: documents.Endpoint, policy: documents.Policy, now: float
) -> admissions.TargetAdmission:
    """Creates the admission state of a warm target."""
    del endpoint
    return admissions.TargetAdmission(policy=policy, cold=False, now=now)


def build_fleet() -> dict[ids.VmId, balancers.Balancer]:
    """Builds all balancers of the current size, with all modes `DIRECT`."""
    fleet = {}
    for number in range(TODAY_MEMBERS):
        balancer = build_balancer(
            load_today(), TODAY_MEMBERS, TODAY_DOMAINS, number
        )
        fleet[balancer.context.local_id] = balancer
    for now in (40.0, 60.0):
        for balancer in fleet.values():
            balancer.tick(now)
            run_pulls(fleet, balancer, now)
    announce_modes(fleet, 90.0)
    return fleet


def run_pulls(
    fleet: dict[ids.VmId, balancers.Balancer],
    balancer: balancers.Balancer,
    now: float,
) -> None:
    """Runs all pending pulls of a balancer."""
    for pull in balancer.targets.list_pulls():
        cursor: int | None = 0
        while cursor is not None:
            batch = fleet[pull.identity.member].targets.read_flows(
                number=pull.number,
                base=pull.base,
                generation=pull.generation,
                after=cursor,
                reader=balancer.targets.get_local_identity(),
            )
            if batch is None:
                break
            balancer.targets.accept_flows(pull, batch, now)
            cursor = batch.cursor


def announce_modes(
    fleet: dict[ids.VmId, balancers.Balancer], now: float
) -> None:
    """Distributes the modes of all owners to all balancers."""
    modes = [
        mode
        for balancer in fleet.values()
        for mode in balancer.list_direct_modes(now)
    ]
    for balancer in fleet.values():
        for mode in modes:
            balancer.set_direct_mode(mode)


def _format_endpoint(
    number: int, domains: tuple[str, ...], health_port: int | None
) -> list[Any]:
    address = f"127.{1 + number // 62500}.{number // 250 % 250}.{number % 250}"
    domain = domains[number % len(domains)]
    return [number, address, domain, 100, "active", health_port]
