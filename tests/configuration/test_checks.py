"""Tests of the semantic checks."""

import copy
import dataclasses

import pytest

from chivedoor.configuration import checks
from chivedoor.configuration import const
from chivedoor.configuration import document
from chivedoor.configuration import faults

FaultReason = faults.FaultReason

WALL_S = 1_000_000
DELAY_S = 86_400


@pytest.fixture
def parse(encode):
    return lambda value: document.parse_document(encode(value))


@pytest.fixture
def check(parse):
    """Returns a function that checks a JSON value against a previous one."""

    def run(value, previous=None, **arguments):
        found = checks.check_document(
            parse(value),
            None if previous is None else parse(previous),
            **{"wall_s": WALL_S, **arguments},
        )
        return [(fault.path, fault.reason) for fault in found]

    return run


@pytest.fixture
def successor(value):
    """The next version of the document."""
    changed = copy.deepcopy(value)
    changed["version"] = 8
    return changed


def test_valid_document_has_no_faults(check, value, successor):
    # Guards against checks that refuse what the design allows: one address
    # with different target ports in two services.
    assert check(value) == []
    assert check(successor, value) == []


def test_examples_have_no_faults(examples_path):
    # Guards against examples that no balancer accepts.
    for path in examples_path.glob("*.json"):
        parsed = document.parse_document(path.read_bytes())
        assert checks.check_document(parsed, None, wall_s=WALL_S) == []


def test_number_in_two_services_is_a_fault(check, value):
    # Guards against flow records that name two endpoints.
    value["services"][1]["endpoints"][0][0] = 1
    assert check(value) == [
        ("services[1].endpoints[0].number", FaultReason.CONFLICT)
    ]


def test_target_address_in_two_services_is_a_fault(check, value):
    # Guards against replies that are rewritten to the wrong service.
    value["services"][1]["ports"][0][2] = 9000
    assert check(value) == [
        ("services[1].endpoints[0].address", FaultReason.CONFLICT)
    ]


def test_target_address_twice_in_a_service_is_a_fault(check, value):
    # Guards against replies that belong to two endpoints.
    value["services"][0]["endpoints"][1][1] = "127.1.0.1"
    assert check(value) == [
        ("services[0].endpoints[1].address", FaultReason.CONFLICT)
    ]


def test_target_port_of_two_ports_is_a_fault(check, value):
    # Guards against replies that belong to two ports of the service.
    value["services"][0]["ports"].append(["tcp", 8001, 9000, "stream", True])
    assert check(value) == [
        ("services[0].ports[2].target_port", FaultReason.CONFLICT)
    ]


def test_service_port_of_two_services_is_a_fault(check, value):
    # Guards against a new flow that belongs to two services.
    value["services"][1]["addresses"] = ["203.0.113.10"]
    assert check(value) == [("services[1].ports[0].port", FaultReason.CONFLICT)]


def test_services_can_share_an_address_with_different_ports(check, value):
    # Guards against a check that compares addresses only.
    value["services"][1]["addresses"] = ["203.0.113.10"]
    value["services"][1]["ports"][0][1] = 8001
    assert check(value) == []


def test_service_address_that_is_a_target_is_a_fault(check, value):
    # Guards against packets that are both a request and a reply.
    value["services"][1]["addresses"] = ["127.1.0.2"]
    value["services"][1]["ports"][0][1] = 9000
    assert check(value) == [("services[1].ports[0].port", FaultReason.CONFLICT)]


@pytest.mark.parametrize("addresses", [[], ["203.0.113.11", "203.0.113.12"]])
def test_service_has_one_address(check, value, addresses):
    # Guards against replies whose service address is not determined.
    value["services"][1]["addresses"] = addresses
    assert check(value) == [
        ("services[1].addresses", FaultReason.INVALID_VALUE)
    ]


def test_address_families_of_a_service_agree(check, value):
    # Guards against IPv4 packets rewritten with an IPv6 address.
    value["services"][1]["addresses"] = ["2001:db8::1"]
    assert check(value) == [
        ("services[1].endpoints[0].address", FaultReason.CONFLICT)
    ]


def test_service_needs_a_port(check, value):
    # Guards against a service that nobody can reach.
    value["services"][1]["ports"] = []
    assert check(value) == [("services[1].ports", FaultReason.INVALID_VALUE)]


