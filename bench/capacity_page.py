"""Computes the tables of docs/CAPACITY.md from docs/capacity.json.

python -m bench.capacity_page [--write]

Prints the rows that exceed their budgets. `--write` updates the page; without
it the command fails if the page is out of date.
"""

import argparse
from collections.abc import Callable
import dataclasses
import json
import math
import pathlib
import sys
from typing import Any

from bench.capacity import fleet as fleets
from chivedoor.configservice import const as platform_const
from chivedoor.control import const as control_const
from chivedoor.daemon import const as daemon_const
from chivedoor.flows import const as flow_const
from chivedoor.membership import const as member_const

_ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES_PATH = _ROOT / "docs" / "capacity.json"
PAGE_PATH = _ROOT / "docs" / "CAPACITY.md"
_DAY_S = 86_400.0
_MEGABYTE_BYTES = 1e6
# An event loop that is blocked for longer misses the replies to its probes.
_MAX_STALL_MS = 1000 * member_const.PROBE_TIMEOUT_S
_REQUEST_BYTES = 200
_TICKS_PER_S = 1 / daemon_const.TICK_INTERVAL_S
_ROLES_PER_TARGET = 2
_SYN_STAGES = (
    "new_flow_receiver_us",
    "new_flow_owner_us",
    "new_flow_replica_us",
)
_OWNER_STAGES = ("owner_path_receiver_us", "owner_path_owner_us")
# The SYN-ACK and both FINs of a flow are forwarded through the owner, as
# established packets are.
_OTHER_CONTROL_SEGMENTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Size and load of a deployment, and its control traffic budget.

    Attributes:
      members: Number of balancers.
      domains: Number of failure domains.
      service_sizes: Number of endpoints of each service.
      flows: Open flows of the whole deployment.
      new_flows_per_s: New flows per second at one balancer.
      changes_per_day: New versions of the document per day.
      restarts_per_day: Restarted and failed balancers per day.
      control_bytes_per_s: Budget of a balancer's control traffic.
      target_flows: Flows per target, and key of the measurements of targets.
      document_figure: Key of the measurements of documents.
      vm_list_figure: Key of the measurements of the VM list.
    """

    members: int
    domains: int
    service_sizes: tuple[int, ...]
    flows: int
    new_flows_per_s: float
    changes_per_day: float
    restarts_per_day: float
    control_bytes_per_s: float
    target_flows: int
    document_figure: int
    vm_list_figure: int

    @property
    def endpoints(self) -> int:
        """Number of endpoints of all services."""
        return sum(self.service_sizes)

    @property
    def targets(self) -> float:
        """Average number of targets that a balancer owns or replicates."""
        return self.endpoints * _ROLES_PER_TARGET / self.members

    @property
    def records(self) -> float:
        """Average number of flow records of a balancer."""
        return self.flows * _ROLES_PER_TARGET / self.members

    @property
    def document_readers(self) -> int:
        """Number of balancers that watch the platform's document."""
        return self.domains * daemon_const.READERS_PER_DOMAIN

    @property
    def mean_service_endpoints(self) -> float:
        """Average size of the service that an endpoint belongs to."""
        return sum(n * n for n in self.service_sizes) / self.endpoints

    @property
    def transmissions_per_entry(self) -> int:
        """Maximum number of times that a balancer sends a received entry."""
        retransmissions = control_const.RETRANSMIT_FACTOR * math.ceil(
            math.log2(self.members)
        )
        return control_const.FANOUT + retransmissions


