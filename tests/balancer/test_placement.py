"""Tests of the targets that new and established flows are sent to."""

import pytest

from chivedoor import ids
from chivedoor.balancer import actions
from chivedoor.balancer import targets
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.routing import hashing
from standins import segments
from tests.balancer import fleet as fleets

_KIND = encapsulation.ForwardKind
_NAMES = ("a0", "a1", "b0", "b1", "c0", "c1")


def _endpoints():
    return [
        fleets.make_endpoint(number, domain)
        for number, domain in enumerate("abcabca", 1)
    ]


@pytest.fixture
def document():
    return fleets.make_document(1, fleets.make_service(_endpoints()))


@pytest.fixture
def fleet(document):
    result = fleets.Fleet(per_domain=2, document=document)
    result.finish_recovery()
    result.settle()
    return result


def _open_flow(fleet, name, caller_port, **options):
    (delivered,) = fleet.send(
        name, fleets.make_segment(caller_port, fleets.SYN, **options)
    )
    if delivered.packet.destination[:2] == bytes((127, 1)):
        accept = fleets.make_answer(delivered, fleets.SYN | fleets.ACK)
        fleet.send(name, accept)
    return delivered


def test_syn_is_recorded_at_owner_and_replica(fleet):
    # Guards against a flow whose record is lost when one balancer fails.
    delivered = _open_flow(fleet, "a0", 5000)
    number = delivered.packet.destination[3]
    holders = [
        name
        for name, balancer in fleet.balancers.items()
        if number in balancer.context.targets
        and len(balancer.context.targets[number].flows)
    ]
    assert len(holders) == 2
    assert delivered.member in holders


def test_all_balancers_deliver_established_packets_to_one_target(fleet):
    # Guards against balancers that select different targets for a flow.
    target = _open_flow(fleet, "a0", 5001).packet.destination
    for name in _NAMES:
        (delivered,) = fleet.send(name, fleets.make_segment(5001, fleets.ACK))
        assert delivered.packet.destination == target


def test_direct_mode_forwards_no_established_packet(fleet):
    # Guards against needless forwarding in mode `DIRECT`.
    _open_flow(fleet, "a0", 5002)
    before = sum(fleet.forwards.values())
    for name in _NAMES:
        fleet.send(name, fleets.make_segment(5002, fleets.ACK))
    assert sum(fleet.forwards.values()) == before


def test_answer_gets_the_address_of_the_service(fleet):
    # Guards against answers that do not match the caller's connection because
    # they keep the target's address.
    delivered = _open_flow(fleet, "a0", 5003)
    for name in _NAMES:
        (answer,) = fleet.send(name, fleets.make_answer(delivered))
        assert answer.packet.source == fleets.SERVICE
        assert answer.packet.source_port == fleets.STREAM_PORT


def test_established_flows_stay_when_an_endpoint_joins(fleet, document):
    # Guards against open flows that move to another target when a new table
    # reassigns their buckets.
    opened = {
        port: _open_flow(fleet, _NAMES[port % 6], port).packet.destination
        for port in range(6000, 6200)
    }
    grown = fleets.make_service([*_endpoints(), fleets.make_endpoint(8, "b")])
    fleet.apply(fleets.make_document(2, grown))
    for pulled in (False, True):
        if pulled:
            fleet.settle()
        for port, target in opened.items():
            (delivered,) = fleet.send(
                _NAMES[(port + 1) % 6], fleets.make_segment(port, fleets.ACK)
            )
            assert delivered.packet.destination == target


def test_joining_balancer_without_known_owner_drops_packets(fleet):
    # A restarted balancer may have a document before it hears from its peers.
    # Guards against sending flows with overrides to their base target, which
    # resets them.
    moved = _open_flow(fleet, "a0", 6500)
    fleet.replace_with_isolated_joiner("a1")
    segment = fleets.make_segment(6500, fleets.ACK)
    assert fleet.send("a1", segment) == []
    assert fleet.send("a1", fleets.make_segment(6501, fleets.SYN)) == []
    assert fleet.drops[actions.RoutingDrop.UNCERTAIN] == 2
    (delivered,) = fleet.send("a0", segment)
    assert delivered.packet.destination == moved.packet.destination


