"""Builders of records, peers and heartbeats."""

import asyncio
import random

import pytest

from chivedoor import ids
from chivedoor.feed import exceptions
from chivedoor.feed import load_reports
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.steering import delays
from chivedoor.steering import demand as demands

DOMAIN = ids.DomainId("a")
SERVICE = ids.ServiceId("orders")


def make_revision(number: int, era: int = 1) -> records.Revision:
    return records.Revision(era=ids.Era(era), number=number)


def make_record(
    key: str, value: bytes | None, revision: int, era: int = 1
) -> records.Record:
    return records.Record(
        key=key, value=value, revision=make_revision(revision, era)
    )


def make_batch(
    *items: records.Record, revision: int, era: int = 1, complete: bool = False
) -> records.Batch:
    return records.Batch(
        records=items, revision=make_revision(revision, era), complete=complete
    )


def make_heartbeat(
    number: int,
    *,
    read_age_s: float | None = 0.1,
    bandwidth_mbps: float = 100.0,
    leaving: bool = False,
    domain: ids.DomainId = DOMAIN,
    host: str | None = None,
) -> peer_sets.Heartbeat:
    return peer_sets.Heartbeat(
        vm=ids.VmId(f"vm-{number}"),
        domain=domain,
        host=host or f"10.0.0.{number}",
        incarnation=1,
        bandwidth_mbps=bandwidth_mbps,
        read_age_s=read_age_s,
        revision=1,
        leaving=leaving,
        in_flight={},
        summed=False,
        suspects={},
        stalled={},
        delays={
            ids.EndpointId("i-1"): delays.DelaySums(
                requests=2.5,
                delay_s=0.25,
                slow_delay_s=0.125,
                squared_delay_s2=0.0625,
                weighted_load_s=0.5,
            )
        },
        refusals={ids.EndpointId("i-2"): [1700, 250]},
    )


def make_address(
    number: int,
    bandwidth_mbps: float = 100.0,
    domain: ids.DomainId = DOMAIN,
) -> peer_sets.PeerAddress:
    return peer_sets.PeerAddress(
        vm=ids.VmId(f"vm-{number}"),
        domain=domain,
        host=f"10.0.0.{number}",
        bandwidth_mbps=bandwidth_mbps,
    )


def make_peers(
    number: int = 0,
    *,
    bandwidth_mbps: float = 100.0,
    domain: ids.DomainId = DOMAIN,
) -> peer_sets.Peers:
    return peer_sets.Peers(
        local=ids.VmId(f"vm-{number}"),
        domain=domain,
        host=f"10.0.0.{number}",
        bandwidth_mbps=bandwidth_mbps,
        generator=random.Random(1),
    )


class Source:
    """A source with canned answers.

    Attributes:
        answers: Results or exceptions of the next calls; if empty, calls wait.
        calls: Numbers of the requested revisions; None for pages of a full
            read.
        pages: Keys after which pages were requested.
        closed: Number of calls of `close`.
        transfer_s: Duration of the transfer of each response.
    """

    def __init__(self) -> None:
        self.answers: list[
            records.Batch | records.Page | exceptions.FeedError
        ] = []
        self.calls: list[int | None] = []
        self.pages: list[str] = []
        self.closed = 0
        self.transfer_s = 0.0

    async def async_read_page(self, after: str) -> records.Page:
        self.pages.append(after)
        answer = await self._async_answer(None)
        if isinstance(answer, records.Page):
            return answer
        return records.Page(
            records=answer.records, revision=answer.revision, has_more=False
        )

    async def async_wait(
        self, after: records.Revision, wait_s: float
    ) -> records.Batch:
        return await self._async_answer(after.number)

    def close(self) -> None:
        self.closed += 1

    async def _async_answer(
        self, number: int | None
    ) -> records.Batch | records.Page:
        self.calls.append(number)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, exceptions.FeedError):
            raise answer
        return answer


@pytest.fixture
def source() -> Source:
    return Source()


def make_load_report(
    number: int,
    *,
    domain: str = "a",
    scope: load_reports.Scope = load_reports.Scope.BALANCER,
    balancers: int = 1,
    shares: dict[ids.ServiceId, dict[ids.DomainId, float]] | None = None,
    position: int = 0,
) -> load_reports.LoadReport:
    """Returns a report whose numbers survive encoding unchanged."""
    return load_reports.LoadReport(
        vm=ids.VmId(f"vm-{number}"),
        domain=ids.DomainId(domain),
        host=f"10.0.0.{number}",
        scope=scope,
        balancers=balancers,
        demand={SERVICE: {0: 2.5, 3: 0.25}},
        capacity={SERVICE: demands.Capacity(800.5, 12.0)},
        handshakes={ids.DomainId("b"): demands.Handshakes(4.0, 0.0625)},
        transfers={SERVICE: demands.Transfer(2.5, 1200)},
        shares=shares or {},
        position=position,
    )