def test_unknown_failure_domain_is_a_fault(check, value):
    # Guards against targets without owners.
    value["services"][0]["endpoints"][1][2] = "z"
    assert check(value) == [
        ("services[0].endpoints[1].domain", FaultReason.UNKNOWN_REFERENCE)
    ]


def test_policy_that_is_not_in_the_document_is_a_fault(parse, value):
    # Guards against a service built from a difference with another policy.
    parsed = parse(value)
    service = parsed.services["intake"]
    policy = dataclasses.replace(service.policy, slots=1)
    services = {
        **parsed.services,
        "intake": dataclasses.replace(service, policy=policy),
    }
    changed = dataclasses.replace(parsed, services=services)
    found = checks.check_document(changed, None, wall_s=WALL_S)
    assert [(fault.path, fault.reason) for fault in found] == [
        ("services[1].policy", FaultReason.UNKNOWN_REFERENCE)
    ]


@pytest.mark.parametrize(
    ("name", "content"),
    [
        ("slots", 4001),
        ("ramp_initial", 4001),
        ("drain_deadline_s", 29),
        ("idle_timeout_s", 29),
    ],
)
def test_limits_that_contradict_each_other_are_faults(
    check, value, name, content
):
    # Guards against typing errors that parse.
    value["policies"]["streams"][name] = content
    assert check(value) == [
        (f"policies.streams.{name}", FaultReason.OUT_OF_RANGE)
    ]


def test_reserved_address_is_refused_to_another_service(check, value):
    # Guards against a stale balancer whose packets reach another service.
    value["retired"] = [["127.1.0.1", "former", WALL_S + 1]]
    assert check(value) == [
        ("services[0].endpoints[0].address", FaultReason.RESERVED),
        ("services[1].endpoints[0].address", FaultReason.RESERVED),
    ]


def test_reservation_ends_at_its_time(check, value):
    # Guards against addresses that are lost for good.
    value["retired"] = [["127.1.0.1", "former", WALL_S]]
    assert check(value) == []


def test_former_service_can_take_its_address_back(check, value):
    # Guards against a removal that cannot be undone for a day.
    value["retired"] = [["127.1.0.2", "listening", WALL_S + 1]]
    assert check(value) == []


@pytest.mark.parametrize("version", [6, 7])
def test_version_rises(check, value, successor, version):
    # Guards against a return to an older document.
    successor["version"] = version
    assert check(successor, value) == [("version", FaultReason.VERSION)]


def test_number_keeps_its_address(check, value, successor):
    # Guards against flow records that suddenly mean another target.
    successor["services"][0]["endpoints"][1][1] = "127.1.0.9"
    successor["retired"].append(["127.1.0.2", "listening", WALL_S + DELAY_S])
    assert check(successor, value) == [
        ("services[0].endpoints[1].number", FaultReason.CONFLICT)
    ]


def test_number_keeps_its_service(check, value, successor):
    # Guards against flow records that suddenly mean another service, also
    # when the previous document is long out of date.
    endpoint = successor["services"][0]["endpoints"].pop()
    successor["services"][1]["endpoints"].append(endpoint)
    assert check(successor, value, previous_age_s=2 * DELAY_S) == [
        ("services[1].endpoints[1].number", FaultReason.CONFLICT)
    ]


def move_address(successor):
    """Gives an address and port of one service to the other, renumbered."""
    successor["services"][0]["endpoints"].pop()
    successor["services"][1]["endpoints"].append(
        [4, "127.1.0.2", "b", 50, "active", None]
    )
    successor["services"][0]["ports"][0][2] = 9010
    successor["services"][1]["ports"][0][2] = 9000


def test_address_does_not_move_to_another_service(check, value, successor):
    # Guards against packets of established flows that reach the new service.
    move_address(successor)
    assert check(successor, value) == [
        ("services[1].endpoints[0].address", FaultReason.RESERVED),
        ("services[1].endpoints[1].address", FaultReason.RESERVED),
        ("retired", FaultReason.NOT_RETIRED),
    ]


def test_address_moves_when_the_previous_document_is_out_of_date(
    check, value, successor
):
    # Guards against a balancer that missed the removal and can never accept
    # a document again.
    move_address(successor)
    assert check(successor, value, previous_age_s=DELAY_S + 1) == []