def test_flows_of_a_draining_endpoint_finish(fleet):
    # Guards against a drain that breaks open flows or admits new ones.
    opened = {
        port: _open_flow(fleet, _NAMES[port % 6], port).packet.destination
        for port in range(6000, 6100)
    }
    endpoints = _endpoints()
    endpoints[0] = fleets.make_endpoint(
        1, "a", state=documents.EndpointState.DRAINING
    )
    fleet.apply(fleets.make_document(2, fleets.make_service(endpoints)))
    fleet.settle()
    for port, target in opened.items():
        (delivered,) = fleet.send(
            _NAMES[(port + 1) % 6], fleets.make_segment(port, fleets.ACK)
        )
        assert delivered.packet.destination == target
    for port in range(7000, 7100):
        assert _open_flow(fleet, "b0", port).packet.destination[3] != 1


def test_mixed_documents_agree_on_existing_flows(fleet):
    # Guards against balancers that select different targets for a flow while
    # their document versions differ.
    opened = {
        port: _open_flow(fleet, _NAMES[port % 6], port).packet.destination
        for port in range(6000, 6100)
    }
    grown = fleets.make_service([*_endpoints(), fleets.make_endpoint(8, "b")])
    fleet.apply(fleets.make_document(2, grown), only={"a0", "b0", "c1"})
    for port, target in opened.items():
        for name in _NAMES:
            for delivered in fleet.send(
                name, fleets.make_segment(port, fleets.ACK)
            ):
                assert delivered.packet.destination == target


def test_owner_failure_loses_no_record(fleet):
    # Guards against flows or counts that are lost when one balancer fails.
    opened = {
        port: _open_flow(fleet, "b0", port).packet.destination
        for port in range(6000, 6100)
    }
    counts = {n: fleet.get_target(n).admission.connections for n in range(1, 8)}
    fleet.kill("a0")
    fleet.settle()
    for port, target in opened.items():
        (delivered,) = fleet.send("c0", fleets.make_segment(port, fleets.ACK))
        assert delivered.packet.destination == target
    for number, count in counts.items():
        assert fleet.get_target(number).admission.connections == count


def test_failure_of_a_whole_domain_keeps_other_flows(fleet):
    # Guards against new flows that depend on the failed owners, and against
    # breaking flows in other failure domains.
    opened = {
        port: _open_flow(fleet, "b0", port).packet.destination
        for port in range(6000, 6100)
    }
    fleet.kill("a0", "a1")
    fleet.settle()
    for port, target in opened.items():
        if target[3] in (1, 4, 7):
            continue
        (delivered,) = fleet.send("c0", fleets.make_segment(port, fleets.ACK))
        assert delivered.packet.destination == target
    for port in range(7000, 7050):
        assert _open_flow(fleet, "b0", port).packet.destination[3] in (
            2,
            3,
            5,
            6,
        )


def test_flows_opened_without_the_base_owner_stay_on_any_candidate(fleet):
    # Guards against a flow that was opened while its base target had no owner
    # and its first candidate was full. Its packets went to the base target,
    # which resets them once the partition ends.
    fleet.kill("a0", "a1")
    fleet.settle()
    fleet.finish_recovery()
    opened = {}
    for port in range(6000, 6100):
        syn = fleets.make_segment(port, fleets.SYN, port=fleets.REQUEST_PORT)
        (sent,) = fleet.send("b0", syn)
        if sent.packet.flags == fleets.SYN:
            opened[port] = sent.packet.destination
    assert len(opened) == 16
    fleet.announce_modes()
    for port, target in opened.items():
        ack = fleets.make_segment(port, fleets.ACK, port=fleets.REQUEST_PORT)
        for name in ("b1", "c0"):
            (delivered,) = fleet.send(name, ack)
            assert delivered.packet.destination == target


