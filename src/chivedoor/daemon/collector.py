"""Status and metrics of a running balancer."""

import collections
import dataclasses

from chivedoor import ids
from chivedoor.admission import health
from chivedoor.balancer import balancer as balancers
from chivedoor.configservice import client as clients
from chivedoor.configuration import store as stores
from chivedoor.control import budget as budget_module
from chivedoor.daemon import traffic as traffic_module
from chivedoor.flows import owner as owners
from chivedoor.membership import members as members_module
from chivedoor.rpc import counts as counts_module
from chivedoor.telemetry import catalogue
from chivedoor.telemetry import logs as logs_module
from chivedoor.telemetry import metrics as metrics_module

_Metric = catalogue.Metric
_CONDITIONS = ("cold", "draining", "unhealthy", "ready")
_INTERFACE_METRICS = {
    "peer": _Metric.CHANNEL_EVENTS,
    "operator": _Metric.OPERATOR_EVENTS,
}


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BalancerStatus:
    """Values that the `status` command shows.

    Attributes:
        document_version: The version of the current document; 0 for none.
        confirmed_age_s: Seconds since the platform last confirmed it.
        flows: Open flows of the owned targets.
        targets_owned: Targets that this balancer owns.
        out_domains: Failure domains that are out.
        packets: Packets received from the fabric and from peers.
        drops: Packets dropped.
    """

    document_version: ids.Version
    confirmed_age_s: float
    flows: int
    targets_owned: int
    out_domains: frozenset[ids.DomainId]
    packets: int
    drops: int


def collect_status(
    *,
    balancer: balancers.Balancer,
    store: stores.DocumentStore,
    traffic: traffic_module.Traffic,
    out_domains: frozenset[ids.DomainId],
    now: float,
) -> BalancerStatus:
    """Returns the current status of a balancer."""
    owned = [
        target
        for target in balancer.context.targets.values()
        if target.role is owners.Role.OWNER
    ]
    counters = traffic.counters
    return BalancerStatus(
        document_version=store.version,
        confirmed_age_s=store.confirmed_age(now),
        flows=sum(len(target.flows) for target in owned),
        targets_owned=len(owned),
        out_domains=out_domains,
        packets=counters["fabric_packets"] + counters["peer_packets"],
        drops=sum(
            count
            for name, count in counters.items()
            if name.startswith("drop_")
        ),
    )


