"""Tests of the document parser."""

import pytest

from chivedoor.configuration import const
from chivedoor.configuration import document
from chivedoor.configuration import encoding
from chivedoor.configuration import exceptions
from tests.configuration import editing


def list_faults(data):
    with pytest.raises(exceptions.DocumentError) as caught:
        document.parse_document(data)
    return editing.format_faults(caught.value.faults)


def test_parsed_document_has_the_values_of_the_text(document_value, encode):
    # Guards against swapped or omitted fields.
    parsed = document.parse_document(encode(document_value))
    service = parsed.services["listening"]
    assert parsed.version == 7
    assert parsed.domains["b"].out
    assert parsed.domains["b"].region == "r1"
    assert service.policy is parsed.policies["streams"]
    assert service.addresses == (bytes([203, 0, 113, 10]),)
    assert service.ports[1] == document.ServicePort(
        protocol=document.Protocol.UDP,
        port=8002,
        target_port=9000,
        kind=document.PortKind.REQUEST,
        idempotent=False,
    )
    assert service.endpoints[1] == document.Endpoint(
        number=2,
        address=bytes([127, 1, 0, 2]),
        domain="b",
        weight=50,
        state=document.EndpointState.DRAINING,
        health_port=None,
    )
    assert parsed.retired == (
        document.RetiredAddress(
            address=bytes([127, 1, 9, 9]), service="listening", until_s=2000
        ),
    )


def test_encoded_document_round_trips(document_value, encode):
    # Guards against a new balancer that receives a different document from a
    # peer than from the platform.
    parsed = document.parse_document(encode(document_value))
    encoded = encoding.format_document(parsed)
    assert document.parse_document(encoded) == parsed


@pytest.mark.parametrize(
    ("path", "content", "fault"),
    [
        ("format", 2, "format: out of range"),
        ("version", "7", "version: wrong type"),
        ("version", True, "version: wrong type"),
        ("version", 7.0, "version: wrong type"),
        ("version", 0, "version: out of range"),
        ("version", 2**32, "version: out of range"),
        ("version", None, "version: wrong type"),
        ("reuse_delay_s", 0, "reuse_delay_s: out of range"),
        ("extra", 1, "extra: unknown field"),
        ("regions", [], "regions: wrong type"),
        ("regions.r 2", {}, 'regions."r 2": invalid value'),
        ("regions.r2", {"a": {"out": False}}, "regions.r2.a: duplicate"),
        ("regions.r1.a.out", 0, "regions.r1.a.out: wrong type"),
        ("policies.streams.slots", 0, "policies.streams.slots: out of range"),
        (
            "policies.streams.ramp_step_s",
            10**400,
            "policies.streams.ramp_step_s: out of range",
        ),
        ("services[1].id", "listening", "services[1]: duplicate"),
        ("services[1].policy", "x", "services[1].policy: unknown reference"),
        (
            "services[0].addresses[0]",
            "203.0.113.010",
            "services[0].addresses[0]: invalid value",
        ),
        (
            "services[0].ports[1]",
            ["tcp", 8000, 9001, "stream", True],
            "services[0].ports[1]: duplicate",
        ),
        (
            "services[0].ports[1][3]",
            "other",
            "services[0].ports[1].kind: invalid value",
        ),
        (
            "services[0].ports[1][2]",
            65536,
            "services[0].ports[1].target_port: out of range",
        ),
        (
            "services[0].endpoints[1][0]",
            1,
            "services[0].endpoints[1]: duplicate",
        ),
        (
            "services[1].endpoints[0][3]",
            0,
            "services[1].endpoints[0].weight: out of range",
        ),
        (
            "services[1].endpoints[0]",
            [3, "127.1.0.1"],
            "services[1].endpoints[0]: invalid value",
        ),
        ("retired[0][2]", 1796000000000, "retired[0].until_s: out of range"),
    ],
)
def test_fault_has_path_and_reason(
    document_value, encode, path, content, fault
):
    # Guards against a malformed value that is accepted, and against a message
    # that does not say where it is.
    changed = editing.edit(document_value, **{path: content})
    assert list_faults(encode(changed)) == [fault]


def test_missing_field_is_one_fault(document_value, encode):
    # Guards against implicit defaults, and against follow-up faults that hide
    # the cause.
    for name in document_value:
        changed = {
            key: document_value[key] for key in document_value if key != name
        }
        assert list_faults(encode(changed)) == [f"{name}: missing"]


def test_all_faults_are_listed_together(document_value, encode):
    # Guards against messages with one fault at a time.
    document_value["version"] = -1
    document_value["services"][0]["endpoints"][0][3] = "heavy"
    del document_value["services"][1]["ports"]
    del document_value["policies"]["uploads"]["slots"]
    assert list_faults(encode(document_value)) == [
        "version: out of range",
        "policies.uploads.slots: missing",
        "services[0].endpoints[0].weight: wrong type",
        "services[1].ports: missing",
    ]


def test_repeated_key_is_a_fault(document_value, encode):
    # Guards against a repeated key that silently replaces the first value.
    text = encode(document_value).replace(
        b'"slots": 4', b'"slots": 4, "slots": 5', 1
    )
    assert list_faults(text) == ["policies.streams.slots: duplicate"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"{",
        b'{"format": NaN}',
        b"[" * 100_000,
        b'{"version": ' + b"9" * 5_000 + b"}",
    ],
)
def test_text_that_is_not_json_is_a_fault(data):
    # Guards against an untyped error that stops the daemon.
    assert list_faults(data) == [": syntax"]


def test_text_that_is_not_an_object_is_a_fault():
    # Guards against an untyped error for valid JSON that is not an object.
    assert list_faults(b"[]") == [": wrong type"]


def test_size_is_limited(document_value, encode):
    # Guards against a document that the platform cannot store or a peer cannot
    # send.
    data = encode(document_value)
    padding = b" " * (const.MAX_DOCUMENT_BYTES - len(data))
    assert document.parse_document(data + padding).version == 7
    assert list_faults(data + padding + b" ") == [": too large"]


def test_message_of_many_faults_is_bounded(document_value, encode):
    # Guards against a faulty document that floods the log.
    document_value["services"][0]["endpoints"] = [None] * 10_000
    with pytest.raises(exceptions.DocumentError) as caught:
        document.parse_document(encode(document_value))
    lines = str(caught.value).splitlines()
    assert len(caught.value.faults) == 10_000
    assert len(lines) == const.MAX_FAULTS_IN_MESSAGE + 2