def test_retransmitted_syn_goes_to_the_same_target_after_owner_failure(fleet):
    # Guards against a request that runs on two targets because its SYN was
    # retransmitted.
    for port in range(6000, 6050):
        first = _open_flow(fleet, "b0", port, port=fleets.REQUEST_PORT)
        answer = fleets.make_answer(first, fleets.FIN | fleets.ACK)
        if port % 2:
            fleet.send("c1", answer)
        again = _open_flow(fleet, "c0", port, port=fleets.REQUEST_PORT)
        assert again.packet.destination == first.packet.destination
        fleet.send("c1", answer)
        fleet.send(
            "c1",
            fleets.make_segment(
                port, fleets.FIN | fleets.ACK, port=fleets.REQUEST_PORT
            ),
        )
    first = _open_flow(fleet, "b0", 6100, port=fleets.REQUEST_PORT)
    fleet.kill(fleet.find_owner(first.packet.destination[3]))
    again = _open_flow(fleet, "c0", 6100, port=fleets.REQUEST_PORT)
    assert again.packet.destination == first.packet.destination


def test_slots_are_never_exceeded_and_the_rest_is_refused(fleet):
    # Guards against limits that are exceeded because each balancer counts
    # only its own flows.
    delivered = [
        fleet.send(
            _NAMES[port % 6],
            fleets.make_segment(port, fleets.SYN, port=fleets.REQUEST_PORT),
        )[0]
        for port in range(6000, 6060)
    ]
    running = [
        d.packet.destination[3]
        for d in delivered
        if d.packet.destination != bytes((198, 51, 100, 7))
    ]
    assert max(running.count(n) for n in range(1, 8)) <= 4
    assert len(running) >= 24
    refused = [
        d.packet
        for d in delivered
        if d.packet.destination == bytes((198, 51, 100, 7))
    ]
    assert all(packet.flags & fleets.RST for packet in refused)
    assert len(refused) == 60 - len(running)


def test_flows_placed_off_a_full_target_stay_on_their_target(fleet):
    # Guards against established packets that go to the full base target
    # instead of the target in the override.
    opened = {}
    for port in range(6000, 6028):
        (delivered,) = fleet.send(
            "a0",
            fleets.make_segment(port, fleets.SYN, port=fleets.REQUEST_PORT),
        )
        if delivered.packet.destination[:2] == bytes((127, 1)):
            opened[port] = delivered.packet.destination
    fleet.announce_modes()
    assert any(fleet.get_target(number).overrides for number in range(1, 8))
    for port, target in opened.items():
        for name in _NAMES:
            (delivered,) = fleet.send(
                name,
                fleets.make_segment(port, fleets.ACK, port=fleets.REQUEST_PORT),
            )
            assert delivered.packet.destination == target


def test_overrides_survive_failure_of_their_owner_and_target_domain(fleet):
    # Guards against overrides without a replica: they are lost when their
    # owner and the balancers with the flow's records fail together.
    opened = {}
    for port in range(6000, 6028):
        (delivered,) = fleet.send(
            "a0",
            fleets.make_segment(port, fleets.SYN, port=fleets.REQUEST_PORT),
        )
        if delivered.packet.destination[:2] == bytes((127, 1)):
            opened[port] = delivered.packet.destination
    held = {
        (number, override.number): key
        for number in range(1, 8)
        for key, override in fleet.get_target(number).overrides.items()
    }
    (base, number), key = next(
        pair for pair in held.items() if pair[0][0] % 3 != pair[0][1] % 3
    )
    fleet.kill(fleet.find_owner(base))
    assert fleet.get_target(base).overrides[key].number == number
    domain = "abc"[(number - 1) % 3]
    fleet.kill(*(n for n in list(fleet.balancers) if n[0] == domain))
    assert fleet.get_target(base).overrides[key].number == number


