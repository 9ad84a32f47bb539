"""Tests of the exchange of load reports, without a network."""

import collections
from collections.abc import Callable
import itertools

import cbor2
import pytest

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_exchange
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from chivedoor.feed import peer_protocol
from chivedoor.steering import demand as demands
from chivedoor.steering import view as views
from tests.feed import conftest

DOMAIN_SIZE = 12
DOMAINS = (ids.DomainId("a"), ids.DomainId("b"))
INTERVAL_S = const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S
ROUTE = views.Route(
    name="r", weighted_services=((conftest.SERVICE, 1.0),), idempotent=False
)


class Balancer:
    """A balancer that opens a flow before each heartbeat.

    Attributes:
        sends_reports: False for the version before load reports.
    """

    def __init__(self, number: int, domain: ids.DomainId, domains) -> None:
        self.number = number
        self.vm = ids.VmId(f"vm-{number}")
        self.host = f"10.0.0.{number}"
        self.domain = domain
        self.demand = demands.Demand()
        self.sends_reports = True
        self.peers = conftest.make_peers(number, domain=domain)
        self.reports = load_reports.LoadReports(
            local=self.vm,
            domain=domain,
            list_candidates=self.peers.list_warmup_members,
        )
        self.exchange = load_exchange.LoadExchange(
            local=self.vm,
            domain=domain,
            domains=domains,
            host=self.host,
            peers=self.peers,
            reports=self.reports,
            source=self,
        )

    def list_capacity(self, now: float):
        return {conftest.SERVICE: demands.Capacity(100.0, 5.0)}

    def decide_shares(self, now: float):
        # The share identifies the candidate that decided it.
        return {conftest.SERVICE: {"b": self.number / 100}}

    def get_share(self, now: float) -> float | None:
        return self.reports.list_shares(conftest.SERVICE, now).get("b")


class Fleet:
    """Balancers of two domains that exchange encoded messages.

    Attributes:
        now: The time in seconds.
        dead: Hosts that neither send nor receive.
        partitioned: Whether no message passes between the domains.
        sent: Senders and recipients of the reports of the last interval.
    """

    def __init__(self, size: int = DOMAIN_SIZE, domains=DOMAINS) -> None:
        self.now = 0.0
        self.dead: set[str] = set()
        self.partitioned = False
        self.sent: list[tuple[str, str]] = []
        self.balancers = {
            balancer.host: balancer
            for number in range(1, 2 * size + 1)
            for balancer in [Balancer(number, DOMAINS[number > size], domains)]
        }
        self._send_heartbeats()
        # Each balancer knows one seed of each domain.
        for balancer, seed in itertools.product(
            self.balancers.values(), (1, 2 * size)
        ):
            address = conftest.make_address(seed, domain=DOMAINS[seed > size])
            balancer.peers.record_advertised(address, 0.0)

    def list_domain(self, domain: str = "a") -> list[Balancer]:
        return [
            balancer
            for host, balancer in self.balancers.items()
            if balancer.domain == domain and host not in self.dead
        ]

    def list_candidates(self, domain: str = "a") -> list[Balancer]:
        """Returns the candidates, first one first."""
        first = self.list_domain(domain)[0]
        members = first.peers.list_warmup_members(self.now)
        return [
            self.balancers[f"10.0.0.{vm.removeprefix('vm-')}"] for vm in members
        ]

    def run(self, intervals: int) -> None:
        for _ in range(intervals):
            self.now += INTERVAL_S
            self.sent.clear()
            self._send_heartbeats()
            for host, balancer in self.balancers.items():
                balancer.demand.record_request(
                    conftest.SERVICE, ROUTE.priority, self.now
                )
                if host in self.dead or not balancer.sends_reports:
                    continue
                for data, to in balancer.exchange.list_messages(self.now):
                    self._deliver(data, host, to)

    def _send_heartbeats(self) -> None:
        for host, balancer in self.balancers.items():
            heartbeat = conftest.make_heartbeat(
                balancer.number, domain=balancer.domain
            )
            for other in self.list_domain(balancer.domain):
                if host not in self.dead:
                    other.peers.record_heartbeat(heartbeat, self.now)

    def _deliver(self, data: bytes, sender: str, to: str) -> None:
        self.sent.append((sender, to))
        crosses = self.balancers[sender].domain != self.balancers[to].domain
        if to in self.dead or (crosses and self.partitioned):
            return
        recipient = self.balancers[to]
        if not recipient.sends_reports:
            return
        report = messages.decode_message(data)
        for host in recipient.exchange.record(report, sender, self.now):
            self._deliver(data, to, host)


