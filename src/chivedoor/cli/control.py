"""The command `chivedoorctl`."""

import asyncio
from collections.abc import Sequence
import dataclasses
import functools
import ipaddress
import itertools
import json
import os
import pathlib
import socket
import sys
import time
from typing import Annotated
from typing import Any
from typing import Literal

import cappa
from cappa.completion import shells

from chivedoor.cli import const
from chivedoor.cli import exceptions
from chivedoor.cli import explanations
from chivedoor.cli import fleet
from chivedoor.cli import flows
from chivedoor.cli import reports
from chivedoor.configuration import checks
from chivedoor.configuration import document as documents
from chivedoor.configuration import exceptions as configuration_errors
from chivedoor.configuration import faults
from chivedoor.control import commands
from chivedoor.rpc import exceptions as rpc_exceptions
from chivedoor.rpc import session

ExitCode = const.ExitCode

AddressOption = Annotated[
    list[str],
    cappa.Arg(
        long="--address",
        value_name="HOST:PORT",
        help=(
            "Operator address of a balancer; may be repeated. "
            f"Default: ${const.ADDRESS_VARIABLE}, separated by commas."
        ),
    ),
]
KeyOption = Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long="--key-file",
        value_name="FILE",
        help=(
            "File that contains the operator key in hexadecimal. "
            f"Default: the key in ${const.KEY_VARIABLE}."
        ),
    ),
]
WaitOption = Annotated[
    float,
    cappa.Arg(
        long="--wait-s",
        value_name="SECONDS",
        help="How long to wait until it is in force on all balancers.",
    ),
]
NameArgument = Annotated[
    str, cappa.Arg(value_name="NAME", help="Name of the failure domain.")
]


def _list_field() -> Any:
    return dataclasses.field(default_factory=list)


@cappa.command(
    help="Show the status of balancers.",
    description="""Prints one row for each balancer. DOCUMENT is the version in
force, CONFIRMED the time since the platform last confirmed it, FLOWS and
TARGETS are the numbers of flows and targets that the balancer owns, and OUT
lists the failure domains that are out.

```
chivedoorctl status --address 10.0.0.5:7600 --all
chivedoorctl status --address 10.0.0.5:7600 --address 10.0.1.5:7600 --json
```

Exit codes: 0 all answered, 3 some did not answer, 4 none did.""",
)
@dataclasses.dataclass
class Status:
    """Arguments of `status`."""

    address: AddressOption = _list_field()
    key_file: KeyOption = None
    all: Annotated[
        bool,
        cappa.Arg(
            long="--all",
            help="Also query all members that these balancers know.",
        ),
    ] = False
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON instead of a table.")
    ] = False


@cappa.command(
    help="Print the full state of balancers as JSON.",
    description="""The output is an object that maps addresses to states. Byte
strings are in hexadecimal.

```
chivedoorctl dump --address 10.0.0.5:7600 > state.json
```

Exit codes: 0 all answered, 3 some did not answer, 4 none did.""",
)
@dataclasses.dataclass
class Dump:
    """Arguments of `dump`."""

    address: AddressOption = _list_field()
    key_file: KeyOption = None


@cappa.command(
    help="Take a failure domain out.",
    description="""The balancers stop sending packets to its targets and reset
their flows. The command returns when this is in force on every reachable
balancer.

```
chivedoorctl domain out zone-b --address 10.0.0.5:7600
```

Exit codes: 0 in force on all balancers, 1 no such failure domain, 3 not in
force on some that are reachable, or some are not reachable, 4 none is
reachable.""",
)
@dataclasses.dataclass
class Out:
    """Arguments of `domain out`."""

    name: NameArgument
    address: AddressOption = _list_field()
    key_file: KeyOption = None
    wait_s: WaitOption = const.DEFAULT_WAIT_S


@cappa.command(
    name="in",
    help="Bring a failure domain back.",
    description="""Its targets count as cold, so the rate of new flows to them
ramps up gradually. The command returns when this is in force on every
reachable balancer.

```
chivedoorctl domain in zone-b --address 10.0.0.5:7600
```

Exit codes: as for `domain out`.""",
)
@dataclasses.dataclass
class In:
    """Arguments of `domain in`."""

    name: NameArgument
    address: AddressOption = _list_field()
    key_file: KeyOption = None
    wait_s: WaitOption = const.DEFAULT_WAIT_S


