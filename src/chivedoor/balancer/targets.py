"""The targets that a balancer owns or replicates, and their transfers."""

import dataclasses

from chivedoor import ids
from chivedoor.balancer import const
from chivedoor.balancer import context as contexts
from chivedoor.configuration import document as documents
from chivedoor.flows import owner as owners
from chivedoor.membership import members as memberships
from chivedoor.routing import directory as directories


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Pull:
    """Flow records that this balancer needs from another one.

    Attributes:
      number: The endpoint whose flows are wanted.
      base: The base target whose overrides are wanted, or None for all
        flows of the endpoint, as a replica wants them.
      identity: The owner to ask.
      generation: The generation in which base targets are computed.
    """

    number: ids.EndpointNumber
    base: ids.EndpointNumber | None
    identity: owners.OwnerIdentity
    generation: ids.Generation


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FlowBatch:
    """A part of the flows that a pull asks for, lowest keys first."""

    keys: tuple[ids.FlowKey, ...]
    kinds: tuple[documents.PortKind, ...]
    cursor: int | None


class TargetSet:
    """Roles for targets, and the records to pull before taking them."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        admission_factory: contexts.AdmissionFactory,
    ) -> None:
        self._context = context
        self._create_admission = admission_factory

    def update_roles(self, now: float) -> None:
        """Starts and ends roles after a change of members or document."""
        context = self._context
        assigned = {
            number: (routes, endpoint)
            for number, (routes, endpoint) in (
                context.directory.endpoints_by_number.items()
            )
            if self._has_role(endpoint)
        }
        for number in tuple(context.targets):
            if number not in assigned:
                del context.targets[number]
        for number, (routes, endpoint) in assigned.items():
            self._update_role(number, routes, endpoint, now)

    def _has_role(self, endpoint: documents.Endpoint) -> bool:
        context = self._context
        if endpoint.domain != context.members.local.domain:
            return False
        ranked = context.owner_rankings[endpoint.domain].find_owners(
            endpoint.number
        )
        replicas = context.replica_rankings[endpoint.domain].find_owners(
            endpoint.number
        )
        return context.local_id in (*ranked, *replicas)

    def _update_role(
        self,
        number: ids.EndpointNumber,
        routes: directories.ServiceRoutes,
        endpoint: documents.Endpoint,
        now: float,
    ) -> None:
        context = self._context
        target = context.targets.get(number)
        if target is None:
            policy = routes.service.policy
            target = owners.TargetState(
                endpoint=endpoint,
                policy=policy,
                admission=self._create_admission(
                    endpoint=endpoint, policy=policy, now=now
                ),
                now=now,
            )
            context.targets[number] = target
        target.update_policy(routes.service.policy)
        target.admission.set_draining(
            endpoint.state is documents.EndpointState.DRAINING
        )
        if not context.is_owner(endpoint):
            target.become_replica()
            return
        target.become_owner(now)
        peers = context.find_peer_owners(routes, endpoint)
        target.retain_pulls(frozenset(peers))

    def list_pulls(self) -> list[Pull]:
        """Returns the records that this balancer still needs."""
        return [
            pull
            for number in self._context.targets
            for pull in self._list_target_pulls(number)
        ]

    def _list_target_pulls(self, number: ids.EndpointNumber) -> list[Pull]:
        context = self._context
        routes, endpoint = context.directory.endpoints_by_number[number]
        target = context.targets[number]
        generation = routes.table.generation
        if target.role is owners.Role.REPLICA:
            identity = context.find_identity(endpoint)
            if target.has_records or identity is None:
                return []
            return [
                Pull(
                    number=number,
                    base=None,
                    identity=identity,
                    generation=generation,
                )
            ]
        peers = context.find_peer_owners(routes, endpoint)
        return [
            Pull(
                number=other,
                base=number,
                identity=peers[other],
                generation=generation,
            )
            for other in target.find_missing_pulls(peers, generation)
        ]

    def read_flows(
        self,
        *,
        number: ids.EndpointNumber,
        base: ids.EndpointNumber | None,
        generation: ids.Generation,
        after: int,
        reader: owners.OwnerIdentity,
    ) -> FlowBatch | None:
        """Returns flows for another balancer's pull.

        Returns:
          A batch, or None when this balancer cannot answer: it does not own
          the endpoint, has another generation, or is asked for a replica
          before it has the records itself.
        """
        context = self._context
        found = context.directory.endpoints_by_number.get(number)
        target = context.targets.get(number)
        if found is None or target is None:
            return None
        routes, endpoint = found
        if not context.is_owner(endpoint):
            return None
        if base is None and not target.has_records:
            return None
        if base is None:
            target.add_follower(reader)
        if base is not None and routes.table.generation != generation:
            return None
        keys = (
            key
            for key in tuple(target.flows)
            if base is None or _has_base(routes, key, base)
        )
        chosen = target.list_flows(
            keys=keys, after=after, limit=const.PULL_BATCH_SIZE
        )
        is_last = len(chosen) < const.PULL_BATCH_SIZE
        return FlowBatch(
            keys=tuple(chosen),
            kinds=tuple(target.flows.get_kind(key) for key in chosen),
            cursor=None if is_last else chosen[-1],
        )

    def get_local_identity(self) -> owners.OwnerIdentity:
        """Returns this balancer's present life."""
        local = self._context.members.local
        return owners.OwnerIdentity(
            member=local.id, incarnation=local.incarnation
        )

    def accept_flows(self, pull: Pull, batch: FlowBatch, now: float) -> None:
        """Takes one batch of a pull's flows."""
        number = pull.number if pull.base is None else pull.base
        target = self._context.targets.get(number)
        if target is None:
            return
        for key, kind in zip(batch.keys, batch.kinds, strict=True):
            if pull.base is None:
                target.restore(key, kind, now)
            elif target.role is owners.Role.OWNER:
                target.set_override(key, pull.number, now)
        if batch.cursor is not None:
            return
        if pull.base is None:
            target.has_records = True
        else:
            target.mark_pulled(pull.number, pull.identity, pull.generation)

    def list_direct_targets(
        self, now: float
    ) -> list[tuple[ids.EndpointNumber, ids.Generation]]:
        """Returns owned targets without overrides and missing pulls."""
        context = self._context
        if context.members.local.state is not memberships.MemberState.ACTIVE:
            return []
        direct_targets = []
        for number, target in context.targets.items():
            # Without records, the owner cannot drop the RST of a target that
            # a packet in an outdated mode reached.
            if target.role is not owners.Role.OWNER or not target.has_records:
                continue
            routes, endpoint = context.directory.endpoints_by_number[number]
            generation = routes.table.generation
            peers = context.find_peer_owners(routes, endpoint)
            if target.find_missing_pulls(peers, generation):
                continue
            if target.is_override_free(now, const.DIRECT_MODE_DELAY_S):
                direct_targets.append((number, generation))
        return direct_targets

    def restart_ramps(
        self, domains: frozenset[ids.DomainId], now: float
    ) -> None:
        """Treats the targets of failure domains that returned as cold."""
        for number, target in self._context.targets.items():
            _, endpoint = self._context.directory.endpoints_by_number[number]
            if endpoint.domain in domains:
                target.admission.mark_cold(now)

    def tick(self, now: float) -> list[ids.FlowKey]:
        """Expires records of all targets; returns the dropped keys."""
        return [
            key
            for target in self._context.targets.values()
            for key in target.tick(
                now, view_changed_at_s=self._context.view_changed_at_s
            )
        ]


def _has_base(
    routes: directories.ServiceRoutes,
    key: ids.FlowKey,
    base: ids.EndpointNumber,
) -> bool:
    found = routes.table.find_base(key)
    return found is not None and found.number == base
