"""Runs a balancer whose peer traffic goes through the relay.

Network namespaces could give each VM its own address, but isolation tools must
not be used. Instead, this process redirects the sockets of its peer ports. The
balancer's code is unchanged.
"""

import dataclasses
import runpy
import socket
import sys
from typing import Annotated

import cappa


def redirect_sockets(*, known: str, actual: str, ports: frozenset[int]) -> None:
    """Patches sockets so that peer ports use an address behind the relay.

    Sockets for a peer port of `known` are bound to `actual` instead, and
    connections to peer ports of other VMs use `actual` as source address.
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
    """Runs a module with its peer ports redirected to the relay."""

    known: Annotated[str, cappa.Arg(help="Address in the settings.")]
    actual: Annotated[str, cappa.Arg(help="Address behind the relay.")]
    ports: Annotated[str, cappa.Arg(help="Peer ports, separated by commas.")]
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
