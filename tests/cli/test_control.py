"""Tests of `chivedoorctl` and all its exit codes."""

import io
import json
import pathlib
import socket
import subprocess
import sys

import pytest

from chivedoor.cli import const
from chivedoor.cli import control
from chivedoor.cli import exceptions
from chivedoor.cli import fleet

ExitCode = const.ExitCode
OTHER_KEY = bytes(range(32, 64))


@pytest.fixture
def closed_address():
    """An address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    return f"127.0.0.1:{port}"


@pytest.fixture
def document(examples_path):
    return json.loads((examples_path / "mtskheta.json").read_text())


@pytest.fixture
def write(tmp_path):
    """Writes a document to a file and returns its path."""

    def write(name, value):
        path = tmp_path / name
        path.write_text(json.dumps(value))
        return path

    return write


async def test_status_prints_one_row_for_each_balancer(cluster, async_run):
    # Guards against table columns that do not match their headings.
    first = await cluster.async_add("vm-1")
    second = await cluster.async_add("vm-2")
    first.out.add("b")
    result = await async_run(
        "status", "--address", second.address, "--address", first.address
    )
    assert result.code == ExitCode.OK
    rows = [line.split("  ") for line in result.out.splitlines()]
    cells = [[cell.strip() for cell in row if cell.strip()] for row in rows]
    assert cells == [
        [
            "ID",
            "DOMAIN",
            "STATE",
            "DOCUMENT",
            "CONFIRMED",
            "FLOWS",
            "TARGETS",
            "OUT",
            "PACKETS",
            "DROPS",
        ],
        ["vm-1", "a", "active", "7", "1.5 min", "12", "3", "b", "1000", "5"],
        ["vm-2", "a", "active", "7", "1.5 min", "12", "3", "-", "1000", "5"],
    ]


async def test_status_all_asks_the_members_that_are_not_dead(
    cluster, async_run, closed_address
):
    # Guards against a status of one balancer only, and against dead members
    # that make every status command report partial success.
    first = await cluster.async_add("vm-1")
    await cluster.async_add("vm-2")
    dead_port = int(closed_address.split(":")[1])
    cluster.add_peer("vm-3", dead_port, state="DEAD")
    result = await async_run("status", "--all", "--address", first.address)
    assert result.code == ExitCode.OK
    assert len(result.out.splitlines()) == 3
    alone = await async_run("status", "--address", first.address)
    assert len(alone.out.splitlines()) == 2


async def test_member_without_a_known_port_is_asked_on_the_port_of_its_peer(
    cluster, async_run
):
    # Guards against a member that is reported as unreachable because it has
    # not yet announced its operator port.
    first = await cluster.async_add("vm-1")
    cluster.add_peer("vm-2", 0)
    result = await async_run("status", "--all", "--address", first.address)
    assert result.code == ExitCode.OK


async def test_status_json_has_the_same_values(
    cluster, async_run, closed_address
):
    # Guards against JSON output that lacks values of the table, so that
    # scripts would have to parse the table.
    first = await cluster.async_add("vm-1")
    result = await async_run(
        "status",
        "--json",
        "--address",
        first.address,
        "--address",
        closed_address,
    )
    assert result.code == ExitCode.PARTLY_REACHED
    reached, missing = json.loads(result.out)
    assert reached["id"] == "vm-1"
    assert reached["document_version"] == 7
    assert reached["confirmed_age_s"] == 90.0
    assert missing["address"] == closed_address
    assert "cannot connect" in missing["error"]


async def test_partly_reached_status_names_the_missing_balancer(
    cluster, async_run, closed_address
):
    # Guards against an incomplete table that looks complete.
    first = await cluster.async_add("vm-1")
    result = await async_run(
        "status", "--address", closed_address, "--address", first.address
    )
    assert result.code == ExitCode.PARTLY_REACHED
    assert "vm-1" in result.out
    assert closed_address in result.err


@pytest.mark.parametrize(
    "command", [["status"], ["dump"], ["domain", "out", "a"]]
)
async def test_no_balancer_reached(async_run, closed_address, command):
    # Guards against a successful exit code when no balancer replied.
    result = await async_run(*command, "--address", closed_address)
    assert result.code == ExitCode.NOT_REACHED
    assert closed_address in result.err


@pytest.mark.parametrize(
    "command", [["status"], ["dump"], ["domain", "out", "a"]]
)
async def test_wrong_key(cluster, async_run, monkeypatch, command):
    # Guards against commands that are accepted with a wrong key.
    balancer = await cluster.async_add("vm-1")
    monkeypatch.setenv(const.KEY_VARIABLE, OTHER_KEY.hex())
    result = await async_run(*command, "--address", balancer.address)
    assert result.code == ExitCode.NOT_REACHED
    assert "authentication failed" in result.err
    assert balancer.commands == 0


async def test_key_file_is_used_before_the_variable(
    cluster, async_run, tmp_path
):
    # Guards against a given key file that is silently ignored.
    balancer = await cluster.async_add("vm-1", OTHER_KEY)
    path = tmp_path / "key"
    path.write_text(f"{OTHER_KEY.hex()}\n")
    result = await async_run(
        "status", "--address", balancer.address, "--key-file", path
    )
    assert result.code == ExitCode.OK


async def test_address_variable_is_the_default(cluster, async_run, monkeypatch):
    # Guards against ignoring a documented environment variable.
    first = await cluster.async_add("vm-1")
    second = await cluster.async_add("vm-2")
    monkeypatch.setenv(
        const.ADDRESS_VARIABLE, f"{first.address}, {second.address}"
    )
    result = await async_run("status")
    assert result.code == ExitCode.OK
    assert len(result.out.splitlines()) == 3


async def test_dump_is_json_by_address(cluster, async_run):
    # Guards against values that JSON cannot represent.
    balancer = await cluster.async_add("vm-1")
    result = await async_run("dump", "--address", balancer.address)
    assert result.code == ExitCode.OK
    assert json.loads(result.out) == {
        balancer.address: {"id": "vm-1", "raw": "01ff", "age": None}
    }


async def test_domain_out_and_in_are_in_force_everywhere(cluster, async_run):
    # Guards against a command that returns before it is in force, and
    # against sending the command to every balancer.
    balancers = [await cluster.async_add(f"vm-{n}") for n in range(3)]
    address = balancers[0].address
    result = await async_run("domain", "out", "b", "--address", address)
    assert result.code == ExitCode.OK
    assert result.out.startswith("b is out on 3 of 3 reachable balancers")
    assert all(balancer.out == {"b"} for balancer in balancers)
    assert [balancer.commands for balancer in balancers] == [1, 0, 0]
    result = await async_run("domain", "in", "b", "--address", address)
    assert result.code == ExitCode.OK
    assert result.out.startswith("b is in on 3 of 3 reachable balancers")
    assert all(balancer.out == set() for balancer in balancers)


async def test_domain_command_names_unreachable_balancers(
    cluster, async_run, closed_address
):
    # Guards against a domain that looks as if it was out on all balancers.
    balancer = await cluster.async_add("vm-1")
    cluster.add_peer("vm-2", int(closed_address.split(":")[1]))
    result = await async_run(
        "domain", "out", "b", "--address", balancer.address
    )
    assert result.code == ExitCode.PARTLY_REACHED
    assert result.out.startswith("b is out on 1 of 1 reachable balancers")
    assert closed_address in result.err


async def test_balancer_that_is_cut_off_gets_the_command_directly(
    cluster, async_run, monkeypatch
):
    # Guards against a command that a network partition between balancers
    # stops although the operator can reach both sides.
    monkeypatch.setattr(const, "RESEND_AFTER_S", 0.0)
    first = await cluster.async_add("vm-1")
    second = await cluster.async_add("vm-2")
    second.connected = False
    result = await async_run("domain", "out", "b", "--address", first.address)
    assert result.code == ExitCode.OK
    assert second.out == {"b"}
    assert (first.commands, second.commands) == (1, 1)


async def test_command_that_does_not_spread_is_reported(
    cluster, async_run, monkeypatch
):
    # Guards against an endless wait, and against success after a timeout.
    monkeypatch.setattr(const, "RESEND_AFTER_S", 1e9)
    first = await cluster.async_add("vm-1")
    second = await cluster.async_add("vm-2")
    second.connected = False
    result = await async_run(
        "domain", "out", "b", "--wait-s", "0.1", "--address", first.address
    )
    assert result.code == ExitCode.PARTLY_REACHED
    assert result.out.startswith("b is out on 1 of 2 reachable balancers")
    assert f"{second.address}: not in force" in result.err


async def test_unreachable_address_does_not_stop_a_domain_command(
    cluster, async_run, closed_address
):
    # Guards against a command that fails if its first address is down.
    balancer = await cluster.async_add("vm-1")
    result = await async_run(
        "domain",
        "out",
        "b",
        "--address",
        closed_address,
        "--address",
        balancer.address,
    )
    assert result.code == ExitCode.PARTLY_REACHED
    assert balancer.out == {"b"}


async def test_unknown_domain_is_rejected(cluster, async_run):
    # Guards against success for a misspelled failure domain.
    balancer = await cluster.async_add("vm-1")
    result = await async_run(
        "domain", "out", "zz", "--address", balancer.address
    )
    assert result.code == ExitCode.FAULTS
    assert "no failure domain zz" in result.err


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["restart"],
        ["domain"],
        ["domain", "out"],
        ["status", "--colour"],
        ["status"],
        ["status", "--address", "host"],
        ["status", "--address", ":80"],
        ["status", "--address", "127.0.0.1:0"],
        ["status", "--address", "127.0.0.1:65536"],
        ["status", "--address", "127.0.0.1:x"],
        ["status", "--key-file", "/nonexistent", "--address", "127.0.0.1:1"],
        ["validate"],
        ["validate", "/nonexistent"],
        ["diff", "/nonexistent", "/nonexistent"],
        ["completion", "csh"],
    ],
)
async def test_wrong_usage(async_run, arguments):
    # Guards against usage errors that scripts cannot tell from results.
    result = await async_run(*arguments)
    assert result.code == ExitCode.USAGE
    assert result.err


@pytest.mark.parametrize("key", [None, "", "zz", "00ff", "00" * 65])
async def test_missing_or_malformed_key(async_run, monkeypatch, key):
    # Guards against accepting an empty key, and against error messages that
    # contain the key.
    if key is None:
        monkeypatch.delenv(const.KEY_VARIABLE)
    else:
        monkeypatch.setenv(const.KEY_VARIABLE, key)
    result = await async_run("status", "--address", "127.0.0.1:1")
    assert result.code == ExitCode.USAGE
    assert const.KEY_VARIABLE in result.err
    assert not key or key not in result.err


async def test_valid_document(async_run, examples_path):
    # Guards against a validator that rejects the shipped examples.
    result = await async_run("validate", examples_path / "laurentide.json")
    assert result.code == ExitCode.OK
    assert "no faults" in result.out


async def test_document_from_standard_input(
    async_run, examples_path, monkeypatch
):
    # Guards against taking `-` for a file name.
    data = (examples_path / "mtskheta.json").read_bytes()
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(data)))
    result = await async_run("validate", "-")
    assert result.code == ExitCode.OK


async def test_every_fault_is_listed(async_run, document, write):
    # Guards against a validator that stops at the first fault.
    document["services"][0]["endpoints"][0][3] = -1
    document["services"][0]["endpoints"][1][2] = "nowhere"
    document["more"] = 1
    path = write("broken.json", document)
    result = await async_run("validate", path)
    assert result.code == ExitCode.FAULTS
    lines = result.out.splitlines()
    assert len(lines) >= 2
    assert all(line.startswith(f"{path}: ") for line in lines)
    assert any("endpoints[0]" in line for line in lines)
    assert any("more" in line for line in lines)


async def test_document_is_checked_against_the_previous_one(
    async_run, document, write, examples_path
):
    # Guards against approving a document that the balancers would reject as
    # successor of the current one.
    document["services"][0]["endpoints"].pop()
    path = write("next.json", document)
    alone = await async_run("validate", path)
    assert alone.code == ExitCode.OK
    result = await async_run(
        "validate", path, "--previous", examples_path / "mtskheta.json"
    )
    assert result.code == ExitCode.FAULTS
    assert "version" in result.out
    assert "retired" in result.out


async def test_diff_lists_each_change(
    async_run, document, write, examples_path
):
    # Guards against a change that operators cannot review in advance.
    service = document["services"][0]
    removed = service["endpoints"].pop()
    changed = service["endpoints"][0]
    changed[3] = 55
    added = [999, "127.9.9.9", changed[2], 100, "active", None]
    service["endpoints"].append(added)
    policy = document["policies"][service["policy"]]
    policy["slots"] += 1
    document["version"] += 1
    document["retired"] = [[removed[1], service["id"], 1_900_000_000]]
    result = await async_run(
        "diff", examples_path / "mtskheta.json", write("new.json", document)
    )
    assert result.code == ExitCode.OK
    name = service["id"]
    lines = result.out.splitlines()
    assert lines[0].startswith("~ version: ")
    assert f"- service {name} endpoint {removed[0]}" in lines
    assert any(
        line.startswith(f"~ service {name} endpoint {changed[0]}: weight: ")
        and line.endswith("-> 55")
        for line in lines
    )
    assert any(
        line.startswith(f"+ service {name} endpoint 999: address 127.9.9.9")
        for line in lines
    )
    assert any(
        line.startswith(f"~ policy {service['policy']}: slots: ")
        for line in lines
    )
    assert any(
        line.startswith(f"+ retired {removed[1]} of {name}") for line in lines
    )
    assert len(lines) == 6


async def test_diff_of_equal_documents_is_empty(async_run, examples_path):
    # Guards against reporting changes that do not exist.
    path = examples_path / "mtskheta.json"
    result = await async_run("diff", path, path)
    assert (result.code, result.out) == (ExitCode.OK, "")


async def test_diff_of_a_faulty_document(async_run, write, examples_path):
    # Guards against a traceback instead of a list of faults.
    result = await async_run(
        "diff", examples_path / "mtskheta.json", write("bad.json", [])
    )
    assert result.code == ExitCode.FAULTS
    assert "bad.json" in result.out


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
async def test_completion_script(async_run, shell):
    # Guards against a script for another program name.
    result = await async_run("completion", shell)
    assert result.code == ExitCode.OK
    assert "chivedoorctl" in result.out
    assert "--completion=complete" in result.out


async def test_completion_offers_the_commands(async_run, monkeypatch):
    # Guards against a completion without candidates.
    monkeypatch.setenv("COMPLETION_LINE", "chivedoorctl ")
    monkeypatch.setenv("COMPLETION_LOCATION", "2")
    result = await async_run("--completion=complete")
    offered = {line.split(":")[0] for line in result.out.splitlines()}
    assert {"status", "dump", "domain", "validate", "diff"} <= offered


@pytest.mark.parametrize(
    "command",
    [
        [],
        ["status"],
        ["dump"],
        ["domain"],
        ["domain", "out"],
        ["domain", "in"],
        ["explain"],
        ["validate"],
        ["diff"],
        ["completion"],
    ],
)
async def test_help_has_an_example(async_run, command):
    # Guards against a command without an example of its use.
    result = await async_run(*command, "--help")
    assert result.code == ExitCode.OK
    assert "chivedoorctl " + " ".join(command) in result.out
    examples = [
        line
        for line in result.out.splitlines()
        if line.startswith("   chivedoorctl")
    ]
    assert examples


async def test_help_documents_the_exit_codes(async_run):
    # Guards against exit codes that are documented only in the source.
    result = await async_run("--help")
    text = " ".join(result.out.split())
    assert (
        "Exit codes: 0 fine, 1 faults, 2 usage, 3 partly reached, "
        "4 not reachable or not authenticated." in text
    )


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:80", fleet.Address("127.0.0.1", 80)),
        (" [::1]:80", fleet.Address("::1", 80)),
    ],
)
def test_addresses_are_parsed(text, address):
    # Guards against IPv6 addresses that are split at the wrong colon.
    assert control.parse_address(text) == address
    assert control.parse_address(str(address)) == address


def test_unknown_host_is_a_usage_error():
    # Guards against an unhandled error of the resolver.
    with pytest.raises(exceptions.UsageError):
        control.parse_address("no.such.host.invalid:80")


def test_entry_point_runs_as_a_process(examples_path):
    # Guards against an entry point that works only within pytest.
    path = pathlib.Path(examples_path / "mtskheta.json")
    done = subprocess.run(
        [
            sys.executable,
            "-c",
            "from chivedoor.cli import control; control.main()",
            "validate",
            str(path),
        ],
        capture_output=True,
        text=True,
        check=False,
        cwd=examples_path.parent / "src",
    )
    assert done.returncode == ExitCode.OK, done.stderr
    assert "no faults" in done.stdout