def test_slot_is_free_after_the_target_has_answered(fleet):
    # Guards against slots that stay occupied until the idle timeout.
    for port in range(6000, 6200):
        first = _open_flow(fleet, "b0", port, port=fleets.REQUEST_PORT)
        assert first.packet.destination[:2] == bytes((127, 1))
        fleet.send("c0", fleets.make_answer(first, fleets.FIN | fleets.ACK))
        fleet.send(
            "a0",
            fleets.make_segment(
                port, fleets.FIN | fleets.ACK, port=fleets.REQUEST_PORT
            ),
        )
    assert all(fleet.get_target(n).admission.slots == 0 for n in range(1, 8))


def test_reset_from_a_target_without_the_flow_is_dropped(fleet):
    # Guards against a misrouted packet that breaks its flow: the wrong target
    # answers with a reset, which must not reach the caller.
    delivered = _open_flow(fleet, "a0", 5004)
    wrong = delivered.packet.destination[3] % 7 + 1
    delivered.packet.destination = bytes((127, 1, 0, wrong))
    assert fleet.send("b0", fleets.make_answer(delivered, fleets.RST)) == []
    assert fleet.drops[actions.RoutingDrop.STALE_RESET] == 1


def test_repeated_reset_of_an_unknown_flow_reaches_the_caller(fleet):
    # Guards against a caller that waits forever because the resets for a flow
    # that no target has are always dropped.
    delivered = _open_flow(fleet, "a0", 5014)
    number = delivered.packet.destination[3]
    fleet.get_target(number).remove(
        next(iter(fleet.get_target(number).flows)), fleet.now
    )
    reset = fleets.make_answer(delivered, fleets.RST)
    assert fleet.send("b0", reset) == []
    fleet.now += 1.0
    assert fleet.send("c0", reset) == []
    fleet.now += 2.0
    (answer,) = fleet.send("a0", reset)
    assert answer.packet.flags & fleets.RST


def test_flows_opened_on_both_sides_of_a_partition_survive(fleet):
    # During a partition between balancers, the fabric still reaches both
    # sides. Guards against passing resets from targets that do not have the
    # flow because the other side placed it elsewhere.
    sides = (("a0", "a1"), ("b0", "b1", "c0", "c1"))
    for side, other in (sides, sides[::-1]):
        for name in side:
            fleet.mark_dead(name, *other)
            fleet.cut_links |= {frozenset((name, peer)) for peer in other}
    opened = {
        port: _open_flow(fleet, ("a0", "b0")[port % 2], port)
        for port in range(6000, 6060)
    }
    for _ in range(8):
        fleet.advance(1.0)
        for port, first in opened.items():
            _retransmit(fleet, port, first.packet.destination)


def _retransmit(fleet, port, target):
    """Sends a packet through every balancer and resets it at wrong targets."""
    reached = False
    for name in _NAMES:
        for delivered in fleet.send(
            name, fleets.make_segment(port, fleets.ACK)
        ):
            if delivered.packet.destination == target:
                reached = True
                continue
            reset = fleets.make_answer(delivered, fleets.RST)
            assert fleet.send(name, reset) == []
    assert reached


@pytest.mark.parametrize("is_datagram", [True, False])
def test_repeated_first_packet_during_placement_is_not_admitted(
    fleet, is_datagram
):
    # Guards against an endpoint that admits a repeated first packet while
    # another endpoint has just admitted the original.
    make = (
        (lambda port: fleets.make_datagram(port, b"request"))
        if is_datagram
        else (
            lambda port: fleets.make_segment(
                port, fleets.SYN, port=fleets.REQUEST_PORT
            )
        )
    )
    for port in range(6000, 6060):
        fleet.send("a0", make(port))
    running = sum(fleet.get_target(n).admission.slots for n in range(1, 8))
    pending = [
        (fleet.get_target(n), key)
        for n in range(1, 8)
        for key in fleet.get_target(n).overrides
    ]
    assert pending
    for target, key in pending:
        del target.overrides[key]
        target.set_pending(key, fleet.now)
    for port in range(6000, 6060):
        for delivered in fleet.send("b1", make(port)):
            assert not isinstance(delivered.packet, segments.Unreachable)
    slots = sum(fleet.get_target(n).admission.slots for n in range(1, 8))
    assert slots == running


