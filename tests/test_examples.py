"""Tests of the examples."""

import itertools

import pytest

from chivedoor.configuration import checks
from chivedoor.configuration import document
from chivedoor.configuration import settings


@pytest.mark.parametrize(
    ("name", "services", "slots"),
    [
        ("mtskheta", {"listening": 7, "intake": 3}, 4),
        ("laurentide", {"job-board": 7, "scan-intake": 3}, 2),
    ],
)
def test_document_matches_the_deployment(examples_path, name, services, slots):
    # Guards against examples that do not match the parser or the deployments in
    # section 8 of docs/design.md.
    data = (examples_path / f"{name}.json").read_bytes()
    parsed = document.parse_document(data)
    counts = {
        service.id: len(service.endpoints)
        for service in parsed.services.values()
    }
    endpoints = itertools.chain.from_iterable(
        service.endpoints for service in parsed.services.values()
    )
    assert counts == services
    assert {policy.slots for policy in parsed.policies.values()} == {slots}
    assert list(parsed.domains) == ["a", "b", "c"]
    assert all(endpoint.health_port for endpoint in endpoints)


def test_settings_are_valid(examples_path):
    # Guards against example settings that chivedoord rejects at start.
    loaded = settings.load_settings(examples_path / "chivedoord.ini")
    assert loaded.vm.id == "vm-a1"
    assert loaded.peers.seeds[1] == ("127.2.0.3", 6082)
    assert loaded.security.previous_peer_key is not None


def test_example_in_the_format_description_is_valid(examples_path):
    # Guards against a format description that does not match the parser.
    text = (examples_path.parent / "docs" / "document.md").read_text()
    example = text.split("```json\n")[1].split("```")[0]
    parsed = document.parse_document(example.encode())
    assert checks.check_document(parsed, None, wall_clock_s=0) == []
