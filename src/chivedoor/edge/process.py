"""The life of a process, loaded after its packet socket is bound."""

import asyncio
import gc
import socket
import sys
from typing import Any

from chivedoor.edge import application
from chivedoor.edge import lines
from chivedoor.edge import settings as settings_module


def run(
    path: str, settings: settings_module.Settings, bound: socket.socket
) -> None:
    """Runs a balancer until it was stopped.

    Args:
        path: The settings file.
        settings: Its content.
        bound: The packet socket.
    """
    # What is imported lives as long as the process.
    gc.freeze()
    gc.enable()
    asyncio.run(_async_run(path, settings, bound))


async def _async_run(
    path: str, settings: settings_module.Settings, bound: socket.socket
) -> None:
    log = lines.Lines(
        vm=settings.vm,
        domain=settings.domain,
        descriptor=sys.stdout.fileno(),
        clock=application.read_clock,
    )
    balancer = application.Application(
        path=path, settings=settings, log=log, bound=bound
    )
    application.install_signals(balancer)
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: log.write(
            lines.Kind.FAULT, fault=_describe_fault(context)
        )
    )
    log.write(
        lines.Kind.STARTED,
        packets=f"{settings.packets.host}:{settings.packets.port}",
        seeds=len(settings.seeds),
        source=f"{settings.source.host}:{settings.source.port}",
    )
    await balancer.async_run()


def _describe_fault(context: dict[str, Any]) -> str:
    """Returns an exception with the place that raised it, on one line."""
    error = context.get("exception")
    if error is None:
        return str(context.get("message"))
    place = ""
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        place = f"{code.co_filename}:{trace.tb_lineno} {code.co_name}"
        trace = trace.tb_next
    return f"{type(error).__name__}: {error} at {place}"