def test_non_idempotent_request_is_dropped_without_base_owner(fleet):
    # Guards against running a repeated request a second time while the other
    # side of a partition runs it already.
    fleet.kill("a0", "a1")
    for port in range(6000, 6050):
        if _find_base(fleet, port, fleets.DATAGRAM_PORT) in (1, 4, 7):
            datagram = fleets.make_datagram(port, b"request")
            assert fleet.send("b0", datagram) == []


def test_replica_keeps_an_idle_established_flow(fleet):
    # Guards against a replica that does not learn of the target's answer and
    # expires its record like that of a flow that never opened.
    number = _open_flow(fleet, "a0", 5015).packet.destination[3]
    fleet.send("b0", fleets.make_segment(5015, fleets.ACK))
    for _ in range(30):
        fleet.advance(1.0)
    assert fleet.get_target(number).admission.connections == 1
    fleet.kill(fleet.find_owner(number))
    assert fleet.get_target(number).admission.connections == 1


def test_refreshed_flow_is_renewed_at_the_replica(fleet):
    # Guards against a long stream whose record is renewed at the owner but
    # expires at the replica.
    number = _open_flow(fleet, "a0", 5016).packet.destination[3]
    for _ in range(8):
        fleet.advance(200.0)
        fleet.clear_direct_modes()
        fleet.send("b0", fleets.make_segment(5016, fleets.ACK))
    fleet.kill(fleet.find_owner(number))
    assert fleet.get_target(number).admission.connections == 1


def test_joining_balancer_without_records_drops_no_new_flow(fleet, document):
    # Guards against sending first packets through a replica that does not
    # have the document yet and drops them.
    fleet.kill("a0")
    fleet.settle()
    fleet.restart("a0", "a", None)
    for port in range(6000, 6060):
        _open_flow(fleet, "b0", port)


def test_balancer_knows_all_flows_after_joining(fleet, document):
    # Guards against missing records of flows that were opened while the
    # balancer pulled, when it becomes the owner.
    fleet.kill("a0")
    fleet.settle()
    opened = {
        port: _open_flow(fleet, "b0", port).packet.destination
        for port in range(6000, 6050)
    }
    fleet.restart("a0", "a", document)
    fleet.pull()
    opened |= {
        port: _open_flow(fleet, "b0", port).packet.destination
        for port in range(6050, 6100)
    }
    counts = {n: fleet.get_target(n).admission.connections for n in range(1, 8)}
    fleet.activate("a0")
    for number, count in counts.items():
        assert fleet.get_target(number).admission.connections == count
    fleet.kill("a1")
    fleet.settle()
    for port, target in opened.items():
        (delivered,) = fleet.send("c0", fleets.make_segment(port, fleets.ACK))
        assert delivered.packet.destination == target


def test_reset_from_the_target_with_the_flow_reaches_the_caller(fleet):
    # Guards against dropping the reset of a target that does have the flow.
    delivered = _open_flow(fleet, "a0", 5005)
    (answer,) = fleet.send("b0", fleets.make_answer(delivered, fleets.RST))
    assert answer.packet.flags & fleets.RST
    assert answer.packet.source == fleets.SERVICE


def test_same_datagram_runs_once(fleet):
    # Guards against running a duplicate of a request that is not idempotent.
    first = fleet.send("a0", fleets.make_datagram(5006, b"request 1"))
    assert len(first) == 1
    for name in _NAMES:
        assert fleet.send(name, fleets.make_datagram(5006, b"request 1")) == []
    fleet.send("b0", fleets.make_answer(first[0], payload=b"answer"))
    for name in _NAMES:
        assert fleet.send(name, fleets.make_datagram(5006, b"request 1")) == []


