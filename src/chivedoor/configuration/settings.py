"""Settings of one VM, read from an INI file."""

from collections.abc import Callable
from collections.abc import Iterator
import configparser
import dataclasses
import itertools
import pathlib
import re
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar
import urllib.parse

from chivedoor import ids
from chivedoor.configuration import const
from chivedoor.configuration import exceptions
from chivedoor.configuration import faults
from chivedoor.configuration import fields

Value = TypeVar("Value")

FaultReason = faults.FaultReason


class Seed(NamedTuple):
    """Gossip address of a peer; also a socket address for asyncio."""

    address: str
    gossip_port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """Identity, address and ports of this VM."""

    id: ids.VmId
    domain: ids.DomainId
    region: ids.RegionId
    address: str
    packet_port: int
    peer_port: int
    gossip_port: int
    channel_port: int
    operator_port: int
    metrics_port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FabricSettings:
    """Address of the fabric, which delivers packets to targets and callers."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """URL of the platform's configuration service, without a trailing slash."""

    url: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Peers that a new balancer contacts first; empty on the first VM."""

    seeds: tuple[Seed, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SecuritySettings:
    """Secret keys, excluded from `repr` to keep them out of the log."""

    peer_key: bytes = dataclasses.field(repr=False)
    previous_peer_key: bytes | None = dataclasses.field(repr=False)
    operator_key: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Limits of this balancer.

    Attributes:
        control_bytes_per_s: Budget for control traffic between balancers, in
            bytes per second.
        max_flows: Maximum number of flow records in memory.
    """

    control_bytes_per_s: int
    max_flows: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Path of the log file; None for standard output."""

    path: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one VM, by section of the file."""

    vm: VmSettings
    fabric: FabricSettings
    platform: PlatformSettings
    peers: PeerSettings
    security: SecuritySettings
    limits: LimitSettings
    logs: LogSettings


def load_settings(path: str | pathlib.Path) -> Settings:
    """Reads a settings file.

    Args:
        path: INI file in UTF-8.

    Returns:
        The settings.

    Raises:
        exceptions.SettingsError: The file cannot be read or has faults, all of
            which are listed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            faults=[_build_fault("", "", FaultReason.SYNTAX, str(error))]
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parses the text of a settings file.

    Args:
        text: INI text.

    Returns:
        The settings.

    Raises:
        exceptions.SettingsError: Lists all faults of the text.
    """
    found: list[faults.SettingsFault] = []
    sections = _split_sections(text, found)
    values = {
        name: _read_section(name, sections.get(name, {}), found)
        for name in _SECTIONS
    }
    found.extend(_find_unknown_sections(sections))
    found.extend(_find_duplicate_ports(values["vm"]))
    found.extend(_find_duplicate_secrets(values["security"]))
    if found:
        raise exceptions.SettingsError(faults=found)
    return Settings(
        **{
            name: section.type(**values[name])
            for name, section in _SECTIONS.items()
        }
    )


class _ValueError(ValueError):
    """A value is not valid; the message gives the reason and no secret."""

    def __init__(self, *, reason: FaultReason, detail: str) -> None:
        self.reason = reason
        self.detail = detail
        super().__init__(detail)


class _Key(NamedTuple):
    read: Callable[[str], Any]
    required: bool = True
    default: Any = None


class _Section(NamedTuple):
    type: Callable[..., Any]
    keys: dict[str, _Key]


def _read_id(text: str) -> str:
    if not const.ID_PATTERN.fullmatch(text):
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE,
            detail="expected 1 to 63 letters, digits, dots, dashes and"
            " underscores, starting with a letter or digit",
        )
    return text


def _read_address(text: str) -> str:
    packed = fields.pack_address(text)
    if packed is None:
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE,
            detail=f"{text[:80]!r} is not an IPv4 or IPv6 address",
        )
    return fields.unpack_address(packed)


