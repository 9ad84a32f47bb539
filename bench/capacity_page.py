"""Computes the tables of docs/CAPACITY.md from docs/capacity.json.

python -m bench.capacity_page [--write]

Without `--write` the command prints the tables and fails when the page does
not show them.
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
FIGURES = _ROOT / "docs" / "capacity.json"
PAGE = _ROOT / "docs" / "CAPACITY.md"
_DAY_S = 86_400.0
_MEGABYTE = 1e6
# A loop that stands still for longer misses the answers to its probes.
_STALL_MS = 1000 * member_const.PROBE_TIMEOUT_S
_REQUEST_BYTES = 200
_TICKS_PER_S = 1 / daemon_const.TICK_INTERVAL_S
_ROLES_PER_TARGET = 2
_SYN_STAGES = (
    "new_flow_receiver_us",
    "new_flow_owner_us",
    "new_flow_replica_us",
)
_OWNER_STAGES = ("owner_path_receiver_us", "owner_path_owner_us")
# SYN-ACK and both FINs of a flow pass the owner like established packets.
_OTHER_CONTROL_SEGMENTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """One of the two deployments, and the budgets of its rows.

    Attributes:
      service_sizes: Endpoints of each service.
      flows: Open flows of the whole deployment.
      new_flows_per_s: New flows a second at one balancer.
      changes_per_day: New versions of the document.
      restarts_per_day: Restarted and failed balancers.
      control_bytes_per_s: Budget of a balancer's control traffic.
      names: Keys of the figures that depend on the size.
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
        """Endpoints of all services."""
        return sum(self.service_sizes)

    @property
    def targets(self) -> float:
        """Targets that a balancer owns or replicates, on average."""
        return self.endpoints * _ROLES_PER_TARGET / self.members

    @property
    def records(self) -> float:
        """Flow records of a balancer, on average."""
        return self.flows * _ROLES_PER_TARGET / self.members

    @property
    def readers(self) -> int:
        """Balancers that watch the platform's document."""
        return self.domains * daemon_const.READERS_PER_DOMAIN

    @property
    def modes_per_change(self) -> float:
        """Endpoints of the service of an endpoint, on average."""
        return sum(n * n for n in self.service_sizes) / self.endpoints

    @property
    def copies(self) -> int:
        """Times that a balancer may send an entry that it heard of."""
        retransmissions = control_const.RETRANSMIT_FACTOR * math.ceil(
            math.log2(self.members)
        )
        return control_const.FANOUT + retransmissions


