"""Runs an edge balancer: `python -m chivedoor.edge [settings file]`."""

import asyncio
import gc
import os
import pathlib
import sys

from chivedoor.edge import application
from chivedoor.edge import const
from chivedoor.edge import exceptions
from chivedoor.edge import lines
from chivedoor.edge import settings as settings_module

EXIT_FAULTS = 2


def main() -> int:
    """Runs the balancer; returns the exit status."""
    name = (
        sys.argv[1]
        if len(sys.argv) > 1
        else os.environ.get(const.SETTINGS_VARIABLE, "")
    )
    path = pathlib.Path(name)
    try:
        settings = settings_module.load_settings(path)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAULTS
    # What is imported lives as long as the process.
    gc.freeze()
    asyncio.run(_async_run(path, settings))
    return 0


async def _async_run(
    path: pathlib.Path, settings: settings_module.Settings
) -> None:
    log = lines.Lines(
        vm=settings.vm,
        domain=settings.domain,
        descriptor=sys.stdout.fileno(),
        clock=application.read_clock,
    )
    balancer = application.Application(path=path, settings=settings, log=log)
    application.install_signals(balancer)
    log.write(
        lines.Kind.STARTED,
        packets=f"{settings.packets.host}:{settings.packets.port}",
        seeds=len(settings.seeds),
        source=f"{settings.source.host}:{settings.source.port}",
    )
    await balancer.async_run()


if __name__ == "__main__":
    sys.exit(main())
