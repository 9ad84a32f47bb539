"""Tests of the settings parser."""

import pathlib

import pytest

from chivedoor.configuration import exceptions
from chivedoor.configuration import settings


@pytest.fixture
def settings_text(examples_path):
    return (examples_path / "chivedoord.ini").read_text(encoding="utf-8")


def list_faults(settings_text):
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.parse_settings(settings_text)
    return [
        f"{fault.section}.{fault.key}: {fault.reason.value}"
        for fault in caught.value.faults
    ]


def replace_once(settings_text, old, new):
    """Replaces the first occurrence of a text, which must be present."""
    assert old in settings_text
    return settings_text.replace(old, new, 1)


def test_loaded_settings_have_the_values_of_the_file(settings_text):
    # Guards against values that are assigned to the wrong field.
    loaded = settings.parse_settings(settings_text)
    assert loaded.vm == settings.VmSettings(
        id="vm-a1",
        domain="a",
        region="r1",
        address="127.2.0.1",
        packet_port=6080,
        peer_port=6081,
        gossip_port=6082,
        channel_port=6083,
        operator_port=6084,
        metrics_port=6085,
    )
    assert loaded.fabric == settings.FabricSettings(
        address="127.3.0.1", port=6080
    )
    assert loaded.platform.url == "http://127.4.0.1:8500"
    assert loaded.peers.seeds == (("127.2.0.2", 6082), ("127.2.0.3", 6082))
    assert loaded.security.peer_key == bytes(range(16))
    assert loaded.limits == settings.LimitSettings(
        control_bytes_per_s=4000, max_flows=400000
    )
    assert loaded.logs.path == pathlib.Path("chivedoord.log")


def test_optional_keys_have_defaults(settings_text):
    # Guards against a first VM that cannot start because it has no seeds.
    settings_text = replace_once(
        settings_text, "seeds = 127.2.0.2:6082, 127.2.0.3:6082", ""
    )
    settings_text = replace_once(settings_text, "path = chivedoord.log", "")
    settings_text = replace_once(
        settings_text,
        "previous_peer_key = 101112131415161718191a1b1c1d1e1f",
        "",
    )
    loaded = settings.parse_settings(settings_text)
    assert loaded.peers.seeds == ()
    assert loaded.logs.path is None
    assert loaded.security.previous_peer_key is None


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("id = vm-a1", "id = a b", "vm.id: invalid value"),
        ("domain = a", "", "vm.domain: missing"),
        ("region = r1", "region =", "vm.region: invalid value"),
        (
            "address = 127.2.0.1",
            "address = localhost",
            "vm.address: invalid value",
        ),
        ("peer_port = 6081", "peer_port = 0", "vm.peer_port: out of range"),
        ("peer_port = 6081", "peer_port = 6_081", "vm.peer_port: wrong type"),
        ("peer_port = 6081", "peer_port = 6080", "vm.peer_port: conflict"),
        (
            "operator_port = 6084",
            "operator_port = 6083",
            "vm.operator_port: conflict",
        ),
        (
            "url = http://127.4.0.1:8500",
            "url = ftp://127.4.0.1",
            "platform.url: invalid value",
        ),
        (
            "url = http://127.4.0.1:8500",
            "url = http://127.4.0.1:port",
            "platform.url: invalid value",
        ),
        ("127.2.0.3:6082", "127.2.0.3", "peers.seeds: invalid value"),
        ("127.2.0.3:6082", "127.2.0.2:6082", "peers.seeds: duplicate"),
        (
            "peer_key = 000102030405060708090a0b0c0d0e0f",
            "peer_key = 000102030405060708090a0b0c0d0e",
            "security.peer_key: out of range",
        ),
        (
            "peer_key = 000102030405060708090a0b0c0d0e0f",
            "peer_key = secret",
            "security.peer_key: invalid value",
        ),
        (
            "operator_key = 202122232425262728292a2b2c2d2e2f",
            "operator_key = 000102030405060708090A0B0C0D0E0F",
            "security.operator_key: conflict",
        ),
        (
            "control_bytes_per_s = 4000",
            "control_bytes_per_s = 10",
            "limits.control_bytes_per_s: out of range",
        ),
        (
            "max_flows = 400000",
            "max_flow = 400000\nmax_flows = 400000",
            "limits.max_flow: unknown field",
        ),
        (
            "max_flows = 400000",
            "max_flows = 400000\nmax_flows = 400000",
            "limits.max_flows: duplicate",
        ),
        ("max_flows = 400000", "max_flows = 400000\nnonsense", ".: syntax"),
        ("[logs]", "[limits]\nmax_flows = 1\n[logs]", "limits.: duplicate"),
        ("[logs]", "[extra]\n[logs]", "extra.: unknown field"),
        ("[vm]", "id = 1\n[vm]", ".: syntax"),
        ("path = chivedoord.log", "path =", "logs.path: invalid value"),
    ],
)
def test_fault_has_section_key_and_reason(settings_text, old, new, fault):
    # Guards against a daemon that starts with an invalid value, and against a
    # message that does not say where it is.
    assert list_faults(replace_once(settings_text, old, new)) == [fault]


