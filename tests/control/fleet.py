"""Fake network and nodes for the tests of the gossip protocol."""

from collections.abc import Callable
import random

from chivedoor.control import authentication
from chivedoor.control import board as board_module
from chivedoor.control import budget as budget_module
from chivedoor.control import protocol as protocol_module
from chivedoor.membership import const as membership_const
from chivedoor.membership import members as members_module

KEY = b"0123456789abcdef"
PORT = 7946


class Node:
    """A gossip protocol with its tables, without a real port."""

    def __init__(self, number: int, now: float, *, incarnation: int = 1000):
        self.address = (f"127.0.1.{number}", PORT)
        local = members_module.Member(
            id=f"v{number}",
            domain="zone-1",
            region="region-1",
            address=self.address[0],
            peer_port=1,
            gossip_port=PORT,
            channel_port=2,
            incarnation=incarnation,
            state=members_module.MemberState.ACTIVE,
        )
        self.members = members_module.Members(local=local)
        self.board = board_module.Board(
            local_id=local.id, incarnation=incarnation
        )
        self.budget = budget_module.ByteBudget(
            rate_bytes_per_s=20_000, clock=lambda: now
        )
        self.protocol = protocol_module.GossipProtocol(
            members=self.members,
            board=self.board,
            budget=self.budget,
            keys=authentication.Keys(current=KEY),
            rng=random.Random(number),
            now=now,
            seeds=[("127.0.1.1", PORT)],
        )
        self.pauses = []
        self.protocol.on_pause(self.pauses.append)


class FakeNetwork:
    """Delivers datagrams immediately; time advances in ticks.

    Attributes:
        nodes: Running nodes by number.
        now: Monotonic seconds.
        is_lost: Returns whether a datagram is lost between two nodes, given
            the numbers of source and target.
        sent_datagrams: All datagrams that were sent.
    """

    def __init__(self):
        self.nodes: dict[int, Node] = {}
        self.now = 100.0
        self.is_lost: Callable[[int, int], bool] = lambda source, target: False
        self.sent_datagrams: list[protocol_module.Datagram] = []

    def start(self, number: int, **options) -> Node:
        self.nodes[number] = Node(number, self.now, **options)
        return self.nodes[number]

    def run(self, duration_s: float, *, skip: tuple[int, ...] = ()) -> None:
        for _ in range(round(duration_s / membership_const.TICK_INTERVAL_S)):
            self.now += membership_const.TICK_INTERVAL_S
            for number, node in sorted(self.nodes.items()):
                if number not in skip:
                    node.protocol.tick(self.now)
            self.deliver(skip=skip)

    def deliver(self, *, skip: tuple[int, ...] = ()) -> None:
        by_address = {n.address: k for k, n in self.nodes.items()}
        delivered = True
        while delivered:
            delivered = False
            for number, node in sorted(self.nodes.items()):
                if number in skip:
                    continue
                node.protocol.flush_urgent(self.now)
                for datagram in node.protocol.drain():
                    self.sent_datagrams.append(datagram)
                    target = by_address.get(datagram.destination)
                    if target is None or target in skip:
                        continue
                    if self.is_lost(number, target):
                        continue
                    delivered = True
                    self.nodes[target].protocol.receive(
                        datagram.data, node.address, self.now
                    )

    def count_live(self) -> list[int]:
        return [n.members.count_live() for n in self.nodes.values()]
