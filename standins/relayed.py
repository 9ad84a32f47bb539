"""Runs a balancer whose traffic with its peers passes through the relay.

A network namespace would give each VM its own address; isolation tools are
ruled out, so this process redirects the sockets of its peer ports. The
balancer itself runs unchanged.
"""

import dataclasses
import runpy
import socket
import sys
from typing import Annotated

import cappa


def redirect_sockets(*, known: str, actual: str, ports: frozenset[int]) -> None:
    """Moves the peer ports of this process to an address behind the relay.

    Sockets bound to a peer port of `known` are bound to `actual`, and
    connections to the peer ports of others come from `actual`.
    """
    bind = socket.socket.bind
    connect = socket.socket.connect

    def bind_redirected(opened: socket.socket, address: tuple) -> None:
        if address[0] == known and address[1] in ports:
            address = (actual, *address[1:])
        bind(opened, address)

    def connect_redirected(opened: socket.socket, address: tuple) -> None:
        is_stream = opened.type == socket.SOCK_STREAM
        if is_stream and address[1] in ports:
            bind(opened, (actual, 0))
        connect(opened, address)

    socket.socket.bind = bind_redirected
    socket.socket.connect = connect_redirected


@cappa.command(name="python -m standins.relayed")
@dataclasses.dataclass
class Command:
    """Runs a module with its peer ports behind the relay."""

    known: Annotated[str, cappa.Arg(help="Address in the settings.")]
    actual: Annotated[str, cappa.Arg(help="Address behind the relay.")]
    ports: Annotated[str, cappa.Arg(help="Peer ports, with commas.")]
    module: Annotated[str, cappa.Arg(help="Module to run.")]
    arguments: Annotated[list[str], cappa.Arg(num_args=-1)]

    def __call__(self) -> None:
        """Runs the module in this process."""
        ports = frozenset(int(port) for port in self.ports.split(","))
        redirect_sockets(known=self.known, actual=self.actual, ports=ports)
        sys.argv = [self.module, *self.arguments]
        runpy.run_module(self.module, run_name="__main__", alter_sys=True)


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