def test_all_faults_are_listed_together(settings_text):
    # Guards against messages with one fault at a time.
    settings_text = replace_once(
        settings_text, "id = vm-a1", "id = vm-a1\nid = vm-a2"
    )
    settings_text = replace_once(
        settings_text, "max_flows = 400000", "max_flows = many"
    )
    settings_text = replace_once(settings_text, "[fabric]", "[extra]\n[fabric]")
    settings_text = replace_once(
        settings_text, "url = http://127.4.0.1:8500", "nonsense"
    )
    assert list_faults(settings_text) == [
        "vm.id: duplicate",
        ".: syntax",
        "platform.url: missing",
        "limits.max_flows: wrong type",
        "extra.: unknown field",
    ]


def test_empty_file_lists_every_required_key():
    # Guards against a message that lists only the first missing key.
    found = list_faults("")
    assert len(found) == 17
    assert all(fault.endswith(": missing") for fault in found)


def test_percent_signs_are_not_interpolated(settings_text):
    # Guards against interpolation of percent signs in paths.
    settings_text = replace_once(settings_text, "chivedoord.log", "%(id)s.log")
    assert settings.parse_settings(settings_text).logs.path == pathlib.Path(
        "%(id)s.log"
    )


def test_ipv6_addresses_are_accepted(settings_text):
    # Guards against an IPv6 seed that is split at the wrong colon.
    settings_text = replace_once(
        settings_text, "address = 127.2.0.1", "address = ::1"
    )
    settings_text = replace_once(settings_text, "127.2.0.2:6082", "[::2]:6082")
    loaded = settings.parse_settings(settings_text)
    assert loaded.vm.address == "::1"
    assert loaded.peers.seeds[0] == ("::2", 6082)


def test_ipv6_seed_without_brackets_is_a_fault(settings_text):
    # Guards against the last group of an IPv6 address being read as the port.
    settings_text = replace_once(settings_text, "127.2.0.2:6082", "::2:6082")
    assert list_faults(settings_text) == ["peers.seeds: invalid value"]


def test_secret_keys_are_not_shown(settings_text):
    # Guards against secret keys in logs and error messages.
    loaded = settings.parse_settings(settings_text)
    assert "x01" not in repr(loaded)
    faulty = replace_once(
        settings_text,
        "peer_key = 000102030405060708090a0b0c0d0e0f",
        "peer_key = 000102030405060708090a0b0c0d0e0",
    )
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.parse_settings(faulty)
    assert "0001" not in str(caught.value)


@pytest.mark.parametrize("data", [None, b"\xff"])
def test_file_that_cannot_be_read_is_a_typed_error(tmp_path, data):
    # Guards against a traceback instead of an error message.
    path = tmp_path / "chivedoord.ini"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(exceptions.SettingsError):
        settings.load_settings(path)