def test_duplicate_answer_reaches_the_caller_once(fleet):
    # Guards against a duplicate answer that a caller takes for a second
    # result, and against dropping an identical answer to another request.
    (first,) = fleet.send("a0", fleets.make_datagram(5030, b"request 1"))
    answer = fleets.make_answer(first, payload=b"result")
    assert len(fleet.send("b0", answer)) == 1
    assert fleet.send("c1", answer) == []
    assert fleet.drops[actions.RoutingDrop.DUPLICATE_ANSWER] == 1
    assert len(fleet.send("a1", fleets.make_datagram(5030, b"request 2"))) == 1
    assert len(fleet.send("c1", answer)) == 1


def test_same_datagram_runs_once_across_owner_failure(fleet):
    # Guards against a retransmission that the new owner takes for a new
    # request.
    (first,) = fleet.send("a0", fleets.make_datagram(5007, b"request 1"))
    fleet.kill(fleet.find_owner(first.packet.destination[3]))
    fleet.settle()
    assert fleet.send("c1", fleets.make_datagram(5007, b"request 1")) == []


def test_service_without_targets_refuses_only_new_flows(fleet):
    # Guards against refusing a packet from the middle of a flow, whose earlier
    # packets may have been forwarded.
    empty = fleets.make_service([])
    fleet.apply(fleets.make_document(2, empty))
    (refusal,) = fleet.send("a0", fleets.make_segment(5008, fleets.SYN))
    assert refusal.packet.flags & fleets.RST
    assert fleet.send("a0", fleets.make_segment(5009, fleets.ACK)) == []
    (refusal,) = fleet.send("a0", fleets.make_datagram(5010, b"x"))
    assert isinstance(refusal.packet, segments.Unreachable)


def test_packet_of_another_service_is_never_delivered_here(fleet):
    # Guards against delivery to another service's target when the sender's
    # endpoint number means a different endpoint in the receiver's document.
    other = fleets.make_service(
        [fleets.make_endpoint(9, "a")],
        id=ids.ServiceId("other"),
        addresses=(fleets.OTHER_SERVICE,),
    )
    service = fleets.make_service(_endpoints())
    fleet.apply(fleets.make_document(2, service, other))
    context = fleet.balancers["a1"].context
    _, foreign = context.directory.endpoints_by_number[9]
    header = context.make_header(_KIND.CHAIN, foreign)
    data = segments.build_packet(fleets.make_segment(5011, fleets.SYN))
    result = fleet.balancers["a0"].handle_forwarded(header, data, fleet.now)
    assert result == [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]


def test_replica_rejects_flows_of_an_owner_it_considers_dead(fleet):
    # Guards against two balancers that both act as owner and admit flows up
    # to the limit each.
    owner = fleet.find_owner(1)
    replica = "a1" if owner == "a0" else "a0"
    port = next(p for p in range(5100, 5200) if _find_base(fleet, p) == 1)
    fleet.mark_dead(replica, owner)
    assert fleet.send(owner, fleets.make_segment(port, fleets.SYN)) == []
    assert fleet.drops[actions.RoutingDrop.NOT_ALIVE] == 1


def _find_base(fleet, port, service_port=fleets.STREAM_PORT):
    any_balancer = next(iter(fleet.balancers.values()))
    (routes,) = any_balancer.context.directory.routes.values()
    segment = fleets.make_segment(port, fleets.SYN)
    key = hashing.compute_flow_key(
        protocol=17 if service_port == fleets.DATAGRAM_PORT else 6,
        caller=segment.source,
        caller_port=port,
        service=segment.destination,
        service_port=service_port,
    )
    return routes.table.find_base(key).number


def test_second_datagram_of_a_flow_runs_once_across_owner_failure(fleet):
    # Guards against a replica that records only the first datagram of a flow,
    # so that later ones run again after a takeover.
    (first,) = fleet.send("a0", fleets.make_datagram(5020, b"request 1"))
    assert len(fleet.send("a0", fleets.make_datagram(5020, b"request 2"))) == 1
    fleet.kill(fleet.find_owner(first.packet.destination[3]))
    fleet.settle()
    assert fleet.send("c1", fleets.make_datagram(5020, b"request 2")) == []


