"""Tests of the semantic checks.

The comment above a parameter set names the failure that it guards against.
"""

import dataclasses

import pytest

from chivedoor.configuration import checks
from chivedoor.configuration import const
from chivedoor.configuration import document
from tests.configuration import editing

WALL_CLOCK_S = 1_000_000
DELAY_S = 86_400
RESERVATION_END_S = WALL_CLOCK_S + DELAY_S


@pytest.fixture
def check(encode):
    """Returns a function that checks a JSON value against a previous one."""

    def run(document_value, previous=None, **arguments):
        parsed = [
            item and document.parse_document(encode(item))
            for item in (document_value, previous)
        ]
        found = checks.check_document(
            *parsed, wall_clock_s=WALL_CLOCK_S, **arguments
        )
        return editing.format_faults(found)

    return run


def test_examples_have_no_faults(examples_path):
    # Guards against example documents that no balancer accepts.
    for path in examples_path.glob("*.json"):
        parsed = document.parse_document(path.read_bytes())
        assert (
            checks.check_document(parsed, None, wall_clock_s=WALL_CLOCK_S) == []
        )


@pytest.mark.parametrize(
    ("edits", "faults"),
    [
        # Rejecting one address with different target ports in two services.
        ({}, []),
        # Flow records whose endpoint number stands for two endpoints.
        (
            {"services[1].endpoints[0][0]": 1},
            ["services[1].endpoints[0].number: conflict"],
        ),
        # Replies rewritten with the source address of the wrong service.
        (
            {"services[1].ports[0][2]": 9000},
            ["services[1].endpoints[0].address: conflict"],
        ),
        # Replies whose source stands for two endpoints.
        (
            {"services[0].endpoints[1][1]": "127.1.0.1"},
            ["services[0].endpoints[1].address: conflict"],
        ),
        # Replies whose source stands for two ports of the service.
        (
            {"services[0].ports[2]": ["tcp", 8001, 9000, "stream", True]},
            ["services[0].ports[2].target_port: conflict"],
        ),
        # New flows whose destination belongs to two services.
        (
            {"services[1].addresses": ["203.0.113.10"]},
            ["services[1].ports[0].port: conflict"],
        ),
        # Rejecting services that share an address but use different ports.
        (
            {
                "services[1].addresses": ["203.0.113.10"],
                "services[1].ports[0][1]": 8001,
            },
            [],
        ),
        # Packets that could be either a request or a reply.
        (
            {
                "services[1].addresses": ["127.1.0.2"],
                "services[1].ports[0][1]": 9000,
            },
            ["services[1].ports[0].port: conflict"],
        ),
        # Replies whose service address is ambiguous or missing.
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
        # A service without a port, which receives no flows.
        ({"services[1].ports": []}, ["services[1].ports: invalid value"]),
        # Targets in an unknown failure domain, which have no owner.
        (
            {"services[0].endpoints[1][2]": "z"},
            ["services[0].endpoints[1].domain: unknown reference"],
        ),
        # Limits that are valid separately but contradict each other.
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
        # Packets from a balancer with an old document that reach another
        # service.
        (
            {"retired": [["127.1.0.1", "former", WALL_CLOCK_S + 1]]},
            [
                "services[0].endpoints[0].address: reserved address",
                "services[1].endpoints[0].address: reserved address",
            ],
        ),
        # Rejecting an address after the end of its reservation.
        ({"retired": [["127.1.0.1", "former", WALL_CLOCK_S]]}, []),
        # Rejecting an address that returns to its service before the end of
        # its reservation.
        ({"retired": [["127.1.0.2", "listening", WALL_CLOCK_S + 1]]}, []),
    ],
)
def test_document_is_checked_by_itself(check, document_value, edits, faults):
    assert check(editing.edit(document_value, **edits)) == faults


def test_policy_that_is_not_in_the_document_is_a_fault(document_value, encode):
    # Guards against a difference that leaves a service with values of its
    # policy other than those in the document.
    parsed = document.parse_document(encode(document_value))
    service = parsed.services["intake"]
    policy = dataclasses.replace(service.policy, slots=1)
    service = dataclasses.replace(service, policy=policy)
    services = {**parsed.services, "intake": service}
    changed = dataclasses.replace(parsed, services=services)
    found = checks.check_document(changed, None, wall_clock_s=WALL_CLOCK_S)
    assert editing.format_faults(found) == [
        "services[1].policy: unknown reference"
    ]


NOT_RETIRED_FAULT = "retired: address not retired"
ENDPOINT_REMOVAL = {"services[0].endpoints[1]": None}
ADDRESS_RESERVATION = {
    "retired[1]": ["127.1.0.2", "listening", RESERVATION_END_S]
}
# Moves an address and port to the other service, under a new number.
MOVED_BINDING = {
    **ENDPOINT_REMOVAL,
    "services[1].endpoints[1]": [4, "127.1.0.2", "b", 50, "active", None],
    "services[0].ports[0][2]": 9010,
    "services[1].ports[0][2]": 9000,
}
MOVED_BINDING_FAULTS = [
    "services[1].endpoints[0].address: reserved address",
    "services[1].endpoints[1].address: reserved address",
]