def _read_integer(text: str, low: int, high: int) -> int:
    if not _INTEGER_PATTERN.fullmatch(text):
        raise _ValueError(
            reason=FaultReason.WRONG_TYPE,
            detail=f"{text[:80]!r} is not an integer",
        )
    if not low <= int(text) <= high:
        raise _ValueError(
            reason=FaultReason.OUT_OF_RANGE,
            detail=f"expected {low} to {high}",
        )
    return int(text)


def _read_port(text: str) -> int:
    return _read_integer(text, 1, const.MAX_PORT)


def _read_control_rate(text: str) -> int:
    return _read_integer(
        text, const.MIN_CONTROL_BYTES_PER_S, const.MAX_CONTROL_BYTES_PER_S
    )


def _read_max_flows(text: str) -> int:
    return _read_integer(text, 1, const.MAX_FLOWS)


def _read_url(text: str) -> str:
    try:
        parts = urllib.parse.urlsplit(text)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid or parts.query or parts.fragment:
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE,
            detail="expected an http or https URL without query and fragment",
        )
    return text.rstrip("/")


def _read_seeds(text: str) -> tuple[Seed, ...]:
    parts = [part.strip() for part in text.split(",")]
    seeds = tuple(_read_seed(part) for part in parts if part)
    if len(set(seeds)) != len(seeds):
        raise _ValueError(
            reason=FaultReason.DUPLICATE,
            detail="a seed is listed more than once",
        )
    return seeds


def _read_seed(text: str) -> Seed:
    host, separator, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        separator = ""
    if not separator:
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE,
            detail=f"{text[:80]!r} is not address:port or [IPv6 address]:port",
        )
    return Seed(address=_read_address(host), gossip_port=_read_port(port))


def _read_key(text: str) -> bytes:
    if not _HEXADECIMAL_PATTERN.fullmatch(text) or len(text) % 2:
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE,
            detail="expected pairs of hexadecimal digits",
        )
    key = bytes.fromhex(text)
    if len(key) < const.MIN_KEY_BYTES:
        raise _ValueError(
            reason=FaultReason.OUT_OF_RANGE,
            detail=f"{len(key)} bytes; the minimum is {const.MIN_KEY_BYTES}",
        )
    return key


def _read_path(text: str) -> pathlib.Path:
    if not text:
        raise _ValueError(
            reason=FaultReason.INVALID_VALUE, detail="expected a path"
        )
    return pathlib.Path(text)


_INTEGER_PATTERN: Final = re.compile(r"-?[0-9]{1,18}")
_HEXADECIMAL_PATTERN: Final = re.compile(r"[0-9A-Fa-f]+")

# All ports share the VM's address, so those of one transport protocol need
# different numbers.
_UDP_PORTS: Final = ("packet_port", "peer_port", "gossip_port")
_TCP_PORTS: Final = ("channel_port", "operator_port", "metrics_port")

_SECTIONS: Final = {
    "vm": _Section(
        VmSettings,
        {
            "id": _Key(_read_id),
            "domain": _Key(_read_id),
            "region": _Key(_read_id),
            "address": _Key(_read_address),
            **{name: _Key(_read_port) for name in _UDP_PORTS + _TCP_PORTS},
        },
    ),
    "fabric": _Section(
        FabricSettings,
        {"address": _Key(_read_address), "port": _Key(_read_port)},
    ),
    "platform": _Section(PlatformSettings, {"url": _Key(_read_url)}),
    "peers": _Section(
        PeerSettings,
        {"seeds": _Key(_read_seeds, required=False, default=())},
    ),
    "security": _Section(
        SecuritySettings,
        {
            "peer_key": _Key(_read_key),
            "previous_peer_key": _Key(_read_key, required=False),
            "operator_key": _Key(_read_key),
        },
    ),
    "limits": _Section(
        LimitSettings,
        {
            "control_bytes_per_s": _Key(_read_control_rate),
            "max_flows": _Key(_read_max_flows),
        },
    ),
    "logs": _Section(LogSettings, {"path": _Key(_read_path, required=False)}),
}