def test_pulled_record_without_payloads_drops_datagrams(fleet):
    # Guards against a request that runs again after two failures in turn: the
    # last owner pulled the record, but never received the datagram.
    document = fleets.make_document(1, fleets.make_service(_endpoints()))
    fleet = fleets.Fleet(per_domain=3, document=document)
    fleet.finish_recovery()
    fleet.settle()
    (first,) = fleet.send("a0", fleets.make_datagram(5021, b"request 1"))
    number = first.packet.destination[3]
    for _ in range(2):
        fleet.kill(fleet.find_owner(number))
        fleet.pull()
    survivor = next(iter(fleet.balancers))
    assert fleet.send(survivor, fleets.make_datagram(5021, b"request 1")) == []


def test_flows_of_a_failure_domain_that_is_out_are_reset(fleet, document):
    # Guards against packets to targets in a failure domain that is out, and
    # against callers that wait forever because they get no reset.
    opened = {
        port: _open_flow(fleet, "b0", port).packet.destination[3]
        for port in range(6000, 6100)
    }
    fleet.apply(document, out=frozenset({ids.DomainId("a")}))
    for settled in (False, True):
        if settled:
            fleet.settle()
        for port, number in opened.items():
            for name in ("a0", "b0", "c1"):
                for delivered in fleet.send(
                    name, fleets.make_segment(port, fleets.ACK)
                ):
                    gone = number in (1, 4, 7)
                    assert delivered.packet.destination[3] == (
                        7 if gone else number
                    )
                    assert bool(delivered.packet.flags & fleets.RST) == gone


def test_flows_opened_during_a_short_outage_of_a_domain_stay(fleet, document):
    # Guards against packets of open flows at the targets of a returned domain:
    # their owners must pull the overrides again, although the return restores
    # the generation of their earlier pulls.
    fleet.apply(document, out=frozenset({ids.DomainId("a")}))
    opened = {
        port: _open_flow(fleet, "b0", port).packet.destination
        for port in range(6000, 6100)
    }
    fleet.apply(document)
    fleet.settle()
    for port, target in opened.items():
        for name in _NAMES:
            (delivered,) = fleet.send(
                name, fleets.make_segment(port, fleets.ACK)
            )
            assert delivered.packet.destination == target


def test_pull_that_ends_after_a_table_change_does_not_count(fleet, document):
    # Guards against overrides that are missing after the return of a domain:
    # a delayed reply lists the flows from before the domain was out.
    balancer = fleet.balancers[fleet.find_owner(1)]
    balancer.discard_records(fleet.now)
    pulls = [pull for pull in balancer.targets.list_pulls() if pull.base == 1]
    assert pulls
    fleet.apply(document, out=frozenset({ids.DomainId("b")}))
    reply = targets.FlowBatch(keys=(), kinds=(), cursor=None)
    for pull in pulls:
        balancer.targets.accept_flows(pull, reply, fleet.now)
    fleet.apply(document)
    assert set(pulls) <= set(balancer.targets.list_pulls())


def test_replica_drops_first_packet_when_domain_is_out(fleet, document):
    # Guards against delivering a SYN that was on its way to the replica when
    # the replica took the failure domain out.
    context = fleet.balancers["a0"].context
    endpoint = _endpoints()[0]
    header = context.make_header(_KIND.CHAIN, endpoint)
    data = segments.build_packet(fleets.make_segment(5022, fleets.SYN))
    fleet.apply(document, out=frozenset({ids.DomainId("a")}))
    result = fleet.balancers["a1"].handle_forwarded(header, data, fleet.now)
    assert result == [actions.Drop(actions.RoutingDrop.DOMAIN_OUT)]