@pytest.mark.parametrize(
    ("size", "domains", "active"),
    [
        (const.LARGE_DOMAIN_PEERS + 2, DOMAINS, True),
        (const.LARGE_DOMAIN_PEERS + 1, DOMAINS, False),
        (DOMAIN_SIZE, DOMAINS[:1], False),
        (DOMAIN_SIZE, (), False),
    ],
)
def test_reports_need_a_large_domain_and_two_domains(
    size, domains, active: bool
) -> None:
    """Guards against messages in deployments that need none."""
    fleet = Fleet(size, domains)
    fleet.run(2)
    assert bool(fleet.sent) is active


def test_domain_knows_its_demand_and_positions() -> None:
    """Guards against balancers that take the same part of a limit."""
    fleet = Fleet()
    fleet.run(6)
    members = sorted(fleet.list_domain(), key=lambda balancer: balancer.vm)
    # The sums hold reports of the interval before, so rates may differ.
    own = members[0].demand.list_demand(fleet.now)[conftest.SERVICE][0]
    for position, balancer in enumerate(members):
        reports = balancer.reports
        assert reports.count_balancers(fleet.now)["a"] == DOMAIN_SIZE
        assert reports.get_position(fleet.now) == position
        demand = reports.list_demand(fleet.now)[conftest.SERVICE][0]
        assert demand == pytest.approx(own * DOMAIN_SIZE, rel=0.1)
    assert len({balancer.get_share(fleet.now) for balancer in members}) == 1
    for candidate in fleet.list_candidates():
        remote = candidate.reports.list_remote(fleet.now)["b"]
        assert remote.balancers == DOMAIN_SIZE
        assert remote.capacity[conftest.SERVICE].requests_per_s == 100.0


def test_messages_of_other_balancers_do_not_grow_with_the_domain() -> None:
    """Guards against all-to-all reports, and against forwarding in a circle."""
    for size in (DOMAIN_SIZE, 3 * DOMAIN_SIZE):
        fleet = Fleet(size)
        fleet.run(2)
        candidates = {
            domain: {
                balancer.host for balancer in fleet.list_candidates(domain)
            }
            for domain in DOMAINS
        }
        for balancer in fleet.balancers.values():
            hosts = [to for host, to in fleet.sent if host == balancer.host]
            remote = [
                host
                for host in hosts
                if fleet.balancers[host].domain != balancer.domain
            ]
            if balancer.host in candidates[balancer.domain]:
                assert len(hosts) - len(remote) == 1 + size - 1
                # Known from their reports, whichever balancer got the first.
                assert {*remote} == candidates[
                    DOMAINS[balancer.domain == DOMAINS[0]]
                ]
            else:
                assert {*hosts} == candidates[balancer.domain]
                assert len(hosts) == const.READER_CANDIDATES


def test_report_of_another_host_is_accepted_from_the_domain_only() -> None:
    """Guards against a machine that reports loads for others."""
    exchange = Fleet().balancers["10.0.0.1"].exchange
    total = load_reports.Scope.DOMAIN
    remote = conftest.make_load_report(20, domain="b", scope=total)
    assert not exchange.record(remote, "10.0.0.2", 0.0)
    local = conftest.make_load_report(3, scope=total)
    for report, sender in (
        (remote, "10.0.0.21"),
        (remote, "10.9.9.9"),
        (local, "10.0.0.2"),
    ):
        with pytest.raises(exceptions.MalformedAnswerError):
            exchange.record(report, sender, 0.0)


