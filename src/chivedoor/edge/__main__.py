"""Runs an edge balancer: `python -m chivedoor.edge [settings file]`."""

import gc
import os
import signal
import sys

# Imported first so that the packet socket can be bound early: once bound, it
# queues the packets that arrive while the remaining modules are imported.
from chivedoor.dataplane import sockets
from chivedoor.edge import const
from chivedoor.edge import exceptions
from chivedoor.edge import settings as settings_module

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Runs the balancer; returns the exit status.

    Raises:
        PortError: The packet port cannot be bound.
    """
    # Imported modules are never garbage, and collections during the imports
    # take a tenth of the startup time (docs/why.md).
    gc.disable()
    # Block signals until their handlers are installed. The default action of
    # SIGHUP, which requests a settings reload, would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, const.HANDLED_SIGNALS)
    path = (
        sys.argv[1]
        if len(sys.argv) > 1
        else os.environ.get(const.SETTINGS_VARIABLE, "")
    )
    try:
        settings = settings_module.load_settings(path)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_INVALID_SETTINGS
    packet_socket = sockets.open_socket(
        settings.packets.host, settings.packets.port
    )
    # asyncio works without the ssl module. The balancer does not use TLS, and
    # importing ssl takes 14 ms and 3 MB.
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    from chivedoor.edge import process

    # Modules imported later, such as the metrics exposition, may need ssl.
    if sys.modules["ssl"] is None:
        del sys.modules["ssl"]
    process.run(path, settings, packet_socket)
    return 0


if __name__ == "__main__":
    sys.exit(main())