def _split_sections(
    text: str, found: list[faults.SettingsFault]
) -> dict[str, dict[str, str]]:
    """Splits the text into sections, continuing after faults to find all."""
    lines = text.splitlines()
    while True:
        parser = configparser.RawConfigParser(
            default_section="", interpolation=None
        )
        parser.optionxform = str
        try:
            parser.read_string("\n".join(lines))
        except configparser.MissingSectionHeaderError as error:
            detail = f"line {error.lineno} is before the first section"
            found.append(_build_fault("", "", FaultReason.SYNTAX, detail))
            lines[error.lineno - 1] = ""
        except configparser.DuplicateOptionError as error:
            detail = f"line {error.lineno} repeats the key"
            found.append(
                _build_fault(
                    error.section, error.option, FaultReason.DUPLICATE, detail
                )
            )
            lines[error.lineno - 1] = ""
        except configparser.DuplicateSectionError as error:
            detail = f"line {error.lineno} repeats the section"
            found.append(
                _build_fault(error.section, "", FaultReason.DUPLICATE, detail)
            )
            lines = _remove_section(lines, error.lineno - 1)
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                detail = f"line {number} is not `key = value`"
                found.append(_build_fault("", "", FaultReason.SYNTAX, detail))
                lines[number - 1] = ""
        else:
            return {name: dict(parser[name]) for name in parser.sections()}


def _remove_section(lines: list[str], start: int) -> list[str]:
    """Blanks a section header and the lines up to the next header."""
    rest = itertools.takewhile(
        lambda line: not line.startswith("["), lines[start + 1 :]
    )
    end = start + 1 + sum(1 for _ in rest)
    return lines[:start] + [""] * (end - start) + lines[end:]


def _read_section(
    name: str, texts: dict[str, str], found: list[faults.SettingsFault]
) -> dict[str, Any]:
    keys = _SECTIONS[name].keys
    for key in texts:
        if key in keys:
            continue
        detail = f"allowed keys: {', '.join(keys)}"
        found.append(_build_fault(name, key, FaultReason.UNKNOWN_FIELD, detail))
    return {key: _read_value(name, key, texts.get(key), found) for key in keys}


def _read_value(
    section: str,
    key: str,
    text: str | None,
    found: list[faults.SettingsFault],
) -> Any:
    rule = _SECTIONS[section].keys[key]
    if text is None:
        if rule.required:
            detail = "the key is required"
            found.append(
                _build_fault(section, key, FaultReason.MISSING, detail)
            )
        return rule.default
    try:
        return rule.read(text)
    except _ValueError as error:
        found.append(_build_fault(section, key, error.reason, error.detail))
        return None


def _find_unknown_sections(
    sections: dict[str, dict[str, str]],
) -> Iterator[faults.SettingsFault]:
    for name in sections:
        if name in _SECTIONS:
            continue
        detail = f"allowed sections: {', '.join(_SECTIONS)}"
        yield _build_fault(name, "", FaultReason.UNKNOWN_FIELD, detail)


def _find_duplicate_ports(
    values: dict[str, Any],
) -> Iterator[faults.SettingsFault]:
    for names in (_UDP_PORTS, _TCP_PORTS):
        for first, second in itertools.combinations(names, 2):
            if values[first] is not None and values[first] == values[second]:
                detail = f"{first} has the same port number"
                yield _build_fault("vm", second, FaultReason.CONFLICT, detail)


def _find_duplicate_secrets(
    values: dict[str, Any],
) -> Iterator[faults.SettingsFault]:
    peer_key = values["peer_key"]
    if peer_key is None:
        return
    for name in ("previous_peer_key", "operator_key"):
        if values[name] == peer_key:
            detail = "peer_key has the same value"
            yield _build_fault("security", name, FaultReason.CONFLICT, detail)


def _build_fault(
    section: str, key: str, reason: FaultReason, detail: str
) -> faults.SettingsFault:
    return faults.SettingsFault(
        section=section, key=key, reason=reason, detail=detail
    )
