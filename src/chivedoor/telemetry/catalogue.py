"""Declarations of all metrics: name, kind, labels and description."""

import dataclasses
import enum

from chivedoor.telemetry import const


class MetricKind(enum.Enum):
    """Type of a metric: a total that only grows, or a current value."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MetricSpec:
    """The declaration of one metric.

    Attributes:
        name: Full name, which ends with the unit, before `_total` if any.
        kind: Counter or gauge.
        labels: Label names. Label values are enum values or ids of failure
            domains, so the number of series is bounded.
        description: Help text of one sentence.
    """

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    description: str


def _counter(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(
        name=f"{const.METRIC_PREFIX}{name}_total",
        kind=MetricKind.COUNTER,
        labels=labels,
        description=description,
    )


def _gauge(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(
        name=f"{const.METRIC_PREFIX}{name}",
        kind=MetricKind.GAUGE,
        labels=labels,
        description=description,
    )


class Metric(enum.Enum):
    """All metrics of a balancer."""

    RECEIVED_PACKETS = _counter(
        "received_packets",
        "Packets received from the fabric or from other balancers.",
        "source",
    )
    DELIVERED_PACKETS = _counter(
        "delivered_packets", "Packets handed to the fabric."
    )
    FORWARDED_PACKETS = _counter(
        "forwarded_packets",
        "Packets sent to other balancers, by the kind of forwarding.",
        "kind",
    )
    FORWARDED_BYTES = _counter(
        "forwarded_bytes", "Bytes of the datagrams sent to other balancers."
    )
    DROPPED_PACKETS = _counter(
        "dropped_packets", "Packets dropped, by reason.", "reason"
    )
    DISCARDED_PACKETS = _counter(
        "discarded_packets",
        "Packets discarded unread because the loop had paused.",
    )
    REFUSED_FLOWS = _counter(
        "refused_flows",
        "New flows refused before anything was forwarded, by reason.",
        "reason",
    )
    ADMITTED_FLOWS = _counter(
        "admitted_flows", "New flows admitted as owner, by port kind.", "kind"
    )
    BROKEN_FLOWS = _counter(
        "broken_flows",
        "Established flows that this balancer reset, by reason.",
        "reason",
    )
    OPEN_FLOWS = _gauge(
        "open_flows", "Flow records held, by role for their target.", "role"
    )
    OVERRIDE_FLOWS = _gauge(
        "override_flows", "Flows whose target is not their base target."
    )
    FLOW_CAPACITY = _gauge(
        "capacity_flows", "Flow records that fit into the table."
    )
    TARGETS = _gauge(
        "role_targets", "Targets that this balancer owns or backs up.", "role"
    )
    TARGETS_BY_CONDITION = _gauge(
        "condition_targets",
        "Owned targets that are cold, draining, unhealthy or ready.",
        "condition",
    )
    TARGETS_BY_MODE = _gauge(
        "mode_targets", "Owned targets by announced routing mode.", "mode"
    )
    DOCUMENT_VERSION = _gauge(
        "document_version_number", "The document version in force; 0 for none."
    )
    DOCUMENT_CONFIRMED_AGE = _gauge(
        "document_confirmed_age_seconds",
        "Time since the platform last confirmed the document in force.",
    )
    DOCUMENTS_ACCEPTED = _counter(
        "accepted_documents",
        "Documents that came into force, by where they came from.",
        "source",
    )
    DOCUMENTS_REJECTED = _counter(
        "rejected_documents",
        "Documents that were faulty or older, by reason.",
        "reason",
    )
    MEMBERS = _gauge(
        "state_members",
        "Balancers in this balancer's view, itself included, by state.",
        "state",
    )
    DOMAIN_OUT = _gauge(
        "domain_out_state",
        "1 when the failure domain is out at this balancer, else 0.",
        "domain",
    )
    STATE = _gauge(
        "member_state", "1 for the state of this balancer, else 0.", "state"
    )
    CONTROL_SENT_BYTES = _counter(
        "control_sent_bytes", "Control traffic sent, by class.", "traffic"
    )
    CONTROL_DELAYED_BYTES = _counter(
        "control_delayed_bytes",
        "Control traffic that waited for the byte budget, by class.",
        "traffic",
    )
    CONTROL_DROPPED_BYTES = _counter(
        "control_dropped_bytes",
        "Control traffic given up for lack of budget, by class.",
        "traffic",
    )
    GOSSIP_MESSAGES = _counter(
        "gossip_messages", "Gossip datagrams sent and received.", "direction"
    )
    GOSSIP_DROPPED = _counter(
        "gossip_dropped_messages",
        "Gossip datagrams that were not accepted, by reason.",
        "reason",
    )
    CHANNEL_EVENTS = _counter(
        "channel_events",
        "Connections, requests, refusals and faults between balancers.",
        "event",
    )
    OPERATOR_EVENTS = _counter(
        "operator_events",
        "Connections, commands, refusals and faults of operators.",
        "event",
    )
    PLATFORM_REQUESTS = _counter(
        "platform_requests", "Requests to the platform, by outcome.", "outcome"
    )
    LOOP_PAUSES = _counter(
        "loop_pauses", "Times that the loop did not run for over 1 s."
    )
    LOOP_DELAY = _gauge(
        "loop_delay_seconds",
        "The longest delay of the loop's heartbeat since the last scrape.",
    )
    LOG_EVENTS = _counter(
        "log_events", "Log events written, suppressed or failed.", "outcome"
    )
    SCRAPE_FAILURES = _counter(
        "scrape_failures", "Scrapes during which figures were not collected."
    )
    CPU_SECONDS = _counter(
        "process_cpu_seconds", "Processor time used by the daemon."
    )
    RESIDENT_BYTES = _gauge(
        "process_resident_max_bytes",
        "The largest resident memory of the daemon so far.",
    )