TODAY = Size(
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
PLANNED = Size(
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


class Figures:
    """Medians of the measurements."""

    def __init__(self, report: dict[str, Any]) -> None:
        self._report = report

    def get(self, name: str) -> float:
        """Returns the median of a figure in its unit."""
        return self._report["measured"][name]["median"]

    def add(self, names: tuple[str, ...]) -> float:
        """Returns the sum of several medians."""
        return sum(map(self.get, names))

    def gossip(self, name: str, members: int) -> float:
        """Returns a figure of the gossip at a number of members."""
        line = self._report["gossip"][name]
        return line["intercept"] + line["slope"] * members


Compute = Callable[[Figures, Size], float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table.

    Attributes:
      budget: The upper limit, or None for a row that only informs.
      at_least: Whether `budget` is a lower limit instead.
      assumption: What the arithmetic assumes; empty for a row that is a
        measured figure times counts of the deployment.
    """

    name: str
    unit: str
    compute: Compute
    mechanism: str
    budget: Compute | None = None
    at_least: bool = False
    assumption: str = ""

    def fits(self, figures: Figures, size: Size) -> bool:
        """Returns whether the row stays within its budget."""
        if self.budget is None:
            return True
        value = self.compute(figures, size)
        limit = self.budget(figures, size)
        return value >= limit if self.at_least else value <= limit


def _fixed(limit: float) -> Compute:
    return lambda f, s: limit


def _cpu(busy_us_per_s: float) -> float:
    return busy_us_per_s / 1e4


def _control_rate(figures: Figures, size: Size) -> float:
    del figures
    return size.control_bytes_per_s


_CPU_BUDGET = _fixed(4.4)
_STALL_BUDGET = _fixed(_STALL_MS)


def _tick_cpu(f: Figures, s: Size) -> float:
    tick_us = f.get(f"target_tick_us_{s.target_flows}")
    return _cpu(s.targets * tick_us * _TICKS_PER_S)


def _change_ms(f: Figures, s: Size, *, reader: bool) -> float:
    names = ["check", "compare"]
    names += ["parse"] if reader else ["decode_difference", "apply_difference"]
    total_us = sum(
        f.get(f"document_{name}_us_{s.document_figure}") for name in names
    )
    apply_us = f.get("balancer_apply_document_us")
    apply_us *= s.endpoints / fleets.PLANNED_ENDPOINTS
    return (total_us + apply_us) / 1e3


def _update_us(f: Figures, s: Size) -> float:
    share = s.endpoints / fleets.PLANNED_ENDPOINTS
    return f.get("balancer_update_members_us") * share


def _restart_us(f: Figures, s: Size) -> float:
    share = s.endpoints / fleets.PLANNED_ENDPOINTS
    return f.get("balancer_restart_of_member_us") * share


def _vm_list_rate(f: Figures, s: Size) -> float:
    size_bytes = f.get(f"vm_list_bytes_{s.vm_list_figure}")
    return size_bytes / daemon_const.VM_LIST_POLL_INTERVAL_S


def _vm_list_cpu(f: Figures, s: Size) -> float:
    read_us = f.get(f"vm_list_read_us_{s.vm_list_figure}")
    return _cpu(
        (read_us + _update_us(f, s)) / daemon_const.VM_LIST_POLL_INTERVAL_S
    )


def _reader_rate(f: Figures, s: Size) -> float:
    size_bytes = f.get(f"document_bytes_{s.document_figure}")
    return size_bytes * s.changes_per_day / _DAY_S


def _announcers(s: Size) -> int:
    return min(s.members, daemon_const.ANNOUNCERS_PER_DOMAIN * s.domains)


def _announce_bytes(f: Figures, s: Size) -> float:
    entry_bytes = f.get("board_document_entry_bytes")
    return _announcers(s) * entry_bytes * s.copies


def _announce_rate(f: Figures, s: Size) -> float:
    return _announce_bytes(f, s) * s.changes_per_day / _DAY_S


def _mode_entries_per_day(s: Size) -> float:
    changed = s.endpoints / s.members * s.modes_per_change
    return s.restarts_per_day * 2 * changed * 2


def _mode_rate(f: Figures, s: Size) -> float:
    entry_bytes = f.get("board_mode_entry_bytes")
    return _mode_entries_per_day(s) / _DAY_S * entry_bytes * s.copies


def _mode_cpu(f: Figures, s: Size) -> float:
    entry_us = f.add(("board_merge_us_per_entry", "set_mode_us"))
    return _cpu(_mode_entries_per_day(s) / _DAY_S * entry_us)


def _gossip_rate(f: Figures, s: Size) -> float:
    return f.gossip("sent_bytes_per_s", s.members)


def _health_cpu(f: Figures, s: Size) -> float:
    polls = s.endpoints / s.members / daemon_const.HEALTH_POLL_INTERVAL_S
    return _cpu(polls * f.get("health_poll_us"))


def _loop_cpu(f: Figures, s: Size) -> float:
    share = s.targets / PLANNED.targets
    parts_us = f.add(("tick_list_pulls_us", "tick_list_own_modes_us")) * share
    parts_us += f.get("readers_rank_us") * s.members / s.domains / (830 / 4)
    return _cpu(parts_us * _TICKS_PER_S)


def _pull_seconds(f: Figures, s: Size) -> float:
    size_bytes = s.target_flows * f.get("pull_record_bytes")
    return size_bytes / s.control_bytes_per_s


def _board_entries(f: Figures, s: Size) -> float:
    del f
    return 2 * s.endpoints + s.members + _announcers(s)


def _pull_bytes(f: Figures, s: Size) -> float:
    return s.targets * s.target_flows * f.get("pull_record_bytes")


def _distribute_seconds(f: Figures, s: Size) -> float:
    reply_bytes = (
        f.get(f"document_difference_bytes_{s.document_figure}") + _REQUEST_BYTES
    )
    return s.members / _announcers(s) * reply_bytes / s.control_bytes_per_s


def _memory(f: Figures, s: Size) -> float:
    parts = (
        f.get("process_bytes"),
        f.get("balancer_memory_bytes") * s.endpoints / fleets.PLANNED_ENDPOINTS,
        f.get(f"document_memory_bytes_{s.document_figure}"),
        _board_entries(f, s) * f.get("board_memory_bytes_per_entry"),
        flow_const.REFRESH_SLOTS,
        s.targets * f.get("admission_bytes"),
        s.records * f.get("flow_record_bytes_300000"),
        _table_bytes(f, s),
    )
    return sum(parts) / _MEGABYTE


def _table_bytes(f: Figures, s: Size) -> float:
    return sum(f.get(f"table_bytes_{size}") for size in s.service_sizes)


def _largest_table_ms(f: Figures, s: Size) -> float:
    return f.get(f"table_build_us_{max(s.service_sizes)}") / 1e3


def _new_flow_cpu(f: Figures, s: Size) -> float:
    flow_us = f.add(_SYN_STAGES)
    flow_us += _OTHER_CONTROL_SEGMENTS * f.add(_OWNER_STAGES)
    return _cpu(s.new_flows_per_s * flow_us)


def _control_cpu(f: Figures, s: Size) -> float:
    changes = s.changes_per_day / _DAY_S
    restarts = s.restarts_per_day / _DAY_S
    return (
        _tick_cpu(f, s)
        + _vm_list_cpu(f, s)
        + _mode_cpu(f, s)
        + _health_cpu(f, s)
        + _loop_cpu(f, s)
        + max(0.0, f.gossip("cpu_percent_per_member", s.members))
        + _cpu(changes * _change_ms(f, s, reader=True) * 1e3)
        + _cpu(restarts * _restart_us(f, s))
    )


def _control_bytes(f: Figures, s: Size) -> float:
    return (
        _gossip_rate(f, s)
        + _mode_rate(f, s)
        + _announce_rate(f, s)
        + _vm_list_rate(f, s)
        + _reader_rate(f, s)
    )


TABLES: dict[str, tuple[Row, ...]] = {
    "receiver": (
        Row(
            name="packets a second a core, whole path in `DIRECT` mode",
            unit="packets/s",
            compute=lambda f, s: f.get("loopback_direct"),
            mechanism="`handle_packet`, `PacketPort`",
            budget=_fixed(25_000),
            at_least=True,
        ),
        Row(
            name="packet in `DIRECT` mode, without sockets",
            unit="us",
            compute=lambda f, s: f.get("direct_packet_us"),
            mechanism="`Receiver.receive`",
        ),
        Row(
            name="packet through the owner, both balancers, without sockets",
            unit="us",
            compute=lambda f, s: f.add(_OWNER_STAGES),
            mechanism="`RESOLVE`",
        ),
        Row(
            name="control segments of new flows, all three roles",
            unit="% of a core",
            compute=_new_flow_cpu,
            mechanism="`RESOLVE`, `CHAIN`, `ANSWER`",
            budget=_fixed(100),
            assumption="SYN-ACK and both FINs cost as much as an established"
            " packet through the owner; roles are spread evenly; no sockets",
        ),
        Row(
            name="filter of refreshed flows",
            unit="KB",
            compute=lambda f, s: flow_const.REFRESH_SLOTS / 1e3,
            mechanism="`RefreshFilter`, fixed size",
            assumption="one byte a slot",
        ),
        Row(
            name="routing tables, when all services are used",
            unit="MB",
            compute=lambda f, s: _table_bytes(f, s) / _MEGABYTE,
            mechanism="`RoutingTable`, built at first use",
        ),
        Row(
            name="stall of the loop by the largest table",
            unit="ms",
            compute=_largest_table_ms,
            mechanism="`_assign_buckets` in one call",
            budget=_STALL_BUDGET,
        ),
    ),
    "owner": (
        Row(
            name="targets owned or replicated",
            unit="targets",
            compute=lambda f, s: s.targets,
            mechanism="`rank_owners`",
            assumption="even split over the balancers",
        ),
        Row(
            name="flow records, owned and replicated",
            unit="MB",
            compute=lambda f, s: (
                s.records * f.get("flow_record_bytes_300000") / _MEGABYTE
            ),
            mechanism="`FlowTable`",
            assumption="even split over the balancers",
        ),
        Row(
            name="expiry of records",
            unit="% of a core",
            compute=_tick_cpu,
            mechanism="`TargetOwner.tick`, 10 times a second",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="health polls",
            unit="% of a core",
            compute=_health_cpu,
            mechanism="`HealthPoller`, each owned target once a second",
            budget=_CPU_BUDGET,
            assumption="the measurement includes the server's part",
        ),
        Row(
            name="checks of pulls, modes and the reader role",
            unit="% of a core",
            compute=_loop_cpu,
            mechanism="`Application._async_tick`, 10 times a second",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="time to serve one replica's pull",
            unit="ms of processor time",
            compute=lambda f, s: (
                s.target_flows * f.get(f"pull_read_us_{s.target_flows}") / 1e3
            ),
            mechanism="`TargetSet.read_flows`, pages of 256 records",
        ),
        Row(
            name="stall of the loop by one page of a pull",
            unit="ms",
            compute=lambda f, s: (
                256 * f.get(f"pull_read_us_{s.target_flows}") / 1e3
            ),
            mechanism="`heapq.nsmallest` over all records for each page",
            budget=_STALL_BUDGET,
        ),
    ),
    "replica": (
        Row(
            name="bytes that a restarted balancer pulls",
            unit="KB",
            compute=lambda f, s: _pull_bytes(f, s) / 1e3,
            mechanism="`FlowsReply`",
            assumption="even split over the balancers",
        ),
        Row(
            name="time to send one target's records at the control rate",
            unit="s",
            compute=_pull_seconds,
            mechanism="`ByteBudget` of the owner",
            budget=_fixed(daemon_const.MAX_JOIN_S),
            assumption="the owner sends nothing else",
        ),
        Row(
            name="records taken from replies",
            unit="us a record",
            compute=lambda f, s: f.add(("pull_decode_us", "pull_accept_us")),
            mechanism="`accept_flows`",
        ),
        Row(
            name="copies of new and closed flows",
            unit="control B/s",
            compute=lambda f, s: 0.0,
            mechanism="`CHAIN` and `COPY` carry the packet itself",
            assumption="counted as data, not as control",
        ),
    ),
    "granter": (
        Row(
            name="decision on a new flow, count and release",
            unit="us",
            compute=lambda f, s: f.get("admission_flow_us"),
            mechanism="`TargetAdmission`",
        ),
        Row(
            name="decisions",
            unit="% of a core",
            compute=lambda f, s: _cpu(
                s.new_flows_per_s * f.get("admission_flow_us")
            ),
            mechanism="one decision for each new flow",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="state",
            unit="KB",
            compute=lambda f, s: s.targets * f.get("admission_bytes") / 1e3,
            mechanism="one `TargetAdmission` a target",
        ),
        Row(
            name="messages for grants",
            unit="B/s",
            compute=lambda f, s: 0.0,
            mechanism="one owner holds the whole limit of a target",
            budget=_control_rate,
            assumption="no grants exist",
        ),
        Row(
            name="mode entries after restarts",
            unit="B/s",
            compute=_mode_rate,
            mechanism="board entries `mode/<number>`",
            budget=_control_rate,
            assumption="a restart moves each owned target twice; each move"
            " withdraws and announces the modes of its whole service; every"
            " balancer sends each entry as often as the gossip allows",
        ),
        Row(
            name="mode entries after restarts",
            unit="% of a core",
            compute=_mode_cpu,
            mechanism="`Board.merge`, `Balancer.set_mode`",
            budget=_CPU_BUDGET,
            assumption="as above",
        ),
    ),
    "documents": (
        Row(
            name="calls on the platform, all readers",
            unit="calls/s",
            compute=lambda f, s: (
                s.members / daemon_const.VM_LIST_POLL_INTERVAL_S
                + s.readers / platform_const.WATCH_WAIT_S
            ),
            mechanism="VM list from every balancer, watch from readers",
            budget=_fixed(2_000),
            assumption="no retries",
        ),
        Row(
            name="VM list",
            unit="B/s",
            compute=_vm_list_rate,
            mechanism="`_async_list_vms` in every balancer",
            budget=_control_rate,
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
            mechanism="`async_watch_document`, whole document each time",
            budget=_control_rate,
        ),
        Row(
            name="VM list and documents of a reader",
            unit="B/s",
            compute=lambda f, s: _vm_list_rate(f, s) + _reader_rate(f, s),
            mechanism="both of the above",
            budget=_control_rate,
        ),
        Row(
            name="announcements of versions",
            unit="B/s",
            compute=_announce_rate,
            mechanism="board entries `document`",
            budget=_control_rate,
            assumption="8 announcers a failure domain; every balancer sends"
            " each entry as often as the gossip allows",
        ),
        Row(
            name="announcements of one version",
            unit="s at the control rate",
            compute=lambda f, s: _announce_bytes(f, s) / s.control_bytes_per_s,
            mechanism="as above",
            budget=_fixed(8),
            assumption="as above",
        ),
        Row(
            name="sending one difference to all",
            unit="s at the control rate",
            compute=_distribute_seconds,
            mechanism="`DocumentReply` from the announcers",
            budget=_fixed(8),
            assumption="the change concerns the largest service; 200 B of"
            " headers; the requests are spread evenly over the announcers",
        ),
        Row(
            name="stall of a reader's loop by a document",
            unit="ms",
            compute=lambda f, s: _change_ms(f, s, reader=True),
            mechanism="parse, check, compare, `apply_document`",
            budget=_STALL_BUDGET,
        ),
        Row(
            name="stall of any other loop by a difference",
            unit="ms",
            compute=lambda f, s: _change_ms(f, s, reader=False),
            mechanism="apply, check, compare, `apply_document`",
            budget=_STALL_BUDGET,
        ),
        Row(
            name="document against the platform's limit",
            unit="KB",
            compute=lambda f, s: (
                f.get(f"document_bytes_{s.document_figure}") / 1e3
            ),
            mechanism="JSON without spaces",
            budget=_fixed(1_000),
        ),
    ),
    "member": (
        Row(
            name="gossip without events",
            unit="B/s",
            compute=_gossip_rate,
            mechanism="SWIM probes",
            budget=_control_rate,
        ),
        Row(
            name="gossip without events",
            unit="% of a core",
            compute=lambda f, s: max(
                0.0, f.gossip("cpu_percent_per_member", s.members)
            ),
            mechanism="SWIM probes",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="members known",
            unit="members",
            compute=lambda f, s: (
                s.members
                + s.restarts_per_day / _DAY_S * member_const.DEAD_RETENTION_S
            ),
            mechanism="`Members`",
            budget=_fixed(member_const.MAX_MEMBERS),
            assumption="every restart has a new id",
        ),
        Row(
            name="board entries",
            unit="entries",
            compute=_board_entries,
            mechanism="modes of owner and former owner, ports, versions",
            budget=_fixed(control_const.MAX_BOARD_ENTRIES),
            assumption="each endpoint had two owners since their restarts",
        ),
        Row(
            name="restarts of other members",
            unit="% of a core",
            compute=lambda f, s: _cpu(
                s.restarts_per_day / _DAY_S * _restart_us(f, s)
            ),
            mechanism="`Balancer.update_members`",
            budget=_CPU_BUDGET,
        ),
        Row(
            name="return of a failure domain at once",
            unit="s of processor time",
            compute=lambda f, s: (
                s.members / s.domains * _restart_us(f, s) / 2e6
            ),
            mechanism="one `update_members` for each returning member",
            budget=_fixed(30),
            assumption="half of the cost of losing and regaining a member",
        ),
    ),
    "sum": (
        Row(
            name="control traffic of a reader",
            unit="B/s",
            compute=_control_bytes,
            mechanism="gossip, modes, announcements, VM list, documents",
            budget=_control_rate,
            assumption="sum of the rows above",
        ),
        Row(
            name="control work of a reader",
            unit="% of a core",
            compute=_control_cpu,
            mechanism="all rows in % of a core but those of data packets",
            budget=_CPU_BUDGET,
            assumption="sum of the rows above",
        ),
        Row(
            name="memory",
            unit="MB",
            compute=_memory,
            mechanism="process, document, directory, board, records, tables",
            budget=_fixed(128),
            assumption="sum of the parts; libraries grow with use",
        ),
    ),
}


def format_table(rows: tuple[Row, ...], figures: Figures) -> str:
    """Returns a table in Markdown."""
    lines = [
        "| row | unit | today | planned | budget | fits | mechanism | basis |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [_format_row(row, figures) for row in rows]
    return "\n".join(lines)


def _format_row(row: Row, figures: Figures) -> str:
    values = [row.compute(figures, size) for size in (TODAY, PLANNED)]
    cells = (
        row.name,
        row.unit,
        *map(_format_number, values),
        _format_budget(row, figures),
        _format_fit(row, figures),
        row.mechanism,
        f"arithmetic: {row.assumption}" if row.assumption else "measured",
    )
    return f"| {' | '.join(cells)} |"


def _format_budget(row: Row, figures: Figures) -> str:
    if row.budget is None:
        return "-"
    limits = [
        _format_number(row.budget(figures, size)) for size in (TODAY, PLANNED)
    ]
    sign = ">= " if row.at_least else ""
    return sign + " / ".join(dict.fromkeys(limits))


def _format_fit(row: Row, figures: Figures) -> str:
    if row.budget is None:
        return "-"
    fits = [row.fits(figures, size) for size in (TODAY, PLANNED)]
    return " / ".join("yes" if each else "**no**" for each in fits)


def _format_number(value: float) -> str:
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:g}"


def format_misfits(figures: Figures) -> str:
    """Returns the list of the rows that do not fit."""
    lines = []
    for role, rows in TABLES.items():
        for row in rows:
            for name, size in (("today", TODAY), ("planned", PLANNED)):
                if row.fits(figures, size):
                    continue
                value = _format_number(row.compute(figures, size))
                limit = _format_number(row.budget(figures, size))
                lines.append(
                    f"- {role}, {name}: {row.name}: {value} {row.unit},"
                    f" budget {limit}"
                )
    return "\n".join(lines)


def write_tables(page: str, figures: Figures) -> str:
    """Returns the page with the tables of these figures."""
    page = _replace(page, "misfits", format_misfits(figures))
    for name, rows in TABLES.items():
        page = _replace(page, name, format_table(rows, figures))
    return page


def _replace(page: str, name: str, content: str) -> str:
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, found, rest = page.partition(begin)
    _, closed, tail = rest.partition(end)
    if not found or not closed:
        raise ValueError(f"the page has no markers of {name}")
    return f"{head}{begin}\n{content}\n{end}{tail}"


def load_figures() -> Figures:
    """Returns the committed measurements."""
    return Figures(json.loads(FIGURES.read_text()))


def main() -> None:
    """Prints the tables, and writes or checks the page."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    figures = load_figures()
    page = PAGE.read_text()
    expected = write_tables(page, figures)
    print(format_misfits(figures))
    if arguments.write:
        PAGE.write_text(expected)
    elif page != expected:
        sys.exit(f"{PAGE.name} does not show the figures of {FIGURES.name}")


if __name__ == "__main__":
    main()
