"""The command `chivedoord`."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
from typing import Annotated

import cappa

from chivedoor.configuration import exceptions as configuration_errors
from chivedoor.configuration import settings as settings_module
from chivedoor.daemon import application
from chivedoor.telemetry import logs as logs_module

EXIT_INVALID_SETTINGS = 2


@cappa.command(
    name="chivedoord",
    help="Runs a chivedoor balancer on an entry VM.",
    description=(
        "Example: chivedoord /etc/chivedoord.ini. SIGTERM starts a graceful "
        "shutdown that breaks no flow."
    ),
)
@dataclasses.dataclass
class Daemon:
    """Arguments of `chivedoord`."""

    file: Annotated[pathlib.Path, cappa.Arg(help="INI file with settings.")]
    check: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Only check the settings; exits with 2 on faults."
        ),
    ] = False

    def __call__(self) -> int:
        """Runs the daemon and returns the exit code."""
        try:
            settings = settings_module.load_settings(self.file)
        except configuration_errors.SettingsError as error:
            sys.stderr.write(f"{error}\n")
            return EXIT_INVALID_SETTINGS
        if self.check:
            return 0
        return asyncio.run(_async_run(settings))


async def _async_run(settings: settings_module.Settings) -> int:
    logs = logs_module.setup_logs(
        vm=settings.vm.id, domain=settings.vm.domain, path=settings.logs.path
    )
    try:
        balancer = application.Application(settings=settings, logs=logs)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, balancer.stop)
        await balancer.async_run()
    finally:
        logs.unload()
    return 0


def main() -> None:
    """Runs `chivedoord` and exits with its exit code."""
    sys.exit(cappa.invoke(Daemon))


if __name__ == "__main__":
    main()
