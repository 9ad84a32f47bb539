"""Share of new flows that leave a failure domain.

The load pattern that this answers is demand that exceeds the capacity of one
failure domain while others have spare capacity: callers that move to one
domain, endpoints that are slow or gone in it, or a domain that is taken out.

One balancer of each domain, the first live reader candidate, decides for all
others of its domain. The demand of a domain is counted where it originates, so
that it does not depend on the shares; most of the target follows from it
without feedback. Only the part that clears a queue is fed back, with a time
constant that is long compared to the age of the reports.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from chivedoor import ids
from chivedoor.steering import const


class Reason(enum.Enum):
    """Why flows leave the local domain, or stay there."""

    LOCAL_HAS_CAPACITY = "local-has-capacity"
    # Without a goal on the route, no wait is too long.
    NO_GOAL = "no-goal"
    NO_REPORT = "no-report"
    NO_SPARE_CAPACITY = "no-spare-capacity"
    GAIN_TOO_SMALL = "gain-too-small"
    SPILLING = "spilling"
    NO_LOCAL_ENDPOINT = "no-local-endpoint"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class DomainLoad:
    """Load of a service in one domain.

    Attributes:
        demand_per_s: New flows per second of the callers of the domain, before
            they are distributed to domains, admitted or not.
        capacity_per_s: Requests per second that the warm, usable endpoints of
            the domain can answer in time; 0 without such endpoints.
        in_flight: Requests in flight at these endpoints.
        slots: Requests that these endpoints execute at the same time.
    """

    demand_per_s: float
    capacity_per_s: float
    in_flight: float
    slots: int

    def compute_queue_wait_s(self, service_s: float) -> float:
        """Returns the expected time in the present queue, in seconds.

        Args:
            service_s: Time that a slot takes for a request, in seconds.
        """
        if not self.slots:
            return 0.0
        return max(0.0, self.in_flight / self.slots - 1.0) * service_s


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RemoteDecision:
    """Decision on one other domain.

    Attributes:
        reason: Why flows are sent there or not. LOCAL_HAS_CAPACITY and NO_GOAL
            apply to all domains with a report.
        share: Share of new flows that are sent there, 0 to 1.
        gain_s: Expected wait in the local domain less the wait there and the
            additional delay, in seconds; None without a report or without a
            local endpoint.
    """

    reason: Reason
    share: float
    gain_s: float | None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Decision:
    """Last decision on a service, for log lines and explanations.

    Attributes:
        reason: The reason for the service as a whole.
        wait_s: Expected wait of a flow that stays in the local domain, in
            seconds; None without a local endpoint.
        gain_s: Expected gain of a flow that leaves, in seconds: the mean over
            these flows, or the largest over all domains if none leaves. None if
            no gain is known.
        remote: Decisions by domain.
        decided_at: Time of the decision, in seconds.
    """

    reason: Reason
    wait_s: float | None
    gain_s: float | None
    remote: Mapping[ids.DomainId, RemoteDecision]
    decided_at: float

    def get_shares(self) -> dict[ids.DomainId, float]:
        """Returns the domains to which flows are sent, with their shares."""
        return {
            domain: remote.share
            for domain, remote in self.remote.items()
            if remote.share > 0.0
        }


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Inputs:
    """Arguments of a decision.

    Attributes:
        domain: The local domain.
        loads: Loads by domain, the local one included.
        known: All domains that may use capacity, reported or not.
        handshakes_s: Durations of handshakes by domain, in seconds.
        service_s: Time that a slot takes for a request, in seconds.
        goal_s: Time within which a request is to be answered, in seconds.
        bytes_per_flow: Bytes that a flow transfers.
    """

    domain: ids.DomainId
    loads: Mapping[ids.DomainId, DomainLoad]
    known: frozenset[ids.DomainId]
    handshakes_s: Mapping[ids.DomainId, float]
    service_s: float
    goal_s: float
    bytes_per_flow: float

    @property
    def local(self) -> DomainLoad:
        """Load of the local domain."""
        return self.loads[self.domain]

    def list_remote_capacities(self) -> dict[ids.DomainId, float]:
        """Returns the capacities of the other domains that have any."""
        return {
            domain: load.capacity_per_s
            for domain, load in self.loads.items()
            if domain != self.domain and load.capacity_per_s > 0.0
        }

    def compute_excess_per_s(self, domain: ids.DomainId) -> float:
        """Returns the flows per second that a domain should not take.

        These are the flows above its capacity, and those that have to go
        elsewhere so that its queue becomes short within `SPILLOVER_DRAIN_S`. A
        negative value is unused capacity.
        """
        load = self.loads[domain]
        long_wait_s = max(
            0.0,
            load.compute_queue_wait_s(self.service_s)
            - const.SPILLOVER_SHORT_WAIT_GOALS * self.goal_s,
        )
        drained_per_s = (
            load.capacity_per_s * long_wait_s / const.SPILLOVER_DRAIN_S
        )
        return (
            self._compute_demand_per_s(domain)
            - load.capacity_per_s
            + drained_per_s
        )

    def compute_part_per_s(self, domain: ids.DomainId) -> float:
        """Returns the flows per second that this domain may send to another.

        The spare capacity after the reserve is divided equally. Domains that
        report no capacity are not counted: all their flows are already part of
        the demand of the others.
        """
        reserve_per_s = (
            const.SPILLOVER_RESERVE * self.loads[domain].capacity_per_s
        )
        users = sum(
            user not in self.loads or self.loads[user].capacity_per_s > 0.0
            for user in self.known - {domain}
        )
        spare_per_s = -self.compute_excess_per_s(domain) - reserve_per_s
        return max(0.0, spare_per_s) / max(1, users)

    def compute_wait_s(self) -> float:
        """Returns the expected wait if all flows stay local, in seconds."""
        local = self.local
        load = self._compute_demand_per_s(self.domain) / local.capacity_per_s
        growth_s = max(0.0, load - 1.0) * const.SPILLOVER_HORIZON_S
        return local.compute_queue_wait_s(self.service_s) + growth_s

    def compute_cost_s(self, domain: ids.DomainId) -> float:
        """Returns the additional delay of a flow in another domain, in seconds.

        The handshake and the request each take one round trip more.
        """
        remote_s = self.handshakes_s.get(
            domain, const.SPILLOVER_DEFAULT_HANDSHAKE_S
        )
        local_s = self.handshakes_s.get(self.domain, 0.0)
        return (
            2.0 * max(0.0, remote_s - local_s)
            + self.bytes_per_flow / const.SPILLOVER_BYTES_PER_S
        )

    def _compute_demand_per_s(self, domain: ids.DomainId) -> float:
        """Returns the demand of a domain and of those without an endpoint.

        All flows of a domain without an endpoint go to the others in proportion
        to their capacity.
        """
        total_per_s = sum(load.capacity_per_s for load in self.loads.values())
        forwarded_per_s = sum(
            load.demand_per_s
            for load in self.loads.values()
            if load.capacity_per_s <= 0.0
        )
        load = self.loads[domain]
        if load.capacity_per_s <= 0.0:
            return load.demand_per_s
        return (
            load.demand_per_s
            + forwarded_per_s * load.capacity_per_s / total_per_s
        )


class Spillover:
    """Decides which share of the new flows of a service leaves the domain."""

    def __init__(self, *, domain: ids.DomainId) -> None:
        """Creates the decisions of a balancer in `domain`."""
        self._domain = domain
        self._decisions: dict[ids.ServiceId, Decision] = {}
        self._reported_at: dict[ids.DomainId, float] = {}

    def decide(
        self,
        *,
        service: ids.ServiceId,
        local: DomainLoad,
        remote: Mapping[ids.DomainId, DomainLoad],
        handshakes_s: Mapping[ids.DomainId, float],
        service_s: float,
        goal_s: float,
        bytes_per_flow: float,
        now: float,
    ) -> dict[ids.DomainId, float]:
        """Decides on a service; called every 0.5 s.

        Args:
            service: The service.
            local: Its load in the local domain.
            remote: Its load in the other domains with a valid report. A domain
                that is out is passed with a capacity of 0, so that its demand
                counts; a suspect one is left out.
            handshakes_s: Mean duration of handshakes by domain, the local one
                included, in seconds; absent if not measured.
            service_s: Time that a slot takes for a request, in seconds.
            goal_s: Time within which a request is to be answered, in seconds; 0
                if the route has no goal.
            bytes_per_flow: Mean number of bytes that a flow transfers.
            now: The current time, in seconds.

        Returns:
            The share of new flows, above 0 and up to 1, for each other domain
            that gets flows. The rest stays local.
        """
        self._record_domains(remote, now)
        inputs = _Inputs(
            domain=self._domain,
            loads={**remote, self._domain: local},
            known=frozenset((self._domain, *handshakes_s, *self._reported_at)),
            handshakes_s=handshakes_s,
            service_s=service_s,
            goal_s=goal_s,
            bytes_per_flow=bytes_per_flow,
        )
        if local.capacity_per_s <= 0.0:
            decision = _distribute_all(inputs, now)
        else:
            last_shares = self._get_last_shares(service, now)
            decision = _distribute_excess(inputs, last_shares, now)
        self._decisions[service] = decision
        return decision.get_shares()

    def explain(self, service: ids.ServiceId) -> Decision | None:
        """Returns the last decision on a service, None if there is none."""
        return self._decisions.get(service)

    def take_over(
        self,
        service: ids.ServiceId,
        shares: Mapping[ids.DomainId, float],
        now: float,
    ) -> None:
        """Continues from the shares that the former candidate reported.

        Recent decisions of this balancer are kept. Without this, the shares
        would start from 0 when a candidate fails.

        Args:
            service: The service.
            shares: The reported shares by domain, 0 to 1.
            now: The current time, in seconds.
        """
        if self._get_last_shares(service, now):
            return
        self._decisions[service] = Decision(
            reason=Reason.SPILLING,
            wait_s=None,
            gain_s=None,
            remote={
                domain: RemoteDecision(
                    reason=Reason.SPILLING, share=share, gain_s=None
                )
                for domain, share in shares.items()
            },
            decided_at=now,
        )

    def retain(self, services: Iterable[ids.ServiceId]) -> None:
        """Forgets the decisions on all other services."""
        kept = frozenset(services)
        self._decisions = {
            service: decision
            for service, decision in self._decisions.items()
            if service in kept
        }

    def _record_domains(
        self, remote: Mapping[ids.DomainId, DomainLoad], now: float
    ) -> None:
        self._reported_at |= dict.fromkeys(remote, now)
        oldest = now - const.SPILLOVER_DOMAIN_RETENTION_S
        self._reported_at = {
            domain: at
            for domain, at in self._reported_at.items()
            if at >= oldest
        }

    def _get_last_shares(
        self, service: ids.ServiceId, now: float
    ) -> dict[ids.DomainId, float]:
        last = self._decisions.get(service)
        if (
            last is None
            or now - last.decided_at > const.SPILLOVER_STATE_LIFETIME_S
        ):
            return {}
        return last.get_shares()


def _distribute_all(inputs: _Inputs, now: float) -> Decision:
    """Distributes all flows by the capacity of the other domains."""
    capacities = inputs.list_remote_capacities()
    total_per_s = sum(capacities.values())
    remote = {
        domain: RemoteDecision(
            reason=Reason.NO_LOCAL_ENDPOINT,
            share=capacities[domain] / total_per_s,
            gain_s=None,
        )
        if domain in capacities
        else _reject(inputs, domain)
        for domain in inputs.known - {inputs.domain}
    }
    return Decision(
        reason=_summarize(remote),
        wait_s=None,
        gain_s=None,
        remote=remote,
        decided_at=now,
    )


def _distribute_excess(
    inputs: _Inputs,
    last_shares: Mapping[ids.DomainId, float],
    now: float,
) -> Decision:
    """Distributes the flows above the local capacity.

    Each domain with a sufficient gain gets flows in proportion to the part of
    its spare capacity that this domain may use.
    """
    wait_s = inputs.compute_wait_s()
    excess_per_s = inputs.compute_excess_per_s(inputs.domain)
    demand_per_s = inputs.local.demand_per_s
    others = inputs.known - {inputs.domain}
    gains_s = {
        domain: wait_s
        - inputs.loads[domain].compute_queue_wait_s(inputs.service_s)
        - inputs.compute_cost_s(domain)
        for domain in others
        if domain in inputs.loads
    }
    stay = _find_reason_to_stay(inputs, excess_per_s)
    if stay is not None:
        remote = {
            domain: RemoteDecision(
                reason=stay, share=0.0, gain_s=gains_s[domain]
            )
            if domain in gains_s
            else _reject(inputs, domain)
            for domain in others
        }
        return Decision(
            reason=stay,
            wait_s=wait_s,
            gain_s=max(gains_s.values(), default=None),
            remote=remote,
            decided_at=now,
        )
    parts_per_s = {
        domain: inputs.compute_part_per_s(domain) for domain in gains_s
    }
    sufficient = {
        domain
        for domain, gain_s in gains_s.items()
        if parts_per_s[domain] > 0.0
        and _is_sufficient(
            inputs, domain, gain_s, leaving=domain in last_shares
        )
    }
    usable_per_s = sum(parts_per_s[domain] for domain in sufficient)
    used = min(1.0, excess_per_s / usable_per_s) if usable_per_s else 0.0
    remote = {}
    for domain in others:
        if domain in sufficient:
            limit = min(1.0, parts_per_s[domain] / demand_per_s)
            share = _step(last_shares.get(domain, 0.0), used * limit)
            remote[domain] = RemoteDecision(
                reason=Reason.SPILLING,
                share=min(share, limit),
                gain_s=gains_s[domain],
            )
        elif parts_per_s.get(domain):
            remote[domain] = RemoteDecision(
                reason=Reason.GAIN_TOO_SMALL,
                share=0.0,
                gain_s=gains_s[domain],
            )
        else:
            remote[domain] = _reject(inputs, domain, gains_s.get(domain))
    return Decision(
        reason=_summarize(remote),
        wait_s=wait_s,
        gain_s=_average_gain_s(remote),
        remote=remote,
        decided_at=now,
    )


def _find_reason_to_stay(inputs: _Inputs, excess_per_s: float) -> Reason | None:
    """Returns why no flow should leave, None if some should."""
    if inputs.goal_s <= 0.0:
        return Reason.NO_GOAL
    if excess_per_s <= 0.0 or inputs.local.demand_per_s <= 0.0:
        return Reason.LOCAL_HAS_CAPACITY
    return None


def _is_sufficient(
    inputs: _Inputs,
    domain: ids.DomainId,
    gain_s: float,
    *,
    leaving: bool,
) -> bool:
    """Returns whether a flow gains from a domain and is in time there."""
    cost_s = inputs.compute_cost_s(domain)
    if inputs.service_s + cost_s > inputs.goal_s:
        return False
    tolerance = 1.0 - const.SPILLOVER_STOP_COST_SHARE if leaving else 0.0
    return gain_s + tolerance * cost_s > 0.0


def _step(share: float, target: float) -> float:
    """Returns the next share: steps to its target, or falls far at once.

    A share that fell at once by every small difference, but rose in steps,
    would follow the lowest of several noisy reports.
    """
    if target < const.SPILLOVER_FALL * share:
        return target
    return share + const.SPILLOVER_STEP * (target - share)


def _reject(
    inputs: _Inputs, domain: ids.DomainId, gain_s: float | None = None
) -> RemoteDecision:
    """Returns the decision on a domain without a report or spare capacity."""
    reason = (
        Reason.NO_SPARE_CAPACITY if domain in inputs.loads else Reason.NO_REPORT
    )
    return RemoteDecision(reason=reason, share=0.0, gain_s=gain_s)


def _summarize(remote: Mapping[ids.DomainId, RemoteDecision]) -> Reason:
    """Returns the reason of the domain that came closest to getting flows."""
    reasons = {decision.reason for decision in remote.values()}
    ranked = (
        Reason.NO_LOCAL_ENDPOINT,
        Reason.SPILLING,
        Reason.GAIN_TOO_SMALL,
        Reason.NO_SPARE_CAPACITY,
    )
    return next(
        (reason for reason in ranked if reason in reasons), Reason.NO_REPORT
    )


def _average_gain_s(
    remote: Mapping[ids.DomainId, RemoteDecision],
) -> float | None:
    """Returns the mean gain of the flows that leave, in seconds."""
    known = [
        (decision.share, decision.gain_s)
        for decision in remote.values()
        if decision.gain_s is not None
    ]
    total = sum(share for share, _ in known)
    if total > 0.0:
        return sum(share * gain_s for share, gain_s in known) / total
    return max((gain_s for _, gain_s in known), default=None)
