"""Roles of a balancer for targets, and the transfer of their flow records."""

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
    """A request for flow records from the owner of an endpoint.

    Attributes:
      number: The endpoint whose flows are requested.
      base: The base target whose flows are requested, for its overrides. None
        requests all flows of the endpoint, for a replica.
      identity: The owner to ask.
      generation: The generation of the table that maps flows to base targets.
    """

    number: ids.EndpointNumber
    base: ids.EndpointNumber | None
    identity: owners.OwnerIdentity
    generation: ids.Generation


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FlowBatch:
    """One batch of the flows that a pull returns, in ascending key order.

    Attributes:
      keys: The flow keys.
      kinds: The port kind of each flow.
      cursor: The key after which the next batch starts, or None at the end.
    """

    keys: tuple[ids.FlowKey, ...]
    kinds: tuple[documents.PortKind, ...]
    cursor: int | None


class TargetSet:
    """Assigns roles for targets and transfers the records that they need."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        admission_factory: contexts.AdmissionFactory,
    ) -> None:
        self._context = context
        self._create_admission = admission_factory

    def update_roles(self, now: float) -> None:
        """Updates the roles after a change of the members or the document."""
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
        target.retain_pulls(frozenset(peers), routes.table.generation)

    def list_pulls(self) -> list[Pull]:
        """Returns the pulls that this balancer still has to complete."""
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
        """Returns one batch of flows for another balancer's pull.

        Returns:
          A batch, or None when this balancer cannot answer: it does not own
          the endpoint, its table has another generation, or the pull is for
          a replica and its own records are not complete yet.
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
            target.add_pulling_member(reader)
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
        """Returns the id and current incarnation of this balancer."""
        local = self._context.members.local
        return owners.OwnerIdentity(
            member=local.id, incarnation=local.incarnation
        )

    def accept_flows(self, pull: Pull, batch: FlowBatch, now: float) -> None:
        """Stores the flows of one batch; completes the pull with the last."""
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
        elif self._is_current_table(pull.base, pull.generation):
            target.mark_pulled(pull.number, pull.identity, pull.generation)

    def _is_current_table(
        self, number: ids.EndpointNumber, generation: ids.Generation
    ) -> bool:
        """Returns whether the table of an endpoint's service is unchanged."""
        routes, _ = self._context.directory.endpoints_by_number[number]
        return routes.table.generation == generation

    def list_direct_targets(
        self, now: float
    ) -> list[tuple[ids.EndpointNumber, ids.Generation]]:
        """Returns the owned targets for which mode `DIRECT` is allowed.

        Such a target has complete records, no missing pulls and, for
        `DIRECT_MODE_DELAY_S`, no overrides.
        """
        context = self._context
        if context.members.local.state is not memberships.MemberState.ACTIVE:
            return []
        direct_targets = []
        for number, target in context.targets.items():
            # Without complete records, the owner cannot identify and drop the
            # RST that a target sends when a receiver with an outdated mode
            # sends it a packet of another target's flow.
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
        """Marks the targets of failure domains that are back in as cold."""
        for number, target in self._context.targets.items():
            _, endpoint = self._context.directory.endpoints_by_number[number]
            if endpoint.domain in domains:
                target.admission.mark_cold(now)

    def tick(self, now: float) -> list[ids.FlowKey]:
        """Expires records of all targets; returns the keys of dropped ones."""
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
