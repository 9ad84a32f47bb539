"""Tests of reading and validating the settings."""

import pytest

from chivedoor.edge import exceptions
from chivedoor.edge import settings as settings_module

VALID = {
    "vm": {"id": "x", "domain": "a", "region": "r", "address": "10.0.0.1"},
    "packets": {"address": "10.0.0.1:8172"},
    "readiness": {"address": "10.0.0.1:8167"},
    "peers": {"port": "7720", "seeds": "10.0.0.2:1, 10.0.0.3:2"},
    "source": {"address": "10.0.0.9:8169"},
    "limits": {"descriptors": "1535", "bandwidth_mbps": "350.0"},
    "stop": {"grace_s": "6"},
    "metrics": {"port": "9464"},
}


def load_sections(tmp_path, sections):
    path = tmp_path / "edge.ini"
    path.write_text(
        "\n".join(
            f"[{name}]\n"
            + "\n".join(f"{key} = {value}" for key, value in options.items())
            for name, options in sections.items()
        )
    )
    return settings_module.load_settings(str(path))


def test_valid_settings(tmp_path) -> None:
    """Guards against options that are read into the wrong field."""
    settings = load_sections(tmp_path, VALID)
    assert settings.packets == ("10.0.0.1", 8172)
    assert [seed.host for seed in settings.seeds] == ["10.0.0.2", "10.0.0.3"]
    assert settings.grace_s == 6.0


def test_domains_and_peer_address(tmp_path) -> None:
    """Guards against ignoring the other domains or the peer address.

    Without the other domains, one domain would use the whole rate of a cold
    endpoint.
    """
    settings = load_sections(tmp_path, VALID)
    assert settings.domains == ()
    assert settings.peer_host == "10.0.0.1"
    vm = VALID["vm"] | {"domains": "a, b,c"}
    peers = VALID["peers"] | {"address": "10.9.0.1"}
    settings = load_sections(tmp_path, VALID | {"vm": vm, "peers": peers})
    assert settings.domains == ("a", "b", "c")
    assert settings.peer_host == "10.9.0.1"


def test_no_seeds(tmp_path) -> None:
    """Guards against a single balancer that cannot start."""
    sections = VALID | {"peers": {"port": "7720", "seeds": ""}}
    assert load_sections(tmp_path, sections).seeds == ()


@pytest.mark.parametrize(
    ("section", "option", "value"),
    [
        ("vm", "id", ""),
        ("vm", "address", "host"),
        ("vm", "domains", "b,c"),
        ("packets", "address", "10.0.0.1"),
        ("packets", "address", "10.0.0.1:0"),
        ("readiness", "address", "10.0.0.1:70000"),
        ("peers", "seeds", "10.0.0.2"),
        ("peers", "port", "x"),
        ("limits", "descriptors", "-1"),
        ("limits", "bandwidth_mbps", "nan"),
        ("limits", "bandwidth_mbps", "inf"),
        ("stop", "grace_s", "0"),
    ],
)
def test_invalid_option_is_reported(tmp_path, section, option, value) -> None:
    """Guards against an error that does not name the invalid option."""
    sections = VALID | {section: VALID[section] | {option: value}}
    with pytest.raises(exceptions.SettingsError) as caught:
        load_sections(tmp_path, sections)
    assert len(caught.value.faults) == 1
    assert caught.value.faults[0].startswith(f"{section}.{option}: ")


def test_all_faults_are_reported(tmp_path) -> None:
    """Guards against reporting only the first fault."""
    with pytest.raises(exceptions.SettingsError) as caught:
        load_sections(tmp_path, {"vm": {"id": "x"}})
    assert len(caught.value.faults) == 12


@pytest.mark.parametrize("text", ["no section", "[vm\nid", "\x00"])
def test_unreadable_file_raises_settings_error(tmp_path, text) -> None:
    """Guards against exceptions other than SettingsError."""
    path = tmp_path / "edge.ini"
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError):
        settings_module.load_settings(str(path))
    with pytest.raises(exceptions.SettingsError):
        settings_module.load_settings(str(tmp_path / "missing.ini"))
