"""Tests that flows finish and that the stand-ins detect all faults."""

import dataclasses

import pytest

from standins import caller as callers
from standins import caller_flows
from standins import const
from standins import exceptions
from standins import fabric as fabrics
from standins import ledger as ledgers
from standins import segments
from standins import target as targets

from . import conftest

ALL_LOADS = tuple(conftest.LOADS)


@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"loss": 0.05, "double": 0.05, "reorder": 0.3, "seed": 7},
    ],
)
def test_all_flows_finish_without_a_change(harness, faults):
    # Guards against false reports of the stand-ins.
    harness.simulation.fabric.set_faults(faults)
    harness.start("streams", "requests", "uploads")
    if not faults:
        harness.start("datagrams")
    harness.finish()
    outcomes = {load: harness.get_outcomes(load) for load in ALL_LOADS}
    assert outcomes == {
        "streams": {"finished": 20},
        "requests": {"finished": 20},
        "uploads": {"finished": 10},
        "datagrams": {} if faults else {"finished": 20},
    }
    assert harness.simulation.ledger.list_duplicate_runs() == []
    assert "wrong_service" not in harness.get_events()
    assert "over_limit" not in harness.get_events()


def test_same_seed_gives_the_same_run(document):
    # Guards against randomness that does not depend on the seed.
    def run():
        harness = conftest.SimulationHarness(document)
        harness.simulation.fabric.set_faults({"loss": 0.1, "seed": 3})
        harness.start(*ALL_LOADS)
        harness.finish()
        return harness.simulation.caller.dump_state()

    assert run() == run()


def change_payload(packets, change):
    """Changes payloads of packets to the caller and updates checksums."""
    changed = []
    for packet in packets:
        content = segments.read_packet(packet)
        if content.destination[1] == 2 and content.payload:
            content = dataclasses.replace(
                content, payload=change(content.payload)
            )
        changed.append(segments.build_packet(content))
    return changed


def flip_byte(payload):
    return payload[:-1] + bytes([payload[-1] ^ 1])


@pytest.mark.parametrize("load", ["streams", "requests", "datagrams"])
def test_a_changed_byte_is_corruption(harness, load):
    # Guards against callers that do not check every byte.
    harness.modify_packets = lambda packets, now: change_payload(
        packets, flip_byte
    )
    harness.start(load)
    harness.finish()
    assert harness.get_outcomes(load) == {"corrupted": 20}


@pytest.mark.parametrize("load", ["requests", "datagrams", "streams"])
def test_the_answer_of_another_flow_is_noticed(harness, load):
    # Guards against callers that accept answers to other flows.
    first = []

    def swap(payload):
        first.append(payload)
        return first[0]

    harness.modify_packets = lambda packets, now: change_payload(packets, swap)
    harness.start(load)
    harness.finish()
    outcomes = harness.get_outcomes(load)
    assert outcomes["wrong_answer"] == 19


def test_a_doubled_answer_is_noticed(harness):
    # Guards against undetected duplicate answers; TCP removes them itself.
    def double(packets, now):
        answers = [p for p in packets if p[17] == 2]
        return packets + answers

    harness.modify_packets = double
    harness.start("datagrams", "requests")
    harness.finish()
    assert harness.get_outcomes("datagrams") == {"duplicate": 20}
    assert harness.get_outcomes("requests") == {"finished": 20}


def test_a_request_that_two_targets_run_is_doubled(harness):
    # Guards against a ledger that counts runs per target only.
    def copy_request(packets, now):
        copies = []
        for packet in packets:
            content = segments.read_packet(packet)
            if content.destination[1] == 1:
                other = bytes([127, 1, 0, content.destination[3] % 7 + 1])
                copies.append(
                    segments.build_packet(
                        dataclasses.replace(content, destination=other)
                    )
                )
        return packets + copies

    harness.modify_packets = copy_request
    harness.start("datagrams")
    harness.finish()
    assert len(harness.simulation.ledger.list_duplicate_runs()) == 20
    assert harness.get_events()["doubled"] == 20


def test_a_flow_at_another_service_is_noticed(harness):
    # Guards against targets that serve flows of another service.
    def misroute(packets, now):
        changed = []
        for packet in packets:
            content = segments.read_packet(packet)
            if content.destination[:3] == bytes([127, 1, 1]):
                content.destination = bytes([127, 1, 0, 1])
                content.destination_port = 8001
            elif content.source_port == 8001:
                content.source = bytes([203, 0, 113, 11])
                content.source_port = 8010
            changed.append(segments.build_packet(content))
        return changed

    harness.modify_packets = misroute
    harness.start("uploads")
    harness.finish()
    assert harness.get_events()["wrong_service"] == 10


def test_streams_of_a_restarted_target_are_reset(harness):
    # Guards against broken flows that count as finished.
    harness.start("streams")
    harness.simulation.run(3)
    target = max(
        harness.simulation.targets.values(), key=lambda t: t.connections
    )
    lost = target.connections
    target.restart(harness.simulation.now, cold_s=0)
    harness.finish()
    outcomes = harness.get_outcomes("streams")
    # A caller that only receives detects the restart by its idle timeout.
    assert outcomes == {"finished": 20 - lost, "timed_out": lost}


