"""Websocket connections with size limits and timeouts."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

from websockets import exceptions as websocket_exceptions
from websockets.asyncio import client
from websockets.asyncio import server

from chivedoor.rpc import const
from chivedoor.rpc import exceptions

# The library would log each failed connection attempt of any client to standard
# error, from the event loop. This package counts the failures instead.
_DISABLED_LOGGER = logging.getLogger("chivedoor.websockets")
_DISABLED_LOGGER.disabled = True

# Compression is disabled because it lets a client consume memory and CPU time
# before it is authenticated. Keepalive pings are disabled because idle
# connections are closed and every request has a timeout.
_CONNECTION_OPTIONS: dict[str, Any] = {
    "compression": None,
    "ping_interval": None,
    "open_timeout": const.HANDSHAKE_TIMEOUT_S,
    "close_timeout": const.CLOSE_TIMEOUT_S,
    "max_size": const.MAX_HANDSHAKE_BYTES,
    "max_queue": const.RECEIVE_QUEUE_FRAMES,
    "logger": _DISABLED_LOGGER,
}


async def async_connect(address: str, port: int) -> client.ClientConnection:
    """Opens a connection.

    Raises:
        PeerUnreachableError: The connection or the websocket handshake failed.
    """
    host = f"[{address}]" if ":" in address else address
    try:
        # Proxy settings of the environment do not apply to peers.
        return await client.connect(
            f"ws://{host}:{port}/",
            proxy=None,
            user_agent_header=None,
            **_CONNECTION_OPTIONS,
        )
    except (OSError, websocket_exceptions.WebSocketException) as error:
        raise exceptions.PeerUnreachableError(
            f"cannot connect: {error}"
        ) from error


async def async_listen(
    handler: Callable[[server.ServerConnection], Awaitable[None]],
    address: str,
    port: int,
) -> server.Server:
    """Listens for connections and runs the handler for each one.

    Raises:
        OSError: The address or port cannot be bound.
    """
    return await server.serve(
        handler, address, port, server_header=None, **_CONNECTION_OPTIONS
    )