def test_unknown_domains_in_a_report_are_ignored() -> None:
    """Guards against flows for a domain that is not in the settings."""
    fleet = Fleet()
    balancer = fleet.balancers["10.0.0.1"]
    first = fleet.list_candidates()[0]
    report = conftest.make_load_report(
        first.number,
        scope=load_reports.Scope.DOMAIN,
        shares={conftest.SERVICE: {"b": 0.5, "z": 0.5}},
    )
    balancer.exchange.record(report, first.host, 0.0)
    strange = conftest.make_load_report(
        99, domain="z", scope=load_reports.Scope.DOMAIN
    )
    assert not balancer.exchange.record(strange, "10.0.0.99", 0.0)
    assert balancer.reports.list_shares(conftest.SERVICE, 0.0) == {"b": 0.5}
    assert list(balancer.reports.list_domains(0.0)) == ["a"]


def test_reports_that_stop_expire() -> None:
    """Guards against shares that are applied after the candidates died."""
    fleet = Fleet()
    fleet.run(3)
    candidates = fleet.list_candidates()
    fleet.dead = {balancer.host for balancer in candidates}
    balancer = fleet.list_domain()[0]
    last = fleet.now + const.LOAD_REPORT_LIFETIME_S
    assert balancer.get_share(last) is not None
    fleet.run(4)
    assert fleet.now > last
    for balancer in fleet.list_domain():
        assert balancer.get_share(fleet.now) is None
        assert balancer.reports.get_position(fleet.now) is None
        assert not balancer.reports.list_demand(fleet.now)


def test_second_candidate_takes_over() -> None:
    """Guards against a domain without shares after the first one died."""
    fleet = Fleet()
    fleet.run(3)
    first, second = fleet.list_candidates()
    values = [candidate.number / 100 for candidate in (first, second)]
    assert {b.get_share(fleet.now) for b in fleet.list_domain()} == {values[0]}
    fleet.dead = {first.host}
    members = fleet.list_domain()
    for _ in range(4):
        assert {b.get_share(fleet.now) for b in members} == {values[0]}
        fleet.run(1)
    # The last report of the first one is 2 s old.
    assert {b.get_share(fleet.now) for b in members} == {values[1]}
    assert members[0].reports.count_balancers(fleet.now)["a"] == len(members)


def test_other_domain_that_is_silent_expires() -> None:
    """Guards against flows into a domain behind a partition."""
    fleet = Fleet()
    fleet.run(3)
    candidates = fleet.list_candidates()
    assert all(c.reports.list_remote(fleet.now) for c in candidates)
    fleet.partitioned = True
    fleet.run(4)
    for candidate in candidates:
        assert not candidate.reports.list_remote(fleet.now)
        assert candidate.reports.count_balancers(fleet.now) == {
            "a": DOMAIN_SIZE
        }
    fleet.partitioned = False
    fleet.run(2)
    assert all(c.reports.list_remote(fleet.now) for c in candidates)


def test_first_candidate_of_the_version_before_is_passed_over() -> None:
    """Guards against an update during which a domain has no reports."""
    fleet = Fleet()
    first, second = fleet.list_candidates()
    first.sends_reports = False
    fleet.run(3)
    members = [b for b in fleet.list_domain() if b is not first]
    shares = {b.get_share(fleet.now) for b in members}
    assert shares == {second.number / 100}
    assert second.reports.count_balancers(fleet.now)["a"] == len(members)