def test_listing_and_moving_an_address_at_once_is_a_fault(
    check, value, successor
):
    # Guards against a reservation that is written after the fact.
    move_address(successor)
    successor["retired"].append(["127.1.0.2", "listening", WALL_S])
    found = check(successor, value)
    assert ("services[1].endpoints[1].address", FaultReason.RESERVED) in found


def test_removed_address_is_listed_as_retired(check, value, successor):
    # Guards against an address that a later document gives away too early.
    successor["services"][0]["endpoints"].pop()
    assert check(successor, value) == [("retired", FaultReason.NOT_RETIRED)]
    successor["retired"].append(["127.1.0.2", "listening", WALL_S + DELAY_S])
    assert check(successor, value) == []


def test_reservation_covers_the_reuse_delay(check, value, successor):
    # Guards against a reservation that ends before stale balancers stop.
    end_s = WALL_S + DELAY_S - const.RESERVATION_TOLERANCE_S
    successor["services"][0]["endpoints"].pop()
    successor["retired"].append(["127.1.0.2", "listening", end_s - 1])
    assert check(successor, value) == [("retired", FaultReason.NOT_RETIRED)]
    successor["retired"][-1][2] = end_s
    assert check(successor, value) == []


def test_balancer_that_catches_up_accepts_an_older_reservation(
    check, value, successor
):
    # Guards against refusing a removal that happened an hour ago.
    end_s = WALL_S - 3600 + DELAY_S
    successor["services"][0]["endpoints"].pop()
    successor["retired"].append(["127.1.0.2", "listening", end_s])
    assert check(successor, value, previous_age_s=3600) == []


def test_shared_address_stays_with_the_other_service(check, value, successor):
    # Guards against a reservation that ends the use of an address by a
    # service that already shared it.
    del successor["services"][0]["endpoints"][0]
    assert check(successor, value) == []


def test_reservation_is_not_dropped_early(check, value, successor):
    # Guards against an address that is free because its entry was deleted.
    value["retired"][0][2] = WALL_S + DELAY_S
    successor["retired"] = []
    assert check(successor, value) == [("retired", FaultReason.NOT_RETIRED)]


def test_reservation_is_not_shortened(check, value, successor):
    # Guards against an address that is free because its time was edited.
    value["retired"][0][2] = WALL_S + DELAY_S
    successor["retired"][0][2] = WALL_S + DELAY_S - 1
    assert check(successor, value) == [("retired", FaultReason.NOT_RETIRED)]


def test_reservation_ends_when_its_service_returns(check, value, successor):
    # Guards against a removal that cannot be undone without keeping its
    # reservation.
    value["retired"] = [["127.1.0.9", "listening", WALL_S + DELAY_S]]
    successor["retired"] = []
    successor["services"][0]["endpoints"].append(
        [4, "127.1.0.9", "b", 50, "active", None]
    )
    assert check(successor, value) == []


def test_reservation_of_an_address_in_use_permits_no_move(
    check, value, successor
):
    # Guards against an ended reservation that was listed while the former
    # service still used the address.
    value["retired"] = [["127.1.0.1", "listening", WALL_S]]
    del successor["services"][0]["endpoints"][0]
    successor["services"][0]["ports"][0][2] = 9010
    successor["services"][1]["ports"][0][2] = 9000
    assert check(successor, value) == [
        ("services[1].endpoints[0].address", FaultReason.RESERVED)
    ]


def test_dropped_reservation_still_counts(check, value, successor):
    # Guards against dropping an entry and using the address in one document,
    # within the tolerance for clocks.
    value["retired"] = [["127.1.0.9", "listening", WALL_S + 1]]
    successor["retired"] = []
    successor["services"][1]["endpoints"].append(
        [4, "127.1.0.9", "b", 50, "active", None]
    )
    assert check(successor, value) == [
        ("services[1].endpoints[1].address", FaultReason.RESERVED)
    ]


def test_ended_reservation_can_be_dropped(check, value, successor):
    # Guards against a list that grows for ever.
    value["retired"] = [["127.1.0.9", "listening", WALL_S]]
    successor["retired"] = []
    successor["services"][1]["endpoints"].append(
        [4, "127.1.0.9", "b", 50, "active", None]
    )
    assert check(successor, value) == []
