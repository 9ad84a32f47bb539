"""Steering decisions for packets of callers."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random

from chivedoor import ids
from chivedoor.steering import absences
from chivedoor.steering import callers
from chivedoor.steering import const
from chivedoor.steering import contacts as contact_module
from chivedoor.steering import delays
from chivedoor.steering import demand as demands
from chivedoor.steering import distribution as distributions
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import full_endpoints as full_endpoint_module
from chivedoor.steering import observer as observers
from chivedoor.steering import pauses
from chivedoor.steering import placement
from chivedoor.steering import reachability
from chivedoor.steering import reports
from chivedoor.steering import restarts
from chivedoor.steering import restorations
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage as shortage_module
from chivedoor.steering import suspicion
from chivedoor.steering import tags
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from chivedoor.steering import warmup

_PROGRESS_EFFECTS = (
    flow_tables.SegmentEffect.OPENED,
    flow_tables.SegmentEffect.PROGRESSED,
)
_DROPS = {
    reason: verdicts.Drop(reason=reason) for reason in verdicts.DropReason
}
_REFUSALS = {
    reason: verdicts.Refuse(reason=reason) for reason in verdicts.RefusalReason
}


class Steerer:
    """Steers packets by their tags and places new flows.

    Attributes:
        view: Routes and endpoints.
        flows: Flows and requests in flight.
        suspicions: Endpoints that left handshakes unanswered.
        reachability: Endpoints that are unreachable.
        contacts: Checks of endpoints that seem unreachable.
        full_endpoints: Endpoints that hold as many flows as they can.
        restarts: Endpoints that have probably restarted.
        pauses: Pauses of this process.
        absences: Flows whose endpoint is missing from the view.
        restorations: Selects the changes that a restored store reports.
        warmup_budget: This balancer's share of the rates of cold endpoints.
        peer_loads: Requests in flight through other balancers.
        delay_table: Recent delays of requests by endpoint.
        shortage: Limits of services that are short of capacity.
        counts_load: Whether demand and callers are counted; only load reports
            and decisions based on them need that.
        demand: Rates of requests, handshakes and payload.
        callers: Recent new flows by caller address.
        placement: Selects the endpoints of new flows.
        distribution: Distributes new flows to the failure domains.
    """

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        domains: Sequence[ids.DomainId] = (),
        generator: random.Random,
        observer: observers.Observer | None = None,
    ) -> None:
        """Creates a steerer without a view.

        Args:
            local: This balancer.
            domain: Its failure domain.
            domains: All failure domains; if empty, only `domain`.
            generator: Source of randomness for placement.
            observer: Receives durations and changes of endpoint state.
        """
        self._observer = observer or observers.NullObserver()
        self.view = views.View()
        self.flows = flow_tables.FlowTable(
            observer=self._observer,
            on_reply=self._record_delay,
            on_request=self._record_request,
        )
        self.suspicions = suspicion.Suspicions()
        self.reachability = reachability.Reachability()
        self.contacts = contact_module.Contacts()
        self.full_endpoints = full_endpoint_module.FullEndpoints(
            reachability=self.reachability, contacts=self.contacts
        )
        self.restarts = restarts.Restarts()
        self.pauses = pauses.Pauses()
        self.absences = absences.Absences()
        self.restorations = restorations.Restorations(view=self.view)
        self.warmup_budget = warmup.WarmupBudget(
            local=local, domain=domain, domains=domains
        )
        self.peer_loads = reports.PeerCounts(
            lifetime_s=const.LOAD_REPORT_LIFETIME_S
        )
        self.delay_table = delays.DelayTable()
        self.shortage = shortage_module.Shortage(
            domain=domain,
            view=self.view,
            flows=self.flows,
            peer_loads=self.peer_loads,
            generator=generator,
            observer=self._observer,
        )
        self.counts_load = True
        self.demand = demands.Demand()
        self.callers = callers.CallerTable(max_callers=const.MAX_CALLERS)
        self.placement = placement.Placement(
            domain=domain,
            view=self.view,
            flows=self.flows,
            suspicions=self.suspicions,
            reachability=self.reachability,
            full_endpoints=self.full_endpoints,
            restarts=self.restarts,
            warmup_budget=self.warmup_budget,
            peer_loads=self.peer_loads,
            delay_table=self.delay_table,
            shortage=self.shortage,
            generator=generator,
        )
        self.distribution = distributions.Distribution(
            domain=domain,
            view=self.view,
            suspicions=self.suspicions,
            capacity=self.shortage.capacity,
            placement=self.placement,
            generator=generator,
            observer=self._observer,
        )
        self.placement.select_endpoints = self.distribution.select_endpoints
        # Flows whose first opening packet was delivered, with the time of that
        # packet; oldest first.
        self._pending_handshakes: collections.deque[
            tuple[float, segments.FlowId]
        ] = collections.deque()
        # Unreachable endpoints whose stalled flows are still to be abandoned.
        self._newly_unreachable: list[ids.EndpointId] = []
        # Time from which a missing entry means that the endpoint is gone;
        # None while the view is incomplete or unconfirmed.
        self._view_complete_at: float | None = None
        # Time at which the view was last known to be current, and the time
        # since which it was confirmed without a gap.
        self._view_confirmed_at = -math.inf
        self._view_followed_since = -math.inf

    def confirm_view(self, confirmed_at: float) -> None:
        """Records that the view was current at a time, in seconds."""
        gap_s = confirmed_at - self._view_confirmed_at
        if gap_s > const.CONFIRMATION_GAP_S:
            self._view_followed_since = confirmed_at
        self._view_confirmed_at = confirmed_at
        self.pauses.record_confirmed(confirmed_at)
        self.absences.set_confirmed_at(confirmed_at)

    def set_view_complete_at(self, complete_at: float | None) -> None:
        """Sets the time from which a missing entry means a removed endpoint.

        Args:
            complete_at: A time in seconds; None while the store cannot be
                read or the view is not known to be current.
        """
        self._view_complete_at = complete_at

    def is_view_complete(self, now: float) -> bool:
        """Returns whether a missing entry means a removed endpoint."""
        return (
            self._view_complete_at is not None and now >= self._view_complete_at
        )

    def get_lapsed_since(self, now: float) -> float | None:
        """Returns since when removed endpoints still get new flows.

        The time is in seconds; None if removed endpoints get none.
        """
        if self.is_view_complete(now):
            return None
        return now - const.LAPSED_ENTRY_RETURN_S

    def has_ended(self, endpoint: views.Endpoint, now: float) -> bool:
        """Returns whether an endpoint has ended, as far as its entry tells.

        The entry of a living endpoint may lapse even while this balancer can
        read the store. Only an entry that has not returned in a view that was
        followed all the while shows the end.
        """
        if endpoint.removed_at is None or not self.is_view_complete(now):
            return False
        return endpoint.removed_at <= self._get_newest_end()

    def pop_ended_endpoints(self, now: float) -> list[views.Endpoint]:
        """Returns each endpoint once that has ended; called on every tick."""
        if not self.is_view_complete(now):
            return []
        return self.view.pop_ended(self._get_newest_end())

    def _get_newest_end(self) -> float:
        """Returns the latest removal that shows the end of an endpoint."""
        newest = self._view_confirmed_at - const.LAPSED_ENTRY_RETURN_S
        return newest if newest >= self._view_followed_since else -math.inf

    def decide(self, segment: segments.Segment, now: float) -> verdicts.Verdict:
        """Decides what is done with a packet."""
        if segment.kind is segments.SegmentKind.OPEN:
            return self._decide_opening(segment, now)
        return self._decide_established(segment, now)

    def pop_endpoint_flows(
        self, endpoint_id: ids.EndpointId
    ) -> Iterator[tuple[segments.FlowId, flow_tables.Flow]]:
        """Removes and returns the flows of an endpoint."""
        for flow_id, flow in self.flows.iterate_flows(endpoint_id):
            self.flows.close_flow(flow_id)
            yield flow_id, flow

    def pop_abandoned_flows(
        self, now: float
    ) -> list[tuple[segments.FlowId, flow_tables.Flow]]:
        """Removes and returns the stalled flows of unreachable endpoints.

        Only flows whose caller has retransmitted an idempotent request are
        included. Called after each batch of packets.
        """
        endpoint_ids, self._newly_unreachable = self._newly_unreachable, []
        abandoned = [
            pair
            for endpoint_id in endpoint_ids
            for pair in self._iterate_abandonable(endpoint_id, now)
        ]
        for flow_id, _ in abandoned:
            self.flows.close_flow(flow_id)
        return abandoned

    def pop_contact_checks(self) -> list[views.Endpoint]:
        """Returns the endpoints whose hosts are to be checked, each once.

        `record_contact` must be called with each result.
        """
        known = []
        for endpoint_id in self.contacts.pop_requested():
            endpoint = self.view.find_known(endpoint_id)
            if endpoint is None:
                self.contacts.finish(endpoint_id)
            else:
                known.append(endpoint)
        return known

    def record_contact(
        self,
        endpoint: views.Endpoint,
        result: contact_module.Contact,
        now: float,
    ) -> None:
        """Records the result of a check.

        An endpoint is unreachable if its host did not answer and it is still
        silent. A result for a former address tells nothing.
        """
        self.contacts.finish(endpoint.id)
        self._observer.on_contact_checked(endpoint.id, result)
        known = self.view.find_known(endpoint.id)
        if known is None or known.address != endpoint.address:
            return
        self.full_endpoints.record_contact(endpoint.id, result, now)
        if result is not contact_module.Contact.SILENT:
            return
        if self.reachability.detect_unreachable(endpoint.id, now):
            self._newly_unreachable.append(endpoint.id)
            self._observer.on_unreachable(
                endpoint.id,
                {
                    kind.value: self.reachability.count(kind, endpoint.id, now)
                    for kind in reachability.RetransmissionKind
                },
            )

    def check_handshakes(self, now: float) -> None:
        """Suspects endpoints that refused a handshake.

        If the process of an endpoint has ended, its host refuses handshakes
        with a reset that bypasses this balancer. The caller then neither
        completes nor retransmits the handshake. Called after each batch of
        packets.
        """
        due = now - const.HANDSHAKE_RETRY_TIMEOUT_S
        while (
            self._pending_handshakes and self._pending_handshakes[0][0] <= due
        ):
            opened_at, flow_id = self._pending_handshakes.popleft()
            flow = self.flows.get(flow_id)
            if flow is None or flow.opened_at != opened_at:
                continue
            if flow.state is not flow_tables.FlowState.OPENING:
                continue
            self.flows.close_flow(flow_id)
            endpoint = self.view.endpoints.get(flow.endpoint_id)
            recent = now - opened_at < const.HANDSHAKE_CHECK_MAX_AGE_S
            if endpoint is not None and recent:
                self.restarts.record_refused(endpoint, opened_at)
                self._suspect(endpoint, now)

    def update_delays(self, now: float) -> None:
        """Updates the delays of the endpoints; called per tick."""
        self.delay_table.update(now)
        self.shortage.set_waiting(
            any(
                self._is_waiting(flow_id, flow, now)
                for flow_id, flow in self.flows.iterate_working()
            )
        )
        self.shortage.update_capacity(self.delay_table)

    def list_capacity(
        self, now: float
    ) -> Mapping[ids.ServiceId, demands.Capacity]:
        """Returns the capacity of the local domain by service."""
        return self.distribution.list_capacity(now)

    def decide_shares(
        self, now: float
    ) -> Mapping[ids.ServiceId, Mapping[ids.DomainId, float]]:
        """Returns the shares of new flows that leave the local domain.

        Called on each heartbeat of a candidate for the reader. The shares are
        listed by service and destination, from 0 to 1.
        """
        return self.distribution.decide_shares(now)

    def expire(self, now: float) -> None:
        """Removes outdated state; called once a second."""
        self.flows.expire(now)
        self.suspicions.expire(now)
        self.reachability.expire(now)
        self.contacts.expire(now)
        self.full_endpoints.expire(now)
        self.absences.expire(now)
        self.restarts.expire(now, view_complete=self.is_view_complete(now))
        self.warmup_budget.expire(now)
        self.shortage.expire(now)
        self.peer_loads.expire(now)
        self.view.expire_removed(now)

    def _decide_opening(
        self, segment: segments.Segment, now: float
    ) -> verdicts.Verdict:
        if not self.view.version:
            return _DROPS[verdicts.DropReason.NO_VIEW]
        route = self.view.routes.get(segment.route)
        if route is None:
            return self._decide_unrouted_opening(segment, now)
        if self.pauses.is_view_outdated(now):
            return _DROPS[verdicts.DropReason.PAUSED]
        if self._is_copy_of_open_flow(segment, now):
            return _DROPS[verdicts.DropReason.REPEATED_OPENING]
        if self.counts_load and not segment.retransmissions:
            self.callers.record(segment.flow[segments.CALLER_ADDRESS], now)
        unanswered = self._find_unanswered(segment, now)
        above_share = self.shortage.has_short_service(
            now
        ) and self.callers.is_above_share(
            segment.flow[segments.CALLER_ADDRESS], now
        )
        endpoint = self.placement.choose_endpoint(
            route,
            now,
            unanswered,
            self.get_lapsed_since(now),
            # A caller that has already waited, as when all balancers were
            # down, gets a late answer rather than none.
            may_refuse=not segment.retransmissions,
            above_share=above_share,
        )
        if isinstance(endpoint, verdicts.Refuse):
            if segment.retransmissions:
                return self._repeat_delivery(segment, now)
            if self.counts_load and endpoint.service is not None:
                self.demand.record_request(
                    endpoint.service, route.priority, now
                )
            endpoint.context = verdicts.RefusalContext(
                route=route.name,
                priority=route.priority,
                short=endpoint.service is not None
                and self.shortage.is_short(endpoint.service, now),
                above_share=above_share,
            )
            return endpoint
        self.flows.open_flow(segment.flow, endpoint.id, now)
        if not segment.retransmissions:
            self._pending_handshakes.append((now, segment.flow))
            if self.counts_load:
                self.demand.record_admitted(endpoint.service, now)
        return _deliver_opening(segment, endpoint)

    def _decide_unrouted_opening(
        self, segment: segments.Segment, now: float
    ) -> verdicts.Verdict:
        """Decides on an opening packet to a route that the view lacks.

        Another balancer may have a newer view and have delivered an earlier
        copy, so copies are refused only if the route was dropped.
        """
        if not self.is_view_complete(now):
            return _DROPS[verdicts.DropReason.STALE_VIEW]
        if segment.retransmissions and not self.view.is_route_dropped(
            segment.route
        ):
            return _DROPS[verdicts.DropReason.REPEATED_OPENING]
        return _REFUSALS[verdicts.RefusalReason.NO_ROUTE]

    def _is_copy_of_open_flow(
        self, segment: segments.Segment, now: float
    ) -> bool:
        """Returns whether a copy was overtaken by the end of its handshake.

        An older record belongs to an earlier flow of the same caller port.
        """
        if not segment.retransmissions:
            return False
        flow = self.flows.get(segment.flow)
        return (
            flow is not None
            and flow.state is not flow_tables.FlowState.OPENING
            and now - flow.opened_at < const.HANDSHAKE_LIFETIME_S
        )

    def _repeat_delivery(
        self, segment: segments.Segment, now: float
    ) -> verdicts.Verdict:
        """Decides on a copy that no endpoint may take as a new flow.

        An earlier copy may have opened the flow, through this balancer or
        another one, and a reset would end it. The copy goes to the endpoint of
        the earlier one if that is known and still takes flows. The record is
        replaced or removed, because a handshake with a copy was not refused by
        the endpoint's host.
        """
        flow = self.flows.get(segment.flow)
        endpoint = flow and self.view.endpoints.get(flow.endpoint_id)
        if not endpoint or not self.placement.is_usable(endpoint):
            self.flows.close_flow(segment.flow)
            return _DROPS[verdicts.DropReason.REPEATED_OPENING]
        self.flows.open_flow(segment.flow, endpoint.id, now)
        return _deliver_opening(segment, endpoint)

    def _find_unanswered(
        self, segment: segments.Segment, now: float
    ) -> ids.EndpointId | None:
        """Returns the endpoint that left an earlier copy unanswered."""
        if not segment.retransmissions:
            return None
        flow = self.flows.get(segment.flow)
        if flow is None or flow.state is not flow_tables.FlowState.OPENING:
            return None
        endpoint = self.view.endpoints.get(flow.endpoint_id)
        if endpoint is not None:
            self._suspect(endpoint, now)
            if now - flow.opened_at >= const.OPENING_RETRANSMISSION_MIN_S:
                self.reachability.record_retransmission(
                    reachability.RetransmissionKind.HANDSHAKE,
                    endpoint.id,
                    segment.flow,
                    now,
                )
                self.full_endpoints.record_unanswered(
                    endpoint.id, segment.flow, flow.opened_at, now
                )
                self._check_reachability(endpoint.id, now)
        return flow.endpoint_id

    def _check_reachability(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> None:
        """Requests a check of an endpoint if flows may have to be abandoned."""
        if (
            self.reachability.is_silent(endpoint_id, now)
            and not self.reachability.is_unreachable(endpoint_id, now)
            and any(self._iterate_abandonable(endpoint_id, now))
        ):
            self.contacts.request(endpoint_id, now)

    def _iterate_abandonable(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> Iterator[tuple[segments.FlowId, flow_tables.Flow]]:
        """Returns the flows of an endpoint with stalled idempotent requests."""
        return (
            (flow_id, flow)
            for flow_id in self.reachability.list_stalled_flows(
                endpoint_id, now
            )
            if self._is_idempotent(flow_id)
            and (flow := self.flows.get(flow_id)) is not None
            and flow.endpoint_id == endpoint_id
        )

    def _suspect(self, endpoint: views.Endpoint, now: float) -> None:
        new = self.suspicions.record_unanswered(
            endpoint.id, endpoint.domain, now
        )
        if new:
            domain_suspect = self.suspicions.is_domain_suspect(
                endpoint.domain, now
            )
            self._observer.on_suspected(endpoint.id, domain_suspect)

    def _decide_established(
        self, segment: segments.Segment, now: float
    ) -> verdicts.Verdict:
        if not segment.tag:
            return _DROPS[verdicts.DropReason.NO_TAG]
        endpoint = self.view.find_endpoint(segment.tag, segment.flow)
        if endpoint is None:
            if self._is_absence_confirmed(segment, now):
                return self._refuse(
                    segment, verdicts.RefusalReason.UNKNOWN_ENDPOINT
                )
            return _DROPS[verdicts.DropReason.UNKNOWN_TAG]
        if self.has_ended(endpoint, now):
            return self._refuse(
                segment, verdicts.RefusalReason.ENDPOINT_REMOVED
            )
        if self.view.is_route_dropped(segment.route):
            return self._refuse(segment, verdicts.RefusalReason.ROUTE_REMOVED)
        effect = self._record_segment(segment, endpoint, now)
        if self._should_abandon(effect, segment.flow, endpoint, now):
            return self._refuse(
                segment, verdicts.RefusalReason.ENDPOINT_UNREACHABLE
            )
        return verdicts.Deliver(endpoint=endpoint, tag=None)

    def _is_absence_confirmed(
        self, segment: segments.Segment, now: float
    ) -> bool:
        """Returns whether the unknown endpoint of an open flow is gone."""
        return self.is_view_complete(now) and self.absences.is_confirmed(
            segment.flow, now
        )

    def _record_delay(
        self,
        flow_id: segments.FlowId,
        endpoint_id: ids.EndpointId,
        delay_s: float,
    ) -> None:
        route = self.view.routes.get(segments.get_route(flow_id))
        endpoint = self.view.endpoints.get(endpoint_id)
        if route is not None and endpoint is not None:
            self.delay_table.record(
                endpoint_id,
                delay_s=delay_s,
                goal_s=route.goal_s,
                load=self.placement.count_in_flight(endpoint) / endpoint.slots,
            )

    def _record_request(
        self, flow_id: segments.FlowId, endpoint_id: ids.EndpointId, now: float
    ) -> None:
        if not self.counts_load:
            return
        route = self.view.routes.get(segments.get_route(flow_id))
        endpoint = self.view.endpoints.get(endpoint_id)
        if route is not None and endpoint is not None:
            self.demand.record_request(endpoint.service, route.priority, now)

    def _is_waiting(
        self, flow_id: segments.FlowId, flow: flow_tables.Flow, now: float
    ) -> bool:
        """Returns whether the request of a flow takes long already."""
        route = self.view.routes.get(segments.get_route(flow_id))
        if route is None or not route.goal_s:
            return False
        age_s = now - flow.state_changed_at
        return age_s > const.WAITING_MIN_GOALS * route.goal_s

    def _record_segment(
        self,
        segment: segments.Segment,
        endpoint: views.Endpoint,
        now: float,
    ) -> flow_tables.SegmentEffect:
        if self.counts_load:
            self.demand.record_payload(
                endpoint.service, segment.payload_bytes, now
            )
        self._record_place(segment, endpoint, now)
        if segment.kind is not segments.SegmentKind.ESTABLISHED:
            self.flows.finish_flow(segment, now)
            return flow_tables.SegmentEffect.NONE
        effect = self.flows.record_segment(segment, endpoint.id, now)
        if effect in _PROGRESS_EFFECTS:
            self.reachability.record_progress(endpoint.id, now)
        if effect is flow_tables.SegmentEffect.PROGRESSED:
            self.full_endpoints.record_progress(endpoint.id, now)
            flow = self.flows.get(segment.flow)
            if flow is not None:
                self.restarts.record_progress(endpoint.id, flow.opened_at)
        opened = effect is flow_tables.SegmentEffect.OPENED
        if (
            opened
            and self.counts_load
            and (flow := self.flows.get(segment.flow)) is not None
        ):
            self.demand.record_handshake(
                endpoint.domain, now - flow.opened_at, now
            )
        if opened and self.suspicions.record_opened(
            endpoint.id, endpoint.domain
        ):
            self._observer.on_cleared(endpoint.id)
        return effect

    def _record_place(
        self,
        segment: segments.Segment,
        endpoint: views.Endpoint,
        now: float,
    ) -> None:
        """Records that an endpoint had a place for a flow, or has one again.

        The endpoint of the first packet may answer after a copy has been sent
        to another one.
        """
        if not self.full_endpoints.has_records:
            return
        flow = self.flows.get(segment.flow)
        if flow is None:
            return
        if flow.state is flow_tables.FlowState.OPENING:
            if segment.kind is not segments.SegmentKind.ABORT:
                self.full_endpoints.record_answered(endpoint.id, now)
        elif segment.kind is not segments.SegmentKind.ESTABLISHED:
            self.full_endpoints.record_closed(endpoint.id, now)

    def _should_abandon(
        self,
        effect: flow_tables.SegmentEffect,
        flow_id: segments.FlowId,
        endpoint: views.Endpoint,
        now: float,
    ) -> bool:
        """Returns whether to reset a flow, so that its caller retries.

        Only flows with idempotent requests are abandoned. Other requests may
        have been executed already, and callers do not retry them.
        """
        if effect is not flow_tables.SegmentEffect.RETRANSMITTED:
            return False
        self.reachability.record_retransmission(
            reachability.RetransmissionKind.REQUEST, endpoint.id, flow_id, now
        )
        if not self._is_idempotent(flow_id):
            return False
        self._check_reachability(endpoint.id, now)
        return self.reachability.is_unreachable(endpoint.id, now)

    def _is_idempotent(self, flow_id: segments.FlowId) -> bool:
        route = self.view.routes.get(segments.get_route(flow_id))
        return route is not None and route.idempotent

    def _refuse(
        self, segment: segments.Segment, reason: verdicts.RefusalReason
    ) -> verdicts.Verdict:
        self.flows.close_flow(segment.flow)
        if segment.kind is segments.SegmentKind.ABORT:
            return _DROPS[verdicts.DropReason.UNANSWERED_RESET]
        return _REFUSALS[reason]


def _deliver_opening(
    segment: segments.Segment, endpoint: views.Endpoint
) -> verdicts.Deliver:
    """Returns the delivery of an opening packet, with the tag of its flow."""
    return verdicts.Deliver(
        endpoint=endpoint,
        tag=tags.make_tag(
            endpoint.tag_prefix, endpoint.numeric_id, segment.flow
        ),
    )
