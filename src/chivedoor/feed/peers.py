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
class Greeting:
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


class Peer:
    """A balancer that is known.

    Attributes:
        vm: Its id.
        domain: Its failure domain.
        host: Its address.
        greeting: Its newest greeting, None while only its name is known.
        heard_at: Time of its last message, or at which it was first named.
        direct: Whether a message of its own has arrived. Only these are named
            to others, so that the name of a dead VM does not go round.
    """

    __slots__ = ("direct", "domain", "greeting", "heard_at", "host", "vm")

    def __init__(
        self, *, vm: ids.VmId, domain: ids.DomainId, host: str, now: float
    ) -> None:
        """Creates a peer that was named at a time."""
        self.vm = vm
        self.domain = domain
        self.host = host
        self.greeting: Greeting | None = None
        self.heard_at = now
        self.direct = False


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

    def note_greeting(self, greeting: Greeting, now: float) -> bool:
        """Notes a greeting; returns whether the peer was not in view."""
        if greeting.vm == self._local:
            return False
        peer = self._peers.get(greeting.vm)
        if peer is None or peer.host != greeting.host:
            if len(self._peers) >= const.MAX_PEERS:
                return False
            peer = Peer(
                vm=greeting.vm,
                domain=greeting.domain,
                host=greeting.host,
                now=now,
            )
            self._peers[greeting.vm] = peer
        new = peer.greeting is None or not self._is_live(peer, now)
        peer.greeting = greeting
        peer.heard_at = now
        peer.direct = True
        return new

    def note_ask(
        self, vm: ids.VmId, domain: ids.DomainId, host: str, now: float
    ) -> None:
        """Notes a balancer that asked for others."""
        self.note_named(vm, domain, host, now)
        peer = self._peers.get(vm)
        if peer is not None:
            peer.heard_at = now
            peer.direct = True

    def note_named(
        self, vm: ids.VmId, domain: ids.DomainId, host: str, now: float
    ) -> None:
        """Notes a balancer that another one named."""
        known = vm in self._peers or vm == self._local
        if not known and len(self._peers) < const.MAX_PEERS:
            self._peers[vm] = Peer(vm=vm, domain=domain, host=host, now=now)

    def expire(self, now: float) -> None:
        """Drops peers that were silent for long."""
        oldest = now - const.PEER_FORGOTTEN_S
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if peer.heard_at >= oldest
        }

    def get_interval_s(self) -> float:
        """Returns the time between greetings, in seconds."""
        return max(
            const.GREETING_INTERVAL_S,
            const.GREETING_INTERVAL_PER_PEER_S
            * sum(1 for _ in self.iterate_domain()),
        )

    def iterate_domain(self) -> Iterator[Peer]:
        """Returns the peers of the own domain, silent ones included."""
        return (
            peer for peer in self._peers.values() if peer.domain == self._domain
        )

    def iterate_known(self, domain: ids.DomainId) -> Iterator[Peer]:
        """Returns the peers of a domain that were heard themselves."""
        return (
            peer
            for peer in self._peers.values()
            if peer.domain == domain and peer.direct
        )

    def list_live(self, now: float) -> list[Peer]:
        """Returns the peers of the own domain that were heard of late."""
        return [
            peer for peer in self.iterate_domain() if self._is_live(peer, now)
        ]

    def find_reader(self, now: float, read_age_s: float | None) -> Peer | None:
        """Returns the peer to take changes from; None to read the store.

        Args:
            now: The time in seconds.
            read_age_s: Time since this balancer's own last read.
        """
        fit = [
            peer
            for peer in self.list_live(now)
            if peer.greeting is not None and _is_fit(peer.greeting)
        ]
        if not fit:
            return None
        best = min(fit, key=_rank_peer)
        own_fit = read_age_s is not None and (
            read_age_s < const.READER_FIT_AGE_S
        )
        if own_fit and self._local_rank < _rank_peer(best):
            return None
        return best

    def choose_introducer(self) -> Peer | None:
        """Returns any known balancer."""
        peers = tuple(self._peers.values())
        return self._generator.choice(peers) if peers else None

    def _is_live(self, peer: Peer, now: float) -> bool:
        silence_s = max(
            const.PEER_SILENCE_MIN_S,
            const.PEER_SILENCE_INTERVALS * self.get_interval_s(),
        )
        return peer.greeting is not None and now - peer.heard_at < silence_s


def _is_fit(greeting: Greeting) -> bool:
    return (
        not greeting.leaving
        and greeting.read_age_s is not None
        and greeting.read_age_s < const.READER_FIT_AGE_S
    )


def _rank(vm: ids.VmId, bandwidth_mbps: float) -> tuple[float, int]:
    """Ranks fast links first, since a reader sends to its whole domain."""
    return -bandwidth_mbps, xxhash.xxh32_intdigest(vm.encode())


def _rank_peer(peer: Peer) -> tuple[float, int]:
    assert peer.greeting is not None
    return _rank(peer.vm, peer.greeting.bandwidth_mbps)
