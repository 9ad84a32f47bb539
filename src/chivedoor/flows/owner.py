"""State of one target at its owner or replica: records, overrides, limits."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import heapq
from typing import Any

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.configuration import document as documents
from chivedoor.flows import const
from chivedoor.flows import records


class Role(enum.Enum):
    """Role of a balancer for a target."""

    OWNER = "owner"
    REPLICA = "replica"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class OwnerIdentity:
    """Identity of an owner: its VM and the incarnation of its balancer."""

    member: ids.VmId
    incarnation: ids.Incarnation


@dataclasses.dataclass(slots=True, kw_only=True)
class Override:
    """A flow of this base target that was placed on another endpoint.

    Attributes:
      number: The endpoint that has the flow.
      expires_at_s: When the override is dropped.
    """

    number: ids.EndpointNumber
    expires_at_s: float


class TargetState:
    """State of one target: its flow records, limits and overrides.

    The owner and the replica of a target each keep one. Both record every
    admitted flow, so that the replica can take over with exact counts.

    Attributes:
      number: The target's endpoint number.
      admission: The admission control of the target.
      role: The role of this balancer for the target.
      has_records: Whether the records of the target are complete.
      flows: The records of flows on the target.
      overrides: Flows of this base target that are on other endpoints.
      pending: Flows that the owners of other endpoints are placing, with the
        times at which this state expires.
      decisions: Number of admission decisions by kind.
    """

    def __init__(
        self,
        *,
        endpoint: documents.Endpoint,
        policy: documents.Policy,
        admission: admissions.TargetAdmission,
        now: float,
    ) -> None:
        self.number = endpoint.number
        self.admission = admission
        self.role = Role.REPLICA
        self.has_records = False
        self.flows = records.FlowTable(
            now=now, opening_timeout_s=const.OPENING_TIMEOUT_S
        )
        self.overrides: dict[ids.FlowKey, Override] = {}
        self.pending: dict[ids.FlowKey, float] = {}
        self._pulling_members: set[OwnerIdentity] = set()
        self.decisions: collections.Counter[admissions.Decision] = (
            collections.Counter()
        )
        self._policy = policy
        self._pulled: dict[
            ids.EndpointNumber, tuple[OwnerIdentity, ids.Generation]
        ] = {}
        self._recovery_end_s: float | None = None
        self._idle_since_s: float | None = None
        self._override_free_since_s = now
        # When the flows were admitted that wait for the target's first answer.
        self._opened_at_s: dict[ids.FlowKey, float] = {}

    def become_owner(self, now: float) -> None:
        """Starts to admit flows as the owner.

        Without complete records, slots stay closed during a recovery, because
        requests of the former owner may still run.
        """
        if self.role is Role.OWNER:
            return
        self.role = Role.OWNER
        self._pulled.clear()
        if not self.has_records:
            self._recovery_end_s = now + self._policy.request_deadline_s
            self._idle_since_s = None
            self.admission.begin_recovery(now)

    def become_replica(self) -> None:
        """Stops admitting flows; keeps the overrides for a later takeover."""
        self.role = Role.REPLICA
        self._recovery_end_s = None
        self.pending.clear()
        self._pulled.clear()

    def update_policy(self, policy: documents.Policy) -> None:
        """Applies the policy of a new document."""
        if policy != self._policy:
            self._policy = policy
            self.admission.set_policy(policy)

    def report_load(self, slots_in_use: int, now: float) -> None:
        """Ends a recovery early when the target has been idle long enough.

        Args:
          slots_in_use: The slots in use that the target's health endpoint
            reports.
          now: Monotonic seconds.
        """
        if self._recovery_end_s is None:
            return
        if slots_in_use or self.admission.slots:
            self._idle_since_s = None
        elif self._idle_since_s is None:
            self._idle_since_s = now
        elif now - self._idle_since_s >= const.RECOVERY_IDLE_S:
            self.admission.end_recovery(now)
            self._recovery_end_s = now

    # Flows on this target.

    def admit(
        self,
        key: ids.FlowKey,
        kind: documents.PortKind,
        share: float,
        now: float,
    ) -> admissions.Decision:
        """Decides on a new flow and records it when it is admitted.

        Args:
          key: The flow key.
          kind: The kind of the flow's port.
          share: Fraction of the limits, 0 to 1, that this owner may use.
          now: Monotonic seconds.
        """
        decision = self.admission.decide(kind=kind, share=share, now=now)
        self.decisions[decision] += 1
        if decision is admissions.Decision.ADMIT:
            self.admission.admit(kind, now)
            self.flows.open(key, kind, now)
            self._opened_at_s[key] = now
        return decision

    def may_retransmit(
        self, key: ids.FlowKey, share: float, now: float
    ) -> bool:
        """Returns whether a retransmitted first packet may be forwarded.

        Args:
          key: The key of a flow that has a record.
          share: Fraction of the limits, 0 to 1, that this owner may use.
          now: Monotonic seconds.
        """
        if self.flows.get_state(key) is not records.FlowState.OPENING:
            return True
        # The time of a record is not renewed before the target has answered.
        return self.admission.allow_retransmission(
            self.flows.get_seen_at(key), share, now
        )

    def replicate(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records a flow that the owner admitted."""
        if self.flows.get_state(key) in (None, records.FlowState.CLOSED):
            self.admission.add_existing_flow(kind)
            self.flows.open(key, kind, now)

    def restore(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records an open flow that another balancer reported."""
        if key not in self.flows:
            self.admission.add_existing_flow(kind)
            self.flows.restore(key, kind, now)

    def adopt(
        self, key: ids.FlowKey, kind: documents.PortKind, now: float
    ) -> None:
        """Records a flow that is assumed to be open on this target."""
        self.admission.add_existing_flow(kind)
        self.flows.adopt(key, kind, now)

    def close_caller(self, key: ids.FlowKey, now: float) -> None:
        """Records the caller's FIN."""
        if self.flows.close_caller(key, now):
            self.admission.release(self.flows.get_kind(key), now)

    def close_target(self, key: ids.FlowKey, now: float) -> None:
        """Records the target's FIN."""
        if self.flows.close_target(key, now):
            self.admission.release(self.flows.get_kind(key), now)

    def close(self, key: ids.FlowKey, now: float) -> None:
        """Closes a flow in both directions."""
        if self.flows.close(key, now):
            self.admission.release(self.flows.get_kind(key), now)

    def remove(self, key: ids.FlowKey, now: float) -> None:
        """Removes the record of a flow that is not on this target."""
        kind = self.flows.get_kind(key)
        if self.flows.remove(key):
            self.admission.release(kind, now)

    # Flows of this base target on other endpoints.

    def set_override(
        self, key: ids.FlowKey, number: ids.EndpointNumber, now: float
    ) -> None:
        """Records that a flow is on another endpoint.

        Has no effect on a flow that was admitted on this target.
        """
        self.pending.pop(key, None)
        if key in self.flows:
            if not self.flows.is_adopted(key):
                return
            self.remove(key, now)
        self.overrides[key] = Override(
            number=number, expires_at_s=now + self._policy.idle_timeout_s
        )
        self._override_free_since_s = now

    def touch_override(self, key: ids.FlowKey, now: float) -> None:
        """Extends an override because a packet of its flow arrived."""
        override = self.overrides[key]
        override.expires_at_s = max(
            override.expires_at_s, now + const.CLOSED_LINGER_S
        )

    def end_override(self, key: ids.FlowKey, now: float) -> None:
        """Keeps the override of a closed flow only for late packets."""
        override = self.overrides.get(key)
        if override is not None:
            override.expires_at_s = now + const.CLOSED_LINGER_S

    def set_pending(self, key: ids.FlowKey, now: float) -> None:
        """Records that the owners of other endpoints are placing a flow."""
        self.pending[key] = now + const.PENDING_TIMEOUT_S
        self._override_free_since_s = now

    def is_placement_running(self, key: ids.FlowKey, now: float) -> bool:
        """Returns whether a pending flow may still be placed elsewhere."""
        started_s = self.pending[key] - const.PENDING_TIMEOUT_S
        return now - started_s < const.PLACEMENT_WINDOW_S

    def mark_pulled(
        self,
        number: ids.EndpointNumber,
        identity: OwnerIdentity,
        generation: ids.Generation,
    ) -> None:
        """Records that the overrides on another endpoint are all known."""
        self._pulled[number] = (identity, generation)

    def find_missing_pulls(
        self,
        peers: Mapping[ids.EndpointNumber, OwnerIdentity],
        generation: ids.Generation,
    ) -> list[ids.EndpointNumber]:
        """Returns the endpoints whose owners have not reported overrides.

        Args:
          peers: The known owner of each other endpoint of the service.
          generation: The generation of the service's routing table.
        """
        return [
            number
            for number, identity in peers.items()
            if self._pulled.get(number) != (identity, generation)
        ]

    def retain_pulls(
        self,
        known: frozenset[ids.EndpointNumber],
        generation: ids.Generation,
    ) -> None:
        """Forgets the pulls that are not from the given endpoints and table.

        Endpoints without a known owner must be pulled from again: their owner
        may have admitted flows of this base target on its side of a network
        partition. Pulls for another table are forgotten because a generation
        recurs, for example when a failure domain returns, and flows that were
        placed in between would be missing.

        Args:
          known: The endpoints with a known owner.
          generation: The generation of the service's routing table.
        """
        self._pulled = {
            number: pull
            for number, pull in self._pulled.items()
            if number in known and pull[1] == generation
        }

    def is_override_free(self, now: float, duration_s: float) -> bool:
        """Returns whether there are no overrides and no recent ones.

        Args:
          now: Monotonic seconds.
          duration_s: Required time since the last override or pending flow
            was set.
        """
        return (
            not self.overrides
            and not self.pending
            and now - self._override_free_since_s >= duration_s
        )

    def record_handshake(
        self, key: ids.FlowKey, now: float, *, is_timed: bool
    ) -> None:
        """Reports the target's first answer in a flow to the admission.

        Args:
          key: The flow key.
          now: Monotonic seconds.
          is_timed: Whether the response time is a measure of the target's
            load. For a datagram, it includes the processing of the request.
        """
        opened_at_s = self._opened_at_s.pop(key, None)
        if opened_at_s is not None:
            duration_s = now - opened_at_s if is_timed else None
            self.admission.record_handshake(duration_s, now)

    # Transfers to other balancers.

    def add_pulling_member(self, identity: OwnerIdentity) -> None:
        """Records that a balancer pulls this target's records."""
        self._pulling_members.add(identity)

    def is_pulled_by(self, identity: OwnerIdentity) -> bool:
        """Returns whether a balancer has started to pull the records.

        A joining balancer that has not started may lack the document and
        would then drop the first packets of flows.
        """
        return identity in self._pulling_members

    def list_flows(
        self,
        *,
        keys: Iterable[ids.FlowKey],
        after: int,
        limit: int,
    ) -> list[ids.FlowKey]:
        """Returns up to `limit` flows that are not closed, in key order.

        Args:
          keys: The keys to select from.
          after: Only keys above this one are returned.
          limit: The maximum number of keys.
        """
        return heapq.nsmallest(
            limit,
            (
                key
                for key in keys
                if key > after
                and self.flows.get_state(key) is not records.FlowState.CLOSED
            ),
        )

    # Expiry.

    def tick(
        self, now: float, *, view_changed_at_s: float
    ) -> list[ids.FlowKey]:
        """Expires records; returns the keys of dropped ones.

        Args:
          now: Monotonic seconds.
          view_changed_at_s: When the set of live members last changed.
        """
        if self._recovery_end_s is not None and now >= self._recovery_end_s:
            self._recovery_end_s = None
            self.has_records = True
        closed, dropped = self.flows.expire(
            now=now,
            idle_timeout_s=self._policy.idle_timeout_s,
            slot_timeout_s=self._policy.request_deadline_s,
        )
        for kind in closed:
            self.admission.release(kind, now)
        for key in _list_expired(self.pending.items(), now):
            del self.pending[key]
        stale = _list_expired(
            ((k, o.expires_at_s) for k, o in self.overrides.items()), now
        )
        for key in stale:
            del self.overrides[key]
        self._record_timeouts(now, view_changed_at_s)
        return dropped

    def _record_timeouts(self, now: float, view_changed_at_s: float) -> None:
        timed_out = _list_expired(
            (
                (key, opened_at_s + const.HANDSHAKE_TIMEOUT_S)
                for key, opened_at_s in self._opened_at_s.items()
            ),
            now,
        )
        for key in timed_out:
            opened_at_s = self._opened_at_s.pop(key)
            # First packets are lost at a failed replica until its failure is
            # detected. Such a timeout is no evidence against the target.
            if opened_at_s <= view_changed_at_s:
                continue
            if self.flows.get_state(key) is records.FlowState.OPENING:
                self.admission.record_timeout(now)

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the operators' dump."""
        return {
            "endpoint": self.number,
            "role": self.role.value,
            "has_records": self.has_records,
            "flows": len(self.flows),
            "overrides": len(self.overrides),
            "pending": len(self.pending),
            "pulled": sorted(self._pulled),
            "verdicts": {
                decision.value: count
                for decision, count in self.decisions.items()
            },
            "admission": self.admission.dump_state(),
        }


def _list_expired(
    deadlines: Iterable[tuple[ids.FlowKey, float]], now: float
) -> list[ids.FlowKey]:
    return [key for key, deadline in deadlines if now >= deadline]