class Transport:
    """Records datagrams instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address[0]))


def make_protocol(
    balancer: Balancer,
    clock: Callable[[], float],
    count_report: Callable[
        [load_reports.Transmission], None
    ] = lambda transmission: None,
) -> tuple[peer_protocol.PeerProtocol, Transport]:
    protocol = peer_protocol.PeerProtocol(
        peers=balancer.peers,
        exchange=balancer.exchange,
        port=1,
        make_heartbeat=lambda: conftest.make_heartbeat(1),
        on_heartbeat=lambda heartbeat: None,
        get_seeds=list,
        is_congested=lambda: False,
        count_report=count_report,
        clock=clock,
    )
    transport = Transport()
    protocol.connection_made(transport)
    return protocol, transport


def test_new_balancer_gets_the_sum_at_once() -> None:
    """Guards against a starting balancer that places flows without state."""
    fleet = Fleet()
    fleet.run(3)
    candidate = fleet.list_candidates()[0]
    protocol, transport = make_protocol(candidate, lambda: fleet.now)
    heartbeat = messages.encode_message(conftest.make_heartbeat(99))
    for _ in range(2):
        protocol.datagram_received(heartbeat, ("10.0.0.99", 1))
    assert {host for _, host in transport.sent} == {"10.0.0.99"}
    _, answer = (messages.decode_message(data) for data, _ in transport.sent)
    assert isinstance(answer, load_reports.LoadReport)
    assert answer.balancers == DOMAIN_SIZE
    # "vm-99" is the last one in the order of ids.
    assert answer.position == DOMAIN_SIZE
    exchange = candidate.exchange
    assert exchange.make_answer(answer.vm, DOMAINS[1], fleet.now) is None
    later = fleet.now + const.LOAD_REPORT_LIFETIME_S + 0.01
    assert exchange.make_answer(answer.vm, DOMAINS[0], later) is None


def test_balancer_forwards_a_report_unchanged() -> None:
    """Guards against sums that only reach a balancer without a decision."""
    fleet = Fleet()
    candidates = {balancer.host for balancer in fleet.list_candidates()}
    balancer = next(b for b in fleet.list_domain() if b.host not in candidates)
    protocol, transport = make_protocol(balancer, lambda: fleet.now)
    report = conftest.make_load_report(
        20, domain="b", scope=load_reports.Scope.DOMAIN
    )
    data = messages.encode_message(report)
    protocol.datagram_received(data, (report.host, 1))
    assert {*transport.sent} == {(data, host) for host in candidates}
    protocol.datagram_received(data, ("10.9.9.9", 1))
    assert protocol.malformed == 1
    assert len(transport.sent) == len(candidates)
    for candidate in fleet.list_candidates():
        assert not candidate.exchange.record(report, report.host, 0.0)


def test_version_before_counts_reports_and_keeps_working(monkeypatch) -> None:
    """Guards against an update that stops balancers not yet updated."""
    decode = messages.decode_message

    def decode_before(data: bytes) -> messages.Message:
        if cbor2.loads(data)[0] > 3:
            raise exceptions.MalformedAnswerError("unknown message type")
        return decode(data)

    fleet = Fleet()
    protocol, transport = make_protocol(
        fleet.balancers["10.0.0.1"], lambda: 9.0
    )
    monkeypatch.setattr(messages, "decode_message", decode_before)
    report = messages.encode_message(conftest.make_load_report(2))
    heartbeat = messages.encode_message(conftest.make_heartbeat(2))
    for data in (report, heartbeat, report):
        protocol.datagram_received(data, ("10.0.0.2", 1))
    assert protocol.malformed == 2
    assert [p.vm for p in fleet.balancers["10.0.0.1"].peers.list_live(9.0)] == [
        "vm-2"
    ]
    assert [host for _, host in transport.sent] == ["10.0.0.2"]


def test_each_kind_of_transmission_is_counted() -> None:
    """Guards against reports that are lost without a trace in the metrics."""
    fleet = Fleet()
    fleet.run(3)
    counted: collections.Counter[str] = collections.Counter()
    candidate = fleet.list_candidates()[0]
    member = next(
        b for b in fleet.list_domain() if b not in fleet.list_candidates()
    )
    remote = fleet.list_candidates("b")[0]
    protocol, transport = make_protocol(
        member,
        lambda: fleet.now,
        lambda transmission: counted.update([transmission.value]),
    )
    protocol.send_load_reports(fleet.now)
    assert counted == {"sent": len(transport.sent)}
    own_sum = remote.reports.get_own_sum(fleet.now)
    data = messages.encode_message(own_sum)
    protocol.datagram_received(data, (remote.host, 1))
    protocol.datagram_received(data, ("10.9.9.9", 1))
    forwarded = len(fleet.list_candidates())
    assert counted["received"] == counted["rejected"] == 1
    assert counted["forwarded"] == forwarded
    # A sum with more services than a datagram holds.
    candidate.demand = demands.Demand()
    for number in range(5_000):
        candidate.demand.record_request(
            ids.ServiceId(f"service-{number}"), 0, fleet.now
        )
    protocol, transport = make_protocol(
        candidate,
        lambda: fleet.now,
        lambda transmission: counted.update([transmission.value]),
    )
    protocol.send_load_reports(fleet.now)
    assert counted["too-large"] and not transport.sent
