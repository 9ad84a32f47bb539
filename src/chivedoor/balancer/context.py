"""State of one balancer that its packet handlers share."""

import collections
from collections.abc import Callable
import dataclasses
import functools

import xxhash

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.balancer import const
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.flows import owner as owners
from chivedoor.membership import members as memberships
from chivedoor.routing import directory as directories
from chivedoor.routing import ownership

AdmissionFactory = Callable[..., admissions.TargetAdmission]


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """Shared state of one balancer.

    Attributes:
      members: The members of the fleet in this balancer's view.
      directory: Services and routing tables of the current document.
      targets: Records of the targets that this balancer owns or replicates.
      owner_rankings: Ranking of owner candidates for each failure domain.
      replica_rankings: Ranking of replica candidates for each failure domain.
      version: Version of the current document; 0 without a document.
      may_send: False when the document was last confirmed longer ago than
        the delay after which addresses may be reused by another service.
      max_flows: Limit of the flow records of all targets together.
      out_domains: Failure domains that are out; their targets get no packets.
      live_fingerprints: Fingerprints of the members that are not dead.
      admitted: Number of new flows that this balancer admitted as owner.
      is_loop_late: Whether this balancer's event loop runs late, so that
        packets wait for it.
      view_changed_at_s: When the set of live members last changed.
    """

    members: memberships.Members
    directory: directories.ServiceDirectory
    targets: dict[ids.EndpointNumber, owners.TargetState]
    owner_rankings: dict[ids.DomainId, ownership.OwnerRanking]
    replica_rankings: dict[ids.DomainId, ownership.OwnerRanking]
    version: ids.Version = ids.Version(0)
    may_send: bool = True
    max_flows: int = const.MAX_FLOWS
    out_domains: frozenset[ids.DomainId] = frozenset()
    live_fingerprints: frozenset[int] = frozenset()
    view_changed_at_s: float = 0.0
    is_loop_late: bool = False
    admitted: collections.Counter[documents.PortKind] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def local_id(self) -> ids.VmId:
        """Returns the id of this balancer's VM."""
        return self.members.local.id

    def make_header(
        self,
        kind: encapsulation.ForwardKind,
        endpoint: documents.Endpoint,
        *,
        hops: int = 1,
    ) -> encapsulation.Header:
        """Returns the header for forwarding a packet to another balancer."""
        return encapsulation.Header(
            kind=kind,
            hops=hops,
            document_version=self.version,
            endpoint_number=endpoint.number,
            sender=_compute_fingerprint(self.members.local),
        )

    def is_domain_out(self, endpoint: documents.Endpoint) -> bool:
        """Returns whether an endpoint's failure domain is out."""
        return endpoint.domain in self.out_domains

    def is_full(self) -> bool:
        """Returns whether the limit of flow records is reached."""
        held = sum(len(target.flows) for target in self.targets.values())
        return held >= self.max_flows

    def find_owner(self, endpoint: documents.Endpoint) -> ids.VmId | None:
        """Returns the owner of a target, or None when no owner is known."""
        ranking = self.owner_rankings.get(endpoint.domain)
        if ranking is None:
            return None
        ranked = ranking.find_owners(endpoint.number)
        return ranked[0] if ranked else None

    def find_owners(self, endpoint: documents.Endpoint) -> tuple[ids.VmId, ...]:
        """Returns a target's owner and the balancer that would succeed it."""
        ranking = self.owner_rankings.get(endpoint.domain)
        return () if ranking is None else ranking.find_owners(endpoint.number)

    def find_replica(self, endpoint: documents.Endpoint) -> ids.VmId | None:
        """Returns the best-ranked other balancer for a target's replica.

        A joining balancer qualifies as soon as it has begun to pull the
        records, so that its records are complete when it becomes the owner.
        """
        joining = self._rank_others(self.replica_rankings, endpoint)
        ready = (m for m in joining if self._can_replicate(m, endpoint))
        return next(ready, self.find_active_replica(endpoint))

    def find_active_replica(
        self, endpoint: documents.Endpoint
    ) -> ids.VmId | None:
        """Returns the balancer that becomes the owner when this one fails."""
        return next(
            iter(self._rank_others(self.owner_rankings, endpoint)), None
        )

    def _rank_others(
        self,
        rankings: dict[ids.DomainId, ownership.OwnerRanking],
        endpoint: documents.Endpoint,
    ) -> list[ids.VmId]:
        ranking = rankings.get(endpoint.domain)
        if ranking is None:
            return []
        ranked = ranking.find_owners(endpoint.number)
        return [member for member in ranked if member != self.local_id]

    def _can_replicate(
        self, member_id: ids.VmId, endpoint: documents.Endpoint
    ) -> bool:
        member = self.members.get(member_id)
        if member.role is memberships.MemberState.ACTIVE:
            return True
        target = self.targets.get(endpoint.number)
        return target is not None and target.is_pulled_by(
            owners.OwnerIdentity(
                member=member_id, incarnation=member.incarnation
            )
        )

    def is_owner(self, endpoint: documents.Endpoint) -> bool:
        """Returns whether this balancer owns a target."""
        return self.find_owner(endpoint) == self.local_id

    def find_identity(
        self, endpoint: documents.Endpoint
    ) -> owners.OwnerIdentity | None:
        """Returns the identity of a target's owner, or None without one."""
        member_id = self.find_owner(endpoint)
        if member_id is None:
            return None
        member = self.members.get(member_id)
        return owners.OwnerIdentity(
            member=member_id, incarnation=member.incarnation
        )

    def find_peer_owners(
        self, routes: directories.ServiceRoutes, base: documents.Endpoint
    ) -> dict[ids.EndpointNumber, owners.OwnerIdentity]:
        """Returns the known owners of a service's other endpoints."""
        identities = (
            (endpoint.number, self.find_identity(endpoint))
            for endpoint in routes.service.endpoints
            if endpoint.number != base.number
            and not self.is_domain_out(endpoint)
        )
        return {
            number: identity
            for number, identity in identities
            if identity is not None
        }

    def compute_limit_share(self, domain: ids.DomainId) -> float:
        """Returns the fraction of a target's limits that its owner may use.

        The fraction is 1 when more than half of the listed balancers are
        visible, 0.5 for exactly half of them and 0 otherwise. The fractions
        of all sides of a network partition therefore never exceed 1 in total.
        """
        listed = self.members.count_listed(domain)
        visible = self.members.count_visible(domain)
        if 2 * visible > listed:
            return 1.0
        return 0.5 if 2 * visible == listed else 0.0

    def update_rankings(self, now: float) -> None:
        """Updates the owner and replica rankings from the members in view."""
        senders = frozenset(
            _compute_fingerprint(member)
            for member in self.members.live_members()
        )
        if senders != self.live_fingerprints:
            self.live_fingerprints = senders
            self.view_changed_at_s = now
        known = frozenset(self.directory.endpoints_by_number)
        for rankings in (self.owner_rankings, self.replica_rankings):
            for ranking in rankings.values():
                ranking.retain_endpoints(known)
        domains = {
            e.domain for _, e in self.directory.endpoints_by_number.values()
        }
        for domain in domains:
            _get_ranking(self.owner_rankings, domain).update_candidates(
                self.members.owner_candidates(domain)
            )
            _get_ranking(self.replica_rankings, domain).update_candidates(
                self.members.replica_candidates(domain)
            )


@functools.lru_cache(maxsize=const.FINGERPRINT_CACHE_SIZE)
def _hash_incarnation(member_id: ids.VmId, incarnation: ids.Incarnation) -> int:
    return xxhash.xxh32_intdigest(f"{member_id}/{incarnation}".encode())


def _compute_fingerprint(member: memberships.Member) -> int:
    return _hash_incarnation(member.id, member.incarnation)


def _get_ranking(
    rankings: dict[ids.DomainId, ownership.OwnerRanking],
    domain: ids.DomainId,
) -> ownership.OwnerRanking:
    if domain not in rankings:
        rankings[domain] = ownership.OwnerRanking(depth=const.OWNERS_PER_TARGET)
    return rankings[domain]
