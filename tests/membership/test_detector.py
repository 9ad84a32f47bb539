"""Tests of the failure detector."""

import random

import pytest

from chivedoor.membership import const
from chivedoor.membership import detector as detector_module
from chivedoor.membership import members as members_module
from chivedoor.membership import messages

State = members_module.MemberState
_TICK = const.TICK_INTERVAL_S


class Driver:
    """Runs a detector and sends acks on behalf of reachable members."""

    def __init__(self, members, *, seed=1):
        self.members = members
        self.pauses = []
        self.detector = detector_module.Detector(
            members=members,
            rng=random.Random(seed),
            on_pause=self.pauses.append,
        )
        self.now = 50.0
        self.reachable = {m.id for m in members.live_members()}
        self.sent = []

    def run(self, duration_s):
        for _ in range(round(duration_s / _TICK)):
            self.now += _TICK
            self.tick()

    def tick(self):
        for outgoing in self.detector.tick(self.now):
            self.sent.append((self.now, outgoing))
            self.answer(outgoing)

    def answer(self, outgoing):
        if outgoing.recipient not in self.reachable:
            return
        if isinstance(outgoing.message, messages.Ping):
            self.detector.handle(
                messages.Ack(
                    sender=outgoing.recipient, probe=outgoing.message.probe
                ),
                self.now,
            )

    def list_recipients(self, kind):
        return [o.recipient for _, o in self.sent if type(o.message) is kind]


@pytest.fixture
def driver(members, build_member):
    for member_id in "bcdef":
        members.merge(build_member(member_id), 0.0)
    return Driver(members)


def test_each_round_probes_every_member_once(driver):
    # Guards against members that are not probed for a long time by chance.
    driver.run(10 * const.PROBE_INTERVAL_S)
    probed = driver.list_recipients(messages.Ping)
    assert len(probed) == 10
    assert sorted(probed[:5]) == sorted(probed[5:]) == list("bcdef")
    assert probed[:5] != probed[5:]


def test_probe_rate_does_not_depend_on_the_fleet_size(build_member):
    # Guards against heartbeats to all members.
    counts = []
    for size in (5, 300):
        members = members_module.Members(local=build_member("a"))
        for number in range(size):
            members.merge(build_member(f"m{number}"), 0.0)
        driver = Driver(members)
        driver.run(20.0)
        counts.append(len(driver.sent))
    assert counts == [20.0 / const.PROBE_INTERVAL_S] * 2


def test_unreachable_member_becomes_suspect_then_dead(driver):
    # Guards against a detection that takes longer than 3 s from the probe.
    driver.reachable.discard("c")
    while driver.members.get("c").state is State.ACTIVE:
        driver.run(_TICK)
    requests = driver.list_recipients(messages.PingRequest)
    assert len(requests) == len(set(requests)) == const.INDIRECT_PROBES
    assert "c" not in requests
    assert driver.members.get("c").state is State.SUSPECT
    # The suspect is pinged immediately so that it can refute the suspicion.
    _, last = driver.sent[-1]
    assert (last.recipient, type(last.message)) == ("c", messages.Ping)
    suspected_at = driver.now
    while driver.members.get("c").state is State.SUSPECT:
        driver.run(_TICK)
    assert driver.members.get("c").state is State.DEAD
    assert driver.now - suspected_at <= const.SUSPICION_TIMEOUT_S + 2 * _TICK
    driver.sent.clear()
    driver.run(10.0)
    assert "c" not in driver.list_recipients(messages.Ping)


def test_indirect_ack_prevents_suspicion(driver):
    # Guards against a member that is declared dead because of one broken
    # network path between two members.
    driver.reachable.discard("c")
    for _ in range(200):
        driver.now += _TICK
        for outgoing in driver.detector.tick(driver.now):
            driver.answer(outgoing)
            if isinstance(outgoing.message, messages.PingRequest):
                ack = messages.Ack(
                    sender=outgoing.recipient, probe=outgoing.message.probe
                )
                driver.detector.handle(ack, driver.now)
    assert driver.detector.counters["indirect"] >= const.INDIRECT_PROBES
    assert driver.detector.counters["suspected"] == 0


def test_ack_from_another_member_is_ignored(driver):
    # Guards against a late ack of another member that has this probe's number.
    driver.reachable.clear()
    while not driver.sent:
        driver.run(_TICK)
    ((_, outgoing),) = driver.sent
    other = next(i for i in "bcdef" if i != outgoing.recipient)
    ack = messages.Ack(sender=other, probe=outgoing.message.probe)
    driver.detector.handle(ack, driver.now)
    driver.run(const.PROBE_DEADLINE_S + 2 * _TICK)
    assert driver.members.get(outgoing.recipient).state is State.SUSPECT


def test_refutation_ends_a_suspicion(driver, build_member):
    # Guards against declaring a member dead after it refuted the suspicion.
    driver.members.suspect("b", driver.now)
    driver.run(0.5)
    refuted = build_member("b", incarnation=2)
    driver.members.merge(refuted, driver.now)
    driver.run(5.0)
    assert driver.members.get("b") == refuted