def test_no_balancer_means_unanswered_and_a_refusal_is_counted(harness):
    # Guards against unopened flows that count as broken.
    for name in harness.balancers:
        harness.simulation.kill_balancer(name)
    harness.start("requests", "datagrams")
    harness.finish()
    assert harness.get_outcomes("requests") == {"unanswered": 20}
    assert harness.get_outcomes("datagrams") == {"unanswered": 20}
    for name, balancer in harness.balancers.items():
        balancer.set_dead(
            {bytes([127, 1, 0, number]) for number in range(1, 8)}
        )
        harness.simulation.add_balancer(
            name, "a", lambda data, now, b=balancer: [b.handle_packet(data)]
        )
    harness.start("requests", "datagrams")
    harness.finish()
    assert harness.get_outcomes("requests")["refused"] == 20
    assert harness.get_outcomes("datagrams")["refused"] == 20
    assert len(harness.simulation.caller.dump_state()["refused"]) == 40


def start_requests(harness, **shape):
    load = dataclasses.replace(conftest.LOADS["requests"], shape=shape)
    harness.simulation.caller.start(load, harness.simulation.now)


def test_cancelling_stops_the_work_and_frees_the_slot(harness):
    # Guards against work that continues after the caller has cancelled.
    start_requests(harness, work_s=20.0, cancel_after_s=0.5)
    harness.finish()
    assert harness.get_outcomes("requests") == {"cancelled": 20}
    assert harness.get_events()["cancelled"] == 20
    assert all(t.slots == 0 for t in harness.simulation.targets.values())


def test_a_deadline_ends_the_work(harness):
    # Guards against late answers that count as finished.
    start_requests(harness, work_s=5.0, deadline_s=0.5)
    harness.finish()
    assert harness.get_outcomes("requests") == {"late": 20}


def test_flows_above_the_slots_are_counted(harness):
    # Guards against targets that do not count flows above their slots.
    start_requests(harness, work_s=20.0)
    harness.simulation.run(5)
    excess = sum(
        max(0, t.slots - 4) for t in harness.simulation.targets.values()
    )
    assert harness.get_events()["over_limit"] == excess > 0


@pytest.mark.parametrize(
    ("fails", "outcome"), [(True, "refused"), (False, "finished")]
)
def test_a_cold_target_fails_or_slows_above_its_ramp(harness, fails, outcome):
    # Guards against cold targets that tolerate any rate of flows.
    for target in harness.simulation.targets.values():
        target.set_faults({"cold_fails": fails})
        target.become_cold(0.0, cold_s=30.0)
    load = dataclasses.replace(
        conftest.LOADS["requests"], rate_per_s=200, limit=100
    )
    harness.simulation.caller.start(load, 0.0)
    harness.finish()
    events = harness.get_events()
    assert events["over_ramp"] > 50
    assert harness.get_outcomes("requests")[outcome] >= events["over_ramp"]


def test_ramp_excess_is_found_by_window():
    # Guards against a ramp check that accepts any rate.
    slow = [n * 0.5 for n in range(20)]
    assert ledgers.find_ramp_excess(slow, start=0.0, initial=2, step_s=5) == []
    fast = [n * 0.1 for n in range(20)]
    excess = ledgers.find_ramp_excess(fast, start=0.0, initial=2, step_s=5)
    assert len(excess) == 16


def test_health_reports_can_lag_and_be_false(harness):
    # Guards against faults of the health endpoint that have no effect.
    target = next(iter(harness.simulation.targets.values()))
    target.set_faults({"health_lag_s": 5.0})
    for second in range(10):
        target.record_report(float(second))
    target.drain(True)
    assert target.report_health(10.0)["state"] == "ready"
    target.record_report(14.0)
    assert target.report_health(19.5)["state"] == "draining"
    target.set_faults({"health_lie": {"state": "cold"}})
    assert target.report_health(20.0)["state"] == "cold"


def test_dead_targets_are_silent_or_refuse(harness):
    # Guards against dead targets that continue to send their streams.
    harness.start("streams")
    harness.simulation.run(3)
    for target in harness.simulation.targets.values():
        target.kill(targets.Death.SILENT)
    delivered = len(harness.simulation.fabric.dump_state()["received"])
    before = sum(harness.simulation.fabric.dump_state()["received"].values())
    harness.simulation.run(0.01)
    after = sum(harness.simulation.fabric.dump_state()["received"].values())
    assert delivered == 3
    assert after - before < 5
    for target in harness.simulation.targets.values():
        target.kill(targets.Death.REFUSING)
    harness.start("requests")
    harness.finish()
    assert harness.get_outcomes("requests") == {"refused": 20}


