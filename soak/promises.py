"""Checks of the promises, based on observations of callers and endpoints."""

import collections
from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from soak import const
from soak import history as histories
from standins.echo import callers
from standins.echo import endpoints
from standins.echo import packets


class Promise(enum.Enum):
    """Property that the balancers guarantee."""

    WHOLE_PACKETS = "whole-packets"
    OWN_SERVICE = "own-service"
    RUN_ONCE = "run-once"
    OWN_ANSWER = "own-answer"
    DRAINED = "drained"
    DOMAIN_EMPTY = "domain-empty"
    CONFIGURATION = "configuration"
    WARMUP = "warmup"
    FLOW_KEPT = "flow-kept"
    PROCESS_LIVES = "process-lives"
    RECOVERS = "recovers"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: The promise.
        at: Time of the observation, in seconds of the run's clock.
        detail: Description of the observation.
    """

    promise: Promise
    at: float
    detail: str


class Checker:
    """Observes callers and endpoints, and collects violations.

    Attributes:
        violations: Violations in the order of their detection.
        outcomes: Outcomes of all finished requests.
    """

    def __init__(
        self, *, history: histories.History, clock: Callable[[], float]
    ) -> None:
        """Creates a checker without observations."""
        self.violations: list[Violation] = []
        self.outcomes: list[callers.Outcome] = []
        self._history = history
        self._clock = clock
        self._owners: dict[endpoints.FlowKey, endpoints.Endpoint] = {}
        self._opened_at: dict[endpoints.FlowKey, float] = {}
        self._misdeliveries: dict[endpoints.FlowKey, list[float]] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        # Configuration versions whose effect was seen, with the times, by
        # balancer address.
        self._effects: dict[str, list[tuple[float, int]]] = {}
        self._cold_arrivals: dict[
            str, collections.deque[tuple[float, endpoints.FlowKey]]
        ] = {}

    def add_violation(self, promise: Promise, detail: str) -> None:
        """Adds a violation."""
        self.violations.append(
            Violation(promise=promise, at=self._clock(), detail=detail)
        )

    def record_outcome(self, outcome: callers.Outcome) -> None:
        """Records and checks the outcome of a request."""
        self.outcomes.append(outcome)
        if callers.AttemptEnd.WRONG_ANSWER in outcome.ends:
            self.add_violation(Promise.OWN_ANSWER, f"{outcome.load.name}")

    def record_reset(self, flow: callers.Flow, sender: str) -> None:
        """Checks a reset that a balancer sent on an open flow."""
        owner = self._owners.get(flow.key)
        if owner is None or not self._must_stay(flow.key, owner, sender):
            return
        self.add_violation(
            Promise.FLOW_KEPT, f"{sender} reset a flow on {owner.id}"
        )

    def record_packet(
        self,
        endpoint: endpoints.Endpoint,
        packet: packets.Packet,
        sender: str,
    ) -> None:
        """Checks a packet that reached an endpoint."""
        if not packet.authentic:
            self.add_violation(
                Promise.WHOLE_PACKETS, f"altered packet from {sender}"
            )
            return
        if packet.flags & packets.Flags.OPEN:
            return
        key = (packet.source, packet.destination)
        owner = self._owners.get(key)
        if owner is endpoint:
            self._misdeliveries.pop(key, None)
        elif owner is not None and self._must_stay(key, owner, sender):
            self._record_misdelivery(
                key, f"{endpoint.id} instead of {owner.id}"
            )

    def record_opening(
        self,
        endpoint: endpoints.Endpoint,
        packet: packets.Packet,
        sender: str,
    ) -> None:
        """Checks an opening packet that reached an endpoint."""
        route = packet.destination
        allowed = self._history.route_services.get(route, set())
        if endpoint.service not in allowed:
            self.add_violation(
                Promise.OWN_SERVICE,
                f"{route} reached {endpoint.service} from {sender}",
            )
        if self._may_know_cold(endpoint, sender):
            self._check_warmup(endpoint, (packet.source, route))
        self._check_downgrade(route, sender)
        if self._history.is_stable(sender):
            self._check_time_bounds(endpoint, route, sender)

    def record_refusal(
        self, route: tuple[str, int], sender: str, begun_at: float
    ) -> None:
        """Checks that a balancer refused a flow only without a route.

        Args:
            route: The route, whose service has an endpoint for the flow.
            sender: The balancer's address.
            begun_at: Time at which the caller sent the first opening packet.
        """
        history = self._history
        added_at = history.route_added_at.get(route)
        if added_at is None or not history.is_stable(sender):
            return
        late_s = begun_at - added_at - const.CONFIGURATION_S
        if late_s > 0:
            self.add_violation(
                Promise.CONFIGURATION,
                f"{route} refused by {sender}, {late_s:.2f} s late",
            )

    def record_opened(
        self, endpoint: endpoints.Endpoint, flow: endpoints.FlowKey
    ) -> None:
        """Records that a handshake was completed."""
        self._owners[flow] = endpoint
        self._opened_at[flow] = self._clock()

    def record_closed(self, flow: endpoints.FlowKey) -> None:
        """Records that a flow was closed."""
        self._owners.pop(flow, None)
        self._opened_at.pop(flow, None)
        self._misdeliveries.pop(flow, None)

    def record_run(
        self, endpoint: endpoints.Endpoint, request: dict[str, Any]
    ) -> None:
        """Checks that a non-idempotent request runs only once."""
        if request["kind"] == callers.RequestKind.IDEMPOTENT.value:
            return
        self._runs[request["id"]] += 1
        if self._runs[request["id"]] > 1:
            self.add_violation(
                Promise.RUN_ONCE, f"{request['id']} at {endpoint.id}"
            )

    def check_recovery(self, begun_at: float, ended_at: float) -> None:
        """Checks that all requests begun in a period were served."""
        begun = [
            outcome
            for outcome in self.outcomes
            if begun_at <= outcome.begun_at < ended_at
        ]
        served = sum(outcome.served for outcome in begun)
        if not begun or served < len(begun):
            ends = collections.Counter(
                outcome.ends[-1].value
                for outcome in begun
                if not outcome.served
            )
            self.add_violation(
                Promise.RECOVERS,
                f"{served} of {len(begun)} served, others: {dict(ends)}",
            )

    def _must_stay(
        self,
        flow: endpoints.FlowKey,
        owner: endpoints.Endpoint,
        sender: str,
    ) -> bool:
        """Returns whether a flow must currently stay on its endpoint.

        This does not hold for flows that may have expired, whose route was
        removed, or whose endpoint or balancer was disrupted.
        """
        history = self._history
        alive = owner.state in (
            endpoints.EndpointState.READY,
            endpoints.EndpointState.DRAINING,
        )
        recent = (
            self._clock() - self._opened_at.get(flow, 0.0)
            < const.FLOW_LIFETIME_S
        )
        return (
            alive
            and recent
            and flow[1] not in history.route_removed_at
            and history.is_undisrupted(histories.Subject.ENDPOINT, owner.id)
            and history.has_stable_paths(sender)
        )

    def _record_misdelivery(self, flow: endpoints.FlowKey, detail: str) -> None:
        now = self._clock()
        misdeliveries = [
            at
            for at in self._misdeliveries.get(flow, [])
            if now - at < const.REORDER_WINDOW_S
        ]
        misdeliveries.append(now)
        self._misdeliveries[flow] = misdeliveries
        if len(misdeliveries) == const.MISDELIVERED_PACKETS:
            self.add_violation(
                Promise.FLOW_KEPT, f"packets arrived at {detail}"
            )

    def _check_time_bounds(
        self,
        endpoint: endpoints.Endpoint,
        route: tuple[str, int],
        sender: str,
    ) -> None:
        history = self._history
        for promise, since, bound_s in (
            (
                Promise.DRAINED,
                history.draining_since.get(endpoint.id),
                const.DRAIN_S,
            ),
            (
                Promise.DOMAIN_EMPTY,
                history.domain_out_since.get(endpoint.domain),
                const.EVACUATION_S,
            ),
            (
                Promise.CONFIGURATION,
                history.route_removed_at.get(route),
                const.CONFIGURATION_S,
            ),
        ):
            if since is not None and self._clock() - since > bound_s:
                late_s = self._clock() - since - bound_s
                self.add_violation(
                    promise, f"{endpoint.id} by {sender}, {late_s:.2f} s late"
                )

    def _check_downgrade(self, route: tuple[str, int], sender: str) -> None:
        """Checks that a balancer did not return to an older configuration.

        This holds during disruptions too, from the start of a balancer's
        process to its end.
        """
        now = self._clock()
        history = self._history
        started_at = history.started_at.get(sender, 0.0)
        effects = [
            (at, version)
            for at, version in self._effects.get(sender, [])
            if at >= started_at
        ]
        seen = max(
            (
                version
                for at, version in effects
                if now - at > const.DOWNGRADE_SLACK_S
            ),
            default=0,
        )
        last = history.last_version.get(route, seen)
        if last < seen:
            self.add_violation(
                Promise.CONFIGURATION,
                f"{sender} used version {last} or older after {seen}",
            )
        first = history.first_version.get(route, 0)
        if all(version < first for _, version in effects):
            effects.append((now, first))
        self._effects[sender] = effects

    def _may_know_cold(self, endpoint: endpoints.Endpoint, sender: str) -> bool:
        """Returns whether a balancer can know that an endpoint is cold.

        A restored store may show an endpoint as warm, or a domain as in
        service, that became cold or was taken out since the copy. A balancer
        cannot know better if it never read the entry that was lost.
        """
        history = self._history
        if history.is_undisrupted(histories.Subject.STORE_CONTENT, ""):
            return True
        return endpoint.id not in history.cold_unread and (
            history.is_undisrupted(histories.Subject.BALANCER, sender)
        )

    def _check_warmup(
        self, endpoint: endpoints.Endpoint, flow: endpoints.FlowKey
    ) -> None:
        now = self._clock()
        if now >= self._history.cold_until.get(endpoint.id, 0.0):
            return
        arrivals = self._cold_arrivals.setdefault(
            endpoint.id, collections.deque()
        )
        arrivals.append((now, flow))
        while arrivals[0][0] <= now - 1.0:
            arrivals.popleft()
        bound = (
            const.WARMUP_PER_S * const.WARMUP_TOLERANCE
            + const.WARMUP_SLACK_FLOWS
        )
        count = len({key for _, key in arrivals})
        if count > bound:
            self.add_violation(
                Promise.WARMUP, f"{count} flows within 1 s at {endpoint.id}"
            )
