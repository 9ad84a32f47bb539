"""Runs an edge balancer: `python -m chivedoor.edge [settings file]`."""

import gc
import os
import signal
import sys

# Imported first: a socket that is bound queues the packets that arrive while
# the rest is loading.
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
    # Nothing of what is imported becomes garbage; collections during the
    # imports take a tenth of the start (docs/why.md).
    gc.disable()
    # Signals that arrive before their handlers are installed wait. By default
    # a change of the settings (SIGHUP) would end a process that starts.
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
    # asyncio does without TLS when it is absent; nothing here uses it, and it
    # takes 14 ms and 3 MB to load.
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    from chivedoor.edge import process

    # What is imported later, such as the text of the metrics, may need it.
    if sys.modules["ssl"] is None:
        del sys.modules["ssl"]
    process.run(path, settings, packet_socket)
    return 0


if __name__ == "__main__":
    sys.exit(main())
