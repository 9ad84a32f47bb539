"""Tests of the semantic checks.

In the tables, each comment names the failure that the row guards against.
"""

import dataclasses

import pytest

from chivedoor.configuration import checks
from chivedoor.configuration import const
from chivedoor.configuration import document
from tests.configuration import editing

WALL_S = 1_000_000
DELAY_S = 86_400
END_S = WALL_S + DELAY_S


@pytest.fixture
def check(encode):
    """Returns a function that checks a JSON value against a previous one."""

    def run(value, previous=None, **arguments):
        parsed = [
            item and document.parse_document(encode(item))
            for item in (value, previous)
        ]
        found = checks.check_document(*parsed, wall_s=WALL_S, **arguments)
        return editing.format_faults(found)

    return run


def test_examples_have_no_faults(examples_path):
    # Guards against examples that no balancer accepts.
    for path in examples_path.glob("*.json"):
        parsed = document.parse_document(path.read_bytes())
        assert checks.check_document(parsed, None, wall_s=WALL_S) == []


@pytest.mark.parametrize(
    ("edits", "faults"),
    [
        # Refusing one address with different target ports in two services.
        ({}, []),
        # Flow records that name two endpoints.
        (
            {"services[1].endpoints[0][0]": 1},
            ["services[1].endpoints[0].number: conflict"],
        ),
        # Replies that are rewritten to the wrong service.
        (
            {"services[1].ports[0][2]": 9000},
            ["services[1].endpoints[0].address: conflict"],
        ),
        # Replies that belong to two endpoints.
        (
            {"services[0].endpoints[1][1]": "127.1.0.1"},
            ["services[0].endpoints[1].address: conflict"],
        ),
        # Replies that belong to two ports of the service.
        (
            {"services[0].ports[2]": ["tcp", 8001, 9000, "stream", True]},
            ["services[0].ports[2].target_port: conflict"],
        ),
        # A new flow that belongs to two services.
        (
            {"services[1].addresses": ["203.0.113.10"]},
            ["services[1].ports[0].port: conflict"],
        ),
        # Refusing services that share an address with different ports.
        (
            {
                "services[1].addresses": ["203.0.113.10"],
                "services[1].ports[0][1]": 8001,
            },
            [],
        ),
        # Packets that are both a request and a reply.
        (
            {
                "services[1].addresses": ["127.1.0.2"],
                "services[1].ports[0][1]": 9000,
            },
            ["services[1].ports[0].port: conflict"],
        ),
        # Replies whose service address is not determined.
        (
            {"services[1].addresses": []},
            ["services[1].addresses: invalid value"],
        ),
        (
            {"services[1].addresses[1]": "203.0.113.12"},
            ["services[1].addresses: invalid value"],
        ),
        # IPv4 packets rewritten with an IPv6 address.
        (
            {"services[1].addresses": ["2001:db8::1"]},
            ["services[1].endpoints[0].address: conflict"],
        ),
        # A service that nobody can reach.
        ({"services[1].ports": []}, ["services[1].ports: invalid value"]),
        # Targets without owners.
        (
            {"services[0].endpoints[1][2]": "z"},
            ["services[0].endpoints[1].domain: unknown reference"],
        ),
        # Limits that parse but contradict each other.
        (
            {"policies.streams.slots": 4001},
            ["policies.streams.slots: out of range"],
        ),
        (
            {"policies.streams.ramp_initial": 4001},
            ["policies.streams.ramp_initial: out of range"],
        ),
        (
            {"policies.streams.drain_deadline_s": 29},
            ["policies.streams.drain_deadline_s: out of range"],
        ),
        (
            {"policies.streams.idle_timeout_s": 29},
            ["policies.streams.idle_timeout_s: out of range"],
        ),
        # A stale balancer whose packets reach another service.
        (
            {"retired": [["127.1.0.1", "former", WALL_S + 1]]},
            [
                "services[0].endpoints[0].address: reserved address",
                "services[1].endpoints[0].address: reserved address",
            ],
        ),
        # Addresses that stay reserved after their time.
        ({"retired": [["127.1.0.1", "former", WALL_S]]}, []),
        # A removal that cannot be undone for a day.
        ({"retired": [["127.1.0.2", "listening", WALL_S + 1]]}, []),
    ],
)
def test_document_alone(check, value, edits, faults):
    assert check(editing.edit(value, **edits)) == faults


def test_policy_that_is_not_in_the_document_is_a_fault(value, encode):
    # Guards against a service built from a difference with another policy.
    parsed = document.parse_document(encode(value))
    service = parsed.services["intake"]
    policy = dataclasses.replace(service.policy, slots=1)
    service = dataclasses.replace(service, policy=policy)
    services = {**parsed.services, "intake": service}
    changed = dataclasses.replace(parsed, services=services)
    found = checks.check_document(changed, None, wall_s=WALL_S)
    assert editing.format_faults(found) == [
        "services[1].policy: unknown reference"
    ]