@cappa.command(
    help="Take a failure domain out or bring it back.",
    description="""
```
chivedoorctl domain out zone-b --address 10.0.0.5:7600
chivedoorctl domain in zone-b --address 10.0.0.5:7600
```""",
)
@dataclasses.dataclass
class Domain:
    """Arguments of `domain`."""

    action: cappa.Subcommands[Out | In]


@cappa.command(
    help="Explain where an edge balancer would place a new flow.",
    description="""Prints the targets that a new flow of CALLER to ROUTE may go
to now, with the probability of each, and what rules the others out. Nothing is
sent to a target, and no state of the balancer changes.

```
chivedoorctl explain 100.64.0.4 orders
chivedoorctl explain 100.64.0.4:1056 198.18.0.63:443 --json
```

Exit codes: 0 explained, 1 the balancer cannot be reached, 2 unknown route or
malformed caller.""",
)
@dataclasses.dataclass
class Explain:
    """Arguments of `explain`."""

    caller: Annotated[
        str,
        cappa.Arg(
            value_name="CALLER", help="Caller, as ADDRESS or ADDRESS:PORT."
        ),
    ]
    route: Annotated[
        str,
        cappa.Arg(value_name="ROUTE", help="Name of the route, or HOST:PORT."),
    ]
    address: Annotated[
        str,
        cappa.Arg(
            long="--address",
            value_name="HOST:PORT",
            help="Address and metrics port of the edge balancer.",
        ),
    ] = const.EXPLANATION_ADDRESS
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON instead of text.")
    ] = False


FileArgument = Annotated[
    pathlib.Path,
    cappa.Arg(value_name="FILE", help="Document in JSON; - is standard input."),
]


@cappa.command(
    help="Show the history of a flow from logs of edge balancers.",
    description="""Prints the decisions of balancers on the packets of a flow
and the events that show their state at that time, oldest first.

```
chivedoorctl flow vm-1.log vm-2.log --flow 100.64.0.4:1056
```""",
)
@dataclasses.dataclass
class Flow:
    """Arguments of `flow`."""

    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(value_name="LOG", help="Logs of edge balancers."),
    ]
    flow: Annotated[
        str,
        cappa.Arg(
            long="--flow",
            value_name="CALLER:PORT",
            help="ID of the flow, or the beginning of it.",
        ),
    ]
    margin_s: Annotated[
        float,
        cappa.Arg(
            long="--margin-s",
            value_name="SECONDS",
            help="Show state events up to this long before and after the flow.",
        ),
    ] = 5.0


@cappa.command(
    help="Check a document and list every fault.",
    description="""With `--previous` the document is also checked as the
successor of the one in that file: its version must be higher, and no address
or endpoint number may move to another service too early.

```
chivedoorctl validate document.json --previous running.json
```

Exit codes: 0 no faults, 1 faults, 2 a file cannot be read.""",
)
@dataclasses.dataclass
class Validate:
    """Arguments of `validate`."""

    file: FileArgument
    previous: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long="--previous",
            value_name="FILE",
            help="Document that is currently in force.",
        ),
    ] = None


@cappa.command(
    help="List the changes between two documents.",
    description="""Lines start with `+` for additions, `-` for removals and `~`
for changes.

```
chivedoorctl diff running.json document.json
```

Exit codes: 0 compared, 1 a document has faults, 2 a file cannot be read.""",
)
@dataclasses.dataclass
class Diff:
    """Arguments of `diff`."""

    old: Annotated[
        pathlib.Path, cappa.Arg(value_name="OLD", help="Older document.")
    ]
    new: Annotated[
        pathlib.Path, cappa.Arg(value_name="NEW", help="Newer document.")
    ]


@cappa.command(
    help="Print the shell completion script.",
    description="""
```
chivedoorctl completion bash > /etc/bash_completion.d/chivedoorctl
```""",
)
@dataclasses.dataclass
class Completion:
    """Arguments of `completion`."""

    shell: Annotated[
        Literal["bash", "zsh", "fish"],
        cappa.Arg(value_name="SHELL", help="Shell to generate the script for."),
    ] = "bash"


