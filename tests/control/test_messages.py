"""Tests of the channel messages between balancers."""

import math

import pytest

from chivedoor.control import messages
from chivedoor.rpc import envelope
from chivedoor.rpc import exceptions

EXAMPLES = [
    messages.DocumentRequest(known_version=0),
    messages.DocumentReply(
        version=0, change=None, document=None, confirmed_age_s=math.inf
    ),
    messages.DocumentReply(
        version=9, change=b"c", document=b"d", confirmed_age_s=1.5
    ),
    messages.FlowsRequest(
        endpoint=1,
        base=None,
        cursor=None,
        generation=2**63,
        member="vm-a1",
        incarnation=7,
    ),
    messages.FlowsReply(
        endpoint=1,
        base=2,
        known=True,
        keys=[2**64 - 1, 0],
        targets=[1, 2],
        kinds=[0, 1],
        cursor=7,
    ),
    messages.SilenceRequest(flow=2**64 - 1, since_s=10.0),
    messages.SilenceReply(answer_seen=True),
]


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda m: type(m).__name__)
def test_message_survives_encoding(message):
    # Guards against a field whose values do not match its declared type.
    data = envelope.pack_envelope(
        messages.REGISTRY, envelope.Kind.REPLY, 1, message
    )
    parsed = envelope.parse_envelope(data)
    assert messages.REGISTRY.unpack(parsed.name, parsed.body) == message


def test_every_registered_message_has_an_example():
    # Guards against a new message type that no test encodes.
    names = {type(message).__name__ for message in EXAMPLES}
    assert names == set(messages.REGISTRY.names())


def test_lists_of_a_page_have_equal_lengths():
    # Guards against a page of flow records with incomplete records.
    fields = {
        "endpoint": 1,
        "base": None,
        "known": True,
        "keys": [1, 2],
        "targets": [1],
        "kinds": [1, 1],
        "cursor": None,
    }
    with pytest.raises(exceptions.MessageError):
        messages.REGISTRY.unpack("FlowsReply", fields)