TODAY = Deployment(
    members=fleets.TODAY_MEMBERS,
    domains=len(fleets.TODAY_DOMAINS),
    service_sizes=fleets.TODAY_SERVICES,
    flows=300_000,
    new_flows_per_s=2_000,
    changes_per_day=24,
    restarts_per_day=12,
    control_bytes_per_s=4_000,
    target_flows=30_000,
    document_figure=100,
    vm_list_figure=12,
)
PLANNED = Deployment(
    members=fleets.PLANNED_MEMBERS,
    domains=len(fleets.PLANNED_DOMAINS),
    service_sizes=tuple(fleets.list_service_sizes(fleets.PLANNED_ENDPOINTS)),
    flows=16_000_000,
    new_flows_per_s=44_000 / fleets.PLANNED_MEMBERS,
    changes_per_day=2_400,
    restarts_per_day=1_114,
    control_bytes_per_s=21_000,
    target_flows=3_478,
    document_figure=4_600,
    vm_list_figure=830,
)


class Measurements:
    """Gives access to the medians of the measurements."""

    def __init__(self, report: dict[str, Any]) -> None:
        self._report = report

    def get(self, name: str) -> float:
        """Returns the median of a measurement in its unit."""
        return self._report["measured"][name]["median"]

    def get_sum(self, names: tuple[str, ...]) -> float:
        """Returns the sum of the medians of several measurements."""
        return sum(map(self.get, names))

    def compute_gossip(self, name: str, members: int) -> float:
        """Returns a gossip measurement, fitted to a number of members."""
        line = self._report["gossip"][name]
        return line["intercept"] + line["slope"] * members


