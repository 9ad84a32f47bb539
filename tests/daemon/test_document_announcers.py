"""Tests of the selection of announcers and of sources for documents."""

import asyncio
import collections
import json

import pytest

from chivedoor import exceptions
from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.control import board as board_module
from chivedoor.daemon import const
from chivedoor.daemon import documents as document_sync
from chivedoor.membership import members as members_module

_TOPIC = "document"
_NAMES = tuple(f"vm-{number}" for number in range(40))


class _Channel:
    """Fails all requests and records their recipients."""

    def __init__(self):
        self.recipients = []

    def register(self, request_type, handler):
        """Ignores the handler, since no request is received."""

    async def async_request(self, member, request, timeout_s):
        self.recipients.append(member)
        raise exceptions.ChivedoorError("no answer")


class _Platform:
    """A platform that never has a newer document."""

    async def async_watch_document(self, after):
        await asyncio.Event().wait()


def _make_member(name):
    return members_module.Member(
        id=ids.VmId(name),
        domain=ids.DomainId("a"),
        region=ids.RegionId("r1"),
        address="127.0.0.1",
        peer_port=1,
        gossip_port=1,
        channel_port=1,
        incarnation=ids.Incarnation(1),
        state=members_module.MemberState.ACTIVE,
    )


class _Instance:
    """A document synchronizer with its own view of the members."""

    def __init__(self, name):
        self.members = members_module.Members(local=_make_member(name))
        for other in _NAMES:
            if other != name:
                self.members.merge(_make_member(other), 0.0)
        self.board = board_module.Board(
            local_id=ids.VmId(name), incarnation=ids.Incarnation(1)
        )
        self.channel = _Channel()
        self.synchronizer = document_sync.DocumentSynchronizer(
            members=self.members,
            board=self.board,
            channel=self.channel,
            platform=_Platform(),
            clock=lambda: 0.0,
            logs=None,
            handle_change=lambda: None,
        )

    @property
    def has_announced(self):
        return bool(self.board.get(_TOPIC))


@pytest.fixture
async def instances():
    created = {name: _Instance(name) for name in _NAMES}
    yield created
    for instance in created.values():
        await instance.synchronizer.async_close()


@pytest.fixture
def document(examples_path):
    data = json.loads((examples_path / "mtskheta.json").read_text())
    return documents.parse_document(json.dumps(data).encode())


def _find_announcers(instances):
    return {name for name, each in instances.items() if each.has_announced}


async def test_a_few_balancers_announce_a_version(instances, document):
    # Guards against announcements by every balancer, which at 830 balancers
    # would exceed the budget of the whole control traffic.
    for instance in instances.values():
        instance.synchronizer.store.accept(document, 0.0, wall_clock_s=0.0)
        instance.synchronizer.update_role()
    announcers = _find_announcers(instances)
    assert len(announcers) == const.ANNOUNCERS_PER_DOMAIN


async def test_announcers_that_died_are_replaced(instances, document):
    # Guards against a version that no live balancer announces.
    for instance in instances.values():
        instance.synchronizer.store.accept(document, 0.0, wall_clock_s=0.0)
        instance.synchronizer.update_role()
    dead = _find_announcers(instances)
    others = {n: each for n, each in instances.items() if n not in dead}
    for instance in others.values():
        for name in dead:
            instance.members.confirm_dead(ids.VmId(name), 0.0)
        instance.synchronizer.update_role()
    assert len(_find_announcers(others)) == const.ANNOUNCERS_PER_DOMAIN


async def test_balancer_without_a_document_announces_nothing(instances):
    # Guards against an announcement of version 0.
    for instance in instances.values():
        instance.synchronizer.update_role()
    assert not _find_announcers(instances)


async def test_pulls_are_spread_over_the_announcers(instances):
    # Guards against all balancers pulling from one source: within the control
    # traffic limit it would need 107 s to send them a difference of a large
    # service.
    sources = [f"source-{number}" for number in range(8)]
    entries = [
        board_module.Entry(
            topic=_TOPIC,
            origin=ids.VmId(source),
            incarnation=ids.Incarnation(1),
            counter=1,
            value=[2, 0.0],
        )
        for source in sources
    ]
    for instance in instances.values():
        instance.board.merge(entries, 0.0)
    while not all(each.channel.recipients for each in instances.values()):
        await asyncio.sleep(0)
    first = collections.Counter(
        each.channel.recipients[0] for each in instances.values()
    )
    assert set(first) == set(sources)
    assert max(first.values()) <= 3 * len(instances) / len(sources)