def test_unknown_fields_are_errors(harness):
    # Guards against misspelt faults or loads that are silently ignored.
    with pytest.raises(exceptions.PlanError):
        harness.simulation.fabric.set_faults({"los": 0.1})
    with pytest.raises(exceptions.PlanError):
        harness.simulation.targets["127.1.0.1"].set_faults({"shedd": 1})
    load = callers.Load(
        name="x", service="listening", port=8001, rate_per_s=1, shape={"a": 1}
    )
    with pytest.raises(exceptions.PlanError):
        harness.simulation.caller.start(load, 0.0)
    missing = dataclasses.replace(load, port=1, shape={})
    with pytest.raises(exceptions.PlanError):
        harness.simulation.caller.start(missing, 0.0)


def test_a_stream_with_a_gap_or_a_repeat_is_not_finished():
    # Guards against undetected lost or repeated records in a stream.
    shape = caller_flows.Stream(records=4, record_bytes=32)
    tag = caller_flows.content.tag_flow("f")

    def validate(numbers):
        found = caller_flows.build_validator(shape, "f")
        for number in numbers:
            found.feed(caller_flows.content.build_record(tag, number, 32))
        return found.fault.value if found.fault else found.get_outcome().value

    assert validate([0, 1, 2, 3]) == "finished"
    assert validate([0, 2, 3]) == "lost"
    assert validate([0, 1, 1, 2, 3]) == "doubled"
    assert validate([0, 1, 2]) == "incomplete"
    assert validate([0, 1, 2, 3, 4]) == "duplicate"


def build_fabric(**faults):
    fabric = fabrics.Fabric(seed=1)
    fabric.set_services(["203.0.113.10"])
    for name, kind, domain, inner in [
        ("caller", fabrics.HostKind.CALLER, "clients", ["127.2.0.1"]),
        ("targets", fabrics.HostKind.TARGET, "a", ["127.1.0.1"]),
    ]:
        host = fabrics.Host(
            name=name, kind=kind, domain=domain, address=(name, 1)
        )
        fabric.add_host(host, inner)
    for name, domain in [("vm1", "a"), ("vm2", "b")]:
        fabric.add_balancer(
            fabrics.Host(
                name=name,
                kind=fabrics.HostKind.BALANCER,
                domain=domain,
                address=(name, 1),
            )
        )
    fabric.set_faults(faults)
    return fabric


def build_datagram(source, destination):
    return segments.build_packet(
        segments.Datagram(
            source=fabrics.pack_address(source),
            source_port=5,
            destination=fabrics.pack_address(destination),
            destination_port=6,
        )
    )


def route_many(fabric, sender, source, destination, count=50):
    packet = build_datagram(source, destination)
    return {
        delivery.destination[0]
        for _ in range(count)
        for delivery in fabric.route(packet, (sender, 1), 1.0)
    }


def test_the_fabric_routes_by_sender_and_destination():
    # Guards against packets that reach a host without passing a balancer.
    fabric = build_fabric()
    service, caller, target = "203.0.113.10", "127.2.0.1", "127.1.0.1"
    both = {"vm1", "vm2"}
    assert route_many(fabric, "caller", caller, service) == both
    assert route_many(fabric, "caller", caller, target) == set()
    assert route_many(fabric, "targets", target, caller) == both
    assert route_many(fabric, "vm1", caller, target) == {"targets"}
    assert route_many(fabric, "vm1", service, caller) == {"caller"}
    assert route_many(fabric, "vm1", service, service) == set()
    assert route_many(fabric, "stranger", caller, service) == set()
    fabric.remove_balancer("vm1")
    assert route_many(fabric, "caller", caller, service) == {"vm2"}
    state = fabric.dump_state()
    assert ["a", target, 50] in state["packets"]
    assert ["a", target, 1.0] in state["last_delivery"]
    assert state["drops"] == {"no_route": 100, "unknown_sender": 50}


def test_cuts_and_silence_drop_packets():
    # Guards against partitions that forward packets.
    fabric = build_fabric(
        cuts=[["clients", "a"], ["b", "*"]], silent=[["127.1.0.1", "from"]]
    )
    service, caller, target = "203.0.113.10", "127.2.0.1", "127.1.0.1"
    assert route_many(fabric, "caller", caller, service) == {"vm2"}
    assert route_many(fabric, "vm2", caller, target) == set()
    assert route_many(fabric, "vm1", caller, target) == {"targets"}
    assert route_many(fabric, "targets", target, caller) == set()
    fabric.set_faults({"silent": [[target, "to"]]})
    assert route_many(fabric, "vm1", caller, target) == set()
    assert route_many(fabric, "targets", target, caller) == {"vm1", "vm2"}


def test_flow_spray_keeps_a_flow_on_one_balancer():
    # Guards against distributing a flow's packets over several balancers.
    fabric = build_fabric()
    fabric._spray = fabrics.Spray.FLOW
    chosen = route_many(fabric, "caller", "127.2.0.1", "203.0.113.10")
    assert len(chosen) == 1


def test_wrong_checksums_are_discarded(harness):
    # Guards against a target that accepts an incorrectly rewritten packet.
    target = harness.simulation.targets["127.1.0.1"]
    packet = bytearray(build_datagram("127.2.0.1", "127.1.0.1"))
    packet[const.IPV4_HEADER_BYTES] ^= 1
    target.handle_packet(bytes(packet), 0.0)
    assert target.dump_state()["bad_packets"] == 1
