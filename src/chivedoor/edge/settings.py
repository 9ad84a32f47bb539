"""Settings of an edge balancer, read from an INI file."""

from collections.abc import Callable
import configparser
import socket
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from chivedoor import ids
from chivedoor.edge import exceptions

Value = TypeVar("Value")

_MAX_PORT = 65535


class Address(NamedTuple):
    """A host and port in the form that sockets accept."""

    host: str
    port: int


class Settings(NamedTuple):
    """Settings of a balancer.

    Attributes:
        vm: Id of this VM.
        domain: Failure domain of this VM.
        domains: All failure domains; empty if the deployment has only one.
        region: Region of this VM.
        address: IPv4 address of this VM.
        packets: Address at which packets arrive. Packets to callers are sent
            to the same port.
        readiness: Address of the readiness endpoint.
        peer_port: Port for traffic between balancers, the same on all VMs.
        peer_host: Address at which the other balancers reach this one.
        seeds: Initial peers, used to discover others; may be out of date.
        source: Address of the store.
        descriptors: Number of file descriptors that the process may open.
        bandwidth_mbps: Bandwidth of the VM's link in Mbit/s.
        grace_s: Time between SIGTERM and SIGKILL in seconds.
        metrics_port: Port of the metrics and state pages.
    """

    vm: ids.VmId
    domain: ids.DomainId
    domains: tuple[ids.DomainId, ...]
    region: ids.RegionId
    address: str
    packets: Address
    readiness: Address
    peer_port: int
    peer_host: str
    seeds: tuple[Address, ...]
    source: Address
    descriptors: int
    bandwidth_mbps: float
    grace_s: float
    metrics_port: int


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid. The error lists
            all faults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, ValueError, configparser.Error) as error:
        raise exceptions.SettingsError([f"{path}: {error}"]) from error
    reader = _OptionReader(parser=parser)
    address = reader.read("vm", "address", _parse_host)
    settings = Settings(
        vm=ids.VmId(reader.read("vm", "id", _parse_nonempty)),
        domain=ids.DomainId(reader.read("vm", "domain", _parse_nonempty)),
        domains=reader.read("vm", "domains", _parse_domains, ()),
        region=ids.RegionId(reader.read("vm", "region", _parse_nonempty)),
        address=address,
        packets=reader.read("packets", "address", parse_address),
        readiness=reader.read("readiness", "address", parse_address),
        peer_port=reader.read("peers", "port", _parse_port),
        peer_host=reader.read("peers", "address", _parse_host, address or ""),
        seeds=reader.read("peers", "seeds", _parse_addresses),
        source=reader.read("source", "address", parse_address),
        descriptors=reader.read("limits", "descriptors", _parse_positive_int),
        bandwidth_mbps=reader.read(
            "limits", "bandwidth_mbps", _parse_positive_float
        ),
        grace_s=reader.read("stop", "grace_s", _parse_positive_float),
        metrics_port=reader.read("metrics", "port", _parse_port),
    )
    if settings.domains and settings.domain not in settings.domains:
        reader.faults.append("vm.domains: does not contain vm.domain")
    if reader.faults:
        raise exceptions.SettingsError(reader.faults)
    return settings


def parse_address(text: str) -> Address:
    """Parses `host:port`.

    Raises:
        ValueError: The text is not an IPv4 address with a port.
    """
    host, _, port = text.rpartition(":")
    return Address(_parse_host(host), _parse_port(port))


class _OptionReader:
    """Reads options and collects their faults."""

    def __init__(self, *, parser: configparser.ConfigParser) -> None:
        self.faults: list[str] = []
        self._parser = parser

    def read(
        self,
        section: str,
        option: str,
        parse: Callable[[str], Value],
        default: Value | None = None,
    ) -> Value | Any:
        text = self._parser.get(section, option, fallback=None)
        if text is None:
            if default is None:
                self.faults.append(f"{section}.{option}: missing")
            return default
        try:
            return parse(text.strip())
        except ValueError as error:
            self.faults.append(f"{section}.{option}: {error}")
            return None


def _parse_nonempty(text: str) -> str:
    if not text:
        raise ValueError("empty")
    return text


def _parse_domains(text: str) -> tuple[ids.DomainId, ...]:
    parts = (part.strip() for part in text.split(","))
    return tuple(ids.DomainId(part) for part in parts if part)


def _parse_host(text: str) -> str:
    try:
        return socket.inet_ntoa(socket.inet_pton(socket.AF_INET, text))
    except (OSError, UnicodeEncodeError) as error:
        raise ValueError(f"{text!r} is not an IPv4 address") from error


def _parse_port(text: str) -> int:
    port = int(text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"{port} is not a port between 1 and 65535")
    return port


def _parse_positive_int(text: str) -> int:
    count = int(text)
    if count <= 0:
        raise ValueError(f"{count} is not positive")
    return count


def _parse_positive_float(text: str) -> float:
    size = float(text)
    if not 0 < size < float("inf"):
        raise ValueError(f"{text} is not a positive finite number")
    return size


def _parse_addresses(text: str) -> tuple[Address, ...]:
    parts = (part.strip() for part in text.split(","))
    return tuple(parse_address(part) for part in parts if part)
