"""Known balancers, and the choice of the reader of the failure domain.

The reader is chosen without an election. Each balancer ranks the peers from
which it receives heartbeats, and reads the store if none of them ranks higher.
If two balancers do so at the same time, both read, which only costs additional
store calls.
"""

from collections.abc import Iterator
import dataclasses
import random

import xxhash

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.steering import delays as delay_tables


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Heartbeat:
    """State that a balancer sends to the others of its domain.

    Attributes:
        vm: Id of the balancer.
        domain: Its failure domain.
        host: Its address.
        incarnation: Start time of its process, in milliseconds of Unix time.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
        read_age_s: Time since its last own read of the store confirmed its
            view, in seconds; None if it never read. Changes received from a
            peer do not count.
        revision: Number of the store revision of its view.
        leaving: Whether it is being stopped.
        in_flight: Requests in flight through it, by endpoint.
        summed: Whether the counts include those reported by its peers.
        suspects: Endpoints that it suspects, with the number of flows whose
            handshake is unanswered.
        stalled: Number of flows with stalled requests, by endpoint.
        delays: Recent delays of requests, by endpoint.
        refusals: Recent refused handshakes by endpoint, as the incarnation of
            the endpoint and the age of the refusal in milliseconds.
    """

    vm: ids.VmId
    domain: ids.DomainId
    host: str
    incarnation: int
    bandwidth_mbps: float
    read_age_s: float | None
    revision: int
    leaving: bool
    in_flight: dict[ids.EndpointId, int]
    summed: bool
    suspects: dict[ids.EndpointId, int]
    stalled: dict[ids.EndpointId, int]
    delays: dict[ids.EndpointId, delay_tables.DelaySums]
    refusals: dict[ids.EndpointId, list[int]]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """Id and address of a balancer.

    Attributes:
        vm: Id of the balancer.
        domain: Its failure domain.
        host: Its address.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
    """

    vm: ids.VmId
    domain: ids.DomainId
    host: str
    bandwidth_mbps: float


class Peer:
    """Another balancer.

    Attributes:
        vm: Id of the balancer.
        domain: Its failure domain.
        host: Its address.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
        heartbeat: Its latest heartbeat, None before the first one.
        last_heard_at: Time of its last message; before the first one, the time
            at which it was advertised.
        rank: Sort key among the candidates for the reader; lower is better.
        failed_until: Time until which it is skipped as a reader.
        heard_directly: Whether a message of its own has arrived. Only such
            peers are advertised to others, so that balancers do not keep
            advertising a dead VM to each other.
    """

    __slots__ = (
        "bandwidth_mbps",
        "heard_directly",
        "domain",
        "failed_until",
        "heartbeat",
        "last_heard_at",
        "host",
        "rank",
        "vm",
    )

    def __init__(
        self,
        *,
        vm: ids.VmId,
        domain: ids.DomainId,
        host: str,
        bandwidth_mbps: float,
        now: float,
    ) -> None:
        """Creates a peer that became known at `now`."""
        self.vm = vm
        self.domain = domain
        self.host = host
        self.bandwidth_mbps = bandwidth_mbps
        self.rank = _rank(vm, bandwidth_mbps)
        self.failed_until = now
        self.heartbeat: Heartbeat | None = None
        self.last_heard_at = now
        self.heard_directly = False


