"""Fake balancers with an operator interface, and a runner for the tool."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

import pytest

from chivedoor.cli import const
from chivedoor.cli import control
from chivedoor.control import commands
from chivedoor.control import operators
from chivedoor.rpc import exceptions

KEY = bytes(range(32))


class FakeBalancer:
    """Answers operator commands with fixed values."""

    def __init__(self, name: str, cluster: "FakeCluster", key: bytes) -> None:
        self.name = name
        self.out: set[str] = set()
        # Whether domain commands spread between this balancer and others.
        self.connected = True
        self.commands = 0
        self._cluster = cluster
        self.server = operators.OperatorServer(
            address="127.0.0.1",
            port=0,
            key=key,
            commands={
                commands.StatusCommand: self._async_status,
                commands.PeersCommand: self._async_peers,
                commands.DumpCommand: self._async_dump,
                commands.DomainOutCommand: self._async_set,
                commands.DomainInCommand: self._async_set,
            },
        )

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    async def _async_status(self, command: Any) -> commands.StatusReply:
        return commands.StatusReply(
            id=self.name,
            domain="a",
            state="ACTIVE",
            document_version=7,
            confirmed_age_s=90.0,
            flows=12,
            targets_owned=3,
            out_domains=sorted(self.out),
            packets=1000,
            drops=5,
        )

    async def _async_peers(self, command: Any) -> commands.PeersReply:
        return commands.PeersReply(peers=list(self._cluster.peers))

    async def _async_dump(self, command: Any) -> commands.DumpReply:
        return commands.DumpReply(
            state={"id": self.name, "raw": b"\x01\xff", "age": float("inf")}
        )

    async def _async_set(self, command: Any) -> Any:
        self.commands += 1
        if command.domain not in {"a", "b"}:
            raise exceptions.RequestRefusedError(
                code=exceptions.RefusalCode.REJECTED,
                detail=f"no failure domain {command.domain}",
            )
        out = isinstance(command, commands.DomainOutCommand)
        change = set.add if out else set.discard
        change(self.out, command.domain)
        for other in self._cluster.balancers:
            if other.connected and self.connected:
                change(other.out, command.domain)
        reply_type = commands.DomainOutReply if out else commands.DomainInReply
        return reply_type(domain=command.domain, out=out)


class FakeCluster:
    """Fake balancers that know each other."""

    def __init__(self) -> None:
        self.balancers: list[FakeBalancer] = []
        self.peers: list[commands.PeerRecord] = []

    async def async_add(self, name: str, key: bytes = KEY) -> FakeBalancer:
        balancer = FakeBalancer(name, self, key)
        await balancer.server.async_open()
        self.balancers.append(balancer)
        self.add_peer(name, balancer.server.port)
        return balancer

    def add_peer(self, name: str, port: int, state: str = "ACTIVE") -> None:
        self.peers.append(
            commands.PeerRecord(
                id=name,
                domain="a",
                state=state,
                address="127.0.0.1",
                operator_port=port,
            )
        )


@pytest.fixture
async def cluster() -> AsyncIterator[FakeCluster]:
    balancers = FakeCluster()
    yield balancers
    for balancer in balancers.balancers:
        await balancer.server.async_close()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Exit code and output of a run of the tool."""

    code: int
    out: str
    err: str


@pytest.fixture
def async_run(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Callable[..., Awaitable[Result]]:
    """Runs `chivedoorctl` in a thread beside the balancers' event loop."""
    monkeypatch.setenv(const.KEY_VARIABLE, KEY.hex())
    monkeypatch.delenv(const.ADDRESS_VARIABLE, raising=False)

    def run(arguments: tuple[str, ...]) -> int:
        with pytest.raises(SystemExit) as caught:
            control.main(arguments)
        return int(caught.value.code or 0)

    async def async_run_tool(*arguments: str) -> Result:
        code = await asyncio.to_thread(run, tuple(map(str, arguments)))
        captured = capsys.readouterr()
        return Result(code=code, out=captured.out, err=captured.err)

    return async_run_tool
