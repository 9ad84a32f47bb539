"""Tests that the JSON schema matches the parser."""

import json
import pathlib

import pytest

from chivedoor.configuration import const
from chivedoor.configuration import document
from chivedoor.configuration import exceptions
from tests.configuration import editing


@pytest.fixture(scope="module")
def schema():
    path = pathlib.Path(document.__file__).parent / "schema.json"
    return json.loads(path.read_text(encoding="utf-8"))


def is_accepted(data):
    try:
        document.parse_document(data)
    except exceptions.DocumentError:
        return False
    return True


def list_ranges(schema, document_value):
    """Yields the path and schema of each number that has a range."""
    for name in ("version", "reuse_delay_s"):
        yield name, schema["properties"][name]
    for name, rule in schema["$defs"]["policy"]["properties"].items():
        yield f"policies.streams.{name}", rule
    for section, row in (
        ("ports", schema["$defs"]["port"]),
        ("endpoints", schema["$defs"]["endpoint"]),
    ):
        for index, rule in enumerate(row["prefixItems"]):
            if rule.get("$ref") == "#/$defs/port_number":
                rule = schema["$defs"]["port_number"]
            if "minimum" in rule:
                yield f"services[0].{section}[0][{index}]", rule
    yield "retired[0][2]", schema["$defs"]["retired"]["prefixItems"][2]


def test_ranges_match_the_parser(schema, document_value, encode):
    # Guards against documents that follow the schema and are rejected.
    ranges = list(list_ranges(schema, document_value))
    assert len(ranges) == 16
    for path, rule in ranges:
        for content, expected in (
            (rule["minimum"], True),
            (rule["maximum"], True),
            (rule["minimum"] - 1, False),
            (rule["maximum"] + 1, False),
        ):
            changed = editing.edit(document_value, **{path: content})
            assert is_accepted(encode(changed)) is expected, (path, content)


def test_fields_match_the_parser(schema, document_value, encode):
    # Guards against fields that only the schema or only the parser has.
    policy = schema["$defs"]["policy"]
    service = schema["$defs"]["service"]
    assert set(schema["required"]) == set(document_value)
    assert set(policy["required"]) == set(document.POLICY_FIELDS)
    assert set(service["required"]) == set(document_value["services"][0])
    for name, columns in (
        ("port", document.PORT_COLUMNS),
        ("endpoint", document.ENDPOINT_COLUMNS),
        ("retired", document.RETIRED_COLUMNS),
    ):
        items = schema["$defs"][name]["prefixItems"]
        assert tuple(item["title"] for item in items) == columns


def test_enums_match_the_parser(schema):
    # Guards against a new state or kind that is missing in the schema.
    port = schema["$defs"]["port"]["prefixItems"]
    endpoint = schema["$defs"]["endpoint"]["prefixItems"]
    assert port[0]["enum"] == list(document.PROTOCOLS)
    assert port[3]["enum"] == list(document.PORT_KINDS)
    assert endpoint[4]["enum"] == list(document.ENDPOINT_STATES)
    assert schema["$defs"]["id"]["pattern"] == f"^{const.ID_PATTERN.pattern}$"