class MetricsCollector:
    """Copies the counters and states of a balancer into the metrics."""

    def __init__(
        self,
        *,
        balancer: balancers.Balancer,
        members: members_module.Members,
        store: stores.DocumentStore,
        traffic: traffic_module.Traffic,
        budget: budget_module.ByteBudget,
        platform: clients.PlatformClient,
        logs: logs_module.Logs,
        clock: traffic_module.Clock,
    ) -> None:
        self._balancer = balancer
        self._members = members
        self._store = store
        self._traffic = traffic
        self._budget = budget
        self._platform = platform
        self._logs = logs
        self._clock = clock
        self._interfaces: dict[str, counts_module.EventCounters] = {}

    def add_interface(
        self, name: str, counts: counts_module.EventCounters
    ) -> None:
        """Registers the counters of the `peer` or `operator` interface."""
        self._interfaces[name] = counts

    def collect(self, metrics: metrics_module.Metrics) -> None:
        """Updates all metrics; called at each scrape."""
        self._collect_packets(metrics)
        self._collect_targets(metrics)
        self._collect_states(metrics)
        self._collect_interfaces(metrics)
        now = self._clock()
        metrics.set_value(_Metric.DOCUMENT_VERSION, self._store.version)
        metrics.set_value(
            _Metric.DOCUMENT_CONFIRMED_AGE, self._store.confirmed_age(now)
        )
        metrics.set_values(_Metric.CONTROL_SENT_BYTES, self._budget.sent_bytes)
        metrics.set_values(
            _Metric.CONTROL_DELAYED_BYTES, self._budget.delayed_bytes
        )
        metrics.set_values(
            _Metric.CONTROL_DROPPED_BYTES, self._budget.dropped_bytes
        )

    def _collect_packets(self, metrics: metrics_module.Metrics) -> None:
        counters = self._traffic.counters
        metrics.set_value(_Metric.DELIVERED_PACKETS, counters["delivered"])
        metrics.set_value(_Metric.FORWARDED_BYTES, counters["forwarded_bytes"])
        metrics.set_value(
            _Metric.DISCARDED_PACKETS, counters["discarded_after_pause"]
        )
        metrics.set_value(_Metric.LOOP_PAUSES, counters["pauses"])
        metrics.set_values(
            _Metric.RECEIVED_PACKETS,
            {
                "fabric": counters["fabric_packets"],
                "peer": counters["peer_packets"],
            },
        )
        for metric, prefix in (
            (_Metric.FORWARDED_PACKETS, "sent_"),
            (_Metric.DROPPED_PACKETS, "drop_"),
            (_Metric.REFUSED_FLOWS, "refusal_"),
            (_Metric.BROKEN_FLOWS, "aborted_"),
        ):
            metrics.set_values(
                metric,
                {
                    name.removeprefix(prefix): count
                    for name, count in counters.items()
                    if name.startswith(prefix)
                },
            )

    def _collect_targets(self, metrics: metrics_module.Metrics) -> None:
        targets = tuple(self._balancer.context.targets.values())
        for role in owners.Role:
            targets_in_role = [
                target for target in targets if target.role is role
            ]
            metrics.set_value(
                _Metric.TARGETS, len(targets_in_role), role=role.value
            )
            metrics.set_value(
                _Metric.OPEN_FLOWS,
                sum(len(target.flows) for target in targets_in_role),
                role=role.value,
            )
        context = self._balancer.context
        metrics.set_value(_Metric.FLOW_CAPACITY, context.max_flows)
        metrics.set_values(_Metric.ADMITTED_FLOWS, context.admitted)
        owned = [t for t in targets if t.role is owners.Role.OWNER]
        direct = len(self._balancer.list_direct_modes(self._clock()))
        metrics.set_values(
            _Metric.TARGETS_BY_MODE,
            {"direct": direct, "via-owner": len(owned) - direct},
        )
        conditions = collections.Counter(
            _find_condition(target, self._clock()) for target in owned
        )
        metrics.set_values(
            _Metric.TARGETS_BY_CONDITION,
            {name: conditions[name] for name in _CONDITIONS},
        )
        metrics.set_value(
            _Metric.OVERRIDE_FLOWS,
            sum(len(target.overrides) for target in targets),
        )

    def _collect_states(self, metrics: metrics_module.Metrics) -> None:
        counted = collections.Counter(
            member.state for member in self._members.list_members()
        )
        local = self._members.local.state
        metrics.set_values(
            _Metric.MEMBERS,
            {s.name: counted[s] for s in members_module.MemberState},
        )
        metrics.set_values(
            _Metric.STATE,
            {s.name: int(s is local) for s in members_module.MemberState},
        )
        document = self._store.document
        out_domains = self._balancer.context.out_domains
        for domain in () if document is None else document.domains:
            metrics.set_value(
                _Metric.DOMAIN_OUT, int(domain in out_domains), domain=domain
            )

    def _collect_interfaces(self, metrics: metrics_module.Metrics) -> None:
        metrics.set_values(_Metric.PLATFORM_REQUESTS, self._platform.counters)
        metrics.set_values(_Metric.DOCUMENTS_REJECTED, self._store.rejections)
        metrics.set_values(
            _Metric.LOG_EVENTS,
            {
                "written": self._logs.written,
                "suppressed": self._logs.suppressed,
                "failed": self._logs.failed,
            },
        )
        for name, metric in _INTERFACE_METRICS.items():
            if name in self._interfaces:
                counts = self._interfaces[name].dump_state()
                metrics.set_values(metric, counts)
        metrics.set_value(_Metric.LOOP_DELAY, self._traffic.max_loop_delay_s)
        self._traffic.max_loop_delay_s = 0.0


def _find_condition(target: owners.TargetState, now: float) -> str:
    admission = target.admission
    if admission.is_draining:
        return "draining"
    if admission.health_state is health.HealthState.BAD:
        return "unhealthy"
    return "cold" if admission.is_cold(now) else "ready"