@pytest.mark.parametrize(
    ("edits", "confirmed_age_s", "faults"),
    [
        # Rejecting a document in which only the version is higher.
        ({}, 0, []),
        # Accepting an older version, or the same one again.
        ({"version": 6}, 0, ["version: version"]),
        ({"version": 7}, 0, ["version: version"]),
        # Flow records whose endpoint number now stands for another target.
        (
            {"services[0].endpoints[1][1]": "127.1.0.9", **ADDRESS_RESERVATION},
            0,
            ["services[0].endpoints[1].number: conflict"],
        ),
        # Flow records whose endpoint number now stands for another service,
        # also when the previous document was confirmed long ago.
        (
            {
                **ENDPOINT_REMOVAL,
                "services[1].endpoints[1]": [
                    *(2, "127.1.0.2", "b", 50, "active", None)
                ],
            },
            2 * DELAY_S,
            ["services[1].endpoints[1].number: conflict"],
        ),
        # Packets of established flows that reach another service.
        (MOVED_BINDING, 0, [*MOVED_BINDING_FAULTS, NOT_RETIRED_FAULT]),
        # A balancer that missed the removal and rejects all later documents:
        # it accepts them after the reuse delay.
        (MOVED_BINDING, DELAY_S, [*MOVED_BINDING_FAULTS, NOT_RETIRED_FAULT]),
        (MOVED_BINDING, DELAY_S + 1, []),
        # A reservation that has already ended.
        (
            {
                **MOVED_BINDING,
                "retired[1]": ["127.1.0.2", "listening", WALL_CLOCK_S],
            },
            0,
            [*MOVED_BINDING_FAULTS, NOT_RETIRED_FAULT],
        ),
        # A removed address without a reservation, which a later document
        # could assign to another service too early.
        (ENDPOINT_REMOVAL, 0, [NOT_RETIRED_FAULT]),
        ({**ENDPOINT_REMOVAL, **ADDRESS_RESERVATION}, 0, []),
        # A reservation that ends before balancers with an old document stop
        # sending.
        (
            {
                **ENDPOINT_REMOVAL,
                **ADDRESS_RESERVATION,
                "retired[1][2]": RESERVATION_END_S
                - const.RESERVATION_CLOCK_TOLERANCE_S
                - 1,
            },
            0,
            [NOT_RETIRED_FAULT],
        ),
        # Rejecting documents of a console whose clock differs within the
        # tolerance.
        (
            {
                **ENDPOINT_REMOVAL,
                **ADDRESS_RESERVATION,
                "retired[1][2]": RESERVATION_END_S
                - const.RESERVATION_CLOCK_TOLERANCE_S,
            },
            0,
            [],
        ),
        # Rejecting the reservation for a removal that happened an hour ago.
        (
            {
                **ENDPOINT_REMOVAL,
                **ADDRESS_RESERVATION,
                "retired[1][2]": RESERVATION_END_S - 3600,
            },
            3600,
            [],
        ),
        # Requiring a reservation for an address that another service still
        # uses.
        ({"services[0].endpoints[0]": None}, 0, []),
    ],
)
def test_document_is_checked_against_the_previous_one(
    check, document_value, edits, confirmed_age_s, faults
):
    successor = editing.edit(document_value, **{"version": 8, **edits})
    assert (
        check(
            successor, document_value, previous_confirmed_age_s=confirmed_age_s
        )
        == faults
    )


REUSED_ADDRESS = {
    "services[1].endpoints[1]": [4, "127.1.0.9", "b", 50, "active", None]
}


@pytest.mark.parametrize(
    ("until_s", "edits", "faults"),
    [
        # Deleting or shortening a reservation before its end.
        (RESERVATION_END_S, {"retired": []}, [NOT_RETIRED_FAULT]),
        (
            RESERVATION_END_S,
            {"retired[0][2]": RESERVATION_END_S - 1},
            [NOT_RETIRED_FAULT],
        ),
        # Dropping a reservation in the document that reuses the address. The
        # drop alone is within the tolerance for clocks.
        (
            WALL_CLOCK_S + 1,
            {"retired": [], **REUSED_ADDRESS},
            ["services[1].endpoints[1].address: reserved address"],
        ),
        # Reservations that can never be dropped, and addresses that can never
        # be reused.
        (WALL_CLOCK_S, {"retired": [], **REUSED_ADDRESS}, []),
        # Requiring the reservation of an address that returned to its service.
        (
            RESERVATION_END_S,
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
def test_reservations_of_the_previous_document_are_kept(
    check, document_value, until_s, edits, faults
):
    document_value["retired"] = [["127.1.0.9", "listening", until_s]]
    successor = editing.edit(document_value, version=8, **edits)
    assert check(successor, document_value) == faults


def test_ended_reservation_of_an_address_in_use_permits_no_reuse(
    check, document_value
):
    # Guards against reuse on the grounds of a reservation that ended while the
    # former service still used the address.
    document_value["retired"] = [["127.1.0.1", "listening", WALL_CLOCK_S]]
    edits = {**MOVED_BINDING, "services[0].endpoints[0]": None}
    del edits["services[1].endpoints[1]"]
    del edits["services[0].endpoints[1]"]
    successor = editing.edit(document_value, version=8, **edits)
    assert check(successor, document_value) == [MOVED_BINDING_FAULTS[0]]