def test_suspect_known_before_the_first_tick_gets_the_full_timeout(driver):
    # Guards against declaring a suspect dead in the first tick, because the
    # detector's clock reads 0 before it.
    driver.members.suspect("b", driver.now)
    driver.run(const.MIN_SUSPICION_TIMEOUT_S / 2)
    assert driver.members.get("b").state is State.SUSPECT


def test_second_suspicion_restarts_the_timeout(driver, build_member):
    # Guards against a timer of a refuted suspicion that keeps running.
    driver.members.suspect("b", driver.now)
    driver.run(0.8)
    driver.members.merge(build_member("b", incarnation=2), driver.now)
    driver.members.suspect("b", driver.now)
    driver.run(0.8)
    assert driver.members.get("b").state is State.SUSPECT
    driver.run(0.5)
    assert driver.members.get("b").state is State.DEAD


def test_relay_pings_the_target_and_forwards_the_ack(driver):
    # Guards against acks of indirect probes that do not reach the requester.
    request = messages.PingRequest(sender="b", probe=77, target="c")
    (ping,) = driver.detector.handle(request, driver.now)
    assert ping.recipient == "c"
    ack = messages.Ack(sender="c", probe=ping.message.probe)
    (forwarded,) = driver.detector.handle(ack, driver.now)
    assert forwarded == messages.Outgoing(
        recipient="b", message=messages.Ack(sender="a", probe=77)
    )
    assert driver.detector.handle(ack, driver.now) == []


def test_unanswered_relays_expire(driver):
    # Guards against unbounded growth of the table of relayed probes.
    for probe in range(const.MAX_RELAYS + 10):
        request = messages.PingRequest(sender="b", probe=probe, target="c")
        driver.detector.handle(request, driver.now)
    assert driver.detector.handle(request, driver.now) == []
    driver.run(const.PROBE_DEADLINE_S + 2 * _TICK)
    assert len(driver.detector.handle(request, driver.now)) == 1


def test_requests_for_unknown_members_are_ignored(driver):
    # Guards against an exception for a member that only other members know.
    request = messages.PingRequest(sender="b", probe=1, target="zz")
    assert driver.detector.handle(request, driver.now) == []


def test_late_tick_worsens_only_the_local_health(driver):
    # Guards against an overloaded balancer that declares its peers dead.
    driver.run(1.0)
    driver.reachable.clear()
    driver.run(0.2)
    driver.now += 0.8
    driver.tick()
    assert driver.detector.health_score == 1
    assert driver.detector.counters["suspected"] == 0
    assert driver.pauses == []


def test_local_health_extends_the_timeouts_and_recovers(driver):
    # Guards against short timeouts on a VM that is overloaded.
    driver.members.suspect("b", driver.now)
    driver.run(_TICK)
    driver.now += 0.5
    driver.run(const.SUSPICION_TIMEOUT_S + 0.2)
    assert driver.detector.health_score == 1
    assert driver.members.get("b").state is State.SUSPECT
    driver.run(const.SUSPICION_TIMEOUT_S)
    assert driver.members.get("b").state is State.DEAD
    driver.run(const.HEALTH_RECOVERY_TICKS * _TICK)
    assert driver.detector.health_score == 0


def test_pause_is_reported_without_declaring_members_dead(driver):
    # Guards against a balancer that acts on an outdated view after a pause.
    driver.members.suspect("b", driver.now)
    driver.run(1.0)
    driver.now += 30.0
    driver.tick()
    (delay_s,) = driver.pauses
    assert delay_s == pytest.approx(30.0 - _TICK)
    assert driver.members.get("b").state is State.SUSPECT
    assert driver.detector.health_score == const.MAX_HEALTH_SCORE


def test_pause_discards_outstanding_probes(driver):
    # Guards against suspecting a member whose ack was discarded after a pause
    # together with all other packets in the socket buffer.
    reachable = driver.reachable
    driver.reachable = set()
    while not driver.sent:
        driver.run(_TICK)
    driver.reachable = reachable
    driver.now += 30.0
    driver.run(10.0)
    assert driver.detector.counters["suspected"] == 0


def test_suspicion_timeout_grows_with_the_logarithm_of_the_fleet_size():
    # Guards against false detections in large fleets, where gossip takes
    # longer to spread.
    assert detector_module.compute_suspicion_timeout_s(12) == pytest.approx(1.5)
    assert detector_module.compute_suspicion_timeout_s(144) == pytest.approx(
        3.0
    )
    assert (
        detector_module.compute_suspicion_timeout_s(1)
        == const.MIN_SUSPICION_TIMEOUT_S
    )


def test_same_seed_gives_the_same_decisions(build_member):
    # Guards against random choices that do not use the seeded generator, which
    # would make failures irreproducible.
    runs = []
    for _ in range(2):
        members = members_module.Members(local=build_member("a"))
        for member_id in "bcdef":
            members.merge(build_member(member_id), 0.0)
        driver = Driver(members, seed=9)
        driver.reachable.discard("d")
        driver.run(6.0)
        runs.append(driver.sent)
    assert runs[0] == runs[1]
