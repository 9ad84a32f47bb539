"""Load reports of balancers and failure domains, and the table of them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import functools
from typing import TypeVar

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.steering import demand as demands

_Key = TypeVar("_Key", ids.ServiceId, ids.DomainId)


class Scope(enum.IntEnum):
    """What a report covers; the values are sent to other balancers."""

    BALANCER = 0
    DOMAIN = 1


class Transmission(enum.Enum):
    """What happened to a message with a load report."""

    SENT = "sent"
    RECEIVED = "received"
    FORWARDED = "forwarded"
    # Received from a balancer that may not send it.
    REJECTED = "rejected"
    # Not sent, because it does not fit into a datagram.
    TOO_LARGE = "too-large"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """Load that a balancer, or all balancers of a domain, observed.

    Attributes:
        vm: Id of the reporting balancer.
        domain: Its failure domain.
        host: Its address.
        scope: Whether the report covers the balancer or its domain.
        balancers: Number of balancers that are included.
        demand: Requests a second by service and priority. A refused flow counts
            as one.
        capacity: Capacity of the domain by service; empty for one balancer.
        handshakes: Completed handshakes by domain of the endpoint.
        transfers: Admitted flows and payload of callers by service.
        shares: Shares of new flows, from 0 to 1, that leave the domain, by
            service and destination; empty for one balancer.
        position: Index of the recipient among the sorted ids of the live
            balancers of the domain; 0 outside it.
    """

    vm: ids.VmId
    domain: ids.DomainId
    host: str
    scope: Scope
    balancers: int
    demand: Mapping[ids.ServiceId, Mapping[int, float]]
    capacity: Mapping[ids.ServiceId, demands.Capacity]
    handshakes: Mapping[ids.DomainId, demands.Handshakes]
    transfers: Mapping[ids.ServiceId, demands.Transfer]
    shares: Mapping[ids.ServiceId, Mapping[ids.DomainId, float]]
    position: int


class LoadReports:
    """Recent load reports, and what is known of each domain from them.

    In the local domain, the report of the first live candidate counts, so that
    all balancers apply the same shares. Of the reports of another domain, the
    one that includes the most balancers counts, because a candidate that has
    just started does not have all reports yet.
    """

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        list_candidates: Callable[[float], Sequence[ids.VmId]] | None = None,
    ) -> None:
        """Creates an empty table.

        Args:
            local: This balancer.
            domain: Its failure domain.
            list_candidates: Returns the live candidates of the local domain at
                a time in seconds, in the order in which their reports are used.
                None to treat the local domain like the others.
        """
        self._local = local
        self._domain = domain
        self._list_candidates = list_candidates
        # Reports with the time in seconds at which they arrived.
        self._balancers: dict[ids.VmId, tuple[float, LoadReport]] = {}
        self._sums: dict[
            ids.DomainId, dict[ids.VmId, tuple[float, LoadReport]]
        ] = collections.defaultdict(dict)
        # The report that counts for the local domain. It is asked for with each
        # new flow, and ranking the peers takes too long for that.
        self._chosen: tuple[float, LoadReport] | None = None

    def record(self, report: LoadReport, now: float) -> None:
        """Records a report; it replaces the last one of its balancer."""
        if report.scope is Scope.BALANCER:
            reports = self._balancers
            if report.domain != self._domain:
                return
        else:
            reports = self._sums[report.domain]
            if report.domain == self._domain:
                self._chosen = None
        if report.vm in reports or len(reports) < const.MAX_PEERS:
            reports[report.vm] = (now, report)

    def make_sum(
        self,
        own: LoadReport,
        shares: Mapping[ids.ServiceId, Mapping[ids.DomainId, float]],
        now: float,
    ) -> LoadReport:
        """Returns the sum of the recent reports of the domain's balancers.

        Args:
            own: The report of this balancer. Its capacity is that of the whole
                domain and is taken over instead of added up.
            shares: Shares of new flows that leave the domain.
            now: The current time, in seconds.
        """
        reports = [
            own,
            *(
                report
                for vm, report in _iterate_recent(self._balancers, now)
                if vm != self._local
            ),
        ]
        demand: dict[ids.ServiceId, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        for report in reports:
            for service, rates in report.demand.items():
                demand[service].update(rates)
        return dataclasses.replace(
            own,
            scope=Scope.DOMAIN,
            balancers=len(reports),
            demand={service: dict(rates) for service, rates in demand.items()},
            handshakes={
                domain: demands.Handshakes(*totals)
                for domain, totals in _add_pairs(
                    report.handshakes for report in reports
                ).items()
            },
            transfers={
                service: demands.Transfer(*totals)
                for service, totals in _add_pairs(
                    report.transfers for report in reports
                ).items()
            },
            shares=shares,
        )

    def get_domain(self, domain: ids.DomainId, now: float) -> LoadReport | None:
        """Returns the report that counts for a domain, None without any."""
        if domain != self._domain:
            sums = _list_ranked(self._sums.get(domain, {}), now)
            return sums[0] if sums else None
        if not self._is_chosen_recent(now):
            self._chosen = self._choose_local(now)
        return self._chosen and self._chosen[1]

    def get_own_sum(self, now: float) -> LoadReport | None:
        """Returns the recent sum that this balancer made as a candidate."""
        sums = self._sums.get(self._domain, {})
        return dict(_iterate_recent(sums, now)).get(self._local)

    def list_domains(self, now: float) -> dict[ids.DomainId, LoadReport]:
        """Returns the reports of all domains that have any."""
        return {
            domain: report
            for domain in tuple(self._sums)
            if (report := self.get_domain(domain, now)) is not None
        }

    def list_hosts(self, domain: ids.DomainId, now: float) -> list[str]:
        """Returns the addresses from which sums of a domain come."""
        return [
            report.host
            for report in _list_ranked(self._sums.get(domain, {}), now)
        ]

    def list_remote(self, now: float) -> dict[ids.DomainId, LoadReport]:
        """Returns the reports of the other domains.

        Candidates have them; another balancer only those that it forwarded.
        """
        reports = self.list_domains(now)
        reports.pop(self._domain, None)
        return reports

    def count_balancers(self, now: float) -> dict[ids.DomainId, int]:
        """Returns the number of live balancers of each reported domain."""
        return {
            domain: report.balancers
            for domain, report in self.list_domains(now).items()
        }

    def get_position(self, now: float) -> int | None:
        """Returns the index of this balancer in its domain, None if unknown.

        It is below the number of balancers only as long as the candidate hears
        from this balancer.
        """
        report = self.get_domain(self._domain, now)
        return None if report is None else report.position

    def list_demand(
        self, now: float
    ) -> Mapping[ids.ServiceId, Mapping[int, float]]:
        """Returns requests a second of the local domain.

        They are listed by service and priority; empty without a report.
        """
        report = self.get_domain(self._domain, now)
        return {} if report is None else report.demand

    def list_shares(
        self, service: ids.ServiceId, now: float
    ) -> Mapping[ids.DomainId, float]:
        """Returns the shares of new flows that leave the local domain.

        They are listed by destination; empty without a report.
        """
        report = self.get_domain(self._domain, now)
        return {} if report is None else report.shares.get(service, {})

    def peek_shares(
        self, service: ids.ServiceId, now: float
    ) -> Mapping[ids.DomainId, float] | None:
        """Returns what `list_shares` returns; None without a report.

        The choice of the report is not kept.
        """
        chosen = self._chosen
        if not self._is_chosen_recent(now):
            chosen = self._choose_local(now)
        return chosen and chosen[1].shares.get(service, {})

    def list_all_shares(
        self, now: float
    ) -> Mapping[ids.ServiceId, Mapping[ids.DomainId, float]]:
        """Returns the shares of new flows that leave the local domain.

        They are listed by service and destination; empty without a report.
        """
        report = self.get_domain(self._domain, now)
        return {} if report is None else report.shares

    def expire(self, now: float) -> None:
        """Removes reports that are older than `LOAD_REPORT_LIFETIME_S`."""
        for reports in (self._balancers, *self._sums.values()):
            recent = {vm for vm, _ in _iterate_recent(reports, now)}
            for vm in reports.keys() - recent:
                del reports[vm]

    def _is_chosen_recent(self, now: float) -> bool:
        oldest = now - const.LOAD_REPORT_LIFETIME_S
        return self._chosen is not None and self._chosen[0] >= oldest

    def _choose_local(self, now: float) -> tuple[float, LoadReport] | None:
        sums = self._sums.get(self._domain)
        recent = dict(_iterate_recent(sums, now)) if sums else {}
        if not sums or not recent:
            return None
        if self._list_candidates is None:
            return sums[_list_ranked(sums, now)[0].vm]
        first = next(
            (vm for vm in self._list_candidates(now) if vm in recent), None
        )
        return None if first is None else sums[first]


def _list_ranked(
    sums: Mapping[ids.VmId, tuple[float, LoadReport]], now: float
) -> list[LoadReport]:
    """Returns the recent sums, those of most balancers first."""
    return sorted(
        (report for _, report in _iterate_recent(sums, now)),
        key=lambda report: (-report.balancers, report.vm),
    )


def _iterate_recent(
    reports: Mapping[ids.VmId, tuple[float, LoadReport]], now: float
) -> Iterator[tuple[ids.VmId, LoadReport]]:
    oldest = now - const.LOAD_REPORT_LIFETIME_S
    return (
        (vm, report) for vm, (at, report) in reports.items() if at >= oldest
    )


def _add_pairs(
    reports: Iterable[Mapping[_Key, tuple[float, float]]],
) -> dict[_Key, tuple[float, float]]:
    """Returns the sums of pairs by key."""
    pairs: dict[_Key, list[tuple[float, float]]] = collections.defaultdict(list)
    for report in reports:
        for key, pair in report.items():
            pairs[key].append(pair)
    return {
        key: functools.reduce(
            lambda total, pair: (total[0] + pair[0], total[1] + pair[1]), values
        )
        for key, values in pairs.items()
    }
