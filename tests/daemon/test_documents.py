"""Tests of the distribution of documents from the platform and peers."""

import asyncio
import dataclasses
import itertools
import types

import pytest

from chivedoor import exceptions
from chivedoor import ids
from chivedoor.configservice import client as clients
from chivedoor.configuration import encoding
from chivedoor.control import board as board_module
from chivedoor.daemon import documents as documents_module
from chivedoor.membership import members as members_module
from tests.balancer import fleet as fleets

_State = clients.VersionComparison


class FakePlatform:
    """Answers watches from a list, then blocks."""

    def __init__(self) -> None:
        self.readings = []
        self.watched_versions = []

    async def async_watch_document(self, version):
        self.watched_versions.append(version)
        if not self.readings:
            await asyncio.Event().wait()
        reading = self.readings.pop(0)
        if isinstance(reading, Exception):
            raise reading
        return reading


class FakeChannel:
    """Passes requests to the synchronizers of other balancers."""

    def __init__(self, peers) -> None:
        self.peers = peers
        self.failing = set()

    def register(self, request_type, handler) -> None:
        self.handler = handler

    async def async_request(self, member_id, request, timeout_s):
        if member_id in self.failing:
            raise exceptions.ChivedoorError("no connection")
        return await self.peers[member_id].handler(request)


def _make_body(version):
    document = fleets.make_document(version)
    return encoding.format_document(document)


def _make_newer_reading(version, body=None):
    return clients.WatchResult(
        comparison=_State.NEWER,
        version=ids.Version(version),
        data=body or _make_body(version),
        age_s=0.0,
    )


@pytest.fixture
async def nodes():
    """Three balancers; the tests let only a0 and b0 watch the platform."""
    channels = {}
    result = {}
    for name in ("a0", "b0", "a1"):
        members = members_module.Members(
            local=fleets.make_member(name, name[0])
        )
        channels[name] = FakeChannel(channels)
        node = types.SimpleNamespace(
            platform=FakePlatform(),
            channel=channels[name],
            board=board_module.Board(
                local_id=ids.VmId(name), incarnation=ids.Incarnation(1)
            ),
            events=[],
            changes=[],
        )
        node.synchronizer = documents_module.DocumentSynchronizer(
            members=members,
            board=node.board,
            channel=node.channel,
            platform=node.platform,
            clock=lambda: 100.0,
            logs=types.SimpleNamespace(write_event=node.events.append),
            handle_change=lambda node=node: node.changes.append(
                node.synchronizer.store.version
            ),
        )
        result[name] = node
    yield result
    for node in result.values():
        await node.synchronizer.async_close()


def _exchange_entries(nodes):
    for first, second in itertools.permutations(nodes.values(), 2):
        second.board.merge(first.board.list_entries("document"), 100.0)


async def _async_read(node, *readings):
    node.platform.readings += readings
    node.synchronizer.update_role()


async def test_document_spreads_from_platform_to_peers(nodes, async_wait_until):
    # Guards against balancers that keep an old version.
    first, second = nodes["a0"], nodes["b0"]
    for version in (1, 2):
        await _async_read(first, _make_newer_reading(version))
        await async_wait_until(
            lambda v=version: first.synchronizer.store.version == v
        )
        first.synchronizer._watch_task.cancel()
        await asyncio.gather(
            first.synchronizer._watch_task, return_exceptions=True
        )
        _exchange_entries(nodes)
        await async_wait_until(
            lambda v=version: second.synchronizer.store.version == v
        )
    assert second.changes == [1, 2]


async def test_older_and_faulty_documents_are_ignored(nodes, async_wait_until):
    # Guards against a return to an older version, and against a watch that
    # ends because of a faulty document or an unreachable platform.
    node = nodes["a0"]
    older = clients.WatchResult(
        comparison=_State.OLDER, version=ids.Version(3), data=None, age_s=0.0
    )
    await _async_read(
        node,
        exceptions.ChivedoorError("down"),
        _make_newer_reading(5),
        older,
        _make_newer_reading(4),
        _make_newer_reading(6, b"{"),
        _make_newer_reading(7),
    )
    await async_wait_until(lambda: not node.platform.readings)
    await async_wait_until(lambda: node.synchronizer.store.version == 7)
    assert node.changes == [5, 7]
    kinds = [type(event).__name__ for event in node.events]
    assert kinds == [
        "DocumentAccepted",
        "DocumentOlder",
        "DocumentRejected",
        "DocumentRejected",
        "DocumentAccepted",
    ]


async def test_failing_peer_is_replaced_by_another(nodes, async_wait_until):
    # Guards against a balancer that depends on a single peer.
    first, second, third = nodes.values()
    for node in (first, second):
        await _async_read(node, _make_newer_reading(3))
    await async_wait_until(
        lambda: (
            first.synchronizer.store.version
            == second.synchronizer.store.version
            == 3
        )
    )
    third.channel.failing.add("a0")
    _exchange_entries(nodes)
    await async_wait_until(lambda: third.synchronizer.store.version == 3)
    assert third.changes == [3]


async def test_peers_agree_after_a_version_with_two_contents(
    nodes, async_wait_until
):
    # Guards against a document that nobody published: after the platform was
    # restored from a copy, a new balancer gets other contents under a version
    # that the others have, and passes on the difference to the next one.
    first, second = nodes["a0"], nodes["b0"]
    original = fleets.make_document(10)
    domain = fleets.DOMAINS[0]
    again = dataclasses.replace(
        original,
        domains={
            **original.domains,
            domain: dataclasses.replace(original.domains[domain], out=True),
        },
    )
    newest = dataclasses.replace(again, version=ids.Version(11))
    bodies = [
        encoding.format_document(document)
        for document in (original, again, newest)
    ]
    await _async_read(first, _make_newer_reading(10, bodies[0]))
    await _async_read(
        second,
        _make_newer_reading(10, bodies[1]),
        _make_newer_reading(11, bodies[2]),
    )
    await async_wait_until(
        lambda: (
            first.synchronizer.store.version == 10
            and second.synchronizer.store.version == 11
        )
    )
    _exchange_entries(nodes)
    await async_wait_until(lambda: first.synchronizer.store.version == 11)
    assert first.synchronizer.store.document.domains[domain].out
    assert (
        first.synchronizer.store.document == second.synchronizer.store.document
    )
