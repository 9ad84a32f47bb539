"""Runs a balancer in its event loop.

Imported only after the packet socket is bound.
"""

import asyncio
import gc
import socket
import sys
from typing import Any

from chivedoor.edge import application
from chivedoor.edge import log_writer
from chivedoor.edge import settings as settings_module


def run(
    path: str, settings: settings_module.Settings, packet_socket: socket.socket
) -> None:
    """Runs a balancer until it is stopped.

    Args:
        path: The settings file.
        settings: The settings read from it.
        packet_socket: The bound packet socket.
    """
    # Imported objects live as long as the process; exclude them from
    # garbage collection.
    gc.freeze()
    gc.enable()
    asyncio.run(_async_run(path, settings, packet_socket))


async def _async_run(
    path: str, settings: settings_module.Settings, packet_socket: socket.socket
) -> None:
    log = log_writer.LogWriter(
        vm=settings.vm,
        domain=settings.domain,
        descriptor=sys.stdout.fileno(),
        clock=application.read_clock,
    )
    balancer = application.Application(
        path=path, settings=settings, log=log, packet_socket=packet_socket
    )
    application.install_signal_handlers(balancer)
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: log.write(
            log_writer.EventType.FAULT, fault=_format_loop_error(context)
        )
    )
    log.write(
        log_writer.EventType.STARTED,
        packets=f"{settings.packets.host}:{settings.packets.port}",
        seeds=len(settings.seeds),
        source=f"{settings.source.host}:{settings.source.port}",
    )
    await balancer.async_run()


def _format_loop_error(context: dict[str, Any]) -> str:
    """Formats an event loop error and where it was raised, on one line."""
    error = context.get("exception")
    if error is None:
        return str(context.get("message"))
    location = ""
    traceback = error.__traceback__
    while traceback is not None:
        code = traceback.tb_frame.f_code
        location = f"{code.co_filename}:{traceback.tb_lineno} {code.co_name}"
        traceback = traceback.tb_next
    return f"{type(error).__name__}: {error} at {location}"