NOT_RETIRED = "retired: address not retired"
REMOVAL = {"services[0].endpoints[1]": None}
RETIREMENT = {"retired[1]": ["127.1.0.2", "listening", END_S]}
# An address and port of one service go to the other, with a new number.
MOVE = {
    **REMOVAL,
    "services[1].endpoints[1]": [4, "127.1.0.2", "b", 50, "active", None],
    "services[0].ports[0][2]": 9010,
    "services[1].ports[0][2]": 9000,
}
MOVE_FAULTS = [
    "services[1].endpoints[0].address: reserved address",
    "services[1].endpoints[1].address: reserved address",
]


@pytest.mark.parametrize(
    ("edits", "age_s", "faults"),
    [
        # Refusing a document that only has a higher version.
        ({}, 0, []),
        # A return to an older document.
        ({"version": 6}, 0, ["version: version"]),
        ({"version": 7}, 0, ["version: version"]),
        # Flow records that suddenly mean another target.
        (
            {"services[0].endpoints[1][1]": "127.1.0.9", **RETIREMENT},
            0,
            ["services[0].endpoints[1].number: conflict"],
        ),
        # Flow records that suddenly mean another service, also when the
        # previous document is long out of date.
        (
            {
                **REMOVAL,
                "services[1].endpoints[1]": [
                    *(2, "127.1.0.2", "b", 50, "active", None)
                ],
            },
            2 * DELAY_S,
            ["services[1].endpoints[1].number: conflict"],
        ),
        # Packets of established flows that reach the new service.
        (MOVE, 0, [*MOVE_FAULTS, NOT_RETIRED]),
        # A balancer that missed the removal and never accepts a document.
        (MOVE, DELAY_S, [*MOVE_FAULTS, NOT_RETIRED]),
        (MOVE, DELAY_S + 1, []),
        # A reservation that is written after the fact.
        (
            {**MOVE, "retired[1]": ["127.1.0.2", "listening", WALL_S]},
            0,
            [*MOVE_FAULTS, NOT_RETIRED],
        ),
        # An address that a later document gives away too early.
        (REMOVAL, 0, [NOT_RETIRED]),
        ({**REMOVAL, **RETIREMENT}, 0, []),
        # A reservation that ends before stale balancers stop.
        (
            {
                **REMOVAL,
                **RETIREMENT,
                "retired[1][2]": END_S - const.RESERVATION_TOLERANCE_S - 1,
            },
            0,
            [NOT_RETIRED],
        ),
        # Refusing a console whose clock differs within the tolerance.
        (
            {
                **REMOVAL,
                **RETIREMENT,
                "retired[1][2]": END_S - const.RESERVATION_TOLERANCE_S,
            },
            0,
            [],
        ),
        # Refusing a removal that happened an hour ago.
        ({**REMOVAL, **RETIREMENT, "retired[1][2]": END_S - 3600}, 3600, []),
        # A reservation that ends the use of a shared address.
        ({"services[0].endpoints[0]": None}, 0, []),
    ],
)
def test_document_after_another(check, value, edits, age_s, faults):
    successor = editing.edit(value, **{"version": 8, **edits})
    assert check(successor, value, previous_age_s=age_s) == faults


NEW_INTAKE = {
    "services[1].endpoints[1]": [4, "127.1.0.9", "b", 50, "active", None]
}


@pytest.mark.parametrize(
    ("until_s", "edits", "faults"),
    [
        # An address that is free because its entry was deleted or edited.
        (END_S, {"retired": []}, [NOT_RETIRED]),
        (END_S, {"retired[0][2]": END_S - 1}, [NOT_RETIRED]),
        # An entry that is dropped in the document that uses the address,
        # within the tolerance for clocks.
        (
            WALL_S + 1,
            {"retired": [], **NEW_INTAKE},
            ["services[1].endpoints[1].address: reserved address"],
        ),
        # A list that grows for ever, and addresses that are lost for good.
        (WALL_S, {"retired": [], **NEW_INTAKE}, []),
        # A removal that cannot be undone without keeping its reservation.
        (
            END_S,
            {
                "retired": [],
                "services[0].endpoints[2]": [
                    *(4, "127.1.0.9", "b", 50, "active", None)
                ],
            },
            [],
        ),
    ],
)
def test_reservation_of_the_previous_document(
    check, value, until_s, edits, faults
):
    value["retired"] = [["127.1.0.9", "listening", until_s]]
    successor = editing.edit(value, version=8, **edits)
    assert check(successor, value) == faults


def test_reservation_of_an_address_in_use_permits_no_move(check, value):
    # Guards against an ended reservation that was listed while the former
    # service still used the address.
    value["retired"] = [["127.1.0.1", "listening", WALL_S]]
    edits = {**MOVE, "services[0].endpoints[0]": None}
    del edits["services[1].endpoints[1]"]
    del edits["services[0].endpoints[1]"]
    successor = editing.edit(value, version=8, **edits)
    assert check(successor, value) == [MOVE_FAULTS[0]]
