"""Hypothesis strategies for documents with common entries.

Successive versions of a document have most entries in common. Entries are
sampled from fixed pools, because a strategy for each field takes twice as long.
"""

import itertools
import operator

from hypothesis import strategies

from chivedoor.configuration import document

DOMAIN_IDS = ("a", "b", "c")
POLICY_IDS = ("streams", "uploads", "requests")
SERVICE_IDS = ("listening", "intake", "board")
ADDRESSES = (bytes([127, 1, 0, 1]), bytes([127, 1, 0, 2]), bytes(15) + b"\x01")
DURATIONS_S = (1, 2.5)

PORTS = tuple(
    document.ServicePort(
        protocol=protocol,
        port=port,
        target_port=port + 1000,
        kind=kind,
        idempotent=idempotent,
    )
    for protocol, port, kind, idempotent in itertools.product(
        document.Protocol, (8000, 8001), document.PortKind, (False, True)
    )
)
ENDPOINTS = tuple(
    document.Endpoint(
        number=number,
        address=address,
        domain=domain,
        weight=weight,
        state=state,
        health_port=health_port,
    )
    for number, address, domain, weight, state, health_port in (
        itertools.product(
            (1, 2, 3),
            ADDRESSES,
            DOMAIN_IDS,
            (1, 2),
            document.EndpointState,
            (None, 9001),
        )
    )
)
RETIRED = tuple(
    document.RetiredAddress(address=address, service=service, until_s=until_s)
    for address, service, until_s in itertools.product(
        ADDRESSES, SERVICE_IDS, DURATIONS_S
    )
)
POLICIES = {
    policy_id: tuple(
        document.Policy(
            id=policy_id,
            connections=connections,
            slots=1,
            ramp_initial=1,
            ramp_step_s=ramp_step_s,
            request_deadline_s=1,
            drain_deadline_s=1,
            idle_timeout_s=1,
            flow_rate_per_s=1,
            priority=0,
        )
        for connections, ramp_step_s in itertools.product((1, 2), DURATIONS_S)
    )
    for policy_id in POLICY_IDS
}
DOMAINS = {
    domain_id: tuple(
        document.Domain(id=domain_id, region=region, out=out)
        for region, out in itertools.product(("r1", "r2"), (False, True))
    )
    for domain_id in DOMAIN_IDS
}


def choose_from(pool, *key):
    """Chooses entries with different keys, sorted by key."""
    get_key = operator.attrgetter(*key)
    return strategies.lists(
        strategies.sampled_from(pool), max_size=3, unique_by=get_key
    ).map(lambda chosen: tuple(sorted(chosen, key=get_key)))


addresses = strategies.lists(
    strategies.sampled_from(ADDRESSES), max_size=2, unique=True
).map(tuple)
ports = choose_from(PORTS, "protocol", "port")
endpoints = choose_from(ENDPOINTS, "number")
retired = choose_from(RETIRED, "address", "service")


def choose_by_id(pools, min_size=0):
    """Chooses entries with different ids from the pools, as a mapping by id."""
    entries = tuple(itertools.chain.from_iterable(pools.values()))
    return strategies.lists(
        strategies.sampled_from(entries),
        min_size=min_size,
        max_size=3,
        unique_by=lambda entry: entry.id,
    ).map(lambda chosen: {entry.id: entry for entry in chosen})


def build_services(service_id, policies):
    return strategies.builds(
        document.Service,
        id=strategies.just(service_id),
        addresses=addresses,
        policy=strategies.sampled_from(tuple(policies.values())),
        ports=ports,
        endpoints=endpoints,
    )


@strategies.composite
def documents(draw, version=1):
    """Builds documents that the parser accepts; semantic checks may fail."""
    policies = draw(choose_by_id(POLICIES, min_size=1))
    service_ids = draw(
        strategies.lists(strategies.sampled_from(SERVICE_IDS), unique=True)
    )
    return document.Document(
        version=version,
        reuse_delay_s=draw(strategies.sampled_from(DURATIONS_S)),
        domains=draw(choose_by_id(DOMAINS)),
        policies=policies,
        services={
            service_id: draw(build_services(service_id, policies))
            for service_id in service_ids
        },
        retired=draw(retired),
    )
