"""Choice of the load reports that a balancer sends, and of their recipients.

Two candidates of a large domain collect the reports of its balancers and send
the sums back. The rate of messages of all other balancers thus does not depend
on the number of balancers. This module does no I/O.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from chivedoor.feed import peers as peer_sets
from chivedoor.steering import demand as demands


class LoadSource(Protocol):
    """Where the contents of this balancer's reports come from.

    Attributes:
        demand: Rates that this balancer observes.
    """

    demand: demands.Demand

    def list_capacity(
        self, now: float
    ) -> Mapping[ids.ServiceId, demands.Capacity]:
        """Returns the capacity of the local domain by service."""

    def decide_shares(
        self, now: float
    ) -> Mapping[ids.ServiceId, Mapping[ids.DomainId, float]]:
        """Returns the shares of new flows that leave the local domain."""


class LoadExchange:
    """Exchanges load reports within a domain and between domains."""

    def __init__(
        self,
        *,
        local: ids.VmId,
        domain: ids.DomainId,
        domains: Sequence[ids.DomainId],
        host: str,
        peers: peer_sets.Peers,
        reports: load_reports.LoadReports,
        source: LoadSource,
    ) -> None:
        """Creates an exchange without reports.

        Args:
            local: This balancer.
            domain: Its failure domain.
            domains: All failure domains of the deployment; empty if there is
                only one.
            host: The address of this balancer.
            peers: The known balancers.
            reports: Table to which reports are added.
            source: Contents of this balancer's reports.
        """
        self._local = local
        self._domain = domain
        self._domains = frozenset(domains)
        self._host = host
        self._peers = peers
        self._reports = reports
        self._source = source
        # The last sum without its position, and when it was made, in seconds.
        self._sum: bytes | None = None
        self._sum_made_at = 0.0

    def is_active(self) -> bool:
        """Returns whether this balancer sends load reports.

        In a small domain, heartbeats of all balancers reach all others. With
        one domain, there is no other one to send flows to.
        """
        return len(self._domains) > 1 and self._peers.is_large_domain()

    def list_messages(self, now: float) -> list[tuple[bytes, str]]:
        """Returns the messages that follow a heartbeat, with their hosts."""
        self._reports.expire(now)
        if not self.is_active():
            self._sum = None
            return []
        own = self._make_own(now)
        data = messages.encode_message(own)
        outgoing = [(data, peer.host) for peer in self._peers.list_candidates()]
        if not self._peers.is_reader_candidate():
            self._sum = None
            return outgoing
        return [*outgoing, *self._list_sums(own, now)]

    def make_answer(
        self, vm: ids.VmId, domain: ids.DomainId, now: float
    ) -> bytes | None:
        """Returns the last sum for a balancer that has just become known.

        None if it belongs to another domain, this balancer is no candidate or
        the sum has expired.
        """
        if (
            self._sum is None
            or domain != self._domain
            or now - self._sum_made_at > const.LOAD_REPORT_LIFETIME_S
        ):
            return None
        return messages.append_position(
            self._sum, bisect.bisect_left(self._list_members(now), vm)
        )

    def record(
        self, report: load_reports.LoadReport, sender: str, now: float
    ) -> list[str]:
        """Records a received report.

        Args:
            report: The report.
            sender: The address from which it arrived.
            now: The current time, in seconds.

        Returns:
            The hosts to which the message is to be forwarded.

        Raises:
            MalformedAnswerError: The report does not come from its balancer
                and was not forwarded by one of the local domain.
        """
        direct = report.host == sender
        local = report.domain == self._domain
        if not direct and (local or not self._peers.is_domain_host(sender)):
            raise exceptions.MalformedAnswerError("host")
        if report.vm == self._local or report.domain not in self._domains:
            return []
        if local or report.scope is load_reports.Scope.DOMAIN:
            self._reports.record(self._drop_unknown(report), now)
        if local:
            return []
        if direct:
            self._peers.record_heard(report.vm, report.host, now)
        if (
            not direct
            or report.scope is not load_reports.Scope.DOMAIN
            or not self.is_active()
            or self._peers.is_reader_candidate()
        ):
            return []
        return [peer.host for peer in self._peers.list_candidates()]

    def _list_sums(
        self, own: load_reports.LoadReport, now: float
    ) -> Iterator[tuple[bytes, str]]:
        """Returns the sums for the domain and for the others."""
        members = self._list_members(now)
        position = bisect.bisect_left(members, self._local)
        own = dataclasses.replace(
            own, capacity=self._source.list_capacity(now), position=position
        )
        # The shares are decided with the new sum in the table.
        former = self._reports.get_own_sum(now)
        total = self._reports.make_sum(
            own, former.shares if former else {}, now
        )
        self._reports.record(total, now)
        total = dataclasses.replace(
            total, shares=self._source.decide_shares(now)
        )
        self._reports.record(total, now)
        self._sum = messages.encode_load_report(total)
        self._sum_made_at = now
        for peer in self._peers.iterate_domain():
            position = bisect.bisect_left(members, peer.vm)
            yield messages.append_position(self._sum, position), peer.host
        remote = messages.append_position(self._sum, 0)
        for domain in self._domains - {self._domain}:
            for host in self._choose_remote_hosts(domain, now):
                yield remote, host

    def _choose_remote_hosts(
        self, domain: ids.DomainId, now: float
    ) -> list[str]:
        """Returns the recipients of a sum in another domain.

        A balancer often knows only the seeds of another domain, but the
        candidates of that domain send reports, which need no forwarding back.
        """
        hosts = dict.fromkeys(
            [
                *self._reports.list_hosts(domain, now),
                *(peer.host for peer in self._peers.choose_remote(domain)),
            ]
        )
        return list(hosts)[: const.REMOTE_REPORT_RECIPIENTS]

    def _list_members(self, now: float) -> list[ids.VmId]:
        """Returns the sorted ids of the live balancers of the domain."""
        return sorted(
            [self._local, *(peer.vm for peer in self._peers.list_live(now))]
        )

    def _make_own(self, now: float) -> load_reports.LoadReport:
        demand = self._source.demand
        return load_reports.LoadReport(
            vm=self._local,
            domain=self._domain,
            host=self._host,
            scope=load_reports.Scope.BALANCER,
            balancers=1,
            demand=demand.list_demand(now),
            capacity={},
            handshakes=demand.list_handshakes(now),
            transfers=demand.list_transfers(now),
            shares={},
            position=0,
        )

    def _drop_unknown(
        self, report: load_reports.LoadReport
    ) -> load_reports.LoadReport:
        """Returns a report without domains that are not in the settings.

        Unknown services are never asked for.
        """
        return dataclasses.replace(
            report,
            handshakes={
                domain: pair
                for domain, pair in report.handshakes.items()
                if domain in self._domains
            },
            shares={
                service: {
                    domain: share
                    for domain, share in shares.items()
                    if domain in self._domains
                }
                for service, shares in report.shares.items()
            },
        )
