"""Tests of the TCP implementation over a faulty channel."""

import random

import pytest

from standins import connection as connections
from standins import const
from standins import exceptions
from standins import host
from standins import segments

CALLER = (bytes([127, 2, 0, 1]), 4000)
TARGET = (bytes([127, 1, 0, 1]), 8000)


class Channel:
    """A channel that randomly loses, duplicates and reorders packets."""

    def __init__(self, *, seed, loss, double, reorder):
        self.generator = random.Random(seed)
        self.timers = host.Timers()
        self.faults = (loss, double, reorder)
        self.stacks = {}
        self.now = 0.0

    def add_stack(self, address):
        stack = host.Stack(
            send=self.send, timers=self.timers, generator=self.generator
        )
        self.stacks[address] = stack
        return stack

    def send(self, packet):
        loss, double, reorder = self.faults
        copies = 1 + (self.generator.random() < double)
        for _ in range(copies):
            if self.generator.random() < loss:
                continue
            late = self.generator.random() < reorder
            delay = 0.001 + (self.generator.random() * 0.02 if late else 0)
            stack = self.stacks[packet[16:20]]
            self.timers.call_at(
                self.now + delay,
                lambda now, s=stack: s.handle_packet(packet, now),
            )

    def run(self, until):
        while (when := self.timers.next_time) is not None and when <= until:
            self.now = when
            self.timers.tick(self.now)


def connect_pair(channel, *, sent_by_caller, sent_by_target):
    received = {"caller": b"", "target": b"", "connections": []}
    target = channel.add_stack(TARGET[0])
    caller = channel.add_stack(CALLER[0])

    def accept(segment, now):
        started = []

        def serve(connection, now):
            if not started:
                started.append(True)
                received["connections"].append(connection)
                connection.write(sent_by_target)
                connection.finish()
            received["target"] += connection.read()

        return serve

    def handle(connection, now):
        received["caller"] += connection.read()

    target.listen(TARGET, accept)
    connection = caller.connect(
        local=CALLER, remote=TARGET, callback=handle, now=channel.now
    )
    connection.write(sent_by_caller)
    connection.finish()
    received["connections"].append(connection)
    return received


@pytest.mark.parametrize("seed", range(8))
def test_faulty_channel_delivers_everything_once_and_in_order(seed):
    # Guards against reassembly or retransmission that loses or repeats
    # bytes, which callers would attribute to the balancer.
    generator = random.Random(seed)
    first, second = generator.randbytes(150_000), generator.randbytes(90_000)
    channel = Channel(seed=seed, loss=0.1, double=0.1, reorder=0.3)
    received = connect_pair(
        channel, sent_by_caller=first, sent_by_target=second
    )
    channel.run(until=120)
    assert received["target"] == first
    assert received["caller"] == second
    assert [c.outcome for c in received["connections"]] == (
        [connections.Outcome.FINISHED] * 2
    )
    assert sum(c.retransmissions for c in received["connections"]) > 0


def make_connection(**settings):
    return connections.Connection(
        local=CALLER, remote=TARGET, sequence=0xFFFFFFF0, **settings
    )


def answer(connection, flags, sequence=500, payload=b"", acknowledged=1):
    return connection.handle_segment(
        segments.Segment(
            source=TARGET[0],
            source_port=TARGET[1],
            destination=CALLER[0],
            destination_port=CALLER[1],
            sequence=sequence,
            acknowledgement=(0xFFFFFFF0 + acknowledged) & 0xFFFFFFFF,
            flags=flags,
            payload=payload,
        ),
        0.1,
    )


def test_reset_of_a_syn_is_a_refusal():
    # Guards against refused flows that count as broken.
    connection = make_connection()
    connection.open(0.0)
    answer(connection, const.RST | const.ACK, acknowledged=9)
    assert connection.outcome is connections.Outcome.OPEN
    answer(connection, const.RST | const.ACK)
    assert connection.outcome is connections.Outcome.REFUSED


def test_reset_counts_only_at_the_expected_sequence_number():
    # Guards against a stale RST that closes an established connection.
    connection = make_connection()
    connection.open(0.0)
    answer(connection, const.SYN | const.ACK)
    answer(connection, const.RST, sequence=400)
    assert connection.outcome is connections.Outcome.OPEN
    assert len(answer(connection, const.RST, sequence=600)) == 1
    assert connection.outcome is connections.Outcome.OPEN
    answer(connection, const.RST, sequence=501)
    assert connection.outcome is connections.Outcome.RESET


def test_syn_is_repeated_with_backoff_until_the_tries_are_used():
    # Guards against connections that wait forever or time out too early.
    connection = make_connection(syn_tries=3)
    connection.open(0.0)
    sent = [second for second in range(1, 20) if connection.tick(float(second))]
    assert sent == [1, 3, 7]
    assert connection.outcome is connections.Outcome.TIMED_OUT


def test_sequence_numbers_wrap():
    # Guards against comparing sequence numbers without unwrapping them.
    connection = make_connection()
    connection.open(0.0)
    answer(connection, const.SYN | const.ACK)
    connection.write(b"x" * 100)
    packet = connection.flush(0.1)[0]
    assert segments.read_packet(packet).sequence == 0xFFFFFFF1
    answer(connection, const.ACK, sequence=501, acknowledged=101)
    assert connection.unacknowledged_bytes == 0
    assert connection.next_deadline is None


@pytest.mark.parametrize(
    "content",
    [
        segments.Datagram(
            source=CALLER[0],
            source_port=1,
            destination=TARGET[0],
            destination_port=2,
            payload=b"odd",
        ),
        segments.Segment(
            source=CALLER[0],
            source_port=1,
            destination=TARGET[0],
            destination_port=2,
            sequence=7,
            acknowledgement=9,
            flags=const.SYN,
        ),
        segments.Unreachable(
            code=3,
            protocol=const.PROTOCOL_UDP,
            source=CALLER[0],
            source_port=1,
            destination=TARGET[0],
            destination_port=2,
        ),
    ],
)
def test_packets_survive_building_and_a_changed_byte_is_noticed(content):
    # Guards against a stand-in that accepts an incorrectly rewritten packet.
    packet = segments.build_packet(content)
    assert segments.read_packet(packet) == content
    for index in range(len(packet)):
        changed = bytearray(packet)
        changed[index] ^= 0x10
        with pytest.raises(exceptions.SegmentError):
            segments.read_packet(bytes(changed))