class Peers:
    """The other balancers that this one knows."""

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        host: str,
        bandwidth_mbps: float,
        generator: random.Random,
    ) -> None:
        """Creates an empty set of peers."""
        self._local = local
        self._domain = domain
        self._host = host
        self._local_rank = _rank(local, bandwidth_mbps)
        self._generator = generator
        self._peers: dict[ids.VmId, Peer] = {}
        # Number of peers in the local domain.
        self._domain_peer_count = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Records a heartbeat; returns whether the peer was not live before."""
        if heartbeat.vm == self._local:
            return False
        peer = self._peers.get(heartbeat.vm)
        if peer is None or peer.host != heartbeat.host:
            if len(self._peers) >= const.MAX_PEERS:
                return False
            peer = Peer(
                vm=heartbeat.vm,
                domain=heartbeat.domain,
                host=heartbeat.host,
                bandwidth_mbps=heartbeat.bandwidth_mbps,
                now=now,
            )
            self._peers[heartbeat.vm] = peer
            self._update_domain_size()
        silent_s = now - peer.last_heard_at
        new = peer.heartbeat is None or silent_s > self._get_timeout_s()
        peer.heartbeat = heartbeat
        peer.last_heard_at = now
        peer.heard_directly = True
        return new

    def record_advertised(self, address: PeerAddress, now: float) -> None:
        """Adds a balancer that another one advertised."""
        known = address.vm in self._peers or address.vm == self._local
        if not known and len(self._peers) < const.MAX_PEERS:
            self._peers[address.vm] = Peer(
                vm=address.vm,
                domain=address.domain,
                host=address.host,
                bandwidth_mbps=address.bandwidth_mbps,
                now=now,
            )
            self._update_domain_size()

    def record_request(self, address: PeerAddress, now: float) -> None:
        """Records a discovery request of a balancer."""
        self.record_advertised(address, now)
        peer = self._peers.get(address.vm)
        if peer is not None:
            peer.last_heard_at = now
            peer.heard_directly = True

    def record_heard(self, vm: ids.VmId, host: str, now: float) -> None:
        """Records a message of a known balancer of another domain."""
        peer = self._peers.get(vm)
        if peer is not None and peer.host == host:
            peer.last_heard_at = now
            peer.heard_directly = True

    def list_addresses(self, domain: ids.DomainId) -> list[PeerAddress]:
        """Returns the peers of a domain that were heard from directly."""
        return [
            PeerAddress(
                vm=peer.vm,
                domain=peer.domain,
                host=peer.host,
                bandwidth_mbps=peer.bandwidth_mbps,
            )
            for peer in self._peers.values()
            if peer.domain == domain and peer.heard_directly
        ]

    def expire(self, now: float) -> None:
        """Removes peers that have not been heard from for a long time."""
        oldest = now - const.PEER_RETENTION_S
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if peer.last_heard_at >= oldest
        }
        self._update_domain_size()

    def has_domain_peers(self) -> bool:
        """Returns whether another balancer of the domain is known."""
        return self._domain_peer_count > 0

    def is_large_domain(self) -> bool:
        """Returns whether the domain is too large for all-to-all heartbeats."""
        return self._domain_peer_count > const.LARGE_DOMAIN_PEERS

    def get_interval_s(self, *, congested: bool = False) -> float:
        """Returns the heartbeat interval in seconds.

        Args:
            congested: Whether load reports are needed more often. In a large
                domain, this makes no difference, since the candidates could
                not bear more messages.
        """
        if self.is_large_domain():
            return const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S
        if congested:
            return const.CONGESTED_HEARTBEAT_INTERVAL_S
        return const.HEARTBEAT_INTERVAL_S

    def is_reader_candidate(self) -> bool:
        """Returns whether this balancer is a candidate for the reader."""
        better = sum(
            peer.rank < self._local_rank for peer in self.iterate_domain()
        )
        return better < const.READER_CANDIDATES

    def list_heartbeat_recipients(self) -> list[Peer]:
        """Returns the peers to send the next heartbeat to.

        In a large domain, candidates send to all peers, and other balancers
        send to the candidates and one random peer. Except for the candidates,
        the load of a VM thus does not grow with the size of the domain.
        """
        peers = list(self.iterate_domain())
        if not self.is_large_domain() or self.is_reader_candidate():
            return peers
        peers.sort(key=lambda peer: peer.rank)
        first = peers[: const.READER_CANDIDATES]
        return [*first, self._generator.choice(peers)]

    def list_candidates(self) -> list[Peer]:
        """Returns the other candidates for the reader of the domain."""
        count = const.READER_CANDIDATES - self.is_reader_candidate()
        return sorted(self.iterate_domain(), key=lambda peer: peer.rank)[:count]

    def choose_remote(self, domain: ids.DomainId) -> list[Peer]:
        """Returns random balancers of another domain, to report loads to.

        Balancers that were only advertised may be dead and are chosen only if
        too few others are known.
        """
        known = [peer for peer in self._peers.values() if peer.domain == domain]
        self._generator.shuffle(known)
        known.sort(key=lambda peer: not peer.heard_directly)
        return known[: const.REMOTE_REPORT_RECIPIENTS]

    def is_domain_host(self, host: str) -> bool:
        """Returns whether an address is that of a peer of the domain."""
        return any(peer.host == host for peer in self.iterate_domain())

    def iterate_domain(self) -> Iterator[Peer]:
        """Returns the peers of the local domain, whether live or not."""
        return (
            peer for peer in self._peers.values() if peer.domain == self._domain
        )

    def list_live(self, now: float) -> list[Peer]:
        """Returns the peers of the local domain with a recent heartbeat."""
        oldest = now - self._get_timeout_s()
        return [
            peer
            for peer in self.iterate_domain()
            if peer.heartbeat is not None and peer.last_heard_at > oldest
        ]

    def has_active_reader(self, now: float) -> bool:
        """Returns whether a live peer reads the store."""
        return any(map(_is_active_reader, self.list_live(now)))

    def find_reader(self, now: float, read_age_s: float | None) -> Peer | None:
        """Returns the peer to subscribe to; None to read the store.

        While no balancer reads, the highest-ranked one is expected to start.
        The others wait for it while their own view is recent enough.

        Args:
            now: The current time, in seconds.
            read_age_s: Time since this balancer last read the store itself, in
                seconds; None if it never did.
        """
        candidates = sorted(
            (
                peer
                for peer in self.list_live(now)
                if peer.heartbeat is not None
                and not peer.heartbeat.leaving
                and peer.failed_until <= now
            ),
            key=lambda peer: peer.rank,
        )
        active = [peer for peer in candidates if _is_active_reader(peer)]
        local_active = read_age_s is not None and (
            read_age_s < const.READER_ACTIVE_AGE_S
        )
        chosen = next(
            iter(active or ([] if local_active else candidates)), None
        )
        if chosen is None:
            return None
        if (local_active or not active) and self._local_rank < chosen.rank:
            return None
        return chosen

    def get_max_retry_delay_s(self, now: float, *, has_view: bool) -> float:
        """Returns the largest delay between retries at the store, in seconds.

        While the store is down, the retries of a domain do not grow with the
        number of its balancers. The candidates for the reader keep their rate,
        so that the domain learns of the store's return as soon as before. So
        do balancers without a view, which cannot serve until they have read
        it: the store refuses some of their calls when many start together.
        """
        if not has_view or self.is_reader_candidate():
            return const.RETRY_MAX_DELAY_S
        return max(
            const.RETRY_MAX_DELAY_S,
            const.RETRY_DELAY_PER_PEER_S * len(self.list_live(now)),
        )

    def list_warmup_members(self, now: float) -> list[ids.VmId]:
        """Returns the balancers that share the warm-up rates of the domain.

        In a large domain, these are the candidates for the reader, since only
        their heartbeats reach all balancers.
        """
        ranked = sorted(
            [
                (self._local_rank, self._local),
                *((peer.rank, peer.vm) for peer in self.list_live(now)),
            ]
        )
        members = [vm for _, vm in ranked]
        if self.is_large_domain():
            return members[: const.READER_CANDIDATES]
        return members

    def find_top_ranked(self, now: float) -> Peer | None:
        """Returns the highest-ranked live peer."""
        return min(
            self.list_live(now), key=lambda peer: peer.rank, default=None
        )

    def mark_failed(self, host: str, now: float) -> None:
        """Skips the reader at an address for `READER_FAILURE_BACKOFF_S`."""
        for peer in self.iterate_domain():
            if peer.host == host:
                peer.failed_until = now + const.READER_FAILURE_BACKOFF_S

    def choose_discovery_peer(self) -> Peer | None:
        """Returns a random known balancer, None without any."""
        peers = tuple(self._peers.values())
        return self._generator.choice(peers) if peers else None

    def _get_timeout_s(self) -> float:
        """Returns the time without messages after which a peer is not live."""
        return max(
            const.PEER_TIMEOUT_MIN_S,
            const.PEER_TIMEOUT_INTERVALS * self.get_interval_s(),
        )

    def _update_domain_size(self) -> None:
        self._domain_peer_count = sum(1 for _ in self.iterate_domain())


def _is_active_reader(peer: Peer) -> bool:
    heartbeat = peer.heartbeat
    return (
        heartbeat is not None
        and heartbeat.read_age_s is not None
        and heartbeat.read_age_s < const.READER_ACTIVE_AGE_S
    )


def _rank(vm: ids.VmId, bandwidth_mbps: float) -> tuple[float, int]:
    """Ranks high bandwidth first, since a reader sends to its whole domain."""
    return -bandwidth_mbps, xxhash.xxh32_intdigest(vm.encode())