@cappa.command(
    name="chivedoorctl",
    help="Operates chivedoor balancers.",
    description=f"""
```
export {const.ADDRESS_VARIABLE}=10.0.0.5:7600
chivedoorctl status --all --key-file operator.key
chivedoorctl domain out zone-b --key-file operator.key
chivedoorctl validate document.json --previous running.json
```

Exit codes: 0 fine, 1 faults, 2 usage, 3 partly reached, 4 not reachable or
not authenticated.""",
)
@dataclasses.dataclass
class Control:
    """Arguments of `chivedoorctl`."""

    command: cappa.Subcommands[
        Status | Dump | Domain | Flow | Explain | Validate | Diff | Completion
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs `chivedoorctl` and exits with an `ExitCode`."""
    parsed = cappa.parse(
        Control, argv=None if arguments is None else list(arguments)
    )
    try:
        code = run_command(parsed.command)
    except exceptions.DocumentFaultsError as error:
        # The faults are the result of the command, so they go to stdout.
        print(error)
        code = error.exit_code
    except exceptions.CliError as error:
        _print_error(f"chivedoorctl: {error}")
        code = error.exit_code
    except KeyboardInterrupt:
        _print_error("chivedoorctl: interrupted")
        code = ExitCode.USAGE
    sys.exit(int(code))


@functools.singledispatch
def run_command(command: Any) -> const.ExitCode:
    """Runs one command and prints its result.

    Raises:
        CliError: The command failed.
    """
    raise exceptions.UsageError(f"unsupported command {type(command).__name__}")


@run_command.register
def _(command: Domain) -> const.ExitCode:
    return run_command(command.action)


@run_command.register
def _(command: Status) -> const.ExitCode:
    answers = asyncio.run(_async_get_status(command))
    if command.json:
        print(reports.format_status_json(answers))
    fleet.require_answer(answers)
    if not command.json:
        print(reports.format_table(answers))
    return _report_unreached(answers)


@run_command.register
def _(command: Dump) -> const.ExitCode:
    answers = asyncio.run(_async_get_dump(command))
    fleet.require_answer(answers)
    print(reports.format_dump(answers))
    return _report_unreached(answers)


@run_command.register
def _(command: Out) -> const.ExitCode:
    return _set_domain(command, out=True)


@run_command.register
def _(command: In) -> const.ExitCode:
    return _set_domain(command, out=False)


@run_command.register
def _(command: Flow) -> const.ExitCode:
    lines = itertools.chain.from_iterable(
        _read_file(path).decode(errors="replace").splitlines()
        for path in command.files
    )
    events = flows.select_events(
        flows.parse_lines(lines), command.flow, command.margin_s
    )
    if not events:
        _print_error(f"chivedoorctl: no events of flow {command.flow}")
        return ExitCode.USAGE
    print(flows.format_events(events))
    return ExitCode.OK


@run_command.register
def _(command: Explain) -> const.ExitCode:
    explanation = asyncio.run(
        explanations.async_fetch(
            parse_address(command.address), command.caller, command.route
        )
    )
    if command.json:
        print(json.dumps(explanation, indent=2))
    else:
        print(explanations.format_explanation(explanation))
    return ExitCode.OK


@run_command.register
def _(command: Validate) -> const.ExitCode:
    document = _read_document(command.file)
    previous = _read_document(command.previous) if command.previous else None
    found = checks.check_document(document, previous, wall_clock_s=time.time())
    if found:
        raise _create_fault_error(command.file, found)
    print(f"{command.file}: version {document.version}: no faults")
    return ExitCode.OK


@run_command.register
def _(command: Diff) -> const.ExitCode:
    old = _read_document(command.old)
    new = _read_document(command.new)
    for line in reports.list_changes(old, new):
        print(line)
    return ExitCode.OK


@run_command.register
def _(command: Completion) -> const.ExitCode:
    handler = shells.available_shells[command.shell]
    option = cappa.Arg(long=["--completion"])
    print(handler.backend_template("chivedoorctl", option))
    return ExitCode.OK


def parse_address(text: str) -> fleet.Address:
    """Parses an address of the form `HOST:PORT` or `[IPv6]:PORT`.

    Host names are resolved, so that a balancer given under two names is
    queried once.

    Raises:
        UsageError: The text is not an address, or the host is unknown.
    """
    host, separator, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not host or not port.isascii() or not port.isdigit():
        raise exceptions.UsageError(f"{text!r} is not HOST:PORT")
    if not 0 < int(port) <= 65_535:
        raise exceptions.UsageError(f"{text!r}: the port is not in 1 to 65535")
    return fleet.Address(_resolve_host(host), int(port))


def _resolve_host(host: str) -> str:
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        pass
    try:
        found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError) as error:
        raise exceptions.UsageError(
            f"cannot resolve {host}: {error}"
        ) from error
    return found[0][4][0]


def _read_addresses(given: Sequence[str]) -> list[fleet.Address]:
    texts = given or os.environ.get(const.ADDRESS_VARIABLE, "").split(",")
    addresses = [parse_address(text) for text in texts if text.strip()]
    if not addresses:
        raise exceptions.UsageError(
            f"no --address given, and ${const.ADDRESS_VARIABLE} is not set"
        )
    return list(dict.fromkeys(addresses))


def _read_key(path: pathlib.Path | None) -> bytes:
    """Returns the operator key; error messages never contain it."""
    if path is None:
        source = f"${const.KEY_VARIABLE}"
        text = os.environ.get(const.KEY_VARIABLE)
    else:
        source = str(path)
        text = _read_file(path).decode(errors="replace")
    if text is None:
        raise exceptions.UsageError(
            f"no --key-file given, and {source} is not set"
        )
    try:
        (key,) = session.check_keys([bytes.fromhex(text.strip())])
    except (ValueError, rpc_exceptions.InvalidKeyError):
        raise exceptions.UsageError(
            f"{source}: not a key of 16 to 64 bytes in hexadecimal"
        ) from None
    return key


def _read_file(path: pathlib.Path) -> bytes:
    try:
        if str(path) == "-":
            return sys.stdin.buffer.read()
        return path.read_bytes()
    except OSError as error:
        raise exceptions.UsageError(f"{path}: {error.strerror}") from error


def _read_document(path: pathlib.Path) -> documents.Document:
    """Reads and parses a document.

    Raises:
        DocumentFaultsError: The parser found faults.
        UsageError: The file cannot be read.
    """
    data = _read_file(path)
    try:
        return documents.parse_document(data)
    except configuration_errors.DocumentError as error:
        raise _create_fault_error(path, error.faults) from error


def _create_fault_error(
    path: pathlib.Path, found: Sequence[faults.Fault]
) -> exceptions.DocumentFaultsError:
    return exceptions.DocumentFaultsError(
        "\n".join(f"{path}: {fault}" for fault in found)
    )


async def _async_get_status(command: Status) -> list[fleet.Answer]:
    balancers = fleet.Fleet(key=_read_key(command.key_file))
    addresses = _read_addresses(command.address)
    if command.all:
        addresses = await balancers.async_discover(addresses)
    return await balancers.async_send(addresses, commands.StatusCommand())


async def _async_get_dump(command: Dump) -> list[fleet.Answer]:
    balancers = fleet.Fleet(key=_read_key(command.key_file))
    addresses = _read_addresses(command.address)
    return await balancers.async_send(addresses, commands.DumpCommand())


def _set_domain(command: Out | In, *, out: bool) -> const.ExitCode:
    result = asyncio.run(_async_set_domain(command, out))
    print(reports.format_domain_result(result, command.name, out))
    for address in result.not_in_force:
        _print_error(f"{address}: not in force")
    code = _report_unreached(result.unreached)
    return ExitCode.PARTLY_REACHED if result.not_in_force else code


async def _async_set_domain(command: Out | In, out: bool) -> fleet.DomainResult:
    balancers = fleet.Fleet(key=_read_key(command.key_file))
    addresses = _read_addresses(command.address)
    return await balancers.async_set_domain(
        addresses, command.name, out, command.wait_s
    )


def _report_unreached(answers: Sequence[fleet.Answer]) -> const.ExitCode:
    unreached = [answer for answer in answers if answer.reply is None]
    for answer in unreached:
        _print_error(f"{answer.address}: {answer.error}")
    return ExitCode.PARTLY_REACHED if unreached else ExitCode.OK


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


if __name__ == "__main__":
    main()
