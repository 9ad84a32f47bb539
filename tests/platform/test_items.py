"""Tests of decoding store records, including invalid ones."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.feed import records
from chivedoor.platform import items
from chivedoor.platform import packets
from chivedoor.steering import view as views

REVISION = records.Revision(era=ids.Era(1), number=3)

ENDPOINT_ENTRY = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "concurrency": 4,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "idempotent",
            "backends": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
                {"service": "s3", "weight": 0},
            ],
        },
        {
            "name": "r2",
            "host": "198.18.0.2",
            "prefix": "/80/",
            "type": "upload",
            "service": "s2",
        },
    ],
    "services": [{"name": "s1", "warmup_per_s": 12.5}, {"name": "s2"}],
    "limits": {},
}


def decode(key: str, value: object, now: float = 50.0) -> views.Change | None:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    record = records.Record(key=key, value=data, revision=REVISION)
    return items.decode_record(record, now)


def test_endpoint_entry() -> None:
    """Guards against confusing the fields of an endpoint entry."""
    change = decode("servers/i-7f3a91c2", ENDPOINT_ENTRY)
    assert isinstance(change, views.ListedEndpoint)
    endpoint = change.endpoint
    assert endpoint.numeric_id == 0x7F3A91C2
    assert endpoint.address == ("10.128.0.9", 8080)
    assert endpoint.slots == 4
    assert not endpoint.draining
    assert endpoint.cold_until == 0.0
    assert endpoint.incarnation == 1700000000000


def test_cold_and_draining_entries() -> None:
    """Guards against overloading cold targets and using draining ones."""
    change = decode("servers/i-1", ENDPOINT_ENTRY | {"warmup_left_ms": 1500})
    assert change.endpoint.cold_until == 51.5
    change = decode("servers/i-1", ENDPOINT_ENTRY | {"state": "draining"})
    assert change.endpoint.draining


def test_deleted_entry() -> None:
    """Guards against keeping an endpoint whose entry was deleted."""
    record = records.Record(key="servers/i-1", value=None, revision=REVISION)
    change = items.decode_record(record, 0.0)
    assert change == views.RemovedEndpoint(endpoint_id=ids.EndpointId("i-1"))


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"zone": ""},
        {"state": "paused"},
        {"state": ["ready"]},
        {"concurrency": "4"},
        {"concurrency": True},
        {"warmup_left_ms": -5},
        {"warmup_left_ms": float("nan")},
        {"born": "yesterday"},
        {"born": 1.5},
        {"born": 10**4000},
        {"sequence": 4.5},
        {"concurrency": 4.0},
        {"version": 1},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1: 80"},
        {"address": "10.0.0.1:8_0"},
        {"address": "10.0.0.1:\u0661"},
        {"address": "0.0.0.0:80"},
        {"address": "224.0.0.1:80"},
        {"address": "255.255.255.255:80"},
    ],
)
def test_invalid_entry_is_rejected(change: dict) -> None:
    """Guards against accepting invalid entries from other writers."""
    with pytest.raises(items.UnusableValueError):
        decode("servers/i-1", ENDPOINT_ENTRY | change)


@pytest.mark.parametrize("name", sorted(ENDPOINT_ENTRY))
def test_entry_without_a_field_is_rejected(name: str) -> None:
    """Guards against defaults that make a draining endpoint ready (review/2).

    Another writer put an entry under its id; endpoints write all fields.
    """
    entry = {key: ENDPOINT_ENTRY[key] for key in ENDPOINT_ENTRY if key != name}
    with pytest.raises(items.UnusableValueError):
        decode("servers/i-1", entry)


@pytest.mark.parametrize(
    "value",
    [
        json.dumps(ENDPOINT_ENTRY).encode("utf-16"),
        json.dumps(ENDPOINT_ENTRY).encode("utf-32"),
        b'{"a":' * 200_000,
        b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
        b'{"born":' + b"9" * 5_000 + b"}",
        b'{"born":1e400}',
    ],
)
def test_undecodable_entry_is_rejected(value: bytes) -> None:
    """Guards against entries of other writers that end the process."""
    with pytest.raises(items.UnusableValueError):
        decode("servers/i-1", value)


@pytest.mark.parametrize("endpoint_id", ["", "xyz", "i-" + "f" * 17])
def test_unusable_endpoint_id_is_rejected(endpoint_id: str) -> None:
    """Guards against endpoints without a number to address packets by."""
    with pytest.raises(items.UnusableValueError):
        decode(f"servers/{endpoint_id}", ENDPOINT_ENTRY)


def test_configuration() -> None:
    """Guards against decoding routes, weights or limits wrongly."""
    change = decode("op/config", CONFIGURATION)
    assert isinstance(change, views.Configuration)
    first = change.routes[packets.make_route_key("198.18.0.1", 8443)]
    assert first.weighted_services == (("s1", 90), ("s2", 10))
    second = change.routes[packets.make_route_key("198.18.0.2", 80)]
    assert second.weighted_services == (("s2", 1.0),)
    assert change.services["s1"].warmup_per_s == 12.5
    assert change.version == 7


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"[" * 100_000,
        {},
        CONFIGURATION | {"version": "7"},
        CONFIGURATION | {"version": True},
        CONFIGURATION | {"routes": {}},
        CONFIGURATION | {"routes": [5]},
        CONFIGURATION | {"services": None},
        CONFIGURATION | {"routes": [{"name": "r"}]},
    ],
)
def test_invalid_configuration_is_rejected(value: object) -> None:
    """Guards against applying a configuration only in part."""
    with pytest.raises(items.UnusableValueError):
        decode("op/config", value)


@pytest.mark.parametrize(
    ("route_type", "idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
    ],
)
def test_repeatable_route_types(route_type: str, idempotent: bool) -> None:
    """Guards against downloads that wait for a target that is gone."""
    route = CONFIGURATION["routes"][1] | {"type": route_type}
    change = decode("op/config", CONFIGURATION | {"routes": [route]})
    assert [r.idempotent for r in change.routes.values()] == [idempotent]


def test_goal_of_a_route() -> None:
    """Guards against a goal in the wrong unit, and against a missing one."""
    first, second = CONFIGURATION["routes"]
    routes = [first | {"target_latency_ms": 251}, second]
    change = decode("op/config", CONFIGURATION | {"routes": routes})
    assert [route.goal_s for route in change.routes.values()] == [0.251, 0.0]


def test_priorities_and_flow_limits_are_decoded() -> None:
    """Guards against an important route that is treated like all others."""
    first, second = CONFIGURATION["routes"]
    change = decode(
        "op/config",
        CONFIGURATION
        | {
            "routes": [first | {"priority": 2}, second],
            "services": [{"name": "s1", "max_connections": 3194}],
        },
    )
    assert isinstance(change, views.Configuration)
    assert [route.priority for route in change.routes.values()] == [2, 0]
    assert change.services["s1"].max_flows == 3194


def test_domain_evacuation_keys() -> None:
    """Guards against a domain that stays out after its key was deleted."""
    change = decode("op/evacuate/a", {})
    assert change == views.DomainState(domain=ids.DomainId("a"), out=True)
    record = records.Record(key="op/evacuate/a", value=None, revision=REVISION)
    change = items.decode_record(record, 0.0)
    assert change == views.DomainState(domain=ids.DomainId("a"), out=False)


def test_unknown_key_is_ignored() -> None:
    """Guards against errors on keys that balancers do not use."""
    assert decode("my/leader", b"node-1") is None


@hypothesis.given(
    strategies.sampled_from(["servers/i-1", "op/config", "op/evacuate/a"]),
    strategies.binary(max_size=60)
    | strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.floats()
        | strategies.text(max_size=5),
        lambda children: (
            strategies.lists(children, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from([*ENDPOINT_ENTRY, *CONFIGURATION]),
                children,
                max_size=6,
            )
        ),
    ),
)
def test_any_value_is_decoded_or_rejected(key: str, value: object) -> None:
    """Guards against exceptions other than UnusableValueError."""
    with contextlib.suppress(items.UnusableValueError):
        decode(key, value)
