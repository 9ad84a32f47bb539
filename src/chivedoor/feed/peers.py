"""Balancers of the same failure domain, and which one reads for them.

No vote is taken. Each balancer ranks the peers it hears; the first one that
hears nobody better reads the store. Two that believe so at once both read,
which costs calls and nothing else.
"""

from collections.abc import Iterator
import dataclasses
import random

import xxhash

from chivedoor import ids
from chivedoor.feed import const


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Heartbeat:
    """What a balancer tells the others of its domain.

    Attributes:
        vm: Its id.
        domain: Its failure domain.
        host: Its address.
        incarnation: Its start, in milliseconds of Unix time.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
        read_age_s: Time since the store last confirmed its view to itself,
            in seconds; None when it never did. What it takes from a peer
            does not count.
        revision: The store's revision that it has reached.
        leaving: Whether it is being stopped.
        in_flight: Requests in flight through it, by endpoint.
        summed: Whether `in_flight` includes those through its peers.
        suspects: Endpoints that it avoids, with the number of handshakes that
            they left unanswered in a row.
        stalled: Flows whose requests wait at an endpoint that shows no life.
    """

    vm: ids.VmId
    domain: ids.DomainId
    host: str
    incarnation: int
    bandwidth_mbps: float
    read_age_s: float | None
    revision: ids.Revision
    leaving: bool
    in_flight: dict[ids.EndpointId, int]
    summed: bool
    suspects: dict[ids.EndpointId, int]
    stalled: dict[ids.EndpointId, int]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PeerAddress:
    """Identity and address of a balancer.

    Attributes:
        vm: Its id.
        domain: Its failure domain.
        host: Its address.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
    """

    vm: ids.VmId
    domain: ids.DomainId
    host: str
    bandwidth_mbps: float


class Peer:
    """A balancer that is known.

    Attributes:
        vm: Its id.
        domain: Its failure domain.
        host: Its address.
        bandwidth_mbps: Bandwidth of its link, in Mbit/s.
        heartbeat: Its newest greeting, None while only its name is known.
        last_heard_at: Time of its last message, or at which it was first named.
        rank: Its place among the candidates for reading; lower is better.
        failed_until: Time until which it is passed over as a reader.
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
        """Creates a peer that was named at a time."""
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
    """The balancers that this one knows."""

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        host: str,
        bandwidth_mbps: float,
        generator: random.Random,
    ) -> None:
        """Creates a set that holds no other balancer."""
        self._local = local
        self._domain = domain
        self._host = host
        self._local_rank = _rank(local, bandwidth_mbps)
        self._generator = generator
        self._peers: dict[ids.VmId, Peer] = {}
        # Number of peers in the own domain.
        self._domain_peer_count = 0

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Notes a greeting; returns whether the peer was not in view."""
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
        """Notes a balancer that another one named."""
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
        """Notes a balancer that asked for others."""
        self.record_advertised(address, now)
        peer = self._peers.get(address.vm)
        if peer is not None:
            peer.last_heard_at = now
            peer.heard_directly = True

    def list_addresses(self, domain: ids.DomainId) -> list[PeerAddress]:
        """Returns the peers of a domain that were heard themselves."""
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
        """Drops peers that were silent for long."""
        oldest = now - const.PEER_RETENTION_S
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if peer.last_heard_at >= oldest
        }
        self._update_domain_size()

    def is_large(self) -> bool:
        """Returns whether the domain is too large to greet everyone."""
        return self._domain_peer_count > const.LARGE_DOMAIN_PEERS

    def get_interval_s(self) -> float:
        """Returns the time between greetings, in seconds."""
        if self.is_large():
            return const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S
        return const.HEARTBEAT_INTERVAL_S

    def is_candidate(self) -> bool:
        """Returns whether this balancer may be the next to read."""
        better = sum(
            peer.rank < self._local_rank for peer in self.iterate_domain()
        )
        return better < const.READER_CANDIDATES

    def list_heartbeat_recipients(self) -> list[Peer]:
        """Returns the peers that the next greeting goes to.

        In a large domain candidates greet everyone, and the others greet the
        candidates and one peer by chance, so that the load of a VM does not
        grow with the domain but for the candidates.
        """
        peers = list(self.iterate_domain())
        if not self.is_large() or self.is_candidate():
            return peers
        peers.sort(key=lambda peer: peer.rank)
        first = peers[: const.READER_CANDIDATES]
        return [*first, self._generator.choice(peers)]

    def iterate_domain(self) -> Iterator[Peer]:
        """Returns the peers of the own domain, silent ones included."""
        return (
            peer for peer in self._peers.values() if peer.domain == self._domain
        )

    def list_live(self, now: float) -> list[Peer]:
        """Returns the peers of the own domain that were heard of late."""
        oldest = now - self._get_timeout_s()
        return [
            peer
            for peer in self.iterate_domain()
            if peer.heartbeat is not None and peer.last_heard_at > oldest
        ]

    def has_active_reader(self, now: float) -> bool:
        """Returns whether a peer in view reads the store."""
        return any(map(_is_active_reader, self.list_live(now)))

    def find_reader(self, now: float, read_age_s: float | None) -> Peer | None:
        """Returns the peer to take changes from; None to read the store.

        While nobody reads, the first in rank is expected to begin; the others
        wait for it as long as their view is young enough.

        Args:
            now: The time in seconds.
            read_age_s: Time since this balancer's own last read.
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

    def list_warmup_members(self, now: float) -> list[ids.VmId]:
        """Returns the balancers that share rates of the whole domain.

        In a large domain these are the candidates for reading, since only
        they are heard by everyone.
        """
        ranked = sorted(
            [
                (self._local_rank, self._local),
                *((peer.rank, peer.vm) for peer in self.list_live(now)),
            ]
        )
        members = [vm for _, vm in ranked]
        if self.is_large():
            return members[: const.READER_CANDIDATES]
        return members

    def find_top_ranked(self, now: float) -> Peer | None:
        """Returns the first in rank of the peers that were heard of late."""
        return min(
            self.list_live(now), key=lambda peer: peer.rank, default=None
        )

    def mark_failed(self, host: str, now: float) -> None:
        """Passes over the reader at an address for a while."""
        for peer in self.iterate_domain():
            if peer.host == host:
                peer.failed_until = now + const.READER_FAILURE_BACKOFF_S

    def choose_discovery_peer(self) -> Peer | None:
        """Returns any known balancer."""
        peers = tuple(self._peers.values())
        return self._generator.choice(peers) if peers else None

    def _get_timeout_s(self) -> float:
        """Returns the silence after which a peer is not in view."""
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
    """Ranks fast links first, since a reader sends to its whole domain."""
    return -bandwidth_mbps, xxhash.xxh32_intdigest(vm.encode())