Compute = Callable[[Measurements, Deployment], float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table.

    Attributes:
      name: What the row shows.
      unit: Unit of the value.
      compute: Computes the value from measurements and a deployment.
      mechanism: The code or protocol that causes the cost.
      budget: The upper limit, or None for an informational row.
      at_least: Whether `budget` is a lower limit instead.
      assumption: Assumptions of the computation; empty if the value is a
        measurement multiplied by counts of the deployment.
    """

    name: str
    unit: str
    compute: Compute
    mechanism: str
    budget: Compute | None = None
    at_least: bool = False
    assumption: str = ""

    def fits(self, measurements: Measurements, deployment: Deployment) -> bool:
        """Returns whether the value is within the budget."""
        if self.budget is None:
            return True
        value = self.compute(measurements, deployment)
        limit = self.budget(measurements, deployment)
        return value >= limit if self.at_least else value <= limit


def _constant(limit: float) -> Compute:
    return lambda m, d: limit


def _to_cpu_percent(busy_us_per_s: float) -> float:
    return busy_us_per_s / 1e4


def _get_control_budget(
    measurements: Measurements, deployment: Deployment
) -> float:
    del measurements
    return deployment.control_bytes_per_s


_CPU_BUDGET = _constant(4.4)
_STALL_BUDGET_MS = _constant(_MAX_STALL_MS)


def _tick_cpu(m: Measurements, d: Deployment) -> float:
    tick_us = m.get(f"target_tick_us_{d.target_flows}")
    return _to_cpu_percent(d.targets * tick_us * _TICKS_PER_S)


def _document_change_ms(
    m: Measurements, d: Deployment, *, reader: bool
) -> float:
    names = ["check", "compare"]
    names += ["parse"] if reader else ["decode_difference", "apply_difference"]
    total_us = sum(
        m.get(f"document_{name}_us_{d.document_figure}") for name in names
    )
    apply_us = m.get("balancer_apply_document_us")
    apply_us *= d.endpoints / fleets.PLANNED_ENDPOINTS
    return (total_us + apply_us) / 1e3


def _member_update_us(m: Measurements, d: Deployment) -> float:
    share = d.endpoints / fleets.PLANNED_ENDPOINTS
    return m.get("balancer_update_members_us") * share


def _member_restart_us(m: Measurements, d: Deployment) -> float:
    share = d.endpoints / fleets.PLANNED_ENDPOINTS
    return m.get("balancer_restart_of_member_us") * share


def _vm_list_rate(m: Measurements, d: Deployment) -> float:
    size_bytes = m.get(f"vm_list_bytes_{d.vm_list_figure}")
    return size_bytes / daemon_const.VM_LIST_POLL_INTERVAL_S


def _vm_list_cpu(m: Measurements, d: Deployment) -> float:
    read_us = m.get(f"vm_list_read_us_{d.vm_list_figure}")
    return _to_cpu_percent(
        (read_us + _member_update_us(m, d))
        / daemon_const.VM_LIST_POLL_INTERVAL_S
    )


def _reader_rate(m: Measurements, d: Deployment) -> float:
    size_bytes = m.get(f"document_bytes_{d.document_figure}")
    return size_bytes * d.changes_per_day / _DAY_S


def _announcers(d: Deployment) -> int:
    return min(d.members, daemon_const.ANNOUNCERS_PER_DOMAIN * d.domains)


def _announce_bytes(m: Measurements, d: Deployment) -> float:
    entry_bytes = m.get("board_document_entry_bytes")
    return _announcers(d) * entry_bytes * d.transmissions_per_entry


def _announce_rate(m: Measurements, d: Deployment) -> float:
    return _announce_bytes(m, d) * d.changes_per_day / _DAY_S


def _mode_entries_per_day(d: Deployment) -> float:
    changed = d.endpoints / d.members * d.mean_service_endpoints
    return d.restarts_per_day * 2 * changed * 2


def _mode_rate(m: Measurements, d: Deployment) -> float:
    entry_bytes = m.get("board_mode_entry_bytes")
    return (
        _mode_entries_per_day(d)
        / _DAY_S
        * entry_bytes
        * d.transmissions_per_entry
    )


def _mode_cpu(m: Measurements, d: Deployment) -> float:
    entry_us = m.get_sum(("board_merge_us_per_entry", "set_mode_us"))
    return _to_cpu_percent(_mode_entries_per_day(d) / _DAY_S * entry_us)


def _gossip_rate(m: Measurements, d: Deployment) -> float:
    return m.compute_gossip("sent_bytes_per_s", d.members)


def _health_cpu(m: Measurements, d: Deployment) -> float:
    polls = d.endpoints / d.members / daemon_const.HEALTH_POLL_INTERVAL_S
    return _to_cpu_percent(polls * m.get("health_poll_us"))


def _periodic_checks_cpu(m: Measurements, d: Deployment) -> float:
    share = d.targets / PLANNED.targets
    parts_us = (
        m.get_sum(("tick_list_pulls_us", "tick_list_own_modes_us")) * share
    )
    parts_us += m.get("readers_rank_us") * d.members / d.domains / (830 / 4)
    return _to_cpu_percent(parts_us * _TICKS_PER_S)


def _pull_send_s(m: Measurements, d: Deployment) -> float:
    size_bytes = d.target_flows * m.get("pull_record_bytes")
    return size_bytes / d.control_bytes_per_s


def _board_entries(m: Measurements, d: Deployment) -> float:
    del m
    return 2 * d.endpoints + d.members + _announcers(d)


def _pull_bytes(m: Measurements, d: Deployment) -> float:
    return d.targets * d.target_flows * m.get("pull_record_bytes")


def _difference_send_s(m: Measurements, d: Deployment) -> float:
    reply_bytes = (
        m.get(f"document_difference_bytes_{d.document_figure}") + _REQUEST_BYTES
    )
    return d.members / _announcers(d) * reply_bytes / d.control_bytes_per_s


def _memory_megabytes(m: Measurements, d: Deployment) -> float:
    parts = (
        m.get("process_bytes"),
        m.get("balancer_memory_bytes") * d.endpoints / fleets.PLANNED_ENDPOINTS,
        m.get(f"document_memory_bytes_{d.document_figure}"),
        _board_entries(m, d) * m.get("board_memory_bytes_per_entry"),
        flow_const.REFRESH_SLOTS,
        d.targets * m.get("admission_bytes"),
        d.records * m.get("flow_record_bytes_300000"),
        _table_bytes(m, d),
    )
    return sum(parts) / _MEGABYTE_BYTES


def _table_bytes(m: Measurements, d: Deployment) -> float:
    return sum(m.get(f"table_bytes_{size}") for size in d.service_sizes)


def _largest_table_ms(m: Measurements, d: Deployment) -> float:
    return m.get(f"table_build_us_{max(d.service_sizes)}") / 1e3


def _new_flow_cpu(m: Measurements, d: Deployment) -> float:
    flow_us = m.get_sum(_SYN_STAGES)
    flow_us += _OTHER_CONTROL_SEGMENTS * m.get_sum(_OWNER_STAGES)
    return _to_cpu_percent(d.new_flows_per_s * flow_us)


def _control_cpu(m: Measurements, d: Deployment) -> float:
    changes = d.changes_per_day / _DAY_S
    restarts = d.restarts_per_day / _DAY_S
    return (
        _tick_cpu(m, d)
        + _vm_list_cpu(m, d)
        + _mode_cpu(m, d)
        + _health_cpu(m, d)
        + _periodic_checks_cpu(m, d)
        + max(0.0, m.compute_gossip("cpu_percent_per_member", d.members))
        + _to_cpu_percent(
            changes * _document_change_ms(m, d, reader=True) * 1e3
        )
        + _to_cpu_percent(restarts * _member_restart_us(m, d))
    )


def _control_bytes(m: Measurements, d: Deployment) -> float:
    return (
        _gossip_rate(m, d)
        + _mode_rate(m, d)
        + _announce_rate(m, d)
        + _vm_list_rate(m, d)
        + _reader_rate(m, d)
    )


TABLES: dict[str, tuple[Row, ...]] = {
    "receiver": (
        Row(
            name="packets per second per core, whole path in `DIRECT` mode",
            unit="packets/s",
            compute=lambda m, d: m.get("loopback_direct"),
            mechanism="`handle_packet`, `PacketPort`",
            budget=_constant(25_000),
            at_least=True,
        ),
        Row(
            name="packet in `DIRECT` mode, without sockets",
            unit="us",
            compute=lambda m, d: m.get("direct_packet_us"),
            mechanism="`Receiver.receive`",
        ),
        Row(
            name="packet through the owner, both balancers, without sockets",
            unit="us",
            compute=lambda m, d: m.get_sum(_OWNER_STAGES),
            mechanism="`RESOLVE`",
        ),
        Row(
            name="control segments of new flows, all three roles",
            unit="% of a core",
            compute=_new_flow_cpu,
            mechanism="`RESOLVE`, `CHAIN`, `ANSWER`",
            budget=_constant(100),
            assumption="SYN-ACK and both FINs cost as much as an established"
            " packet through the owner; roles are distributed evenly; no"
            " sockets",
        ),
        Row(
            name="filter for refreshed flows",
            unit="KB",
            compute=lambda m, d: flow_const.REFRESH_SLOTS / 1e3,
            mechanism="`RefreshFilter`, fixed size",
            assumption="one byte per slot",
        ),
        Row(
            name="routing tables, when all services are used",
            unit="MB",
            compute=lambda m, d: _table_bytes(m, d) / _MEGABYTE_BYTES,
            mechanism="`RoutingTable`, built on first use",
        ),
        Row(
            name="event loop blocked by building the largest table",
            unit="ms",
            compute=_largest_table_ms,
            mechanism="`_assign_buckets` in one call",
            budget=_STALL_BUDGET_MS,
        ),
    ),
    "owner": (
        Row(
            name="targets owned or replicated",
            unit="targets",
            compute=lambda m, d: d.targets,
            mechanism="`rank_owners`",
            assumption="even split over the balancers",
        ),
        Row(
            name="flow records, owned and replicated",
            unit="MB",
            compute=lambda m, d: (
                d.records * m.get("flow_record_bytes_300000") / _MEGABYTE_BYTES
            ),
            mechanism="`FlowTable`",
            assumption="even split over the balancers",
        ),
        Row(
            name="expiry of flow records",
            unit="% of a core",
            compute=_tick_cpu,
            mechanism="`TargetState.tick`, 10 times per second",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="health polls",
            unit="% of a core",
            compute=_health_cpu,
            mechanism="`HealthPoller`, each owned target once per second",
            budget=_CPU_BUDGET,
            assumption="the measurement includes the server's work",
        ),
        Row(
            name="checks of pulls, modes and the reader role",
            unit="% of a core",
            compute=_periodic_checks_cpu,
            mechanism="`Application._async_tick`, 10 times per second",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="time to serve one replica's pull",
            unit="ms of processor time",
            compute=lambda m, d: (
                d.target_flows * m.get(f"pull_read_us_{d.target_flows}") / 1e3
            ),
            mechanism="`TargetSet.read_flows`, pages of 256 records",
        ),
        Row(
            name="event loop blocked by one page of a pull",
            unit="ms",
            compute=lambda m, d: (
                256 * m.get(f"pull_read_us_{d.target_flows}") / 1e3
            ),
            mechanism="`heapq.nsmallest` over all records per page",
            budget=_STALL_BUDGET_MS,
        ),
    ),
    "replica": (
        Row(
            name="bytes that a restarted balancer pulls",
            unit="KB",
            compute=lambda m, d: _pull_bytes(m, d) / 1e3,
            mechanism="`FlowsReply`",
            assumption="even split over the balancers",
        ),
        Row(
            name="time to send one target's records at the control rate",
            unit="s",
            compute=_pull_send_s,
            mechanism="`ByteBudget` of the owner",
            budget=_constant(daemon_const.MAX_JOIN_S),
            assumption="the owner sends nothing else",
        ),
        Row(
            name="processing of pulled records",
            unit="us per record",
            compute=lambda m, d: m.get_sum(
                ("pull_decode_us", "pull_accept_us")
            ),
            mechanism="`accept_flows`",
        ),
        Row(
            name="replication of new and closed flows",
            unit="control B/s",
            compute=lambda m, d: 0.0,
            mechanism="`CHAIN` and `COPY` carry the packet itself",
            assumption="counted as data, not as control traffic",
        ),
    ),
    "granter": (
        Row(
            name="decision, admission and release of a flow",
            unit="us",
            compute=lambda m, d: m.get("admission_flow_us"),
            mechanism="`TargetAdmission`",
        ),
        Row(
            name="decisions",
            unit="% of a core",
            compute=lambda m, d: _to_cpu_percent(
                d.new_flows_per_s * m.get("admission_flow_us")
            ),
            mechanism="one decision per new flow",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="state",
            unit="KB",
            compute=lambda m, d: d.targets * m.get("admission_bytes") / 1e3,
            mechanism="one `TargetAdmission` per target",
        ),
        Row(
            name="grant messages",
            unit="B/s",
            compute=lambda m, d: 0.0,
            mechanism="one owner holds the whole limit of a target",
            budget=_get_control_budget,
            assumption="there are no grants",
        ),
        Row(
            name="mode entries after restarts",
            unit="B/s",
            compute=_mode_rate,
            mechanism="board entries `mode/<number>`",
            budget=_get_control_budget,
            assumption="a restart moves each owned target twice; each move"
            " withdraws and announces the modes of its whole service; every"
            " balancer sends each entry as often as the gossip limit allows",
        ),
        Row(
            name="mode entries after restarts",
            unit="% of a core",
            compute=_mode_cpu,
            mechanism="`Board.merge`, `Balancer.set_direct_mode`",
            budget=_CPU_BUDGET,
            assumption="as above",
        ),
    ),
    "documents": (
        Row(
            name="calls to the platform, all balancers",
            unit="calls/s",
            compute=lambda m, d: (
                d.members / daemon_const.VM_LIST_POLL_INTERVAL_S
                + d.document_readers / platform_const.WATCH_WAIT_S
            ),
            mechanism="VM list from every balancer, watch from readers",
            budget=_constant(2_000),
            assumption="no retries",
        ),
        Row(
            name="VM list",
            unit="B/s",
            compute=_vm_list_rate,
            mechanism="`_async_list_vms` in every balancer",
            budget=_get_control_budget,
        ),
        Row(
            name="VM list",
            unit="% of a core",
            compute=_vm_list_cpu,
            mechanism="parse, and `update_members` after each poll",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="documents read by a reader",
            unit="B/s",
            compute=_reader_rate,
            mechanism="`async_watch_document`, whole document for each version",
            budget=_get_control_budget,
        ),
        Row(
            name="VM list and documents of a reader",
            unit="B/s",
            compute=lambda m, d: _vm_list_rate(m, d) + _reader_rate(m, d),
            mechanism="both of the above",
            budget=_get_control_budget,
        ),
        Row(
            name="announcements of document versions",
            unit="B/s",
            compute=_announce_rate,
            mechanism="board entries `document`",
            budget=_get_control_budget,
            assumption="8 announcers per failure domain; every balancer sends"
            " each entry as often as the gossip limit allows",
        ),
        Row(
            name="announcements of one document version",
            unit="s at the control rate",
            compute=lambda m, d: _announce_bytes(m, d) / d.control_bytes_per_s,
            mechanism="as above",
            budget=_constant(8),
            assumption="as above",
        ),
        Row(
            name="distribution of one difference to all balancers",
            unit="s at the control rate",
            compute=_difference_send_s,
            mechanism="`DocumentReply` from the announcers",
            budget=_constant(8),
            assumption="the change affects the largest service; 200 B of"
            " headers; requests are distributed evenly over the announcers",
        ),
        Row(
            name="event loop of a reader blocked by a document",
            unit="ms",
            compute=lambda m, d: _document_change_ms(m, d, reader=True),
            mechanism="parse, check, compare, `apply_document`",
            budget=_STALL_BUDGET_MS,
        ),
        Row(
            name="event loop of another balancer blocked by a difference",
            unit="ms",
            compute=lambda m, d: _document_change_ms(m, d, reader=False),
            mechanism="apply, check, compare, `apply_document`",
            budget=_STALL_BUDGET_MS,
        ),
        Row(
            name="document size, against the platform's limit",
            unit="KB",
            compute=lambda m, d: (
                m.get(f"document_bytes_{d.document_figure}") / 1e3
            ),
            mechanism="JSON without spaces",
            budget=_constant(1_000),
        ),
    ),
    "member": (
        Row(
            name="gossip in steady state",
            unit="B/s",
            compute=_gossip_rate,
            mechanism="SWIM probes",
            budget=_get_control_budget,
        ),
        Row(
            name="gossip in steady state",
            unit="% of a core",
            compute=lambda m, d: max(
                0.0, m.compute_gossip("cpu_percent_per_member", d.members)
            ),
            mechanism="SWIM probes",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="known members",
            unit="members",
            compute=lambda m, d: (
                d.members
                + d.restarts_per_day / _DAY_S * member_const.DEAD_RETENTION_S
            ),
            mechanism="`Members`",
            budget=_constant(member_const.MAX_MEMBERS),
            assumption="every restart uses a new id",
        ),
        Row(
            name="board entries",
            unit="entries",
            compute=_board_entries,
            mechanism="modes of owner and former owner, ports, versions",
            budget=_constant(control_const.MAX_BOARD_ENTRIES),
            assumption="each endpoint has had two owners since their restarts",
        ),
        Row(
            name="restarts of other members",
            unit="% of a core",
            compute=lambda m, d: _to_cpu_percent(
                d.restarts_per_day / _DAY_S * _member_restart_us(m, d)
            ),
            mechanism="`Balancer.update_members`",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="simultaneous return of a failure domain",
            unit="s of processor time",
            compute=lambda m, d: (
                d.members / d.domains * _member_restart_us(m, d) / 2e6
            ),
            mechanism="one `update_members` per returning member",
            budget=_constant(30),
            assumption="half of the cost of a member's failure and return",
        ),
    ),
    "sum": (
        Row(
            name="control traffic of a reader",
            unit="B/s",
            compute=_control_bytes,
            mechanism="gossip, modes, announcements, VM list, documents",
            budget=_get_control_budget,
            assumption="sum of the rows above",
        ),
        Row(
            name="control CPU of a reader",
            unit="% of a core",
            compute=_control_cpu,
            mechanism="all rows in % of a core except those of data packets",
            budget=_CPU_BUDGET,
            assumption="sum of the rows above",
        ),
        Row(
            name="memory",
            unit="MB",
            compute=_memory_megabytes,
            mechanism="process, document, directory, board, records, tables",
            budget=_constant(128),
            assumption="sum of the parts; memory of libraries grows with use",
        ),
    ),
}


def format_table(rows: tuple[Row, ...], measurements: Measurements) -> str:
    """Returns the rows as a Markdown table."""
    lines = [
        "| row | unit | today | planned | budget | fits | mechanism | basis |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [_format_row(row, measurements) for row in rows]
    return "\n".join(lines)


def _format_row(row: Row, measurements: Measurements) -> str:
    values = [
        row.compute(measurements, deployment) for deployment in (TODAY, PLANNED)
    ]
    cells = (
        row.name,
        row.unit,
        *map(_format_number, values),
        _format_budget(row, measurements),
        _format_fit(row, measurements),
        row.mechanism,
        f"arithmetic: {row.assumption}" if row.assumption else "measured",
    )
    return f"| {' | '.join(cells)} |"


def _format_budget(row: Row, measurements: Measurements) -> str:
    if row.budget is None:
        return "-"
    limits = [
        _format_number(row.budget(measurements, deployment))
        for deployment in (TODAY, PLANNED)
    ]
    sign = ">= " if row.at_least else ""
    return sign + " / ".join(dict.fromkeys(limits))


def _format_fit(row: Row, measurements: Measurements) -> str:
    if row.budget is None:
        return "-"
    fits = [
        row.fits(measurements, deployment) for deployment in (TODAY, PLANNED)
    ]
    return " / ".join("yes" if each else "**no**" for each in fits)


def _format_number(value: float) -> str:
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:g}"


def format_exceeded_budgets(measurements: Measurements) -> str:
    """Returns a Markdown list of the rows that exceed their budgets."""
    lines = []
    for role, rows in TABLES.items():
        for row in rows:
            for name, deployment in (("today", TODAY), ("planned", PLANNED)):
                if row.fits(measurements, deployment):
                    continue
                value = _format_number(row.compute(measurements, deployment))
                limit = _format_number(row.budget(measurements, deployment))
                lines.append(
                    f"- {role}, {name}: {row.name}: {value} {row.unit},"
                    f" budget {limit}"
                )
    return "\n".join(lines)


def replace_tables(page: str, measurements: Measurements) -> str:
    """Returns the page with its tables computed from the measurements."""
    page = _replace_section(
        page, "misfits", format_exceeded_budgets(measurements)
    )
    for name, rows in TABLES.items():
        page = _replace_section(page, name, format_table(rows, measurements))
    return page


def _replace_section(page: str, name: str, content: str) -> str:
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, found, rest = page.partition(begin)
    _, closed, tail = rest.partition(end)
    if not found or not closed:
        raise ValueError(f"the page has no markers for section {name}")
    return f"{head}{begin}\n{content}\n{end}{tail}"


def load_measurements() -> Measurements:
    """Loads the committed measurements."""
    return Measurements(json.loads(FIGURES_PATH.read_text()))


def main() -> None:
    """Prints the exceeded budgets, and writes or checks the page."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    measurements = load_measurements()
    page = PAGE_PATH.read_text()
    expected = replace_tables(page, measurements)
    print(format_exceeded_budgets(measurements))
    if arguments.write:
        PAGE_PATH.write_text(expected)
    elif page != expected:
        sys.exit(
            f"{PAGE_PATH.name} does not match {FIGURES_PATH.name}; use --write"
        )


if __name__ == "__main__":
    main()