@pytest.mark.parametrize("kind", [_KIND.LOOKUP, _KIND.NEXT])
def test_forwarded_packet_is_aborted_when_domain_is_out(fleet, document, kind):
    # Guards against delivering a packet that another owner forwarded just
    # before the target's owner took the failure domain out.
    opened = {}
    for port in range(6000, 6020):
        opened[_open_flow(fleet, "a0", port).packet.destination[3]] = port
    context = fleet.balancers["b0"].context
    header = context.make_header(kind, _endpoints()[0])
    packet = fleets.make_segment(opened[1], fleets.ACK)
    fleet.apply(document, out=frozenset({ids.DomainId("a")}))
    (result,) = fleet.balancers[fleet.find_owner(1)].handle_forwarded(
        header, segments.build_packet(packet), fleet.now
    )
    assert isinstance(result, actions.Abort)


def test_late_syn_of_a_closed_flow_is_not_refused(fleet):
    # Guards against a false refusal, which states that a request was not run
    # although it was.
    first = _open_flow(fleet, "a0", 6000, port=fleets.REQUEST_PORT)
    number = first.packet.destination[3]
    fleet.send("b0", fleets.make_answer(first, fleets.RST))
    fleet.get_target(number).admission.set_draining(True)
    late = fleets.make_segment(6000, fleets.SYN, port=fleets.REQUEST_PORT)
    assert fleet.send("c0", late) == []


def test_mode_is_not_direct_before_the_owner_has_all_records(fleet):
    # Guards against a misrouted packet whose RST reaches the caller because
    # the owner does not yet know which flows its target has.
    grown = fleets.make_service([*_endpoints(), fleets.make_endpoint(8, "b")])
    fleet.apply(fleets.make_document(2, grown))
    for seconds in (4.0, 2.0):
        fleet.pull()
        fleet.advance(seconds)
        fleet.announce_modes()
        (routes,) = fleet.balancers["a0"].context.directory.routes.values()
        assert (8 in routes.direct_endpoints) == fleet.get_target(8).has_records
    assert 8 in routes.direct_endpoints


def test_flows_above_the_rate_of_a_service_are_refused(document):
    # Guards against a flood of new flows that uses up the processing time for
    # established flows.
    service = fleets.make_service(
        _endpoints(), policy=fleets.make_policy(flow_rate_per_s=10)
    )
    fleet = fleets.Fleet(
        per_domain=2, document=fleets.make_document(1, service)
    )
    fleet.settle()
    for port in range(6000, 6040):
        fleet.send("a0", fleets.make_segment(port, fleets.SYN))
    assert fleet.refusals[actions.Refusal.RATE_EXCEEDED] >= 20
    before = fleet.drops.total()
    fleet.send("a0", fleets.make_segment(6000, fleets.ACK))
    assert fleet.drops.total() == before


def test_full_table_refuses_new_flows_and_keeps_old_ones(fleet):
    # Guards against new records that evict those of established flows.
    target = _open_flow(fleet, "a0", 6000).packet.destination
    for balancer in fleet.balancers.values():
        balancer.context.max_flows = 1
    for port in range(6001, 6020):
        fleet.send("a0", fleets.make_segment(port, fleets.SYN))
    assert fleet.refusals[actions.Refusal.TABLE_FULL] > 0
    (delivered,) = fleet.send("b0", fleets.make_segment(6000, fleets.ACK))
    assert delivered.packet.destination == target


def test_rankings_of_removed_endpoints_are_dropped(fleet):
    # Guards against a memory leak by rankings of removed endpoints.
    fleet.apply(fleets.make_document(2, fleets.make_service(_endpoints()[:3])))
    context = fleet.balancers["a0"].context
    ranked = {n for r in context.owner_rankings.values() for n in r.numbers}
    assert ranked <= {1, 2, 3}


def test_outdated_document_stops_sending(fleet):
    # Guards against sending packets to an address that may belong to another
    # service by now.
    balancer = fleet.balancers["a0"]
    balancer.context.may_send = False
    assert fleet.send("a0", fleets.make_segment(5012, fleets.SYN)) == []
    assert fleet.drops[actions.RoutingDrop.DOCUMENT_TOO_OLD] == 1
